"""Rate limits of accounts, enforced by all hosts together.

Amounts, such as costs, charges, demands and what is left of a limit, are in the unit of
the account's limit: tokens or requests.
"""

import math
from collections import deque
from collections.abc import Iterable

import attrs
from result import Ok, Result

from waxwingbarrow.core import AccountId, HostId, Instant, RateLimited
from waxwingbarrow.gateway.base import Account, CallMetadata
from waxwingbarrow.limits import (
    DemandMeter,
    PeerDemand,
    SharePolicy,
    TokenBucket,
    compute_proportional_share,
    compute_share,
)

# Time constant of the demand meters. Short, so that a host to which an account begins
# to send gets its share within two seconds.
DEMAND_WINDOW_S = 1.5
SHARE_POLICY = SharePolicy(stale_ms=2_500)
# While at least this fraction of an account's limit is left, a host admits regardless
# of its share. What all hosts together admit before they learn of each other's charges
# is less than that.
SHARE_THRESHOLD = 0.5
# Time until the other hosts learn of a demand in deployments with relays, which send
# only totals. Until then a host may use only its equal part of the limit.
PEER_TOTALS_LAG_MS = 1_250
# If the last report of a peer is older than this, the demand in it is deducted from the
# limit instead of the peer's charges, which are not known.
PEER_SILENT_MS = 1_000
# Totals from a relay that are this old or older are ignored.
PEER_TOTALS_STALE_MS = 3_000

# A host and the wall time in ms at which its process started.
Origin = tuple[HostId, int]


@attrs.frozen
class _PeerTotals:
    """Demand of one account at all other hosts together.

    Parameters
    ----------
    host_count : int
        Hosts that the total covers, this one included.
    known_count : int
        Highest host count of the recent totals, which includes hosts that have become
        unreachable since.
    at_ms : int
        Monotonic time at which the total was received.
    """

    demand_per_s: float
    host_count: int
    known_count: int
    at_ms: int


@attrs.define
class _Quota:
    """State of one account at this host.

    Parameters
    ----------
    burst : float
        Capacity of `total`, with the tolerance.
    total : TokenBucket
        The limit over all hosts. The charges of all hosts are taken from it as they
        become known.
    share : TokenBucket
        This host's share, which decides while `total` is below `share_threshold`.
    meter : DemandMeter
        Demand at this host, refused requests included.
    charged : float
        What this host has charged since it started.
    share_threshold : float
        Fraction of `total` from which requests are admitted regardless of the share.
    max_debt : float
        How far `share` may be overdrawn while it does not decide. It is bounded where
        the other hosts' charges are known only as totals, and late.
    demand_history : deque
        Monotonic time in ms and demand per second at this host, over the last seconds.
    charged_by_peers : dict
        What each peer has charged since it started, as last reported.
    """

    account: Account
    burst: float
    total: TokenBucket
    share: TokenBucket
    meter: DemandMeter
    charged: float = 0.0
    share_threshold: float = SHARE_THRESHOLD
    max_debt: float = math.inf
    demand_history: deque[tuple[int, float]] = attrs.Factory(deque)
    charged_by_peers: dict[Origin, float] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class AccountLimit:
    """An account's limit as this host knows it.

    Parameters
    ----------
    rate_per_s, burst : float
        The limit in tokens or requests; `burst` includes the allowed excess.
    level : float
        Estimate of what is left of the limit; negative if it is overdrawn.
    reachable_fraction : float
        Fraction of the hosts that can be reached. The others go on using their parts
        of the limit without reporting it.
    """

    rate_per_s: float
    burst: float
    level: float
    reachable_fraction: float


@attrs.frozen(kw_only=True)
class QuotaState:
    """Inputs of a decision on a quota, for the log.

    Parameters
    ----------
    total_left : float
        What is left of the whole limit, as far as this host knows.
    share_left : float
        What is left of this host's share.
    share_per_s : float
        Rate at which the share is refilled.
    demand_per_s : float
        Demand of the account at this host.
    """

    total_left: float
    share_left: float
    share_per_s: float
    demand_per_s: float


class Quotas:
    """Admits requests at one host within the limits that accounts have over all hosts.

    While an account is well below its limit, every host admits all of its requests;
    near the limit each host admits only its share, which follows the demand there.
    Shares alone would refuse large or unevenly spread requests of accounts that are
    within their limits.

    Parameters
    ----------
    tolerance : float
        Tokens beyond the burst by which the hosts together may exceed the limit of an
        account that is charged by tokens.
    started_ms : int
        Wall time in ms at which this process started.
    is_first_start : bool
        Whether the whole deployment starts for the first time. Otherwise all limits
        start as used up, because what was admitted before a restart is not known.
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
        self._peer_totals: dict[AccountId, _PeerTotals] = {}
        self._updated_ms: int | None = None

    def set_accounts(
        self, accounts: Iterable[Account], host_count: int, now: Instant
    ) -> None:
        """Apply the accounts of a configuration.

        An account whose limit is unchanged keeps its state.
        """
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
                quota.charged = known.charged
                quota.charged_by_peers = known.charged_by_peers
                # What was used under the old limit is charged to the new one.
                quota.total.adjust_level(-_measure_used(known.total, now), now)
                quota.share.adjust_level(-_measure_used(known.share, now), now)
            elif not self._is_first_start:
                quota.total.adjust_level(-quota.total.capacity, now)
                quota.share.adjust_level(-quota.share.capacity, now)
            quotas[account.name] = quota
        self._quotas = quotas

    def note_peer_demand(
        self, account: AccountId, host: HostId, demand_per_s: float, now: Instant
    ) -> None:
        """Record the demand of an account at another host."""
        demands = self._peer_demands.setdefault(account, {})
        demands[host] = PeerDemand(host, demand_per_s, now)

    def note_peer_charges(
        self, account: AccountId, origin: Origin, charged: float, now: Instant
    ) -> None:
        """Deduct what another host has charged since its previous report.

        Parameters
        ----------
        charged : float
            What the host has charged since it started.
        """
        quota = self._quotas.get(account)
        if quota is None:
            return
        known = quota.charged_by_peers.get(origin)
        quota.charged_by_peers[origin] = charged
        if known is None and origin[1] >= self._started_ms:
            known = 0.0
        # The first report of a host that started before this one may contain charges
        # from long ago, so it is only the baseline for the next report.
        if known is not None and charged != known:
            quota.total.adjust_level(known - charged, now)

    def note_peer_totals(
        self,
        account: AccountId,
        demand_per_s: float,
        host_count: int,
        known_count: int,
        now: Instant,
    ) -> None:
        """Record the demand of an account at all other hosts together.

        Parameters
        ----------
        host_count, known_count : int
            Hosts that the total covers, and the highest recent number of these; both
            include this host.
        """
        known_count = max(known_count, host_count, 1)
        self._peer_totals[account] = _PeerTotals(
            demand_per_s, host_count, known_count, now.mono_ms
        )

    def update_shares(self, host_count: int, now: Instant) -> None:
        """Recompute this host's shares of the limits from the current demand."""
        elapsed_s = 0.0
        if self._updated_ms is not None:
            elapsed_s = (now.mono_ms - self._updated_ms) / 1000
        self._updated_ms = now.mono_ms
        for name, quota in self._quotas.items():
            totals = self._peer_totals.get(name)
            if totals is not None and now.mono_ms - totals.at_ms < PEER_TOTALS_STALE_MS:
                self._update_proportionally(quota, totals, elapsed_s, now)
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
            # Hosts that cannot be reached may use their parts without reporting it.
            reachable_count = 1 + sum(
                now.mono_ms - demand.received_at.mono_ms < SHARE_POLICY.stale_ms
                for demand in demands.values()
            )
            fraction = reachable_count / max(host_count, reachable_count)
            quota.total.set_rate(quota.account.rate_per_s * fraction, now)
            silent_peers_per_s = sum(
                demand.demand_per_s
                for demand in demands.values()
                if now.mono_ms - demand.received_at.mono_ms > PEER_SILENT_MS
                and now.mono_ms - demand.received_at.mono_ms < SHARE_POLICY.stale_ms
            )
            quota.total.adjust_level(-silent_peers_per_s * elapsed_s, now)

    def _update_proportionally(
        self, quota: _Quota, totals: _PeerTotals, elapsed_s: float, now: Instant
    ) -> None:
        # All hosts together may admit one full bucket before they learn of each other's
        # charges.
        quota.share_threshold = 1 - 1 / totals.known_count
        quota.max_debt = quota.total.capacity / totals.known_count
        # Hosts that cannot be reached go on using their parts of the limit.
        fraction = totals.host_count / totals.known_count
        limit_per_s = quota.account.rate_per_s * fraction
        own_per_s = _find_reported_demand(quota, totals, now)
        share = compute_proportional_share(
            limit_per_s, own_per_s, totals.demand_per_s, totals.host_count
        )
        quota.share.set_rate(share, now)
        quota.total.set_rate(limit_per_s, now)
        quota.total.adjust_level(-totals.demand_per_s * elapsed_s, now)

    def list_demands(self, now: Instant) -> list[tuple[AccountId, float]]:
        """Return the demand per second of each account at this host, for its peers."""
        return [
            (name, round(quota.meter.measure_per_s(now), 1))
            for name, quota in self._quotas.items()
        ]

    def list_charges(self) -> list[tuple[str, float]]:
        """Return what this host charged to each account since its start."""
        return [(str(name), quota.charged) for name, quota in self._quotas.items()]

    def compute_cost(self, account: Account | None, metadata: CallMetadata) -> float:
        """Return the cost of a request in the unit of its limit: tokens or requests."""
        if account is None or account.rate_per_s <= 0:
            return 0.0
        if not account.counts_tokens:
            return 1.0
        if metadata.has_token_counts:
            return float(metadata.prompt_tokens + metadata.max_output_tokens)
        return float(account.plain_tokens)

    def try_take(
        self, account: Account | None, cost: float, now: Instant
    ) -> Result[None, RateLimited]:
        """Charge a request to its account if the limit allows it."""
        quota = self._quotas.get(account.name) if account is not None else None
        if quota is None or cost <= 0:
            return Ok(None)
        quota.meter.add(cost, now)
        is_well_below_limit = (
            quota.total.measure_level(now)
            >= quota.share_threshold * quota.total.capacity
            and quota.share.measure_level(now) > -quota.max_debt
        )
        if not is_well_below_limit:
            charged = quota.share.try_take(cost, now)
            if charged.is_err():
                return charged
        else:
            quota.share.adjust_level(-cost, now)
        quota.total.adjust_level(-cost, now)
        quota.charged += cost
        return Ok(None)

    def find_limit(self, name: AccountId, now: Instant) -> AccountLimit | None:
        """Return an account's limit; None if it has none."""
        quota = self._quotas.get(name)
        if quota is None:
            return None
        totals = self._peer_totals.get(name)
        fraction = 1.0 if totals is None else totals.host_count / totals.known_count
        return AccountLimit(
            rate_per_s=quota.account.rate_per_s,
            burst=quota.burst,
            level=quota.total.measure_level(now),
            reachable_fraction=fraction,
        )

    def note_keeper_decision(
        self, account: Account, cost: float, is_admitted: bool, now: Instant
    ) -> None:
        """Record a request on which the quota keeper decided.

        The keeper counts the charge, so it is not part of what this host reports.
        """
        quota = self._quotas.get(account.name)
        if quota is not None:
            quota.meter.add(cost, now)
            if is_admitted:
                quota.total.adjust_level(-cost, now)

    def note_grant(self, name: AccountId, cost: float) -> None:
        """Record what this host admitted as the quota keeper, for any host.

        It is part of the charges that this host reports to another keeper.
        """
        quota = self._quotas.get(name)
        if quota is not None:
            quota.charged += cost

    def refund_grant(self, name: AccountId, cost: float) -> None:
        """Refund what the quota keeper charged for a request that did not run.

        The keeper learns of the refund from the charges that this host reports.
        """
        quota = self._quotas.get(name)
        if quota is not None:
            quota.charged -= cost

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

    def refund(self, account: Account | None, cost: float, now: Instant) -> None:
        """Refund the charge of a request that did not run."""
        quota = self._quotas.get(account.name) if account is not None else None
        if quota is not None and cost > 0:
            quota.share.adjust_level(cost, now)
            quota.total.adjust_level(cost, now)
            quota.charged -= cost


def _find_reported_demand(quota: _Quota, totals: _PeerTotals, now: Instant) -> float:
    """Return the part of this host's demand that is contained in the last totals.

    A host that is cut off has old totals, which do not contain its later demand.
    """
    own_per_s = quota.meter.measure_per_s(now)
    quota.demand_history.append((now.mono_ms, own_per_s))
    reported_until_ms = totals.at_ms - PEER_TOTALS_LAG_MS
    while (
        len(quota.demand_history) > 1
        and quota.demand_history[1][0] <= reported_until_ms
    ):
        quota.demand_history.popleft()
    measured_ms, reported_per_s = quota.demand_history[0]
    return min(own_per_s, reported_per_s) if measured_ms <= reported_until_ms else 0.0


def _measure_used(bucket: TokenBucket, now: Instant) -> float:
    return bucket.capacity - bucket.measure_level(now)
