"""Comparison of the choice of hosts and of weight loads with simple baselines."""

import heapq
import math
import random
from collections import Counter
from collections.abc import Mapping, Sequence

import attrs

from waxwingbarrow.bench._hostmodel import (
    STORE_BYTES_PER_S,
    WORKLOADS,
    PlannerFactory,
    SimulationResult,
    Workload,
    make_scenario,
    measure_planner,
)
from waxwingbarrow.bench._routing import BenchRow
from waxwingbarrow.capacity import (
    CapacityPolicy,
    HostList,
    HostOffer,
    HostState,
    LoadRequest,
    OfferList,
    ServiceNeed,
    StopPhase,
    ZoneLoss,
    compute_needed_workers,
    plan_capacity,
    plan_weight_loads,
)
from waxwingbarrow.core import (
    HostId,
    Instant,
    ServiceName,
    VersionName,
    Zone,
)

SEED = 20_260_103
# For every planner, because demand can grow faster than hosts start.
HEADROOM_PERCENT = 15.0
# The latency target counts as met if at most this fraction of the demand is unserved.
MAX_LATE_FRACTION = 0.002
MAX_SPARE_WORKERS = 3


class LibraryPlanner:
    """Chooses hosts with `plan_capacity`."""

    def __init__(self, policy: CapacityPolicy) -> None:
        self._policy = policy

    def choose_hosts(
        self, needs: Sequence[ServiceNeed], offers: OfferList, hosts: HostList
    ) -> tuple[list[tuple[HostOffer, ServiceName]], list[HostId]]:
        """Return the hosts to start and those to drain."""
        now = hosts.read_at or Instant(0, 0)
        plan = plan_capacity(needs, offers, hosts, self._policy, now)
        starts = [(start.offer, start.service) for start in plan.starts]
        stops = [stop.host.host for stop in plan.stops if stop.phase is StopPhase.DRAIN]
        return starts, stops


class FixedRulePlanner:
    """Baseline: a fixed rule and a fixed number of spare workers for each need.

    Parameters
    ----------
    reclaimable_percent : float
        Percentage of the workers that run on reclaimable hosts.
    spread : bool
        Whether hosts are spread evenly over the zones; otherwise the cheapest offer
        is used for all.
    spares : int
        Workers beyond those that serve the demand.
    """

    def __init__(self, reclaimable_percent: float, spread: bool, spares: int) -> None:
        self._percent = reclaimable_percent
        self._spread = spread
        self._spares = spares

    def choose_hosts(
        self, needs: Sequence[ServiceNeed], offers: OfferList, hosts: HostList
    ) -> tuple[list[tuple[HostOffer, ServiceName]], list[HostId]]:
        """Return the hosts to start and those to drain."""
        starts, stops = [], []
        for need in needs:
            members = [
                host
                for host in hosts.hosts
                if host.service == need.service and host.state is not HostState.LEAVING
            ]
            total = compute_needed_workers(need, HEADROOM_PERCENT) + self._spares
            wanted = {True: int(total * self._percent / 100)}
            wanted[False] = total - wanted[True]
            zones = Counter(host.offer.zone for host in members)
            kinds = Counter(host.offer.reclaimable for host in members)
            for is_reclaimable, count in wanted.items():
                for _ in range(count - kinds[is_reclaimable]):
                    offer = self._pick_offer(need, offers.offers, is_reclaimable, zones)
                    if offer is not None:
                        zones[offer.zone] += 1
                        starts.append((offer, need.service))
                serving = [
                    host
                    for host in members
                    if host.offer.reclaimable is is_reclaimable
                    and host.state is HostState.SERVING
                ]
                # One surplus worker is kept, so that the number does not oscillate.
                surplus = max(0, len(serving) - count - 1)
                stops += [host.host for host in serving[:surplus]]
        return starts, stops

    def _pick_offer(
        self,
        need: ServiceNeed,
        offers: Sequence[HostOffer],
        is_reclaimable: bool,
        zones: Counter[Zone],
    ) -> HostOffer | None:
        usable = [
            offer
            for offer in offers
            if offer.reclaimable is is_reclaimable
            and offer.accelerators == need.accelerators
            and offer.start_refused_until is None
        ]
        return min(
            usable,
            key=lambda o: (zones[o.zone] if self._spread else 0, o.price_per_hour),
            default=None,
        )


@attrs.frozen
class Baseline:
    """A fixed rule; the number of spare workers is chosen in its favour."""

    name: str
    reclaimable_percent: float
    spread: bool

    def make_planner_factory(self, spares: int) -> PlannerFactory:
        """Return a factory of planners with this number of spare workers."""
        return lambda: FixedRulePlanner(self.reclaimable_percent, self.spread, spares)


BASELINES = (
    Baseline("all on demand", 0.0, False),
    Baseline("all cheapest", 100.0, False),
    Baseline("even spread", 43.0, True),
)


def compare_hosts(
    workloads: Sequence[Workload] = WORKLOADS, hours: int = 4, seed: int = SEED
) -> tuple[BenchRow, ...]:
    """Compare cost at the latency target and lateness after waves with fixed rules.

    Each rule gets the number of spare workers, at most 3 for each need, with which it
    costs least and meets the target in these same events; the cost is infinite if no
    number meets it. The target is checked over the whole time and, as the design
    requires, within ten minutes after each wave or outage: these are rare, so an
    average over the whole time hides the lateness that they cause. Lateness after a
    wave is compared without spares.
    """
    rows = []
    for load in workloads:
        scenarios = [
            make_scenario(demands, load, hours, seed + number)
            for number, demands in enumerate(load.demands)
        ]
        ours = {
            loss: measure_planner(
                scenarios,
                lambda loss=loss: LibraryPlanner(CapacityPolicy(zone_loss=loss)),
            )
            for loss in ZoneLoss
        }
        for baseline in BASELINES:
            runs = [
                measure_planner(scenarios, baseline.make_planner_factory(spares))
                for spares in range(MAX_SPARE_WORKERS + 1)
            ]
            for loss, result in ours.items():
                rows += _compare_runs(
                    f"hosts, {loss}", load.name, result, baseline, runs
                )
    return tuple(rows)


def _compare_runs(
    decision: str,
    workload: str,
    ours: SimulationResult,
    baseline: Baseline,
    runs: Sequence[SimulationResult],
) -> list[BenchRow]:
    """Return the rows for one baseline; `runs` have 0, 1, 2, ... spares."""
    rows = []
    for target, is_met in (
        ("over all time", lambda run: run.late <= MAX_LATE_FRACTION),
        ("after waves", lambda run: run.late_after_wave <= MAX_LATE_FRACTION),
    ):
        costs = [run.cost_per_hour for run in runs if is_met(run)]
        rows.append(
            _make_row(
                f"{decision}: cost per hour, target {target}",
                workload,
                ours.cost_per_hour if is_met(ours) else math.inf,
                baseline.name,
                min(costs, default=math.inf),
            )
        )
    rows.append(
        _make_row(
            f"{decision}: share late after a wave",
            workload,
            ours.late_after_wave,
            f"{baseline.name}, no spare",
            runs[0].late_after_wave,
        )
    )
    return rows


def make_weight_loads(rng: random.Random) -> list[LoadRequest]:
    """Return weight loads of hosts that were started together after a wave."""
    loads = []
    for version in ("v1", "v2", "v3"):
        size = rng.randrange(10, 60) * 10**9
        copies = rng.randrange(1, 5)
        serving = rng.randrange(3)
        needed = serving + rng.randrange(copies + 1)
        loads += [
            LoadRequest(
                host=HostId(f"{version}-{number}"),
                service=ServiceName("model"),
                version=VersionName(version),
                model_bytes=size,
                serving_workers=serving,
                needed_workers=needed,
            )
            for number in range(copies)
        ]
    rng.shuffle(loads)
    return loads


def compare_weight_loads(runs: int = 200, seed: int = SEED) -> tuple[BenchRow, ...]:
    """Compare the order of weight loads by the mean time until all demand is served."""
    rng = random.Random(seed)
    sums = {"ours": 0.0, "equal rates": 0.0, "order of arrival": 0.0}
    for _ in range(runs):
        loads = make_weight_loads(rng)
        now = Instant(0, 0)
        planned = plan_weight_loads(loads, STORE_BYTES_PER_S, now)
        ends = {
            item.request.host: item.finish_at.mono_ms / 1000
            for item in planned
            if item.finish_at is not None
        }
        sums["ours"] += _find_served_s(loads, ends)
        sums["equal rates"] += _find_served_s(loads, _compute_equal_rate_ends(loads))
        total, sequential_ends = 0.0, {}
        for load in loads:
            total += load.model_bytes / STORE_BYTES_PER_S
            sequential_ends[load.host] = total
        sums["order of arrival"] += _find_served_s(loads, sequential_ends)
    return tuple(
        _make_row(
            "weight loads: seconds until the demand is served",
            f"{runs} waves, three versions",
            sums["ours"] / runs,
            name,
            sums[name] / runs,
        )
        for name in ("equal rates", "order of arrival")
    )


def _find_served_s(loads: Sequence[LoadRequest], ends: Mapping[HostId, float]) -> float:
    """Return the time in seconds at which every version has the workers it needs."""
    served = 0.0
    for version in {load.version for load in loads}:
        copies = [load for load in loads if load.version == version]
        missing_workers = copies[0].needed_workers - copies[0].serving_workers
        done = sorted(ends[load.host] for load in copies)
        served = max([served, *done[:missing_workers]])
    return served


def _compute_equal_rate_ends(loads: Sequence[LoadRequest]) -> dict[HostId, float]:
    """Return the end of each load in seconds if all loads share the rate equally."""
    queue = [(load.model_bytes, load.host) for load in loads]
    heapq.heapify(queue)
    at_s, done_bytes, ends = 0.0, 0, {}
    while queue:
        size, host = queue[0]
        at_s += (size - done_bytes) * len(queue) / STORE_BYTES_PER_S
        done_bytes = size
        heapq.heappop(queue)
        ends[host] = at_s
    return ends


def compare_capacity() -> tuple[BenchRow, ...]:
    """Return all rows of this comparison."""
    return compare_hosts() + compare_weight_loads()


def _make_row(
    decision: str, workload: str, ours: float, name: str, baseline: float
) -> BenchRow:
    if baseline == 0:
        ratio = 1.0 if ours == 0 else math.inf
    elif math.isinf(baseline):
        ratio = math.nan if math.isinf(ours) else 0.0
    else:
        ratio = ours / baseline
    return BenchRow(decision, workload, ours, name, baseline, ratio)
