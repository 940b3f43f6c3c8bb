"""Upstreams from which running streams are moved, and whether a move may go on.

The call that moves a run is sent to its source, and a run whose copy failed continues
there. Both may reach an evacuated data centre only shortly after the order.
"""

from waxwingbarrow.core import Instant
from waxwingbarrow.gateway.upstreams import Fleet, Moved, Upstream

# Ticks that are further apart show that the process was suspended. It may then learn of
# an order long after the other hosts.
MAX_TICK_MS = 1_000


def may_continue(moved: Moved, fleet: Fleet, now: Instant) -> bool:
    """Return whether a moved run may be continued where it was moved to."""
    return fleet.evacuations.may_continue(moved.upstream.entry.data_centre, now)


class MoveSources:
    """Lists the upstreams whose streams are to be moved, with the time left.

    These are upstreams that leave, and those of data centres whose evacuation was
    ordered a moment ago.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._last_ms: int | None = None

    def list(self, now: Instant) -> list[tuple[Upstream, float]]:
        """Return the upstreams and the time in ms within which to move; see `Fleet`.

        Called at each tick, to notice when the process was suspended.
        """
        evacuations = self._fleet.evacuations
        if self._last_ms is not None and now.mono_ms - self._last_ms > MAX_TICK_MS:
            evacuations.note_out_of_contact(now)
        self._last_ms = now.mono_ms
        sources = [
            (upstream, left_ms)
            for upstream, left_ms in self._fleet.list_leaving(now)
            if not self._fleet.is_evacuated(upstream)
        ]
        for upstream in self._fleet.upstreams.values():
            left_ms = evacuations.measure_move_left_ms(upstream.entry.data_centre, now)
            if left_ms and upstream.jobs:
                sources.append((upstream, float(left_ms)))
        return sources
