"""Prompt tokens that engines have still to prefill, from the order of placements.

Reports of load arrive after most prompts have been prefilled already. A host that
places the requests of all hosts knows the backlog without them: what it placed, less
what the engines have prefilled since.
"""

from collections import deque

import attrs

from waxwingbarrow.core import Instant, UpstreamId


@attrs.define
class _Backlog:
    """Backlog of one engine.

    Parameters
    ----------
    pending_tokens : float
        Prompt tokens to prefill at `updated_ms`, in monotonic ms.
    recent_ms : deque
        Monotonic times of the placements that reports of load may not contain yet.
    """

    pending_tokens: float = 0.0
    updated_ms: int = 0
    recent_ms: deque[int] = attrs.Factory(deque)


class BacklogTracker:
    """Tracks the backlog of each engine from the requests placed at it.

    Parameters
    ----------
    prefill_tokens_per_ms : float
        Prefill rate of an engine.
    report_lag_ms : int
        Age at which a placement is contained in the reports of load.

    Examples
    --------
    >>> tracker = BacklogTracker(prefill_tokens_per_ms=50.0, report_lag_ms=500)
    >>> tracker.record(UpstreamId("u"), 10_000, Instant(0, 0))
    >>> tracker.measure_pending_tokens(UpstreamId("u"), Instant(40, 40))
    8000.0
    """

    def __init__(self, prefill_tokens_per_ms: float, report_lag_ms: int) -> None:
        self._prefill_tokens_per_ms = prefill_tokens_per_ms
        self._report_lag_ms = report_lag_ms
        self._backlogs: dict[UpstreamId, _Backlog] = {}

    def record(self, upstream: UpstreamId, prefill_tokens: int, now: Instant) -> None:
        """Record a request that is being sent to an engine.

        Parameters
        ----------
        prefill_tokens : int
            Prompt tokens that the engine has not cached.
        """
        backlog = self._backlogs.setdefault(upstream, _Backlog())
        pending_tokens = self.measure_pending_tokens(upstream, now)
        backlog.pending_tokens = pending_tokens + prefill_tokens
        backlog.updated_ms = now.mono_ms
        backlog.recent_ms.append(now.mono_ms)

    def measure_pending_tokens(self, upstream: UpstreamId, now: Instant) -> float:
        """Return the prompt tokens that an engine has still to prefill."""
        backlog = self._backlogs.get(upstream)
        if backlog is None:
            return 0.0
        elapsed_ms = now.mono_ms - backlog.updated_ms
        prefilled_tokens = elapsed_ms * self._prefill_tokens_per_ms
        return max(backlog.pending_tokens - prefilled_tokens, 0.0)

    def count_unreported(self, upstream: UpstreamId, now: Instant) -> int:
        """Return how many placements the reports of load may not contain yet."""
        backlog = self._backlogs.get(upstream)
        if backlog is None:
            return 0
        recent_ms = backlog.recent_ms
        while recent_ms and now.mono_ms - recent_ms[0] >= self._report_lag_ms:
            recent_ms.popleft()
        return len(recent_ms)

    def retain(self, upstreams: set[UpstreamId]) -> None:
        """Forget all engines but these."""
        self._backlogs = {
            name: backlog
            for name, backlog in self._backlogs.items()
            if name in upstreams
        }

    def clear(self) -> None:
        """Forget all placements, because another host places the requests now."""
        self._backlogs.clear()
