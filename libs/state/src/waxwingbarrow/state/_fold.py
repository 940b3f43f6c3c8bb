"""Deterministic fold of the stream ``control``."""

import enum
import hashlib
from collections.abc import Callable, Mapping
from typing import Any

import attrs
from result import Err, Ok

from waxwingbarrow.state._records import (
    UNREADABLE_KIND,
    CheckpointBody,
    ControlBody,
    LeaseBody,
    LogEntry,
    PublishBody,
    ReleaseLeaseBody,
    VerdictBody,
    VerdictKind,
    read_body,
)
from waxwingbarrow.state._state import (
    AgreedVerdict,
    BufferedEntry,
    CompletedCheckpoint,
    ControlState,
    Lease,
    PartialCheckpoint,
    PublishedDocument,
    VerdictKey,
    read_state,
)

# Number of recent record ids kept to recognise repeated appends. A repeat follows the
# first append within the writer's deadline. A repeat outside the window changes nothing
# either, because its base is outdated; it is only reported as a conflict instead of as
# ignored.
SEEN_WINDOW_RECORDS = 1024
# A checkpoint whose writer died before its last part is never completed. The limit
# exceeds the number of entry hosts, all of which may write one at the same time.
MAX_PARTIAL_CHECKPOINTS = 16

DocumentCheck = Callable[[str], bool]


class IgnoredReason(enum.StrEnum):
    """Why a well-formed entry did not change the state."""

    ALREADY_APPLIED = "already_applied"
    GAP = "gap"
    REPEATED = "repeated"
    BUFFERED = "buffered"
    UNKNOWN_KIND = "unknown_kind"
    RESERVED_OFFSET = "reserved_offset"
    OUTDATED = "outdated"
    CHECKPOINT_PART = "checkpoint_part"


@attrs.frozen
class Accepted:
    """The record took effect; `offset` becomes its revision or fencing number."""

    offset: int


@attrs.frozen
class Conflict:
    """The record in force is not the one that this record is based on.

    Parameters
    ----------
    winner_offset : int
        Offset of the record in force; 0 if there is none.
    winner_author : str
        Author or holder of the record in force; empty if there is none.
    """

    winner_offset: int
    winner_author: str


@attrs.frozen
class Ignored:
    """The entry changed nothing."""

    reason: IgnoredReason


@attrs.frozen
class Malformed:
    """The record is not valid for its kind, or its document is invalid."""

    detail: str


ApplyResult = Accepted | Conflict | Ignored | Malformed


def apply(
    state: ControlState, entry: LogEntry, is_valid_document: DocumentCheck
) -> tuple[ControlState, ApplyResult]:
    """Apply one log entry.

    Parameters
    ----------
    state : ControlState
        State before the entry.
    entry : LogEntry
        The entry at `state.next_offset`. Earlier entries are ignored as already
        applied, later ones because the entries in between are missing.
    is_valid_document : callable
        Returns whether a published text is a valid service document. All readers must
        use the same check, or their states diverge.

    Returns
    -------
    tuple
        The new state and the result for the entry.
    """
    if entry.offset < state.next_offset:
        return state, Ignored(IgnoredReason.ALREADY_APPLIED)
    if entry.offset > state.next_offset:
        return state, Ignored(IgnoredReason.GAP)
    if state.first_written_ms is None:
        state = attrs.evolve(state, first_written_ms=entry.record.written_ms)
    if state.complete:
        return _apply_complete(state, entry, is_valid_document)
    return _apply_incomplete(state, entry, is_valid_document)


def _apply_complete(
    state: ControlState, entry: LogEntry, is_valid_document: DocumentCheck
) -> tuple[ControlState, ApplyResult]:
    record = entry.record
    state = attrs.evolve(state, next_offset=entry.offset + 1)
    if record.kind == UNREADABLE_KIND:
        return state, Malformed(str(record.body.get("detail", "")))
    if record.record_id in state.seen:
        return state, Ignored(IgnoredReason.REPEATED)
    state = attrs.evolve(state, seen=_remember_record_id(state.seen, entry))
    match read_body(record):
        case Err(failure):
            return state, Malformed(failure.detail)
        case Ok(None):
            return state, Ignored(IgnoredReason.UNKNOWN_KIND)
        case Ok(body) if body is not None:
            return _apply_body(state, entry, body, is_valid_document)
    raise AssertionError("A result is either Ok or Err.")


def _apply_body(
    state: ControlState,
    entry: LogEntry,
    body: ControlBody,
    is_valid_document: DocumentCheck,
) -> tuple[ControlState, ApplyResult]:
    match body:
        case PublishBody():
            return _publish_document(state, entry, body, is_valid_document)
        case LeaseBody():
            return _take_lease(state, entry, body)
        case ReleaseLeaseBody():
            return _release_lease(state, entry, body)
        case VerdictBody():
            return _record_verdict(state, entry, body)
        case CheckpointBody():
            state, apply_result, _ = _add_checkpoint_part(state, entry, body)
            return state, apply_result


def _remember_record_id(seen: Mapping[str, int], entry: LogEntry) -> dict[str, int]:
    kept = dict(seen)
    kept[entry.record.record_id] = entry.offset
    while len(kept) > SEEN_WINDOW_RECORDS:
        del kept[next(iter(kept))]
    return kept


def _publish_document(
    state: ControlState,
    entry: LogEntry,
    body: PublishBody,
    is_valid_document: DocumentCheck,
) -> tuple[ControlState, ApplyResult]:
    if entry.offset == 0:
        # Revision 0 denotes a service without a document.
        return state, Ignored(IgnoredReason.RESERVED_OFFSET)
    current = state.services.get(body.service)
    if body.base_revision != (current.revision if current else 0):
        return state, _conflict(current, "author", "revision")
    if not is_valid_document(body.document):
        return state, Malformed(f"The document of {body.service} is invalid.")
    published = PublishedDocument(
        service=body.service,
        revision=entry.offset,
        document=body.document,
        author=body.author,
        written_ms=entry.record.written_ms,
    )
    # Verdicts on earlier revisions no longer apply.
    verdicts = {
        key: verdict
        for key, verdict in state.verdicts.items()
        if key.service != body.service
    }
    services = {**state.services, body.service: published}
    state = attrs.evolve(state, services=services, verdicts=verdicts)
    return state, Accepted(entry.offset)


def _take_lease(
    state: ControlState, entry: LogEntry, body: LeaseBody
) -> tuple[ControlState, ApplyResult]:
    if body.holder != entry.record.writer:
        return state, Malformed(f"Only {body.holder} may take a lease for itself.")
    if entry.offset == 0:
        # Fencing number 0 denotes a lease that was never held.
        return state, Ignored(IgnoredReason.RESERVED_OFFSET)
    current = state.leases.get(body.name)
    if body.base_fencing != (current.fencing if current else 0):
        return state, _conflict(current, "holder", "fencing")
    lease = Lease(
        name=body.name,
        holder=body.holder,
        incarnation=entry.record.incarnation,
        fencing=entry.offset,
        duration_ms=body.duration_ms,
    )
    state = attrs.evolve(state, leases={**state.leases, body.name: lease})
    return state, Accepted(entry.offset)


def _release_lease(
    state: ControlState, entry: LogEntry, body: ReleaseLeaseBody
) -> tuple[ControlState, ApplyResult]:
    current = state.leases.get(body.name)
    writer = (entry.record.writer, entry.record.incarnation)
    if current is None or (current.holder, current.incarnation) != writer:
        return state, _conflict(current, "holder", "fencing")
    if current.fencing != body.fencing or current.released:
        return state, Ignored(IgnoredReason.OUTDATED)
    released = attrs.evolve(current, released=True)
    state = attrs.evolve(state, leases={**state.leases, body.name: released})
    return state, Accepted(entry.offset)


def _record_verdict(
    state: ControlState, entry: LogEntry, body: VerdictBody
) -> tuple[ControlState, ApplyResult]:
    current = state.services.get(body.service)
    if current is None or current.revision != body.revision:
        return state, Ignored(IgnoredReason.OUTDATED)
    key = VerdictKey(body.service, body.revision, body.version)
    earlier = state.verdicts.get(key)
    if earlier is not None and (
        earlier.verdict is body.verdict
        or earlier.verdict is VerdictKind.WITHDRAWN
        or body.by_deadline
    ):
        return state, Ignored(IgnoredReason.OUTDATED)
    agreed = AgreedVerdict(body.verdict, body.reason, entry.offset)
    state = attrs.evolve(state, verdicts={**state.verdicts, key: agreed})
    return state, Accepted(entry.offset)


def _conflict(current: Any, author: str, offset: str) -> Conflict:
    if current is None:
        return Conflict(winner_offset=0, winner_author="")
    return Conflict(getattr(current, offset), getattr(current, author))


def _add_checkpoint_part(
    state: ControlState, entry: LogEntry, body: CheckpointBody
) -> tuple[ControlState, ApplyResult, ControlState | None]:
    """Add a part of a checkpoint to the state.

    The third value is the state that the checkpoint holds, once all parts were read.
    """
    if body.upto_offset >= entry.offset:
        return state, Malformed("A checkpoint covers entries after itself."), None
    known = state.partial.get(body.checkpoint_id) or PartialCheckpoint(
        entry.record.written_ms, {}
    )
    for other in known.parts.values():
        if (other.parts, other.upto_offset, other.digest) != (
            body.parts,
            body.upto_offset,
            body.digest,
        ):
            return state, Malformed("The parts of a checkpoint do not match."), None
    known = attrs.evolve(known, parts={**known.parts, body.part: body})
    partial = {**state.partial, body.checkpoint_id: known}
    while len(partial) > MAX_PARTIAL_CHECKPOINTS:
        del partial[next(iter(partial))]
    apply_result: ApplyResult = Ignored(IgnoredReason.CHECKPOINT_PART)
    if len(known.parts) < body.parts:
        return attrs.evolve(state, partial=partial), apply_result, None
    partial.pop(body.checkpoint_id, None)
    state = attrs.evolve(state, partial=partial)
    text = "".join(known.parts[index].state for index in range(body.parts))
    if hashlib.sha256(text.encode()).hexdigest() != body.digest:
        return state, Malformed("The digest of a checkpoint is wrong."), None
    match read_state(text, f"checkpoint {body.checkpoint_id}"):
        case Ok(restored) if restored.next_offset == body.upto_offset + 1:
            # A checkpoint of an empty stream has `upto_offset` -1.
            newest = state.checkpoint.upto_offset if state.checkpoint else -2
            if body.upto_offset > newest:
                completed = CompletedCheckpoint(body.upto_offset, known.written_ms)
                state = attrs.evolve(state, checkpoint=completed)
            return state, Accepted(entry.offset), restored
        case Err(failure):
            return state, Malformed(failure.detail), None
    return state, Malformed("A checkpoint's state ends at a wrong offset."), None


def _apply_incomplete(
    state: ControlState, entry: LogEntry, is_valid_document: DocumentCheck
) -> tuple[ControlState, ApplyResult]:
    state = attrs.evolve(
        state,
        next_offset=entry.offset + 1,
        buffer=BufferedEntry(entry, state.buffer),
    )
    buffered = Ignored(IgnoredReason.BUFFERED)
    match read_body(entry.record):
        case Err(failure):
            return state, Malformed(failure.detail)
        case Ok(CheckpointBody() as body):
            state, apply_result, restored = _add_checkpoint_part(state, entry, body)
            if restored is None or restored.next_offset < state.first_offset:
                return state, apply_result if isinstance(
                    apply_result, Malformed
                ) else buffered
            return _resume_from_checkpoint(
                state, restored, is_valid_document
            ), apply_result
    return state, buffered


def _resume_from_checkpoint(
    state: ControlState, restored: ControlState, is_valid_document: DocumentCheck
) -> ControlState:
    """Apply the buffered entries that a checkpoint does not cover to its state."""
    later: list[LogEntry] = []
    node = state.buffer
    while node is not None and node.entry.offset >= restored.next_offset:
        later.append(node.entry)
        node = node.older
    resumed = attrs.evolve(
        restored,
        first_offset=state.first_offset,
        first_written_ms=state.first_written_ms,
    )
    for entry in reversed(later):
        resumed, _ = _apply_complete(resumed, entry, is_valid_document)
    return attrs.evolve(resumed, checkpoint=state.checkpoint, partial=state.partial)
