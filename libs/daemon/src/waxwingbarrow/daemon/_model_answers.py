"""Generation of one answer of a model service, with failover between upstreams."""

import asyncio
import uuid
from collections.abc import AsyncIterator

from result import Err, Ok, Result

from waxwingbarrow import upstreams
from waxwingbarrow.core import (
    CrashSuspected,
    Instant,
    NoUpstream,
    Refusal,
    ResumeRejected,
    UpstreamFailed,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.daemon._attempt_state import AttemptState
from waxwingbarrow.daemon._control import Configuration
from waxwingbarrow.daemon._dispatch import (
    Attempt,
    compute_fingerprint,
    make_address,
)
from waxwingbarrow.daemon._generation import (
    Failed,
    Finished,
    GenerationContext,
    GenerationEvent,
    HandedOver,
    Prompt,
    ResumeOffer,
    Tokens,
)
from waxwingbarrow.daemon._kv_transfers import export_cache, import_cache
from waxwingbarrow.daemon._requests import CallerRequest
from waxwingbarrow.rollout import ResponseQuality
from waxwingbarrow.routing import ReclaimStep
from waxwingbarrow.streams import (
    Accepted,
    DoneEvent,
    EventResult,
    Mismatch,
    ResumeToken,
    StreamAssembler,
    TokenEvent,
)

# Pause while no upstream is available or no further attempt is allowed.
RETRY_PAUSE_S = 0.1
PROBE_TIMEOUT_MS = 500
# Urgent gossip reaches the other hosts within this time. If the caller were refused
# earlier, it could retry through a host that does not know of the two crashes yet, and
# crash a third upstream.
CRASH_GOSSIP_DELAY_S = 0.5

EngineEvents = AsyncIterator[upstreams.EngineEvent | upstreams.UpstreamFailure]


class ModelAnswer:
    """Attempts at one answer, and the tokens delivered so far.

    Parameters
    ----------
    context : GenerationContext
        Components that all answers of the host share.
    configuration : Configuration
        Service document in force when the request started; later documents do not
        affect the answer.
    request : CallerRequest
        Request that is answered.
    prompt : Prompt
        Prompt, and limits on what is generated.
    """

    def __init__(
        self,
        context: GenerationContext,
        configuration: Configuration,
        request: CallerRequest,
        prompt: Prompt,
    ) -> None:
        self._context = context
        self._dispatcher = context.dispatcher
        self._clock = context.clock
        self._configuration = configuration
        self._request = request
        self._prompt = prompt
        self._assembler = StreamAssembler("", prompt.first_index)
        self._excluded: set[UpstreamId] = set()
        self._attempts_without_tokens = 0
        self._last_failure = ""
        self._version: VersionName | None = None
        self._fingerprint = compute_fingerprint(request)
        self._resume_token = ""
        self._exported_kv = ""
        self._was_reclaimed = False
        self._ended = False

    async def generate_events(self) -> AsyncIterator[GenerationEvent]:
        """Yield events until the answer is complete, refused or handed over."""
        self._dispatcher.retry_budget.record_request(self._clock.now())
        while not self._ended:
            chosen = await self._choose_or_wait()
            if isinstance(chosen, Err):
                if self._must_hand_over:
                    yield HandedOver(self._resume_token, self._assembler.next_index)
                else:
                    yield Failed(chosen.err_value)
                return
            if self._exported_kv:
                exported_kv, self._exported_kv = self._exported_kv, ""
                engines = self._context.engines
                await import_cache(engines, chosen.ok_value, exported_kv)
            async for event in self._run_attempt(chosen.ok_value, ""):
                yield event

    async def resume_events(self, token: ResumeToken) -> AsyncIterator[GenerationEvent]:
        """Resume a stream on its engine, or on another if the engine lost it."""
        # The fingerprint includes the body, which a request to resume does not repeat.
        self._fingerprint = token.fingerprint
        attempt = self._dispatcher.begin_resumed_attempt(token, self._clock.now())
        if attempt is not None:
            async for event in self._run_attempt(attempt, token.stream_id):
                yield event
        if self._ended:
            return
        if not self._prompt.text:
            reason = "The engine no longer has the stream; send the prompt again."
            yield Failed(ResumeRejected(reason=reason))
            return
        async for event in self.generate_events():
            yield event

    # Choosing the upstream of the next attempt.

    async def _choose_or_wait(self) -> Result[Attempt, Refusal]:
        """Choose an upstream; a started answer waits until one is available."""
        while True:
            now = self._clock.now()
            if self._may_attempt_now(now):
                chosen = self._try_choose(now)
                if isinstance(chosen, Ok):
                    return chosen
                refusal = chosen.err_value
                if isinstance(refusal, CrashSuspected) and self._last_failure:
                    # The caller may retry through a host that has not received the
                    # report of the crash yet.
                    await asyncio.sleep(CRASH_GOSSIP_DELAY_S)
                if not self._has_started or not isinstance(refusal, NoUpstream):
                    return Err(self._make_final_refusal(refusal))
            is_late = now.mono_ms >= self._request.deadline_mono_ms
            if is_late or self._must_hand_over:
                return Err(self._make_final_refusal(UpstreamFailed()))
            # All upstreams may be excluded by now; after a pause all are tried again.
            self._excluded.clear()
            await asyncio.sleep(RETRY_PAUSE_S)

    @property
    def _must_hand_over(self) -> bool:
        """Whether the host is stopping and the caller has a token to resume with."""
        return self._context.handover_started.is_set() and bool(self._resume_token)

    @property
    def _has_started(self) -> bool:
        """Whether an upstream may already have generated part of the answer."""
        delivered = self._assembler.next_index > self._prompt.first_index
        return delivered or self._was_reclaimed or bool(self._last_failure)

    def _may_attempt_now(self, now: Instant) -> bool:
        """Return whether an attempt may start now or only after a pause.

        An attempt after one that delivered no token uses the retry budget. After
        `max_attempts` of them in a row, there is a pause in any case.
        """
        if self._attempts_without_tokens == 0:
            return True
        if self._attempts_without_tokens >= self._context.policy.max_attempts:
            # 1, not 0, so that the attempt after the pause uses the retry budget.
            self._attempts_without_tokens = 1
            return False
        return self._dispatcher.retry_budget.try_spend(now)

    def _try_choose(self, now: Instant) -> Result[Attempt, Refusal]:
        if self._version is None:
            self._version = self._dispatcher.pick_version(
                self._configuration, self._request, now
            )
        version = self._version
        if self._last_failure:
            version = self._dispatcher.choose_fallback(
                self._configuration, version, now
            )
        chosen = self._dispatcher.choose(
            self._request,
            self._prompt.text + self._delivered_text,
            self._prompt.max_tokens,
            version,
            self._excluded,
            now,
            self._fingerprint,
        )
        if isinstance(chosen, Err):
            return Err(chosen.err_value)
        return chosen

    @property
    def _delivered_text(self) -> str:
        return self._prompt.delivered + self._assembler.text

    def _make_final_refusal(self, refusal: Refusal) -> Refusal:
        if not self._has_started:
            return refusal
        # Part of the answer may have been generated, so the outcome must not be
        # "not run".
        return UpstreamFailed(reason=f"{refusal.detail} {self._last_failure}".strip())

    # Running one attempt.

    async def _run_attempt(
        self, attempt: Attempt, stream_id: str
    ) -> AsyncIterator[GenerationEvent]:
        """Yield the events of one attempt; a broken stream is resumed once."""
        attempt_id = str(uuid.uuid4())
        index_before = self._assembler.begin_attempt(attempt_id)
        state = AttemptState(attempt_id, stream_id, stream_resumes_left=1)
        source = self._open_stream(attempt, state)
        try:
            while not self._ended:
                async for event in source:
                    for out in self._handle_engine_event(attempt, state, event):
                        yield out
                    if self._ended or state.failure or state.mismatch:
                        break
                    if self._decide_reclaim(attempt, state) is not ReclaimStep.STAY:
                        await self._leave_upstream(attempt, state)
                        return
                    if self._must_hand_over:
                        yield HandedOver(self._resume_token, self._assembler.next_index)
                        self._ended = True
                        return
                if self._ended or not state.can_resume:
                    break
                state.stream_resumes_left -= 1
                state.failure = None
                source = self._resume_stream(attempt, state)
            if not self._ended:
                await self._record_failure(attempt, state, index_before)
        finally:
            self._record_attempt(attempt, state)

    def _decide_reclaim(self, attempt: Attempt, state: AttemptState) -> ReclaimStep:
        if not self._prompt.text:
            # Another upstream cannot generate the rest without the prompt.
            return ReclaimStep.STAY
        now = self._clock.now()
        state.reclaim_step = self._dispatcher.decide_reclaim(
            attempt,
            len(self._prompt.text) + len(self._delivered_text),
            self._prompt.max_tokens - self._assembler.next_index,
            state.measure_token_ms(now),
            now,
        )
        return state.reclaim_step

    async def _leave_upstream(self, attempt: Attempt, state: AttemptState) -> None:
        """Leave an upstream that is being reclaimed; export the KV cache for a move.

        The stream is not cancelled on that upstream: until the caller receives the next
        resume token, its current one still refers to that stream.
        """
        self._was_reclaimed = True
        self._excluded.add(attempt.upstream)
        if state.reclaim_step is ReclaimStep.MOVE and state.stream_id:
            self._exported_kv = await export_cache(
                self._context.engines, attempt, state.stream_id
            )

    def _open_stream(self, attempt: Attempt, state: AttemptState) -> EngineEvents:
        if state.stream_id:
            return self._resume_stream(attempt, state)
        call = upstreams.GenerateCall(
            request_id=self._request.request_id,
            attempt_id=state.attempt_id,
            model=self._find_model(attempt.version),
            prompt=self._prompt.text,
            continue_from=self._delivered_text,
            first_index=self._assembler.next_index,
            max_tokens=self._prompt.max_tokens,
            priority=self._request.priority_class,
        )
        return self._context.engines.generate(make_address(attempt.choice.view), call)

    def _resume_stream(self, attempt: Attempt, state: AttemptState) -> EngineEvents:
        return self._context.engines.resume(
            make_address(attempt.choice.view),
            state.stream_id,
            state.attempt_id,
            self._assembler.next_index,
        )

    def _find_model(self, version: VersionName) -> str:
        for item in self._configuration.document.versions:
            if item.version == version and item.model is not None:
                return item.model
        return version

    def _handle_engine_event(
        self,
        attempt: Attempt,
        state: AttemptState,
        event: upstreams.EngineEvent | upstreams.UpstreamFailure,
    ) -> list[GenerationEvent]:
        """Handle one event of the engine; return the events for the caller."""
        now = self._clock.now()
        match event:
            case upstreams.Opened():
                self._dispatcher.record_load(attempt.choice.view, event.load, now)
                if event.leaving:
                    self._dispatcher.record_leaving(attempt.choice.view)
                return []
            case upstreams.Started():
                self._dispatcher.record_answer_start(attempt, event.cached_tokens)
                return self._offer_resume(attempt, state, event.stream_id)
            case upstreams.Token():
                token = TokenEvent(event.attempt_id, event.index, event.text)
                event_result = self._assembler.accept(token, now)
                return self._deliver(attempt, state, event_result)
            case upstreams.Finished():
                self._dispatcher.record_load(attempt.choice.view, event.load, now)
                done = DoneEvent(event.attempt_id, event.count)
                state.end_announced = True
                event_result = self._assembler.accept(done, now)
                return self._deliver(attempt, state, event_result)
            case _:
                state.failure = event
                return []

    def _offer_resume(
        self, attempt: Attempt, state: AttemptState, stream_id: str
    ) -> list[GenerationEvent]:
        if state.stream_id == stream_id and self._resume_token:
            return []
        state.stream_id = stream_id
        self._resume_token = self._context.make_resume_token(
            self._request, self._prompt, attempt, stream_id
        )
        return [ResumeOffer(self._resume_token)]

    def _deliver(
        self, attempt: Attempt, state: AttemptState, event_result: EventResult
    ) -> list[GenerationEvent]:
        out: list[GenerationEvent] = []
        match event_result:
            case Accepted(tokens=tokens, finished=finished):
                if tokens:
                    self._attempts_without_tokens = 0
                    state.record_tokens(len(tokens), self._clock.now())
                    out.append(Tokens(tokens))
                if finished:
                    self._ended = True
                    state.quality = ResponseQuality.COMPLETE
                    out.append(Finished(self._assembler.next_index, attempt.version))
            case Mismatch():
                state.mismatch = event_result
        return out

    async def _record_failure(
        self, attempt: Attempt, state: AttemptState, index_before: int
    ) -> None:
        self._last_failure = state.describe()
        self._excluded.add(attempt.upstream)
        if self._assembler.next_index == index_before:
            self._attempts_without_tokens += 1
        if state.end_announced or state.mismatch is not None:
            state.quality = ResponseQuality.WRONG_LENGTH
            return
        state.quality = ResponseQuality.FAILED
        if not isinstance(state.failure, upstreams.NotSent):
            await self._probe_for_loss(attempt)

    async def _probe_for_loss(self, attempt: Attempt) -> None:
        """Open a new connection to tell a crashed process from a broken connection."""
        address = make_address(attempt.choice.view)
        # The probe client opens a new connection; a pooled one may be broken while the
        # process still runs.
        probe = upstreams.PlainCall(
            operation="probe", request_id="probe", attempt_id="probe"
        )
        answer = await self._context.probe_client.call(address, probe, PROBE_TIMEOUT_MS)
        if isinstance(answer, Err) and isinstance(answer.err_value, upstreams.NotSent):
            self._dispatcher.record_upstream_loss(attempt, self._clock.now())

    def _record_attempt(self, attempt: Attempt, state: AttemptState) -> None:
        detail = ""
        if state.quality is not ResponseQuality.COMPLETE:
            has_failed_or_moved = (
                state.quality or state.reclaim_step is not ReclaimStep.STAY
            )
            detail = state.describe() if has_failed_or_moved else "ended"
        self._dispatcher.finish(
            self._configuration,
            self._request,
            attempt,
            state.quality,
            self._clock.now(),
            detail,
        )
