"""Guards against a prefix index that outgrows its bound or applies outdated events."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingbarrow.core import Incarnation, Instant, UpstreamId
from waxwingbarrow.routing import CacheEvent, CacheEventKind, PrefixIndex

U1, U2 = UpstreamId("u1"), UpstreamId("u2")
OLD, NEW = Incarnation(1, 1), Incarnation(2, 1)
STORED, REMOVED, CLEARED = CacheEventKind
LATER = Instant(100_000, 100_000)


def make_event(sequence, kind, blocks=(), incarnation=OLD):
    return CacheEvent(
        upstream=U1,
        incarnation=incarnation,
        sequence=sequence,
        kind=kind,
        blocks=blocks,
    )


# Blocks of this host's requests at time 0, events applied at LATER, and how many
# leading blocks of (1, 2, 3) match afterwards.
EVENT_CASES = {
    "stored": ((), [make_event(1, STORED, (1, 2))], 2),
    "removal of a block from an old request": (
        (1, 2, 3),
        [make_event(1, REMOVED, (2,))],
        1,
    ),
    "repeated event": (
        (),
        [
            make_event(n, kind, (1,))
            for n, kind in ((1, STORED), (2, REMOVED), (1, STORED))
        ],
        0,
    ),
    "gap drops blocks known only from events": (
        (),
        [make_event(1, STORED, (1, 2, 3)), make_event(3, STORED, (9,))],
        0,
    ),
    "gap keeps blocks of own requests": (
        (1, 2),
        [make_event(1, STORED, (3,)), make_event(3, STORED, (9,))],
        2,
    ),
    "cleared": ((1, 2, 3), [make_event(1, CLEARED)], 0),
    "new incarnation starts empty": (
        (1, 2, 3),
        [make_event(5, STORED, (4,)), make_event(1, STORED, (1,), NEW)],
        1,
    ),
    "old incarnation is ignored": (
        (),
        [make_event(1, STORED, (1,), NEW), make_event(9, CLEARED)],
        1,
    ),
}


@pytest.mark.parametrize("name", EVENT_CASES)
def test_cache_events_change_the_matched_prefix(name):
    own_blocks, events, expected_blocks = EVENT_CASES[name]
    index = PrefixIndex(block_tokens=1)
    if own_blocks:
        index.record_prompt(U1, own_blocks, Instant(0, 0))
    for event in events:
        index.apply_event(event, LATER)
    assert index.matched_tokens(U1, (1, 2, 3)) == expected_blocks


def test_late_removal_event_does_not_remove_a_block_stored_again_since():
    index = PrefixIndex(block_tokens=1)
    index.record_prompt(U1, (1, 2), Instant(0, 1_000))
    index.apply_event(make_event(1, REMOVED, (1, 2)), Instant(0, 1_500))
    assert index.matched_tokens(U1, (1, 2)) == 2


def test_events_missing_in_a_gap_are_counted():
    index = PrefixIndex()
    for sequence in (1, 4, 4, 5):
        index.apply_event(make_event(sequence, STORED, (1,)), LATER)
    assert index.lost_events == 2


def test_eviction_removes_the_last_blocks_of_a_prefix_first():
    index = PrefixIndex(blocks_per_upstream=6, block_tokens=1)
    index.record_prompt(U1, (1, 2, 3, 4), LATER)
    index.record_prompt(U1, (11, 12, 13, 14), LATER)
    assert index.matched_tokens(U1, (1, 2, 3, 4)) == 2
    assert index.matched_tokens(U1, (11, 12, 13, 14)) == 4


def test_cache_size_estimate_shrinks_when_fewer_tokens_are_cached_than_expected():
    index = PrefixIndex(blocks_per_upstream=100, block_tokens=1)
    index.record_prompt(U1, tuple(range(100)), LATER)
    for _ in range(12):
        index.adjust_capacity(
            U1, tuple(range(100)), expected_tokens=100, cached_tokens=30
        )
    assert len(index) < 40
    index.adjust_capacity(U2, (1,), expected_tokens=1, cached_tokens=0)


def test_forget_removes_only_the_named_upstream():
    index = PrefixIndex(block_tokens=1)
    for upstream in (U1, U2):
        index.record_prompt(upstream, (1, 2), LATER)
    index.forget(U1)
    assert (len(index), index.matched_tokens(U1, (1,))) == (2, 0)
    assert index.matched_tokens(U2, (1, 2)) == 2


STEP = st.tuples(
    st.sampled_from(["learn", "stored", "removed", "cleared", "forget", "correct"]),
    st.integers(0, 5),
    st.lists(st.integers(0, 40), max_size=12, unique=True),
    st.integers(0, 8),
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(STEP, max_size=40))
def test_index_stays_bounded_and_its_size_exact_in_any_order_of_calls(steps):
    index = PrefixIndex(max_blocks=20, blocks_per_upstream=15, block_tokens=1)
    for action, number, blocks, sequence in steps:
        upstream = UpstreamId(f"u{number}")
        match action:
            case "learn":
                index.record_prompt(upstream, blocks, LATER)
            case "forget":
                index.forget(upstream)
            case "correct":
                index.adjust_capacity(upstream, blocks, 5, sequence)
            case kind:
                event = CacheEvent(
                    upstream=upstream,
                    incarnation=OLD,
                    sequence=sequence,
                    kind=CacheEventKind(kind),
                    blocks=tuple(blocks),
                )
                index.apply_event(event, LATER)
        assert len(index) <= 20
    for number in range(6):
        index.forget(UpstreamId(f"u{number}"))
    assert len(index) == 0
