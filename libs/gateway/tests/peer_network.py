"""Simulated network on which the message exchange of whole deployments runs."""

import random

from waxwingbarrow.core import DataCentre, HostId, ManualClock
from waxwingbarrow.gateway.admission._cold_permits import ColdHosts
from waxwingbarrow.gateway.admission._permits import Permits
from waxwingbarrow.gateway.admission._quota_admission import QuotaAdmission
from waxwingbarrow.gateway.admission._quota_keeper import QuotaKeeper
from waxwingbarrow.gateway.admission._quotas import Quotas
from waxwingbarrow.gateway.base import Position, Topic
from waxwingbarrow.gateway.base._metrics import Metrics
from waxwingbarrow.gateway.base._settings import Bounds
from waxwingbarrow.gateway.base._supervision import Supervisor
from waxwingbarrow.gateway.peers._members import Member, Members
from waxwingbarrow.gateway.peers._peer_sync import PeerSync
from waxwingbarrow.gateway.peers._peers import PeerProtocol
from waxwingbarrow.gateway.replication._replica import Replica
from waxwingbarrow.gateway.replication._replica_fetcher import ReplicaFetcher
from waxwingbarrow.gateway.requests._rollouts import Rollouts
from waxwingbarrow.gateway.requests._usage import UsageCounter
from waxwingbarrow.gateway.requests._work_meter import WorkMeter
from waxwingbarrow.gateway.upstreams._crash_tracker import CrashTracker
from waxwingbarrow.gateway.upstreams._fleet import Fleet
from waxwingbarrow.rollout import CanaryPolicy

PORT = 7000


class StrictSupervisor(Supervisor):
    """Raises the failures that it would contain."""

    def note_failure(self, name, error):
        raise error


class FakeTransport:
    def __init__(self, network, address):
        self.network = network
        self.address = address

    def is_closing(self):
        return False

    def sendto(self, data, target):
        self.network.queue.append((self.address, target[0], data))


class Network:
    """Simulated network of hosts.

    Hosts whose address is in `down` neither send nor receive, and no messages pass
    between the two addresses of a set in `cuts`. `sent` counts datagrams,
    and `delays` holds the delays in seconds with which relays send.
    """

    def __init__(self, centres, per_centre, fast_hosts=()):
        self.fast_hosts = fast_hosts
        self.clock = ManualClock()
        self.queue = []
        self.down = set()
        self.cuts = set()
        self.sent = 0
        self.delays = []
        self.hosts = {}
        for centre in range(centres):
            for number in range(per_centre):
                self.add(
                    f"h{centre}-{number}", f"dc{centre}", f"10.{centre}.0.{number}"
                )
        self.register_all()

    def register_all(self):
        """Let every host read the registrations of all hosts."""
        for name, host in self.hosts.items():
            for other, known in self.hosts.items():
                if other != name:
                    host.members.add_registered(
                        HostId(other),
                        (known.address, PORT),
                        known.centre,
                        1,
                        known.relay_mbps,
                        self.clock.now(),
                    )

    def add(self, name, centre, address):
        self.hosts[name] = Host(self, name, DataCentre(centre), address)

    def fail(self, *names):
        """Take hosts down."""
        self.down |= {self.hosts[name].address for name in names}

    def cut(self, name, other):
        """Let no messages pass between two hosts."""
        pair = {self.hosts[name].address, self.hosts[other].address}
        self.cuts.add(frozenset(pair))

    def call_later(self, delay_s, call):
        self.delays.append(delay_s)
        call()

    def run(self, half_seconds):
        """Let every host send twice per half second, and deliver the messages."""
        for _ in range(2 * half_seconds):
            self.run_quarter()

    def run_quarter(self):
        """Let every host send once, and deliver the messages."""
        self.clock.advance_ms(250)
        self.send_heartbeats()

    def send_heartbeats(self):
        """Let every host send once now, and deliver the messages."""
        for host in self.hosts.values():
            if host.address not in self.down:
                now = self.clock.now()
                if host.peers.is_full_mesh(now):
                    host.peers.send_to_all_hosts(now)
                else:
                    host.peers.send_to_relay(now)
                # The loop that renews the lease asks for it all the time.
                host.peers.is_candidate(now)
        self.deliver(self.down)

    def deliver(self, down=()):
        while self.queue:
            source, target, data = self.queue.pop(0)
            self.sent += 1
            if source in down or target in down or {source, target} in self.cuts:
                continue
            for host in self.hosts.values():
                if host.address == target:
                    host.peers.datagram_received(data, (source, PORT))


class Host:
    def __init__(self, network, name, centre, address):
        self.address = address
        self.centre = centre
        self.clock = network.clock
        self.relay_mbps = 200 if name in network.fast_hosts else 10
        host = HostId(name)
        self.members = Members(host)
        self.usage = UsageCounter(5.0)
        self.work_meter = WorkMeter()
        self.crash_tracker = CrashTracker()
        quotas = Quotas()
        self.fleet = fleet = Fleet()
        self.replicas = {Topic.OPERATOR: Replica(), Topic.UPSTREAMS: Replica()}
        replicas = self.replicas
        self.peer_sync = PeerSync(
            host,
            centre,
            1,
            self.members,
            fleet,
            quotas,
            self.usage,
            Rollouts(CanaryPolicy()),
            self.crash_tracker,
            self.work_meter,
            replicas,
            self.relay_mbps,
        )
        self.quota_admission = QuotaAdmission(
            quotas,
            QuotaKeeper(quotas),
            network.clock,
            lambda now: self.peers.list_keepers(now),
            lambda request, address: self.peers.send_message(request, address),
        )
        self.permits = Permits(
            fleet.notices,
            network.clock,
            lambda now: self.peers.list_permit_keepers(now),
            lambda request, address: self.peers.send_message(request, address),
            lambda now: self.peers.measure_permit_share(now),
            lambda now: self.peers.count_hosts(now),
            ColdHosts(
                Bounds(),
                lambda now: self.peers.list_cold_keepers(now),
                lambda now: self.peers.count_possible_hosts(now),
            ),
        )
        own = Member(host, (address, PORT), centre, 1, None, 0, self.relay_mbps)
        fetcher = ReplicaFetcher(
            replicas, network.clock, lambda pages: None, lambda topic, now: True
        )
        self.peers = PeerProtocol(
            own,
            self.peer_sync,
            self.members,
            fleet,
            fetcher,
            self.quota_admission,
            self.permits,
            9000,
            network.clock,
            random.Random(name),
            network.call_later,
            lambda report, sender, now: None,
            StrictSupervisor(Metrics().unexpected_failures),
        )
        self.fetch_count = 0
        fetcher.fetch = self.note_fetch
        self.peers.connection_made(FakeTransport(network, address))

    def find_wait_ms(self):
        return self.peers.find_operator_wait_ms(self.clock.now())

    def note_fetch(self, address):
        self.fetch_count += 1


def make_permits(fleet, clock):
    """Return the permits of a host that is alone."""
    return Permits(
        fleet.notices, clock, lambda now: [""], None, lambda now: 1.0, lambda now: 1
    )


def list_candidates(network):
    now = network.clock.now()
    return [
        name
        for name, host in network.hosts.items()
        if host.address not in network.down and host.peers.is_candidate(now)
    ]


def make_holder(network):
    """Make the only candidate the holder of the duties and return its name."""
    (holder,) = list_candidates(network)
    network.hosts[holder].peer_sync.held_fencing_token = 9
    return holder


def move_end(replica, count):
    """Let a replica know `count` further records, none of which changes a key."""
    replica.position = Position(replica.position.era, replica.end + count)
