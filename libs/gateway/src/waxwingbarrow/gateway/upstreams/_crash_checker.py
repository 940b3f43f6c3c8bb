"""Checks whether upstreams that dropped a request have crashed."""

import asyncio
from collections.abc import Callable

from waxwingbarrow.core import Clock, Instant, ServiceName, VersionName
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

    Upstreams that are to end are left out: they close their connections and refuse new
    ones then, which says nothing about the requests that they ran.

    Parameters
    ----------
    is_stopped : callable
        Returns whether a completed rollout stops the upstreams of a service and
        version.
    """

    def __init__(
        self,
        tracker: CrashTracker,
        fleet: Fleet,
        clock: Clock,
        is_stopped: Callable[[ServiceName, VersionName], bool],
    ) -> None:
        self._tracker = tracker
        self._fleet = fleet
        self._clock = clock
        self._is_stopped = is_stopped
        self._checks: dict[Upstream, asyncio.Task[None]] = {}

    def note_loss(
        self,
        fingerprints: Fingerprints,
        upstream: Upstream,
        first_event_ms: int | None,
        now: Instant,
    ) -> None:
        """Record a request that was lost, and start the check of its upstream.

        Parameters
        ----------
        first_event_ms : int or None
            Monotonic time of the first event of its stream.
        """
        if self._is_to_end(upstream):
            return
        name = upstream.entry.upstream
        self._tracker.note_loss(
            fingerprints, name, upstream.incarnation, first_event_ms, now
        )
        if upstream not in self._checks:
            check = asyncio.create_task(self._check(upstream))
            self._checks[upstream] = check
            check.add_done_callback(lambda _: self._checks.pop(upstream, None))

    def note_refusal(self, upstream: Upstream, now: Instant) -> None:
        """Record that an upstream refused a new connection."""
        if not self._is_to_end(upstream):
            name = upstream.entry.upstream
            self._tracker.note_crash(name, upstream.incarnation, now)

    def _is_to_end(self, upstream: Upstream) -> bool:
        entry = upstream.entry
        return self._fleet.is_leaving(upstream) or self._is_stopped(
            entry.service, entry.version
        )

    async def _check(self, upstream: Upstream) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        if await upstream.pool.check_refused(self._clock.now().mono_ms / 1000):
            now = self._clock.now()
            self._fleet.record_unreachable(upstream, now)
            # What this host has learned meanwhile may explain the end.
            self.note_refusal(upstream, now)
