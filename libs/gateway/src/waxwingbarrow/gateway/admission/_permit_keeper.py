"""Count of the requests to upstreams that limit them, on the host that decides."""

import math
from collections.abc import Callable

from result import Err, Ok, Result

from waxwingbarrow.core import Instant, RateLimited
from waxwingbarrow.gateway.admission._cold_permits import ColdPermits
from waxwingbarrow.gateway.upstreams import UpstreamNotices, UpstreamProcess
from waxwingbarrow.limits import TokenBucket

# Permits of this time may be used at once after an idle period, and at least one.
BURST_S = 0.5
# An upstream that names a lower limit gets a request now and then all the same, as only
# a response can say that the limit has ended.
MIN_RATE_PER_S = 0.1


class PermitKeeper:
    """Grants permits to send requests to upstreams that limit them.

    The buckets start empty, so that a host that takes over from another one does not
    grant again what that one has granted.

    Parameters
    ----------
    measure_share : callable
        Returns the fraction of each limit that this host may grant.
    cold_permits : ColdPermits or None
        Limits the requests to cold upstreams as well.
    """

    def __init__(
        self,
        notices: UpstreamNotices,
        measure_share: Callable[[Instant], float],
        cold_permits: ColdPermits | None = None,
    ) -> None:
        self._notices = notices
        self._cold_permits = cold_permits
        self._measure_share = measure_share
        self._buckets: dict[UpstreamProcess, TokenBucket] = {}

    def take(self, process: UpstreamProcess, now: Instant) -> Result[None, RateLimited]:
        """Take a permit for one request; upstreams without a limit need none."""
        cold_wait_s = self._measure_cold_wait_s(process, now)
        if cold_wait_s > 0:
            return Err(RateLimited(retry_after_s=cold_wait_s))
        bucket = self._find_bucket(process, now)
        taken: Result[None, RateLimited] = Ok(None)
        if bucket is not None:
            taken = bucket.try_take(1.0, now)
        if taken.is_ok() and self._cold_permits is not None:
            self._cold_permits.take(process, now)
        return taken

    def _measure_cold_wait_s(self, process: UpstreamProcess, now: Instant) -> float:
        if self._cold_permits is None:
            return 0.0
        return self._cold_permits.measure_wait_s(process, now)

    def measure_wait_s(self, process: UpstreamProcess, now: Instant) -> float:
        """Return the time in seconds until a permit is available; 0 if one is now."""
        cold_wait_s = self._measure_cold_wait_s(process, now)
        bucket = self._find_bucket(process, now)
        if bucket is None:
            return cold_wait_s
        wait_s = max(1.0 - bucket.measure_level(now), 0.0) / bucket.rate_per_s
        return max(wait_s, cold_wait_s)

    def reset(self) -> None:
        """Forget all permits that were not taken."""
        self._buckets.clear()
        self.reset_cold()

    def reset_cold(self) -> None:
        """Forget all permits for cold upstreams that were not taken."""
        if self._cold_permits is not None:
            self._cold_permits.reset()

    def _find_bucket(
        self, process: UpstreamProcess, now: Instant
    ) -> TokenBucket | None:
        limit_per_s = self._notices.find_limit_per_s(process)
        if limit_per_s is None:
            self._buckets.pop(process, None)
            return None
        share = self._measure_share(now)
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S) * share
        bucket = self._buckets.get(process)
        if bucket is None or not math.isclose(bucket.rate_per_s, rate_per_s):
            level = 0.0 if bucket is None else bucket.measure_level(now)
            burst_s = max(BURST_S, 1.0 / rate_per_s)
            bucket = TokenBucket(rate_per_s, burst_s, now)
            bucket.adjust_level(level - bucket.capacity, now)
            self._buckets[process] = bucket
        return bucket
