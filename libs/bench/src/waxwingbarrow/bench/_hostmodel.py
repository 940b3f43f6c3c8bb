"""Model of prices, reclaims, refused starts and weight loads of a data centre."""

import math
import random
from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs

from waxwingbarrow.capacity import (
    HostList,
    HostOffer,
    HostState,
    OfferKey,
    OfferList,
    RunningHost,
    ServiceNeed,
    StartBackoff,
)
from waxwingbarrow.core import (
    DataCentre,
    HostId,
    Instant,
    ServiceName,
    VersionName,
    Zone,
)

STEP_S = 15
PLAN_INTERVAL_STEPS = 2
HOST_START_S = 60
DRAIN_S = 60
RECLAIM_NOTICE_S = 30
# Time for which offers refuse starts after a wave, and after the failure of a zone.
START_REFUSAL_S = 600
ZONE_OUTAGE_S = 900
# Time after a wave or an outage that counts for `late_after_wave`.
WAVE_WINDOW_S = 600
# Hosts started in this time serve at once, and nothing is measured until its end.
WARM_UP_S = 900
# Rate of the weight store, shared by all hosts of a data centre.
STORE_BYTES_PER_S = 0.5e9
ZONES = tuple(Zone(name) for name in "abc")
DATA_CENTRE = DataCentre("north")
VERSION = VersionName("v1")


@attrs.frozen
class Workload:
    """Services of one deployment, and how often a zone loses its hosts.

    Parameters
    ----------
    demands : tuple
        Mean demand in workers for each data centre, by service.
    waves_per_hour, outages_per_hour : float
        Waves of reclaims, and failures of the whole zone, in each zone.
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
BASE_PRICES_PER_HOUR = {"care": 4.0, "model": 4.0, "swap": 0.4, "rota": 0.4}


@attrs.frozen
class Scenario:
    """Prices, demand and events of one data centre, the same for every planner.

    Parameters
    ----------
    steps : int
        Length in steps of `STEP_S`.
    prices : Mapping
        Price by offer and step.
    demands : Mapping
        Demand in workers by service and step.
    waves, outages : Mapping
        Zones whose reclaimable hosts are taken, and zones that fail, by step.
    refusals : frozenset
        Pairs of an offer and a step at which its starts are refused.
    """

    steps: int
    prices: Mapping[OfferKey, Sequence[float]]
    demands: Mapping[str, Sequence[float]]
    waves: Mapping[int, Sequence[Zone]]
    outages: Mapping[int, Sequence[Zone]]
    refusals: frozenset[tuple[OfferKey, int]]

    def list_offers(self, step: int) -> list[HostOffer]:
        """Return the offers with their prices at a step."""
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
    """A simulated host; `remaining_bytes` are the weights that it has yet to load."""

    running: RunningHost
    ready_at_s: float
    remaining_bytes: float
    gone_at_s: float = math.inf


class HostPlanner(Protocol):
    """Chooses the hosts of one data centre."""

    def choose_hosts(
        self, needs: Sequence[ServiceNeed], offers: OfferList, hosts: HostList
    ) -> tuple[list[tuple[HostOffer, ServiceName]], list[HostId]]:
        """Return the hosts to start and those to drain."""
        ...


@attrs.frozen
class SimulationResult:
    """Result of one run.

    Parameters
    ----------
    cost_per_hour : float
        Mean cost of all hosts.
    late : float
        Fraction of the demand for which no worker was serving.
    late_after_wave : float
        The same within ten minutes after a wave or an outage.
    """

    cost_per_hour: float
    late: float
    late_after_wave: float


def make_scenario(
    demands: Mapping[str, float], workload: Workload, hours: int, seed: int
) -> Scenario:
    """Return random prices, demand and events; events begin after the warm-up."""
    rng = random.Random(seed)
    steps = hours * 3600 // STEP_S
    machines = {
        ("gpu1" if BASE_PRICES_PER_HOUR[name] > 1 else "cpu1"): name for name in demands
    }
    prices = {}
    for machine, service in machines.items():
        for zone in ZONES:
            base = BASE_PRICES_PER_HOUR[service] * rng.uniform(0.97, 1.03)
            key = OfferKey(DATA_CENTRE, zone, machine, False)
            prices[key] = [base] * steps
            key = OfferKey(DATA_CENTRE, zone, machine, True)
            prices[key] = _vary_prices(base * rng.uniform(0.3, 0.45), steps, rng)
    waves: dict[int, list[Zone]] = {}
    outages: dict[int, list[Zone]] = {}
    refusals = set()
    first_event_step = WARM_UP_S // STEP_S
    for rate, events, duration_s in (
        (workload.waves_per_hour, waves, START_REFUSAL_S),
        (workload.outages_per_hour, outages, ZONE_OUTAGE_S),
    ):
        for zone in ZONES:
            for step in range(first_event_step, steps):
                if rng.random() >= rate * STEP_S / 3600:
                    continue
                events.setdefault(step, []).append(zone)
                for key in prices:
                    taken = key.zone == zone and (key.reclaimable or events is outages)
                    # A wave raises the demand for other offers too; some refuse starts.
                    if taken or rng.random() < 0.25:
                        end = step + duration_s // STEP_S
                        refusals |= {(key, n) for n in range(step, end)}
    return Scenario(
        steps,
        prices,
        {name: _vary_demand(mean, steps, rng) for name, mean in demands.items()},
        waves,
        outages,
        frozenset(refusals),
    )


def _vary_prices(base: float, steps: int, rng: random.Random) -> list[float]:
    """Return prices that vary by 3% around a level.

    The level changes every 4 h on average.
    """
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


class SimulatedDataCentre:
    """One data centre whose hosts a planner chooses."""

    def __init__(self, scenario: Scenario, planner: HostPlanner) -> None:
        self._scenario = scenario
        self._planner = planner
        self._backoff = StartBackoff()
        self._hosts: dict[HostId, SimulatedHost] = {}
        self._number = 0

    def run(self) -> SimulationResult:
        """Run all steps; measuring begins after the warm-up."""
        cost = late = late_after = demand_sum = demand_after = 0.0
        window_end, first_measured_step = -1, WARM_UP_S // STEP_S
        for step in range(self._scenario.steps):
            if self._apply_zone_events(step):
                window_end = step + WAVE_WINDOW_S // STEP_S
            self._advance(step)
            if step % PLAN_INTERVAL_STEPS == 0:
                self._plan(step)
            if step < first_measured_step:
                continue
            cost += self._sum_prices(step)
            for service, demands in self._scenario.demands.items():
                lacking = max(0.0, demands[step] - self._count_serving(service))
                late += lacking
                demand_sum += demands[step]
                if step < window_end:
                    late_after += lacking
                    demand_after += demands[step]
        return SimulationResult(
            cost / (self._scenario.steps - first_measured_step),
            late / demand_sum,
            late_after / demand_after if demand_after else 0.0,
        )

    def _apply_zone_events(self, step: int) -> bool:
        waves = self._scenario.waves.get(step, ())
        outages = self._scenario.outages.get(step, ())
        at_s = step * STEP_S
        for host in list(self._hosts.values()):
            offer = host.running.offer
            if offer.zone in outages:
                del self._hosts[host.running.host]
            elif offer.zone in waves and offer.reclaimable:
                self._mark_leaving(
                    host, at_s + RECLAIM_NOTICE_S, at_s + RECLAIM_NOTICE_S
                )
        return bool(waves or outages)

    def _mark_leaving(
        self, host: SimulatedHost, gone_at_s: float, leave_by_s: int | None
    ) -> None:
        host.gone_at_s = min(host.gone_at_s, gone_at_s)
        host.running = attrs.evolve(
            host.running,
            state=HostState.LEAVING,
            leave_by_ms=None if leave_by_s is None else leave_by_s * 1000,
        )

    def _advance(self, step: int) -> None:
        """Load weights in the order of the starts, and remove hosts that have left."""
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
        offers = self._backoff.mark_offers(self._scenario.list_offers(step), now)
        starts, stops = self._planner.choose_hosts(
            [
                _make_service_need(name, d[step])
                for name, d in self._scenario.demands.items()
            ],
            OfferList(offers=offers, read_at=now),
            HostList(hosts=tuple(h.running for h in self._hosts.values()), read_at=now),
        )
        for name in stops:
            self._mark_leaving(self._hosts[name], step * STEP_S + DRAIN_S, None)
        for offer, service in starts:
            if (offer.key, step) in self._scenario.refusals:
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
            is_warmed_up = step * STEP_S >= WARM_UP_S
            self._hosts[host] = SimulatedHost(
                running,
                step * STEP_S + HOST_START_S * is_warmed_up,
                MODEL_BYTES[service] * is_warmed_up,
            )

    def _sum_prices(self, step: int) -> float:
        prices = self._scenario.prices
        return sum(prices[h.running.offer.key][step] for h in self._hosts.values())

    def _count_serving(self, service: str) -> int:
        return sum(
            host.running.service == service and host.running.state is HostState.SERVING
            for host in self._hosts.values()
        )


def _make_service_need(service: str, demand: float) -> ServiceNeed:
    return ServiceNeed(
        service=ServiceName(service),
        version=VERSION,
        data_centre=DATA_CENTRE,
        min_workers=1,
        # In workers: a worker serves 1 token/s by default.
        demand_tokens_per_s=demand,
        accelerators=int(BASE_PRICES_PER_HOUR[service] > 1),
    )


def measure_planner(
    scenarios: Sequence[Scenario], make_planner: "PlannerFactory"
) -> SimulationResult:
    """Run a new planner in each data centre.

    The costs are summed; the lateness is the mean weighted by demand.
    """
    results = [
        SimulatedDataCentre(scenario, make_planner()).run() for scenario in scenarios
    ]
    weights = [sum(sum(d) for d in scenario.demands.values()) for scenario in scenarios]
    total = sum(weights)
    pairs = list(zip(results, weights, strict=True))
    return SimulationResult(
        sum(result.cost_per_hour for result in results),
        sum(result.late * weight for result, weight in pairs) / total,
        sum(result.late_after_wave * weight for result, weight in pairs) / total,
    )


class PlannerFactory(Protocol):
    """Creates a planner for one run."""

    def __call__(self) -> HostPlanner:
        """Return a new planner."""
        ...
