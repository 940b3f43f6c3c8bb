"""Stand-ins for the platform and the upstreams, for tests and the demo."""

from waxwingbarrow.standins._platform import (
    PlatformFaults,
    PlatformSettings,
    PlatformStandin,
)
from waxwingbarrow.standins._server import serve

__all__ = [
    "PlatformFaults",
    "PlatformSettings",
    "PlatformStandin",
    "serve",
]
