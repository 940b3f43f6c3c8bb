"""Guards single decisions about requests while engines are scarce."""

import random

import pytest

from waxwingbarrow.core import AccountId, Instant
from waxwingbarrow.limits import (
    CapacityAdmission,
    CapacityAdmissionPolicy,
    CapacityRequest,
    FreeCapacity,
    RefuseUntil,
    ServeNow,
    WaitFor,
)

URGENT = {"priority": 0, "objective_ms": 400.0, "deadline_ms": 1_000.0}
LOW = {"priority": 2, "objective_ms": 2_000.0, "deadline_ms": 4_000.0}
ENGINES = 8.0


def make_admission(**policy):
    return CapacityAdmission(CapacityAdmissionPolicy(**policy), random.Random(1))


def make_request(priority=0, account="a", **fields):
    kind = URGENT if priority == 0 else LOW
    values = {
        "objective_ms": kind["objective_ms"],
        "latest_start_ms": 0.7 * kind["deadline_ms"],
        **fields,
    }
    return CapacityRequest(priority=priority, account=AccountId(account), **values)


def decide(admission, request, wait_ms, own_ms=20.0, now_ms=0):
    capacity = FreeCapacity(start_ms=wait_ms + own_ms, own_ms=own_ms, engines=ENGINES)
    return admission.decide(request, capacity, Instant(now_ms, now_ms))


@pytest.mark.parametrize(
    ("priority", "wait_ms", "own_ms", "expected"),
    [
        # Not scarce: the start is within half of the objective.
        (0, 150, 20, ServeNow),
        # Scarce, but within the limit of the most urgent class.
        (0, 250, 20, ServeNow),
        # It can still start in time after the wait.
        (0, 350, 20, WaitFor),
        # It would start after its deadline.
        (0, 900, 20, RefuseUntil),
        # The prompt alone takes longer than the time that is left.
        (0, 0, 800, RefuseUntil),
        # A large prompt on an idle engine competes with nobody.
        (0, 0, 380, ServeNow),
        (2, 900, 20, ServeNow),
        (2, 1_700, 20, WaitFor),
        (2, 3_000, 20, RefuseUntil),
    ],
)
def test_a_class_alone_is_served_until_it_would_miss_its_objective(
    priority, wait_ms, own_ms, expected
):
    verdict = decide(make_admission(), make_request(priority), wait_ms, own_ms)
    assert isinstance(verdict, expected)


@pytest.mark.parametrize(
    ("wait_ms", "urgent", "low"),
    [(100, ServeNow, ServeNow), (240, ServeNow, WaitFor), (330, WaitFor, WaitFor)],
)
def test_less_urgent_requests_stop_at_a_shorter_backlog(wait_ms, urgent, low):
    """They keep to the objective of the urgent ones, though their own is longer."""
    admission = make_admission()
    decide(admission, make_request(0), 0)
    decide(admission, make_request(2), 0)
    assert isinstance(decide(admission, make_request(2), wait_ms), low)
    assert isinstance(decide(admission, make_request(0), wait_ms), urgent)


def test_urgent_requests_that_ended_long_ago_hold_nobody_up():
    admission = make_admission()
    decide(admission, make_request(0), 0)
    verdict = decide(admission, make_request(2), 900, now_ms=6_000)
    assert isinstance(verdict, ServeNow)


def test_urgent_requests_are_told_to_return_sooner():
    admission = make_admission()
    for number in range(200):
        decide(admission, make_request(0, request_hash=number), 0, now_ms=number * 5)
    urgent = decide(admission, make_request(0), 1_500, now_ms=1_000)
    low = decide(admission, make_request(2, latest_start_ms=300.0), 1_500, now_ms=1_000)
    assert urgent.is_promised
    assert low.is_promised
    assert urgent.retry_after_s < low.retry_after_s


def test_a_wait_ends_with_the_promised_capacity():
    admission = make_admission()
    waits = decide(admission, make_request(), 350)
    assert isinstance(waits, WaitFor)
    request = make_request(promise=waits.promise, latest_start_ms=500.0)
    again = decide(admission, request, 300, now_ms=int(waits.wait_ms))
    assert again == ServeNow(is_promised=True)
    assert admission.promise_count == 0


def test_a_promise_of_another_host_is_no_promise_here():
    # The keeper that made it was lost; the new one decides on the request as a new one.
    admission = make_admission()
    verdict = decide(admission, make_request(promise=17), 350)
    assert isinstance(verdict, WaitFor)


def test_a_promise_to_another_account_is_not_kept():
    admission = make_admission()
    waits = decide(admission, make_request(account="a"), 350)
    request = make_request(account="b", promise=waits.promise)
    assert not isinstance(decide(admission, request, 350, now_ms=200), ServeNow)


def test_callers_without_a_promise_return_at_different_times():
    # Requests that cannot be served are many when most engines are lost.
    admission = make_admission()
    retries_s = {
        decide(admission, make_request(), 0, own_ms=800).retry_after_s
        for _ in range(50)
    }
    assert len(retries_s) == 50
    assert min(retries_s) >= 10
    assert max(retries_s) <= 15


def test_memory_is_bounded_under_a_flood():
    admission = make_admission(max_promises=100)
    for number in range(1, 2_000):
        decide(admission, make_request(request_hash=number), 1_500)
        assert admission.promise_count <= 100
