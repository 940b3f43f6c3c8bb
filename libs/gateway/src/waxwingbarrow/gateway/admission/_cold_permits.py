"""Division of the requests that a cold upstream tolerates among the hosts.

In any second a cold upstream gets at most a stated number of requests from all hosts,
also from those that do not hear each other. So the number is divided: one part is for
the holder of the duties, of which there is one at a time, and grants it to all. The
rest is divided evenly among all hosts that may exist; a host uses its share while the
holder does not answer. Both parts together stay within the number, whoever grants.
"""

import math
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import Instant, RateLimited
from waxwingbarrow.gateway.base import Bounds
from waxwingbarrow.gateway.upstreams import UpstreamNotices, UpstreamProcess
from waxwingbarrow.limits import TokenBucket

# Requests are sent up to this much later than their permit was granted: the answer of
# the keeper takes up to 80 ms, a connection a few more. So what is granted in a second
# and this time may be sent within one second.
WINDOW_S = 1.15
# Time after which a host without a share asks again.
NO_SHARE_WAIT_S = 0.5
# A wait this short is a rounding error.
MIN_WAIT_S = 1e-6


@attrs.frozen
class ColdQuota:
    """Requests to one cold upstream that may be granted within `WINDOW_S`.

    Parameters
    ----------
    keeper_count : int
        By the holder of the duties, to all hosts.
    share_count : int
        By each host itself.
    """

    keeper_count: int
    share_count: int


def divide_cold_limit(
    limit_per_s: float, bounds: Bounds, host_count: int | None
) -> ColdQuota:
    """Divide what a cold upstream tolerates in a second.

    The holder gets what the upstream's rate needs; the tolerance beyond it is for hosts
    that it does not answer.

    Parameters
    ----------
    host_count : int or None
        Number of hosts that may exist; None if it is not known.

    Examples
    --------
    >>> divide_cold_limit(7.8, Bounds(), 7)
    ColdQuota(keeper_count=9, share_count=1)
    >>> divide_cold_limit(7.8, Bounds(), 300)
    ColdQuota(keeper_count=9, share_count=0)
    """
    allowed = max(math.floor(limit_per_s * bounds.cold_over + bounds.cold_slack), 0)
    keeper_count = min(math.ceil(limit_per_s * WINDOW_S), allowed)
    if host_count is None:
        return ColdQuota(keeper_count, 0)
    return ColdQuota(keeper_count, (allowed - keeper_count) // max(host_count, 1))


@attrs.frozen
class ColdHosts:
    """The hosts that share what cold upstreams tolerate.

    Parameters
    ----------
    list_keepers : callable
        Returns the address of the holder of the duties, if one is known; "" is this
        host.
    count_hosts : callable
        Returns the number of hosts that may exist; None if it is not known.
    count_permit : callable
        Called with whether a request of this host got a permit for a cold upstream.
    """

    bounds: Bounds
    list_keepers: Callable[[Instant], list[str]]
    count_hosts: Callable[[Instant], int | None]
    count_permit: Callable[[bool], None] = lambda is_granted: None

    def is_keeper(self, now: Instant) -> bool:
        """Return whether this host grants permits to all."""
        return "" in self.list_keepers(now)

    def find_keeper_count(self, limit_per_s: float, now: Instant) -> int:
        """Return how many requests this host may grant to all within `WINDOW_S`."""
        if not self.is_keeper(now):
            return 0
        return divide_cold_limit(limit_per_s, self.bounds, None).keeper_count

    def find_share_count(self, limit_per_s: float, now: Instant) -> int:
        """Return how many requests this host may grant to itself alone."""
        host_count = self.count_hosts(now)
        return divide_cold_limit(limit_per_s, self.bounds, host_count).share_count


class ColdPermits:
    """Grants permits for requests to cold upstreams, from one part of their number.

    Parameters
    ----------
    find_count : callable
        Returns the number of requests that may be granted within `WINDOW_S` to an
        upstream that tolerates a rate.
    """

    def __init__(
        self,
        notices: UpstreamNotices,
        find_count: Callable[[float, Instant], int],
    ) -> None:
        self._notices = notices
        self._find_count = find_count
        self._buckets: dict[UpstreamProcess, TokenBucket] = {}

    def take(self, process: UpstreamProcess, now: Instant) -> Result[None, RateLimited]:
        """Take a permit for one request; upstreams that are not cold need none."""
        wait_s = self.measure_wait_s(process, now)
        if wait_s > 0:
            return Err(RateLimited(retry_after_s=wait_s))
        bucket = self._buckets.get(process)
        return Ok(None) if bucket is None else bucket.try_take(1.0, now)

    def measure_wait_s(self, process: UpstreamProcess, now: Instant) -> float:
        """Return the time in seconds until a permit is available; 0 if one is now."""
        limit_per_s = self._notices.cold.find_limit_per_s(process, now)
        if limit_per_s is None:
            self._buckets.pop(process, None)
            return 0.0
        count = self._find_count(limit_per_s, now)
        if count <= 0:
            # What was saved up before does not count later.
            self._buckets.pop(process, None)
            return NO_SHARE_WAIT_S
        bucket = self._find_bucket(process, limit_per_s, count, now)
        wait_s = (1.0 - bucket.measure_level(now)) / bucket.rate_per_s
        return wait_s if wait_s > MIN_WAIT_S else 0.0

    def reset(self) -> None:
        """Forget all permits that were not taken."""
        self._buckets.clear()

    def _find_bucket(
        self, process: UpstreamProcess, limit_per_s: float, count: int, now: Instant
    ) -> TokenBucket:
        # A full bucket of one request and the rate give at most `count` in the window.
        rate_per_s = min(limit_per_s, count / WINDOW_S)
        bucket = self._buckets.get(process)
        if bucket is None or not math.isclose(bucket.rate_per_s, rate_per_s):
            level = 0.0 if bucket is None else bucket.measure_level(now)
            bucket = TokenBucket(rate_per_s, 1.0 / rate_per_s, now)
            bucket.adjust_level(min(level, 1.0) - 1.0, now)
            self._buckets[process] = bucket
        return bucket
