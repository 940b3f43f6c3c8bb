"""Dispatch of requests: admission, attempts, retries and the final response."""

import asyncio
import functools

from waxwingbarrow.core import Clock
from waxwingbarrow.gateway.admission import AttemptReporter, QuotaAdmission
from waxwingbarrow.gateway.base import Call, Codec, HedgingSettings, Metrics, RouteKind
from waxwingbarrow.gateway.callers import Responder
from waxwingbarrow.gateway.requests._buffered import BufferedExchange
from waxwingbarrow.gateway.requests._cold_upstreams import acquire_move_permit
from waxwingbarrow.gateway.requests._connecting import ConnectPolicy
from waxwingbarrow.gateway.requests._endings import ResponseWriter
from waxwingbarrow.gateway.requests._hedging import Hedger
from waxwingbarrow.gateway.requests._move_sources import may_continue
from waxwingbarrow.gateway.requests._outcomes import AttemptRecorder
from waxwingbarrow.gateway.requests._planner import Planner
from waxwingbarrow.gateway.requests._plans import Plan, Refused
from waxwingbarrow.gateway.requests._retry_budgets import RetryBudgets
from waxwingbarrow.gateway.requests._rollouts import Rollouts
from waxwingbarrow.gateway.requests._run_ends import RunEnds
from waxwingbarrow.gateway.requests._streams import StreamExchange
from waxwingbarrow.gateway.requests._usage import UsageCounter
from waxwingbarrow.gateway.upstreams import (
    AttemptFailure,
    ConnectionLost,
    CrashTracker,
    EventSplitter,
    Fleet,
    InvalidResponse,
    Moved,
    NotRun,
    NotSent,
    ResponseReceived,
    Upstream,
)
from waxwingbarrow.routing import Placement

# With less time left than this, a failed request is not retried.
MIN_RETRY_MS = 2.0
# A stream that has begun waits this long for an upstream, or for the retry budget,
# before it is broken off. Callers leave a stream after a gap of two seconds.
CONTINUE_WAIT_MS = 1_500
CONTINUE_INTERVAL_S = 0.05


class Dispatcher:
    """Sends requests to upstreams, retries failed ones and forwards the responses."""

    def __init__(
        self,
        planner: Planner,
        codec: Codec,
        clock: Clock,
        fleet: Fleet,
        quota_admission: QuotaAdmission,
        rollouts: Rollouts,
        usage: UsageCounter,
        crash_tracker: CrashTracker,
        metrics: Metrics,
        retry_budgets: RetryBudgets,
        reporter: AttemptReporter,
        hedging: HedgingSettings,
    ) -> None:
        self._planner = planner
        self._clock = clock
        self._fleet = fleet
        self._quota_admission = quota_admission
        self._retry_budgets = retry_budgets
        recorder = AttemptRecorder(
            planner,
            clock,
            fleet,
            rollouts,
            usage,
            crash_tracker,
            metrics,
            retry_budgets,
            reporter,
        )
        connect = ConnectPolicy(hedging.fast_connect)
        run_ends = RunEnds(codec, clock, fleet, rollouts)
        self._streams = StreamExchange(codec, clock, recorder, connect, run_ends)
        self._hedger = Hedger(
            hedging,
            planner,
            clock,
            fleet,
            recorder,
            retry_budgets,
            metrics,
            BufferedExchange(codec, clock, recorder, connect, run_ends),
            self._streams,
        )
        self._writer = ResponseWriter(planner, codec, clock, metrics)

    async def handle(self, call: Call, responder: Responder) -> None:
        """Handle one request and write its response."""
        now = self._clock.now()
        planned = self._planner.plan(call, now)
        if isinstance(planned, Refused):
            self._writer.refuse(call, planned, responder, None)
            return
        refused = await self._planner.admit(planned, now)
        if refused is not None:
            self._writer.refuse(call, refused, responder, None)
            return
        outcome = "left by the caller"
        try:
            if planned.route.kind is RouteKind.STREAM:
                outcome = await self._serve_stream(planned, responder)
            else:
                outcome = await self._serve_buffered(planned, responder)
        finally:
            if not planned.began:
                self._quota_admission.refund(
                    planned.account, planned.cost, planned.charge, self._clock.now()
                )
            self._writer.log_request(planned, outcome, responder)

    async def _serve_buffered(self, plan: Plan, responder: Responder) -> str:
        error_response: ResponseReceived | None = None
        while True:
            chosen = await self._select_upstream(plan)
            if isinstance(chosen, Refused) or self._is_overdue(plan):
                return self._writer.end_without_upstream(
                    plan, chosen, error_response, responder
                )
            upstream, placement = chosen
            outcome = await self._hedger.attempt_buffered(plan, upstream, placement)
            match outcome:
                case ResponseReceived(head) if (
                    head.status < 500 or not self._may_repeat(plan)
                ):
                    self._writer.forward_response(outcome, responder)
                    return f"answered {head.status}"
                case ResponseReceived():
                    error_response = outcome
                case _:
                    pass
            if not await self._reserve_retry(plan, outcome):
                return self._writer.end_failed(plan, outcome, error_response, responder)

    async def _serve_stream(self, plan: Plan, responder: Responder) -> str:
        splitter = EventSplitter()
        error_response: ResponseReceived | None = None
        moved: Moved | None = None
        while True:
            if moved is not None:
                outcome = await self._continue_moved(plan, moved, splitter, responder)
            else:
                chosen = await self._select_upstream(plan)
                if isinstance(chosen, Refused) or self._is_overdue(plan):
                    return self._writer.end_without_upstream(
                        plan, chosen, error_response, responder
                    )
                upstream, placement = chosen
                outcome, splitter = await self._hedger.attempt_stream(
                    plan, upstream, placement, splitter, responder
                )
            moved = None
            if isinstance(outcome, Moved) and not may_continue(
                outcome, self._fleet, self._clock.now()
            ):
                outcome = ConnectionLost("the run's data centre is evacuated")
            match outcome:
                case Moved():
                    moved = outcome
                    splitter.resume()
                    continue
                case ResponseReceived(head):
                    if responder.ended:
                        return f"answered {head.status}"
                    if head.status < 500 or not self._may_repeat(plan):
                        if responder.started:
                            responder.abort()
                            return f"broken off by status {head.status}"
                        self._writer.forward_response(outcome, responder)
                        return f"answered {head.status}"
                    error_response = outcome
                case _:
                    pass
            if not await self._reserve_retry(plan, outcome):
                return self._writer.end_failed(plan, outcome, error_response, responder)
            splitter.resume()

    async def _continue_moved(
        self, plan: Plan, moved: Moved, splitter: EventSplitter, responder: Responder
    ) -> ResponseReceived | Moved | AttemptFailure:
        """Continue a run at the upstream that it was moved to, with a permit."""
        upstream = moved.upstream
        acquire = functools.partial(self._planner.acquire_permit, plan, upstream)
        if not await acquire_move_permit(
            acquire, self._fleet, upstream, plan.deadline, self._clock
        ):
            plan.trace.attempts.append(f"{upstream.entry.upstream}: cold, no permit")
            return NotSent("no permit for a cold upstream")
        prompt_tokens = plan.metadata.prompt_tokens
        return await self._streams.attempt(
            plan, upstream, prompt_tokens, splitter, responder, moved
        )

    async def _select_upstream(
        self, plan: Plan
    ) -> tuple[Upstream, Placement] | Refused:
        """Choose an upstream that accepts the request; see `Planner.acquire_permit`.

        While engines are scarce, wait for capacity; see `CapacityGate`.
        """
        gate = self._planner.capacity_gate
        until_ms = self._find_continue_until_ms(plan)
        while True:
            now = self._clock.now()
            chosen = self._planner.select_upstream(plan, now)
            if isinstance(chosen, Refused):
                if gate is not None and await gate.wait(plan, chosen):
                    continue
                if now.mono_ms >= until_ms:
                    return chosen
                await asyncio.sleep(CONTINUE_INTERVAL_S)
                continue
            upstream, _ = chosen
            is_permitted = await self._planner.acquire_permit(plan, upstream)
            is_usable = not upstream.gone and not self._fleet.is_evacuated(upstream)
            if is_permitted and is_usable:
                return chosen

    def _find_continue_until_ms(self, plan: Plan) -> int:
        """Return until when a stream that has begun waits for its next attempt.

        For any other request that is now: its caller can be sent elsewhere.
        """
        now = self._clock.now()
        if not plan.is_response_begun:
            return now.mono_ms
        return min(now.mono_ms + CONTINUE_WAIT_MS, plan.deadline.mono_ms)

    def _is_overdue(self, plan: Plan) -> bool:
        return plan.deadline.mono_ms <= self._clock.now().mono_ms

    def _may_repeat(self, plan: Plan) -> bool:
        """Whether a request that may have run may be sent to another upstream."""
        return plan.route.is_repeatable and plan.has_attempts_left

    async def _reserve_retry(
        self, plan: Plan, outcome: ResponseReceived | AttemptFailure
    ) -> bool:
        """Return whether to try again; a retry of a sent request uses the budget.

        A stream that has begun waits for the budget.
        """
        until_ms = self._find_continue_until_ms(plan)
        now = self._clock.now()
        if plan.deadline.mono_ms - now.mono_ms < MIN_RETRY_MS:
            return False
        match outcome:
            case NotSent() | NotRun() if plan.moves and not plan.route.is_repeatable:
                # The source stopped the run when it moved, so if the target cannot
                # continue it, the run is over.
                return False
            case InvalidResponse():
                return False
            case NotSent():
                return True
            case NotRun():
                may_send = plan.has_attempts_left
            case _:
                may_send = self._may_repeat(plan)
        service = self._planner.pick_service(plan)
        while may_send and not self._retry_budgets.try_spend(service, now):
            if now.mono_ms >= until_ms:
                return False
            await asyncio.sleep(CONTINUE_INTERVAL_S)
            now = self._clock.now()
        return may_send
