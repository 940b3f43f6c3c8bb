"""State of one attempt at an answer."""

import attrs

from waxwingbarrow import upstreams
from waxwingbarrow.core import Instant
from waxwingbarrow.rollout import ResponseQuality
from waxwingbarrow.routing import ReclaimStep
from waxwingbarrow.streams import Mismatch


@attrs.define
class AttemptState:
    """Progress and result of one attempt.

    Parameters
    ----------
    stream_id : str
        Identity of the stream at the engine; empty until the engine has sent it.
    stream_resumes_left : int
        How often the engine's stream may still be resumed after a broken connection.
    end_announced : bool
        Whether the engine announced the end of the answer.
    reclaim_step : ReclaimStep
        Whether the stream stays, is moved or is recomputed on another upstream.
    tokens_after_first : int
        Tokens delivered in this attempt after the first delivery.
    mismatch : Mismatch or None
        Event that contradicts earlier ones, if there was one.
    failure : UpstreamFailure, EngineError or None
        Failure that ended the stream, if there was one.
    quality : ResponseQuality or None
        Result of the attempt; None while it runs, or if its end says nothing about the
        upstream.
    """

    attempt_id: str
    stream_id: str
    stream_resumes_left: int
    end_announced: bool = False
    reclaim_step: ReclaimStep = ReclaimStep.STAY
    first_token_mono_ms: int | None = None
    tokens_after_first: int = 0
    mismatch: Mismatch | None = None
    failure: upstreams.UpstreamFailure | upstreams.EngineError | None = None
    quality: ResponseQuality | None = None

    @property
    def can_resume(self) -> bool:
        """Whether the rest of the answer may be read from the same engine stream."""
        return (
            bool(self.stream_id)
            and self.stream_resumes_left > 0
            and self.mismatch is None
        )

    def record_tokens(self, count: int, now: Instant) -> None:
        """Record delivered tokens, from which the time per token is measured."""
        if self.first_token_mono_ms is None:
            self.first_token_mono_ms = now.mono_ms
        else:
            self.tokens_after_first += count

    def measure_token_ms(self, now: Instant) -> float | None:
        """Return the time per token; None before the second delivery."""
        if self.first_token_mono_ms is None or self.tokens_after_first == 0:
            return None
        return (now.mono_ms - self.first_token_mono_ms) / self.tokens_after_first

    def describe(self) -> str:
        """Return the reason why the attempt ended early."""
        if self.reclaim_step is not ReclaimStep.STAY:
            return f"The upstream is reclaimed: {self.reclaim_step}."
        if self.mismatch is not None:
            return self.mismatch.detail
        if isinstance(self.failure, upstreams.EngineError):
            return f"The engine gave up: {self.failure.reason}."
        if self.failure is not None:
            return self.failure.detail
        return "The stream ended before the announced number of tokens."
