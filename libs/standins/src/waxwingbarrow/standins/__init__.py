"""Stand-ins for the platform and the upstreams, for tests and the demo."""

from waxwingbarrow.standins._engine import EngineStandin
from waxwingbarrow.standins._options import EngineFaults, EngineSettings
from waxwingbarrow.standins._platform import (
    PlatformFaults,
    PlatformSettings,
    PlatformStandin,
)
from waxwingbarrow.standins._server import serve
from waxwingbarrow.standins._service import ServiceFaults, ServiceStandin
from waxwingbarrow.standins._text import expected_text, hash_blocks

__all__ = [
    "EngineFaults",
    "EngineSettings",
    "EngineStandin",
    "PlatformFaults",
    "PlatformSettings",
    "PlatformStandin",
    "ServiceFaults",
    "ServiceStandin",
    "expected_text",
    "hash_blocks",
    "serve",
]
