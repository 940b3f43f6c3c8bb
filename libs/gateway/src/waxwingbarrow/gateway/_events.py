"""Splitting of a server-sent event stream into complete events."""

EVENT_END = b"\n\n"
ID_PREFIX = b"id:"


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

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete."""
        if self.remainder:
            data = self.remainder + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self.remainder = data
            return b""
        end += len(EVENT_END)
        events, self.remainder = data[:end], data[end:]
        self._note_id(events)
        return events

    def discard_remainder(self) -> None:
        """Discard the bytes of an incomplete event."""
        self.remainder = b""

    def _note_id(self, events: bytes) -> None:
        start = events.rfind(b"\n" + ID_PREFIX)
        if start >= 0:
            start += 1
        elif events.startswith(ID_PREFIX):
            start = 0
        else:
            return
        end = events.find(b"\n", start)
        number = events[start + len(ID_PREFIX) : end].strip()
        if number.isdigit():
            self.last_id = int(number)
