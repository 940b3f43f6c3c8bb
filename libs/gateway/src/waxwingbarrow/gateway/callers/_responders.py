"""Responses to the requests of callers."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from waxwingbarrow.gateway.base import Call, Headers, write_response_head

# Time after which a caller that was refused for lack of memory may come back.
RETRY_AFTER_MEMORY_S = b"0.5"


class ResponseWriter(Protocol):
    """The part of a connection that a response needs."""

    @property
    def is_closing(self) -> bool:
        """Whether no further request is read."""

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is gone."""

    def abort(self) -> None:
        """Reset the connection."""

    def close_after_flush(self) -> None:
        """Close the connection once the written data has been sent."""


def write_rejection(status: int) -> bytes:
    """Return a response without a body to a request that was not handled."""
    headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
    if status == 503:
        headers.append((b"Retry-After", RETRY_AFTER_MEMORY_S))
    return write_response_head(status, b"", headers)


class Responder:
    """Writes the response to one request.

    Parameters
    ----------
    keep_alive : bool
        Whether the caller lets the connection stay open after the response.

    Attributes
    ----------
    started : bool
        Whether any byte of the response was written.
    ended : bool
        Whether the response is complete or was aborted.
    is_stopped : bool
        Whether the process ends before the upstream's response is complete.
    """

    def __init__(self, connection: ResponseWriter, keep_alive: bool) -> None:
        self._connection = connection
        self._keep_alive = keep_alive
        self.started = False
        self.ended = False
        self.is_stopped = False

    def send(self, status: int, reason: bytes, headers: Headers, body: bytes) -> None:
        """Write a complete response.

        Parameters
        ----------
        reason : bytes
            Reason phrase; if empty, the standard one of the status.
        """
        head = [*headers, (b"Content-Length", b"%d" % len(body))]
        self._write_head(status, reason, head, body)
        self._end()

    def start_stream(self, status: int, reason: bytes, headers: Headers) -> None:
        """Write the head of a response whose body follows in chunks."""
        head = [*headers, (b"Transfer-Encoding", b"chunked")]
        self._write_head(status, reason, head, b"")

    def send_chunk(self, data: bytes) -> None:
        """Write a part of the body."""
        if data:
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish_stream(self) -> None:
        """End the body."""
        self._connection.write(b"0\r\n\r\n")
        self._end()

    def abort(self) -> None:
        """Reset the connection, so that the caller sees the response as incomplete."""
        self.ended = True
        self._connection.abort()

    def _write_head(
        self, status: int, reason: bytes, headers: Headers, body: bytes
    ) -> None:
        self.started = True
        self._keep_alive = self._keep_alive and not self._connection.is_closing
        if not self._keep_alive:
            headers = [*headers, (b"Connection", b"close")]
        self._connection.write(write_response_head(status, reason, headers) + body)

    def _end(self) -> None:
        self.ended = True
        if not self._keep_alive:
            self._connection.close_after_flush()


Handler = Callable[[Call, Responder], Awaitable[None]]
