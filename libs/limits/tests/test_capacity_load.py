"""Guards the admission to scarce engines under patterns of load, by a queue model.

The model has 8 engines, which prefill one prompt after the other, do not sort them and
serve about 400 requests a second. Results are compared with the admission of before,
which refuses what cannot start in time and tells every caller to return after 0.3 s.
"""

import heapq
import itertools
import random

import attrs
import pytest

from waxwingbarrow.core import AccountId, Instant
from waxwingbarrow.limits import (
    CapacityAdmission,
    CapacityAdmissionPolicy,
    CapacityRequest,
    FreeCapacity,
    RefuseUntil,
    ServeNow,
    WaitFor,
)

# Fraction of the remaining time in which a request must start.
LATEST_START_FRACTION = 0.7
SEEDS = range(3)
URGENT = {"priority": 0, "objective_ms": 400.0, "deadline_ms": 1_000.0}
LOW = {"priority": 2, "objective_ms": 2_000.0, "deadline_ms": 4_000.0}


@attrs.frozen(kw_only=True)
class Stream:
    """Requests of one account on one route, at random times."""

    account: str
    priority: int
    objective_ms: float
    deadline_ms: float
    per_s: float
    work_ms: float = 20.0
    from_s: float = 0.0
    until_s: float = 20.0
    # The largest tenth needs this many times the work of the others.
    large_factor: float = 1.0
    max_returns: int = 0


@attrs.define(eq=False)
class Sent:
    """One request of a caller and what became of it."""

    stream: Stream
    at_ms: int
    work_ms: float
    is_large: bool
    asked_ms: int = 0
    number: int = 0
    returns: int = 0
    promise: int = 0
    was_promised: bool = False
    first_refusal: RefuseUntil | None = None
    vain_returns: int = 0
    promised_returns: int = 0
    started_ms: float | None = None
    waits_ms: list[float] = attrs.Factory(list)

    @property
    def is_in_time(self):
        """Whether it started within its objective, from the last time it was asked."""
        if self.started_ms is None:
            return False
        return self.started_ms - self.asked_ms <= self.stream.objective_ms


class FixedRetries:
    """The admission of before."""

    promise_count = 0

    def decide(self, request, capacity, now):
        if capacity.start_ms <= request.latest_start_ms:
            return ServeNow()
        return RefuseUntil(0.3)


def make_admission(seed=1, **policy):
    return CapacityAdmission(CapacityAdmissionPolicy(**policy), random.Random(seed))


class LostKeeper:
    """A keeper that is lost after a time; the next one knows nothing of it."""

    def __init__(self, at_ms):
        self.at_ms = at_ms
        self.admissions = [make_admission(1), make_admission(2)]

    def decide(self, request, capacity, now):
        return self.admissions[now.mono_ms >= self.at_ms].decide(request, capacity, now)


class HostsAlone:
    """Hosts that each decide for their own callers by their share of the engines.

    Parameters
    ----------
    count_entered : callable
        Returns at how many of the hosts the requests of an account enter.
    """

    def __init__(self, count, count_entered):
        self.admissions = [make_admission(seed) for seed in range(count)]
        self.count_entered = count_entered

    def decide(self, request, capacity, now):
        host = request.request_hash % self.count_entered(request.account)
        engines = capacity.engines / len(self.admissions)
        share = attrs.evolve(capacity, engines=engines)
        return self.admissions[host].decide(request, share, now)


def draw(streams, rng):
    for stream in streams:
        at_ms = stream.from_s * 1000
        while (at_ms := at_ms + rng.expovariate(stream.per_s / 1000)) < (
            stream.until_s * 1000
        ):
            is_large = rng.random() < 0.1
            work_ms = stream.work_ms * rng.uniform(0.7, 1.3)
            if is_large:
                work_ms *= stream.large_factor
            yield Sent(stream, int(at_ms), work_ms, is_large, int(at_ms))


def run(admission, streams, engines=8, seed=1, changes=()):
    """Run requests through the admission; return them with their results.

    Parameters
    ----------
    changes : sequence of tuple
        Times in ms, and the number of engines from then on.
    """
    rng = random.Random(seed)
    numbers = itertools.count()
    events = [(sent.at_ms, next(numbers), sent) for sent in draw(streams, rng)]
    requests = [sent for _, _, sent in events]
    for number, sent in enumerate(requests, 1):
        sent.number = number
    heapq.heapify(events)
    free_at_ms = [0.0] * engines
    pending_changes = sorted(changes)
    while events:
        at_ms, _, sent = heapq.heappop(events)
        while pending_changes and pending_changes[0][0] <= at_ms:
            free_at_ms = free_at_ms[: pending_changes.pop(0)[1]]
        stream, now = sent.stream, Instant(at_ms, at_ms)
        remaining_ms = stream.deadline_ms - (at_ms - sent.asked_ms)
        best = min(range(len(free_at_ms)), key=free_at_ms.__getitem__)
        wait_ms = max(free_at_ms[best] - at_ms, 0.0)
        verdict = admission.decide(
            CapacityRequest(
                priority=stream.priority,
                account=AccountId(stream.account),
                objective_ms=stream.objective_ms,
                latest_start_ms=remaining_ms * LATEST_START_FRACTION,
                promise=sent.promise,
                request_hash=sent.number,
            ),
            FreeCapacity(
                start_ms=wait_ms + sent.work_ms,
                own_ms=sent.work_ms,
                engines=len(free_at_ms),
            ),
            now,
        )
        sent.promise = 0
        match verdict:
            case ServeNow():
                free_at_ms[best] = at_ms + wait_ms + sent.work_ms
                sent.started_ms = free_at_ms[best]
            case WaitFor(delay_ms, promise):
                sent.promise = promise
                sent.waits_ms.append(delay_ms)
                event = (at_ms + int(delay_ms), next(numbers), sent)
                heapq.heappush(events, event)
            case RefuseUntil(retry_after_s, is_promised):
                sent.first_refusal = sent.first_refusal or verdict
                sent.vain_returns += sent.was_promised
                sent.was_promised = is_promised
                if sent.returns < stream.max_returns:
                    sent.returns += 1
                    sent.promised_returns += is_promised
                    sent.asked_ms = at_ms + round(retry_after_s * 1000)
                    heapq.heappush(events, (sent.asked_ms, next(numbers), sent))
    return requests


def measure_success(requests, select=lambda sent: True):
    """Return the part of the selected requests that started within its objective."""
    selected = [sent for sent in requests if select(sent)]
    return sum(sent.is_in_time for sent in selected) / len(selected)


def is_urgent(sent):
    return sent.stream.priority == 0


def is_low(sent):
    return sent.stream.priority == 2


@pytest.mark.parametrize("seed", SEEDS)
def test_a_burst_of_low_priority_work_does_not_delay_urgent_requests(seed):
    streams = [
        Stream(account="u", per_s=200, **URGENT),
        Stream(account="l", per_s=100, **LOW),
        Stream(account="l", per_s=600, from_s=5, until_s=8, max_returns=3, **LOW),
    ]
    before = run(FixedRetries(), streams, seed=seed)
    after = run(make_admission(), streams, seed=seed)
    assert measure_success(before, is_urgent) < 0.9
    assert measure_success(after, is_urgent) > 0.99
    assert measure_success(after, is_low) > 0.85


@pytest.mark.parametrize("seed", SEEDS)
def test_an_account_at_six_times_its_rate_bears_the_consequences(seed):
    """Its requests enter at few hosts, but the one that decides sees all of them."""
    usual = [
        Stream(account=f"a{number}", per_s=40, max_returns=3, **URGENT)
        for number in range(5)
    ]
    flood = Stream(account="flood", per_s=300, max_returns=3, **URGENT)

    def is_usual(sent):
        return sent.stream is not flood

    before = run(FixedRetries(), [*usual, flood], seed=seed)
    after = run(make_admission(), [*usual, flood], seed=seed)
    assert measure_success(before, is_usual) < 0.5
    assert measure_success(after, is_usual) > 0.98
    refused = [sent for sent in after if sent.first_refusal is not None]
    assert sum(map(is_usual, refused)) < 0.01 * len(refused)


@pytest.mark.parametrize("seed", SEEDS)
def test_urgent_requests_go_on_when_half_of_the_engines_are_reclaimed(seed):
    streams = [
        Stream(account="u", per_s=150, max_returns=3, **URGENT),
        Stream(account="l", per_s=150, max_returns=3, **LOW),
    ]
    changes = [(8_000, 4)]
    before = run(FixedRetries(), streams, seed=seed, changes=changes)
    after = run(make_admission(), streams, seed=seed, changes=changes)
    assert measure_success(before, is_urgent) < 0.8
    assert measure_success(after, is_urgent) > 0.98


@pytest.mark.parametrize("seed", SEEDS)
def test_large_requests_are_not_starved(seed):
    """At least half of the route's success ratio, also when all are too many.

    Each of the largest tenth needs six times the work of the others.
    """
    streams = [
        Stream(account=f"a{number}", per_s=60, large_factor=6, max_returns=2, **URGENT)
        for number in range(5)
    ]
    after = run(make_admission(), streams, seed=seed)
    large = measure_success(after, lambda sent: sent.is_large)
    assert large >= 0.5 * measure_success(after)


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_that_return_as_told_do_not_return_in_vain(seed):
    """A quarter more than the engines can do, from callers that return six times."""
    streams = [
        Stream(account=f"a{number}", per_s=100, max_returns=6, **URGENT)
        for number in range(5)
    ]
    after = run(make_admission(), streams, seed=seed)
    promised = sum(sent.promised_returns for sent in after)
    vain = sum(sent.vain_returns for sent in after)
    assert promised > 1_000
    assert vain < 0.02 * promised


@pytest.mark.parametrize("seed", SEEDS)
def test_refused_callers_do_not_return_at_the_same_time(seed):
    """A burst that is refused at one moment returns over seconds."""
    burst = Stream(
        account="u", per_s=8_000, from_s=1, until_s=1.1, max_returns=1, **URGENT
    )
    after = run(make_admission(), [burst], seed=seed)
    refused = [sent for sent in after if sent.returns]
    assert len(refused) > 100
    most = max(
        sum(at_ms <= sent.asked_ms < at_ms + 100 for sent in refused)
        for at_ms in range(1_000, 20_000, 50)
    )
    # What the engines do within the time, and as much again for the width of a slot.
    assert most <= 2 * 0.1 * 400


@pytest.mark.parametrize("seed", SEEDS)
def test_enough_capacity_is_served_as_before(seed):
    streams = [
        Stream(account="u", per_s=150, **URGENT),
        Stream(account="l", per_s=150, **LOW),
    ]
    after = run(make_admission(), streams, seed=seed)
    assert measure_success(after) == 1.0
    assert not any(sent.waits_ms or sent.first_refusal for sent in after)


@pytest.mark.parametrize("seed", SEEDS)
def test_urgent_requests_go_on_when_the_keeper_is_lost(seed):
    """Its promises are forgotten; waiting and returning requests are new ones."""
    streams = [
        Stream(account="u", per_s=200, max_returns=3, **URGENT),
        Stream(account="l", per_s=400, max_returns=3, **LOW),
    ]
    after = run(LostKeeper(10_000), streams, seed=seed)
    assert measure_success(after, is_urgent) > 0.98


@pytest.mark.parametrize("entered", [6, 2], ids=["at all hosts", "at two hosts"])
@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_without_a_keeper_contain_a_flood_together(seed, entered):
    """They know the backlog of the engines, but only their own callers."""
    usual = [
        Stream(account=f"a{number}", per_s=40, max_returns=3, **URGENT)
        for number in range(5)
    ]
    flood = Stream(account="flood", per_s=300, max_returns=3, **URGENT)
    hosts = HostsAlone(6, lambda name: entered if name == "flood" else 6)
    after = run(hosts, [*usual, flood], seed=seed)
    assert measure_success(after, lambda sent: sent.stream is not flood) > 0.9
