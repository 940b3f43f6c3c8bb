"""Index of the prompt prefixes that upstreams are assumed to cache."""

import enum
from collections import OrderedDict
from collections.abc import Sequence

import attrs

from waxwingbarrow.core import Incarnation, Instant, UpstreamId

# Maximum delay of a cache event. A removal that is received within this time after
# this host's last request with the block may precede that request, which has stored
# the block again.
EVENT_LAG_MS = 2_000
# The estimated size of an upstream's cache shrinks faster than it grows: a prefix
# wrongly assumed to be cached costs a full prefill, and one wrongly assumed to be
# evicted often costs nothing.
CAPACITY_SHRINK_FACTOR = 0.9
CAPACITY_GROWTH_FACTOR = 1.01
MIN_CAPACITY_BLOCKS = 16


class CacheEventKind(enum.StrEnum):
    """Kind of a change in the prefix cache of an upstream."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@attrs.frozen(kw_only=True)
class CacheEvent:
    """A change that an upstream reports in its cache; may be late, repeated or lost.

    Parameters
    ----------
    sequence : int
        Number of the event within the upstream's incarnation. The upstream numbers its
        events without gaps, so a gap shows that events were lost.
    blocks : tuple of int
        Block hashes as computed by `hash_prefix`.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    sequence: int
    kind: CacheEventKind
    blocks: tuple[int, ...] = ()


@attrs.frozen
class _Block:
    last_used_ms: int
    from_routing: bool  # False if known only from cache events


class _UpstreamCache:
    """Blocks of one upstream, least recently used first."""

    def __init__(self, capacity_blocks: float) -> None:
        self.blocks: OrderedDict[int, _Block] = OrderedDict()
        self.capacity_blocks = capacity_blocks
        self.incarnation: Incarnation | None = None
        self.next_sequence: int | None = None

    def count_match(self, blocks: Sequence[int]) -> int:
        count = 0
        for block in blocks:
            if block not in self.blocks:
                break
            count += 1
        return count


class PrefixIndex:
    """Tracks which prompt blocks each upstream caches, in bounded memory.

    It is updated from this host's own requests (`record_prompt`), from the cached
    tokens that responses report (`adjust_capacity`) and from cache events
    (`apply_event`). An entry may be wrong: this costs recomputation but never changes
    an answer.

    Parameters
    ----------
    max_blocks : int
        Maximum number of entries in total; an entry takes about 230 bytes.
    blocks_per_upstream : int
        Initial estimate of the number of blocks from this host's requests that an
        upstream keeps.
    block_tokens : int
        Tokens per block.

    Examples
    --------
    >>> index = PrefixIndex(max_blocks=100, block_tokens=64)
    >>> index.record_prompt(UpstreamId("u1"), (1, 2), Instant(0, 0))
    >>> index.matched_tokens(UpstreamId("u1"), (1, 2, 3))
    128
    """

    def __init__(
        self,
        max_blocks: int = 200_000,
        blocks_per_upstream: int = 8_192,
        block_tokens: int = 64,
    ) -> None:
        self.block_tokens = block_tokens
        self.lost_events = 0
        self._max_blocks = max_blocks
        self._initial_capacity_blocks = float(min(blocks_per_upstream, max_blocks))
        self._caches: OrderedDict[UpstreamId, _UpstreamCache] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def record_prompt(
        self, upstream: UpstreamId, blocks: Sequence[int], now: Instant
    ) -> None:
        """Record that this host sends a prompt with these blocks to `upstream`."""
        self._store(upstream, blocks, _Block(now.mono_ms, from_routing=True))

    def adjust_capacity(
        self,
        upstream: UpstreamId,
        blocks: Sequence[int],
        expected_tokens: int,
        cached_tokens: int,
    ) -> None:
        """Adjust the estimated cache size of an upstream to a reported cache hit.

        The estimate shrinks if the response reports at least one block fewer than
        expected, and grows otherwise.

        Parameters
        ----------
        upstream : UpstreamId
            Upstream that served the request.
        blocks : sequence of int
            Blocks of the request.
        expected_tokens : int
            Result of `matched_tokens` when the upstream was chosen.
        cached_tokens : int
            Number of cached prompt tokens that the response reports.
        """
        cache = self._caches.get(upstream)
        if cache is None or not blocks or expected_tokens == 0:
            return
        if cached_tokens + self.block_tokens <= expected_tokens:
            cache.capacity_blocks = max(
                MIN_CAPACITY_BLOCKS, cache.capacity_blocks * CAPACITY_SHRINK_FACTOR
            )
            self._trim(cache)
        else:
            cache.capacity_blocks = min(
                self._max_blocks, cache.capacity_blocks * CAPACITY_GROWTH_FACTOR
            )

    def matched_tokens(self, upstream: UpstreamId, blocks: Sequence[int]) -> int:
        """Return how many leading tokens of a prompt `upstream` is assumed to cache."""
        cache = self._caches.get(upstream)
        return 0 if cache is None else cache.count_match(blocks) * self.block_tokens

    def forget(self, upstream: UpstreamId) -> None:
        """Remove all entries of an upstream that ended or was replaced."""
        cache = self._caches.pop(upstream, None)
        if cache is not None:
            self._size -= len(cache.blocks)

    def apply_event(self, event: CacheEvent, now: Instant) -> None:
        """Apply a cache event; repeated events and old incarnations are ignored.

        After a gap, entries known only from events are dropped, because their removal
        may be among the lost events. Entries from this host's own requests are kept,
        because `adjust_capacity` compensates for wrong ones.
        """
        cache = self._get_or_create_cache(event.upstream)
        if cache.incarnation is not None and event.incarnation < cache.incarnation:
            return
        if cache.incarnation is not None and event.incarnation > cache.incarnation:
            self.forget(event.upstream)
            cache = self._get_or_create_cache(event.upstream)
        cache.incarnation = event.incarnation
        if cache.next_sequence is not None:
            if event.sequence < cache.next_sequence:
                return
            lost = event.sequence - cache.next_sequence
            if lost:
                self.lost_events += lost
                event_only = [
                    key for key, item in cache.blocks.items() if not item.from_routing
                ]
                self._remove(cache, event_only)
        cache.next_sequence = event.sequence + 1
        match event.kind:
            case CacheEventKind.STORED:
                self._store(
                    event.upstream,
                    event.blocks,
                    _Block(now.mono_ms, from_routing=False),
                )
            case CacheEventKind.REMOVED:
                recent_since_ms = now.mono_ms - EVENT_LAG_MS
                self._remove(
                    cache,
                    [
                        key
                        for key in event.blocks
                        if (item := cache.blocks.get(key)) is not None
                        and not (
                            item.from_routing and item.last_used_ms > recent_since_ms
                        )
                    ],
                )
            case CacheEventKind.CLEARED:
                self._remove(cache, list(cache.blocks))

    def _get_or_create_cache(self, upstream: UpstreamId) -> _UpstreamCache:
        cache = self._caches.get(upstream)
        if cache is None:
            cache = self._caches[upstream] = _UpstreamCache(
                self._initial_capacity_blocks
            )
        return cache

    def _store(
        self, upstream: UpstreamId, blocks: Sequence[int], entry: _Block
    ) -> None:
        cache = self._get_or_create_cache(upstream)
        self._caches.move_to_end(upstream)
        # Within a prompt, the last block becomes the least recently used, so that
        # eviction shortens a prefix from its end and does not remove its first blocks.
        for block in reversed(blocks):
            known = cache.blocks.pop(block, None)
            self._size += known is None
            from_routing = entry.from_routing or (
                known is not None and known.from_routing
            )
            last_used_ms = (
                known.last_used_ms
                if known and not entry.from_routing
                else entry.last_used_ms
            )
            cache.blocks[block] = _Block(last_used_ms, from_routing)
        self._trim(cache)
        while self._size > self._max_blocks:
            upstream, oldest_cache = next(iter(self._caches.items()))
            if not oldest_cache.blocks:
                del self._caches[upstream]
                continue
            oldest_cache.blocks.popitem(last=False)
            self._size -= 1

    def _trim(self, cache: _UpstreamCache) -> None:
        while len(cache.blocks) > cache.capacity_blocks:
            cache.blocks.popitem(last=False)
            self._size -= 1

    def _remove(self, cache: _UpstreamCache, blocks: Sequence[int]) -> None:
        for block in blocks:
            if cache.blocks.pop(block, None) is not None:
                self._size -= 1
