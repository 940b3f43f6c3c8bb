"""Guards against callers that take the memory or the connections of the others.

Unfinished bodies, requests behind an unfinished one, and connections that send nothing
must make room for an ordinary caller.
"""

import asyncio
import contextlib

import pytest

from waxwingbarrow.gateway.base import CallerLimits, HostSize, compute_size_limits
from waxwingbarrow.gateway.callers._caller_memory import CallerMemory, HoldingKind
from waxwingbarrow.gateway.callers._callers import CallerServer
from waxwingbarrow.gateway.callers._turns import TurnQueue

MIB = 1_048_576
REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


def test_requests_behind_another_are_dropped_before_a_larger_body():
    """Guards against pipelined requests that push out an ordinary upload."""
    memory = CallerMemory(limit_bytes=100)
    memory.put("upload", 90, HoldingKind.IN_TRANSIT, 0)
    memory.put("pipelined", 20, HoldingKind.EXCESSIVE, 0)
    assert memory.choose_to_drop(0) == "pipelined"


def test_a_stalled_body_is_dropped_before_a_larger_one_that_arrives():
    """Guards against unfinished bodies that push out an ordinary upload."""
    memory = CallerMemory(limit_bytes=100)
    memory.put("stalled", 40, HoldingKind.IN_TRANSIT, 0)
    memory.put("upload", 50, HoldingKind.IN_TRANSIT, 0)
    memory.put("upload", 70, HoldingKind.IN_TRANSIT, 1_500)
    assert memory.choose_to_drop(1_600) == "stalled"


def test_a_handled_request_is_never_dropped():
    """Guards against cutting off a request that may have run."""
    memory = CallerMemory(limit_bytes=100)
    memory.put("handled", 200, HoldingKind.HANDLED, 0)
    assert memory.is_exhausted
    assert memory.choose_to_drop(5_000) is None
    memory.release("handled")
    assert memory.total_bytes == 0


@pytest.mark.parametrize("descriptors", [128, 1_024, 1_638])
def test_connections_fit_into_the_descriptors(descriptors):
    """Guards against a host that cannot connect to its upstreams."""
    limits = compute_size_limits(HostSize(max_descriptors=descriptors), 100_000)
    used = 2 * limits.caller_connections + 3 * limits.internal_connections
    assert used < descriptors


def test_the_smallest_host_has_memory_for_its_limits():
    # A gateway without load takes 40 MB.
    limits = compute_size_limits(HostSize(), 1_638)
    total = limits.caller_memory_bytes + limits.internal_memory_bytes
    assert total + limits.upstream_body_bytes < (160 - 40) * MIB
    # A body of 4 MiB and its copy for the upstream.
    assert limits.caller_memory_bytes > 2 * 4 * MIB


class CountingTaker:
    """Takes three turns, and notes each."""

    def __init__(self, turns, taken):
        self.turns = turns
        self.taken = taken
        self.left = 3

    def take_turn(self):
        self.taken.append(self)
        self.left -= 1
        if self.left:
            self.turns.add(self)


async def test_connections_take_one_turn_in_each_iteration():
    """Guards against bodies in tiny chunks that keep ordinary requests waiting.

    With 200 of them, an ordinary request was not answered within 20 s.
    """
    turns, taken = TurnQueue(), []
    takers = [CountingTaker(turns, taken) for _ in range(4)]
    for taker in takers:
        turns.add(taker)
        turns.add(taker)
    for count in range(1, 13):
        await asyncio.sleep(0)
        assert len(taken) == count
    assert taken == takers * 3
    assert not turns.is_busy


class RunningServer:
    """A server with small limits, whose handler waits for `unblock`."""

    def __init__(self, memory=None, max_connections=None):
        self.handled = 0
        self.limits_in_effect = []
        self.unblock = asyncio.Event()
        self.unblock.set()
        self.response = b""
        self.now_ms = 0
        self.writers = []
        self.server = CallerServer(
            self.handle,
            CallerLimits,
            lambda: self.now_ms,
            memory,
            max_connections,
            self.limits_in_effect.append,
        )

    async def handle(self, call, responder):
        self.handled += 1
        await self.unblock.wait()
        responder.send(200, b"OK", [], self.response)

    async def connect(self, data):
        port = self.server._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.writers.append(writer)
        writer.write(data)
        await asyncio.sleep(0.05)
        return reader, writer


@contextlib.asynccontextmanager
async def serve(**fields):
    running = RunningServer(**fields)
    await running.server.start("127.0.0.1", 0)
    try:
        yield running
    finally:
        running.unblock.set()
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


async def test_pipelined_requests_wait_unparsed():
    """Guards against thousands of requests that were read along with the first."""
    async with serve() as running:
        running.unblock.clear()
        await running.connect(REQUEST * 2_000)
        (connection,) = running.server.connections
        assert running.handled == 1
        assert len(connection._queued) == 0
        running.unblock.set()
        async with asyncio.timeout(10):
            while running.handled < 2_000:
                await asyncio.sleep(0.02)


async def test_requests_wait_until_responses_are_read():
    """Guards against responses that pile up for a caller that reads none."""
    async with serve() as running:
        running.response = b"x" * 100_000
        reader, writer = await running.connect(b"")
        writer.transport.pause_reading()
        writer.write(REQUEST * 1_000)
        await asyncio.sleep(0.5)
        (connection,) = running.server.connections
        assert running.handled < 1_000
        assert connection.unread_bytes < 3 * 100_000
        writer.transport.resume_reading()
        async with asyncio.timeout(10):
            while running.handled < 1_000:
                await reader.read(MIB)


async def test_a_new_connection_takes_the_place_of_the_oldest_idle_one():
    async with serve(max_connections=3) as running:
        readers = []
        for _ in range(3):
            reader, _ = await running.connect(b"")
            readers.append(reader)
            running.now_ms += 10
        reader, _ = await running.connect(REQUEST)
        assert await read_status(reader) == 200
        assert await readers[0].read() == b""
        assert len(running.server.connections) == 3
        assert running.limits_in_effect == ["connections"]


async def test_a_stalled_body_makes_room_for_a_connection():
    """Guards against unfinished bodies that occupy all connections for ever."""
    async with serve(max_connections=2) as running:
        unfinished = REQUEST.replace(b": 0", b": 9") + b"1234"
        for _ in range(2):
            await running.connect(unfinished)
        running.now_ms += 1_500
        reader, _ = await running.connect(REQUEST)
        assert await read_status(reader) == 200


async def test_a_request_that_is_handled_keeps_its_connection():
    async with serve(max_connections=1) as running:
        running.unblock.clear()
        reader, _ = await running.connect(REQUEST)
        refused, _ = await running.connect(b"")
        assert await refused.read() == b""
        running.unblock.set()
        assert await read_status(reader) == 200


async def test_a_body_in_tiny_chunks_is_read_whole():
    """Guards against a limit on small chunks, which are allowed."""
    async with serve() as running:
        head = REQUEST.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        chunks = b"2\r\n\r\n\r\n" * 60_000
        reader, _ = await running.connect(head + chunks + b"0\r\n\r\n" + REQUEST)
        assert await read_status(reader) == 200
        async with asyncio.timeout(10):
            while running.handled < 2:
                await asyncio.sleep(0.02)


async def test_heads_of_many_headers_are_charged():
    """Guards against headers of a few bytes, which take far more memory."""
    async with serve(memory=CallerMemory(MIB)) as running:
        running.unblock.clear()
        head = (
            b"POST /a HTTP/1.1\r\n" + b"a:\r\n" * 3_000 + b"Content-Length: 0\r\n\r\n"
        )
        readers = [(await running.connect(head))[0] for _ in range(5)]
        assert running.server.memory.total_bytes <= MIB
        assert running.handled < 5
        assert await read_status(readers[-1]) == 503


async def test_a_closing_connection_that_is_not_read_is_reset():
    """Guards against responses that are kept for ever for a caller that left."""
    async with serve() as running:
        running.response = b"x" * MIB
        _, writer = await running.connect(b"")
        writer.transport.pause_reading()
        close = REQUEST.replace(b"Host: h", b"Connection: close")
        running.unblock.clear()
        writer.write(close)
        await asyncio.sleep(0.1)
        (connection,) = running.server.connections
        # More than the kernel buffers for a connection.
        connection.write(b"y" * (2 * MIB - 1))
        connection.close_after_flush()
        running.now_ms += 100
        running.server.close_expired(running.now_ms)
        running.now_ms += 11_000
        running.server.close_expired(running.now_ms)
        await asyncio.sleep(0.1)
        assert not running.server.connections


async def test_bytes_that_wait_for_a_turn_are_charged():
    """Connections that waited for their first turn held 110 kB each without charge."""
    async with serve(memory=CallerMemory(MIB)) as running:
        server = running.server
        # Another body is always due before those of the test.
        server.turns.add(CountingTaker(server.turns, []))
        server.turns._run_next = lambda: None
        head = REQUEST.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        data = head + b"10000\r\n" + b"x" * 65_536 + b"\r\n10000\r\n"
        for _ in range(40):
            await running.connect(data)
        waiting_bytes = sum(len(item._waiting) for item in server.connections)
        assert waiting_bytes <= MIB
        assert server.memory.total_bytes <= MIB
        del server.turns._run_next
        server.turns._queue.clear()
