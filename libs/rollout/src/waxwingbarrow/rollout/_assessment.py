"""Statistical comparison of the new version with the old one on each route."""

import itertools
import math
from collections.abc import Iterable, Sequence

import attrs

from waxwingbarrow.core import Instant, RouteName
from waxwingbarrow.document import Rollout, ServiceDocument
from waxwingbarrow.rollout._evidence import (
    BUCKET_COUNT,
    BUCKETS_PER_OCTAVE,
    Evidence,
    RouteEvidence,
)
from waxwingbarrow.rollout._schedule import WINDOW_COUNT, find_window, make_plan
from waxwingbarrow.rollout._statistic import Stratum, compute_log_e_value

# Bound on the probability that one host ever withdraws a version that has no fault.
# Each host sees the counters in a different order, so with 9 hosts the bound on a
# withdrawal by any of them is 9 times as large.
FALSE_ALARM_PROBABILITY = 1e-4
# Significance at which the share goes back to its initial value until the suspicion is
# resolved. A false alarm at this level only delays a good version.
SUSPICION_PROBABILITY = 0.05
TEST_COUNT_PER_ROUTE = 2  # one for failures, one for latency
LATENCY_EDGE_COUNT = BUCKET_COUNT - 1


@attrs.frozen
class RouteAssessment:
    """State of the new version on one route.

    Parameters
    ----------
    requests : int
        Requests of the new version that ended.
    fault : str
        Kind of the fault found at `FALSE_ALARM_PROBABILITY`; empty if there is none.
    suspected : bool
        Whether the evidence reaches `SUSPICION_PROBABILITY`.
    """

    route: RouteName
    requests: int
    fault: str
    suspected: bool


@attrs.frozen
class Assessment:
    """State of the new version on all routes.

    Parameters
    ----------
    proven_window : int or None
        Window in which the last route reached the required number of requests; None
        until all have.
    recent_percent : float
        Percentage of requests that the new version got in the last complete window
        with requests.
    """

    routes: tuple[RouteAssessment, ...]
    proven_window: int | None
    recent_percent: float


def assess_rollout(
    document: ServiceDocument,
    rollout: Rollout,
    revision: int,
    evidence: Evidence,
    now: Instant,
) -> Assessment:
    """Compare the new version with the old one on every route of the document.

    Parameters
    ----------
    document : ServiceDocument
        Document of the service.
    rollout : Rollout
        Rollout of the document.
    revision : int
        Revision of the document; evidence about other revisions is ignored.
    evidence : Evidence
        Counters of all origins.
    now : Instant
        Current time.
    """
    routes: dict[RouteName, _VersionCounters] = {
        route.route: _VersionCounters([], []) for route in document.routes
    }
    for counter in evidence.select(document.service, revision):
        counters = routes.get(counter.route)
        if counters is None:
            continue
        if counter.version == rollout.to_version:
            counters.new.append(counter)
        elif counter.version == rollout.from_version:
            counters.old.append(counter)
    test_count = TEST_COUNT_PER_ROUTE * len(routes)
    proven = _find_proven_window(routes.values(), rollout.min_requests)
    pooled_count = WINDOW_COUNT if proven is None else make_plan(proven).rise_from
    return Assessment(
        tuple(
            _assess_route(route, rollout, counters, test_count, pooled_count)
            for route, counters in routes.items()
        ),
        proven,
        _compute_recent_percent(routes.values(), find_window(rollout, now.wall_ms)),
    )


@attrs.frozen
class _VersionCounters:
    """Counters of both versions on one route, from all origins and windows."""

    new: list[RouteEvidence]
    old: list[RouteEvidence]


def _find_proven_window(
    routes: Iterable[_VersionCounters], min_requests: int
) -> int | None:
    windows = []
    for counters in routes:
        totals = itertools.accumulate(_count_faults(counters.new).trials)
        reached = (w for w, total in enumerate(totals) if total >= min_requests)
        windows.append(next(reached, None))
    known = [window for window in windows if window is not None]
    return max(known) if len(known) == len(windows) else None


def _compute_recent_percent(routes: Iterable[_VersionCounters], window: int) -> float:
    new, old = [0] * WINDOW_COUNT, [0] * WINDOW_COUNT
    for counters in routes:
        for totals, side in ((new, counters.new), (old, counters.old)):
            for counter in side:
                totals[counter.window] += counter.requests
    for index in range(window - 1, -1, -1):
        if new[index] or old[index]:
            return 100 * new[index] / (new[index] + old[index])
    return 0.0


def _assess_route(
    route: RouteName,
    rollout: Rollout,
    counters: _VersionCounters,
    test_count: int,
    pooled_count: int,
) -> RouteAssessment:
    new, old = counters.new, counters.old
    log_e_failures = _test_failures(
        new, old, rollout.max_failure_percent / 100, pooled_count
    )
    log_e_slowness = _test_slowness(
        new, old, rollout.max_slowdown_percent / 100, pooled_count
    )
    # Bonferroni correction: slowness is tested at every latency edge.
    log_e_slowness -= math.log(LATENCY_EDGE_COUNT)
    fault_threshold = math.log(test_count / FALSE_ALARM_PROBABILITY)
    fault = ""
    if log_e_failures >= fault_threshold:
        failures = sum(counter.failures for counter in new)
        lengths = sum(counter.wrong_lengths for counter in new)
        fault = "wrong length" if lengths > failures else "failures"
    elif log_e_slowness >= fault_threshold:
        fault = "slowness"
    return RouteAssessment(
        route,
        sum(counter.requests for counter in new),
        fault,
        max(log_e_failures, log_e_slowness)
        >= math.log(test_count / SUSPICION_PROBABILITY),
    )


@attrs.frozen
class _WindowCounts:
    """Hits and trials per window."""

    hits: Sequence[int]
    trials: Sequence[int]


def _test_failures(
    new: Sequence[RouteEvidence],
    old: Sequence[RouteEvidence],
    margin: float,
    pooled_count: int,
) -> float:
    return _compare_windows(
        _count_faults(new), _count_faults(old), margin, pooled_count
    )


def _count_faults(counters: Sequence[RouteEvidence]) -> _WindowCounts:
    """Return the failed requests and wrong-length responses, and all requests."""
    hits, trials = [0] * WINDOW_COUNT, [0] * WINDOW_COUNT
    for counter in counters:
        hits[counter.window] += counter.failures + counter.wrong_lengths
        trials[counter.window] += counter.requests
    return _WindowCounts(hits, trials)


def _test_slowness(
    new: Sequence[RouteEvidence],
    old: Sequence[RouteEvidence],
    slowdown: float,
    pooled_count: int,
) -> float:
    """Return the largest log e-value over all latency edges.

    If the new version is slower by at most the allowed factor, its share of responses
    above ``factor * t`` is at most the old version's share above ``t``.
    """
    # The tolerance keeps an exact number of buckets from being rounded up.
    shift_buckets = math.ceil(math.log2(1 + slowdown) * BUCKETS_PER_OCTAVE - 1e-9)
    above_new, above_old = _count_above(new), _count_above(old)
    new_trials, old_trials = above_new[0], above_old[0]
    highest = -math.inf
    for edge in range(1, BUCKET_COUNT - shift_buckets):
        new_hits, old_hits = above_new[edge + shift_buckets], above_old[edge]
        if not any(new_hits):
            break
        if old_hits == old_trials:
            continue
        counts = (
            _WindowCounts(new_hits, new_trials),
            _WindowCounts(old_hits, old_trials),
        )
        highest = max(highest, _compare_windows(*counts, 0.0, pooled_count))
    return highest


def _count_above(counters: Sequence[RouteEvidence]) -> list[tuple[int, ...]]:
    """Return, for each bucket, the number of responses in it or above per window."""
    windows = [[0] * BUCKET_COUNT for _ in range(WINDOW_COUNT)]
    for counter in counters:
        window = windows[counter.window]
        for item in counter.latency_buckets:
            window[item.bucket] += item.count
    totals = (itertools.accumulate(reversed(window)) for window in windows)
    return list(zip(*totals, strict=True))[::-1]


def _compare_windows(
    new: _WindowCounts, old: _WindowCounts, margin: float, pooled_count: int
) -> float:
    rows = zip(new.hits, new.trials, old.hits, old.trials, strict=True)
    return compute_log_e_value([Stratum(*row) for row in rows], margin, pooled_count)
