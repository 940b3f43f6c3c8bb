"""Guards against two hosts that act under the same lease at the same time."""

import pytest

from waxwingbarrow.core import Incarnation, Instant
from waxwingbarrow.state import (
    KeepLease,
    Lease,
    LeaseObservations,
    LeasePolicy,
    TakeLease,
    WaitForLease,
    Writer,
    confirm_lease,
    decide_lease,
)

POLICY = LeasePolicy(duration_ms=1000, max_clock_skew_ms=200, order_timeout_ms=500)
WRITER_A = Writer("a", Incarnation(1, 1))
WRITER_B = Writer("b", Incarnation(1, 1))
HELD = Lease("duty", "a", WRITER_A.incarnation, fencing=5, duration_ms=1000)
RELEASED = Lease(
    "duty", "a", WRITER_A.incarnation, fencing=5, duration_ms=1000, released=True
)
WRITER_A_RESTARTED = Writer("a", Incarnation(2, 1))


def at(mono_ms):
    return Instant(0, mono_ms)


def decide(lease, writer, now_ms, own=None, check_fencing=True, read_ms=100):
    leases = {"duty": lease} if lease else {}
    observations = LeaseObservations().observe(leases, at(read_ms))
    return decide_lease(
        "duty", leases, observations, own, writer, check_fencing, POLICY, at(now_ms)
    )


OWN = confirm_lease(HELD, asked_at=at(40))
CASES = {
    "never held": (decide(None, WRITER_B, 0), TakeLease(0)),
    "released": (decide(RELEASED, WRITER_B, 100), TakeLease(5)),
    "held by another": (decide(HELD, WRITER_B, 1299), WaitForLease(1300)),
    "expired": (decide(HELD, WRITER_B, 1300), TakeLease(5)),
    "order may be in flight": (
        decide(HELD, WRITER_B, 1300, check_fencing=False),
        WaitForLease(1800),
    ),
    "order has ended": (
        decide(HELD, WRITER_B, 1800, check_fencing=False),
        TakeLease(5),
    ),
    "earlier run of the same host": (
        decide(HELD, WRITER_A_RESTARTED, 100),
        WaitForLease(1300),
    ),
    "own, fresh": (decide(HELD, WRITER_A, 539, OWN), KeepLease(540)),
    "own, renewal due": (decide(HELD, WRITER_A, 540, OWN), TakeLease(5)),
    "own, expired": (decide(HELD, WRITER_A, 9000, OWN), TakeLease(5)),
}


@pytest.mark.parametrize("case", CASES)
def test_lease_decision(case):
    found, expected = CASES[case]
    assert found == expected


def test_wait_for_an_unobserved_lease_starts_now():
    found = decide_lease(
        "duty",
        {"duty": HELD},
        LeaseObservations(),
        None,
        WRITER_B,
        True,
        POLICY,
        at(50),
    )
    assert found == WaitForLease(1250)


def test_only_a_new_fencing_token_restarts_the_wait():
    observations = LeaseObservations().observe({"duty": HELD}, at(100))
    assert observations.observe({"duty": HELD}, at(900)) == observations
    renewed = Lease("duty", "a", WRITER_A.incarnation, fencing=6, duration_ms=1000)
    later = observations.observe({"duty": renewed}, at(900))
    assert later.by_name["duty"].read_at == at(900)


def test_validity_for_the_holder_counts_from_before_the_append():
    assert OWN.is_valid(at(1039))
    assert not OWN.is_valid(at(1040))
