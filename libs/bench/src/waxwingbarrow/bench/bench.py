"""Entry point of ``make bench``."""

from waxwingbarrow.bench._bench import main

if __name__ == "__main__":
    main()
