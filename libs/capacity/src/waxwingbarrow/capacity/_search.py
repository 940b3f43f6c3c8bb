"""Cheapest allocation of hosts to capacity pools that tolerates the loss of a zone.

Notes
-----
For a fixed number of hosts, the allocations that respect the limit per zone are the
bases of a matroid. The cheapest base is found greedily; the cheapest base with one
fewer reclaimable host differs from it by one exchange (H. N. Gabow and R. E. Tarjan,
"Efficient algorithms for a family of matroid intersection problems", 1984).
"""

from collections.abc import Iterator, Mapping, Sequence

import attrs

from waxwingbarrow.capacity._hosts import ZoneLoss
from waxwingbarrow.core import Zone


@attrs.frozen(order=True, cache_hash=True)
class CapacityPool:
    """Hosts of one zone that are all reclaimable or all on-demand."""

    zone: Zone
    reclaimable: bool


@attrs.frozen
class PoolCosts:
    """Costs per hour of the hosts of a capacity pool.

    Parameters
    ----------
    running_costs : tuple of float
        Costs of the running hosts, in ascending order.
    new_cost : float or None
        Cost of each additional host; None if none can be started.
    """

    running_costs: tuple[float, ...]
    new_cost: float | None

    def cost_of(self, index: int) -> float | None:
        """Return the cost of the host at this index, or None if there is no such host.

        The cheapest host has index 0.
        """
        # A running host that costs more than a new one is never used, because the
        # number of new ones is not limited.
        if index < len(self.running_costs):
            cost = self.running_costs[index]
            return cost if self.new_cost is None else min(cost, self.new_cost)
        return self.new_cost


@attrs.frozen
class AllocationProblem:
    """Costs and constraints of an allocation.

    Parameters
    ----------
    pools : Mapping
        Costs by capacity pool.
    required_workers : int
        Minimum number of hosts.
    surviving_workers : int
        Minimum number of hosts after the loss of any one zone.
    max_reclaimable_percent : float
        Maximum percentage of the hosts that may be reclaimable.
    zone_loss : ZoneLoss or None
        Hosts lost together with a zone; None if no loss has to be tolerated.
    """

    pools: Mapping[CapacityPool, PoolCosts]
    required_workers: int
    surviving_workers: int
    max_reclaimable_percent: float
    zone_loss: ZoneLoss | None


@attrs.frozen
class Allocation:
    """Number of hosts by capacity pool, and their total cost per hour."""

    by_pool: Mapping[CapacityPool, int]
    cost: float


def find_cheapest_allocation(problem: AllocationProblem) -> Allocation | None:
    """Return the cheapest allocation, or None if none meets the constraints."""
    best: Allocation | None = None
    first = max(problem.required_workers, problem.surviving_workers)
    for total in range(first, compute_max_hosts(first) + 1):
        if best is not None and _compute_cost_bound(problem, total) >= best.cost:
            break
        found = find_allocation(problem, total)
        if found is not None and (best is None or found.cost < best.cost - 1e-9):
            best = found
    return best


def compute_max_hosts(needed: int) -> int:
    """Return the maximum number of hosts for a need.

    With two zones that replace each other, twice the needed hosts suffice; two more
    cover the rounding of the reclaimable percentage. Without a limit, the hosts of a
    zone with only reclaimable offers would be balanced by any number of on-demand hosts
    in other zones.
    """
    return 2 * needed + 2


def find_allocation(problem: AllocationProblem, total: int) -> Allocation | None:
    """Return the cheapest allocation of exactly `total` hosts, or None if none fits."""
    zone_count = len({pool.zone for pool in problem.pools})
    max_total = zone_count * (total - problem.surviving_workers)
    if problem.zone_loss is ZoneLoss.EVERY_HOST and max_total < total:
        return None
    allocator = _GreedyAllocator(problem, total)
    if not all(allocator.add_cheapest() for _ in range(total)):
        return None
    limit = compute_max_reclaimable(total, problem.max_reclaimable_percent)
    while allocator.count_reclaimable() > limit:
        if not allocator.exchange_reclaimable():
            return None
    return Allocation({c: n for c, n in allocator.counts.items() if n}, allocator.cost)


def compute_max_reclaimable(total: int, percent: float) -> int:
    """Return the maximum number of reclaimable hosts among `total` hosts."""
    return int(total * percent / 100 + 1e-9)


def count_survivors(
    by_pool: Mapping[CapacityPool, int], zone_loss: ZoneLoss | None
) -> int:
    """Return how many hosts remain after the worst loss of a single zone."""
    lost: dict[Zone, int] = {}
    for pool, count in by_pool.items():
        if _is_lost(pool, zone_loss):
            lost[pool.zone] = lost.get(pool.zone, 0) + count
    return sum(by_pool.values()) - max(lost.values(), default=0)


def _is_lost(pool: CapacityPool, zone_loss: ZoneLoss | None) -> bool:
    match zone_loss:
        case None:
            return False
        case ZoneLoss.EVERY_HOST:
            return True
        case ZoneLoss.RECLAIMABLE:
            return pool.reclaimable


def _compute_cost_bound(problem: AllocationProblem, total: int) -> float:
    """Return a lower bound of the cost that does not decrease as `total` grows."""
    min_cost_by_kind = {
        kind: min(
            (
                cost
                for pool, costs in problem.pools.items()
                if pool.reclaimable is kind and (cost := costs.cost_of(0)) is not None
            ),
            default=0.0,
        )
        for kind in (False, True)
    }
    reclaimable = compute_max_reclaimable(total, problem.max_reclaimable_percent)
    if min_cost_by_kind[True] >= min_cost_by_kind[False]:
        reclaimable = 0
    return (
        reclaimable * min_cost_by_kind[True]
        + (total - reclaimable) * min_cost_by_kind[False]
    )


class _GreedyAllocator:
    """Greedy allocation of a fixed total number of hosts."""

    def __init__(self, problem: AllocationProblem, total: int) -> None:
        self._problem = problem
        # Maximum number of hosts lost with one zone.
        self._zone_limit = total - problem.surviving_workers
        self._pools: Sequence[CapacityPool] = sorted(problem.pools)
        self.counts: dict[CapacityPool, int] = dict.fromkeys(self._pools, 0)
        self._lost_by_zone: dict[Zone, int] = dict.fromkeys(
            (c.zone for c in self._pools), 0
        )
        self.cost = 0.0

    def count_reclaimable(self) -> int:
        """Return the number of reclaimable hosts allocated so far."""
        return sum(n for pool, n in self.counts.items() if pool.reclaimable)

    def add_cheapest(self) -> bool:
        """Add the cheapest host that fits the limit per zone.

        Returns False if no host fits.
        """
        best: tuple[float, CapacityPool] | None = None
        for pool in self._pools:
            cost = self._problem.pools[pool].cost_of(self.counts[pool])
            if cost is None or not self._fits_zone_limit(pool, None):
                continue
            if best is None or cost < best[0]:
                best = cost, pool
        if best is None:
            return False
        self._change_count(best[1], 1)
        return True

    def exchange_reclaimable(self) -> bool:
        """Replace a reclaimable host by an on-demand one at the least extra cost.

        Returns False if no on-demand host fits.
        """
        best: tuple[float, CapacityPool, CapacityPool] | None = None
        for extra_cost, removed, added in self._list_exchanges():
            if best is None or extra_cost < best[0]:
                best = extra_cost, removed, added
        if best is None:
            return False
        self._change_count(best[1], -1)
        self._change_count(best[2], 1)
        return True

    def _list_exchanges(self) -> Iterator[tuple[float, CapacityPool, CapacityPool]]:
        for removed in self._pools:
            if not removed.reclaimable or not self.counts[removed]:
                continue
            saved = (
                self._problem.pools[removed].cost_of(self.counts[removed] - 1) or 0.0
            )
            for added in self._pools:
                cost = self._problem.pools[added].cost_of(self.counts[added])
                if (
                    added.reclaimable
                    or cost is None
                    or not self._fits_zone_limit(added, removed)
                ):
                    continue
                yield cost - saved, removed, added

    def _fits_zone_limit(
        self, pool: CapacityPool, replaced_pool: CapacityPool | None
    ) -> bool:
        if not _is_lost(pool, self._problem.zone_loss):
            return True
        freed = int(replaced_pool is not None and replaced_pool.zone == pool.zone)
        return self._lost_by_zone[pool.zone] - freed < self._zone_limit

    def _change_count(self, pool: CapacityPool, delta: int) -> None:
        position = self.counts[pool] if delta > 0 else self.counts[pool] - 1
        self.cost += delta * (self._problem.pools[pool].cost_of(position) or 0.0)
        self.counts[pool] += delta
        if _is_lost(pool, self._problem.zone_loss):
            self._lost_by_zone[pool.zone] += delta
