"""Copies the program to target/app and compiles it to bytecode there, as the last step of the deploy file's build.

Controllers run where nothing can be written beside the sources, so without this each start compiles all of them: more
than half of the processor time of a start. The bytecode is checked against the hash of its source, not its time, so
that a copy of the tree starts as fast.
"""

import compileall
import py_compile
import shutil
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
APP = ROOT / "target" / "app"


def build() -> bool:
    """Make target/app anew; whether everything compiled."""
    shutil.rmtree(APP, ignore_errors=True)
    shutil.copytree(ROOT / "badgerroute", APP / "badgerroute", ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy2(ROOT / "run.py", APP)
    mode = py_compile.PycInvalidationMode.CHECKED_HASH
    return bool(compileall.compile_dir(APP, quiet=1, invalidation_mode=mode))


if __name__ == "__main__":
    sys.exit(0 if build() else 1)
