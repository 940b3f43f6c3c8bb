"""Frames of the exchange and their Protocol Buffers encoding."""

from itertools import pairwise

import attrs
from google.protobuf.message import DecodeError
from result import Err, Ok, Result

from waxwingbarrow.core import Failure, HostId, Incarnation
from waxwingbarrow.membership import (
    Batch,
    GossipItem,
    HeartbeatName,
    Member,
    read_member,
    write_member,
)
from waxwingbarrow.peers import _peer_pb2 as pb
from waxwingbarrow.peers._control import (
    ControlEntries,
    ControlEntry,
    ControlSnapshot,
    ControlUpdate,
)


@attrs.frozen
class FrameInvalid(Failure):
    """A frame that a peer sent cannot be used."""

    reason: str

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"The frame is invalid: {self.reason}."


@attrs.frozen
class Hello:
    """Content of the first frame: the sender and a digest of its gossip map.

    Parameters
    ----------
    digest : dict
        Fingerprint of the gossip items of each origin host.
    """

    member: Member
    digest: dict[HostId, int]


@attrs.frozen
class Frame:
    """One message of a stream.

    Parameters
    ----------
    control_next_offset : int
        Offset of the first control entry that the sender lacks.
    hello : Hello or None
        Present in the first frame only.
    batch : Batch or None
        Heartbeats and gossip items.
    control_update : ControlUpdate or None
        Control entries or a snapshot.
    closing : bool
        Whether this is the sender's last frame.
    """

    control_next_offset: int
    hello: Hello | None = None
    batch: Batch | None = None
    control_update: ControlUpdate | None = None
    closing: bool = False


def encode_frame(frame: Frame) -> bytes:
    """Return a frame as Protocol Buffers bytes."""
    message = pb.Frame(
        control_next_offset=frame.control_next_offset, closing=frame.closing
    )
    if frame.hello is not None:
        message.hello.member = write_member(frame.hello.member)
        for origin, fingerprint in frame.hello.digest.items():
            message.hello.digest.add(origin=origin, fingerprint=fingerprint)
    if frame.batch is not None:
        _write_batch(frame.batch, message.gossip)
    match frame.control_update:
        case ControlEntries(entries):
            for entry in entries:
                message.entries.entries.add(offset=entry.offset, record=entry.record)
        case ControlSnapshot(next_offset, payload):
            message.snapshot.next_offset = next_offset
            message.snapshot.payload = payload
    return message.SerializeToString()


def decode_frame(data: bytes) -> Result[Frame, FrameInvalid]:
    """Decode and check a frame from a peer.

    Returns
    -------
    Result
        The frame, or the reason why it is invalid.
    """
    try:
        message = pb.Frame.FromString(data)
    except DecodeError as error:
        return Err(FrameInvalid(f"it is no Protocol Buffers message ({error})"))
    hello = None
    if message.HasField("hello"):
        match read_member(message.hello.member):
            case Ok(member):
                digest = {HostId(d.origin): d.fingerprint for d in message.hello.digest}
                hello = Hello(member, digest)
            case Err(failure):
                return Err(FrameInvalid(failure.detail.rstrip(".")))
    batch = _read_batch(message.gossip) if message.HasField("gossip") else None
    reason = _find_gossip_fault(batch) or _find_control_fault(message)
    if reason:
        return Err(FrameInvalid(reason))
    return Ok(
        Frame(
            message.control_next_offset,
            hello,
            batch,
            _read_control_update(message),
            message.closing,
        )
    )


def _write_batch(batch: Batch, message: pb.Gossip) -> None:
    for name in batch.names:
        added = message.names.add(host=name.host, counter=name.counter)
        _write_incarnation(name.incarnation, added.incarnation)
    message.positions.extend(batch.positions)
    message.steps.extend(batch.steps)
    for item in batch.items:
        written = message.items.add(
            origin=item.origin,
            topic=item.topic,
            version=item.version,
            payload=item.payload,
            crosses_data_centres=item.crosses_data_centres,
            urgent=item.urgent,
        )
        _write_incarnation(item.incarnation, written.incarnation)
    message.wanted.extend(batch.wanted)
    # Marks the field as present: an empty batch is still a sign of life of the sender
    # and must not be decoded as None.
    message.SetInParent()


def _write_incarnation(incarnation: Incarnation, message: pb.Incarnation) -> None:
    message.started_ms = incarnation.started_ms
    message.nonce = incarnation.nonce


def _read_incarnation(message: pb.Incarnation) -> Incarnation:
    return Incarnation(message.started_ms, message.nonce)


def _read_batch(message: pb.Gossip) -> Batch:
    return Batch(
        tuple(
            HeartbeatName(
                HostId(name.host), _read_incarnation(name.incarnation), name.counter
            )
            for name in message.names
        ),
        tuple(message.positions),
        tuple(message.steps),
        tuple(
            GossipItem(
                HostId(item.origin),
                _read_incarnation(item.incarnation),
                item.topic,
                item.version,
                item.payload,
                item.crosses_data_centres,
                item.urgent,
            )
            for item in message.items
        ),
        tuple(HostId(host) for host in message.wanted),
    )


def _read_control_update(message: pb.Frame) -> ControlUpdate | None:
    if message.HasField("snapshot"):
        return ControlSnapshot(message.snapshot.next_offset, message.snapshot.payload)
    if message.HasField("entries"):
        return ControlEntries(
            tuple(ControlEntry(e.offset, e.record) for e in message.entries.entries)
        )
    return None


def _find_gossip_fault(batch: Batch | None) -> str:
    if batch is None:
        return ""
    if any(not name.host for name in batch.names):
        return "a heartbeat names no host"
    if any(not item.origin or not item.topic for item in batch.items):
        return "an item has no origin or no topic"
    if any(item.version < 1 for item in batch.items):
        return "an item has version 0; versions start at 1"
    return ""


def _find_control_fault(message: pb.Frame) -> str:
    if message.HasField("snapshot") and message.HasField("entries"):
        return "it holds both control entries and a snapshot"
    offsets = [entry.offset for entry in message.entries.entries]
    if any(later != offset + 1 for offset, later in pairwise(offsets)):
        return "its control entries are not consecutive"
    return ""
