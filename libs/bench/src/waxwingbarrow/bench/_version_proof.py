"""Proof that a bad version gets little traffic, and none after its withdrawal.

The naive design is a rollout whose share rises with time alone: its document tolerates
every failure and slowdown.
"""

import asyncio
import datetime
import re
import time
from typing import Any

import attrs

from waxwingbarrow.bench._at_most_once import PromiseResult
from waxwingbarrow.bench._deployment import OPERATOR_KEY, DaemonPlan, UpstreamPlan
from waxwingbarrow.bench._documents import (
    MODEL,
    MODEL_SERVICE,
    NEW_MODEL,
    make_model_document,
)
from waxwingbarrow.bench._scenario import Scenario, Tally, open_scenario, wait_until
from waxwingbarrow.core import VersionName
from waxwingbarrow.document import Rollout
from waxwingbarrow.standins import expected_text

SEED = 17
MAX_TOKENS = 4
CALLERS = 16
CALL_INTERVAL_S = 0.05  # of each caller
DURATION_S = 24
NAIVE_DURATION_S = 12
FIRST_SHARE_PERCENT = 10.0
# Largest share of all attempts that may reach a bad version until it is withdrawn.
MAX_BAD_PERCENT = 20.0
MAX_SPREAD_S = 2.0  # from the first host that withdraws a version to the last one
QUIET_CHECK_S = 1.0  # after the withdrawal, without attempts at the bad version
FAST_ROLLOUT_SETTINGS = {"evidence_interval_ms": 500, "rollout_interval_ms": 200}
ENGINES = tuple(
    UpstreamPlan(f"{version}-{dc}", "engine", MODEL_SERVICE, version, dc)
    for version in ("v1", "v2")
    for dc in ("dc-a", "dc-b")
)
DAEMONS = (
    DaemonPlan("host-1", "dc-a"),
    DaemonPlan("host-2", "dc-a"),
    DaemonPlan("host-3", "dc-b"),
)
BAD_VERSIONS: dict[str, dict[str, Any]] = {
    "fails at once": {"fail_status": 500},
    "slow": {"slow_factor": 6.0},
    "fails on one route": {"fail_status": 500, "only_marker": "route tag"},
}


@attrs.define
class _LoadResult:
    """Results of the steady load.

    Parameters
    ----------
    complete : int
        Answers with the complete text of either version.
    incorrect : int
        Answers that were incomplete, wrong or refused.
    """

    complete: int = 0
    incorrect: int = 0


def run_version_proof(seed: int = SEED) -> PromiseResult:
    """Count rollouts that harm callers, reach too many requests or end wrongly."""
    tally = asyncio.run(_run(seed))
    return PromiseResult(
        tally.cases, tally.violations, tally.naive_violations, 0, tally.events
    )


async def _run(seed: int) -> Tally:
    tally = Tally()
    documents = {MODEL_SERVICE: make_model_document()}
    async with open_scenario(
        ENGINES, DAEMONS, documents, FAST_ROLLOUT_SETTINGS
    ) as scenario:
        load_result = _LoadResult()
        tasks = [
            asyncio.create_task(_send_requests(scenario, load_result, seed, number))
            for number in range(CALLERS)
        ]
        try:
            for name, faults in BAD_VERSIONS.items():
                await _check_bad_version(scenario, tally, name, faults)
            await _check_good_version(scenario, tally)
            await _check_naive_rollout(scenario, tally)
        finally:
            for task in tasks:
                task.cancel()
        tally.events["answers complete"] = load_result.complete
        tally.check("every caller got its whole answer", load_result.incorrect == 0)
    return tally


async def _send_requests(
    scenario: Scenario, load_result: _LoadResult, seed: int, number: int
) -> None:
    """Send requests on one route, one every `CALL_INTERVAL_S`, until cancelled."""
    caller = scenario.make_caller(seed + number)
    route = ("answer", "tag")[number % 2]
    count = 0
    while True:
        prompt = f"route {route}, caller {number}, question {count}"
        count += 1
        started_s = time.monotonic()
        result = await caller.generate(MODEL_SERVICE, route, prompt, MAX_TOKENS)
        texts = [expected_text(m, prompt, MAX_TOKENS) for m in (MODEL, NEW_MODEL)]
        if result.complete and result.text in texts and result.refusal is None:
            load_result.complete += 1
        else:
            load_result.incorrect += 1
        await asyncio.sleep(max(0.0, started_s + CALL_INTERVAL_S - time.monotonic()))


async def _publish_rollout(scenario: Scenario, duration_s: int, **limits: Any) -> int:
    """Publish a rollout that starts now and return the document's revision."""
    start = datetime.datetime.now(datetime.UTC)
    rollout = Rollout(
        from_version=VersionName("v1"),
        to_version=VersionName("v2"),
        start=start.isoformat(),
        finish_by=(start + datetime.timedelta(seconds=duration_s)).isoformat(),
        first_share_percent=FIRST_SHARE_PERCENT,
        min_requests=15,
        **limits,
    )
    current = await scenario.deployment.get(
        f"{scenario.urls[0]}/v1/operator/documents/{MODEL_SERVICE}",
        OPERATOR_KEY,
    )
    return await scenario.publish(
        MODEL_SERVICE, make_model_document(rollout), current["revision"]
    )


async def _set_new_version_faults(scenario: Scenario, **faults: Any) -> None:
    """Replace the faults of the engines that run the new version."""
    for plan in ENGINES:
        if plan.version == "v2":
            await scenario.set_faults(plan.name, **faults)


async def _check_bad_version(
    scenario: Scenario, tally: Tally, name: str, faults: dict[str, Any]
) -> None:
    """Roll out a bad version; it must be withdrawn on every host, soon enough.

    Until then it may get `MAX_BAD_PERCENT` percent of the attempts, afterwards none.
    """
    await _set_new_version_faults(scenario, **faults)
    before = await _count_attempts(scenario)
    revision = await _publish_rollout(scenario, DURATION_S)
    started_s = time.monotonic()

    async def count_withdrawn() -> int:
        return (await _read_states(scenario, revision)).count("withdrawn")

    async def is_withdrawn() -> bool:
        return await count_withdrawn() > 0

    async def is_withdrawn_everywhere() -> bool:
        return await count_withdrawn() == len(DAEMONS)

    await wait_until(is_withdrawn, DURATION_S + 5)
    withdrawn_after_s = time.monotonic() - started_s
    spread_s = await wait_until(is_withdrawn_everywhere, DURATION_S)
    tally.events[f"ms until withdrawn: {name}"] = int(withdrawn_after_s * 1000)
    tally.events[f"ms to every host: {name}"] = int(spread_s * 1000)
    tally.check(
        f"{name}: withdrawn before the deadline", withdrawn_after_s < DURATION_S - 2
    )
    tally.check(f"{name}: withdrawn on every host soon", spread_s <= MAX_SPREAD_S)
    after = await _count_attempts(scenario)
    percent = _compute_percent(before, after)
    tally.events[f"percent to the bad version: {name}"] = round(percent)
    tally.check(f"{name}: small share", 0 < percent <= MAX_BAD_PERCENT)
    await asyncio.sleep(0.3)  # lets requests in flight finish
    quiet_from = await _count_attempts(scenario)
    await asyncio.sleep(QUIET_CHECK_S)
    quiet_to = await _count_attempts(scenario)
    tally.check(f"{name}: nothing afterwards", quiet_from["v2"] == quiet_to["v2"])
    tally.check(f"{name}: load goes on", quiet_from["v1"] < quiet_to["v1"])
    verdicts = await _read_verdicts(scenario, revision)
    tally.check(f"{name}: recorded in the log", "withdrawn" in verdicts)


async def _check_good_version(scenario: Scenario, tally: Tally) -> None:
    """Roll out a version without faults; it must be done on every host in time."""
    await _set_new_version_faults(scenario)
    await asyncio.sleep(6)  # longer than the first ejection of a failed engine, 5 s
    revision = await _publish_rollout(scenario, DURATION_S)

    async def has_ended() -> bool:
        states = await _read_states(scenario, revision)
        return all(state != "running" for state in states)

    rollout_s = await wait_until(has_ended, DURATION_S + 5)
    tally.events["ms until done: good"] = int(rollout_s * 1000)
    states = await _read_states(scenario, revision)
    tally.check("good: done on every host", states == ["done"] * len(DAEMONS))
    tally.check("good: done in time", rollout_s < DURATION_S)
    tally.check(
        "good: recorded in the log",
        await _read_verdicts(scenario, revision) == ["done"],
    )


async def _check_naive_rollout(scenario: Scenario, tally: Tally) -> None:
    """Roll out a bad version with limits that tolerate its faults."""
    await _set_new_version_faults(scenario, **BAD_VERSIONS["fails on one route"])
    before = await _count_attempts(scenario)
    await _publish_rollout(
        scenario,
        NAIVE_DURATION_S,
        max_failure_percent=100.0,
        max_slowdown_percent=1000.0,
    )
    await asyncio.sleep(NAIVE_DURATION_S - 1)
    percent = _compute_percent(before, await _count_attempts(scenario))
    tally.events["percent to the bad version: naive"] = round(percent)
    tally.check_naive("small share", percent <= MAX_BAD_PERCENT)


async def _read_states(scenario: Scenario, revision: int) -> list[str]:
    """Return the state of the rollout on each host that reports one."""
    statuses = [await scenario.read_status(url) for url in scenario.urls]
    return [
        move["state"]
        for status in statuses
        for move in status["moves"]
        if move["revision"] == revision
    ]


async def _read_verdicts(scenario: Scenario, revision: int) -> list[str]:
    """Return the distinct verdicts about a revision that the control log holds."""
    deployment = scenario.deployment
    url = f"{deployment.platform_url}/v1/streams/control/records?from=0&limit=10000"
    found = set()
    for entry in (await deployment.get(url))["records"]:
        body = entry["record"].get("body", entry["record"])
        if "verdict" in body and body.get("revision") == revision:
            found.add(str(body["verdict"]))
    return sorted(found)


async def _count_attempts(scenario: Scenario) -> dict[str, int]:
    """Return the attempts at each version, summed over the metrics of all hosts."""
    counts = {"v1": 0, "v2": 0}
    for url in scenario.urls:
        response = await scenario.deployment.client.get(f"{url}/metrics")
        text = (await response.content()).decode()
        for version, value in re.findall(
            r'^waxwingbarrow_attempts_total\{.*version="(v\d)".*\} (\S+)$', text, re.M
        ):
            counts[version] += int(float(value))
    return counts


def _compute_percent(before: dict[str, int], after: dict[str, int]) -> float:
    new = after["v2"] - before["v2"]
    return 100 * new / max(1, new + after["v1"] - before["v1"])
