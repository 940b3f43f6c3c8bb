"""Guards against goodput that collapses under overload and against noisy neighbours."""

import pytest

from waxwingbarrow.bench import _limits as limits
from waxwingbarrow.bench._limits import (
    CAPACITY_TOKENS_PER_S,
    LARGE_ACCOUNT,
    AdmissionScheduler,
    FifoScheduler,
    compare_isolation,
    compare_shares,
    make_arrivals,
    measure_goodput,
    run_scheduler,
)

SECONDS = 30


@pytest.mark.parametrize("load", limits.LOAD_FACTORS)
def test_goodput_stays_flat_under_overload_where_fifo_collapses(load):
    arrivals = make_arrivals({LARGE_ACCOUNT: load}, SECONDS, seed=9)
    ours = measure_goodput(run_scheduler(AdmissionScheduler(), arrivals), SECONDS)
    offered = sum(item.tokens for item in arrivals) / SECONDS / CAPACITY_TOKENS_PER_S
    assert ours >= 0.95 * min(offered, 1.0)
    if load >= 1.5:
        baseline_goodput = measure_goodput(
            run_scheduler(FifoScheduler(), arrivals), SECONDS
        )
        assert baseline_goodput < 0.5 * ours


@pytest.mark.parametrize("factor", [0.3, 3.0])
def test_wrong_first_estimate_of_the_capacity_is_corrected(factor):
    arrivals = make_arrivals({LARGE_ACCOUNT: 2.0}, SECONDS, seed=9)
    scheduler = AdmissionScheduler(factor * CAPACITY_TOKENS_PER_S)
    assert measure_goodput(run_scheduler(scheduler, arrivals), SECONDS) >= 0.9


def test_small_account_keeps_its_latency_beside_an_overloading_one():
    fifo, alone, served = compare_isolation(SECONDS)
    assert alone.ratio <= 1.25
    assert fifo.ratio < 0.5
    assert served.ratio == 1.0


def test_shares_by_demand_admit_more_than_static_division_within_the_limit():
    admitted, largest_sum = compare_shares(seconds=120)
    assert admitted.ratio > 1.1
    assert largest_sum.ours <= 1 + 1e-9
