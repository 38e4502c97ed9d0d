"""Copies the program to target/app and compiles it to bytecode there; the last step of the build in the deploy file.

Controllers run from a read-only directory, where Python can't store bytecode. Without precompiled bytecode, all modules
are compiled at every start, which takes more than half of the processor time of the start. The bytecode is validated by
the hash of its source instead of the modification time, so that it stays valid when the directory is copied.
"""

import compileall
import py_compile
import shutil
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
APP = ROOT / "target" / "app"


def build() -> bool:
    """Recreate target/app. Return whether all modules were compiled without errors."""
    shutil.rmtree(APP, ignore_errors=True)
    shutil.copytree(ROOT / "badgerroute", APP / "badgerroute", ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy2(ROOT / "run.py", APP)
    mode = py_compile.PycInvalidationMode.CHECKED_HASH
    return bool(compileall.compile_dir(APP, quiet=1, invalidation_mode=mode))


if __name__ == "__main__":
    sys.exit(0 if build() else 1)
