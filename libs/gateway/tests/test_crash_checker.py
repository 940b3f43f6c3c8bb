"""Guards against a request that is blamed for upstreams that ended by themselves."""

import asyncio

import pytest

from waxwingbarrow.core import (
    DataCentre,
    ManualClock,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.gateway.base import RolloutState, RolloutStatus
from waxwingbarrow.gateway.base._model import ResponseMetadata, UpstreamEntry
from waxwingbarrow.gateway.requests._rollouts import Rollouts
from waxwingbarrow.gateway.upstreams import _crash_checker
from waxwingbarrow.gateway.upstreams._crash_checker import CrashChecker
from waxwingbarrow.gateway.upstreams._crash_tracker import CrashTracker, Fingerprints
from waxwingbarrow.gateway.upstreams._fleet import Fleet
from waxwingbarrow.rollout import CanaryPolicy

REQUEST = Fingerprints("f")
LEAVING = ResponseMetadata(request_id="r", not_run=False, leaving=True)


class EndedPool:
    """Connections to an upstream that has ended."""

    async def check_refused(self, now_s):
        return True


async def lose_at_two_upstreams(monkeypatch, change):
    """Let a request be lost at two upstreams that end; return whether it is refused."""
    monkeypatch.setattr(_crash_checker, "CHECK_DELAY_S", 0.0)
    clock, fleet, tracker = ManualClock(), Fleet(), CrashTracker()
    rollouts = Rollouts(CanaryPolicy())
    checker = CrashChecker(tracker, fleet, clock, rollouts.is_stopped)
    for name in ("u1", "u2"):
        entry = UpstreamEntry(
            upstream=UpstreamId(name),
            service=ServiceName("pool"),
            host="10.0.0.1",
            port=80,
            data_centre=DataCentre("a"),
            version=VersionName("v1"),
        )
        fleet.put(entry, clock.now())
        upstream = fleet.upstreams[entry.upstream]
        upstream.pool = EndedPool()
        change(fleet, upstream, clock.now(), rollouts)
        checker.note_loss(REQUEST, upstream, None, clock.now())
    await asyncio.sleep(0.01)
    return tracker.find_refusal(REQUEST, clock.now()) is not None


async def test_a_request_that_was_lost_at_upstreams_that_crashed_is_refused(
    monkeypatch,
):
    assert await lose_at_two_upstreams(monkeypatch, lambda *_: None)


@pytest.mark.parametrize("source", ["removed registration", "response"])
async def test_upstreams_that_left_do_not_count_as_crashed(monkeypatch, source):
    # Guards against sound requests that are refused after workers were reclaimed.
    def let_leave(fleet, upstream, now, rollouts):
        if source == "removed registration":
            upstream.gone = True
        else:
            fleet.notices.note_response(upstream.process, 200, LEAVING, now)

    assert not await lose_at_two_upstreams(monkeypatch, let_leave)


@pytest.mark.parametrize("moment", ["before the loss", "before the check"])
async def test_upstreams_that_a_completed_rollout_stops_do_not_count_as_crashed(
    monkeypatch, moment
):
    # Guards against sound requests that are refused after a rollout was completed.
    def complete(rollouts):
        completed = RolloutStatus(
            service=ServiceName("pool"),
            to_version=VersionName("v2"),
            state=RolloutState.DONE,
        )
        rollouts.apply_status(completed)

    def let_stop(fleet, upstream, now, rollouts):
        if moment == "before the loss":
            complete(rollouts)
        else:
            asyncio.get_running_loop().call_soon(complete, rollouts)

    assert not await lose_at_two_upstreams(monkeypatch, let_stop)
