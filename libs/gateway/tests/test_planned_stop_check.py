"""Guards against requests that a planned stop accepts and then cuts."""

from types import SimpleNamespace

import pytest

from waxwingbarrow.core import Instant
from waxwingbarrow.gateway.requests._planned_stop import StopCheck

STOPPED_MS = 100_000


@pytest.mark.parametrize(
    ("grace_ms", "after_ms", "allowed_ms", "is_accepted"),
    [
        # The load balancer still sends callers here, and there is time for a stream.
        (7_200, 0, 12_000, True),
        (7_200, 2_000, 12_000, True),
        # The host is removed, so the caller has another one.
        (7_200, 2_001, 12_000, False),
        (7_200, 4_500, 15_000, False),
        # The deadline passes before the end.
        (7_200, 4_500, 2_700, True),
        (7_200, 4_500, 2_701, False),
        (7_200, 7_199, 1, True),
        # Too little time for a stream at any moment.
        (3_200, 0, 12_000, False),
        (3_200, 0, 3_200, True),
    ],
)
def test_only_the_deadline_bounds_a_request(
    grace_ms, after_ms, allowed_ms, is_accepted
):
    """Requests were accepted by the durations of others, and cut when they were slower.

    The load is one of callers who send the rest of their requests late in a stop.
    """
    check = StopCheck()
    check.stopped_at = Instant(0, STOPPED_MS)
    check.ends_at = check.stopped_at.plus_ms(grace_ms)
    now = check.stopped_at.plus_ms(after_ms)
    refused = check.check(SimpleNamespace(deadline=now.plus_ms(allowed_ms)), now)
    assert (refused is None) == is_accepted
    if refused is not None:
        assert refused.status == 503
        assert refused.retry_after_s > 0


def test_nothing_is_refused_before_the_signal():
    plan = SimpleNamespace(deadline=Instant(0, 10**9))
    assert StopCheck().check(plan, Instant(0, STOPPED_MS)) is None
