"""Retry budget, which prevents retries from multiplying the load during failures."""

import math
from collections import deque

import attrs

from waxwingbarrow.core import Instant
from waxwingbarrow.routing._hedging import HedgeRefusal

BUCKET_MS = 1_000
# Fraction of the budget that hedges may use; the rest is kept for retries of failures.
HEDGE_FRACTION = 0.5


@attrs.define
class _Bucket:
    number: int
    requests: int = 0
    retries: int = 0
    hedges: int = 0


class RetryBudget:
    """Limits retries to a fraction of the recent requests.

    Parameters
    ----------
    retry_ratio : float
        Allowed retries per request; the retries in the window stay below this ratio.
    window_s : int
        Length of the window in buckets of `BUCKET_MS`, that is in seconds.
    min_retries : int
        Retries allowed per window regardless of the traffic. Otherwise a host with
        little traffic could never retry, although its retries add negligible load.

    Notes
    -----
    Retries above `min_retries` are also limited in each second to that second's part
    of the budget. Otherwise the budget of the whole window would be spent in the first
    second of a failure, when the remaining upstreams are most loaded.

    Examples
    --------
    >>> budget = RetryBudget(min_retries=1)
    >>> budget.record_request(Instant(0, 0))
    >>> budget.try_spend(Instant(0, 0)), budget.try_spend(Instant(0, 0))
    (True, False)
    """

    def __init__(
        self, retry_ratio: float = 0.1, window_s: int = 10, min_retries: int = 3
    ) -> None:
        self._retry_ratio = retry_ratio
        self._window_buckets = window_s
        self._min_retries = min_retries
        self._buckets: deque[_Bucket] = deque()

    def set_min_retries(self, min_retries: int) -> None:
        """Change the retries allowed per window regardless of the traffic."""
        self._min_retries = min_retries

    def record_request(self, now: Instant) -> None:
        """Count a first attempt."""
        self._get_current_bucket(now).requests += 1

    def try_spend(self, now: Instant) -> bool:
        """Return whether a retry may be sent, and count it if so."""
        bucket = self._get_current_bucket(now)
        requests = sum(item.requests for item in self._buckets)
        retries = sum(item.retries for item in self._buckets)
        allowed = math.ceil(self._retry_ratio * requests) - 1
        if retries >= max(self._min_retries, allowed):
            return False
        if retries >= self._min_retries:
            max_per_bucket = max(1, math.ceil(allowed / len(self._buckets)))
            if bucket.retries >= max_per_bucket:
                return False
        bucket.retries += 1
        return True

    def try_spend_hedge(self, extra_share: float, now: Instant) -> HedgeRefusal | None:
        """Count a hedge if one may be sent, otherwise return why not.

        A hedge is counted as a retry too, and may be sent only while retries and hedges
        together use less than `HEDGE_FRACTION` of the budget, in the window and in the
        current second.

        Parameters
        ----------
        extra_share : float
            Allowed hedges per request in the window.
        """
        bucket = self._get_current_bucket(now)
        requests = sum(item.requests for item in self._buckets)
        hedges = sum(item.hedges for item in self._buckets)
        if hedges + 1 > extra_share * requests:
            return HedgeRefusal.SHARE_USED
        retries = sum(item.retries for item in self._buckets)
        allowed = math.ceil(self._retry_ratio * requests) - 1
        budget = max(self._min_retries, allowed)
        per_bucket = math.ceil(budget / len(self._buckets))
        if (
            retries + 1 > HEDGE_FRACTION * budget
            or bucket.retries + 1 > max(HEDGE_FRACTION * per_bucket, 1)
            or not self.try_spend(now)
        ):
            return HedgeRefusal.RETRY_RESERVE
        bucket.hedges += 1
        return None

    def _get_current_bucket(self, now: Instant) -> _Bucket:
        number = now.mono_ms // BUCKET_MS
        while (
            self._buckets and self._buckets[0].number <= number - self._window_buckets
        ):
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]
