"""Guards against two hosts that act under the same lease at the same time."""

import random

import pytest

from waxwingbarrow.core import Incarnation, Instant
from waxwingbarrow.state import (
    KeepLease,
    Lease,
    LeaseBody,
    LeasePolicy,
    LeaseReadings,
    LogEntry,
    TakeLease,
    WaitForLease,
    Writer,
    apply,
    confirm_lease,
    decide_lease,
    make_control_record,
    start_state,
)

POLICY = LeasePolicy(duration_ms=1000, max_clock_skew_ms=200, order_timeout_ms=500)
ANNA = Writer("a", Incarnation(1, 1))
BERT = Writer("b", Incarnation(1, 1))
HELD = Lease("duty", "a", ANNA.incarnation, fencing=5, duration_ms=1000)
FREED = Lease("duty", "a", ANNA.incarnation, fencing=5, duration_ms=1000, released=True)
RESTARTED = Writer("a", Incarnation(2, 1))


def at(mono_ms):
    return Instant(0, mono_ms)


def decide(lease, writer, now_ms, own=None, checked=True, read_ms=100):
    leases = {"duty": lease} if lease else {}
    readings = LeaseReadings().observe(leases, at(read_ms))
    return decide_lease(
        "duty", leases, readings, own, writer, checked, POLICY, at(now_ms)
    )


OWN = confirm_lease(HELD, asked_at=at(40))
CASES = {
    "never held": (decide(None, BERT, 0), TakeLease(0)),
    "released": (decide(FREED, BERT, 100), TakeLease(5)),
    "held by another": (decide(HELD, BERT, 1299), WaitForLease(1300)),
    "expired": (decide(HELD, BERT, 1300), TakeLease(5)),
    "order may be in flight": (
        decide(HELD, BERT, 1300, checked=False),
        WaitForLease(1800),
    ),
    "order has ended": (decide(HELD, BERT, 1800, checked=False), TakeLease(5)),
    "earlier run of the same host": (decide(HELD, RESTARTED, 100), WaitForLease(1300)),
    "own, fresh": (decide(HELD, ANNA, 539, OWN), KeepLease(540)),
    "own, renewal due": (decide(HELD, ANNA, 540, OWN), TakeLease(5)),
    "own, expired": (decide(HELD, ANNA, 9000, OWN), TakeLease(5)),
}


@pytest.mark.parametrize("case", CASES)
def test_decision(case):
    found, expected = CASES[case]
    assert found == expected


def test_lease_never_observed_counts_from_now():
    found = decide_lease(
        "duty", {"duty": HELD}, LeaseReadings(), None, BERT, True, POLICY, at(50)
    )
    assert found == WaitForLease(1250)


def test_only_a_renewal_restarts_the_wait():
    readings = LeaseReadings().observe({"duty": HELD}, at(100))
    assert readings.observe({"duty": HELD}, at(900)) == readings
    renewed = Lease("duty", "a", ANNA.incarnation, fencing=6, duration_ms=1000)
    later = readings.observe({"duty": renewed}, at(900))
    assert later.by_name["duty"].read_at == at(900)


def test_holder_counts_from_before_the_append():
    assert OWN.is_valid(at(1039))
    assert not OWN.is_valid(at(1040))


class Host:
    """A host whose reads and appends are delayed at random."""

    def __init__(self, name, rng):
        self.writer = Writer(name, Incarnation(1, 1))
        self.rate = 1 + rng.uniform(-0.05, 0.05)
        self.state = start_state(0)
        self.readings = LeaseReadings()
        self.own = None
        self.asked = {}

    def now(self, true_ms):
        return at(int(true_ms * self.rate))

    def read(self, log, true_ms):
        for entry in log[self.state.next_offset :]:
            self.state, _ = apply(self.state, entry, lambda _: True)
        now = self.now(true_ms)
        self.readings = self.readings.observe(self.state.leases, now)
        lease = self.state.leases.get("duty")
        if lease is not None and lease.fencing in self.asked:
            self.own = confirm_lease(lease, self.asked[lease.fencing])

    def decide(self, true_ms):
        return decide_lease(
            "duty",
            self.state.leases,
            self.readings,
            self.own,
            self.writer,
            True,
            POLICY,
            self.now(true_ms),
        )


def simulate(seed, naive):
    """Count the moments at which two hosts hold the lease as they see it."""
    rng = random.Random(seed)
    hosts = [Host(name, rng) for name in "abc"]
    opening = LeaseBody("other", "a", 1, 0)
    log = [LogEntry(0, make_control_record("r0", opening, hosts[0].writer, at(0)))]
    pending, overlaps, true_ms = [], 0, 0
    for _ in range(300):
        true_ms += rng.choice([1, 20, 100, 400])
        host = rng.choice(hosts)
        if pending and rng.random() < 0.5:
            writer, body, asked = pending.pop(rng.randrange(len(pending)))
            record = make_control_record(f"r{len(log)}", body, writer.writer, at(0))
            writer.asked[len(log)] = asked
            log.append(LogEntry(len(log), record))
        host.read(log, true_ms)
        decision = host.decide(true_ms)
        if naive and isinstance(decision, WaitForLease):
            # Without the wait after reading, only the lease's own time counts.
            decision = TakeLease(host.state.leases["duty"].fencing)
        if isinstance(decision, TakeLease) and rng.random() < 0.5:
            body = LeaseBody("duty", host.writer.host_id, 1000, decision.base_fencing)
            pending.append((host, body, host.now(true_ms)))
        held = [h for h in hosts if h.own and h.own.is_valid(h.now(true_ms))]
        overlaps += len(held) > 1
    return overlaps


def test_no_two_hosts_hold_the_lease_at_once():
    assert sum(simulate(seed, naive=False) for seed in range(40)) == 0
    assert sum(simulate(seed, naive=True) for seed in range(40)) > 0
