"""Control state and its JSON form."""

from collections.abc import Mapping

import attrs
from result import Result

from waxwingbarrow.core import (
    FieldInvalid,
    HostId,
    Incarnation,
    ServiceName,
    VersionName,
    read_json,
    write_json,
)
from waxwingbarrow.state._records import CheckpointBody, LogEntry, VerdictKind

SNAPSHOT_FORMAT = 1  # version of the JSON form


@attrs.frozen
class PublishedDocument:
    """The service document in force.

    Parameters
    ----------
    service : ServiceName
        Name of the service.
    revision : int
        Offset of the accepted record.
    document : str
        JSON text of the document.
    author : str
        Operator who published it.
    written_ms : int
        Wall time at which the record was written, in milliseconds since the Unix
        epoch.
    """

    service: ServiceName
    revision: int
    document: str
    author: str
    written_ms: int


@attrs.frozen
class Lease:
    """The last accepted record of a lease.

    A released lease stays in the state with its fencing token. If it were removed, a
    record with `base_fencing` 0, for a lease that was never held, would be accepted.

    Parameters
    ----------
    name : str
        Name of the lease.
    holder : HostId
        Host that holds the lease.
    incarnation : Incarnation
        Process run of the host that holds the lease.
    fencing : int
        Fencing token, which is the offset of the record. Upstreams that check it
        refuse orders with a token lower than the highest one that they know.
    duration_ms : int
        Validity in milliseconds; see `confirm_lease` for when it starts.
    released : bool
        Whether the holder gave up the lease.
    """

    name: str
    holder: HostId
    incarnation: Incarnation
    fencing: int
    duration_ms: int
    released: bool = False


@attrs.frozen
class VerdictKey:
    """Service, revision and version that a verdict applies to."""

    service: ServiceName
    revision: int
    version: VersionName


@attrs.frozen
class AgreedVerdict:
    """A verdict in force, its reason and the offset of its record."""

    verdict: VerdictKind
    reason: str
    offset: int


@attrs.frozen
class CompletedCheckpoint:
    """Newest complete checkpoint that was read.

    Parameters
    ----------
    upto_offset : int
        Offset of the last entry that it covers; -1 for an empty stream.
    written_ms : int
        Wall time at which its first part that was read was written, in milliseconds
        since the Unix epoch.
    """

    upto_offset: int
    written_ms: int


@attrs.frozen
class PartialCheckpoint:
    """Parts read so far of one checkpoint.

    Parameters
    ----------
    written_ms : int
        Wall time at which the first part that was read was written, in milliseconds
        since the Unix epoch.
    parts : Mapping
        The parts by their index.
    """

    written_ms: int
    parts: Mapping[int, CheckpointBody]


@attrs.frozen
class BufferedEntry:
    """Entry kept until a checkpoint has been read, linked to the one before it.

    The entries form a linked list, because copying a tuple for each of them would take
    quadratic time in the number of entries before the first checkpoint.
    """

    entry: LogEntry
    older: "BufferedEntry | None" = attrs.field(repr=False, eq=False)


@attrs.frozen
class ControlState:
    """Result of the fold up to, but not including, `next_offset`.

    The fields from `first_offset` on only serve to find and write checkpoints. They
    are excluded from comparisons, because they depend on where a reader started.

    Parameters
    ----------
    next_offset : int
        Offset of the entry to apply next.
    services : Mapping
        Documents in force.
    leases : Mapping
        Last accepted record of each lease, by name.
    verdicts : Mapping
        Verdicts on the current revisions.
    seen : Mapping
        Offsets of recent record ids, in log order.
    complete : bool
        Whether the state reflects all records since the start of the stream.
    first_offset : int
        Offset at which this reader started.
    first_written_ms : int or None
        Wall time of the first entry that was read, in milliseconds since the Unix
        epoch.
    checkpoint : CompletedCheckpoint or None
        Newest complete checkpoint that was read.
    partial : Mapping
        Checkpoints of which some parts were read, by identifier.
    buffer : BufferedEntry or None
        Entries that an incomplete reader has not applied yet.
    """

    next_offset: int
    services: Mapping[ServiceName, PublishedDocument] = attrs.field(factory=dict)
    leases: Mapping[str, Lease] = attrs.field(factory=dict)
    verdicts: Mapping[VerdictKey, AgreedVerdict] = attrs.field(factory=dict)
    seen: Mapping[str, int] = attrs.field(factory=dict, repr=False)
    complete: bool = True
    first_offset: int = attrs.field(default=0, eq=False)
    first_written_ms: int | None = attrs.field(default=None, eq=False)
    checkpoint: CompletedCheckpoint | None = attrs.field(default=None, eq=False)
    partial: Mapping[str, PartialCheckpoint] = attrs.field(
        factory=dict, eq=False, repr=False
    )
    buffer: BufferedEntry | None = attrs.field(default=None, eq=False, repr=False)


@attrs.frozen
class _VerdictItem:
    key: VerdictKey
    agreed: AgreedVerdict


@attrs.frozen
class _SeenRecord:
    record_id: str
    offset: int


@attrs.frozen
class _Snapshot:
    """JSON form of a complete state."""

    format: int
    next_offset: int
    services: list[PublishedDocument]
    leases: list[Lease]
    verdicts: list[_VerdictItem]
    seen: list[_SeenRecord]


def make_initial_state(first_offset: int) -> ControlState:
    """Return the state before the first entry.

    Parameters
    ----------
    first_offset : int
        First offset that the log can still supply. If it is not 0, the state is
        incomplete until a checkpoint has been read.

    Notes
    -----
    A reader whose next entry has expired from the log starts over with this state and
    uses its old state until the new one is complete.
    """
    return ControlState(
        next_offset=first_offset,
        first_offset=first_offset,
        complete=first_offset == 0,
    )


def write_state(state: ControlState) -> str:
    """Return the JSON text of a complete state; equal states give equal texts.

    Raises
    ------
    ValueError
        If the state is incomplete.
    """
    if not state.complete:
        raise ValueError("An incomplete control state cannot be written.")
    return write_json(
        _Snapshot(
            format=SNAPSHOT_FORMAT,
            next_offset=state.next_offset,
            services=[state.services[name] for name in sorted(state.services)],
            leases=[state.leases[name] for name in sorted(state.leases)],
            verdicts=[
                _VerdictItem(key, state.verdicts[key])
                for key in sorted(state.verdicts, key=attrs.astuple)
            ],
            seen=[_SeenRecord(record_id, at) for record_id, at in state.seen.items()],
        )
    )


def read_state(text: str, source: str = "state") -> Result[ControlState, FieldInvalid]:
    """Read a text that `write_state` returned, for example a peer's snapshot.

    Parameters
    ----------
    text : str
        JSON text.
    source : str
        Origin of the text, for error messages.

    Returns
    -------
    Result
        The complete state, or the first invalid field.
    """
    return read_json(text, _Snapshot, source).map(_build_state)


def _build_state(snapshot: _Snapshot) -> ControlState:
    return ControlState(
        next_offset=snapshot.next_offset,
        services={item.service: item for item in snapshot.services},
        leases={item.name: item for item in snapshot.leases},
        verdicts={line.key: line.agreed for line in snapshot.verdicts},
        seen={line.record_id: line.offset for line in snapshot.seen},
        first_offset=snapshot.next_offset,
    )
