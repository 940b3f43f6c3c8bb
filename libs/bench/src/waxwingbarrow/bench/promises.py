"""Entry point of ``make promises``."""

from waxwingbarrow.bench._promises import main

if __name__ == "__main__":
    main()
