"""Load pattern: more requests to engines than the keeper can place within objectives.

Guards the whole decision of the keeper, with its estimates of the backlog and the
reports of first events: urgent requests are late when low-priority ones fill the
engines, and returning callers must find the capacity that they were promised.
"""

import heapq
import itertools
import random

import attrs
import pytest
from test_placement_load import (
    CENTRES,
    ENGINE,
    ENGINES,
    FIXED_MS,
    HOST,
    POOL,
    PREFILL_TOKENS_PER_MS,
    Engines,
    Reports,
    make_fleet,
)

from waxwingbarrow.core import DataCentre, Instant
from waxwingbarrow.gateway.admission import PlacementAdviser, ServiceAdmissions
from waxwingbarrow.gateway.admission._permit_keeper import PermitKeeper
from waxwingbarrow.gateway.base import AdmissionSettings
from waxwingbarrow.gateway.messages import (
    CapacityDecision,
    CapacityQuery,
    PlacementQuery,
)
from waxwingbarrow.routing import PlacementPolicy, PromptPart

SECONDS = 5
TOKENS = 4_000
# Requests a second that all engines can prefill.
CAPACITY_PER_S = 1000 * ENGINES * PREFILL_TOKENS_PER_MS / TOKENS
MAX_RETURNS = 3
OLD_RETRY_MS = 300


@attrs.frozen
class Kind:
    priority: int
    objective_ms: float
    deadline_ms: float


URGENT, LOW = Kind(0, 400.0, 1_000.0), Kind(2, 2_000.0, 4_000.0)


@attrs.define(eq=False)
class Request:
    """One request, as `Engines` runs it, and what became of it."""

    kind: Kind
    arrival_ms: int
    number: int
    parts: tuple[PromptPart, ...]
    asked_ms: int = 0
    promise: int = 0
    returns: int = 0
    late_ms: float | None = None


def make_requests(rng, shares):
    numbers = itertools.count(1)
    for kind, share in shares.items():
        at_ms = 0.0
        while at_ms < SECONDS * 1000:
            at_ms += rng.expovariate(share * CAPACITY_PER_S / 1000)
            parts = (
                PromptPart(rng.getrandbits(48), int(TOKENS * rng.uniform(0.5, 1.5))),
            )
            yield Request(kind, int(at_ms), next(numbers), parts, int(at_ms))


def play(admissions, shares, seed):
    """Send all requests through a keeper; return them with their results."""
    rng, fleet = random.Random(seed), make_fleet()
    adviser = PlacementAdviser(
        fleet,
        PlacementPolicy(data_centre=DataCentre("a")),
        rng,
        lambda service: ENGINE,
        PermitKeeper(fleet.notices, lambda now: 1.0),
        admissions,
    )
    engines, reports, order = Engines(), Reports(adviser), itertools.count(1)
    requests = list(make_requests(rng, shares))
    events = [(item.arrival_ms, next(order), item) for item in requests]
    heapq.heapify(events)
    while events:
        at_ms, number, request = heapq.heappop(events)
        reports.deliver(at_ms)
        kind, now = request.kind, Instant(at_ms, at_ms)
        remaining_ms = kind.deadline_ms - (at_ms - request.asked_ms)
        query = PlacementQuery(
            service=POOL,
            data_centre=rng.choice(CENTRES),
            prompt_tokens=request.parts[0].tokens,
            output_tokens=100,
            parts=[(part.part, part.tokens) for part in request.parts],
            latest_start_ms=0.7 * remaining_ms,
            admission=CapacityQuery(
                kind.priority, "one", kind.objective_ms, request.promise, request.number
            ),
        )
        advice = adviser.advise(query, (HOST, number), now)
        admission, request.promise = advice.admission, 0
        if advice.is_permitted:
            request.arrival_ms = at_ms
            wait_ms = engines.run(advice.upstream, request)
            request.late_ms = at_ms + wait_ms + FIXED_MS - request.asked_ms
            reports.add(at_ms + wait_ms, advice.upstream, number)
            continue
        if admission is not None and admission.decision is CapacityDecision.WAIT:
            request.promise = admission.promise
            heapq.heappush(
                events, (at_ms + int(admission.after_ms), next(order), request)
            )
            continue
        if request.returns < MAX_RETURNS:
            request.returns += 1
            retry_ms = OLD_RETRY_MS if admission is None else round(admission.after_ms)
            request.asked_ms = at_ms + retry_ms
            heapq.heappush(events, (request.asked_ms, next(order), request))
    return requests


def measure_success(requests, kind):
    """Return the part that got its first event within the objective."""
    selected = [item for item in requests if item.kind is kind]
    in_time = [
        item
        for item in selected
        if item.late_ms is not None and item.late_ms <= kind.objective_ms
    ]
    return len(in_time) / len(selected)


def make_admissions(seed):
    return ServiceAdmissions(AdmissionSettings(by_urgency=True), random.Random(seed))


@pytest.mark.parametrize("seed", range(2))
def test_low_priority_requests_yield_to_urgent_ones(seed):
    """Half as much again as the engines can do, two thirds of it of low priority."""
    shares = {URGENT: 0.5, LOW: 1.0}
    before = play(None, shares, seed)
    after = play(make_admissions(seed), shares, seed)
    assert measure_success(before, URGENT) < 0.5
    assert measure_success(after, URGENT) > 0.98
    assert measure_success(after, LOW) > 0.9


def test_requests_are_placed_as_before_while_there_is_enough_capacity():
    shares = {URGENT: 0.2, LOW: 0.2}
    before, after = play(None, shares, 1), play(make_admissions(1), shares, 1)
    assert [item.late_ms for item in after] == [item.late_ms for item in before]
