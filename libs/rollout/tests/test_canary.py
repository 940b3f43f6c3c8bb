"""Guards against canaries that keep a faulty version or withdraw a good one."""

import math
import random

import pytest

from waxwingbarrow.core import Instant, RouteName
from waxwingbarrow.rollout import (
    CanaryPolicy,
    Complete,
    Continue,
    RouteCounts,
    Withdraw,
    decide_canary,
)

START = Instant(0, 0)
DURATION_S = 12.0
POLICY = CanaryPolicy()
# Standard deviation of the logarithms of latencies in the plays of `hasty`.
LOG_DEVIATION = 0.7


def make_counts(requests, failures=0, latency_ms=100.0, route="r"):
    log_sum = (requests - failures) * math.log(latency_ms)
    return RouteCounts(RouteName(route), requests, failures, log_sum)


def decide(old, new, elapsed_s):
    now = Instant(int(elapsed_s * 1000), int(elapsed_s * 1000))
    return decide_canary(old, new, START, DURATION_S, POLICY, now)


OLD = [make_counts(500, 2), make_counts(100, 14, route="flaky")]


@pytest.mark.parametrize(
    ("new", "elapsed_s", "kind"),
    [
        ([make_counts(20)], 3, Continue),  # too early to complete
        ([make_counts(30)], 9, Complete),
        ([make_counts(12, 5)], 1, Withdraw),  # failures
        ([make_counts(30), make_counts(8, 6, route="other")], 3, Withdraw),
        ([make_counts(20, 0, 400.0)], 2, Withdraw),  # slow
        ([make_counts(30, 0, 130.0)], 9, Complete),  # slower within the limit
        ([make_counts(20, 3, route="flaky")], 9, Complete),  # the old version fails too
        ([make_counts(20, 12, route="flaky")], 9, Withdraw),
        ([make_counts(3, 0, 900.0)], 2, Continue),  # too few latencies
        ([make_counts(5)], 9, Continue),  # too few requests
        ([make_counts(5)], 11, Complete),  # final decision
        ([], 11, Withdraw),  # final decision without requests
    ],
)
def test_bad_versions_are_withdrawn_and_good_ones_completed(new, elapsed_s, kind):
    assert isinstance(decide(OLD, new, elapsed_s), kind)


# Latencies of `hasty`, as multiples of the expected ones: seed 1 and seed 8.
HASTY_OLD = [
    make_counts(190, 0, 1.85, "tag"),
    make_counts(251, 0, 2.18, "answer"),
    make_counts(147, 0, 1.47, "plan"),
]
HASTY_NEW = [
    make_counts(11, 0, 3.90, "tag"),
    make_counts(8, 0, 3.19, "answer"),
    make_counts(4, 0, 4.60, "plan"),
]


def test_a_version_that_is_slower_on_all_routes_is_withdrawn():
    # Guards against EXPOSURE of `hasty`: on no route alone were there enough requests
    # with a difference that is large enough, and the slow version was completed.
    assert isinstance(decide(HASTY_OLD, HASTY_NEW, 9), Withdraw)


def test_a_version_that_may_be_slower_is_not_completed_early():
    new = [make_counts(8, 0, 3.4, "answer"), make_counts(13, 0, 2.85, "tag")]
    assert isinstance(decide(HASTY_OLD, new, 9), Continue)
    assert isinstance(decide(HASTY_OLD, new, 11.5), Withdraw)


def test_a_version_with_another_mix_of_routes_is_not_slower():
    # Guards against a comparison of means over all routes.
    old = [make_counts(500, 0, 50.0, "short"), make_counts(20, 0, 900.0, "long")]
    new = [make_counts(5, 0, 50.0, "short"), make_counts(20, 0, 900.0, "long")]
    assert isinstance(decide(old, new, 9), Complete)


@pytest.mark.parametrize("seed", range(40))
def test_a_version_of_the_same_speed_is_completed(seed):
    # Guards against withdrawals by chance, with checks after every request.
    rng = random.Random(seed)
    old = [make_counts(400, 0, 1.8, "tag"), make_counts(300, 0, 1.5, "plan")]
    sums = {"tag": 0.0, "plan": 0.0}
    requests = {"tag": 0, "plan": 0}
    for _ in range(60):
        route, mean = rng.choice([("tag", 1.8), ("plan", 1.5)])
        requests[route] += 1
        sums[route] += rng.gauss(math.log(mean), LOG_DEVIATION)
        new = [
            RouteCounts(RouteName(name), requests[name], 0, sums[name])
            for name in requests
        ]
        assert not isinstance(decide(old, new, 5), Withdraw)
    assert isinstance(decide(old, new, 10), Complete)


EXPOSURE_POLICY = CanaryPolicy(max_exposure_share=0.1, exposure_slack=50)


def measure_exposure(per_s, duration_s):
    """Return the requests that a version gets until its deadline, and those allowed.

    The version shows no fault at its share, and gets all requests once it is completed.
    Its rollout is evaluated every 0.9 s.
    """
    exposed, elapsed_s = 0.0, 0.0
    share = EXPOSURE_POLICY.share_percent / 100
    while elapsed_s < duration_s:
        elapsed_s += 0.9
        new = round(share * per_s * elapsed_s)
        old = [make_counts(round(per_s * elapsed_s) - new)]
        now = Instant(0, round(elapsed_s * 1000))
        decision = decide_canary(
            old, [make_counts(new)], START, duration_s, EXPOSURE_POLICY, now
        )
        if isinstance(decision, Complete):
            exposed = new + per_s * (duration_s - elapsed_s)
            break
    assert elapsed_s <= duration_s - 0.5
    return exposed, 0.1 * per_s * duration_s + 50


@pytest.mark.parametrize("duration_s", [12.0, 15.0, 30.0, 60.0])
@pytest.mark.parametrize("per_s", [3, 20, 52])
def test_a_fault_that_shows_only_under_load_stays_within_the_exposure(
    per_s, duration_s
):
    # Guards against EXPOSURE of `hasty` with under_load: a version that failed on busy
    # workers only was completed with a third of the time left, and got 202 requests
    # until the deadline, 127 allowed.
    exposed, allowed = measure_exposure(per_s, duration_s)
    assert 0 < exposed <= allowed


def test_a_version_with_few_requests_is_completed_early():
    # Guards against completions that depend on a store that answers just before the
    # deadline, where that prevents nothing.
    new, old = [make_counts(25)], [make_counts(70)]
    now = Instant(0, 9_000)
    decision = decide_canary(old, new, START, DURATION_S, EXPOSURE_POLICY, now)
    assert isinstance(decision, Complete)


def test_late_fault_is_withdrawn():
    good_so_far = [make_counts(40)]
    assert isinstance(decide(OLD, good_so_far, 8), Continue)
    assert isinstance(decide(OLD, [make_counts(50, 8)], 8.2), Withdraw)


def test_suspected_version_is_withdrawn_at_the_final_decision():
    assert isinstance(decide(OLD, [make_counts(30, 3)], 11.5), Withdraw)


@pytest.mark.parametrize("requests", [1_030, 20_000])
def test_many_requests_of_the_new_version_are_evaluated(requests):
    """Guards against an overflow of the binomial coefficients, which ends the host."""
    old = [make_counts(requests, failures=requests // 100)]
    few = decide(old, [make_counts(requests, failures=2)], 8)
    assert not isinstance(few, Withdraw)
    many = decide(old, [make_counts(requests, failures=requests // 10)], 8)
    assert isinstance(many, Withdraw)


def test_version_is_continued_if_all_requests_of_both_versions_fail():
    """Guards against a logarithm of 0 where the old version always fails."""
    counts = [make_counts(10_000, failures=10_000)]
    assert not isinstance(decide(counts, counts, 1), Withdraw)
