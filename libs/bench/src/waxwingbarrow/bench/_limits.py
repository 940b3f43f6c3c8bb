"""Comparison of admission and account shares with simple baselines."""

import heapq
import random
from collections import deque
from collections.abc import Sequence
from typing import Protocol

import attrs
from result import Ok

from waxwingbarrow.bench._routing import BenchRow
from waxwingbarrow.core import AccountId, HostId, Instant, PriorityClass
from waxwingbarrow.limits import (
    AccountLimit,
    Admission,
    AdmissionController,
    AdmissionPolicy,
    AdmissionRequest,
    PeerDemand,
    SharePolicy,
    compute_share,
)

SEED = 20_260_102
MAX_RUNNING_REQUESTS = 32
MS_PER_TOKEN = 1.0
CAPACITY_TOKENS_PER_S = MAX_RUNNING_REQUESTS * 1000 / MS_PER_TOKEN
DEADLINE_MS = 3_000
MEAN_REQUEST_TOKENS = 800
LARGE_ACCOUNT, SMALL_ACCOUNT = AccountId("large"), AccountId("small")
LOAD_FACTORS = (0.5, 1.0, 1.5, 2.0, 3.0)


@attrs.frozen
class Arrival:
    """One request of a workload."""

    number: int
    at_ms: int
    account: AccountId
    tokens: int


@attrs.frozen
class Completion:
    """One request that was run to its end."""

    arrival: Arrival
    latency_ms: int


class RequestScheduler(Protocol):
    """Decides when each request starts to run."""

    def submit(self, arrival: Arrival, now: Instant) -> Sequence[Arrival]:
        """Take a request and return those to start now."""
        ...

    def complete(self, arrival: Arrival, now: Instant) -> Sequence[Arrival]:
        """Note the end of a request and return those to start now."""
        ...


class AdmissionScheduler:
    """Starts requests as `AdmissionController` admits them.

    Parameters
    ----------
    assumed_tokens_per_s : float
        First estimate of the capacity, which the controller corrects.
    """

    def __init__(self, assumed_tokens_per_s: float = CAPACITY_TOKENS_PER_S) -> None:
        self._controller = AdmissionController(
            MAX_RUNNING_REQUESTS, assumed_tokens_per_s, AdmissionPolicy()
        )
        limits = [
            AccountLimit(account=name, tokens_per_s=1e9, requests_per_s=1e9)
            for name in (LARGE_ACCOUNT, SMALL_ACCOUNT)
        ]
        self._controller.set_shares(limits, Instant(0, 0))
        self._arrivals: dict[int, Arrival] = {}
        self._admissions: dict[int, Admission] = {}

    def submit(self, arrival: Arrival, now: Instant) -> Sequence[Arrival]:
        """Take a request and return those to start now."""
        request = AdmissionRequest(
            account=arrival.account,
            priority_class=PriorityClass.STANDARD,
            tokens=arrival.tokens,
            deadline=now.plus_ms(DEADLINE_MS),
        )
        result = self._controller.admit(request, now)
        if not isinstance(result, Ok):
            return ()
        admission = result.ok_value
        self._arrivals[admission.admission_id] = arrival
        if not admission.ready:
            return ()
        self._admissions[arrival.number] = admission
        return (arrival,)

    def complete(self, arrival: Arrival, now: Instant) -> Sequence[Arrival]:
        """Note the end of a request and return those to start now."""
        admission = self._admissions.pop(arrival.number)
        self._controller.finish(admission, arrival.tokens, now)
        started = []
        for ready in self._controller.next_ready(now).ready:
            next_arrival = self._arrivals[ready.admission_id]
            self._admissions[next_arrival.number] = ready
            started.append(next_arrival)
        return started


class FifoScheduler:
    """Baseline: first in, first out, without refusals."""

    def __init__(self) -> None:
        self._waiting: deque[Arrival] = deque()
        self._running = 0

    def submit(self, arrival: Arrival, now: Instant) -> Sequence[Arrival]:
        """Take a request and return those to start now."""
        self._waiting.append(arrival)
        return self._start()

    def complete(self, arrival: Arrival, now: Instant) -> Sequence[Arrival]:
        """Note the end of a request and return those to start now."""
        self._running -= 1
        return self._start()

    def _start(self) -> Sequence[Arrival]:
        if not self._waiting or self._running >= MAX_RUNNING_REQUESTS:
            return ()
        self._running += 1
        return (self._waiting.popleft(),)


def make_arrivals(
    shares: dict[AccountId, float], seconds: int, seed: int = SEED
) -> list[Arrival]:
    """Return random arrivals; `shares` are the accounts' loads relative to capacity."""
    rng = random.Random(seed)
    drawn = []
    for account, share in shares.items():
        rate_per_ms = share * CAPACITY_TOKENS_PER_S / MEAN_REQUEST_TOKENS / 1000
        at_ms = rng.expovariate(rate_per_ms)
        while at_ms < seconds * 1000:
            drawn.append(
                (int(at_ms), account, rng.randint(100, 2 * MEAN_REQUEST_TOKENS - 100))
            )
            at_ms += rng.expovariate(rate_per_ms)
    return [
        Arrival(number, at_ms, account, tokens)
        for number, (at_ms, account, tokens) in enumerate(sorted(drawn))
    ]


def run_scheduler(
    scheduler: RequestScheduler, arrivals: Sequence[Arrival], seed: int = SEED
) -> list[Completion]:
    """Run arrivals through a scheduler; running times vary by up to 30%."""
    rng = random.Random(seed)
    token_times_ms = [rng.uniform(0.7, 1.3) * MS_PER_TOKEN for _ in arrivals]
    # Time, kind (0 is an arrival, 1 an end) and number of the request.
    events = [(item.at_ms, 0, item.number) for item in arrivals]
    heapq.heapify(events)
    completions = []
    while events:
        at_ms, kind, number = heapq.heappop(events)
        now, arrival = Instant(at_ms, at_ms), arrivals[number]
        if kind == 0:
            started = scheduler.submit(arrival, now)
        else:
            completions.append(Completion(arrival, at_ms - arrival.at_ms))
            started = scheduler.complete(arrival, now)
        for item in started:
            run_ms = max(1, int(item.tokens * token_times_ms[item.number]))
            heapq.heappush(events, (at_ms + run_ms, 1, item.number))
    return completions


def measure_goodput(completions: Sequence[Completion], seconds: int) -> float:
    """Return tokens completed within the deadline, as a fraction of the capacity."""
    useful_tokens = sum(
        item.arrival.tokens for item in completions if item.latency_ms <= DEADLINE_MS
    )
    return useful_tokens / (seconds * CAPACITY_TOKENS_PER_S)


def measure_latency_ms(
    completions: Sequence[Completion], account: AccountId, percent: int
) -> float:
    """Return a percentile of an account's latency."""
    times = sorted(
        item.latency_ms for item in completions if item.arrival.account == account
    )
    return float(times[min(len(times) - 1, len(times) * percent // 100)])


def compare_goodput(seconds: int = 120) -> tuple[BenchRow, ...]:
    """Compare goodput under admission control with first in, first out at each load."""
    rows = []
    for load in LOAD_FACTORS:
        arrivals = make_arrivals({LARGE_ACCOUNT: load}, seconds)
        ours = measure_goodput(run_scheduler(AdmissionScheduler(), arrivals), seconds)
        baseline_goodput = measure_goodput(
            run_scheduler(FifoScheduler(), arrivals), seconds
        )
        rows.append(
            _make_row(
                "admission: goodput per capacity",
                f"{load} times the capacity",
                ours,
                "first in, first out",
                baseline_goodput,
            )
        )
    return tuple(rows)


def compare_isolation(seconds: int = 60) -> tuple[BenchRow, ...]:
    """Compare a small account's service beside an overloading one with two baselines.

    The baselines are first in, first out, and the small account alone.
    """
    flooded = make_arrivals({SMALL_ACCOUNT: 0.04, LARGE_ACCOUNT: 2.5}, seconds)
    alone = [item for item in flooded if item.account == SMALL_ACCOUNT]
    alone = [attrs.evolve(item, number=n) for n, item in enumerate(alone)]
    ours = run_scheduler(AdmissionScheduler(), flooded)
    rows = []
    for name, completions in (
        ("first in, first out", run_scheduler(FifoScheduler(), flooded)),
        ("no other account", run_scheduler(AdmissionScheduler(), alone)),
    ):
        rows.append(
            _make_row(
                "admission: small account p95 ms",
                "small 0.04, large 2.5 times the capacity",
                measure_latency_ms(ours, SMALL_ACCOUNT, 95),
                name,
                measure_latency_ms(completions, SMALL_ACCOUNT, 95),
            )
        )
    served = sum(item.arrival.account == SMALL_ACCOUNT for item in ours)
    rows.append(
        _make_row(
            "admission: small account's requests served",
            "small 0.04, large 2.5 times the capacity",
            float(served),
            "no other account",
            float(len(alone)),
        )
    )
    return tuple(rows)


def compare_shares(seconds: int = 600, hosts: int = 6) -> tuple[BenchRow, ...]:
    """Compare shares by demand with an equal static division.

    The demand moves between hosts every 7 s, and hosts compute their shares from
    demands that are one second old. In the last third of the time, the hosts are
    partitioned into two groups.
    """
    rng = random.Random(SEED)
    limit_per_s = 6_000.0
    names = [HostId(f"h{n}") for n in range(hosts)]
    demands = [[0.0] * hosts]
    totals = {"ours": 0.0, "static": 0.0, "possible": 0.0}
    largest_share_sum = 0.0
    for second in range(seconds):
        if second % 7 == 0:
            weights = [rng.paretovariate(1.0) for _ in names]
            offered = rng.uniform(0.5, 1.5) * limit_per_s
            current = [offered * weight / sum(weights) for weight in weights]
        is_partitioned = second >= seconds * 2 // 3
        shares = [
            _compute_host_share(
                own, names, demands[-1], is_partitioned, limit_per_s, second
            )
            for own in range(hosts)
        ]
        demands.append(current)
        pairs = list(zip(shares, current, strict=True))
        admitted = sum(min(share, demand) for share, demand in pairs)
        largest_share_sum = max(largest_share_sum, sum(shares))
        totals["ours"] += admitted
        totals["static"] += sum(min(limit_per_s / hosts, d) for d in current)
        totals["possible"] += min(sum(current), limit_per_s)
    workload = f"{hosts} hosts, demand moves every 7 s, cut in two for a third"
    return (
        _make_row(
            "account shares: admitted per possible",
            workload,
            totals["ours"] / totals["possible"],
            "static division",
            totals["static"] / totals["possible"],
        ),
        _make_row(
            "account shares: largest sum per limit",
            workload,
            largest_share_sum / limit_per_s,
            "static division",
            1.0,
        ),
    )


def _compute_host_share(
    own: int,
    names: Sequence[HostId],
    demands: Sequence[float],
    is_partitioned: bool,
    limit_per_s: float,
    second: int,
) -> float:
    now = Instant(second * 1000, second * 1000)
    peers = [
        PeerDemand(names[peer], demands[peer], now)
        for peer in range(len(names))
        if peer != own and (not is_partitioned or peer % 2 == own % 2)
    ]
    return compute_share(
        limit_per_s, demands[own], peers, len(names), now, SharePolicy()
    )


def _make_row(
    decision: str, workload: str, ours: float, name: str, baseline: float
) -> BenchRow:
    ratio = ours / baseline if baseline else float("inf")
    return BenchRow(decision, workload, ours, name, baseline, ratio)
