"""The waxwingbarrowd daemon."""

from waxwingbarrow.daemon._main import main
from waxwingbarrow.daemon._settings import (
    DEFAULTS,
    Settings,
    describe_settings,
    read_settings,
)

__all__ = ["DEFAULTS", "Settings", "describe_settings", "main", "read_settings"]
