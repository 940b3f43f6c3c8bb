"""Guards against goodput that collapses under overload and against noisy neighbours."""

import pytest

from waxwingbarrow.bench import _limits as limits
from waxwingbarrow.bench._limits import (
    CAPACITY_TOKENS_PER_S,
    LARGE,
    ArrivalOrderGate,
    ControllerGate,
    compare_isolation,
    compare_shares,
    make_arrivals,
    measure_goodput,
    run_gate,
)

SECONDS = 30


@pytest.mark.parametrize("load", limits.LOADS)
def test_goodput_stays_flat_where_arrival_order_collapses(load):
    arrivals = make_arrivals({LARGE: load}, SECONDS, seed=9)
    ours = measure_goodput(run_gate(ControllerGate(), arrivals), SECONDS)
    offered = sum(item.tokens for item in arrivals) / SECONDS / CAPACITY_TOKENS_PER_S
    assert ours >= 0.95 * min(offered, 1.0)
    if load >= 1.5:
        theirs = measure_goodput(run_gate(ArrivalOrderGate(), arrivals), SECONDS)
        assert theirs < 0.5 * ours


@pytest.mark.parametrize("factor", [0.3, 3.0])
def test_wrong_first_estimate_of_the_capacity_is_corrected(factor):
    arrivals = make_arrivals({LARGE: 2.0}, SECONDS, seed=9)
    gate = ControllerGate(factor * CAPACITY_TOKENS_PER_S)
    assert measure_goodput(run_gate(gate, arrivals), SECONDS) >= 0.9


def test_small_account_keeps_its_latency_beside_a_flooding_one():
    arrival_order, alone, served = compare_isolation(SECONDS)
    assert alone.ratio <= 1.25
    assert arrival_order.ratio < 0.5
    assert served.ratio == 1.0


def test_shares_by_demand_admit_more_than_static_division_within_the_limit():
    admitted, largest_sum = compare_shares(seconds=120)
    assert admitted.ratio > 1.1
    assert largest_sum.ours <= 1 + 1e-9
