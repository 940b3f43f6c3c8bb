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
    ChannelError,
    ChannelPool,
    ConnectionLost,
    Fleet,
    Moved,
    Upstream,
    compute_timeout_s,
)

# An upstream that runs answers within milliseconds. Callers leave a stream after a gap
# of two seconds.
STATE_QUERY_TIMEOUT_S = 1.0


async def find_stop(job: PlannedJob, clock: Clock) -> Moved | ConnectionLost | None:
    """Return what a move has made of a run whose stream has ended.

    Returns
    -------
    Moved or ConnectionLost or None
        Where the run goes on, or that it may have been stopped, or None if the move
        has not stopped it.
    """
    move = job.move
    if move is None:
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
        if stop is not None or not self._may_be_stopped(upstream):
            return stop
        # An upstream that still runs has closed the connection of its own accord.
        if await self._is_running(upstream):
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

    async def _is_running(self, upstream: Upstream) -> bool:
        """Ask the process that sent the stream for its state."""
        entry = upstream.entry
        path, headers = self._codec.write_state_query()
        request = write_request_head(b"GET", path, headers)
        # The pool of an upstream is closed when its registration is removed.
        pool = ChannelPool(entry.host, entry.port, memory=self._fleet.body_memory)
        try:
            async with asyncio.timeout(STATE_QUERY_TIMEOUT_S):
                channel = await pool.acquire(self._clock.now().mono_ms / 1000)
                try:
                    channel.send(request, lambda head: True)
                    await channel.read_head()
                    body = await channel.read_body()
                finally:
                    channel.close()
        except (ChannelError, TimeoutError):
            return False
        started_ms = self._codec.read_process_start(body)
        if started_ms is None or not entry.process_started_ms:
            return True
        return started_ms == entry.process_started_ms
