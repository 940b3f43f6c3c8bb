"""Capacity planning: choice of the hosts to start, stop and keep."""

from collections.abc import Iterable, Sequence

import attrs

from waxwingbarrow.capacity._actions import (
    CapacityPlan,
    KeepReason,
    PlannedKeep,
    PlannedStart,
    PlannedStop,
    Shortfall,
    ShortfallReason,
    StartReason,
    StopPhase,
    StopReason,
)
from waxwingbarrow.capacity._hosts import (
    CapacityPolicy,
    HostList,
    HostOffer,
    HostState,
    OfferKey,
    OfferList,
    RunningHost,
    ServiceNeed,
)
from waxwingbarrow.capacity._search import (
    compute_max_reclaimable,
    count_survivors,
)
from waxwingbarrow.capacity._targets import (
    Target,
    choose_target,
    compute_needed_workers,
    count_by_pool,
)
from waxwingbarrow.core import DataCentre, Instant, ServiceName, VersionName

_NeedKey = tuple[ServiceName, VersionName, DataCentre]


def plan_capacity(
    needs: Iterable[ServiceNeed],
    offers: OfferList,
    running: HostList,
    policy: CapacityPolicy,
    now: Instant,
) -> CapacityPlan:
    """Choose the hosts to start, stop and keep.

    Parameters
    ----------
    needs : iterable of ServiceNeed
        One need for each service, version and data centre.
    offers : OfferList
        Current offers of the cloud.
    running : HostList
        Running hosts, with the effects of orders that the platform's list does not show
        yet; see `OrderTracker.apply_order_effects`.
    policy : CapacityPolicy
        Settings of the planner.
    now : Instant
        Current time.

    Returns
    -------
    CapacityPlan
        The plan; each running host appears exactly once in its stops and keeps.

    Notes
    -----
    A serving host is drained only if the other serving hosts meet the constraints, so
    its replacement always serves first. No host concerned is stopped while the cloud
    API does not answer, the offers or the host list are stale, or a constraint is
    unmet: the data may then be wrong about which hosts can replace it.
    """
    context = _PlanningContext(offers, running, policy, now)
    by_need: dict[_NeedKey, list[RunningHost]] = {}
    for host in running.hosts:
        by_need.setdefault(_get_host_key(host), []).append(host)
    plans = []
    unserved: set[tuple[ServiceName, DataCentre]] = set()
    for need in sorted(needs, key=_get_need_key):
        plan = _plan_need(need, by_need.pop(_get_need_key(need), []), context)
        plans.append(plan)
        if not plan.served:
            unserved.add((need.service, need.data_centre))
    for key, hosts in sorted(by_need.items()):
        replaced = (key[0], key[2]) not in unserved
        plans.append(_plan_unneeded(hosts, replaced, context))
    # Starts for the needs with the lowest share of serving workers come first.
    plans.sort(key=lambda plan: plan.served_ratio)
    return CapacityPlan(
        starts=tuple(
            sorted(
                (start for plan in plans for start in plan.starts),
                key=_rank_start,
            )
        ),
        stops=tuple(stop for plan in plans for stop in plan.stops),
        keeps=tuple(keep for plan in plans for keep in plan.keeps),
        shortfalls=tuple(item for plan in plans for item in plan.shortfalls),
        cost_per_hour=sum(plan.cost_per_hour for plan in plans),
    )


@attrs.define
class _NeedPlan:
    """Plan for the hosts of one service, version and data centre.

    Parameters
    ----------
    served : bool
        Whether the serving hosts meet the target.
    served_ratio : float
        Number of serving workers as a fraction of the required ones.
    """

    starts: list[PlannedStart] = attrs.field(factory=list)
    stops: list[PlannedStop] = attrs.field(factory=list)
    keeps: list[PlannedKeep] = attrs.field(factory=list)
    shortfalls: list[Shortfall] = attrs.field(factory=list)
    cost_per_hour: float = 0.0
    served: bool = True
    served_ratio: float = 1.0


class _PlanningContext:
    """Offers, prices and age of the data of one planning run."""

    def __init__(
        self,
        offers: OfferList,
        running: HostList,
        policy: CapacityPolicy,
        now: Instant,
    ) -> None:
        self.policy = policy
        self.now = now
        self.reachable = offers.reachable
        self.is_host_list_recent = self._is_recent(running.read_at)
        self._are_offers_recent = self._is_recent(offers.read_at)
        self.prices: dict[OfferKey, float] = {}
        cheapest: dict[OfferKey, HostOffer] = {}
        for offer in offers.offers:
            known = cheapest.get(offer.key)
            if known is None or offer.price_per_hour < known.price_per_hour:
                cheapest[offer.key] = offer
                self.prices[offer.key] = offer.price_per_hour
        self._offers = list(cheapest.values())

    def find_offers(self, need: ServiceNeed) -> list[HostOffer]:
        """Return the offers from which a host for a need may be started now."""
        if not self.reachable:
            return []
        return [
            offer
            for offer in self._offers
            if offer.data_centre == need.data_centre
            and offer.accelerators >= need.accelerators
            and (
                offer.start_refused_until is None
                or offer.start_refused_until.mono_ms <= self.now.mono_ms
            )
        ]

    def find_stop_blocker(self) -> KeepReason | None:
        """Return the reason why no host may be stopped, or None."""
        if not self.reachable:
            return KeepReason.CLOUD_UNREACHABLE
        if not (self._are_offers_recent and self.is_host_list_recent):
            return KeepReason.STALE_DATA
        return None

    def is_overdue(self, host: RunningHost) -> bool:
        """Return whether a host has exceeded the timeout of its start or load."""
        match host.state:
            case HostState.STARTING:
                limit_ms = self.policy.start_timeout_ms
            case HostState.LOADING:
                limit_ms = self.policy.load_timeout_ms
            case _:
                return False
        # A stale host list may still show a start or load that has finished.
        return self.is_host_list_recent and self.exceeds_state_age(host, limit_ms)

    def exceeds_state_age(self, host: RunningHost, limit_ms: int) -> bool:
        """Return whether a host has been in its state for longer than the limit."""
        since = host.state_since
        return since is not None and self.now.mono_ms - since.mono_ms > limit_ms

    def price_of(self, host: RunningHost) -> float:
        """Return the current price per hour of a running host.

        If its offer no longer exists, this is the price at which it was started.
        """
        return self.prices.get(host.offer.key, host.offer.price_per_hour)

    def _is_recent(self, read_at: Instant | None) -> bool:
        if read_at is None:
            return False
        age_ms = self.now.mono_ms - read_at.mono_ms
        return age_ms <= self.policy.max_data_age_ms


def _plan_need(
    need: ServiceNeed, hosts: Sequence[RunningHost], context: _PlanningContext
) -> _NeedPlan:
    plan = _NeedPlan()
    staying = [host for host in hosts if host.state is not HostState.LEAVING]
    active_hosts = [host for host in staying if not context.is_overdue(host)]
    target = choose_target(
        need, active_hosts, context.find_offers(need), context.prices, context.policy
    )
    kept = {host.host for host in target.kept}
    surplus = [host for host in active_hosts if host.host not in kept]
    _add_leaving(plan, hosts, context)
    _add_overdue(plan, [host for host in staying if host not in active_hosts], context)
    _add_starts(plan, need, target, active_hosts, len(surplus), context.policy)
    plan.keeps.extend(PlannedKeep(host, KeepReason.NEEDED) for host in target.kept)
    _add_stops(plan, need, target, active_hosts, surplus, context)
    _add_shortfall(plan, need, target, active_hosts, context)
    serving = [host for host in active_hosts if host.state is HostState.SERVING]
    needed = target.required_workers
    plan.served_ratio = len(serving) / needed if needed else 1.0
    plan.served = _meets_target(target, serving)
    plan.cost_per_hour = sum(context.price_of(host) for host in target.kept)
    plan.cost_per_hour += sum(offer.price_per_hour for offer in target.started)
    return plan


def _plan_unneeded(
    hosts: Sequence[RunningHost], replaced: bool, context: _PlanningContext
) -> _NeedPlan:
    """Plan the hosts of a version for which there is no need.

    Parameters
    ----------
    replaced : bool
        Whether the needs of the service's other versions in the data centre are met.
    """
    plan = _NeedPlan()
    _add_leaving(plan, hosts, context)
    blocker = context.find_stop_blocker()
    for host in hosts:
        if host.state is HostState.LEAVING:
            continue
        if blocker is not None:
            plan.keeps.append(PlannedKeep(host, blocker))
        elif host.state is HostState.SERVING and not replaced:
            plan.keeps.append(PlannedKeep(host, KeepReason.WAITS_FOR_REPLACEMENT))
        else:
            plan.stops.append(_begin_stop(host, StopReason.NOT_NEEDED))
    return plan


def _add_leaving(
    plan: _NeedPlan, hosts: Iterable[RunningHost], context: _PlanningContext
) -> None:
    """Return drained hosts to the cloud, but none that may have requests in flight."""
    blocker = context.find_stop_blocker()
    for host in hosts:
        if host.state is not HostState.LEAVING:
            continue
        if host.leave_by_ms is not None:
            plan.keeps.append(PlannedKeep(host, KeepReason.RECLAIMED))
        elif host.in_flight == 0 and blocker is None:
            plan.stops.append(PlannedStop(host, StopPhase.RETURN, StopReason.DRAINED))
        elif host.in_flight == 0 and blocker is not None:
            plan.keeps.append(PlannedKeep(host, blocker))
        elif context.exceeds_state_age(host, context.policy.drain_overdue_ms):
            plan.keeps.append(PlannedKeep(host, KeepReason.DRAIN_OVERDUE))
        else:
            plan.keeps.append(PlannedKeep(host, KeepReason.DRAINING))


def _add_overdue(
    plan: _NeedPlan, hosts: Iterable[RunningHost], context: _PlanningContext
) -> None:
    blocker = context.find_stop_blocker()
    for host in hosts:
        if blocker is None:
            plan.stops.append(_begin_stop(host, StopReason.START_OVERDUE))
        else:
            plan.keeps.append(PlannedKeep(host, blocker))


def _add_starts(
    plan: _NeedPlan,
    need: ServiceNeed,
    target: Target,
    active_hosts: Sequence[RunningHost],
    replaced: int,
    policy: CapacityPolicy,
) -> None:
    """Start the hosts of the target that do not run yet.

    Parameters
    ----------
    replaced : int
        Number of active hosts that the target does not keep. As many of the new hosts
        only replace these to save cost, and `max_concurrent_replacements` limits them.
    """
    demanded_workers = max(need.min_workers, compute_needed_workers(need))
    required_starts = len(target.started) - replaced
    if not _meets_target(target, active_hosts):
        # All new hosts count as required, because it is not determined which of them
        # restore the unmet constraint and which only save cost.
        required_starts = len(target.started)
    pending = sum(host.state is not HostState.SERVING for host in active_hosts)
    replacements = max(0, policy.max_concurrent_replacements - pending)
    for index, offer in enumerate(target.started):
        if len(active_hosts) + index < demanded_workers:
            reason = StartReason.DEMAND
        elif index < required_starts:
            reason = StartReason.SPARE
        elif replacements > 0:
            reason = StartReason.CHEAPER
            replacements -= 1
        else:
            break
        plan.starts.append(PlannedStart(offer, need.service, need.version, reason))


def _add_stops(
    plan: _NeedPlan,
    need: ServiceNeed,
    target: Target,
    active_hosts: Sequence[RunningHost],
    surplus: Iterable[RunningHost],
    context: _PlanningContext,
) -> None:
    """Stop surplus hosts as long as the remaining serving hosts meet the target."""
    blocker = context.find_stop_blocker()
    if blocker is None and target.shortfall is not None:
        blocker = KeepReason.SHORTFALL
    serving = [host for host in active_hosts if host.state is HostState.SERVING]
    # Reclaimable hosts are stopped first; otherwise their share may exceed its limit.
    ordered = sorted(
        surplus,
        key=lambda host: (
            not host.offer.reclaimable,
            -context.price_of(host),
            host.host,
        ),
    )
    for host in ordered:
        remaining = [other for other in serving if other != host]
        if blocker is not None:
            plan.keeps.append(PlannedKeep(host, blocker))
        elif host not in serving or _may_drain(need, target, host, remaining):
            serving = remaining
            reason = StopReason.REPLACED if target.started else StopReason.NOT_NEEDED
            plan.stops.append(_begin_stop(host, reason))
        else:
            plan.keeps.append(PlannedKeep(host, KeepReason.WAITS_FOR_REPLACEMENT))


def _may_drain(
    need: ServiceNeed,
    target: Target,
    host: RunningHost,
    remaining: Sequence[RunningHost],
) -> bool:
    if not _meets_target(target, remaining):
        return False
    reclaimable = sum(other.offer.reclaimable for other in remaining)
    limit = compute_max_reclaimable(len(remaining), need.max_reclaimable_percent)
    return host.offer.reclaimable or reclaimable <= limit


def _meets_target(target: Target, hosts: Sequence[RunningHost]) -> bool:
    """Return whether enough hosts serve now and remain after the loss of a zone."""
    remaining = count_survivors(count_by_pool(hosts), target.zone_loss)
    return (
        len(hosts) >= target.required_workers and remaining >= target.surviving_workers
    )


def _add_shortfall(
    plan: _NeedPlan,
    need: ServiceNeed,
    target: Target,
    active_hosts: Sequence[RunningHost],
    context: _PlanningContext,
) -> None:
    if target.shortfall is None:
        return
    # Surplus hosts count as well, because they are not stopped during a shortfall.
    counts = count_by_pool(active_hosts) + count_by_pool(target.started)
    remaining = count_survivors(counts, context.policy.zone_loss)
    reason = target.shortfall
    if not context.reachable:
        reason = ShortfallReason.CLOUD_UNREACHABLE
    plan.shortfalls.append(
        Shortfall(
            need.service,
            need.version,
            need.data_centre,
            reason,
            compute_needed_workers(need),
            remaining,
        )
    )


def _begin_stop(host: RunningHost, reason: StopReason) -> PlannedStop:
    """Return the first step of a stop; only a serving host has requests to drain."""
    serving = host.state is HostState.SERVING
    return PlannedStop(host, StopPhase.DRAIN if serving else StopPhase.RETURN, reason)


def _rank_start(start: PlannedStart) -> tuple[int, bool]:
    """Return a sort key that puts urgent starts first, then on-demand ones.

    If some of the starts are refused, the share of reclaimable hosts is then less
    likely to exceed its limit.
    """
    return list(StartReason).index(start.reason), start.offer.reclaimable


def _get_host_key(host: RunningHost) -> _NeedKey:
    return host.service, host.version, host.offer.data_centre


def _get_need_key(need: ServiceNeed) -> _NeedKey:
    return need.service, need.version, need.data_centre
