"""Dispatch of requests: admission, attempts, retries and the final response."""

import asyncio
import logging

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway.admission import AttemptReporter, QuotaAdmission
from waxwingbarrow.gateway.base import (
    Call,
    Codec,
    ForwardingMetadata,
    Metrics,
    ResponseHead,
    RouteKind,
    get_reason_phrase,
    is_event_stream,
)
from waxwingbarrow.gateway.callers import Responder
from waxwingbarrow.gateway.messages import AttemptOutcome
from waxwingbarrow.gateway.requests._move_sources import may_continue
from waxwingbarrow.gateway.requests._moves import PlannedJob
from waxwingbarrow.gateway.requests._planner import RETRY_AFTER_BUSY_S, Planner
from waxwingbarrow.gateway.requests._plans import Plan, Refused
from waxwingbarrow.gateway.requests._retry_budgets import RetryBudgets
from waxwingbarrow.gateway.requests._rollouts import Rollouts
from waxwingbarrow.gateway.requests._usage import UsageCounter
from waxwingbarrow.gateway.upstreams import (
    EVENT_END,
    AttemptFailure,
    BrokenError,
    ConnectionLost,
    CrashChecker,
    CrashTracker,
    EventSplitter,
    Fleet,
    InvalidResponse,
    Job,
    Moved,
    NotRun,
    NotSent,
    ResponseReceived,
    ResponseStarted,
    TimedOut,
    Upstream,
    compute_timeout_s,
    read_response,
    release,
    start_attempt,
)
from waxwingbarrow.routing import Placement

logger = logging.getLogger("waxwingbarrow.gateway.requests")

# Fraction of the remaining time that an attempt may take while a retry is still
# possible; more than half of the time is left for the retry.
ATTEMPT_TIME_SHARE = 0.45
# With less time left than this, a failed request is not retried.
MIN_RETRY_MS = 2.0
# Events of a stream beyond one for each output token, such as one that ends it.
MAX_EXTRA_EVENTS = 16


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
    ) -> None:
        self._planner = planner
        self._codec = codec
        self._clock = clock
        self._fleet = fleet
        self._quota_admission = quota_admission
        self._rollouts = rollouts
        self._usage = usage
        self._crash_tracker = crash_tracker
        self._metrics = metrics
        self._retry_budgets = retry_budgets
        self._reporter = reporter
        self._crash_checker = CrashChecker(crash_tracker, fleet, clock)

    async def handle(self, call: Call, responder: Responder) -> None:
        """Handle one request and write its response."""
        now = self._clock.now()
        planned = self._planner.plan(call, now)
        if isinstance(planned, Refused):
            self._refuse(call, planned, responder, None)
            return
        refused = await self._planner.admit(planned, now)
        if refused is not None:
            self._refuse(call, refused, responder, None)
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
            self._log_request(planned, outcome)

    # Requests whose whole response is read before it is forwarded

    async def _serve_buffered(self, plan: Plan, responder: Responder) -> str:
        error_response: ResponseReceived | None = None
        while True:
            chosen = await self._select_upstream(plan)
            if isinstance(chosen, Refused) or self._is_overdue(plan):
                return self._end_without_upstream(
                    plan, chosen, error_response, responder
                )
            upstream, placement = chosen
            outcome = await self._attempt_buffered(plan, upstream, placement)
            match outcome:
                case ResponseReceived(head) if (
                    head.status < 500 or not self._may_repeat(plan)
                ):
                    self._forward_response(outcome, responder)
                    return f"answered {head.status}"
                case ResponseReceived():
                    error_response = outcome
                case _:
                    pass
            if not self._reserve_retry(plan, outcome):
                return self._end_failed(plan, outcome, error_response, responder)

    async def _attempt_buffered(
        self, plan: Plan, upstream: Upstream, placement: Placement
    ) -> ResponseReceived | AttemptFailure:
        started = self._clock.now()
        deadline = plan.deadline
        # Reserves time for a retry if the route allows another attempt after this one.
        if (
            plan.route.is_repeatable
            and plan.delivered_attempts + 1 < plan.route.max_attempts
        ):
            attempt_ms = int((deadline.mono_ms - started.mono_ms) * ATTEMPT_TIME_SHARE)
            deadline = started.plus_ms(attempt_ms)
        cached_tokens = placement.view.cached_tokens
        job = self._start_job(plan, upstream, cached_tokens, started)
        try:
            outcome: (
                ResponseReceived | ResponseStarted | AttemptFailure
            ) = await start_attempt(
                plan.call,
                plan.metadata.request_id,
                self._build_forwarding_metadata(plan, upstream, None, started),
                upstream,
                self._codec,
                deadline,
                self._clock,
            )
            self._note_statements(upstream, outcome)
            if isinstance(outcome, ResponseStarted):
                self._note_execution_start(plan)
                outcome = await read_response(outcome, upstream, deadline, self._clock)
        finally:
            upstream.jobs.discard(job)
        self._record_outcome(plan, upstream, outcome, started)
        return outcome

    # Streaming requests, whose events are forwarded as they arrive

    async def _serve_stream(self, plan: Plan, responder: Responder) -> str:
        splitter = EventSplitter()
        error_response: ResponseReceived | None = None
        moved: Moved | None = None
        while True:
            if moved is not None:
                upstream, cached_tokens = moved.upstream, plan.metadata.prompt_tokens
            else:
                chosen = await self._select_upstream(plan)
                if isinstance(chosen, Refused) or self._is_overdue(plan):
                    return self._end_without_upstream(
                        plan, chosen, error_response, responder
                    )
                upstream, placement = chosen
                cached_tokens = placement.view.cached_tokens
            outcome = await self._attempt_stream(
                plan, upstream, cached_tokens, splitter, responder, moved
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
                        self._forward_response(outcome, responder)
                        return f"answered {head.status}"
                    error_response = outcome
                case _:
                    pass
            if not self._reserve_retry(plan, outcome):
                return self._end_failed(plan, outcome, error_response, responder)
            splitter.resume()

    async def _attempt_stream(
        self,
        plan: Plan,
        upstream: Upstream,
        cached_tokens: int,
        splitter: EventSplitter,
        responder: Responder,
        moved: Moved | None,
    ) -> ResponseReceived | Moved | AttemptFailure:
        started = self._clock.now()
        resume_after = splitter.last_id
        if resume_after is None:
            resume_after = plan.metadata.after_event
        job = self._start_job(plan, upstream, cached_tokens, started)
        outcome: ResponseReceived | ResponseStarted | AttemptFailure
        try:
            outcome = await start_attempt(
                plan.call,
                plan.metadata.request_id,
                self._build_forwarding_metadata(
                    plan, upstream, resume_after, started, moved
                ),
                upstream,
                self._codec,
                plan.deadline,
                self._clock,
            )
            self._note_statements(upstream, outcome)
            if isinstance(outcome, ResponseStarted):
                if outcome.head.status == 200:
                    outcome = await self._forward_stream(
                        plan, upstream, outcome, job, splitter, responder
                    )
                else:
                    self._note_execution_start(plan)
                    outcome = await read_response(
                        outcome, upstream, plan.deadline, self._clock
                    )
            if isinstance(outcome, ConnectionLost) and job.move is not None:
                result = await job.move
                if result is not None:
                    self._record_move(plan, upstream)
                    return result
        finally:
            upstream.jobs.discard(job)
        self._record_outcome(plan, upstream, outcome, started, job)
        return outcome

    async def _forward_stream(
        self,
        plan: Plan,
        upstream: Upstream,
        response: ResponseStarted,
        job: PlannedJob,
        splitter: EventSplitter,
        responder: Responder,
    ) -> ResponseReceived | AttemptFailure:
        channel = response.channel
        is_complete = False
        try:
            if responder.started and not is_event_stream(response.head):
                return InvalidResponse("the stream goes on with something else")
            timeout_s = compute_timeout_s(plan.deadline, self._clock.now())
            async with asyncio.timeout(timeout_s):
                while data := await channel.read_chunk():
                    events = splitter.feed(data)
                    if not splitter.is_continuous:
                        return InvalidResponse("events that were sent before")
                    if _has_too_many_events(plan, splitter):
                        return InvalidResponse("more events than output tokens")
                    if events:
                        self._forward_events(
                            plan, upstream, response, job, events, responder
                        )
                    if splitter.is_oversized:
                        return ConnectionLost("bytes without a numbered event")
            if splitter.remainder:
                # The body is complete for HTTP, but its last event is truncated.
                return ConnectionLost("ended inside an event")
            if channel.ends_with_connection and job.first_event_ms is None:
                # An upstream that crashes closes its connections like one that is done.
                return ConnectionLost("closed before the first event")
            if not responder.started:
                self._start_stream(response.head, responder)
            responder.finish_stream()
            release(upstream, channel, response.metadata, self._clock)
            is_complete = True
            return ResponseReceived(response.head, b"")
        except BrokenError as error:
            return ConnectionLost(str(error))
        except TimeoutError:
            return TimedOut()
        finally:
            if not is_complete:
                channel.close()

    def _forward_events(
        self,
        plan: Plan,
        upstream: Upstream,
        response: ResponseStarted,
        job: PlannedJob,
        events: bytes,
        responder: Responder,
    ) -> None:
        if job.first_event_ms is None:
            self._note_first_event(plan, upstream, job)
        if not responder.started:
            self._start_stream(response.head, responder)
        job.events += events.count(EVENT_END)
        responder.send_chunk(events)

    def _start_stream(self, head: ResponseHead, responder: Responder) -> None:
        headers = self._codec.write_response(head)
        responder.start_stream(head.status, head.reason, headers)

    def _note_first_event(self, plan: Plan, upstream: Upstream, job: Job) -> None:
        now = self._clock.now()
        self._reporter.report(
            upstream, plan.advice_source, AttemptOutcome.FIRST_EVENT, now
        )
        self._note_execution_start(plan)
        job.pending_prefill_tokens = 0
        job.first_event_ms = now.mono_ms
        first_event_ms = now.mono_ms - job.started_ms
        plan.trace.first_event_ms = first_event_ms
        self._metrics.observe_first_event(
            plan.route.name, plan.trace.account, first_event_ms
        )

    # Steps shared by buffered and streaming requests

    async def _select_upstream(
        self, plan: Plan
    ) -> tuple[Upstream, Placement] | Refused:
        """Choose an upstream that accepts the request; see `Planner.acquire_permit`."""
        while True:
            chosen = self._planner.select_upstream(plan, self._clock.now())
            if isinstance(chosen, Refused):
                return chosen
            upstream, _ = chosen
            is_permitted = await self._planner.acquire_permit(plan, upstream)
            is_usable = not upstream.gone and not self._fleet.is_evacuated(upstream)
            if is_permitted and is_usable:
                return chosen

    def _is_overdue(self, plan: Plan) -> bool:
        return plan.deadline.mono_ms <= self._clock.now().mono_ms

    def _start_job(
        self, plan: Plan, upstream: Upstream, cached_tokens: int, now: Instant
    ) -> PlannedJob:
        metadata = plan.metadata
        prefill_tokens = max(metadata.prompt_tokens - cached_tokens, 0)
        job = PlannedJob(
            metadata.request_id,
            plan.account.name if plan.account else None,
            now.mono_ms,
            prefill_tokens,
            metadata.prompt_tokens + metadata.max_output_tokens // 2,
            plan=plan,
        )
        upstream.jobs.add(job)
        plan.tried_upstreams.add(upstream.entry.upstream)
        if metadata.parts:
            self._fleet.record_parts(upstream.entry.upstream, metadata.parts)
        if plan.delivered_attempts == 0:
            self._retry_budgets.record_request(self._planner.pick_service(plan), now)
        return job

    def _build_forwarding_metadata(
        self,
        plan: Plan,
        upstream: Upstream,
        resume_after: int | None,
        now: Instant,
        moved: Moved | None = None,
    ) -> ForwardingMetadata:
        account = plan.account
        priority = plan.route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return ForwardingMetadata(
            upstream=upstream.entry.upstream,
            account=account.name if account else None,
            remaining_ms=max(plan.deadline.mono_ms - now.mono_ms, 1),
            priority=priority if plan.metadata.has_token_counts else None,
            after_event=resume_after,
            memory_copy=moved.memory_copy if moved is not None else None,
        )

    def _note_statements(
        self,
        upstream: Upstream,
        outcome: ResponseReceived | ResponseStarted | AttemptFailure,
    ) -> None:
        """Record what the upstream states in the head of its response."""
        match outcome:
            case ResponseStarted(head=head, metadata=metadata):
                status = head.status
            case NotRun(status=status, metadata=metadata):
                pass
            case _:
                return
        self._fleet.notices.note_response(
            upstream.process, status, metadata, self._clock.now()
        )

    def _note_execution_start(self, plan: Plan) -> None:
        if plan.began:
            return
        plan.began = True
        if plan.account is not None:
            self._usage.count(plan.account.name, self._clock.now())

    def _record_outcome(
        self,
        plan: Plan,
        upstream: Upstream,
        outcome: ResponseReceived | AttemptFailure,
        started: Instant,
        job: Job | None = None,
    ) -> None:
        now = self._clock.now()
        name = upstream.entry.upstream
        if not isinstance(outcome, NotSent):
            plan.delivered_attempts += 1
        if not isinstance(outcome, NotSent | NotRun):
            plan.may_have_run = True
        failed = False
        match outcome:
            case ResponseReceived(head):
                failed = head.status >= 500
                self._fleet.record(upstream, failed, now)
                result = str(head.status)
            case NotSent(reason):
                self._fleet.record_unreachable(upstream, now)
                if outcome.refused:
                    self._crash_tracker.note_crash(name, upstream.incarnation, now)
                result = f"not sent ({reason})"
            case NotRun(status):
                upstream.record(True, now)
                result = f"not run ({status})"
            case InvalidResponse(reason):
                failed = True
                self._fleet.record(upstream, True, now)
                result = f"invalid ({reason})"
            case ConnectionLost(reason):
                failed = True
                self._fleet.record(upstream, True, now)
                first_event_ms = job.first_event_ms if job is not None else None
                self._crash_checker.note_loss(
                    plan.fingerprints, upstream, first_event_ms, now
                )
                result = f"lost ({reason})"
            case TimedOut():
                failed = True
                self._fleet.record(upstream, True, now)
                result = "expired"
        if job is not None:
            self._report_failure(plan, upstream, outcome, failed, now)
        if isinstance(outcome, ResponseReceived):
            succeeded = outcome.head.status < 300
            self._crash_tracker.note_completion(plan.fingerprints, succeeded, now)
        if not isinstance(outcome, NotSent | NotRun):
            first_ms = now.mono_ms
            if job is not None and job.first_event_ms is not None:
                first_ms = job.first_event_ms
            self._rollouts.record(
                upstream.entry.service,
                upstream.entry.version,
                plan.route.name,
                failed,
                first_ms - started.mono_ms,
                plan.expected_start_ms,
            )
        plan.trace.attempts.append(f"{name}: {result}")

    def _report_failure(
        self,
        plan: Plan,
        upstream: Upstream,
        outcome: ResponseReceived | AttemptFailure,
        failed: bool,
        now: Instant,
    ) -> None:
        match outcome:
            case NotSent():
                reported = AttemptOutcome.UNREACHABLE
            case NotRun():
                reported = AttemptOutcome.NOT_RUN
            case _ if failed:
                reported = AttemptOutcome.FAILED
            case _:
                return
        self._reporter.report(upstream, plan.advice_source, reported, now)

    def _record_move(self, plan: Plan, upstream: Upstream) -> None:
        plan.delivered_attempts += 1
        plan.moves += 1
        plan.may_have_run = True
        plan.trace.attempts.append(f"{upstream.entry.upstream}: moved")

    def _may_repeat(self, plan: Plan) -> bool:
        """Whether a request that may have run may be sent to another upstream."""
        return plan.route.is_repeatable and plan.has_attempts_left

    def _reserve_retry(
        self, plan: Plan, outcome: ResponseReceived | AttemptFailure
    ) -> bool:
        """Return whether to try again; a retry of a sent request uses the budget."""
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
        return may_send and self._retry_budgets.try_spend(service, now)

    def _forward_response(
        self, received: ResponseReceived, responder: Responder
    ) -> None:
        head = received.head
        headers = self._codec.write_response(head)
        responder.send(head.status, head.reason, headers, received.body)

    def _end_without_upstream(
        self,
        plan: Plan,
        chosen: tuple[Upstream, Placement] | Refused,
        error_response: ResponseReceived | None,
        responder: Responder,
    ) -> str:
        """End a request that has no upstream or no time left; return its outcome."""
        refused = chosen if isinstance(chosen, Refused) else None
        if error_response is not None and not responder.started:
            self._forward_response(error_response, responder)
            return f"answered {error_response.head.status}"
        if responder.started:
            responder.abort()
            return "broken off: no upstream to continue at"
        if plan.may_have_run:
            refused = Refused(502, "failed at the upstream")
        elif refused is None:
            refused = Refused(503, "no time left", RETRY_AFTER_BUSY_S)
        self._refuse(plan.call, refused, responder, plan)
        return f"refused {refused.status}: {refused.reason}"

    def _end_failed(
        self,
        plan: Plan,
        outcome: ResponseReceived | AttemptFailure,
        error_response: ResponseReceived | None,
        responder: Responder,
    ) -> str:
        """End a request whose failed attempt is not retried; return its outcome."""
        if responder.started:
            responder.abort()
            return "broken off"
        if error_response is not None:
            self._forward_response(error_response, responder)
            return f"answered {error_response.head.status}"
        match outcome:
            case NotRun() | NotSent() if not plan.may_have_run:
                return_s = self._planner.plan_return_s(plan, self._clock.now())
                refused = Refused(503, "not run by the upstream", return_s)
            case TimedOut():
                refused = Refused(504, "timeout")
            case _:
                refused = Refused(502, "failed at the upstream")
        self._refuse(plan.call, refused, responder, plan)
        return f"refused {refused.status}: {refused.reason}"

    def _refuse(
        self, call: Call, refused: Refused, responder: Responder, plan: Plan | None
    ) -> None:
        metadata = self._codec.read_call(call).ok()
        request_id = metadata.request_id if metadata is not None else None
        headers = self._codec.write_refusal(request_id, refused.retry_after_s)
        body = f"{refused.reason}\n".encode()
        responder.send(refused.status, get_reason_phrase(refused.status), headers, body)
        self._metrics.count_refusal(refused.status, refused.reason)
        if plan is None:
            table = self._planner.table
            version = table.configuration.version if table else 0
            logger.info(
                "request refused",
                extra={
                    "request": request_id,
                    "status": refused.status,
                    "reason": refused.reason,
                    "retry_after_s": refused.retry_after_s,
                    "config_version": version,
                    **refused.inputs,
                },
            )

    def _log_request(self, plan: Plan, outcome: str) -> None:
        now = self._clock.now()
        trace = plan.trace
        elapsed_ms = now.mono_ms - plan.call.received_ms
        self._metrics.observe_request(trace.route, trace.account, outcome, elapsed_ms)
        if outcome == "answered 200":
            self._planner.stop_check.durations.record(
                plan.route.name, plan.output_size, elapsed_ms
            )
        logger.info(
            "request ended",
            extra={
                "request": trace.request_id,
                "route": trace.route,
                "account": trace.account,
                "attempts": trace.attempts,
                "outcome": outcome,
                "elapsed_ms": elapsed_ms,
                "allowed_ms": plan.deadline.mono_ms - plan.call.received_ms,
                "config_version": trace.config_version,
                "start_ms": trace.start_ms,
                "cached_tokens": trace.cached_tokens,
                "running": trace.running,
                "candidates": trace.candidates,
                "upstreams_age_ms": trace.upstreams_age_ms,
                "is_advised": trace.is_advised,
                "first_event_ms": trace.first_event_ms,
            },
        )


def _has_too_many_events(plan: Plan, splitter: EventSplitter) -> bool:
    metadata = plan.metadata
    return (
        metadata.has_token_counts
        and splitter.event_count > metadata.max_output_tokens + MAX_EXTRA_EVENTS
    )
