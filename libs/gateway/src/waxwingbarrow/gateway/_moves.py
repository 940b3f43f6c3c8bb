"""Streams that are moved off engines that leave."""

import asyncio
import logging

import attrs
from result import Err

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway._answers import write_request_head
from waxwingbarrow.gateway._attempts import Moved
from waxwingbarrow.gateway._budgets import Budgets
from waxwingbarrow.gateway._channels import ChannelError, ChannelPool
from waxwingbarrow.gateway._fleet import Fleet, Job, Upstream
from waxwingbarrow.gateway._model import Engine
from waxwingbarrow.gateway._planner import Planner
from waxwingbarrow.gateway._plans import Plan
from waxwingbarrow.gateway._ports import Codec, MoveState
from waxwingbarrow.routing import (
    ReclaimPolicy,
    ReclaimStep,
    StreamState,
    decide_reclaim,
)

logger = logging.getLogger("waxwingbarrow.gateway.moves")

# A copy of the largest prompts takes about 10 ms; others are queued before it.
MOVE_TIMEOUT_S = 1.0
# The margin covers the age of a registration and several copies that wait for one
# link; a copy takes 3 ms and 0.3 us a token within a data centre, by the sheets.
MOVE_POLICY = ReclaimPolicy(
    margin_ms=1_000,
    transfer_ms=30.0,
    transfer_tokens_per_s=1_000_000.0,
    prefill_tokens_per_s=55_000.0,
)
# A stream may be this many times as long as its caller guessed: the guess is right at
# the median only.
GUESS_FACTOR = 1.5
# Events from which the pace is measured.
MIN_PACE_EVENTS = 4


@attrs.define(eq=False)
class PlannedJob(Job):
    """A request at an upstream, with its plan.

    Parameters
    ----------
    events : int
        Events of a stream that have arrived from this upstream.
    move : Task or None
        The move that was begun; its result tells where the stream goes on.
    """

    plan: Plan = attrs.field(kw_only=True)
    events: int = 0
    move: asyncio.Task[Moved | None] | None = None


def describe_stream(
    job: PlannedJob, engine: Engine, left_ms: float, now: Instant
) -> StreamState:
    """Return what the decision on a stream reads."""
    facts = job.plan.facts
    tokens = float(facts.max_output_tokens)
    if facts.expected_output_tokens:
        tokens = min(tokens, GUESS_FACTOR * facts.expected_output_tokens)
    made = job.events * engine.tokens_per_event
    token_ms = None
    if job.events >= MIN_PACE_EVENTS and job.first_event_ms is not None:
        elapsed_ms = now.mono_ms - job.first_event_ms
        token_ms = elapsed_ms / (made - engine.tokens_per_event)
    return StreamState(
        left_ms=round(left_ms),
        # A stream that is longer than was guessed goes on for at least one event.
        remaining_tokens=max(round(tokens) - made, engine.tokens_per_event),
        token_ms=token_ms,
        context_tokens=facts.prompt_tokens + made,
        prefill_tokens_per_s=0.0,
        can_recompute=job.plan.route.resumable,
    )


class Mover:
    """Moves streams that would not end before their engine does.

    A run goes on at another engine from a copy of its memory, so its prompt is not
    read again and a stream that may not run twice is not lost.
    """

    def __init__(
        self,
        planner: Planner,
        fleet: Fleet,
        codec: Codec,
        clock: Clock,
        budgets: Budgets,
    ) -> None:
        self._planner = planner
        self._fleet = fleet
        self._codec = codec
        self._clock = clock
        self._budgets = budgets
        self._moving: set[asyncio.Task[Moved | None]] = set()

    def start_moves(self, now: Instant) -> None:
        """Begin the moves that are due."""
        for upstream, left_ms in self._fleet.list_leaving(now):
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
        # What has not begun to run cannot be moved.
        if not job.events:
            return
        state = describe_stream(job, engine, left_ms, now)
        if decide_reclaim(state, MOVE_POLICY) is not ReclaimStep.MOVE:
            return
        target = self._planner.choose_target(job.plan, source, now)
        if target is None or not self._budgets.try_spend(source.entry.service, now):
            return
        loop = asyncio.get_running_loop()
        job.move = loop.create_task(self._move(job, source, target, left_ms))
        # The job is forgotten when its caller leaves.
        self._moving.add(job.move)
        job.move.add_done_callback(self._moving.discard)

    async def _move(
        self, job: PlannedJob, source: Upstream, target: Upstream, left_ms: float
    ) -> Moved | None:
        name, headers, body = self._codec.write_move(
            job.request_id, target.entry.address
        )
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        data = write_request_head(b"POST", name, headers) + body
        # The pool of an upstream that is no longer registered is closed.
        pool = ChannelPool(source.entry.host, source.entry.port)
        moved = None
        try:
            async with asyncio.timeout(MOVE_TIMEOUT_S):
                channel = await pool.acquire(self._clock.now().mono_ms / 1000)
                try:
                    channel.send(data, lambda head: True)
                    head = await channel.read_head()
                    answer = self._codec.read_move(
                        head.status, await channel.read_body()
                    )
                finally:
                    channel.close()
        except (ChannelError, TimeoutError) as error:
            outcome = repr(error)
        else:
            if isinstance(answer, Err):
                outcome = answer.err_value.reason
            else:
                state, copy = answer.ok_value
                # A run that could not be copied has stopped and goes on where it was.
                place = target if state is MoveState.COPIED else source
                moved = Moved(place, f"{source.entry.address}/{copy}")
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
