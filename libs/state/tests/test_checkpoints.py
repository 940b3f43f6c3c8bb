"""Guards against incomplete, mixed or late checkpoints and states read from them."""

import attrs
import pytest

from waxwingbarrow.core import Incarnation, Instant
from waxwingbarrow.state import (
    CheckpointDue,
    CheckpointImpossible,
    CheckpointLater,
    LogEntry,
    PublishBody,
    Writer,
    apply,
    checkpoint_records,
    decide_checkpoint,
    make_control_record,
    make_initial_state,
    read_state,
    write_state,
)

NOW = Instant(1_000_000, 0)
WRITER = Writer("a", Incarnation(1, 1))
RETENTION_MS = 100_000


def publication(number, at_ms=NOW.wall_ms):
    body = PublishBody(f"s{number}", 0, "x" * 50, "ann")
    return make_control_record(f"p{number}", body, WRITER, Instant(at_ms, 0))


def fold(records, first_offset=0, state=None):
    state = state or make_initial_state(first_offset)
    for offset, record in enumerate(records, state.next_offset):
        state, _ = apply(state, LogEntry(offset, record), lambda _: True)
    return state


def write_checkpoint(state, name="c", at_ms=NOW.wall_ms):
    return list(
        checkpoint_records(state, name, WRITER, Instant(at_ms, 0), 150).unwrap()
    )


FOUR_PUBLICATIONS = fold([publication(number) for number in range(4)])
CHECKPOINT_PARTS = write_checkpoint(FOUR_PUBLICATIONS)
OTHER_CHECKPOINT_PARTS = write_checkpoint(
    fold([publication(9)], state=FOUR_PUBLICATIONS), "d"
)
assert len(CHECKPOINT_PARTS) > 2


def replace_state_text(record, text):
    return attrs.evolve(record, body={**record.body, "state": text})


UNUSABLE_CHECKPOINTS = {
    "first part expired": (CHECKPOINT_PARTS[1:], 4),
    "last part missing": (CHECKPOINT_PARTS[:-1], 4),
    "parts of two checkpoints": (
        [*CHECKPOINT_PARTS[:-1], *OTHER_CHECKPOINT_PARTS[1:]],
        4,
    ),
    "part changed": (
        [*CHECKPOINT_PARTS[:-1], replace_state_text(CHECKPOINT_PARTS[-1], "")],
        4,
    ),
    "entries after it expired": (CHECKPOINT_PARTS, 5),
    "no checkpoint": ([publication(7)], 4),
}


@pytest.mark.parametrize("case", UNUSABLE_CHECKPOINTS)
def test_unusable_checkpoint_leaves_the_state_incomplete(case):
    records, first_offset = UNUSABLE_CHECKPOINTS[case]
    state = fold(records, first_offset)
    assert not state.complete
    assert not state.services
    assert checkpoint_records(state, "e", WRITER, NOW).is_err()
    assert decide_checkpoint(state, RETENTION_MS, NOW) == CheckpointImpossible()
    with pytest.raises(ValueError, match="incomplete"):
        write_state(state)


def test_checkpoint_after_an_unusable_one_completes_the_state():
    later = [*CHECKPOINT_PARTS[1:], publication(5)]
    full = fold(later, state=FOUR_PUBLICATIONS)
    second = write_checkpoint(full, "later")
    state = fold([*later, *second], 4)
    assert state.complete
    assert state == fold([*later, *second], state=FOUR_PUBLICATIONS)


def test_second_checkpoint_of_the_same_state_changes_nothing():
    once = fold(CHECKPOINT_PARTS, 4)
    twice = fold(write_checkpoint(FOUR_PUBLICATIONS, "copy"), state=once)
    assert (once.services, once.leases) == (
        FOUR_PUBLICATIONS.services,
        FOUR_PUBLICATIONS.leases,
    )
    assert twice.services == once.services


def test_parts_of_abandoned_checkpoints_stay_bounded():
    state = FOUR_PUBLICATIONS
    for number in range(100):
        state = fold(write_checkpoint(FOUR_PUBLICATIONS, f"c{number}")[:1], state=state)
    assert len(state.partial) <= 16


def test_error_for_an_invalid_snapshot_names_the_field():
    text = write_state(FOUR_PUBLICATIONS).replace('"author":"ann"', '"author":7', 1)
    assert "author" in read_state(text).unwrap_err().detail


def test_checkpoint_is_due_after_half_of_the_retention():
    old = fold([publication(1, at_ms=0)])
    due = RETENTION_MS // 2
    assert decide_checkpoint(old, RETENTION_MS, Instant(due, 0)) == CheckpointLater(due)
    now = Instant(due + 1, 0)
    assert decide_checkpoint(old, RETENTION_MS, now) == CheckpointDue(0)
    renewed = fold(write_checkpoint(old, at_ms=due), state=old)
    assert decide_checkpoint(renewed, RETENTION_MS, now) == CheckpointLater(2 * due)
    cut_off = fold(write_checkpoint(old, at_ms=due)[:-1], state=old)
    assert decide_checkpoint(cut_off, RETENTION_MS, now) == CheckpointDue(0)


def test_checkpoint_is_due_for_an_empty_stream_and_a_peer_snapshot():
    empty = make_initial_state(0)
    assert isinstance(decide_checkpoint(empty, RETENTION_MS, NOW), CheckpointDue)
    opened = fold(write_checkpoint(empty))
    assert isinstance(decide_checkpoint(opened, RETENTION_MS, NOW), CheckpointLater)
    copied = read_state(write_state(FOUR_PUBLICATIONS)).unwrap()
    assert isinstance(decide_checkpoint(copied, RETENTION_MS, NOW), CheckpointDue)
