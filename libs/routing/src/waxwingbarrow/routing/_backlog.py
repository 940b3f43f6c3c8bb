"""Backlog and speed of engines, from the placements of one host for all hosts.

Reports of load arrive after most prompts have been prefilled already. A host that
places the requests of all hosts knows the backlog without them: what it placed, less
what the engines have prefilled since. From the times of the first events it learns how
fast each engine is, and which ones have gone silent.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Container, Hashable

import attrs

from waxwingbarrow.core import Instant, UpstreamId, in_range
from waxwingbarrow.routing._engine_speeds import PrefillTime


@attrs.frozen(kw_only=True)
class BacklogPolicy:
    """Constants of `BacklogTracker`.

    Parameters
    ----------
    prefill_tokens_per_ms : float
        Prefill rate of an engine whose slowdown is 1.
    report_lag_ms : int
        Age at which a placement is contained in the reports of load.
    fixed_ms : float
        Time to the first event that does not depend on the prompt.
    min_expected_ms : float
        Expected times below this say little about an engine's speed.
    slowdown_weight : float
        Weight of the newest first event in the moving average of the slowdown.
    max_slowdown : float
        Bound on a single observation.
    slowdown_half_life_ms : float
        Time in which an engine without first events returns halfway to the slowdown of
        all engines, so that it is tried again.
    silence_ms : float
        Time beyond twice the expected one after which a first event is overdue.
    forget_ms : float
        Age at which an overdue placement no longer counts, so that a silent engine is
        tried again.
    """

    prefill_tokens_per_ms: float = attrs.field(
        default=55.0, validator=in_range(0.1, 1e5)
    )
    report_lag_ms: int = attrs.field(default=750, validator=in_range(0, 60_000))
    fixed_ms: float = attrs.field(default=25.0, validator=in_range(0, 1e4))
    min_expected_ms: float = attrs.field(default=40.0, validator=in_range(1, 1e4))
    slowdown_weight: float = attrs.field(default=0.2, validator=in_range(0, 1))
    max_slowdown: float = attrs.field(default=10.0, validator=in_range(1, 1e3))
    slowdown_half_life_ms: float = attrs.field(
        default=3_000.0, validator=in_range(1, 1e6)
    )
    silence_ms: float = attrs.field(default=1_000.0, validator=in_range(1, 1e5))
    forget_ms: float = attrs.field(default=5_000.0, validator=in_range(1, 1e6))


@attrs.frozen
class _Placed:
    """A request without a first event.

    Parameters
    ----------
    placed_ms : int
        Monotonic time at which it was placed.
    expected_ms : float
        Expected time to its first event.
    prefill_tokens : int
        Its prompt tokens that are not cached.
    is_first : bool
        Whether no other request waited for its first event.
    has_slot : bool
        Whether a slot was free.
    """

    placed_ms: int
    expected_ms: float
    prefill_tokens: int
    is_first: bool
    has_slot: bool


@attrs.define
class _Backlog:
    """Backlog and speed of one engine.

    Parameters
    ----------
    slowdown : float
        Time to the first event as a multiple of the expected one, at `slowdown_ms`.
    pending_tokens : float
        Prompt tokens to prefill at `updated_ms`, in monotonic ms.
    last_event_ms : int
        Monotonic time of the placement of the newest request with a first event.
    waiting : OrderedDict
        Requests without a first event by key, the oldest first.
    recent_ms : deque
        Monotonic times of the placements that reports of load may not contain yet.
    free_ms : int or None
        Monotonic time of the newest first event; None if a request failed since then,
        so that it is not known when the engine began the next prompt.
    """

    slowdown: float
    slowdown_ms: int
    updated_ms: int
    pending_tokens: float = 0.0
    last_event_ms: int = -1
    waiting: OrderedDict[Hashable, _Placed] = attrs.Factory(OrderedDict)
    recent_ms: deque[int] = attrs.Factory(deque)
    free_ms: int | None = None


class BacklogTracker:
    """Tracks the backlog and the speed of each engine from the requests placed at it.

    Parameters
    ----------
    find_usual_slowdown : callable
        Returns the usual slowdown of the engines of an upstream's service; None if it
        is not known, and the average of all engines is used.

    Examples
    --------
    >>> tracker = BacklogTracker(BacklogPolicy(prefill_tokens_per_ms=50.0))
    >>> engine = UpstreamId("u")
    >>> tracker.record(engine, "request 1", 10_000, Instant(0, 0))
    >>> tracker.measure_pending_tokens(engine, Instant(40, 40))
    8000.0
    >>> tracker.note_first_event(engine, "request 1", Instant(425, 425)).elapsed_ms
    425
    >>> round(tracker.measure_slowdown(engine, Instant(425, 425)), 2)
    1.2
    """

    def __init__(
        self,
        policy: BacklogPolicy,
        find_usual_slowdown: Callable[[UpstreamId, Instant], float | None] = (
            lambda upstream, now: None
        ),
    ) -> None:
        self._policy = policy
        self._find_usual_slowdown = find_usual_slowdown
        self._backlogs: dict[UpstreamId, _Backlog] = {}
        self._usual_slowdown = 1.0

    def record(
        self,
        upstream: UpstreamId,
        key: Hashable,
        prefill_tokens: int,
        now: Instant,
        *,
        has_slot: bool = True,
    ) -> None:
        """Record a request that is being sent to an engine.

        Parameters
        ----------
        key : hashable
            Identifies the request in later calls.
        prefill_tokens : int
            Prompt tokens that the engine has not cached.
        has_slot : bool
            Whether the engine has a free slot, so that the prompt waits for other
            prompts only.
        """
        pending_tokens = self.measure_pending_tokens(upstream, now) + prefill_tokens
        backlog = self._backlogs.get(upstream)
        if backlog is None:
            usual = self._measure_usual(upstream, now)
            backlog = _Backlog(usual, now.mono_ms, now.mono_ms)
            self._backlogs[upstream] = backlog
        backlog.pending_tokens = pending_tokens
        backlog.updated_ms = now.mono_ms
        backlog.recent_ms.append(now.mono_ms)
        expected_ms = pending_tokens / self._policy.prefill_tokens_per_ms
        backlog.waiting[key] = _Placed(
            now.mono_ms, expected_ms, prefill_tokens, not backlog.waiting, has_slot
        )

    def note_first_event(
        self, upstream: UpstreamId, key: Hashable, now: Instant
    ) -> PrefillTime | None:
        """Record that a request got its first event, and learn the engine's speed.

        Returns the time of the prompt, if it is known when the engine began it.
        """
        backlog = self._backlogs.get(upstream)
        placed = backlog.waiting.pop(key, None) if backlog is not None else None
        if backlog is None or placed is None:
            return None
        time = _measure_prefill(backlog, placed, 2 * self._policy.fixed_ms, now)
        backlog.free_ms = now.mono_ms
        backlog.last_event_ms = max(backlog.last_event_ms, placed.placed_ms)
        if placed.expected_ms < self._policy.min_expected_ms:
            return time
        waited_ms = now.mono_ms - placed.placed_ms - self._policy.fixed_ms
        observed = min(
            max(waited_ms, 0.0) / placed.expected_ms, self._policy.max_slowdown
        )
        slowdown = self.measure_slowdown(upstream, now)
        slowdown += self._policy.slowdown_weight * (observed - slowdown)
        backlog.slowdown, backlog.slowdown_ms = slowdown, now.mono_ms
        # Each engine has about the same influence as in an average over all engines.
        weight = self._policy.slowdown_weight / len(self._backlogs)
        self._usual_slowdown += weight * (observed - self._usual_slowdown)
        return time

    def note_failure(self, upstream: UpstreamId, key: Hashable) -> None:
        """Record that a request ended without a first event."""
        backlog = self._backlogs.get(upstream)
        if backlog is not None and backlog.waiting.pop(key, None) is not None:
            backlog.free_ms = None

    def measure_slowdown(self, upstream: UpstreamId, now: Instant) -> float:
        """Return the time to prefill at an engine as a multiple of the expected one."""
        backlog = self._backlogs.get(upstream)
        usual = self._measure_usual(upstream, now)
        if backlog is None:
            return usual
        age_ms = now.mono_ms - backlog.slowdown_ms
        weight = 0.5 ** (age_ms / self._policy.slowdown_half_life_ms)
        return usual + (backlog.slowdown - usual) * weight

    def _measure_usual(self, upstream: UpstreamId, now: Instant) -> float:
        usual = self._find_usual_slowdown(upstream, now)
        return self._usual_slowdown if usual is None else usual

    def measure_pending_tokens(self, upstream: UpstreamId, now: Instant) -> float:
        """Return the prompt tokens that an engine has still to prefill."""
        backlog = self._backlogs.get(upstream)
        if backlog is None:
            return 0.0
        elapsed_ms = now.mono_ms - backlog.updated_ms
        rate = self._policy.prefill_tokens_per_ms
        rate /= max(self.measure_slowdown(upstream, now), 1 / self._policy.max_slowdown)
        return max(backlog.pending_tokens - elapsed_ms * rate, 0.0)

    def count_unreported(self, upstream: UpstreamId, now: Instant) -> int:
        """Return how many placements the reports of load may not contain yet."""
        backlog = self._backlogs.get(upstream)
        if backlog is None:
            return 0
        recent_ms = backlog.recent_ms
        while recent_ms and now.mono_ms - recent_ms[0] >= self._policy.report_lag_ms:
            recent_ms.popleft()
        return len(recent_ms)

    def is_silent(self, upstream: UpstreamId, now: Instant) -> bool:
        """Return whether a first event is overdue and no later request got one."""
        backlog = self._backlogs.get(upstream)
        if backlog is None:
            return False
        waiting = backlog.waiting
        oldest_ms = now.mono_ms - self._policy.forget_ms
        while waiting and next(iter(waiting.values())).placed_ms < oldest_ms:
            waiting.popitem(last=False)
        for placed in waiting.values():
            if placed.placed_ms > backlog.last_event_ms:
                limit_ms = 2 * placed.expected_ms * max(backlog.slowdown, 1.0)
                limit_ms += self._policy.silence_ms
                return now.mono_ms - placed.placed_ms > limit_ms
        return False

    def retain(self, upstreams: Container[UpstreamId]) -> None:
        """Forget all engines but these."""
        self._backlogs = {
            name: backlog
            for name, backlog in self._backlogs.items()
            if name in upstreams
        }

    def __len__(self) -> int:
        return len(self._backlogs)

    def clear(self) -> None:
        """Forget all placements, because another host places the requests now."""
        self._backlogs.clear()


def _measure_prefill(
    backlog: _Backlog, placed: _Placed, margin_ms: float, now: Instant
) -> PrefillTime | None:
    """Return the time that the engine took for a prompt that got its first event.

    Parameters
    ----------
    margin_ms : float
        A prompt placed this long before the first event of the one before it has
        reached the engine while that was busy.
    """
    if not placed.has_slot:
        return None
    if placed.is_first:
        begun_ms, from_idle = placed.placed_ms, True
    elif (
        backlog.free_ms is not None and backlog.free_ms - placed.placed_ms >= margin_ms
    ):
        begun_ms, from_idle = backlog.free_ms, False
    else:
        return None
    return PrefillTime(
        tokens=placed.prefill_tokens,
        elapsed_ms=now.mono_ms - begun_ms,
        from_idle=from_idle,
    )
