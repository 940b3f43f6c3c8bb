"""Guards against requests that run twice under random schedules of faults.

The functions below inject one fault each into the claims design; the schedules must
detect it, so that a proof without violations means something.
"""

import pytest

from waxwingbarrow.bench import _at_most_once
from waxwingbarrow.bench._at_most_once import (
    ClaimHost,
    run_at_most_once,
    run_schedule,
)
from waxwingbarrow.claims import (
    ClaimKey,
    ClaimLedger,
    LocalClaims,
    MaySend,
    OutcomeLost,
    Settled,
)

REQUIRED_EVENTS = {
    "abandoned claim reappeared",
    "append lost",
    "append repeated",
    "connection refused",
    "joined",
    "killed after send",
    "killed before claim",
    "killed before send",
    "log outage",
    "pause",
    "record expired",
    "request delayed",
}


def test_claims_run_each_request_at_most_once_and_leases_do_not():
    result = run_at_most_once(schedules=2_000, seed=1)
    assert result.cases == 2_000
    assert result.violations == 0
    assert result.naive_violations > 0
    assert result.naive_false_refusals > 0
    assert set(result.events) >= REQUIRED_EVENTS
    assert result.events["run"] > 500
    assert result.events["told not_run"] > 500


def test_same_seed_gives_the_same_result():
    assert run_at_most_once(20, seed=3) == run_at_most_once(20, seed=3)


def accept_expired_keys(patch):
    patch.setattr(ClaimKey, "is_expired", lambda *_: False)


def release_after_lost_response(patch):
    def lose_response(self, claim, record_id, now):
        self.mark_unsent(claim)
        return self.release(claim, record_id, now)

    patch.setattr(LocalClaims, "lose_response", lose_response)


def drop_claims_early(patch):
    trim = ClaimLedger.trim
    patch.setattr(
        ClaimLedger,
        "trim",
        lambda self, first: trim(self, max(first, self.next_offset - 5)),
    )


def take_over_from_stopped_writers(patch):
    apply = LocalClaims.apply

    def apply_and_take_over(self, entry, now):
        step = apply(self, entry, now)
        if isinstance(step, Settled) and isinstance(step.decision, OutcomeLost):
            step.claim.lifecycle.state = "won"
            return Settled(step.claim, MaySend(), must_release=False)
        return step

    patch.setattr(LocalClaims, "apply", apply_and_take_over)


def refuse_every_attempt_as_not_run(patch):
    patch.setattr(_at_most_once, "refuse_unclaimed", lambda refusal, _: refusal)


@pytest.mark.parametrize(
    "fault",
    [
        accept_expired_keys,
        release_after_lost_response,
        drop_claims_early,
        take_over_from_stopped_writers,
        refuse_every_attempt_as_not_run,
    ],
)
def test_schedules_detect_a_fault_injected_into_the_claims_design(fault, monkeypatch):
    fault(monkeypatch)
    simulations = (run_schedule(seed, ClaimHost) for seed in range(1_000))
    assert any(
        simulation.has_run_twice() or simulation.has_false_refusal()
        for simulation in simulations
    )
