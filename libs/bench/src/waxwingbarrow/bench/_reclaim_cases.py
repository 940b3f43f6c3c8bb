"""Reclaim of an engine in the middle of long streams."""

import asyncio
import random
import time

import attrs

from waxwingbarrow.bench._deployment import DaemonPlan, RunningUpstream, UpstreamPlan
from waxwingbarrow.bench._documents import MODEL, MODEL_SERVICE, make_model_document
from waxwingbarrow.bench._scenario import Scenario, Tally, open_scenario
from waxwingbarrow.standins import expected_text

STREAMS = 4
PROMPT_CHARS = 60_000  # 15,000 tokens; recomputing them takes 0.75 s
OUTPUT_TOKENS = 1_500  # 3 s at the engine's rate
SHORT_OUTPUT_TOKENS = 500
NOTICE_S = 2.0
# A moved stream recomputes at most the last block of its context, and what was
# generated during the transfer.
MOVED_TOKENS = 1_000
ENGINES = tuple(
    UpstreamPlan(
        f"engine-{n}",
        "engine",
        MODEL_SERVICE,
        "v1",
        "dc-a",
        ("--cache_tokens", "1000000"),
    )
    for n in "123"
)
DAEMONS = (DaemonPlan("host-1", "dc-a"), DaemonPlan("host-2", "dc-a"))


@attrs.frozen
class ReclaimCase:
    """One way in which a reclaim goes.

    Parameters
    ----------
    end_after_s : float
        Time from the notice to the end of the process.
    max_recomputed : int
        Most tokens that the other engines may recompute for each stream.
    """

    name: str
    output_tokens: int = OUTPUT_TOKENS
    is_announced: bool = True
    end_after_s: float = NOTICE_S
    refuse_export: bool = False
    refuse_import: bool = False
    max_recomputed: int = PROMPT_CHARS


CASES = (
    ReclaimCase("finishes", output_tokens=SHORT_OUTPUT_TOKENS, max_recomputed=0),
    ReclaimCase("moves", max_recomputed=MOVED_TOKENS),
    ReclaimCase("import refused", refuse_import=True),
    ReclaimCase("export refused", refuse_export=True),
    ReclaimCase("dies before the move", end_after_s=0.5),
    ReclaimCase("dies during the move", end_after_s=NOTICE_S - 1.05),
)
# Without the notice, the streams go on until the process dies, as in a version that
# ignores reclaims.
NAIVE_CASE = ReclaimCase("naive", is_announced=False, max_recomputed=MOVED_TOKENS)


async def check_reclaims(tally: Tally, seed: int) -> None:
    """Reclaim an engine in each way, and once without the mechanism."""
    documents = {MODEL_SERVICE: make_model_document()}
    async with open_scenario(ENGINES, DAEMONS, documents) as scenario:
        for case in CASES:
            results = await _reclaim(scenario, case, seed)
            for is_whole in results.whole:
                tally.check(f"reclaim: {case.name}", is_whole)
            tally.check(
                f"reclaim recomputes: {case.name}",
                results.recomputed <= case.max_recomputed * STREAMS,
            )
            tally.events[f"tokens recomputed: {case.name}"] = results.recomputed
        results = await _reclaim(scenario, NAIVE_CASE, seed)
        tally.events["tokens recomputed: naive"] = results.recomputed
        tally.check_naive(
            "reclaim recomputes",
            results.recomputed <= NAIVE_CASE.max_recomputed * STREAMS,
        )


@attrs.frozen
class _Results:
    whole: list[bool]
    recomputed: int


async def _reclaim(scenario: Scenario, case: ReclaimCase, seed: int) -> _Results:
    """Run streams, reclaim the engine that has most of them, and replace it."""
    rng = random.Random(f"{seed} {case.name}")
    caller = scenario.make_caller(seed)
    prompts = [
        "".join(rng.choices("abcdefgh ", k=PROMPT_CHARS)) for _ in range(STREAMS)
    ]
    await scenario.set_all_faults("engine", refuse_import=case.refuse_import)
    sending = asyncio.gather(
        *(
            caller.generate(MODEL_SERVICE, "answer", prompt, case.output_tokens)
            for prompt in prompts
        )
    )
    await asyncio.sleep(1.2)
    upstreams = list(scenario.deployment.upstreams.values())
    loads = [await scenario.read_in_flight(upstream) for upstream in upstreams]
    leaving = upstreams[loads.index(max(loads))]
    others = [upstream for upstream in upstreams if upstream is not leaving]
    before = await _read_recomputed(scenario, others)
    name = leaving.plan.name
    if case.refuse_export:
        await scenario.set_faults(name, refuse_export=True)
    if case.is_announced:
        leave_by_ms = int((time.time() + NOTICE_S) * 1000)
        await scenario.deployment.post(
            f"{scenario.deployment.platform_url}/standin/notices",
            {"host": name, "leave_by_ms": leave_by_ms},
        )
    await asyncio.sleep(case.end_after_s)
    leaving.process.kill()
    results = await sending
    recomputed = await _read_recomputed(scenario, others) - before
    await scenario.deployment.start_upstream(leaving.plan)
    await asyncio.sleep(0.5)  # lets the daemons see the replacement
    whole = [
        result.complete
        and result.text == expected_text(MODEL, prompt, case.output_tokens)
        for prompt, result in zip(prompts, results, strict=True)
    ]
    return _Results(whole, recomputed)


async def _read_recomputed(scenario: Scenario, upstreams: list[RunningUpstream]) -> int:
    total = 0
    for upstream in upstreams:
        url = f"http://{upstream.address}/standin/counters"
        total += (await scenario.deployment.get(url))["recomputed_tokens"]
    return total
