"""Recent events of requests, for operators who ask what happened to one."""

from collections import OrderedDict

import attrs

from waxwingbarrow.core import Instant, RequestId

MAX_REQUESTS = 2_000  # bounds the memory of the trace to a few megabytes
MAX_EVENTS = 32


@attrs.frozen
class TraceEvent:
    """One step of a request."""

    at_ms: int
    event: str
    detail: str


class Trace:
    """Events of the latest requests that this host served."""

    def __init__(self) -> None:
        self._events: OrderedDict[RequestId, list[TraceEvent]] = OrderedDict()

    def record(
        self, request_id: RequestId, event: str, detail: str, now: Instant
    ) -> None:
        """Add an event; the oldest request is dropped when the trace is full."""
        events = self._events.setdefault(request_id, [])
        if len(events) < MAX_EVENTS:
            events.append(TraceEvent(now.wall_ms, event, detail))
        self._events.move_to_end(request_id)
        while len(self._events) > MAX_REQUESTS:
            self._events.popitem(last=False)

    def find(self, request_id: RequestId) -> tuple[TraceEvent, ...]:
        """Return the events of a request, oldest first; empty if unknown."""
        return tuple(self._events.get(request_id, ()))
