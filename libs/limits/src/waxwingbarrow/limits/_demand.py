"""Measurement of the demand of accounts."""

import math

import attrs

from waxwingbarrow.core import AccountId, Instant


@attrs.frozen
class AccountDemand:
    """Demand of one account on this host, refused requests included."""

    account: AccountId
    tokens_per_s: float
    requests_per_s: float


class DemandMeter:
    """Measures a rate over the recent past, with exponential decay.

    Parameters
    ----------
    window_s : float
        Time constant of the decay: after this time without demand, the rate has fallen
        to 37%.

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
        """Add a requested amount."""
        self._rate_per_s = self.measure_per_s(now) + amount / self._window_s
        self._updated_ms = now.mono_ms

    def measure_per_s(self, now: Instant) -> float:
        """Return the current rate per second."""
        elapsed_s = max(now.mono_ms - self._updated_ms, 0) / 1000
        return self._rate_per_s * math.exp(-elapsed_s / self._window_s)
