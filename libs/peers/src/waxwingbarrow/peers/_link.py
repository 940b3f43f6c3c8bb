"""One stream between two daemons; both sides run the same code."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import grpc
from result import Err, Ok, Result

from waxwingbarrow.core import Clock, Failure
from waxwingbarrow.membership import (
    BatchInvalid,
    Exchange,
    FailureDetector,
    GossipMap,
    Member,
)
from waxwingbarrow.peers._control import ControlCallbacks, ControlSync
from waxwingbarrow.peers._frames import (
    Frame,
    FrameInvalid,
    Hello,
    decode_frame,
    encode_frame,
)
from waxwingbarrow.peers._settings import PeerSettings


class FrameStream(Protocol):
    """Interface that gRPC client calls and server contexts have in common."""

    async def read(self) -> Any:
        """Return the next message, or ``grpc.aio.EOF`` at the end of the stream."""
        ...

    async def write(self, message: bytes) -> None:
        """Send a message."""
        ...


@attrs.frozen
class PeerSilent(Failure):
    """A peer sent no frame within the timeout."""

    waited_ms: int

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"The peer sent no frame for {self.waited_ms} ms."


@attrs.frozen
class StreamBroken(Failure):
    """The stream or its connection failed or ended unexpectedly."""

    reason: str

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"The stream broke: {self.reason}."


@attrs.frozen
class SelfConnected(Failure):
    """The peer has this host's own id: a seed is an address of this host."""

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return "The peer has the id of this host."


LinkFailure = FrameInvalid | BatchInvalid | PeerSilent | StreamBroken | SelfConnected


@attrs.define
class PeerCounters:
    """Traffic, invalid frames and opened streams since the daemon started."""

    frames_sent: int = 0
    frames_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    invalid_frames: int = 0
    streams_opened: int = 0


@attrs.frozen
class LinkContext:
    """State and callbacks that all streams of one daemon share.

    Parameters
    ----------
    settings : PeerSettings
        Intervals, timeouts and size limits.
    read_member : callable
        Return this host as other hosts see it.
    gossip_map : GossipMap
        Items to exchange.
    detector : FailureDetector
        Heartbeat counters.
    clock : Clock
        Source of the current time.
    control : ControlCallbacks
        Control state of this host.
    counters : PeerCounters
        Counters that the streams increase.
    on_open : callable
        Called with the link after the peer's hello; returns whether to keep the stream.
    on_urgent : callable
        Called when a peer sent something that must be passed on at once.
    """

    settings: PeerSettings
    read_member: Callable[[], Member]
    gossip_map: GossipMap
    detector: FailureDetector
    clock: Clock
    control: ControlCallbacks
    counters: PeerCounters
    on_open: Callable[["Link"], bool]
    on_urgent: Callable[[], None]


class Link:
    """One stream: each side sends a hello, then frames until one side closes.

    Parameters
    ----------
    stream : FrameStream
        The open stream.
    context : LinkContext
        State that all streams share.
    inbound : bool
        Whether the peer opened the stream.
    """

    def __init__(
        self, stream: FrameStream, context: LinkContext, *, inbound: bool
    ) -> None:
        self.inbound = inbound
        self.peer: Member | None = None
        self._stream = stream
        self._context = context
        self._settings = context.settings
        self._wake = asyncio.Event()
        self._closing = False
        self._exchange: Exchange | None = None
        self._control = ControlSync(
            context.control,
            context.settings.max_entries_bytes,
            context.settings.control_resend_ms,
        )

    def wake(self) -> None:
        """Send a frame without waiting for the next interval."""
        self._wake.set()

    def close(self) -> None:
        """Send a last frame that announces the end, then end the stream."""
        self._closing = True
        self._wake.set()

    def set_gossip_rate(self, bytes_per_s: int) -> None:
        """Limit the rate at which this stream sends gossip items."""
        if self._exchange is not None:
            self._exchange.bytes_per_s = bytes_per_s

    async def run(self) -> Result[None, LinkFailure]:
        """Serve the stream until it ends.

        Returns
        -------
        Result
            Ok after an orderly end, otherwise the failure that ended it.
        """
        try:
            await self._send_hello()
            opened = await self._receive_hello()
            if opened.is_err():
                return opened
            if not self._context.on_open(self):
                self.close()
            return await self._exchange_frames()
        except grpc.RpcError as error:
            return Err(StreamBroken(_describe_rpc_error(error)))

    async def _exchange_frames(self) -> Result[None, LinkFailure]:
        sender = asyncio.create_task(self._send_frames())
        receiver = asyncio.create_task(self._receive_frames())
        try:
            await asyncio.wait((sender, receiver), return_when=asyncio.FIRST_COMPLETED)
            if not receiver.done():
                sender.result()  # raises if sending failed
                timeout_s = self._settings.stop_timeout_ms / 1000
                await asyncio.wait((receiver,), timeout=timeout_s)
            return receiver.result() if receiver.done() else Ok(None)
        finally:
            sender.cancel()
            receiver.cancel()
            await asyncio.gather(sender, receiver, return_exceptions=True)

    async def _send_hello(self) -> None:
        digest = self._context.gossip_map.compute_digest()
        hello = Hello(self._context.read_member(), digest)
        await self._send(Frame(self._context.control.next_offset(), hello=hello))

    async def _receive_hello(self) -> Result[None, LinkFailure]:
        match await self._receive(self._settings.hello_timeout_ms):
            case Ok(Frame(hello=Hello(member, digest)) as frame):
                own_member = self._context.read_member()
                if member.host_id == own_member.host_id:
                    return Err(SelfConnected())
                self.peer = member
                self._control.record_peer_offset(frame.control_next_offset)
                self._exchange = Exchange(
                    self._context.gossip_map,
                    self._context.detector,
                    same_data_centre=member.data_centre == own_member.data_centre,
                    peer_digest=digest,
                    now=self._context.clock.now(),
                    settings=self._settings.exchange,
                )
                return Ok(None)
            case Ok(None):
                return Err(StreamBroken("the peer closed the stream before its hello"))
            case Ok(_):
                self._context.counters.invalid_frames += 1
                return Err(FrameInvalid("the first frame holds no hello"))
            case Err(failure):
                return Err(failure)

    async def _send_frames(self) -> None:
        """Send a frame after each call of `wake`.

        The node calls `wake` for all its outgoing links together at each heartbeat, and
        the peers answer each frame with one. This keeps wake-ups of the process rare; a
        wake-up costs more CPU time than a frame.
        """
        while True:
            self._wake.clear()
            frame = self._collect_frame()
            await self._send(frame)
            if frame.closing:
                return
            if frame.control_update is not None:
                # One frame may not hold all that the peer lacks.
                self._wake.set()
            sent_at_s = time.monotonic()
            await self._wait_for_wake()
            remaining_s = (
                sent_at_s
                + self._settings.min_frame_interval_ms / 1000
                - time.monotonic()
            )
            if remaining_s > 0:
                await asyncio.sleep(remaining_s)

    async def _wait_for_wake(self) -> None:
        # A link that only answers frames still sends one after two intervals, in case
        # the peer waits for a frame too.
        max_wait_s = 2 * self._settings.gossip_interval_ms / 1000
        try:
            async with asyncio.timeout(max_wait_s):
                await self._wake.wait()
        except TimeoutError:
            pass

    def _collect_frame(self) -> Frame:
        assert self._exchange is not None
        now = self._context.clock.now()
        return Frame(
            self._context.control.next_offset(),
            batch=self._exchange.collect(now),
            control_update=self._control.collect(now),
            closing=self._closing,
        )

    async def _receive_frames(self) -> Result[None, LinkFailure]:
        while True:
            match await self._receive(self._settings.silence_timeout_ms):
                case Err(failure):
                    return Err(failure)
                case Ok(None):
                    return Ok(None)
                case Ok(Frame() as frame):
                    applied = self._apply_frame(frame)
                    if applied.is_err() or frame.closing:
                        return applied
                    if self.inbound:
                        self.wake()

    def _apply_frame(self, frame: Frame) -> Result[None, LinkFailure]:
        assert self._exchange is not None
        urgent = False
        if frame.batch is not None:
            match self._exchange.accept(frame.batch, self._context.clock.now()):
                case Err(failure):
                    self._context.counters.invalid_frames += 1
                    return Err(failure)
                case Ok(changed):
                    urgent = any(item.urgent for item in changed)
        self._control.record_peer_offset(frame.control_next_offset)
        if frame.control_update is not None and self._control.apply(
            frame.control_update
        ):
            urgent = True
        if urgent:
            self._context.on_urgent()
        return Ok(None)

    async def _send(self, frame: Frame) -> None:
        data = encode_frame(frame)
        self._context.counters.frames_sent += 1
        self._context.counters.bytes_sent += len(data)
        await self._stream.write(data)

    async def _receive(self, timeout_ms: int) -> Result[Frame | None, LinkFailure]:
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                data = await self._stream.read()
        except TimeoutError:
            return Err(PeerSilent(timeout_ms))
        if data is grpc.aio.EOF:
            return Ok(None)
        self._context.counters.frames_received += 1
        self._context.counters.bytes_received += len(data)
        decoded = decode_frame(data)
        if decoded.is_err():
            self._context.counters.invalid_frames += 1
        return decoded


def _describe_rpc_error(error: grpc.RpcError) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        details = (error.details() or "no details").rstrip(".")
        return f"{error.code().name}, {details}"
    return str(error) or type(error).__name__
