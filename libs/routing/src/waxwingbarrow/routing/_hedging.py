"""Decision on a second attempt, a hedge, for a request that is slower than expected."""

import enum
from collections import deque
from collections.abc import Hashable

import attrs

from waxwingbarrow.core import in_range
from waxwingbarrow.routing._engines import WorkerView


class HedgeRefusal(enum.StrEnum):
    """Why no hedge is sent; also the value of a label in the metrics.

    Attributes
    ----------
    NO_UPSTREAM
        No other upstream may get the request.
    LIMITED_UPSTREAM
        The other upstream limits its requests, so an attempt there takes a permit.
    NO_SLOT
        The other upstream has no free slot, or may have ended.
    STARTS_TOO_LATE
        The other upstream would start later than the first attempt is expected to end.
    NO_GAIN
        The hedge would miss the objective, and the first attempt may not miss it by
        far, or the hedge would miss the deadline.
    SHARE_USED
        The allowed fraction of the requests has been hedged.
    RETRY_RESERVE
        The rest of the retry budget is kept for retries of failures.
    """

    NO_UPSTREAM = "no upstream"
    LIMITED_UPSTREAM = "limited upstream"
    NO_SLOT = "no slot"
    STARTS_TOO_LATE = "starts too late"
    NO_GAIN = "no gain"
    SHARE_USED = "share used"
    RETRY_RESERVE = "retry reserve"


@attrs.frozen(kw_only=True)
class HedgePolicy:
    """Constants of the decision.

    Parameters
    ----------
    extra_share : float
        Fraction of the requests of a service that may be hedged; 0 disables hedges.
    delay_factor : float
        Delay before a hedge as a multiple of the expected time of the attempt.
    min_delay_ms : float
        Shortest delay; shorter ones are within the variation of a busy host.
    far_miss_factor : float
        A first attempt that is expected to take this many times the objective misses
        it by far, so a hedge is worthwhile even if it misses the objective too.
    """

    extra_share: float = attrs.field(default=0.0, validator=in_range(0, 1))
    delay_factor: float = attrs.field(default=3.0, validator=in_range(0.1, 100))
    min_delay_ms: float = attrs.field(default=20.0, validator=in_range(0, 1e5))
    far_miss_factor: float = attrs.field(default=2.0, validator=in_range(1, 100))


@attrs.frozen(kw_only=True)
class SlowAttempt:
    """An attempt that is slower than expected.

    Parameters
    ----------
    elapsed_ms : float
        Time since the request arrived.
    expected_ms : float
        Time that an attempt usually takes, to the end of the response or to the first
        event of a stream.
    remaining_ms : float
        Time that the attempt is still expected to take; see
        `AttemptTimes.estimate_remaining_ms`.
    objective_ms : float
        Latency objective of the route.
    left_ms : float
        Time until the deadline of the request.
    """

    elapsed_ms: float
    expected_ms: float
    remaining_ms: float
    objective_ms: float
    left_ms: float


def compute_hedge_delay_ms(expected_ms: float, policy: HedgePolicy) -> float:
    """Return how long to wait for an attempt before a hedge is considered.

    Examples
    --------
    >>> compute_hedge_delay_ms(50.0, HedgePolicy())
    150.0
    >>> compute_hedge_delay_ms(2.0, HedgePolicy())
    20.0
    """
    return max(policy.delay_factor * expected_ms, policy.min_delay_ms)


def find_hedge_refusal(
    attempt: SlowAttempt, second: WorkerView, start_ms: float, policy: HedgePolicy
) -> HedgeRefusal | None:
    """Return why no hedge should be sent to an upstream; None if one should.

    Parameters
    ----------
    start_ms : float
        Estimated time until the upstream starts the request.
    """
    if second.is_suspect or second.running >= second.slots:
        return HedgeRefusal.NO_SLOT
    if start_ms >= attempt.remaining_ms:
        return HedgeRefusal.STARTS_TOO_LATE
    hedge_ms = max(attempt.expected_ms, start_ms)
    if hedge_ms >= attempt.left_ms:
        return HedgeRefusal.NO_GAIN
    meets_objective = attempt.elapsed_ms + hedge_ms <= attempt.objective_ms
    first_ms = attempt.elapsed_ms + attempt.remaining_ms
    misses_by_far = first_ms >= policy.far_miss_factor * attempt.objective_ms
    if not meets_objective and not misses_by_far:
        return HedgeRefusal.NO_GAIN
    return None


class AttemptTimes:
    """Times of the recent attempts by route.

    Parameters
    ----------
    max_times : int
        Recent attempts of a route that are kept.
    min_times : int
        Attempts of a route that are needed for an estimate.

    Examples
    --------
    >>> times = AttemptTimes(min_times=4)
    >>> for elapsed_ms in (10.0, 10.0, 10.0, 210.0):
    ...     times.record("read", elapsed_ms)
    >>> times.find_mean_ms("read")
    60.0
    >>> times.estimate_remaining_ms("read", 60.0)
    150.0
    """

    def __init__(self, max_times: int = 256, min_times: int = 20) -> None:
        self._max_times = max_times
        self._min_times = min_times
        self._times_ms: dict[Hashable, deque[float]] = {}
        self._sums_ms: dict[Hashable, float] = {}

    def record(self, route: Hashable, elapsed_ms: float) -> None:
        """Record the time of an attempt that succeeded or was cancelled."""
        times_ms = self._times_ms.setdefault(route, deque())
        times_ms.append(elapsed_ms)
        total_ms = self._sums_ms.get(route, 0.0) + elapsed_ms
        if len(times_ms) > self._max_times:
            total_ms -= times_ms.popleft()
        self._sums_ms[route] = total_ms

    def find_mean_ms(self, route: Hashable) -> float | None:
        """Return the mean time; None while too few attempts were recorded."""
        times_ms = self._times_ms.get(route, ())
        if len(times_ms) < self._min_times:
            return None
        return self._sums_ms[route] / len(times_ms)

    def estimate_remaining_ms(self, route: Hashable, waited_ms: float) -> float:
        """Return how much longer an attempt takes that has taken this long already.

        That is the mean over the recorded attempts that took longer, and at least the
        time waited, because attempts that were cancelled are recorded with the time
        waited, which is shorter than they would have taken.
        """
        slower_ms = [
            time_ms - waited_ms
            for time_ms in self._times_ms.get(route, ())
            if time_ms > waited_ms
        ]
        mean_ms = sum(slower_ms) / len(slower_ms) if slower_ms else 0.0
        return max(mean_ms, waited_ms)
