"""Duty that orders workers."""

import logging
from collections import Counter
from collections.abc import Callable

import attrs
from result import Err

from waxwingbarrow.capacity import (
    Cell,
    CountNeed,
    CountOrder,
    CountPolicy,
    CountState,
    plan_counts,
)
from waxwingbarrow.core import Instant, ServiceName
from waxwingbarrow.gateway._duties import Lease
from waxwingbarrow.gateway._fleet import Fleet
from waxwingbarrow.gateway._model import Service
from waxwingbarrow.gateway._ports import Cloud, CloudRefused, describe
from waxwingbarrow.gateway._work import WorkBook

logger = logging.getLogger("waxwingbarrow.gateway.scaling")

# Part of a second of engine time that is used for work which delays others; above it
# the wait for the first token of a short request grows quickly.
WORK_MS_PER_WORKER = 450.0
# With relays hosts know each other's requests later, so workers are loaded less evenly.
WORK_MS_PER_WORKER_WITH_RELAYS = 320.0
# Until the work has been measured for this long, no worker is given back.
MEASURE_S = 8.0
# Registrations that are read within this time of the first one belong to the workers
# there were at the start. Later there may be some that an order added.
FIRST_COUNT_S = 3.0
# The largest need of this time counts, so that a pause does not give back workers that
# the next seconds need.
HOLD_S = 12.0


@attrs.define
class _Orders:
    ordered: dict[Cell, tuple[int, Instant]] = attrs.Factory(dict)
    refused_at: dict[Cell, Instant] = attrs.Factory(dict)
    peaks: list[tuple[Instant, float]] = attrs.Factory(list)
    first_at: Instant | None = None
    first_count: int = 0


class ScalingTask:
    """Orders as many workers as the measured work needs.

    Parameters
    ----------
    is_meshed : callable
        Whether all hosts tell each other directly what they send.
    """

    def __init__(
        self,
        fleet: Fleet,
        work: WorkBook,
        cloud: Cloud,
        lease: Lease,
        list_services: Callable[[], list[Service]],
        policy: CountPolicy,
        is_meshed: Callable[[Instant], bool],
    ) -> None:
        self._fleet = fleet
        self._work = work
        self._cloud = cloud
        self._lease = lease
        self._list_services = list_services
        self._policy = policy
        self._is_meshed = is_meshed
        self._orders: dict[ServiceName, _Orders] = {}

    def note_present(self, now: Instant) -> None:
        """Note how many workers there are at first.

        Every host does so, not only the holder of the duty: a later holder would count
        the workers that were ordered before it besides those that they replace.
        """
        for service in self._list_services():
            if service.scaling is None:
                continue
            orders = self._orders.setdefault(service.name, _Orders())
            present = sum(self._count_ready(service.name).values())
            if orders.first_at is None and present:
                orders.first_at = now
            if orders.first_at is not None:
                age_ms = now.mono_ms - orders.first_at.mono_ms
                if age_ms <= FIRST_COUNT_S * 1000:
                    orders.first_count = max(orders.first_count, present)

    async def step(self, token: int, now: Instant) -> None:
        """Send the orders that are due."""
        for service in self._list_services():
            if service.scaling is None:
                continue
            orders = self._orders.setdefault(service.name, _Orders())
            need = self._measure_need(service, orders, now)
            state = CountState(
                ready=self._count_ready(service.name),
                ordered=orders.ordered,
                refused_at=orders.refused_at,
            )
            if need is None:
                continue
            for order in plan_counts(need, state, self._policy, now):
                if not await self._send(service.name, order, need, token, now):
                    return

    def _count_ready(self, service: ServiceName) -> dict[Cell, int]:
        counts: Counter[Cell] = Counter()
        for upstream in self._fleet.list_usable(service, None):
            entry = upstream.entry
            counts[Cell(entry.data_centre, entry.reclaimable)] += 1
        return dict(counts)

    def _measure_need(
        self, service: Service, orders: _Orders, now: Instant
    ) -> CountNeed | None:
        scaling = service.scaling
        assert scaling is not None
        work_ms = WORK_MS_PER_WORKER
        if not self._is_meshed(now):
            work_ms = WORK_MS_PER_WORKER_WITH_RELAYS
        busy = self._work.measure(service.name, now) / work_ms
        if not orders.first_count:
            return None
        orders.peaks = [
            (at, peak)
            for at, peak in orders.peaks
            if now.mono_ms - at.mono_ms < HOLD_S * 1000
        ]
        orders.peaks.append((now, busy))
        first_at = self._work.first_at
        measured = (
            first_at is not None and now.mono_ms - first_at.mono_ms > MEASURE_S * 1000
        )
        needed = max(peak for _, peak in orders.peaks)
        if not measured:
            centres = max(len(scaling.prices), 2)
            first = orders.first_count * (centres - 1) / centres
            needed = max(needed, first - self._policy.spare_workers)
        return CountNeed(
            service=service.name,
            busy_workers=needed,
            min_workers=scaling.min_workers,
            max_workers=scaling.max_workers,
            boot_s=scaling.boot_s,
            prices=scaling.prices,
            reclaimable_price=scaling.reclaimable_price,
        )

    async def _send(
        self,
        service: ServiceName,
        order: CountOrder,
        need: CountNeed,
        token: int,
        now: Instant,
    ) -> bool:
        cell = order.cell
        sent = await self._cloud.order_workers(
            service, cell.data_centre, order.count, cell.reclaimable, token
        )
        orders = self._orders[service]
        outcome = "accepted"
        if isinstance(sent, Err):
            outcome = describe(sent.err_value)
            orders.refused_at[cell] = now
            match sent.err_value:
                case CloudRefused(fenced=True):
                    self._lease.note_refusal(token)
                case _:
                    pass
        else:
            orders.ordered[cell] = (order.count, now)
            orders.refused_at.pop(cell, None)
        logger.info(
            "workers ordered",
            extra={
                "service": service,
                "data_centre": cell.data_centre,
                "reclaimable": cell.reclaimable,
                "count": order.count,
                "reason": order.reason,
                "busy_workers": round(need.busy_workers, 2),
                "token": token,
                "outcome": outcome,
            },
        )
        return self._lease.find_token(now) == token
