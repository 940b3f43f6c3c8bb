"""One attempt to get a response to a request from an upstream."""

import asyncio
from collections.abc import Callable

import attrs

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway.base import (
    Call,
    Codec,
    ForwardingMetadata,
    ResponseHead,
    ResponseMetadata,
    write_request_head,
)
from waxwingbarrow.gateway.upstreams._channel_pools import CONNECT_TIMEOUT_S
from waxwingbarrow.gateway.upstreams._channels import (
    IDLE_TIMEOUT_MARGIN_S,
    MIN_IDLE_TIMEOUT_S,
    BrokenError,
    Channel,
    ConnectError,
)
from waxwingbarrow.gateway.upstreams._upstreams import Upstream

# Number of connections that an attempt tries to send on. The upstream may have closed
# an idle connection; then the next one is tried.
MAX_CHANNELS_TRIED = 4


@attrs.frozen
class NotSent:
    """The request did not reach the upstream, as no connection could be used.

    Parameters
    ----------
    refused : bool
        Whether nothing listens at the upstream's port.
    """

    reason: str
    refused: bool = False


@attrs.frozen
class NotRun:
    """The upstream reported that it did not run the request."""

    status: int
    body: bytes
    metadata: ResponseMetadata


@attrs.frozen
class ConnectionLost:
    """The connection closed before the response was complete.

    The request may have run.
    """

    reason: str


@attrs.frozen
class InvalidResponse:
    """The upstream sent a response that cannot belong to the request.

    The request has run, and no other upstream can continue the response.
    """

    reason: str


@attrs.frozen
class TimedOut:
    """The attempt reached its deadline; the request may have run."""


@attrs.frozen
class ResponseStarted:
    """The response head was received; the body is still to be read from the channel."""

    channel: Channel
    head: ResponseHead
    metadata: ResponseMetadata


@attrs.frozen
class ResponseReceived:
    """The complete response was received."""

    head: ResponseHead
    body: bytes


@attrs.frozen
class Moved:
    """The run continues from a copy of its memory, usually at another upstream.

    Parameters
    ----------
    upstream : Upstream
        Where the run continues.
    memory_copy : str
        Identifies the copy: address of the upstream that ran the request before, a
        slash, and the name of the copy there.
    """

    upstream: Upstream
    memory_copy: str


AttemptFailure = NotSent | NotRun | ConnectionLost | InvalidResponse | TimedOut


def compute_timeout_s(deadline: Instant, now: Instant) -> float:
    """Return the seconds until an instant, at least one millisecond."""
    return max(deadline.mono_ms - now.mono_ms, 1) / 1000


async def start_attempt(
    call: Call,
    request_id: str,
    forwarding: ForwardingMetadata,
    upstream: Upstream,
    codec: Codec,
    deadline: Instant,
    clock: Clock,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> ResponseStarted | AttemptFailure:
    """Send a request and wait for the head of its response.

    Parameters
    ----------
    request_id : str
        Responses with the identifier of another request are skipped.
    deadline : Instant
        Deadline of the attempt, which may be before that of the request.
    """
    headers = codec.write_request(call, forwarding)
    if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
        headers = [*headers, (b"Content-Length", b"%d" % len(call.body))]
    request = write_request_head(call.method, call.target, headers) + call.body

    def is_expected(head: ResponseHead) -> bool:
        return codec.read_response(head).request_id in (request_id, None)

    channel = None
    try:
        async with asyncio.timeout(compute_timeout_s(deadline, clock.now())):
            channel = await _send_request(
                upstream, request, is_expected, clock, connect_timeout_s
            )
            if isinstance(channel, NotSent):
                return channel
            head = await channel.read_head()
            metadata = codec.read_response(head)
            if metadata.request_id is None and channel.exchange_count > 1:
                # It may repeat the response to an earlier request.
                return ConnectionLost("response that names no request")
            if not metadata.not_run:
                response, channel = ResponseStarted(channel, head, metadata), None
                return response
            body = await channel.read_body()
            release(upstream, channel, metadata, clock)
            channel = None
            return NotRun(head.status, body, metadata)
    except BrokenError as error:
        return ConnectionLost(str(error)) if error.sent else NotSent(str(error))
    except TimeoutError:
        return TimedOut()
    finally:
        if isinstance(channel, Channel):
            channel.close()


def release(
    upstream: Upstream, channel: Channel, metadata: ResponseMetadata, clock: Clock
) -> None:
    """Return a channel to its pool after a complete response.

    An idle timeout that the upstream states is applied to the channel, less a margin.
    """
    if metadata.closes:
        channel.reusable = False
    if metadata.idle_timeout_s is not None:
        idle_s = max(
            metadata.idle_timeout_s - IDLE_TIMEOUT_MARGIN_S, MIN_IDLE_TIMEOUT_S
        )
        channel.idle_timeout_s = idle_s
    if upstream.gone:
        channel.reusable = False
    upstream.pool.release(channel, clock.now().mono_ms / 1000)


async def read_response(
    response: ResponseStarted, upstream: Upstream, deadline: Instant, clock: Clock
) -> ResponseReceived | AttemptFailure:
    """Read the whole body of a response."""
    channel = response.channel
    is_complete = False
    try:
        async with asyncio.timeout(compute_timeout_s(deadline, clock.now())):
            body = await channel.read_body()
        release(upstream, channel, response.metadata, clock)
        is_complete = True
        return ResponseReceived(response.head, body)
    except BrokenError as error:
        return ConnectionLost(str(error))
    except TimeoutError:
        return TimedOut()
    finally:
        if not is_complete:
            channel.close()


async def _send_request(
    upstream: Upstream,
    request: bytes,
    is_expected: Callable[[ResponseHead], bool],
    clock: Clock,
    connect_timeout_s: float,
) -> Channel | NotSent:
    for _ in range(MAX_CHANNELS_TRIED):
        try:
            channel = await upstream.pool.acquire(
                clock.now().mono_ms / 1000, connect_timeout_s
            )
        except ConnectError as error:
            return NotSent(str(error), error.refused)
        try:
            channel.send(request, is_expected)
        except BrokenError:
            continue
        return channel
    return NotSent("idle connections were closed")
