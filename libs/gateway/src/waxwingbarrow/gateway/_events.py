"""Splitting of a server-sent event stream into complete events."""

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
        self._unnumbered_bytes = 0

    @property
    def is_oversized(self) -> bool:
        """Whether over `MAX_EVENT_BYTES` arrived since the last numbered event."""
        return self._unnumbered_bytes > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete."""
        self._unnumbered_bytes += len(data)
        if self.remainder:
            data = self.remainder + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self.remainder = data
            return b""
        end += len(EVENT_END)
        events, self.remainder = data[:end], data[end:]
        if self._note_id(events):
            self._unnumbered_bytes = len(self.remainder)
        self.event_count += events.count(EVENT_END)
        return events

    def discard_remainder(self) -> None:
        """Discard the bytes of an incomplete event."""
        self.remainder = b""
        self._unnumbered_bytes = 0

    def _note_id(self, events: bytes) -> bool:
        start = events.rfind(b"\n" + ID_PREFIX)
        if start >= 0:
            start += 1
        elif events.startswith(ID_PREFIX):
            start = 0
        else:
            return False
        end = events.find(b"\n", start)
        number = events[start + len(ID_PREFIX) : end].strip()
        if not number.isdigit():
            return False
        self.last_id = int(number)
        return True
