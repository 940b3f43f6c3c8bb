"""Guards against hedges that make overload worse, or that do not shorten the tail.

Requests arrive at upstreams with slots and queues; a few attempts stall. The decision,
the measured times and the budget are those of the product; the upstreams are simulated.
"""

import heapq
import itertools
import random

import attrs
import pytest

from waxwingbarrow.core import DataCentre, Instant, UpstreamId
from waxwingbarrow.routing import (
    AttemptTimes,
    HedgePolicy,
    PlacementPolicy,
    RequestSize,
    RetryBudget,
    SlowAttempt,
    WorkerView,
    choose_worker,
    compute_hedge_delay_ms,
    find_hedge_refusal,
)

UPSTREAMS, SLOTS = 6, 4
USUAL_MS, STALLED_MS, STALLED_SHARE = 20.0, 600.0, 0.02
MEAN_MS = USUAL_MS * (1 - STALLED_SHARE) + STALLED_MS * STALLED_SHARE
REQUESTS = 3_000


@attrs.define(eq=False)
class Attempt:
    upstream: int
    started_ms: float
    work_ms: float


@attrs.define(eq=False)
class Request:
    arrived_ms: float
    is_large: bool
    attempts: list[Attempt] = attrs.Factory(list)
    ended_ms: float | None = None


class Simulation:
    def __init__(self, load, extra_share, seed, is_by_request=False):
        self.rng = random.Random(seed)
        # Whether slow requests are slow at each upstream.
        self.is_by_request = is_by_request
        self.policy = HedgePolicy(extra_share=extra_share)
        self.placement = PlacementPolicy(data_centre=DataCentre("a"))
        self.times = AttemptTimes()
        self.budget = RetryBudget(retry_ratio=0.14, min_retries=1)
        self.running = [[] for _ in range(UPSTREAMS)]
        self.queued = [[] for _ in range(UPSTREAMS)]
        self.events = []
        self.order = itertools.count()
        self.requests = []
        self.hedges = 0
        now_ms = 0.0
        for _ in range(REQUESTS):
            now_ms += self.rng.expovariate(load * UPSTREAMS * SLOTS / MEAN_MS)
            is_large = self.rng.random() < STALLED_SHARE
            self.push(now_ms, self.arrive, is_large, None)

    def push(self, at_ms, action, *arguments):
        heapq.heappush(self.events, (at_ms, next(self.order), action, arguments))

    def run(self):
        while self.events:
            at_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments[:-1], at_ms)
        return sorted(item.ended_ms - item.arrived_ms for item in self.requests)

    def choose(self, excluded):
        views = [
            WorkerView(
                upstream=UpstreamId(str(number)),
                data_centre=DataCentre("a"),
                slots=SLOTS,
                running=len(self.running[number]) + len(self.queued[number]),
            )
            for number in range(UPSTREAMS)
            if number not in excluded
        ]
        return choose_worker(RequestSize(), views, self.placement, self.rng).unwrap()

    def arrive(self, is_large, now_ms):
        request = Request(now_ms, is_large)
        self.requests.append(request)
        self.budget.record_request(Instant(0, int(now_ms)))
        placement = self.choose(())
        self.start(request, int(placement.view.upstream), now_ms)
        mean_ms = self.times.find_mean_ms("read")
        if mean_ms is not None and self.policy.extra_share:
            expected_ms = max(mean_ms, placement.start_ms)
            delay_ms = compute_hedge_delay_ms(expected_ms, self.policy)
            self.push(now_ms + delay_ms, self.hedge, request, expected_ms, None)

    def hedge(self, request, expected_ms, now_ms):
        if request.ended_ms is not None:
            return
        waited_ms = now_ms - request.arrived_ms
        attempt = SlowAttempt(
            elapsed_ms=waited_ms,
            expected_ms=expected_ms,
            remaining_ms=self.times.estimate_remaining_ms("read", waited_ms),
            objective_ms=300.0,
            left_ms=3_000.0 - waited_ms,
        )
        placement = self.choose({request.attempts[0].upstream})
        if find_hedge_refusal(
            attempt, placement.view, placement.start_ms, self.policy
        ) is None and not self.budget.try_spend_hedge(
            self.policy.extra_share, Instant(0, int(now_ms))
        ):
            self.hedges += 1
            self.start(request, int(placement.view.upstream), now_ms)

    def start(self, request, upstream, now_ms):
        is_stalled = (
            request.is_large
            if self.is_by_request
            else self.rng.random() < STALLED_SHARE
        )
        attempt = Attempt(upstream, now_ms, STALLED_MS if is_stalled else USUAL_MS)
        request.attempts.append(attempt)
        self.queued[upstream].append((request, attempt))
        self.fill(upstream, now_ms)

    def fill(self, upstream, now_ms):
        while self.queued[upstream] and len(self.running[upstream]) < SLOTS:
            request, attempt = self.queued[upstream].pop(0)
            self.running[upstream].append((request, attempt))
            self.push(now_ms + attempt.work_ms, self.end, request, attempt, None)

    def end(self, request, attempt, now_ms):
        if request.ended_ms is not None:
            return
        request.ended_ms = now_ms
        for item in request.attempts:
            self.times.record("read", now_ms - item.started_ms)
            for items in (self.running, self.queued):
                items[item.upstream] = [
                    pair for pair in items[item.upstream] if pair[1] is not item
                ]
            self.fill(item.upstream, now_ms)


def find_quantile(times_ms, quantile):
    return times_ms[int(quantile * len(times_ms))]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("load", [0.2, 0.5])
def test_hedges_shorten_the_tail_while_there_is_capacity(load, seed):
    without = Simulation(load, 0.0, seed).run()
    simulation = Simulation(load, 0.05, seed)
    hedged = simulation.run()
    assert find_quantile(without, 0.99) >= STALLED_MS
    assert find_quantile(hedged, 0.99) < 0.5 * STALLED_MS
    assert simulation.hedges <= 0.05 * REQUESTS


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("is_by_request", [False, True])
def test_hardly_any_hedge_is_sent_in_an_overload(is_by_request, seed):
    # Each hedge would lengthen the queues, and more requests would seem to stall.
    simulation = Simulation(1.3, 0.05, seed, is_by_request)
    simulation.run()
    assert simulation.hedges <= 0.01 * REQUESTS


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("load", [0.2, 0.8, 1.0])
def test_requests_that_are_slow_everywhere_keep_to_the_share(load, seed):
    # Their hedges gain nothing, and only the share and the free slots bound them.
    simulation = Simulation(load, 0.01, seed, is_by_request=True)
    simulation.run()
    assert simulation.hedges <= 0.01 * REQUESTS + 1
