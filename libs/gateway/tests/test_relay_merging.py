"""Guards against data centres that stay divided among several relays.

Hosts that start at the same moment choose a relay before all of them are registered, so
several hosts of a data centre became relays. Each told its hosts only of each other,
and the other data centres sent their sums to one of them. In a deployment of 195 hosts
the totals stayed partial for the whole day: the holder of the duties gave back most
workers, the duties moved every few seconds, and hosts refused requests within limits.
"""

import random

import pytest
from peer_network import Network, list_candidates, make_holder

from waxwingbarrow.core import HostId, ServiceName

SERVICE = ServiceName("pool")
# Time, in half seconds, within which all hosts agree after the last change.
SETTLE_HALF_SECONDS = 12


def list_relays(network, centre):
    return [
        name
        for name, host in network.hosts.items()
        if host.centre == centre
        and host.peers._is_relay
        and host.address not in network.down
    ]


def count_hosts(network):
    now = network.clock.now()
    return {
        host.peers.count_hosts(now)
        for host in network.hosts.values()
        if host.address not in network.down
    }


def make_divided_network(centres, per_centre, fast_per_centre):
    """Return a network in which each host learned late of some of the fast ones."""
    fast_hosts = {
        f"h{centre}-{number}"
        for centre in range(centres)
        for number in range(fast_per_centre)
    }
    network = Network(centres, per_centre, fast_hosts)
    for number, host in enumerate(network.hosts.values()):
        # Every host knows one fast host of each data centre, by turns.
        known = number % fast_per_centre
        for fast in sorted(fast_hosts):
            if not fast.endswith(f"-{known}"):
                host.members._members.pop(HostId(fast), None)
    network.run(8)
    network.register_all()
    return network


@pytest.mark.parametrize(
    ("centres", "per_centre", "fast_per_centre"), [(2, 10, 2), (5, 15, 3), (6, 33, 3)]
)
def test_a_divided_data_centre_is_united(centres, per_centre, fast_per_centre):
    network = make_divided_network(centres, per_centre, fast_per_centre)
    assert len(list_relays(network, "dc0")) > 1
    network.run(SETTLE_HALF_SECONDS)
    for centre in {host.centre for host in network.hosts.values()}:
        assert len(list_relays(network, centre)) == 1
    assert count_hosts(network) == {centres * per_centre}


def test_both_relays_of_a_data_centre_that_is_cut_in_two_are_counted():
    """The other data centres sent their sums to one of the relays only."""
    network = Network(3, 10, {f"h{centre}-{n}" for centre in range(3) for n in (0, 1)})
    relay, other = [f"h0-{n}" for n in (0, 1)]
    network.cut(relay, other)
    for number in range(2, 10):
        network.cut(f"h0-{number}", (relay, other)[number % 2])
    network.run(SETTLE_HALF_SECONDS)
    assert list_relays(network, "dc0") == [relay, other]
    now = network.clock.now()
    for host in network.hosts.values():
        expected = 25 if host.centre == "dc0" else 30
        assert host.peers.count_hosts(now) == expected


def test_counts_for_the_holder_do_not_make_it_a_relay_of_their_senders():
    """Such hosts were part of the sums of two relays."""
    network = Network(4, 10, {f"h{centre}-{n}" for centre in range(4) for n in (0, 1)})
    network.run(10)
    holder = make_holder(network)
    network.run(10)
    # Another host of the same data centre goes on as the holder.
    other = next(
        name
        for name, host in network.hosts.items()
        if name != holder and host.centre == network.hosts[holder].centre
    )
    network.hosts[holder].peer_sync.held_fencing_token = 0
    network.hosts[other].peer_sync.held_fencing_token = 10
    network.run(10)
    assert count_hosts(network) == {40}
    for centre in {host.centre for host in network.hosts.values()}:
        assert len(list_relays(network, centre)) == 1


def test_the_duties_stay_with_one_host_while_data_centres_unite():
    network = make_divided_network(6, 33, 3)
    while not list_candidates(network):
        network.run(1)
    holder = list_candidates(network)[0]
    network.hosts[holder].peer_sync.held_fencing_token = 9
    network.run(SETTLE_HALF_SECONDS)
    for _ in range(40):
        network.run(1)
        assert list_candidates(network) in ([holder], [])


def test_the_total_work_covers_all_hosts():
    """The planner gave back workers because it saw a fifth of the requests."""
    network = make_divided_network(6, 33, 3)
    network.run(SETTLE_HALF_SECONDS)
    for _ in range(8):
        for host in network.hosts.values():
            host.work_meter.add(SERVICE, 10.0, network.clock.now())
        network.run(1)
    now = network.clock.now()
    own_ms_per_s = sum(
        rate for h in network.hosts.values() for _, rate in h.work_meter.list_own(now)
    )
    for host in network.hosts.values():
        # Totals are up to a second old, and the work grows during the test.
        assert 0.7 < host.work_meter.measure(SERVICE, now) / own_ms_per_s < 1.1


def test_small_hosts_take_over_when_all_fast_hosts_of_a_data_centre_fail():
    network = Network(5, 15, {f"h{centre}-{n}" for centre in range(5) for n in (0, 1)})
    network.run(10)
    network.fail("h2-0", "h2-1")
    network.run(SETTLE_HALF_SECONDS)
    assert len(list_relays(network, "dc2")) == 1
    assert count_hosts(network) == {73}


def test_a_fast_host_that_returns_becomes_the_relay_again():
    network = Network(3, 12, {f"h{centre}-0" for centre in range(3)})
    network.run(10)
    network.fail("h1-0")
    network.run(20)
    network.down.clear()
    network.run(SETTLE_HALF_SECONDS)
    assert list_relays(network, "dc1") == ["h1-0"]
    assert count_hosts(network) == {36}


@pytest.mark.parametrize("seed", range(6))
def test_hosts_that_learn_of_each_other_by_turns_agree(seed):
    """While few hosts are known, each sends its heartbeats to all of them."""
    rng = random.Random(seed)
    network = Network(
        6, 12, {f"h{centre}-{n}" for centre in range(6) for n in range(3)}
    )
    known = {name: dict(host.members._members) for name, host in network.hosts.items()}
    for host in network.hosts.values():
        host.members._members.clear()
    for _ in range(6):
        for name, host in network.hosts.items():
            learned = rng.sample(sorted(known[name]), rng.randrange(0, 20))
            host.members._members.update({h: known[name][h] for h in learned})
        network.run(1)
    network.register_all()
    network.run(SETTLE_HALF_SECONDS)
    assert count_hosts(network) == {72}
    for centre in {host.centre for host in network.hosts.values()}:
        assert len(list_relays(network, centre)) == 1
    assert len(list_candidates(network)) <= 1


@pytest.mark.parametrize("seed", range(12))
def test_hosts_agree_after_random_failures(seed):
    """Relays fail, return and are cut off by turns; afterwards the totals are whole."""
    rng = random.Random(seed)
    fast_hosts = {f"h{centre}-{n}" for centre in range(4) for n in range(2)}
    network = Network(4, 12, fast_hosts)
    network.run(8)
    for _ in range(6):
        names = rng.sample(sorted(fast_hosts), 3)
        names += rng.sample(sorted(set(network.hosts) - fast_hosts), 4)
        network.fail(*names)
        network.run(rng.randrange(1, 12))
        if rng.random() < 0.6:
            network.down.clear()
            network.run(rng.randrange(1, 4))
    network.run(SETTLE_HALF_SECONDS)
    up = [h for h in network.hosts.values() if h.address not in network.down]
    assert count_hosts(network) == {len(up)}
    for centre in {host.centre for host in up}:
        assert len(list_relays(network, centre)) == 1


def test_coverage_is_the_fraction_of_the_known_hosts_in_the_total():
    network = Network(4, 10)
    network.run(10)
    now = network.clock.now()
    assert {h.peers.measure_coverage(now) for h in network.hosts.values()} == {1.0}
    network.fail(*(n for n, h in network.hosts.items() if h.centre != "dc0"))
    network.run(8)
    now = network.clock.now()
    assert network.hosts["h0-1"].peers.measure_coverage(now) == 0.25
    network.fail(*network.hosts)
    assert network.hosts["h0-1"].peers.measure_coverage(now.plus_ms(4_000)) == 0.0
