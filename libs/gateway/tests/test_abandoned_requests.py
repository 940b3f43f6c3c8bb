"""Guards against requests that arrive after they were given up.

A cut network held up an order of workers. The call was ended, but its connection was
only closed, so the kernel delivered the order when the cut healed, five seconds after
another host had become the holder of the duties.
"""

import asyncio
import contextlib
import socket

import pytest

from waxwingbarrow.gateway.upstreams._channel_pools import ChannelPool

REQUEST_BYTES = 4_194_304


def read_until_closed(connection: socket.socket) -> tuple[int, bool]:
    """Return how many bytes arrive, and whether the connection was reset."""
    received = 0
    connection.settimeout(5)
    try:
        while data := connection.recv(65_536):
            received += len(data)
    except ConnectionResetError:
        return received, True
    return received, False


async def give_up_request(how: str) -> tuple[int, bool]:
    """Give up a request to a peer that reads nothing until then."""
    with contextlib.closing(socket.socket()) as listener:
        # A small window leaves most of the request with the sender, as a cut does.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        pool = ChannelPool("127.0.0.1", listener.getsockname()[1])
        channel = await pool.acquire(0.0)
        connection, _ = listener.accept()
        channel.send(b"x" * REQUEST_BYTES, lambda head: True)
        await asyncio.sleep(0.1)
        if how == "timeout":
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.05):
                    await channel.read_head()
            pool.release(channel, 0.0)
        else:
            channel.close()
        await asyncio.sleep(0.1)
        with connection:
            return await asyncio.to_thread(read_until_closed, connection)


@pytest.mark.parametrize("how", ["timeout", "close"])
async def test_a_request_that_was_given_up_does_not_arrive_later(how):
    received, is_reset = await give_up_request(how)
    assert is_reset
    assert received < REQUEST_BYTES
