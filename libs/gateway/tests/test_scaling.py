"""Guards against wrong orders before the work has been measured.

Until then the initial workers are kept. If workers that were ordered count as initial
ones, the orders grow with each new holder of the duties.
"""

import asyncio

import attrs
import pytest
from result import Ok

from waxwingbarrow.capacity import ScalingPolicy, WorkerPool
from waxwingbarrow.core import (
    DataCentre,
    Instant,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.gateway.base._model import Scaling, Service, UpstreamEntry
from waxwingbarrow.gateway.duties._duties import Lease
from waxwingbarrow.gateway.duties._scaling import ScalingTask
from waxwingbarrow.gateway.requests._work_meter import WorkMeter
from waxwingbarrow.gateway.upstreams._fleet import Fleet

POOL = ServiceName("pool")
CENTRES = [DataCentre("a"), DataCentre("b"), DataCentre("c")]
SCALING = Scaling(
    min_workers=1,
    max_workers=30,
    boot_s=4.0,
    reclaimable_price=0.2,
    prices=dict.fromkeys(CENTRES, 1.0),
)


def at(ms):
    return Instant(ms, ms)


class FakeCloud:
    def __init__(self):
        self.ordered = {}

    async def order_workers(self, service, centre, count, reclaimable, token):
        self.ordered[WorkerPool(centre, reclaimable)] = count
        return Ok(None)


class Host:
    """A host that holds the duties and orders workers when told to."""

    def __init__(self):
        self.cloud = FakeCloud()
        self.fleet = Fleet()
        self.lease = Lease(3_000)
        self.coverage = 1.0
        self.is_rolling_out = False
        self.stopping_versions = set()
        self.work_meter = WorkMeter()
        self.task = ScalingTask(
            self.fleet,
            self.work_meter,
            self.cloud,
            self.lease,
            lambda: [Service(name=POOL, scaling=SCALING)],
            ScalingPolicy(),
            lambda now: True,
            lambda now: self.coverage,
            lambda service: self.is_rolling_out,
            lambda service, known: self.stopping_versions,
        )

    def register(
        self, centre, count, now, *, reclaimable=False, version="v1", **fields
    ):
        for number in range(count):
            upstream = UpstreamId(f"{centre}{reclaimable}{number}{version}")
            entry = UpstreamEntry(
                upstream=upstream,
                service=POOL,
                host="10.0.0.1",
                port=80,
                data_centre=centre,
                version=VersionName(version),
                reclaimable=reclaimable,
                **fields,
            )
            host = f"10.{CENTRES.index(centre)}.{int(reclaimable)}.{number}"
            self.fleet.put(attrs.evolve(entry, host=host), now)

    def order(self, now):
        # Holds the lease for longer than a new holder waits before it acts.
        for age_ms in (3_000, 2_000, 1_000, 0):
            self.lease.note_assignment(True, 1, at(now.mono_ms - age_ms))
        asyncio.run(self.task.step(1, now))
        return sum(self.cloud.ordered.values())


def test_a_later_holder_does_not_count_ordered_workers_as_initial():
    # Three holders within 12 s, before any traffic, each took the workers they found,
    # ordered ones included, for the initial ones and ordered 35, 62 and 67 workers.
    first, second = Host(), Host()
    for host in (first, second):
        for centre in CENTRES:
            host.register(centre, 10, at(0))
        host.task.note_initial_workers(at(0))
    ordered = first.order(at(4_000))
    for centre in CENTRES:
        second.register(centre, 10, at(6_000), reclaimable=True)
    second.task.note_initial_workers(at(6_000))
    assert second.order(at(9_000)) <= ordered


def test_registrations_read_a_moment_later_count_as_initial_workers():
    # The registrations are read in several steps; counting only the first ones would
    # order too few workers.
    host = Host()
    host.register(CENTRES[0], 10, at(0))
    host.task.note_initial_workers(at(0))
    for centre in CENTRES[1:]:
        host.register(centre, 10, at(500))
    host.task.note_initial_workers(at(500))
    assert host.order(at(4_000)) >= 28


def test_nothing_is_ordered_before_any_worker_is_known():
    host = Host()
    host.task.note_initial_workers(at(0))
    assert host.order(at(4_000)) == 0


def make_host_with_measured_work(now_ms):
    host = Host()
    for centre in CENTRES:
        host.register(centre, 10, at(0))
    host.task.note_initial_workers(at(0))
    for ms in range(0, now_ms, 100):
        host.work_meter.add(POOL, 450.0, at(ms))
    return host


def test_no_worker_is_returned_while_the_work_of_most_hosts_is_unknown():
    # Relays that did not hear each other saw the work of a fifth of 195 hosts, and the
    # holder of the duties gave back four fifths of the workers.
    host = make_host_with_measured_work(20_000)
    ordered = host.order(at(20_000))
    assert ordered >= 10
    host.coverage = 0.2
    assert host.order(at(40_000)) >= ordered
    host.coverage = 1.0
    assert host.order(at(60_000)) < ordered


@pytest.mark.parametrize("coverage", [0.0, 0.2, 0.57])
def test_a_new_holder_keeps_the_workers_before_it_knows_the_work_of_most_hosts(
    coverage,
):
    host = make_host_with_measured_work(20_000)
    host.coverage = coverage
    host.order(at(20_000))
    # A pool without an order keeps the workers that it has.
    ready = {WorkerPool(centre, False): 10 for centre in CENTRES}
    assert sum((ready | host.cloud.ordered).values()) >= 30


def test_a_new_holder_orders_more_workers_while_a_data_centre_is_silent():
    # In a deployment of three data centres the loss of one leaves less than the
    # coverage at which workers are returned; lost workers must be replaced meanwhile.
    host = make_host_with_measured_work(20_000)
    host.coverage = 0.57
    for ms in range(15_000, 20_000, 10):
        host.work_meter.add(POOL, 450.0, at(ms))
    assert host.order(at(20_000)) > 40


def test_workers_of_a_new_version_are_not_returned_during_its_rollout():
    """The platform starts them beside the old ones, as many as these are.

    Returning them left a completed version without workers.
    """
    host = Host()
    for centre in CENTRES:
        host.register(centre, 4, at(0))
    host.task.note_initial_workers(at(0))
    host.order(at(4_000))
    host.cloud.ordered.clear()
    for centre in CENTRES:
        host.register(centre, 9, at(12_000), reclaimable=True)
        host.register(centre, 20, at(12_000))
    host.is_rolling_out = True
    host.order(at(13_000))
    ready = host.task._count_workers(POOL, at(13_000)).present
    assert all(count >= ready[pool] for pool, count in host.cloud.ordered.items())
    host.is_rolling_out = False
    host.order(at(13_250))
    assert any(count < ready.get(pool, 0) for pool, count in host.cloud.ordered.items())


def test_workers_that_the_platform_is_about_to_stop_do_not_count():
    # Guards against a completed version without workers: on `under-load` the extra
    # workers were returned as the rollout was completed, new ones among them, and the
    # platform stopped the old ones at the same moment.
    host = make_host_with_measured_work(20_000)
    for centre in CENTRES:
        host.register(centre, 4, at(12_000), version="v2")
    host.is_rolling_out = True
    host.order(at(19_000))
    host.is_rolling_out = False
    host.stopping_versions = {VersionName("v1")}
    host.cloud.ordered.clear()
    host.order(at(20_000))
    kept = {WorkerPool(centre, False): 4 for centre in CENTRES}
    assert all(count >= kept.get(pool, 0) for pool, count in host.cloud.ordered.items())


COLD = Service(name=POOL, scaling=SCALING, cold_start_s=20.0, cold_limit_per_s=5.0)


def make_host_with_cold_workers(work_ms=9.0):
    """Return a host with three warm workers and nine cold ones in each data centre."""
    host = Host()
    host.fleet.notices.cold.set_services([COLD])
    for centre in CENTRES:
        host.register(centre, 3, at(0))
        host.register(centre, 9, at(0), reclaimable=True, cold_left_ms=60_000)
    host.task.note_initial_workers(at(0))
    for ms in range(0, 20_000, 10):
        host.work_meter.add(POOL, work_ms, at(ms))
    return host


def test_cold_workers_count_as_what_they_can_do_now():
    # A worker that does 450 ms of work per second gets 5 requests of 36 ms while cold.
    host = make_host_with_cold_workers(36.0)
    counts = host.task._count_workers(POOL, at(20_000))
    pool = WorkerPool(CENTRES[0], True)
    assert counts.present[pool] == 9
    assert counts.ready[pool] == int(9 * 5.0 * 36.0 / 450.0)
    assert counts.warming[pool] == 6
    warm = host.task._count_workers(POOL, at(60_000))
    assert warm.ready == warm.present


def test_on_demand_workers_are_kept_until_reclaimable_ones_are_warm():
    # Guards against a service that has only cold workers left.
    host = make_host_with_cold_workers()
    host.order(at(20_000))
    on_demand = [host.cloud.ordered.get(WorkerPool(c, False), 3) for c in CENTRES]
    host.cloud.ordered.clear()
    for ms in range(20_000, 61_000, 10):
        host.work_meter.add(POOL, 9.0, at(ms))
    host.order(at(61_000))
    later = [host.cloud.ordered.get(WorkerPool(c, False), 3) for c in CENTRES]
    assert sum(on_demand) > sum(later)


def test_no_workers_are_ordered_in_place_of_cold_ones():
    # They would be cold for longer than those. Worker-seconds are the largest cost.
    host = make_host_with_cold_workers()
    host.order(at(20_000))
    warm = make_host_with_cold_workers()
    warm.fleet.notices.cold.set_services([])
    warm.order(at(20_000))
    reclaimable = [WorkerPool(centre, True) for centre in CENTRES]
    assert [host.cloud.ordered.get(p) for p in reclaimable] == [
        warm.cloud.ordered.get(p) for p in reclaimable
    ]
    on_demand = [WorkerPool(centre, False) for centre in CENTRES]
    assert all(host.cloud.ordered.get(p, 3) <= 3 for p in on_demand)


def test_a_worker_that_turns_cold_again_is_not_ordered_again():
    # It would also be taken for a lost one, which is replaced at once.
    host = Host()
    host.fleet.notices.cold.set_services([COLD])
    host.register(CENTRES[0], 1, at(0))
    for centre in CENTRES:
        host.register(centre, 3, at(0), reclaimable=True)
    host.task.note_initial_workers(at(0))
    for ms in range(0, 21_000, 10):
        host.work_meter.add(POOL, 27.0, at(ms))
    host.order(at(20_000))
    host.cloud.ordered.clear()
    for upstream in host.fleet.upstreams.values():
        if upstream.entry.reclaimable:
            cold = host.fleet.notices.cold
            cold.note_response(upstream.process, 30_000, at(20_500))
    host.order(at(20_900))
    assert host.cloud.ordered == {}
