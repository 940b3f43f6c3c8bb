"""Choice of the hosts to start, stop and keep."""

from collections.abc import Iterable, Sequence

import attrs

from waxwingbarrow.capacity._actions import (
    CapacityPlan,
    Keep,
    KeepReason,
    Shortfall,
    ShortfallReason,
    Start,
    StartReason,
    Stop,
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
from waxwingbarrow.capacity._search import count_survivors, limit_reclaimable
from waxwingbarrow.capacity._targets import (
    Target,
    choose_target,
    compute_needed_workers,
    count_by_cell,
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
        What the cloud offers.
    running : HostList
        Hosts that run, with the effects of open orders; see `OrderBook.overlay`.
    policy : CapacityPolicy
        Constants.
    now : Instant
        Present time.

    Returns
    -------
    CapacityPlan
        The plan; every host is in exactly one of its stops and keeps.

    Notes
    -----
    A serving host is drained only while the other serving hosts meet the constraints,
    so a replacement always serves first. The cloud API's failure to answer, old
    offers, an old host list or an unmet constraint each prevent any stop of the hosts
    concerned: such information may be wrong about what would replace them.
    """
    context = _Context(offers, running, policy, now)
    by_need: dict[_NeedKey, list[RunningHost]] = {}
    for host in running.hosts:
        by_need.setdefault(_key_of(host), []).append(host)
    plans = []
    waiting: set[tuple[ServiceName, DataCentre]] = set()
    for need in sorted(needs, key=_need_key):
        plan = _plan_need(need, by_need.pop(_need_key(need), []), context)
        plans.append(plan)
        if not plan.served:
            waiting.add((need.service, need.data_centre))
    for key, hosts in sorted(by_need.items()):
        replaced = (key[0], key[2]) not in waiting
        plans.append(_plan_unneeded(hosts, replaced, context))
    # Where hosts are missing most, starts come first.
    plans.sort(key=lambda plan: plan.served_part)
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
    starts: list[Start] = attrs.field(factory=list)
    stops: list[Stop] = attrs.field(factory=list)
    keeps: list[Keep] = attrs.field(factory=list)
    shortfalls: list[Shortfall] = attrs.field(factory=list)
    cost_per_hour: float = 0.0
    served: bool = True
    served_part: float = 1.0


class _Context:
    """The information of one plan and its age."""

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
        self.hosts_known = self._is_recent(running.read_at)
        self._offers_known = self._is_recent(offers.read_at)
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

    def find_hindrance(self) -> KeepReason | None:
        """Return why nothing may be stopped, or None."""
        if not self.reachable:
            return KeepReason.CLOUD_UNREACHABLE
        if not (self._offers_known and self.hosts_known):
            return KeepReason.INFORMATION_OLD
        return None

    def is_overdue(self, host: RunningHost) -> bool:
        """Return whether a host's start or load has taken too long."""
        match host.state:
            case HostState.STARTING:
                limit_ms = self.policy.start_timeout_ms
            case HostState.LOADING:
                limit_ms = self.policy.load_timeout_ms
            case _:
                return False
        # An old host list shows every start as unfinished.
        return self.hosts_known and self.is_older(host, limit_ms)

    def is_older(self, host: RunningHost, limit_ms: int) -> bool:
        """Return whether a host has been in its state for longer than the limit."""
        since = host.state_since
        return since is not None and self.now.mono_ms - since.mono_ms > limit_ms

    def price_of(self, host: RunningHost) -> float:
        """Return the present price of a running host."""
        return self.prices.get(host.offer.key, host.offer.price_per_hour)

    def _is_recent(self, read_at: Instant | None) -> bool:
        if read_at is None:
            return False
        age_ms = self.now.mono_ms - read_at.mono_ms
        return age_ms <= self.policy.max_information_age_ms


def _plan_need(
    need: ServiceNeed, hosts: Sequence[RunningHost], context: _Context
) -> _NeedPlan:
    plan = _NeedPlan()
    staying = [host for host in hosts if host.state is not HostState.LEAVING]
    members = [host for host in staying if not context.is_overdue(host)]
    target = choose_target(
        need, members, context.find_offers(need), context.prices, context.policy
    )
    kept = {host.host for host in target.kept}
    extra = [host for host in members if host.host not in kept]
    _add_leaving(plan, hosts, context)
    _add_overdue(plan, [host for host in staying if host not in members], context)
    _add_starts(plan, need, target, members, len(extra), context.policy)
    plan.keeps.extend(Keep(host, KeepReason.NEEDED) for host in target.kept)
    _add_stops(plan, need, target, members, extra, context)
    _add_shortfall(plan, need, target, members, context)
    serving = [host for host in members if host.state is HostState.SERVING]
    needed = target.least_workers
    plan.served_part = len(serving) / needed if needed else 1.0
    plan.served = _meets(target, serving)
    plan.cost_per_hour = sum(context.price_of(host) for host in target.kept)
    plan.cost_per_hour += sum(offer.price_per_hour for offer in target.started)
    return plan


def _plan_unneeded(
    hosts: Sequence[RunningHost], replaced: bool, context: _Context
) -> _NeedPlan:
    """Plan for hosts of a version that no need names."""
    plan = _NeedPlan()
    _add_leaving(plan, hosts, context)
    hindrance = context.find_hindrance()
    for host in hosts:
        if host.state is HostState.LEAVING:
            continue
        if hindrance is not None:
            plan.keeps.append(Keep(host, hindrance))
        elif host.state is HostState.SERVING and not replaced:
            plan.keeps.append(Keep(host, KeepReason.WAITS_FOR_REPLACEMENT))
        else:
            plan.stops.append(_begin_stop(host, StopReason.NOT_NEEDED))
    return plan


def _add_leaving(
    plan: _NeedPlan, hosts: Iterable[RunningHost], context: _Context
) -> None:
    """Return drained hosts; a host with requests in flight is never cut short."""
    hindrance = context.find_hindrance()
    for host in hosts:
        if host.state is not HostState.LEAVING:
            continue
        if host.leave_by_ms is not None:
            plan.keeps.append(Keep(host, KeepReason.RECLAIMED))
        elif host.in_flight == 0 and hindrance is None:
            plan.stops.append(Stop(host, StopPhase.RETURN, StopReason.DRAINED))
        elif host.in_flight == 0 and hindrance is not None:
            plan.keeps.append(Keep(host, hindrance))
        elif context.is_older(host, context.policy.drain_overdue_ms):
            plan.keeps.append(Keep(host, KeepReason.DRAIN_OVERDUE))
        else:
            plan.keeps.append(Keep(host, KeepReason.DRAINING))


def _add_overdue(
    plan: _NeedPlan, hosts: Iterable[RunningHost], context: _Context
) -> None:
    hindrance = context.find_hindrance()
    for host in hosts:
        if hindrance is None:
            plan.stops.append(_begin_stop(host, StopReason.START_OVERDUE))
        else:
            plan.keeps.append(Keep(host, hindrance))


def _add_starts(
    plan: _NeedPlan,
    need: ServiceNeed,
    target: Target,
    members: Sequence[RunningHost],
    replaced: int,
    policy: CapacityPolicy,
) -> None:
    least = max(need.workers, compute_needed_workers(need))
    required = len(target.started) - replaced
    if not _meets(target, members):
        # Which of the new hosts repair the constraint is not told apart from savings.
        required = len(target.started)
    pending = sum(host.state is not HostState.SERVING for host in members)
    moves = max(0, policy.max_moves - pending)
    for index, offer in enumerate(target.started):
        if len(members) + index < least:
            reason = StartReason.DEMAND
        elif index < required:
            reason = StartReason.SPARE
        elif moves > 0:
            reason = StartReason.CHEAPER
            moves -= 1
        else:
            break
        plan.starts.append(Start(offer, need.service, need.version, reason))


def _add_stops(
    plan: _NeedPlan,
    need: ServiceNeed,
    target: Target,
    members: Sequence[RunningHost],
    extra: Iterable[RunningHost],
    context: _Context,
) -> None:
    """Stop unwanted hosts as far as the serving hosts can do without them."""
    hindrance = context.find_hindrance()
    if hindrance is None and target.shortfall is not None:
        hindrance = KeepReason.SHORTFALL
    serving = [host for host in members if host.state is HostState.SERVING]
    # The limit on the reclaimable part is kept only if those stop first.
    ordered = sorted(
        extra,
        key=lambda host: (
            not host.offer.reclaimable,
            -context.price_of(host),
            host.host,
        ),
    )
    for host in ordered:
        remaining = [other for other in serving if other != host]
        if hindrance is not None:
            plan.keeps.append(Keep(host, hindrance))
        elif host not in serving or _may_drain(need, target, host, remaining):
            serving = remaining
            reason = StopReason.REPLACED if target.started else StopReason.NOT_NEEDED
            plan.stops.append(_begin_stop(host, reason))
        else:
            plan.keeps.append(Keep(host, KeepReason.WAITS_FOR_REPLACEMENT))


def _may_drain(
    need: ServiceNeed,
    target: Target,
    host: RunningHost,
    remaining: Sequence[RunningHost],
) -> bool:
    if not _meets(target, remaining):
        return False
    reclaimable = sum(other.offer.reclaimable for other in remaining)
    limit = limit_reclaimable(len(remaining), need.max_reclaimable_percent)
    return host.offer.reclaimable or reclaimable <= limit


def _meets(target: Target, hosts: Sequence[RunningHost]) -> bool:
    """Return whether the hosts serve the need after the loss of a zone."""
    remaining = count_survivors(count_by_cell(hosts), target.zone_loss)
    return len(hosts) >= target.least_workers and remaining >= target.surviving_workers


def _add_shortfall(
    plan: _NeedPlan,
    need: ServiceNeed,
    target: Target,
    members: Sequence[RunningHost],
    context: _Context,
) -> None:
    if target.shortfall is None:
        return
    # Hosts beyond the target are kept during a shortfall.
    counts = count_by_cell(members) + count_by_cell(target.started)
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


def _begin_stop(host: RunningHost, reason: StopReason) -> Stop:
    """Return the first step of a stop; only a serving host has requests to drain."""
    serving = host.state is HostState.SERVING
    return Stop(host, StopPhase.DRAIN if serving else StopPhase.RETURN, reason)


def _rank_start(start: Start) -> tuple[int, bool]:
    """Order urgent starts first, then on-demand ones.

    If some starts are refused, the reclaimable part then exceeds its limit less often.
    """
    return list(StartReason).index(start.reason), start.offer.reclaimable


def _key_of(host: RunningHost) -> _NeedKey:
    return host.service, host.version, host.offer.data_centre


def _need_key(need: ServiceNeed) -> _NeedKey:
    return need.service, need.version, need.data_centre
