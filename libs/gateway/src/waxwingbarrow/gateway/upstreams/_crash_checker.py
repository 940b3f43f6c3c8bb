"""Checks whether upstreams that dropped a request have crashed."""

import asyncio

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway.upstreams._crash_tracker import CrashTracker, Fingerprints
from waxwingbarrow.gateway.upstreams._fleet import Fleet
from waxwingbarrow.gateway.upstreams._upstreams import Upstream

# Delay after which a new connection shows whether an upstream that dropped a request
# has crashed.
CHECK_DELAY_S = 0.05


class CrashChecker:
    """Opens a connection to each upstream that dropped a request.

    Without it a crash would be noticed only by the next request, which avoids an
    upstream that has just failed.
    """

    def __init__(self, tracker: CrashTracker, fleet: Fleet, clock: Clock) -> None:
        self._tracker = tracker
        self._fleet = fleet
        self._clock = clock
        self._checks: dict[Upstream, asyncio.Task[None]] = {}

    def note_loss(
        self,
        fingerprints: Fingerprints,
        upstream: Upstream,
        first_event_ms: int | None,
        now: Instant,
    ) -> None:
        """Record a request that was lost, and start the check of its upstream.

        An upstream that is leaving closes its connections at its end, so nothing is
        recorded then.

        Parameters
        ----------
        first_event_ms : int or None
            Monotonic time of the first event of its stream.
        """
        entry = upstream.entry
        is_leaving = entry.leaving or self._fleet.notices.is_leaving(upstream.process)
        if is_leaving or upstream.gone:
            return
        self._tracker.note_loss(
            fingerprints, entry.upstream, upstream.incarnation, first_event_ms, now
        )
        if upstream not in self._checks:
            check = asyncio.create_task(self._check(upstream))
            self._checks[upstream] = check
            check.add_done_callback(lambda _: self._checks.pop(upstream, None))

    async def _check(self, upstream: Upstream) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        if await upstream.pool.check_refused(self._clock.now().mono_ms / 1000):
            now = self._clock.now()
            self._fleet.record_unreachable(upstream, now)
            name = upstream.entry.upstream
            self._tracker.note_crash(name, upstream.incarnation, now)
