"""The waxwingbarrow command line."""
