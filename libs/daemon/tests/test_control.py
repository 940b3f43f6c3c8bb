"""Guards against a configuration that reverts and publications reported wrongly.

A publication must not be reported as refused if it may still take effect.
"""

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
FILLER_RECORD = {"record_id": "filler", "kind": "other", "writer": "h", "body": {}}


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
class ControlHarness:
    platform: PlatformStandin
    address: str
    tasks: list[asyncio.Task]
    sessions: list[HttpSession]

    def start_plane(self, host):
        session = HttpSession(caller=host)
        self.sessions.append(session)
        client = HttpLogClient(session, self.address, 500)
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

    async def start_with_complete_state(self, host):
        plane = self.start_plane(host)
        await wait_until(lambda: plane.reader.last_tail_read is not None)
        if self.log.next_offset == 0:
            assert await plane.write_checkpoint_if_due(CLOCK.now())
            await wait_until(lambda: plane.state.next_offset > 0)
        return plane

    async def expire_unread_records(self, plane, host):
        """Let records that the control plane has not read expire from the log."""
        self.platform.set_faults(PlatformFaults(cut_callers=(host,)))
        # A poll that is open when the connection is cut still gets an answer.
        await asyncio.sleep(0.3)
        self.log.append([FILLER_RECORD] * 10)
        await asyncio.sleep(0.2)  # the other control planes read what then expires
        self.log.trim(self.log.next_offset - 3)
        self.platform.set_faults(PlatformFaults())
        await wait_until(lambda: plane.reader.next_offset == self.log.next_offset)

    def append_checkpoint(self, plane):
        now = CLOCK.now()
        writer = Writer("h", Incarnation(1, 1))
        records = checkpoint_records(plane.state, "c", writer, now).unwrap()
        self.log.append([write_record(record) for record in records])


@contextlib.asynccontextmanager
async def make_harness():
    platform = PlatformStandin()
    async with serve(platform.make_app()) as address:
        harness = ControlHarness(platform, address, [], [])
        try:
            yield harness
        finally:
            for task in harness.tasks:
                task.cancel()
            await asyncio.gather(*harness.tasks, return_exceptions=True)
            for session in harness.sessions:
                await session.close()


def run(scenario):
    async def run_in_harness():
        async with make_harness() as harness:
            await scenario(harness)

    asyncio.run(run_in_harness())


def test_documents_stay_in_force_while_expired_entries_are_replaced():
    async def scenario(harness):
        plane = await harness.start_with_complete_state("h1")
        revision = (await plane.publish(SERVICE, make_text(), None, "a")).unwrap()
        other = await harness.start_with_complete_state("h2")
        await wait_until(lambda: other.find(SERVICE))
        await harness.expire_unread_records(plane, "h1")
        assert not plane.state.complete
        assert plane.has_configuration
        assert plane.find(SERVICE).revision == revision
        await wait_until(lambda: other.state.next_offset == harness.log.next_offset)
        harness.append_checkpoint(other)
        await wait_until(lambda: plane.state.complete)
        assert plane.find(SERVICE).revision == revision

    run(scenario)


def test_outdated_peer_does_not_replace_a_state_that_is_being_rebuilt():
    # The entries between the peer's state and the first entry of the log are missing.
    # A host that adopts the peer's state never applies the log's later entries.
    async def scenario(harness):
        plane = await harness.start_with_complete_state("h1")
        peer = await harness.start_with_complete_state("h2")
        await wait_until(lambda: peer.state.next_offset == 1)
        snapshot = peer.read_entries(-1)
        entries = peer.read_entries(0).entries
        first = (await plane.publish(SERVICE, make_text(), None, "a")).unwrap()
        second = await plane.publish(SERVICE, make_text("list"), first, "a")
        await wait_until(lambda: peer.find(SERVICE).revision == second.unwrap())
        await harness.expire_unread_records(plane, "h1")
        assert not plane.state.complete
        filler = ControlEntry(1, json.dumps(FILLER_RECORD).encode())
        plane.apply_peer_entries([*entries, filler])
        plane.apply_peer_snapshot(snapshot.next_offset, snapshot.payload)
        assert plane.find(SERVICE).revision == second.unwrap()
        await wait_until(lambda: peer.state.next_offset == harness.log.next_offset)
        harness.append_checkpoint(peer)
        await wait_until(lambda: plane.state.complete)
        third = await peer.publish(SERVICE, make_text(), second.unwrap(), "a")
        await wait_until(lambda: plane.find(SERVICE).revision == third.unwrap())

    run(scenario)


def test_peer_supplies_entries_that_expired_from_the_log():
    async def scenario(harness):
        peer = await harness.start_with_complete_state("h1")
        revision = (await peer.publish(SERVICE, make_text(), None, "a")).unwrap()
        harness.log.append([FILLER_RECORD] * 10)
        await wait_until(lambda: peer.state.next_offset == harness.log.next_offset)
        entries = peer.read_entries(0).entries
        harness.log.trim(5)
        plane = harness.start_plane("h2")
        await wait_until(lambda: plane.reader.next_offset == harness.log.next_offset)
        assert not plane.has_configuration
        # Each frame from a peer carries a part of the entries.
        plane.apply_peer_entries(entries[:3])
        assert plane.next_offset() == 3
        assert not plane.state.complete
        plane.apply_peer_entries(entries[3:6])
        assert plane.state.complete
        assert plane.state.next_offset == harness.log.next_offset
        assert plane.find(SERVICE).revision == revision

    run(scenario)


def test_host_without_the_whole_state_appends_no_publication():
    async def scenario(harness):
        await harness.start_with_complete_state("h1")
        harness.log.append([FILLER_RECORD] * 10)
        harness.log.trim(5)
        plane = harness.start_plane("h2")
        await wait_until(lambda: plane.reader.last_tail_read is not None)
        refused = await plane.publish(SERVICE, make_text(), None, "a")
        assert isinstance(refused.err_value, LogUnavailable)
        assert harness.log.next_offset == 11

    run(scenario)


def test_publication_has_unknown_outcome_if_the_state_became_incomplete():
    async def scenario(harness):
        plane = await harness.start_with_complete_state("h1")
        harness.platform.set_faults(PlatformFaults(operations=("read",), refuse=True))
        await asyncio.sleep(0.3)
        harness.log.append([FILLER_RECORD] * 10)
        publishing = asyncio.create_task(plane.publish(SERVICE, make_text(), 0, "a"))
        await wait_until(lambda: harness.log.next_offset == 12)
        harness.log.trim(11)
        harness.platform.set_faults(PlatformFaults())
        refused = await publishing
        assert isinstance(refused.err_value, OutcomeUnknown)

    run(scenario)


def test_publication_to_an_empty_log_takes_effect():
    # Offset 0 is reserved, so a valid publication was refused if it arrived before the
    # first checkpoint.
    async def scenario(harness):
        plane = harness.start_plane("h1")
        await wait_until(lambda: plane.reader.last_tail_read is not None)
        revision = (await plane.publish(SERVICE, make_text(), None, "a")).unwrap()
        assert revision == 1
        assert plane.find(SERVICE).revision == 1

    run(scenario)
