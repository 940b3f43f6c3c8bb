"""Entry point of ``make demo``."""

from waxwingbarrow.bench._demo import main

if __name__ == "__main__":
    main()
