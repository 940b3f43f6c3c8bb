"""Recording of what happens to attempts: health, usage, crashes, rollouts, keeper."""

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway.admission import AttemptReporter
from waxwingbarrow.gateway.base import Metrics
from waxwingbarrow.gateway.messages import AttemptOutcome
from waxwingbarrow.gateway.requests._engine_times import measure_prefill, prepare_job
from waxwingbarrow.gateway.requests._moves import PlannedJob
from waxwingbarrow.gateway.requests._planner import Planner
from waxwingbarrow.gateway.requests._plans import Plan
from waxwingbarrow.gateway.requests._retry_budgets import RetryBudgets
from waxwingbarrow.gateway.requests._rollouts import Rollouts
from waxwingbarrow.gateway.requests._usage import UsageCounter
from waxwingbarrow.gateway.upstreams import (
    AttemptFailure,
    ConnectionLost,
    CrashChecker,
    CrashTracker,
    Fleet,
    InvalidResponse,
    NotRun,
    NotSent,
    ResponseReceived,
    ResponseStarted,
    TimedOut,
    Upstream,
)


class AttemptRecorder:
    """Records the start, the progress and the outcome of attempts."""

    def __init__(
        self,
        planner: Planner,
        clock: Clock,
        fleet: Fleet,
        rollouts: Rollouts,
        usage: UsageCounter,
        crash_tracker: CrashTracker,
        metrics: Metrics,
        retry_budgets: RetryBudgets,
        reporter: AttemptReporter,
    ) -> None:
        self._planner = planner
        self._clock = clock
        self._fleet = fleet
        self._rollouts = rollouts
        self._usage = usage
        self._crash_tracker = crash_tracker
        self._metrics = metrics
        self._retry_budgets = retry_budgets
        self._reporter = reporter
        self._crash_checker = CrashChecker(
            crash_tracker, fleet, clock, rollouts.is_stopped
        )

    def start_job(
        self, plan: Plan, upstream: Upstream, cached_tokens: int, now: Instant
    ) -> PlannedJob:
        """Record that an attempt starts, and return its entry at the upstream."""
        metadata = plan.metadata
        prefill_tokens = max(metadata.prompt_tokens - cached_tokens, 0)
        job = PlannedJob(
            metadata.request_id,
            plan.account.name if plan.account else None,
            now.mono_ms,
            prefill_tokens,
            metadata.prompt_tokens + metadata.max_output_tokens // 2,
            plan=plan,
            advice_source=plan.advice_source,
        )
        engine = self._planner.find_engine(upstream.entry.service)
        if self._fleet.estimates.is_enabled and engine is not None:
            prepare_job(job, upstream, engine, now)
        upstream.jobs.add(job)
        plan.tried_upstreams.add(upstream.entry.upstream)
        if metadata.parts:
            self._fleet.record_parts(upstream.entry.upstream, metadata.parts)
        if plan.delivered_attempts + plan.open_attempts == 0:
            self._retry_budgets.record_request(self._planner.pick_service(plan), now)
        return job

    def note_statements(
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

    def note_execution_start(self, plan: Plan) -> None:
        """Count the request for its account's usage, once."""
        if plan.began:
            return
        plan.began = True
        if plan.account is not None:
            self._usage.count(plan.account.name, self._clock.now())

    def note_first_event(self, plan: Plan, upstream: Upstream, job: PlannedJob) -> None:
        """Record the first event of a stream."""
        now = self._clock.now()
        self._reporter.report(
            upstream,
            job.advice_source,
            AttemptOutcome.FIRST_EVENT,
            now,
            measure_prefill(job, now),
        )
        self.note_execution_start(plan)
        job.pending_prefill_tokens = 0
        job.first_event_ms = now.mono_ms
        first_event_ms = now.mono_ms - job.started_ms
        plan.trace.first_event_ms = first_event_ms
        self._metrics.observe_first_event(
            plan.route.name, plan.trace.account, first_event_ms
        )

    def record_outcome(
        self,
        plan: Plan,
        upstream: Upstream,
        outcome: ResponseReceived | AttemptFailure,
        started: Instant,
        job: PlannedJob | None = None,
    ) -> None:
        """Record the outcome of an attempt that ended."""
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
                if job is not None:
                    result += job.describe_end()
            case NotSent(reason):
                self._fleet.record_unreachable(upstream, now)
                if outcome.refused:
                    self._crash_checker.note_refusal(upstream, now)
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
            self._report_end(job, upstream, outcome, failed, now)
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

    def report_unreachable(self, upstream: Upstream, job: PlannedJob) -> None:
        """Report an engine that accepted no connection to the keeper.

        Upstreams of services without engines are not placed by the keeper.
        """
        if self._planner.find_engine(upstream.entry.service) is not None:
            self._reporter.report(
                upstream,
                job.advice_source,
                AttemptOutcome.UNREACHABLE,
                self._clock.now(),
            )

    def _report_end(
        self,
        job: PlannedJob,
        upstream: Upstream,
        outcome: ResponseReceived | AttemptFailure,
        failed: bool,
        now: Instant,
    ) -> None:
        time = None
        match outcome:
            case NotSent():
                reported = AttemptOutcome.UNREACHABLE
            case NotRun():
                reported = AttemptOutcome.NOT_RUN
            case _ if failed:
                reported = AttemptOutcome.FAILED
            case _:
                time = job.meter.summarize() if job.meter is not None else None
                if time is None:
                    return
                reported = AttemptOutcome.ENDED
        self._reporter.report(upstream, job.advice_source, reported, now, time)

    def record_cancelled(
        self, plan: Plan, upstream: Upstream, started: Instant, now: Instant
    ) -> None:
        """Record an attempt that was cancelled because another one was faster.

        It is no failure of its upstream. The time waited counts for the rollout's
        version, which would otherwise look faster than it is. The keeper gets no
        report, so a first event that is overdue goes on counting as silence.
        """
        plan.delivered_attempts += 1
        plan.may_have_run = True
        waited_ms = now.mono_ms - started.mono_ms
        entry = upstream.entry
        self._rollouts.record(
            entry.service,
            entry.version,
            plan.route.name,
            False,
            waited_ms,
            plan.expected_start_ms,
        )
        plan.trace.attempts.append(f"{entry.upstream}: cancelled ({waited_ms} ms)")

    def record_move(self, plan: Plan, upstream: Upstream) -> None:
        """Record that a run was moved away from an upstream."""
        plan.delivered_attempts += 1
        plan.moves += 1
        plan.may_have_run = True
        plan.trace.attempts.append(f"{upstream.entry.upstream}: moved")
