"""Guards against orders that take effect twice or override a newer one."""

import heapq
import itertools
import random

import attrs
import pytest

from waxwingbarrow.capacity import (
    DrainHost,
    HostList,
    HostOffer,
    HostState,
    LeaseNotHeld,
    LoadVersion,
    OrderDone,
    OrderNotSent,
    OrderPolicy,
    OrderRefused,
    OrderStale,
    OrderState,
    OrderTracker,
    OrderUnsettled,
    ReturnHost,
    RunningHost,
    StartHost,
    TakeoverPending,
    TargetBusy,
)
from waxwingbarrow.core import Incarnation, Instant

POLICY = OrderPolicy(
    order_timeout_ms=5_000, initial_retry_ms=1_000, host_list_lag_ms=30_000
)
OFFER = HostOffer(
    machine_class="m1",
    zone="a",
    data_centre="north",
    reclaimable=True,
    price_per_hour=1.0,
)
START = StartHost(OFFER, "care", "v1")
FIRST, SECOND = Incarnation(1, 1), Incarnation(2, 1)
LOAD = LoadVersion("h1", FIRST, "care", "v2")
DRAIN = DrainHost("h1", FIRST)
H1 = RunningHost(
    host="h1",
    offer=OFFER,
    service="care",
    version="v1",
    state=HostState.SERVING,
    in_flight=0,
    incarnation=FIRST,
)
TAKEOVER_COMPLETE_MS = POLICY.order_timeout_ms + POLICY.host_list_lag_ms


def at(ms):
    return Instant(1_700_000_000_000 + ms, ms)


def make_host_list(ms, *hosts):
    return HostList(hosts=hosts, read_at=at(ms))


def make_tracker(takeover_complete=True):
    tracker = OrderTracker("north", POLICY)
    tracker.note_lease(7, 0, 1_000_000, at(0))
    if takeover_complete:
        tracker.note_host_list(
            make_host_list(TAKEOVER_COMPLETE_MS, H1), at(TAKEOVER_COMPLETE_MS)
        )
    return tracker


NOW_MS = TAKEOVER_COMPLETE_MS + 1


RESULT_CASES = [
    # (failure guarded against, results of successive attempts, state, attempts)
    ("a completed order is sent again", [OrderDone()], OrderState.DONE, 1),
    ("a lost response ends the retries", [OrderUnsettled()], OrderState.UNSETTLED, 1),
    ("a retried order is never settled", [OrderUnsettled(), OrderDone()], "done", 2),
    ("a refused order is sent again", [OrderRefused()], OrderState.REFUSED, 1),
    (
        "a refusal settles an order whose earlier attempt may still arrive",
        [OrderUnsettled(), OrderRefused()],
        OrderState.UNSETTLED,
        2,
    ),
    (
        "a refusal never settles the order",
        [OrderUnsettled(), OrderRefused(), OrderRefused(), OrderRefused()],
        OrderState.REFUSED,
        4,
    ),
    ("a failed connection counts as sent", [OrderNotSent()], OrderState.WAITING, 1),
    (
        "a failed connection discards the uncertainty of an earlier attempt",
        [OrderUnsettled(), OrderNotSent()],
        OrderState.UNSETTLED,
        2,
    ),
    ("a superseded holder sends orders", [OrderStale(9)], OrderState.OBSOLETE, 1),
    ("a renewal ends its own lease", [OrderStale(7)], OrderState.UNSETTLED, 1),
]


@pytest.mark.parametrize(
    ("failure", "results", "state", "attempts"),
    RESULT_CASES,
    ids=[case[0] for case in RESULT_CASES],
)
def test_result_of_an_attempt_sets_the_state(failure, results, state, attempts):
    tracker, now_ms = make_tracker(), NOW_MS
    entry = tracker.add(START, at(now_ms)).unwrap()
    ids = []
    for result in results:
        sent = ()
        while not sent:
            now_ms += 500
            sent = tracker.next_orders(at(now_ms))
        ids += [order.order_id for order in sent]
        entry = tracker.note_result(entry.order_id, result, at(now_ms))
    assert entry.state == state
    assert ids == [entry.order_id] * attempts
    assert tracker.holds_lease(at(now_ms)) is (results != [OrderStale(9)])


def test_attempt_without_response_is_unsettled_after_the_timeout():
    tracker = make_tracker()
    tracker.add(START, at(NOW_MS))
    assert len(tracker.next_orders(at(NOW_MS))) == 1
    assert not tracker.next_orders(at(NOW_MS + POLICY.order_timeout_ms))
    assert tracker.entries[0].state is OrderState.UNSETTLED
    assert not tracker.cancel(tracker.entries[0].order_id, at(NOW_MS))
    repeated = tracker.next_orders(at(NOW_MS + POLICY.order_timeout_ms + 1_000))
    assert [order.attempt for order in repeated] == [2]


ADD_CASES = [
    # (failure guarded against, order, time of the list in ms, present time in ms,
    # refused)
    (
        "a predecessor's start is repeated",
        START,
        TAKEOVER_COMPLETE_MS - 1,
        TAKEOVER_COMPLETE_MS,
        True,
    ),
    ("a start waits forever", START, TAKEOVER_COMPLETE_MS, TAKEOVER_COMPLETE_MS, False),
    ("a late order of the predecessor overrides a load", LOAD, 4_999, 9_000, True),
    ("a load waits forever", LOAD, 5_000, 9_000, False),
    ("a drain waits forever", DRAIN, 5_000, 9_000, False),
    ("a return is based on an old list", ReturnHost("h1"), 4_999, 9_000, True),
    (
        "an upstream that checks fencing is kept waiting",
        attrs.evolve(LOAD, checks_fencing=True),
        0,
        1,
        False,
    ),
]


@pytest.mark.parametrize(
    ("failure", "content", "read_ms", "now_ms", "refused"),
    ADD_CASES,
    ids=[case[0] for case in ADD_CASES],
)
def test_new_holder_waits_for_orders_of_its_predecessor(
    failure, content, read_ms, now_ms, refused
):
    tracker = make_tracker(takeover_complete=False)
    tracker.note_host_list(make_host_list(read_ms, H1), at(now_ms))
    result = tracker.add(content, at(now_ms))
    assert result.is_err() is refused
    if refused:
        assert result.unwrap_err() == TakeoverPending()


def test_orders_stop_at_the_lease_end_and_resume_after_renewal():
    # Guards against a paused holder that sends orders after its lease has ended.
    tracker = make_tracker()
    tracker.add(START, at(NOW_MS))
    assert not tracker.next_orders(at(1_000_000))
    assert tracker.add(START, at(1_000_000)).unwrap_err() == LeaseNotHeld()
    tracker.note_lease(8, 7, 2_000_000, at(1_000_000))
    (order,) = tracker.next_orders(at(1_000_000))
    assert (order.order_id, order.fencing) == ("north-7-1", 8)
    assert order.send_before_mono_ms == 2_000_000
    tracker.note_lease_lost()
    assert not tracker.next_orders(at(1_100_000))


def test_orders_decided_before_another_holder_are_obsolete():
    tracker = make_tracker()
    sent = tracker.add(START, at(NOW_MS)).unwrap()
    tracker.next_orders(at(NOW_MS))
    tracker.note_lease(12, 11, 9_000_000, at(2_000_000))
    assert tracker.note_result(
        sent.order_id, OrderUnsettled(), at(2_000_000)
    ).state == (OrderState.OBSOLETE)
    assert not tracker.next_orders(at(2_000_000))
    assert tracker.add(START, at(2_000_000)).unwrap_err() == TakeoverPending()


def test_one_order_to_a_host_at_a_time():
    # Guards against an older order that arrives after a newer one and overrides it.
    tracker = make_tracker()
    load = tracker.add(LOAD, at(NOW_MS)).unwrap()
    assert tracker.add(LOAD, at(NOW_MS)).unwrap() == load
    busy = tracker.add(DRAIN, at(NOW_MS)).unwrap_err()
    assert busy == TargetBusy("h1", load.order_id)
    assert load.order_id in busy.detail
    tracker.next_orders(at(NOW_MS))
    tracker.note_result(load.order_id, OrderUnsettled(), at(NOW_MS + 1))
    tracker.next_orders(at(NOW_MS + 1_001))
    tracker.note_result(load.order_id, OrderDone(), at(NOW_MS + 1_002))
    assert tracker.add(DRAIN, at(NOW_MS + 4_999)).is_err()  # the first may still arrive
    assert tracker.add(DRAIN, at(NOW_MS + 5_000)).is_ok()
    assert tracker.add(ReturnHost("h1"), at(NOW_MS + 5_001)).is_ok()
    assert [entry.state for entry in tracker.entries][1] is OrderState.OBSOLETE


RESTARTED = attrs.evolve(H1, incarnation=SECOND)
LIST_CASES = [
    # (failure guarded against, order, hosts in the new list, state)
    ("a restarted upstream is drained", DRAIN, [RESTARTED], OrderState.OBSOLETE),
    ("a restarted upstream loads", LOAD, [RESTARTED], OrderState.OBSOLETE),
    ("a host that is gone gets orders", DRAIN, [], OrderState.OBSOLETE),
    ("a completed return is sent again", ReturnHost("h1"), [], OrderState.DONE),
    ("an unsettled order is dropped", DRAIN, [H1], OrderState.UNSETTLED),
]


@pytest.mark.parametrize(
    ("failure", "content", "hosts", "state"), LIST_CASES, ids=[c[0] for c in LIST_CASES]
)
def test_host_list_settles_orders(failure, content, hosts, state):
    tracker = make_tracker()
    entry = tracker.add(content, at(NOW_MS)).unwrap()
    tracker.next_orders(at(NOW_MS))
    tracker.note_result(entry.order_id, OrderUnsettled(), at(NOW_MS + 1))
    # This list is not newer than the order and so does not settle it.
    tracker.note_host_list(make_host_list(NOW_MS), at(NOW_MS + 2))
    assert tracker.entries[0].is_open
    tracker.note_host_list(make_host_list(NOW_MS + 2, *hosts), at(NOW_MS + 3))
    assert tracker.entries[0].state is state


def test_order_effects_are_added_until_the_host_list_shows_them():
    # Guards against a plan that orders the same again because the host list lags.
    tracker = make_tracker()
    start = tracker.add(START, at(NOW_MS)).unwrap()
    drain = tracker.add(DRAIN, at(NOW_MS)).unwrap()
    tracker.next_orders(at(NOW_MS))
    merged_hosts = {
        h.host: h
        for h in tracker.apply_order_effects(
            make_host_list(NOW_MS, H1), at(NOW_MS)
        ).hosts
    }
    assert merged_hosts["h1"].state is HostState.LEAVING
    assert merged_hosts["h1"].in_flight is None
    assert [host.state for host in merged_hosts.values()].count(HostState.STARTING) == 1
    done_ms = NOW_MS + 10
    tracker.note_result(start.order_id, OrderDone("h2"), at(done_ms))
    tracker.note_result(drain.order_id, OrderDone(), at(done_ms))
    after = make_host_list(done_ms + 1, H1)
    merged_hosts = {
        h.host: h for h in tracker.apply_order_effects(after, at(done_ms + 2)).hosts
    }
    assert merged_hosts["h2"].state is HostState.STARTING
    assert merged_hosts["h1"].in_flight == 0  # counted after the drain took effect
    gone = tracker.apply_order_effects(after, at(done_ms + POLICY.host_list_lag_ms))
    assert [host.host for host in gone.hosts] == ["h1"]  # h2 never appeared
    tracker.next_orders(at(done_ms + POLICY.settled_retention_ms))
    assert not tracker.entries


DESIRED_INSTANCES = 3
BOOT_MS, LIST_LAG_MS, MAX_DELAY_MS = 20_000, 3_000, 4_900


class SimulatedCloud:
    """Simulated cloud without fencing, two engines and a network that loses responses.

    Engine e1 checks fencing numbers, engine e2 ignores them.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_ms, self.events, self.sequence = 0, [], itertools.count()
        self.instances, self.handled = {}, {}
        self.versions = {"e1": "v1", "e2": "v1"}
        self.runs = dict.fromkeys(self.versions, FIRST)
        self.highest_fencing, self.loaded_versions = {"e1": 0}, {"e1": [], "e2": []}

    def schedule(self, delay_ms, action):
        item = (self.now_ms + delay_ms, next(self.sequence), action)
        heapq.heappush(self.events, item)

    def run_until(self, end_ms):
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()
        self.now_ms = end_ms

    def send(self, order_id, fencing, content, answer):
        if self.rng.random() < 0.15:
            self.schedule(100, lambda: answer(OrderUnsettled()))
            return

        def arrive():
            result = self.apply(order_id, fencing, content)
            if self.rng.random() < 0.3:
                result = OrderUnsettled()
            self.schedule(50, lambda: answer(result))

        self.schedule(self.rng.choice([20, 20, 300, 2_000, MAX_DELAY_MS]), arrive)

    def apply(self, order_id, fencing, content):
        if isinstance(content, StartHost):
            if order_id not in self.handled:
                self.handled[order_id] = f"i{len(self.instances)}"
                self.instances[self.handled[order_id]] = self.now_ms
            return OrderDone(self.handled[order_id])
        host = content.host
        if host in self.highest_fencing:  # e1 checks fencing, e2 ignores it
            if fencing < self.highest_fencing[host]:
                return OrderStale(self.highest_fencing[host])
            self.highest_fencing[host] = fencing
        if (host, self.runs[host], order_id) not in self.handled:
            self.handled[host, self.runs[host], order_id] = True
            self.versions[host] = content.version
            self.loaded_versions[host].append(content.version)
        return OrderDone()

    def restart(self, host):
        """Restart an engine; the new process knows neither order ids nor versions."""
        self.runs[host] = attrs.evolve(SECOND, nonce=self.now_ms)
        self.versions[host] = "v1"
        self.loaded_versions[host].clear()

    def list_hosts(self):
        as_of_ms = self.now_ms - LIST_LAG_MS
        hosts = [
            attrs.evolve(H1, host=name)
            for name, started_ms in self.instances.items()
            if started_ms + BOOT_MS <= as_of_ms
        ]
        for name, version in self.versions.items():
            run = self.runs[name]
            hosts.append(
                attrs.evolve(
                    H1, host=name, version=version, incarnation=run, service="m"
                )
            )
        return make_host_list(as_of_ms, *hosts)


class LeaseHolder:
    """Lease holder that sends its orders through an `OrderTracker`."""

    def __init__(self, cloud, version):
        self.cloud, self.version = cloud, version
        self.tracker = OrderTracker("north", POLICY)

    def take_lease(self, fencing, until_ms):
        self.tracker.note_lease(fencing, 0, until_ms, at(self.cloud.now_ms))

    def step(self):
        now, hosts = at(self.cloud.now_ms), self.cloud.list_hosts()
        self.tracker.note_host_list(hosts, now)
        merged_hosts = self.tracker.apply_order_effects(hosts, now).hosts
        workers = [host for host in merged_hosts if host.service == "care"]
        for _ in range(DESIRED_INSTANCES - len(workers)):
            self.tracker.add(START, now)
        for host in merged_hosts:
            if host.service == "m" and host.version != self.version:
                checks = host.host == "e1"
                order = LoadVersion(
                    host.host, host.incarnation, "m", self.version, checks
                )
                self.tracker.add(order, now)
        for order in self.tracker.next_orders(now):
            self.cloud.send(
                order.order_id,
                order.fencing,
                order.content,
                self.make_result_callback(order.order_id),
            )

    def make_result_callback(self, order_id):
        return lambda result: self.tracker.note_result(
            order_id, result, at(self.cloud.now_ms)
        )


class NaiveLeaseHolder(LeaseHolder):
    """Lease holder that resends each order until it gets a response.

    It uses no order ids, no fencing numbers and no wait after a takeover.
    """

    def take_lease(self, fencing, until_ms):
        self.until_ms, self.unanswered = until_ms, []

    def step(self):
        if self.cloud.now_ms >= self.until_ms:
            return
        hosts = self.cloud.list_hosts().hosts
        workers = [host for host in hosts if host.service == "care"]
        open_starts = [c for c in self.unanswered if isinstance(c, StartHost)]
        missing = DESIRED_INSTANCES - len(workers) - len(open_starts)
        orders = [START] * missing
        orders += [
            LoadVersion(host.host, host.incarnation, "m", self.version)
            for host in hosts
            if host.service == "m" and host.version != self.version
        ]
        self.unanswered += [c for c in orders if c == START or c not in self.unanswered]
        for content in list(self.unanswered):
            order_id = f"n{next(self.cloud.sequence)}"
            self.cloud.send(
                order_id, 10**9, content, self.make_result_callback(content)
            )

    def make_result_callback(self, content):
        def answer(result):
            if isinstance(result, OrderDone) and content in self.unanswered:
                self.unanswered.remove(content)

        return answer


def run_takeover(holder_class, seed):
    """Simulate the takeover by a second holder that orders version v3.

    The first holder orders v2 shortly before its lease ends, so that these orders are
    still in flight at the takeover. Returns the number of started instances, whether
    an engine loaded v2 after v3, and whether all engines ended on v3.
    """
    cloud = SimulatedCloud(seed)
    old, new = holder_class(cloud, "v1"), holder_class(cloud, "v3")
    end_ms = cloud.rng.randrange(40_000, 90_000)
    # The lease rules add the order timeout because some upstreams ignore fencing.
    takeover_ms = end_ms + 2_000 + POLICY.order_timeout_ms
    if holder_class is NaiveLeaseHolder:
        takeover_ms = end_ms
    old.take_lease(5, end_ms)
    # Late enough for orders of v2 to be in flight at the takeover.
    v2_ordered_ms = end_ms - cloud.rng.randrange(500, 6_000)
    max_instances, reverted = 0, False
    restart_ms = cloud.rng.randrange(10_000, 120_000, 500)
    for now_ms in range(0, 180_000, 500):
        cloud.run_until(now_ms)
        if now_ms == restart_ms:
            cloud.restart("e2")
        if now_ms == takeover_ms // 500 * 500 + 500:
            new.take_lease(9, 10**9)
        if now_ms >= v2_ordered_ms:
            old.version = "v2"
        if now_ms < end_ms:
            old.step()
        elif now_ms > takeover_ms // 500 * 500:
            new.step()
        max_instances = max(max_instances, len(cloud.instances))
        for loaded_versions in cloud.loaded_versions.values():
            reverted |= (
                "v3" in loaded_versions
                and "v2" in loaded_versions[loaded_versions.index("v3") :]
            )
    all_on_v3 = set(cloud.versions.values()) == {"v3"}
    return max_instances, reverted, all_on_v3


@pytest.mark.parametrize("seed", range(40))
def test_takeover_starts_no_extra_host_and_reverts_no_version(seed):
    max_instances, reverted, all_on_v3 = run_takeover(LeaseHolder, seed)
    assert (max_instances, reverted, all_on_v3) == (DESIRED_INSTANCES, False, True)


def test_naive_retries_start_extra_hosts_and_revert_versions():
    runs = [run_takeover(NaiveLeaseHolder, seed) for seed in range(40)]
    assert sum(max_instances > DESIRED_INSTANCES for max_instances, _, _ in runs) > 30
    assert sum(reverted for _, reverted, _ in runs) >= 5
