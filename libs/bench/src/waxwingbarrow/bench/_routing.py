"""Comparison of the choice of upstream with simple baselines."""

import functools
import heapq
import random
from collections import deque
from collections.abc import Callable, Sequence

import attrs
import xxhash
from result import Ok

from waxwingbarrow.bench._enginemodel import EngineCosts, EngineModel, Served
from waxwingbarrow.core import (
    AccountId,
    DataCentre,
    Incarnation,
    Instant,
    RouteName,
    ServiceName,
    UpstreamId,
    VersionName,
    Zone,
)
from waxwingbarrow.routing import (
    CacheEvent,
    CacheEventKind,
    PrefixIndex,
    RouteRequest,
    RoutingPolicy,
    UpstreamView,
    choose_upstream,
)

SEED = 20_260_101
HOSTS = 6
ENGINES = 9
REPORT_LAG_MS = 500.0
EVENT_DELAY_MS = 300.0
SERVICE = ServiceName("care")
LOCAL = (DataCentre("dc"), Zone("zone"))
INCARNATION = Incarnation(1, 1)
POLICY = RoutingPolicy(data_centre=LOCAL[0], zone=LOCAL[1], subset_size=ENGINES)


@attrs.frozen
class BenchRow:
    """One measured comparison; `ratio` is ours divided by the baseline."""

    decision: str
    workload: str
    ours: float
    baseline_name: str
    baseline: float
    ratio: float


@attrs.frozen
class Job:
    """One request of a workload."""

    at_ms: float
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int


@attrs.frozen
class Measured:
    """Result of one run of a workload."""

    recomputed_tokens: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


@attrs.frozen
class _Report:
    """Last load report of an engine and what the host sent there since."""

    at_ms: float = -1e9
    in_flight: int = 0
    queued_tokens: int = 0
    own_queued_tokens: int = 0


@attrs.define
class _Host:
    """An entry host: what it believes about the engines."""

    index: PrefixIndex
    rng: random.Random
    reports: list[_Report]
    sent_order: list[int]
    cursor: int = 0
    sent: int = 0


RATES_PER_S = {
    "journals": 24,
    "journals, long instructions": 24,
    "questions": 60,
    "tagging": 150,
    "radio": 80,
}

# Returns the index of the chosen engine.
Strategy = Callable[[Job, _Host, Sequence[UpstreamView], float], int]


def make_workload(name: str, count: int, seed: int = SEED) -> list[Job]:
    """Return the requests of the named workload in the order of arrival.

    Parameters
    ----------
    name : str
        A key of `RATES_PER_S`.
    count : int
        Number of requests.
    seed : int
        Seed of the random generator.
    """
    rng = random.Random(seed)
    rate_per_s = RATES_PER_S[name]
    jobs = []
    at_ms = 0.0
    journals = [rng.randint(1_500, 6_000) for _ in range(160)]
    for number in range(count):
        at_ms += rng.expovariate(rate_per_s) * 1000
        match name:
            case "journals" | "journals, long instructions":
                journal = min(int(rng.paretovariate(0.7)) - 1, len(journals) - 1)
                if journals[journal] > 12_000:
                    journals[journal] = 1_500
                journals[journal] += rng.randint(100, 400)
                shared = 4 if name == "journals" else 16
                tokens, owner, output = journals[journal], journal, 120
            case "questions":
                tokens, shared, owner, output = rng.randint(320, 700), 4, number, 80
            case "tagging":
                tokens, shared, owner, output = rng.randint(580, 800), 8, number, 8
            case _:
                tokens, shared, owner, output = rng.randint(60, 260), 0, number, 60
        jobs.append(Job(at_ms, _make_blocks(owner, shared, tokens), tokens, output))
    return jobs


def _make_blocks(owner: int, shared: int, tokens: int) -> tuple[int, ...]:
    return tuple(
        position + 1 if position < shared else (owner + 1) * 100_000 + position
        for position in range(tokens // 64)
    )


def run_workload(
    jobs: Sequence[Job],
    strategy: Strategy,
    event_loss_percent: float = 100.0,
    costs: EngineCosts = EngineCosts(),  # noqa: B008
    seed: int = SEED,
) -> Measured:
    """Run a workload through entry hosts that share engines but no knowledge."""
    rng = random.Random(seed)
    engines = [EngineModel(costs) for _ in range(ENGINES)]
    hosts = [
        _Host(
            PrefixIndex(),
            random.Random(seed + n),
            [_Report()] * ENGINES,
            [0] * ENGINES,
        )
        for n in range(HOSTS)
    ]
    events: deque[tuple[float, CacheEvent]] = deque()
    # Responses return cached-token counts to the host that sent the request.
    answers: deque[tuple[float, _Host, int, Job, int, int]] = deque()
    # Like the daemon, a host counts the prompts that it sent until their first token.
    started: list[tuple[float, int, int, int]] = []
    sequences = [0] * ENGINES
    results = []
    for job in jobs:
        now = Instant(int(job.at_ms), int(job.at_ms))
        while events and events[0][0] <= job.at_ms:
            _, event = events.popleft()
            for host in hosts:
                if rng.uniform(0, 100) >= event_loss_percent:
                    host.index.apply_event(event, now)
        while answers and answers[0][0] <= job.at_ms:
            _, host, chosen, past, expected, cached = answers.popleft()
            host.index.adjust_capacity(_name(chosen), past.blocks, expected, cached)
        while started and started[0][0] <= job.at_ms:
            _, number, chosen, tokens = heapq.heappop(started)
            _finish_prompt(hosts[number], chosen, tokens)
        host_number = rng.randrange(len(hosts))
        host = hosts[host_number]
        views = _make_views(host, engines, job.at_ms)
        chosen = strategy(job, host, views, job.at_ms)
        name = _name(chosen)
        expected = host.index.matched_tokens(name, job.blocks)
        served = engines[chosen].serve(
            job.blocks, job.prompt_tokens, job.output_tokens, job.at_ms
        )
        host.index.record_prompt(name, job.blocks, now)
        report = host.reports[chosen]
        missed = max(job.prompt_tokens - expected, 0)
        host.sent += 1
        host.sent_order[chosen] = host.sent
        host.reports[chosen] = attrs.evolve(
            report,
            in_flight=report.in_flight + 1,
            own_queued_tokens=report.own_queued_tokens + missed,
        )
        first_token_at_ms = job.at_ms + served.first_token_ms
        heapq.heappush(started, (first_token_at_ms, host_number, chosen, missed))
        answers.append(
            (job.at_ms + 500, host, chosen, job, expected, served.cached_tokens)
        )
        for kind, blocks in (
            (CacheEventKind.STORED, served.stored),
            (CacheEventKind.REMOVED, served.evicted),
        ):
            sequences[chosen] += 1
            event = CacheEvent(
                upstream=name,
                incarnation=INCARNATION,
                sequence=sequences[chosen],
                kind=kind,
                blocks=blocks,
            )
            events.append((job.at_ms + EVENT_DELAY_MS, event))
        results.append(served)
    return _measure(results)


def _finish_prompt(host: _Host, engine: int, tokens: int) -> None:
    report = host.reports[engine]
    left = max(report.own_queued_tokens - tokens, 0)
    host.reports[engine] = attrs.evolve(report, own_queued_tokens=left)


def choose_ours(
    job: Job, host: _Host, views: Sequence[UpstreamView], at_ms: float
) -> int:
    """Choose with `choose_upstream`."""
    request = RouteRequest(
        service=SERVICE,
        route=RouteName("care-plan"),
        prefix_blocks=job.blocks,
        prompt_tokens=job.prompt_tokens,
        max_output_tokens=job.output_tokens,
        account=AccountId("a"),
        fingerprint=str(at_ms),
    )
    now = Instant(int(at_ms), int(at_ms))
    choice = choose_upstream(request, views, host.index, POLICY, now, host.rng)
    assert isinstance(choice, Ok)
    return int(choice.ok_value.view.upstream)


def choose_randomly(
    job: Job, host: _Host, views: Sequence[UpstreamView], at_ms: float
) -> int:
    """Choose any engine."""
    return host.rng.randrange(len(views))


def choose_in_turn(
    job: Job, host: _Host, views: Sequence[UpstreamView], at_ms: float
) -> int:
    """Choose the engines in turn, each host from its own start."""
    host.cursor += 1
    return host.cursor % len(views)


def choose_least_in_flight(
    job: Job, host: _Host, views: Sequence[UpstreamView], at_ms: float
) -> int:
    """Choose the engine with the fewest requests in flight."""
    least = min(view.in_flight for view in views)
    return host.rng.choice([i for i, v in enumerate(views) if v.in_flight == least])


def choose_of_two(
    job: Job, host: _Host, views: Sequence[UpstreamView], at_ms: float
) -> int:
    """Choose the less loaded of two random engines."""
    pair = host.rng.sample(range(len(views)), 2)
    return min(pair, key=lambda i: views[i].in_flight)


def choose_by_prefix(
    job: Job, host: _Host, views: Sequence[UpstreamView], at_ms: float
) -> int:
    """Choose by hash of the prefix, passing engines above 1.25 times the mean load."""
    blocks = job.blocks or (int(at_ms),)
    key = blocks[min(POLICY.affinity_block, len(blocks) - 1)]
    bound = 1.25 * (sum(view.in_flight for view in views) + 1) / len(views)
    order = sorted(
        range(len(views)),
        key=lambda i: xxhash.xxh3_64_intdigest(str(i).encode(), seed=key),
        reverse=True,
    )
    return next((i for i in order if views[i].in_flight < bound), order[0])


BASELINES: dict[str, Strategy] = {
    "random": choose_randomly,
    "round robin": choose_in_turn,
    "least in flight": choose_least_in_flight,
    "two random choices": choose_of_two,
    "hash of prefix, bounded load": choose_by_prefix,
}
EVENT_LOSS_PERCENT = (0, 50, 100)


def compare_routing(count: int = 3_000) -> tuple[BenchRow, ...]:
    """Compare the choice of upstream with every baseline on every workload.

    Parameters
    ----------
    count : int
        Requests per workload.

    Returns
    -------
    tuple of BenchRow
        For each measure, one row per workload, event loss and baseline. The baselines
        use no cache events.
    """
    rows = []
    for workload in RATES_PER_S:
        jobs = make_workload(workload, count)
        baselines = {name: run_workload(jobs, run) for name, run in BASELINES.items()}
        for loss in EVENT_LOSS_PERCENT:
            ours = run_workload(jobs, choose_ours, loss)
            label = f"{workload}, {loss}% of cache events lost"
            for name, baseline in baselines.items():
                rows.extend(_compare(label, ours, name, baseline))
    return tuple(rows)


def _compare(
    label: str, ours: Measured, name: str, baseline: Measured
) -> list[BenchRow]:
    rows = []
    for measure, unit in (
        ("recomputed_tokens", "tokens recomputed"),
        ("p50_ms", "first token p50 ms"),
        ("p95_ms", "first token p95 ms"),
        ("p99_ms", "first token p99 ms"),
    ):
        mine, other = float(getattr(ours, measure)), float(getattr(baseline, measure))
        rows.append(
            BenchRow(f"upstream choice: {unit}", label, mine, name, other, mine / other)
        )
    return rows


@functools.cache
def _name(number: int) -> UpstreamId:
    return UpstreamId(str(number))


def _make_views(
    host: _Host, engines: Sequence[EngineModel], at_ms: float
) -> list[UpstreamView]:
    views = []
    for number, engine in enumerate(engines):
        if at_ms - host.reports[number].at_ms >= REPORT_LAG_MS:
            load = engine.report_load(at_ms)
            host.reports[number] = _Report(at_ms, load.in_flight, load.queued_tokens)
        report = host.reports[number]
        views.append(
            UpstreamView(
                upstream=_name(number),
                service=SERVICE,
                version=VersionName("v1"),
                address="",
                data_centre=LOCAL[0],
                zone=LOCAL[1],
                in_flight=report.in_flight,
                queued_tokens=report.queued_tokens,
                own_queued_tokens=report.own_queued_tokens,
                own_sent_order=host.sent_order[number],
                prefill_tokens_per_s=engine.costs.prefill_tokens_per_s,
                decode_tokens_per_s=engine.costs.decode_tokens_per_s,
                batch_limit=engine.costs.batch_limit,
                load_reported_at=Instant(int(report.at_ms), int(report.at_ms)),
            )
        )
    return views


def _measure(results: Sequence[Served]) -> Measured:
    times = sorted(item.first_token_ms for item in results)

    def percentile(percent: int) -> float:
        return times[min(len(times) - 1, len(times) * percent // 100)]

    return Measured(
        recomputed_tokens=sum(item.recomputed_tokens for item in results),
        p50_ms=percentile(50),
        p95_ms=percentile(95),
        p99_ms=percentile(99),
    )
