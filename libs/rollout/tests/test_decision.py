"""Guards against rollouts that keep a faulty version or withdraw a good one."""

import json
import math
import random
from pathlib import Path

import attrs
import pytest

from waxwingbarrow.core import HostId, Incarnation, Instant, RequestId
from waxwingbarrow.document import read_document
from waxwingbarrow.rollout import (
    DEADLINE_REASON,
    Done,
    Evidence,
    EvidenceKey,
    EvidenceRecorder,
    Move,
    MoveState,
    ResponseQuality,
    Running,
    Share,
    Stratum,
    Withdrawal,
    Withdrawals,
    Withdrawn,
    compute_log_e_value,
    compute_share,
    decide_verdict,
    describe_moves,
    make_move,
    make_withdrawal,
    pick_version,
    wrap_line,
)

EXAMPLE = Path(__file__).resolve().parents[3] / "examples/directorate"
DOCUMENT = read_document((EXAMPLE / "care-assistant.json").read_text()).unwrap()
ROLLOUT = DOCUMENT.rollout
DURATION_MS = ROLLOUT.finish_by_ms - ROLLOUT.start_ms
REVISION = 5
NO_WITHDRAWALS = Withdrawals()


def at(fraction):
    """Return the instant at a fraction of the rollout's duration."""
    return Instant(ROLLOUT.start_ms + int(fraction * DURATION_MS), 0)


def make_evidence(until, *, new=400, old=4000, fault=None, per_route=None, onset=0.0):
    """Return evidence of requests spread evenly from the start to the fraction `until`.

    `fault` is (route, quality, latency factor, fraction of responses); it begins at the
    fraction `onset`. `per_route` overrides `new`, the new version's requests per route.
    """
    key = EvidenceKey(DOCUMENT.service, REVISION, HostId("h"), Incarnation(1, 1))
    recorder = EvidenceRecorder(key, ROLLOUT)
    rng = random.Random(1)
    for route in DOCUMENT.routes:
        counts = (("v7", old), ("v8", (per_route or {}).get(route.route, new)))
        for version, count in counts:
            for index in range(count):
                fraction = until * index / count
                quality, latency_ms = ResponseQuality.COMPLETE, rng.uniform(300, 600)
                is_faulty_route = version == "v8" and fault and fault[0] == route.route
                if is_faulty_route and fraction >= onset and rng.random() < fault[3]:
                    quality = fault[1]
                    latency_ms *= fault[2]
                recorder.record(version, route.route, quality, latency_ms, at(fraction))
    return Evidence().add(recorder.snapshot())


def decide(evidence, fraction):
    now = at(fraction)
    verdict = decide_verdict(DOCUMENT, REVISION, evidence, now)
    return verdict, compute_share(
        DOCUMENT, REVISION, evidence, None, NO_WITHDRAWALS, now
    )


FAILED, BAD_LENGTH = ResponseQuality.FAILED, ResponseQuality.WRONG_LENGTH
COMPLETE = ResponseQuality.COMPLETE
FAULTS = [
    ("crash at once", 0.05, 20, ("question", FAILED, 1, 1.0), 0, "failures"),
    ("some failures", 0.1, 200, ("tagging", FAILED, 1, 0.15), 0, "failures"),
    ("late failures", 0.6, 4000, ("tagging", FAILED, 1, 0.5), 0.55, "failures"),
    ("slow", 0.1, 200, ("care-plan", COMPLETE, 3, 1.0), 0, "slowness"),
    ("late slowness", 0.6, 4000, ("care-plan", COMPLETE, 3, 1.0), 0.5, "slowness"),
    ("wrong length", 0.1, 100, ("question", BAD_LENGTH, 1, 0.3), 0, "wrong length"),
]


@pytest.mark.parametrize(
    ("until", "new", "fault", "onset", "reason"),
    [row[1:] for row in FAULTS],
    ids=[row[0] for row in FAULTS],
)
def test_fault_on_one_route_withdraws_the_version(until, new, fault, onset, reason):
    evidence = make_evidence(until, new=new, fault=fault, onset=onset)
    verdict, share = decide(evidence, until)
    assert verdict == Withdrawn(f"{reason} on {fault[0]}", at(until).wall_ms)
    assert share.percent == 0


@pytest.mark.parametrize("fraction", [0.0, 0.05, 0.3, 0.8, 0.99])
def test_share_stays_initial_until_every_route_has_enough_requests(fraction):
    evidence = make_evidence(fraction, per_route={"tagging": 49})
    verdict, share = decide(evidence, fraction)
    assert verdict == Running("tagging: 49 of 50 requests")
    assert share.percent == ROLLOUT.first_share_percent


def test_share_of_a_good_version_never_falls_and_completes_before_the_deadline():
    shares = []
    for step in range(100):
        fraction = step / 100
        verdict, share = decide(make_evidence(fraction, new=400, old=100), fraction)
        shares.append(share.percent)
        if isinstance(verdict, Done):
            break
    assert isinstance(verdict, Done)
    assert shares == sorted(shares)
    assert shares[0] == ROLLOUT.first_share_percent
    assert shares[-1] == 100


def test_version_that_carried_too_little_load_is_not_completed():
    # A fault that shows only under load would appear after completion, when the version
    # is no longer withdrawn.
    verdict, _ = decide(make_evidence(0.9, new=100, old=4000), 0.9)
    assert isinstance(verdict, Running)


def test_share_of_a_version_proven_late_does_not_jump():
    evidence = make_evidence(0.75, per_route={"tagging": 52}, old=400)
    _, share = decide(evidence, 0.76)
    assert 5 <= share.percent < 40


def test_undecided_version_is_withdrawn_at_the_deadline():
    verdict, share = decide(Evidence(), 0.9999)
    assert isinstance(verdict, Running)
    verdict, share = decide(Evidence(), 1.0)
    assert verdict == Withdrawn(DEADLINE_REASON, ROLLOUT.finish_by_ms)
    assert share.percent == 0


def test_no_request_goes_to_the_new_version_before_the_start():
    verdict, share = decide(Evidence(), -0.01)
    assert isinstance(verdict, Running)
    assert share.percent == 0


def test_withdrawal_does_not_apply_to_another_revision():
    evidence, now = Evidence(), at(0.01)
    entry = make_withdrawal(DOCUMENT, REVISION, Withdrawn("failures on question", 1))
    withdrawn = Withdrawals().add(entry)
    arguments = (evidence, None, withdrawn, now)
    assert compute_share(DOCUMENT, REVISION, *arguments).percent == 0
    assert compute_share(DOCUMENT, REVISION + 1, *arguments).percent == 5


FAULT_WITHDRAWAL = Withdrawal(
    "care-assistant", REVISION, "v8", "failures on question", 1
)
DEADLINE_WITHDRAWAL = Withdrawal("care-assistant", REVISION, "v8", DEADLINE_REASON, 1)
PRECEDENCE = [
    (Done(), (), 100),
    (Done(), (FAULT_WITHDRAWAL,), 0),
    # The host was partitioned when the rollout completed.
    (Done(), (DEADLINE_WITHDRAWAL,), 100),
    (None, (DEADLINE_WITHDRAWAL,), 0),
    (Withdrawn("failures on question", 1), (), 0),
]


@pytest.mark.parametrize(("verdict", "items", "percent"), PRECEDENCE)
def test_precedence_of_withdrawals_and_recorded_verdicts(verdict, items, percent):
    withdrawn = Withdrawals().merge(Withdrawals(items))
    share = compute_share(DOCUMENT, REVISION, Evidence(), verdict, withdrawn, at(0.5))
    assert share.percent == percent


def test_outage_of_both_versions_does_not_withdraw_the_new_one():
    # A platform outage while the new version gets most of the requests raises its
    # average failure rate above that of the old version.
    key = EvidenceKey(DOCUMENT.service, REVISION, HostId("h"), Incarnation(1, 1))
    recorder = EvidenceRecorder(key, ROLLOUT)
    rng = random.Random(3)
    for step in range(9000):
        fraction = step / 10_000
        new_share = 0.05 if fraction < 0.2 else 0.8
        outage = 0.7 < fraction < 0.75
        version = "v8" if rng.random() < new_share else "v7"
        failed = rng.random() < (0.5 if outage else 0.005)
        for route in DOCUMENT.routes:
            quality = FAILED if failed else COMPLETE
            recorder.record(version, route.route, quality, 400, at(fraction))
        if step % 100 == 0:
            evidence = Evidence().add(recorder.snapshot())
            verdict, _ = decide(evidence, fraction)
            assert not isinstance(verdict, Withdrawn)


@pytest.mark.parametrize("pooled_count", [0, 12])
def test_false_alarms_stay_below_the_stated_bound(pooled_count):
    # Both versions have the same failure rate, which changes between windows.
    rng = random.Random(20270301)
    run_count, limit, false_alarms = 400, 0.05, 0
    threshold = -math.log(limit)
    for _ in range(run_count):
        windows = [Stratum(0, 0, 0, 0)] * 12
        highest = float("-inf")
        for index in range(12):
            rate = rng.choice((0.01, 0.1, 0.4))
            for _ in range(6):
                new, old = rng.randrange(1, 8), rng.randrange(1, 30)
                windows[index] = windows[index].add(
                    Stratum(
                        sum(rng.random() < rate for _ in range(new)),
                        new,
                        sum(rng.random() < rate for _ in range(old)),
                        old,
                    )
                )
                value = compute_log_e_value(windows, 0.0, pooled_count)
                highest = max(highest, value)
        false_alarms += highest >= threshold
    assert false_alarms <= limit * run_count


def test_rising_share_never_moves_a_request_back_to_the_old_version():
    ids = [RequestId(f"r{index}") for index in range(4000)]
    chosen: set[RequestId] = set()
    for percent in (0, 5, 20, 80, 100):
        share = Share(percent, "")
        found = {
            request_id
            for request_id in ids
            if pick_version(DOCUMENT, share, request_id) == "v8"
        }
        assert chosen <= found
        assert abs(len(found) / len(ids) - percent / 100) < 0.02
        chosen = found
    assert chosen == set(ids)


def test_document_without_rollout_serves_the_stable_version():
    document = attrs.evolve(DOCUMENT, rollout=None)
    share = compute_share(document, REVISION, Evidence(), None, NO_WITHDRAWALS, at(0))
    assert share.percent == 0
    assert pick_version(document, share, RequestId("r")) == "v7"
    assert decide_verdict(document, REVISION, Evidence(), at(0)) == Done()
    assert make_move(document, REVISION, share, Done()) is None


@pytest.mark.parametrize(
    ("verdict", "state_text", "reason"),
    [
        (Running("rising"), "RUNNING", "rising"),
        (Done(), "DONE", ""),
        (Withdrawn("failures on question", 0), "WITHDRAWN", "failures on question"),
    ],
)
def test_move_description_has_state_reason_and_time(verdict, state_text, reason):
    move = make_move(DOCUMENT, REVISION, Share(12.5, "rising"), verdict)
    lines = describe_moves([move], at(0.5))
    text = "\n".join(lines)
    assert lines[0].startswith(f"{state_text} rollout")
    assert reason in text
    assert "WITHDRAWN" not in text or "  at 1970-01-01 00:00Z" in lines
    assert state_text != "RUNNING" or "  ends 2027-03-01 12:00Z" in lines


def test_move_lines_fit_the_width_and_are_printable():
    long = "x" * 63
    moves = [
        Move(
            service=long,
            revision=10**12,
            kind="rollout",
            state=state,
            reason=f"suspected fault on {long}\nand\x1b[31m more " + "word " * 30,
            share_percent=100 / 3,
            finish_by_ms=10**15,
            changed_ms=10**18,
        )
        for state in MoveState
    ]
    lines = describe_moves(moves, at(0))
    assert max(map(len, lines)) <= 40
    assert all(line.isprintable() for line in lines)
    assert wrap_line("") == ("",)
    assert json.dumps(lines)
