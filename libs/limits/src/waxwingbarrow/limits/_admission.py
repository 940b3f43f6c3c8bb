"""Admission of requests to this host's share of the upstreams' capacity."""

from collections.abc import Iterable

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import (
    AccountId,
    ClassNotAllowed,
    DeadlineTooShort,
    Instant,
    PriorityClass,
    RateLimited,
    Refusal,
    in_range,
)
from waxwingbarrow.limits._buckets import TokenBucket
from waxwingbarrow.limits._demand import AccountDemand, DemandMeter
from waxwingbarrow.limits._estimates import Estimate, check_deadline
from waxwingbarrow.limits._queue import FairQueue, QueueItem

# Weight of one finished request in the moving average of the time per token. Requests
# differ widely, so the average extends over a few dozen of them.
TOKEN_TIME_WEIGHT = 0.05
# Share of the slots in which requests may run that the measured time per token would
# refuse, to detect that this measurement is outdated.
PROBE_SLOT_SHARE = 1 / 8


@attrs.frozen(kw_only=True)
class AccountLimit:
    """Share of an account's limits that one host may admit.

    Parameters
    ----------
    tokens_per_s, requests_per_s : float
        Rates that this host may admit, as computed by `compute_share`.
    classes : frozenset of PriorityClass
        Priority classes that the account may use.
    """

    account: AccountId
    tokens_per_s: float
    requests_per_s: float
    classes: frozenset[PriorityClass] = frozenset(PriorityClass)


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """A request that asks for admission.

    Parameters
    ----------
    tokens : int
        Prompt tokens plus the maximum number of output tokens, as counted by the
        limits; 1 for a request to a plain service.
    deadline : Instant
        Time from which the answer is no longer of use.
    run_tokens : int
        Tokens that determine the time to run. Prompt tokens are processed in parallel
        and so count for little. If they counted like output tokens, a request with a
        long prompt would be refused although it can meet its deadline.
    """

    account: AccountId
    priority_class: PriorityClass
    tokens: int
    deadline: Instant
    run_tokens: int = attrs.Factory(lambda self: self.tokens, takes_self=True)


@attrs.frozen(kw_only=True)
class Admission:
    """A request that was accepted to run now or to wait.

    Parameters
    ----------
    admission_id : int
        Unique within the controller.
    ready : bool
        Whether the request may be sent now; otherwise `next_ready` returns it later.
    """

    admission_id: int
    request: AdmissionRequest
    ready: bool


@attrs.frozen
class RefusedAdmission:
    """A queued request that must be refused and was not run."""

    admission: Admission
    refusal: Refusal


@attrs.frozen
class DequeueResult:
    """Queued requests that are ready to run or must be refused."""

    ready: tuple[Admission, ...]
    refused: tuple[RefusedAdmission, ...]


@attrs.frozen(kw_only=True)
class AdmissionPolicy:
    """Constants of `AdmissionController`.

    Parameters
    ----------
    burst_s : float
        Burst that an account may use at once, in seconds of its rate.
    max_queue_s : float
        Maximum amount of queued work, in seconds of the host's initial throughput.
    quantum_tokens : int
        Tokens that an account may use per turn in `FairQueue`.
    demand_window_s : float
        Time constant of the demand that is gossiped, see `DemandMeter`.
    """

    burst_s: float = attrs.field(default=5.0, validator=in_range(0.01, 3600))
    max_queue_s: float = attrs.field(default=30.0, validator=in_range(0.01, 3600))
    quantum_tokens: int = attrs.field(default=1_024, validator=in_range(1, 10**6))
    demand_window_s: float = attrs.field(default=5.0, validator=in_range(0.01, 3600))


@attrs.define
class _Account:
    limit: AccountLimit
    tokens: TokenBucket
    requests: TokenBucket


@attrs.define
class _DemandMeters:
    tokens: DemandMeter
    requests: DemandMeter


class AdmissionController:
    """Combines rate limits, the fair queue and early refusal by deadline.

    The caller runs each `Admission` that is `ready` and calls `finish` for every
    admission as soon as it ends, whatever the reason. It calls `next_ready` after each
    `finish`, and at least every few hundred milliseconds while requests wait.

    Parameters
    ----------
    max_running : int
        Number of slots: requests of this host that may run at once.
    tokens_per_s : float
        Initial estimate of the tokens served per second while all slots are in use;
        updated from the requests reported to `finish`.
    policy : AdmissionPolicy
        Burst, queue and demand settings.
    """

    def __init__(
        self, max_running: int, tokens_per_s: float, policy: AdmissionPolicy
    ) -> None:
        self._policy = policy
        self._max_running = max_running
        self._initial_ms_per_token = 1000 * max_running / tokens_per_s
        self._ms_per_token = self._initial_ms_per_token
        self._queue = FairQueue(
            policy.quantum_tokens, int(policy.max_queue_s * tokens_per_s)
        )
        self._accounts: dict[AccountId, _Account] = {}
        self._meters: dict[AccountId, _DemandMeters] = {}
        self._waiting: dict[int, Admission] = {}
        self._running: dict[int, Instant] = {}
        self._last_id = 0

    def set_shares(self, limits: Iterable[AccountLimit], now: Instant) -> None:
        """Replace the shares of all accounts; accounts without one are refused."""
        accounts = {}
        for limit in limits:
            account = self._accounts.get(limit.account)
            if account is None:
                account = _Account(
                    limit,
                    TokenBucket(limit.tokens_per_s, self._policy.burst_s, now),
                    TokenBucket(limit.requests_per_s, self._policy.burst_s, now),
                )
            account.limit = limit
            account.tokens.set_rate(limit.tokens_per_s, now)
            account.requests.set_rate(limit.requests_per_s, now)
            accounts[limit.account] = account
        self._accounts = accounts
        for account_id in set(self._meters) - set(accounts):
            del self._meters[account_id]

    def set_max_running(self, max_running: int) -> None:
        """Change the number of requests that may run at once."""
        self._max_running = max_running

    def admit(
        self, request: AdmissionRequest, now: Instant
    ) -> Result[Admission, Refusal]:
        """Accept a request to run now or to wait, or refuse it as not run.

        Returns
        -------
        Result
            An admission that runs now if it is `ready` and otherwise waits for
            `next_ready`; or `ClassNotAllowed`, `RateLimited`, `DeadlineTooShort` or
            `Overloaded`.
        """
        account = self._accounts.get(request.account)
        if account is None:
            return Err(RateLimited(reason="The account has no share on this host."))
        if request.priority_class not in account.limit.classes:
            return Err(ClassNotAllowed())
        self._record_demand(request, now)
        charged = self._charge(account, request, now)
        if isinstance(charged, Err):
            return charged
        accepted = self._start_or_queue(request, now)
        if isinstance(accepted, Err):
            self._refund(request, now)
        return accepted

    def next_ready(self, now: Instant) -> DequeueResult:
        """Return queued requests to run now and those that must be refused."""
        ready = []
        while len(self._running) < self._max_running:
            item = self._queue.pop(now)
            if item is None:
                break
            queued = self._waiting.pop(item.item_id)
            self._running[item.item_id] = now
            ready.append(attrs.evolve(queued, ready=True))
        refused = []
        for item in self._queue.take_expired(now):
            admission = self._waiting.pop(item.item_id)
            self._refund(admission.request, now)
            refusal = DeadlineTooShort(
                reason="The request waited until its deadline could not be met."
            )
            refused.append(RefusedAdmission(admission, refusal))
        return DequeueResult(tuple(ready), tuple(refused))

    def finish(self, admission: Admission, tokens_used: int, now: Instant) -> None:
        """Record that an admission ended; a waiting one is removed from the queue.

        A request that ran is charged `tokens_used` instead of the expected tokens. A
        repeated call has no effect.
        """
        started = self._running.pop(admission.admission_id, None)
        if started is not None:
            unused_tokens = admission.request.tokens - tokens_used
            account = self._accounts.get(admission.request.account)
            if account is not None:
                account.tokens.adjust_level(unused_tokens, now)
            request = admission.request
            if tokens_used > 0 and request.run_tokens > 0:
                run_tokens = tokens_used * request.run_tokens / max(request.tokens, 1)
                ms_per_token = (now.mono_ms - started.mono_ms) / run_tokens
                self._ms_per_token += TOKEN_TIME_WEIGHT * (
                    ms_per_token - self._ms_per_token
                )
        elif self._queue.remove(admission.admission_id):
            del self._waiting[admission.admission_id]
            self._refund(admission.request, now)

    def demand(self, now: Instant) -> tuple[AccountDemand, ...]:
        """Return the demand of each account on this host, for gossip."""
        return tuple(
            AccountDemand(
                account,
                meters.tokens.measure_per_s(now),
                meters.requests.measure_per_s(now),
            )
            for account, meters in sorted(self._meters.items())
        )

    def estimate(self, request: AdmissionRequest, now: Instant) -> Estimate:
        """Estimate how long a request would wait and run if it were admitted now."""
        run_ms = request.run_tokens * self._ms_per_token
        free_slots = self._max_running - len(self._running)
        if free_slots > 0 and not self._waiting:
            return Estimate(0.0, run_ms)
        tokens_ahead = self._queue.count_tokens_ahead(
            request.account, request.priority_class, request.run_tokens
        )
        if self._max_running < 1:
            return Estimate(float("inf"), run_ms)
        # While all slots are in use, one becomes free on average once per mean run time
        # divided by the number of slots.
        wait_ms = (
            (tokens_ahead + request.run_tokens) * self._ms_per_token / self._max_running
        )
        return Estimate(wait_ms, run_ms)

    def _record_demand(self, request: AdmissionRequest, now: Instant) -> None:
        meters = self._meters.get(request.account)
        if meters is None:
            window_s = self._policy.demand_window_s
            meters = _DemandMeters(DemandMeter(window_s), DemandMeter(window_s))
            self._meters[request.account] = meters
        meters.tokens.add(request.tokens, now)
        meters.requests.add(1, now)

    def _charge(
        self, account: _Account, request: AdmissionRequest, now: Instant
    ) -> Result[None, RateLimited]:
        charged = account.requests.try_take(1, now)
        if isinstance(charged, Err):
            return charged
        charged = account.tokens.try_take(request.tokens, now)
        if isinstance(charged, Err):
            account.requests.adjust_level(1, now)
        return charged

    def _refund(self, request: AdmissionRequest, now: Instant) -> None:
        account = self._accounts.get(request.account)
        if account is not None:
            account.requests.adjust_level(1, now)
            account.tokens.adjust_level(request.tokens, now)

    def _may_probe(self, request: AdmissionRequest, now: Instant) -> bool:
        """Return whether a request may run although the estimate is past its deadline.

        Without such requests, a time per token measured while the upstreams were slow
        would refuse every request, and none could show that they are fast again.
        """
        if self._waiting or len(self._running) >= self._max_running * PROBE_SLOT_SHARE:
            return False
        initial_estimate = Estimate(
            0.0, request.run_tokens * self._initial_ms_per_token
        )
        return check_deadline(initial_estimate, request, now).is_ok()

    def _start_or_queue(
        self, request: AdmissionRequest, now: Instant
    ) -> Result[Admission, Refusal]:
        estimate = self.estimate(request, now)
        checked = check_deadline(estimate, request, now)
        if isinstance(checked, Err) and not self._may_probe(request, now):
            return checked
        self._last_id += 1
        admission_id = self._last_id
        if len(self._running) < self._max_running and not self._waiting:
            self._running[admission_id] = now
            return Ok(Admission(admission_id=admission_id, request=request, ready=True))
        item = QueueItem(
            item_id=admission_id,
            account=request.account,
            priority_class=request.priority_class,
            tokens=request.run_tokens,
            start_by=request.deadline.plus_ms(-int(estimate.run_ms)),
        )
        pushed = self._queue.push(item, now)
        if isinstance(pushed, Err):
            return pushed
        admission = Admission(admission_id=admission_id, request=request, ready=False)
        self._waiting[admission_id] = admission
        return Ok(admission)
