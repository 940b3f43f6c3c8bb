"""Log records, their JSON form and the record bodies of the stream ``control``."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import (
    FieldInvalid,
    HostId,
    Incarnation,
    Instant,
    ServiceName,
    VersionName,
    in_range,
    matches,
    read_data,
    write_data,
)

MAX_OFFSET = 2**63 - 1
MAX_LEASE_DURATION_MS = 24 * 3600 * 1000
UNREADABLE_KIND = "unreadable"  # assigned by `read_entry`; no writer uses it


class RecordKind(enum.StrEnum):
    """Kinds of records in the stream ``control``."""

    PUBLISH = "publish"
    LEASE = "lease"
    RELEASE_LEASE = "release_lease"
    VERDICT = "verdict"
    CHECKPOINT = "checkpoint"


class VerdictKind(enum.StrEnum):
    """Outcome of a rollout."""

    DONE = "done"
    WITHDRAWN = "withdrawn"


@attrs.frozen
class Writer:
    """Process that writes records."""

    host_id: HostId
    incarnation: Incarnation


@attrs.frozen
class Record:
    """Envelope of a record in any stream of the log.

    Parameters
    ----------
    record_id : str
        Unique identifier; a repeated append carries the same one.
    kind : str
        Determines the type of the body.
    writer : HostId
        Host that wrote the record.
    incarnation : Incarnation
        Process run that wrote the record.
    written_ms : int
        Wall time of the writer, in milliseconds since the Unix epoch.
    body : Mapping
        Parsed JSON of the body; `read_body` turns it into a typed body.
    """

    record_id: str
    kind: str
    writer: HostId
    incarnation: Incarnation
    written_ms: int
    body: Mapping[str, Any]


@attrs.frozen
class LogEntry:
    """A record with the offset that the log assigned to it."""

    offset: int
    record: Record


@attrs.frozen
class PublishBody:
    """Publishes a service document.

    Parameters
    ----------
    service : ServiceName
        Service that the document describes.
    base_revision : int
        Revision that the author edited; 0 if the service had none.
    document : str
        JSON text of the service document.
    author : str
        Name of the operator.
    """

    service: ServiceName = attrs.field(validator=matches(r".+", "a service name"))
    base_revision: int = attrs.field(validator=in_range(0, MAX_OFFSET))
    document: str
    author: str


@attrs.frozen
class LeaseBody:
    """Takes or renews a lease.

    Parameters
    ----------
    name : str
        Name of the lease.
    holder : HostId
        Host that is to hold the lease; it is also the writer of the record.
    duration_ms : int
        Validity in milliseconds.
    base_fencing : int
        Fencing token of the last accepted lease record; 0 if there was none.
    """

    name: str = attrs.field(validator=matches(r".+", "a lease name"))
    holder: HostId
    duration_ms: int = attrs.field(validator=in_range(1, MAX_LEASE_DURATION_MS, "ms"))
    base_fencing: int = attrs.field(validator=in_range(0, MAX_OFFSET))


@attrs.frozen
class ReleaseLeaseBody:
    """Gives up a lease before its end."""

    name: str
    fencing: int = attrs.field(validator=in_range(0, MAX_OFFSET))


@attrs.frozen
class VerdictBody:
    """Records the outcome of the rollout of one version in one revision of a service.

    Parameters
    ----------
    by_deadline : bool
        Whether a missed deadline is the only reason for a withdrawal. A host that was
        partitioned when the rollout completed sees a missed deadline, so such a
        withdrawal does not replace a recorded completion.
    """

    service: ServiceName
    revision: int = attrs.field(validator=in_range(0, MAX_OFFSET))
    version: VersionName
    verdict: VerdictKind
    reason: str
    by_deadline: bool = False


@attrs.frozen
class CheckpointBody:
    """One part of a checkpoint.

    Parameters
    ----------
    checkpoint_id : str
        Identifier that all parts of one checkpoint share.
    part : int
        Index of this part, from 0.
    parts : int
        Number of parts.
    upto_offset : int
        Offset of the last entry that the checkpoint covers; -1 for an empty stream.
    digest : str
        Hexadecimal SHA-256 of the complete JSON text, all parts joined.
    state : str
        This part of the JSON text of the state.
    """

    checkpoint_id: str
    part: int = attrs.field(validator=in_range(0, MAX_OFFSET))
    parts: int = attrs.field(validator=in_range(1, MAX_OFFSET))
    upto_offset: int = attrs.field(validator=in_range(-1, MAX_OFFSET))
    digest: str
    state: str

    def __attrs_post_init__(self) -> None:
        in_range(0, self.parts - 1)(self, attrs.fields(type(self)).part, self.part)


ControlBody = PublishBody | LeaseBody | ReleaseLeaseBody | VerdictBody | CheckpointBody

_BODY_TYPES: dict[str, type[ControlBody]] = {
    RecordKind.PUBLISH: PublishBody,
    RecordKind.LEASE: LeaseBody,
    RecordKind.RELEASE_LEASE: ReleaseLeaseBody,
    RecordKind.VERDICT: VerdictBody,
    RecordKind.CHECKPOINT: CheckpointBody,
}


def make_record(
    record_id: str, kind: str, writer: Writer, now: Instant, body: object
) -> Record:
    """Return a record with the JSON form of an attrs body.

    Parameters
    ----------
    record_id : str
        Unique identifier of the record.
    kind : str
        Kind of the record.
    writer : Writer
        The process that writes it.
    now : Instant
        Present time of the writer.
    body : object
        Body as an attrs object.

    Returns
    -------
    Record
        The record to append.
    """
    return Record(
        record_id=record_id,
        kind=str(kind),
        writer=writer.host_id,
        incarnation=writer.incarnation,
        written_ms=now.wall_ms,
        body=write_data(body),
    )


def make_control_record(
    record_id: str, body: ControlBody, writer: Writer, now: Instant
) -> Record:
    """Return a record of the stream ``control``; the body determines the kind."""
    kind = next(
        kind for kind, body_type in _BODY_TYPES.items() if isinstance(body, body_type)
    )
    return make_record(record_id, kind, writer, now, body)


def write_record(record: Record) -> Any:
    """Return the parsed JSON form of a record."""
    return write_data(record)


def read_record(data: Any, source: str = "record") -> Result[Record, FieldInvalid]:
    """Read a record from parsed JSON.

    Parameters
    ----------
    data : Any
        Parsed JSON as the log returned it.
    source : str
        Origin of the data, for error messages.

    Returns
    -------
    Result
        The record, or the first invalid field.
    """
    return read_data(data, Record, source)


def read_entry(offset: int, data: Any) -> LogEntry:
    """Return the log entry for parsed JSON, valid or not.

    An invalid record becomes an entry of kind ``unreadable`` whose body holds the
    reason, so that readers skip it and don't stop at its offset.
    """
    match read_record(data, f"offset {offset}"):
        case Ok(record):
            return LogEntry(offset, record)
        case Err(failure):
            unreadable = Record(
                record_id="",
                kind=UNREADABLE_KIND,
                writer=HostId(""),
                incarnation=Incarnation(0, 0),
                written_ms=0,
                body={"detail": failure.detail},
            )
            return LogEntry(offset, unreadable)
    raise AssertionError("A result is either Ok or Err.")


def read_body(record: Record) -> Result[ControlBody | None, FieldInvalid]:
    """Return the typed body of a control record, or None if its kind is unknown."""
    body_type = _BODY_TYPES.get(record.kind)
    if body_type is None:
        return Ok(None)
    return read_data(record.body, body_type, f"record {record.record_id}")
