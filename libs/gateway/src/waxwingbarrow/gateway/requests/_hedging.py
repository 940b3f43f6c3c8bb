"""Hedged requests: a second attempt beside one that is slower than expected."""

import asyncio
import copy
import logging
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway.base import HedgingSettings, Metrics
from waxwingbarrow.gateway.callers import Responder
from waxwingbarrow.gateway.requests._buffered import BufferedExchange
from waxwingbarrow.gateway.requests._hedge_metrics import HedgeMetrics
from waxwingbarrow.gateway.requests._outcomes import AttemptRecorder
from waxwingbarrow.gateway.requests._planner import Planner
from waxwingbarrow.gateway.requests._plans import Plan, Refused
from waxwingbarrow.gateway.requests._retry_budgets import RetryBudgets
from waxwingbarrow.gateway.requests._streams import StreamExchange
from waxwingbarrow.gateway.upstreams import (
    AttemptFailure,
    EventSplitter,
    Fleet,
    InvalidResponse,
    Moved,
    NotRun,
    NotSent,
    ResponseReceived,
    Upstream,
)
from waxwingbarrow.routing import (
    AttemptTimes,
    HedgePolicy,
    HedgeRefusal,
    Placement,
    SlowAttempt,
    compute_hedge_delay_ms,
    find_hedge_refusal,
)

logger = logging.getLogger("waxwingbarrow.gateway.hedging")

Outcome = ResponseReceived | Moved | AttemptFailure


@attrs.define(eq=False)
class _Attempt:
    """One attempt of a race.

    Parameters
    ----------
    splitter : EventSplitter
        Splitter of its stream, which holds what the caller got if the attempt wins.
    """

    upstream: Upstream
    placement: Placement
    started: Instant
    splitter: EventSplitter
    task: asyncio.Task[Outcome]


# Starts an attempt; its parameters are the upstream, the placement, the splitter and
# the function that the attempt calls before it forwards anything.
_Start = Callable[
    [Upstream, Placement, EventSplitter, Callable[[], None]],
    Coroutine[Any, Any, Outcome],
]


class Hedger:
    """Runs attempts, and a second one beside a slow one where that is allowed.

    Parameters
    ----------
    settings : HedgingSettings
        With an extra share of 0 all attempts run alone, without any measurement.
    """

    def __init__(
        self,
        settings: HedgingSettings,
        planner: Planner,
        clock: Clock,
        fleet: Fleet,
        recorder: AttemptRecorder,
        retry_budgets: RetryBudgets,
        metrics: Metrics,
        buffered: BufferedExchange,
        streams: StreamExchange,
    ) -> None:
        self._policy = HedgePolicy(
            extra_share=settings.extra_share, delay_factor=settings.delay_factor
        )
        self._planner = planner
        self._clock = clock
        self._fleet = fleet
        self._recorder = recorder
        self._retry_budgets = retry_budgets
        self._buffered = buffered
        self._streams = streams
        self._times = AttemptTimes()
        self._metrics: HedgeMetrics | None = None
        if settings.extra_share > 0:
            self._metrics = HedgeMetrics(metrics.registry)

    async def attempt_buffered(
        self, plan: Plan, upstream: Upstream, placement: Placement
    ) -> ResponseReceived | AttemptFailure:
        """Send a request and read the response, from the faster of two upstreams."""
        if self._metrics is None or not _may_hedge(plan):
            return await self._buffered.attempt(plan, upstream, placement)

        def start(
            upstream: Upstream,
            placement: Placement,
            splitter: EventSplitter,
            claim: Callable[[], None],
        ) -> Coroutine[Any, Any, Outcome]:
            return self._buffered.attempt(plan, upstream, placement)

        race = _Race(self, self._metrics, plan, start, plan.output_size)
        outcome, _ = await race.run(upstream, placement, EventSplitter())
        assert not isinstance(outcome, Moved)
        return outcome

    async def attempt_stream(
        self,
        plan: Plan,
        upstream: Upstream,
        placement: Placement,
        splitter: EventSplitter,
        responder: Responder,
    ) -> tuple[Outcome, EventSplitter]:
        """Forward a stream, from the upstream with the earlier first event.

        Returns the outcome and the splitter that describes what the caller got.
        """

        def start(
            upstream: Upstream,
            placement: Placement,
            splitter: EventSplitter,
            claim: Callable[[], None] | None,
        ) -> Coroutine[Any, Any, Outcome]:
            cached_tokens = placement.view.cached_tokens
            return self._streams.attempt(
                plan, upstream, cached_tokens, splitter, responder, None, claim
            )

        if self._metrics is None or responder.started or not _may_hedge(plan):
            return await start(upstream, placement, splitter, None), splitter
        race = _Race(self, self._metrics, plan, start, 1)
        return await race.run(upstream, placement, splitter)

    def estimate_ms(
        self, plan: Plan, placement: Placement, size: int
    ) -> tuple[float, float] | None:
        """Return the expected time of an attempt, and the delay before a hedge."""
        mean_ms = self._times.find_mean_ms(plan.route.name)
        if mean_ms is None:
            return None
        expected_ms = max(mean_ms * size, placement.start_ms)
        return expected_ms, compute_hedge_delay_ms(expected_ms, self._policy)

    def record_time(self, plan: Plan, size: int, elapsed_ms: float) -> None:
        """Record the time of an attempt that succeeded or was cancelled."""
        self._times.record(plan.route.name, elapsed_ms / size)

    def now(self) -> Instant:
        """Return the present time."""
        return self._clock.now()

    def record_cancelled(
        self, plan: Plan, upstream: Upstream, started: Instant, now: Instant
    ) -> None:
        """Record an attempt that was cancelled because another one was faster."""
        self._recorder.record_cancelled(plan, upstream, started, now)

    def select_second(
        self, plan: Plan, size: int, expected_ms: float, started: Instant
    ) -> tuple[Upstream, Placement] | HedgeRefusal:
        """Choose the upstream of a hedge and take it from the budgets."""
        now = self._clock.now()
        waited_ms = now.mono_ms - started.mono_ms
        remaining_ms = size * self._times.estimate_remaining_ms(
            plan.route.name, waited_ms / size
        )
        attempt = SlowAttempt(
            elapsed_ms=now.mono_ms - plan.call.received_ms,
            expected_ms=expected_ms,
            remaining_ms=max(remaining_ms, expected_ms - waited_ms),
            objective_ms=plan.route.objective_ms,
            left_ms=plan.deadline.mono_ms - now.mono_ms,
        )
        # The choice writes into the trace, which describes the first attempt.
        trace, plan.trace = plan.trace, copy.copy(plan.trace)
        chosen = self._planner.select_upstream(plan, now)
        plan.trace = trace
        result = self._check_second(plan, attempt, chosen, now)
        is_refused = isinstance(result, HedgeRefusal)
        logger.info(
            "hedge refused" if is_refused else "hedge sent",
            extra={
                "request": plan.metadata.request_id,
                "route": plan.route.name,
                "reason": result.value if isinstance(result, HedgeRefusal) else None,
                "upstream": (
                    None if isinstance(chosen, Refused) else chosen[0].entry.upstream
                ),
                "waited_ms": waited_ms,
                "expected_ms": round(expected_ms, 1),
                "remaining_ms": round(attempt.remaining_ms, 1),
            },
        )
        return result

    def _check_second(
        self,
        plan: Plan,
        attempt: SlowAttempt,
        chosen: tuple[Upstream, Placement] | Refused,
        now: Instant,
    ) -> tuple[Upstream, Placement] | HedgeRefusal:
        if isinstance(chosen, Refused):
            return HedgeRefusal.NO_UPSTREAM
        upstream, placement = chosen
        if (
            self._fleet.notices.find_lowest_limit_per_s(upstream.process, now)
            is not None
        ):
            return HedgeRefusal.LIMITED_UPSTREAM
        refusal = find_hedge_refusal(
            attempt, placement.view, placement.start_ms, self._policy
        ) or self._retry_budgets.try_spend_hedge(
            self._planner.pick_service(plan), self._policy.extra_share, now
        )
        return refusal or chosen


class _Race:
    """One request with a first attempt and possibly a second one.

    The winner is the attempt with the first good response, or of a stream the one
    that first has something to forward. The other one is cancelled in the same step of
    the event loop, so that nothing of it can be forwarded.
    """

    def __init__(
        self,
        hedger: Hedger,
        metrics: HedgeMetrics,
        plan: Plan,
        start: _Start,
        size: int,
    ) -> None:
        self._hedger = hedger
        self._metrics = metrics
        self._plan = plan
        self._start_attempt = start
        self._size = size
        self._attempts: list[_Attempt] = []
        self._winner: _Attempt | None = None

    async def run(
        self, upstream: Upstream, placement: Placement, splitter: EventSplitter
    ) -> tuple[Outcome, EventSplitter]:
        """Run the first attempt, and the second one if the first one is slow."""
        plan = self._plan
        try:
            first = self._start(upstream, placement, splitter)
            estimate = self._hedger.estimate_ms(plan, placement, self._size)
            if estimate is not None:
                expected_ms, delay_ms = estimate
                await asyncio.wait([first.task], timeout=delay_ms / 1000)
                if self._winner is None and not first.task.done():
                    self._hedge(first, expected_ms)
            return await self._finish()
        finally:
            for attempt in self._attempts:
                attempt.task.cancel()
            plan.open_attempts = 0

    def _start(
        self, upstream: Upstream, placement: Placement, splitter: EventSplitter
    ) -> _Attempt:
        def claim() -> None:
            self._claim(attempt)

        run = self._start_attempt(upstream, placement, splitter, claim)
        task = asyncio.get_running_loop().create_task(run)
        attempt = _Attempt(upstream, placement, self._hedger.now(), splitter, task)
        self._attempts.append(attempt)
        return attempt

    def _hedge(self, first: _Attempt, expected_ms: float) -> None:
        plan = self._plan
        chosen = self._hedger.select_second(
            plan, self._size, expected_ms, first.started
        )
        if isinstance(chosen, HedgeRefusal):
            self._metrics.count_refusal(plan.route.name, chosen.value)
            return
        plan.open_attempts = 1
        self._metrics.count_sent(plan.route.name)
        upstream, placement = chosen
        self._start(upstream, placement, EventSplitter())

    def _claim(self, attempt: _Attempt) -> None:
        """Make an attempt the winner and cancel the other one."""
        if self._winner is not None:
            return
        self._winner = attempt
        plan, now = self._plan, self._hedger.now()
        elapsed_ms = now.mono_ms - attempt.started.mono_ms
        self._hedger.record_time(plan, self._size, elapsed_ms)
        self._metrics.observe_attempt(elapsed_ms, False)
        is_hedged = len(self._attempts) > 1
        if attempt is not self._attempts[0]:
            self._metrics.count_won(plan.route.name)
        self._metrics.observe_response(
            plan.route.name, is_hedged, now.mono_ms - plan.call.received_ms
        )
        for other in self._attempts:
            if other is not attempt and not other.task.done():
                other.task.cancel()
                waited_ms = now.mono_ms - other.started.mono_ms
                self._metrics.observe_attempt(waited_ms, True)
                self._hedger.record_time(plan, self._size, waited_ms)
                self._hedger.record_cancelled(plan, other.upstream, other.started, now)

    async def _finish(self) -> tuple[Outcome, EventSplitter]:
        """Wait for the winner, or for the failure of all attempts."""
        while self._winner is None:
            for attempt in self._attempts:
                if attempt.task.done() and _is_good(attempt.task.result()):
                    self._claim(attempt)
                    break
            running = [item.task for item in self._attempts if not item.task.done()]
            if self._winner is not None or not running:
                break
            await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        winner = self._winner
        if winner is None:
            # The failure that limits further attempts most decides.
            winner = max(self._attempts, key=lambda item: _rank(item.task.result()))
            return winner.task.result(), winner.splitter
        return await winner.task, winner.splitter


def _may_hedge(plan: Plan) -> bool:
    """Whether the route allows two more attempts of a request that may be repeated."""
    used = plan.delivered_attempts - plan.moves
    return plan.route.is_repeatable and used + 2 <= plan.route.max_attempts


def _is_good(outcome: Outcome) -> bool:
    return isinstance(outcome, ResponseReceived) and outcome.head.status < 500


def _rank(outcome: Outcome) -> int:
    match outcome:
        case NotSent():
            return 0
        case NotRun():
            return 1
        case InvalidResponse():
            return 3
        case ResponseReceived() | Moved():
            return 4
        case _:
            return 2
