"""All comparisons and measurements in one run, as tables, JSON and plots."""

import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import attrs

from waxwingbarrow.bench import _capacity, _limits, _rollouts, _routing
from waxwingbarrow.bench._at_most_once import run_at_most_once
from waxwingbarrow.bench._fleetslopes import FleetCost, measure_fleet
from waxwingbarrow.bench._gossip import measure_simulation
from waxwingbarrow.bench._measuring import Machine, Slope, Spread, describe_machine
from waxwingbarrow.bench._overhead import Overhead, measure_overhead
from waxwingbarrow.bench._plots import draw_plots
from waxwingbarrow.bench._rollouts import RolloutRow, VersionKind
from waxwingbarrow.bench._routing import BenchRow
from waxwingbarrow.bench._slopes import measure_library_slopes

T = TypeVar("T")
OUTPUT_DIRECTORY = Path("build/bench")
AT_MOST_ONCE_SEED = 1
SCHEDULE_COUNT = 1_000
MEMBER_COUNTS = (10, 30, 60)


@attrs.frozen
class BenchResult:
    """Everything that one run measured; the field names are those of bench.json.

    Parameters
    ----------
    seconds : dict
        Duration of each part in seconds.
    seeds : dict
        Seed of each comparison.
    rows : tuple of BenchRow
        Comparisons of decisions with baselines.
    slopes : tuple of Slope
        Costs of the decision libraries.
    overhead : Overhead
        Latency and processor time that one daemon adds.
    fleet : FleetCost
        Costs that grow with the number of daemons.
    """

    machine: Machine
    command: str
    seconds: dict[str, float]
    seeds: dict[str, int]
    rows: tuple[BenchRow, ...]
    slopes: tuple[Slope, ...]
    overhead: Overhead
    fleet: FleetCost


def run_bench() -> BenchResult:
    """Run every part, one after the other, so that none disturbs another."""
    machine = describe_machine()
    seconds: dict[str, float] = {}
    with tempfile.TemporaryDirectory(prefix="waxwingbarrow-") as directory:
        overhead = _run_timed(
            seconds,
            "overhead",
            lambda: asyncio.run(measure_overhead(Path(directory))),
        )
    fleet = _run_timed(seconds, "fleet", lambda: asyncio.run(measure_fleet()))
    slopes = _run_timed(seconds, "slopes", measure_library_slopes)
    rows = (
        *_run_timed(seconds, "routing", _routing.compare_routing),
        *_run_timed(seconds, "limits", compare_limits),
        *_run_timed(seconds, "rollouts", compare_rollouts),
        *_run_timed(seconds, "capacity", _capacity.compare_capacity),
        *_run_timed(seconds, "at most once", compare_claims),
        *_run_timed(seconds, "gossip", compare_gossip),
        *compare_overhead(overhead),
        *compare_appends(fleet),
    )
    seeds = {
        "routing": _routing.SEED,
        "limits": _limits.SEED,
        "rollouts": _rollouts.SEED,
        "capacity": _capacity.SEED,
        "at most once": AT_MOST_ONCE_SEED,
        "gossip": 1,
    }
    return BenchResult(
        machine, "make bench", seconds, seeds, rows, slopes, overhead, fleet
    )


def _run_timed(seconds: dict[str, float], name: str, run: Callable[[], T]) -> T:
    print(f"bench: {name}", file=sys.stderr, flush=True)
    started_s = time.monotonic()
    value = run()
    seconds[name] = round(time.monotonic() - started_s, 1)
    return value


def compare_limits() -> tuple[BenchRow, ...]:
    """Compare admission and account shares with their baselines."""
    return (
        *_limits.compare_goodput(),
        *_limits.compare_isolation(),
        *_limits.compare_shares(),
    )


def compare_rollouts() -> tuple[BenchRow, ...]:
    """Compare rollout decisions on evidence with fixed thresholds."""
    found = {(row.kind, row.policy): row for row in _rollouts.measure_rollouts()}
    rows = []
    for kind in VersionKind:
        ours, baseline = found[kind, "evidence"], found[kind, "threshold"]
        for name, read in _list_rollout_measures(kind.is_good):
            our_value, baseline_value = read(ours), read(baseline)
            if our_value is not None and baseline_value is not None:
                rows.append(
                    make_row(name, kind, our_value, "fixed thresholds", baseline_value)
                )
    return tuple(rows)


def _list_rollout_measures(
    is_good: bool,
) -> tuple[tuple[str, Callable[[RolloutRow], float | None]], ...]:
    if is_good:
        return (
            ("rollout: good versions withdrawn", lambda row: row.false_withdrawals),
            ("rollout: good versions done", lambda row: row.done),
            ("rollout: time until done s", lambda row: row.finish_s),
        )
    return (
        ("rollout: bad versions withdrawn", lambda row: row.withdrawn),
        ("rollout: time until withdrawn s", lambda row: row.withdraw_s),
        (
            "rollout: requests to the bad version, percent",
            lambda row: row.faulty_share_percent,
        ),
    )


def compare_claims() -> tuple[BenchRow, ...]:
    """Compare claims with a lease on all keys, under random schedules of faults."""
    result = run_at_most_once(SCHEDULE_COUNT, AT_MOST_ONCE_SEED)
    label, naive = f"{result.cases} schedules", "lease on all keys"
    return (
        make_row(
            "at most once: schedules with a fault",
            label,
            result.violations,
            naive,
            result.naive_violations,
        ),
    )


def compare_gossip() -> tuple[BenchRow, ...]:
    """Compare gossip with a bounded number of peers with a full mesh."""
    rows = []
    for size in MEMBER_COUNTS:
        ours, mesh = measure_simulation(size), measure_simulation(size, mesh=True)
        for name, read in (
            ("streams", "streams_per_node"),
            ("frames/s", "frames_per_s"),
            ("bytes/s", "bytes_per_s"),
            ("core percent", "core_percent"),
        ):
            rows.append(
                make_row(
                    f"gossip: {name} of a node",
                    f"{size} members",
                    getattr(ours, read),
                    "full mesh",
                    getattr(mesh, read),
                )
            )
    return tuple(rows)


def compare_overhead(overhead: Overhead) -> tuple[BenchRow, ...]:
    """Compare latencies through the daemon with those of direct requests."""
    return tuple(
        make_row(
            f"entry host: {item.measure} ms",
            f"p{item.percent} of {item.requests}",
            item.daemon_ms.median,
            "direct call",
            item.direct_ms.median,
        )
        for item in overhead.latencies
    )


def compare_appends(fleet: FleetCost) -> tuple[BenchRow, ...]:
    """Compare batched appends to the log with one append for each record."""
    return tuple(
        make_row(
            "log: appends/s of one host",
            f"{item.records_per_s:g} records/s, append {item.append_ms} ms",
            item.appends_per_s.median,
            "an append for each record",
            item.records_per_s,
        )
        for item in fleet.appends
    )


def make_row(
    decision: str, workload: str, ours: float, name: str, baseline: float
) -> BenchRow:
    """Return a row; the ratio to a baseline of 0 is infinite, or 1 if both are 0."""
    if baseline:
        ratio = ours / baseline
    else:
        ratio = float("inf") if ours else 1.0
    return BenchRow(decision, workload, ours, name, baseline, ratio)


def format_tables(result: BenchResult) -> str:
    """Return one table for each decision, then the slopes and processor times."""
    lines = [f"machine: {attrs.asdict(result.machine)}"]
    for decision in dict.fromkeys(row.decision for row in result.rows):
        lines += ["", decision, f"{'ours':>12} {'baseline':>12} {'ratio':>7}"]
        lines += [
            f"{row.ours:12.4g} {row.baseline:12.4g} {row.ratio:7.3f}  "
            f"{row.workload}; {row.baseline_name}"
            for row in result.rows
            if row.decision == decision
        ]
    lines += ["", "slopes"]
    slopes = (*result.slopes, result.overhead.stream_cpu, *result.fleet.slopes)
    for slope in slopes:
        costs = ", ".join(
            f"{size:g}: {format_spread(cost)}"
            for size, cost in zip(slope.sizes, slope.costs, strict=True)
        )
        lines += [
            f"{slope.name}: {format_spread(slope.per_item)} {slope.unit}, "
            f"base {format_spread(slope.base)}",
            f"    {costs}",
        ]
    lines += ["", "processor time of the daemon"]
    for name, spread in result.overhead.request_cpu_ms.items():
        lines.append(f"{name}: {format_spread(spread)} ms")
    idle = format_spread(result.overhead.idle_core_percent)
    lines.append(f"idle: {idle} percent of a core")
    lines += ["", f"seconds: {result.seconds}"]
    return "\n".join(lines)


def format_spread(spread: Spread) -> str:
    """Return the median and the range.

    Examples
    --------
    >>> format_spread(Spread(2.0, 1.0, 3.0, 5))
    '2 (1 to 3)'
    """
    return f"{spread.median:.4g} ({spread.low:.4g} to {spread.high:.4g})"


def main() -> None:
    """Run everything, print the tables and write JSON, tables and plots."""
    result = run_bench()
    OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    text = json.dumps(attrs.asdict(result), indent=1)
    (OUTPUT_DIRECTORY / "bench.json").write_text(text)
    tables = format_tables(result)
    (OUTPUT_DIRECTORY / "tables.txt").write_text(tables + "\n")
    print(tables)
    draw_plots(OUTPUT_DIRECTORY)
    sys.stdout.flush()
