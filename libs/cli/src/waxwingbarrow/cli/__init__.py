"""Command line for operators of waxwingbarrow."""

from waxwingbarrow.cli._main import main
from waxwingbarrow.cli._presentation import ExitCode

__all__ = ["ExitCode", "main"]
