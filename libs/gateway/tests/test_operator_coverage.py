"""Guards against hosts that miss a configuration because they rely on their relay.

Hosts that are not relays do not read configurations at the store while a relay that
follows the store passes them on. In small deployments each host waits for them at the
store, but a wait whose answer is lost must not be relied on for long.
"""

import pytest
from peer_network import Network, move_end

from waxwingbarrow.core import Instant
from waxwingbarrow.gateway.base import Position, Topic
from waxwingbarrow.gateway.replication._operator_coverage import (
    MAX_BEHIND_MS,
    MAX_CONFIRMATION_AGE_MS,
    OperatorCoverage,
)

RELAYS = ("h0-0", "h1-0", "h2-0")
# A version must be in force within this time at the least, in deployments with relays.
CONFIG_BOUND_MS = 3_000
# The same in small deployments.
SMALL_CONFIG_BOUND_MS = 2_000
# A wait at the store that is answered this often confirms a copy within the bound.
MAX_SHORT_WAIT_MS = 1_000


class Deployment:
    """Three data centres, whose relays read the store while they reach it."""

    def __init__(self):
        self.network = Network(3, 8, RELAYS)
        self.without_store = set()
        self.run(8)

    def run(self, quarters):
        for _ in range(quarters):
            now_ms = self.network.clock.now().mono_ms
            for name in RELAYS:
                if name not in self.without_store:
                    replica = self.network.hosts[name].replicas[Topic.OPERATOR]
                    replica.confirmed_ms = now_ms
                    replica.is_loaded = True
            self.network.run_quarter()

    def publish(self):
        """Let all hosts that read the store learn of a record."""
        for name, host in self.network.hosts.items():
            is_reading = host.find_wait_ms() is not None
            if is_reading and name not in self.without_store:
                move_end(host.replicas[Topic.OPERATOR], 1)

    def list_readers(self):
        return {
            name
            for name, host in self.network.hosts.items()
            if host.find_wait_ms() is not None
        }


@pytest.fixture
def deployment():
    return Deployment()


def test_only_relays_read_the_store(deployment):
    assert deployment.list_readers() == set(RELAYS)


def test_relays_without_the_store_rely_on_those_that_reach_it(deployment):
    deployment.without_store = {"h0-0", "h1-0"}
    deployment.run(20)
    assert deployment.list_readers() == set(RELAYS)


def test_all_hosts_read_the_store_when_no_relay_reaches_it(deployment):
    deployment.without_store = set(RELAYS)
    deployment.run(CONFIG_BOUND_MS // 250 - 2)
    assert deployment.list_readers() == set(deployment.network.hosts)


def test_hosts_of_a_silent_relay_read_the_store(deployment):
    deployment.network.fail("h1-0")
    deployment.run(CONFIG_BOUND_MS // 250 - 2)
    readers = deployment.list_readers()
    assert {name for name in deployment.network.hosts if name[:2] == "h1"} <= readers


def test_hosts_that_cannot_fetch_from_their_relay_read_the_store(deployment):
    deployment.publish()
    deployment.run(MAX_BEHIND_MS // 250 + 3)
    assert deployment.list_readers() == set(deployment.network.hosts)


def test_a_relay_does_not_vouch_with_a_confirmation_of_one_that_knows_more():
    deployment = Deployment()
    deployment.without_store = {"h0-0"}
    for name in ("h1-0", "h2-0"):
        move_end(deployment.network.hosts[name].replicas[Topic.OPERATOR], 5)
    deployment.run(CONFIG_BOUND_MS // 250 - 2)
    readers = deployment.list_readers()
    assert {name for name in deployment.network.hosts if name[:2] == "h0"} <= readers


def test_a_copy_is_not_covered_before_any_confirmation():
    coverage, known = OperatorCoverage(), Position(offset=3)
    now = Instant(0, 10_000)
    assert not coverage.is_covered(now)
    coverage.note_message(None, known, known, now)
    assert not coverage.is_covered(now)
    coverage.note_message(0, known, known, now)
    assert coverage.is_covered(now)
    assert not coverage.is_covered(now.plus_ms(MAX_CONFIRMATION_AGE_MS + 1))


class SmallDeployment:
    """Hosts without relays; those in `answered` get their long polls answered."""

    def __init__(self):
        self.network = Network(2, 3)
        self.answered = set(self.network.hosts)
        self.run(8)

    def run(self, quarters):
        for _ in range(quarters):
            now_ms = self.network.clock.now().mono_ms
            for name, host in self.network.hosts.items():
                replica = host.replicas[Topic.OPERATOR]
                replica.is_loaded = True
                if name in self.answered and host.find_wait_ms() <= MAX_SHORT_WAIT_MS:
                    replica.confirmed_ms = now_ms
            self.network.run_quarter()

    def list_short_waits(self):
        return {
            name
            for name, host in self.network.hosts.items()
            if host.find_wait_ms() <= MAX_SHORT_WAIT_MS
        }


def test_long_polls_whose_answers_were_lost_are_replaced_in_time():
    # Guards against CONFIG of inc1: a silence of the store right after a change takes
    # the long polls of all hosts, and each waits for 11 s before it asks again.
    deployment = SmallDeployment()
    deployment.answered = set()
    deployment.run(SMALL_CONFIG_BOUND_MS // 250)
    assert deployment.list_short_waits() == set(deployment.network.hosts)


def test_one_host_of_a_small_deployment_asks_the_store_often():
    # Guards against store calls that grow with the number of hosts.
    deployment = SmallDeployment()
    assert len(deployment.list_short_waits()) == 1
    (first,) = deployment.list_short_waits()
    deployment.network.fail(first)
    deployment.run(20)
    assert len(deployment.list_short_waits() - {first}) == 1


def test_hosts_of_a_small_deployment_ask_often_when_the_one_that_does_is_cut_off():
    # Guards against reliance on a host whose link to the store is cut.
    deployment = SmallDeployment()
    deployment.answered -= deployment.list_short_waits()
    deployment.run(SMALL_CONFIG_BOUND_MS // 250)
    confirmed = [
        host.replicas[Topic.OPERATOR].confirmed_ms or 0
        for name, host in deployment.network.hosts.items()
        if name in deployment.answered
    ]
    now_ms = deployment.network.clock.now().mono_ms
    assert now_ms - max(confirmed) <= SMALL_CONFIG_BOUND_MS
