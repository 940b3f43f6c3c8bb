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
ZONES = tuple(Zone(name) for name in "abc")
CENTRE = DataCentre("north")
VERSION = VersionName("v1")


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
        min_workers=1,
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
