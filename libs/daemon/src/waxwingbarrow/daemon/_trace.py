"""In-memory record of the events of recent requests, for operators."""

from collections import OrderedDict

import attrs

from waxwingbarrow.core import Instant, RequestId

MAX_REQUESTS = 2_000  # limits the memory of the trace to a few megabytes
MAX_EVENTS_PER_REQUEST = 32


@attrs.frozen
class TraceEvent:
    """One event of a request, with its wall-clock time in `at_ms`."""

    at_ms: int
    event: str
    detail: str


class Trace:
    """Events of the most recent requests that this host served."""

    def __init__(self) -> None:
        self._events: OrderedDict[RequestId, list[TraceEvent]] = OrderedDict()

    def record(
        self, request_id: RequestId, event: str, detail: str, now: Instant
    ) -> None:
        """Add an event; the least recently updated request is dropped when full.

        Events of a request beyond `MAX_EVENTS_PER_REQUEST` are dropped.
        """
        events = self._events.setdefault(request_id, [])
        if len(events) < MAX_EVENTS_PER_REQUEST:
            events.append(TraceEvent(now.wall_ms, event, detail))
        self._events.move_to_end(request_id)
        while len(self._events) > MAX_REQUESTS:
            self._events.popitem(last=False)

    def find(self, request_id: RequestId) -> tuple[TraceEvent, ...]:
        """Return the events of a request, oldest first; empty if unknown."""
        return tuple(self._events.get(request_id, ()))
