"""Backlog and speed of engines, from the placements of one host for all hosts.

Reports of load arrive after most prompts have been prefilled already. A host that
places the requests of all hosts knows the backlog without them: what it placed, less
what the engines have prefilled since. From the times of the first events it learns how
fast each engine is, and which ones have gone silent.
"""

from collections import OrderedDict, deque
from collections.abc import Container, Hashable

import attrs

from waxwingbarrow.core import Instant, UpstreamId, in_range


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
    """A request without a first event: when it was placed, and its expected time."""

    placed_ms: int
    expected_ms: float


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
    """

    slowdown: float
    slowdown_ms: int
    updated_ms: int
    pending_tokens: float = 0.0
    last_event_ms: int = -1
    waiting: OrderedDict[Hashable, _Placed] = attrs.Factory(OrderedDict)
    recent_ms: deque[int] = attrs.Factory(deque)


class BacklogTracker:
    """Tracks the backlog and the speed of each engine from the requests placed at it.

    Examples
    --------
    >>> tracker = BacklogTracker(BacklogPolicy(prefill_tokens_per_ms=50.0))
    >>> engine = UpstreamId("u")
    >>> tracker.record(engine, "request 1", 10_000, Instant(0, 0))
    >>> tracker.measure_pending_tokens(engine, Instant(40, 40))
    8000.0
    >>> tracker.note_first_event(engine, "request 1", Instant(425, 425))
    >>> round(tracker.measure_slowdown(engine, Instant(425, 425)), 2)
    1.2
    """

    def __init__(self, policy: BacklogPolicy) -> None:
        self._policy = policy
        self._backlogs: dict[UpstreamId, _Backlog] = {}
        self._usual_slowdown = 1.0

    def record(
        self, upstream: UpstreamId, key: Hashable, prefill_tokens: int, now: Instant
    ) -> None:
        """Record a request that is being sent to an engine.

        Parameters
        ----------
        key : hashable
            Identifies the request in later calls.
        prefill_tokens : int
            Prompt tokens that the engine has not cached.
        """
        pending_tokens = self.measure_pending_tokens(upstream, now) + prefill_tokens
        backlog = self._backlogs.get(upstream)
        if backlog is None:
            backlog = _Backlog(self._usual_slowdown, now.mono_ms, now.mono_ms)
            self._backlogs[upstream] = backlog
        backlog.pending_tokens = pending_tokens
        backlog.updated_ms = now.mono_ms
        backlog.recent_ms.append(now.mono_ms)
        expected_ms = pending_tokens / self._policy.prefill_tokens_per_ms
        backlog.waiting[key] = _Placed(now.mono_ms, expected_ms)

    def note_first_event(
        self, upstream: UpstreamId, key: Hashable, now: Instant
    ) -> None:
        """Record that a request got its first event, and learn the engine's speed."""
        backlog = self._backlogs.get(upstream)
        placed = backlog.waiting.pop(key, None) if backlog is not None else None
        if backlog is None or placed is None:
            return
        backlog.last_event_ms = max(backlog.last_event_ms, placed.placed_ms)
        if placed.expected_ms < self._policy.min_expected_ms:
            return
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

    def note_failure(self, upstream: UpstreamId, key: Hashable) -> None:
        """Record that a request ended without a first event."""
        backlog = self._backlogs.get(upstream)
        if backlog is not None:
            backlog.waiting.pop(key, None)

    def measure_slowdown(self, upstream: UpstreamId, now: Instant) -> float:
        """Return the time to prefill at an engine as a multiple of the expected one."""
        backlog = self._backlogs.get(upstream)
        if backlog is None:
            return self._usual_slowdown
        age_ms = now.mono_ms - backlog.slowdown_ms
        weight = 0.5 ** (age_ms / self._policy.slowdown_half_life_ms)
        usual = self._usual_slowdown
        return usual + (backlog.slowdown - usual) * weight

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
