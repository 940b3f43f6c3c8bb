"""Guards against lost publications, wrong lease holders and diverging readers."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from waxwingbarrow.core import Incarnation, Instant
from waxwingbarrow.state import (
    Accepted,
    CheckpointBody,
    Conflict,
    Ignored,
    IgnoredReason,
    LeaseBody,
    LogEntry,
    Malformed,
    PublishBody,
    ReleaseLeaseBody,
    VerdictBody,
    VerdictKey,
    VerdictKind,
    Writer,
    apply,
    checkpoint_records,
    make_control_record,
    make_initial_state,
    read_body,
    read_entry,
    read_record,
    read_state,
    write_record,
    write_state,
)

NOW = Instant(1_700_000_000_000, 0)
WRITER_A = Writer("a", Incarnation(1, 1))
WRITER_B = Writer("b", Incarnation(1, 2))
WRITER_A_RESTARTED = Writer("a", Incarnation(2, 1))
DONE, WITHDRAWN = VerdictKind.DONE, VerdictKind.WITHDRAWN
NO_OP_BODY = VerdictBody("none", 1, "v", DONE, "")


def is_valid(text):
    return text != "invalid"


def publish(base, text="{}", author="ann", service="s"):
    return PublishBody(service, base, text, author)


def lease(base, holder="a"):
    return LeaseBody("duty", holder, 1000, base)


def verdict(revision, kind, version="v2", by_deadline=False):
    return VerdictBody("s", revision, version, kind, "because", by_deadline)


def make_entries(steps):
    """Return log entries for the steps from offset 1; the one at 0 changes nothing."""
    steps = [
        (NO_OP_BODY, WRITER_A),
        *[s if isinstance(s, tuple) else (s, WRITER_A) for s in steps],
    ]
    return [
        LogEntry(offset, make_control_record(f"r{offset}", body, writer, NOW))
        for offset, (body, writer) in enumerate(steps)
    ]


def fold(entries, state=None):
    state = state or make_initial_state(0)
    results = []
    for entry in entries:
        state, apply_result = apply(state, entry, is_valid)
        results.append(apply_result)
    return state, results


OUTDATED = Ignored(IgnoredReason.OUTDATED)
CASES = {
    "first publication": ([publish(0)], Accepted(1)),
    "update": ([publish(0), publish(1)], Accepted(2)),
    "concurrent update": (
        [publish(0), publish(1, author="bo"), publish(1)],
        Conflict(2, "bo"),
    ),
    "concurrent first": ([publish(0, author="bo"), publish(0)], Conflict(1, "bo")),
    "base never existed": ([publish(7)], Conflict(0, "")),
    "other service": ([publish(0), publish(0, service="t")], Accepted(2)),
    "invalid document": (
        [publish(0, "invalid")],
        Malformed("The document of s is invalid."),
    ),
    "invalid document keeps the base": (
        [publish(0, "invalid"), publish(0)],
        Accepted(2),
    ),
    "lease": ([lease(0)], Accepted(1)),
    "renewal": ([lease(0), lease(1)], Accepted(2)),
    "takeover defeated by renewal": (
        [lease(0), lease(1), (lease(1, "b"), WRITER_B)],
        Conflict(2, "a"),
    ),
    "lease for another host": (
        [(lease(0), WRITER_B)],
        Malformed("Only a may take a lease for itself."),
    ),
    "lease after release": (
        [lease(0), ReleaseLeaseBody("duty", 1), (lease(1, "b"), WRITER_B)],
        Accepted(3),
    ),
    "released lease keeps its number": (
        [lease(0), ReleaseLeaseBody("duty", 1), (lease(0, "b"), WRITER_B)],
        Conflict(1, "a"),
    ),
    "release by another host": (
        [lease(0), (ReleaseLeaseBody("duty", 1), WRITER_B)],
        Conflict(1, "a"),
    ),
    "release by the restarted process": (
        [lease(0), (ReleaseLeaseBody("duty", 1), WRITER_A_RESTARTED)],
        Conflict(1, "a"),
    ),
    "late release after a renewal": (
        [lease(0), lease(1), ReleaseLeaseBody("duty", 1)],
        OUTDATED,
    ),
    "release of an unknown lease": ([ReleaseLeaseBody("x", 1)], Conflict(0, "")),
    "verdict": ([publish(0), verdict(1, DONE)], Accepted(2)),
    "verdict on an old revision": (
        [publish(0), publish(1), verdict(1, WITHDRAWN)],
        OUTDATED,
    ),
    "verdict without a document": ([verdict(1, DONE)], OUTDATED),
    "withdrawn after done": (
        [publish(0), verdict(1, DONE), verdict(1, WITHDRAWN)],
        Accepted(3),
    ),
    "withdrawn for the deadline after done": (
        [publish(0), verdict(1, DONE), verdict(1, WITHDRAWN, by_deadline=True)],
        OUTDATED,
    ),
    "done after withdrawn": (
        [publish(0), verdict(1, WITHDRAWN), verdict(1, DONE)],
        OUTDATED,
    ),
    "checkpoint of the future": (
        [CheckpointBody("c", 0, 1, 9, "", "")],
        Malformed("A checkpoint covers entries after itself."),
    ),
    "checkpoint with a wrong digest": (
        [CheckpointBody("c", 0, 1, 0, "", "{}")],
        Malformed("The digest of a checkpoint is wrong."),
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_result_of_the_last_record(case):
    steps, expected = CASES[case]
    _, results = fold(make_entries(steps))
    assert results[-1] == expected


def test_withdrawal_prevails_over_completion_in_either_order():
    for kinds in ([DONE, WITHDRAWN], [WITHDRAWN, DONE]):
        state, _ = fold(make_entries([publish(0), *[verdict(1, k) for k in kinds]]))
        assert state.verdicts[VerdictKey("s", 1, "v2")].verdict is WITHDRAWN


def test_new_revision_drops_the_verdicts_on_the_old_one():
    state, _ = fold(make_entries([publish(0), verdict(1, WITHDRAWN), publish(1)]))
    assert state.services["s"].revision == 3
    assert not state.verdicts


@pytest.mark.parametrize("body", [publish(0), lease(0)])
def test_record_at_offset_zero_is_not_accepted(body):
    # Base 0 means that there is no earlier record. A record accepted at offset 0 could
    # therefore be replaced by a record whose writer has not seen it.
    entry = LogEntry(0, make_control_record("r", body, WRITER_A, NOW))
    state, results = fold([entry])
    assert results == [Ignored(IgnoredReason.RESERVED_OFFSET)]
    assert not state.services
    assert not state.leases


def test_repeated_entry_or_entry_after_a_gap_changes_nothing():
    entries = make_entries([publish(0), lease(0)])
    state, _ = fold(entries)
    again, results = fold(entries, state)
    assert again == state
    assert set(results) == {Ignored(IgnoredReason.ALREADY_APPLIED)}
    ahead, results = fold([LogEntry(9, entries[1].record)], state)
    assert ahead == state
    assert results == [Ignored(IgnoredReason.GAP)]


@pytest.mark.parametrize("body", [publish(0), lease(0)])
def test_repeated_append_is_not_reported_as_a_conflict(body):
    """Guards against reporting a conflict to the operator whose record was accepted."""
    entries = make_entries([body])
    records = [*entries, LogEntry(2, entries[1].record)]
    state, results = fold(records)
    assert results[1:] == [Accepted(1), Ignored(IgnoredReason.REPEATED)]
    # A repeat outside the window of record ids is not recognised but changes nothing.
    fillers = [
        LogEntry(offset, make_control_record(f"f{offset}", NO_OP_BODY, WRITER_A, NOW))
        for offset in range(3, 1_500)
    ]
    later, _ = fold([*fillers, LogEntry(1_500, entries[1].record)], state)
    assert (later.services, later.leases) == (state.services, state.leases)
    assert len(later.seen) == 1_024


def test_records_of_unknown_kind_and_invalid_records_are_skipped():
    known = write_record(make_control_record("r", NO_OP_BODY, WRITER_A, NOW))
    entries = [
        read_entry(0, {**known, "kind": "newer"}),
        read_entry(1, {"kind": 5}),
        read_entry(2, "text"),
        read_entry(3, {**known, "record_id": "q", "body": {"service": 1}}),
        read_entry(4, {**known, "record_id": "p", "body": []}),
    ]
    state, results = fold(entries)
    assert results[0] == Ignored(IgnoredReason.UNKNOWN_KIND)
    assert all(isinstance(apply_result, Malformed) for apply_result in results[1:])
    assert "service" in results[3].detail
    assert state.next_offset == 5


@pytest.mark.parametrize(
    "body",
    [
        publish(0),
        lease(3),
        ReleaseLeaseBody("d", 4),
        verdict(5, WITHDRAWN),
        CheckpointBody("c", 0, 2, -1, "d", "x"),
    ],
)
def test_record_and_body_round_trip_through_json(body):
    record = make_control_record("r", body, WRITER_A, NOW)
    assert read_record(write_record(record)) == Ok(record)
    assert read_body(record) == Ok(body)


# Steps of generated histories. Their bases are current or just outdated, so that all
# results occur.
HISTORY_STEPS = st.tuples(
    st.sampled_from(["publish", "lease", "release", "verdict", "repeat"]),
    st.integers(0, 3),
    st.sampled_from([WRITER_A, WRITER_B]),
    st.booleans(),
)


def build_history(steps):
    state = make_initial_state(0)
    entries = make_entries([])
    state, _ = fold(entries, state)
    for kind, lag, writer, is_service_s in steps:
        offset = len(entries)
        service = "s" if is_service_s else "t"
        known = state.services.get(service)
        held = state.leases.get("duty")
        match kind:
            case "publish":
                revision = known.revision if known else 0
                text = "invalid" if lag == 3 else f"text {offset}"
                body = publish(max(0, revision - lag % 2), text, service=service)
            case "lease":
                fencing = held.fencing if held else 0
                body = lease(max(0, fencing - lag % 2), writer.host_id)
            case "release":
                body = ReleaseLeaseBody("duty", held.fencing if held else 1)
            case _:
                revision = known.revision if known else 1
                kind_of = WITHDRAWN if lag % 2 else DONE
                body = VerdictBody(service, revision, f"v{lag}", kind_of, "")
        record = make_control_record(f"r{offset}", body, writer, NOW)
        if kind == "repeat":
            record = entries[max(0, offset - 1 - lag)].record
        entries.append(LogEntry(offset, record))
        state, _ = fold(entries[-1:], state)
    return entries, state


def fold_by_full_search(entries):
    """Return which entries are accepted, by a search of all earlier ones for each.

    A reference for the fold that keeps no state between entries.
    """
    accepted, seen, results = [], set(), []
    for entry in entries:
        record, body = entry.record, read_body(entry.record).ok()
        wins = record.record_id not in seen
        seen.add(record.record_id)
        if isinstance(body, PublishBody):
            wins &= body.base_revision == find_revision(accepted, body.service)
            wins &= is_valid(body.document)
        elif isinstance(body, LeaseBody):
            taken = [o for o, b, _ in accepted if isinstance(b, LeaseBody)]
            wins &= body.base_fencing == max(taken, default=0)
        elif isinstance(body, ReleaseLeaseBody):
            taken = [(o, w) for o, b, w in accepted if isinstance(b, LeaseBody)]
            freed = [b for _, b, _ in accepted if isinstance(b, ReleaseLeaseBody)]
            wins &= bool(taken) and max(taken)[1] == record.writer
            wins &= bool(taken) and body.fencing == max(taken)[0] and body not in freed
        else:
            wins &= 0 < find_revision(accepted, body.service) == body.revision
            earlier = {
                b.verdict
                for _, b, _ in accepted
                if isinstance(b, VerdictBody)
                and (b.service, b.revision, b.version)
                == (body.service, body.revision, body.version)
            }
            wins &= body.verdict not in earlier and WITHDRAWN not in earlier
        if wins:
            accepted.append((entry.offset, body, record.writer))
        results.append(wins)
    return results


def find_revision(accepted, service):
    return max(
        (
            offset
            for offset, body, _ in accepted
            if isinstance(body, PublishBody) and body.service == service
        ),
        default=0,
    )


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(HISTORY_STEPS, max_size=30))
def test_fold_accepts_the_same_entries_as_a_full_search(steps):
    entries, _ = build_history(steps)
    _, results = fold(entries)
    assert [isinstance(a, Accepted) for a in results] == fold_by_full_search(entries)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(HISTORY_STEPS, min_size=1, max_size=25), st.data())
def test_reader_from_a_checkpoint_computes_the_state_of_a_full_reader(steps, data):
    """Guards against a checkpoint that loses an entry or makes it apply twice."""
    entries, _ = build_history(steps)
    taken_at = data.draw(st.integers(1, len(entries)))
    rng = random.Random(data.draw(st.integers(0, 999)))
    base, _ = fold(entries[:taken_at])
    parts = list(checkpoint_records(base, "c", WRITER_B, NOW, part_chars=200).unwrap())
    parts += rng.sample(parts, rng.randint(0, len(parts)))
    rng.shuffle(parts)
    records = [entry.record for entry in entries]
    for part in parts:
        records.insert(rng.randint(taken_at, len(records)), part)
    log = [LogEntry(offset, record) for offset, record in enumerate(records)]
    full, _ = fold(log)
    late, _ = fold(log[taken_at:], make_initial_state(taken_at))
    assert late.complete
    assert late == full
    assert write_state(late) == write_state(full)
    assert read_state(write_state(full)) == Ok(full)
