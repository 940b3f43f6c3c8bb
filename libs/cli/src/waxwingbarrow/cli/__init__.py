"""The waxwingbarrow command line."""

from waxwingbarrow.cli._main import main
from waxwingbarrow.cli._presentation import ExitCode

__all__ = ["ExitCode", "main"]
