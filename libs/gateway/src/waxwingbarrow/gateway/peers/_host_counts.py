"""Number of hosts that may exist, whether this host hears them or not."""

from collections import deque

from waxwingbarrow.core import Instant

# A host that was known within this time may still run: it may be cut off, or its
# registration may have been removed because of that.
MEMORY_MS = 600_000
# The list of hosts is read every 30 s, so before this time after its start a host may
# know too few others.
LEARNING_MS = 35_000


class HostCounts:
    """Largest number of hosts that was known recently.

    Parameters
    ----------
    started : Instant
        Start of this host.
    """

    def __init__(self, started: Instant) -> None:
        self._started = started
        # Times and numbers of hosts, in falling order of the numbers.
        self._counts: deque[tuple[int, int]] = deque()

    def note(self, host_count: int, now: Instant) -> None:
        """Record the number of hosts that are known now, with this one."""
        while self._counts and self._counts[-1][1] <= host_count:
            self._counts.pop()
        self._counts.append((now.mono_ms, host_count))
        while now.mono_ms - self._counts[0][0] > MEMORY_MS:
            self._counts.popleft()

    def find_most(self, now: Instant) -> int | None:
        """Return the largest number; None while this host may know too few others."""
        if now.mono_ms - self._started.mono_ms < LEARNING_MS or not self._counts:
            return None
        return self._counts[0][1]
