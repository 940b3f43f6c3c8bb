"""Checkpoint records and the decision when to write them."""

import hashlib

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import Failure, Instant
from waxwingbarrow.state._records import (
    CheckpointBody,
    Record,
    Writer,
    make_control_record,
)
from waxwingbarrow.state._state import ControlState, write_state

CHECKPOINT_PART_CHARS = 256 * 1024  # JSON escaping in the record may double this


@attrs.frozen
class StateIncomplete(Failure):
    """The state lacks earlier records, so no checkpoint of it may be written."""

    next_offset: int

    @property
    def detail(self) -> str:
        """One sentence that describes the failure."""
        return f"The control state before offset {self.next_offset} is incomplete."


@attrs.frozen
class CheckpointDue:
    """A checkpoint is to be written now.

    Parameters
    ----------
    oldest_needed_ms : int
        Wall time of the oldest record that a new reader needs, in milliseconds since
        the Unix epoch; the present time if that is unknown.
    """

    oldest_needed_ms: int


@attrs.frozen
class CheckpointLater:
    """No checkpoint is needed before `due_ms`, a wall time in milliseconds."""

    due_ms: int


@attrs.frozen
class CheckpointImpossible:
    """The host has no complete state from which to write a checkpoint."""


CheckpointDecision = CheckpointDue | CheckpointLater | CheckpointImpossible


def checkpoint_records(
    state: ControlState,
    checkpoint_id: str,
    writer: Writer,
    now: Instant,
    part_chars: int = CHECKPOINT_PART_CHARS,
) -> Result[tuple[Record, ...], StateIncomplete]:
    """Return the records of a checkpoint of the state.

    Parameters
    ----------
    state : ControlState
        Complete state.
    checkpoint_id : str
        Identifier that no other checkpoint has.
    writer : Writer
        The process that writes the checkpoint.
    now : Instant
        Present time.
    part_chars : int
        Maximum number of characters of the state's JSON text in one record.

    Returns
    -------
    Result
        The records to append, in any order, or a failure if the state is incomplete.
    """
    if not state.complete:
        return Err(StateIncomplete(state.next_offset))
    text = write_state(state)
    chunks = [text[at : at + part_chars] for at in range(0, len(text), part_chars)]
    digest = hashlib.sha256(text.encode()).hexdigest()
    return Ok(
        tuple(
            make_control_record(
                f"{checkpoint_id}.{part}",
                CheckpointBody(
                    checkpoint_id=checkpoint_id,
                    part=part,
                    parts=len(chunks),
                    upto_offset=state.next_offset - 1,
                    digest=digest,
                    state=chunk,
                ),
                writer,
                now,
            )
            for part, chunk in enumerate(chunks)
        )
    )


def decide_checkpoint(
    state: ControlState, log_retention_ms: int, now: Instant
) -> CheckpointDecision:
    """Decide whether the host with the checkpoint duty writes a checkpoint.

    Parameters
    ----------
    state : ControlState
        State of this host.
    log_retention_ms : int
        Time for which the log keeps records, in milliseconds.
    now : Instant
        Present time.

    Returns
    -------
    CheckpointDecision
        Whether a checkpoint is due.

    Notes
    -----
    A new reader needs the newest complete checkpoint and all later entries. Their age
    is that of the checkpoint, or of the first entry if there is no checkpoint, and the
    next checkpoint is due when this age exceeds half of the retention. An empty stream
    gets a checkpoint at once, because offset 0 is reserved: a document or lease
    recorded there would have revision or fencing token 0, which means "none".
    """
    if not state.complete:
        return CheckpointImpossible()
    if state.next_offset == 0:
        return CheckpointDue(now.wall_ms)
    if state.checkpoint is not None:
        oldest_ms = state.checkpoint.written_ms
    elif state.first_written_ms is not None:
        oldest_ms = state.first_written_ms
    else:
        # The state is a peer's snapshot, so whether the log holds a checkpoint is
        # unknown.
        return CheckpointDue(now.wall_ms)
    due_ms = oldest_ms + log_retention_ms // 2
    if now.wall_ms > due_ms:
        return CheckpointDue(oldest_ms)
    return CheckpointLater(due_ms)
