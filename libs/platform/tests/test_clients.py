"""Guards against stale or malformed host lists and instances started twice."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import attrs
import pytest
from result import Err, Ok

from waxwingbarrow.core import DataCentre, SystemClock, Zone
from waxwingbarrow.platform import (
    HostList,
    HostPoller,
    HostState,
    HttpCloudClient,
    HttpHostListClient,
    HttpSession,
    HttpWeightStoreClient,
    InstanceRequest,
    NotSent,
    PollPolicy,
    Refused,
    Unavailable,
    Unsettled,
    Weights,
)
from waxwingbarrow.standins import (
    PlatformFaults,
    PlatformSettings,
    PlatformStandin,
    serve,
)

HOST = {
    "host": "h1",
    "address": "127.0.0.1:1",
    "data_centre": "d1",
    "zone": "z1",
    "kind": "engine",
    "state": "live",
    "price_per_hour": 2,
    "incarnation": "5-1",
    "a_field_of_a_later_release": 1,
}
REQUEST = InstanceRequest(
    request_id="r1",
    kind="reclaimable",
    data_centre=DataCentre("d1"),
    zone=Zone("z1"),
)


@attrs.define
class Rig:
    platform: PlatformStandin
    hosts: HttpHostListClient
    weights: HttpWeightStoreClient
    cloud: HttpCloudClient


@contextlib.asynccontextmanager
async def open_rig(settings: PlatformSettings | None = None) -> AsyncIterator[Rig]:
    platform = PlatformStandin(settings)
    session = HttpSession(caller="host-1")
    async with serve(platform.make_app()) as address:
        yield Rig(
            platform,
            HttpHostListClient(session, address, 200),
            HttpWeightStoreClient(session, address, 200),
            HttpCloudClient(session, address, 200),
        )
    await session.close()


FAILURES = {
    "refused": PlatformFaults(refuse=True),
    "unclear": PlatformFaults(fail_unclear=True),
    "broken": PlatformFaults(break_before=True),
    "slow": PlatformFaults(slow_ms=400),
    "cut off": PlatformFaults(cut_callers=("host-1",)),
}


@pytest.mark.parametrize("name", FAILURES)
async def test_failed_reads_are_unavailable(name: str):
    async with open_rig() as rig:
        rig.platform.set_faults(FAILURES[name])
        assert isinstance((await rig.hosts.read()).err(), Unavailable)
        assert isinstance((await rig.weights.read("m")).err(), Unavailable)
        assert isinstance((await rig.cloud.read_notices(0)).err(), Unavailable)


MALFORMED_FIELDS = [
    {"host": 1},
    {"state": "gone"},
    {"incarnation": "new"},
    {"price_per_hour": -1},
    {"leave_by_ms": "soon"},
    {"zone": None},
]


@pytest.mark.parametrize("change", MALFORMED_FIELDS, ids=str)
async def test_malformed_host_does_not_hide_the_others(change: dict):
    async with open_rig() as rig:
        rig.platform.put_host(HOST)
        rig.platform.put_host({**HOST, "host": "h2", **change})
        hosts = (await rig.hosts.read()).unwrap()
        assert [host.host for host in hosts.hosts] == ["h1"]
        assert hosts.malformed == 1


async def test_new_host_is_listed_only_after_the_list_lag():
    async with open_rig(PlatformSettings(host_list_lag_s=0.2)) as rig:
        rig.platform.put_host(HOST)
        assert (await rig.hosts.read()).unwrap().hosts == ()
        await asyncio.sleep(0.25)
        assert len((await rig.hosts.read()).unwrap().hosts) == 1


async def test_poll_rate_is_bounded_and_polling_survives_an_outage():
    async with open_rig() as rig:
        seen: list[HostList] = []
        policy = PollPolicy(interval_ms=50, retry_first_ms=20, retry_max_ms=50)
        clock = SystemClock()
        poller = HostPoller(rig.hosts, seen.append, clock, random.Random(1), policy)
        task = asyncio.create_task(poller.run())
        await asyncio.sleep(0.5)
        assert 2 <= len(seen) <= 13
        rig.platform.set_faults(PlatformFaults(refuse=True))
        await asyncio.sleep(0.2)
        assert isinstance(poller.last_failure, Unavailable)
        rig.platform.put_host({**HOST, "state": "leaving", "leave_by_ms": 9})
        rig.platform.set_faults(PlatformFaults())
        await asyncio.sleep(0.2)
        assert poller.last_failure is None
        assert seen[-1].hosts[0].state is HostState.LEAVING
        task.cancel()


class ScriptedHostList:
    """Returns a list for each of the given times, then blocks."""

    def __init__(self, times_ms: list[int]) -> None:
        self._times_ms = times_ms

    async def read(self):
        if not self._times_ms:
            await asyncio.Event().wait()
        return Ok(HostList(self._times_ms.pop(0), ()))


async def test_older_list_does_not_replace_a_newer_one():
    seen: list[HostList] = []
    client = ScriptedHostList([5, 3, 5, 7])
    policy = PollPolicy(interval_ms=1)
    poller = HostPoller(client, seen.append, SystemClock(), random.Random(1), policy)
    task = asyncio.create_task(poller.run())
    await asyncio.sleep(0.1)
    task.cancel()
    assert [hosts.as_of_ms for hosts in seen] == [5, 7]


async def test_weight_store_rate_limit_is_reported_with_its_delay():
    async with open_rig(PlatformSettings(weight_reads_per_s=1)) as rig:
        rig.platform.weights["a/b"] = 9
        rig.platform.weights["m"] = 7
        assert await rig.weights.read("m") == Ok(Weights(7))
        failure = (await rig.weights.read("m")).err()
        assert isinstance(failure, Unavailable)
        assert failure.retry_after_s == 0.5
    async with open_rig() as rig:
        assert isinstance((await rig.weights.read("m")).err(), Refused)


START_CASES = [
    ("refused", PlatformFaults(refuse=True), NotSent, 0),
    ("unclear", PlatformFaults(fail_unclear=True), Unsettled, 0),
    ("broken", PlatformFaults(break_before=True), Unsettled, 0),
    ("slow", PlatformFaults(slow_ms=250), Unsettled, 1),
    ("cut off", PlatformFaults(cut_callers=("host-1",)), Unsettled, 0),
]


@pytest.mark.parametrize(("name", "faults", "expected", "started"), START_CASES)
async def test_start_never_reports_not_sent_for_a_started_instance(
    name, faults, expected, started
):
    async with open_rig() as rig:
        rig.platform.set_faults(faults)
        assert isinstance((await rig.cloud.start(REQUEST)).err(), expected)
        await asyncio.sleep(0.2)
        assert len(rig.platform.instances) == started
        rig.platform.set_faults(PlatformFaults())
        assert (await rig.cloud.start(REQUEST)).is_ok()
        assert len(rig.platform.instances) == 1


async def test_stop_can_be_repeated():
    async with open_rig() as rig:
        instance = (await rig.cloud.start(REQUEST)).unwrap()
        assert await rig.cloud.stop(instance) == Ok(None)
        assert await rig.cloud.stop(instance) == Ok(None)
        assert rig.platform.instances == {}


async def test_refused_instance_kind_is_not_reported_as_an_outage():
    async with open_rig(PlatformSettings(refuse_kinds=("reclaimable",))) as rig:
        assert isinstance((await rig.cloud.start(REQUEST)).err(), Refused)


async def test_notices_are_read_from_the_given_number():
    async with open_rig() as rig:
        for host in ("h1", "h2"):
            rig.platform.put_notice({"host": host, "leave_by_ms": 9})
        page = (await rig.cloud.read_notices(1)).unwrap()
        assert [notice.host for notice in page.notices] == ["h2"]
        assert page.next == 2
        assert not isinstance(await rig.cloud.read_notices(2), Err)
