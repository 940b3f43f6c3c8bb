"""Limits of accounts over all hosts."""

import math
from collections import deque
from collections.abc import Iterable

import attrs
from result import Ok, Result

from waxwingbarrow.core import AccountId, HostId, Instant, RateLimited
from waxwingbarrow.gateway._model import Account, CallFacts
from waxwingbarrow.limits import (
    DemandMeter,
    PeerDemand,
    SharePolicy,
    TokenBucket,
    compute_proportional_share,
    compute_share,
)

# Short, so that a host that an account turns to gets its share within two seconds.
DEMAND_WINDOW_S = 1.5
SHARE_POLICY = SharePolicy(stale_ms=2_500)
# Part of a full bucket above which hosts admit without regard to their shares: what
# they admit until they hear of each other stays below it.
PLENTY = 0.5
# Where only sums are known, the others learn what a host asks for this much later.
# Until then it may count on its equal part of a limit only.
SUMS_LAG_MS = 1_250
# Hosts that have been silent for this long are charged what they last asked for.
SILENT_MS = 1_000

# Sums of a relay older than this are not used.
OTHERS_STALE_MS = 3_000

Origin = tuple[HostId, int]


@attrs.frozen
class _Others:
    """Demand at all other hosts together.

    Parameters
    ----------
    host_count, known_count : int
        Hosts in the sum, this one included, and hosts there were a while ago.
    """

    demand_per_s: float
    host_count: int
    known_count: int
    at_ms: int


@attrs.define
class _Quota:
    """One account at this host.

    Parameters
    ----------
    burst : float
        Content of the full limit.
    total : TokenBucket
        The whole limit, from which the charges of all hosts are taken as they become
        known.
    share : TokenBucket
        This host's share, which decides while the whole limit is nearly used up.
    plenty : float
        Part of the full limit above which it counts as hardly used.
    max_debt : float
        How far the share may be exceeded meanwhile. It is bounded where the other
        hosts' charges are known only as sums, and late.
    told : deque
        Own demand over the last seconds, with its time.
    """

    account: Account
    burst: float
    total: TokenBucket
    share: TokenBucket
    meter: DemandMeter
    taken: float = 0.0
    plenty: float = PLENTY
    max_debt: float = math.inf
    told: deque[tuple[int, float]] = attrs.Factory(deque)
    peers_taken: dict[Origin, float] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class Limit:
    """An account's limit as this host knows it.

    Parameters
    ----------
    rate_per_s, burst : float
        The limit, with the allowed excess.
    level : float
        Estimate of what is left of it.
    heard_part : float
        Part of the hosts that are heard; the others use their parts unheard.
    """

    rate_per_s: float
    burst: float
    level: float
    heard_part: float


@attrs.frozen(kw_only=True)
class QuotaState:
    """What a decision on a quota was made from, for the log.

    Parameters
    ----------
    total_left : float
        What is left of the whole limit, as far as this host knows.
    share_left : float
        What is left of this host's share.
    share_per_s : float
        Rate of the share.
    demand_per_s : float
        What the account asks of this host.
    """

    total_left: float
    share_left: float
    share_per_s: float
    demand_per_s: float


class Quotas:
    """Part of the accounts' limits that one host may use.

    While an account is well below its limit, any host admits any of its requests; near
    the limit each host keeps to a share by demand. Shares alone would refuse large or
    unevenly spread requests of accounts that are within their limits.

    Parameters
    ----------
    tolerance : float
        Amount beyond the burst by which the hosts together may exceed a limit in
        tokens.
    started_ms : int
        Wall time of the start of this process.
    is_first_start : bool
        Whether the whole deployment starts for the first time. Otherwise the limits
        count as used up at first: what was admitted before a restart is not known.
    """

    def __init__(
        self,
        tolerance: float = 0.0,
        started_ms: int = 0,
        is_first_start: bool = True,
    ) -> None:
        self._tolerance = tolerance
        self._started_ms = started_ms
        self._is_first_start = is_first_start
        self._quotas: dict[AccountId, _Quota] = {}
        self._peer_demands: dict[AccountId, dict[HostId, PeerDemand]] = {}
        self._others: dict[AccountId, _Others] = {}
        self._updated_ms: int | None = None

    def set_accounts(
        self, accounts: Iterable[Account], host_count: int, now: Instant
    ) -> None:
        """Take over the accounts of a configuration."""
        quotas = {}
        for account in accounts:
            if account.rate_per_s <= 0:
                continue
            known = self._quotas.get(account.name)
            if known is not None and (
                known.account.rate_per_s == account.rate_per_s
                and known.account.burst == account.burst
            ):
                known.account = account
                quotas[account.name] = known
                continue
            burst = account.burst + (self._tolerance if account.counts_tokens else 0)
            burst_s = max(burst, 1.0) / account.rate_per_s
            quota = _Quota(
                account,
                max(burst, 1.0),
                TokenBucket(account.rate_per_s, burst_s, now),
                TokenBucket(account.rate_per_s / max(host_count, 1), burst_s, now),
                known.meter if known else DemandMeter(DEMAND_WINDOW_S),
            )
            if known is not None:
                quota.taken = known.taken
                quota.peers_taken = known.peers_taken
                # A changed limit does not forgive what was used under the old one.
                quota.total.settle(-_measure_used(known.total, now), now)
                quota.share.settle(-_measure_used(known.share, now), now)
            elif not self._is_first_start:
                quota.total.settle(-quota.total.capacity, now)
                quota.share.settle(-quota.share.capacity, now)
            quotas[account.name] = quota
        self._quotas = quotas

    def note_peer_demand(
        self, account: AccountId, host: HostId, demand_per_s: float, now: Instant
    ) -> None:
        """Take over what an account asks of another host."""
        demands = self._peer_demands.setdefault(account, {})
        demands[host] = PeerDemand(host, demand_per_s, now)

    def note_peer_taken(
        self, account: AccountId, origin: Origin, taken: float, now: Instant
    ) -> None:
        """Take over what another host has charged since its start."""
        quota = self._quotas.get(account)
        if quota is None:
            return
        known = quota.peers_taken.get(origin)
        quota.peers_taken[origin] = taken
        if known is None and origin[1] >= self._started_ms:
            known = 0.0
        # What a host charged before this one started may be long ago.
        if known is not None and taken != known:
            quota.total.settle(known - taken, now)

    def note_others(
        self,
        account: AccountId,
        demand_per_s: float,
        host_count: int,
        known_count: int,
        now: Instant,
    ) -> None:
        """Take over what an account asks of all other hosts together."""
        known_count = max(known_count, host_count, 1)
        self._others[account] = _Others(
            demand_per_s, host_count, known_count, now.mono_ms
        )

    def update_shares(self, host_count: int, now: Instant) -> None:
        """Divide the limits by the present demand."""
        elapsed_s = 0.0
        if self._updated_ms is not None:
            elapsed_s = (now.mono_ms - self._updated_ms) / 1000
        self._updated_ms = now.mono_ms
        for name, quota in self._quotas.items():
            others = self._others.get(name)
            if others is not None and now.mono_ms - others.at_ms < OTHERS_STALE_MS:
                self._update_proportionally(quota, others, elapsed_s, now)
                continue
            demands = self._peer_demands.get(name, {})
            share = compute_share(
                quota.account.rate_per_s,
                quota.meter.measure_per_s(now),
                demands.values(),
                host_count,
                now,
                SHARE_POLICY,
            )
            quota.share.set_rate(share, now)
            # Hosts that are not heard may use their part without this one knowing.
            heard = 1 + sum(
                now.mono_ms - demand.learned_at.mono_ms < SHARE_POLICY.stale_ms
                for demand in demands.values()
            )
            part = heard / max(host_count, heard)
            quota.total.set_rate(quota.account.rate_per_s * part, now)
            silent_per_s = sum(
                demand.demand_per_s
                for demand in demands.values()
                if now.mono_ms - demand.learned_at.mono_ms > SILENT_MS
                and now.mono_ms - demand.learned_at.mono_ms < SHARE_POLICY.stale_ms
            )
            quota.total.settle(-silent_per_s * elapsed_s, now)

    def _update_proportionally(
        self, quota: _Quota, others: _Others, elapsed_s: float, now: Instant
    ) -> None:
        # All hosts together may admit one full bucket before they hear of each other.
        quota.plenty = 1 - 1 / others.known_count
        quota.max_debt = quota.total.capacity / others.known_count
        # Hosts that are cut off go on using their part.
        part = others.host_count / others.known_count
        limit_per_s = quota.account.rate_per_s * part
        own_per_s = _find_known_demand(quota, others, now)
        share = compute_proportional_share(
            limit_per_s, own_per_s, others.demand_per_s, others.host_count
        )
        quota.share.set_rate(share, now)
        quota.total.set_rate(limit_per_s, now)
        quota.total.settle(-others.demand_per_s * elapsed_s, now)

    def list_demands(self, now: Instant) -> list[tuple[AccountId, float]]:
        """Return the demand at this host, for its peers."""
        return [
            (name, round(quota.meter.measure_per_s(now), 1))
            for name, quota in self._quotas.items()
        ]

    def list_taken(self) -> list[tuple[str, float]]:
        """Return what was charged at this host, for its peers."""
        return [(str(name), quota.taken) for name, quota in self._quotas.items()]

    def count_cost(self, account: Account | None, facts: CallFacts) -> float:
        """Return what a request is charged."""
        if account is None or account.rate_per_s <= 0:
            return 0.0
        if not account.counts_tokens:
            return 1.0
        if facts.has_token_counts:
            return float(facts.prompt_tokens + facts.max_output_tokens)
        return float(account.plain_tokens)

    def try_take(
        self, account: Account | None, cost: float, now: Instant
    ) -> Result[None, RateLimited]:
        """Charge a request to its account."""
        quota = self._quotas.get(account.name) if account is not None else None
        if quota is None or cost <= 0:
            return Ok(None)
        quota.meter.add(cost, now)
        has_plenty = (
            quota.total.measure_level(now) >= quota.plenty * quota.total.capacity
            and quota.share.measure_level(now) > -quota.max_debt
        )
        if not has_plenty:
            taken = quota.share.try_take(cost, now)
            if taken.is_err():
                return taken
        else:
            quota.share.settle(-cost, now)
        quota.total.settle(-cost, now)
        quota.taken += cost
        return Ok(None)

    def find_limit(self, name: AccountId, now: Instant) -> Limit | None:
        """Return an account's limit; None if it has none."""
        quota = self._quotas.get(name)
        if quota is None:
            return None
        others = self._others.get(name)
        part = 1.0 if others is None else others.host_count / others.known_count
        return Limit(
            rate_per_s=quota.account.rate_per_s,
            burst=quota.burst,
            level=quota.total.measure_level(now),
            heard_part=part,
        )

    def note_granted(
        self, account: Account, cost: float, is_admitted: bool, now: Instant
    ) -> None:
        """Note a request on which the keeper decided."""
        quota = self._quotas.get(account.name)
        if quota is not None:
            quota.meter.add(cost, now)
            if is_admitted:
                quota.total.settle(-cost, now)

    def give_back_grant(self, name: AccountId, cost: float) -> None:
        """Return what the keeper charged for a request that did not run."""
        quota = self._quotas.get(name)
        if quota is not None:
            quota.taken -= cost

    def describe(self, account: Account, now: Instant) -> QuotaState | None:
        """Return the state of an account's quota; None if it has no limit."""
        quota = self._quotas.get(account.name)
        if quota is None:
            return None
        return QuotaState(
            total_left=round(quota.total.measure_level(now)),
            share_left=round(quota.share.measure_level(now)),
            share_per_s=round(quota.share.rate_per_s),
            demand_per_s=round(quota.meter.measure_per_s(now)),
        )

    def give_back(self, account: Account | None, cost: float, now: Instant) -> None:
        """Return the charge of a request that did not run."""
        quota = self._quotas.get(account.name) if account is not None else None
        if quota is not None and cost > 0:
            quota.share.settle(cost, now)
            quota.total.settle(cost, now)
            quota.taken -= cost


def _find_known_demand(quota: _Quota, others: _Others, now: Instant) -> float:
    """Return the part of the own demand that the other hosts knew at their last sums.

    A host that is cut off has old sums, so nothing that it is asked since is known.
    """
    own_per_s = quota.meter.measure_per_s(now)
    quota.told.append((now.mono_ms, own_per_s))
    known_until_ms = others.at_ms - SUMS_LAG_MS
    while len(quota.told) > 1 and quota.told[1][0] <= known_until_ms:
        quota.told.popleft()
    told_ms, known_per_s = quota.told[0]
    return min(own_per_s, known_per_s) if told_ms <= known_until_ms else 0.0


def _measure_used(bucket: TokenBucket, now: Instant) -> float:
    return bucket.capacity - bucket.measure_level(now)
