"""HTTP/1.1 connections of callers."""

import asyncio
import logging
from collections import deque
from typing import cast

from waxwingbarrow.gateway.base import Call
from waxwingbarrow.gateway.callers._caller_memory import Charge, HoldingKind
from waxwingbarrow.gateway.callers._closing import ClosingProgress
from waxwingbarrow.gateway.callers._connection_server import ConnectionServer
from waxwingbarrow.gateway.callers._request_framing import (
    ReceiveBuffer,
    holds_one_request,
)
from waxwingbarrow.gateway.callers._request_readers import RequestReader
from waxwingbarrow.gateway.callers._responders import Responder, write_rejection
from waxwingbarrow.gateway.callers._turns import MAX_TURN_MS

logger = logging.getLogger("waxwingbarrow.gateway.callers")

# Requests that are parsed and not handled yet. The parser may find a few more in the
# bytes of one step.
MAX_QUEUED = 4
# Reading from a connection pauses while this much waits behind a request. Up to it the
# connection is read, so that a caller that disconnects is noticed.
MAX_WAITING_BYTES = 16_384
# A connection is aborted when a caller that does not read its response lets more than
# this pile up in memory.
MAX_WRITE_BUFFER_BYTES = 2_097_152


class CallerConnection(asyncio.Protocol):
    """A caller's connection; its requests are handled one after the other.

    Attributes
    ----------
    idle_since_ms : int
        Monotonic time at which the connection opened or the last request ended.
    body_since_ms : int
        Monotonic time at which a part of a body arrived last.
    closing : ClosingProgress
        Whether it closes, and its caller still reads.
    """

    def __init__(self, server: ConnectionServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(self, server.limits, server.now_ms)
        self._queued: deque[tuple[Call, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._responder: Responder | None = None
        self._closing = False
        # Bodies of the requests that are handled or queued.
        self._handled_bytes = 0
        # The same with their heads and the copies of bodies that go to upstreams.
        self._handled_cost_bytes = 0
        self._waiting = ReceiveBuffer()
        self._is_paused = False
        self._can_write = True
        self._charge_record = Charge(self, server.memory)
        # Whether the request that was read is charged as a handled one.
        self._is_taken = False
        self.idle_since_ms = 0
        self.body_since_ms = 0
        self.closing = ClosingProgress()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports do not derive from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self.idle_since_ms = self._server.now_ms()
        if not self._server.admit(self):
            self.abort()

    def data_received(self, data: bytes) -> None:
        if self._closing:
            return
        reader = self._reader
        is_one_request = False
        if reader.is_in_body:
            self.body_since_ms = self._server.now_ms()
            is_one_request = reader.body.left_bytes >= len(data)
        elif self._task is None:
            is_one_request = holds_one_request(data)
        is_blocked = self._task is not None or not self._can_write
        if is_blocked or self._waiting.left_bytes or not is_one_request:
            self._waiting.append(data)
            self._parse_waiting()
        else:
            # Spares ordinary requests the steps.
            reader.feed(data)
            if reader.is_in_body or reader.head_since_ms is not None:
                self._count_message()

    def pause_writing(self) -> None:
        self._can_write = False

    def resume_writing(self) -> None:
        self._can_write = True
        self._charge()
        if self._task is None:
            self._continue()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.discard(self)
        self._server.incoming.release(self)
        self._charge_record.release()
        self._closing = True
        self._queued.clear()
        self._reader.stop()
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    # Interface for RequestReader

    def take_request(self) -> None:
        """Queue the request that is complete, if there is memory for it."""
        if len(self._queued) >= MAX_QUEUED:
            self._server.count_limit("pipelined requests")
            self.reject(400, "too many pipelined requests")
            return
        self._server.incoming.release(self)
        body_bytes = self._reader.body.size_bytes
        if not self._reserve_memory(body_bytes):
            return
        self._handled_bytes += body_bytes
        self._server.handled_bytes += body_bytes
        self._queued.append(self._reader.build_call())
        if self._task is None:
            self._start_next()

    def reject(self, status: int, reason: str) -> None:
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
        self._server.incoming.release(self)
        self._reader.stop()
        self._waiting.clear()
        if self._task is None:
            self.write(write_rejection(status))
            self.close_after_flush()

    # Interface for Responder and CallerServer

    @property
    def is_closing(self) -> bool:
        """Whether no further request is read."""
        return self._closing or self._server.is_closing

    @property
    def head_since_ms(self) -> int | None:
        """Monotonic time of the first byte of a request whose head is incomplete."""
        return self._reader.head_since_ms

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled."""
        return self._task is None and not self._reader.is_in_message

    @property
    def has_begun(self) -> bool:
        """Whether a response has begun and is not complete."""
        responder = self._responder
        return responder is not None and responder.started and not responder.ended

    @property
    def is_excessive(self) -> bool:
        """Whether bytes wait behind a request or a response that is not read."""
        return self._waiting.left_bytes > 0 and (
            self._task is not None or not self._can_write
        )

    @property
    def is_reading_body(self) -> bool:
        """Whether the body of a request is incomplete."""
        return self._reader.is_in_body and self._task is None

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
        unread_bytes = transport.get_write_buffer_size()
        if unread_bytes > MAX_WRITE_BUFFER_BYTES:
            logger.warning("caller does not read its response; connection aborted")
            self._server.count_limit("unread response")
            transport.abort()
        elif unread_bytes > MAX_WAITING_BYTES:
            self._charge()

    def abort(self) -> None:
        """Reset the connection."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def close_after_flush(self) -> None:
        """Close the connection once the written data has been sent."""
        self._closing = True
        self.closing.begin(self._server.now_ms())
        if self._transport is not None:
            self._transport.close()

    def drop_for_memory(self) -> None:
        """Free the memory of the connection, which holds more than others."""
        if (
            self._task is None
            and not self._waiting.left_bytes
            and not self.unread_bytes
        ):
            self._refuse_for_memory()
        else:
            self.abort()
        self._reader.stop()
        self._waiting.clear()
        self._charge_record.release()

    def _refuse_for_memory(self) -> None:
        """Refuse the request that is being read, to free the memory of its body."""
        self._server.count_limit("memory")
        self.reject(503, "the bodies of all requests need too much memory")

    # Memory and back-pressure

    def take_turn(self) -> None:
        """Go on parsing a chunked body."""
        self._continue(has_turn=True)

    def _parse_waiting(self, has_turn: bool = False) -> None:
        """Parse one request; the rest waits until its response has been read."""
        waiting, reader, server = self._waiting, self._reader, self._server
        turn_end_ms: int | None = None
        while waiting.left_bytes and not self._closing:
            if self._task is not None or not self._can_write:
                self._hold_back()
                return
            if reader.is_in_body and not reader.body.left_bytes:
                now_ms = server.now_ms()
                if turn_end_ms is None:
                    turn_end_ms = now_ms + MAX_TURN_MS
                    is_over = server.turns.is_busy and not has_turn
                else:
                    is_over = now_ms > turn_end_ms
                if is_over:
                    self._pause_reading()
                    server.turns.add(self)
                    break
            reader.feed(waiting.take_step(reader.is_in_body, reader.body.left_bytes))
        self._count_message()

    def _hold_back(self) -> None:
        """Stop reading while much waits; charge for it."""
        max_bytes = self._server.limits().max_header_bytes
        if (
            self._task is not None
            and not self._reader.is_in_message
            and self._waiting.has_endless_head(max_bytes)
        ):
            self.reject(431, "the head of the request is too large")
            return
        self._waiting.compact()
        if self._waiting.left_bytes >= MAX_WAITING_BYTES:
            self._pause_reading()
        self._charge()

    def _pause_reading(self) -> None:
        transport = self._transport
        if transport is not None and not (self._is_paused or transport.is_closing()):
            self._is_paused = True
            transport.pause_reading()

    def _count_message(self) -> None:
        """Count the memory of the request that is being read, and of what waits."""
        body = self._reader.body
        new_bytes = body.size_bytes - body.counted_bytes
        if new_bytes and not self._closing:
            body.counted_bytes = body.size_bytes
            self._server.incoming.add(self, new_bytes, self._refuse_for_memory)
        # A connection that waits for its first turn has not parsed any of its body.
        held_bytes = self._reader.size_bytes + len(self._waiting)
        if held_bytes > MAX_WAITING_BYTES or self._charge_record.is_recorded:
            self._charge()

    def _reserve_memory(self, body_bytes: int) -> bool:
        """Charge for a complete request; refuse it if there is no memory."""
        if not self._server.can_handle(body_bytes):
            self._refuse_for_memory()
            return False
        # The body is copied for the upstream.
        cost_bytes = self._reader.head_cost_bytes + 2 * body_bytes
        self._handled_cost_bytes += cost_bytes
        record = self._charge_record
        if self._handled_cost_bytes <= MAX_WAITING_BYTES and not record.is_recorded:
            return True
        self._is_taken = True
        self._charge()
        self._is_taken = False
        if self._closing:
            return False
        if cost_bytes > MAX_WAITING_BYTES and self._server.memory.is_exhausted:
            self._handled_cost_bytes -= cost_bytes
            self._refuse_for_memory()
            return False
        return True

    def _charge(self) -> None:
        """Record what the connection holds, and drop what exceeds the limit."""
        self.measure()
        if self._server.memory.is_exhausted:
            self._server.drop_over_limit()

    def measure(self) -> None:
        """Record what the connection holds now."""
        unread_bytes = self.unread_bytes
        held_bytes = self._handled_cost_bytes + len(self._waiting) + unread_bytes
        if not self._is_taken:
            held_bytes += self._reader.size_bytes
        if self.is_excessive:
            kind = HoldingKind.EXCESSIVE
        elif self._handled_cost_bytes and unread_bytes <= MAX_WAITING_BYTES:
            kind = HoldingKind.HANDLED
        else:
            kind = HoldingKind.IN_TRANSIT
        self._charge_record.record(held_bytes, kind, self._server.now_ms())

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
        """Answer the handled request as timed out; break off a response that began."""
        if self._task is None or self._responder is None:
            return
        self._responder.is_stopped = True
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
            self._handled_cost_bytes = 0
        if is_ended or transport is None:
            if transport is not None:
                self.close_after_flush()
            return
        if self._charge_record.is_recorded:
            self._charge()
        if self._queued or self._waiting.left_bytes or self._is_paused:
            self._continue()

    def _continue(self, has_turn: bool = False) -> None:
        """Go on with the next request, once the caller has read its response."""
        if self._closing or self._task is not None or not self._can_write:
            return
        if self._queued:
            self._start_next()
            return
        self._parse_waiting(has_turn)
        if self._is_paused and self._waiting.left_bytes < MAX_WAITING_BYTES:
            self._is_paused = False
            if self._transport is not None and not self._transport.is_closing():
                self._transport.resume_reading()
