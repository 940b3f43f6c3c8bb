"""Clock of the gateway, which does not stop while the host is suspended."""

import time

from waxwingbarrow.core import Instant

NS_PER_MS = 1_000_000


class BootClock:
    """Clock whose monotonic time advances while the host is suspended.

    A lease must lapse during a suspension too. The wall time is read once at the start
    and then follows the monotonic time, so later steps of the system clock are ignored.
    """

    def __init__(self) -> None:
        self._wall_offset_ms = time.time_ns() // NS_PER_MS - self._read_ms()

    def now(self) -> Instant:
        """Return the current wall and monotonic time."""
        mono_ms = self._read_ms()
        return Instant(mono_ms + self._wall_offset_ms, mono_ms)

    def now_ms(self) -> int:
        """Return the monotonic time in milliseconds."""
        return self._read_ms()

    @staticmethod
    def _read_ms() -> int:
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS
