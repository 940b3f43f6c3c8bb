"""Limits on the requests to upstreams of a data centre that is used again.

They may be cold after an evacuation. Permits are taken for a limit, so that it holds
for all hosts together.
"""

from waxwingbarrow.core import Instant, UpstreamId

# Requests per second while this host, which may be the keeper of the permits, does not
# know yet that the evacuation was revoked.
CLOSED_LIMIT_PER_S = 0.0

# One process of an upstream; see `UpstreamNotices`.
Process = tuple[UpstreamId, int]


class ReturnLimits:
    """Limits of the processes that were evacuated, until they are warm again."""

    def __init__(self) -> None:
        # Limit in requests per second, and the monotonic time in ms of its end; None
        # while the evacuation lasts.
        self._limits: dict[Process, tuple[float, int | None]] = {}

    def close(self, process: Process) -> None:
        """Grant next to no permits for a process while it is evacuated."""
        self._limits[process] = (CLOSED_LIMIT_PER_S, None)

    def open(self, process: Process, limit_per_s: float, until: Instant) -> None:
        """Limit the requests to a process until a time, after its evacuation."""
        self._limits[process] = (limit_per_s, until.mono_ms)

    def remove_expired(self, now: Instant) -> None:
        """Remove the limits whose time is over."""
        self._limits = {
            process: (limit_per_s, until_ms)
            for process, (limit_per_s, until_ms) in self._limits.items()
            if until_ms is None or now.mono_ms < until_ms
        }

    def apply(self, process: Process, stated_per_s: float | None) -> float | None:
        """Return the lower one of this limit and the one that an upstream stated."""
        limited = self._limits.get(process)
        if limited is None:
            return stated_per_s
        return limited[0] if stated_per_s is None else min(limited[0], stated_per_s)
