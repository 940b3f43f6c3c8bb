"""Times at which requests that found no capacity were told to come back.

Each promise reserves engine work at its time, so that later ones get later times and
callers do not return all at once.
"""

import heapq

import attrs

from waxwingbarrow.core import AccountId, Instant

# Reserved work is summed over slots of this length, so that finding a time does not
# depend on the number of promises.
SLOT_MS = 50
# Another request of the account gets the capacity of a caller that is this late. If it
# got it earlier, callers that return in time would often return in vain.
INHERIT_AFTER_MS = 250


@attrs.frozen(kw_only=True)
class Promise:
    """Capacity that a request gets when it comes back.

    Parameters
    ----------
    number : int
        Unique within the schedule, from 1.
    request_hash : int
        By which the request is recognised when it returns; 0 if it is not known.
    due_ms : int
        Monotonic time from which there is capacity.
    work_ms : float
        Engine time that is reserved.
    """

    number: int
    priority: int
    account: AccountId
    request_hash: int
    due_ms: int
    work_ms: float


class PromiseSchedule:
    """Promises that have not been kept yet, and the work reserved for them.

    Parameters
    ----------
    horizon_ms : int
        Promises are made for at most this time ahead.
    early_ms, late_ms : int
        How much earlier and later than promised a caller may come back.
    max_promises : int
        Largest number of open promises, which bounds the memory.
    """

    def __init__(
        self, horizon_ms: int, early_ms: int, late_ms: int, max_promises: int
    ) -> None:
        self._horizon_ms = horizon_ms
        self._early_ms = early_ms
        self._late_ms = late_ms
        self._max_promises = max_promises
        self._last_number = 0
        self._open: dict[int, Promise] = {}
        self._by_due: list[tuple[int, int]] = []
        self._by_hash: dict[int, int] = {}
        self._by_account: dict[tuple[int, AccountId], list[tuple[int, int]]] = {}
        # Reserved engine time by slot and priority.
        self._reserved: dict[int, dict[int, float]] = {}

    def __len__(self) -> int:
        return len(self._open)

    def add(
        self,
        priority: int,
        account: AccountId,
        request_hash: int,
        delay_ms: float,
        work_ms: float,
        now: Instant,
    ) -> Promise | None:
        """Reserve work; None if it is too far ahead or there are too many promises."""
        self._expire(now)
        if delay_ms > self._horizon_ms or len(self._open) >= self._max_promises:
            return None
        self._last_number += 1
        promise = Promise(
            number=self._last_number,
            priority=priority,
            account=account,
            request_hash=request_hash,
            due_ms=now.mono_ms + int(delay_ms),
            work_ms=work_ms,
        )
        key = (promise.due_ms, promise.number)
        self._open[promise.number] = promise
        if request_hash:
            self._by_hash[request_hash] = promise.number
        heapq.heappush(self._by_due, key)
        heapq.heappush(self._by_account.setdefault((priority, account), []), key)
        slot = self._reserved.setdefault(promise.due_ms // SLOT_MS, {})
        slot[priority] = slot.get(priority, 0.0) + work_ms
        return promise

    def take(self, number: int, now: Instant) -> Promise | None:
        """Return and close a promise, whether it is due or not."""
        self._expire(now)
        promise = self._open.get(number)
        if promise is not None:
            self._close(promise)
        return promise

    def take_due(
        self, priority: int, account: AccountId, request_hash: int, now: Instant
    ) -> Promise | None:
        """Return and close the promise to a request if it is due.

        That is one to the same request, or else one to another request of the account
        with the same priority that has not come back.
        """
        self._expire(now)
        own = self._open.get(self._by_hash.get(request_hash, 0))
        if (
            own is not None
            and (own.priority, own.account) == (priority, account)
            and own.due_ms <= now.mono_ms + self._early_ms
        ):
            self._close(own)
            return own
        queue = self._by_account.get((priority, account), [])
        while queue and queue[0][1] not in self._open:
            heapq.heappop(queue)
        if not queue:
            self._by_account.pop((priority, account), None)
            return None
        due_ms, number = queue[0]
        if due_ms > now.mono_ms - INHERIT_AFTER_MS:
            return None
        promise = self._open[number]
        self._close(promise)
        return promise

    def find_delay_ms(
        self, excess_ms: float, priority: int, engines: float, now: Instant
    ) -> float:
        """Return when engines will have done work in excess and what is reserved.

        Parameters
        ----------
        excess_ms : float
            Engine time that must be done first, besides the reserved work.
        priority : int
            Work reserved for less urgent requests is not counted.
        engines : float
            Engines that work on it.

        Returns
        -------
        float
            Infinite if it is not within the horizon.
        """
        self._expire(now)
        engines = max(engines, 1e-6)
        work_ms = excess_ms + self.measure_overdue_ms(priority, now)
        first = now.mono_ms // SLOT_MS + 1
        for slot in range(first, first + self._horizon_ms // SLOT_MS):
            needed_ms = work_ms / engines
            if now.mono_ms + needed_ms <= slot * SLOT_MS:
                return needed_ms
            work_ms += self._measure_slot(slot, priority)
        return float("inf")

    def measure_overdue_ms(self, priority: int, now: Instant) -> float:
        """Return the work reserved for callers that may come back any moment."""
        last = now.mono_ms // SLOT_MS
        first = (now.mono_ms - self._late_ms) // SLOT_MS
        return sum(
            self._measure_slot(slot, priority) for slot in range(first, last + 1)
        )

    def _measure_slot(self, slot: int, priority: int) -> float:
        reserved = self._reserved.get(slot)
        if reserved is None:
            return 0.0
        return sum(work for other, work in reserved.items() if other <= priority)

    def _expire(self, now: Instant) -> None:
        oldest_ms = now.mono_ms - self._late_ms
        while self._by_due and self._by_due[0][0] < oldest_ms:
            _, number = heapq.heappop(self._by_due)
            promise = self._open.get(number)
            if promise is not None:
                self._close(promise)

    def _close(self, promise: Promise) -> None:
        del self._open[promise.number]
        if self._by_hash.get(promise.request_hash) == promise.number:
            del self._by_hash[promise.request_hash]
        index = promise.due_ms // SLOT_MS
        slot = self._reserved[index]
        slot[promise.priority] -= promise.work_ms
        if slot[promise.priority] <= 1e-6:
            del slot[promise.priority]
        if not slot:
            del self._reserved[index]
        key = (promise.priority, promise.account)
        queue = self._by_account.get(key, [])
        while queue and queue[0][1] not in self._open:
            heapq.heappop(queue)
        if not queue:
            self._by_account.pop(key, None)
