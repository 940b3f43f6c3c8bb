"""Batch of the engine stand-in."""

import asyncio
import heapq
import itertools


class Batch:
    """Limited number of places, given in the order of priority.

    Parameters
    ----------
    limit : int
        Number of places.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.in_flight = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()

    async def enter(self, rank: int) -> None:
        """Wait for a place; a lower rank goes first."""
        if self.in_flight < self.limit:
            self.in_flight += 1
            return
        place = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (rank, next(self._numbers), place))
        try:
            await place
        except asyncio.CancelledError:
            if place.done() and not place.cancelled():
                self.leave()
            raise

    def leave(self) -> None:
        """Give the place to the next in line."""
        while self._waiting:
            place = heapq.heappop(self._waiting)[2]
            if not place.done():
                place.set_result(None)
                return
        self.in_flight -= 1
