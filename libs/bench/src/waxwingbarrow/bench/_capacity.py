"""Comparison of the choice of hosts and of weight loads with simple baselines."""

import heapq
import math
import random
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs

from waxwingbarrow.bench._routing import BenchRow
from waxwingbarrow.capacity import (
    CapacityPolicy,
    HostList,
    HostOffer,
    HostState,
    LoadRequest,
    OfferKey,
    OfferList,
    RunningHost,
    ServiceNeed,
    StartBackoff,
    StopPhase,
    ZoneLoss,
    compute_needed_workers,
    plan_capacity,
    plan_weight_loads,
)
from waxwingbarrow.core import (
    DataCentre,
    HostId,
    Instant,
    ServiceName,
    VersionName,
    Zone,
)

SEED = 20_260_103
STEP_S = 15
PLAN_STEPS = 2
START_S = 60
DRAIN_S = 60
NOTICE_S = 30
REFUSAL_S = 600
OUTAGE_S = 900
WAVE_WINDOW_S = 600
# Until then hosts serve at once and nothing is measured.
WARM_UP_S = 900
STORE_BYTES_PER_S = 0.5e9
# Of all decisions alike, for demand that grows faster than hosts start.
HEADROOM_PERCENT = 15.0
# The latency target counts as met if at most this part of the demand is late.
LATE_TARGET = 0.002
ZONES = tuple(Zone(name) for name in "abc")
CENTRE = DataCentre("north")
VERSION = VersionName("v1")
MOST_SPARES = 3


@attrs.frozen
class Workload:
    """Services of one deployment and how often the cloud takes zones.

    Parameters
    ----------
    demands : tuple
        Mean demand in workers for each data centre, by service.
    waves_per_hour, outages_per_hour : float
        Waves of reclaims, and failures of a whole zone, for each zone.
    """

    name: str
    demands: tuple[Mapping[str, float], ...]
    waves_per_hour: float = 0.5
    outages_per_hour: float = 0.0


# Section 2.4 of docs/design.md gives the workers; their division is assumed.
DIRECTORATE = Workload(
    "Directorate, reclaims",
    tuple({"care": care, "swap": 0.8} for care in (2.6, 2.0, 1.8, 1.6)),
)
COOPERATIVE = Workload(
    "Co-operative, reclaims",
    tuple({"model": pool, "rota": 0.8} for pool in (1.6, 1.0, 0.8, 0.8)),
)
LARGE = Workload("40 workers, reclaims", ({"care": 40.0},))
WORKLOADS = (
    DIRECTORATE,
    attrs.evolve(
        DIRECTORATE, name="Directorate, reclaims, failures", outages_per_hour=0.3
    ),
    COOPERATIVE,
    attrs.evolve(
        COOPERATIVE, name="Co-operative, reclaims, failures", outages_per_hour=0.3
    ),
    LARGE,
)
MODEL_BYTES = {"care": 40 * 10**9, "model": 40 * 10**9, "swap": 10**9, "rota": 10**9}
PRICES = {"care": 4.0, "model": 4.0, "swap": 0.4, "rota": 0.4}


@attrs.frozen
class Scene:
    """What happens in one data centre, the same for every decision.

    Parameters
    ----------
    steps : int
        Length.
    prices : Mapping
        Price by offer and step.
    demands : Mapping
        Demand in workers by service and step.
    waves, outages : Mapping
        Zones taken, by step.
    refusals : frozenset
        Offers and steps whose starts are refused.
    """

    steps: int
    prices: Mapping[OfferKey, Sequence[float]]
    demands: Mapping[str, Sequence[float]]
    waves: Mapping[int, Sequence[Zone]]
    outages: Mapping[int, Sequence[Zone]]
    refusals: frozenset[tuple[OfferKey, int]]

    def list_offers(self, step: int) -> list[HostOffer]:
        """Return the offers with their present prices."""
        return [
            HostOffer(
                machine_class=key.machine_class,
                zone=key.zone,
                data_centre=key.data_centre,
                reclaimable=key.reclaimable,
                price_per_hour=prices[step],
                accelerators=int(key.machine_class.startswith("gpu")),
            )
            for key, prices in self.prices.items()
        ]


@attrs.define
class SimulatedHost:
    """A host of the model."""

    running: RunningHost
    ready_at_s: float
    remaining_bytes: float
    gone_at_s: float = math.inf


class Decision(Protocol):
    """What chooses the hosts of one data centre."""

    def decide(
        self, needs: Sequence[ServiceNeed], offers: OfferList, hosts: HostList
    ) -> tuple[list[tuple[HostOffer, ServiceName]], list[HostId]]:
        """Return the hosts to start and those to drain."""
        ...


class PlannedDecision:
    """Decides with `plan_capacity`."""

    def __init__(self, policy: CapacityPolicy) -> None:
        self._policy = policy

    def decide(
        self, needs: Sequence[ServiceNeed], offers: OfferList, hosts: HostList
    ) -> tuple[list[tuple[HostOffer, ServiceName]], list[HostId]]:
        """Return the hosts to start and those to drain."""
        now = hosts.read_at or Instant(0, 0)
        plan = plan_capacity(needs, offers, hosts, self._policy, now)
        starts = [(start.offer, start.service) for start in plan.starts]
        stops = [stop.host.host for stop in plan.stops if stop.phase is StopPhase.DRAIN]
        return starts, stops


class FixedDecision:
    """Baseline: a fixed rule and a fixed number of spare workers for each need.

    Parameters
    ----------
    reclaimable_percent : float
        Part of the workers on reclaimable hosts.
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

    def decide(
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
            for kind, count in wanted.items():
                for _ in range(count - kinds[kind]):
                    offer = self._pick_offer(need, offers.offers, kind, zones)
                    if offer is not None:
                        zones[offer.zone] += 1
                        starts.append((offer, need.service))
                serving = [
                    host
                    for host in members
                    if host.offer.reclaimable is kind
                    and host.state is HostState.SERVING
                ]
                # One more worker is kept, so that the number does not oscillate.
                surplus = max(0, len(serving) - count - 1)
                stops += [host.host for host in serving[:surplus]]
        return starts, stops

    def _pick_offer(
        self,
        need: ServiceNeed,
        offers: Sequence[HostOffer],
        kind: bool,
        zones: Counter[Zone],
    ) -> HostOffer | None:
        usable = [
            offer
            for offer in offers
            if offer.reclaimable is kind
            and offer.accelerators == need.accelerators
            and offer.start_refused_until is None
        ]
        return min(
            usable,
            key=lambda o: (zones[o.zone] if self._spread else 0, o.price_per_hour),
            default=None,
        )


@attrs.frozen
class Measured:
    """Result of one run.

    Parameters
    ----------
    cost_per_hour : float
        Mean cost of all hosts.
    late : float
        Part of the demand for which no worker served.
    late_after_wave : float
        The same within ten minutes after a wave or an outage.
    """

    cost_per_hour: float
    late: float
    late_after_wave: float


def make_scene(
    demands: Mapping[str, float], load: Workload, hours: int, seed: int
) -> Scene:
    """Return random events; there are no waves during the warm-up."""
    rng = random.Random(seed)
    steps = hours * 3600 // STEP_S
    machines = {("gpu1" if PRICES[name] > 1 else "cpu1"): name for name in demands}
    prices = {}
    for machine, service in machines.items():
        for zone in ZONES:
            base = PRICES[service] * rng.uniform(0.97, 1.03)
            key = OfferKey(CENTRE, zone, machine, False)
            prices[key] = [base] * steps
            key = OfferKey(CENTRE, zone, machine, True)
            prices[key] = _walk_prices(base * rng.uniform(0.3, 0.45), steps, rng)
    waves: dict[int, list[Zone]] = {}
    outages: dict[int, list[Zone]] = {}
    refusals = set()
    first = WARM_UP_S // STEP_S
    for rate, events, duration_s in (
        (load.waves_per_hour, waves, REFUSAL_S),
        (load.outages_per_hour, outages, OUTAGE_S),
    ):
        for zone in ZONES:
            for step in range(first, steps):
                if rng.random() >= rate * STEP_S / 3600:
                    continue
                events.setdefault(step, []).append(zone)
                for key in prices:
                    taken = key.zone == zone and (key.reclaimable or events is outages)
                    # After a wave the demand for other hosts is high as well.
                    if taken or rng.random() < 0.25:
                        end = step + duration_s // STEP_S
                        refusals |= {(key, n) for n in range(step, end)}
    return Scene(
        steps,
        prices,
        {name: _vary_demand(mean, steps, rng) for name, mean in demands.items()},
        waves,
        outages,
        frozenset(refusals),
    )


def _walk_prices(base: float, steps: int, rng: random.Random) -> list[float]:
    """Return prices that vary by some percent and sometimes change for long."""
    level, prices = 1.0, []
    for _ in range(steps):
        if rng.random() < 1 / 960:
            level = rng.uniform(0.7, 1.6)
        prices.append(base * level * rng.uniform(0.97, 1.03))
    return prices


def _vary_demand(mean: float, steps: int, rng: random.Random) -> list[float]:
    phase = rng.uniform(0, 2 * math.pi)
    return [
        mean * (1 + 0.25 * math.sin(phase + 2 * math.pi * step * STEP_S / 14_400))
        for step in range(steps)
    ]


class Centre:
    """One data centre under one decision."""

    def __init__(self, scene: Scene, decision: Decision) -> None:
        self._scene = scene
        self._decision = decision
        self._backoff = StartBackoff()
        self._hosts: dict[HostId, SimulatedHost] = {}
        self._number = 0

    def run(self) -> Measured:
        """Run all steps; measures begin after the warm-up."""
        cost = late = late_after = demand_sum = demand_after = 0.0
        window_end, begin = -1, WARM_UP_S // STEP_S
        for step in range(self._scene.steps):
            if self._take_zones(step):
                window_end = step + WAVE_WINDOW_S // STEP_S
            self._advance(step)
            if step % PLAN_STEPS == 0:
                self._plan(step)
            if step < begin:
                continue
            cost += self._sum_prices(step)
            for service, demands in self._scene.demands.items():
                lacking = max(0.0, demands[step] - self._count_serving(service))
                late += lacking
                demand_sum += demands[step]
                if step < window_end:
                    late_after += lacking
                    demand_after += demands[step]
        return Measured(
            cost / (self._scene.steps - begin),
            late / demand_sum,
            late_after / demand_after if demand_after else 0.0,
        )

    def _take_zones(self, step: int) -> bool:
        waves = self._scene.waves.get(step, ())
        outages = self._scene.outages.get(step, ())
        at_s = step * STEP_S
        for host in list(self._hosts.values()):
            offer = host.running.offer
            if offer.zone in outages:
                del self._hosts[host.running.host]
            elif offer.zone in waves and offer.reclaimable:
                self._leave(host, at_s + NOTICE_S, at_s + NOTICE_S)
        return bool(waves or outages)

    def _leave(
        self, host: SimulatedHost, gone_at_s: float, notice_s: int | None
    ) -> None:
        host.gone_at_s = min(host.gone_at_s, gone_at_s)
        host.running = attrs.evolve(
            host.running,
            state=HostState.LEAVING,
            leave_by_ms=None if notice_s is None else notice_s * 1000,
        )

    def _advance(self, step: int) -> None:
        """Start hosts, load weights in the order of the starts, and end drains."""
        at_s = step * STEP_S
        budget = STORE_BYTES_PER_S * STEP_S
        for name, host in list(self._hosts.items()):
            if host.gone_at_s <= at_s:
                del self._hosts[name]
            if host.running.state is HostState.LEAVING or host.ready_at_s > at_s:
                continue
            loaded = min(budget, host.remaining_bytes)
            host.remaining_bytes -= loaded
            budget -= loaded
            serves = host.remaining_bytes <= 0
            state = HostState.SERVING if serves else HostState.LOADING
            if host.running.state is not state:
                host.running = attrs.evolve(host.running, state=state)

    def _plan(self, step: int) -> None:
        now = Instant(step * STEP_S * 1000, step * STEP_S * 1000)
        offers = self._backoff.mark_offers(self._scene.list_offers(step), now)
        starts, stops = self._decision.decide(
            [_make_need(name, d[step]) for name, d in self._scene.demands.items()],
            OfferList(offers=offers, read_at=now),
            HostList(hosts=tuple(h.running for h in self._hosts.values()), read_at=now),
        )
        for name in stops:
            self._leave(self._hosts[name], step * STEP_S + DRAIN_S, None)
        for offer, service in starts:
            if (offer.key, step) in self._scene.refusals:
                self._backoff = self._backoff.note_refused(offer.key, now)
                continue
            self._backoff = self._backoff.note_started(offer.key)
            self._number += 1
            host = HostId(f"h{self._number:05}")
            running = RunningHost(
                host=host,
                offer=offer,
                service=service,
                version=VERSION,
                state=HostState.STARTING,
            )
            warm = step * STEP_S >= WARM_UP_S
            self._hosts[host] = SimulatedHost(
                running,
                step * STEP_S + START_S * warm,
                MODEL_BYTES[service] * warm,
            )

    def _sum_prices(self, step: int) -> float:
        prices = self._scene.prices
        return sum(prices[h.running.offer.key][step] for h in self._hosts.values())

    def _count_serving(self, service: str) -> int:
        return sum(
            host.running.service == service and host.running.state is HostState.SERVING
            for host in self._hosts.values()
        )


def _make_need(service: str, demand: float) -> ServiceNeed:
    return ServiceNeed(
        service=ServiceName(service),
        version=VERSION,
        data_centre=CENTRE,
        workers=1,
        demand_tokens_per_s=demand,
        accelerators=int(PRICES[service] > 1),
    )


def measure(scenes: Sequence[Scene], make_decision: "DecisionMaker") -> Measured:
    """Return the sum of the costs and the mean lateness over data centres."""
    results = [Centre(scene, make_decision()).run() for scene in scenes]
    weights = [sum(sum(d) for d in scene.demands.values()) for scene in scenes]
    total = sum(weights)
    pairs = list(zip(results, weights, strict=True))
    return Measured(
        sum(result.cost_per_hour for result in results),
        sum(result.late * weight for result, weight in pairs) / total,
        sum(result.late_after_wave * weight for result, weight in pairs) / total,
    )


class DecisionMaker(Protocol):
    """Makes a decision for one run."""

    def __call__(self) -> Decision:
        """Return a new decision."""
        ...


@attrs.frozen
class Baseline:
    """A fixed rule; the spares are chosen in its favour."""

    name: str
    reclaimable_percent: float
    spread: bool

    def make(self, spares: int) -> DecisionMaker:
        """Return a maker of decisions with so many spares."""
        return lambda: FixedDecision(self.reclaimable_percent, self.spread, spares)


BASELINES = (
    Baseline("all on demand", 0.0, False),
    Baseline("all cheapest", 100.0, False),
    Baseline("even spread", 43.0, True),
)


def compare_hosts(
    workloads: Sequence[Workload] = WORKLOADS, hours: int = 4, seed: int = SEED
) -> tuple[BenchRow, ...]:
    """Compare cost at the latency target and lateness after waves with fixed rules.

    Each rule gets the least number of spare workers, up to 3 for each need, with which
    it meets the target, known from the same events; the cost is infinite if none does.
    The target is measured over all time and, as the design page demands it, within ten
    minutes after a zone was taken: rare waves hide lateness from the former.
    Lateness after a wave is compared without spares.
    """
    rows = []
    for load in workloads:
        scenes = [
            make_scene(demands, load, hours, seed + number)
            for number, demands in enumerate(load.demands)
        ]
        ours = {
            loss: measure(
                scenes,
                lambda loss=loss: PlannedDecision(CapacityPolicy(zone_loss=loss)),
            )
            for loss in ZoneLoss
        }
        for baseline in BASELINES:
            runs = [
                measure(scenes, baseline.make(spares))
                for spares in range(MOST_SPARES + 1)
            ]
            for loss, result in ours.items():
                rows += _compare_runs(
                    f"hosts, {loss}", load.name, result, baseline, runs
                )
    return tuple(rows)


def _compare_runs(
    decision: str,
    workload: str,
    ours: Measured,
    baseline: Baseline,
    runs: Sequence[Measured],
) -> list[BenchRow]:
    """Return the rows for one baseline; `runs` have 0, 1, 2, ... spares."""
    rows = []
    for target, is_met in (
        ("over all time", lambda run: run.late <= LATE_TARGET),
        ("after waves", lambda run: run.late_after_wave <= LATE_TARGET),
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


def make_loads(rng: random.Random) -> list[LoadRequest]:
    """Return loads of hosts that were started together after a wave."""
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


def compare_loads(runs: int = 200, seed: int = SEED) -> tuple[BenchRow, ...]:
    """Compare the mean time until the demand of all versions is served."""
    rng = random.Random(seed)
    sums = {"ours": 0.0, "equal rates": 0.0, "order of arrival": 0.0}
    for _ in range(runs):
        loads = make_loads(rng)
        now = Instant(0, 0)
        planned = plan_weight_loads(loads, STORE_BYTES_PER_S, now)
        ends = {
            item.request.host: item.finish_at.mono_ms / 1000
            for item in planned
            if item.finish_at is not None
        }
        sums["ours"] += _measure_served_s(loads, ends)
        sums["equal rates"] += _measure_served_s(loads, _share_rate(loads))
        total, arrival = 0.0, {}
        for load in loads:
            total += load.model_bytes / STORE_BYTES_PER_S
            arrival[load.host] = total
        sums["order of arrival"] += _measure_served_s(loads, arrival)
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


def _measure_served_s(
    loads: Sequence[LoadRequest], ends: Mapping[HostId, float]
) -> float:
    """Return when the last version has the workers that it lacked."""
    served = 0.0
    for version in {load.version for load in loads}:
        copies = [load for load in loads if load.version == version]
        lacking = copies[0].needed_workers - copies[0].serving_workers
        done = sorted(ends[load.host] for load in copies)
        served = max([served, *done[:lacking]])
    return served


def _share_rate(loads: Sequence[LoadRequest]) -> dict[HostId, float]:
    """Return the ends of loads that share the rate equally."""
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
    return compare_hosts() + compare_loads()


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
