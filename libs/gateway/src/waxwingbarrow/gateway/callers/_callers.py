"""HTTP/1.1 server for callers."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from waxwingbarrow.gateway.base import CallerLimits, MemoryBudget
from waxwingbarrow.gateway.callers._caller_connections import CallerConnection
from waxwingbarrow.gateway.callers._caller_memory import CallerMemory
from waxwingbarrow.gateway.callers._responders import Handler, Responder
from waxwingbarrow.gateway.callers._turns import TurnQueue

logger = logging.getLogger("waxwingbarrow.gateway.callers")

TIMEOUT_CHECK_INTERVAL_S = 0.25
# Responses of all callers that wait to be read.
MAX_UNREAD_BYTES = 67_108_864
# Bodies of all requests that are being read, and of those that are being handled.
MAX_INCOMING_BYTES = 33_554_432
MAX_HANDLED_BYTES = 67_108_864
# Requests with a body of up to this size are handled whatever the others need.
SMALL_BODY_BYTES = 16_384
# A connection that closes is reset if its caller does not read for this long.
MAX_LINGER_MS = 10_000

__all__ = ["CallerServer", "Handler", "Responder"]

# A body that is incomplete counts as stalled when nothing arrived for this long.
STALLED_BODY_MS = 1_000


def choose_to_close(
    connections: Iterable[CallerConnection], now_ms: int
) -> CallerConnection | None:
    """Return the connection to close when there are too many, or None.

    Connections that close already come first, then idle ones, incomplete heads, stalled
    bodies and pipelined requests; in each group the oldest.
    """

    def rank(item: CallerConnection) -> tuple[int, int] | None:
        if item.closing.since_ms is not None:
            return 0, item.closing.since_ms
        if item.is_idle:
            return 1, item.idle_since_ms
        if item.head_since_ms is not None:
            return 2, item.head_since_ms
        if item.is_reading_body and now_ms - item.body_since_ms > STALLED_BODY_MS:
            return 3, item.body_since_ms
        if item.is_excessive:
            return 4, item.idle_since_ms
        return None

    ranked = [(place, item) for item in connections if (place := rank(item))]
    if not ranked:
        return None
    return min(ranked, key=lambda pair: pair[0])[1]


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
    memory : CallerMemory or None
        Memory for everything that is held on behalf of callers; several servers may
        share one.
    max_connections : int or None
        Most connections that are open at the same time.
    count_limit : callable
        Counts that a limit took effect; gets its name.

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
        memory: CallerMemory | None = None,
        max_connections: int | None = None,
        count_limit: Callable[[str], None] = lambda limit: None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.now_ms = now_ms
        self.connections: set[CallerConnection] = set()
        self.is_closing = False
        self.memory = memory or CallerMemory()
        self.count_limit = count_limit
        self._max_connections = max_connections
        self.incoming = MemoryBudget(min(MAX_INCOMING_BYTES, self.memory.limit_bytes))
        self.handled_bytes = 0
        self.turns = TurnQueue()
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
            unread_bytes = connection.unread_bytes
            if connection.closing.has_stopped(unread_bytes, now_ms, MAX_LINGER_MS):
                self.count_limit("unread response")
                connection.abort()
            elif since_ms is not None and now_ms - since_ms > limits.header_timeout_ms:
                connection.reject(408, "the head of the request took too long")
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
            self.count_limit("unread response")
            connection.abort()

    def admit(self, connection: CallerConnection) -> bool:
        """Add a new connection, unless there are too many.

        Another one makes room if its caller has sent or read nothing for a while; see
        `choose_to_close`.
        """
        limit = self._max_connections
        if limit is not None and len(self.connections) >= limit:
            self.count_limit("connections")
            chosen = choose_to_close(self.connections, self.now_ms())
            if chosen is None:
                logger.warning("too many connections; a new one was closed")
                return False
            logger.warning("too many connections; one that was inactive was closed")
            self.connections.discard(chosen)
            if chosen.unread_bytes:
                chosen.abort()
            else:
                chosen.close_after_flush()
        self.connections.add(connection)
        return True

    def discard(self, connection: CallerConnection) -> None:
        """Remove a connection that was lost."""
        self.connections.discard(connection)

    def drop_over_limit(self) -> None:
        """Drop connections while all together hold too much."""
        for owner in self.memory.list_owners():
            owner.measure()
        while self.memory.is_exhausted:
            largest = self.memory.choose_to_drop(self.now_ms())
            if largest is None:
                return
            logger.warning(
                "callers need too much memory; the largest was dropped",
                extra={"total_bytes": self.memory.total_bytes},
            )
            self.count_limit("memory")
            largest.drop_for_memory()

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

    def count_begun(self) -> int:
        """Return the number of responses that have begun and are not complete."""
        return sum(connection.has_begun for connection in self.connections)

    def count_unread_bytes(self) -> int:
        """Return how much of the responses waits until the callers read."""
        return sum(connection.unread_bytes for connection in self.connections)

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()
