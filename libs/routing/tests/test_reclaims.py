"""Guards against reclaim steps that lose more work than another step would."""

import attrs
import pytest

from waxwingbarrow.routing import (
    ReclaimPolicy,
    ReclaimStep,
    StreamState,
    decide_reclaim,
)

POLICY = ReclaimPolicy()
LONG_STREAM = StreamState(
    left_ms=1_000,
    remaining_tokens=1_000,
    token_ms=20.0,
    context_tokens=8_000,
    prefill_tokens_per_s=10_000.0,
)


@pytest.mark.parametrize(
    ("changes", "step"),
    [
        ({"left_ms": None}, ReclaimStep.STAY),
        ({"left_ms": 60_000}, ReclaimStep.STAY),  # finishes in place
        ({"left_ms": 25_000}, ReclaimStep.STAY),  # cannot finish, can move later
        ({"left_ms": 1_000}, ReclaimStep.MOVE),
        ({"left_ms": 1_000, "token_ms": None}, ReclaimStep.MOVE),
        ({"left_ms": 1_000, "remaining_tokens": 0}, ReclaimStep.STAY),
        # Recomputing a short context is faster than moving its KV cache.
        ({"left_ms": 1_000, "context_tokens": 100}, ReclaimStep.RECOMPUTE),
        ({"left_ms": 1_100, "context_tokens": 100}, ReclaimStep.STAY),
        # Too little time for a transfer of the KV cache.
        ({"left_ms": 300}, ReclaimStep.RECOMPUTE),
        ({"left_ms": -5_000}, ReclaimStep.RECOMPUTE),
        # Without a reported prefill rate, the rate of the policy is assumed.
        ({"left_ms": 1_000, "prefill_tokens_per_s": 0.0}, ReclaimStep.MOVE),
    ],
)
def test_reclaim_step_loses_the_least_work(changes, step):
    assert decide_reclaim(attrs.evolve(LONG_STREAM, **changes), POLICY) is step


def test_staying_stream_moves_before_a_move_is_too_late():
    # When the decision is repeated at each token, a stream must not stay until a move
    # can no longer complete.
    steps = []
    for left_ms in range(10_000, -1, -20):
        steps.append(decide_reclaim(attrs.evolve(LONG_STREAM, left_ms=left_ms), POLICY))
        if steps[-1] is not ReclaimStep.STAY:
            break
    assert steps[-1] is ReclaimStep.MOVE
