"""Migration of running streams from leaving engines to other engines.

A run is the execution of one request at an engine; its memory is its part of the
engine's key-value cache.
"""

import asyncio
import logging

import attrs

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway.admission import AdviceSource
from waxwingbarrow.gateway.base import Codec, Engine
from waxwingbarrow.gateway.requests._move_calls import MoveCaller, MoveOutcome
from waxwingbarrow.gateway.requests._move_sources import MoveSources
from waxwingbarrow.gateway.requests._planner import Planner
from waxwingbarrow.gateway.requests._plans import Plan
from waxwingbarrow.gateway.requests._retry_budgets import RetryBudgets
from waxwingbarrow.gateway.upstreams import Fleet, Job, Moved, Upstream
from waxwingbarrow.routing import (
    ReclaimPolicy,
    ReclaimStep,
    StreamState,
    decide_reclaim,
)

logger = logging.getLogger("waxwingbarrow.gateway.moves")

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
        The move, once it has started. Its result says what became of the run.
    is_move_sent : bool
        Whether the call that moves it was sent, so that it may have stopped the run.
    advice_source : AdviceSource or None
        Where the advice that the attempt follows comes from, if it follows one.
    ends_with_connection : bool
        Whether only the end of the connection marks the end of the response.
    """

    plan: Plan = attrs.field(kw_only=True)
    events: int = 0
    move: asyncio.Task[MoveOutcome] | None = None
    is_move_sent: bool = False
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

    def note_move_sent(self) -> None:
        """Record that the run may be stopped from now on."""
        self.is_move_sent = True


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
        self._caller = MoveCaller(codec, clock, fleet.body_memory)
        self._retry_budgets = retry_budgets
        self._running_moves: set[asyncio.Task[MoveOutcome]] = set()

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
    ) -> MoveOutcome:
        def is_repeated() -> bool:
            # A stream that may be resumed goes on elsewhere sooner without the copy.
            return job in source.jobs and not job.plan.route.is_repeatable

        outcome = await self._caller.move(
            job.request_id, source, target, job.note_move_sent, is_repeated
        )
        if isinstance(outcome, Moved):
            is_copied = outcome.upstream is target
            detail = "copied" if is_copied else "stopped without a copy elsewhere"
        else:
            detail = outcome.reason
        logger.info(
            "stream moved" if isinstance(outcome, Moved) else "stream not moved",
            extra={
                "request": job.request_id,
                "upstream": source.entry.upstream,
                "target": target.entry.upstream,
                "events": job.events,
                "left_ms": round(left_ms),
                "result": type(outcome).__name__,
                "outcome": detail,
            },
        )
        return outcome
