"""What the evidence says about the new version on each route."""

import itertools
import math
from collections.abc import Iterable, Sequence

import attrs

from waxwingbarrow.core import Instant, RouteName
from waxwingbarrow.document import Rollout, ServiceDocument
from waxwingbarrow.rollout._evidence import (
    BUCKETS,
    BUCKETS_PER_OCTAVE,
    Evidence,
    RouteEvidence,
)
from waxwingbarrow.rollout._schedule import WINDOWS, find_window, make_plan
from waxwingbarrow.rollout._statistic import Stratum, compute_log_evidence

# Bound on the probability that a version without a fault is ever withdrawn for one, in
# the view of one host. With 9 hosts that each see another order of the counters, the
# bound on any of them withdrawing it is 9 times as large.
FALSE_ALARM_PROBABILITY = 1e-4
# Evidence at this level holds the share at its first value. It costs a good version at
# most a delay.
SUSPICION_PROBABILITY = 0.05
TESTS_PER_ROUTE = 2  # failures and slowness
LATENCY_EDGES = BUCKETS - 1


@attrs.frozen
class RouteAssessment:
    """State of the new version on one route.

    Parameters
    ----------
    requests : int
        Requests of the new version that ended.
    fault : str
        What is certainly wrong, or empty.
    suspected : bool
        Whether the evidence is strong enough to hold the share.
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
        Window in which the last route reached the required number of requests.
    recent_percent : float
        Part of the requests that the new version got in the last full window with
        requests.
    """

    routes: tuple[RouteAssessment, ...]
    proven_window: int | None
    recent_percent: float


def assess(
    document: ServiceDocument,
    rollout: Rollout,
    revision: int,
    evidence: Evidence,
    now: Instant,
) -> Assessment:
    """Compare the new version with the old one on every route of the document."""
    routes: dict[RouteName, _Counters] = {
        route.route: _Counters([], []) for route in document.routes
    }
    for counter in evidence.select(document.service, revision):
        counters = routes.get(counter.route)
        if counters is None:
            continue
        if counter.version == rollout.to_version:
            counters.new.append(counter)
        elif counter.version == rollout.from_version:
            counters.old.append(counter)
    tests = TESTS_PER_ROUTE * len(routes)
    proven = _find_proven_window(routes.values(), rollout.min_requests)
    pooled = WINDOWS if proven is None else make_plan(proven).rise_from
    return Assessment(
        tuple(
            _assess_route(route, rollout, counters, tests, pooled)
            for route, counters in routes.items()
        ),
        proven,
        _measure_recent(routes.values(), find_window(rollout, now.wall_ms)),
    )


@attrs.frozen
class _Counters:
    """Counters of all origins on one route."""

    new: list[RouteEvidence]
    old: list[RouteEvidence]


def _find_proven_window(routes: Iterable[_Counters], min_requests: int) -> int | None:
    windows = []
    for counters in routes:
        totals = itertools.accumulate(_count_faults(counters.new).trials)
        reached = (w for w, total in enumerate(totals) if total >= min_requests)
        windows.append(next(reached, None))
    known = [window for window in windows if window is not None]
    return max(known) if len(known) == len(windows) else None


def _measure_recent(routes: Iterable[_Counters], window: int) -> float:
    new, old = [0] * WINDOWS, [0] * WINDOWS
    for counters in routes:
        for totals, side in ((new, counters.new), (old, counters.old)):
            for counter in side:
                totals[counter.window] += counter.requests
    for index in range(window - 1, -1, -1):
        if new[index] or old[index]:
            return 100 * new[index] / (new[index] + old[index])
    return 0.0


def _assess_route(
    route: RouteName, rollout: Rollout, counters: _Counters, tests: int, pooled: int
) -> RouteAssessment:
    new, old = counters.new, counters.old
    failing = _weigh_failures(new, old, rollout.max_failure_percent / 100, pooled)
    slow = _weigh_slowness(new, old, rollout.max_slowdown_percent / 100, pooled)
    slow -= math.log(LATENCY_EDGES)
    certain = math.log(tests / FALSE_ALARM_PROBABILITY)
    fault = ""
    if failing >= certain:
        failures = sum(counter.failures for counter in new)
        lengths = sum(counter.wrong_lengths for counter in new)
        fault = "wrong length" if lengths > failures else "failures"
    elif slow >= certain:
        fault = "slowness"
    return RouteAssessment(
        route,
        sum(counter.requests for counter in new),
        fault,
        max(failing, slow) >= math.log(tests / SUSPICION_PROBABILITY),
    )


@attrs.frozen
class _Tally:
    """Hits and trials per window."""

    hits: Sequence[int]
    trials: Sequence[int]


def _weigh_failures(
    new: Sequence[RouteEvidence],
    old: Sequence[RouteEvidence],
    margin: float,
    pooled: int,
) -> float:
    return _weigh(_count_faults(new), _count_faults(old), margin, pooled)


def _count_faults(counters: Sequence[RouteEvidence]) -> _Tally:
    """Return the failed or wrong responses and all requests per window."""
    hits, trials = [0] * WINDOWS, [0] * WINDOWS
    for counter in counters:
        hits[counter.window] += counter.failures + counter.wrong_lengths
        trials[counter.window] += counter.requests
    return _Tally(hits, trials)


def _weigh_slowness(
    new: Sequence[RouteEvidence],
    old: Sequence[RouteEvidence],
    slowdown: float,
    pooled: int,
) -> float:
    """Return the strongest evidence, over all latencies, that the new version is slow.

    If the new version is slower by at most the allowed factor, the part of its
    responses above ``factor * t`` is at most the old version's part above ``t``.
    """
    shift = math.ceil(math.log2(1 + slowdown) * BUCKETS_PER_OCTAVE - 1e-9)
    above_new, above_old = _count_above(new), _count_above(old)
    new_trials, old_trials = above_new[0], above_old[0]
    highest = -math.inf
    for edge in range(1, BUCKETS - shift):
        new_hits, old_hits = above_new[edge + shift], above_old[edge]
        if not any(new_hits):
            break
        if old_hits == old_trials:
            continue
        tallies = _Tally(new_hits, new_trials), _Tally(old_hits, old_trials)
        highest = max(highest, _weigh(*tallies, 0.0, pooled))
    return highest


def _count_above(counters: Sequence[RouteEvidence]) -> list[tuple[int, ...]]:
    """Return, for each bucket, the responses in it or above it per window."""
    windows = [[0] * BUCKETS for _ in range(WINDOWS)]
    for counter in counters:
        window = windows[counter.window]
        for item in counter.latency_buckets:
            window[item.bucket] += item.count
    totals = (itertools.accumulate(reversed(window)) for window in windows)
    return list(zip(*totals, strict=True))[::-1]


def _weigh(new: _Tally, old: _Tally, margin: float, pooled: int) -> float:
    rows = zip(new.hits, new.trials, old.hits, old.trials, strict=True)
    return compute_log_evidence([Stratum(*row) for row in rows], margin, pooled)
