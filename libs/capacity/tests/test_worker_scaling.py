"""Guards against shortages after a reclaim, repeated orders and needless workers."""

import attrs
import pytest

from waxwingbarrow.capacity import (
    ScalingNeed,
    ScalingPolicy,
    ScalingState,
    WorkerPool,
    compute_desired_workers,
    plan_scaling,
)
from waxwingbarrow.core import DataCentre, Instant, ServiceName

A, B, C, D = (DataCentre(name) for name in "abcd")
PRICES = {A: 1.0, B: 0.8, C: 1.25, D: 0.9}
NEED = ScalingNeed(
    service=ServiceName("pool"),
    busy_workers=4.0,
    min_workers=1,
    max_workers=5,
    boot_s=4.0,
    prices=PRICES,
    reclaimable_price=0.2,
)
POLICY = ScalingPolicy()
NOW = Instant(100_000, 100_000)


def make_state(ready=None, ordered=None, refused_at=None):
    return ScalingState(
        ready=ready or {}, ordered=ordered or {}, refused_at=refused_at or {}
    )


def make_steady_state():
    desired = compute_desired_workers(NEED, POLICY)
    ordered = {pool: (count, Instant(0, 0)) for pool, count in desired.items()}
    return make_state(dict(desired), ordered)


@pytest.mark.parametrize("lost", [A, B, C, D])
def test_losing_the_reclaimable_workers_of_one_data_centre_leaves_enough(lost):
    desired = compute_desired_workers(NEED, POLICY)
    remaining = sum(n for pool, n in desired.items() if pool != WorkerPool(lost, True))
    assert remaining >= NEED.busy_workers


@pytest.mark.parametrize("busy", [0.0, 0.5, 3.0, 9.0, 100.0])
def test_worker_limits_hold_in_every_data_centre(busy):
    desired = compute_desired_workers(attrs.evolve(NEED, busy_workers=busy), POLICY)
    for centre in PRICES:
        count = sum(desired.get(WorkerPool(centre, kind), 0) for kind in (True, False))
        assert NEED.min_workers <= count <= NEED.max_workers


@pytest.mark.parametrize("busy", [4.0, 9.0, 100.0])
@pytest.mark.parametrize("ready_reclaimable", [0, 3])
def test_worker_limits_hold_while_reclaimable_workers_are_refused(
    busy, ready_reclaimable
):
    """Replacing refused workers by on-demand ones must not exceed the limit."""
    need = attrs.evolve(NEED, busy_workers=busy)
    reclaimable = [WorkerPool(centre, True) for centre in PRICES]
    state = make_state(
        ready=dict.fromkeys(reclaimable, ready_reclaimable),
        ordered={pool: (5, Instant(90_000, 90_000)) for pool in reclaimable},
        refused_at=dict.fromkeys(reclaimable, Instant(95_000, 95_000)),
    )
    targets = {pool: count for pool, (count, _) in state.ordered.items()}
    targets |= {o.pool: o.count for o in plan_scaling(need, state, POLICY, NOW)}
    desired = compute_desired_workers(need, POLICY, PRICES)
    for centre in PRICES:
        on_demand = targets.get(WorkerPool(centre, False), 0)
        pool = WorkerPool(centre, True)
        assert on_demand + targets[pool] <= need.max_workers
        assert targets[pool] >= min(ready_reclaimable, desired[pool])


def test_nothing_is_ordered_while_the_workers_match_the_need():
    assert plan_scaling(NEED, make_steady_state(), POLICY, NOW) == []


def test_on_demand_workers_stay_until_reclaimable_ones_serve():
    state = make_state({WorkerPool(centre, False): 2 for centre in PRICES})
    orders = plan_scaling(NEED, state, POLICY, NOW)
    on_demand = {o.pool: o.count for o in orders if not o.pool.reclaimable}
    kept = sum(on_demand.get(WorkerPool(c, False), 2) for c in PRICES)
    assert kept >= NEED.busy_workers
    assert any(order.pool.reclaimable and order.count for order in orders)


def test_on_demand_workers_replace_reclaimed_ones_that_are_unavailable():
    state = make_steady_state()
    ready = {pool: n for pool, n in state.ready.items() if not pool.reclaimable}
    ready[WorkerPool(A, True)] = 1
    refused = {pool: NOW for pool in state.ready if pool.reclaimable}
    orders = plan_scaling(
        NEED, attrs.evolve(state, ready=ready, refused_at=refused), POLICY, NOW
    )
    ordered_on_demand = sum(
        order.count for order in orders if not order.pool.reclaimable
    )
    assert ordered_on_demand + 1 >= NEED.busy_workers


@pytest.mark.parametrize("first", [A, B, C, D])
def test_a_second_reclaim_after_a_refused_order_leaves_enough(first):
    # Guards against a shortage when data centres are reclaimed one after another. In
    # one run, the workers of four data centres were reclaimed within 7 s, and none were
    # ordered where some were still available.
    state = make_steady_state()
    ready = {
        pool: n for pool, n in state.ready.items() if pool != WorkerPool(first, True)
    }
    state = attrs.evolve(state, ready=ready, refused_at={WorkerPool(first, True): NOW})
    for order in plan_scaling(NEED, state, POLICY, NOW):
        ready[order.pool] = order.count
    for second in set(PRICES) - {first}:
        remaining = sum(
            n for pool, n in ready.items() if pool != WorkerPool(second, True)
        )
        assert remaining >= NEED.busy_workers


def make_reclaimed(lost, seconds_since_order):
    """Return a state in which workers that were ready were reclaimed at once."""
    desired = compute_desired_workers(NEED, POLICY)
    ordered_ms = NOW.mono_ms - int(seconds_since_order * 1000)
    ordered_at = Instant(ordered_ms, ordered_ms)
    ready = {
        pool: 0 if pool in {WorkerPool(centre, True) for centre in lost} else count
        for pool, count in desired.items()
    }
    return ScalingState(
        ready=ready,
        ordered={pool: (count, ordered_at) for pool, count in desired.items()},
        refused_at={},
        most_ready=desired,
    )


@pytest.mark.parametrize("seconds_since_order", [1, 60])
def test_a_reclaim_wave_is_answered_at_once(seconds_since_order):
    """Pattern: a wave takes all reclaimable workers of some data centres.

    Guards against lost workers that count as starting because they were ordered a
    moment before, so that nothing replaces them for seconds.
    """
    state = make_reclaimed((A, B, C), seconds_since_order)
    orders = plan_scaling(NEED, state, POLICY, NOW)
    assert {order.pool for order in orders} >= {WorkerPool(c, True) for c in (A, B, C)}
    # They may be available; on-demand workers are ordered if they are not.
    assert all(order.pool.reclaimable for order in orders)
    refused_at = {order.pool: NOW for order in orders}
    now = NOW.plus_ms(250)
    refused = attrs.evolve(state, refused_at=refused_at)
    replacing = [o for o in plan_scaling(NEED, refused, POLICY, now)]
    on_demand = sum(o.count for o in replacing if not o.pool.reclaimable)
    remaining = sum(state.ready.values())
    assert on_demand + remaining >= NEED.busy_workers


def test_workers_that_are_returned_do_not_count_as_lost():
    pool = WorkerPool(A, True)
    desired = compute_desired_workers(NEED, POLICY)
    state = make_steady_state()
    most_ready = {**desired, pool: desired[pool] + 3}
    assert not plan_scaling(
        NEED, attrs.evolve(state, most_ready=most_ready), POLICY, NOW
    )


def test_starting_workers_are_not_also_ordered_as_on_demand_ones():
    # Guards against paying twice for the same capacity: all reclaimable workers are
    # lost, those of A, B and C are starting again, and D has refused the order.
    state = make_steady_state()
    ready = {pool: n for pool, n in state.ready.items() if not pool.reclaimable}
    ordered = dict(state.ordered)
    for centre in (A, B, C):
        ordered[WorkerPool(centre, True)] = (5, NOW)
    refused = {WorkerPool(D, True): NOW}
    state = ScalingState(ready=ready, ordered=ordered, refused_at=refused)
    orders = plan_scaling(NEED, state, POLICY, NOW.plus_ms(500))
    assert not any(o.count > 1 for o in orders if not o.pool.reclaimable)


def test_a_refused_order_is_retried_after_the_retry_delay():
    state = make_steady_state()
    pool = WorkerPool(A, True)
    ready = {**state.ready, pool: 0}
    ordered = {**state.ordered, pool: (state.ready[pool], Instant(0, 0))}
    refused = {pool: NOW}
    state = ScalingState(ready=ready, ordered=ordered, refused_at=refused)
    at_once = plan_scaling(NEED, state, POLICY, NOW)
    later = plan_scaling(NEED, state, POLICY, NOW.plus_ms(2_500))
    assert pool not in {order.pool for order in at_once}
    assert pool in {order.pool for order in later}


def test_a_booting_worker_is_not_ordered_again():
    state = make_steady_state()
    pool = WorkerPool(A, True)
    ready = {**state.ready, pool: 0}
    ordered = {**state.ordered, pool: (state.ready[pool], NOW)}
    state = ScalingState(ready=ready, ordered=ordered, refused_at={})
    orders = plan_scaling(NEED, state, POLICY, NOW.plus_ms(1_000))
    assert pool not in {order.pool for order in orders}


def test_a_service_without_reclaimable_workers_gets_on_demand_ones():
    need = attrs.evolve(NEED, reclaimable_price=None)
    desired = compute_desired_workers(need, POLICY)
    assert not any(pool.reclaimable for pool in desired)
    assert sum(desired.values()) >= need.busy_workers
