"""Guards against callers that exhaust the memory of a host.

Many send large bodies at once, slowly or without an end, or do not read their
responses. Requests with small bodies are served meanwhile.
"""

import asyncio
import contextlib

import pytest

from waxwingbarrow.core import ManualClock
from waxwingbarrow.gateway.base._model import CallerLimits
from waxwingbarrow.gateway.callers import _callers
from waxwingbarrow.gateway.callers._callers import CallerServer

MIB = 1_048_576
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
LIMITS = CallerLimits(max_body_bytes=4 * MIB)


class RunningServer:
    """A server whose handler waits for `unblock` before it returns the size."""

    def __init__(self):
        self.unblock = asyncio.Event()
        self.response = b""
        self.writers = []
        self.server = CallerServer(self.handle, lambda: LIMITS, ManualClock().now)
        self.server.now_ms = lambda: 0

    async def handle(self, call, responder):
        await self.unblock.wait()
        responder.send(200, b"OK", [], self.response or b"%d" % len(call.body))

    async def connect(self):
        port = self.server._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.writers.append(writer)
        return reader, writer

    async def send(self, size_bytes, sent_bytes=None):
        """Send a request, or the first part of one, and return its connection."""
        reader, writer = await self.connect()
        writer.write(HEAD % size_bytes)
        sent = size_bytes if sent_bytes is None else sent_bytes
        writer.write(b"x" * sent)
        await writer.drain()
        return reader, writer


@pytest.fixture
async def served(monkeypatch):
    monkeypatch.setattr(_callers, "MAX_INCOMING_BYTES", 8 * MIB)
    monkeypatch.setattr(_callers, "MAX_HANDLED_BYTES", 8 * MIB)
    monkeypatch.setattr(_callers, "MAX_UNREAD_BYTES", 4 * MIB)
    running = RunningServer()
    await running.server.start("127.0.0.1", 0)
    yield running
    running.server.stop_listening()
    for connection in list(running.server.connections):
        connection.abort()
    for writer in running.writers:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()


async def read_status(reader):
    async with asyncio.timeout(3):
        line = await reader.readline()
    return int(line.split()[1])


async def test_unfinished_bodies_share_a_budget(served):
    served.unblock.set()
    large = [await served.send(3 * MIB, 3 * MIB - 1) for _ in range(6)]
    small_reader, small_writer = await served.send(100)
    assert await read_status(small_reader) == 200
    await asyncio.sleep(0.2)
    assert served.server.incoming.total_bytes <= 8 * MIB
    refused = [item for item in large if not item[0].at_eof() and item[0]._buffer]
    assert len(refused) >= 4
    for reader, _ in refused:
        assert await read_status(reader) == 503
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"Retry-After:" in head
    for _, writer in [*large, (small_reader, small_writer)]:
        writer.close()
    await asyncio.sleep(0.1)
    assert served.server.incoming.total_bytes == 0


async def test_handled_bodies_are_bounded_and_small_ones_are_served(served):
    large = [await served.send(3 * MIB) for _ in range(4)]
    small_reader, _ = await served.send(100)
    await asyncio.sleep(0.2)
    assert served.server.handled_bytes <= 8 * MIB
    served.unblock.set()
    statuses = [await read_status(reader) for reader, _ in large]
    assert sorted(statuses) == [200, 200, 503, 503]
    assert await read_status(small_reader) == 200
    assert served.server.handled_bytes == 0


async def test_callers_that_do_not_read_share_a_bound(served):
    served.response = b"x" * (3 * MIB // 2)
    served.unblock.set()
    connections = [await served.send(10) for _ in range(8)]
    for reader, _ in connections:
        reader._transport.pause_reading()
    await asyncio.sleep(0.2)
    served.server.abort_unread()
    unread = [item.unread_bytes for item in served.server.connections]
    assert sum(unread) <= 4 * MIB
    for _, writer in connections:
        writer.close()


async def test_bodies_of_closed_connections_do_not_count(served):
    connections = [await served.send(3 * MIB) for _ in range(2)]
    await asyncio.sleep(0.1)
    assert served.server.handled_bytes == 6 * MIB
    for _, writer in connections:
        writer.close()
    await asyncio.sleep(0.1)
    assert served.server.handled_bytes == 0


async def test_endless_head_behind_a_request_takes_no_memory(served):
    """Guards against headers that are kept while an earlier request is handled."""
    reader, writer = await served.send(10)
    writer.write(b"POST /b HTTP/1.1\r\n")
    for _ in range(200):
        writer.write(b"X-More: and more\r\n" * 500)
        await writer.drain()
    await asyncio.sleep(0.1)
    (connection,) = served.server.connections
    headers = len(connection._reader.headers) * len(b"X-More: and more")
    assert headers + len(connection._waiting) < 2 * 16_384
    served.unblock.set()
    assert await read_status(reader) == 200
    writer.close()
