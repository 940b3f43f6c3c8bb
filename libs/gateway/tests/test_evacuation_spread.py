"""Guards against hosts that learn too late that a data centre is evacuated.

Five seconds after the store has acknowledged the order, no host that is in contact may
send anything there. In large deployments most hosts learn of it from their relay.
"""

import functools

import pytest
from evacuation_hosts import OperatorHost, configure, order, remove
from peer_network import Network

from waxwingbarrow.core import DataCentre
from waxwingbarrow.gateway.base._ports import KeyedPage, Topic
from waxwingbarrow.gateway.upstreams._evacuations import MAX_SPREAD_MS

EVACUATED = DataCentre("dc1")
STEP_MS = 250
# A wait at the store that is longer than this is not answered in time if its answer is
# lost; see `OPERATOR_WAIT_MS`.
MAX_SHORT_WAIT_MS = 1_000
EVACUATION_MS = 5_000
# The bound less the time in which a request that was just sent arrives.
MAX_LEARN_MS = min(EVACUATION_MS - 1_000, MAX_SPREAD_MS)


class Deployment:
    """Hosts that read the operator's topic at a store or from each other.

    Attributes
    ----------
    without_store : set
        Names of the hosts that do not reach the store.
    deaf : set
        Names of the hosts whose long waits at the store are not answered.
    """

    def __init__(self, host_count):
        if host_count == 7:
            self.network = Network(3, 2)
            self.network.add("h2-2", "dc2", "10.2.0.2")
            self.network.register_all()
        else:
            self.network = Network(3, host_count // 3)
        self.records = [configure()]
        self.without_store, self.deaf = set(), set()
        self.appliers = {}
        self.fetches = []
        for name in self.network.hosts:
            self.start(name)
        self.run(4_000)

    def start(self, name):
        host = self.network.hosts[name]
        self.appliers[name] = OperatorHost(
            ["dc0", "dc1", "dc2"],
            self.network.clock,
            fleet=host.fleet,
            replica=host.replicas[Topic.OPERATOR],
            permits=host.permits,
        )
        host.peers._fetcher.fetch = functools.partial(self.note_fetch, name)

    def restart(self, name):
        old = self.network.hosts[name]
        self.network.add(name, old.centre, old.address)
        self.network.register_all()
        self.start(name)

    def note_fetch(self, name, address):
        self.fetches.append((name, address[0]))

    def append(self, make_record, *details):
        self.records.append(make_record(len(self.records), *details))

    def run(self, ms):
        for _ in range(ms // STEP_MS):
            self.step()

    def step(self):
        self.network.run_quarter()
        for name in self.list_up():
            self.read_store(name)
        # A fetch takes a round trip, so its listing is applied at the next step.
        fetches, self.fetches = self.fetches, []
        for name, address in fetches:
            self.fetch(name, address)

    def read_store(self, name):
        host = self.network.hosts[name]
        replica, wait_ms = host.replicas[Topic.OPERATOR], host.find_wait_ms()
        if name in self.without_store or (wait_ms is None and replica.is_loaded):
            return
        is_short = wait_ms is None or wait_ms <= MAX_SHORT_WAIT_MS
        if name in self.deaf and not is_short:
            return
        new = tuple(self.records[replica.end :])
        if is_short or new:
            replica.confirmed_ms = self.network.clock.now().mono_ms
        self.appliers[name].read(*new, end=len(self.records))

    def fetch(self, name, address):
        network, host = self.network, self.network.hosts[name]
        pair = frozenset({host.address, address})
        if pair in network.cuts or {host.address, address} & network.down:
            return
        (peer,) = [h for h in network.hosts.values() if h.address == address]
        listing = peer.replicas[Topic.OPERATOR].make_listing()
        page = KeyedPage(listing.records, listing.end)
        applier = self.appliers[name].change_applier
        applier.apply_listings({Topic.OPERATOR: page})

    def list_up(self):
        return [
            name
            for name, host in self.network.hosts.items()
            if host.address not in self.network.down
        ]

    def list_unaware(self, is_evacuated=True):
        return [
            name
            for name in self.list_up()
            if self.network.hosts[name].fleet.evacuations.is_evacuated(EVACUATED)
            is not is_evacuated
        ]

    def measure_ms(self, is_evacuated=True, limit_ms=20_000):
        """Return the time until all hosts that are up agree."""
        for ms in range(0, limit_ms, STEP_MS):
            if not self.list_unaware(is_evacuated):
                return ms
            self.step()
        return limit_ms

    def list_relays(self):
        return [n for n, host in self.network.hosts.items() if host.peers._is_relay]

    def list_readers(self):
        """Return the hosts that ask the store often."""
        waits = {
            name: self.network.hosts[name].find_wait_ms() for name in self.list_up()
        }
        return [
            n for n, ms in waits.items() if ms is not None and ms <= MAX_SHORT_WAIT_MS
        ]


@pytest.fixture(params=[7, 75], ids=["7 hosts", "75 hosts"])
def deployment(request):
    return Deployment(request.param)


def test_an_order_and_its_removal_reach_every_host_in_time(deployment):
    assert not deployment.list_unaware(is_evacuated=False)
    deployment.append(order, "dc1")
    assert deployment.measure_ms() <= MAX_LEARN_MS
    for applier in deployment.appliers.values():
        assert applier.list_chosen() == {"u-dc0", "u-dc2"}
    deployment.append(remove, "dc1")
    assert deployment.measure_ms(is_evacuated=False) <= MAX_LEARN_MS


def test_an_order_reaches_every_host_when_those_that_read_the_store_are_lost(
    deployment,
):
    # In a large deployment these are the relays, on which the other hosts rely.
    deployment.network.fail(*deployment.list_readers())
    deployment.append(order, "dc1")
    assert deployment.measure_ms() <= MAX_LEARN_MS


def test_an_order_reaches_every_host_when_one_relay_is_lost():
    deployment = Deployment(75)
    deployment.network.fail(deployment.list_relays()[0])
    deployment.append(order, "dc1")
    assert deployment.measure_ms() <= MAX_LEARN_MS


def test_an_order_reaches_hosts_whose_long_waits_are_not_answered(deployment):
    deployment.deaf = set(deployment.network.hosts)
    deployment.append(order, "dc1")
    assert deployment.measure_ms() <= MAX_LEARN_MS


def test_an_order_reaches_hosts_that_do_not_reach_the_store(deployment):
    # In a large deployment no relay reaches it, so they learn of it from other hosts.
    deployment.without_store = set(sorted(deployment.network.hosts)[::2])
    deployment.without_store |= set(deployment.list_relays())
    deployment.run(5_000)
    deployment.append(order, "dc1")
    assert deployment.measure_ms() <= MAX_LEARN_MS


def test_one_host_that_has_read_an_order_tells_all_when_the_store_goes_away(deployment):
    # The store acknowledged the order and answered one host before it was lost.
    reader = deployment.list_readers()[0]
    deployment.without_store = set(deployment.network.hosts) - {reader}
    deployment.append(order, "dc1")
    deployment.step()
    deployment.without_store = set(deployment.network.hosts)
    assert deployment.measure_ms() <= MAX_LEARN_MS


def test_the_last_known_order_applies_while_the_store_is_away(deployment):
    deployment.append(order, "dc1")
    deployment.measure_ms()
    deployment.without_store = set(deployment.network.hosts)
    deployment.append(remove, "dc1")
    deployment.run(60_000)
    assert not deployment.list_unaware()
    deployment.without_store = set()
    assert deployment.measure_ms(is_evacuated=False) <= MAX_LEARN_MS


@pytest.mark.parametrize("is_store_away", [False, True])
def test_a_host_that_restarts_serves_only_when_it_knows_the_order(
    deployment, is_store_away
):
    deployment.append(order, "dc1")
    deployment.measure_ms()
    if is_store_away:
        deployment.without_store = set(deployment.network.hosts)
    deployment.restart("h2-1")
    applier = deployment.appliers["h2-1"]
    for _ in range(40):
        if applier.planner.table is None:
            deployment.step()
    assert applier.planner.table is not None
    assert applier.list_chosen() == {"u-dc0", "u-dc2"}


def test_hosts_of_a_partitioned_data_centre_learn_when_the_link_recovers(deployment):
    network = deployment.network
    inside = [n for n, host in network.hosts.items() if host.centre == EVACUATED]
    outside = sorted(network.hosts.keys() - set(inside))
    for name in inside:
        for other in outside:
            network.cut(name, other)
    deployment.without_store = set(inside)
    deployment.run(5_000)
    deployment.append(order, "dc1")
    deployment.run(MAX_LEARN_MS)
    assert set(deployment.list_unaware()) == set(inside)
    deployment.run(20_000)
    network.cuts.clear()
    deployment.without_store = set()
    assert deployment.measure_ms() <= MAX_LEARN_MS


@pytest.mark.parametrize("is_ordered_last", [True, False])
def test_the_newest_of_an_order_and_removals_in_quick_succession_decides(
    deployment, is_ordered_last
):
    # Hosts read some of the records alone, and others together.
    kinds = [order, remove, order, remove] + [order] * is_ordered_last
    for number, make_record in enumerate(kinds):
        deployment.append(make_record, "dc1")
        if number % 2:
            deployment.step()
    assert deployment.measure_ms(is_ordered_last) <= MAX_LEARN_MS
    deployment.run(3_000)
    assert not deployment.list_unaware(is_ordered_last)


def test_an_unreadable_order_reaches_every_host(deployment):
    deployment.append(order, "dc1", b"\xff{")
    assert deployment.measure_ms() <= MAX_LEARN_MS
