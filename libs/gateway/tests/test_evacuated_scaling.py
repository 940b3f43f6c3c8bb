"""Guards against missing workers, and against orders to an evacuated data centre.

Its workers get no requests, so the others lack capacity from the moment of the order.
"""

import asyncio

import pytest
from evacuation_hosts import POOL, make_entry
from result import Ok

from waxwingbarrow.capacity import ScalingPolicy, WorkerPool
from waxwingbarrow.core import DataCentre, Instant, UpstreamId
from waxwingbarrow.gateway.base._model import Scaling, Service
from waxwingbarrow.gateway.duties._duties import Lease
from waxwingbarrow.gateway.duties._scaling import ScalingTask, _ServiceOrders
from waxwingbarrow.gateway.requests._work_meter import WorkMeter
from waxwingbarrow.gateway.upstreams._fleet import Fleet

CENTRES = [DataCentre(name) for name in "abc"]
EVACUATED = DataCentre("b")
WORKERS = 10


def at(ms):
    return Instant(ms, ms)


class Holder:
    """Holder of the duties, with workers in three data centres.

    `orders` holds data centre, kind and number of the workers of each order.
    """

    def __init__(self, reclaimable_price=0.2, coverage=1.0):
        self.orders = []
        self.fleet = Fleet()
        self.lease = Lease(3_000)
        self.work_meter = WorkMeter()
        scaling = Scaling(
            min_workers=1,
            max_workers=60,
            boot_s=4.0,
            reclaimable_price=reclaimable_price,
            # The evacuated one is the cheapest, where workers are ordered first.
            prices={centre: 1.0 - 0.1 * (centre == EVACUATED) for centre in CENTRES},
        )
        self.task = ScalingTask(
            self.fleet,
            self.work_meter,
            self,
            self.lease,
            lambda: [Service(name=POOL, scaling=scaling)],
            ScalingPolicy(),
            lambda now: True,
            lambda now: coverage,
            lambda service: False,
            lambda service, known: (),
        )
        self.is_reclaimable = reclaimable_price is not None
        for centre in CENTRES:
            for number in range(WORKERS):
                name = f"u-{centre}-{number}"
                entry = make_entry(name, centre, reclaimable=self.is_reclaimable)
                self.fleet.put(entry, at(0))

    async def order_workers(self, service, centre, count, reclaimable, token):
        self.orders.append((centre, reclaimable, count))
        return Ok(None)

    def work(self, since_ms, until_ms, busy_workers=15):
        for ms in range(since_ms, until_ms, 100):
            self.work_meter.add(POOL, busy_workers * 45.0, at(ms))

    def step(self, ms):
        """Run the task; return the orders that it sends."""
        before = len(self.orders)
        for age_ms in (3_000, 2_000, 1_000, 0):
            self.lease.note_assignment(True, 1, at(ms - age_ms))
        self.task.note_initial_workers(at(ms))
        asyncio.run(self.task.step(1, at(ms)))
        return self.orders[before:]

    def count_ordered(self):
        """Return the number of workers ordered last, by data centre."""
        newest = {(centre, kind): count for centre, kind, count in self.orders}
        totals = dict.fromkeys(CENTRES, 0)
        for (centre, _), count in newest.items():
            totals[centre] += count
        return totals


def make_settled_holder(**fields):
    holder = Holder(**fields)
    holder.step(0)
    holder.work(0, 20_000)
    for ms in range(1_000, 20_000, 1_000):
        holder.step(ms)
    return holder


@pytest.mark.parametrize("reclaimable_price", [0.2, None])
def test_missing_workers_are_ordered_elsewhere_at_once(reclaimable_price):
    holder = make_settled_holder(reclaimable_price=reclaimable_price)
    before = holder.count_ordered()
    holder.fleet.evacuations.note_order(EVACUATED, 1, at(20_000))
    orders = holder.step(20_100)
    assert orders
    assert {centre for centre, _, _ in orders} == {"a", "c"}
    after = holder.count_ordered()
    assert after["a"] + after["c"] >= sum(before.values())


def test_workers_of_an_evacuated_data_centre_are_neither_ordered_nor_returned():
    holder = make_settled_holder()
    holder.fleet.evacuations.note_order(EVACUATED, 1, at(20_000))
    holder.work(20_000, 30_000)
    orders = []
    for ms in range(20_000, 90_000, 1_000):
        # Its workers are lost one by one, and later there is no work at all.
        if ms % 7_000 == 0:
            holder.fleet.remove(UpstreamId(f"u-b-{ms // 7_000 % WORKERS}"), at(ms))
        orders += holder.step(ms)
    assert orders
    assert EVACUATED not in {centre for centre, _, _ in orders}


def test_the_extra_workers_are_returned_after_the_order_is_revoked():
    holder = make_settled_holder()
    before = holder.count_ordered()
    holder.fleet.evacuations.note_order(EVACUATED, 1, at(20_000))
    holder.work(20_000, 60_000)
    for ms in range(20_000, 40_000, 1_000):
        holder.step(ms)
    holder.fleet.evacuations.note_revocation(EVACUATED, at(40_000))
    for ms in range(40_000, 60_000, 1_000):
        holder.step(ms)
    assert holder.count_ordered() == before


def test_workers_that_were_lost_in_the_evacuation_are_ordered_after_it():
    holder = make_settled_holder()
    holder.fleet.evacuations.note_order(EVACUATED, 1, at(20_000))
    for number in range(WORKERS):
        holder.fleet.remove(UpstreamId(f"u-b-{number}"), at(21_000))
    holder.work(20_000, 60_000)
    holder.step(22_000)
    holder.fleet.evacuations.note_revocation(EVACUATED, at(40_000))
    orders = holder.step(40_100)
    assert any(count > 0 for centre, _, count in orders if centre == EVACUATED)


@pytest.mark.parametrize(("coverage", "starts_ms"), [(1.0, 4_000), (0.2, 20_000)])
def test_a_holder_that_starts_during_an_evacuation_replaces_the_workers(
    coverage, starts_ms
):
    # It does not know the work of most hosts, so it keeps as many workers as it finds,
    # of which those that are evacuated are of no use.
    holder = Holder(coverage=coverage)
    holder.fleet.evacuations.note_order(EVACUATED, 1, at(0))
    holder.task.note_initial_workers(at(0))
    holder.work(0, starts_ms, busy_workers=0.1)
    holder.step(starts_ms)
    ordered = holder.count_ordered()
    assert ordered[EVACUATED] == 0
    # The capacity of 30 workers, of which a third is spare for the loss of one centre.
    assert min(ordered["a"], ordered["c"]) >= 2 * WORKERS - 2


def test_an_evacuated_worker_does_not_count_as_ready():
    holder = Holder()
    holder.fleet.evacuations.note_order(EVACUATED, 1, at(0))
    state = holder.task._measure_state(POOL, _ServiceOrders(), at(0))
    kind = holder.is_reclaimable
    assert state.ready == {
        WorkerPool(c, kind): WORKERS for c in CENTRES if c != EVACUATED
    }
