"""Admission by urgency and fair shares while engines are scarce.

A host that knows the backlog of the engines asks for each request how long it would
wait there. Requests of less urgent classes, and of accounts that get more than their
share, stop at a shorter backlog than others, so they yield before they are placed. What
stops there waits at its host or is refused, and capacity is reserved for its return.
"""

import random

import attrs

from waxwingbarrow.core import AccountId, Instant, in_range
from waxwingbarrow.limits._priorities import MIN_WORK_MS, AccountDemand, PriorityClass
from waxwingbarrow.limits._promises import Promise, PromiseSchedule

# A shorter wait would only repeat the question.
MIN_WAIT_MS = 20.0
MIN_RETRY_S = 0.05
# Less urgent classes are promised at least this part of the capacity, so that their
# retry times stay finite while more urgent ones use everything.
MIN_CLASS_SHARE = 0.05
# Least difference between the longest waits of the first and the last class, as a
# fraction of the objective.
MIN_LEVEL_RANGE = 0.1
# Part of the capacity, and of an account's share, for which promises are made, and from
# which an account that asks for more than its share yields. With the whole of it,
# returning callers would keep the wait at the limit of the others: in the queue model
# 63% of the urgent requests were in time after half of the engines were lost, not all.
PROMISED_SHARE = 0.7


@attrs.frozen(kw_only=True)
class CapacityAdmissionPolicy:
    """Constants of `CapacityAdmission`.

    Parameters
    ----------
    scarce_share : float
        Capacity is scarce for a request if its estimated start takes more than this
        fraction of its objective.
    window_s : float
        Time constant of the measured demand; see `DemandMeter`.
    recent_ms : int
        Time for which a class counts as asking after its last request.
    max_wait_ms : float
        Longest wait at a host.
    horizon_ms : int
        Longest time ahead for which capacity is promised.
    early_ms, late_ms : int
        How much earlier and later than promised a caller may come back.
    max_promises : int
        Largest number of open promises.
    """

    scarce_share: float = attrs.field(default=0.5, validator=in_range(0.01, 1.0))
    window_s: float = attrs.field(default=2.0, validator=in_range(0.1, 60))
    recent_ms: int = attrs.field(default=5_000, validator=in_range(1, 60_000))
    max_wait_ms: float = attrs.field(default=2_000.0, validator=in_range(0, 60_000))
    horizon_ms: int = attrs.field(default=10_000, validator=in_range(100, 60_000))
    early_ms: int = attrs.field(default=50, validator=in_range(0, 5_000))
    late_ms: int = attrs.field(default=1_000, validator=in_range(0, 10_000))
    max_promises: int = attrs.field(default=4_096, validator=in_range(1, 10**6))


@attrs.frozen(kw_only=True)
class CapacityRequest:
    """A request that asks for capacity at an engine.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    objective_ms : float
        Latency objective of its first event.
    latest_start_ms : float
        Time in which it must have started.
    promise : int
        Number of the promise with which it waited; 0 if it did not wait.
    request_hash : int
        The same when a caller repeats a request; 0 if it is not known.
    """

    priority: int
    account: AccountId
    objective_ms: float
    latest_start_ms: float
    promise: int = 0
    request_hash: int = 0


@attrs.frozen(kw_only=True)
class FreeCapacity:
    """Free capacity of the usable engines, as estimated for one request.

    Parameters
    ----------
    start_ms : float
        Estimated time until the best engine has prefilled its prompt.
    own_ms : float
        Part of `start_ms` that the request needs itself.
    engines : float
        Engines at their usual speed that do the work.
    """

    start_ms: float
    own_ms: float
    engines: float


@attrs.frozen
class ServeNow:
    """The request is sent to an engine now."""

    is_promised: bool = False


@attrs.frozen
class WaitFor:
    """The request waits at its host, then asks again with the promise's number."""

    wait_ms: float
    promise: int


@attrs.frozen
class RefuseUntil:
    """The request is refused; its caller should come back after `retry_after_s`.

    Parameters
    ----------
    is_promised : bool
        Whether capacity is reserved for its return.
    """

    retry_after_s: float
    is_promised: bool = False


CapacityVerdict = ServeNow | WaitFor | RefuseUntil


class CapacityAdmission:
    """Decides which requests for one service's engines are served, wait or are refused.

    Parameters
    ----------
    rng : random.Random
        Spreads the retry times for which no capacity is reserved.

    Examples
    --------
    >>> capacity = CapacityAdmission(CapacityAdmissionPolicy(), random.Random(1))
    >>> request = CapacityRequest(
    ...     priority=0, account=AccountId("a"), objective_ms=400, latest_start_ms=700
    ... )
    >>> def decide(start_ms):
    ...     free = FreeCapacity(start_ms=start_ms, own_ms=20, engines=4)
    ...     return capacity.decide(request, free, Instant(0, 0))
    >>> decide(30.0)
    ServeNow(is_promised=False)
    >>> decide(420.0)
    WaitFor(wait_ms=142.85714285714286, promise=1)
    >>> decide(5_020.0)
    RefuseUntil(retry_after_s=6.7214285714285715, is_promised=True)
    """

    def __init__(self, policy: CapacityAdmissionPolicy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._classes: dict[int, PriorityClass] = {}
        self._promises = PromiseSchedule(
            policy.horizon_ms, policy.early_ms, policy.late_ms, policy.max_promises
        )

    @property
    def promise_count(self) -> int:
        """Number of open promises."""
        return len(self._promises)

    def decide(
        self, request: CapacityRequest, capacity: FreeCapacity, now: Instant
    ) -> CapacityVerdict:
        """Decide on a request, and count it as served if it is."""
        work_ms = max(capacity.own_ms, MIN_WORK_MS)
        promise = self._take_promise(request, now)
        own_class = self._classes.get(request.priority)
        if own_class is None:
            own_class = PriorityClass(self._policy.window_s)
            self._classes[request.priority] = own_class
        own_class.note(request.objective_ms, work_ms, now)
        account = own_class.find_account(request.account)
        if not (request.promise and promise):
            account.demand.add(work_ms, now)
        objective_ms = self._find_shortest_objective(request, now)
        latest_wait_ms = request.latest_start_ms - capacity.own_ms
        if latest_wait_ms < 0:
            # Even an idle engine could not start it in time.
            return self._refuse_without_promise()
        scarce_ms = self._policy.scarce_share * objective_ms
        if capacity.start_ms <= min(scarce_ms, request.latest_start_ms):
            return self._serve(own_class, account, work_ms, promise, now)
        own_class.update_share(now, now.mono_ms - self._policy.recent_ms)
        is_over_share = own_class.is_over_share(account, PROMISED_SHARE, now)
        limit_ms = objective_ms
        if promise is None:
            limit_ms = self._find_limit_ms(request, is_over_share, now)
        limit_ms = min(limit_ms, latest_wait_ms)
        wait_ms = max(capacity.start_ms - capacity.own_ms, 0.0)
        ahead_ms = 0.0
        if promise is None:
            overdue_ms = self._promises.measure_overdue_ms(request.priority, now)
            ahead_ms = overdue_ms / max(capacity.engines, 1e-6)
        if wait_ms + ahead_ms <= limit_ms:
            return self._serve(own_class, account, work_ms, promise, now)
        delay_ms = self._find_delay_ms(request, capacity, wait_ms - limit_ms, now)
        asked_per_s = account.demand.measure_per_s(now)
        if promise is None and asked_per_s > own_class.share_per_s:
            # Its requests return at the rate of its share, whatever it asks for.
            least_per_s = MIN_CLASS_SHARE * 1000 * capacity.engines
            least_per_s /= len(own_class.accounts)
            share_per_s = PROMISED_SHARE * own_class.share_per_s
            spacing_ms = 1000 * work_ms / max(share_per_s, least_per_s, 1e-6)
            last_due_ms = max(account.last_due_ms, now.mono_ms)
            delay_ms = max(delay_ms, last_due_ms + spacing_ms - now.mono_ms)
        delay_ms = max(delay_ms, MIN_WAIT_MS)
        return self._hold(
            request, account, delay_ms, limit_ms + capacity.own_ms, work_ms, now
        )

    def _serve(
        self,
        priority_class: PriorityClass,
        account: AccountDemand,
        work_ms: float,
        promise: Promise | None,
        now: Instant,
    ) -> ServeNow:
        account.served.add(work_ms, now)
        priority_class.served.add(work_ms, now)
        return ServeNow(promise is not None)

    def _take_promise(self, request: CapacityRequest, now: Instant) -> Promise | None:
        if request.promise:
            promise = self._promises.take(request.promise, now)
            # A number that another host gave may belong to another request here.
            if promise is None or promise.account == request.account:
                return promise
        return self._promises.take_due(
            request.priority, request.account, request.request_hash, now
        )

    def _find_shortest_objective(self, request: CapacityRequest, now: Instant) -> float:
        """Return the shortest objective of the requests that must not be held up.

        These are the recent ones that are at least as urgent.
        """
        oldest_ms = now.mono_ms - self._policy.recent_ms
        objectives_ms = [
            other.find_objective_ms(oldest_ms)
            for priority, other in self._classes.items()
            if priority <= request.priority
        ]
        return min(item for item in objectives_ms if item is not None)

    def _find_limit_ms(
        self, request: CapacityRequest, is_over_share: bool, now: Instant
    ) -> float:
        """Return the longest wait at the engines at which a request is still served.

        It decreases from class to class, and within each for accounts over their share.
        The longest leaves enough of the objective for large prompts. Otherwise small
        ones would keep the wait so long that large ones are always late.
        """
        oldest_ms = now.mono_ms - self._policy.recent_ms
        share = self._policy.scarce_share
        level, class_count = int(is_over_share), 0
        lowest_ms = highest_ms = float("inf")
        for priority, other in self._classes.items():
            objective_ms = other.find_objective_ms(oldest_ms)
            if objective_ms is None:
                continue
            class_count += 1
            if priority > request.priority:
                continue
            level += 2 * (priority < request.priority)
            lowest_ms = min(lowest_ms, share * objective_ms)
            longest_ms = min(
                (1 + share) / 2 * objective_ms, objective_ms - other.large_ms
            )
            least_ms = (share + MIN_LEVEL_RANGE) * objective_ms
            highest_ms = min(highest_ms, max(longest_ms, least_ms))
        step_ms = (highest_ms - lowest_ms) / (2 * class_count - 1)
        return highest_ms - level * step_ms

    def _find_delay_ms(
        self,
        request: CapacityRequest,
        capacity: FreeCapacity,
        excess_ms: float,
        now: Instant,
    ) -> float:
        """Return when the backlog will be short enough, by what others leave over."""
        urgent_per_s = sum(
            other.served.measure_per_s(now)
            for priority, other in self._classes.items()
            if priority < request.priority
        )
        engines = max(
            PROMISED_SHARE * capacity.engines - urgent_per_s / 1000,
            MIN_CLASS_SHARE * capacity.engines,
        )
        excess_work_ms = max(excess_ms, 0.0) * capacity.engines
        return self._promises.find_delay_ms(
            excess_work_ms, request.priority, engines, now
        )

    def _hold(
        self,
        request: CapacityRequest,
        account: AccountDemand,
        delay_ms: float,
        start_after_ms: float,
        work_ms: float,
        now: Instant,
    ) -> WaitFor | RefuseUntil:
        """Let a request wait if it can still be served then; otherwise refuse it."""
        promise = self._promises.add(
            request.priority,
            request.account,
            request.request_hash,
            delay_ms,
            work_ms,
            now,
        )
        if promise is None:
            return self._refuse_without_promise()
        account.last_due_ms = max(account.last_due_ms, promise.due_ms)
        longest_ms = min(self._policy.max_wait_ms, request.objective_ms)
        if (
            delay_ms <= longest_ms
            and delay_ms + start_after_ms <= request.latest_start_ms
        ):
            return WaitFor(delay_ms, promise.number)
        return RefuseUntil(max(delay_ms / 1000, MIN_RETRY_S), True)

    def _refuse_without_promise(self) -> RefuseUntil:
        horizon_s = self._policy.horizon_ms / 1000
        return RefuseUntil(horizon_s * self._rng.uniform(1.0, 1.5))
