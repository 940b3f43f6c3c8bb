"""Delays between retries."""

import random

import attrs


@attrs.define
class Backoff:
    """Exponential backoff with jitter, which keeps hosts from retrying in step.

    Parameters
    ----------
    rng : random.Random
        Random source for the jitter.
    first_ms, max_ms : int
        First and longest delay, before jitter.
    """

    rng: random.Random
    first_ms: int = 50
    max_ms: int = 2_000
    _next_ms: int = attrs.field(init=False, default=0)

    def reset(self) -> None:
        """Return to the first delay, after a success."""
        self._next_ms = 0

    def next_delay_s(self) -> float:
        """Return the next delay in seconds, reduced by a random part of up to half."""
        self._next_ms = min(max(self._next_ms * 2, self.first_ms), self.max_ms)
        return self._next_ms * self.rng.uniform(0.5, 1.0) / 1000
