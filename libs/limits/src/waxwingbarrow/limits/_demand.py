"""Measurement of what accounts ask for."""

import math

import attrs

from waxwingbarrow.core import AccountId, Instant


@attrs.frozen
class AccountDemand:
    """What one account asks of this host, refused requests included."""

    account: AccountId
    tokens_per_s: float
    requests_per_s: float


class DemandMeter:
    """Rate of an amount over the recent past, with exponential decay.

    Parameters
    ----------
    window_s : float
        Time constant: a stopped demand falls to 37% within it.

    Examples
    --------
    >>> meter = DemandMeter(window_s=2.0)
    >>> meter.add(10, Instant(0, 0))
    >>> meter.measure_per_s(Instant(0, 0))
    5.0
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._rate_per_s = 0.0
        self._updated_ms = 0

    def add(self, amount: float, now: Instant) -> None:
        """Count an amount asked for."""
        self._rate_per_s = self.measure_per_s(now) + amount / self._window_s
        self._updated_ms = now.mono_ms

    def measure_per_s(self, now: Instant) -> float:
        """Return the present rate."""
        elapsed_s = max(now.mono_ms - self._updated_ms, 0) / 1000
        return self._rate_per_s * math.exp(-elapsed_s / self._window_s)
