"""HTTP/1.1 server for callers."""

import asyncio
import logging
from collections.abc import Callable

from waxwingbarrow.gateway.base import CallerLimits, MemoryBudget
from waxwingbarrow.gateway.callers._caller_connections import (
    CallerConnection,
    Handler,
    Responder,
)

logger = logging.getLogger("waxwingbarrow.gateway.callers")

TIMEOUT_CHECK_INTERVAL_S = 0.25
# Responses of all callers that wait to be read.
MAX_UNREAD_BYTES = 67_108_864
# Bodies of all requests that are being read, and of those that are being handled.
MAX_INCOMING_BYTES = 33_554_432
MAX_HANDLED_BYTES = 67_108_864
# Requests with a body of up to this size are handled whatever the others need.
SMALL_BODY_BYTES = 16_384

__all__ = ["CallerServer", "Handler", "Responder"]


class CallerServer:
    """Accepts the connections of callers.

    Parameters
    ----------
    handler : callable
        Coroutine function that handles one request.
    limits : callable
        Returns the limits in force.
    now_ms : callable
        Returns the monotonic time in milliseconds.

    Attributes
    ----------
    incoming : MemoryBudget
        Memory for the bodies of requests that are being read.
    handled_bytes : int
        Size of the bodies of requests that are being handled or queued.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        now_ms: Callable[[], int],
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.now_ms = now_ms
        self.connections: set[CallerConnection] = set()
        self.is_closing = False
        self.incoming = MemoryBudget(MAX_INCOMING_BYTES)
        self.handled_bytes = 0
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int, backlog: int = 1024) -> None:
        """Listen on an address.

        Parameters
        ----------
        backlog : int
            Maximum number of connections that wait to be accepted.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=backlog
        )

    async def enforce_timeouts(self) -> None:
        """Apply the idle and header timeouts regularly, until cancelled."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            self.close_expired(self.now_ms())
            self.abort_unread()

    def close_expired(self, now_ms: int) -> None:
        """Apply the idle and header timeouts once."""
        limits = self.limits()
        for connection in list(self.connections):
            since_ms = connection.head_since_ms
            if since_ms is not None and now_ms - since_ms > limits.header_timeout_ms:
                connection.reject_slow_head()
            elif connection.is_idle:
                idle_ms = now_ms - connection.idle_since_ms
                if idle_ms > limits.idle_timeout_ms:
                    connection.close_after_flush()

    def abort_unread(self) -> None:
        """Abort the callers that leave most unread, while that is too much in all."""
        by_size = sorted(
            ((item.unread_bytes, item) for item in self.connections),
            key=lambda pair: pair[0],
        )
        total_bytes = sum(size_bytes for size_bytes, _ in by_size)
        while total_bytes > MAX_UNREAD_BYTES:
            size_bytes, connection = by_size.pop()
            total_bytes -= size_bytes
            logger.warning(
                "caller does not read its response; connection aborted",
                extra={"unread_bytes": size_bytes},
            )
            connection.abort()

    def can_handle(self, body_bytes: int) -> bool:
        """Whether there is memory for a request with a body of this size."""
        return (
            body_bytes <= SMALL_BODY_BYTES
            or self.handled_bytes + body_bytes <= MAX_HANDLED_BYTES
        )

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close_after_flush()

    def end_requests(self) -> None:
        """End the requests that are being handled, before the process ends."""
        for connection in list(self.connections):
            connection.end_request()

    def count_busy(self) -> int:
        """Return the number of connections with a request."""
        return sum(not connection.is_idle for connection in self.connections)

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()
