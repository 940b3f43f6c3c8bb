"""Points in time, and the clocks that return them."""

import time
from typing import Protocol

import attrs


@attrs.frozen(order=True)
class Instant:
    """A point in time as one host sees it.

    Parameters
    ----------
    wall_ms : int
        Milliseconds since the Unix epoch. Compare it between hosts only where clock
        skew is tolerated.
    mono_ms : int
        Milliseconds of the host's monotonic clock. Use it for all durations.
    """

    wall_ms: int
    mono_ms: int

    def plus_ms(self, duration_ms: int) -> "Instant":
        """Return the instant `duration_ms` milliseconds later."""
        return Instant(self.wall_ms + duration_ms, self.mono_ms + duration_ms)


class Clock(Protocol):
    """Source of the current time."""

    def now(self) -> Instant:
        """Return the current time."""
        ...


class SystemClock:
    """Clock of the operating system, protected against steps of the wall clock.

    The wall time is read once at construction and advanced with the monotonic clock. A
    step of the wall clock thus neither makes an expired key valid again nor extends a
    lease.
    """

    def __init__(self) -> None:
        self._anchor_wall_ms = time.time_ns() // 1_000_000
        self._anchor_mono_ms = time.monotonic_ns() // 1_000_000

    def now(self) -> Instant:
        """Return the current time."""
        mono_ms = time.monotonic_ns() // 1_000_000
        return Instant(
            self._anchor_wall_ms + mono_ms - self._anchor_mono_ms,
            mono_ms,
        )

    def compute_divergence_ms(self) -> int:
        """Return by how many milliseconds the system's wall clock is ahead of `now`."""
        return time.time_ns() // 1_000_000 - self.now().wall_ms


class ManualClock:
    """Clock that a test advances.

    Examples
    --------
    >>> clock = ManualClock(wall_ms=1000)
    >>> clock.advance_ms(5)
    >>> clock.step_wall_ms(-100)
    >>> clock.now()
    Instant(wall_ms=905, mono_ms=5)
    """

    def __init__(self, wall_ms: int = 1_700_000_000_000, mono_ms: int = 0) -> None:
        self._now = Instant(wall_ms, mono_ms)

    def now(self) -> Instant:
        """Return the current time."""
        return self._now

    def advance_ms(self, duration_ms: int) -> None:
        """Advance wall time and monotonic time."""
        self._now = self._now.plus_ms(duration_ms)

    def step_wall_ms(self, step_ms: int) -> None:
        """Change the wall time, but not the monotonic time."""
        self._now = Instant(self._now.wall_ms + step_ms, self._now.mono_ms)
