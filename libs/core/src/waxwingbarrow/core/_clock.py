"""Present time as a value, and the clocks that supply it."""

import time
from typing import Protocol

import attrs


@attrs.frozen(order=True)
class Instant:
    """A point in time as one host sees it.

    Parameters
    ----------
    wall_ms : int
        Milliseconds since the Unix epoch. Compared between hosts only where a clock
        skew is allowed for.
    mono_ms : int
        Milliseconds of the host's monotonic clock. All durations use it.
    """

    wall_ms: int
    mono_ms: int

    def plus_ms(self, duration_ms: int) -> "Instant":
        """Return the instant `duration_ms` milliseconds later."""
        return Instant(self.wall_ms + duration_ms, self.mono_ms + duration_ms)


class Clock(Protocol):
    """Source of the present time."""

    def now(self) -> Instant:
        """Return the present time."""
        ...


class SystemClock:
    """Clock of the operating system, protected against steps of the wall clock.

    The wall time is read once at the start and advanced with the monotonic clock, so a
    stepped wall clock neither reopens an expired key nor prolongs a lease.
    """

    def __init__(self) -> None:
        self._anchor_wall_ms = time.time_ns() // 1_000_000
        self._anchor_mono_ms = time.monotonic_ns() // 1_000_000

    def now(self) -> Instant:
        """Return the present time."""
        mono_ms = time.monotonic_ns() // 1_000_000
        return Instant(
            self._anchor_wall_ms + mono_ms - self._anchor_mono_ms,
            mono_ms,
        )

    def compute_divergence_ms(self) -> int:
        """Return by how much the system's wall clock has left the anchored time."""
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
        """Return the present time."""
        return self._now

    def advance_ms(self, duration_ms: int) -> None:
        """Let `duration_ms` milliseconds pass."""
        self._now = self._now.plus_ms(duration_ms)

    def step_wall_ms(self, step_ms: int) -> None:
        """Change the wall time without letting time pass."""
        self._now = Instant(self._now.wall_ms + step_ms, self._now.mono_ms)
