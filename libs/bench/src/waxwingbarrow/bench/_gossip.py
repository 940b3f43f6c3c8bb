"""Cost and speed of the gossip between daemons, simulated and on loopback."""

import asyncio
import contextlib
import functools
import multiprocessing
import random
import socket
import statistics
import time
from collections import deque
from collections.abc import Callable, Collection, Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing.synchronize import Barrier

import attrs

from waxwingbarrow.core import (
    DataCentre,
    HostId,
    Incarnation,
    Instant,
    ManualClock,
    SystemClock,
    Zone,
)
from waxwingbarrow.membership import (
    MEMBER_TOPIC,
    Batch,
    Exchange,
    FailureDetector,
    GossipItem,
    GossipMap,
    Liveness,
    Member,
    MembershipSnapshot,
    Roster,
    choose_peers,
    choose_probes,
    write_member,
)
from waxwingbarrow.peers import (
    ControlCallbacks,
    ControlEntries,
    Frame,
    PeerNode,
    PeerSettings,
    decode_frame,
    encode_frame,
)

PEER_COUNT = PeerSettings("").peer_count
STEP_MS, GOSSIP_INTERVAL_MS = 100, 1_000
PEER_REVIEW_MS = 2_000
SILENCE_TIMEOUT_MS = 5_000
FRAME_OVERHEAD_BYTES = 5 + 9 + 52  # gRPC prefix, HTTP/2 header, TCP and IP headers
INCARNATION = Incarnation(1, 0)
# Time in which all processes of a measurement have started or measured.
BARRIER_TIMEOUT_S = 60.0


@attrs.frozen
class NodeCost:
    """Cost of gossip for one node, averaged over all nodes of a run.

    Parameters
    ----------
    nodes : int
        Nodes of the run.
    streams_per_node : float
        Open streams, counted at both ends.
    frames_per_s, bytes_per_s : float
        Frames and their bytes sent by one node; it receives as many on average.
    core_percent : float
        Processor time of one node, in percent of one core.
    """

    nodes: int
    streams_per_node: float
    frames_per_s: float
    bytes_per_s: float
    core_percent: float


@attrs.frozen
class CostSlope:
    """Costs at several sizes and their least-squares slope for each added node."""

    costs: tuple[NodeCost, ...]
    bytes_per_s_per_node: float
    core_percent_per_node: float


@attrs.define
class SimulatedNode:
    """The parts of one daemon that do no I/O.

    Parameters
    ----------
    phase_ms : int
        Time within each gossip interval at which the node sends.
    paused : bool
        Whether the node neither sends nor reads, like a stopped process.
    chosen_peers : frozenset of HostId
        Members to which the node opens streams.
    inbox : deque
        Batches that have arrived and are not read yet.
    links : set
        Pairs of hosts of the node's open streams, opened by either end.
    """

    member: Member
    map: GossipMap
    detector: FailureDetector
    roster: Roster
    phase_ms: int
    paused: bool = False
    chosen_peers: frozenset[HostId] = frozenset()
    inbox: deque[tuple["SimulatedLink", Batch]] = attrs.Factory(deque)
    links: set[frozenset[HostId]] = attrs.Factory(set)
    membership: MembershipSnapshot = MembershipSnapshot((), ())


@attrs.define(eq=False)
class SimulatedLink:
    """One stream; the mappings have an entry for the host at each end."""

    exchanges: dict[HostId, Exchange]
    last_received_ms: dict[HostId, int]
    is_open: bool = True


class SimulatedFleet:
    """Daemons without sockets on a manual clock.

    Parameters
    ----------
    members, data_centres : int
        Members of each data centre, and data centres.
    mesh : bool
        Whether every member has a stream to every other one, the baseline.
    loss_percent : float
        Percentage of frames lost; a lost frame breaks its stream, which opens again
        after a second.
    seed : int
        Seed of the nodes' phases and of the lost frames.
    remote_members : int
        Members of other data centres that every node knows and hears of, as relays
        would report them, without being simulated.
    """

    def __init__(
        self,
        members: int,
        data_centres: int = 1,
        *,
        mesh: bool = False,
        loss_percent: float = 0,
        seed: int = 1,
        remote_members: int = 0,
    ) -> None:
        self.clock = ManualClock()
        self.measuring = False
        self.frames = self.bytes = 0
        self.blocked: set[tuple[HostId, HostId]] = set()
        self.nodes: dict[HostId, SimulatedNode] = {}
        self.links: dict[frozenset[HostId], SimulatedLink] = {}
        self._mesh = mesh
        self._loss = loss_percent / 100
        self._rng = random.Random(seed)
        self._retry_ms: dict[frozenset[HostId], int] = {}
        self._remote = [
            make_member(f"far-{index:04}", f"far-{index // 120:02}")
            for index in range(remote_members)
        ]
        for centre in range(data_centres):
            for index in range(members):
                self._add_node(make_member(f"dc{centre}-{index:03}", f"dc{centre}"))
        known = [node.member for node in self.nodes.values()] + self._remote
        items = [
            GossipItem(one.host_id, INCARNATION, MEMBER_TOPIC, 1, write_member(one))
            for one in known
        ]
        for node in self.nodes.values():
            node.map.merge(items, self.clock.now())
            for member in known:
                node.detector.observe(member.host_id, INCARNATION, 1, self.clock.now())

    def run(self, seconds: int) -> None:
        """Advance the clock and let the nodes exchange frames."""
        for _ in range(seconds * 1000 // STEP_MS):
            self.clock.advance_ms(STEP_MS)
            now = self.clock.now()
            self._report_remote(now)
            for node in self.nodes.values():
                if not node.paused:
                    self._deliver(node, now)
                    if now.mono_ms % GOSSIP_INTERVAL_MS == node.phase_ms:
                        self._tick(node, now)
            if now.mono_ms % GOSSIP_INTERVAL_MS == 0:
                self._close_silent_links(now)

    def count_dead(self, hosts: Collection[HostId]) -> int:
        """Count the pairs of a running node and one of `hosts` that it holds dead."""
        now = self.clock.now()
        return sum(
            node.detector.status(host, now) == Liveness.DEAD
            for node in self.nodes.values()
            for host in hosts
            if not node.paused and host != node.member.host_id
        )

    def block(self, senders: Sequence[HostId], receivers: Sequence[HostId]) -> None:
        """Drop all frames from `senders` to `receivers`."""
        self.blocked |= {(one, two) for one in senders for two in receivers}

    def _add_node(self, member: Member) -> None:
        gossip_map = GossipMap(member.host_id, INCARNATION)
        detector = FailureDetector(member.host_id, INCARNATION)
        roster = Roster(gossip_map, detector, member.data_centre)
        gossip_map.put_local(MEMBER_TOPIC, write_member(member), self.clock.now())
        phase_ms = self._rng.randrange(0, GOSSIP_INTERVAL_MS, STEP_MS)
        node = SimulatedNode(member, gossip_map, detector, roster, phase_ms)
        self.nodes[member.host_id] = node

    def _report_remote(self, now: Instant) -> None:
        """Report each remote member to one local node every `remote_step` beats."""
        hosts = list(self.nodes)
        step = self.nodes[hosts[0]].detector.settings.remote_step
        second, part_ms = divmod(now.mono_ms, 1000)
        if part_ms == 0:
            for index in range(second % step, len(self._remote), step):
                relay = self.nodes[hosts[index % len(hosts)]].detector
                relay.observe(self._remote[index].host_id, INCARNATION, second + 1, now)

    def _tick(self, node: SimulatedNode, now: Instant) -> None:
        node.detector.beat(now)
        if (now.mono_ms - node.phase_ms) % PEER_REVIEW_MS == 0 or not node.chosen_peers:
            self._update_peers(node, now)
        for pair in tuple(node.links):
            self._send_batch(node.member.host_id, pair, now)

    def _update_peers(self, node: SimulatedNode, now: Instant) -> None:
        node.roster.refresh(now)
        membership = node.roster.classify_members(now)
        own, live = node.member.host_id, membership.live
        if membership != node.membership:
            node.membership = membership
            chosen_peers = live if self._mesh else choose_peers(own, live, PEER_COUNT)
            chosen_peers = (*chosen_peers, *choose_probes(own, live, membership.lost))
            node.chosen_peers = frozenset(
                m.host_id for m in chosen_peers if m.host_id != own
            )
        for other in node.chosen_peers:
            self._open_link(frozenset((own, other)), now)
        for pair in tuple(node.links):
            (other,) = pair - {own}
            if (
                other not in node.chosen_peers
                and own not in self.nodes[other].chosen_peers
            ):
                self._close_link(pair)

    def _open_link(self, pair: frozenset[HostId], now: Instant) -> None:
        one, two = sorted(pair)
        if pair in self.links or one not in self.nodes or two not in self.nodes:
            return
        first, second = self.nodes[one], self.nodes[two]
        waiting = self._retry_ms.get(pair, 0) > now.mono_ms
        is_blocked = (one, two) in self.blocked or (two, one) in self.blocked
        if is_blocked or waiting or first.paused or second.paused:
            return
        is_local = first.member.data_centre == second.member.data_centre
        exchanges = {}
        for node, other in ((first, second), (second, first)):
            node.links.add(pair)
            exchanges[node.member.host_id] = Exchange(
                node.map,
                node.detector,
                same_data_centre=is_local,
                peer_digest=other.map.compute_digest(),
                now=now,
            )
        self.links[pair] = SimulatedLink(exchanges, dict.fromkeys(pair, now.mono_ms))

    def _close_link(self, pair: frozenset[HostId]) -> None:
        self.links.pop(pair).is_open = False
        for host in pair:
            self.nodes[host].links.remove(pair)

    def _send_batch(self, own: HostId, pair: frozenset[HostId], now: Instant) -> None:
        (other,) = pair - {own}
        link = self.links[pair]
        batch = link.exchanges[own].collect(now)
        if self.measuring:
            data = encode_frame(Frame(9_400, batch=batch))
            self.frames += 1
            self.bytes += len(data) + FRAME_OVERHEAD_BYTES
            batch = decode_frame(data).unwrap().batch or Batch()
        if self._loss and self._rng.random() < self._loss:
            self._retry_ms[pair] = now.mono_ms + 1_000
            self._close_link(pair)
        elif (own, other) not in self.blocked:
            self.nodes[other].inbox.append((link, batch))

    def _deliver(self, node: SimulatedNode, now: Instant) -> None:
        while node.inbox:
            link, batch = node.inbox.popleft()
            if link.is_open:
                host = node.member.host_id
                link.exchanges[host].accept(batch, now).unwrap()
                link.last_received_ms[host] = now.mono_ms

    def _close_silent_links(self, now: Instant) -> None:
        for pair, link in tuple(self.links.items()):
            if any(
                now.mono_ms - last_received_ms > SILENCE_TIMEOUT_MS
                and not self.nodes[host].paused
                for host, last_received_ms in link.last_received_ms.items()
            ):
                self._close_link(pair)


def make_member(host: str, centre: str, address: str = "") -> Member:
    """Return a member; without an address, its own id is its address."""
    address = address or host
    return Member(
        HostId(host), INCARNATION, DataCentre(centre), Zone("z"), address, address
    )


def measure_simulation(
    members: int,
    *,
    mesh: bool = False,
    remote_members: int = 0,
    seconds: int = 10,
    settle_s: int = 6,
) -> NodeCost:
    """Measure an idle data centre: gossip without sockets, and encoding of frames.

    The processor time includes the simulator and excludes the transport. Reports about
    remote members are passed on only every 30 beats, so a measurement of them needs two
    such rounds as `settle_s` and at least one as `seconds`.
    """
    fleet = SimulatedFleet(members, mesh=mesh, remote_members=remote_members)
    fleet.run(settle_s)
    fleet.measuring = True
    started_s = time.process_time()
    fleet.run(seconds)
    core_percent = 100 * (time.process_time() - started_s)
    totals = (fleet.frames, fleet.bytes, core_percent)
    rates = (total / (members * seconds) for total in totals)
    return NodeCost(members, 2 * len(fleet.links) / members, *rates)


def measure_loopback(nodes: int, seconds: float = 6.0) -> NodeCost:
    """Measure real nodes on loopback, each in its own process.

    Nodes in one process would share wake-ups and gRPC's threads, which hides half of
    the processor time.
    """
    measure = functools.partial(_measure_node, _find_addresses(nodes), seconds)
    context = multiprocessing.get_context("spawn")
    barrier = context.Barrier(nodes)
    with ProcessPoolExecutor(nodes, context, _set_barrier, (barrier,)) as pool:
        costs = [attrs.astuple(cost) for cost in pool.map(measure, range(nodes))]
    return NodeCost(nodes, *map(statistics.fmean, list(zip(*costs, strict=True))[1:]))


def measure_slope(
    measure: Callable[[int], NodeCost], sizes: Sequence[int]
) -> CostSlope:
    """Measure at several sizes and fit a line through the costs."""
    costs = tuple(measure(size) for size in sizes)
    return CostSlope(
        costs,
        _fit_slope(sizes, [cost.bytes_per_s for cost in costs]),
        _fit_slope(sizes, [cost.core_percent for cost in costs]),
    )


# Where the processes of one measurement wait for each other.
_barrier: Barrier | None = None


def _set_barrier(barrier: Barrier) -> None:
    global _barrier
    _barrier = barrier


async def _wait_for_others() -> None:
    assert _barrier is not None
    await asyncio.to_thread(_barrier.wait, BARRIER_TIMEOUT_S)


def _measure_node(addresses: Sequence[str], seconds: float, index: int) -> NodeCost:
    return asyncio.run(_run_node(_make_node(index, addresses), seconds))


async def _run_node(node: PeerNode, seconds: float) -> NodeCost:
    # On a busy machine one process starts seconds after another.
    await _wait_for_others()
    task = asyncio.create_task(node.run())
    await asyncio.sleep(5)
    before = attrs.evolve(node.counters)
    started_s, cpu_s = time.monotonic(), time.process_time()
    await asyncio.sleep(seconds)
    passed_s = time.monotonic() - started_s
    cpu_s = time.process_time() - cpu_s
    frames = node.counters.frames_sent - before.frames_sent
    sent = node.counters.bytes_sent - before.bytes_sent
    sent += frames * FRAME_OVERHEAD_BYTES
    streams = len(node.list_peers())
    # The streams stay open while other nodes still measure.
    await _wait_for_others()
    node.stop()
    await task
    rates = (value / passed_s for value in (frames, sent, 100 * cpu_s))
    return NodeCost(1, streams, *rates)


def _make_node(index: int, addresses: Sequence[str]) -> PeerNode:
    member = make_member(f"host-{index:03}", "dc", addresses[index])
    return PeerNode(
        PeerSettings(addresses[index], seeds=tuple(addresses[:1])),
        member,
        GossipMap(member.host_id, INCARNATION),
        FailureDetector(member.host_id, INCARNATION),
        SystemClock(),
        ControlCallbacks(
            next_offset=lambda: 0,
            read_entries=lambda _: ControlEntries(()),
            on_entries=lambda _: None,
            on_snapshot=lambda _offset, _payload: None,
        ),
        random.Random(index),
    )


def _find_addresses(count: int) -> list[str]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for listener in sockets:
            listener.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{listener.getsockname()[1]}" for listener in sockets]


def _fit_slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    return statistics.linear_regression(sizes, values).slope if len(sizes) > 1 else 0.0
