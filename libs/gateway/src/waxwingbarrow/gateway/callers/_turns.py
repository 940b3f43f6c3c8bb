"""Turns of connections whose bytes are expensive to parse."""

import asyncio
from typing import Protocol

# Time for which a connection parses before others have a turn.
MAX_TURN_MS = 1


class TurnTaker(Protocol):
    """A connection that waits for a turn."""

    def take_turn(self) -> None:
        """Go on parsing."""


class TurnQueue:
    """Gives one connection a turn in each iteration of the event loop.

    A body in chunks of a few bytes takes far more time to parse than to send. If each
    of many connections parsed in every iteration, ordinary requests would wait for all
    of them several times.
    """

    def __init__(self) -> None:
        # In order; the values are not used.
        self._queue: dict[TurnTaker, None] = {}

    @property
    def is_busy(self) -> bool:
        """Whether connections wait for a turn."""
        return bool(self._queue)

    def add(self, connection: TurnTaker) -> None:
        """Let a connection take its turn after the others, unless it waits already."""
        if not self._queue:
            asyncio.get_running_loop().call_soon(self._run_next)
        self._queue.setdefault(connection)

    def _run_next(self) -> None:
        connection = next(iter(self._queue))
        if len(self._queue) > 1:
            asyncio.get_running_loop().call_soon(self._run_next)
        del self._queue[connection]
        connection.take_turn()
