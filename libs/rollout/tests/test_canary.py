"""Guards against canaries that keep a faulty version or withdraw a good one."""

import math

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
