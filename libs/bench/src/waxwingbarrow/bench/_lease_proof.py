"""Attempts to make two hosts act under the same lease at the same time."""

import random
from collections import Counter

from waxwingbarrow.bench._results import PromiseResult
from waxwingbarrow.core import HostId, Incarnation, Instant
from waxwingbarrow.state import (
    LeaseBody,
    LeaseDecision,
    LeaseObservations,
    LeasePolicy,
    LogEntry,
    OwnLease,
    TakeLease,
    WaitForLease,
    Writer,
    apply,
    confirm_lease,
    decide_lease,
    make_control_record,
    make_initial_state,
)

LEASE = "duty"
POLICY = LeasePolicy(duration_ms=1000, max_clock_skew_ms=200, order_timeout_ms=500)
STEPS = 300
MAX_RATE_ERROR = 0.05  # clocks run up to 5% fast or slow
PAUSE_MS = 5_000  # longer than every wait of the policy


class _Holder:
    """A host whose reads, appends and orders are delayed at random.

    Parameters
    ----------
    checks_fencing : bool
        Whether the upstream refuses orders with an old fencing token.
    """

    def __init__(self, name: str, rng: random.Random, checks_fencing: bool) -> None:
        self.writer = Writer(HostId(name), Incarnation(1, 1))
        self.state = make_initial_state(0)
        self.observations = LeaseObservations()
        self.own: OwnLease | None = None
        self.asked: dict[int, Instant] = {}
        self.paused_until_ms = 0
        # An order that was checked against the lease and is on its way.
        self.order: tuple[int, int] | None = None
        self._checks_fencing = checks_fencing
        self._rate = 1 + rng.uniform(-MAX_RATE_ERROR, MAX_RATE_ERROR)

    def now(self, true_ms: int) -> Instant:
        return Instant(0, int(true_ms * self._rate))

    def read(self, log: list[LogEntry], true_ms: int) -> None:
        for entry in log[self.state.next_offset :]:
            self.state, _ = apply(self.state, entry, lambda _: True)
        self.observations = self.observations.observe(
            self.state.leases, self.now(true_ms)
        )
        lease = self.state.leases.get(LEASE)
        if lease is not None and lease.fencing in self.asked:
            self.own = confirm_lease(lease, self.asked[lease.fencing])

    def decide(self, true_ms: int) -> LeaseDecision:
        return decide_lease(
            LEASE,
            self.state.leases,
            self.observations,
            self.own,
            self.writer,
            self._checks_fencing,
            POLICY,
            self.now(true_ms),
        )

    def holds(self, true_ms: int) -> bool:
        return self.own is not None and self.own.is_valid(self.now(true_ms))


class _Upstream:
    """Executes orders; counts those of an older lease after those of a newer one."""

    def __init__(self, checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.newest = 0
        self.outdated = 0

    def execute(self, fencing: int) -> None:
        if fencing < self.newest and not self.checks_fencing:
            self.outdated += 1
        self.newest = max(self.newest, fencing)


def run_leases(schedules: int, seed: int) -> PromiseResult:
    """Run schedules with pauses, delayed appends and orders, and drifting clocks.

    The naive design takes a lease as soon as its holder's time has passed as read in
    the record, without waiting for the skew and for orders in flight. A violation is a
    schedule in which an order given under an older lease is executed after one under a
    newer lease, or in which two hosts hold the lease at the same time.
    """
    events: Counter[str] = Counter()
    ours = naive = 0
    for number in range(schedules):
        checks_fencing = number % 2 == 0
        ours += _simulate(seed + number, checks_fencing, False, events)
        naive += _simulate(seed + number, checks_fencing, True, Counter())
    return PromiseResult(
        cases=schedules, violations=ours, naive_violations=naive, events=events
    )


def _simulate(
    seed: int, checks_fencing: bool, naive: bool, events: Counter[str]
) -> bool:
    rng = random.Random(seed)
    hosts = [_Holder(name, rng, checks_fencing) for name in "abc"]
    upstream = _Upstream(checks_fencing)
    opening = LeaseBody("other", hosts[0].writer.host_id, 1, 0)
    now = Instant(0, 0)
    log = [LogEntry(0, make_control_record("r0", opening, hosts[0].writer, now))]
    pending: list[tuple[_Holder, LeaseBody, Instant]] = []
    overlapped, true_ms = False, 0
    for _ in range(STEPS):
        true_ms += rng.choice([1, 20, 100, 400])
        for host in hosts:
            _deliver_order(host, upstream, true_ms, events)
        if pending and rng.random() < 0.5:
            _append(log, pending.pop(rng.randrange(len(pending))))
        host = rng.choice(hosts)
        if host.paused_until_ms > true_ms:
            continue
        if rng.random() < 0.02:
            events["pauses"] += 1
            host.paused_until_ms = true_ms + PAUSE_MS
            continue
        host.read(log, true_ms)
        decision = host.decide(true_ms)
        if naive and isinstance(decision, WaitForLease):
            decision = TakeLease(host.state.leases[LEASE].fencing)
        if isinstance(decision, TakeLease) and rng.random() < 0.5:
            body = LeaseBody(LEASE, host.writer.host_id, 1000, decision.base_fencing)
            pending.append((host, body, host.now(true_ms)))
        _give_order(host, true_ms, rng)
        holders = [one for one in hosts if one.holds(true_ms)]
        events["held"] += bool(holders)
        overlapped |= len(holders) > 1
    return overlapped or upstream.outdated > 0


def _append(log: list[LogEntry], wanted: tuple[_Holder, LeaseBody, Instant]) -> None:
    host, body, asked_at = wanted
    offset = len(log)
    record = make_control_record(f"r{offset}", body, host.writer, Instant(0, 0))
    host.asked[offset] = asked_at
    log.append(LogEntry(offset, record))


def _give_order(host: _Holder, true_ms: int, rng: random.Random) -> None:
    """Send an order under a valid lease; it arrives within the order time-out."""
    if host.order is None and host.own is not None and host.holds(true_ms):
        delay_ms = rng.randrange(POLICY.order_timeout_ms)
        host.order = (host.own.fencing, true_ms + delay_ms)


def _deliver_order(
    host: _Holder, upstream: _Upstream, true_ms: int, events: Counter[str]
) -> None:
    if host.order is not None and host.order[1] <= true_ms:
        events["orders"] += 1
        upstream.execute(host.order[0])
        host.order = None
