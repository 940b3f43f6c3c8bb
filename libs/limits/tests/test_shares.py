"""Guards against hosts that together exceed an account's limit or leave it unused."""

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


def compute_share_of(host, demands, limit, reachable, host_count=None):
    peers = [
        PeerDemand(HostId(f"h{n}"), demand, NOW)
        for n, demand in enumerate(demands)
        if n != host and n in reachable
    ]
    return compute_share(
        limit, demands[host], peers, host_count or len(demands), NOW, POLICY
    )


DEMANDS = st.lists(st.floats(0, 1e6), min_size=1, max_size=9)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(DEMANDS, st.floats(1, 1e6), st.randoms(use_true_random=False))
def test_hosts_in_any_network_partition_stay_under_the_limit_together(
    demands, limit, rng
):
    hosts = range(len(demands))
    partition_of = [rng.randrange(3) for _ in hosts]
    groups = [
        {n for n in hosts if partition_of[n] == partition_of[host]} for host in hosts
    ]
    shares = [compute_share_of(host, demands, limit, groups[host]) for host in hosts]
    assert sum(shares) <= limit * (1 + 1e-9)
    # No part of the limit is left unused either.
    assert sum(shares) >= limit * (1 - 1e-9)
    for host in hosts:
        floor = limit / len(demands)
        assert shares[host] >= min(demands[host], floor) * (1 - 1e-9)
        if len(groups[host]) == 1:
            assert shares[host] == pytest.approx(floor)


def test_share_follows_demand_beyond_an_equal_division():
    demands = [900.0, 10.0, 10.0]
    share = compute_share_of(0, demands, 1_000.0, {0, 1, 2})
    equal_share = 1_000.0 / 3
    assert share >= demands[0] > equal_share


def test_host_with_stale_demand_counts_as_out_of_contact():
    old = Instant(0, NOW.mono_ms - POLICY.stale_ms)
    peers = [PeerDemand(HostId("b"), 0.0, old)]
    assert compute_share(100.0, 90.0, peers, 2, NOW, POLICY) == 50.0


def test_more_peers_than_known_hosts_do_not_exceed_the_limit():
    shares = [
        compute_share_of(n, [50.0, 60.0, 70.0], 90.0, {0, 1, 2}, 2) for n in range(3)
    ]
    assert sum(shares) == pytest.approx(90.0)


TAKES = st.lists(st.tuples(st.integers(0, 400), st.integers(1, 60)), max_size=60)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(TAKES)
def test_bucket_keeps_its_rate_and_a_retry_at_the_given_time_succeeds(takes):
    bucket = TokenBucket(100.0, 0.5, Instant(0, 0))
    mono_ms, taken = 0, 0
    for wait_ms, amount in takes:
        mono_ms += wait_ms
        now = Instant(0, mono_ms)
        result = bucket.try_take(amount, now)
        if isinstance(result, Err):
            retry_after_ms = int(result.err_value.retry_after_s * 1000) + 1
            mono_ms += retry_after_ms
            assert bucket.try_take(amount, Instant(0, mono_ms)).is_ok()
        taken += amount
        # The level may fall to -10: the largest amount is 60 and the burst is 50.
        assert taken <= 50 + 100 * mono_ms / 1000 + 10 + 1e-6


BUCKET_CASES = [
    # (rate per second, first amount, second amount, pause in ms, second is taken)
    (10.0, 10, 1, 0, False),
    (10.0, 10, 1, 100, True),
    (10.0, 25, 1, 1_500, False),  # above the capacity: the level is negative
    (10.0, 25, 1, 1_600, True),
    (0.0, 1, 1, 10**6, False),
]


@pytest.mark.parametrize(("rate", "first", "second", "pause_ms", "taken"), BUCKET_CASES)
def test_bucket_refills_at_its_rate(rate, first, second, pause_ms, taken):
    bucket = TokenBucket(rate, 1.0, Instant(0, 0))
    bucket.try_take(first, Instant(0, 0))
    assert bucket.try_take(second, Instant(0, pause_ms)).is_ok() is taken


def test_lowered_rate_reduces_the_saved_burst():
    bucket = TokenBucket(100.0, 1.0, NOW)
    bucket.set_rate(10.0, NOW)
    assert bucket.try_take(10, NOW).is_ok()
    assert bucket.try_take(1, NOW).is_err()


def test_meter_measures_a_steady_rate_and_decays_without_demand():
    meter = DemandMeter(window_s=5.0)
    for number in range(300):
        meter.add(10, Instant(0, number * 100))
    assert meter.measure_per_s(Instant(0, 30_000)) == pytest.approx(100, rel=0.03)
    assert meter.measure_per_s(Instant(0, 60_000)) < 1
