"""Search for two hosts that act under the same lease at once, by simulation."""

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

LEASE_NAME = "duty"
POLICY = LeasePolicy(duration_ms=1000, max_clock_skew_ms=200, order_timeout_ms=500)
STEPS_PER_SCHEDULE = 300
MAX_RATE_ERROR = 0.05  # clocks run up to 5% fast or slow
PAUSE_MS = 5_000  # longer than every waiting time of the policy


class _SimulatedHost:
    """A host whose reads, appends and orders are delayed at random.

    Its clock runs fast or slow.

    Parameters
    ----------
    checks_fencing : bool
        Whether the upstream refuses orders with an outdated fencing token.
    """

    def __init__(self, name: str, rng: random.Random, checks_fencing: bool) -> None:
        self.writer = Writer(HostId(name), Incarnation(1, 1))
        self.state = make_initial_state(0)
        self.observations = LeaseObservations()
        self.own: OwnLease | None = None
        self.request_times: dict[int, Instant] = {}
        self.paused_until_ms = 0
        # Fencing token and arrival time in ms of an order that was sent under a valid
        # lease.
        self.order_in_flight: tuple[int, int] | None = None
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
        lease = self.state.leases.get(LEASE_NAME)
        if lease is not None and lease.fencing in self.request_times:
            self.own = confirm_lease(lease, self.request_times[lease.fencing])

    def decide(self, true_ms: int) -> LeaseDecision:
        return decide_lease(
            LEASE_NAME,
            self.state.leases,
            self.observations,
            self.own,
            self.writer,
            self._checks_fencing,
            POLICY,
            self.now(true_ms),
        )

    def holds_lease(self, true_ms: int) -> bool:
        return self.own is not None and self.own.is_valid(self.now(true_ms))


class _Upstream:
    """Executes orders; counts those of an older lease that follow a newer one's."""

    def __init__(self, checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.newest_fencing = 0
        self.outdated_count = 0

    def execute(self, fencing: int) -> None:
        if fencing < self.newest_fencing and not self.checks_fencing:
            self.outdated_count += 1
        self.newest_fencing = max(self.newest_fencing, fencing)


def run_leases(schedules: int, seed: int) -> PromiseResult:
    """Simulate schedules with pauses, delayed appends and orders, and drifting clocks.

    The naive design requests the lease whenever `decide_lease` says to wait, so it
    waits neither for clock skew nor for orders in flight. A violation is a schedule in
    which an order of an older lease is executed after one of a newer lease, or in which
    two hosts hold the lease at the same time.
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
    hosts = [_SimulatedHost(name, rng, checks_fencing) for name in "abc"]
    upstream = _Upstream(checks_fencing)
    initial_body = LeaseBody("other", hosts[0].writer.host_id, 1, 0)
    now = Instant(0, 0)
    log = [LogEntry(0, make_control_record("r0", initial_body, hosts[0].writer, now))]
    pending_appends: list[tuple[_SimulatedHost, LeaseBody, Instant]] = []
    overlapped, true_ms = False, 0
    for _ in range(STEPS_PER_SCHEDULE):
        true_ms += rng.choice([1, 20, 100, 400])
        for host in hosts:
            _deliver_order(host, upstream, true_ms, events)
        if pending_appends and rng.random() < 0.5:
            _append(log, pending_appends.pop(rng.randrange(len(pending_appends))))
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
            decision = TakeLease(host.state.leases[LEASE_NAME].fencing)
        if isinstance(decision, TakeLease) and rng.random() < 0.5:
            body = LeaseBody(
                LEASE_NAME, host.writer.host_id, 1000, decision.base_fencing
            )
            pending_appends.append((host, body, host.now(true_ms)))
        _send_order(host, true_ms, rng)
        holders = [candidate for candidate in hosts if candidate.holds_lease(true_ms)]
        events["held"] += bool(holders)
        overlapped |= len(holders) > 1
    return overlapped or upstream.outdated_count > 0


def _append(
    log: list[LogEntry], lease_request: tuple[_SimulatedHost, LeaseBody, Instant]
) -> None:
    host, body, requested_at = lease_request
    offset = len(log)
    record = make_control_record(f"r{offset}", body, host.writer, Instant(0, 0))
    host.request_times[offset] = requested_at
    log.append(LogEntry(offset, record))


def _send_order(host: _SimulatedHost, true_ms: int, rng: random.Random) -> None:
    """Send an order if the host holds the lease; it arrives within the timeout."""
    if (
        host.order_in_flight is None
        and host.own is not None
        and host.holds_lease(true_ms)
    ):
        delay_ms = rng.randrange(POLICY.order_timeout_ms)
        host.order_in_flight = (host.own.fencing, true_ms + delay_ms)


def _deliver_order(
    host: _SimulatedHost, upstream: _Upstream, true_ms: int, events: Counter[str]
) -> None:
    if host.order_in_flight is not None and host.order_in_flight[1] <= true_ms:
        events["orders"] += 1
        upstream.execute(host.order_in_flight[0])
        host.order_in_flight = None
