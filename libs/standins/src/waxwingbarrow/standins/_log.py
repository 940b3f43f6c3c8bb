"""Log streams and rate limits of the platform stand-in."""

import asyncio
import time
from collections import deque
from typing import Any

import attrs

JsonRecord = dict[str, Any]


@attrs.define
class LogStream:
    """Records of one log stream.

    Parameters
    ----------
    max_records : int
        Number of records that are retained.
    max_age_s : float
        Age up to which a record is retained.
    """

    max_records: int
    max_age_s: float
    first_offset: int = 0
    records: deque[tuple[float, JsonRecord]] = attrs.field(factory=deque)
    appended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        """Offset that the next appended record gets."""
        return self.first_offset + len(self.records)

    def append(self, records: list[JsonRecord]) -> int:
        """Add records and return the offset of the first."""
        offset = self.next_offset
        self.records.extend((time.monotonic(), record) for record in records)
        self.apply_retention()
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def trim(self, first_offset: int) -> None:
        """Drop the records below an offset."""
        while self.records and self.first_offset < first_offset:
            self.records.popleft()
            self.first_offset += 1

    def apply_retention(self) -> None:
        """Drop the oldest records over `max_records` and those over `max_age_s`."""
        self.trim(self.next_offset - self.max_records)
        oldest_s = time.monotonic() - self.max_age_s
        while self.records and self.records[0][0] < oldest_s:
            self.trim(self.first_offset + 1)

    def read(self, from_offset: int, limit: int) -> list[dict[str, Any]]:
        """Return the entries from an offset on, as a log response holds them."""
        start = from_offset - self.first_offset
        end = min(start + limit, len(self.records))
        return [
            {"offset": self.first_offset + index, "record": self.records[index][1]}
            for index in range(start, end)
        ]


@attrs.define
class RateLimit:
    """Token bucket that holds the operations of one second, and at least one.

    Parameters
    ----------
    operations_per_s : float
        Operations per second; 0 for no limit.
    """

    operations_per_s: float
    _tokens: float = attrs.field(init=False, default=0.0)
    _updated_s: float = attrs.field(init=False, default=0.0)

    def try_acquire(self) -> bool:
        """Count one operation and return True if the limit allows it."""
        now_s = time.monotonic()
        elapsed_s = now_s - self._updated_s
        burst = max(1.0, self.operations_per_s)
        self._tokens = min(burst, self._tokens + elapsed_s * self.operations_per_s)
        self._updated_s = now_s
        if self.operations_per_s and self._tokens < 1:
            return False
        self._tokens -= 1
        return True
