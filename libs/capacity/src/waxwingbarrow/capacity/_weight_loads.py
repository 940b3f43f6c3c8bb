"""Scheduling of weight loads under the rate limit of the weight store."""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence

import attrs

from waxwingbarrow.core import HostId, Instant, ServiceName, VersionName, in_range


@attrs.frozen(kw_only=True)
class LoadRequest:
    """A host that has to load the weights of a version.

    Parameters
    ----------
    loaded_bytes : int
        Bytes of the weights that are already loaded.
    serving_workers, needed_workers : int
        Number of workers of the version that serve now, and number that its demand
        needs.
    must_serve_by : Instant or None
        Deadline for serving the version on this host, for example the start of a
        rollout.
    not_before : Instant or None
        Earliest start of the load, as the store told this host to wait.
    host_rate_bytes_per_s : float or None
        Maximum download rate of the host; None if only the store limits it.
    """

    host: HostId
    service: ServiceName
    version: VersionName
    model_bytes: int = attrs.field(validator=in_range(0, 10**15))
    loaded_bytes: int = attrs.field(default=0, validator=in_range(0, 10**15))
    serving_workers: int = 0
    needed_workers: int = 0
    must_serve_by: Instant | None = None
    not_before: Instant | None = None
    host_rate_bytes_per_s: float | None = None

    @property
    def remaining_bytes(self) -> int:
        """Number of bytes still to load."""
        return max(0, self.model_bytes - self.loaded_bytes)


@attrs.frozen
class WeightLoad:
    """Planned start and end of a weight load.

    Parameters
    ----------
    start_at, finish_at : Instant or None
        Start and end of the load; None if the available rate never allows it.
    late : bool
        Whether the load ends after `must_serve_by`.
    """

    request: LoadRequest
    start_at: Instant | None
    finish_at: Instant | None
    late: bool


@attrs.define
class _LoadProgress:
    """Simulated progress of a load; times are in seconds from the present.

    Parameters
    ----------
    ready_s : float
        Earliest start of the load.
    """

    request: LoadRequest
    remaining_bytes: float
    ready_s: float
    start_s: float | None = None
    finish_s: float | None = None


def plan_weight_loads(
    loads: Iterable[LoadRequest], store_rate_bytes_per_s: float, now: Instant
) -> tuple[WeightLoad, ...]:
    """Schedule weight loads by urgency under the rate limit of the store.

    Parameters
    ----------
    loads : iterable of LoadRequest
        Loads that are running or waiting.
    store_rate_bytes_per_s : float
        Rate limit of the weight store, shared by all hosts.
    now : Instant
        Current time.

    Returns
    -------
    tuple of WeightLoad
        The loads, most urgent first. Each gets as much of the store's rate as its host
        can use, and the next one gets the remainder: if loads shared the rate equally,
        all of them would end late.

    Notes
    -----
    Loads of a version with too few workers for its demand come first, then loads with
    the earliest `must_serve_by`, then those of versions with the fewest workers, then
    those with the fewest remaining bytes.
    """
    queue = [
        _LoadProgress(request, request.remaining_bytes, _compute_pause_s(request, now))
        for request in _sort_loads(loads)
    ]
    _simulate_loads(queue, max(store_rate_bytes_per_s, 0.0))
    return tuple(_build_weight_load(item, now) for item in queue)


def _sort_loads(loads: Iterable[LoadRequest]) -> list[LoadRequest]:
    """Return the loads, most urgent first.

    A load counts the loads of its version before it as serving workers, so that the
    first load of one version precedes the second load of another.
    """
    by_version: dict[tuple[ServiceName, VersionName], list[LoadRequest]] = defaultdict(
        list
    )
    for load in loads:
        by_version[load.service, load.version].append(load)
    ranked = []
    for version_loads in by_version.values():
        version_loads.sort(key=lambda load: (_find_due_ms(load), load.remaining_bytes))
        for index, load in enumerate(version_loads):
            workers = load.serving_workers + index
            has_enough_workers = workers >= load.needed_workers
            key = (
                has_enough_workers,
                _find_due_ms(load),
                workers,
                load.remaining_bytes,
                load.host,
            )
            ranked.append((key, load))
    return [load for _, load in sorted(ranked, key=lambda item: item[0])]


def _simulate_loads(queue: Sequence[_LoadProgress], store_rate: float) -> None:
    """Set the start and end of each load, by a simulation of discrete events.

    An event is the end of a load or of a pause; the rates are constant in between.
    """
    at_s = 0.0
    while True:
        open_loads = [item for item in queue if item.finish_s is None]
        rates = _allocate_rate(
            [item for item in open_loads if item.ready_s <= at_s], store_rate
        )
        steps = [
            item.remaining_bytes / rate if item.remaining_bytes else 0.0
            for item, rate in rates
        ]
        steps += [item.ready_s - at_s for item in open_loads if item.ready_s > at_s]
        if not steps:
            return
        step_s = min(steps)
        for item, rate in rates:
            item.start_s = at_s if item.start_s is None else item.start_s
            # The tolerance avoids a rounding remainder so small that a step of zero
            # length would never finish it.
            if item.remaining_bytes <= rate * step_s * (1 + 1e-9) + 1e-6:
                item.remaining_bytes = 0.0
                item.finish_s = at_s + step_s
            else:
                item.remaining_bytes -= rate * step_s
        at_s += step_s


def _allocate_rate(
    loads: Iterable[_LoadProgress], store_rate: float
) -> list[tuple[_LoadProgress, float]]:
    rates = []
    remaining_rate = store_rate
    for item in loads:
        host_rate = item.request.host_rate_bytes_per_s
        rate = remaining_rate if host_rate is None else min(host_rate, remaining_rate)
        if rate > 0 or not item.remaining_bytes:
            rates.append((item, rate))
            remaining_rate -= rate if item.remaining_bytes else 0.0
    return rates


def _build_weight_load(item: _LoadProgress, now: Instant) -> WeightLoad:
    start_at = None if item.start_s is None else _add_s(now, item.start_s)
    finish_at = None if item.finish_s is None else _add_s(now, item.finish_s)
    due = item.request.must_serve_by
    late = due is not None and (finish_at is None or finish_at.mono_ms > due.mono_ms)
    return WeightLoad(item.request, start_at, finish_at, late)


def _add_s(now: Instant, duration_s: float) -> Instant:
    return now.plus_ms(math.ceil(duration_s * 1000 - 1e-6))


def _compute_pause_s(load: LoadRequest, now: Instant) -> float:
    if load.not_before is None:
        return 0.0
    return max(0, load.not_before.mono_ms - now.mono_ms) / 1000


def _find_due_ms(load: LoadRequest) -> float:
    return math.inf if load.must_serve_by is None else load.must_serve_by.mono_ms
