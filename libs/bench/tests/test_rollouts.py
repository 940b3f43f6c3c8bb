"""Guards against a rollout policy that is no better than fixed thresholds."""

import pytest

from waxwingbarrow.bench._rollouts import VersionKind, measure_rollouts


@pytest.fixture(scope="module")
def rows():
    return {(row.kind, row.policy): row for row in measure_rollouts(runs=1)}


def test_fixed_thresholds_withdraw_a_good_version_under_noise(rows):
    assert rows[VersionKind.NOISY, "threshold"].false_withdrawals == 1
    assert rows[VersionKind.NOISY, "evidence"].false_withdrawals == 0


@pytest.mark.parametrize("kind", [kind for kind in VersionKind if kind.is_good])
def test_good_version_is_done_before_the_deadline(rows, kind):
    row = rows[kind, "evidence"]
    assert row.done == row.runs
    assert row.finish_s < 3600


@pytest.mark.parametrize("kind", [kind for kind in VersionKind if not kind.is_good])
def test_bad_version_is_withdrawn_and_gets_few_requests(rows, kind):
    row = rows[kind, "evidence"]
    assert row.withdrawn == row.runs
    assert row.faulty_share_percent < 5


@pytest.mark.parametrize(
    "kind", [VersionKind.AT_ONCE, VersionKind.LATE, VersionKind.UNDER_LOAD]
)
def test_frequent_failures_are_withdrawn_within_two_minutes(rows, kind):
    assert rows[kind, "evidence"].withdraw_max_s <= 120


def test_evidence_of_one_origin_stays_small(rows):
    # All gossip of a node has a budget of 18 KB/s.
    assert max(row.evidence_bytes for row in rows.values()) < 10_000
