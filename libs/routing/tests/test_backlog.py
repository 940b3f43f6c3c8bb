"""Guards against a keeper that takes busy engines for idle or good ones for broken."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from waxwingbarrow.core import Instant, UpstreamId
from waxwingbarrow.routing import BacklogPolicy, BacklogTracker

ENGINE, OTHER = UpstreamId("u"), UpstreamId("v")
POLICY = BacklogPolicy(prefill_tokens_per_ms=50.0)


def at(ms):
    return Instant(ms, ms)


@pytest.fixture
def tracker():
    return BacklogTracker(POLICY)


@given(
    arrivals=st.lists(
        st.tuples(st.integers(0, 500), st.integers(0, 20_000)), max_size=20
    )
)
def test_the_backlog_is_that_of_a_queue_that_drains_at_the_prefill_rate(arrivals):
    """Compares with a queue that is advanced by single milliseconds."""
    tracker, queued, now_ms = BacklogTracker(POLICY), 0.0, 0
    for number, (gap_ms, tokens) in enumerate(arrivals):
        for _ in range(gap_ms):
            queued = max(queued - 50.0, 0.0)
        now_ms += gap_ms
        pending = tracker.measure_pending_tokens(ENGINE, at(now_ms))
        assert pending == pytest.approx(queued)
        tracker.record(ENGINE, number, tokens, at(now_ms))
        queued += tokens


def test_a_slow_engine_drains_its_backlog_slowly(tracker):
    now_ms = 0
    for number in range(30):
        tracker.record(ENGINE, number, 5_000, at(now_ms))
        now_ms += 425
        tracker.note_first_event(ENGINE, number, at(now_ms))
    # Each prompt took 400 ms beside the fixed time, instead of 100 ms.
    assert tracker.measure_slowdown(ENGINE, at(now_ms)) == pytest.approx(4.0, rel=0.1)
    tracker.record(ENGINE, "last", 5_000, at(now_ms))
    left = tracker.measure_pending_tokens(ENGINE, at(now_ms + 200))
    assert left > 2_000


def test_an_engine_that_was_slow_is_tried_again(tracker):
    """It gets no requests while it counts as slow, so nothing shows its recovery."""
    tracker.record(OTHER, 0, 5_000, at(0))
    for number in range(20):
        tracker.record(ENGINE, number, 5_000, at(number * 1_000))
        tracker.note_first_event(ENGINE, number, at(number * 1_000 + 925))
    before = tracker.measure_slowdown(ENGINE, at(20_000))
    after = tracker.measure_slowdown(ENGINE, at(40_000))
    usual = tracker.measure_slowdown(UpstreamId("new"), at(40_000))
    assert before > 5.0
    assert after - usual < 0.02 * (before - usual)


def test_a_short_prompt_says_little_about_the_speed(tracker):
    """Its time is mostly that of the network and of one decoding step."""
    tracker.record(ENGINE, 1, 100, at(0))
    tracker.note_first_event(ENGINE, 1, at(300))
    assert tracker.measure_slowdown(ENGINE, at(300)) == 1.0


def test_a_lost_report_does_not_make_an_engine_silent(tracker):
    tracker.record(ENGINE, "lost", 1_000, at(0))
    tracker.record(ENGINE, "next", 1_000, at(500))
    tracker.note_first_event(ENGINE, "next", at(600))
    assert not tracker.is_silent(ENGINE, at(4_000))


def test_a_queued_request_is_not_overdue_before_its_turn(tracker):
    tracker.record(ENGINE, 1, 100_000, at(0))
    tracker.record(ENGINE, 2, 1_000, at(1))
    assert not tracker.is_silent(ENGINE, at(4_500))


def test_an_engine_is_silent_for_a_bounded_time(tracker):
    tracker.record(ENGINE, 1, 1_000, at(0))
    assert not tracker.is_silent(ENGINE, at(900))
    assert tracker.is_silent(ENGINE, at(1_500))
    assert not tracker.is_silent(ENGINE, at(5_001))


def test_a_failed_request_is_not_waited_for(tracker):
    tracker.record(ENGINE, 1, 1_000, at(0))
    tracker.note_failure(ENGINE, 1)
    assert not tracker.is_silent(ENGINE, at(2_000))


def test_only_recent_placements_count_as_unreported(tracker):
    for now_ms in (0, 300, 600):
        tracker.record(ENGINE, now_ms, 0, at(now_ms))
    assert tracker.count_unreported(ENGINE, at(700)) == 3
    assert tracker.count_unreported(ENGINE, at(1_100)) == 1


def test_engines_that_are_gone_are_forgotten(tracker):
    """Identifiers are used once, so the tracker would grow with every restart."""
    for number in range(100):
        tracker.record(UpstreamId(f"u{number}"), number, 1, at(0))
    tracker.retain({UpstreamId("u5")})
    assert len(tracker) == 1
