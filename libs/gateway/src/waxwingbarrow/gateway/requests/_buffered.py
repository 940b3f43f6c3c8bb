"""Attempts at requests whose whole response is read before it is forwarded."""

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway.base import Codec, ForwardingMetadata
from waxwingbarrow.gateway.requests._connecting import ConnectPolicy
from waxwingbarrow.gateway.requests._outcomes import AttemptRecorder
from waxwingbarrow.gateway.requests._plans import Plan
from waxwingbarrow.gateway.requests._run_ends import RunEnds
from waxwingbarrow.gateway.upstreams import (
    AttemptFailure,
    Moved,
    NotSent,
    ResponseReceived,
    ResponseStarted,
    Upstream,
    read_response,
    start_attempt,
)
from waxwingbarrow.routing import Placement

# Fraction of the remaining time that an attempt may take while a retry is still
# possible; more than half of the time is left for the retry.
ATTEMPT_TIME_SHARE = 0.45


class BufferedExchange:
    """Makes single attempts and reads their responses as a whole."""

    def __init__(
        self,
        codec: Codec,
        clock: Clock,
        recorder: AttemptRecorder,
        connect: ConnectPolicy,
        run_ends: RunEnds,
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._recorder = recorder
        self._connect = connect
        self._run_ends = run_ends

    async def attempt(
        self, plan: Plan, upstream: Upstream, placement: Placement
    ) -> ResponseReceived | AttemptFailure:
        """Send a request to an upstream and read the response."""
        started = self._clock.now()
        deadline = plan.deadline
        # Reserves time for a retry if the route allows another attempt after this one.
        if (
            plan.route.is_repeatable
            and plan.delivered_attempts + plan.open_attempts + 1
            < plan.route.max_attempts
        ):
            attempt_ms = int((deadline.mono_ms - started.mono_ms) * ATTEMPT_TIME_SHARE)
            deadline = started.plus_ms(attempt_ms)
        cached_tokens = placement.view.cached_tokens
        job = self._recorder.start_job(plan, upstream, cached_tokens, started)
        try:
            outcome: (
                ResponseReceived | ResponseStarted | AttemptFailure
            ) = await start_attempt(
                plan.call,
                plan.metadata.request_id,
                build_forwarding_metadata(plan, upstream, None, started),
                upstream,
                self._codec,
                deadline,
                self._clock,
                self._connect.choose_timeout_s(plan.route),
            )
            self._recorder.note_statements(upstream, outcome)
            if isinstance(outcome, ResponseStarted):
                self._recorder.note_execution_start(plan)
                ends_with_connection = outcome.channel.ends_with_connection
                outcome = await read_response(outcome, upstream, deadline, self._clock)
                if ends_with_connection and isinstance(outcome, ResponseReceived):
                    end = await self._run_ends.find_upstream_end(job, upstream)
                    outcome = end or outcome
        finally:
            upstream.jobs.discard(job)
        self._recorder.record_outcome(plan, upstream, outcome, started)
        if self._connect.is_fast and isinstance(outcome, NotSent):
            self._recorder.report_unreachable(upstream, job)
        return outcome


def build_forwarding_metadata(
    plan: Plan,
    upstream: Upstream,
    resume_after: int | None,
    now: Instant,
    moved: Moved | None = None,
) -> ForwardingMetadata:
    """Return what the upstream is told about a request."""
    account = plan.account
    return ForwardingMetadata(
        upstream=upstream.entry.upstream,
        account=account.name if account else None,
        remaining_ms=max(plan.deadline.mono_ms - now.mono_ms, 1),
        priority=plan.priority if plan.metadata.has_token_counts else None,
        after_event=resume_after,
        memory_copy=moved.memory_copy if moved is not None else None,
    )
