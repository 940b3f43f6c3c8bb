"""Index of the prompt prefixes that upstreams are believed to cache."""

import enum
from collections import OrderedDict
from collections.abc import Sequence

import attrs

from waxwingbarrow.core import Incarnation, Instant, UpstreamId

# A removal that is reported this soon after the host's own request may be older than
# the request, which stored the block again.
EVENT_LAG_MS = 2_000
# The estimate of an upstream's cache shrinks faster than it grows: a prefix wrongly
# believed to be cached costs a full prefill, one wrongly given up often nothing.
SHRINK_FACTOR = 0.9
GROWTH_FACTOR = 1.01
MIN_CAPACITY_BLOCKS = 16


class CacheEventKind(enum.StrEnum):
    """What an upstream reports about its prefix cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@attrs.frozen(kw_only=True)
class CacheEvent:
    """A report of an upstream about its cache; may be late, repeated or missing.

    Parameters
    ----------
    sequence : int
        Number of the event within the upstream's incarnation, without holes where it
        is issued.
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
    used_ms: int
    own: bool  # known from this host's own routing, not only from an event


class _Cache:
    """Blocks of one upstream, least recently used first."""

    def __init__(self, capacity: float) -> None:
        self.blocks: OrderedDict[int, _Block] = OrderedDict()
        self.capacity = capacity
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
    """Which prompt blocks each upstream caches, in bounded memory.

    It is fed by the host's own routing (`learn`), by what responses say about cached
    tokens (`correct`) and by cache events (`apply_event`). Every entry is a belief:
    a wrong one costs recomputation, never a wrong answer.

    Parameters
    ----------
    max_blocks : int
        Most entries in total; an entry takes about 230 bytes.
    blocks_per_upstream : int
        First estimate of how many blocks of this host's requests an upstream keeps.
    block_tokens : int
        Tokens per block.

    Examples
    --------
    >>> index = PrefixIndex(max_blocks=100, block_tokens=64)
    >>> index.learn(UpstreamId("u1"), (1, 2), Instant(0, 0))
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
        self._first_capacity = float(min(blocks_per_upstream, max_blocks))
        self._caches: OrderedDict[UpstreamId, _Cache] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def learn(self, upstream: UpstreamId, blocks: Sequence[int], now: Instant) -> None:
        """Note that this host sends a prompt with these blocks to `upstream`."""
        self._store(upstream, blocks, _Block(now.mono_ms, own=True))

    def correct(
        self,
        upstream: UpstreamId,
        blocks: Sequence[int],
        expected_tokens: int,
        cached_tokens: int,
    ) -> None:
        """Compare the expected match of a request with what the upstream reported.

        Parameters
        ----------
        upstream : UpstreamId
            Upstream that served the request.
        blocks : sequence of int
            Blocks of the request.
        expected_tokens : int
            The `matched_tokens` of the choice.
        cached_tokens : int
            Cached tokens in the response.
        """
        cache = self._caches.get(upstream)
        if cache is None or not blocks or expected_tokens == 0:
            return
        if cached_tokens + self.block_tokens <= expected_tokens:
            cache.capacity = max(MIN_CAPACITY_BLOCKS, cache.capacity * SHRINK_FACTOR)
            self._trim(cache)
        else:
            cache.capacity = min(self._max_blocks, cache.capacity * GROWTH_FACTOR)

    def matched_tokens(self, upstream: UpstreamId, blocks: Sequence[int]) -> int:
        """Return how many leading tokens of a prompt `upstream` seems to cache."""
        cache = self._caches.get(upstream)
        return 0 if cache is None else cache.count_match(blocks) * self.block_tokens

    def forget(self, upstream: UpstreamId) -> None:
        """Drop everything about an upstream that ended or was replaced."""
        cache = self._caches.pop(upstream, None)
        if cache is not None:
            self._size -= len(cache.blocks)

    def apply_event(self, event: CacheEvent, now: Instant) -> None:
        """Apply a cache event; repeated events and old incarnations are ignored.

        After a gap, entries known only from events are dropped: their removal may be
        among the lost events. Entries from own routing stay, as `correct` checks them.
        """
        cache = self._open(event.upstream)
        if cache.incarnation is not None and event.incarnation < cache.incarnation:
            return
        if cache.incarnation is not None and event.incarnation > cache.incarnation:
            self.forget(event.upstream)
            cache = self._open(event.upstream)
        cache.incarnation = event.incarnation
        if cache.next_sequence is not None:
            if event.sequence < cache.next_sequence:
                return
            lost = event.sequence - cache.next_sequence
            if lost:
                self.lost_events += lost
                foreign = [key for key, item in cache.blocks.items() if not item.own]
                self._remove(cache, foreign)
        cache.next_sequence = event.sequence + 1
        match event.kind:
            case CacheEventKind.STORED:
                self._store(
                    event.upstream, event.blocks, _Block(now.mono_ms, own=False)
                )
            case CacheEventKind.REMOVED:
                recent_ms = now.mono_ms - EVENT_LAG_MS
                self._remove(
                    cache,
                    [
                        key
                        for key in event.blocks
                        if (item := cache.blocks.get(key)) is not None
                        and not (item.own and item.used_ms > recent_ms)
                    ],
                )
            case CacheEventKind.CLEARED:
                self._remove(cache, list(cache.blocks))

    def _open(self, upstream: UpstreamId) -> _Cache:
        cache = self._caches.get(upstream)
        if cache is None:
            cache = self._caches[upstream] = _Cache(self._first_capacity)
        return cache

    def _store(
        self, upstream: UpstreamId, blocks: Sequence[int], entry: _Block
    ) -> None:
        cache = self._open(upstream)
        self._caches.move_to_end(upstream)
        # The last block becomes the least recently used, so that eviction shortens
        # a prefix from its end and never leaves a hole at its start.
        for block in reversed(blocks):
            known = cache.blocks.pop(block, None)
            self._size += known is None
            own = entry.own or (known is not None and known.own)
            used_ms = known.used_ms if known and not entry.own else entry.used_ms
            cache.blocks[block] = _Block(used_ms, own)
        self._trim(cache)
        while self._size > self._max_blocks:
            upstream, oldest = next(iter(self._caches.items()))
            if not oldest.blocks:
                del self._caches[upstream]
                continue
            oldest.blocks.popitem(last=False)
            self._size -= 1

    def _trim(self, cache: _Cache) -> None:
        while len(cache.blocks) > cache.capacity:
            cache.blocks.popitem(last=False)
            self._size -= 1

    def _remove(self, cache: _Cache, blocks: Sequence[int]) -> None:
        for block in blocks:
            if cache.blocks.pop(block, None) is not None:
                self._size -= 1
