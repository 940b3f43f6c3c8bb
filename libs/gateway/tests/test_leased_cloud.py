"""Guards against calls to the cloud after the lease has gone to another host.

Some platforms do not check fencing tokens. A holder of the duties that waited for a
slow cloud went on with its next orders after its lease had ended.
"""

import asyncio

import attrs
import pytest
from result import Err, Ok

from waxwingbarrow.capacity import ScalingPolicy
from waxwingbarrow.core import (
    DataCentre,
    Instant,
    ManualClock,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.gateway.base._model import Scaling, Service, UpstreamEntry
from waxwingbarrow.gateway.base._ports import LeaseEnded
from waxwingbarrow.gateway.duties._duties import LEASE_MARGIN_MS, Lease
from waxwingbarrow.gateway.duties._leased_cloud import LeasedCloud
from waxwingbarrow.gateway.duties._scaling import ScalingTask
from waxwingbarrow.gateway.requests._work_meter import WorkMeter
from waxwingbarrow.gateway.upstreams._fleet import Fleet

POOL = ServiceName("pool")
CENTRES = [DataCentre(name) for name in "abcdef"]
TTL_MS = 2_000
TOKEN = 7


@attrs.define
class SlowCloud:
    """Cloud whose answers take a while, by the clock of the test."""

    clock: ManualClock
    answer_ms: int
    call_times_ms: list[int] = attrs.Factory(list)
    ended: int = 0

    async def order_workers(self, service, centre, count, reclaimable, token):
        self.call_times_ms.append(self.clock.now().mono_ms)
        self.clock.advance_ms(self.answer_ms)
        return Ok(None)

    async def report_usage(self, window, counts, token):
        self.call_times_ms.append(self.clock.now().mono_ms)
        try:
            await asyncio.sleep(self.answer_ms / 1000)
        except asyncio.CancelledError:
            self.ended += 1
            raise
        return Ok(None)


def make_lease(now_ms):
    lease = Lease(3_000, TTL_MS)
    for age_ms in (4_000, 3_000, 2_000, 1_000, 0):
        lease.note_assignment(True, TOKEN, Instant(now_ms - age_ms, now_ms - age_ms))
    return lease


def make_scaling_task(cloud, lease):
    fleet = Fleet()
    for number, centre in enumerate(CENTRES * 3):
        fleet.put(
            UpstreamEntry(
                upstream=UpstreamId(f"u{number}"),
                service=POOL,
                host=f"10.0.0.{number}",
                port=80,
                data_centre=centre,
                version=VersionName("v1"),
            ),
            Instant(0, 0),
        )
    scaling = Scaling(
        min_workers=1,
        max_workers=30,
        boot_s=4.0,
        reclaimable_price=0.2,
        prices=dict.fromkeys(CENTRES, 1.0),
    )
    task = ScalingTask(
        fleet,
        WorkMeter(),
        cloud,
        lease,
        lambda: [Service(name=POOL, scaling=scaling)],
        ScalingPolicy(),
        lambda now: True,
        lambda now: 1.0,
        lambda service: False,
        lambda service, known: (),
    )
    task.note_initial_workers(Instant(0, 0))
    return task


@pytest.mark.parametrize("answer_ms", [100, 500, 1_200])
async def test_orders_to_a_slow_cloud_stop_at_the_end_of_the_lease(answer_ms):
    clock = ManualClock(10_000, 10_000)
    cloud = SlowCloud(clock, answer_ms)
    lease = make_lease(10_000)
    task = make_scaling_task(LeasedCloud(cloud, lease, clock), lease)
    await task.step(TOKEN, clock.now())
    assert cloud.call_times_ms
    assert max(cloud.call_times_ms) < 10_000 + TTL_MS - LEASE_MARGIN_MS


async def test_a_call_ends_with_the_lease():
    """Bytes that wait in a cut connection must not be delivered when it heals."""
    clock = ManualClock(10_000, 10_000)
    lease = make_lease(10_000)
    clock.advance_ms(TTL_MS - LEASE_MARGIN_MS - 30)
    cloud = SlowCloud(clock, 5_000)
    result = await LeasedCloud(cloud, lease, clock).report_usage(1, {}, TOKEN)
    assert result == Err(LeaseEnded(sent=True))
    assert cloud.ended == 1


@pytest.mark.parametrize("woken_after_ms", [TTL_MS, 20_000])
async def test_a_host_that_wakes_after_its_lease_calls_nothing(woken_after_ms):
    clock = ManualClock(10_000, 10_000)
    lease = make_lease(10_000)
    clock.advance_ms(woken_after_ms)
    cloud = SlowCloud(clock, 10)
    leased = LeasedCloud(cloud, lease, clock)
    assert await leased.report_usage(1, {}, TOKEN) == Err(LeaseEnded(sent=False))
    assert cloud.call_times_ms == []


async def test_a_token_of_an_earlier_lease_is_not_used():
    clock = ManualClock(10_000, 10_000)
    lease = make_lease(10_000)
    cloud = SlowCloud(clock, 10)
    leased = LeasedCloud(cloud, lease, clock)
    assert await leased.report_usage(1, {}, TOKEN - 1) == Err(LeaseEnded(sent=False))
    assert await leased.report_usage(1, {}, TOKEN) == Ok(None)
