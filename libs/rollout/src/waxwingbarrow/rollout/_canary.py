"""Canary rollout: the new version gets a small, fixed share of the requests.

Used for orders that limit how many requests a faulty version may receive and that give
a duration instead of a schedule. `decide_rollout`, in contrast, raises the share in
steps.
"""

import math
from collections.abc import Iterable

import attrs

from waxwingbarrow.core import Instant, RouteName, in_range

# Terms of a sum are left out from the first one that is smaller than this fraction.
NEGLIGIBLE_TERM = 1e-12


@attrs.frozen
class RouteCounts:
    """Counters of the finished requests of one version on one route.

    Parameters
    ----------
    log_ms_sum : float
        Sum of ``ln(latency in ms)`` over the successful requests, or of the logarithm
        of another measure of latency, the same for both versions.
    """

    route: RouteName
    requests: int
    failures: int
    log_ms_sum: float

    @property
    def mean_log_ms(self) -> float:
        """Mean of ``ln(latency in ms)``, that is, the log of the geometric mean."""
        return self.log_ms_sum / max(self.requests - self.failures, 1)


@attrs.frozen(kw_only=True)
class CanaryPolicy:
    """Thresholds of `decide_canary`.

    Parameters
    ----------
    share_percent : float
        Percentage of requests that the new version gets until the decision.
    withdraw_p_value : float
        The version is withdrawn if the probability of at least as many failures at
        the old version's rate is lower than this.
    suspect_p_value : float
        Completion is delayed while that probability is lower than this.
    max_latency_ratio : float
        Largest accepted ratio of the geometric mean latencies, new to old version.
    min_latency_samples : int
        Successful requests that each version needs for the latency comparison.
    max_overall_latency_ratio : float
        Largest accepted ratio of the mean latencies over all routes, new to old
        version. It applies if the difference is significant.
    log_latency_deviation : float
        Standard deviation of ``ln(latency)`` between the requests of a route.
    withdraw_deviations, suspect_deviations : float
        Standard errors by which the new version must be slower over all routes for a
        withdrawal, and for a delay of the completion.
    complete_after_fraction, decide_after_fraction : float
        Fraction of the duration after which a version without a fault is completed,
        and after which the decision is made with whatever requests there are.
    min_requests : int
        Requests of the new version needed for completion before the final decision.
    tolerated_failure_rate : float
        Lower bound of the old rate in the comparison, so that a lower rate of the new
        version is never a fault.
    max_exposure_share, exposure_slack : float
        A faulty version may get this fraction of the requests until the deadline, and
        this many more. Some faults show only under the whole load, so a version is not
        completed while it would get more until then.
    completion_margin_s : float
        Time before the deadline at which a version without a fault is completed
        whatever it would get.
    """

    share_percent: float = attrs.field(default=7.0, validator=in_range(0, 100))
    withdraw_p_value: float = attrs.field(default=2e-3, validator=in_range(0, 1))
    suspect_p_value: float = attrs.field(default=5e-2, validator=in_range(0, 1))
    max_latency_ratio: float = attrs.field(default=2.2, validator=in_range(1, 100))
    min_latency_samples: int = attrs.field(default=6, validator=in_range(1, 10_000))
    max_overall_latency_ratio: float = attrs.field(
        default=1.5, validator=in_range(1, 100)
    )
    log_latency_deviation: float = attrs.field(default=0.7, validator=in_range(0, 10))
    withdraw_deviations: float = attrs.field(default=3.0, validator=in_range(0, 10))
    suspect_deviations: float = attrs.field(default=1.6, validator=in_range(0, 10))
    complete_after_fraction: float = attrs.field(default=0.7, validator=in_range(0, 1))
    decide_after_fraction: float = attrs.field(default=0.88, validator=in_range(0, 1))
    min_requests: int = attrs.field(default=20, validator=in_range(1, 10_000))
    tolerated_failure_rate: float = attrs.field(default=0.02, validator=in_range(0, 1))
    max_exposure_share: float = attrs.field(default=1.0, validator=in_range(0, 1))
    exposure_slack: float = attrs.field(default=0.0, validator=in_range(0, 1_000_000))
    completion_margin_s: float = attrs.field(default=1.5, validator=in_range(0, 60))


@attrs.frozen
class Continue:
    """The version is undecided and keeps its share."""

    reason: str


@attrs.frozen
class Complete:
    """The version gets all requests."""


@attrs.frozen
class Withdraw:
    """The version gets no more requests.

    Parameters
    ----------
    is_final : bool
        Whether the counts alone do not show a fault, but the time is over. Counts of a
        part of the hosts do not suffice for that.
    """

    reason: str
    is_final: bool = False


CanaryDecision = Continue | Complete | Withdraw


def decide_canary(
    old: Iterable[RouteCounts],
    new: Iterable[RouteCounts],
    started: Instant,
    duration_s: float,
    policy: CanaryPolicy,
    now: Instant,
) -> CanaryDecision:
    """Compare the versions route by route and decide on the new one.

    Parameters
    ----------
    old, new : iterable of RouteCounts
        Counts of all hosts since the order.
    started : Instant
        Time at which this host received the order.
    duration_s : float
        Duration given in the order.

    Examples
    --------
    >>> start = Instant(0, 0)
    >>> good = [RouteCounts(RouteName("r"), 200, 1, 1000.0)]
    >>> bad = [RouteCounts(RouteName("r"), 10, 5, 25.0)]
    >>> decide_canary(good, bad, start, 10, CanaryPolicy(), Instant(1, 1))
    Withdraw(reason='failures on r: 5 of 10', is_final=False)
    """
    old_by_route = {counts.route: counts for counts in old}
    new = list(new)
    suspected_reason = ""
    total = 0
    for counts in new:
        total += counts.requests
        old_counts = old_by_route.get(counts.route)
        p_value = _compute_p_value(counts, old_counts, policy)
        failure_reason = (
            f"failures on {counts.route}: {counts.failures} of {counts.requests}"
        )
        if p_value < policy.withdraw_p_value:
            return Withdraw(failure_reason)
        if p_value < policy.suspect_p_value:
            suspected_reason = failure_reason
        if old_counts is not None and _is_slow(counts, old_counts, policy):
            return Withdraw(f"slow on {counts.route}")
    deviations = _measure_slowness(new, old_by_route, policy)
    if deviations >= policy.withdraw_deviations:
        return Withdraw("slow over all routes")
    if deviations >= policy.suspect_deviations:
        suspected_reason = suspected_reason or "slow over all routes"
    elapsed_s = (now.mono_ms - started.mono_ms) / 1000
    elapsed_fraction = elapsed_s / duration_s
    if elapsed_fraction >= policy.decide_after_fraction:
        if suspected_reason:
            return Withdraw(suspected_reason, is_final=True)
        if not total:
            reason = "no request reached the new version in time"
            return Withdraw(reason, is_final=True)
    elif suspected_reason:
        return Continue(f"suspected: {suspected_reason}")
    elif (
        elapsed_fraction < policy.complete_after_fraction or total < policy.min_requests
    ):
        return Continue(f"{total} requests")
    all_requests = total + sum(counts.requests for counts in old_by_route.values())
    exposure_ratio = _predict_exposure_ratio(
        total, all_requests, elapsed_fraction, policy
    )
    is_late = duration_s - elapsed_s <= policy.completion_margin_s
    if exposure_ratio > 1 and not is_late:
        return Continue(f"would get {exposure_ratio:.1f} times what is allowed")
    return Complete()


def _predict_exposure_ratio(
    new_requests: int,
    all_requests: int,
    elapsed_fraction: float,
    policy: CanaryPolicy,
) -> float:
    """Return the requests that a new version would get, divided by those allowed.

    They are counted until the deadline, with all requests from now on.
    """
    predicted = all_requests / max(elapsed_fraction, 1e-3)
    remaining = max(predicted - all_requests, 0.0)
    allowed = policy.max_exposure_share * predicted + policy.exposure_slack
    return (new_requests + remaining) / max(allowed, 1.0)


def _compute_p_value(
    counts: RouteCounts, old_counts: RouteCounts | None, policy: CanaryPolicy
) -> float:
    """Return the binomial probability of at least as many failures at the old rate.

    It is 1.0 for at most as many failures as the old rate lets expect.
    """
    if counts.failures < 2:
        return 1.0
    rate = policy.tolerated_failure_rate
    if old_counts is not None and old_counts.requests > 0:
        rate = max(rate, (old_counts.failures + 0.5) / (old_counts.requests + 1))
    n = counts.requests
    if counts.failures <= n * rate:
        return 1.0
    # Logarithms: the binomial coefficients exceed a float from about 1,030 requests on.
    log_n = math.lgamma(n + 1)
    log_rate, log_rest = math.log(rate), math.log1p(-rate)
    p_value = 0.0
    for k in range(counts.failures, n + 1):
        log_term = log_n - math.lgamma(k + 1) - math.lgamma(n - k + 1)
        term = math.exp(log_term + k * log_rate + (n - k) * log_rest)
        p_value += term
        # Above the expected number of failures the terms decrease.
        if term <= p_value * NEGLIGIBLE_TERM:
            break
    return p_value


def _is_slow(
    counts: RouteCounts, old_counts: RouteCounts, policy: CanaryPolicy
) -> bool:
    min_samples = policy.min_latency_samples
    if counts.requests - counts.failures < min_samples:
        return False
    if old_counts.requests - old_counts.failures < min_samples:
        return False
    difference = counts.mean_log_ms - old_counts.mean_log_ms
    return difference > math.log(policy.max_latency_ratio)


def _measure_slowness(
    new: Iterable[RouteCounts],
    old_by_route: dict[RouteName, RouteCounts],
    policy: CanaryPolicy,
) -> float:
    """Return by how many standard errors the new version is slower over all routes.

    The means are compared route by route, weighted by the requests of the new version,
    so that a different mix of routes does not count. The result is 0.0 if the new
    version is slower by less than `max_overall_latency_ratio`, or has too few requests.
    """
    samples, difference_sum, variance_sum = 0, 0.0, 0.0
    for counts in new:
        old = old_by_route.get(counts.route)
        new_samples = counts.requests - counts.failures
        old_samples = old.requests - old.failures if old is not None else 0
        if old is None or new_samples <= 0 or old_samples <= 0:
            continue
        samples += new_samples
        difference_sum += new_samples * (counts.mean_log_ms - old.mean_log_ms)
        variance_sum += new_samples + new_samples**2 / old_samples
    if samples < policy.min_latency_samples:
        return 0.0
    if difference_sum / samples <= math.log(policy.max_overall_latency_ratio):
        return 0.0
    return difference_sum / (policy.log_latency_deviation * math.sqrt(variance_sum))
