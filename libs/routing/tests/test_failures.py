"""Guards against retry storms, reuse of ended upstreams and repeated crashes."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingbarrow.core import Incarnation, Instant, UpstreamId
from waxwingbarrow.routing import (
    CrashSuspects,
    HealthPolicy,
    HealthRegistry,
    HealthState,
    LeavingSource,
    RetryBudget,
    UpstreamIncarnation,
)

U1, U2, U3 = (UpstreamId(f"u{n}") for n in (1, 2, 3))
OLD, NEW = Incarnation(1, 1), Incarnation(2, 1)
POLICY = HealthPolicy()


def at(mono_ms):
    return Instant(1_000_000 + mono_ms, mono_ms)


class UnlimitedRetries:
    """Baseline without a budget: up to two retries for each request."""

    def record_request(self, now):
        pass

    def try_spend(self, now):
        return True


def measure_load(budget, rate_per_s, seconds, failure_rate=1 / 3):
    """Return the attempts per request, on average and in the worst second."""
    rng = random.Random(3)
    per_second = []
    for second in range(seconds):
        sends = 0
        for number in range(rate_per_s):
            now = at(second * 1_000 + number * 1_000 // rate_per_s)
            budget.record_request(now)
            sends += 1
            for _ in range(2):
                if rng.random() >= failure_rate or not budget.try_spend(now):
                    break
                sends += 1
        per_second.append(sends / rate_per_s)
    return sum(per_second) / seconds, max(per_second)


@pytest.mark.parametrize("rate_per_s", [14, 100, 1_000])
def test_retries_add_less_than_a_tenth_of_load_when_a_third_of_requests_fail(
    rate_per_s,
):
    mean, max_per_second = measure_load(RetryBudget(), rate_per_s, 60)
    assert mean < 1.1
    assert max_per_second <= 1.1 + 3 / rate_per_s
    naive_mean, _ = measure_load(UnlimitedRetries(), rate_per_s, 60)
    assert naive_mean > 1.1


def test_unused_budget_is_not_spent_in_one_second():
    budget = RetryBudget()
    for number in range(1_000):
        budget.record_request(at(number * 10))
    assert sum(budget.try_spend(at(9_999)) for _ in range(200)) <= 11


def test_requests_outside_the_window_allow_no_retries():
    budget = RetryBudget(min_retries=0)
    for _ in range(100):
        budget.record_request(at(0))
    assert not budget.try_spend(at(10_000))


def test_host_with_little_traffic_may_still_retry():
    budget = RetryBudget()
    assert [budget.try_spend(at(0)) for _ in range(4)] == [True] * 3 + [False]


# Results as (time in ms, succeeded), time of the check in ms, expected state.
HEALTH_CASES = [
    ([(0, False)], 0, HealthState.HEALTHY),
    ([(0, False)] * 2, 0, HealthState.SUSPECT),
    ([(0, False)] * 2 + [(1, True)], 1, HealthState.HEALTHY),
    ([(0, False)] * 5, 0, HealthState.EJECTED),
    ([(0, False)] * 5 + [(1, True)], 1, HealthState.EJECTED),
    ([(0, False)] * 5, 4_999, HealthState.EJECTED),
    ([(0, False)] * 5, 5_000, HealthState.PROBING),
    ([(0, False)] * 5 + [(5_000, True)], 5_000, HealthState.PROBING),
    ([(0, False)] * 5 + [(5_000, True)] * 2, 5_000, HealthState.HEALTHY),
    ([(0, False)] * 5 + [(5_000, False)], 10_000, HealthState.EJECTED),
    ([(0, False)] * 5 + [(5_000, False)], 15_000, HealthState.PROBING),
]


@pytest.mark.parametrize(("results", "checked_ms", "expected"), HEALTH_CASES)
def test_health_state_follows_request_results(results, checked_ms, expected):
    registry = HealthRegistry(POLICY)
    for mono_ms, succeeded in results:
        registry.record(U1, OLD, succeeded, at(mono_ms))
    assert registry.get_state(U1, OLD, at(checked_ms)) is expected


ACTION = st.one_of(
    st.tuples(st.just("leave"), st.sampled_from(LeavingSource)),
    st.tuples(st.just("result"), st.booleans()),
    st.tuples(st.just("wait"), st.integers(0, 100_000)),
    st.tuples(st.just("forget"), st.none()),
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(ACTION, max_size=12), st.sampled_from(LeavingSource))
def test_leaving_incarnation_never_becomes_usable_again(actions, first_source):
    registry = HealthRegistry(POLICY)
    registry.report_leaving(U1, OLD, first_source)
    mono_ms = 0
    for kind, value in actions:
        match kind:
            case "leave":
                registry.report_leaving(U1, OLD, value)
            case "result":
                registry.record(U1, OLD, value, at(mono_ms))
            case "wait":
                mono_ms += value
            case "forget":
                registry.forget(U1)
        assert registry.get_state(U1, OLD, at(mono_ms)) is HealthState.LEAVING
    assert registry.get_state(U1, NEW, at(mono_ms)) is HealthState.HEALTHY


def test_report_about_a_replaced_incarnation_does_not_affect_its_successor():
    registry = HealthRegistry(POLICY)
    assert registry.get_state(U1, NEW, at(0)) is HealthState.HEALTHY
    registry.report_leaving(U1, OLD, LeavingSource.GOSSIP)
    for _ in range(9):
        registry.record(U1, OLD, False, at(0))
    assert registry.get_state(U1, NEW, at(0)) is HealthState.HEALTHY
    assert registry.get_state(U1, OLD, at(0)) is HealthState.LEAVING


def run_and_lose(suspects, upstream, *fingerprints):
    for fingerprint in fingerprints:
        suspects.start(fingerprint, upstream, OLD)
    suspects.record_loss(upstream, OLD, at(0))


def is_refused(suspects, fingerprint, mono_ms=0):
    return suspects.check(fingerprint, at(mono_ms)).is_err()


def test_request_is_refused_after_two_lost_upstreams_on_any_host():
    first, second = CrashSuspects(), CrashSuspects()
    run_and_lose(first, U1, "bad")
    second.merge(first.list_suspicions(at(0)), at(0))
    assert not is_refused(second, "bad")
    run_and_lose(second, U2, "bad")
    assert is_refused(second, "bad")
    assert not is_refused(first, "bad")
    for _ in range(2):
        first.merge(second.list_suspicions(at(0)), at(0))
    assert is_refused(first, "bad")


def test_bystander_of_a_crash_is_cleared_when_it_completes_elsewhere():
    suspects = CrashSuspects()
    run_and_lose(suspects, U1, "bad", "bystander")
    suspects.start("bystander", U2, OLD)
    suspects.finish("bystander", U2, OLD, True, at(1))
    run_and_lose(suspects, U3, "bad", "bystander")
    assert is_refused(suspects, "bad")
    assert not is_refused(suspects, "bystander")


CLEARING_CASES = [
    # (losses, whether an attempt elsewhere completed or None without one, refused)
    # After an attempt elsewhere, a further upstream is lost.
    ((U1, U2), None, True),
    ((U1, U1), None, False),  # the loss of one process counts once
    ((U1,), False, False),
]


@pytest.mark.parametrize(("losses", "completed", "refused"), CLEARING_CASES)
def test_only_distinct_uncleared_losses_are_counted(losses, completed, refused):
    suspects = CrashSuspects()
    for upstream in losses:
        run_and_lose(suspects, upstream, "x")
    if completed is not None:
        suspects.start("x", U3, OLD)
        suspects.finish("x", U3, OLD, completed, at(0))
        run_and_lose(suspects, U2, "x")
        refused = True  # an attempt that does not complete clears no loss
    assert is_refused(suspects, "x") is refused


def test_outdated_gossip_does_not_restore_a_cleared_loss():
    first, second = CrashSuspects(), CrashSuspects()
    run_and_lose(first, U1, "x")
    outdated = first.list_suspicions(at(0))
    second.merge(outdated, at(0))
    second.start("x", U2, OLD)
    second.finish("x", U2, OLD, True, at(1))
    second.merge(outdated, at(2))
    run_and_lose(second, U3, "x")
    assert not is_refused(second, "x")


def test_loss_is_not_counted_for_a_request_that_has_finished():
    suspects = CrashSuspects()
    suspects.start("x", U1, OLD)
    suspects.finish("x", U1, OLD, True, at(0))
    assert suspects.record_loss(U1, OLD, at(1)) == ()


def test_suspicions_expire_and_their_number_is_bounded():
    suspects = CrashSuspects(retention_ms=1_000, max_fingerprints=10)
    for number in range(50):
        run_and_lose(suspects, UpstreamId(f"x{number}"), f"f{number}")
    assert len(suspects.list_suspicions(at(0))) == 10
    run_and_lose(suspects, U1, "bad")
    run_and_lose(suspects, U2, "bad")
    assert is_refused(suspects, "bad", 999)
    assert not is_refused(suspects, "bad", 1_000)


def test_suspect_requests_are_kept_on_separate_upstreams():
    # A request that runs during two crashes cannot be distinguished from their cause
    # and is refused too, so it must not share an upstream with another suspect.
    suspects, incarnation = CrashSuspects(), Incarnation(1, 1)
    now = Instant(0, 0)
    for fingerprint in ("cause", "bystander"):
        suspects.start(fingerprint, "u1", incarnation)
    suspects.record_loss("u1", incarnation, now)
    suspects.start("cause", "u2", incarnation)
    suspects.start("other", "u3", incarnation)
    assert suspects.list_upstreams_to_avoid("bystander", now) == {
        UpstreamIncarnation("u2", incarnation)
    }
    assert suspects.list_upstreams_to_avoid("cause", now) == frozenset()
    assert suspects.list_upstreams_to_avoid("other", now) == frozenset()
