"""Index of the prompt parts that model engines are assumed to cache."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs

from waxwingbarrow.core import UpstreamId

# Parts tracked for one engine: callers may name any number of parts without tokens.
MAX_CACHED_PARTS = 4_096


@attrs.frozen
class PromptPart:
    """A part of a prompt, identified by the caller.

    Parameters
    ----------
    part : int
        Identifier of the part, the same in every prompt that contains it.
    tokens : int
        Length of the part in tokens.
    """

    part: int
    tokens: int


@attrs.define
class _EngineCache:
    parts: OrderedDict[int, int] = attrs.Factory(OrderedDict)
    tokens: int = 0


class PartIndex:
    """Tracks which prompt parts each engine caches, evicting the least recently used.

    Unlike `PrefixIndex` it needs no block hashes, because callers identify the parts.

    Parameters
    ----------
    capacity_tokens : int
        Assumed capacity of an engine's cache.

    Examples
    --------
    >>> index = PartIndex(capacity_tokens=1000)
    >>> prompt = [PromptPart(1, 300), PromptPart(2, 400)]
    >>> index.record_prompt(UpstreamId("u"), prompt)
    >>> other_prompt = [PromptPart(1, 300), PromptPart(9, 50), PromptPart(2, 400)]
    >>> index.count_cached(UpstreamId("u"), other_prompt)
    300
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self._caches: dict[UpstreamId, _EngineCache] = {}

    def record_prompt(self, upstream: UpstreamId, parts: Sequence[PromptPart]) -> None:
        """Record that an engine receives a prompt with these parts."""
        cache = self._caches.setdefault(upstream, _EngineCache())
        for part in parts:
            if part.tokens > self.capacity_tokens:
                # No engine can cache it, nor what follows it.
                break
            if part.part in cache.parts:
                cache.parts.move_to_end(part.part)
            else:
                cache.parts[part.part] = part.tokens
                cache.tokens += part.tokens
        while (
            cache.tokens > self.capacity_tokens or len(cache.parts) > MAX_CACHED_PARTS
        ) and len(cache.parts) > 1:
            _, tokens = cache.parts.popitem(last=False)
            cache.tokens -= tokens

    def count_cached(self, upstream: UpstreamId, parts: Sequence[PromptPart]) -> int:
        """Return how many leading tokens of a prompt an engine has cached."""
        cache = self._caches.get(upstream)
        if cache is None:
            return 0
        count = 0
        for part in parts:
            if part.part not in cache.parts:
                break
            count += part.tokens
        return count

    def forget(self, upstream: UpstreamId) -> None:
        """Remove an engine that ended or lost its cache."""
        self._caches.pop(upstream, None)
