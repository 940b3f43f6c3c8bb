"""Reading of requests from the bytes that a caller sends."""

from collections.abc import Callable
from typing import Any, Protocol

import httptools

from waxwingbarrow.gateway.base import Call, CallerLimits, Headers, parse_decimal
from waxwingbarrow.gateway.callers._request_bodies import IncomingBody

# Memory of a header besides its bytes: a tuple, two bytes objects, a place in a list.
HEADER_OVERHEAD_BYTES = 130


class RequestSink(Protocol):
    """Takes what a reader finds."""

    def take_request(self) -> None:
        """Take the request that is complete."""

    def reject(self, status: int, reason: str) -> None:
        """Reject the request that is being read, and stop the reader."""

    def write(self, data: bytes) -> None:
        """Write bytes to the caller."""


class RequestReader:
    """Parses the requests of one connection.

    Attributes
    ----------
    is_stopped : bool
        Whether further bytes are ignored.
    headers : list
        Headers of the request that is being read.
    body : IncomingBody
        Its body.
    is_in_body : bool
        Whether its head is complete.
    head_since_ms : int or None
        Monotonic time of the first byte of a request whose head is incomplete.
    """

    def __init__(
        self,
        sink: RequestSink,
        limits: Callable[[], CallerLimits],
        now_ms: Callable[[], int],
    ) -> None:
        self._sink = sink
        self._limits = limits
        self._now_ms = now_ms
        self._parser: Any = httptools.HttpRequestParser(self)
        self.is_stopped = False
        self.reset()

    def reset(self) -> None:
        """Forget the request that is being read."""
        self._target = b""
        self._header_bytes = 0
        self.headers: Headers = []
        self.body = IncomingBody()
        self.is_in_body = False
        self.head_since_ms: int | None = None

    def stop(self) -> None:
        """Ignore further bytes."""
        self.is_stopped = True
        self.reset()

    @property
    def is_in_message(self) -> bool:
        """Whether a request has begun and is incomplete."""
        return self.is_in_body or self.head_since_ms is not None

    @property
    def head_cost_bytes(self) -> int:
        """Memory of the head of the request that is being read."""
        return self._header_bytes + HEADER_OVERHEAD_BYTES * len(self.headers)

    @property
    def size_bytes(self) -> int:
        """Memory of the request that is being read."""
        return self.body.size_bytes + self.head_cost_bytes

    def feed(self, data: bytes | memoryview) -> None:
        """Parse bytes."""
        if self.head_since_ms is None and not self.is_in_body:
            self.head_since_ms = self._now_ms()
            self._header_bytes = 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._sink.reject(400, "an upgrade is not supported")
        except httptools.HttpParserError as error:
            self._sink.reject(400, f"the request cannot be parsed: {error}")

    def build_call(self) -> tuple[Call, bool]:
        """Return the complete request, and whether its connection may stay open."""
        call = Call(
            self._parser.get_method(),
            self._target,
            self.headers,
            self.body.join(),
            self._now_ms(),
        )
        keep_alive = self._parser.should_keep_alive()
        self.reset()
        return call, keep_alive

    # httptools callbacks

    def on_url(self, url: bytes) -> None:
        if self.is_stopped:
            return
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.is_stopped:
            return
        self.headers.append((name, value))
        # 4 bytes for the colon, the space and the line end.
        self._count_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        if self.is_stopped:
            return
        self.head_since_ms = None
        self.is_in_body = True
        for name, value in self.headers:
            lowered = name.lower()
            if lowered == b"expect" and value.lower() == b"100-continue":
                self._sink.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            elif lowered == b"content-length":
                limit = self._limits().max_body_bytes
                length = parse_decimal(value.decode("latin-1"), limit)
                if length is None:
                    self._sink.reject(413, "the declared body is too large")
                    return
                self.body.left_bytes = length

    def on_body(self, body: bytes) -> None:
        if self.is_stopped:
            return
        self.body.add(body)
        if self.body.size_bytes > self._limits().max_body_bytes:
            self._sink.reject(413, "the body is too large")

    def on_message_complete(self) -> None:
        if not self.is_stopped:
            self._sink.take_request()

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits().max_header_bytes:
            self._sink.reject(431, "the head of the request is too large")
