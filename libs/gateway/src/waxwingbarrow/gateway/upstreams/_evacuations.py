"""Data centres whose upstreams get nothing, because the operator ordered so."""

import logging

from waxwingbarrow.core import DataCentre, Instant

logger = logging.getLogger("waxwingbarrow.gateway.evacuations")

# An order reaches each host that is in contact with the others within this time.
MAX_SPREAD_MS = 3_000
# A call that moves a run may wait this long before it reaches the source, and so may
# the request that continues the run.
MAX_MOVE_MS = 1_000


class Evacuations:
    """Evacuated data centres, as far as this host knows the operator's orders.

    Parameters
    ----------
    evacuation_ms : int
        Time after the order within which the last request may reach an upstream of the
        data centre.
    """

    def __init__(self, evacuation_ms: int) -> None:
        # Time after this host learned of an order within which it may move runs away.
        # The call that moves a run is sent to the evacuated data centre.
        self._move_ms = max(evacuation_ms - MAX_SPREAD_MS - MAX_MOVE_MS, 0)
        self._ordered_at: dict[DataCentre, Instant] = {}
        self._out_of_contact_ms: int | None = None

    @property
    def count(self) -> int:
        """Number of evacuated data centres."""
        return len(self._ordered_at)

    def note_order(self, data_centre: DataCentre, offset: int, now: Instant) -> None:
        """Record an order; one that is repeated changes nothing."""
        if data_centre not in self._ordered_at:
            self._ordered_at[data_centre] = now
            logger.info(
                "data centre evacuated",
                extra={"data_centre": data_centre, "offset": offset},
            )

    def note_revocation(self, data_centre: DataCentre, now: Instant) -> bool:
        """Record that an order was revoked; return whether it was in force."""
        ordered_at = self._ordered_at.pop(data_centre, None)
        if ordered_at is None:
            return False
        logger.info(
            "evacuation revoked",
            extra={
                "data_centre": data_centre,
                "lasted_ms": now.mono_ms - ordered_at.mono_ms,
            },
        )
        return True

    def note_out_of_contact(self, now: Instant) -> None:
        """Record that until now this host may not have learned of orders in time."""
        self._out_of_contact_ms = now.mono_ms

    def is_evacuated(self, data_centre: DataCentre) -> bool:
        """Return whether nothing is to be sent to the upstreams of a data centre."""
        return data_centre in self._ordered_at

    def measure_move_left_ms(self, data_centre: DataCentre, now: Instant) -> int:
        """Return for how long runs may still be moved away from a data centre.

        The result is 0 unless the data centre is evacuated. A host that was out of
        contact does not know the age of an order, so it moves none.
        """
        ordered_at = self._ordered_at.get(data_centre)
        if ordered_at is None:
            return 0
        out_of_contact_ms = self._out_of_contact_ms
        if (
            out_of_contact_ms is not None
            and ordered_at.mono_ms - out_of_contact_ms < MAX_SPREAD_MS
        ):
            return 0
        return max(ordered_at.mono_ms + self._move_ms - now.mono_ms, 0)

    def may_continue(self, data_centre: DataCentre, now: Instant) -> bool:
        """Return whether a moved run may be continued in a data centre."""
        if not self.is_evacuated(data_centre):
            return True
        left_ms = self.measure_move_left_ms(data_centre, now.plus_ms(-MAX_MOVE_MS))
        return left_ms > 0
