"""Token bucket for a rate limit."""

from result import Err, Ok, Result

from waxwingbarrow.core import Instant, RateLimited


class TokenBucket:
    """Limits the average rate and allows bursts after idle periods.

    Parameters
    ----------
    rate_per_s : float
        Amount added per second.
    burst_s : float
        Capacity of the bucket, in seconds of the rate.
    now : Instant
        Current time; the bucket starts full.

    Examples
    --------
    >>> bucket = TokenBucket(10.0, 1.0, Instant(0, 0))
    >>> bucket.try_take(10, Instant(0, 0)).is_ok()
    True
    >>> bucket.try_take(5, Instant(0, 0)).err().retry_after_s
    0.5
    """

    def __init__(self, rate_per_s: float, burst_s: float, now: Instant) -> None:
        self._rate_per_s = rate_per_s
        self._burst_s = burst_s
        self._level = rate_per_s * burst_s
        self._updated_ms = now.mono_ms

    def try_take(self, amount: float, now: Instant) -> Result[None, RateLimited]:
        """Take an amount, or refuse it with the time in seconds until it is available.

        An amount above the capacity is taken from a full bucket and makes the level
        negative; otherwise it could never be taken at all.
        """
        self._refill(now)
        needed = min(amount, self._rate_per_s * self._burst_s)
        # The tolerance covers rounding errors: a level refilled to the needed amount
        # may be slightly lower.
        if self._rate_per_s > 0 and self._level >= needed - 1e-9 * needed:
            self._level -= amount
            return Ok(None)
        retry_after_s = None
        if self._rate_per_s > 0:
            retry_after_s = (needed - self._level) / self._rate_per_s
        return Err(RateLimited(retry_after_s=retry_after_s))

    def adjust_level(self, adjustment: float, now: Instant) -> None:
        """Add to the level; a negative adjustment is subtracted even below zero."""
        self._refill(now)
        self._level = min(self._level + adjustment, self._rate_per_s * self._burst_s)

    def set_rate(self, rate_per_s: float, now: Instant) -> None:
        """Change the rate; the level is kept up to the new capacity."""
        self._refill(now)
        self._rate_per_s = rate_per_s
        self._level = min(self._level, rate_per_s * self._burst_s)

    @property
    def rate_per_s(self) -> float:
        """Amount added per second."""
        return self._rate_per_s

    @property
    def capacity(self) -> float:
        """Level of a full bucket."""
        return self._rate_per_s * self._burst_s

    def measure_level(self, now: Instant) -> float:
        """Return the current level, which may be negative."""
        self._refill(now)
        return self._level

    def _refill(self, now: Instant) -> None:
        elapsed_ms = max(now.mono_ms - self._updated_ms, 0)
        self._updated_ms = max(now.mono_ms, self._updated_ms)
        self._level = min(
            self._level + self._rate_per_s * elapsed_ms / 1000,
            self._rate_per_s * self._burst_s,
        )
