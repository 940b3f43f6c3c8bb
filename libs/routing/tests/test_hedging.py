"""Guards against hedges that add load when capacity is scarce, or gain nothing."""

import attrs
import pytest

from waxwingbarrow.core import DataCentre, Instant, UpstreamId
from waxwingbarrow.routing import (
    AttemptTimes,
    HedgePolicy,
    HedgeRefusal,
    RetryBudget,
    SlowAttempt,
    WorkerView,
    compute_hedge_delay_ms,
    find_hedge_refusal,
)

POLICY = HedgePolicy(extra_share=0.1)
FREE = WorkerView(
    upstream=UpstreamId("i-2"), data_centre=DataCentre("vom"), slots=4, running=3
)
SLOW = SlowAttempt(
    elapsed_ms=150.0,
    expected_ms=50.0,
    remaining_ms=200.0,
    objective_ms=300.0,
    left_ms=2_000.0,
)


def test_a_slow_request_is_hedged_while_there_is_capacity():
    assert find_hedge_refusal(SLOW, FREE, 0.0, POLICY) is None


@pytest.mark.parametrize("busy", [{"running": 4}, {"is_suspect": True}])
def test_no_hedge_takes_a_slot_that_others_wait_for(busy):
    # With all slots in use, a hedge delays the requests that are not hedged.
    second = attrs.evolve(FREE, **busy)
    assert find_hedge_refusal(SLOW, second, 0.0, POLICY) is HedgeRefusal.NO_SLOT


def test_no_hedge_waits_longer_than_the_first_attempt():
    # A long queue for prompts everywhere makes each request slow, and each hedge too.
    refusal = find_hedge_refusal(SLOW, FREE, 200.0, POLICY)
    assert refusal is HedgeRefusal.STARTS_TOO_LATE


def test_no_hedge_is_sent_that_misses_the_objective_like_the_first_attempt():
    late = attrs.evolve(SLOW, elapsed_ms=290.0)
    assert find_hedge_refusal(late, FREE, 0.0, POLICY) is HedgeRefusal.NO_GAIN


def test_a_hedge_shortens_a_request_that_misses_the_objective_by_far():
    # A stalled upstream would otherwise keep the caller until the timeout.
    stalled = attrs.evolve(SLOW, elapsed_ms=290.0, remaining_ms=500.0)
    assert find_hedge_refusal(stalled, FREE, 0.0, POLICY) is None


def test_no_hedge_is_sent_that_cannot_end_before_the_deadline():
    short = attrs.evolve(SLOW, left_ms=50.0)
    assert find_hedge_refusal(short, FREE, 0.0, POLICY) is HedgeRefusal.NO_GAIN


def test_fast_requests_are_not_hedged_for_the_variation_of_a_busy_host():
    assert compute_hedge_delay_ms(1.0, POLICY) == 20.0
    assert compute_hedge_delay_ms(100.0, POLICY) == 300.0


def test_the_remaining_time_is_that_of_slow_requests():
    # With the mean over all requests, the remaining time would be negative after the
    # delay, and no hedge would ever start early enough.
    times = AttemptTimes(min_times=20)
    for _ in range(18):
        times.record("read", 10.0)
    assert times.find_mean_ms("read") is None
    times.record("read", 600.0)
    times.record("read", 1_000.0)
    assert times.find_mean_ms("read") == pytest.approx(89.0)
    assert times.estimate_remaining_ms("read", 100.0) == pytest.approx(700.0)
    assert times.estimate_remaining_ms("read", 2_000.0) == 2_000.0


def test_the_recorded_times_are_bounded_and_follow_the_recent_ones():
    times = AttemptTimes(max_times=50, min_times=1)
    for _ in range(100):
        times.record("read", 1_000.0)
    for _ in range(50):
        times.record("read", 10.0)
    assert times.find_mean_ms("read") == pytest.approx(10.0)


def send_requests(budget, per_second, seconds, hedge_share, extra_share=1.0):
    """Return the hedges sent when this fraction of the requests asks for one."""
    hedges = 0
    for second in range(seconds):
        wanted = 0.0
        for number in range(per_second):
            now = Instant(0, second * 1_000 + number * 1_000 // per_second)
            budget.record_request(now)
            wanted += hedge_share
            if wanted >= 1:
                wanted -= 1
                hedges += budget.try_spend_hedge(extra_share, now) is None
    return hedges


@pytest.mark.parametrize("per_second", [2, 20, 200])
@pytest.mark.parametrize("extra_share", [0.01, 0.05, 1.0])
def test_hedges_stay_within_their_share_and_half_of_the_retries(
    per_second, extra_share
):
    # A slow phase of all upstreams makes every request ask for a hedge.
    budget = RetryBudget(retry_ratio=0.14, window_s=10, min_retries=1)
    hedges = send_requests(budget, per_second, 10, 1.0, extra_share)
    requests = per_second * 10
    assert hedges <= extra_share * requests
    assert hedges <= 0.5 * max(0.14 * requests, 1)
    if per_second >= 20 and extra_share == 0.05:
        assert hedges >= 0.5 * extra_share * requests


@pytest.mark.parametrize("per_second", [20, 200])
def test_failures_find_half_of_the_retry_budget_after_hedges(per_second):
    # Upstreams are often slow before they fail; hedges must not take the retries.
    budget = RetryBudget(retry_ratio=0.14, window_s=10, min_retries=1)
    send_requests(budget, per_second, 10, 1.0)
    retries = sum(budget.try_spend(Instant(0, 9_999)) for _ in range(1_000))
    assert retries >= 0.5 * 0.14 * per_second - 1


def test_no_hedge_is_sent_while_failures_use_the_retries():
    budget = RetryBudget(retry_ratio=0.14, window_s=10, min_retries=4)
    for _ in range(100):
        budget.record_request(Instant(0, 0))
    for _ in range(7):
        assert budget.try_spend(Instant(0, 0))
    refusal = budget.try_spend_hedge(1.0, Instant(0, 0))
    assert refusal is HedgeRefusal.RETRY_RESERVE


def test_no_hedge_is_sent_with_a_share_of_zero():
    budget = RetryBudget(retry_ratio=1.0, min_retries=10)
    assert send_requests(budget, 100, 1, 1.0, extra_share=0.0) == 0
