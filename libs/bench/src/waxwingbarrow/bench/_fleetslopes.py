"""Cost of idle daemons, time to publish configuration, and batching of appends."""

import asyncio
import random
import statistics
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import psutil
from result import Result

from waxwingbarrow.bench._deployment import DaemonPlan, Deployment
from waxwingbarrow.bench._documents import MODEL_SERVICE, make_model_document
from waxwingbarrow.bench._measuring import (
    Slope,
    Spread,
    fit_slope,
    measure_spread,
    read_cpu_s,
)
from waxwingbarrow.bench._overhead import ENGINE_PLAN, SERVICE_PLAN
from waxwingbarrow.bench._publishing import (
    publish,
    read_revision,
    wait_for_first_record,
)
from waxwingbarrow.core import SystemClock
from waxwingbarrow.platform import (
    HttpLogClient,
    HttpSession,
    JsonRecord,
    LogAppender,
    LogFailure,
    LogReader,
)

DAEMON_COUNTS = (3, 6, 9)
IDLE_WINDOW_S = 2.0
IDLE_WINDOW_COUNT = 4
PUBLICATION_COUNT = 5
RECORD_RATES_PER_S = (50, 200, 800)
APPEND_DELAYS_MS = (0, 20)
APPEND_WINDOW_S = 2.0


@attrs.frozen
class IdleCost:
    """Cost of one daemon without requests, averaged over the daemons of a run.

    Parameters
    ----------
    core_percent : float
        Processor time in percent of one core.
    memory_mib : float
        Resident memory.
    bytes_per_s : float
        Bytes on the loopback interface for each daemon, with all headers, in the
        quietest of several windows. Other work on the machine is counted too, so this
        is an upper bound.
    """

    core_percent: float
    memory_mib: float
    bytes_per_s: float


@attrs.frozen
class AppendRate:
    """Append requests that a rate of records takes.

    Parameters
    ----------
    records_per_s : float
        Offered rate.
    append_ms : int
        Delay that the log stand-in adds to each append.
    appends_per_s : Spread
        Append requests of one host.
    wait_ms : Spread
        Median time from handing over a record until its offset is known.
    """

    records_per_s: float
    append_ms: int
    appends_per_s: Spread
    wait_ms: Spread


@attrs.frozen
class FleetCost:
    """Slopes over the number of daemons, and rates of appends."""

    slopes: tuple[Slope, ...]
    appends: tuple[AppendRate, ...]


class CountingClient(HttpLogClient):
    """Log client that counts its append requests."""

    appends = 0

    async def append(
        self, stream: str, records: Sequence[JsonRecord]
    ) -> Result[int, LogFailure]:
        """Append the records and count the request."""
        self.appends += 1
        return await super().append(stream, records)


async def measure_fleet(repetitions: int = 3) -> FleetCost:
    """Measure 3, 6 and 9 daemons, then the appends."""
    sizes = [await _measure_daemons(count, repetitions) for count in DAEMON_COUNTS]
    quantities = (
        ("daemon: idle processor time", "core percent per daemon"),
        ("daemon: idle memory", "MiB per daemon"),
        ("daemon: idle loopback traffic", "bytes/s per daemon"),
        ("configuration: publication to in force", "s per daemon"),
    )
    slopes = tuple(
        fit_slope(name, unit, DAEMON_COUNTS, list(zip(*costs, strict=True)))
        for (name, unit), costs in zip(
            quantities, zip(*sizes, strict=True), strict=True
        )
    )
    appends = [
        await measure_appends(rate, append_ms, repetitions)
        for append_ms in APPEND_DELAYS_MS
        for rate in RECORD_RATES_PER_S
    ]
    return FleetCost(slopes, tuple(appends))


async def _measure_daemons(count: int, repetitions: int) -> tuple[list[float], ...]:
    """Return, for each quantity of `measure_fleet`, one value per repetition."""
    with tempfile.TemporaryDirectory(prefix="waxwingbarrow-") as directory:
        deployment = Deployment(Path(directory))
        try:
            await deployment.start_platform()
            await deployment.start_upstream(ENGINE_PLAN)
            await deployment.start_upstream(SERVICE_PLAN)
            for number in range(count):
                plan = DaemonPlan(f"host-{number}", f"dc-{'abc'[number % 3]}")
                await deployment.start_daemon(plan)
            await deployment.wait_ready()
            await wait_for_first_record(deployment)
            times_s = await _measure_publications_s(deployment, repetitions)
            await asyncio.sleep(2.0)
            idle = [await _measure_idle(deployment) for _ in range(repetitions)]
        finally:
            deployment.stop()
    return (
        [cost.core_percent for cost in idle],
        [cost.memory_mib for cost in idle],
        [cost.bytes_per_s for cost in idle],
        times_s,
    )


async def _measure_publications_s(
    deployment: Deployment, repetitions: int
) -> list[float]:
    """Return the longest time of several publications for each repetition."""
    url = next(iter(deployment.daemons.values())).url
    longest = []
    for _ in range(repetitions):
        times_s = []
        for _ in range(PUBLICATION_COUNT):
            base = await read_revision(deployment, url, MODEL_SERVICE)
            text = make_model_document()
            times_s.append(await publish(deployment, MODEL_SERVICE, text, base))
        longest.append(max(times_s))
    return longest


async def _measure_idle(deployment: Deployment) -> IdleCost:
    pids = [daemon.process.process.pid for daemon in deployment.daemons.values()]
    cpu_s, started_s = [read_cpu_s(pid) for pid in pids], time.monotonic()
    rates = []
    for _ in range(IDLE_WINDOW_COUNT):
        sent, opened_s = _count_loopback_bytes(), time.monotonic()
        await asyncio.sleep(IDLE_WINDOW_S)
        passed_s = time.monotonic() - opened_s
        rates.append((_count_loopback_bytes() - sent) / passed_s / len(pids))
    passed_s = time.monotonic() - started_s
    used_s = [read_cpu_s(pid) - before for pid, before in zip(pids, cpu_s, strict=True)]
    memory = [psutil.Process(pid).memory_info().rss / 2**20 for pid in pids]
    return IdleCost(
        100 * statistics.fmean(used_s) / passed_s, statistics.fmean(memory), min(rates)
    )


def _count_loopback_bytes() -> int:
    """Return the bytes sent on loopback; each is also received once."""
    return int(psutil.net_io_counters(pernic=True)["lo"].bytes_sent)


async def measure_appends(
    rate_per_s: float, append_ms: int, repetitions: int
) -> AppendRate:
    """Append records at a rate through one batching appender."""
    with tempfile.TemporaryDirectory(prefix="waxwingbarrow-") as directory:
        deployment = Deployment(Path(directory))
        try:
            await deployment.start_platform()
            faults: dict[str, Any] = {"slow_ms": append_ms, "operations": ["append"]}
            await deployment.post(f"{deployment.platform_url}/standin/faults", faults)
            address = f"127.0.0.1:{deployment.platform_port}"
            runs = [
                await _append_at_rate(address, rate_per_s, f"claims-{number}")
                for number in range(repetitions)
            ]
        finally:
            deployment.stop()
    return AppendRate(
        rate_per_s,
        append_ms,
        measure_spread([appends for appends, _ in runs]),
        measure_spread([wait_ms for _, wait_ms in runs]),
    )


async def _append_at_rate(
    address: str, rate_per_s: float, stream: str
) -> tuple[float, float]:
    """Return the append requests per second and the median wait in ms."""
    session, clock = HttpSession(), SystemClock()
    client = CountingClient(session, address)
    reader = LogReader(
        client, stream, lambda _: None, lambda *_: None, clock, random.Random(1)
    )
    appender = LogAppender(client, stream, reader, clock, random.Random(2))
    tasks = [asyncio.create_task(reader.run()), asyncio.create_task(appender.run())]
    waits_ms: list[float] = []

    async def append(number: int) -> None:
        started_s = time.perf_counter()
        record = {"record_id": f"{stream}-{number}", "padding": "x" * 300}
        deadline_ms = clock.now().mono_ms + 10_000
        (await appender.append(record, deadline_ms)).unwrap()
        waits_ms.append(1000 * (time.perf_counter() - started_s))

    started_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for number in range(int(rate_per_s * APPEND_WINDOW_S)):
            due_s = started_s + number / rate_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            group.create_task(append(number))
    passed_s = time.monotonic() - started_s
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await session.close()
    return client.appends / passed_s, statistics.median(waits_ms)
