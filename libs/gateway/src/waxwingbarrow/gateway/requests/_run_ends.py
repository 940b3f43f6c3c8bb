"""Whether the end of a stream is that of its run, or was brought about by this system.

A stream without length or chunks ends with its connection. Its upstream closes the
connection after the last event, but also when an order of this system stops the run or
the upstream itself.
"""

import asyncio

from waxwingbarrow.core import Clock
from waxwingbarrow.gateway.base import Codec, write_request_head
from waxwingbarrow.gateway.requests._move_calls import InDoubt, NotStopped
from waxwingbarrow.gateway.requests._moves import PlannedJob
from waxwingbarrow.gateway.requests._rollouts import Rollouts
from waxwingbarrow.gateway.upstreams import (
    BrokenError,
    ChannelError,
    ChannelPool,
    ConnectionLost,
    Fleet,
    Moved,
    Upstream,
    compute_timeout_s,
)

# A process that stops closes its connections and its port within milliseconds, in any
# order, so one that still listens after this time has closed a stream by itself.
STOP_TIME_S = 0.1
# An upstream that runs answers within milliseconds. Callers leave a stream after a gap
# of two seconds.
STATE_QUERY_TIMEOUT_S = 0.6


async def find_stop(job: PlannedJob, clock: Clock) -> Moved | ConnectionLost | None:
    """Return what a move has made of a run whose stream has ended.

    Returns
    -------
    Moved or ConnectionLost or None
        Where the run goes on, or that it may have been stopped, or None if the move
        has not stopped it.
    """
    move = job.move
    if move is None or move.cancelled():
        return None
    if not (job.is_move_sent or move.done()):
        move.cancel()
        return None
    timeout_s = compute_timeout_s(job.plan.deadline, clock.now())
    # Does not cancel the move, whose result is logged.
    await asyncio.wait([move], timeout=timeout_s)
    if not move.done():
        return ConnectionLost("stopped by its move, which has no result in time")
    match move.result():
        case Moved() as moved:
            return moved
        case InDoubt(reason):
            return ConnectionLost(f"may have been stopped by its move: {reason}")
        case NotStopped():
            return None


class RunEnds:
    """Checks the ends of streams that only the end of their connection shows."""

    def __init__(
        self, codec: Codec, clock: Clock, fleet: Fleet, rollouts: Rollouts
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._fleet = fleet
        self._rollouts = rollouts

    async def find_cause(
        self, job: PlannedJob, upstream: Upstream
    ) -> Moved | ConnectionLost | None:
        """Return what ended a stream before its last event, or None if nothing did."""
        stop = await find_stop(job, self._clock)
        if stop is not None:
            return stop
        return await self.find_upstream_end(job, upstream)

    async def find_upstream_end(
        self, job: PlannedJob, upstream: Upstream
    ) -> ConnectionLost | None:
        """Return whether the end of an upstream that is to end has ended a response."""
        # An upstream that still runs has closed the connection of its own accord.
        if not self._may_be_stopped(upstream) or await self.is_running(job, upstream):
            return None
        return ConnectionLost("its upstream, which is to end, has ended")

    def _may_be_stopped(self, upstream: Upstream) -> bool:
        """Whether the upstream is to end, by an order of this system or another one.

        While a rollout is undecided here, another host may have completed it.
        """
        entry = upstream.entry
        return self._fleet.is_leaving(upstream) or self._rollouts.may_be_stopped(
            entry.service, entry.version
        )

    async def is_running(self, job: PlannedJob, upstream: Upstream) -> bool:
        """Ask the process that sent a response for its state."""
        left_s = compute_timeout_s(job.plan.deadline, self._clock.now())
        try:
            async with asyncio.timeout(
                min(STOP_TIME_S + STATE_QUERY_TIMEOUT_S, left_s)
            ):
                await asyncio.sleep(STOP_TIME_S)
                try:
                    return await self._query_state(upstream)
                except BrokenError:
                    # A busy upstream resets connections, and one that ends those that
                    # it has not accepted yet; then it refuses further ones.
                    await asyncio.sleep(STOP_TIME_S)
                    return await self._query_state(upstream)
        except BrokenError:
            return True
        except (ChannelError, TimeoutError):
            return False

    async def _query_state(self, upstream: Upstream) -> bool:
        entry = upstream.entry
        path, headers = self._codec.write_state_query()
        request = write_request_head(b"GET", path, headers)
        # The pool of an upstream is closed when its registration is removed.
        pool = ChannelPool(entry.host, entry.port, memory=self._fleet.body_memory)
        channel = await pool.acquire(self._clock.now().mono_ms / 1000)
        try:
            channel.send(request, lambda head: True)
            await channel.read_head()
            body = await channel.read_body()
        finally:
            channel.close()
        started_ms = self._codec.read_process_start(body)
        if started_ms is None or not entry.process_started_ms:
            return True
        return started_ms == entry.process_started_ms
