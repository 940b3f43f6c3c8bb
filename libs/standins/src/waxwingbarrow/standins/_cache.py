"""Prefix cache of the engine stand-in."""

import time
from collections import OrderedDict
from typing import Any

from waxwingbarrow.standins._text import BLOCK_CHARS, CHARS_PER_TOKEN

BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN


class PrefixCache:
    """LRU cache of prefix blocks that publishes stored and evicted blocks as events.

    Parameters
    ----------
    max_tokens : int
        Capacity in tokens; only whole blocks are cached.
    event_lag_s : float
        Delay until an event can be read.
    lose_event_every : int
        Every n-th event is never published; 0 publishes all.
    """

    def __init__(
        self, max_tokens: int, event_lag_s: float, lose_event_every: int
    ) -> None:
        self._max_blocks = max_tokens // BLOCK_TOKENS
        self._event_lag_s = event_lag_s
        self._lose_event_every = lose_event_every
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: list[tuple[float, dict[str, Any]]] = []
        self._next_number = 0

    def count_cached_tokens(self, blocks: tuple[int, ...]) -> int:
        """Return the number of tokens in the longest cached prefix."""
        matched = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return matched * BLOCK_TOKENS

    def store(self, blocks: tuple[int, ...]) -> int:
        """Add blocks, evict the least recently used, return the tokens added."""
        added = [block for block in blocks if block not in self._blocks]
        # The last block becomes the oldest entry, so that a prefix is evicted from
        # its end.
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
        """Return the visible events as the body of ``GET /v1/cache-events``."""
        visible_until_s = time.monotonic() - self._event_lag_s
        events = [
            event
            for published_s, event in self._events
            if published_s <= visible_until_s and event["number"] >= from_number
        ]
        next_number = events[-1]["number"] + 1 if events else from_number
        return {"next": next_number, "events": events}

    def _publish(self, kind: str, blocks: list[int]) -> None:
        number = self._next_number
        self._next_number += 1
        if not self._lose_event_every or (number + 1) % self._lose_event_every:
            event = {"number": number, "kind": kind, "blocks": blocks}
            self._events.append((time.monotonic(), event))
