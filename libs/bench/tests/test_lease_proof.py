"""Guards against two hosts that act under the same lease at the same time."""

from waxwingbarrow.bench._lease_proof import run_leases


def test_no_two_hosts_act_under_the_lease_at_once():
    result = run_leases(schedules=60, seed=1)
    assert result.violations == 0
    # If the naive design passed as well, the schedules could not expose a violation.
    assert result.naive_violations > 20
    assert result.events["orders"] > 1_000
