"""Counts of a service's workers, with cold ones at the capacity that they have now."""

from collections import Counter
from collections.abc import Iterable

import attrs

from waxwingbarrow.capacity import WorkerPool
from waxwingbarrow.core import Instant
from waxwingbarrow.gateway.upstreams import Fleet, Upstream


@attrs.frozen
class WorkerCounts:
    """Workers by data centre and kind.

    Parameters
    ----------
    present : Counter
        Registered workers that take requests.
    ready : Counter
        The same, but cold ones count as the full workers that they replace now.
    """

    present: Counter[WorkerPool]
    ready: Counter[WorkerPool]

    @property
    def warming(self) -> Counter[WorkerPool]:
        """Workers that are present but not ready."""
        return self.present - self.ready


def measure_cold_share(
    limit_per_s: float, work_per_request_ms: float | None, work_ms_per_worker: float
) -> float:
    """Return the part of a worker's capacity that it has while it is cold.

    Parameters
    ----------
    work_per_request_ms : float or None
        Average work of a request; None if it has not been measured.
    work_ms_per_worker : float
        Work in ms per second that a warm worker does.

    Examples
    --------
    >>> measure_cold_share(5.0, 30.0, 450.0)
    0.3333333333333333
    >>> measure_cold_share(5.0, None, 450.0)
    0.0
    """
    if work_per_request_ms is None:
        return 0.0
    return min(limit_per_s * work_per_request_ms / work_ms_per_worker, 1.0)


def count_workers(
    upstreams: Iterable[Upstream],
    fleet: Fleet,
    work_per_request_ms: float | None,
    work_ms_per_worker: float,
    now: Instant,
) -> WorkerCounts:
    """Count the workers among upstreams that take requests."""
    present: Counter[WorkerPool] = Counter()
    ready: Counter[WorkerPool] = Counter()
    cold_capacity: dict[WorkerPool, float] = {}
    for upstream in upstreams:
        entry = upstream.entry
        pool = WorkerPool(entry.data_centre, entry.reclaimable)
        present[pool] += 1
        limit_per_s = fleet.notices.cold.find_limit_per_s(upstream.process, now)
        if limit_per_s is None:
            ready[pool] += 1
        else:
            share = measure_cold_share(
                limit_per_s, work_per_request_ms, work_ms_per_worker
            )
            cold_capacity[pool] = cold_capacity.get(pool, 0.0) + share
    for pool, capacity in cold_capacity.items():
        ready[pool] += int(capacity)
    return WorkerCounts(present, ready)
