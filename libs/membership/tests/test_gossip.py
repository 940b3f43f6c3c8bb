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
deterministic = settings(derandomize=True, max_examples=200, deadline=None)


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


@deterministic
@given(items, items)
def test_merge_is_commutative(one, two):
    assert content(merged(one, two)) == content(merged(two, one))


@deterministic
@given(items, items)
def test_merge_is_idempotent(one, two):
    assert content(merged(one, two)) == content(merged(one, two, one, two))


@deterministic
@given(items, items)
def test_merge_never_restores_an_older_item(one, two):
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
    """Merge without versions, which keeps the item that arrives last."""

    def __init__(self):
        self.items = {}

    def merge(self, received):
        for received_item in received:
            self.items[(received_item.origin, received_item.topic)] = received_item


def test_last_message_wins_diverges_where_the_map_converges():
    """Guards against hosts that differ after the same messages in another order."""
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
    ids=["late", "restarted", "replaced", "late-item-of-replaced"],
)
def test_items_of_an_older_incarnation_are_dropped(received, kept):
    found = [
        (i.topic, i.incarnation.started_ms, i.version)
        for i in content(merged(received))
    ]
    assert found == kept


def test_only_changed_items_follow_a_cursor():
    gossip_map = merged([item(), item("b")])
    cursor = gossip_map.cursor
    gossip_map.merge([item(), item("b", version=2)], NOW)
    assert gossip_map.changes_since(cursor).items == (item("b", version=2),)
    assert gossip_map.changes_since(gossip_map.cursor).items == ()


def test_removed_member_is_not_restored_by_a_host_that_still_has_it():
    gossip_map = merged([item()])
    gossip_map.remove_origin(HostId("a"))
    assert gossip_map.merge([item(version=2)], NOW) == []
    assert gossip_map.merge([item(started=2)], NOW) != []


def test_items_of_a_readmitted_member_are_accepted():
    gossip_map = merged([item()])
    gossip_map.remove_origin(HostId("a"))
    gossip_map.readmit_origin(HostId("a"))
    assert gossip_map.merge([item()], NOW) == [item()]


def test_peers_do_not_overwrite_own_items_but_report_a_newer_incarnation():
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
def test_item_beyond_a_memory_limit_is_rejected(limits, rejected):
    gossip_map = new_map(**limits)
    gossip_map.merge([item("a"), item("b")], NOW)
    size = gossip_map.total_bytes
    assert gossip_map.merge([rejected], NOW) == []
    assert gossip_map.rejected_items == 1
    assert (len(gossip_map), gossip_map.total_bytes) == (2, size)


def test_replaced_items_are_subtracted_from_the_total_size():
    gossip_map = new_map()
    for version in range(1, 100):
        gossip_map.merge([item(version=version, payload=b"x" * 10)], NOW)
    gossip_map.merge([item(started=2, topic="new")], NOW)
    assert (len(gossip_map), gossip_map.total_bytes) == (1, 1)


def test_oversized_local_item_is_refused():
    with pytest.raises(ValueError, match="exceeds a limit"):
        new_map(max_payload_bytes=1).put_local("demand", b"long", NOW)
