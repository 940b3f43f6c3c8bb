"""HTTP/1.1 connections of callers, and the responses to their requests."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, cast

import httptools

from waxwingbarrow.gateway.base import Call, Headers, parse_decimal, write_response_head

if TYPE_CHECKING:
    from waxwingbarrow.gateway.callers._callers import CallerServer

logger = logging.getLogger("waxwingbarrow.gateway.callers")

# Reading from a connection pauses while this many pipelined requests are queued.
MAX_PIPELINED = 4
# A connection is aborted when a caller that does not read its response lets more than
# this pile up in memory.
MAX_WRITE_BUFFER_BYTES = 2_097_152
# Time after which a caller that was refused for lack of memory may come back.
RETRY_AFTER_MEMORY_S = b"0.5"


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
    """

    def __init__(self, connection: "CallerConnection", keep_alive: bool) -> None:
        self._connection = connection
        self._keep_alive = keep_alive
        self.started = False
        self.ended = False

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


class CallerConnection(asyncio.Protocol):
    """A caller's connection; its requests are handled one after the other.

    Attributes
    ----------
    idle_since_ms : int
        Monotonic time at which the connection opened or the last request ended.
    head_since_ms : int or None
        Monotonic time of the first byte of a request whose head is incomplete.
    """

    def __init__(self, server: "CallerServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._queued: deque[tuple[Call, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._responder: Responder | None = None
        self._closing = False
        # Bodies of the requests that are handled or queued.
        self._handled_bytes = 0
        self._reset_message()
        self.idle_since_ms = 0
        self.head_since_ms: int | None = None

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports do not derive from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)
        self.idle_since_ms = self._server.now_ms()
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self._closing:
            return
        if self.head_since_ms is None and not self._in_body:
            self.head_since_ms = self._server.now_ms()
            self._header_bytes = 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "an upgrade is not supported")
        except httptools.HttpParserError as error:
            self._reject(400, f"the request cannot be parsed: {error}")

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._server.incoming.release(self)
        self._closing = True
        self._queued.clear()
        if self._task is not None:
            self._task.cancel()

    # httptools callbacks

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._closing:
            return
        self._headers.append((name, value))
        # 4 bytes for the colon, the space and the line end.
        self._count_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        self.head_since_ms = None
        self._in_body = True
        for name, value in self._headers:
            lowered = name.lower()
            if lowered == b"expect" and value.lower() == b"100-continue":
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            elif lowered == b"content-length":
                limit = self._server.limits().max_body_bytes
                if parse_decimal(value.decode("latin-1"), limit) is None:
                    self._reject(413, "the declared body is too large")

    def on_body(self, body: bytes) -> None:
        if self._closing:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits().max_body_bytes:
            self._reject(413, "the body is too large")
        else:
            self._server.incoming.add(self, len(body), self._give_up_request)

    def on_message_complete(self) -> None:
        if self._closing:
            return
        self._server.incoming.release(self)
        if not self._server.can_handle(self._body_bytes):
            self._reject(503, "the bodies of all requests need too much memory")
            return
        self._handled_bytes += self._body_bytes
        self._server.handled_bytes += self._body_bytes
        call = Call(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            self._server.now_ms(),
        )
        keep_alive = self._parser.should_keep_alive()
        self._reset_message()
        self._queued.append((call, keep_alive))
        if self._task is None:
            self._start_next()
        elif len(self._queued) >= MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    # Interface for Responder and CallerServer

    @property
    def is_closing(self) -> bool:
        """Whether no further request is read."""
        return self._closing or self._server.is_closing

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled."""
        return self._task is None and self.head_since_ms is None and not self._in_body

    @property
    def unread_bytes(self) -> int:
        """Bytes of responses that wait until the caller reads."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is gone."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)
        if transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            logger.warning("caller does not read its response; connection aborted")
            transport.abort()

    def abort(self) -> None:
        """Reset the connection."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def close_after_flush(self) -> None:
        """Close the connection once the written data has been sent."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def reject_slow_head(self) -> None:
        """Reject a request whose head did not arrive in time."""
        self._reject(408, "the head of the request took too long")

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._in_body = False
        self.head_since_ms = None

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits().max_header_bytes:
            self._reject(431, "the head of the request is too large")

    def _reject(self, status: int, reason: str) -> None:
        """Answer the request that is being read with an error status and disconnect.

        While an earlier request is handled, no status is written: the connection closes
        after the response to that request.
        """
        if self._closing:
            return
        logger.warning(
            "request rejected before routing",
            extra={"status": status, "reason": reason},
        )
        self._closing = True
        if self._task is None:
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            if status == 503:
                headers.append((b"Retry-After", RETRY_AFTER_MEMORY_S))
            self.write(write_response_head(status, b"", headers))
            if self._transport is not None:
                self._transport.close()

    def _give_up_request(self) -> None:
        """Refuse the request that is being read, to free the memory of its body."""
        self._body.clear()
        self._reject(503, "the bodies of all requests need too much memory")

    def _start_next(self) -> None:
        call, keep_alive = self._queued.popleft()
        responder = self._responder = Responder(self, keep_alive)
        self._task = asyncio.get_running_loop().create_task(
            self._handle(call, responder)
        )

    async def _handle(self, call: Call, responder: Responder) -> None:
        try:
            await self._server.handler(call, responder)
        except asyncio.CancelledError:
            pass
        except Exception:
            logger.exception("request handler failed")
            if not (responder.started or responder.ended):
                # The request may have run, so the status promises nothing.
                responder.send(502, b"", [], b"the gateway failed\n")
        finally:
            self._task = None
            if not responder.ended:
                responder.abort()
            self._finish_request()

    def end_request(self) -> None:
        """Answer the request that is being handled as timed out, if none has begun.

        A response that has begun is broken off, so that it does not look complete.
        """
        if self._task is None or self._responder is None:
            return
        if not (self._responder.started or self._responder.ended):
            self._responder.send(504, b"", [], b"the host is shutting down\n")
        self._task.cancel()

    def _finish_request(self) -> None:
        transport = self._transport
        self.idle_since_ms = self._server.now_ms()
        is_ended = self._closing or transport is None or transport.is_closing()
        if is_ended or not self._queued:
            self._server.handled_bytes -= self._handled_bytes
            self._handled_bytes = 0
        if is_ended or transport is None:
            if transport is not None:
                transport.close()
            return
        transport.resume_reading()
        if self._queued:
            self._start_next()
