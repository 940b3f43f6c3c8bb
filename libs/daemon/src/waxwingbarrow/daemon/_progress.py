"""State of one attempt at an answer."""

import attrs

from waxwingbarrow import upstreams
from waxwingbarrow.core import Instant
from waxwingbarrow.rollout import ResponseQuality
from waxwingbarrow.routing import ReclaimStep
from waxwingbarrow.streams import Mismatch


@attrs.define
class Progress:
    """State of one attempt.

    Parameters
    ----------
    resumes_left : int
        Times that the engine's stream may be resumed after a cut.
    announced : bool
        Whether the engine announced the end of the answer.
    step : ReclaimStep
        Whether the stream stays on its upstream.
    tokens : int
        Tokens delivered since the first one of this attempt.
    """

    attempt_id: str
    stream_id: str
    resumes_left: int
    announced: bool = False
    step: ReclaimStep = ReclaimStep.STAY
    first_token_ms: int | None = None
    tokens: int = 0
    mismatch: Mismatch | None = None
    failure: upstreams.UpstreamFailure | upstreams.EngineError | None = None
    quality: ResponseQuality | None = None

    @property
    def can_resume(self) -> bool:
        """Whether the same stream of the engine may hold the rest of the answer."""
        return bool(self.stream_id) and self.resumes_left > 0 and self.mismatch is None

    def note_tokens(self, count: int, now: Instant) -> None:
        """Note delivered tokens, from which the pace is measured."""
        if self.first_token_ms is None:
            self.first_token_ms = now.mono_ms
        else:
            self.tokens += count

    def measure_token_ms(self, now: Instant) -> float | None:
        """Return the time per token; None before the second one."""
        if self.first_token_ms is None or self.tokens == 0:
            return None
        return (now.mono_ms - self.first_token_ms) / self.tokens

    def describe(self) -> str:
        """Return what went wrong."""
        if self.step is not ReclaimStep.STAY:
            return f"The upstream is reclaimed: {self.step}."
        if self.mismatch is not None:
            return self.mismatch.detail
        if isinstance(self.failure, upstreams.EngineError):
            return f"The engine gave up: {self.failure.reason}."
        if self.failure is not None:
            return self.failure.detail
        return "The stream ended before the announced number of tokens."
