"""Client side of the exchange: a task for each peer that this host connects to."""

import asyncio
import logging
import random
from collections.abc import Callable

import attrs
import grpc
from result import Err, Ok, Result

from waxwingbarrow.core import HostId
from waxwingbarrow.peers._link import Link, LinkContext, LinkFailure, StreamBroken
from waxwingbarrow.peers._transport import EXCHANGE_METHOD, open_channel

logger = logging.getLogger(__name__)


@attrs.frozen
class OutgoingHooks:
    """Callbacks from an outgoing peer to the node.

    Parameters
    ----------
    has_inbound_stream : callable
        Return whether the host, if known, already has an open stream to this one, which
        makes an outgoing stream unnecessary.
    on_start, on_end : callable
        Called with the link when its stream starts and when it has ended.
    """

    has_inbound_stream: Callable[[HostId | None], bool]
    on_start: Callable[[Link], None]
    on_end: Callable[[Link], None]


class OutgoingPeer:
    """Keeps a stream open to one peer address, with backoff between attempts.

    Parameters
    ----------
    address : str
        ``address:port`` of the peer.
    host_id : HostId or None
        Host expected at the address; None for a seed whose host is not known.
    context : LinkContext
        State that all streams share.
    hooks : OutgoingHooks
        Callbacks to the node.
    rng : random.Random
        Source of the backoff jitter.
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
        """End the stream with a last frame and do not open another."""
        self._stopping.set()
        if self._link is not None:
            self._link.close()

    def owns(self, link: Link) -> bool:
        """Return whether `link` is the current stream to this peer."""
        return self._link is link

    async def run(self) -> None:
        """Keep a stream open to the peer until stopped."""
        attempt = 0
        while not self._stopping.is_set():
            if self._hooks.has_inbound_stream(self.host_id):
                await self._wait_or_stop(
                    self._context.settings.peer_selection_interval_ms
                )
                continue
            ended, hello_received = await self._serve_once()
            attempt = 0 if hello_received else attempt + 1
            if self._stopping.is_set():
                return
            match ended:
                case Err(failure):
                    logger.info("peers: %s: %s", self.address, failure.detail)
                case Ok():
                    logger.debug("peers: %s: The stream has ended.", self.address)
            await self._wait_or_stop(self._compute_backoff_ms(attempt))

    async def _serve_once(self) -> tuple[Result[None, LinkFailure], bool]:
        """Serve one stream; return how it ended and whether the peer sent its hello."""
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
            call = channel.stream_stream(EXCHANGE_METHOD)()
            link = self._link = Link(call, self._context, inbound=False)
            if self._stopping.is_set():
                link.close()
            self._hooks.on_start(link)
            try:
                ended = await link.run()
                if ended.is_ok():
                    await self._half_close(call)
                return ended, link.peer is not None
            finally:
                call.cancel()
                self._link = None
                self._hooks.on_end(link)

    async def _half_close(self, call: grpc.aio.StreamStreamCall) -> None:
        """Close the sending side first, so that the peer sees an orderly end."""
        try:
            async with asyncio.timeout(self._context.settings.stop_timeout_ms / 1000):
                await call.done_writing()
                await call.code()
        except (TimeoutError, asyncio.InvalidStateError, grpc.RpcError):
            pass

    def _compute_backoff_ms(self, attempt: int) -> float:
        settings = self._context.settings
        # The exponent is bounded because a peer may be unreachable for days.
        ceiling_ms = min(
            settings.reconnect_max_ms, settings.reconnect_min_ms * 2 ** min(attempt, 16)
        )
        return ceiling_ms * self._rng.uniform(0.5, 1.0)

    async def _wait_or_stop(self, duration_ms: float) -> None:
        try:
            async with asyncio.timeout(duration_ms / 1000):
                await self._stopping.wait()
        except TimeoutError:
            pass


async def _wait_until_ready(channel: grpc.aio.Channel) -> None:
    """Wait until connected; raise ConnectionError if the first attempt fails."""
    state = channel.get_state(try_to_connect=True)
    while state != grpc.ChannelConnectivity.READY:
        if state == grpc.ChannelConnectivity.TRANSIENT_FAILURE:
            raise ConnectionError("the connection was refused or failed")
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)
