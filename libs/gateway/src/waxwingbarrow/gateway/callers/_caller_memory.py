"""Memory of everything that a host holds on behalf of its callers."""

from enum import IntEnum
from typing import Protocol

import attrs

MIB = 1_048_576
# Limit where no settings say how much memory the host has.
DEFAULT_LIMIT_BYTES = 128 * MIB
# Memory of a connection that is not charged; the number of connections bounds it. This
# keeps ordinary requests free of the bookkeeping.
UNCHARGED_BYTES = 16_384
# A holding counts as stalled when it has not changed for this long.
STALLED_AFTER_MS = 1_000


class HoldingKind(IntEnum):
    """Why bytes of a connection are held, which decides when it is dropped."""

    HANDLED = 0
    """A request that is being handled; never dropped."""
    IN_TRANSIT = 1
    """A request that is being read or a response that is being written."""
    EXCESSIVE = 2
    """Requests behind one that is not finished, which ordinary callers do not send."""


class Owner(Protocol):
    """A connection that holds memory."""

    def measure(self) -> None:
        """Record what the connection holds now."""

    def drop_for_memory(self) -> None:
        """Free what the connection holds."""


@attrs.define
class _Holding:
    """What one connection holds, and the monotonic time of its last change."""

    size_bytes: int
    kind: HoldingKind
    changed_ms: int


class CallerMemory:
    """Bounds the sum of what all connections of callers hold.

    Over the limit, excessive holdings are dropped first, then stalled ones, then those
    in transit; within each group the largest. Unfinished bodies that callers abandon
    therefore make room for one that is arriving.

    Parameters
    ----------
    limit_bytes : int
        Bound on the sum.

    Attributes
    ----------
    total_bytes : int
        Sum of the holdings.

    Examples
    --------
    >>> memory = CallerMemory(limit_bytes=100)
    >>> memory.put("large", 90, HoldingKind.IN_TRANSIT, now_ms=0)
    >>> memory.put("pipelined", 20, HoldingKind.EXCESSIVE, now_ms=0)
    >>> memory.choose_to_drop(now_ms=0), memory.total_bytes
    ('pipelined', 110)
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._holdings: dict[Owner, _Holding] = {}

    @property
    def is_exhausted(self) -> bool:
        """Whether the holdings exceed the limit."""
        return self.total_bytes > self.limit_bytes

    def put(
        self, owner: Owner, size_bytes: int, kind: HoldingKind, now_ms: int
    ) -> None:
        """Record what an owner holds now."""
        holding = self._holdings.get(owner)
        if holding is None:
            self._holdings[owner] = _Holding(size_bytes, kind, now_ms)
            self.total_bytes += size_bytes
            return
        if holding.size_bytes != size_bytes:
            self.total_bytes += size_bytes - holding.size_bytes
            holding.size_bytes = size_bytes
            holding.changed_ms = now_ms
        holding.kind = kind

    def release(self, owner: Owner) -> None:
        """Record that an owner holds nothing; an unknown one is ignored."""
        holding = self._holdings.pop(owner, None)
        if holding is not None:
            self.total_bytes -= holding.size_bytes

    def list_owners(self) -> list[Owner]:
        """Return the owners of all holdings."""
        return list(self._holdings)

    def choose_to_drop(self, now_ms: int) -> Owner | None:
        """Return the owner to drop next, or None if all holdings are handled."""

        def rank(owner: Owner) -> tuple[bool, bool, int]:
            holding = self._holdings[owner]
            is_stalled = now_ms - holding.changed_ms >= STALLED_AFTER_MS
            is_excessive = holding.kind is HoldingKind.EXCESSIVE
            return is_excessive, is_stalled, holding.size_bytes

        droppable = [
            owner
            for owner, holding in self._holdings.items()
            if holding.kind is not HoldingKind.HANDLED
        ]
        return max(droppable, key=rank, default=None)


class Charge:
    """What one connection is charged for; small amounts are not recorded.

    Attributes
    ----------
    is_recorded : bool
        Whether an amount is recorded, which then has to be kept up to date.
    """

    def __init__(self, owner: Owner, memory: CallerMemory) -> None:
        self._owner = owner
        self._memory = memory
        self.is_recorded = False

    def record(self, held_bytes: int, kind: HoldingKind, now_ms: int) -> None:
        """Record what the connection holds."""
        if held_bytes > UNCHARGED_BYTES:
            self.is_recorded = True
            self._memory.put(self._owner, held_bytes, kind, now_ms)
        else:
            self.release()

    def release(self) -> None:
        """Record that the connection holds nothing."""
        if self.is_recorded:
            self.is_recorded = False
            self._memory.release(self._owner)
