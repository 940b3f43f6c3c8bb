"""Guards against requests that run twice and against false "not run" responses."""

import random
import uuid

import attrs
import pytest
from transitions import MachineError

from waxwingbarrow.claims import (
    AbandonedClaimWon,
    Append,
    ClaimEventKind,
    ClaimIdentity,
    ClaimKey,
    ClaimLedger,
    ClaimLifecycle,
    ClaimPolicy,
    ClaimState,
    Expired,
    InProgress,
    Join,
    KeyUnknown,
    LocalClaims,
    MaySend,
    OutcomeLost,
    Released,
    ReplayAnswer,
    Settled,
    WaitForTail,
    check_key,
    compute_body_digest,
    decide_query,
    decide_unsettled,
    find_refusal,
    make_answer,
    make_claim_record,
    make_outcome_record,
    make_release_record,
    make_unknown_answer,
    refuse_unclaimed,
)
from waxwingbarrow.core import (
    Incarnation,
    Instant,
    KeyMalformed,
    KeyReused,
    KeyTooOld,
    Outcome,
    Overloaded,
    ValueNotAllowedError,
)
from waxwingbarrow.state import LogEntry, Writer

POLICY = ClaimPolicy(key_max_age_s=50, log_retention_s=60, outcome_max_bytes=16)
NOW = Instant(1_700_000_000_000, 0)
WRITER_A = Writer("a", Incarnation(1, 1))
WRITER_B = Writer("b", Incarnation(1, 2))
WRITER_A_RESTARTED = Writer("a", Incarnation(2, 1))
KEY_TEXT = str(uuid.UUID(int=(NOW.wall_ms << 80) | (7 << 76) | (2 << 62)))
KEY = ClaimKey(KEY_TEXT, NOW.wall_ms)
IDENTITY = ClaimIdentity("acme", "plough", KEY_TEXT)
ANSWER = make_answer(200, "text/plain", b"booked", POLICY)
UNKNOWN_ANSWER = make_unknown_answer()


def claim(claim_id, writer=WRITER_A, digest="d", identity=IDENTITY):
    return make_claim_record(claim_id, identity, digest, claim_id, writer, NOW)


def outcome(claim_id, writer=WRITER_A, answer=ANSWER):
    return make_outcome_record(f"o-{claim_id}", claim_id, answer, writer, NOW)


def release(claim_id, writer=WRITER_A):
    return make_release_record(f"r-{claim_id}", claim_id, writer, NOW)


def apply_records(records, ledger=None):
    ledger = ledger or ClaimLedger()
    events = [
        ledger.apply(LogEntry(offset, record))
        for offset, record in enumerate(records, ledger.next_offset)
    ]
    return ledger, [event.kind for event in events]


def make_key_text(offset_ms, version=7):
    number = ((NOW.wall_ms + offset_ms) << 80) | (version << 76) | (2 << 62)
    return str(uuid.UUID(int=number))


KEY_CASES = {
    "new": (KEY_TEXT, None),
    "upper case": (KEY_TEXT.upper(), None),
    "at the age limit": (make_key_text(-50_000), None),
    "too old": (make_key_text(-50_001), KeyTooOld),
    "at the clock skew limit": (make_key_text(2_000), None),
    "beyond the clock skew limit": (make_key_text(2_001), KeyMalformed),
    "UUID version 4": (make_key_text(0, 4), KeyMalformed),
    "no hyphens": (KEY_TEXT.replace("-", ""), KeyMalformed),
    "braces": ("{" + KEY_TEXT + "}", KeyMalformed),
    "empty": ("", KeyMalformed),
    "not ASCII": ("ä" * 36, KeyMalformed),
}


@pytest.mark.parametrize("case", KEY_CASES)
def test_key_is_accepted_or_refused(case):
    text, refused = KEY_CASES[case]
    found = check_key(text, NOW, POLICY)
    if refused is None:
        assert found.unwrap().text == text.lower()
        return
    assert type(found.unwrap_err()) is refused
    assert found.unwrap_err().outcome is Outcome.UNKNOWN
    first = check_key(text, NOW, POLICY, first_attempt=True)
    assert first.unwrap_err().outcome is Outcome.NOT_RUN


@pytest.mark.parametrize("max_age_s", [56, 60, 0])
def test_policy_rejects_keys_that_outlive_their_claims(max_age_s):
    with pytest.raises(ValueNotAllowedError):
        ClaimPolicy(max_age_s, log_retention_s=60, max_clock_skew_ms=2_000)


def test_digest_separates_the_route_from_the_body():
    assert compute_body_digest("a", b"bc") != compute_body_digest("ab", b"c")


WON, LOST, COMPLETED, RELEASED, IGNORED = (
    ClaimEventKind.WON,
    ClaimEventKind.LOST,
    ClaimEventKind.COMPLETED,
    ClaimEventKind.RELEASED,
    ClaimEventKind.IGNORED,
)
HISTORY_CASES = {
    "second claim loses": ([claim("1"), claim("2", WRITER_B)], [WON, LOST]),
    "other account": (
        [claim("1"), claim("2", identity=ClaimIdentity("b", "plough", KEY_TEXT))],
        [WON, WON],
    ),
    "claim after the outcome": (
        [claim("1"), outcome("1"), claim("2")],
        [WON, COMPLETED, LOST],
    ),
    "claim after the release": (
        [claim("1"), release("1"), claim("2", WRITER_B)],
        [WON, RELEASED, WON],
    ),
    "loser does not win by a later release": (
        [claim("1"), claim("2", WRITER_B), release("1"), outcome("2", WRITER_B)],
        [WON, LOST, RELEASED, IGNORED],
    ),
    "repeated claim after the release": (
        [claim("1"), release("1"), claim("1"), claim("2", WRITER_B)],
        [WON, RELEASED, IGNORED, WON],
    ),
    "repeated release after the next claim": (
        [claim("1"), release("1"), claim("2"), release("1"), claim("3")],
        [WON, RELEASED, WON, IGNORED, LOST],
    ),
    "release by another host": ([claim("1"), release("1", WRITER_B)], [WON, IGNORED]),
    "release by the restarted process": (
        [claim("1"), release("1", WRITER_A_RESTARTED)],
        [WON, IGNORED],
    ),
    "outcome by another host": ([claim("1"), outcome("1", WRITER_B)], [WON, IGNORED]),
    "release after the outcome": (
        [claim("1"), outcome("1"), release("1")],
        [WON, COMPLETED, IGNORED],
    ),
    "second outcome": (
        [claim("1"), outcome("1"), outcome("1", answer=UNKNOWN_ANSWER)],
        [WON, COMPLETED, IGNORED],
    ),
    "outcome of an unknown claim": ([outcome("9")], [IGNORED]),
    "unknown kind": ([attrs.evolve(claim("1"), kind="newer")], [IGNORED]),
    "field missing": (
        [attrs.evolve(claim("1"), body={"claim_id": "1"}), claim("1")],
        [ClaimEventKind.MALFORMED, WON],
    ),
    "body not base64": (
        [
            claim("1"),
            attrs.evolve(outcome("1"), body={**outcome("1").body, "body": "?"}),
        ],
        [WON, ClaimEventKind.MALFORMED],
    ),
    "outcome not run": (
        [claim("1"), outcome("1", answer=attrs.evolve(ANSWER, outcome="not_run"))],
        [WON, ClaimEventKind.MALFORMED],
    ),
}


@pytest.mark.parametrize("case", HISTORY_CASES)
def test_ledger_events_of_a_history(case):
    records, expected = HISTORY_CASES[case]
    assert apply_records(records)[1] == expected


def test_ledger_refuses_an_entry_after_a_gap():
    ledger, _ = apply_records([claim("1")])
    event = ledger.apply(LogEntry(2, claim("2", WRITER_B)))
    assert event.kind is ClaimEventKind.OUT_OF_ORDER
    assert ledger.next_offset == 1
    assert ledger.apply(LogEntry(0, claim("3"))).kind is IGNORED
    local = LocalClaims(ledger, WRITER_B, POLICY, lambda *_: False)
    with pytest.raises(ValueError, match="before entry 1"):
        local.apply(LogEntry(2, claim("2", WRITER_B)), NOW)


def test_trim_removes_only_claims_before_the_offset():
    records = [claim("1"), claim("2", WRITER_B), outcome("1"), release("1"), claim("3")]
    other = ClaimIdentity("b", "plough", KEY_TEXT)
    ledger, _ = apply_records([*records, claim("4", identity=other)])
    ledger.trim(5)
    assert ledger.find(IDENTITY) is None
    assert ledger.find(other).claim_id == "4"
    ledger.trim(9)
    assert ledger.identity_count == 0
    assert ledger.next_offset == 9


def test_oldest_answer_bodies_are_dropped_beyond_the_memory_limit():
    ledger = ClaimLedger(max_total_answer_bytes=12)
    identities = [ClaimIdentity("acme", "s", str(number)) for number in range(3)]
    for number, claimed_identity in enumerate(identities):
        records = [claim(str(number), identity=claimed_identity), outcome(str(number))]
        apply_records(records, ledger)
    answers = [ledger.find(claimed_identity).answer for claimed_identity in identities]
    assert [answer.body for answer in answers] == [None, b"booked", b"booked"]
    assert answers[0].body_omitted
    assert ledger.find(identities[0]).state is ClaimState.COMPLETED


def test_body_above_the_size_limit_is_omitted():
    large = make_answer(200, "text/plain", b"x" * 17, POLICY)
    assert (large.body, large.body_omitted) == (None, True)


def find_by_replay(records, identity):
    """Return the claim in force and its state by replaying all records."""
    active, seen, states = None, set(), {}
    for record in records:
        body, writer = record.body, (record.writer, record.incarnation)
        claim_id = body["claim_id"]
        if record.kind == "claim":
            if body["key"] != identity.key:
                continue
            if claim_id not in seen and states.get(active, "released") == "released":
                active = (claim_id, writer)
                states[active] = "claimed"
            seen.add(claim_id)
        elif active == (claim_id, writer) and states[active] == "claimed":
            states[active] = "completed" if record.kind == "outcome" else "released"
    return active and (active[0], states[active])


def test_ledger_agrees_with_a_replay_of_random_histories():
    rng = random.Random(5)
    identities = [ClaimIdentity("acme", "s", str(number)) for number in range(2)]
    for length in range(400):
        ledger, records = ClaimLedger(), []
        for number in range(length % 40):
            claim_id = str(rng.randint(0, number // 3))
            writer = rng.choice([WRITER_A, WRITER_B, WRITER_A_RESTARTED])
            # Each claim id is used for one identity only.
            claimed_identity = identities[int(claim_id) % 2]
            make = rng.choice([claim, claim, outcome, release])
            record = make(claim_id, writer)
            if make is claim:
                record = claim(claim_id, writer, identity=claimed_identity)
            records.append(record)
            apply_records([record], ledger)
        for queried_identity in identities:
            view = ledger.find(queried_identity)
            found = view and (view.claim_id, view.state)
            assert found == find_by_replay(records, queried_identity)


class Process:
    """A process that reads a shared log through its own ledger."""

    def __init__(self, log, writer=WRITER_A, writer_ended=False):
        self.log = log
        self.local = LocalClaims(ClaimLedger(), writer, POLICY, lambda *_: writer_ended)

    def begin(self, claim_id, digest="d", first=False, now=NOW):
        return self.local.begin(IDENTITY, KEY, digest, first, claim_id, now)

    def claim(self, claim_id, **options):
        begun = self.begin(claim_id, **options)
        assert isinstance(begun, Append)
        self.log.append(begun.record)
        return begun.claim

    def read(self, now=NOW):
        start = self.local.ledger.next_offset
        steps = [
            self.local.apply(LogEntry(offset, record), now)
            for offset, record in enumerate(self.log[start:], start)
        ]
        return [step for step in steps if step is not None]


def decide_as_loser(records, digest="d", writer_ended=False):
    """Return the decision on a claim that another process appends after `records`.

    The process has not read `records` when it appends its claim.
    """
    process = Process([*records], WRITER_B, writer_ended)
    process.claim("x", digest=digest)
    (step,) = process.read()
    assert not step.must_release
    return step.decision


LOSER_CASES = {
    "winner is running": (
        decide_as_loser([claim("1")]),
        InProgress,
        Outcome.IN_PROGRESS,
    ),
    "winner has ended": (
        decide_as_loser([claim("1")], writer_ended=True),
        OutcomeLost,
        Outcome.UNKNOWN,
    ),
    "winner lost the response": (
        decide_as_loser([claim("1"), outcome("1", answer=UNKNOWN_ANSWER)]),
        OutcomeLost,
        Outcome.UNKNOWN,
    ),
    "different body": (
        decide_as_loser([claim("1")], digest="e"),
        KeyReused,
        Outcome.UNKNOWN,
    ),
    "different body, completed": (
        decide_as_loser([claim("1"), outcome("1")], digest="e"),
        KeyReused,
        Outcome.UNKNOWN,
    ),
}


@pytest.mark.parametrize("case", LOSER_CASES)
def test_losing_claim_is_never_refused_as_not_run(case):
    decision, kind, expected = LOSER_CASES[case]
    assert type(decision) is kind
    refusal = find_refusal(decision)
    assert refusal.outcome is expected
    assert refuse_unclaimed(refusal, first_attempt=True).outcome is expected


def test_losing_claim_replays_the_recorded_answer():
    decision = decide_as_loser([claim("1"), outcome("1")])
    assert decision == ReplayAnswer(ANSWER)
    assert find_refusal(decision) is None


def test_completed_request_is_answered_without_an_append():
    process = Process([claim("1"), outcome("1")], WRITER_B)
    process.read()
    assert process.begin("x") == ReplayAnswer(ANSWER)


def test_winning_claim_is_sent_recorded_and_replayed():
    process = Process([])
    pending = process.claim("1")
    assert process.begin("2") == Join(pending)
    assert process.begin("3", digest="e") == KeyReused(earlier_attempts_unknown=True)
    assert process.read() == [Settled(pending, MaySend(), must_release=False)]
    process.local.start_sending(pending)
    process.local.mark_unsent(pending)
    process.local.start_sending(pending)
    process.log.append(process.local.complete(pending, ANSWER, "o", NOW))
    assert process.begin("4").claim.answer == ANSWER
    process.read()
    assert process.local.pending_count == 0
    assert process.begin("5") == ReplayAnswer(ANSWER)


def test_lost_response_is_recorded_as_unknown():
    process = Process([])
    pending = process.claim("1")
    process.read()
    process.local.start_sending(pending)
    process.log.append(process.local.lose_response(pending, "o", NOW))
    assert isinstance(process.begin("2"), InProgress)
    process.read()
    assert find_refusal(process.begin("3")).outcome is Outcome.UNKNOWN
    with pytest.raises(MachineError):
        process.local.release(pending, "r", NOW)


def test_released_claim_may_be_claimed_again():
    process = Process([])
    pending = process.claim("1")
    process.read()
    process.log.append(process.local.release(pending, "r", NOW))
    process.read()
    second = process.claim("2")
    assert process.read() == [Settled(second, MaySend(), must_release=False)]


def test_abandoned_claim_is_released_and_never_sent():
    process = Process([])
    begun = process.begin("1")
    assert process.local.abandon(begun.claim).outcome is Outcome.UNKNOWN
    process.log.append(begun.record)
    assert process.read() == [AbandonedClaimWon(begun.claim)]
    with pytest.raises(MachineError):
        process.local.start_sending(begun.claim)
    process.log.append(process.local.release(begun.claim, "r", NOW))
    process.read()
    assert process.local.ledger.find(IDENTITY).state is ClaimState.RELEASED
    assert process.local.pending_count == 0


def test_abandoned_claim_that_loses_or_never_appears_is_forgotten():
    process = Process([claim("0", WRITER_B)])
    process.local.abandon(process.claim("1"))
    assert process.read() == []
    assert process.local.pending_count == 0
    other = Process([])
    other.local.abandon(other.begin("1").claim)
    other.local.forget_expired(NOW.plus_ms(50_000))
    assert other.local.pending_count == 1
    other.local.forget_expired(NOW.plus_ms(50_001))
    assert other.local.pending_count == 0


def test_claim_read_back_after_earlier_claims_expired_is_not_sent():
    """Guards against a resend after the log has dropped the claim of the first run."""
    log = [claim("1"), outcome("1")]
    process = Process(log, WRITER_B)
    pending = process.claim("2")
    # The process is paused until the log no longer retains the first claim.
    process.local.trim(2)
    (step,) = process.read(NOW.plus_ms(60_000))
    assert isinstance(step.decision, Expired)
    assert step.decision.refusal.outcome is Outcome.UNKNOWN
    assert step.must_release
    process.log.append(process.local.release(pending, "r", NOW))
    with pytest.raises(MachineError):
        process.local.start_sending(pending)


def test_earlier_attempt_may_win_after_a_later_one_was_released():
    """Guards against "not run" for a resend whose first append is still in flight."""
    log = []
    first, second = Process(log, WRITER_A), Process(log, WRITER_B)
    delayed = first.begin("1", first=True)
    pending = second.claim("2")
    second.read()
    log.append(second.local.release(pending, "r", NOW))
    refusal = refuse_unclaimed(Overloaded(), first_attempt=False)
    assert refusal.outcome is Outcome.UNKNOWN
    log.append(delayed.record)
    assert first.read()[-1].decision == MaySend()


@pytest.mark.parametrize("first", [True, False])
def test_refusals_before_the_claim_was_read_back(first):
    expected = Outcome.NOT_RUN if first else Outcome.UNKNOWN
    process = Process([])
    failed = process.local.fail_append(process.begin("1", first=first).claim)
    assert failed.outcome is expected
    assert decide_unsettled(first).outcome is expected
    assert refuse_unclaimed(Overloaded(), first).outcome is expected
    assert isinstance(process.begin("2"), Append)


def query(records, next_offset, tail, now=NOW, writer_ended=False):
    ledger, _ = apply_records(records)
    view = ledger.find(IDENTITY)
    return decide_query(
        view, KEY, next_offset, tail, lambda *_: writer_ended, POLICY, now
    )


LATER = NOW.plus_ms(50_001)
QUERY_CASES = {
    "tail offset unknown": (query([], 0, None), WaitForTail),
    "ledger lags": (query([], 4, 5), WaitForTail),
    "tail reached": (query([], 5, 5), KeyUnknown),
    "claims may have expired": (query([], 5, 5, LATER), Expired),
    "completed": (query([claim("1"), outcome("1")], 2, None), ReplayAnswer),
    "lost response": (
        query([claim("1"), outcome("1", answer=UNKNOWN_ANSWER)], 2, None),
        OutcomeLost,
    ),
    "claimed, ledger lags": (query([claim("1")], 1, 2), WaitForTail),
    "claimed": (query([claim("1")], 1, 1), InProgress),
    "writer has ended": (query([claim("1")], 1, 1, writer_ended=True), OutcomeLost),
    "released, ledger lags": (query([claim("1"), release("1")], 2, 3), WaitForTail),
    "released": (query([claim("1"), release("1")], 2, 2), Released),
}


@pytest.mark.parametrize("case", QUERY_CASES)
def test_query_decision(case):
    found, expected = QUERY_CASES[case]
    assert type(found) is expected


FORBIDDEN_PATHS = {
    "sent without a claim": ["append", "send"],
    "sent twice": ["append", "win", "send", "send"],
    "sent after loss": ["append", "lose", "send"],
    "sent after abandonment": ["append", "abandon", "send"],
    "won after abandonment": ["append", "abandon", "win"],
    "sent after release": ["append", "win", "release", "send"],
    "released while sent": ["append", "win", "send", "release"],
    "released after a lost response": [
        "append",
        "win",
        "send",
        "lose_response",
        "release",
    ],
    "sent again after a lost response": [
        "append",
        "win",
        "send",
        "lose_response",
        "not_sent",
    ],
    "sent after a failed append": ["append", "fail", "send"],
}


@pytest.mark.parametrize("case", FORBIDDEN_PATHS)
def test_lifecycle_forbids_the_last_step(case):
    *allowed, forbidden = FORBIDDEN_PATHS[case]
    lifecycle = ClaimLifecycle()
    for step in allowed:
        getattr(lifecycle, step)()
    with pytest.raises(MachineError):
        getattr(lifecycle, forbidden)()
