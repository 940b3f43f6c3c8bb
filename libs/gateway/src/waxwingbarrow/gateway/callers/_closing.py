"""Connections that close once their caller has read the response."""


class ClosingProgress:
    """Tells whether the caller of a closing connection still reads.

    Attributes
    ----------
    since_ms : int or None
        Monotonic time at which the connection began to close, or at which its caller
        was last seen to read; None if it does not close.

    Examples
    --------
    >>> progress = ClosingProgress()
    >>> progress.begin(now_ms=0)
    >>> progress.has_stopped(500, 2_000, 1_000), progress.has_stopped(500, 3_500, 1_000)
    (False, True)
    """

    __slots__ = ("_unread_bytes", "since_ms")

    def __init__(self) -> None:
        self.since_ms: int | None = None
        self._unread_bytes = 0

    def begin(self, now_ms: int) -> None:
        """Note that the connection closes."""
        if self.since_ms is None:
            self.since_ms = now_ms

    def has_stopped(self, unread_bytes: int, now_ms: int, timeout_ms: int) -> bool:
        """Whether the connection closes and nothing was read for the timeout."""
        if self.since_ms is None:
            return False
        if unread_bytes != self._unread_bytes:
            self._unread_bytes = unread_bytes
            self.since_ms = now_ms
        return now_ms - self.since_ms > timeout_ms
