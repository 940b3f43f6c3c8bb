"""State that the fold of the stream ``control`` computes."""

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

FORMAT = 1


@attrs.frozen
class Published:
    """The document of a service that is in force.

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
        Wall time at which the record was written.
    """

    service: ServiceName
    revision: int
    document: str
    author: str
    written_ms: int


@attrs.frozen
class Lease:
    """The last accepted record of a lease.

    A released lease stays in the state, so that its fencing number is never taken for
    that of a lease which nobody held.
    """

    name: str
    holder: HostId
    incarnation: Incarnation
    fencing: int
    duration_ms: int
    released: bool = False


@attrs.frozen
class VerdictKey:
    """What a verdict applies to."""

    service: ServiceName
    revision: int
    version: VersionName


@attrs.frozen
class AgreedVerdict:
    """A verdict in force and its reason."""

    verdict: VerdictKind
    reason: str
    offset: int


@attrs.frozen
class CheckpointMark:
    """The newest complete checkpoint that was read."""

    upto_offset: int
    written_ms: int


@attrs.frozen
class PartialCheckpoint:
    """The parts of one checkpoint that were read so far."""

    written_ms: int
    parts: Mapping[int, CheckpointBody]


@attrs.frozen
class Buffer:
    """Entries that an incomplete reader keeps, newest first.

    A linked list, because copying a tuple for every entry would be quadratic in the
    number of entries before the first checkpoint.
    """

    entry: LogEntry
    older: "Buffer | None" = attrs.field(repr=False, eq=False)


@attrs.frozen
class ControlState:
    """Result of the fold up to, but not including, `next_offset`.

    The fields that only help to find checkpoints take no part in comparisons: two
    readers that started at different offsets differ in them.

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
    """

    next_offset: int
    services: Mapping[ServiceName, Published] = attrs.field(factory=dict)
    leases: Mapping[str, Lease] = attrs.field(factory=dict)
    verdicts: Mapping[VerdictKey, AgreedVerdict] = attrs.field(factory=dict)
    seen: Mapping[str, int] = attrs.field(factory=dict, repr=False)
    complete: bool = True
    first_offset: int = attrs.field(default=0, eq=False)
    first_written_ms: int | None = attrs.field(default=None, eq=False)
    checkpoint: CheckpointMark | None = attrs.field(default=None, eq=False)
    partial: Mapping[str, PartialCheckpoint] = attrs.field(
        factory=dict, eq=False, repr=False
    )
    buffer: Buffer | None = attrs.field(default=None, eq=False, repr=False)


@attrs.frozen
class _VerdictLine:
    key: VerdictKey
    agreed: AgreedVerdict


@attrs.frozen
class _SeenLine:
    record_id: str
    offset: int


@attrs.frozen
class _Snapshot:
    """JSON form of a complete state."""

    format: int
    next_offset: int
    services: list[Published]
    leases: list[Lease]
    verdicts: list[_VerdictLine]
    seen: list[_SeenLine]


def start_state(first_offset: int) -> ControlState:
    """Return the state before the first entry.

    Parameters
    ----------
    first_offset : int
        First offset that the log can still supply. If it is not 0, the state is
        incomplete until a checkpoint has been read.

    Notes
    -----
    A reader whose next entry has expired from the log starts again here. Its old state
    stays in force until the new one is complete.
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
        raise ValueError("An incomplete state cannot be written.")
    return write_json(
        _Snapshot(
            format=FORMAT,
            next_offset=state.next_offset,
            services=[state.services[name] for name in sorted(state.services)],
            leases=[state.leases[name] for name in sorted(state.leases)],
            verdicts=[
                _VerdictLine(key, state.verdicts[key])
                for key in sorted(state.verdicts, key=attrs.astuple)
            ],
            seen=[_SeenLine(record_id, at) for record_id, at in state.seen.items()],
        )
    )


def read_state(text: str, source: str = "state") -> Result[ControlState, FieldInvalid]:
    """Read the text that `write_state` wrote, for example from a peer's snapshot.

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
    return read_json(text, _Snapshot, source).map(_restore)


def _restore(snapshot: _Snapshot) -> ControlState:
    return ControlState(
        next_offset=snapshot.next_offset,
        services={item.service: item for item in snapshot.services},
        leases={item.name: item for item in snapshot.leases},
        verdicts={line.key: line.agreed for line in snapshot.verdicts},
        seen={line.record_id: line.offset for line in snapshot.seen},
        first_offset=snapshot.next_offset,
    )
