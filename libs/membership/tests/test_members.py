"""Guards against false failures, lost duties, disconnected peers and stale members."""

from collections import Counter, deque
from itertools import pairwise

import attrs
import pytest

from waxwingbarrow.core import DataCentre, HostId, Incarnation, Instant, Zone
from waxwingbarrow.membership import (
    MEMBER_TOPIC,
    Batch,
    Exchange,
    ExchangeSettings,
    FailureDetector,
    GossipMap,
    HeartbeatName,
    Liveness,
    Member,
    MemberStatus,
    Roster,
    assign,
    choose_peers,
    choose_probes,
    read_member,
    write_member,
)

RUN = Incarnation(1, 0)


def at(mono_ms):
    return Instant(1_700_000_000_000 + mono_ms, mono_ms)


def member(host, centre="dc-1", address=None, run=RUN, status=MemberStatus.ALIVE):
    return Member(
        HostId(host), run, DataCentre(centre), Zone("z"), address or host, host, status
    )


def make_members(count, centre="dc-1"):
    return [member(f"{centre}-{index:03}", centre) for index in range(count)]


def new_detector(*hosts, local=True):
    detector = FailureDetector(HostId("self"), RUN)
    for host in hosts:
        detector.set_locality(HostId(host), RUN, local, at(0))
        detector.observe(HostId(host), RUN, 1, at(0))
    return detector


@pytest.mark.parametrize(
    ("local", "silence_ms", "expected"),
    [
        (True, 4_999, Liveness.ALIVE),
        (True, 5_000, Liveness.SUSPECT),
        (True, 8_000, Liveness.DEAD),
        (False, 8_000, Liveness.ALIVE),
        (False, 80_000, Liveness.SUSPECT),
        (False, 120_000, Liveness.DEAD),
    ],
)
def test_silent_member_turns_suspect_and_dead_at_the_configured_times(
    local, silence_ms, expected
):
    detector = new_detector("a", local=local)
    assert detector.status(HostId("a"), at(silence_ms)) == expected


def test_old_counter_does_not_revive_a_dead_member():
    detector = new_detector("a")
    assert not detector.observe(HostId("a"), RUN, 1, at(9_000))
    assert detector.status(HostId("a"), at(9_000)) == Liveness.DEAD
    assert detector.observe(HostId("a"), RUN, 2, at(9_000))
    assert detector.status(HostId("a"), at(9_000)) == Liveness.ALIVE


def test_host_that_resumes_after_a_pause_does_not_declare_the_others_dead():
    detector = new_detector("a")
    detector.beat(at(0))
    assert detector.status(HostId("a"), at(60_000)) == Liveness.ALIVE
    detector.beat(at(60_000))
    assert detector.status(HostId("a"), at(60_000)) == Liveness.ALIVE
    for second in range(61, 70):
        detector.beat(at(second * 1_000))
    assert detector.status(HostId("a"), at(69_000)) == Liveness.DEAD


def test_member_without_a_report_is_suspect_then_dead():
    detector = FailureDetector(HostId("self"), RUN)
    detector.set_locality(HostId("a"), RUN, True, at(0))
    assert detector.status(HostId("a"), at(0)) == Liveness.SUSPECT
    assert detector.status(HostId("a"), at(8_000)) == Liveness.DEAD


def test_only_the_duties_of_a_member_that_left_are_moved():
    members = make_members(20)
    duties = [f"duty-{index}" for index in range(500)]
    before = {duty: assign(duty, members) for duty in duties}
    after = {duty: assign(duty, members[1:]) for duty in duties}
    moved = {duty for duty in duties if before[duty] != after[duty]}
    assert moved == {d for d in duties if before[d] == members[0].host_id}
    assert max(Counter(before.values()).values()) < 3 * 500 / 20


def test_draining_member_gets_a_duty_only_without_others():
    draining = member("a", status=MemberStatus.DRAINING)
    assert {assign(f"{i}", [draining, member("b")]) for i in range(20)} == {"b"}
    assert assign("any", [draining]) == "a"
    assert assign("any", []) is None


def count_hops(start, links):
    seen, queue = {start: 0}, deque([start])
    while queue:
        host = queue.popleft()
        for other in links[host] - set(seen):
            seen[other] = seen[host] + 1
            queue.append(other)
    return seen


def connect_all(members, count=3):
    links = {m.host_id: set() for m in members}
    for own in members:
        for peer in choose_peers(own.host_id, members, count):
            links[own.host_id].add(peer.host_id)
            links[peer.host_id].add(own.host_id)
    return links


@pytest.mark.parametrize(("count", "max_hops"), [(2, 7), (3, 5)])
@pytest.mark.parametrize("size", [1, 2, 3, 7, 30, 120])
def test_few_streams_connect_all_members_in_few_hops(size, count, max_hops):
    members = make_members(size)
    links = connect_all(members, count)
    hop_counts = [max(count_hops(m.host_id, links).values()) for m in members]
    assert all(len(count_hops(m.host_id, links)) == size for m in members)
    assert max(len(found) for found in links.values()) <= 2 * count
    assert max(hop_counts) <= max_hops


def test_data_centres_stay_connected_when_one_member_dies():
    members = [m for centre in ("x", "y", "z") for m in make_members(12, centre)]
    links = connect_all(members)
    assert len(count_hops(members[0].host_id, links)) == 36
    for gone in members:
        rest = {h: found - {gone.host_id} for h, found in links.items()}
        start = next(m.host_id for m in members if m != gone)
        assert len(count_hops(start, rest)) == 35


def test_relay_streams_are_spread_over_the_members_of_a_data_centre():
    members = [m for centre in range(20) for m in make_members(30, f"dc-{centre:02}")]
    local = [m for m in members if m.data_centre == "dc-00"]
    peers = [choose_peers(m.host_id, members, 0) for m in local]
    assert sum(len(found) for found in peers) >= 36
    assert max(len(found) for found in peers) <= 6


def test_each_dead_member_is_probed_by_one_host_of_each_data_centre():
    """Guards against a partition that heals without being detected."""
    live = make_members(10, "x") + make_members(10, "y")
    dead = make_members(30, "lost")
    probes = [(own, choose_probes(own.host_id, live, dead)) for own in live]
    for centre in ("x", "y"):
        tried = [m for own, found in probes if own.data_centre == centre for m in found]
        assert sorted(m.host_id for m in tried) == [m.host_id for m in dead]
    assert choose_probes(HostId("unknown"), live, dead) == ()


class SimulatedHost:
    def __init__(self, own, settings=None):
        self.member = own
        self.settings = settings
        self.map = GossipMap(own.host_id, own.incarnation)
        self.detector = FailureDetector(own.host_id, own.incarnation)
        self.roster = Roster(self.map, self.detector, own.data_centre, 600_000)
        self.map.put_local(MEMBER_TOPIC, write_member(own), at(0))
        self.roster.refresh(at(0))

    def open(self, other, now):
        return Exchange(
            self.map,
            self.detector,
            same_data_centre=self.member.data_centre == other.member.data_centre,
            peer_digest=other.map.compute_digest(),
            now=now,
            settings=self.settings,
        )

    def live(self, now):
        return {m.host_id for m in self.roster.list_live(now)}


def connect(one, two, now):
    return one.open(two, now), two.open(one, now)


def run_seconds(nodes, pairs, start_s, end_s):
    """Beat on all hosts and pass one batch each way on all streams every second."""
    batches = []
    for second in range(start_s, end_s):
        now = at(second * 1_000)
        for node in nodes:
            node.detector.beat(now)
        for one, two in pairs:
            for sender, receiver in ((one, two), (two, one)):
                batch = sender.collect(now)
                batches.append(batch)
                receiver.accept(batch, now).unwrap()
        for node in nodes:
            node.roster.refresh(now)
            node.roster.remove_expired(now)
    return batches


def connect_in_line(*nodes, now):
    return [connect(one, two, now) for one, two in pairwise(nodes)]


def test_member_without_a_direct_stream_stays_live():
    """Guards against a false failure when the link between two hosts is cut.

    Hosts a and c have no stream between them, as after a one-way or full cut, so b
    forwards their counters.
    """
    nodes = [SimulatedHost(member(host)) for host in "abc"]
    run_seconds(nodes, connect_in_line(*nodes, now=at(0)), 0, 30)
    assert all(node.live(at(30_000)) == {"a", "b", "c"} for node in nodes)


def test_unchanged_or_received_items_and_counters_are_not_sent():
    nodes = [SimulatedHost(member(host)) for host in "abc"]
    pairs = connect_in_line(*nodes, now=at(0))
    first = run_seconds(nodes, pairs, 0, 5)
    later = run_seconds(nodes, pairs, 5, 25)
    # Each of 3 items and counters crosses each of 2 streams in one direction.
    assert sum(len(batch.items) for batch in first) == 3 * 2
    assert sum(len(batch.items) for batch in later) == 0
    assert sum(len(batch.names) for batch in later) == 0
    assert sum(len(batch.steps) for batch in later) == 3 * 2 * 20


def test_new_host_at_the_address_of_another_replaces_it():
    nodes = [
        SimulatedHost(member("a")),
        SimulatedHost(member("b", address="10.0.0.1:1")),
    ]
    run_seconds(nodes, connect_in_line(*nodes, now=at(0)), 0, 3)
    other = SimulatedHost(member("c", address="10.0.0.1:1", run=Incarnation(2, 0)))
    pairs = connect_in_line(nodes[0], other, now=at(3_000))
    run_seconds([nodes[0], other], pairs, 3, 6)
    assert nodes[0].live(at(6_000)) == {"a", "c"}


def test_topics_of_an_earlier_incarnation_are_dropped():
    a, old = SimulatedHost(member("a")), SimulatedHost(member("b"))
    old.map.put_local("demand", b"9", at(0))
    run_seconds([a, old], connect_in_line(a, old, now=at(0)), 0, 3)
    new = SimulatedHost(member("b", run=Incarnation(2, 0)))
    run_seconds([a, new], connect_in_line(a, new, now=at(3_000)), 3, 6)
    assert a.map.find(HostId("b"), "demand") is None
    assert a.live(at(6_000)) == {"a", "b"}


def test_departed_member_is_not_live_and_is_removed_after_the_retention():
    a, b = SimulatedHost(member("a")), SimulatedHost(member("b"))
    pairs = connect_in_line(a, b, now=at(0))
    left = attrs.evolve(b.member, status=MemberStatus.LEFT)
    b.map.put_local(MEMBER_TOPIC, write_member(left), at(0))
    run_seconds([a, b], pairs, 0, 3)
    assert a.live(at(3_000)) == {"a"}
    run_seconds([a], [], 3, 602)
    assert a.map.list_origin(HostId("b")) != ()
    run_seconds([a], [], 602, 605)
    assert a.map.list_origin(HostId("b")) == ()
    assert a.detector.find(HostId("b")) is None


def test_members_return_after_a_partition_longer_than_the_retention():
    """Guards against removed members that stay ignored until they restart."""
    nodes = [SimulatedHost(member(host)) for host in "abcd"]
    a, b, c, d = nodes
    run_seconds(nodes, connect_in_line(*nodes, now=at(0)), 0, 5)
    halves = connect_in_line(a, b, now=at(0)) + connect_in_line(c, d, now=at(0))
    run_seconds(nodes, halves, 5, 700)
    assert a.live(at(700_000)) == {"a", "b"}
    assert a.map.list_origin(HostId("d")) == ()
    run_seconds(nodes, [*halves, connect(b, c, at(700_000))], 700, 712)
    assert all(node.live(at(712_000)) == {"a", "b", "c", "d"} for node in nodes)


def test_byte_rate_delays_items_except_urgent_ones():
    slow = ExchangeSettings(bytes_per_s=100, burst_bytes=0)
    a, b = SimulatedHost(member("a"), slow), SimulatedHost(member("b"), slow)
    exchange = a.open(b, at(0))
    for index in range(5):
        a.map.put_local(f"t{index}", b"x" * 100, at(0))
    a.map.put_local("withdrawals", b"v2", at(0), urgent=True)
    assert [i.topic for i in exchange.collect(at(0)).items] == ["withdrawals"]
    sent = []
    for second in range(1, 30):
        sent += [i.topic for i in exchange.collect(at(second * 1_000)).items]
    assert sorted(sent) == [MEMBER_TOPIC, "t0", "t1", "t2", "t3", "t4"]


def test_item_that_does_not_cross_data_centres_is_not_sent_to_another():
    a, b = SimulatedHost(member("a")), SimulatedHost(member("b", "dc-2"))
    a.map.put_local("load", b"1", at(0), crosses_data_centres=False)
    run_seconds([a, b], connect_in_line(a, b, now=at(0)), 0, 3)
    assert b.map.find(HostId("a"), "load") is None
    assert b.live(at(3_000)) == {"a", "b"}


@pytest.mark.parametrize(
    ("batch", "reason"),
    [
        (Batch(positions=(0,), steps=(1,)), "not named"),
        (Batch(positions=(0,), steps=()), "differ in number"),
        (Batch(names=(HeartbeatName(HostId("x"), RUN, 1),) * 3), "names 3 members"),
        (Batch(names=(HeartbeatName(HostId("x"), RUN, 2**60),)), "counter"),
    ],
)
def test_no_part_of_an_invalid_batch_is_applied(batch, reason):
    a, b = (
        SimulatedHost(member("a"), ExchangeSettings(max_names=2)),
        SimulatedHost(member("b")),
    )
    item = b.map.put_local("t", b"", at(0))
    exchange = a.open(b, at(0))
    failure = exchange.accept(attrs.evolve(batch, items=(item,)), at(0)).unwrap_err()
    assert reason in failure.detail
    assert a.map.find(HostId("b"), "t") is None


def test_member_payload_round_trips_and_an_unknown_status_is_rejected():
    assert read_member(write_member(member("a"))).unwrap() == member("a")
    assert (
        "status"
        in read_member(write_member(member("a")).replace(b'"alive"', b'"asleep"'))
        .unwrap_err()
        .detail
    )
