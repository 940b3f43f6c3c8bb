"""What requests and runs do when the upstreams that they would use are cold."""

import asyncio
from collections.abc import Awaitable, Callable

from waxwingbarrow.core import Clock, Instant, ServiceName
from waxwingbarrow.gateway.requests._rollouts import Rollouts, VersionRule
from waxwingbarrow.gateway.upstreams import Fleet, Upstream

# A run that moved to an upstream that has become cold waits this long for a permit.
MAX_MOVE_WAIT_MS = 2_000
MIN_MOVE_WAIT_MS = 10


def find_rule(
    rollouts: Rollouts,
    fleet: Fleet,
    service: ServiceName,
    request_id: str,
    now: Instant,
) -> VersionRule:
    """Return the versions that a request may use.

    While all upstreams of its version are cold and none of them takes a request now, it
    may use the others: a rollout brings up many upstreams at once, and those of the
    version before still serve. Versions that must not be used stay excluded.
    """
    usable = fleet.list_usable(service, None)
    known_versions = {item.entry.version for item in usable}
    rule = rollouts.find_rule(service, request_id, known_versions)
    own = [item for item in usable if item.entry.version == rule.only]
    if own and all(
        fleet.is_cold(item, now) and fleet.is_deferred(item, now) for item in own
    ):
        return VersionRule(None, rule.excluded)
    return rule


async def acquire_move_permit(
    acquire: Callable[[], Awaitable[bool]],
    fleet: Fleet,
    upstream: Upstream,
    deadline: Instant,
    clock: Clock,
) -> bool:
    """Take a permit to continue a moved run, if its new upstream has become cold.

    The run has stopped where it was, so it waits for a permit.

    Parameters
    ----------
    acquire : callable
        Takes a permit for the upstream; returns whether there was one.
    """
    now = clock.now()
    until_ms = min(deadline.mono_ms, now.mono_ms + MAX_MOVE_WAIT_MS)
    while fleet.is_cold(upstream, now):
        wait_ms = fleet.notices.cold.measure_deferral_ms(upstream.process, now)
        if not wait_ms and await acquire():
            return True
        now = clock.now()
        wait_ms = fleet.notices.cold.measure_deferral_ms(upstream.process, now)
        if now.mono_ms + wait_ms >= until_ms:
            return False
        await asyncio.sleep(max(wait_ms, MIN_MOVE_WAIT_MS) / 1000)
        now = clock.now()
    return True
