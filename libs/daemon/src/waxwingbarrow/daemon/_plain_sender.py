"""Sending of requests to plain services."""

import asyncio
import uuid

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import (
    Clock,
    Instant,
    NoUpstream,
    Outcome,
    Refusal,
    UpstreamFailed,
    UpstreamId,
)
from waxwingbarrow.daemon._control import Configuration
from waxwingbarrow.daemon._dispatch import Attempt, Dispatcher, make_address
from waxwingbarrow.daemon._requests import CallerRequest
from waxwingbarrow.daemon._send_results import (
    Completed,
    NeverSent,
    ResponseLost,
    SendResult,
)
from waxwingbarrow.rollout import ResponseQuality
from waxwingbarrow.upstreams import (
    NotSent,
    PlainAnswer,
    PlainCall,
    Rejected,
    ServiceClient,
    UpstreamFailure,
)

RETRY_PAUSE_S = 0.05


@attrs.frozen
class _AttemptResult:
    """One attempt and its result."""

    attempt: Attempt
    result: Result[PlainAnswer, UpstreamFailure]


class PlainServiceSender:
    """Sends requests to plain services, with retries where they are safe.

    Parameters
    ----------
    dispatcher : Dispatcher
        Chooses the upstream of each attempt.
    client : ServiceClient
        Client for connections to upstreams.
    clock : Clock
        Source of the current time.
    max_attempts : int
        Maximum number of attempts at one request, including the first.
    timeout_ms : int
        Longest duration of one attempt.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        client: ServiceClient,
        clock: Clock,
        max_attempts: int,
        timeout_ms: int,
    ) -> None:
        self._dispatcher = dispatcher
        self._client = client
        self._clock = clock
        self._max_attempts = max_attempts
        self._timeout_ms = timeout_ms

    async def call(
        self, configuration: Configuration, request: CallerRequest
    ) -> Result[Completed, Refusal]:
        """Send a repeatable request until an upstream answers it."""
        self._dispatcher.retry_budget.record_request(self._clock.now())
        excluded: set[UpstreamId] = set()
        maybe_sent = False
        refusal: Refusal = UpstreamFailed(reason="No attempt succeeded.")
        for number in range(self._max_attempts):
            now = self._clock.now()
            if number > 0 and not self._dispatcher.retry_budget.try_spend(now):
                break
            sent = await self._attempt(configuration, request, excluded)
            if isinstance(sent, Err):
                refusal = sent.err_value
                break
            match sent.ok_value.result:
                case Ok(answer):
                    return Ok(_make_completed(answer))
                case Err(Rejected() as rejected) if _is_service_answer(rejected):
                    return Ok(_make_completed_rejection(rejected))
                case Err(failure):
                    maybe_sent = maybe_sent or not isinstance(failure, NotSent)
                    refusal = UpstreamFailed(reason=failure.detail)
            excluded.add(sent.ok_value.attempt.upstream)
            await asyncio.sleep(RETRY_PAUSE_S)
        if maybe_sent and refusal.outcome is Outcome.NOT_RUN:
            # An earlier attempt may have run, so the outcome must not be "not run".
            refusal = UpstreamFailed(reason=refusal.detail)
        return Err(refusal)

    async def send_once(
        self, configuration: Configuration, request: CallerRequest
    ) -> SendResult:
        """Send a non-repeatable request to at most one upstream.

        Another upstream is tried only if the failure certainly happened before the
        first byte of the request was sent.
        """
        excluded: set[UpstreamId] = set()
        refusal: Refusal = NoUpstream(reason="No upstream accepted a connection.")
        for _ in range(self._max_attempts):
            sent = await self._attempt(configuration, request, excluded)
            if isinstance(sent, Err):
                refusal = sent.err_value
                break
            match sent.ok_value.result:
                case Ok(answer):
                    return _make_completed(answer)
                case Err(Rejected() as rejected) if _is_service_answer(rejected):
                    return _make_completed_rejection(rejected)
                case Err(NotSent() as failure):
                    refusal = NoUpstream(reason=failure.detail)
                    excluded.add(sent.ok_value.attempt.upstream)
                case Err(failure):
                    return ResponseLost(failure.detail)
        return NeverSent(refusal)

    async def _attempt(
        self,
        configuration: Configuration,
        request: CallerRequest,
        excluded: set[UpstreamId],
    ) -> Result[_AttemptResult, Refusal]:
        now = self._clock.now()
        version = self._dispatcher.pick_version(configuration, request, now)
        if excluded:
            version = self._dispatcher.choose_fallback(configuration, version, now)
        chosen = self._dispatcher.choose(request, "", 0, version, excluded, now)
        if isinstance(chosen, Err):
            return Err(chosen.err_value)
        attempt = chosen.ok_value
        result = await self._call(request, attempt, now)
        self._record_attempt(configuration, request, attempt, result)
        return Ok(_AttemptResult(attempt, result))

    async def _call(
        self, request: CallerRequest, attempt: Attempt, now: Instant
    ) -> Result[PlainAnswer, UpstreamFailure]:
        left_ms = max(1, request.deadline_mono_ms - now.mono_ms)
        call = PlainCall(
            operation=request.route.route,
            request_id=request.request_id,
            attempt_id=str(uuid.uuid4()),
            body=request.body,
        )
        address = make_address(attempt.choice.view)
        return await self._client.call(address, call, min(left_ms, self._timeout_ms))

    def _record_attempt(
        self,
        configuration: Configuration,
        request: CallerRequest,
        attempt: Attempt,
        result: Result[PlainAnswer, UpstreamFailure],
    ) -> None:
        now = self._clock.now()
        quality, detail = ResponseQuality.FAILED, ""
        match result:
            case Ok(answer):
                quality = ResponseQuality.COMPLETE
                detail = f"status {answer.status}"
                self._record_upstream_state(attempt, answer, now)
            case Err(Rejected() as rejected):
                if _is_service_answer(rejected):
                    quality = ResponseQuality.COMPLETE
                detail = f"status {rejected.status}"
                self._record_upstream_state(attempt, rejected, now)
            case Err(failure):
                detail = failure.detail
        self._dispatcher.finish(configuration, request, attempt, quality, now, detail)

    def _record_upstream_state(
        self, attempt: Attempt, response: PlainAnswer | Rejected, now: Instant
    ) -> None:
        self._dispatcher.record_load(attempt.choice.view, response.load, now)
        if response.leaving:
            self._dispatcher.record_leaving(attempt.choice.view)


def _is_service_answer(rejected: Rejected) -> bool:
    """Return whether a status is the service's verdict on the request itself.

    A timeout (408), a rate limit (429) and a server error (5xx) are not.
    """
    return 400 <= rejected.status < 500 and rejected.status not in (408, 429)


def _make_completed_rejection(rejected: Rejected) -> Completed:
    body = rejected.reason.encode()
    return Completed(rejected.status, "text/plain; charset=utf-8", body)


def _make_completed(answer: PlainAnswer) -> Completed:
    return Completed(answer.status, answer.content_type, answer.body)
