"""Prefix cache of the engine stand-in."""

import time
from collections import OrderedDict
from typing import Any

from waxwingbarrow.standins._text import BLOCK_CHARS, CHARS_PER_TOKEN

BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN


class PrefixCache:
    """Least-recently-used cache of prefix blocks that publishes its changes.

    Parameters
    ----------
    max_tokens : int
        Capacity.
    event_lag_s : float
        Time until an event can be read.
    lose_every : int
        Every n-th event is lost; 0 for none.
    """

    def __init__(self, max_tokens: int, event_lag_s: float, lose_every: int) -> None:
        self._max_blocks = max_tokens // BLOCK_TOKENS
        self._event_lag_s = event_lag_s
        self._lose_every = lose_every
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: list[tuple[float, dict[str, Any]]] = []
        self._next_number = 0

    def count_cached_tokens(self, blocks: tuple[int, ...]) -> int:
        """Return the tokens of the longest cached prefix."""
        matched = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return matched * BLOCK_TOKENS

    def store(self, blocks: tuple[int, ...]) -> int:
        """Add blocks, evict the oldest ones, and return the tokens added."""
        added = [block for block in blocks if block not in self._blocks]
        # Later blocks go first, so that a prefix is evicted from its end.
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        if added:
            self._publish("stored", added)
        evicted = []
        while len(self._blocks) > self._max_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        if evicted:
            self._publish("evicted", evicted)
        return len(added) * BLOCK_TOKENS

    def read_events(self, from_number: int) -> dict[str, Any]:
        """Return the events that are old enough, in the form of the protocol."""
        visible_s = time.monotonic() - self._event_lag_s
        events = [
            event
            for at_s, event in self._events
            if at_s <= visible_s and event["number"] >= from_number
        ]
        following = events[-1]["number"] + 1 if events else from_number
        return {"next": following, "events": events}

    def _publish(self, kind: str, blocks: list[int]) -> None:
        number = self._next_number
        self._next_number += 1
        if not self._lose_every or (number + 1) % self._lose_every:
            event = {"number": number, "kind": kind, "blocks": blocks}
            self._events.append((time.monotonic(), event))
