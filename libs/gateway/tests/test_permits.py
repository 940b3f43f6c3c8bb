"""Guards against upstreams that get more requests than the limit that they named.

Load pattern: all hosts of a deployment have requests for the same upstreams all the
time, so each of them could use the whole limit, and an even share of it is under one
request in many seconds.
"""

import asyncio
import itertools
import random
from collections import deque

import attrs
import pytest
from peer_network import Network, make_holder, make_permits

from waxwingbarrow.core import Instant, ManualClock, ServiceName, UpstreamId
from waxwingbarrow.gateway.admission._permit_keeper import MIN_RATE_PER_S, PermitKeeper
from waxwingbarrow.gateway.base._model import ResponseMetadata
from waxwingbarrow.gateway.upstreams._fleet import Fleet
from waxwingbarrow.gateway.upstreams._notices import (
    REPORT_TOLERANCE_MS,
    RETENTION_MS,
    UpstreamNotices,
)

PROCESS = (UpstreamId("u1"), 5)
STEP_MS = 50
STEPS_PER_HEARTBEAT = 5
WINDOW_MS = 4_000
# A host that was told of a limit obeys it after this time.
REACTION_MS = 500


def at(ms):
    return Instant(0, ms)


def state(limit_per_s=None, **fields):
    return ResponseMetadata(
        request_id="r", not_run=False, request_limit_per_s=limit_per_s, **fields
    )


@attrs.define
class LimitedUpstream:
    """Upstream that names its limit in every response, and counts arrivals.

    Parameters
    ----------
    told_ms : dict
        When each host was first told of the limit.
    arrivals : list
        Time and host of each request.
    """

    limit_per_s: float | None
    told_ms: dict = attrs.Factory(dict)
    arrivals: list = attrs.Factory(list)

    def serve(self, host, now):
        self.arrivals.append((now.mono_ms, host.address))
        if self.limit_per_s is not None:
            self.told_ms.setdefault(host.address, now.mono_ms)
        host.fleet.notices.note_response(PROCESS, 200, state(self.limit_per_s), now)

    def count_most(self, since_ms=0):
        """Return the most requests in a window from hosts that had been told."""
        window, most = deque(), 0
        for at_ms, host in self.arrivals:
            told_ms = self.told_ms.get(host, at_ms)
            if at_ms < max(told_ms + REACTION_MS, since_ms):
                continue
            window.append(at_ms)
            while window[0] <= at_ms - WINDOW_MS:
                window.popleft()
            most = max(most, len(window))
        return most

    @property
    def allowed(self):
        return 1.5 * self.limit_per_s * WINDOW_MS / 1000 + 5


async def request_from(host, upstream, now):
    is_deferred = host.fleet.notices.measure_deferral_ms(PROCESS, now)
    if not is_deferred and await host.permits.acquire(PROCESS):
        upstream.serve(host, host.clock.now())


async def run(network, upstream, seconds, rng, rate_per_s):
    """Let random hosts have requests for the upstream at a rate."""
    for step in range(seconds * 1000 // STEP_MS):
        network.clock.advance_ms(STEP_MS)
        if step % STEPS_PER_HEARTBEAT == 0:
            network.send_heartbeats()
        now = network.clock.now()
        running = [
            host for host in network.hosts.values() if host.address not in network.down
        ]
        count = int(rate_per_s * STEP_MS / 1000 + rng.random())
        chosen = rng.choices(running, k=count)
        tasks = [
            asyncio.create_task(request_from(host, upstream, now)) for host in chosen
        ]
        # Each message is sent after a step of the event loop.
        for _ in itertools.repeat(None, 4):
            await asyncio.sleep(0)
            network.deliver(network.down)
        await asyncio.gather(*tasks)


def make_network(centres, per_centre):
    network = Network(centres, per_centre)
    network.run(12)
    if centres * per_centre >= 14:
        make_holder(network)
    network.run(6)
    return network


SIZES = [(1, 1), (2, 3), (1, 13), (3, 25), (6, 33)]


@pytest.mark.parametrize(("centres", "per_centre"), SIZES)
@pytest.mark.parametrize("limit_per_s", [0.5, 1.5, 12.0])
async def test_hosts_together_send_what_a_limit_allows(
    centres, per_centre, limit_per_s
):
    network = make_network(centres, per_centre)
    upstream = LimitedUpstream(limit_per_s)
    rng = random.Random(1)
    seconds = 20
    await run(network, upstream, seconds, rng, rate_per_s=60)
    assert upstream.count_most() <= upstream.allowed
    # The worker gets what it can take.
    learned_ms = min(upstream.told_ms.values()) + 3_000
    late = [at_ms for at_ms, _ in upstream.arrivals if at_ms >= learned_ms]
    assert len(late) >= 0.8 * limit_per_s * (seconds - 4) - 1


async def test_a_limit_holds_through_the_loss_of_the_keeper():
    # Guards against a new keeper that grants the whole limit once more.
    for centres, per_centre in [(2, 3), (3, 25)]:
        network = make_network(centres, per_centre)
        upstream = LimitedUpstream(2.0)
        rng = random.Random(2)
        await run(network, upstream, 6, rng, rate_per_s=30)
        now = network.clock.now()
        some_host = next(iter(network.hosts.values()))
        address = some_host.peers.list_permit_keepers(now)[0] or some_host.address
        (keeper,) = [n for n, host in network.hosts.items() if host.address == address]
        network.fail(keeper)
        before = len(upstream.arrivals)
        await run(network, upstream, 8, rng, rate_per_s=30)
        assert upstream.count_most() <= upstream.allowed
        assert len(upstream.arrivals) - before >= 0.5 * 2.0 * 8


async def test_a_keeper_and_its_deputy_together_keep_to_a_limit():
    # Guards against a keeper that answers only some hosts in time, for example one that
    # is slow, while its deputy grants the whole limit to the others.
    network = make_network(3, 25)
    upstream = LimitedUpstream(12.0)
    rng = random.Random(7)
    await run(network, upstream, 6, rng, rate_per_s=300)
    now = network.clock.now()
    some_host = network.hosts["h0-24"]
    address = some_host.peers.list_permit_keepers(now)[0] or some_host.address
    (keeper,) = [n for n, host in network.hosts.items() if host.address == address]
    relays = {n for n, host in network.hosts.items() if host.peers._is_relay}
    others = sorted(network.hosts.keys() - relays - {keeper})
    for number, name in enumerate(others):
        if number % 4:
            network.cut(name, keeper)
    await run(network, upstream, 12, rng, rate_per_s=300)
    assert upstream.count_most() <= upstream.allowed


async def test_a_keeper_and_the_shares_of_the_others_together_keep_to_a_limit():
    # The same in a full mesh, where no deputy stands in.
    network = make_network(2, 3)
    upstream = LimitedUpstream(12.0)
    rng = random.Random(8)
    await run(network, upstream, 6, rng, rate_per_s=150)
    (keeper,) = [
        host
        for host in network.hosts.values()
        if host.peers.is_permit_keeper(network.clock.now())
    ]
    keeper.peers.send_message = lambda message, address: None
    await run(network, upstream, 12, rng, rate_per_s=300)
    assert upstream.count_most() <= upstream.allowed


async def test_hosts_ask_the_keeper_again_soon_after_it_was_away():
    # Guards against an upstream that gets nothing for minutes: an even share of its
    # limit is one request in 75 s here.
    for centres, per_centre in [(2, 3), (3, 25)]:
        network = make_network(centres, per_centre)
        upstream = LimitedUpstream(1.0)
        rng = random.Random(6)
        rate_per_s = 2 * len(network.hosts)
        await run(network, upstream, 5, rng, rate_per_s)
        relays = [
            name
            for name, host in network.hosts.items()
            if host.peers.is_permit_keeper(network.clock.now())
        ]
        network.fail(*relays)
        await run(network, upstream, 2, rng, rate_per_s)
        network.down.clear()
        await run(network, upstream, 3, rng, rate_per_s)
        before = len(upstream.arrivals)
        await run(network, upstream, 10, rng, rate_per_s)
        assert len(upstream.arrivals) - before >= 0.8 * 10 - 1
        assert upstream.count_most() <= upstream.allowed


async def test_both_parts_of_a_partition_together_keep_to_a_limit():
    # Guards against two keepers that each grant the whole limit.
    network = make_network(2, 3)
    upstream = LimitedUpstream(3.0)
    rng = random.Random(3)
    await run(network, upstream, 5, rng, rate_per_s=40)
    for first, second in itertools.product(range(3), repeat=2):
        network.cut(f"h0-{first}", f"h1-{second}")
    await run(network, upstream, 15, rng, rate_per_s=40)
    assert upstream.count_most() <= upstream.allowed


async def test_the_end_of_a_limit_reaches_all_hosts():
    # Guards against upstreams that are used too little for the rest of the day.
    for centres, per_centre in [(2, 3), (3, 25)]:
        network = make_network(centres, per_centre)
        upstream = LimitedUpstream(2.0)
        rng = random.Random(4)
        await run(network, upstream, 6, rng, rate_per_s=30)
        upstream.limit_per_s = None
        await run(network, upstream, 4, rng, rate_per_s=30)
        before = len(upstream.arrivals)
        await run(network, upstream, 4, rng, rate_per_s=30)
        assert len(upstream.arrivals) - before >= 0.9 * 30 * 4


async def test_a_host_that_starts_later_learns_of_a_limit_from_the_others():
    network = make_network(2, 3)
    upstream = LimitedUpstream(1.0)
    await run(network, upstream, 3, random.Random(5), rate_per_s=20)
    network.add("late", "dc0", "10.0.0.99")
    network.register_all()
    network.run(4)
    notices = network.hosts["late"].fleet.notices
    assert notices.find_limit_per_s(PROCESS) == 1.0


async def test_all_hosts_learn_that_an_upstream_leaves():
    # Guards against DRAIN: a host that has not heard of it yet sends more requests.
    for centres, per_centre in [(2, 3), (6, 33)]:
        network = make_network(centres, per_centre)
        first = next(iter(network.hosts.values()))
        now = network.clock.now()
        first.fleet.notices.note_response(PROCESS, 200, state(leaving=True), now)
        network.run(8)
        assert all(
            host.fleet.notices.is_leaving(PROCESS) for host in network.hosts.values()
        )


class TestNotices:
    def test_a_limit_of_an_earlier_start_does_not_hold(self):
        notices = UpstreamNotices()
        notices.note_response(PROCESS, 200, state(1.0), at(0))
        assert notices.find_limit_per_s((PROCESS[0], PROCESS[1] + 1)) is None

    def test_a_response_of_another_upstream_at_the_address_does_not_count(self):
        notices = UpstreamNotices()
        notices.note_response(PROCESS, 421, state(1.0, leaving=True), at(0))
        assert notices.find_limit_per_s(PROCESS) is None
        assert not notices.is_leaving(PROCESS)

    def test_the_newer_statement_of_two_hosts_holds(self):
        first, second = UpstreamNotices(), UpstreamNotices()
        first.note_response(PROCESS, 200, state(1.0), at(0))
        second.update_from_peer(first.list_reports(at(10)), at(10))
        later = at(REPORT_TOLERANCE_MS + 100)
        first.note_response(PROCESS, 200, state(), later)
        second.update_from_peer(first.list_reports(later), later)
        assert second.find_limit_per_s(PROCESS) is None
        # The first host hears its own old statement again.
        first.update_from_peer(
            [(PROCESS[0], PROCESS[1], 1.0, False, 600)], at(later.mono_ms + 50)
        )
        assert first.find_limit_per_s(PROCESS) is None

    def test_hosts_do_not_keep_an_end_alive_among_themselves(self):
        first, second = UpstreamNotices(), UpstreamNotices()
        first.note_response(PROCESS, 200, state(1.0), at(0))
        first.note_response(PROCESS, 200, state(), at(1_000))
        for ms in range(1_000, 30_000, 250):
            second.update_from_peer(first.list_reports(at(ms)), at(ms + 20))
            first.update_from_peer(second.list_reports(at(ms)), at(ms + 20))
        assert first.list_reports(at(30_000)) == []

    def test_notices_of_upstreams_that_are_gone_are_forgotten(self):
        notices = UpstreamNotices()
        for number in range(50):
            process = (UpstreamId(f"u{number}"), 5)
            notices.note_response(process, 200, state(1.0), at(number))
        later = at(2 * RETENTION_MS)
        notices.note_response(PROCESS, 200, state(1.0), later)
        assert len(notices.list_reports(later)) == 1


class TestPermits:
    async def test_a_new_limit_ends_the_wait_for_a_permit_at_once(self):
        # Guards against an upstream that has recovered and gets nothing for 10 s.
        clock, fleet = ManualClock(), Fleet()
        permits = make_permits(fleet, clock)
        for limit_per_s in (None, 12.0):
            fleet.notices.note_response(PROCESS, 200, state(0.1), clock.now())
            assert not await permits.acquire(PROCESS)
            assert fleet.notices.measure_deferral_ms(PROCESS, clock.now()) > 1_000
            fleet.notices.note_response(PROCESS, 200, state(limit_per_s), clock.now())
            assert fleet.notices.measure_deferral_ms(PROCESS, clock.now()) == 0

    async def test_the_end_of_a_limit_leaves_the_time_that_an_upstream_named(self):
        clock, fleet = ManualClock(), Fleet()
        permits = make_permits(fleet, clock)
        refusal = state(0.1, retry_after_s=5.0)
        fleet.notices.note_response(PROCESS, 503, refusal, clock.now())
        await permits.acquire(PROCESS)
        fleet.notices.note_response(PROCESS, 200, state(), clock.now())
        assert fleet.notices.measure_deferral_ms(PROCESS, clock.now()) == 5_000

    def test_refused_callers_return_within_a_bounded_time(self):
        # Guards against callers that are told to stay away for hours, because of many
        # that were refused before them.
        clock, fleet = ManualClock(), Fleet()
        permits = make_permits(fleet, clock)
        clock.advance_ms(60_000)
        now = clock.now()
        fleet.notices.note_response(PROCESS, 200, state(2.0), now)
        returns_s = [
            permits.plan_return_s(ServiceName("pool"), [PROCESS], now)
            for _ in range(1_000)
        ]
        assert returns_s[:3] == pytest.approx([0.0, 0.5, 1.0])
        assert max(returns_s) <= 30


class TestKeeper:
    def test_an_upstream_that_names_0_is_still_asked_now_and_then(self):
        # Guards against a limit that nothing could end.
        notices = UpstreamNotices()
        notices.note_response(PROCESS, 200, state(0.0), at(0))
        keeper = PermitKeeper(notices, lambda now: 1.0)
        assert keeper.take(PROCESS, at(0)).is_err()
        assert keeper.take(PROCESS, at(round(1000 / MIN_RATE_PER_S))).is_ok()

    def test_a_change_of_the_limit_keeps_the_count(self):
        notices = UpstreamNotices()
        keeper = PermitKeeper(notices, lambda now: 1.0)
        for number in range(100):
            now = at(10 * number)
            notices.note_response(PROCESS, 200, state(2.0 + number % 2), now)
            keeper.take(PROCESS, now)
        taken = [keeper.take(PROCESS, at(1_000)).is_ok() for _ in range(5)]
        assert sum(taken) <= 1
