"""Guards against lost, reverted or unbounded gossip items."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingbarrow.core import HostId, Incarnation, Instant
from waxwingbarrow.membership import GossipItem, GossipLimits, GossipMap

NOW = Instant(1_700_000_000_000, 0)
items = st.lists(
    st.builds(
        GossipItem,
        st.sampled_from([HostId("a"), HostId("b")]),
        st.builds(Incarnation, st.integers(0, 2), st.integers(0, 1)),
        st.sampled_from(["member", "demand"]),
        st.integers(1, 3),
        st.sampled_from([b"", b"x", b"y"]),
    ),
    max_size=12,
)
fixed = settings(derandomize=True, max_examples=200, deadline=None)


def new_map(host="self", **limits):
    return GossipMap(HostId(host), Incarnation(5, 0), GossipLimits(**limits))


def item(origin="a", started=1, topic="demand", version=1, payload=b"p"):
    return GossipItem(HostId(origin), Incarnation(started, 0), topic, version, payload)


def content(gossip_map):
    return set(gossip_map.changes_since(0).items)


def merged(*parts):
    gossip_map = new_map()
    for part in parts:
        gossip_map.merge(part, NOW)
    return gossip_map


@fixed
@given(items, items)
def test_merge_is_commutative(one, two):
    assert content(merged(one, two)) == content(merged(two, one))


@fixed
@given(items, items)
def test_merge_is_idempotent(one, two):
    assert content(merged(one, two)) == content(merged(one, two, one, two))


@fixed
@given(items, items)
def test_merge_never_returns_to_an_older_item(one, two):
    gossip_map = merged(one)
    before = {(i.origin, i.topic): i.rank for i in content(gossip_map)}
    gossip_map.merge(two, NOW)
    for (origin, topic), rank in before.items():
        entry = gossip_map.find(origin, topic)
        if entry is None:  # only a newer incarnation removes a topic
            assert gossip_map.find_incarnation(origin) > rank[0]
        else:
            assert entry.item.rank >= rank


class LastMessageWins:
    """Naive merge: whatever arrives last is kept."""

    def __init__(self):
        self.items = {}

    def merge(self, received):
        for received_item in received:
            self.items[(received_item.origin, received_item.topic)] = received_item


def test_last_message_wins_diverges_where_the_map_converges():
    """Hosts that get the same messages in different order must agree."""
    history = [item(version=version, payload=b"%d" % version) for version in (1, 2, 3)]
    history.append(item(started=2, version=1, payload=b"restarted"))
    naive_results, map_results = set(), set()
    for seed in range(20):
        order = random.Random(seed).sample(history, len(history))
        naive = LastMessageWins()
        naive.merge(order)
        naive_results |= {i.payload for i in naive.items.values()}
        map_results |= {i.payload for i in content(merged(order))}
    assert map_results == {b"restarted"}
    assert len(naive_results) == 4


@pytest.mark.parametrize(
    ("received", "kept"),
    [
        ([item(version=2), item(version=1)], [("demand", 1, 2)]),
        (
            [item(version=9), item(started=2, version=1)],
            [("demand", 2, 1)],
        ),
        (
            [item(topic="old", version=9), item(started=2, topic="new")],
            [("new", 2, 1)],
        ),
        ([item(started=2, topic="new"), item(topic="old")], [("new", 2, 1)]),
    ],
    ids=["late", "restarted", "replaced", "late-news-of-replaced"],
)
def test_item_of_an_older_run_is_not_applied_to_a_newer_one(received, kept):
    found = [
        (i.topic, i.incarnation.started_ms, i.version)
        for i in content(merged(received))
    ]
    assert found == kept


def test_unchanged_items_are_not_listed_again():
    gossip_map = merged([item(), item("b")])
    cursor = gossip_map.cursor
    gossip_map.merge([item(), item("b", version=2)], NOW)
    assert gossip_map.changes_since(cursor).items == (item("b", version=2),)
    assert gossip_map.changes_since(gossip_map.cursor).items == ()


def test_removed_member_is_not_brought_back_by_a_slower_host():
    gossip_map = merged([item()])
    gossip_map.remove_origin(HostId("a"))
    assert gossip_map.merge([item(version=2)], NOW) == []
    assert gossip_map.merge([item(started=2)], NOW) != []


def test_removed_member_that_lives_is_readmitted():
    gossip_map = merged([item()])
    gossip_map.remove_origin(HostId("a"))
    gossip_map.readmit_origin(HostId("a"))
    assert gossip_map.merge([item()], NOW) == [item()]


def test_own_items_are_not_overwritten_and_a_newer_own_run_is_noticed():
    gossip_map = new_map()
    gossip_map.put_local("demand", b"mine", NOW)
    gossip_map.merge([item("self", started=4, version=9)], NOW)
    assert gossip_map.superseded_by is None
    gossip_map.merge([item("self", started=6, version=9)], NOW)
    assert gossip_map.superseded_by == Incarnation(6, 0)
    assert [i.payload for i in content(gossip_map)] == [b"mine"]


@pytest.mark.parametrize(
    ("limits", "rejected"),
    [
        ({"max_origins": 2}, item("c")),
        ({"max_topics": 1}, item("a", topic="other")),
        ({"max_payload_bytes": 1}, item("a", version=2, payload=b"long")),
        ({"max_total_bytes": 3}, item("a", version=2, payload=b"long")),
    ],
    ids=lambda value: next(iter(value)) if isinstance(value, dict) else "",
)
def test_memory_stays_bounded_whatever_peers_send(limits, rejected):
    gossip_map = new_map(**limits)
    gossip_map.merge([item("a"), item("b")], NOW)
    size = gossip_map.total_bytes
    assert gossip_map.merge([rejected], NOW) == []
    assert gossip_map.rejected_items == 1
    assert (len(gossip_map), gossip_map.total_bytes) == (2, size)


def test_replaced_items_release_their_memory():
    gossip_map = new_map()
    for version in range(1, 100):
        gossip_map.merge([item(version=version, payload=b"x" * 10)], NOW)
    gossip_map.merge([item(started=2, topic="new")], NOW)
    assert (len(gossip_map), gossip_map.total_bytes) == (1, 1)


def test_oversized_local_item_is_refused():
    with pytest.raises(ValueError, match="exceeds a limit"):
        new_map(max_payload_bytes=1).put_local("demand", b"long", NOW)
