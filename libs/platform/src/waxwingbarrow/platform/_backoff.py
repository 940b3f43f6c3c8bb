"""Delays between repeated attempts."""

import random

import attrs


@attrs.define
class Backoff:
    """Doubling delay with full jitter, so that hosts do not retry in step.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    first_ms, max_ms : int
        Bounds of the delay before jitter.
    """

    rng: random.Random
    first_ms: int = 50
    max_ms: int = 2_000
    _next_ms: int = attrs.field(init=False, default=0)

    def reset(self) -> None:
        """Start again with the first delay."""
        self._next_ms = 0

    def next_delay_s(self) -> float:
        """Return the next delay in seconds, between half and all of the bound."""
        self._next_ms = min(max(self._next_ms * 2, self.first_ms), self.max_ms)
        return self._next_ms * self.rng.uniform(0.5, 1.0) / 1000
