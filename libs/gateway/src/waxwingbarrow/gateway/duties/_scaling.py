"""Autoscaling: the duty that orders workers from the cloud."""

import logging
from collections.abc import Callable, Collection

import attrs
from result import Err

from waxwingbarrow.capacity import (
    ScalingNeed,
    ScalingOrder,
    ScalingPolicy,
    ScalingState,
    WorkerPool,
    plan_scaling,
)
from waxwingbarrow.core import Instant, ServiceName, VersionName
from waxwingbarrow.gateway.base import (
    Cloud,
    CloudRefused,
    LeaseEnded,
    Scaling,
    Service,
    describe_failure,
)
from waxwingbarrow.gateway.duties._duties import Lease
from waxwingbarrow.gateway.duties._evacuated_pools import (
    leave_out_evacuated,
    leave_out_prices,
)
from waxwingbarrow.gateway.duties._worker_counts import WorkerCounts, count_workers
from waxwingbarrow.gateway.requests import WorkMeter
from waxwingbarrow.gateway.upstreams import Fleet

logger = logging.getLogger("waxwingbarrow.gateway.scaling")

# Target load of a worker: ms of engine time per second for work that delays other
# requests. Above it the time to the first token of short requests grows quickly.
WORK_MS_PER_WORKER = 450.0
# In deployments with relays, hosts learn of each other's requests later, so workers are
# loaded less evenly.
WORK_MS_PER_WORKER_WITH_RELAYS = 320.0
# No worker is returned before the work has been measured for this long.
MIN_MEASURED_S = 8.0
# Workers whose registrations are read within this time after the first one count as the
# initial workers. Those that are read later may have been ordered by the gateway.
INITIAL_COUNT_S = 3.0
# No worker is returned while the work of fewer of the known hosts than this fraction is
# part of the measured work: the others may still serve their callers.
MIN_COVERAGE = 0.75
# The highest need within this window counts, so that workers are not returned in a
# short pause and needed again seconds later.
PEAK_WINDOW_S = 12.0


@attrs.define
class _ServiceOrders:
    """Orders for one service, and what they are derived from.

    Parameters
    ----------
    ordered : dict
        Number of workers and time of the last accepted order, by cell: a data centre
        and whether the workers are reclaimable.
    refused_at : dict
        Time of the last refusal, by cell, if no order was accepted since.
    most_ready : dict
        Largest number of ready workers since the last accepted order, by cell.
    recent_needs : list
        Times and needed numbers of workers within the last `PEAK_WINDOW_S` seconds.
    first_at : Instant or None
        Time at which the first registered worker was seen.
    initial_workers : int
        Number of registered workers before any was ordered.
    last_need : float or None
        Needed number of workers at the last step that knew the work of enough hosts.
    """

    ordered: dict[WorkerPool, tuple[int, Instant]] = attrs.Factory(dict)
    refused_at: dict[WorkerPool, Instant] = attrs.Factory(dict)
    most_ready: dict[WorkerPool, int] = attrs.Factory(dict)
    recent_needs: list[tuple[Instant, float]] = attrs.Factory(list)
    first_at: Instant | None = None
    initial_workers: int = 0
    last_need: float | None = None


class ScalingTask:
    """Orders as many workers as the measured work needs.

    Parameters
    ----------
    is_full_mesh : callable
        Returns whether all hosts report their requests to each other directly, without
        relays.
    measure_coverage : callable
        Returns the fraction of the known hosts whose work is part of the measured work.
    is_rolling_out : callable
        Returns whether a service's traffic is being moved to a new version. Its workers
        run beside the old ones, so none are returned meanwhile.
    find_stopping_versions : callable
        Returns which of the known versions of a service the platform stops, as a
        rollout was decided. Their workers do not count.
    """

    def __init__(
        self,
        fleet: Fleet,
        work_meter: WorkMeter,
        cloud: Cloud,
        lease: Lease,
        list_services: Callable[[], list[Service]],
        policy: ScalingPolicy,
        is_full_mesh: Callable[[Instant], bool],
        measure_coverage: Callable[[Instant], float],
        is_rolling_out: Callable[[ServiceName], bool],
        find_stopping_versions: Callable[
            [ServiceName, set[VersionName]], Collection[VersionName]
        ],
    ) -> None:
        self._fleet = fleet
        self._work_meter = work_meter
        self._cloud = cloud
        self._lease = lease
        self._list_services = list_services
        self._policy = policy
        self._is_full_mesh = is_full_mesh
        self._measure_coverage = measure_coverage
        self._is_rolling_out = is_rolling_out
        self._find_stopping_versions = find_stopping_versions
        self._orders: dict[ServiceName, _ServiceOrders] = {}

    def note_initial_workers(self, now: Instant) -> None:
        """Record how many workers there are before any is ordered.

        Every host does so, not only the one that holds the duties. A host that began
        to count when it gets the duties would count both the initial workers and those
        that the previous holder ordered to replace them.
        """
        for service in self._list_services():
            if service.scaling is None:
                continue
            orders = self._orders.setdefault(service.name, _ServiceOrders())
            present = self._count_workers(service.name, now).present.total()
            if orders.first_at is None and present:
                orders.first_at = now
            if orders.first_at is not None:
                age_ms = now.mono_ms - orders.first_at.mono_ms
                if age_ms <= INITIAL_COUNT_S * 1000:
                    orders.initial_workers = max(orders.initial_workers, present)

    async def step(self, token: int, now: Instant) -> None:
        """Send the orders that are due; stop when the lease is lost.

        Parameters
        ----------
        token : int
            Fencing token that is sent with each order.
        """
        for service in self._list_services():
            if service.scaling is None:
                continue
            orders = self._orders.setdefault(service.name, _ServiceOrders())
            need = self._measure_need(service, orders, now)
            state = self._measure_state(service.name, orders, now)
            if need is None:
                continue
            is_rolling_out = self._is_rolling_out(service.name)
            for order in plan_scaling(need, state, self._policy, now):
                if is_rolling_out and order.count < state.count_present(order.pool):
                    continue
                if not await self._send(service.name, order, need, token, now):
                    return

    def _measure_state(
        self, service: ServiceName, orders: _ServiceOrders, now: Instant
    ) -> ScalingState:
        """Return the workers and orders of the data centres that are not evacuated."""
        counts = self._count_workers(service, now)
        evacuations = self._fleet.evacuations
        present = leave_out_evacuated(counts.present, evacuations)
        for pool, count in present.items():
            most_ready = max(orders.most_ready.get(pool, 0), count)
            orders.most_ready[pool] = most_ready
        return ScalingState(
            ready=leave_out_evacuated(counts.ready, evacuations),
            ordered=leave_out_evacuated(orders.ordered, evacuations),
            refused_at=leave_out_evacuated(orders.refused_at, evacuations),
            most_ready=leave_out_evacuated(orders.most_ready, evacuations),
            warming=leave_out_evacuated(counts.warming, evacuations),
        )

    def _count_workers(self, service: ServiceName, now: Instant) -> WorkerCounts:
        """Count the workers that accept requests, evacuated ones included."""
        accepting = self._fleet.list_accepting(service, None)
        known = {item.entry.version for item in accepting}
        stopping = self._find_stopping_versions(service, known)
        return count_workers(
            [item for item in accepting if item.entry.version not in stopping],
            self._fleet,
            self._work_meter.measure_mean_ms(service, now),
            self._find_work_ms_per_worker(now),
            now,
        )

    def _find_work_ms_per_worker(self, now: Instant) -> float:
        if self._is_full_mesh(now):
            return WORK_MS_PER_WORKER
        return WORK_MS_PER_WORKER_WITH_RELAYS

    def _measure_need(
        self, service: Service, orders: _ServiceOrders, now: Instant
    ) -> ScalingNeed | None:
        scaling = service.scaling
        assert scaling is not None
        work_ms_per_s = self._work_meter.measure(service.name, now)
        measured_workers = work_ms_per_s / self._find_work_ms_per_worker(now)
        if not orders.initial_workers:
            return None
        orders.recent_needs = [
            (at, workers)
            for at, workers in orders.recent_needs
            if now.mono_ms - at.mono_ms < PEAK_WINDOW_S * 1000
        ]
        orders.recent_needs.append((now, measured_workers))
        first_at = self._work_meter.first_at
        is_measured = (
            first_at is not None
            and now.mono_ms - first_at.mono_ms > MIN_MEASURED_S * 1000
        )
        needed = max(workers for _, workers in orders.recent_needs)
        if not is_measured:
            # While the work is not measured, the initial workers are kept.
            needed = max(needed, self._find_busy(orders.initial_workers, scaling))
        if self._measure_coverage(now) >= MIN_COVERAGE:
            orders.last_need = needed
        elif orders.last_need is None:
            # A new holder keeps the workers that it finds, and replaces those that are
            # evacuated.
            present = self._count_workers(service.name, now).present.total()
            needed = max(needed, self._find_busy(present, scaling))
        else:
            needed = max(needed, orders.last_need)
        return ScalingNeed(
            service=service.name,
            busy_workers=needed,
            min_workers=scaling.min_workers,
            max_workers=scaling.max_workers,
            boot_s=scaling.boot_s,
            prices=leave_out_prices(scaling.prices, self._fleet.evacuations),
            reclaimable_price=scaling.reclaimable_price,
        )

    def _find_busy(self, workers: int, scaling: Scaling) -> float:
        """Return the number of busy workers for which `plan_scaling` orders `workers`.

        It adds a spare data centre and spare workers.
        """
        centres = max(len(scaling.prices), 2)
        return workers * (centres - 1) / centres - self._policy.spare_workers

    async def _send(
        self,
        service: ServiceName,
        order: ScalingOrder,
        need: ScalingNeed,
        token: int,
        now: Instant,
    ) -> bool:
        pool = order.pool
        sent = await self._cloud.order_workers(
            service, pool.data_centre, order.count, pool.reclaimable, token
        )
        orders = self._orders[service]
        outcome = "accepted"
        if isinstance(sent, Err):
            outcome = describe_failure(sent.err_value)
            if not isinstance(sent.err_value, LeaseEnded):
                orders.refused_at[pool] = now
            match sent.err_value:
                case CloudRefused(fenced=True):
                    self._lease.note_refusal(token)
                case _:
                    pass
        else:
            orders.ordered[pool] = (order.count, now)
            orders.most_ready.pop(pool, None)
            orders.refused_at.pop(pool, None)
        logger.info(
            "workers ordered",
            extra={
                "service": service,
                "data_centre": pool.data_centre,
                "reclaimable": pool.reclaimable,
                "count": order.count,
                "reason": order.reason,
                "busy_workers": round(need.busy_workers, 2),
                "token": token,
                "outcome": outcome,
            },
        )
        is_ended = isinstance(sent.err(), LeaseEnded)
        return not is_ended and self._lease.find_token(now) == token
