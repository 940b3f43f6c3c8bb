"""Runs the command line with ``python -m waxwingbarrow.cli``."""

import sys

from waxwingbarrow.cli import main

if __name__ == "__main__":
    sys.exit(main())
