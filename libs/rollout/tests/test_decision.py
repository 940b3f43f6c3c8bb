"""Guards against rollouts that harm callers, or that end without a reason."""

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
    compute_log_evidence,
    compute_share,
    decide_verdict,
    describe_moves,
    fit_line,
    make_move,
    make_withdrawal,
    pick_version,
)

EXAMPLE = Path(__file__).resolve().parents[3] / "examples/directorate"
DOCUMENT = read_document((EXAMPLE / "care-assistant.json").read_text()).unwrap()
ROLLOUT = DOCUMENT.rollout
DURATION_MS = ROLLOUT.finish_by_ms - ROLLOUT.start_ms
REVISION = 5
NONE = Withdrawals()


def at(part):
    """Return the instant at a part of the rollout's time."""
    return Instant(ROLLOUT.start_ms + int(part * DURATION_MS), 0)


def gather(until, *, new=400, old=4000, fault=None, per_route=None, onset=0.0):
    """Return evidence of requests that are spread evenly over the time so far.

    `fault` is (route, quality, latency factor, part of the responses).
    """
    key = EvidenceKey(DOCUMENT.service, REVISION, HostId("h"), Incarnation(1, 1))
    recorder = EvidenceRecorder(key, ROLLOUT)
    rng = random.Random(1)
    for route in DOCUMENT.routes:
        counts = (("v7", old), ("v8", (per_route or {}).get(route.route, new)))
        for version, count in counts:
            for index in range(count):
                part = until * index / count
                quality, latency_ms = ResponseQuality.COMPLETE, rng.uniform(300, 600)
                hit = version == "v8" and fault and fault[0] == route.route
                if hit and part >= onset and rng.random() < fault[3]:
                    quality = fault[1]
                    latency_ms *= fault[2]
                recorder.record(version, route.route, quality, latency_ms, at(part))
    return Evidence().add(recorder.snapshot())


def decide(evidence, part):
    now = at(part)
    verdict = decide_verdict(DOCUMENT, REVISION, evidence, now)
    return verdict, compute_share(DOCUMENT, REVISION, evidence, None, NONE, now)


FAILED, LONG = ResponseQuality.FAILED, ResponseQuality.WRONG_LENGTH
COMPLETE = ResponseQuality.COMPLETE
FAULTS = [
    ("crash at once", 0.05, 20, ("question", FAILED, 1, 1.0), 0, "failures"),
    ("some failures", 0.1, 200, ("tagging", FAILED, 1, 0.15), 0, "failures"),
    ("late failures", 0.6, 4000, ("tagging", FAILED, 1, 0.5), 0.55, "failures"),
    ("slow", 0.1, 200, ("care-plan", COMPLETE, 3, 1.0), 0, "slowness"),
    ("late slowness", 0.6, 4000, ("care-plan", COMPLETE, 3, 1.0), 0.5, "slowness"),
    ("wrong length", 0.1, 100, ("question", LONG, 1, 0.3), 0, "wrong length"),
]


@pytest.mark.parametrize(
    ("until", "new", "fault", "onset", "reason"),
    [row[1:] for row in FAULTS],
    ids=[row[0] for row in FAULTS],
)
def test_fault_on_one_route_withdraws_the_version(until, new, fault, onset, reason):
    evidence = gather(until, new=new, fault=fault, onset=onset)
    verdict, share = decide(evidence, until)
    assert verdict == Withdrawn(f"{reason} on {fault[0]}", at(until).wall_ms)
    assert share.percent == 0


@pytest.mark.parametrize("part", [0.0, 0.05, 0.3, 0.8, 0.99])
def test_share_stays_first_until_every_route_is_proven(part):
    evidence = gather(part, per_route={"tagging": 49})
    verdict, share = decide(evidence, part)
    assert verdict == Running("tagging: 49 of 50 requests")
    assert share.percent == ROLLOUT.first_share_percent


def test_good_version_rises_without_falling_back_and_is_done_in_time():
    shares = []
    for step in range(100):
        part = step / 100
        verdict, share = decide(gather(part, new=400, old=100), part)
        shares.append(share.percent)
        if isinstance(verdict, Done):
            break
    assert isinstance(verdict, Done)
    assert shares == sorted(shares)
    assert shares[0] == ROLLOUT.first_share_percent
    assert shares[-1] == 100


def test_version_that_never_carried_the_load_is_not_done():
    # A fault that shows under load only would appear when nothing can withdraw it.
    verdict, _ = decide(gather(0.9, new=100, old=4000), 0.9)
    assert isinstance(verdict, Running)


def test_version_proven_late_rises_in_steps():
    evidence = gather(0.75, per_route={"tagging": 52}, old=400)
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


def test_withdrawal_holds_for_its_revision_and_version_only():
    evidence, now = Evidence(), at(0.01)
    entry = make_withdrawal(DOCUMENT, REVISION, Withdrawn("failures on question", 1))
    withdrawn = Withdrawals().add(entry)
    arguments = (evidence, None, withdrawn, now)
    assert compute_share(DOCUMENT, REVISION, *arguments).percent == 0
    assert compute_share(DOCUMENT, REVISION + 1, *arguments).percent == 5


FAULT = Withdrawal("care-assistant", REVISION, "v8", "failures on question", 1)
LATE = Withdrawal("care-assistant", REVISION, "v8", DEADLINE_REASON, 1)
PRECEDENCE = [
    (Done(), (), 100),
    (Done(), (FAULT,), 0),
    (Done(), (LATE,), 100),  # the host that was cut off at the deadline
    (None, (LATE,), 0),
    (Withdrawn("failures on question", 1), (), 0),
]


@pytest.mark.parametrize(("verdict", "items", "percent"), PRECEDENCE)
def test_a_withdrawal_from_any_source_wins_over_done(verdict, items, percent):
    withdrawn = Withdrawals().merge(Withdrawals(items))
    share = compute_share(DOCUMENT, REVISION, Evidence(), verdict, withdrawn, at(0.5))
    assert share.percent == percent


def test_disturbance_of_both_versions_does_not_withdraw():
    # An outage of the platform while the new version has most of the requests raises
    # its average failure rate above that of the old version.
    key = EvidenceKey(DOCUMENT.service, REVISION, HostId("h"), Incarnation(1, 1))
    recorder = EvidenceRecorder(key, ROLLOUT)
    rng = random.Random(3)
    for step in range(9000):
        part = step / 10_000
        new_share = 0.05 if part < 0.2 else 0.8
        outage = 0.7 < part < 0.75
        version = "v8" if rng.random() < new_share else "v7"
        failed = rng.random() < (0.5 if outage else 0.005)
        for route in DOCUMENT.routes:
            quality = FAILED if failed else COMPLETE
            recorder.record(version, route.route, quality, 400, at(part))
        if step % 100 == 0:
            evidence = Evidence().add(recorder.snapshot())
            verdict, _ = decide(evidence, part)
            assert not isinstance(verdict, Withdrawn)


@pytest.mark.parametrize("pooled", [0, 12])
def test_false_alarms_stay_below_the_stated_bound(pooled):
    # Both versions fail at the same rate, which changes from window to window.
    rng = random.Random(20270301)
    runs, limit, alarms = 400, 0.05, 0
    threshold = -math.log(limit)
    for _ in range(runs):
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
                value = compute_log_evidence(windows, 0.0, pooled)
                highest = max(highest, value)
        alarms += highest >= threshold
    assert alarms <= limit * runs


def test_version_choice_is_stable_and_moves_one_way():
    ids = [RequestId(f"r{index}") for index in range(4000)]
    chosen: set[RequestId] = set()
    for percent in (0, 5, 20, 80, 100):
        share = Share(percent, "")
        found = {one for one in ids if pick_version(DOCUMENT, share, one) == "v8"}
        assert chosen <= found
        assert abs(len(found) / len(ids) - percent / 100) < 0.02
        chosen = found
    assert chosen == set(ids)


def test_document_without_rollout_serves_the_stable_version():
    document = attrs.evolve(DOCUMENT, rollout=None)
    share = compute_share(document, REVISION, Evidence(), None, NONE, at(0))
    assert share.percent == 0
    assert pick_version(document, share, RequestId("r")) == "v7"
    assert decide_verdict(document, REVISION, Evidence(), at(0)) == Done()
    assert make_move(document, REVISION, share, Done()) is None


@pytest.mark.parametrize(
    ("verdict", "word", "reason"),
    [
        (Running("rising"), "RUNNING", "rising"),
        (Done(), "DONE", ""),
        (Withdrawn("failures on question", 0), "WITHDRAWN", "failures on question"),
    ],
)
def test_move_says_state_reason_and_time(verdict, word, reason):
    move = make_move(DOCUMENT, REVISION, Share(12.5, "rising"), verdict)
    lines = describe_moves([move], at(0.5))
    text = "\n".join(lines)
    assert lines[0].startswith(f"{word} rollout")
    assert reason in text
    assert "WITHDRAWN" not in text or "  at 1970-01-01 00:00Z" in lines
    assert word != "RUNNING" or "  ends 2027-03-01 12:00Z" in lines


def test_every_line_fits_a_phone():
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
    assert fit_line("") == ("",)
    assert json.dumps(lines)
