"""Entry point of ``python -m waxwingbarrow.daemon``."""

from waxwingbarrow.daemon import main

if __name__ == "__main__":
    main()
