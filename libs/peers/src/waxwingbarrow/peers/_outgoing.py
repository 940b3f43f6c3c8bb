"""One task for each peer to which this host opens a stream."""

import asyncio
import logging
import random
from collections.abc import Callable

import attrs
import grpc
from result import Err, Ok, Result

from waxwingbarrow.core import HostId
from waxwingbarrow.peers._link import Link, LinkContext, LinkFailure, StreamBroken
from waxwingbarrow.peers._transport import METHOD, open_channel

logger = logging.getLogger(__name__)


@attrs.frozen
class OutgoingHooks:
    """What an outgoing peer asks and tells the node.

    Parameters
    ----------
    should_yield : callable
        Whether a stream that the peer opened makes this one superfluous.
    on_start, on_end : callable
        Called with the link when its stream starts and when it has ended.
    """

    should_yield: Callable[[HostId | None], bool]
    on_start: Callable[[Link], None]
    on_end: Callable[[Link], None]


class OutgoingPeer:
    """A peer address and the task that keeps a stream to it.

    Parameters
    ----------
    address : str
        ``address:port`` of the peer.
    host_id : HostId or None
        The peer expected there; None for a seed.
    context : LinkContext
        What all streams share.
    hooks : OutgoingHooks
        The node.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(
        self,
        address: str,
        host_id: HostId | None,
        context: LinkContext,
        hooks: OutgoingHooks,
        rng: random.Random,
    ) -> None:
        self.address = address
        self.host_id = host_id
        self._context = context
        self._hooks = hooks
        self._rng = rng
        self._stopping = asyncio.Event()
        self._link: Link | None = None

    def stop(self) -> None:
        """End the stream with a last frame and open no other one."""
        self._stopping.set()
        if self._link is not None:
            self._link.close()

    def owns(self, link: Link) -> bool:
        """Tell whether a link is this peer's present one."""
        return self._link is link

    async def run(self) -> None:
        """Keep a stream to the peer until stopped."""
        attempt = 0
        while not self._stopping.is_set():
            if self._hooks.should_yield(self.host_id):
                await self._wait(self._context.settings.review_ms)
                continue
            ended, opened = await self._serve_once()
            attempt = 0 if opened else attempt + 1
            if self._stopping.is_set():
                return
            match ended:
                case Err(failure):
                    logger.info("peers: %s: %s", self.address, failure.detail)
                case Ok():
                    logger.debug("peers: %s: The stream has ended.", self.address)
            await self._wait(self._compute_delay_ms(attempt))

    async def _serve_once(self) -> tuple[Result[None, LinkFailure], bool]:
        """Serve one stream; tell how it ended and whether the peer said hello."""
        async with open_channel(self._context.settings, self.address) as channel:
            try:
                async with asyncio.timeout(
                    self._context.settings.connect_timeout_ms / 1000
                ):
                    await _wait_until_ready(channel)
            except TimeoutError:
                return Err(StreamBroken("the connection timed out")), False
            except ConnectionError as error:
                return Err(StreamBroken(str(error))), False
            call = channel.stream_stream(METHOD)()
            link = self._link = Link(call, self._context, inbound=False)
            if self._stopping.is_set():
                link.close()
            self._hooks.on_start(link)
            try:
                ended = await link.run()
                if ended.is_ok():
                    await self._finish(call)
                return ended, link.peer is not None
            finally:
                call.cancel()
                self._link = None
                self._hooks.on_end(link)

    async def _finish(self, call: grpc.aio.StreamStreamCall) -> None:
        """Close the sending side, so that the peer sees an orderly end."""
        try:
            async with asyncio.timeout(self._context.settings.stop_timeout_ms / 1000):
                await call.done_writing()
                await call.code()
        except (TimeoutError, asyncio.InvalidStateError, grpc.RpcError):
            pass

    def _compute_delay_ms(self, attempt: int) -> float:
        settings = self._context.settings
        # The exponent is bounded because a peer may be away for days.
        ceiling_ms = min(
            settings.reconnect_max_ms, settings.reconnect_min_ms * 2 ** min(attempt, 16)
        )
        return ceiling_ms * self._rng.uniform(0.5, 1.0)

    async def _wait(self, duration_ms: float) -> None:
        try:
            async with asyncio.timeout(duration_ms / 1000):
                await self._stopping.wait()
        except TimeoutError:
            pass


async def _wait_until_ready(channel: grpc.aio.Channel) -> None:
    """Wait for the connection, or raise ConnectionError on the first failure."""
    state = channel.get_state(try_to_connect=True)
    while state != grpc.ChannelConnectivity.READY:
        if state == grpc.ChannelConnectivity.TRANSIENT_FAILURE:
            raise ConnectionError("the connection was refused or failed")
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)
