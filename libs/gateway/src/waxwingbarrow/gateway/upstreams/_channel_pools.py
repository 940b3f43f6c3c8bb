"""Pools of idle connections to upstreams and to the platform."""

import asyncio

from waxwingbarrow.gateway.base import MemoryBudget
from waxwingbarrow.gateway.upstreams._channels import Channel, ConnectError
from waxwingbarrow.gateway.upstreams._response_bounds import (
    MAX_POOLED_BODY_BYTES,
    BodyBudget,
)

CONNECT_TIMEOUT_S = 0.6


class ChannelPool:
    """Pool of connections to one address.

    Parameters
    ----------
    host, port : str, int
        Address of the peer.
    max_idle : int
        Maximum number of idle connections.
    memory : MemoryBudget or None
        Memory for bodies that are read as a whole, shared with other pools.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_idle: int = 32,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._max_idle = max_idle
        self._idle: list[Channel] = []
        self._body_budget = BodyBudget()
        self._memory = memory or MemoryBudget(MAX_POOLED_BODY_BYTES)

    async def acquire(
        self, now_s: float, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> Channel:
        """Return an idle connection or open one.

        Raises
        ------
        ConnectError
            The connection could not be established.
        """
        while self._idle:
            channel = self._idle.pop()
            if channel.is_fresh(now_s):
                return channel
            channel.close()
        return await self._connect(connect_timeout_s)

    async def check_refused(self, now_s: float) -> bool:
        """Return whether the peer refuses a new connection.

        One that it accepts is added to the pool.
        """
        try:
            channel = await self._connect()
        except ConnectError as error:
            return error.refused
        channel.idle_since_s = now_s
        self._keep(channel)
        return False

    async def _connect(self, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> Channel:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(connect_timeout_s):
                _, protocol = await loop.create_connection(
                    lambda: Channel(self._body_budget, self._memory),
                    self._host,
                    self._port,
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # An address of another writer may be one that cannot be looked up, and
            # raises UnicodeError, or a port that is out of range.
            refused = isinstance(error, ConnectionRefusedError)
            raise ConnectError(repr(error), refused) from error
        return protocol

    def release(self, channel: Channel, now_s: float) -> None:
        """Return a connection to the pool after its exchange."""
        channel.finish(now_s)
        if channel.reusable:
            self._keep(channel)

    def _keep(self, channel: Channel) -> None:
        if len(self._idle) >= self._max_idle:
            channel.close()
            return
        self._idle.append(channel)

    def close_expired(self, now_s: float) -> None:
        """Close idle connections that the peer is about to close."""
        kept = []
        for channel in self._idle:
            if channel.is_fresh(now_s):
                kept.append(channel)
            else:
                channel.close()
        self._idle = kept

    def close(self) -> None:
        """Close all idle connections."""
        for channel in self._idle:
            channel.close()
        self._idle.clear()
