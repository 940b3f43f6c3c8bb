"""Guards against cold upstreams that crash under the requests of all hosts together.

A cold upstream tolerates a few requests per second. Hosts that each keep to a part of
that, or two hosts that both count for all, sent it several times as many.
"""

import asyncio
import itertools
import random

import attrs
import pytest
from peer_network import Network, make_holder

from waxwingbarrow.core import (
    DataCentre,
    Instant,
    ManualClock,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.gateway.admission._cold_permits import (
    ColdHosts,
    ColdPermits,
    divide_cold_limit,
)
from waxwingbarrow.gateway.admission._permit_keeper import PermitKeeper
from waxwingbarrow.gateway.admission._permits import Permits
from waxwingbarrow.gateway.admission._placements import PlacementAdviser
from waxwingbarrow.gateway.base._model import (
    Engine,
    ResponseMetadata,
    RolloutState,
    RolloutStatus,
    Service,
    UpstreamEntry,
)
from waxwingbarrow.gateway.base._settings import Bounds
from waxwingbarrow.gateway.messages import PlacementQuery
from waxwingbarrow.gateway.peers._host_counts import (
    LEARNING_MS,
    MEMORY_MS,
    HostCounts,
)
from waxwingbarrow.gateway.requests._cold_upstreams import find_rule
from waxwingbarrow.gateway.requests._rollouts import Rollouts
from waxwingbarrow.gateway.upstreams._cold_phases import MAX_LEFT_MS, RETENTION_MS
from waxwingbarrow.gateway.upstreams._fleet import Fleet
from waxwingbarrow.gateway.upstreams._notices import UpstreamNotices
from waxwingbarrow.rollout import CanaryPolicy
from waxwingbarrow.routing import PlacementPolicy

POOL = ServiceName("pool")
PROCESS = (UpstreamId("u1"), 5)
COLD_PER_S = 7.8
BOUND = 1.5 * COLD_PER_S + 5
COLD = Service(name=POOL, cold_start_s=20.0, cold_limit_per_s=COLD_PER_S)
STEP_MS = 25
STEPS_PER_HEARTBEAT = 10
# A request is sent up to this much later than its permit was granted.
MAX_SEND_DELAY_MS = 100


def at(ms):
    return Instant(ms, ms)


def make_entry(name="u1", started_ms=5, **fields):
    return UpstreamEntry(
        upstream=UpstreamId(name),
        service=POOL,
        host="10.9.0.1",
        port=80,
        data_centre=DataCentre("a"),
        version=VersionName("v1"),
        process_started_ms=started_ms,
        **fields,
    )


def state(left_ms=None, **fields):
    return ResponseMetadata(
        request_id="r", not_run=False, cold_left_ms=left_ms, **fields
    )


def make_network(hosts, has_holder):
    """Return hosts that have known each other for a while, in several data centres."""
    centres = {1: 1, 7: 1, 69: 3, 300: 6}[hosts]
    network = Network(centres, hosts // centres)
    network.run(12)
    if has_holder:
        if hosts < 14:
            network.hosts["h0-0"].peer_sync.held_fencing_token = 9
        else:
            make_holder(network)
    network.clock.advance_ms(LEARNING_MS)
    network.run(6)
    now = network.clock.now()
    for host in network.hosts.values():
        assert host.peers.count_possible_hosts(now) == hosts
    make_cold(network, 600_000)
    return network


def make_cold(network, left_ms, names=("u1",)):
    now = network.clock.now()
    for host in network.hosts.values():
        host.fleet.notices.cold.set_services([COLD])
        for name in names:
            entry = make_entry(name, cold_left_ms=left_ms)
            host.fleet.put(entry, now)


async def request_from(host, process, rng, sent_ms):
    now = host.clock.now()
    notices = host.fleet.notices
    if notices.measure_deferral_ms(process, now):
        return
    if await host.permits.acquire(process):
        sent_ms.append(host.clock.now().mono_ms + rng.randrange(MAX_SEND_DELAY_MS))


async def run(network, seconds, rate_per_s, rng, process=PROCESS, hosts=None):
    """Let random hosts have requests at a rate; return when requests were sent."""
    sent_ms = []
    for step in range(int(seconds * 1000) // STEP_MS):
        network.clock.advance_ms(STEP_MS)
        if step % STEPS_PER_HEARTBEAT == 0:
            network.send_heartbeats()
        running = [
            host for host in network.hosts.values() if host.address not in network.down
        ]
        count = int(rate_per_s * STEP_MS / 1000 + rng.random())
        tasks = [
            asyncio.create_task(request_from(host, process, rng, sent_ms))
            for host in rng.choices(hosts or running, k=count)
        ]
        # Each message is sent after a step of the event loop.
        for _ in itertools.repeat(None, 4):
            await asyncio.sleep(0)
            network.deliver(network.down)
        await asyncio.gather(*tasks)
    return sent_ms


def count_most(sent_ms):
    """Return the most requests in any one second."""
    times = sorted(sent_ms)
    return max(
        (sum(start <= ms < start + 1_000 for ms in times) for start in times), default=0
    )


SIZES = [1, 7, 69, 300]


@pytest.mark.parametrize("hosts", SIZES)
async def test_hosts_with_a_keeper_keep_to_the_bound(hosts):
    network = make_network(hosts, has_holder=True)
    sent_ms = await run(network, 8, 150, random.Random(1))
    assert count_most(sent_ms) <= BOUND
    # The upstream gets what it tolerates.
    assert len(sent_ms) >= 0.8 * COLD_PER_S * 8


@pytest.mark.parametrize("hosts", SIZES)
async def test_hosts_without_a_keeper_keep_to_the_bound(hosts):
    # Guards against even shares of less than one request in a second, each of which is
    # saved up until it allows one: 300 hosts then send 300 at once.
    network = make_network(hosts, has_holder=False)
    sent_ms = await run(network, 8, 300, random.Random(2))
    assert count_most(sent_ms) <= BOUND
    if hosts <= 7:
        assert len(sent_ms) >= 3 * 8


@pytest.mark.parametrize("hosts", SIZES)
@pytest.mark.parametrize("has_holder", [True, False])
async def test_a_burst_after_an_idle_time_keeps_to_the_bound(hosts, has_holder):
    network = make_network(hosts, has_holder)
    await run(network, 2, 100, random.Random(3))
    for _ in range(4):
        network.clock.advance_ms(5_000)
        network.send_heartbeats()
    sent_ms = await run(network, 2, 800, random.Random(4))
    assert count_most(sent_ms) <= BOUND


@pytest.mark.parametrize("hosts", [7, 69])
async def test_two_keepers_in_a_partition_keep_to_the_bound(hosts):
    # Guards against the first host of each part, or a relay of it, that counts for all
    # hosts of its part while the holder of the duties does in the other.
    network = make_network(hosts, has_holder=True)
    (holder,) = [
        name
        for name, host in network.hosts.items()
        if host.peer_sync.held_fencing_token
    ]
    rng = random.Random(5)
    sent_ms = await run(network, 2, 150, rng)
    names = sorted(network.hosts.keys() - {holder})
    part = {holder, *names[: len(names) // 3]}
    for name, other in itertools.product(part, network.hosts.keys() - part):
        network.cut(name, other)
    sent_ms += await run(network, 6, 400, rng)
    # The holder's lease ends before another host gets it.
    network.hosts[holder].peer_sync.held_fencing_token = 0
    network.hosts[holder].permits.keeper.reset_cold()
    network.hosts[names[-1]].peer_sync.held_fencing_token = 10
    sent_ms += await run(network, 6, 400, rng)
    network.cuts.clear()
    sent_ms += await run(network, 6, 400, rng)
    assert count_most(sent_ms) <= BOUND


async def test_a_keeper_and_the_shares_of_the_others_keep_to_the_bound():
    network = make_network(7, has_holder=True)
    for other in ("h0-4", "h0-5", "h0-6"):
        network.cut("h0-0", other)
    sent_ms = await run(network, 10, 400, random.Random(6))
    assert count_most(sent_ms) <= BOUND
    assert len(sent_ms) >= 0.8 * COLD_PER_S * 10


async def test_the_loss_of_the_keeper_keeps_to_the_bound():
    for hosts in (7, 69):
        network = make_network(hosts, has_holder=True)
        (holder,) = [
            name
            for name, host in network.hosts.items()
            if host.peer_sync.held_fencing_token
        ]
        rng = random.Random(7)
        sent_ms = await run(network, 3, 150, rng)
        network.fail(holder)
        sent_ms += await run(network, 3, 300, rng)
        successor = next(name for name in network.hosts if name != holder)
        network.hosts[successor].peer_sync.held_fencing_token = 10
        sent_ms += await run(network, 4, 300, rng)
        assert count_most(sent_ms) <= BOUND


async def test_hosts_obey_a_phase_that_one_of_them_learned_of():
    # An upstream may become cold again at any moment.
    for hosts in (7, 69):
        network = make_network(hosts, has_holder=True)
        other = (UpstreamId("u2"), 5)
        now = network.clock.now()
        for host in network.hosts.values():
            host.fleet.put(make_entry("u2"), now)
        first = next(iter(network.hosts.values()))
        first.fleet.notices.note_response(other, 200, state(30_000), now)
        network.run(4)
        sent_ms = await run(network, 4, 200, random.Random(8), other)
        assert count_most(sent_ms) <= BOUND
        first.fleet.notices.note_response(other, 200, state(0), network.clock.now())
        network.run(4)
        later = network.clock.now()
        assert all(
            host.fleet.notices.cold.find_limit_per_s(other, later) is None
            for host in network.hosts.values()
        )


async def test_a_keeper_that_does_not_know_the_upstream_grants_nothing():
    # Guards against a keeper that takes an upstream for a warm one, because it has not
    # read its registration.
    network = make_network(7, has_holder=True)
    other = (UpstreamId("u2"), 5)
    asker = network.hosts["h0-3"]
    asker.fleet.put(make_entry("u2", cold_left_ms=9_000), network.clock.now())
    sent_ms = await run(network, 2, 50, random.Random(9), other, [asker])
    assert sent_ms == []


async def test_a_host_that_starts_learns_of_phases_from_the_others():
    # Guards against a host that takes an upstream for a warm one, because it did not
    # hear the response that said otherwise.
    for hosts in (7, 69):
        network = make_network(hosts, has_holder=True)
        other = (UpstreamId("u2"), 5)
        for host in network.hosts.values():
            host.fleet.put(make_entry("u2"), network.clock.now())
        first = next(iter(network.hosts.values()))
        now = network.clock.now()
        first.fleet.notices.note_response(other, 200, state(30_000), now)
        network.run(2)
        network.add("late", "dc0", "10.0.0.99")
        network.register_all()
        notices = network.hosts["late"].fleet.notices
        notices.cold.set_services([COLD])
        notices.cold.start_host(network.clock.now(), False, lambda: True)
        notices.cold.note_registration(make_entry("u2"), network.clock.now())
        assert notices.measure_deferral_ms(other, network.clock.now()) > 0
        network.run(4)
        assert notices.cold.find_limit_per_s(other, network.clock.now()) == COLD_PER_S


async def test_many_cold_upstreams_at_once_are_all_used():
    # A worker order or a rollout brings up many at the same time.
    network = make_network(7, has_holder=True)
    names = [f"n{number}" for number in range(20)]
    make_cold(network, 60_000, names)
    rng = random.Random(10)
    for name in names[:3]:
        sent_ms = await run(network, 3, 60, rng, (UpstreamId(name), 5))
        assert count_most(sent_ms) <= BOUND
        assert len(sent_ms) >= 0.8 * COLD_PER_S * 3 - 2


class TestDivision:
    @pytest.mark.parametrize("limit_per_s", [0.3, 1.0, 4.0, 7.8, 20.0, 200.0])
    @pytest.mark.parametrize("hosts", [1, 2, 7, 13, 69, 300])
    def test_both_parts_stay_within_the_bound(self, limit_per_s, hosts):
        bounds = Bounds()
        quota = divide_cold_limit(limit_per_s, bounds, hosts)
        allowed = limit_per_s * bounds.cold_over + bounds.cold_slack
        assert quota.keeper_count + hosts * quota.share_count <= allowed
        assert quota.keeper_count >= limit_per_s

    @pytest.mark.parametrize("count", [1, 2, 9])
    def test_a_part_grants_its_count_in_any_second(self, count):
        notices = UpstreamNotices()
        notices.cold.set_services([COLD])
        notices.cold.note_registration(make_entry(cold_left_ms=60_000), at(0))
        permits = ColdPermits(notices, lambda limit_per_s, now: count)
        granted_ms = [
            ms for ms in range(0, 20_000, 10) if permits.take(PROCESS, at(ms)).is_ok()
        ]
        assert count_most(granted_ms) <= count
        assert granted_ms[0] > 0


class TestHostCounts:
    def test_a_host_that_just_started_knows_no_number(self):
        # Guards against 300 hosts that start together and each take the whole rest.
        counts = HostCounts(at(1_000))
        counts.note(1, at(1_000))
        assert counts.find_most(at(LEARNING_MS)) is None
        assert counts.find_most(at(1_000 + LEARNING_MS)) == 1

    def test_hosts_that_are_cut_off_count_for_long(self):
        counts = HostCounts(at(0))
        counts.note(300, at(50_000))
        for ms in range(60_000, 50_000 + MEMORY_MS, 1_000):
            counts.note(7, at(ms))
            assert counts.find_most(at(ms)) == 300
        counts.note(7, at(60_000 + MEMORY_MS))
        assert counts.find_most(at(60_000 + MEMORY_MS)) == 7


class TestPhases:
    def make(self, started=None, is_first_start=False, has_others=True):
        notices = UpstreamNotices()
        notices.cold.set_services([COLD])
        if started is not None:
            notices.cold.start_host(started, is_first_start, lambda: has_others)
        return notices

    def is_cold(self, notices, ms, process=PROCESS):
        return notices.cold.find_limit_per_s(process, at(ms)) is not None

    def test_a_stated_time_counts_from_its_arrival(self):
        notices = self.make()
        notices.cold.note_registration(make_entry(cold_left_ms=5_000), at(1_000))
        assert self.is_cold(notices, 5_999)
        assert not self.is_cold(notices, 6_000)

    def test_a_registration_that_is_read_again_states_nothing_new(self):
        # Guards against a phase that each reading of the store prolongs.
        notices = self.make()
        for ms in range(0, 5_000, 1_000):
            notices.cold.note_registration(make_entry(cold_left_ms=2_000), at(ms))
        assert not self.is_cold(notices, 2_000)

    def test_an_upstream_that_comes_back_at_another_address_is_still_cold(self):
        fleet = Fleet()
        fleet.notices.cold.set_services([COLD])
        fleet.put(make_entry(cold_left_ms=9_000, sequence=7), at(0))
        moved = attrs.evolve(make_entry(sequence=8), host="10.9.0.2")
        fleet.put(moved, at(1_000))
        assert self.is_cold(fleet.notices, 8_999)
        fleet.remove(PROCESS[0], at(2_000))
        fleet.put(moved, at(3_000))
        assert self.is_cold(fleet.notices, 8_999)

    def test_a_registration_ends_no_phase_that_a_response_stated(self):
        # It may have been written before the upstream became cold again.
        notices = self.make()
        notices.cold.note_registration(make_entry(cold_left_ms=0), at(0))
        notices.note_response(PROCESS, 200, state(8_000), at(1_000))
        entry = make_entry(cold_left_ms=0, sequence=1)
        notices.cold.note_registration(entry, at(1_500))
        assert self.is_cold(notices, 8_999)

    def test_a_response_of_another_upstream_at_the_address_does_not_count(self):
        notices = self.make()
        notices.cold.note_registration(make_entry(), at(0))
        notices.note_response(PROCESS, 421, state(8_000), at(0))
        assert not self.is_cold(notices, 1)

    def test_a_service_without_a_cold_phase_has_no_cold_upstreams(self):
        notices = self.make()
        notices.cold.set_services([attrs.evolve(COLD, cold_limit_per_s=0.0)])
        notices.cold.note_registration(make_entry(cold_left_ms=5_000), at(0))
        notices.note_response(PROCESS, 200, state(8_000), at(0))
        assert not self.is_cold(notices, 1)
        assert notices.measure_deferral_ms(PROCESS, at(1)) == 0

    def test_a_process_that_started_after_this_host_is_cold(self):
        notices = self.make(at(1_000))
        notices.cold.note_registration(make_entry(started_ms=9_000), at(12_000))
        process = (UpstreamId("u1"), 9_000)
        assert self.is_cold(notices, 9_000 + 19_999, process)
        assert not self.is_cold(notices, 12_000 + 20_000, process)

    def test_the_configuration_may_be_read_after_the_registrations(self):
        notices = self.make(at(0))
        notices.cold.set_services([])
        notices.cold.note_registration(make_entry(started_ms=500), at(1_000))
        process = (UpstreamId("u1"), 500)
        assert not self.is_cold(notices, 1_000, process)
        notices.cold.set_services([COLD])
        assert self.is_cold(notices, 1_000, process)

    def test_a_host_that_starts_waits_until_a_peer_told_it(self):
        # Guards against a host that sends its share and more to upstreams that the
        # others know to be cold.
        notices = self.make(at(1_000))
        notices.cold.note_registration(make_entry(), at(1_100))
        assert notices.measure_deferral_ms(PROCESS, at(1_200)) > 0
        report = (PROCESS[0], PROCESS[1], 5_000, 700)
        notices.cold.update_from_peer([report], at(1_300))
        assert self.is_cold(notices, 1_300 + 4_999)
        assert notices.measure_deferral_ms(PROCESS, at(1_400)) == 0

    @pytest.mark.parametrize(
        ("is_first_start", "has_others", "wait_until_ms"),
        [(True, True, 0), (False, False, 2_000), (False, True, 20_000)],
        ids=["all hosts start", "a single host", "no peer heard"],
    )
    def test_a_host_that_hears_no_peer_does_not_wait_for_ever(
        self, is_first_start, has_others, wait_until_ms
    ):
        notices = self.make(at(0), is_first_start, has_others)
        notices.cold.note_registration(make_entry(started_ms=-5), at(0))
        process = (UpstreamId("u1"), -5)
        assert not notices.measure_deferral_ms(process, at(wait_until_ms))
        if wait_until_ms:
            assert notices.measure_deferral_ms(process, at(wait_until_ms - 1)) > 0

    def test_two_hosts_do_not_keep_a_phase_alive_between_them(self):
        first, second = self.make(), self.make()
        for notices in (first, second):
            notices.cold.note_registration(make_entry(), at(0))
        first.note_response(PROCESS, 200, state(3_000), at(0))
        for ms in range(0, 30_000, 250):
            reports = first.cold.list_reports(at(ms))
            second.cold.update_from_peer(reports, at(ms + 20))
            reports = second.cold.list_reports(at(ms))
            first.cold.update_from_peer(reports, at(ms + 20))
        assert not self.is_cold(second, 3_100)
        assert first.cold.list_reports(at(30_000)) == []

    def test_what_all_hosts_know_is_not_sent_to_them(self):
        # Guards against relays that tell each host of each upstream four times a
        # second, because every response states the time left.
        notices = self.make()
        for number in range(100):
            entry = make_entry(f"u{number}", cold_left_ms=5_000 * (number % 2))
            notices.cold.note_registration(entry, at(0))
            process = (entry.upstream, 5)
            for ms in range(100, 9_000, 300):
                left_ms = max(5_000 * (number % 2) - ms, 0)
                notices.note_response(process, 200, state(left_ms), at(ms))
                assert notices.cold.list_reports(at(ms)) == []
        notices.note_response(PROCESS, 200, state(5_000), at(9_000))
        assert len(notices.cold.list_reports(at(9_100))) == 1

    def test_phases_of_upstreams_that_are_gone_are_forgotten(self):
        notices = self.make()
        for number in range(50):
            process = (UpstreamId(f"u{number}"), 5)
            notices.note_response(process, 200, state(1_000), at(number))
        notices.cold.list_reports(at(2 * RETENTION_MS))
        assert notices.cold._phases == {}

    def test_impossible_reports_of_peers_are_bounded(self):
        # Guards against an upstream that a peer's statement keeps cold for years.
        notices = self.make()
        notices.cold.note_registration(make_entry(), at(0))
        notices.cold.update_from_peer([(*PROCESS, 2**53, -(2**53))], at(100))
        assert not self.is_cold(notices, 100 + MAX_LEFT_MS)
        notices.cold.update_from_peer([(*PROCESS, -5, 0)], at(1_000))
        assert not self.is_cold(notices, 1_000)

    def test_the_lower_of_two_limits_applies(self):
        notices = self.make()
        notices.cold.note_registration(make_entry(cold_left_ms=5_000), at(0))
        for limit_per_s, lowest in [(2.0, 2.0), (50.0, COLD_PER_S)]:
            metadata = state(None, request_limit_per_s=limit_per_s)
            notices.note_response(PROCESS, 200, metadata, at(10))
            assert notices.find_lowest_limit_per_s(PROCESS, at(10)) == lowest


class TestRollouts:
    def make(self, left_ms):
        fleet, now = Fleet(), at(0)
        fleet.notices.cold.set_services([COLD])
        fleet.put(make_entry("old"), now)
        new = attrs.evolve(make_entry("new", cold_left_ms=left_ms), version="v2")
        fleet.put(new, now)
        rollouts = Rollouts(CanaryPolicy())
        rollouts.apply_status(
            RolloutStatus(
                service=POOL, to_version=VersionName("v2"), state=RolloutState.DONE
            )
        )
        return fleet, rollouts

    def test_requests_use_the_old_version_while_the_new_one_takes_none(self):
        # Guards against a rollout that refuses callers, as all its upstreams are cold.
        fleet, rollouts = self.make(60_000)
        process = fleet.upstreams["new"].process
        assert find_rule(rollouts, fleet, POOL, "r", at(0)).only == "v2"
        fleet.notices.record_permit_wait(process, 200, at(0))
        assert find_rule(rollouts, fleet, POOL, "r", at(0)).only is None
        assert find_rule(rollouts, fleet, POOL, "r", at(200)).only == "v2"

    def test_a_version_that_is_deferred_but_not_cold_stays_the_only_one(self):
        fleet, rollouts = self.make(0)
        process = fleet.upstreams["new"].process
        metadata = state(None, retry_after_s=2.0)
        fleet.notices.note_response(process, 503, metadata, at(0))
        assert find_rule(rollouts, fleet, POOL, "r", at(0)).only == "v2"


class TestPlacement:
    def make(self, is_holder):
        fleet = Fleet()
        fleet.notices.cold.set_services([COLD])
        for name, left_ms in [("cold", 60_000), ("warm", 0)]:
            fleet.put(make_entry(name, cold_left_ms=left_ms, slots=32), at(0))
        hosts = ColdHosts(
            Bounds(), lambda now: [""] if is_holder else [], lambda now: 69
        )
        permits = ColdPermits(fleet.notices, hosts.find_keeper_count)
        engine = Engine(slots=32, memory_tokens=1_000_000)
        adviser = PlacementAdviser(
            fleet,
            PlacementPolicy(data_centre=DataCentre("a")),
            random.Random(1),
            lambda service: engine,
            PermitKeeper(fleet.notices, lambda now: 1.0, permits),
        )
        return fleet, adviser

    def advise(self, adviser, count, ms):
        query = PlacementQuery("pool", "a", 100, 10, [], 5_000.0)
        return [
            adviser.advise(query, ("10.0.0.1", ms + number), at(ms))
            for number in range(count)
        ]

    def test_advice_counts_against_the_bound(self):
        _, adviser = self.make(is_holder=True)
        sent_ms = []
        for ms in range(0, 5_000, 20):
            for advice in self.advise(adviser, 3, ms):
                assert advice.is_cold == (advice.upstream == "cold")
                if advice.is_cold:
                    sent_ms.append(ms)
        assert sent_ms
        assert count_most(sent_ms) <= BOUND

    def test_a_deputy_advises_no_cold_upstream(self):
        # The holder of the duties may still grant all that the upstream tolerates.
        _, adviser = self.make(is_holder=False)
        advised = {
            advice.upstream
            for ms in range(0, 5_000, 50)
            for advice in self.advise(adviser, 1, ms)
        }
        assert advised == {"warm"}

    def test_a_cold_upstream_has_the_slots_that_it_can_use(self):
        fleet, _ = self.make(is_holder=True)
        views = fleet.view(fleet.list_usable(POOL, None), (), None, at(0))
        assert {view.upstream: view.slots for view in views} == {"cold": 7, "warm": 32}


class TestPermits:
    def make(self, fleet, clock):
        cold_hosts = ColdHosts(Bounds(), lambda now: [""], lambda now: 1)
        fleet.notices.cold.set_services([COLD])
        return Permits(
            fleet.notices,
            clock,
            lambda now: [""],
            None,
            lambda now: 1.0,
            lambda now: 1,
            cold_hosts,
        )

    async def test_a_stated_limit_holds_while_an_upstream_is_cold(self):
        clock, fleet = ManualClock(), Fleet()
        permits = self.make(fleet, clock)
        fleet.put(make_entry(cold_left_ms=600_000), clock.now())
        metadata = state(None, request_limit_per_s=1.0)
        fleet.notices.note_response(PROCESS, 200, metadata, clock.now())
        taken = 0
        for _ in range(200):
            clock.advance_ms(50)
            taken += await permits.acquire(PROCESS)
        assert 8 <= taken <= 10

    async def test_the_end_of_a_phase_ends_the_wait_for_a_permit(self):
        clock, fleet = ManualClock(), Fleet()
        permits = self.make(fleet, clock)
        fleet.put(make_entry(cold_left_ms=60_000), clock.now())
        assert not await permits.acquire(PROCESS)
        assert fleet.notices.measure_deferral_ms(PROCESS, clock.now()) > 0
        fleet.notices.note_response(PROCESS, 200, state(0), clock.now())
        assert fleet.notices.measure_deferral_ms(PROCESS, clock.now()) == 0
        assert await permits.acquire(PROCESS)

    async def test_a_wait_for_a_cold_upstream_ends_no_limit_at_other_hosts(self):
        # Guards against a report of a host that has seen no limit, which its peers
        # would take for the end of one.
        clock, fleet = ManualClock(), Fleet()
        permits = self.make(fleet, clock)
        fleet.put(make_entry(cold_left_ms=60_000), clock.now())
        await permits.acquire(PROCESS)
        assert fleet.notices.list_reports(clock.now()) == []
        other = UpstreamNotices()
        later = at(RETENTION_MS)
        other.note_response(PROCESS, 200, state(None, request_limit_per_s=3.0), later)
        report = fleet.notices.make_report(PROCESS, clock.now())
        other.update_from_peer([report], at(RETENTION_MS + 2_000))
        assert other.find_limit_per_s(PROCESS) == 3.0

    def test_refused_callers_are_told_when_to_return(self):
        clock, fleet = ManualClock(), Fleet()
        permits = self.make(fleet, clock)
        clock.advance_ms(60_000)
        fleet.put(make_entry(cold_left_ms=60_000), clock.now())
        returns_s = [permits.plan_return_s(POOL, [PROCESS], clock.now()) for _ in "123"]
        assert returns_s == pytest.approx(
            [0.0, 1 / COLD_PER_S, 2 / COLD_PER_S], abs=2e-3
        )
