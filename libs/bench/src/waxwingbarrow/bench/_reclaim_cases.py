"""Reclaims of an engine that is generating long streams."""

import asyncio
import random
import time

import attrs

from waxwingbarrow.bench._deployment import DaemonPlan, RunningUpstream, UpstreamPlan
from waxwingbarrow.bench._documents import MODEL, MODEL_SERVICE, make_model_document
from waxwingbarrow.bench._scenario import Scenario, Tally, open_scenario
from waxwingbarrow.standins import expected_text

STREAM_COUNT = 4
PROMPT_CHARS = 60_000  # 15,000 tokens; recomputing them takes 0.75 s
OUTPUT_TOKENS = 1_500  # 3 s at the engine's decoding rate
SHORT_OUTPUT_TOKENS = 500
NOTICE_S = 2.0
# A moved stream recomputes at most the last block of its context and the tokens that
# were generated during the transfer.
MAX_MOVE_RECOMPUTED_TOKENS = 1_000
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
    """Notice, faults and expected cost of one reclaim.

    Parameters
    ----------
    name : str
        Label in the results; also part of the seed of the prompts.
    is_announced : bool
        Whether the platform announces the reclaim.
    kill_delay_s : float
        Time from the notice until the process is killed.
    refuse_export, refuse_import : bool
        Whether the engine refuses to export, or all engines to import, the state of a
        stream.
    max_recomputed_tokens : int
        Maximum of tokens per stream that the other engines may recompute.
    """

    name: str
    output_tokens: int = OUTPUT_TOKENS
    is_announced: bool = True
    kill_delay_s: float = NOTICE_S
    refuse_export: bool = False
    refuse_import: bool = False
    max_recomputed_tokens: int = PROMPT_CHARS


CASES = (
    ReclaimCase("finishes", output_tokens=SHORT_OUTPUT_TOKENS, max_recomputed_tokens=0),
    ReclaimCase("moves", max_recomputed_tokens=MAX_MOVE_RECOMPUTED_TOKENS),
    ReclaimCase("import refused", refuse_import=True),
    ReclaimCase("export refused", refuse_export=True),
    ReclaimCase("dies before the move", kill_delay_s=0.5),
    ReclaimCase("dies during the move", kill_delay_s=NOTICE_S - 1.05),
)
# Without a notice the streams continue until the process is killed, as in a version
# that ignores reclaims.
NAIVE_CASE = ReclaimCase(
    "naive", is_announced=False, max_recomputed_tokens=MAX_MOVE_RECOMPUTED_TOKENS
)


async def check_reclaims(tally: Tally, seed: int) -> None:
    """Run all reclaim cases, and the naive one without a notice."""
    documents = {MODEL_SERVICE: make_model_document()}
    async with open_scenario(ENGINES, DAEMONS, documents) as scenario:
        for case in CASES:
            results = await _reclaim(scenario, case, seed)
            for is_stream_complete in results.streams_complete:
                tally.check(f"reclaim: {case.name}", is_stream_complete)
            tally.check(
                f"reclaim recomputes: {case.name}",
                results.recomputed_tokens <= case.max_recomputed_tokens * STREAM_COUNT,
            )
            tally.events[f"tokens recomputed: {case.name}"] = results.recomputed_tokens
        results = await _reclaim(scenario, NAIVE_CASE, seed)
        tally.events["tokens recomputed: naive"] = results.recomputed_tokens
        tally.check_naive(
            "reclaim recomputes",
            results.recomputed_tokens
            <= NAIVE_CASE.max_recomputed_tokens * STREAM_COUNT,
        )


@attrs.frozen
class _ReclaimResult:
    streams_complete: list[bool]
    recomputed_tokens: int


async def _reclaim(scenario: Scenario, case: ReclaimCase, seed: int) -> _ReclaimResult:
    """Start streams, reclaim the engine with the most requests, and replace it."""
    rng = random.Random(f"{seed} {case.name}")
    caller = scenario.make_caller(seed)
    prompts = [
        "".join(rng.choices("abcdefgh ", k=PROMPT_CHARS)) for _ in range(STREAM_COUNT)
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
    before = await _read_recomputed_tokens(scenario, others)
    name = leaving.plan.name
    if case.refuse_export:
        await scenario.set_faults(name, refuse_export=True)
    if case.is_announced:
        leave_by_ms = int((time.time() + NOTICE_S) * 1000)
        await scenario.deployment.post(
            f"{scenario.deployment.platform_url}/standin/notices",
            {"host": name, "leave_by_ms": leave_by_ms},
        )
    await asyncio.sleep(case.kill_delay_s)
    leaving.process.kill()
    results = await sending
    recomputed_tokens = await _read_recomputed_tokens(scenario, others) - before
    await scenario.deployment.start_upstream(leaving.plan)
    await asyncio.sleep(0.5)  # lets the daemons see the replacement
    streams_complete = [
        result.complete
        and result.text == expected_text(MODEL, prompt, case.output_tokens)
        for prompt, result in zip(prompts, results, strict=True)
    ]
    return _ReclaimResult(streams_complete, recomputed_tokens)


async def _read_recomputed_tokens(
    scenario: Scenario, upstreams: list[RunningUpstream]
) -> int:
    total = 0
    for upstream in upstreams:
        url = f"http://{upstream.address}/standin/counters"
        total += (await scenario.deployment.get(url))["recomputed_tokens"]
    return total
