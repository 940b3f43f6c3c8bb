"""Attempts at streams, whose events are forwarded as they arrive."""

import asyncio
from collections.abc import Callable

from waxwingbarrow.core import Clock
from waxwingbarrow.gateway.base import Codec, ResponseHead, is_event_stream
from waxwingbarrow.gateway.callers import Responder
from waxwingbarrow.gateway.requests._buffered import build_forwarding_metadata
from waxwingbarrow.gateway.requests._connecting import ConnectPolicy
from waxwingbarrow.gateway.requests._engine_times import note_events
from waxwingbarrow.gateway.requests._moves import PlannedJob
from waxwingbarrow.gateway.requests._outcomes import AttemptRecorder
from waxwingbarrow.gateway.requests._plans import Plan
from waxwingbarrow.gateway.requests._run_ends import RunEnds, find_stop
from waxwingbarrow.gateway.upstreams import (
    EVENT_END,
    AttemptFailure,
    BrokenError,
    ConnectionLost,
    EventSplitter,
    InvalidResponse,
    Moved,
    ResponseReceived,
    ResponseStarted,
    TimedOut,
    Upstream,
    compute_timeout_s,
    read_response,
    release,
    start_attempt,
)

# Events of a stream beyond one for each output token, such as one that ends it.
MAX_EXTRA_EVENTS = 16


class StreamExchange:
    """Makes single attempts at streams and forwards their events."""

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
        self,
        plan: Plan,
        upstream: Upstream,
        cached_tokens: int,
        splitter: EventSplitter,
        responder: Responder,
        moved: Moved | None,
        claim: Callable[[], None] | None = None,
    ) -> ResponseReceived | Moved | AttemptFailure:
        """Send a request to an upstream and forward the events of its response.

        Parameters
        ----------
        claim : callable or None
            Called before anything is forwarded to the caller, to end other attempts.
        """
        started = self._clock.now()
        resume_after = splitter.last_id
        if resume_after is None:
            resume_after = plan.metadata.after_event
        job = self._recorder.start_job(plan, upstream, cached_tokens, started)
        outcome: ResponseReceived | ResponseStarted | Moved | AttemptFailure
        try:
            outcome = await start_attempt(
                plan.call,
                plan.metadata.request_id,
                build_forwarding_metadata(plan, upstream, resume_after, started, moved),
                upstream,
                self._codec,
                plan.deadline,
                self._clock,
                self._connect.choose_timeout_s(plan.route),
            )
            self._recorder.note_statements(upstream, outcome)
            if isinstance(outcome, ResponseStarted):
                if outcome.head.status == 200:
                    outcome = await self._forward_stream(
                        plan, upstream, outcome, job, splitter, responder, claim
                    )
                else:
                    self._recorder.note_execution_start(plan)
                    job.ends_with_connection = outcome.channel.ends_with_connection
                    outcome = await read_response(
                        outcome, upstream, plan.deadline, self._clock
                    )
                    if job.ends_with_connection and isinstance(
                        outcome, ResponseReceived
                    ):
                        end = await self._run_ends.find_upstream_end(job, upstream)
                        outcome = end or outcome
            if isinstance(outcome, ConnectionLost):
                outcome = await find_stop(job, self._clock) or outcome
        finally:
            upstream.jobs.discard(job)
        if isinstance(outcome, Moved):
            self._recorder.record_move(plan, upstream)
            return outcome
        self._recorder.record_outcome(plan, upstream, outcome, started, job)
        return outcome

    async def _forward_stream(
        self,
        plan: Plan,
        upstream: Upstream,
        response: ResponseStarted,
        job: PlannedJob,
        splitter: EventSplitter,
        responder: Responder,
        claim: Callable[[], None] | None,
    ) -> ResponseReceived | Moved | AttemptFailure:
        channel = response.channel
        job.ends_with_connection = channel.ends_with_connection
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
                        if claim is not None and job.first_event_ms is None:
                            claim()
                        self._forward_events(
                            plan, upstream, response, job, events, responder
                        )
                    if splitter.is_oversized:
                        return ConnectionLost("bytes without a numbered event")
                    # Nothing is kept of what was forwarded while the next bytes are
                    # awaited: a read returns up to 320 KiB.
                    del data, events
            if splitter.remainder:
                # The body is complete for HTTP, but its last event is truncated.
                return ConnectionLost("ended inside an event")
            if channel.ends_with_connection and job.first_event_ms is None:
                # An upstream that crashes closes its connections like one that is done.
                return ConnectionLost("closed before the first event")
            if channel.ends_with_connection:
                cause = await self._run_ends.find_cause(job, upstream)
                if cause is not None:
                    return cause
            if not responder.started:
                if claim is not None:
                    claim()
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
            self._recorder.note_first_event(plan, upstream, job)
        if not responder.started:
            self._start_stream(response.head, responder)
        event_count = events.count(EVENT_END)
        job.events += event_count
        plan.events_sent += event_count
        if job.meter is not None:
            note_events(job.meter, upstream, event_count, self._clock.now())
        responder.send_chunk(events)

    def _start_stream(self, head: ResponseHead, responder: Responder) -> None:
        headers = self._codec.write_response(head)
        responder.start_stream(head.status, head.reason, headers)


def _has_too_many_events(plan: Plan, splitter: EventSplitter) -> bool:
    metadata = plan.metadata
    return (
        metadata.has_token_counts
        and splitter.event_count > metadata.max_output_tokens + MAX_EXTRA_EVENTS
    )
