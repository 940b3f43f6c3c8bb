"""Load pattern: engines that are not as fast as the data sheets say.

Guards against orders of workers that nobody needs, against too few workers on engines
that are slower, and against workers that are given back at once by a wrong estimate.
"""

import collections
import heapq
import random
import statistics

import attrs
import pytest
from test_scaling import CENTRES, POOL, Host, at

from waxwingbarrow.core import DataCentre
from waxwingbarrow.gateway.admission._permit_keeper import PermitKeeper
from waxwingbarrow.gateway.admission._placements import PlacementAdviser
from waxwingbarrow.gateway.base._model import CallMetadata, Engine
from waxwingbarrow.gateway.messages._messages import (
    MESSAGE_FORMAT,
    AttemptOutcome,
    AttemptReport,
    PlacementQuery,
)
from waxwingbarrow.gateway.requests._work_meter import estimate_work_ms
from waxwingbarrow.routing import EngineSpeed, PlacementPolicy

ENGINE = Engine(slots=32, memory_tokens=500_000)
WORKERS_PER_CENTRE = 8
SECONDS = 80
# Capacity is given back slowly, so the orders of the first 50 s say little.
LAST_S = 30
REQUESTS_PER_S = 36
OUTPUT_TOKENS = 200
LATENCY_MS = 20
SLOW_PHASE_MS = 600
TARGET_MS = 450.0
LATE_MS = 500
LAST_REQUESTS = 1_000


@attrs.frozen
class Engines:
    """Speed of the engines that serve the requests.

    Parameters
    ----------
    factors : tuple
        Factors on the speed, one engine after the other.
    slow_share : float
        Part of the time in which an engine is 2.5 times slower.
    """

    speed: EngineSpeed
    factors: tuple = (1.0,)
    slow_share: float = 0.0

    def find_factor(self, number, now_ms):
        factor = self.factors[number % len(self.factors)]
        phase = random.Random(f"{number}/{int(now_ms) // SLOW_PHASE_MS}")
        return factor / 2.5 if phase.random() < self.slow_share else factor


KINDS = {
    "as on the sheet": Engines(EngineSpeed()),
    "twice as fast": Engines(
        EngineSpeed(prefill_tokens_per_ms=110.0, step_ms=1.5, step_ms_per_request=0.05)
    ),
    "half as fast": Engines(
        EngineSpeed(prefill_tokens_per_ms=27.5, step_ms=6.0, step_ms_per_request=0.202)
    ),
    "small slope": Engines(
        EngineSpeed(
            prefill_tokens_per_ms=92.1, step_ms=2.77, step_ms_per_request=0.0145
        )
    ),
    "mixed": Engines(EngineSpeed(), (0.6, 1.0, 1.6)),
    "slow phases": Engines(EngineSpeed(), slow_share=0.15),
}


class Run:
    """A deployment whose keeper places all requests and plans the capacity."""

    def __init__(self, engines, is_enabled, seed=1):
        self.engines, self.rng = engines, random.Random(seed)
        self.host = Host()
        fleet = self.host.fleet
        fleet.estimates.is_enabled = is_enabled
        for centre in CENTRES:
            self.host.register(centre, WORKERS_PER_CENTRE, at(0))
        self.host.task.note_initial_workers(at(0))
        self.adviser = PlacementAdviser(
            fleet,
            PlacementPolicy(data_centre=CENTRES[0]),
            self.rng,
            lambda service: ENGINE,
            PermitKeeper(fleet.notices, lambda now: 1.0),
        )
        self.numbers, self.free_ms = {}, {}
        self.ends_ms = collections.defaultdict(list)
        self.reports, self.waits_ms = [], []
        # Workers after each second, and the work by the true speed.
        self.ordered, self.true_work_ms = [], 0.0

    def run(self):
        now_ms, next_s = 0.0, 1
        for number in range(SECONDS * REQUESTS_PER_S):
            now_ms += self.rng.expovariate(REQUESTS_PER_S / 1000)
            while next_s * 1000 <= now_ms:
                self.deliver(next_s * 1000)
                self.order(at(next_s * 1000))
                next_s += 1
            self.deliver(now_ms)
            self.place(number, now_ms)
        return self

    def order(self, now):
        """Order workers, which serve at once, and remove those that were returned."""
        if now.mono_ms < 4_000:
            return
        self.host.order(now)
        fleet = self.host.fleet
        for pool, count in self.host.cloud.ordered.items():
            self.host.register(
                pool.data_centre, count, now, reclaimable=pool.reclaimable
            )
            kept = {
                f"{pool.data_centre}{pool.reclaimable}{number}v1"
                for number in range(count)
            }
            prefix = f"{pool.data_centre}{pool.reclaimable}"
            for name in list(fleet.upstreams):
                if name.startswith(prefix) and name not in kept:
                    fleet.remove(name, now)
        self.ordered.append(len(fleet.upstreams))

    def place(self, number, now_ms):
        tokens, now = self.rng.randint(1_000, 9_000), at(int(now_ms))
        query = PlacementQuery(
            POOL, str(DataCentre("a")), tokens, OUTPUT_TOKENS, [], 60_000.0
        )
        name = self.adviser.advise(query, ("", number), now).upstream
        metadata = CallMetadata(
            request_id="r",
            key=None,
            deadline_ms=None,
            prompt_tokens=tokens,
            max_output_tokens=OUTPUT_TOKENS,
            expected_output_tokens=OUTPUT_TOKENS,
        )
        speed = self.host.fleet.estimates.find_planned_speed(POOL, now)
        work_ms = estimate_work_ms(metadata, 0, speed, ENGINE.slots)
        self.host.work_meter.add(POOL, work_ms, now)
        true = self.engines.speed
        self.true_work_ms += estimate_work_ms(metadata, 0, true)
        self.serve(name, number, tokens, now_ms)

    def serve(self, name, number, tokens, now_ms):
        true = self.engines.speed
        begun_ms = max(now_ms + LATENCY_MS / 2, self.free_ms.get(name, 0.0))
        engine = self.numbers.setdefault(name, len(self.numbers))
        factor = self.engines.find_factor(engine, begun_ms)
        end_ms = begun_ms + tokens / true.prefill_tokens_per_ms / factor
        self.free_ms[name] = end_ms
        ends_ms = self.ends_ms[name]
        while ends_ms and ends_ms[0] <= end_ms:
            heapq.heappop(ends_ms)
        running = len(ends_ms) + 1
        step_ms = (true.step_ms + true.step_ms_per_request * running) / factor
        heapq.heappush(ends_ms, end_ms + OUTPUT_TOKENS * step_ms)
        first = (AttemptOutcome.FIRST_EVENT, 0.0, 0.0)
        ended = (AttemptOutcome.ENDED, step_ms, float(running))
        first_ms = end_ms + LATENCY_MS / 2
        heapq.heappush(self.reports, (first_ms, number, name, first))
        self.waits_ms.append(first_ms - now_ms)
        last_ms = first_ms + OUTPUT_TOKENS * step_ms
        heapq.heappush(self.reports, (last_ms, number, name, ended))

    def deliver(self, now_ms):
        while self.reports and self.reports[0][0] <= now_ms:
            at_ms, number, name, told = heapq.heappop(self.reports)
            report = AttemptReport(MESSAGE_FORMAT, number, name, 0, *told)
            self.adviser.note_attempt(report, "", at(int(at_ms)))


@pytest.fixture(scope="module")
def ordered_by_sheet():
    """Workers ordered by the figures of the sheet, which do not depend on the kind."""
    return measure_ordered(Run(KINDS["as on the sheet"], False).run())


def measure_ordered(run):
    """Return the mean number of ordered workers, once estimates have taken effect."""
    return statistics.mean(run.ordered[-LAST_S:])


@pytest.mark.parametrize(
    ("kind", "least", "most", "max_late"),
    [
        ("as on the sheet", 0.9, 1.1, 0.0),
        ("twice as fast", 0.5, 0.75, 0.0),
        ("half as fast", 1.5, 2.2, 0.0),
        ("small slope", 0.5, 0.8, 0.0),
        ("mixed", 0.75, 1.25, 0.0),
        ("slow phases", 0.95, 1.5, 0.03),
    ],
)
def test_the_ordered_workers_are_those_that_the_engines_need(
    kind, least, most, max_late, ordered_by_sheet
):
    run = Run(KINDS[kind], True).run()
    ordered = measure_ordered(run)
    assert least <= ordered / ordered_by_sheet <= most
    # The workers are loaded less than the target by the true speed, and prompts do not
    # wait for each other.
    assert run.true_work_ms / SECONDS / ordered <= TARGET_MS
    late = sum(wait_ms > LATE_MS for wait_ms in run.waits_ms[-LAST_REQUESTS:])
    assert late <= max_late * LAST_REQUESTS


def test_capacity_is_given_back_gradually():
    """An estimate that turns out wrong must not have returned half of the workers."""
    ordered = Run(KINDS["twice as fast"], True).run().ordered
    for earlier, later in zip(ordered[10:], ordered[15:], strict=False):
        assert later >= 0.8 * earlier - 2
