"""Guards against misread frames and control state that stays behind or reverts."""

import pytest

from waxwingbarrow.core import DataCentre, HostId, Incarnation, Instant, Zone
from waxwingbarrow.membership import Batch, GossipItem, HeartbeatName, Member
from waxwingbarrow.peers import (
    ControlCallbacks,
    ControlEntries,
    ControlEntry,
    ControlSnapshot,
    ControlSync,
    Frame,
    Hello,
    decode_frame,
    encode_frame,
)
from waxwingbarrow.peers import _peer_pb2 as pb

INCARNATION = Incarnation(1_700_000_000_000, 2**63)
MEMBER = Member(HostId("a"), INCARNATION, DataCentre("d"), Zone("z"), "127.0.0.1:1", "")
BATCH = Batch(
    (HeartbeatName(HostId("a"), INCARNATION, 2**40),),
    (0,),
    (3,),
    (GossipItem(HostId("a"), INCARNATION, "t", 1, b"\x00\xff", False, True),),
    (HostId("b"),),
)
ENTRIES = ControlEntries((ControlEntry(4, b"{}"), ControlEntry(5, b"{}")))


@pytest.mark.parametrize(
    "frame",
    [
        Frame(7, hello=Hello(MEMBER, {HostId("a"): 2**64 - 1})),
        Frame(7, batch=BATCH),
        Frame(7, batch=Batch(), closing=True),
        Frame(7, control_update=ENTRIES),
        Frame(7, control_update=ControlSnapshot(9, b"state")),
    ],
    ids=["hello", "batch", "closing", "entries", "snapshot"],
)
def test_frame_round_trip_keeps_every_field(frame):
    assert decode_frame(encode_frame(frame)).unwrap() == frame


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xff\xff\xff", "no Protocol Buffers message"),
        (pb.Frame(hello=pb.Hello(member=b"{")).SerializeToString(), "valid JSON"),
        (pb.Frame(hello=pb.Hello(member=b"\xff")).SerializeToString(), "valid JSON"),
        (
            pb.Frame(gossip=pb.Gossip(items=[pb.Item()])).SerializeToString(),
            "no origin",
        ),
        (
            pb.Frame(
                gossip=pb.Gossip(items=[pb.Item(origin="a", topic="t")])
            ).SerializeToString(),
            "version 0",
        ),
        (
            pb.Frame(gossip=pb.Gossip(names=[pb.HeartbeatName()])).SerializeToString(),
            "names no host",
        ),
        (
            pb.Frame(
                entries=pb.Entries(
                    entries=[pb.LogEntry(offset=1), pb.LogEntry(offset=3)]
                )
            ).SerializeToString(),
            "not consecutive",
        ),
        (
            pb.Frame(
                entries=pb.Entries(), snapshot=pb.Snapshot(next_offset=1)
            ).SerializeToString(),
            "both",
        ),
    ],
)
def test_malformed_frame_returns_a_reason_instead_of_raising(data, reason):
    assert reason in decode_frame(data).unwrap_err().detail


class ControlStore:
    """Stream ``control`` of one host; entries below `first` are only in a snapshot."""

    def __init__(self, count=0, first=0):
        self.first = first
        self.entries = [ControlEntry(i, b"%d" % i) for i in range(count)]
        self.snapshots = []

    def callbacks(self):
        return ControlCallbacks(
            next_offset=lambda: len(self.entries),
            read_entries=self.read,
            on_entries=self.entries.extend,
            on_snapshot=self.restore,
        )

    def read(self, offset):
        if offset < self.first:
            return ControlSnapshot(len(self.entries), b"%d" % len(self.entries))
        return ControlEntries(tuple(self.entries[offset:]))

    def restore(self, next_offset, payload):
        self.snapshots.append((next_offset, payload))
        self.entries = [ControlEntry(i, b"") for i in range(next_offset)]


def make_sync(store, max_bytes=100):
    return ControlSync(store.callbacks(), max_bytes, resend_ms=3_000)


def at_ms(mono_ms):
    return Instant(0, mono_ms)


def test_lagging_peer_gets_missing_entries_once():
    sender = make_sync(ControlStore(5))
    assert sender.collect(at_ms(0)) is None  # the peer has not reported yet
    sender.record_peer_offset(3)
    assert [e.offset for e in sender.collect(at_ms(0)).entries] == [3, 4]
    assert sender.collect(at_ms(1_000)) is None
    sender.record_peer_offset(5)
    assert sender.collect(at_ms(9_000)) is None


def test_update_that_the_peer_did_not_apply_is_sent_again():
    sender = make_sync(ControlStore(5))
    sender.record_peer_offset(3)
    sender.collect(at_ms(0))
    assert [e.offset for e in sender.collect(at_ms(3_000)).entries] == [3, 4]


def test_entries_above_the_size_limit_are_split_into_frames():
    sender = make_sync(ControlStore(30), max_bytes=10)
    sender.record_peer_offset(0)
    offsets = []
    while control_update := sender.collect(at_ms(0)):
        assert sum(len(e.record) for e in control_update.entries) <= 10
        offsets += [e.offset for e in control_update.entries]
    assert offsets == list(range(30))


def test_peer_behind_the_retained_entries_gets_a_snapshot():
    sender, behind = make_sync(ControlStore(5, first=4)), ControlStore(1)
    sender.record_peer_offset(1)
    assert make_sync(behind).apply(sender.collect(at_ms(0)))
    assert behind.snapshots == [(5, b"5")]


@pytest.mark.parametrize(
    ("control_update", "grown"),
    [
        (ControlSnapshot(3, b"old"), False),
        (ControlSnapshot(4, b"same"), False),
        (ControlSnapshot(5, b"new"), True),
        (ControlEntries((ControlEntry(2, b""), ControlEntry(3, b""))), False),
        (ControlEntries((ControlEntry(3, b""), ControlEntry(4, b""))), True),
        (ControlEntries((ControlEntry(5, b""),)), False),
        (ControlEntries(()), False),
    ],
    ids=["older", "same", "newer", "known", "overlap", "gap", "empty"],
)
def test_control_state_never_reverts_or_skips_entries(control_update, grown):
    store = ControlStore(4)
    assert make_sync(store).apply(control_update) == grown
    assert len(store.entries) == (5 if grown else 4)
