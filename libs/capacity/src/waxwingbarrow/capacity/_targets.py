"""The hosts wanted for one need: which to keep and which to start."""

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
    Cell,
    CellCosts,
    Counts,
    SearchTask,
    choose_counts,
    count_survivors,
    find_cheapest,
)

# Lets a running host win against an offer of the same price.
_TIE_FACTOR = 1 - 1e-9

_STATE_ORDER = [HostState.SERVING, HostState.LOADING, HostState.STARTING]


@attrs.frozen
class Target:
    """Hosts wanted for one need.

    Parameters
    ----------
    least_workers : int
        Workers that must serve while no zone is lost.
    surviving_workers : int
        Workers that must remain after the loss of a zone.
    zone_loss : ZoneLoss or None
        Loss that the target covers.
    shortfall : ShortfallReason or None
        Constraint that no choice meets.
    """

    kept: tuple[RunningHost, ...]
    started: tuple[HostOffer, ...]
    least_workers: int
    surviving_workers: int
    zone_loss: ZoneLoss | None
    shortfall: ShortfallReason | None


def compute_needed_workers(need: ServiceNeed, slack_percent: float = 0.0) -> int:
    """Return how many workers serve the demand, with some slack on top."""
    demand = need.demand_tokens_per_s * (1 + slack_percent / 100)
    return math.ceil(demand / need.tokens_per_s_per_worker - 1e-9)


def count_by_cell(hosts: Iterable[RunningHost | HostOffer]) -> Counter[Cell]:
    """Return the number of hosts by zone and kind."""
    counts: Counter[Cell] = Counter()
    for host in hosts:
        counts[_find_cell(host)] += 1
    return counts


def choose_target(
    need: ServiceNeed,
    members: Sequence[RunningHost],
    offers: Sequence[HostOffer],
    prices: Mapping[OfferKey, float],
    policy: CapacityPolicy,
) -> Target:
    """Choose the hosts for a need.

    Parameters
    ----------
    need : ServiceNeed
        The need.
    members : sequence of RunningHost
        Hosts that serve the need or will.
    offers : sequence of HostOffer
        Offers from which a host may be started now.
    prices : Mapping
        Present prices per hour by offer.
    policy : CapacityPolicy
        Constants.

    Returns
    -------
    Target
        The least-cost hosts that meet the constraints, where a running host counts as
        cheaper by `switch_saving_percent`. If no choice meets all constraints, the
        loss that is covered is reduced, and at last the number of workers.
    """
    ranked = _rank_members(members, prices, policy)
    by_cell: dict[Cell, list[HostOffer]] = defaultdict(list)
    for offer in offers:
        by_cell[_find_cell(offer)].append(offer)
    cells = {
        cell: CellCosts(
            tuple(cost for cost, _ in ranked.get(cell, ())),
            min((o.price_per_hour for o in by_cell.get(cell, ())), default=None),
        )
        for cell in {*ranked, *by_cell}
    }
    counts, task, shortfall = _search(need, cells, members, policy)
    kept, started = _select_hosts(
        counts, cells, ranked, by_cell, task.zone_loss, policy
    )
    return Target(
        kept,
        started,
        task.least_workers,
        task.surviving_workers,
        task.zone_loss,
        shortfall,
    )


def compute_least_workers(
    need: ServiceNeed, policy: CapacityPolicy, slack_percent: float = 0.0
) -> int:
    """Return how many workers a need has to have while no zone is lost."""
    factor = (1 + policy.headroom_percent / 100) * (1 + slack_percent / 100)
    return max(need.workers, compute_needed_workers(need, 100 * (factor - 1)))


def _search(
    need: ServiceNeed,
    cells: Mapping[Cell, CellCosts],
    members: Sequence[RunningHost],
    policy: CapacityPolicy,
) -> tuple[Counts, SearchTask, ShortfallReason | None]:
    """Return the choice for the first set of constraints that can be met."""
    for task, shortfall in _list_stages(need, cells, members, policy):
        found = find_cheapest(task)
        if found is not None:
            return found, task, shortfall
    least = compute_least_workers(need, policy)
    task = SearchTask(cells, 0, 0, need.max_reclaimable_percent, None)
    reduced = (choose_counts(task, total) for total in range(least - 1, 0, -1))
    counts = next((item for item in reduced if item is not None), Counts({}, 0.0))
    task = attrs.evolve(
        task, least_workers=least, surviving_workers=compute_needed_workers(need)
    )
    return counts, task, ShortfallReason.DEMAND


def _list_stages(
    need: ServiceNeed,
    cells: Mapping[Cell, CellCosts],
    members: Sequence[RunningHost],
    policy: CapacityPolicy,
) -> Iterator[tuple[SearchTask, ShortfallReason | None]]:
    least, surviving = compute_least_workers(need, policy), compute_needed_workers(need)
    task = SearchTask(
        cells, least, surviving, need.max_reclaimable_percent, policy.zone_loss
    )
    # What runs is kept as long as a little more demand would need it.
    slack = policy.shrink_slack_percent
    survivors = count_survivors(count_by_cell(members), policy.zone_loss)
    most = compute_least_workers(need, policy, slack)
    most_surviving = compute_needed_workers(need, slack)
    kept = attrs.evolve(
        task,
        least_workers=min(max(len(members), least), most),
        surviving_workers=min(max(survivors, surviving), most_surviving),
    )
    if kept != task:
        yield kept, None
    yield task, None
    if policy.zone_loss is ZoneLoss.EVERY_HOST:
        reclaims = attrs.evolve(task, zone_loss=ZoneLoss.RECLAIMABLE)
        yield reclaims, ShortfallReason.RECLAIMS_ONLY
    yield attrs.evolve(task, zone_loss=None), ShortfallReason.NO_SPARE


def _rank_members(
    members: Sequence[RunningHost],
    prices: Mapping[OfferKey, float],
    policy: CapacityPolicy,
) -> dict[Cell, list[tuple[float, RunningHost]]]:
    """Return the hosts of each cell, those to keep first, with their costs."""
    factor = (1 - policy.switch_saving_percent / 100) * _TIE_FACTOR
    ranked: dict[Cell, list[tuple[float, RunningHost]]] = defaultdict(list)
    for host in members:
        price = prices.get(host.offer.key, host.offer.price_per_hour)
        ranked[_find_cell(host)].append((price * factor, host))
    for hosts in ranked.values():
        hosts.sort(
            key=lambda item: (item[0], _STATE_ORDER.index(item[1].state), item[1].host)
        )
    return ranked


def _select_hosts(
    counts: Counts,
    cells: Mapping[Cell, CellCosts],
    ranked: Mapping[Cell, Sequence[tuple[float, RunningHost]]],
    offers: Mapping[Cell, Sequence[HostOffer]],
    zone_loss: ZoneLoss | None,
    policy: CapacityPolicy,
) -> tuple[tuple[RunningHost, ...], tuple[HostOffer, ...]]:
    kept: list[RunningHost] = []
    missing: dict[Cell, int] = {}
    for cell, count in sorted(counts.by_cell.items()):
        new = cells[cell].new
        fitting = [
            host for cost, host in ranked.get(cell, ()) if new is None or cost <= new
        ]
        kept.extend(fitting[:count])
        missing[cell] = count - len(fitting[:count])
    started = _spread_starts(missing, offers, kept, zone_loss, policy)
    return tuple(kept), tuple(started)


def _spread_starts(
    missing: Mapping[Cell, int],
    offers: Mapping[Cell, Sequence[HostOffer]],
    kept: Sequence[RunningHost],
    zone_loss: ZoneLoss | None,
    policy: CapacityPolicy,
) -> Iterator[HostOffer]:
    """Choose among offers of nearly the same price the class with the fewest hosts.

    Where the constraints leave the zone of on-demand hosts open, these are spread over
    the zones as well, so that a zone that fails takes fewer of them.
    """
    classes = Counter(host.offer.machine_class for host in kept)
    zones = Counter(host.offer.zone for host in kept)
    on_demand = [offer for cell in offers for offer in offers[cell]]
    on_demand = [offer for offer in on_demand if not offer.reclaimable]
    for cell, count in missing.items():
        if not count:
            continue
        limit = min(offer.price_per_hour for offer in offers[cell])
        limit *= 1 + policy.spread_price_percent / 100
        free = not cell.reclaimable and zone_loss is not ZoneLoss.EVERY_HOST
        usable = on_demand if free else offers[cell]
        near = [offer for offer in usable if offer.price_per_hour <= limit]
        for _ in range(count):
            chosen = min(
                near,
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


def _find_cell(host: RunningHost | HostOffer) -> Cell:
    offer = host.offer if isinstance(host, RunningHost) else host
    return Cell(offer.zone, offer.reclaimable)
