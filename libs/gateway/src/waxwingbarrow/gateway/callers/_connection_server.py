"""What the connections of callers need from their server."""

from collections.abc import Callable
from typing import Any, Protocol

from waxwingbarrow.gateway.base import CallerLimits, MemoryBudget
from waxwingbarrow.gateway.callers._caller_memory import CallerMemory
from waxwingbarrow.gateway.callers._responders import Handler
from waxwingbarrow.gateway.callers._turns import TurnQueue


class ConnectionServer(Protocol):
    """What a connection needs from the server that accepted it.

    Attributes
    ----------
    incoming : MemoryBudget
        Memory for the bodies of requests that are being read.
    memory : CallerMemory
        Memory for everything that is held on behalf of callers.
    handled_bytes : int
        Size of the bodies of requests that are being handled or queued.
    turns : TurnQueue
        Connections that have more of a chunked body to parse.
    """

    handler: Handler
    limits: Callable[[], CallerLimits]
    now_ms: Callable[[], int]
    is_closing: bool
    incoming: MemoryBudget
    memory: CallerMemory
    handled_bytes: int
    turns: TurnQueue

    def admit(self, connection: Any) -> bool:
        """Add a new connection, unless there are too many."""

    def discard(self, connection: Any) -> None:
        """Remove a connection that was lost."""

    def can_handle(self, body_bytes: int) -> bool:
        """Whether there is memory for a request with a body of this size."""

    def drop_over_limit(self) -> None:
        """Drop connections while all together hold too much."""

    def count_limit(self, limit: str) -> None:
        """Count that a limit took effect."""
