"""Overhead of one daemon against calling the upstream stand-ins directly.

The same prompts and bodies are sent through the daemon and directly in turn, so that
other load on the machine slows both. The processor time of the daemon is measured
separately, with parallel requests and without its idle cost.
"""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import uuid6

from waxwingbarrow.bench._client import read_events
from waxwingbarrow.bench._deployment import (
    ACCOUNT_KEY,
    DaemonPlan,
    Deployment,
    UpstreamPlan,
)
from waxwingbarrow.bench._documents import (
    BOOKING_SERVICE,
    MODEL,
    MODEL_SERVICE,
    make_booking_document,
    make_model_document,
)
from waxwingbarrow.bench._measuring import (
    Slope,
    Spread,
    find_percentile,
    fit_slope,
    measure_spread,
    read_cpu_s,
)
from waxwingbarrow.bench._publishing import publish, wait_for_first_record
from waxwingbarrow.platform import HttpSession

ENGINE_PLAN = UpstreamPlan(
    "engine-a1",
    "engine",
    MODEL_SERVICE,
    "v1",
    "dc-a",
    # Prefill takes no time, so neither path gains from prefixes the other has cached.
    (
        "--prefill-tokens-per-s=1e9",
        "--decode-tokens-per-s=500",
        "--batch-limit=64",
    ),
)
SERVICE_PLAN = UpstreamPlan("rota-a1", "service", BOOKING_SERVICE, "v1", "dc-a")
DAEMON_PLAN = DaemonPlan("host-a1", "dc-a")
PERCENTILES = (50, 95, 99)
STREAM_TOKENS = 16
TOKEN_COUNTS = (16, 64, 256)
PARALLEL_REQUESTS = 8
IDLE_WINDOW_S = 3.0


@attrs.frozen
class RequestTiming:
    """Times of one request; those of tokens are only set for a stream."""

    total_ms: float
    first_token_ms: float = 0.0
    gaps_ms: tuple[float, ...] = ()


@attrs.frozen
class AddedLatency:
    """Latency through the daemon and directly; the spreads are over repetitions.

    Parameters
    ----------
    measure : str
        What was timed.
    percent : int
        Percentile within one repetition.
    requests : int
        Requests of one repetition on each path.
    """

    measure: str
    percent: int
    requests: int
    daemon_ms: Spread
    direct_ms: Spread
    added_ms: Spread


@attrs.frozen
class Overhead:
    """Result of the measurement.

    Parameters
    ----------
    request_cpu_ms : dict
        Processor time of the daemon in ms for a repeatable call and for a booking.
    stream_cpu : Slope
        Processor time of a model stream in ms, against its tokens.
    idle_core_percent : Spread
        Processor time of the daemon without requests, in percent of a core; it is
        subtracted from the others.
    """

    latencies: tuple[AddedLatency, ...]
    request_cpu_ms: dict[str, Spread]
    stream_cpu: Slope
    idle_core_percent: Spread


class BenchClient:
    """Sends the same request through the daemon or directly."""

    def __init__(self, deployment: Deployment) -> None:
        self._daemon = deployment.daemons[DAEMON_PLAN.name].url
        self._engine = f"http://{deployment.upstreams[ENGINE_PLAN.name].address}"
        self._service = f"http://{deployment.upstreams[SERVICE_PLAN.name].address}"
        self._session = HttpSession()

    async def stream(self, number: int, is_direct: bool, tokens: int) -> RequestTiming:
        """Run one model stream and time its tokens."""
        prompt = f"journal {number}: " + "water test, " * 40
        if is_direct:
            url, headers = f"{self._engine}/v1/generate", {}
            payload = {
                "request_id": f"r{number}",
                "attempt_id": "a1",
                "model": MODEL,
                "prompt": prompt,
                "max_tokens": tokens,
                "priority": "standard",
            }
        else:
            url = f"{self._daemon}/v1/services/{MODEL_SERVICE}/routes/answer"
            headers = {"Authorization": f"Bearer {ACCOUNT_KEY}"}
            payload = {"prompt": prompt, "max_tokens": tokens}
        started_s = time.perf_counter()
        arrivals: list[float] = []
        exchange = self._session.stream("POST", url, payload=payload, headers=headers)
        async with exchange as stream:
            if stream.status != 200:
                raise RuntimeError((await stream.read_response()).describe())
            async for event in read_events(stream):
                if event.name == "token":
                    arrivals.append(time.perf_counter())
        ended_s = time.perf_counter()
        if len(arrivals) != tokens:
            raise RuntimeError(f"{len(arrivals)} of {tokens} tokens arrived.")
        gaps = itertools.pairwise(arrivals)
        return RequestTiming(
            1000 * (ended_s - started_s),
            1000 * (arrivals[0] - started_s),
            tuple(1000 * (later - earlier) for earlier, later in gaps),
        )

    async def call(self, number: int, is_direct: bool) -> RequestTiming:
        """Run one repeatable call; its answer is small and constant."""
        return await self._post("read-rota", number, is_direct, {})

    async def book(self, number: int, is_direct: bool) -> RequestTiming:
        """Run one booking."""
        headers = {"Idempotency-Key": str(uuid6.uuid7()), "Idempotency-Attempt": "1"}
        return await self._post("book-assignment", number, is_direct, headers)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def _post(
        self, operation: str, number: int, is_direct: bool, headers: dict[str, str]
    ) -> RequestTiming:
        if is_direct:
            url = f"{self._service}/v1/calls/{operation}"
            headers = {"Request-Id": str(uuid6.uuid7()), "Attempt-Id": "a1"}
        else:
            url = f"{self._daemon}/v1/services/{BOOKING_SERVICE}/routes/{operation}"
            headers = {**headers, "Authorization": f"Bearer {ACCOUNT_KEY}"}
        started_s = time.perf_counter()
        answer = (
            await self._session.request(
                "POST",
                url,
                payload={"driver": f"driver-{number}"},
                headers=headers,
                timeout_ms=10_000,
            )
        ).unwrap()
        if answer.status != 200:
            raise RuntimeError(answer.describe())
        return RequestTiming(1000 * (time.perf_counter() - started_s))


SendFunction = Callable[[int, bool], Awaitable[RequestTiming]]


async def measure_overhead(
    directory: Path, repetitions: int = 3, requests: int = 100
) -> Overhead:
    """Start one daemon with its upstreams and measure its overhead.

    Parameters
    ----------
    directory : Path
        Where the processes keep their settings and logs.
    repetitions : int
        Repetitions of every measurement.
    requests : int
        Requests of each kind on each path in one repetition.
    """
    deployment = Deployment(directory)
    try:
        await start_one_host(deployment)
        client = BenchClient(deployment)
        pid = deployment.daemons[DAEMON_PLAN.name].process.process.pid
        # The rota is read before any booking, so that its answer stays small.
        latencies = await measure_latencies(client, repetitions, requests)
        idle = [await _measure_idle(pid) for _ in range(repetitions)]
        idle_core = measure_spread(idle).median
        result = Overhead(
            latencies,
            {
                name: measure_spread(
                    [
                        await _measure_cpu_ms(pid, send, 2 * requests, idle_core)
                        for _ in range(repetitions)
                    ]
                )
                for name, send in (
                    ("repeatable call", client.call),
                    ("booking", client.book),
                )
            },
            await measure_stream_cpu(client, pid, repetitions, requests, idle_core),
            measure_spread([100 * share for share in idle]),
        )
        await client.close()
        return result
    finally:
        deployment.stop()


async def start_one_host(deployment: Deployment) -> None:
    """Start one daemon, an engine and a service, and publish their documents."""
    await deployment.start_platform()
    await deployment.start_upstream(ENGINE_PLAN)
    await deployment.start_upstream(SERVICE_PLAN)
    await deployment.start_daemon(DAEMON_PLAN)
    await deployment.wait_ready()
    await wait_for_first_record(deployment)
    await publish(deployment, MODEL_SERVICE, make_model_document())
    await publish(deployment, BOOKING_SERVICE, make_booking_document())
    await asyncio.sleep(2.0)  # enough for the daemon to read the host list


async def measure_latencies(
    client: BenchClient, repetitions: int, requests: int
) -> tuple[AddedLatency, ...]:
    """Time each kind of request through the daemon and directly in turn."""

    async def stream(number: int, is_direct: bool) -> RequestTiming:
        return await client.stream(number, is_direct, STREAM_TOKENS)

    rows: list[AddedLatency] = []
    for name, send in (
        ("model stream", stream),
        ("repeatable call", client.call),
        ("booking", client.book),
    ):
        rounds = [await _time_alternately(send, requests) for _ in range(repetitions)]
        rows += _compare_percentiles(f"{name}: whole", rounds, lambda t: (t.total_ms,))
        if name == "model stream":
            rows += _compare_percentiles(
                f"{name}: first token", rounds, lambda t: (t.first_token_ms,)
            )
            rows += _compare_percentiles(
                f"{name}: between tokens", rounds, lambda t: t.gaps_ms
            )
    return tuple(rows)


async def measure_stream_cpu(
    client: BenchClient, pid: int, repetitions: int, requests: int, idle_core: float
) -> Slope:
    """Measure the daemon's processor time for a stream against its tokens."""
    rounds = []
    for _ in range(repetitions):
        costs = []
        for tokens in TOKEN_COUNTS:

            async def stream(
                number: int, is_direct: bool, n: int = tokens
            ) -> RequestTiming:
                return await client.stream(number, is_direct, n)

            count = max(PARALLEL_REQUESTS, min(2 * requests, 48 * requests // tokens))
            costs.append(await _measure_cpu_ms(pid, stream, count, idle_core))
        rounds.append(costs)
    return fit_slope("model stream", "ms per token", TOKEN_COUNTS, rounds)


async def _time_alternately(
    send: SendFunction, requests: int
) -> tuple[tuple[RequestTiming, ...], tuple[RequestTiming, ...]]:
    """Return the timings through the daemon and directly."""
    timings: tuple[list[RequestTiming], list[RequestTiming]] = ([], [])
    for number in range(-10, requests):
        for is_direct in (False, True) if number % 2 else (True, False):
            timing = await send(number, is_direct)
            if number >= 0:  # the first requests open connections
                timings[is_direct].append(timing)
    return tuple(timings[0]), tuple(timings[1])


def _compare_percentiles(
    measure: str,
    rounds: list[tuple[tuple[RequestTiming, ...], tuple[RequestTiming, ...]]],
    read: Callable[[RequestTiming], tuple[float, ...]],
) -> list[AddedLatency]:
    rows = []
    for percent in PERCENTILES:
        pairs = [
            tuple(
                find_percentile([v for t in path_timings for v in read(t)], percent)
                for path_timings in round_timings
            )
            for round_timings in rounds
        ]
        rows.append(
            AddedLatency(
                measure,
                percent,
                len(rounds[0][0]),
                measure_spread([daemon for daemon, _ in pairs]),
                measure_spread([direct for _, direct in pairs]),
                measure_spread([daemon - direct for daemon, direct in pairs]),
            )
        )
    return rows


async def _measure_idle(pid: int) -> float:
    """Return the share of a core that the daemon uses without requests."""
    started_s, cpu_s = time.monotonic(), read_cpu_s(pid)
    await asyncio.sleep(IDLE_WINDOW_S)
    return (read_cpu_s(pid) - cpu_s) / (time.monotonic() - started_s)


async def _measure_cpu_ms(
    pid: int, send: SendFunction, requests: int, idle_core: float
) -> float:
    """Return the daemon's processor time for one request, without its idle cost."""
    numbers = iter(range(requests))

    async def send_requests() -> None:
        for number in numbers:
            await send(number, False)

    started_s, cpu_s = time.monotonic(), read_cpu_s(pid)
    await asyncio.gather(*(send_requests() for _ in range(PARALLEL_REQUESTS)))
    used_s = read_cpu_s(pid) - cpu_s - idle_core * (time.monotonic() - started_s)
    return 1000 * used_s / requests
