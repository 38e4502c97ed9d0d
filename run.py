"""Start a badgerroute controller from a checkout: `python3 run.py --config FILE`."""

import os
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(ROOT, "target", "deps"))
sys.path.insert(0, ROOT)

from badgerroute.cli import main  # noqa: E402  (the path must be set first)

if __name__ == "__main__":
    sys.exit(main())
