"""Guards against admitted requests that miss their deadline, and wrong refusals."""

import attrs
import pytest
from result import Err, Ok

from waxwingbarrow.core import (
    AccountId,
    ClassNotAllowed,
    DeadlineTooShort,
    Instant,
    Outcome,
    Overloaded,
    PriorityClass,
    RateLimited,
)
from waxwingbarrow.limits import (
    AccountLimit,
    AdmissionController,
    AdmissionPolicy,
    AdmissionRequest,
    Estimate,
    check_deadline,
)

INTERACTIVE, STANDARD, BATCH = PriorityClass
ONE, TWO = AccountId("one"), AccountId("two")
POLICY = AdmissionPolicy(burst_s=1.0)


def at(mono_ms):
    return Instant(0, mono_ms)


def make_request(account=ONE, tokens=100, deadline_ms=10_000, kind=STANDARD):
    return AdmissionRequest(
        account=account, priority_class=kind, tokens=tokens, deadline=at(deadline_ms)
    )


def make_controller(max_running=1, tokens_per_s=1_000.0, rate=10_000.0, policy=POLICY):
    controller = AdmissionController(max_running, tokens_per_s, policy)
    limits = [
        AccountLimit(
            account=name,
            tokens_per_s=rate,
            requests_per_s=100,
            classes=frozenset({INTERACTIVE, STANDARD}),
        )
        for name in (ONE, TWO)
    ]
    controller.set_shares(limits, at(0))
    return controller


# Requests that are refused while the only slot is in use, at 1 ms per token.
REFUSALS = {
    "account without a share": (make_request(AccountId("x")), RateLimited),
    "class not granted": (make_request(kind=BATCH), ClassNotAllowed),
    "above the rate": (make_request(tokens=9_950, deadline_ms=10**6), RateLimited),
    "deadline already past": (make_request(deadline_ms=-1), DeadlineTooShort),
    "deadline shorter than the run": (make_request(deadline_ms=99), DeadlineTooShort),
    "deadline shorter than the wait": (make_request(deadline_ms=199), DeadlineTooShort),
}


@pytest.mark.parametrize("name", REFUSALS)
def test_refusal_reports_not_run_and_refunds_the_account(name):
    request, kind = REFUSALS[name]
    controller = make_controller()
    running = controller.admit(make_request(), at(0)).ok_value
    result = controller.admit(request, at(0))
    assert isinstance(result, Err)
    assert type(result.err_value) is kind
    assert result.err_value.outcome is Outcome.NOT_RUN
    controller.finish(running, 100, at(100))
    progress = controller.next_ready(at(100))
    assert (progress.ready, progress.refused) == ((), ())
    # The refused request must not stay charged to the account's buckets.
    assert controller.admit(make_request(tokens=9_900), at(100)).is_ok()


def test_waiting_request_is_returned_once_a_slot_is_free():
    controller = make_controller()
    first = controller.admit(make_request(), at(0)).ok_value
    second = controller.admit(make_request(TWO), at(0)).ok_value
    assert (first.ready, second.ready) == (True, False)
    assert controller.next_ready(at(50)).ready == ()
    controller.finish(first, 100, at(100))
    ready = controller.next_ready(at(100)).ready
    assert [item.admission_id for item in ready] == [second.admission_id]
    controller.finish(first, 100, at(100))  # a repeated call frees no second slot
    assert not controller.admit(make_request(), at(100)).ok_value.ready


def test_new_request_does_not_overtake_waiting_requests():
    controller = make_controller()
    first = controller.admit(make_request(), at(0)).ok_value
    controller.admit(make_request(TWO), at(0))
    controller.finish(first, 100, at(100))
    assert not controller.admit(make_request(), at(100)).ok_value.ready


def test_waiting_request_that_would_miss_its_deadline_is_refused_as_not_run():
    controller = make_controller()
    running = controller.admit(make_request(), at(0)).ok_value
    waiting = controller.admit(make_request(TWO, deadline_ms=300), at(0)).ok_value
    (refused,) = controller.next_ready(at(250)).refused
    assert refused.admission.admission_id == waiting.admission_id
    assert refused.refusal.outcome is Outcome.NOT_RUN
    controller.finish(running, 100, at(260))
    assert controller.next_ready(at(260)).ready == ()


def test_abandoned_waiting_request_is_removed_from_the_queue():
    controller = make_controller()
    running = controller.admit(make_request(), at(0)).ok_value
    waiting = controller.admit(make_request(TWO), at(0)).ok_value
    controller.finish(waiting, 0, at(10))
    controller.finish(running, 100, at(100))
    assert controller.next_ready(at(100)).ready == ()


def test_account_is_charged_only_the_tokens_used():
    controller = make_controller(max_running=4, tokens_per_s=10**6, rate=1_000.0)
    admission = controller.admit(make_request(tokens=1_000), at(0)).ok_value
    assert controller.admit(make_request(tokens=1), at(0)).is_err()
    controller.finish(admission, 100, at(1))
    assert controller.admit(make_request(tokens=900), at(1)).is_ok()
    assert controller.admit(make_request(tokens=100), at(1)).is_err()


def test_request_is_refused_if_the_queue_is_full():
    controller = make_controller(policy=AdmissionPolicy(max_queue_s=0.5))
    results = [
        controller.admit(make_request(deadline_ms=10**6), at(0)) for _ in range(5)
    ]
    assert isinstance(results[-1], Err)
    assert isinstance(results[-1].err_value, Overloaded)


def test_demand_includes_refused_requests():
    controller = make_controller(rate=1.0)
    for _ in range(10):
        controller.admit(make_request(), at(0))
    (demand,) = controller.demand(at(0))
    assert (demand.account, demand.tokens_per_s) == (ONE, pytest.approx(200))
    assert demand.requests_per_s == pytest.approx(2)


def test_removed_account_is_refused_and_reports_no_demand():
    controller = make_controller()
    running = controller.admit(make_request(), at(0)).ok_value
    controller.set_shares([], at(1))
    assert controller.admit(make_request(), at(1)).is_err()
    assert controller.demand(at(1)) == ()
    controller.finish(running, 100, at(2))


def test_time_per_token_measured_while_slow_does_not_refuse_requests_forever():
    controller = make_controller(max_running=8, tokens_per_s=8_000)
    for number in range(200):
        start_ms = number * 10_000
        request = make_request(deadline_ms=start_ms + 500)
        result = controller.admit(request, at(start_ms))
        if isinstance(result, Ok):
            took_ms = 5_000 if number < 50 else 100
            controller.finish(result.ok_value, 100, at(start_ms + took_ms))
    estimate = controller.estimate(make_request(), at(2_000_000))
    assert estimate.run_ms < 200


ESTIMATES = [
    # (wait ms, run ms, ms to the deadline, accepted, retry_after_s is set)
    (0, 100, 100, True, None),
    (50, 100, 149, False, True),
    (0, 100, 99, False, False),
    (0, 0, -1, False, False),
    (float("inf"), 10, 100, False, True),
]


@pytest.mark.parametrize(("wait", "run", "remaining", "accepted", "retry"), ESTIMATES)
def test_deadline_check_refuses_only_requests_that_would_end_too_late(
    wait, run, remaining, accepted, retry
):
    request = make_request(deadline_ms=remaining)
    result = check_deadline(Estimate(wait, run), request, at(0))
    assert result.is_ok() is accepted
    if isinstance(result, Err):
        assert (result.err_value.retry_after_s is not None) is retry


def test_prompt_tokens_do_not_count_like_output_tokens_in_the_run_time():
    controller = make_controller()
    prompt = AdmissionRequest(
        account=ONE,
        priority_class=STANDARD,
        tokens=9_000,
        deadline=at(1_000),
        run_tokens=200,
    )
    assert isinstance(
        controller.admit(make_request(tokens=9_000, deadline_ms=1_000), at(0)), Err
    )
    admission = controller.admit(prompt, at(0)).ok_value
    # The request ran at the assumed 1 ms per token, so the estimate does not change.
    controller.finish(admission, 9_000, at(200))
    assert controller.estimate(make_request(), at(200)).run_ms == pytest.approx(100)


def test_a_request_without_run_time_does_not_change_the_time_per_token():
    """Guards against a division by zero when a request has no tokens to generate."""
    controller = make_controller()
    request = attrs.evolve(make_request(), run_tokens=0)
    before = controller.estimate(make_request(), at(0))
    admission = controller.admit(request, at(0)).ok_value
    controller.finish(admission, 100, at(5_000))
    assert controller.estimate(make_request(), at(5_000)) == before
