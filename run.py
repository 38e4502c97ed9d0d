"""Start a badgerroute controller: `python3 run.py --config FILE`, from a checkout or from the build in target/app."""

import os
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
PARENT = os.path.dirname(ROOT)
TARGET = PARENT if os.path.basename(PARENT) == "target" else os.path.join(ROOT, "target")
sys.path.insert(0, os.path.join(TARGET, "deps"))
sys.path.insert(0, ROOT)

from badgerroute.cli import main  # noqa: E402  (the path must be set first)

if __name__ == "__main__":
    sys.exit(main())
