"""Limit on the streams that the engine stand-in runs at once."""

import asyncio
import heapq
import itertools


class Batch:
    """Slots for running streams, granted by priority, then in order of arrival.

    Parameters
    ----------
    limit : int
        Number of slots.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.in_flight = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrival_numbers = itertools.count()

    async def acquire_slot(self, rank: int) -> None:
        """Wait for a free slot; a lower rank is served first."""
        if self.in_flight < self.limit:
            self.in_flight += 1
            return
        slot = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (rank, next(self._arrival_numbers), slot))
        try:
            await slot
        except asyncio.CancelledError:
            # The slot may have been granted just before the cancellation.
            if slot.done() and not slot.cancelled():
                self.release_slot()
            raise

    def release_slot(self) -> None:
        """Pass the slot to the first waiting stream, or free it."""
        while self._waiting:
            slot = heapq.heappop(self._waiting)[2]
            if not slot.done():
                slot.set_result(None)
                return
        self.in_flight -= 1
