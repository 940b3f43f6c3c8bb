"""Scaling of the on-demand and reclaimable workers of each data centre.

This is for platforms that accept a number of workers per data centre and kind;
`plan_capacity` plans individual hosts.
"""

import math
from collections.abc import Collection, Mapping

import attrs

from waxwingbarrow.core import DataCentre, Instant, ServiceName, in_range


@attrs.frozen
class WorkerPool:
    """Workers of one data centre that are all reclaimable or all on-demand."""

    data_centre: DataCentre
    reclaimable: bool


@attrs.frozen(kw_only=True)
class ScalingNeed:
    """Load of a service, limits on its workers, and their prices.

    Parameters
    ----------
    busy_workers : float
        Load of the service, as the number of workers that it keeps at their target
        utilization.
    min_workers, max_workers : int
        Limits per data centre, for on-demand and reclaimable workers together.
    boot_s : float
        Time from an order until the worker serves.
    prices : mapping
        Price of an on-demand worker-second in each data centre.
    reclaimable_price : float or None
        Price of a reclaimable worker as a fraction of the on-demand price; None if the
        service has no reclaimable workers.
    """

    service: ServiceName
    busy_workers: float
    min_workers: int
    max_workers: int
    boot_s: float
    prices: Mapping[DataCentre, float]
    reclaimable_price: float | None = None


@attrs.frozen(kw_only=True)
class ScalingState:
    """Current workers and results of the last orders, by data centre and kind.

    Parameters
    ----------
    ready : mapping
        Number of registered workers that accept new work.
    ordered : mapping
        Number of workers in the last accepted order, and its time.
    refused_at : mapping
        Time of the last refusal, if no order was accepted since then.
    most_ready : mapping
        Largest number of workers, cold ones included, since the last accepted order.
    warming : mapping
        Number of registered workers that are cold, so that they do not count as ready.
    """

    ready: Mapping[WorkerPool, int]
    ordered: Mapping[WorkerPool, tuple[int, Instant]]
    refused_at: Mapping[WorkerPool, Instant]
    most_ready: Mapping[WorkerPool, int] = attrs.Factory(dict)
    warming: Mapping[WorkerPool, int] = attrs.Factory(dict)

    def has_lost_workers(self, pool: WorkerPool) -> bool:
        """Return whether ordered workers that were ready no longer are."""
        ordered = self.ordered.get(pool)
        if ordered is None:
            return False
        most_ready = self.most_ready.get(pool, 0)
        return self.count_present(pool) < min(ordered[0], most_ready)

    def count(self, pool: WorkerPool) -> int:
        """Return the number of ready workers of a data centre and kind."""
        return self.ready.get(pool, 0)

    def count_present(self, pool: WorkerPool) -> int:
        """Return the number of workers, cold ones included."""
        return self.count(pool) + self.warming.get(pool, 0)


@attrs.frozen(kw_only=True)
class ScalingPolicy:
    """Settings of `plan_scaling`.

    Parameters
    ----------
    on_demand_workers : int
        Number of data centres, the cheapest ones, with one on-demand worker each.
    max_lost_data_centres : int
        Number of data centres whose reclaimable workers may all be reclaimed at once
        without a shortage.
    spare_workers : int
        Additional workers for crashes and uneven load.
    refusal_retry_s : float
        Time after which a refused order is retried.
    boot_margin_s : float
        Time added to `boot_s`, after which a worker that does not serve yet is ordered
        again.
    """

    on_demand_workers: int = attrs.field(default=1, validator=in_range(0, 1000))
    max_lost_data_centres: int = attrs.field(default=1, validator=in_range(0, 100))
    spare_workers: int = attrs.field(default=1, validator=in_range(0, 1000))
    refusal_retry_s: float = attrs.field(default=2.0, validator=in_range(0.1, 600))
    boot_margin_s: float = attrs.field(default=2.5, validator=in_range(0.1, 600))


@attrs.frozen
class ScalingOrder:
    """Order that sets the number of workers of one kind in a data centre.

    Parameters
    ----------
    pool : WorkerPool
        Data centre and kind of the workers.
    count : int
        Total number of workers that are to run there, not the change.
    reason : str
        Why the order is sent, for operators.
    """

    pool: WorkerPool
    count: int
    reason: str


def compute_desired_workers(
    need: ScalingNeed,
    policy: ScalingPolicy,
    refusing: Collection[DataCentre] = (),
) -> dict[WorkerPool, int]:
    """Return the desired number of workers by data centre and kind.

    Reclaimable workers are spread evenly, so that a reclaim in any data centre affects
    the same share of them. If some data centres refuse them, the others get more, so
    that a reclaim in another data centre still leaves enough.

    Parameters
    ----------
    refusing : collection
        Data centres that refused reclaimable workers. A number is still desired there
        in case they become available again, but the demand is met without it.

    Examples
    --------
    >>> prices = {DataCentre("a"): 1.0, DataCentre("b"): 0.8}
    >>> need = ScalingNeed(service=ServiceName("s"), busy_workers=2.5, min_workers=1,
    ...     max_workers=5, boot_s=4, prices=prices, reclaimable_price=0.2)
    >>> desired = compute_desired_workers(need, ScalingPolicy())
    >>> [(pool.data_centre, pool.reclaimable, n) for pool, n in desired.items()]
    [('b', False, 1), ('a', True, 3), ('b', True, 3)]
    """
    centres = sorted(need.prices, key=lambda centre: (need.prices[centre], centre))
    if not centres:
        return {}
    busy = math.ceil(need.busy_workers) + policy.spare_workers
    if need.reclaimable_price is None:
        return _spread_evenly(centres, max(busy, 1), need, reclaimable=False)
    on_demand = centres[: policy.on_demand_workers]
    desired = {WorkerPool(centre, False): 1 for centre in on_demand}
    available = [centre for centre in centres if centre not in refusing]
    needed_reclaimable = max(busy - len(on_demand), 0)
    counts = {}
    if available:
        remaining_centres = max(len(available) - policy.max_lost_data_centres, 1)
        total = math.ceil(needed_reclaimable / remaining_centres * len(available))
        counts = _spread_evenly(available, total, need, reclaimable=True)
    remaining_centres = max(len(centres) - policy.max_lost_data_centres, 1)
    for centre in refusing:
        counts[WorkerPool(centre, True)] = math.ceil(
            needed_reclaimable / remaining_centres
        )
    for centre in centres:
        pool = WorkerPool(centre, True)
        on_demand_count = desired.get(WorkerPool(centre, False), 0)
        min_reclaimable = max(need.min_workers - on_demand_count, 0)
        desired[pool] = min(
            max(counts.get(pool, 0), min_reclaimable),
            need.max_workers - on_demand_count,
        )
    order = [WorkerPool(centre, False) for centre in on_demand]
    order += [WorkerPool(centre, True) for centre in sorted(centres)]
    return {pool: desired[pool] for pool in order}


def _spread_evenly(
    centres: list[DataCentre], total: int, need: ScalingNeed, *, reclaimable: bool
) -> dict[WorkerPool, int]:
    base, remainder = divmod(total, len(centres))
    return {
        WorkerPool(centre, reclaimable): min(
            max(base + (position < remainder), need.min_workers), need.max_workers
        )
        for position, centre in enumerate(centres)
    }


def plan_scaling(
    need: ScalingNeed, state: ScalingState, policy: ScalingPolicy, now: Instant
) -> list[ScalingOrder]:
    """Return the orders to send now.

    On-demand workers replace reclaimable ones that are not available, as far as the
    load needs them. They are released only once reclaimable workers serve instead.
    """
    refusing = {pool.data_centre for pool in state.refused_at if pool.reclaimable}
    desired = compute_desired_workers(need, policy, refusing)
    pools = set(desired) | set(state.ready) | set(state.ordered)
    for pool in pools:
        desired.setdefault(pool, 0)
    starting = _count_starting(need, state, desired, policy, now)
    missing = _count_missing(need, state, desired, policy)
    on_demand = sorted(
        (pool for pool in desired if not pool.reclaimable),
        key=lambda pool: need.prices.get(pool.data_centre, math.inf),
    )
    targets = dict(desired)
    for centre in sorted(need.prices, key=lambda c: need.prices[c]):
        targets.setdefault(WorkerPool(centre, False), 0)
    for pool in on_demand:
        surplus = state.count_present(pool) - targets[pool]
        # On-demand workers that still replace missing ones are not released yet.
        if surplus > 0 and missing > 0:
            retained = min(surplus, missing)
            targets[pool] += retained
            missing -= retained
    # Reclaimable workers that are already starting will serve no later than on-demand
    # workers that are ordered now.
    missing -= starting
    while missing > 0:
        open_centres = [
            centre
            for centre in need.prices
            if targets[WorkerPool(centre, False)]
            + state.count_present(WorkerPool(centre, True))
            < need.max_workers
        ]
        if not open_centres:
            break
        centre = min(
            open_centres,
            key=lambda c: (targets[WorkerPool(c, False)], need.prices[c], c),
        )
        targets[WorkerPool(centre, False)] += 1
        missing -= 1
    for centre in need.prices:
        # The limit of a data centre applies to both kinds of workers together.
        pool = WorkerPool(centre, True)
        free = need.max_workers - targets[WorkerPool(centre, False)]
        targets[pool] = min(targets.get(pool, 0), max(free, 0))
    orders = []
    for pool, count in targets.items():
        order = _plan_order(pool, count, need, state, policy, now)
        if order is not None:
            orders.append(order)
    return orders


def _count_starting(
    need: ScalingNeed,
    state: ScalingState,
    desired: Mapping[WorkerPool, int],
    policy: ScalingPolicy,
    now: Instant,
) -> int:
    """Return how many reclaimable workers are ordered and still within boot time.

    Workers that have just been lost count as starting, because they are ordered again.
    If that is refused, on-demand workers replace them at the next step. Cold workers
    of both kinds count as well.
    """
    starting = 0
    for pool, (count, ordered_at) in state.ordered.items():
        age_s = _age_s(ordered_at, now)
        is_starting = age_s <= need.boot_s + policy.boot_margin_s
        is_starting = is_starting or state.has_lost_workers(pool)
        if pool.reclaimable and is_starting and pool not in state.refused_at:
            wanted = min(count, desired.get(pool, 0))
            starting += max(wanted - state.count_present(pool), 0)
    # A worker ordered now would be cold for longer than those that are cold already.
    for pool, count in state.warming.items():
        starting += min(count, max(desired.get(pool, 0) - state.count(pool), 0))
    return starting


def _count_missing(
    need: ScalingNeed,
    state: ScalingState,
    desired: Mapping[WorkerPool, int],
    policy: ScalingPolicy,
) -> int:
    """Return how many ready workers the load lacks, spares included."""
    busy = math.ceil(need.busy_workers) + policy.spare_workers
    ready = 0
    for pool, count in desired.items():
        ready += min(state.count(pool), count)
    return max(min(busy, sum(desired.values())) - ready, 0)


def _plan_order(
    pool: WorkerPool,
    count: int,
    need: ScalingNeed,
    state: ScalingState,
    policy: ScalingPolicy,
    now: Instant,
) -> ScalingOrder | None:
    refused_at = state.refused_at.get(pool)
    if refused_at is not None and _age_s(refused_at, now) < policy.refusal_retry_s:
        return None
    ready = state.count_present(pool)
    ordered = state.ordered.get(pool)
    if ordered is None:
        if ready == count:
            return None
        return ScalingOrder(pool, count, "first order")
    if ordered[0] != count:
        return ScalingOrder(pool, count, f"{ordered[0]} ordered before")
    if state.has_lost_workers(pool):
        return ScalingOrder(pool, count, f"{ready} are left")
    overdue = _age_s(ordered[1], now) > need.boot_s + policy.boot_margin_s
    if ready != count and overdue:
        return ScalingOrder(pool, count, f"{ready} are ready")
    return None


def _age_s(then: Instant, now: Instant) -> float:
    return (now.mono_ms - then.mono_ms) / 1000
