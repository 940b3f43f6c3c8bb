"""Boundaries of requests within the bytes that a caller sent."""

HEAD_END = b"\r\n\r\n"
# A chunked body is parsed in steps of at least this size. A smaller step would make a
# body of empty lines expensive to parse.
MIN_CHUNKED_STEP_BYTES = 1_024
# Chunks of a few bytes take milliseconds to parse per 16 KiB.
MAX_CHUNKED_STEP_BYTES = 16_384


def is_endless_head(data: bytes, start: int, max_header_bytes: int) -> bool:
    r"""Return whether a request starts here whose head exceeds the limit.

    Examples
    --------
    >>> is_endless_head(b"GET / HTTP/1.1\r\n\r\n", 0, 10)
    False
    >>> is_endless_head(b"GET /aaaaaaaaaaaaaaa", 0, 10)
    True
    """
    end = start + max_header_bytes
    return len(data) > end and data.find(HEAD_END, start) < 0


def holds_one_request(data: bytes) -> bool:
    r"""Return whether bytes complete the head of at most one request.

    Examples
    --------
    >>> holds_one_request(b"GET / HTTP/1.1\r\n\r\n")
    True
    >>> holds_one_request(b"GET / HTTP/1.1\r\n\r\n" * 2)
    False
    """
    if len(data) > MAX_CHUNKED_STEP_BYTES:
        return False
    return data.find(HEAD_END, data.find(HEAD_END) + 1) < 0


def find_step_end(
    data: bytes, start: int, is_in_body: bool, body_left_bytes: int
) -> int:
    r"""Return the end of the bytes to parse next.

    The parser cannot stop between two requests, so it gets the bytes of one request at
    a time: heads and chunked bodies both end with an empty line. Bytes after a chunked
    body, or after a head whose last bytes arrived separately, may be included.

    Parameters
    ----------
    body_left_bytes : int
        What is missing of a body with a declared length; 0 for a chunked one.

    Examples
    --------
    >>> find_step_end(b"GET / HTTP/1.1\r\n\r\nGET /", 0, False, 0)
    18
    >>> find_step_end(b"abcdeGET /", 0, True, 5)
    5
    """
    if body_left_bytes > 0:
        return min(len(data), start + body_left_bytes)
    end = len(data)
    if is_in_body:
        end = min(end, start + MAX_CHUNKED_STEP_BYTES)
        start += MIN_CHUNKED_STEP_BYTES
    found = data.find(HEAD_END, start, end)
    return end if found < 0 else found + len(HEAD_END)


class ReceiveBuffer:
    """Bytes that were received and are parsed step by step.

    Attributes
    ----------
    left_bytes : int
        Size of what is not parsed yet.
    """

    __slots__ = ("_data", "_parsed", "left_bytes")

    def __init__(self) -> None:
        self.clear()

    def __len__(self) -> int:
        """Return the size of the memory that is held."""
        return len(self._data)

    def clear(self) -> None:
        """Drop everything."""
        self._data = b""
        self._parsed = 0
        self.left_bytes = 0

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self._data = self._data[self._parsed :] + data if self.left_bytes else data
        self._parsed = 0
        self.left_bytes = len(self._data)

    def take_step(self, is_in_body: bool, body_left_bytes: int) -> bytes | memoryview:
        """Return the bytes to parse next; see `find_step_end`."""
        data, start = self._data, self._parsed
        end = find_step_end(data, start, is_in_body, body_left_bytes)
        if end == len(data):
            self.clear()
            return memoryview(data)[start:] if start else data
        self._parsed = end
        self.left_bytes = len(data) - end
        return memoryview(data)[start:end]

    def compact(self) -> None:
        """Free what was parsed, once it is more than the rest."""
        if self._parsed > self.left_bytes:
            self._data = self._data[self._parsed :]
            self._parsed = 0

    def has_endless_head(self, max_header_bytes: int) -> bool:
        """Whether the next request has a head that exceeds the limit."""
        return is_endless_head(self._data, self._parsed, max_header_bytes)
