"""Guards against requests that run twice and against false "not run" responses."""

import random
import uuid

import attrs
import pytest
from transitions import MachineError

from waxwingbarrow.claims import (
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
    Reappeared,
    Released,
    ReplayAnswer,
    Settled,
    WaitForTail,
    WriterGone,
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
ANNA = Writer("a", Incarnation(1, 1))
BERT = Writer("b", Incarnation(1, 2))
ANNA_RESTARTED = Writer("a", Incarnation(2, 1))
KEY_TEXT = str(uuid.UUID(int=(NOW.wall_ms << 80) | (7 << 76) | (2 << 62)))
KEY = ClaimKey(KEY_TEXT, NOW.wall_ms)
IDENTITY = ClaimIdentity("acme", "plough", KEY_TEXT)
ANSWER = make_answer(200, "text/plain", b"booked", POLICY)
LOST_ANSWER = make_unknown_answer()


def claim(claim_id, writer=ANNA, digest="d", identity=IDENTITY):
    return make_claim_record(claim_id, identity, digest, claim_id, writer, NOW)


def outcome(claim_id, writer=ANNA, answer=ANSWER):
    return make_outcome_record(f"o-{claim_id}", claim_id, answer, writer, NOW)


def release(claim_id, writer=ANNA):
    return make_release_record(f"r-{claim_id}", claim_id, writer, NOW)


def fold(records, ledger=None):
    ledger = ledger or ClaimLedger()
    events = [
        ledger.apply(LogEntry(offset, record))
        for offset, record in enumerate(records, ledger.next_offset)
    ]
    return ledger, [event.kind for event in events]


def key_at(offset_ms, version=7):
    number = ((NOW.wall_ms + offset_ms) << 80) | (version << 76) | (2 << 62)
    return str(uuid.UUID(int=number))


KEYS = {
    "new": (KEY_TEXT, None),
    "upper case": (KEY_TEXT.upper(), None),
    "at the age limit": (key_at(-50_000), None),
    "too old": (key_at(-50_001), KeyTooOld),
    "fast clock": (key_at(2_000), None),
    "future": (key_at(2_001), KeyMalformed),
    "random version": (key_at(0, 4), KeyMalformed),
    "no hyphens": (KEY_TEXT.replace("-", ""), KeyMalformed),
    "braces": ("{" + KEY_TEXT + "}", KeyMalformed),
    "empty": ("", KeyMalformed),
    "not ASCII": ("ä" * 36, KeyMalformed),
}


@pytest.mark.parametrize("case", KEYS)
def test_key(case):
    text, refused = KEYS[case]
    found = check_key(text, NOW, POLICY)
    if refused is None:
        assert found.unwrap().text == text.lower()
        return
    assert type(found.unwrap_err()) is refused
    assert found.unwrap_err().outcome is Outcome.UNKNOWN
    first = check_key(text, NOW, POLICY, first_attempt=True)
    assert first.unwrap_err().outcome is Outcome.NOT_RUN


@pytest.mark.parametrize("max_age_s", [56, 60, 0])
def test_policy_keeps_claims_longer_than_keys_are_accepted(max_age_s):
    with pytest.raises(ValueNotAllowedError):
        ClaimPolicy(max_age_s, log_retention_s=60, max_clock_skew_ms=2_000)


def test_digest_separates_routes():
    assert compute_body_digest("a", b"bc") != compute_body_digest("ab", b"c")


WON, LOST, COMPLETED, RELEASED, IGNORED = (
    ClaimEventKind.WON,
    ClaimEventKind.LOST,
    ClaimEventKind.COMPLETED,
    ClaimEventKind.RELEASED,
    ClaimEventKind.IGNORED,
)
HISTORIES = {
    "second claim loses": ([claim("1"), claim("2", BERT)], [WON, LOST]),
    "other account": (
        [claim("1"), claim("2", identity=ClaimIdentity("b", "plough", KEY_TEXT))],
        [WON, WON],
    ),
    "claim after the outcome": (
        [claim("1"), outcome("1"), claim("2")],
        [WON, COMPLETED, LOST],
    ),
    "claim after the release": (
        [claim("1"), release("1"), claim("2", BERT)],
        [WON, RELEASED, WON],
    ),
    "loser does not win by a later release": (
        [claim("1"), claim("2", BERT), release("1"), outcome("2", BERT)],
        [WON, LOST, RELEASED, IGNORED],
    ),
    "repeated claim after the release": (
        [claim("1"), release("1"), claim("1"), claim("2", BERT)],
        [WON, RELEASED, IGNORED, WON],
    ),
    "repeated release after the next claim": (
        [claim("1"), release("1"), claim("2"), release("1"), claim("3")],
        [WON, RELEASED, WON, IGNORED, LOST],
    ),
    "release by another host": ([claim("1"), release("1", BERT)], [WON, IGNORED]),
    "release by the restarted process": (
        [claim("1"), release("1", ANNA_RESTARTED)],
        [WON, IGNORED],
    ),
    "outcome by another host": ([claim("1"), outcome("1", BERT)], [WON, IGNORED]),
    "release after the outcome": (
        [claim("1"), outcome("1"), release("1")],
        [WON, COMPLETED, IGNORED],
    ),
    "second outcome": (
        [claim("1"), outcome("1"), outcome("1", answer=LOST_ANSWER)],
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
    "outcome that says not run": (
        [claim("1"), outcome("1", answer=attrs.evolve(ANSWER, outcome="not_run"))],
        [WON, ClaimEventKind.MALFORMED],
    ),
}


@pytest.mark.parametrize("case", HISTORIES)
def test_history(case):
    records, expected = HISTORIES[case]
    assert fold(records)[1] == expected


def test_ledger_does_not_pass_over_missing_entries():
    ledger, _ = fold([claim("1")])
    event = ledger.apply(LogEntry(2, claim("2", BERT)))
    assert event.kind is ClaimEventKind.OUT_OF_ORDER
    assert ledger.next_offset == 1
    assert ledger.apply(LogEntry(0, claim("3"))).kind is IGNORED
    local = LocalClaims(ledger, BERT, POLICY, lambda *_: False)
    with pytest.raises(ValueError, match="before entry 1"):
        local.apply(LogEntry(2, claim("2", BERT)), NOW)


def test_trim_forgets_only_expired_claims():
    records = [claim("1"), claim("2", BERT), outcome("1"), release("1"), claim("3")]
    other = ClaimIdentity("b", "plough", KEY_TEXT)
    ledger, _ = fold([*records, claim("4", identity=other)])
    ledger.trim(5)
    assert ledger.find(IDENTITY) is None
    assert ledger.find(other).claim_id == "4"
    ledger.trim(9)
    assert ledger.identity_count == 0
    assert ledger.next_offset == 9


def test_answers_take_bounded_memory():
    ledger = ClaimLedger(max_answer_bytes=12)
    names = [ClaimIdentity("acme", "s", str(number)) for number in range(3)]
    for number, name in enumerate(names):
        records = [claim(str(number), identity=name), outcome(str(number))]
        fold(records, ledger)
    answers = [ledger.find(name).answer for name in names]
    assert [answer.body for answer in answers] == [None, b"booked", b"booked"]
    assert answers[0].body_omitted
    assert ledger.find(names[0]).state is ClaimState.COMPLETED


def test_large_answer_is_not_kept():
    large = make_answer(200, "text/plain", b"x" * 17, POLICY)
    assert (large.body, large.body_omitted) == (None, True)


def find_naively(records, identity):
    """Replay the whole history for each claim."""
    live, seen, states = None, set(), {}
    for record in records:
        body, writer = record.body, (record.writer, record.incarnation)
        claim_id = body["claim_id"]
        if record.kind == "claim":
            if body["key"] != identity.key:
                continue
            if claim_id not in seen and states.get(live, "released") == "released":
                live = (claim_id, writer)
                states[live] = "claimed"
            seen.add(claim_id)
        elif live == (claim_id, writer) and states[live] == "claimed":
            states[live] = "completed" if record.kind == "outcome" else "released"
    return live and (live[0], states[live])


def test_ledger_agrees_with_a_search_of_the_whole_history():
    rng = random.Random(5)
    names = [ClaimIdentity("acme", "s", str(number)) for number in range(2)]
    for length in range(400):
        ledger, records = ClaimLedger(), []
        for number in range(length % 40):
            claim_id = str(rng.randint(0, number // 3))
            writer = rng.choice([ANNA, BERT, ANNA_RESTARTED])
            # A claim id belongs to one identity.
            name = names[int(claim_id) % 2]
            make = rng.choice([claim, claim, outcome, release])
            record = make(claim_id, writer)
            if make is claim:
                record = claim(claim_id, writer, identity=name)
            records.append(record)
            fold([record], ledger)
        for each in names:
            view = ledger.find(each)
            found = view and (view.claim_id, view.state)
            assert found == find_naively(records, each)


class Process:
    """A process with its own reader of a shared log."""

    def __init__(self, log, writer=ANNA, gone=False):
        self.log = log
        self.local = LocalClaims(ClaimLedger(), writer, POLICY, lambda *_: gone)

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


def decide_as_loser(records, digest="d", gone=False):
    """Let another process claim after `records` without having read them."""
    process = Process([*records], BERT, gone)
    process.claim("x", digest=digest)
    (step,) = process.read()
    assert not step.must_release
    return step.decision


LOSERS = {
    "winner runs": (decide_as_loser([claim("1")]), InProgress, Outcome.IN_PROGRESS),
    "winner gone": (
        decide_as_loser([claim("1")], gone=True),
        WriterGone,
        Outcome.UNKNOWN,
    ),
    "winner lost the response": (
        decide_as_loser([claim("1"), outcome("1", answer=LOST_ANSWER)]),
        WriterGone,
        Outcome.UNKNOWN,
    ),
    "other body": (
        decide_as_loser([claim("1")], digest="e"),
        KeyReused,
        Outcome.UNKNOWN,
    ),
    "other body, completed": (
        decide_as_loser([claim("1"), outcome("1")], digest="e"),
        KeyReused,
        Outcome.UNKNOWN,
    ),
}


@pytest.mark.parametrize("case", LOSERS)
def test_loser_never_says_not_run(case):
    decision, kind, expected = LOSERS[case]
    assert type(decision) is kind
    refusal = find_refusal(decision)
    assert refusal.outcome is expected
    assert refuse_unclaimed(refusal, first_attempt=True).outcome is expected


def test_loser_replays_the_answer():
    decision = decide_as_loser([claim("1"), outcome("1")])
    assert decision == ReplayAnswer(ANSWER)
    assert find_refusal(decision) is None


def test_known_claim_is_answered_without_an_append():
    process = Process([claim("1"), outcome("1")], BERT)
    process.read()
    assert process.begin("x") == ReplayAnswer(ANSWER)


def test_winner_sends_records_and_replays():
    process = Process([])
    pending = process.claim("1")
    assert process.begin("2") == Join(pending)
    assert process.begin("3", digest="e") == KeyReused(earlier_attempts_unknown=True)
    assert process.read() == [Settled(pending, MaySend(), must_release=False)]
    process.local.start_sending(pending)
    process.local.retry_sending(pending)
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
    assert process.read() == [Reappeared(begun.claim)]
    with pytest.raises(MachineError):
        process.local.start_sending(begun.claim)
    process.log.append(process.local.release(begun.claim, "r", NOW))
    process.read()
    assert process.local.ledger.find(IDENTITY).state is ClaimState.RELEASED
    assert process.local.pending_count == 0


def test_abandoned_claim_that_loses_or_never_appears_is_forgotten():
    process = Process([claim("0", BERT)])
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
    """Guards against a resend that outlasts the log's memory of the first run."""
    log = [claim("1"), outcome("1")]
    process = Process(log, BERT)
    pending = process.claim("2")
    # The process is paused until the log has forgotten the first claim.
    process.local.trim(2)
    (step,) = process.read(NOW.plus_ms(60_000))
    assert isinstance(step.decision, Expired)
    assert step.decision.refusal.outcome is Outcome.UNKNOWN
    assert step.must_release
    process.log.append(process.local.release(pending, "r", NOW))
    with pytest.raises(MachineError):
        process.local.start_sending(pending)


def test_earlier_attempt_may_win_after_a_later_one_was_released():
    """Guards against "not run" for a resend while the first append is under way."""
    log = []
    first, second = Process(log, ANNA), Process(log, BERT)
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


def query(records, next_offset, tail, now=NOW, gone=False):
    ledger, _ = fold(records)
    view = ledger.find(IDENTITY)
    return decide_query(view, KEY, next_offset, tail, lambda *_: gone, POLICY, now)


LATER = NOW.plus_ms(50_001)
QUERIES = {
    "tail not read": (query([], 0, None), WaitForTail),
    "ledger lags": (query([], 4, 5), WaitForTail),
    "tail reached": (query([], 5, 5), KeyUnknown),
    "claims may have expired": (query([], 5, 5, LATER), Expired),
    "completed": (query([claim("1"), outcome("1")], 2, None), ReplayAnswer),
    "lost response": (
        query([claim("1"), outcome("1", answer=LOST_ANSWER)], 2, None),
        WriterGone,
    ),
    "claimed, ledger lags": (query([claim("1")], 1, 2), WaitForTail),
    "claimed": (query([claim("1")], 1, 1), InProgress),
    "writer gone": (query([claim("1")], 1, 1, gone=True), WriterGone),
    "released, ledger lags": (query([claim("1"), release("1")], 2, 3), WaitForTail),
    "released": (query([claim("1"), release("1")], 2, 2), Released),
}


@pytest.mark.parametrize("case", QUERIES)
def test_query(case):
    found, expected = QUERIES[case]
    assert type(found) is expected


PATHS = {
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


@pytest.mark.parametrize("case", PATHS)
def test_lifecycle_forbids(case):
    *allowed, forbidden = PATHS[case]
    lifecycle = ClaimLifecycle()
    for step in allowed:
        getattr(lifecycle, step)()
    with pytest.raises(MachineError):
        getattr(lifecycle, forbidden)()
