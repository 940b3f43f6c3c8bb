"""Guards against checkpoints that are cut off, mixed up, or written too late."""

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
    read_state,
    start_state,
    write_state,
)

NOW = Instant(1_000_000, 0)
WRITER = Writer("a", Incarnation(1, 1))
RETENTION_MS = 100_000


def publication(number, at_ms=NOW.wall_ms):
    body = PublishBody(f"s{number}", 0, "x" * 50, "ann")
    return make_control_record(f"p{number}", body, WRITER, Instant(at_ms, 0))


def fold(records, first_offset=0, state=None):
    state = state or start_state(first_offset)
    for offset, record in enumerate(records, state.next_offset):
        state, _ = apply(state, LogEntry(offset, record), lambda _: True)
    return state


def parts_of(state, name="c", at_ms=NOW.wall_ms):
    return list(
        checkpoint_records(state, name, WRITER, Instant(at_ms, 0), 150).unwrap()
    )


BASE = fold([publication(number) for number in range(4)])
PARTS = parts_of(BASE)
OTHER = parts_of(fold([publication(9)], state=BASE), "d")
assert len(PARTS) > 2


def swap_state(record, text):
    return attrs.evolve(record, body={**record.body, "state": text})


CUT_OFF = {
    "first part expired": (PARTS[1:], 4),
    "last part missing": (PARTS[:-1], 4),
    "parts of two checkpoints": ([*PARTS[:-1], *OTHER[1:]], 4),
    "part changed": ([*PARTS[:-1], swap_state(PARTS[-1], "")], 4),
    "entries after it expired": (PARTS, 5),
    "no checkpoint": ([publication(7)], 4),
}


@pytest.mark.parametrize("case", CUT_OFF)
def test_unusable_checkpoint_leaves_the_reader_incomplete(case):
    records, first_offset = CUT_OFF[case]
    state = fold(records, first_offset)
    assert not state.complete
    assert not state.services
    assert checkpoint_records(state, "e", WRITER, NOW).is_err()
    assert decide_checkpoint(state, RETENTION_MS, NOW) == CheckpointImpossible()
    with pytest.raises(ValueError, match="incomplete"):
        write_state(state)


def test_later_checkpoint_completes_the_reader():
    later = [*PARTS[1:], publication(5)]
    full = fold(later, state=BASE)
    second = parts_of(full, "later")
    state = fold([*later, *second], 4)
    assert state.complete
    assert state == fold([*later, *second], state=BASE)


def test_complete_checkpoint_read_twice_changes_nothing():
    once = fold(PARTS, 4)
    twice = fold(parts_of(BASE, "copy"), state=once)
    assert (once.services, once.leases) == (BASE.services, BASE.leases)
    assert twice.services == once.services


def test_abandoned_checkpoints_do_not_accumulate():
    state = BASE
    for number in range(100):
        state = fold(parts_of(BASE, f"c{number}")[:1], state=state)
    assert len(state.partial) <= 16


def test_snapshot_with_a_wrong_field_is_refused_by_name():
    text = write_state(BASE).replace('"author":"ann"', '"author":7', 1)
    assert "author" in read_state(text).unwrap_err().detail


def test_checkpoint_is_due_at_half_of_the_retention():
    old = fold([publication(1, at_ms=0)])
    due = RETENTION_MS // 2
    assert decide_checkpoint(old, RETENTION_MS, Instant(due, 0)) == CheckpointLater(due)
    now = Instant(due + 1, 0)
    assert decide_checkpoint(old, RETENTION_MS, now) == CheckpointDue(0)
    renewed = fold(parts_of(old, at_ms=due), state=old)
    assert decide_checkpoint(renewed, RETENTION_MS, now) == CheckpointLater(2 * due)
    cut_off = fold(parts_of(old, at_ms=due)[:-1], state=old)
    assert decide_checkpoint(cut_off, RETENTION_MS, now) == CheckpointDue(0)


def test_empty_stream_and_snapshot_from_a_peer_get_a_checkpoint():
    empty = start_state(0)
    assert isinstance(decide_checkpoint(empty, RETENTION_MS, NOW), CheckpointDue)
    opened = fold(parts_of(empty))
    assert isinstance(decide_checkpoint(opened, RETENTION_MS, NOW), CheckpointLater)
    copied = read_state(write_state(BASE)).unwrap()
    assert isinstance(decide_checkpoint(copied, RETENTION_MS, NOW), CheckpointDue)
