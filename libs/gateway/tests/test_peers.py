"""Runs the message exchange of whole deployments over a simulated network.

Guards against data centres whose relays never find each other: in a deployment of 75
hosts the holder of the duties knew the usage of its own data centre only.
"""

import pytest
from peer_network import Host, Network, list_candidates, make_holder, move_end

from waxwingbarrow.core import AccountId, DataCentre
from waxwingbarrow.gateway.admission._quota_admission import MAX_ASKED
from waxwingbarrow.gateway.base._ports import Topic
from waxwingbarrow.gateway.peers._candidates import Candidacy
from waxwingbarrow.gateway.peers._peers import RELAY_INTERVAL_S

ACCOUNT = AccountId("depot")


def count_usage(network, name):
    """Return the number of requests of the account that a host knows of."""
    usage = network.hosts[name].usage
    window = usage.find_window(network.clock.now())
    # The requests may have been counted in the window before.
    return sum(usage.sum_window(w).get(ACCOUNT, 0) for w in (window - 1, window))


@pytest.mark.parametrize(("centres", "per_centre"), [(2, 3), (5, 4), (5, 15)])
def test_the_holder_of_the_duties_receives_the_usage_of_all_hosts(centres, per_centre):
    network = Network(centres, per_centre)
    network.run(9)
    now = network.clock.now()
    holder = next(n for n, h in network.hosts.items() if h.peers.is_candidate(now))
    network.hosts[holder].peer_sync.held_fencing_token = 9
    for host in network.hosts.values():
        host.usage.count(ACCOUNT, network.clock.now())
    network.run(6)
    assert count_usage(network, holder) == centres * per_centre


def test_every_host_knows_the_number_of_hosts_in_a_large_deployment():
    network = Network(5, 15)
    network.run(8)
    counted = {h.peers.count_hosts(network.clock.now()) for h in network.hosts.values()}
    assert counted == {75}


def test_new_relays_find_each_other_when_all_relays_fail():
    network = Network(4, 15)
    network.run(6)
    relays = [h for h in network.hosts.values() if h.peers._is_relay]
    network.down |= {relay.address for relay in relays}
    network.run(12)
    remaining = [h for h in network.hosts.values() if h not in relays]
    counted = {h.peers.count_hosts(network.clock.now()) for h in remaining}
    assert counted == {56}


def test_the_messages_per_host_do_not_grow_with_the_number_of_hosts():
    def measure(centres, per_centre):
        network = Network(centres, per_centre)
        network.run(6)
        network.sent = 0
        network.run(10)
        return network.sent / 10 / (centres * per_centre)

    assert measure(5, 20) < 1.3 * measure(5, 5)


def test_a_data_centre_that_is_cut_off_counts_only_its_own_hosts():
    network = Network(2, 10)
    network.run(6)
    network.down |= {h.address for h in network.hosts.values() if h.centre == "dc1"}
    network.run(10)
    remaining = [h for h in network.hosts.values() if h.centre == "dc0"]
    assert {h.peers.count_hosts(network.clock.now()) for h in remaining} == {10}


def test_a_relay_spreads_its_messages_over_the_interval():
    # Relays that sent the total to all hosts in one burst overran links of 5 Mbit/s
    # under load, and the hosts lost their relays.
    network = Network(5, 15)
    network.run(6)
    network.delays = []
    network.run(1)
    delays = sorted(network.delays)
    assert delays[-1] > 0.4 * RELAY_INTERVAL_S
    early = sum(delay < 0.1 * RELAY_INTERVAL_S for delay in delays)
    assert early <= len(delays) / 4


def test_every_host_asks_the_holder_of_the_duties_for_quota():
    network = Network(5, 15)
    network.run(9)
    now = network.clock.now()
    holder = next(h for h in network.hosts.values() if h.peers.is_candidate(now))
    holder.peer_sync.held_fencing_token = 9
    network.run(6)
    now = network.clock.now()
    found = {host.peers.list_keepers(now)[0] for host in network.hosts.values()}
    assert found == {"", holder.address}
    assert holder.peers.list_keepers(now) == [""]


def list_deciders(network):
    """Return the hosts that decide on quotas when they are asked."""
    now = network.clock.now()
    return [
        host
        for host in network.hosts.values()
        if host.address not in network.down and host.peers.is_keeper(now)
    ]


def test_a_deputy_decides_on_quota_soon_after_the_holder_is_lost():
    """Guards against seconds in which hosts refuse requests within the limits.

    A new holder of the duties acts only after several seconds.
    """
    network = Network(5, 15)
    network.run(9)
    name = make_holder(network)
    network.run(4)
    holder = network.hosts[name]
    assert {holder} <= set(list_deciders(network))
    network.fail(name)
    network.run(3)
    (deputy,) = list_deciders(network)
    now = network.clock.now()
    for host in network.hosts.values():
        if host.address not in network.down and host.centre != holder.centre:
            own = "" if host is deputy else deputy.address
            assert own in host.peers.list_keepers(now)[:MAX_ASKED]


def test_no_deputy_decides_in_the_smaller_part_of_a_partition():
    """Guards against two hosts that both admit the whole limit."""
    network = Network(5, 15)
    network.run(9)
    names = list(network.hosts)
    for name in names[:30]:
        for other in names[30:]:
            network.cut(name, other)
    network.run(12)
    deciders = list_deciders(network)
    assert len(deciders) == 1
    assert deciders[0].centre in {"dc2", "dc3", "dc4"}


def test_hosts_of_a_small_deployment_decide_on_quota_by_themselves():
    network = Network(2, 3)
    network.run(6)
    now = network.clock.now()
    next(iter(network.hosts.values())).peer_sync.held_fencing_token = 9
    network.run(3)
    assert all(host.peers.list_keepers(now) == [] for host in network.hosts.values())


def test_hosts_with_fast_links_are_the_relays():
    # Relays with a link of 10 Mbit/s were overloaded by the replicas that the 15 hosts
    # of their data centre fetched, and lost all their messages.
    fast_hosts = {f"h{centre}-{number}" for centre in range(5) for number in (3, 8)}
    network = Network(5, 15, fast_hosts)
    network.run(8)
    relays = {name for name, h in network.hosts.items() if h.peers._is_relay}
    assert len(relays) == 5
    assert relays <= fast_hosts


def test_relays_become_candidates_one_after_the_other():
    # While hosts were restarted in turn, five relays were members of the group at once.
    # Each that joined or left moved the duties, ten times in 45 s.
    network = Network(5, 15)
    network.run(9)
    assert len(list_candidates(network)) == 1
    network.run(8)
    assert len(list_candidates(network)) == 1
    network.run(6)
    assert len(list_candidates(network)) == 2


@pytest.mark.parametrize("restarted", range(5))
def test_a_restart_in_a_small_deployment_does_not_change_the_candidates(restarted):
    # Hosts that were restarted in turn left the group and joined it again, and the
    # store reassigned the duties each time.
    network = Network(2, 3)
    network.run(6)
    holder = make_holder(network)
    network.run(2)
    others = [name for name in network.hosts if name != holder]
    network.down.add(network.hosts[others[restarted]].address)
    for _ in range(6):
        network.run(1)
        assert list_candidates(network) == [holder]
    network.down.clear()
    for _ in range(6):
        network.run(1)
        assert list_candidates(network) == [holder]


def test_a_candidate_stays_one_when_a_host_of_higher_rank_comes():
    # While hosts were restarted in turn, a candidate gave way to a host that had just
    # restarted before it could act itself, and no host held the duties for ten seconds.
    network = Network(2, 3)
    network.run(6)
    (first,) = list_candidates(network)
    network.down.add(network.hosts[first].address)
    network.run(6)
    (second,) = list_candidates(network)
    network.down.clear()
    network.hosts[first].peers._candidacy = Candidacy(network.clock.now())
    for _ in range(6):
        network.run(1)
        assert list_candidates(network) == [second]


def test_a_host_that_has_just_started_is_no_candidate():
    network = Network(2, 3)
    network.run(6)
    now = network.clock.now()
    late = Host(network, "late", DataCentre("dc0"), "10.0.0.99")
    assert not late.peers.is_candidate(now)
    assert late.peers.is_candidate(now.plus_ms(2_000))


@pytest.mark.parametrize(("centres", "per_centre"), [(2, 3), (5, 15)])
def test_a_host_that_cannot_hold_the_duties_is_not_waited_for(centres, per_centre):
    # While hosts were restarted in turn, the others waited four seconds for each first
    # host in rank that was about to end.
    network = Network(centres, per_centre)
    network.run(9)
    (first,) = list_candidates(network)
    network.hosts[first].peer_sync.can_hold_duties = False
    network.run(4)
    assert len(set(list_candidates(network)) - {first}) == 1


def test_a_host_that_hears_only_a_minority_is_no_candidate():
    network = Network(2, 3)
    network.run(6)
    alone = network.hosts["h0-0"]
    network.down |= {h.address for n, h in network.hosts.items() if n != "h0-0"}
    # The other hosts count as present for two more seconds.
    network.run(5)
    for _ in range(30):
        network.run(1)
        assert not alone.peers.is_candidate(network.clock.now())


def test_no_other_host_is_a_candidate_while_one_holds_the_duties():
    network = Network(5, 15)
    network.run(9)
    holder = make_holder(network)
    for _ in range(30):
        network.run(1)
        assert list_candidates(network) in ([holder], [])
    assert list_candidates(network) == [holder]


@pytest.mark.parametrize("end", ["killed", "left"])
def test_another_relay_becomes_a_candidate_when_the_holder_is_gone(end):
    network = Network(5, 15)
    network.run(9)
    holder = make_holder(network)
    network.run(6)
    assert list_candidates(network) == [holder]
    if end == "killed":
        network.down.add(network.hosts[holder].address)
    network.hosts[holder].peer_sync.held_fencing_token = 0
    half_seconds = 0
    while not set(list_candidates(network)) - {holder}:
        network.run(1)
        half_seconds += 1
    # Usage reports are due 10 s after the end of a window.
    assert half_seconds * 0.5 <= 6


def test_a_host_that_replaces_a_silent_relay_is_not_a_candidate_at_once():
    network = Network(2, 15)
    network.run(9)
    make_holder(network)
    for _ in range(6):
        network.run(1)
        list_candidates(network)
    relays = [name for name, h in network.hosts.items() if h.peers._is_relay]
    network.down |= {network.hosts[name].address for name in relays}
    candidates = []
    for _ in range(5):
        network.run(1)
        candidates += list_candidates(network)
    assert candidates == []
    network.run(10)
    assert len(list_candidates(network)) == 1


def test_the_last_counts_of_a_host_reach_the_holder():
    network = Network(5, 15)
    network.run(9)
    holder = make_holder(network)
    network.run(6)
    host = next(h for n, h in network.hosts.items() if n != holder)
    host.usage.count(ACCOUNT, network.clock.now())
    host.peers.send_last_counts(network.clock.now())
    network.down.add(host.address)
    network.deliver()
    assert count_usage(network, holder) == 1


def test_heartbeats_of_upstreams_do_not_make_hosts_fetch_the_registrations():
    # Heartbeats of upstreams raise the offset of the registrations. Every host fetched
    # the relay's whole copy about once a second, which filled the relay's link so that
    # messages were lost.
    network = Network(5, 15)
    network.run(6)
    for _ in range(10):
        for host in network.hosts.values():
            if host.peers._is_relay:
                move_end(host.replicas[Topic.UPSTREAMS], 50)
        network.run(1)
    others = [h for h in network.hosts.values() if not h.peers._is_relay]
    assert sum(host.fetch_count for host in others) == 0


def test_a_host_that_is_behind_in_the_configuration_fetches_it():
    network = Network(5, 15)
    network.run(6)
    for host in network.hosts.values():
        if host.peers._is_relay:
            move_end(host.replicas[Topic.OPERATOR], 1)
    network.run(4)
    others = [h for h in network.hosts.values() if not h.peers._is_relay]
    assert all(host.fetch_count for host in others)


def test_a_peer_that_is_as_far_behind_does_not_delay_a_fetch():
    # Hosts without access to the store sent each other the same old offset in between
    # the messages of the host that was ahead, and each of these messages restarted the
    # delay before a fetch.
    network = Network(1, 4)
    network.run(2)
    behind, equal, ahead = list(network.hosts.values())[:3]
    move_end(ahead.replicas[Topic.OPERATOR], 5)
    for _ in range(4):
        network.clock.advance_ms(120)
        for sender in (ahead, equal):
            heartbeat = sender.peer_sync.make_heartbeat(network.clock.now())
            behind.peers._handle_heartbeat(
                heartbeat, sender.address, network.clock.now()
            )
    assert behind.fetch_count
