"""Usage: counts of requests that began to run, by account and time window."""

from collections import Counter

from waxwingbarrow.core import AccountId, HostId, Instant

# Windows for which counts are kept; a report is due two windows after its window ends.
RETAINED_WINDOWS = 8

# A host and the wall time in ms at which its process started.
Origin = tuple[HostId, int]


class UsageCounter:
    """Counts of this host and those that its peers reported.

    Each origin is one process of a host. Its counts only grow, so the largest count
    that was received is the newest.

    Parameters
    ----------
    window_s : float
        Length of a window; window k begins `k * window_s` seconds after the epoch.
    """

    def __init__(self, window_s: float) -> None:
        self._window_ms = window_s * 1000
        self._own_counts: dict[int, Counter[AccountId]] = {}
        self._peer_counts: dict[int, dict[Origin, dict[AccountId, int]]] = {}

    def find_window(self, now: Instant) -> int:
        """Return the number of the current window."""
        return int(now.wall_ms // self._window_ms)

    def compute_end_ms(self, window: int) -> float:
        """Return the wall time in ms at which a window ends."""
        return (window + 1) * self._window_ms

    def count(self, account: AccountId, now: Instant) -> None:
        """Count a request that began to run."""
        window = self.find_window(now)
        if window not in self._own_counts:
            self._own_counts[window] = Counter()
            self._drop_old(window)
        self._own_counts[window][account] += 1

    def list_own(self, now: Instant) -> list[tuple[int, AccountId, int]]:
        """Return this host's counts of the current window and the two before it.

        Each item has the window, the account and the count.
        """
        oldest = self.find_window(now) - 2
        return [
            (window, account, count)
            for window, counts in self._own_counts.items()
            if window >= oldest
            for account, count in counts.items()
        ]

    def update_from_peer(
        self, origin: Origin, window: int, account: AccountId, count: int
    ) -> None:
        """Record a count that another host reported."""
        counts = self._peer_counts.setdefault(window, {}).setdefault(origin, {})
        counts[account] = max(count, counts.get(account, 0))

    def sum_window(self, window: int) -> dict[AccountId, int]:
        """Return the counts of all hosts for a window."""
        total: Counter[AccountId] = Counter(self._own_counts.get(window, {}))
        for counts in self._peer_counts.get(window, {}).values():
            total.update(counts)
        return dict(total)

    def _drop_old(self, newest: int) -> None:
        for counts_by_window in (self._own_counts, self._peer_counts):
            for window in [
                item for item in counts_by_window if item < newest - RETAINED_WINDOWS
            ]:
                del counts_by_window[window]
