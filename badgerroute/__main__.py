"""Runs the command line as `python -m badgerroute`."""

import sys

from badgerroute.cli import main

if __name__ == "__main__":
    sys.exit(main())
