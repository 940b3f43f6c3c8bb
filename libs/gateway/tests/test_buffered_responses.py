"""Guards against received parts of responses that take far more memory than counted."""

import asyncio
import tracemalloc

import pytest

from waxwingbarrow.gateway.upstreams import BrokenError
from waxwingbarrow.gateway.upstreams._channels import Channel

PIECES = 200_000
CHANNELS = 4
# What the payload of all channels takes, with room for a buffer that grows.
MAX_MEMORY_BYTES = 2 * CHANNELS * 2 * PIECES
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"2\r\nxy\r\n" * PIECES


class SilentTransport:
    """A connection that is never read."""

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return False

    def write(self, data):
        pass

    def pause_reading(self):
        pass

    resume_reading = abort = pause_reading


def open_channel(monkeypatch):
    monkeypatch.setattr(
        "waxwingbarrow.gateway.upstreams._channels.set_timeouts", lambda sock: None
    )
    monkeypatch.setattr(
        "waxwingbarrow.gateway.upstreams._channels.discard_unsent", lambda sock: None
    )
    channel = Channel()
    channel.connection_made(SilentTransport())
    channel.send(b"GET / HTTP/1.1\r\n\r\n", lambda head: True)
    return channel


async def test_tiny_chunks_take_as_much_memory_as_they_contain(monkeypatch):
    """A part of 2 bytes took about 60."""
    channels = [open_channel(monkeypatch) for _ in range(CHANNELS)]
    tracemalloc.start()
    try:
        for channel in channels:
            channel.data_received(HEAD)
            channel.data_received(CHUNKS)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert await channels[0].read_chunk() == b"xy" * PIECES
    assert peak_bytes <= MAX_MEMORY_BYTES


async def test_parts_of_any_size_are_returned_in_order(monkeypatch):
    """Guards against parts that are lost or exchanged when they are put together."""
    channel = open_channel(monkeypatch)
    parts = [b"ab", b"c" * 5_000, b"d", b"e", b"f" * 4_096, b"g" * 4_095, b"h"]
    channel.data_received(HEAD)
    for part in parts:
        channel.data_received(b"%x\r\n%b\r\n" % (len(part), part))
    assert await channel.read_chunk() == b"".join(parts)
    channel.data_received(b"3\r\nend\r\n0\r\n\r\n")
    assert await channel.read_chunk() == b"end"
    assert await channel.read_chunk() == b""


@pytest.mark.parametrize("is_complete", [False, True])
async def test_a_closed_channel_keeps_no_part_of_a_body(monkeypatch, is_complete):
    """Channels of aborted streams kept what they had received until a collection.

    What remains of the response must not look like a complete one.
    """
    channel = open_channel(monkeypatch)
    tracemalloc.start()
    try:
        channel.data_received(HEAD + b"80000\r\n")
        channel.data_received(b"x" * 0x80000 + b"\r\n")
        if is_complete:
            channel.data_received(b"0\r\n\r\n")
        channel.close()
        await asyncio.sleep(0)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held_bytes < 0x20000
    with pytest.raises(BrokenError):
        await channel.read_chunk()
