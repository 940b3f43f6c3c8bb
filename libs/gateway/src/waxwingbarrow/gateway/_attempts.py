"""One attempt to have a request answered by an upstream."""

import asyncio
from collections.abc import Callable

import attrs

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway._answers import write_request_head
from waxwingbarrow.gateway._channels import (
    IDLE_MARGIN_S,
    MIN_IDLE_S,
    BrokenError,
    Channel,
    ConnectError,
)
from waxwingbarrow.gateway._fleet import Upstream
from waxwingbarrow.gateway._model import AnswerFacts, AnswerHead, Call, Sending
from waxwingbarrow.gateway._ports import Codec

# An idle connection may turn out to be closed; the next one is tried.
MAX_STALE_CHANNELS = 4


@attrs.frozen
class NotSent:
    """No connection to the upstream; the request did not reach it."""

    reason: str


@attrs.frozen
class NotRun:
    """The upstream states that it did not run the request."""

    status: int
    body: bytes


@attrs.frozen
class Lost:
    """The connection ended without a whole answer; the request may have run."""

    reason: str


@attrs.frozen
class Expired:
    """The time for the attempt passed; the request may have run."""


@attrs.frozen
class Opened:
    """The head of an answer has arrived; its body is read from the channel."""

    channel: Channel
    head: AnswerHead
    facts: AnswerFacts


@attrs.frozen
class Answered:
    """A whole answer."""

    head: AnswerHead
    body: bytes


@attrs.frozen
class Moved:
    """The run goes on at another upstream, from a copy of its memory.

    Parameters
    ----------
    memory_copy : str
        Names the copy.
    """

    upstream: Upstream
    memory_copy: str


AttemptFailure = NotSent | NotRun | Lost | Expired


def compute_timeout_s(until: Instant, now: Instant) -> float:
    """Return the seconds until an instant, at least a millisecond."""
    return max(until.mono_ms - now.mono_ms, 1) / 1000


async def open_attempt(
    call: Call,
    request_id: str,
    sending: Sending,
    upstream: Upstream,
    codec: Codec,
    until: Instant,
    clock: Clock,
) -> Opened | AttemptFailure:
    """Send a request and wait for the head of its answer.

    Parameters
    ----------
    request_id : str
        Answers that name another request are skipped.
    until : Instant
        End of the time for the whole attempt.
    """
    headers = codec.write_sending(call, sending)
    if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
        headers = [*headers, (b"Content-Length", b"%d" % len(call.body))]
    data = write_request_head(call.method, call.target, headers) + call.body

    def accepts(head: AnswerHead) -> bool:
        return codec.read_answer(head).request_id in (request_id, None)

    channel = None
    try:
        async with asyncio.timeout(compute_timeout_s(until, clock.now())):
            channel = await _send(upstream, data, accepts, clock)
            if isinstance(channel, NotSent):
                return channel
            head = await channel.read_head()
            facts = codec.read_answer(head)
            if not facts.not_run:
                opened, channel = Opened(channel, head, facts), None
                return opened
            body = await channel.read_body()
            release(upstream, channel, facts, clock)
            channel = None
            return NotRun(head.status, body)
    except BrokenError as error:
        return Lost(str(error)) if error.sent else NotSent(str(error))
    except TimeoutError:
        return Expired()
    finally:
        if isinstance(channel, Channel):
            channel.close()


def release(
    upstream: Upstream, channel: Channel, facts: AnswerFacts, clock: Clock
) -> None:
    """Give a channel back after a whole answer."""
    if facts.closes:
        channel.reusable = False
    if facts.idle_timeout_s is not None:
        idle_s = max(facts.idle_timeout_s - IDLE_MARGIN_S, MIN_IDLE_S)
        channel.idle_timeout_s = idle_s
    if upstream.gone:
        channel.reusable = False
    upstream.pool.release(channel, clock.now().mono_ms / 1000)


async def read_answer(
    opened: Opened, upstream: Upstream, until: Instant, clock: Clock
) -> Answered | AttemptFailure:
    """Read the whole body of an answer."""
    channel = opened.channel
    done = False
    try:
        async with asyncio.timeout(compute_timeout_s(until, clock.now())):
            body = await channel.read_body()
        release(upstream, channel, opened.facts, clock)
        done = True
        return Answered(opened.head, body)
    except BrokenError as error:
        return Lost(str(error))
    except TimeoutError:
        return Expired()
    finally:
        if not done:
            channel.close()


async def _send(
    upstream: Upstream, data: bytes, accepts: Callable[[AnswerHead], bool], clock: Clock
) -> Channel | NotSent:
    for _ in range(MAX_STALE_CHANNELS):
        try:
            channel = await upstream.pool.acquire(clock.now().mono_ms / 1000)
        except ConnectError as error:
            return NotSent(str(error))
        try:
            channel.send(data, accepts)
        except BrokenError:
            continue
        return channel
    return NotSent("idle connections were closed")
