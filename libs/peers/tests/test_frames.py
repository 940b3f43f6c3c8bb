"""Guards against frames that are misread and control state that falls behind."""

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

RUN = Incarnation(1_700_000_000_000, 2**63)
MEMBER = Member(HostId("a"), RUN, DataCentre("d"), Zone("z"), "127.0.0.1:1", "")
BATCH = Batch(
    (HeartbeatName(HostId("a"), RUN, 2**40),),
    (0,),
    (3,),
    (GossipItem(HostId("a"), RUN, "t", 1, b"\x00\xff", False, True),),
    (HostId("b"),),
)
ENTRIES = ControlEntries((ControlEntry(4, b"{}"), ControlEntry(5, b"{}")))


@pytest.mark.parametrize(
    "frame",
    [
        Frame(7, hello=Hello(MEMBER, {HostId("a"): 2**64 - 1})),
        Frame(7, batch=BATCH),
        Frame(7, batch=Batch(), closing=True),
        Frame(7, news=ENTRIES),
        Frame(7, news=ControlSnapshot(9, b"state")),
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
def test_malformed_frame_is_named_and_not_raised(data, reason):
    assert reason in decode_frame(data).unwrap_err().detail


class ControlStore:
    """Entries of the stream `control` of one host, from `first` on."""

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


def sync(store, max_bytes=100):
    return ControlSync(store.callbacks(), max_bytes, resend_ms=3_000)


def at(mono_ms):
    return Instant(0, mono_ms)


def test_peer_behind_gets_what_it_lacks_once():
    sender = sync(ControlStore(5))
    assert sender.collect(at(0)) is None  # the peer has not reported yet
    sender.note_reported(3)
    assert [e.offset for e in sender.collect(at(0)).entries] == [3, 4]
    assert sender.collect(at(1_000)) is None
    sender.note_reported(5)
    assert sender.collect(at(9_000)) is None


def test_news_that_the_peer_did_not_apply_are_sent_again():
    sender = sync(ControlStore(5))
    sender.note_reported(3)
    sender.collect(at(0))
    assert [e.offset for e in sender.collect(at(3_000)).entries] == [3, 4]


def test_long_history_is_split_into_frames():
    sender = sync(ControlStore(30), max_bytes=10)
    sender.note_reported(0)
    offsets = []
    while news := sender.collect(at(0)):
        assert sum(len(e.record) for e in news.entries) <= 10
        offsets += [e.offset for e in news.entries]
    assert offsets == list(range(30))


def test_peer_below_the_retained_entries_gets_the_snapshot():
    sender, behind = sync(ControlStore(5, first=4)), ControlStore(1)
    sender.note_reported(1)
    assert sync(behind).apply(sender.collect(at(0)))
    assert behind.snapshots == [(5, b"5")]


@pytest.mark.parametrize(
    ("news", "grown"),
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
def test_configuration_never_reverts_and_skips_nothing(news, grown):
    store = ControlStore(4)
    assert sync(store).apply(news) == grown
    assert len(store.entries) == (5 if grown else 4)
