"""Guards the server for callers against malformed, smuggled and slow requests.

Smuggling uses a body length that two parsers read differently, such as two values of
Content-Length. A slow caller holds a connection open without finishing its request.
"""

import asyncio

import pytest

from waxwingbarrow.core import ManualClock
from waxwingbarrow.gateway.base._model import CallerLimits
from waxwingbarrow.gateway.callers._callers import CallerServer

LIMITS = CallerLimits(
    max_header_bytes=400,
    max_body_bytes=100,
    header_timeout_ms=1_000,
    idle_timeout_ms=2_000,
)
REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\n"


class RunningServer:
    """A server whose handler returns the body, after `unblock` if that is set."""

    def __init__(self):
        self.calls = []
        self.cancelled = 0
        self.unblock = None
        self.clock = ManualClock()
        self.server = CallerServer(
            self.handle, lambda: LIMITS, lambda: self.clock.now().mono_ms
        )

    async def handle(self, call, responder):
        self.calls.append(call)
        if self.unblock is not None:
            try:
                await self.unblock.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        responder.send(200, b"OK", [], b"<" + call.body + b">")

    async def connect(self):
        port = self.server._server.sockets[0].getsockname()[1]
        return await asyncio.open_connection("127.0.0.1", port)

    async def exchange(self, raw):
        reader, writer = await self.connect()
        writer.write(raw)
        try:
            async with asyncio.timeout(2):
                return await reader.read()
        finally:
            writer.close()


@pytest.fixture
async def served():
    running = RunningServer()
    await running.server.start("127.0.0.1", 0)
    yield running
    running.server.stop_listening()
    for connection in list(running.server.connections):
        connection.abort()


CLOSE = b"Connection: close\r\n"


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (REQUEST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", b"400"),
        (
            REQUEST
            + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (REQUEST + b"Content-Length: -1\r\n\r\n", b"400"),
        (REQUEST + b"X : a\r\n\r\n", b"400"),
        (REQUEST + b"X: " + b"a" * 500 + b"\r\n\r\n", b"431"),
        (REQUEST + b"Content-Length: 101\r\n\r\n", b"413"),
        (
            REQUEST
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"65\r\n"
            + b"a" * 101
            + b"\r\n0\r\n\r\n",
            b"413",
        ),
    ],
)
async def test_a_malformed_or_too_large_request_is_rejected_before_the_handler(
    served, raw, status
):
    response = await served.exchange(raw)
    assert response.split()[1] == status
    assert served.calls == []


@pytest.mark.parametrize(
    "raw",
    [
        REQUEST + CLOSE + b"Content-Length: 3\r\n\r\nabc",
        REQUEST
        + CLOSE
        + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
    ],
)
async def test_a_body_with_a_length_or_in_chunks_is_read_whole(served, raw):
    response = await served.exchange(raw)
    assert response.endswith(b"<abc>")


async def test_pipelined_requests_are_answered_in_order(served):
    raw = REQUEST + b"Content-Length: 1\r\n\r\n1" + REQUEST
    raw += CLOSE + b"Content-Length: 1\r\n\r\n2"
    response = await served.exchange(raw)
    assert response.index(b"<1>") < response.index(b"<2>")


async def test_a_request_is_cancelled_when_its_caller_disconnects(served):
    served.unblock = asyncio.Event()
    _, writer = await served.connect()
    writer.write(REQUEST + b"Content-Length: 0\r\n\r\n")
    while not served.calls:
        await asyncio.sleep(0.01)
    writer.transport.abort()
    async with asyncio.timeout(1):
        while not served.cancelled:
            await asyncio.sleep(0.01)


async def test_a_slow_head_is_rejected_and_an_idle_connection_closed(served):
    slow_reader, slow_writer = await served.connect()
    slow_writer.write(b"POST /a HT")
    idle_reader, _ = await served.connect()
    await asyncio.sleep(0.05)
    served.clock.advance_ms(1_500)
    served.server.close_expired(served.clock.now().mono_ms)
    assert (await slow_reader.read()).split()[1] == b"408"
    served.clock.advance_ms(1_000)
    served.server.close_expired(served.clock.now().mono_ms)
    assert await idle_reader.read() == b""


async def test_a_connection_is_closed_after_its_response_once_the_server_stops(served):
    reader, writer = await served.connect()
    writer.write(REQUEST + b"Content-Length: 0\r\n\r\n")
    first = await reader.readuntil(b"<>")
    assert b"close" not in first
    served.server.is_closing = True
    writer.write(REQUEST + b"Content-Length: 0\r\n\r\n")
    assert b"Connection: close" in await reader.read()


async def test_failure_of_the_handler_is_answered():
    """Guards against a closed connection after a request that may have run."""

    async def fail(call, responder):
        raise UnicodeError("label empty or too long")

    served = RunningServer()
    served.server.handler = fail
    await served.server.start("127.0.0.1", 0)
    response = await served.exchange(REQUEST + CLOSE + b"Content-Length: 0\r\n\r\n")
    served.server.stop_listening()
    assert response.startswith(b"HTTP/1.1 502 ")
