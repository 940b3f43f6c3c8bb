"""Guards against hosts that together exceed an account's limit, or waste it."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from waxwingbarrow.core import HostId, Instant
from waxwingbarrow.limits import (
    DemandMeter,
    PeerDemand,
    SharePolicy,
    TokenBucket,
    compute_share,
)

POLICY = SharePolicy()
NOW = Instant(0, 100_000)


def share_of(own, demands, limit, reachable, host_count=None):
    peers = [
        PeerDemand(HostId(f"h{n}"), demand, NOW)
        for n, demand in enumerate(demands)
        if n != own and n in reachable
    ]
    return compute_share(
        limit, demands[own], peers, host_count or len(demands), NOW, POLICY
    )


DEMANDS = st.lists(st.floats(0, 1e6), min_size=1, max_size=9)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(DEMANDS, st.floats(1, 1e6), st.randoms(use_true_random=False))
def test_groups_on_both_sides_of_any_cut_stay_under_the_limit(demands, limit, rng):
    hosts = range(len(demands))
    side = [rng.randrange(3) for _ in hosts]
    groups = [{n for n in hosts if side[n] == side[own]} for own in hosts]
    shares = [share_of(own, demands, limit, groups[own]) for own in hosts]
    assert sum(shares) <= limit * (1 + 1e-9)
    # Nothing of a group's part is left unused either.
    assert sum(shares) >= limit * (1 - 1e-9)
    for own in hosts:
        floor = limit / len(demands)
        assert shares[own] >= min(demands[own], floor) * (1 - 1e-9)
        if len(groups[own]) == 1:
            assert shares[own] == pytest.approx(floor)


def test_static_division_refuses_what_the_limit_allows():
    demands = [900.0, 10.0, 10.0]
    ours = share_of(0, demands, 1_000.0, {0, 1, 2})
    static = 1_000.0 / 3
    assert ours >= demands[0] > static


def test_stale_demand_counts_as_cut_off():
    old = Instant(0, NOW.mono_ms - POLICY.stale_ms)
    peers = [PeerDemand(HostId("b"), 0.0, old)]
    assert compute_share(100.0, 90.0, peers, 2, NOW, POLICY) == 50.0


def test_more_peers_than_known_hosts_do_not_raise_the_sum():
    shares = [share_of(n, [50.0, 60.0, 70.0], 90.0, {0, 1, 2}, 2) for n in range(3)]
    assert sum(shares) == pytest.approx(90.0)


TAKES = st.lists(st.tuples(st.integers(0, 400), st.integers(1, 60)), max_size=60)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(TAKES)
def test_bucket_keeps_its_rate_and_its_retry_time_is_true(takes):
    bucket = TokenBucket(100.0, 0.5, Instant(0, 0))
    mono_ms, taken = 0, 0
    for wait_ms, amount in takes:
        mono_ms += wait_ms
        now = Instant(0, mono_ms)
        result = bucket.try_take(amount, now)
        if isinstance(result, Err):
            later_ms = int(result.err_value.retry_after_s * 1000) + 1
            mono_ms += later_ms
            assert bucket.try_take(amount, Instant(0, mono_ms)).is_ok()
        taken += amount
        # At most one amount above the burst is owed.
        assert taken <= 50 + 100 * mono_ms / 1000 + 10 + 1e-6


BUCKET_CASES = [
    # (rate, first amount, second amount, pause, second is taken)
    (10.0, 10, 1, 0, False),
    (10.0, 10, 1, 100, True),
    (10.0, 25, 1, 1_500, False),  # an amount above the burst leaves a debt
    (10.0, 25, 1, 1_600, True),
    (0.0, 1, 1, 10**6, False),
]


@pytest.mark.parametrize(("rate", "first", "second", "pause_ms", "taken"), BUCKET_CASES)
def test_bucket(rate, first, second, pause_ms, taken):
    bucket = TokenBucket(rate, 1.0, Instant(0, 0))
    bucket.try_take(first, Instant(0, 0))
    assert bucket.try_take(second, Instant(0, pause_ms)).is_ok() is taken


def test_lowered_rate_takes_effect_on_what_was_saved():
    bucket = TokenBucket(100.0, 1.0, NOW)
    bucket.set_rate(10.0, NOW)
    assert bucket.try_take(10, NOW).is_ok()
    assert bucket.try_take(1, NOW).is_err()


def test_meter_follows_a_steady_rate_and_forgets_it():
    meter = DemandMeter(window_s=5.0)
    for number in range(300):
        meter.add(10, Instant(0, number * 100))
    assert meter.measure_per_s(Instant(0, 30_000)) == pytest.approx(100, rel=0.03)
    assert meter.measure_per_s(Instant(0, 60_000)) < 1
