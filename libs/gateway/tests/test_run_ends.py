"""Guards against requests that are dropped as the move of their run was cancelled."""

import asyncio
from types import SimpleNamespace

from waxwingbarrow.core import ManualClock
from waxwingbarrow.gateway.requests._run_ends import find_stop


async def test_move_that_was_not_sent_is_cancelled_and_has_stopped_nothing():
    """The second look at a cancelled move raised, and ended the request's handler."""
    move = asyncio.ensure_future(asyncio.sleep(60))
    job = SimpleNamespace(move=move, is_move_sent=False)
    assert await find_stop(job, ManualClock()) is None
    await asyncio.sleep(0)
    assert move.cancelled()
    assert await find_stop(job, ManualClock()) is None
