"""Guards against moves of streams that lose more work than another step would."""

import attrs
import pytest

from waxwingbarrow.routing import (
    ReclaimPolicy,
    ReclaimStep,
    StreamState,
    decide_reclaim,
)

POLICY = ReclaimPolicy()
LONG = StreamState(
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
        ({"left_ms": 25_000}, ReclaimStep.STAY),  # cannot finish, but has time
        ({"left_ms": 1_000}, ReclaimStep.MOVE),
        ({"left_ms": 1_000, "token_ms": None}, ReclaimStep.MOVE),
        ({"left_ms": 1_000, "remaining_tokens": 0}, ReclaimStep.STAY),
        # A short context is recomputed sooner than its cache is moved.
        ({"left_ms": 1_000, "context_tokens": 100}, ReclaimStep.RECOMPUTE),
        ({"left_ms": 1_100, "context_tokens": 100}, ReclaimStep.STAY),
        # Too late for an export.
        ({"left_ms": 300}, ReclaimStep.RECOMPUTE),
        ({"left_ms": -5_000}, ReclaimStep.RECOMPUTE),
        # An engine that reports no rate is assumed to be slow.
        ({"left_ms": 1_000, "prefill_tokens_per_s": 0.0}, ReclaimStep.MOVE),
    ],
)
def test_step_loses_least(changes, step):
    assert decide_reclaim(attrs.evolve(LONG, **changes), POLICY) is step


def test_stream_that_stays_reaches_a_move_before_it_is_too_late():
    # Asked at each token, the decision must not step over the time for a move.
    steps = []
    for left_ms in range(10_000, -1, -20):
        steps.append(decide_reclaim(attrs.evolve(LONG, left_ms=left_ms), POLICY))
        if steps[-1] is not ReclaimStep.STAY:
            break
    assert steps[-1] is ReclaimStep.MOVE
