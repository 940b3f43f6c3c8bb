"""Guards against orders of two positions that belong to different eras of the store.

A store that comes back from an older copy gives out offsets again.
"""

import pytest
from peer_network import Network
from test_change_applier import POOL, Host

from waxwingbarrow.core import UpstreamId
from waxwingbarrow.gateway.base import KeyedPage, KeyedRecord, Position, Topic
from waxwingbarrow.gateway.configuration._held_records import HOLD_MS
from waxwingbarrow.gateway.replication._replica import Replica
from waxwingbarrow.gateway.replication._replica_fetcher import (
    decode_listing,
    decode_positions,
    encode_listing,
    encode_positions,
)


def make_page(era, end, **values):
    records = tuple(
        KeyedRecord(offset, key, value.encode())
        for offset, (key, value) in enumerate(values.items(), end - len(values))
    )
    return KeyedPage(records, end, era)


def make_replica(era, end, **values):
    replica = Replica()
    replica.apply_listing(make_page(era, end, **values))
    return replica


def test_listing_of_a_later_era_replaces_one_with_a_higher_offset():
    replica = make_replica(1, 40, a="1", b="2", c="3")
    change = replica.apply_listing(make_page(2, 3, a="1", b="0"))
    assert change.is_restored
    assert [record.key for record in change.changed] == ["b"]
    assert [record.key for record in change.moved] == ["a"]
    assert change.removed == ("c",)
    assert replica.position == Position(2, 3)


def test_listing_of_an_earlier_era_is_ignored():
    """An answer from before the return arrived late."""
    replica = make_replica(2, 3, a="1")
    replica.apply_listing(make_page(1, 40, a="0"))
    assert replica.records["a"].value == b"1"


def test_first_listing_of_a_store_with_eras_is_no_return():
    """Guards against records that are held when the store begins to state eras."""
    assert not make_replica(0, 2, a="1").apply_listing(make_page(1, 3)).is_restored


@pytest.mark.parametrize(
    ("own", "peer", "is_sent"),
    [((2, 3), (1, 40), True), ((2, 3), (2, 3), False), ((1, 40), (2, 3), False)],
)
def test_listing_for_a_peer_depends_on_the_era_first(own, peer, is_sent):
    replicas = {Topic.OPERATOR: make_replica(*own, a="1")}
    known = decode_positions(
        encode_positions({Topic.OPERATOR: make_replica(*peer, a="0")})
    )
    pages = decode_listing(encode_listing(replicas, known))
    assert (Topic.OPERATOR in pages) == is_sent
    if is_sent:
        assert pages[Topic.OPERATOR].position == Position(*own)


def test_topic_that_is_known_in_an_earlier_era_is_fetched():
    """A host with one topic in the new era claimed its old offsets of the others."""
    peer = {
        Topic.OPERATOR: make_replica(2, 1, a="1"),
        Topic.HOSTS: make_replica(1, 40, h="1"),
    }
    own = {Topic.HOSTS: make_replica(2, 3, h="2")}
    known = decode_positions(encode_positions(peer))
    assert Topic.HOSTS in decode_listing(encode_listing(own, known))


@pytest.mark.parametrize("hosts_per_data_centre", [1, 15])
def test_hosts_learn_a_new_era_from_each_other(hosts_per_data_centre):
    """Hosts that hear the operator's changes through others kept to the old era."""
    network = Network(4, hosts_per_data_centre)
    for host in network.hosts.values():
        replica = host.replicas[Topic.OPERATOR]
        replica.is_loaded, replica.position = True, Position(1, 40)
    network.run(6)
    assert not any(host.fetch_count for host in network.hosts.values())
    ahead = [h for h in network.hosts.values() if h.peers._is_relay] or list(
        network.hosts.values()
    )[:1]
    for host in ahead:
        host.replicas[Topic.OPERATOR].position = Position(2, 3)
    network.run(6)
    others = [host for host in network.hosts.values() if host not in ahead]
    assert all(host.fetch_count for host in others)


class RestoredHost(Host):
    """A host whose store comes back from a copy, with registrations of upstreams."""

    def __init__(self):
        super().__init__()
        self.list_upstreams(1, 40, u1="5", u2="5")

    def list_upstreams(self, era, end, **sequences):
        self.change_applier.apply_listings(
            {Topic.UPSTREAMS: make_page(era, end, **sequences)}
        )

    def list_usable(self):
        usable = self.fleet.list_usable(POOL, None)
        return {str(upstream.entry.upstream) for upstream in usable}

    def wait(self, ms):
        self.clock.advance_ms(ms)
        self.change_applier.settle_held(self.clock.now())
        self.change_applier.remove_lapsed(self.clock.now())


def test_upstream_that_ended_after_the_copy_is_not_used_again():
    host = RestoredHost()
    host.list_upstreams(1, 41, u1="5")
    assert host.list_usable() == {"u1"}
    host.list_upstreams(2, 30, u1="4", u2="4")
    assert host.list_usable() == {"u1"}
    host.wait(HOLD_MS)
    assert host.list_usable() == {"u1"}


def test_upstream_that_registers_again_is_used():
    host = RestoredHost()
    host.list_upstreams(2, 30, u1="4")
    # Missing in the copy: it may register again for a while, and keeps its streams.
    assert UpstreamId("u2") in host.fleet.upstreams
    host.list_upstreams(2, 32, u1="6", u2="6")
    host.wait(HOLD_MS)
    assert host.list_usable() == {"u1", "u2"}


def test_upstream_that_does_not_register_again_is_removed():
    host = RestoredHost()
    host.list_upstreams(2, 30, u1="4")
    host.wait(HOLD_MS)
    assert host.list_usable() == {"u1"}


def test_hosts_do_not_fetch_a_topic_that_does_not_exist():
    """Hosts fetched from each other for ever, as none could know more of the topic."""
    network = Network(1, 3)
    for host in network.hosts.values():
        replica = host.replicas[Topic.OPERATOR]
        replica.is_loaded, replica.position = True, Position(1, 40)
        host.replicas[Topic.STATUS] = Replica()
        host.replicas[Topic.STATUS].is_loaded = True
    network.run(8)
    assert sum(host.fetch_count for host in network.hosts.values()) == 0


def test_upstream_that_ended_is_not_used_after_a_second_return():
    """What was held was taken for known when the store returned once more."""
    host = RestoredHost()
    host.list_upstreams(1, 41, u1="5")
    host.list_upstreams(2, 30, u1="4", u2="4")
    host.wait(HOLD_MS // 2)
    host.list_upstreams(3, 28, u1="4", u2="4")
    assert host.list_usable() == {"u1"}
    host.wait(HOLD_MS)
    host.list_upstreams(4, 28, u1="4", u2="4")
    host.wait(HOLD_MS)
    assert host.list_usable() == {"u1"}
