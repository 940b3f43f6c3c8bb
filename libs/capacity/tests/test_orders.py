"""Guards against orders that take effect twice or contradict a newer one."""

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
READY_MS = POLICY.order_timeout_ms + POLICY.host_list_lag_ms


def at(ms):
    return Instant(1_700_000_000_000 + ms, ms)


def listed(ms, *hosts):
    return HostList(hosts=hosts, read_at=at(ms))


def make_book(ready=True):
    book = OrderTracker("north", POLICY)
    book.note_lease(7, 0, 1_000_000, at(0))
    if ready:
        book.note_host_list(listed(READY_MS, H1), at(READY_MS))
    return book


NOW_MS = READY_MS + 1


RESULT_CASES = [
    # (failure guarded against, results of successive attempts, state, attempts)
    ("an effect is repeated", [OrderDone()], OrderState.DONE, 1),
    ("a lost answer is given up", [OrderUnsettled()], OrderState.UNSETTLED, 1),
    ("a lost answer is never settled", [OrderUnsettled(), OrderDone()], "done", 2),
    ("a refusal is repeated", [OrderRefused()], OrderState.REFUSED, 1),
    (
        "a refusal hides an earlier attempt that still arrives",
        [OrderUnsettled(), OrderRefused()],
        OrderState.UNSETTLED,
        2,
    ),
    (
        "a refusal is doubted forever",
        [OrderUnsettled(), OrderRefused(), OrderRefused(), OrderRefused()],
        OrderState.REFUSED,
        4,
    ),
    ("a failed connection counts as sent", [OrderNotSent()], OrderState.WAITING, 1),
    (
        "a failed connection hides an earlier attempt",
        [OrderUnsettled(), OrderNotSent()],
        OrderState.UNSETTLED,
        2,
    ),
    ("an old holder goes on", [OrderStale(9)], OrderState.OBSOLETE, 1),
    ("a renewed lease stops itself", [OrderStale(7)], OrderState.UNSETTLED, 1),
]


@pytest.mark.parametrize(
    ("guards", "results", "state", "attempts"),
    RESULT_CASES,
    ids=[case[0] for case in RESULT_CASES],
)
def test_results(guards, results, state, attempts):
    book, now_ms = make_book(), NOW_MS
    entry = book.add(START, at(now_ms)).unwrap()
    ids = []
    for result in results:
        sent = ()
        while not sent:
            now_ms += 500
            sent = book.next_orders(at(now_ms))
        ids += [order.order_id for order in sent]
        entry = book.note_result(entry.order_id, result, at(now_ms))
    assert entry.state == state
    assert ids == [entry.order_id] * attempts
    assert book.holds_lease(at(now_ms)) is (results != [OrderStale(9)])


def test_missing_answer_counts_as_unsettled_after_the_timeout():
    book = make_book()
    book.add(START, at(NOW_MS))
    assert len(book.next_orders(at(NOW_MS))) == 1
    assert not book.next_orders(at(NOW_MS + POLICY.order_timeout_ms))
    assert book.entries[0].state is OrderState.UNSETTLED
    assert not book.cancel(book.entries[0].order_id, at(NOW_MS))
    repeated = book.next_orders(at(NOW_MS + POLICY.order_timeout_ms + 1_000))
    assert [order.attempt for order in repeated] == [2]


ADD_CASES = [
    # (failure guarded against, order, list read at, present time, failure)
    ("a predecessor's start is repeated", START, READY_MS - 1, READY_MS, True),
    ("a start waits forever", START, READY_MS, READY_MS, False),
    ("an upstream that ignores fencing is contradicted", LOAD, 4_999, 9_000, True),
    ("a load waits forever", LOAD, 5_000, 9_000, False),
    ("a drain waits forever", DRAIN, 5_000, 9_000, False),
    ("a return by an old list", ReturnHost("h1"), 4_999, 9_000, True),
    (
        "an upstream that checks fencing is kept waiting",
        attrs.evolve(LOAD, checks_fencing=True),
        0,
        1,
        False,
    ),
]


@pytest.mark.parametrize(
    ("guards", "content", "read_ms", "now_ms", "refused"),
    ADD_CASES,
    ids=[case[0] for case in ADD_CASES],
)
def test_new_holder(guards, content, read_ms, now_ms, refused):
    book = make_book(ready=False)
    book.note_host_list(listed(read_ms, H1), at(now_ms))
    result = book.add(content, at(now_ms))
    assert result.is_err() is refused
    if refused:
        assert result.unwrap_err() == TakeoverPending()


def test_orders_end_with_the_lease_and_go_on_with_its_renewal():
    # Guards against a paused holder that sends under a lease that has ended.
    book = make_book()
    book.add(START, at(NOW_MS))
    assert not book.next_orders(at(1_000_000))
    assert book.add(START, at(1_000_000)).unwrap_err() == LeaseNotHeld()
    book.note_lease(8, 7, 2_000_000, at(1_000_000))
    (order,) = book.next_orders(at(1_000_000))
    assert (order.order_id, order.fencing) == ("north-7-1", 8)
    assert order.send_before_mono_ms == 2_000_000
    book.note_lease_lost()
    assert not book.next_orders(at(1_100_000))


def test_orders_decided_before_another_holder_are_obsolete():
    book = make_book()
    sent = book.add(START, at(NOW_MS)).unwrap()
    book.next_orders(at(NOW_MS))
    book.note_lease(12, 11, 9_000_000, at(2_000_000))
    assert book.note_result(sent.order_id, OrderUnsettled(), at(2_000_000)).state == (
        OrderState.OBSOLETE
    )
    assert not book.next_orders(at(2_000_000))
    assert book.add(START, at(2_000_000)).unwrap_err() == TakeoverPending()


def test_one_order_to_a_host_at_a_time():
    # Guards against an older order that arrives after a newer one.
    book = make_book()
    load = book.add(LOAD, at(NOW_MS)).unwrap()
    assert book.add(LOAD, at(NOW_MS)).unwrap() == load
    busy = book.add(DRAIN, at(NOW_MS)).unwrap_err()
    assert busy == TargetBusy("h1", load.order_id)
    assert load.order_id in busy.detail
    book.next_orders(at(NOW_MS))
    book.note_result(load.order_id, OrderUnsettled(), at(NOW_MS + 1))
    book.next_orders(at(NOW_MS + 1_001))
    book.note_result(load.order_id, OrderDone(), at(NOW_MS + 1_002))
    assert book.add(DRAIN, at(NOW_MS + 4_999)).is_err()  # the first may still arrive
    assert book.add(DRAIN, at(NOW_MS + 5_000)).is_ok()
    assert book.add(ReturnHost("h1"), at(NOW_MS + 5_001)).is_ok()
    assert [entry.state for entry in book.entries][1] is OrderState.OBSOLETE


REPLACED = attrs.evolve(H1, incarnation=SECOND)
LIST_CASES = [
    # (failure guarded against, order, hosts in the new list, state)
    ("a restarted upstream is drained", DRAIN, [REPLACED], OrderState.OBSOLETE),
    ("a restarted upstream loads", LOAD, [REPLACED], OrderState.OBSOLETE),
    ("a host that is gone gets orders", DRAIN, [], OrderState.OBSOLETE),
    ("a return is repeated", ReturnHost("h1"), [], OrderState.DONE),
    ("an order is forgotten", DRAIN, [H1], OrderState.UNSETTLED),
]


@pytest.mark.parametrize(
    ("guards", "content", "hosts", "state"), LIST_CASES, ids=[c[0] for c in LIST_CASES]
)
def test_host_list_settles_orders(guards, content, hosts, state):
    book = make_book()
    entry = book.add(content, at(NOW_MS)).unwrap()
    book.next_orders(at(NOW_MS))
    book.note_result(entry.order_id, OrderUnsettled(), at(NOW_MS + 1))
    book.note_host_list(listed(NOW_MS), at(NOW_MS + 2))  # as old as the order
    assert book.entries[0].is_open
    book.note_host_list(listed(NOW_MS + 2, *hosts), at(NOW_MS + 3))
    assert book.entries[0].state is state


def test_overlay_shows_what_the_list_does_not_show_yet():
    # Guards against a plan that repeats an order because the list lags.
    book = make_book()
    start = book.add(START, at(NOW_MS)).unwrap()
    drain = book.add(DRAIN, at(NOW_MS)).unwrap()
    book.next_orders(at(NOW_MS))
    shown = {
        h.host: h
        for h in book.apply_order_effects(listed(NOW_MS, H1), at(NOW_MS)).hosts
    }
    assert shown["h1"].state is HostState.LEAVING
    assert shown["h1"].in_flight is None
    assert [host.state for host in shown.values()].count(HostState.STARTING) == 1
    done_ms = NOW_MS + 10
    book.note_result(start.order_id, OrderDone("h2"), at(done_ms))
    book.note_result(drain.order_id, OrderDone(), at(done_ms))
    after = listed(done_ms + 1, H1)
    shown = {h.host: h for h in book.apply_order_effects(after, at(done_ms + 2)).hosts}
    assert shown["h2"].state is HostState.STARTING
    assert shown["h1"].in_flight == 0  # counted after the drain took effect
    gone = book.apply_order_effects(after, at(done_ms + POLICY.host_list_lag_ms))
    assert [host.host for host in gone.hosts] == ["h1"]  # h2 never appeared
    book.next_orders(at(done_ms + POLICY.settled_retention_ms))
    assert not book.entries


WANTED = 3
BOOT_MS, LIST_MS, DELAY_MS = 20_000, 3_000, 4_900


class World:
    """A cloud that ignores fencing, two engines, and a network that loses answers."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_ms, self.events, self.number = 0, [], itertools.count()
        self.instances, self.seen = {}, {}
        self.versions = {"e1": "v1", "e2": "v1"}
        self.runs = dict.fromkeys(self.versions, FIRST)
        self.highest, self.history = {"e1": 0}, {"e1": [], "e2": []}

    def schedule(self, delay_ms, action):
        item = (self.now_ms + delay_ms, next(self.number), action)
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

        self.schedule(self.rng.choice([20, 20, 300, 2_000, DELAY_MS]), arrive)

    def apply(self, order_id, fencing, content):
        if isinstance(content, StartHost):
            if order_id not in self.seen:
                self.seen[order_id] = f"i{len(self.instances)}"
                self.instances[self.seen[order_id]] = self.now_ms
            return OrderDone(self.seen[order_id])
        host = content.host
        if host in self.highest:  # e1 checks fencing, e2 ignores it
            if fencing < self.highest[host]:
                return OrderStale(self.highest[host])
            self.highest[host] = fencing
        if (host, self.runs[host], order_id) not in self.seen:
            self.seen[host, self.runs[host], order_id] = True
            self.versions[host] = content.version
            self.history[host].append(content.version)
        return OrderDone()

    def restart(self, host):
        """Replace an engine's process; it forgets order ids and its version."""
        self.runs[host] = attrs.evolve(SECOND, nonce=self.now_ms)
        self.versions[host] = "v1"
        self.history[host].clear()

    def list_hosts(self):
        as_of_ms = self.now_ms - LIST_MS
        hosts = [
            attrs.evolve(H1, host=name)
            for name, made_ms in self.instances.items()
            if made_ms + BOOT_MS <= as_of_ms
        ]
        for name, version in self.versions.items():
            run = self.runs[name]
            hosts.append(
                attrs.evolve(
                    H1, host=name, version=version, incarnation=run, service="m"
                )
            )
        return listed(as_of_ms, *hosts)


class Holder:
    """Gives orders by the order book."""

    def __init__(self, world, version):
        self.world, self.version = world, version
        self.book = OrderTracker("north", POLICY)

    def take_lease(self, fencing, until_ms):
        self.book.note_lease(fencing, 0, until_ms, at(self.world.now_ms))

    def step(self):
        now, hosts = at(self.world.now_ms), self.world.list_hosts()
        self.book.note_host_list(hosts, now)
        shown = self.book.apply_order_effects(hosts, now).hosts
        workers = [host for host in shown if host.service == "care"]
        for _ in range(WANTED - len(workers)):
            self.book.add(START, now)
        for host in shown:
            if host.service == "m" and host.version != self.version:
                checks = host.host == "e1"
                order = LoadVersion(
                    host.host, host.incarnation, "m", self.version, checks
                )
                self.book.add(order, now)
        for order in self.book.next_orders(now):
            self.world.send(
                order.order_id, order.fencing, order.content, self.note(order.order_id)
            )

    def note(self, order_id):
        return lambda result: self.book.note_result(
            order_id, result, at(self.world.now_ms)
        )


class NaiveHolder(Holder):
    """Repeats each order until it is answered: no ids, fencing or wait."""

    def take_lease(self, fencing, until_ms):
        self.until_ms, self.unanswered = until_ms, []

    def step(self):
        if self.world.now_ms >= self.until_ms:
            return
        hosts = self.world.list_hosts().hosts
        workers = [host for host in hosts if host.service == "care"]
        open_starts = [c for c in self.unanswered if isinstance(c, StartHost)]
        missing = WANTED - len(workers) - len(open_starts)
        orders = [START] * missing
        orders += [
            LoadVersion(host.host, host.incarnation, "m", self.version)
            for host in hosts
            if host.service == "m" and host.version != self.version
        ]
        self.unanswered += [c for c in orders if c == START or c not in self.unanswered]
        for content in list(self.unanswered):
            order_id = f"n{next(self.world.number)}"
            self.world.send(order_id, 10**9, content, self.note(content))

    def note(self, content):
        def answer(result):
            if isinstance(result, OrderDone) and content in self.unanswered:
                self.unanswered.remove(content)

        return answer


def run_takeover(kind, seed):
    """Run a holder that loses its lease, and one that takes over and wants v3."""
    world = World(seed)
    old, new = kind(world, "v1"), kind(world, "v3")
    end_ms = world.rng.randrange(40_000, 90_000)
    # The lease rules add the timeout because some upstreams ignore fencing.
    begin_ms = end_ms + 2_000 + POLICY.order_timeout_ms
    if kind is NaiveHolder:
        begin_ms = end_ms
    old.take_lease(5, end_ms)
    wish_ms = end_ms - world.rng.randrange(500, 6_000)  # in flight at the takeover
    most, reverted = 0, False
    restart_ms = world.rng.randrange(10_000, 120_000, 500)
    for now_ms in range(0, 180_000, 500):
        world.run_until(now_ms)
        if now_ms == restart_ms:
            world.restart("e2")
        if now_ms == begin_ms // 500 * 500 + 500:
            new.take_lease(9, 10**9)
        if now_ms >= wish_ms:
            old.version = "v2"
        if now_ms < end_ms:
            old.step()
        elif now_ms > begin_ms // 500 * 500:
            new.step()
        most = max(most, len(world.instances))
        for history in world.history.values():
            reverted |= "v3" in history and "v2" in history[history.index("v3") :]
    settled = set(world.versions.values()) == {"v3"}
    return most, reverted, settled


@pytest.mark.parametrize("seed", range(40))
def test_takeover_neither_repeats_nor_contradicts(seed):
    most, reverted, settled = run_takeover(Holder, seed)
    assert (most, reverted, settled) == (WANTED, False, True)


def test_naive_repetition_starts_too_many_and_reverts_versions():
    runs = [run_takeover(NaiveHolder, seed) for seed in range(40)]
    assert sum(most > WANTED for most, _, _ in runs) > 30
    assert sum(reverted for _, reverted, _ in runs) >= 5
