"""Simple cost model of model engines, for comparing routing decisions."""

import heapq
from collections import OrderedDict, deque
from collections.abc import Sequence

import attrs


@attrs.frozen
class EngineCosts:
    """Speed and memory of one engine.

    Parameters
    ----------
    prefill_tokens_per_s : float
        Prompt tokens processed per second, one prompt after the other.
    token_ms : float
        Time per generated token in an empty batch; twice as long in a full one.
    batch_limit : int
        Requests that run at the same time.
    cache_blocks : int
        Blocks in the prefix cache; the least recently used is evicted.
    block_tokens : int
        Tokens per block.
    """

    prefill_tokens_per_s: float = 8_000.0
    token_ms: float = 12.0
    batch_limit: int = 16
    cache_blocks: int = 1_500
    block_tokens: int = 64

    @property
    def decode_tokens_per_s(self) -> float:
        """Tokens generated per second by a full batch."""
        return self.batch_limit * 1000 / (2 * self.token_ms)


@attrs.frozen
class RequestCost:
    """What one request cost an engine.

    Parameters
    ----------
    cached_tokens, recomputed_tokens : int
        Prompt tokens found in the prefix cache, and those processed.
    first_token_ms : float
        Time from the arrival to the first token.
    end_ms : float
        Time at which the response ends.
    stored, evicted : tuple of int
        Blocks that entered and left the prefix cache.
    """

    cached_tokens: int
    recomputed_tokens: int
    first_token_ms: float
    end_ms: float
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


@attrs.frozen
class EngineLoad:
    """Load of an engine at one time; `queued_tokens` are not yet prefilled."""

    in_flight: int
    queued_tokens: int


class EngineModel:
    """One engine that serves prompts in the order of arrival.

    All times of a request are computed when it arrives, so the model needs no event
    loop. Calls must be made in the order of time.
    """

    def __init__(self, costs: EngineCosts) -> None:
        self.costs = costs
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._end_times_ms: list[float] = []
        # End and tokens of each prefill that has not ended.
        self._pending_prefills: deque[tuple[float, int]] = deque()
        self._prefill_free_ms = 0.0

    def serve(
        self,
        blocks: Sequence[int],
        prompt_tokens: int,
        output_tokens: int,
        now_ms: float,
    ) -> RequestCost:
        """Run one request that arrives at `now_ms`."""
        cached, stored, evicted = self._update_cache(blocks)
        recomputed = max(prompt_tokens - cached, 1)
        self._drop_ended(now_ms)
        start_ms = max(now_ms, self._prefill_free_ms)
        if len(self._end_times_ms) >= self.costs.batch_limit:
            waiting = len(self._end_times_ms) - self.costs.batch_limit
            start_ms = max(
                start_ms, heapq.nsmallest(waiting + 1, self._end_times_ms)[-1]
            )
        first_token_at_ms = (
            start_ms + 1000 * recomputed / self.costs.prefill_tokens_per_s
        )
        running = min(len(self._end_times_ms), self.costs.batch_limit)
        decode_ms_per_token = self.costs.token_ms * (
            1 + running / self.costs.batch_limit
        )
        end_ms = first_token_at_ms + output_tokens * decode_ms_per_token
        self._prefill_free_ms = first_token_at_ms
        self._pending_prefills.append((first_token_at_ms, recomputed))
        heapq.heappush(self._end_times_ms, end_ms)
        return RequestCost(
            cached, recomputed, first_token_at_ms - now_ms, end_ms, stored, evicted
        )

    def report_load(self, now_ms: float) -> EngineLoad:
        """Return the load at `now_ms`."""
        self._drop_ended(now_ms)
        return EngineLoad(
            len(self._end_times_ms), sum(tokens for _, tokens in self._pending_prefills)
        )

    def _drop_ended(self, now_ms: float) -> None:
        while self._end_times_ms and self._end_times_ms[0] <= now_ms:
            heapq.heappop(self._end_times_ms)
        while self._pending_prefills and self._pending_prefills[0][0] <= now_ms:
            self._pending_prefills.popleft()

    def _update_cache(
        self, blocks: Sequence[int]
    ) -> tuple[int, tuple[int, ...], tuple[int, ...]]:
        matched = 0
        while matched < len(blocks) and blocks[matched] in self._cache:
            matched += 1
        # Inserted from last to first, so that the end of a prefix is evicted first.
        for block in reversed(blocks):
            self._cache.pop(block, None)
            self._cache[block] = None
        evicted = []
        while len(self._cache) > self.costs.cache_blocks:
            evicted.append(self._cache.popitem(last=False)[0])
        cached = matched * self.costs.block_tokens
        return cached, tuple(blocks[matched:]), tuple(evicted)
