"""One answer of a model service, from as many upstreams as it takes."""

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
from waxwingbarrow.daemon._control import Configuration
from waxwingbarrow.daemon._dispatch import (
    Attempt,
    compute_fingerprint,
    make_address,
)
from waxwingbarrow.daemon._events import (
    Failed,
    Finished,
    GenerationContext,
    GenerationEvent,
    HandedOver,
    Prompt,
    ResumeOffer,
    Tokens,
)
from waxwingbarrow.daemon._progress import Progress
from waxwingbarrow.daemon._requests import CallerRequest
from waxwingbarrow.daemon._transfers import export_cache, import_cache
from waxwingbarrow.rollout import ResponseQuality
from waxwingbarrow.routing import ReclaimStep
from waxwingbarrow.streams import (
    Accepted,
    Conclusion,
    DoneEvent,
    Mismatch,
    ResumeToken,
    StreamAssembler,
    TokenEvent,
)

# Pause before upstreams are tried again after all of them have failed.
RETRY_PAUSE_S = 0.1
PROBE_TIMEOUT_MS = 500
# Urgent gossip reaches the other hosts within this time. A caller that was refused at
# once could lose a third upstream through a host that did not know of two losses yet.
CRASH_NEWS_S = 0.5

Source = AsyncIterator[upstreams.EngineEvent | upstreams.UpstreamFailure]


class Answer:
    """The attempts at one answer and what was delivered.

    Parameters
    ----------
    context : GenerationContext
        Parts that all answers share.
    configuration : Configuration
        Document at the start of the request; it stays in use to the end.
    request : CallerRequest
        The request.
    prompt : Prompt
        What to generate.
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
        self._idle_attempts = 0
        self._last_failure = ""
        self._version: VersionName | None = None
        self._fingerprint = compute_fingerprint(request)
        self._token = ""
        self._exported = ""
        self._was_reclaimed = False
        self._ended = False

    async def walk(self) -> AsyncIterator[GenerationEvent]:
        """Yield the events of attempts until the answer is complete or given up."""
        self._dispatcher.budget.record_request(self._clock.now())
        while not self._ended:
            chosen = await self._choose()
            if isinstance(chosen, Err):
                if self._must_hand_over:
                    yield HandedOver(self._token, self._assembler.next_index)
                else:
                    yield Failed(chosen.err_value)
                return
            if self._exported:
                exported, self._exported = self._exported, ""
                engines = self._context.engines
                await import_cache(engines, chosen.ok_value, exported)
            async for event in self._walk_attempt(chosen.ok_value, ""):
                yield event

    async def walk_resumed(self, token: ResumeToken) -> AsyncIterator[GenerationEvent]:
        """Continue a stream on its engine, or elsewhere if the engine lost it."""
        # The resuming request has no body of its own.
        self._fingerprint = token.fingerprint
        attempt = self._dispatcher.adopt(token, self._clock.now())
        if attempt is not None:
            async for event in self._walk_attempt(attempt, token.stream_id):
                yield event
        if self._ended:
            return
        if not self._prompt.text:
            reason = "The engine no longer has the stream; send the prompt again."
            yield Failed(ResumeRejected(reason=reason))
            return
        async for event in self.walk():
            yield event

    # Choice of upstream.

    async def _choose(self) -> Result[Attempt, Refusal]:
        """Choose an upstream; a started answer waits for one to become available."""
        while True:
            now = self._clock.now()
            if self._may_attempt(now):
                chosen = self._try_choose(now)
                if isinstance(chosen, Ok):
                    return chosen
                refusal = chosen.err_value
                if isinstance(refusal, CrashSuspected) and self._last_failure:
                    # The caller may send again through a host without this news.
                    await asyncio.sleep(CRASH_NEWS_S)
                if not self._has_started or not isinstance(refusal, NoUpstream):
                    return Err(self._describe_end(refusal))
            is_late = now.mono_ms >= self._request.deadline_mono_ms
            if is_late or self._must_hand_over:
                return Err(self._describe_end(UpstreamFailed()))
            # Every upstream may have failed once; after a pause all are tried again.
            self._excluded.clear()
            await asyncio.sleep(RETRY_PAUSE_S)

    @property
    def _must_hand_over(self) -> bool:
        """Whether the host stops and the caller is able to resume elsewhere."""
        return self._context.stopping.is_set() and bool(self._token)

    @property
    def _has_started(self) -> bool:
        delivered = self._assembler.next_index > self._prompt.first_index
        return delivered or self._was_reclaimed or bool(self._last_failure)

    def _may_attempt(self, now: Instant) -> bool:
        if self._idle_attempts == 0:
            return True
        if self._idle_attempts >= self._context.policy.max_attempts:
            self._idle_attempts = 1
            return False
        return self._dispatcher.budget.try_spend(now)

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

    def _describe_end(self, refusal: Refusal) -> Refusal:
        if not self._has_started:
            return refusal
        # Something was sent, so the refusal must not say that nothing ran.
        return UpstreamFailed(reason=f"{refusal.detail} {self._last_failure}".strip())

    # One attempt.

    async def _walk_attempt(
        self, attempt: Attempt, stream_id: str
    ) -> AsyncIterator[GenerationEvent]:
        """Yield the events of one attempt; a cut stream is resumed once."""
        attempt_id = str(uuid.uuid4())
        before = self._assembler.begin_attempt(attempt_id)
        progress = Progress(attempt_id, stream_id, resumes_left=1)
        source = self._open(attempt, progress)
        try:
            while not self._ended:
                async for event in source:
                    for out in self._take(attempt, progress, event):
                        yield out
                    if self._ended or progress.failure or progress.mismatch:
                        break
                    if self._decide_step(attempt, progress) is not ReclaimStep.STAY:
                        await self._leave(attempt, progress)
                        return
                    if self._must_hand_over:
                        yield HandedOver(self._token, self._assembler.next_index)
                        self._ended = True
                        return
                if self._ended or not progress.can_resume:
                    break
                progress.resumes_left -= 1
                progress.failure = None
                source = self._reopen(attempt, progress)
            if not self._ended:
                await self._note_failure(attempt, progress, before)
        finally:
            self._conclude(attempt, progress)

    def _decide_step(self, attempt: Attempt, progress: Progress) -> ReclaimStep:
        if not self._prompt.text:
            # The rest cannot be generated elsewhere without the prompt.
            return ReclaimStep.STAY
        now = self._clock.now()
        progress.step = self._dispatcher.decide_reclaim(
            attempt,
            len(self._prompt.text) + len(self._delivered_text),
            self._prompt.max_tokens - self._assembler.next_index,
            progress.measure_token_ms(now),
            now,
        )
        return progress.step

    async def _leave(self, attempt: Attempt, progress: Progress) -> None:
        """Give up an upstream that is reclaimed, with the KV cache if it is moved.

        The stream is not cancelled there: until the caller has the next token, its
        present one still refers to it.
        """
        self._was_reclaimed = True
        self._excluded.add(attempt.upstream)
        if progress.step is ReclaimStep.MOVE and progress.stream_id:
            self._exported = await export_cache(
                self._context.engines, attempt, progress.stream_id
            )

    def _open(self, attempt: Attempt, progress: Progress) -> Source:
        if progress.stream_id:
            return self._reopen(attempt, progress)
        call = upstreams.GenerateCall(
            request_id=self._request.request_id,
            attempt_id=progress.attempt_id,
            model=self._find_model(attempt.version),
            prompt=self._prompt.text,
            continue_from=self._delivered_text,
            first_index=self._assembler.next_index,
            max_tokens=self._prompt.max_tokens,
            priority=self._request.priority_class,
        )
        return self._context.engines.generate(make_address(attempt.choice.view), call)

    def _reopen(self, attempt: Attempt, progress: Progress) -> Source:
        return self._context.engines.resume(
            make_address(attempt.choice.view),
            progress.stream_id,
            progress.attempt_id,
            self._assembler.next_index,
        )

    def _find_model(self, version: VersionName) -> str:
        for item in self._configuration.document.versions:
            if item.version == version and item.model is not None:
                return item.model
        return version

    def _take(
        self,
        attempt: Attempt,
        progress: Progress,
        event: upstreams.EngineEvent | upstreams.UpstreamFailure,
    ) -> list[GenerationEvent]:
        """Take one event of the engine and return what the caller gets."""
        now = self._clock.now()
        match event:
            case upstreams.Opened():
                self._dispatcher.note_load(attempt.choice.view, event.load, now)
                if event.leaving:
                    self._dispatcher.note_leaving(attempt.choice.view)
                return []
            case upstreams.Started():
                self._dispatcher.note_start(attempt, event.cached_tokens)
                return self._offer_resume(attempt, progress, event.stream_id)
            case upstreams.Token():
                token = TokenEvent(event.attempt_id, event.index, event.text)
                conclusion = self._assembler.accept(token, now)
                return self._deliver(attempt, progress, conclusion)
            case upstreams.Finished():
                self._dispatcher.note_load(attempt.choice.view, event.load, now)
                done = DoneEvent(event.attempt_id, event.count)
                progress.announced = True
                conclusion = self._assembler.accept(done, now)
                return self._deliver(attempt, progress, conclusion)
            case _:
                progress.failure = event
                return []

    def _offer_resume(
        self, attempt: Attempt, progress: Progress, stream_id: str
    ) -> list[GenerationEvent]:
        if progress.stream_id == stream_id and self._token:
            return []
        progress.stream_id = stream_id
        self._token = self._context.make_token(
            self._request, self._prompt, attempt, stream_id
        )
        return [ResumeOffer(self._token)]

    def _deliver(
        self, attempt: Attempt, progress: Progress, conclusion: Conclusion
    ) -> list[GenerationEvent]:
        out: list[GenerationEvent] = []
        match conclusion:
            case Accepted(tokens=tokens, finished=finished):
                if tokens:
                    self._idle_attempts = 0
                    progress.note_tokens(len(tokens), self._clock.now())
                    out.append(Tokens(tokens))
                if finished:
                    self._ended = True
                    progress.quality = ResponseQuality.COMPLETE
                    out.append(Finished(self._assembler.next_index, attempt.version))
            case Mismatch():
                progress.mismatch = conclusion
        return out

    async def _note_failure(
        self, attempt: Attempt, progress: Progress, before: int
    ) -> None:
        self._last_failure = progress.describe()
        self._excluded.add(attempt.upstream)
        if self._assembler.next_index == before:
            self._idle_attempts += 1
        if progress.announced or progress.mismatch is not None:
            progress.quality = ResponseQuality.WRONG_LENGTH
            return
        progress.quality = ResponseQuality.FAILED
        if not isinstance(progress.failure, upstreams.NotSent):
            await self._detect_loss(attempt)

    async def _detect_loss(self, attempt: Attempt) -> None:
        """Tell a lost process from a cut connection by connecting once more."""
        address = make_address(attempt.choice.view)
        # A connection of its own: a kept one may break without the process being gone.
        probe = upstreams.PlainCall(
            operation="probe", request_id="probe", attempt_id="probe"
        )
        answer = await self._context.probes.call(address, probe, PROBE_TIMEOUT_MS)
        if isinstance(answer, Err) and isinstance(answer.err_value, upstreams.NotSent):
            self._dispatcher.lose(attempt, self._clock.now())

    def _conclude(self, attempt: Attempt, progress: Progress) -> None:
        detail = ""
        if progress.quality is not ResponseQuality.COMPLETE:
            is_over = progress.quality or progress.step is not ReclaimStep.STAY
            detail = progress.describe() if is_over else "ended"
        self._dispatcher.finish(
            self._configuration,
            self._request,
            attempt,
            progress.quality,
            self._clock.now(),
            detail,
        )
