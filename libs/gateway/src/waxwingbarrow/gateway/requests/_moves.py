"""Migration of running streams from leaving engines to other engines.

A run is the execution of one request at an engine; its memory is its part of the
engine's key-value cache.
"""

import asyncio
import logging

import attrs
from result import Err

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway.admission import AdviceSource
from waxwingbarrow.gateway.base import Codec, Engine, MoveState, write_request_head
from waxwingbarrow.gateway.requests._move_sources import MoveSources
from waxwingbarrow.gateway.requests._planner import Planner
from waxwingbarrow.gateway.requests._plans import Plan
from waxwingbarrow.gateway.requests._retry_budgets import RetryBudgets
from waxwingbarrow.gateway.upstreams import (
    ChannelError,
    ChannelPool,
    Fleet,
    Job,
    Moved,
    Upstream,
)
from waxwingbarrow.routing import (
    ReclaimPolicy,
    ReclaimStep,
    StreamState,
    decide_reclaim,
)

logger = logging.getLogger("waxwingbarrow.gateway.moves")

# Copying the memory of the largest prompts takes about 10 ms, but other copies may be
# ahead of it in the queue.
MOVE_TIMEOUT_S = 1.0
# `margin_ms` covers the age of a registration and several copies queued for one link.
# By the data sheets, a copy within a data centre takes 3 ms plus 0.3 us per token.
MOVE_POLICY = ReclaimPolicy(
    margin_ms=1_000,
    transfer_ms=30.0,
    transfer_tokens_per_s=1_000_000.0,
    prefill_tokens_per_s=55_000.0,
)
# Half of the streams exceed their caller's estimate of the output length, so a stream
# may be up to this many times as long as estimated.
LENGTH_ESTIMATE_FACTOR = 1.5
# Events needed to measure the token rate of a stream.
MIN_RATE_EVENTS = 4


@attrs.define(eq=False)
class PlannedJob(Job):
    """A request at an upstream, with its plan.

    Parameters
    ----------
    events : int
        Events of the stream received from this upstream.
    move : Task or None
        The move, once it has started. Its result says where the stream continues, or is
        None if the move failed.
    advice_source : AdviceSource or None
        Where the advice that the attempt follows comes from, if it follows one.
    ends_with_connection : bool
        Whether only the end of the connection marks the end of the response.
    """

    plan: Plan = attrs.field(kw_only=True)
    events: int = 0
    move: asyncio.Task[Moved | None] | None = None
    advice_source: AdviceSource | None = None
    ends_with_connection: bool = False

    def describe_end(self) -> str:
        """Return how a complete response ended, for the log; empty for a framed one."""
        if not self.ends_with_connection:
            return ""
        if self.move is None:
            return " (ended with the connection)"
        state = "move ended" if self.move.done() else "move under way"
        return f" (ended with the connection, {state})"


def build_stream_state(
    job: PlannedJob, engine: Engine, left_ms: float, now: Instant
) -> StreamState:
    """Return the input of `decide_reclaim` for a stream.

    Parameters
    ----------
    left_ms : float
        Time until the engine stops.
    """
    metadata = job.plan.metadata
    expected_tokens = float(metadata.max_output_tokens)
    if metadata.expected_output_tokens:
        expected_tokens = min(
            expected_tokens, LENGTH_ESTIMATE_FACTOR * metadata.expected_output_tokens
        )
    generated_tokens = job.events * engine.tokens_per_event
    token_ms = None
    if job.events >= MIN_RATE_EVENTS and job.first_event_ms is not None:
        elapsed_ms = now.mono_ms - job.first_event_ms
        token_ms = elapsed_ms / (generated_tokens - engine.tokens_per_event)
    return StreamState(
        left_ms=round(left_ms),
        # A stream beyond its expected length still produces at least one event.
        remaining_tokens=max(
            round(expected_tokens) - generated_tokens, engine.tokens_per_event
        ),
        token_ms=token_ms,
        context_tokens=metadata.prompt_tokens + generated_tokens,
        prefill_tokens_per_s=0.0,
        can_recompute=job.plan.route.resumable,
    )


class StreamMover:
    """Moves streams that would not finish before their engine stops.

    A run continues at another engine from a copy of its memory, so its prompt is not
    processed again and a stream that must not run twice is not lost.
    """

    def __init__(
        self,
        planner: Planner,
        fleet: Fleet,
        codec: Codec,
        clock: Clock,
        retry_budgets: RetryBudgets,
    ) -> None:
        self._planner = planner
        self._fleet = fleet
        self._sources = MoveSources(fleet)
        self._codec = codec
        self._clock = clock
        self._retry_budgets = retry_budgets
        self._running_moves: set[asyncio.Task[Moved | None]] = set()

    def start_moves(self, now: Instant) -> None:
        """Start to move the streams that would not finish in time; called each tick."""
        for upstream, left_ms in self._sources.list(now):
            engine = self._planner.find_engine(upstream.entry.service)
            if engine is None or not engine.can_move:
                continue
            for job in list(upstream.jobs):
                if isinstance(job, PlannedJob) and job.move is None:
                    self._start_move(job, upstream, engine, left_ms, now)

    def _start_move(
        self,
        job: PlannedJob,
        source: Upstream,
        engine: Engine,
        left_ms: float,
        now: Instant,
    ) -> None:
        # Without an event the request may not be running yet, and cannot be moved.
        if not job.events:
            return
        state = build_stream_state(job, engine, left_ms, now)
        speed = self._fleet.estimates.find_speed(source.entry.service, now)
        policy = attrs.evolve(
            MOVE_POLICY, prefill_tokens_per_s=1000 * speed.prefill_tokens_per_ms
        )
        if decide_reclaim(state, policy) is not ReclaimStep.MOVE:
            return
        target = self._planner.select_move_target(job.plan, source, now)
        if target is None or not self._retry_budgets.try_spend(
            source.entry.service, now
        ):
            return
        loop = asyncio.get_running_loop()
        job.move = loop.create_task(self._move(job, source, target, left_ms))
        # The event loop keeps only weak references to tasks, and the job is discarded
        # when its caller disconnects.
        self._running_moves.add(job.move)
        job.move.add_done_callback(self._running_moves.discard)

    async def _move(
        self, job: PlannedJob, source: Upstream, target: Upstream, left_ms: float
    ) -> Moved | None:
        path, headers, body = self._codec.write_move(
            job.request_id, target.entry.address
        )
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        request = write_request_head(b"POST", path, headers) + body
        # Uses a pool of its own, as the pool of an upstream is closed when its
        # registration is removed.
        pool = ChannelPool(
            source.entry.host, source.entry.port, memory=self._fleet.body_memory
        )
        moved = None
        try:
            async with asyncio.timeout(MOVE_TIMEOUT_S):
                channel = await pool.acquire(self._clock.now().mono_ms / 1000)
                try:
                    channel.send(request, lambda head: True)
                    head = await channel.read_head()
                    decoded = self._codec.read_move(
                        head.status, await channel.read_body()
                    )
                finally:
                    channel.close()
        except (ChannelError, TimeoutError) as error:
            outcome = repr(error)
        else:
            if isinstance(decoded, Err):
                outcome = decoded.err_value.reason
            else:
                state, copy_name = decoded.ok_value
                # The source stops the run even if the copy to the target fails. The
                # run then continues at the source.
                destination = target if state is MoveState.COPIED else source
                moved = Moved(destination, f"{source.entry.address}/{copy_name}")
                outcome = state.value
        logger.info(
            "stream moved" if moved is not None else "stream not moved",
            extra={
                "request": job.request_id,
                "upstream": source.entry.upstream,
                "target": target.entry.upstream,
                "events": job.events,
                "left_ms": round(left_ms),
                "outcome": outcome,
            },
        )
        return moved
