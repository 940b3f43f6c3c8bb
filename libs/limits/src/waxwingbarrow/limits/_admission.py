"""Admission of requests to this host's part of the upstreams' capacity."""

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

# Weight of one finished request in the measured time per token. Requests differ by
# much, so a few dozen determine the mean.
PACE_WEIGHT = 0.05
# Part of the places that may be used to find out that a measured pace is outdated.
PROBE_SHARE = 1 / 8


@attrs.frozen(kw_only=True)
class AccountLimit:
    """Share of an account's limits that one host may admit.

    Parameters
    ----------
    tokens_per_s, requests_per_s : float
        Results of `compute_share`.
    classes : frozenset of PriorityClass
        Classes that the account may use.
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
        Prompt tokens and the most output tokens, as limits count them; 1 for a request
        to a plain service.
    deadline : Instant
        Time at which the answer is no longer of use.
    run_tokens : int
        Tokens that determine the time to run. Prompt tokens are processed together and
        so count for little; if they counted like output tokens, a long prompt would be
        refused as hopeless.
    """

    account: AccountId
    priority_class: PriorityClass
    tokens: int
    deadline: Instant
    run_tokens: int = attrs.Factory(lambda self: self.tokens, takes_self=True)


@attrs.frozen(kw_only=True)
class Admission:
    """An accepted request.

    Parameters
    ----------
    admission_id : int
        Unique for the controller.
    ready : bool
        Whether it may be sent now; otherwise `next_ready` returns it later.
    """

    admission_id: int
    request: AdmissionRequest
    ready: bool


@attrs.frozen
class RefusedAdmission:
    """A queued request that must be refused; it was not run."""

    admission: Admission
    refusal: Refusal


@attrs.frozen
class Progress:
    """Queued requests whose wait is over."""

    ready: tuple[Admission, ...]
    refused: tuple[RefusedAdmission, ...]


@attrs.frozen(kw_only=True)
class AdmissionPolicy:
    """Constants of `AdmissionController`.

    Parameters
    ----------
    burst_s : float
        Seconds of its rate that an account may use at once.
    max_queue_s : float
        Most work waiting, in seconds of the capacity.
    quantum_tokens : int
        Tokens of one turn of an account.
    demand_window_s : float
        Time constant of the gossiped demand.
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
class _Meters:
    tokens: DemandMeter
    requests: DemandMeter


class AdmissionController:
    """Combines rate limits, the fair queue and early refusal.

    The caller runs each `Admission` that is `ready`, calls `finish` for every
    admission exactly when it ends for whatever reason, and `next_ready` after each
    `finish` and at least every few hundred milliseconds while requests wait.

    Parameters
    ----------
    max_running : int
        Requests that this host may have running at once.
    tokens_per_s : float
        First estimate of the tokens served per second when all of them run; replaced
        by what `finish` reports.
    policy : AdmissionPolicy
        Constants.
    """

    def __init__(
        self, max_running: int, tokens_per_s: float, policy: AdmissionPolicy
    ) -> None:
        self._policy = policy
        self._max_running = max_running
        self._first_token_ms = 1000 * max_running / tokens_per_s
        self._token_ms = self._first_token_ms
        self._queue = FairQueue(
            policy.quantum_tokens, int(policy.max_queue_s * tokens_per_s)
        )
        self._accounts: dict[AccountId, _Account] = {}
        self._meters: dict[AccountId, _Meters] = {}
        self._waiting: dict[int, Admission] = {}
        self._running: dict[int, Instant] = {}
        self._last_id = 0

    def set_shares(self, limits: Iterable[AccountLimit], now: Instant) -> None:
        """Replace the accounts' shares; a missing account is refused from now on."""
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
            An admission, whose `ready` tells whether to wait for `next_ready`; or
            `ClassNotAllowed`, `RateLimited`, `DeadlineTooShort` or `Overloaded`.
        """
        account = self._accounts.get(request.account)
        if account is None:
            return Err(RateLimited(reason="The account has no share on this host."))
        if request.priority_class not in account.limit.classes:
            return Err(ClassNotAllowed())
        self._measure(request, now)
        taken = self._take(account, request, now)
        if isinstance(taken, Err):
            return taken
        accepted = self._place(request, now)
        if isinstance(accepted, Err):
            self._give_back(request, now)
        return accepted

    def next_ready(self, now: Instant) -> Progress:
        """Return queued requests that may run now and those that became hopeless."""
        ready = []
        while len(self._running) < self._max_running:
            item = self._queue.pop(now)
            if item is None:
                break
            waited = self._waiting.pop(item.item_id)
            self._running[item.item_id] = now
            ready.append(attrs.evolve(waited, ready=True))
        refused = []
        for item in self._queue.take_expired(now):
            admission = self._waiting.pop(item.item_id)
            self._give_back(admission.request, now)
            refusal = DeadlineTooShort(
                reason="The request waited until its deadline could not be met."
            )
            refused.append(RefusedAdmission(admission, refusal))
        return Progress(tuple(ready), tuple(refused))

    def finish(self, admission: Admission, tokens_used: int, now: Instant) -> None:
        """Note that an admission ended; a waiting one is withdrawn.

        The account is charged `tokens_used` instead of the expected tokens. A
        repeated call has no effect.
        """
        started = self._running.pop(admission.admission_id, None)
        if started is not None:
            difference = admission.request.tokens - tokens_used
            account = self._accounts.get(admission.request.account)
            if account is not None:
                account.tokens.settle(difference, now)
            if tokens_used > 0:
                request = admission.request
                run_tokens = tokens_used * request.run_tokens / max(request.tokens, 1)
                pace_ms = (now.mono_ms - started.mono_ms) / run_tokens
                self._token_ms += PACE_WEIGHT * (pace_ms - self._token_ms)
        elif self._queue.remove(admission.admission_id):
            del self._waiting[admission.admission_id]
            self._give_back(admission.request, now)

    def demand(self, now: Instant) -> tuple[AccountDemand, ...]:
        """Return what each account asks of this host, for gossip."""
        return tuple(
            AccountDemand(
                account,
                meters.tokens.measure_per_s(now),
                meters.requests.measure_per_s(now),
            )
            for account, meters in sorted(self._meters.items())
        )

    def estimate(self, request: AdmissionRequest, now: Instant) -> Estimate:
        """Return how long a request would wait and run if it were admitted now."""
        run_ms = request.run_tokens * self._token_ms
        free = self._max_running - len(self._running)
        if free > 0 and not self._waiting:
            return Estimate(0.0, run_ms)
        ahead = self._queue.count_tokens_ahead(
            request.account, request.priority_class, request.run_tokens
        )
        if self._max_running < 1:
            return Estimate(float("inf"), run_ms)
        # With all places taken, one becomes free after a mean run divided by them.
        ahead_ms = (ahead + request.run_tokens) * self._token_ms / self._max_running
        return Estimate(ahead_ms, run_ms)

    def _measure(self, request: AdmissionRequest, now: Instant) -> None:
        meters = self._meters.get(request.account)
        if meters is None:
            window_s = self._policy.demand_window_s
            meters = _Meters(DemandMeter(window_s), DemandMeter(window_s))
            self._meters[request.account] = meters
        meters.tokens.add(request.tokens, now)
        meters.requests.add(1, now)

    def _take(
        self, account: _Account, request: AdmissionRequest, now: Instant
    ) -> Result[None, RateLimited]:
        taken = account.requests.try_take(1, now)
        if isinstance(taken, Err):
            return taken
        taken = account.tokens.try_take(request.tokens, now)
        if isinstance(taken, Err):
            account.requests.settle(1, now)
        return taken

    def _give_back(self, request: AdmissionRequest, now: Instant) -> None:
        account = self._accounts.get(request.account)
        if account is not None:
            account.requests.settle(1, now)
            account.tokens.settle(request.tokens, now)

    def _may_probe(self, request: AdmissionRequest, now: Instant) -> bool:
        """Whether a request may run although the measured pace is too slow for it.

        Without this, a pace measured while the upstreams were slow would refuse every
        request, and no request could then show that they are fast again.
        """
        if self._waiting or len(self._running) >= self._max_running * PROBE_SHARE:
            return False
        first_estimate = Estimate(0.0, request.run_tokens * self._first_token_ms)
        return check_deadline(first_estimate, request, now).is_ok()

    def _place(
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
