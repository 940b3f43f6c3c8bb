"""HTTP/1.1 connections to upstreams and to the platform."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, cast

import attrs
import httptools

from waxwingbarrow.gateway.base import (
    Headers,
    MemoryBudget,
    ResponseHead,
    discard_unsent,
    parse_decimal,
    set_timeouts,
)
from waxwingbarrow.gateway.upstreams._response_bounds import (
    MAX_BODY_BYTES,
    MAX_HEADERS,
    MAX_SKIPPED_RESPONSES,
    BodyBudget,
    OversizedError,
    check_overhead,
    check_status,
)

# An idle connection is dropped this long before the upstream's own idle timeout; a
# request sent just before the upstream closes the connection would be lost.
IDLE_TIMEOUT_MARGIN_S = 1.0
# Assumed for a peer that does not state its idle timeout.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Lower bound of an idle timeout after the margin was subtracted.
MIN_IDLE_TIMEOUT_S = 0.5
# Reading from the socket pauses while more of a body than this is unread.
MAX_BUFFERED_BYTES = 65_536
# Parts of at least this size are kept as they are; a part takes about 50 bytes more.
MIN_PART_BYTES = 4_096


class ChannelError(Exception):
    """Base class of the failures of an exchange."""


class ConnectError(ChannelError):
    """The connection could not be established; nothing was sent.

    Parameters
    ----------
    refused : bool
        Whether nothing listens at the peer's port.
    """

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class BrokenError(ChannelError):
    """The connection closed before the response was complete.

    Parameters
    ----------
    sent : bool
        Whether any byte of the request may have reached the peer.
    """

    def __init__(self, reason: str, sent: bool = True) -> None:
        super().__init__(reason)
        self.sent = sent

    def renew(self) -> "BrokenError":
        """Return a new error to raise.

        The traceback of a kept one would keep the frames that it passed through, with
        the bytes of the response, until the garbage collection of cycles.
        """
        return BrokenError(str(self), self.sent)


@attrs.define
class _Exchange:
    """A request that was sent, and its response as far as it was received.

    Parameters
    ----------
    is_expected : callable
        Returns whether the head of a response belongs to the request.
    chunks : deque of bytes or bytearray
        Parts of the body that were received and not read yet; see `add_part`.
    complete : bool
        Whether the whole response was received.
    """

    is_expected: Callable[[ResponseHead], bool]
    head: ResponseHead | None = None
    chunks: deque[bytes | bytearray] = attrs.Factory(deque)
    complete: bool = False
    error: BrokenError | None = None
    buffered_bytes: int = 0
    received_bytes: int = 0
    body_bytes: int = 0
    skipped_responses: int = 0

    def add_part(self, part: bytes) -> None:
        """Add a part of the body; small ones are copied together to save memory."""
        chunks = self.chunks
        if not chunks or len(part) >= MIN_PART_BYTES:
            chunks.append(part)
        elif isinstance(chunks[-1], bytearray):
            chunks[-1] += part
        else:
            chunks.append(bytearray(part))
        self.buffered_bytes += len(part)
        self.body_bytes += len(part)

    def drop_parts(self) -> None:
        """Free what was not read; the response is then incomplete."""
        if self.chunks:
            self.chunks.clear()
            self.buffered_bytes = 0
            self.complete = False
            self.error = self.error or BrokenError("closed before the body was read")


class Channel(asyncio.Protocol):
    """A connection that carries one request and its response at a time.

    Attributes
    ----------
    reusable : bool
        Whether another exchange may follow on this connection.
    exchange_count : int
        Number of requests that were sent on it.
    idle_since_s : float
        Monotonic time at which the last exchange ended.
    idle_timeout_s : float
        Time after which an idle connection is not used any more.
    """

    def __init__(
        self,
        body_budget: BodyBudget | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._body_budget = body_budget or BodyBudget()
        self._memory = memory or MemoryBudget(MAX_BODY_BYTES)
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpResponseParser(self)
        self._exchange: _Exchange | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._status_text = b""
        self._headers: Headers = []
        # Whether the response that is being parsed is ignored: it is informational or
        # belongs to no pending request.
        self._is_skipping = False
        # Whether the headers tell where the body ends.
        self._has_length = False
        self._paused = False
        self.reusable = True
        self.exchange_count = 0
        self.idle_since_s = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports do not derive from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        set_timeouts(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        exchange = self._exchange
        if exchange is None:
            # Data without a pending request.
            self.close()
            return
        exchange.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
            check_overhead(exchange.received_bytes, exchange.body_bytes)
        except OversizedError as error:
            self._reject(exchange, str(error))
        except httptools.HttpParserCallbackError as error:
            self._reject(exchange, str(error.__context__ or error))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._reject(exchange, f"malformed response: {error}")

    def eof_received(self) -> bool:
        exchange = self._exchange
        self.reusable = False
        if (
            exchange is not None
            and exchange.head is not None
            and not exchange.complete
            and not self._is_skipping
            and not self._has_length
        ):
            # The body of a response without a length ends with the connection.
            exchange.complete = True
            self._notify_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.reusable = False
        self._fail(BrokenError("reset" if exc else "closed by the other end"))

    # httptools callbacks

    def on_message_begin(self) -> None:
        self._status_text = b""
        self._headers = []
        self._has_length = False
        self._is_skipping = False
        exchange = self._exchange
        if exchange is None or exchange.complete:
            self.reusable = False
            self._is_skipping = True
            raise OversizedError("bytes after the end of the response")
        if exchange.skipped_responses > MAX_SKIPPED_RESPONSES:
            raise OversizedError(
                f"more than {MAX_SKIPPED_RESPONSES} responses without the expected one"
            )

    def on_status(self, status: bytes) -> None:
        self._status_text += status

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self._headers) >= MAX_HEADERS:
            raise OversizedError(f"more than {MAX_HEADERS} headers")
        self._headers.append((name, value))
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_headers_complete(self) -> None:
        exchange = self._exchange
        status = self._parser.get_status_code()
        if check_status(status) or self._is_skipping or exchange is None:
            self._is_skipping = True
            if exchange is not None:
                exchange.skipped_responses += 1
            return
        head = ResponseHead(status, self._status_text, self._headers)
        if not exchange.is_expected(head):
            # A late response to an earlier request; the expected one follows.
            self._is_skipping = True
            self.reusable = False
            exchange.skipped_responses += 1
            return
        exchange.head = head
        if not self._has_length:
            self.reusable = False
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._notify_reader()

    def on_body(self, body: bytes) -> None:
        exchange = self._exchange
        if self._is_skipping or exchange is None:
            return
        exchange.add_part(body)
        if exchange.buffered_bytes > MAX_BUFFERED_BYTES and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._notify_reader()

    def on_message_complete(self) -> None:
        if self._is_skipping or self._exchange is None:
            self._is_skipping = False
            return
        self._exchange.complete = True
        self._notify_reader()

    # Interface for the owner of the channel

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection shows the end of the body."""
        return not self._has_length

    @property
    def is_open(self) -> bool:
        """Whether the connection can still be written to."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, data: bytes, is_expected: Callable[[ResponseHead], bool]) -> None:
        """Send a request; `is_expected` tells whether a response belongs to it.

        Raises
        ------
        BrokenError
            The connection is closed; nothing was sent.
        """
        if self._transport is None or self._transport.is_closing():
            raise BrokenError("the connection was closed while idle", sent=False)
        self._exchange = _Exchange(is_expected)
        self.exchange_count += 1
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Return the head of the response.

        Raises
        ------
        BrokenError
            The connection closed before the head was complete.
        """
        exchange = self._exchange
        assert exchange is not None
        while exchange.head is None:
            if exchange.error is not None:
                raise exchange.error.renew()
            await self._wait()
        return exchange.head

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body; empty bytes mark its end.

        Raises
        ------
        BrokenError
            The connection closed before the body was complete.
        """
        exchange = self._exchange
        assert exchange is not None
        while True:
            if exchange.chunks:
                data = b"".join(exchange.chunks)
                exchange.chunks.clear()
                exchange.buffered_bytes = 0
                if self._paused and self._transport is not None:
                    self._paused = False
                    self._transport.resume_reading()
                return data
            if exchange.complete:
                return b""
            if exchange.error is not None:
                raise exchange.error.renew()
            await self._wait()

    async def read_body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        BrokenError
            The connection closed before the body was complete, or the body is larger
            than `MAX_BODY_BYTES`, than what is left of the peer's `BodyBudget`, or than
            other bodies that need memory at the same time.
        """
        parts = []
        size_bytes = 0
        budget = self._body_budget
        self._check_declared_length()
        try:
            while data := await self.read_chunk():
                parts.append(data)
                size_bytes += len(data)
                budget.free_bytes -= len(data)
                self._memory.add(self, len(data), self._give_up_body)
                if size_bytes > MAX_BODY_BYTES or budget.free_bytes < 0:
                    self.close()
                    raise BrokenError(f"the body has more than {size_bytes} bytes")
            return b"".join(parts)
        finally:
            # A caller may keep the traceback, and with it this frame.
            parts.clear()
            budget.free_bytes += size_bytes
            self._memory.release(self)

    def _check_declared_length(self) -> None:
        """Close the connection at once if the body is declared to be too large."""
        exchange = self._exchange
        assert exchange is not None
        for name, value in exchange.head.headers if exchange.head else ():
            if name.lower() != b"content-length":
                continue
            if parse_decimal(value.decode("latin-1"), MAX_BODY_BYTES) is None:
                self.close()
                raise BrokenError(f"the body has more than {MAX_BODY_BYTES} bytes")

    def _give_up_body(self) -> None:
        """Fail the exchange and drop what was received, to free its memory."""
        exchange = self._exchange
        if exchange is not None:
            # Also if the rest has arrived, as a part of the body is dropped here.
            exchange.chunks.clear()
            exchange.complete = False
        self._fail(BrokenError("the bodies of all responses need too much memory"))

    def finish(self, now_s: float) -> None:
        """End the exchange; the connection becomes idle or is closed."""
        exchange = self._exchange
        if exchange is None or not exchange.complete or exchange.chunks:
            self.reusable = False
        self.idle_since_s = now_s
        if not self.reusable:
            self.close()
        self._exchange = None

    def close(self) -> None:
        """Close the connection; an upstream then cancels the request it runs for it.

        During an exchange the connection is reset: a request that a cut network holds
        up must not arrive after it was given up. What was received is dropped: the
        channel and its parser refer to each other, so it lasts until a collection.
        """
        self._disconnect()
        if self._exchange is not None:
            self._exchange.drop_parts()

    def _disconnect(self) -> None:
        """Close the connection; parts that were received can still be read."""
        self.reusable = False
        if self._transport is None or self._transport.is_closing():
            return
        if self._exchange is not None and not self._exchange.complete:
            discard_unsent(self._transport.get_extra_info("socket"))
        self._transport.abort()

    def is_fresh(self, now_s: float) -> bool:
        """Whether the connection is open and within its idle timeout."""
        return self.is_open and now_s - self.idle_since_s < self.idle_timeout_s

    def _reject(self, exchange: _Exchange, reason: str) -> None:
        """Close the connection after bytes that are not part of a response."""
        self.reusable = False
        if exchange.complete:
            self._disconnect()
        else:
            self._fail(BrokenError(reason))

    def _fail(self, error: BrokenError) -> None:
        exchange = self._exchange
        if exchange is not None and exchange.error is None and not exchange.complete:
            exchange.error = error
        self._disconnect()
        self._notify_reader()

    def _notify_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
