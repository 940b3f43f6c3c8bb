"""Target hosts of one service need: which hosts to keep and which to start."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs

from waxwingbarrow.capacity._actions import ShortfallReason
from waxwingbarrow.capacity._hosts import (
    CapacityPolicy,
    HostOffer,
    HostState,
    OfferKey,
    RunningHost,
    ServiceNeed,
    ZoneLoss,
)
from waxwingbarrow.capacity._search import (
    Allocation,
    AllocationProblem,
    CapacityPool,
    PoolCosts,
    count_survivors,
    find_allocation,
    find_cheapest_allocation,
)

# Prefers a running host to an offer of the same price.
_TIE_FACTOR = 1 - 1e-9

_STATE_ORDER = [HostState.SERVING, HostState.LOADING, HostState.STARTING]


@attrs.frozen
class Target:
    """Target hosts of one service need.

    Parameters
    ----------
    kept : tuple of RunningHost
        Running hosts that the target includes.
    started : tuple of HostOffer
        Offers from which the other hosts of the target are to be started.
    required_workers : int
        Number of workers that must serve while no zone is lost.
    surviving_workers : int
        Number of workers that must remain after the loss of a zone.
    zone_loss : ZoneLoss or None
        Zone loss that the target tolerates; None if it tolerates none.
    shortfall : ShortfallReason or None
        Constraint that no allocation meets; None if all are met.
    """

    kept: tuple[RunningHost, ...]
    started: tuple[HostOffer, ...]
    required_workers: int
    surviving_workers: int
    zone_loss: ZoneLoss | None
    shortfall: ShortfallReason | None


def compute_needed_workers(need: ServiceNeed, slack_percent: float = 0.0) -> int:
    """Return the number of workers for the demand increased by `slack_percent`."""
    demand = need.demand_tokens_per_s * (1 + slack_percent / 100)
    return math.ceil(demand / need.tokens_per_s_per_worker - 1e-9)


def count_by_pool(hosts: Iterable[RunningHost | HostOffer]) -> Counter[CapacityPool]:
    """Return the number of hosts by capacity pool."""
    counts: Counter[CapacityPool] = Counter()
    for host in hosts:
        counts[_get_pool(host)] += 1
    return counts


def choose_target(
    need: ServiceNeed,
    active_hosts: Sequence[RunningHost],
    offers: Sequence[HostOffer],
    prices: Mapping[OfferKey, float],
    policy: CapacityPolicy,
) -> Target:
    """Choose the target hosts of a service need.

    Parameters
    ----------
    need : ServiceNeed
        Capacity that the service needs.
    active_hosts : sequence of RunningHost
        Hosts that serve the version, or are starting or loading in time.
    offers : sequence of HostOffer
        Offers from which a host may be started now.
    prices : Mapping
        Current prices per hour by offer.
    policy : CapacityPolicy
        Settings of the planner.

    Returns
    -------
    Target
        The cheapest hosts that meet the constraints, where the price of a running host
        is reduced by `min_saving_percent`. If no allocation meets all constraints, a
        smaller zone loss is tolerated, then none, and at last the number of workers is
        reduced.
    """
    ranked = _rank_active_hosts(active_hosts, prices, policy)
    by_pool: dict[CapacityPool, list[HostOffer]] = defaultdict(list)
    for offer in offers:
        by_pool[_get_pool(offer)].append(offer)
    pools = {
        pool: PoolCosts(
            tuple(cost for cost, _ in ranked.get(pool, ())),
            min((o.price_per_hour for o in by_pool.get(pool, ())), default=None),
        )
        for pool in {*ranked, *by_pool}
    }
    counts, problem, shortfall = _find_best_allocation(
        need, pools, active_hosts, policy
    )
    kept, started = _select_hosts(
        counts, pools, ranked, by_pool, problem.zone_loss, policy
    )
    return Target(
        kept,
        started,
        problem.required_workers,
        problem.surviving_workers,
        problem.zone_loss,
        shortfall,
    )


def compute_required_workers(
    need: ServiceNeed, policy: CapacityPolicy, slack_percent: float = 0.0
) -> int:
    """Return the number of workers, with headroom, required while no zone is lost."""
    factor = (1 + policy.headroom_percent / 100) * (1 + slack_percent / 100)
    return max(need.min_workers, compute_needed_workers(need, 100 * (factor - 1)))


def _find_best_allocation(
    need: ServiceNeed,
    pools: Mapping[CapacityPool, PoolCosts],
    active_hosts: Sequence[RunningHost],
    policy: CapacityPolicy,
) -> tuple[Allocation, AllocationProblem, ShortfallReason | None]:
    """Return the cheapest allocation for the strictest constraints that can be met.

    If the offers allow no allocation with the required number of workers, the largest
    smaller one is returned.
    """
    for problem, shortfall in _list_relaxations(need, pools, active_hosts, policy):
        found = find_cheapest_allocation(problem)
        if found is not None:
            return found, problem, shortfall
    required = compute_required_workers(need, policy)
    problem = AllocationProblem(pools, 0, 0, need.max_reclaimable_percent, None)
    reduced = (find_allocation(problem, total) for total in range(required - 1, 0, -1))
    counts = next((item for item in reduced if item is not None), Allocation({}, 0.0))
    problem = attrs.evolve(
        problem,
        required_workers=required,
        surviving_workers=compute_needed_workers(need),
    )
    return counts, problem, ShortfallReason.DEMAND


def _list_relaxations(
    need: ServiceNeed,
    pools: Mapping[CapacityPool, PoolCosts],
    active_hosts: Sequence[RunningHost],
    policy: CapacityPolicy,
) -> Iterator[tuple[AllocationProblem, ShortfallReason | None]]:
    """Yield the constraints to try, strictest first, and the shortfall of each."""
    required, surviving = (
        compute_required_workers(need, policy),
        compute_needed_workers(need),
    )
    problem = AllocationProblem(
        pools, required, surviving, need.max_reclaimable_percent, policy.zone_loss
    )
    # Hysteresis: running hosts are kept as long as a slightly higher demand would need
    # them.
    slack = policy.scale_down_slack_percent
    survivors = count_survivors(count_by_pool(active_hosts), policy.zone_loss)
    max_required = compute_required_workers(need, policy, slack)
    max_surviving = compute_needed_workers(need, slack)
    kept = attrs.evolve(
        problem,
        required_workers=min(max(len(active_hosts), required), max_required),
        surviving_workers=min(max(survivors, surviving), max_surviving),
    )
    if kept != problem:
        yield kept, None
    yield problem, None
    if policy.zone_loss is ZoneLoss.EVERY_HOST:
        reclaims_only = attrs.evolve(problem, zone_loss=ZoneLoss.RECLAIMABLE)
        yield reclaims_only, ShortfallReason.RECLAIMS_ONLY
    yield attrs.evolve(problem, zone_loss=None), ShortfallReason.NO_SPARE


def _rank_active_hosts(
    active_hosts: Sequence[RunningHost],
    prices: Mapping[OfferKey, float],
    policy: CapacityPolicy,
) -> dict[CapacityPool, list[tuple[float, RunningHost]]]:
    """Return the hosts of each capacity pool with their costs, preferred ones first."""
    factor = (1 - policy.min_saving_percent / 100) * _TIE_FACTOR
    ranked: dict[CapacityPool, list[tuple[float, RunningHost]]] = defaultdict(list)
    for host in active_hosts:
        price = prices.get(host.offer.key, host.offer.price_per_hour)
        ranked[_get_pool(host)].append((price * factor, host))
    for hosts in ranked.values():
        hosts.sort(
            key=lambda item: (item[0], _STATE_ORDER.index(item[1].state), item[1].host)
        )
    return ranked


def _select_hosts(
    counts: Allocation,
    pools: Mapping[CapacityPool, PoolCosts],
    ranked: Mapping[CapacityPool, Sequence[tuple[float, RunningHost]]],
    offers: Mapping[CapacityPool, Sequence[HostOffer]],
    zone_loss: ZoneLoss | None,
    policy: CapacityPolicy,
) -> tuple[tuple[RunningHost, ...], tuple[HostOffer, ...]]:
    kept: list[RunningHost] = []
    missing: dict[CapacityPool, int] = {}
    for pool, count in sorted(counts.by_pool.items()):
        new_cost = pools[pool].new_cost
        fitting = [
            host
            for cost, host in ranked.get(pool, ())
            if new_cost is None or cost <= new_cost
        ]
        kept.extend(fitting[:count])
        missing[pool] = count - len(fitting[:count])
    started = _spread_starts(missing, offers, kept, zone_loss, policy)
    return tuple(kept), tuple(started)


def _spread_starts(
    missing: Mapping[CapacityPool, int],
    offers: Mapping[CapacityPool, Sequence[HostOffer]],
    kept: Sequence[RunningHost],
    zone_loss: ZoneLoss | None,
    policy: CapacityPolicy,
) -> Iterator[HostOffer]:
    """Choose offers for the missing hosts, spread over classes of similar price.

    If the constraints do not determine the zones of on-demand hosts, these are spread
    over the zones as well, so that the failure of a zone affects fewer of them.
    """
    classes = Counter(host.offer.machine_class for host in kept)
    zones = Counter(host.offer.zone for host in kept)
    on_demand = [offer for pool in offers for offer in offers[pool]]
    on_demand = [offer for offer in on_demand if not offer.reclaimable]
    for pool, count in missing.items():
        if not count:
            continue
        limit = min(offer.price_per_hour for offer in offers[pool])
        limit *= 1 + policy.spread_price_percent / 100
        any_zone = not pool.reclaimable and zone_loss is not ZoneLoss.EVERY_HOST
        usable = on_demand if any_zone else offers[pool]
        similar = [offer for offer in usable if offer.price_per_hour <= limit]
        for _ in range(count):
            chosen = min(
                similar,
                key=lambda offer: (
                    zones[offer.zone],
                    classes[offer.machine_class],
                    offer.price_per_hour,
                    offer.machine_class,
                ),
            )
            classes[chosen.machine_class] += 1
            zones[chosen.zone] += 1
            yield chosen


def _get_pool(host: RunningHost | HostOffer) -> CapacityPool:
    offer = host.offer if isinstance(host, RunningHost) else host
    return CapacityPool(offer.zone, offer.reclaimable)
