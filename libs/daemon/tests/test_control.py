"""Guards against configurations that revert or refusals of publications that lie."""

import asyncio
import contextlib
import json
import random

import attrs

from waxwingbarrow.core import Incarnation, LogUnavailable, OutcomeUnknown, SystemClock
from waxwingbarrow.daemon._control import STREAM, ControlPlane
from waxwingbarrow.peers import ControlEntry
from waxwingbarrow.platform import HttpLogClient, HttpSession
from waxwingbarrow.standins import PlatformFaults, PlatformStandin, serve
from waxwingbarrow.state import Writer, checkpoint_records, write_record

CLOCK = SystemClock()
SERVICE = "rota"
FILLER = {"record_id": "filler", "kind": "other", "writer": "h", "body": {}}


def make_text(operation="book"):
    return json.dumps(
        {
            "schema_version": 1,
            "service": SERVICE,
            "kind": "plain",
            "accounts": [
                {
                    "account": "depot",
                    "key_hashes": ["sha256:" + "0" * 64],
                    "requests_per_s": 5,
                    "classes": ["standard"],
                }
            ],
            "routes": [{"route": operation, "repeatable": False}],
            "versions": [{"version": "v1"}],
            "stable_version": "v1",
            "placements": [{"data_centre": "dc-a", "workers": 1}],
        }
    )


async def wait_until(check):
    for _ in range(500):
        if check():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("The condition did not come true within 5 s.")


@attrs.define
class Rig:
    platform: PlatformStandin
    address: str
    tasks: list[asyncio.Task]

    def start_plane(self, host):
        client = HttpLogClient(HttpSession(caller=host), self.address, 500)
        plane = ControlPlane(
            Writer(host, Incarnation(1, 1)),
            client,
            CLOCK,
            random.Random(1),
            poll_ms=100,
            append_timeout_ms=1_000,
            retention_ms=60_000,
        )
        self.tasks += [
            asyncio.create_task(plane.reader.run()),
            asyncio.create_task(plane.appender.run()),
        ]
        return plane

    @property
    def log(self):
        return self.platform.get_stream(STREAM)

    async def start_complete(self, host):
        plane = self.start_plane(host)
        await wait_until(lambda: plane.reader.last_tail_read is not None)
        if self.log.next_offset == 0:
            assert await plane.write_checkpoint_if_due(CLOCK.now())
            await wait_until(lambda: plane.state.next_offset > 0)
        return plane

    async def expire_while_cut(self, plane, host):
        """Let records that the plane has not read expire from the log."""
        self.platform.set_faults(PlatformFaults(cut_callers=(host,)))
        # A poll that is open when the cut begins still gets an answer.
        await asyncio.sleep(0.3)
        self.log.append([FILLER] * 10)
        await asyncio.sleep(0.2)  # the other planes read what then expires
        self.log.trim(self.log.next_offset - 3)
        self.platform.set_faults(PlatformFaults())
        await wait_until(lambda: plane.reader.next_offset == self.log.next_offset)

    def append_checkpoint(self, plane):
        now = CLOCK.now()
        writer = Writer("h", Incarnation(1, 1))
        records = checkpoint_records(plane.state, "c", writer, now).unwrap()
        self.log.append([write_record(record) for record in records])


@contextlib.asynccontextmanager
async def make_rig():
    platform = PlatformStandin()
    async with serve(platform.make_app()) as address:
        rig = Rig(platform, address, [])
        try:
            yield rig
        finally:
            for task in rig.tasks:
                task.cancel()
            await asyncio.gather(*rig.tasks, return_exceptions=True)


def run(scenario):
    async def run_in_rig():
        async with make_rig() as rig:
            await scenario(rig)

    asyncio.run(run_in_rig())


def test_documents_stay_in_force_while_expired_entries_are_replaced():
    async def scenario(rig):
        plane = await rig.start_complete("h1")
        revision = (await plane.publish(SERVICE, make_text(), None, "a")).unwrap()
        other = await rig.start_complete("h2")
        await wait_until(lambda: other.find(SERVICE))
        await rig.expire_while_cut(plane, "h1")
        assert not plane.state.complete
        assert plane.is_known
        assert plane.find(SERVICE).revision == revision
        await wait_until(lambda: other.state.next_offset == rig.log.next_offset)
        rig.append_checkpoint(other)
        await wait_until(lambda: plane.state.complete)
        assert plane.find(SERVICE).revision == revision

    run(scenario)


def test_outdated_peer_does_not_replace_a_state_that_is_being_rebuilt():
    # The entries between the peer's state and the log's first entry are missing; a
    # host that adopts the peer's state never reads the log's later entries.
    async def scenario(rig):
        plane = await rig.start_complete("h1")
        peer = await rig.start_complete("h2")
        await wait_until(lambda: peer.state.next_offset == 1)
        snapshot = peer.read_entries(-1)
        entries = peer.read_entries(0).entries
        first = (await plane.publish(SERVICE, make_text(), None, "a")).unwrap()
        second = await plane.publish(SERVICE, make_text("list"), first, "a")
        await wait_until(lambda: peer.find(SERVICE).revision == second.unwrap())
        await rig.expire_while_cut(plane, "h1")
        assert not plane.state.complete
        filler = ControlEntry(1, json.dumps(FILLER).encode())
        plane.take_peer_entries([*entries, filler])
        plane.take_peer_snapshot(snapshot.next_offset, snapshot.payload)
        assert plane.find(SERVICE).revision == second.unwrap()
        await wait_until(lambda: peer.state.next_offset == rig.log.next_offset)
        rig.append_checkpoint(peer)
        await wait_until(lambda: plane.state.complete)
        third = await peer.publish(SERVICE, make_text(), second.unwrap(), "a")
        await wait_until(lambda: plane.find(SERVICE).revision == third.unwrap())

    run(scenario)


def test_peer_supplies_what_the_log_no_longer_holds():
    async def scenario(rig):
        peer = await rig.start_complete("h1")
        revision = (await peer.publish(SERVICE, make_text(), None, "a")).unwrap()
        rig.log.append([FILLER] * 10)
        await wait_until(lambda: peer.state.next_offset == rig.log.next_offset)
        entries = peer.read_entries(0).entries
        rig.log.trim(5)
        plane = rig.start_plane("h2")
        await wait_until(lambda: plane.reader.next_offset == rig.log.next_offset)
        assert not plane.is_known
        # Frames carry a part of the entries each.
        plane.take_peer_entries(entries[:3])
        assert plane.next_offset() == 3
        assert not plane.state.complete
        plane.take_peer_entries(entries[3:6])
        assert plane.state.complete
        assert plane.state.next_offset == rig.log.next_offset
        assert plane.find(SERVICE).revision == revision

    run(scenario)


def test_host_without_the_whole_state_appends_no_publication():
    async def scenario(rig):
        await rig.start_complete("h1")
        rig.log.append([FILLER] * 10)
        rig.log.trim(5)
        plane = rig.start_plane("h2")
        await wait_until(lambda: plane.reader.last_tail_read is not None)
        refused = await plane.publish(SERVICE, make_text(), None, "a")
        assert isinstance(refused.err_value, LogUnavailable)
        assert rig.log.next_offset == 11

    run(scenario)


def test_publication_in_a_state_that_became_incomplete_is_not_called_refused():
    async def scenario(rig):
        plane = await rig.start_complete("h1")
        rig.platform.set_faults(PlatformFaults(operations=("read",), refuse=True))
        await asyncio.sleep(0.3)
        rig.log.append([FILLER] * 10)
        publishing = asyncio.create_task(plane.publish(SERVICE, make_text(), 0, "a"))
        await wait_until(lambda: rig.log.next_offset == 12)
        rig.log.trim(11)
        rig.platform.set_faults(PlatformFaults())
        refused = await publishing
        assert isinstance(refused.err_value, OutcomeUnknown)

    run(scenario)


def test_publication_to_an_empty_log_takes_effect():
    # Offset 0 is reserved; a publication that arrived before the first checkpoint
    # was refused although nothing was wrong with it.
    async def scenario(rig):
        plane = rig.start_plane("h1")
        await wait_until(lambda: plane.reader.last_tail_read is not None)
        revision = (await plane.publish(SERVICE, make_text(), None, "a")).unwrap()
        assert revision == 1
        assert plane.find(SERVICE).revision == 1

    run(scenario)
