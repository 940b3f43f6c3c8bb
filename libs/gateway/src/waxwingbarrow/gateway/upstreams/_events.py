"""Splitting of a server-sent event stream into complete events."""

from waxwingbarrow.gateway.base import parse_decimal

EVENT_END = b"\n\n"
ID_PREFIX = b"id:"
# Bytes that may follow the last numbered event without completing another one.
MAX_EVENT_BYTES = 262_144


class EventSplitter:
    """Buffers the bytes of a stream and returns the complete events.

    Forwarding only complete events lets another upstream continue a stream that broke
    off within an event, without a truncated or repeated event.

    Attributes
    ----------
    last_id : int or None
        Identifier of the last complete event.
    remainder : bytes
        Bytes after the last complete event.
    event_count : int
        Number of the complete events.
    is_continuous : bool
        Whether the numbers go on after those before `resume`, without a repetition.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id, splitter.remainder
    (1, b'id: 2')
    """

    def __init__(self) -> None:
        self.last_id: int | None = None
        self.remainder = b""
        self.event_count = 0
        self.is_continuous = True
        self._unnumbered_bytes = 0
        # Number of the last event before the part that follows now begins.
        self._resumed_after: int | None = None

    @property
    def is_oversized(self) -> bool:
        """Whether over `MAX_EVENT_BYTES` arrived since the last numbered event."""
        return self._unnumbered_bytes + len(self.remainder) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        Events after bytes that exceed the bound are not returned, so the result does
        not depend on how the bytes of the stream are divided into reads.
        """
        if self.is_oversized:
            return b""
        if self.remainder:
            data = self.remainder + data
        end = self._find_end(data)
        events, self.remainder = data[:end], data[end:]
        if self._resumed_after is not None and not self._check_first_id(events):
            return b""
        numbered = _find_last_id(events)
        if numbered is None:
            self._unnumbered_bytes += end
        else:
            self.last_id, numbered_end = numbered
            self._unnumbered_bytes = end - numbered_end
        self.event_count += events.count(EVENT_END)
        return events

    def _find_end(self, data: bytes) -> int:
        """Return the end of the last complete event that is within the bound."""
        last = data.rfind(EVENT_END)
        end = last + len(EVENT_END) if last >= 0 else 0
        if self._unnumbered_bytes + len(data) <= MAX_EVENT_BYTES:
            return end
        # Some event or the remainder may exceed the bound, so each is checked.
        unnumbered_bytes, start = self._unnumbered_bytes, 0
        while start < end:
            next_start = data.index(EVENT_END, start) + len(EVENT_END)
            unnumbered_bytes += next_start - start
            if unnumbered_bytes > MAX_EVENT_BYTES:
                return start
            if _find_last_id(data[start:next_start]) is not None:
                unnumbered_bytes = 0
            start = next_start
        return end

    def _check_first_id(self, events: bytes) -> bool:
        """Check that the part after `resume` begins with a new event."""
        assert self._resumed_after is not None
        first_id = _find_first_id(events)
        if first_id is not None:
            self.is_continuous = first_id > self._resumed_after
            self._resumed_after = None
        return self.is_continuous

    def resume(self) -> None:
        """Discard the bytes of an incomplete event; another part of the stream follows.

        The part must not begin with an event that was returned before.
        """
        self.remainder = b""
        self._unnumbered_bytes = 0
        self._resumed_after = self.last_id


def _parse_number(text: bytes) -> int | None:
    return parse_decimal(text.strip().decode("latin-1"))


def _find_first_id(events: bytes) -> int | None:
    """Return the number of the first numbered event."""
    for line in events.split(b"\n"):
        if not line.startswith(ID_PREFIX):
            continue
        number = _parse_number(line.removeprefix(ID_PREFIX))
        if number is not None:
            return number
    return None


def _find_last_id(events: bytes) -> tuple[int, int] | None:
    """Return the number of the last numbered event, and where that event ends."""
    end = len(events)
    while end > 0:
        start = events.rfind(b"\n" + ID_PREFIX, 0, end) + 1
        if not events.startswith(ID_PREFIX, start):
            return None
        line_end = events.index(b"\n", start)
        number = _parse_number(events[start + len(ID_PREFIX) : line_end])
        if number is not None:
            return number, events.index(EVENT_END, start) + len(EVENT_END)
        end = start
    return None
