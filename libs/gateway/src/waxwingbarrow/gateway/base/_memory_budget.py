"""Memory for bytes that others send, and that are kept until they are complete."""

from collections.abc import Callable, Hashable

import attrs

Release = Callable[[], None]


@attrs.define
class _Buffer:
    """One buffer: its size, and a function that gives it up."""

    give_up: Release
    size_bytes: int = 0


class MemoryBudget:
    """Bounds the sum of many buffers; the largest ones are given up first.

    Bytes without end fill one buffer after the other, so a bound on each of them does
    not protect a host. A request with a small body is not affected by those with large
    ones.

    Parameters
    ----------
    limit_bytes : int
        Bound on the sum.

    Attributes
    ----------
    total_bytes : int
        Sum of the buffers.

    Examples
    --------
    >>> given_up = []
    >>> budget = MemoryBudget(limit_bytes=100)
    >>> budget.add("large", 90, lambda: given_up.append("large"))
    >>> budget.add("small", 20, lambda: given_up.append("small"))
    >>> given_up, budget.total_bytes
    (['large'], 20)
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._buffers: dict[Hashable, _Buffer] = {}

    def add(self, owner: Hashable, size_bytes: int, give_up: Release) -> None:
        """Count bytes of an owner's buffer, and give up the largest over the limit.

        Parameters
        ----------
        give_up : callable
            Drops the owner's buffer, which no longer counts when it is called.
        """
        buffer = self._buffers.setdefault(owner, _Buffer(give_up))
        buffer.size_bytes += size_bytes
        self.total_bytes += size_bytes
        while self.total_bytes > self.limit_bytes:
            largest = max(self._buffers, key=lambda key: self._buffers[key].size_bytes)
            drop = self._buffers[largest].give_up
            self.release(largest)
            drop()

    def release(self, owner: Hashable) -> None:
        """Count an owner's buffer no more; one that is not counted is ignored."""
        buffer = self._buffers.pop(owner, None)
        if buffer is not None:
            self.total_bytes -= buffer.size_bytes
