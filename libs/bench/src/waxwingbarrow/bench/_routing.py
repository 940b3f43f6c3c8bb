"""Comparison of the choice of upstream with simple baselines."""

import functools
import heapq
import random
from collections import deque
from collections.abc import Callable, Sequence

import attrs
import xxhash
from result import Ok

from waxwingbarrow.bench._enginemodel import EngineCosts, EngineModel, RequestCost
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
ENTRY_HOST_COUNT = 6
ENGINE_COUNT = 9
REPORT_INTERVAL_MS = 500.0
CACHE_EVENT_DELAY_MS = 300.0
SERVICE = ServiceName("care")
LOCATION = (DataCentre("dc"), Zone("zone"))
INCARNATION = Incarnation(1, 1)
POLICY = RoutingPolicy(
    data_centre=LOCATION[0], zone=LOCATION[1], subset_size=ENGINE_COUNT
)


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
    """One request of a workload.

    Parameters
    ----------
    at_ms : float
        Time of arrival.
    blocks : tuple of int
        Identifiers of the prompt's blocks of 64 tokens. Prompts whose first blocks are
        equal share a prefix.
    prompt_tokens, output_tokens : int
        Length of the prompt and of the response.
    """

    at_ms: float
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int


@attrs.frozen
class WorkloadResult:
    """Result of one run of a workload; the times are those to the first token."""

    recomputed_tokens: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


@attrs.frozen
class _LoadReport:
    """Last load report of an engine, plus the requests that the host sent since."""

    at_ms: float = -1e9
    in_flight: int = 0
    queued_tokens: int = 0
    own_queued_tokens: int = 0


@attrs.define
class _EntryHost:
    """An entry host and its view of the engines.

    Parameters
    ----------
    reports : list of _LoadReport
        Last load report of each engine.
    sent_order : list of int
        Number of the host's last request to each engine; 0 if there was none.
    cursor : int
        Engines that `choose_round_robin` has handed out.
    sent_count : int
        Requests that the host has sent.
    """

    index: PrefixIndex
    rng: random.Random
    reports: list[_LoadReport]
    sent_order: list[int]
    cursor: int = 0
    sent_count: int = 0


REQUEST_RATES_PER_S = {
    "journals": 24,
    "journals, long instructions": 24,
    "questions": 60,
    "tagging": 150,
    "radio": 80,
}

# Takes a request, its entry host, the views of all engines and the time in ms.
# Returns the index of the chosen engine.
Strategy = Callable[[Job, _EntryHost, Sequence[UpstreamView], float], int]


def make_workload(name: str, count: int, seed: int = SEED) -> list[Job]:
    """Return the requests of the named workload in the order of arrival.

    Each journal grows with its requests, which all share its prefix. Requests of the
    other workloads share at most the leading blocks of a system prompt.

    Parameters
    ----------
    name : str
        A key of `REQUEST_RATES_PER_S`.
    count : int
        Number of requests.
    seed : int
        Seed of the random generator.
    """
    rng = random.Random(seed)
    rate_per_s = REQUEST_RATES_PER_S[name]
    jobs = []
    at_ms = 0.0
    # Length of each journal in tokens; one beyond 12,000 is shortened and grows again.
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
    """Return one identifier for each 64 tokens.

    The first `shared` ones are common to all prompts of a workload, the others to
    those of one owner.
    """
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
) -> WorkloadResult:
    """Run a workload through entry hosts that share engines but exchange nothing.

    Parameters
    ----------
    jobs : sequence of Job
        Requests in the order of arrival.
    strategy : Strategy
        Choice of the engine.
    event_loss_percent : float
        Cache events that each host fails to receive.
    costs : EngineCosts
        Speed and memory of every engine.
    seed : int
        Seed of the random generators.
    """
    rng = random.Random(seed)
    engines = [EngineModel(costs) for _ in range(ENGINE_COUNT)]
    hosts = [
        _EntryHost(
            PrefixIndex(),
            random.Random(seed + n),
            [_LoadReport()] * ENGINE_COUNT,
            [0] * ENGINE_COUNT,
        )
        for n in range(ENTRY_HOST_COUNT)
    ]
    events: deque[tuple[float, CacheEvent]] = deque()
    # The host that sent a request learns from the response how many tokens were cached.
    # The response is assumed to arrive 500 ms after the request.
    responses: deque[tuple[float, _EntryHost, int, Job, int, int]] = deque()
    # Like the daemon, a host counts the prompts that it sent until their first token.
    # Each entry is the time of the first token, the host, the engine and the tokens.
    pending_prompts: list[tuple[float, int, int, int]] = []
    sequences = [0] * ENGINE_COUNT
    results = []
    for job in jobs:
        now = Instant(int(job.at_ms), int(job.at_ms))
        while events and events[0][0] <= job.at_ms:
            _, event = events.popleft()
            for host in hosts:
                if rng.uniform(0, 100) >= event_loss_percent:
                    host.index.apply_event(event, now)
        while responses and responses[0][0] <= job.at_ms:
            _, host, chosen, answered_job, expected_tokens, cached = responses.popleft()
            host.index.adjust_capacity(
                _make_upstream_id(chosen), answered_job.blocks, expected_tokens, cached
            )
        while pending_prompts and pending_prompts[0][0] <= job.at_ms:
            _, number, chosen, tokens = heapq.heappop(pending_prompts)
            _subtract_prefilled_prompt(hosts[number], chosen, tokens)
        host_number = rng.randrange(len(hosts))
        host = hosts[host_number]
        views = _make_views(host, engines, job.at_ms)
        chosen = strategy(job, host, views, job.at_ms)
        name = _make_upstream_id(chosen)
        expected_tokens = host.index.matched_tokens(name, job.blocks)
        served = engines[chosen].serve(
            job.blocks, job.prompt_tokens, job.output_tokens, job.at_ms
        )
        host.index.record_prompt(name, job.blocks, now)
        report = host.reports[chosen]
        uncached_tokens = max(job.prompt_tokens - expected_tokens, 0)
        host.sent_count += 1
        host.sent_order[chosen] = host.sent_count
        host.reports[chosen] = attrs.evolve(
            report,
            in_flight=report.in_flight + 1,
            own_queued_tokens=report.own_queued_tokens + uncached_tokens,
        )
        first_token_at_ms = job.at_ms + served.first_token_ms
        heapq.heappush(
            pending_prompts, (first_token_at_ms, host_number, chosen, uncached_tokens)
        )
        responses.append(
            (job.at_ms + 500, host, chosen, job, expected_tokens, served.cached_tokens)
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
            events.append((job.at_ms + CACHE_EVENT_DELAY_MS, event))
        results.append(served)
    return _summarize(results)


def _subtract_prefilled_prompt(host: _EntryHost, engine: int, tokens: int) -> None:
    """Subtract a prompt that the engine has processed from the host's own queue."""
    report = host.reports[engine]
    remaining_tokens = max(report.own_queued_tokens - tokens, 0)
    host.reports[engine] = attrs.evolve(report, own_queued_tokens=remaining_tokens)


def choose_by_policy(
    job: Job, host: _EntryHost, views: Sequence[UpstreamView], at_ms: float
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
    job: Job, host: _EntryHost, views: Sequence[UpstreamView], at_ms: float
) -> int:
    """Choose any engine."""
    return host.rng.randrange(len(views))


def choose_round_robin(
    job: Job, host: _EntryHost, views: Sequence[UpstreamView], at_ms: float
) -> int:
    """Choose the engines in turn; each host counts only its own requests."""
    host.cursor += 1
    return host.cursor % len(views)


def choose_least_in_flight(
    job: Job, host: _EntryHost, views: Sequence[UpstreamView], at_ms: float
) -> int:
    """Choose the engine with the fewest requests in flight."""
    least = min(view.in_flight for view in views)
    return host.rng.choice([i for i, v in enumerate(views) if v.in_flight == least])


def choose_from_random_pair(
    job: Job, host: _EntryHost, views: Sequence[UpstreamView], at_ms: float
) -> int:
    """Choose the one of two random engines with fewer requests in flight."""
    pair = host.rng.sample(range(len(views)), 2)
    return min(pair, key=lambda i: views[i].in_flight)


def choose_by_prefix_hash(
    job: Job, host: _EntryHost, views: Sequence[UpstreamView], at_ms: float
) -> int:
    """Choose by rendezvous hash of the prefix among engines below 1.25 times mean load.

    Without such an engine, the first in hash order is chosen.
    """
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
    "round robin": choose_round_robin,
    "least in flight": choose_least_in_flight,
    "two random choices": choose_from_random_pair,
    "hash of prefix, bounded load": choose_by_prefix_hash,
}
EVENT_LOSS_PERCENTS = (0, 50, 100)


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
    for workload in REQUEST_RATES_PER_S:
        jobs = make_workload(workload, count)
        baselines = {name: run_workload(jobs, run) for name, run in BASELINES.items()}
        for loss in EVENT_LOSS_PERCENTS:
            ours = run_workload(jobs, choose_by_policy, loss)
            label = f"{workload}, {loss}% of cache events lost"
            for name, baseline in baselines.items():
                rows.extend(_make_rows(label, ours, name, baseline))
    return tuple(rows)


def _make_rows(
    label: str, ours: WorkloadResult, name: str, baseline: WorkloadResult
) -> list[BenchRow]:
    rows = []
    for measure, unit in (
        ("recomputed_tokens", "tokens recomputed"),
        ("p50_ms", "first token p50 ms"),
        ("p95_ms", "first token p95 ms"),
        ("p99_ms", "first token p99 ms"),
    ):
        our_value, baseline_value = (
            float(getattr(ours, measure)),
            float(getattr(baseline, measure)),
        )
        rows.append(
            BenchRow(
                f"upstream choice: {unit}",
                label,
                our_value,
                name,
                baseline_value,
                our_value / baseline_value,
            )
        )
    return rows


@functools.cache
def _make_upstream_id(number: int) -> UpstreamId:
    return UpstreamId(str(number))


def _make_views(
    host: _EntryHost, engines: Sequence[EngineModel], at_ms: float
) -> list[UpstreamView]:
    views = []
    for number, engine in enumerate(engines):
        if at_ms - host.reports[number].at_ms >= REPORT_INTERVAL_MS:
            load = engine.report_load(at_ms)
            host.reports[number] = _LoadReport(
                at_ms, load.in_flight, load.queued_tokens
            )
        report = host.reports[number]
        views.append(
            UpstreamView(
                upstream=_make_upstream_id(number),
                service=SERVICE,
                version=VersionName("v1"),
                address="",
                data_centre=LOCATION[0],
                zone=LOCATION[1],
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


def _summarize(results: Sequence[RequestCost]) -> WorkloadResult:
    times = sorted(item.first_token_ms for item in results)

    def percentile(percent: int) -> float:
        return times[min(len(times) - 1, len(times) * percent // 100)]

    return WorkloadResult(
        recomputed_tokens=sum(item.recomputed_tokens for item in results),
        p50_ms=percentile(50),
        p95_ms=percentile(95),
        p99_ms=percentile(99),
    )
