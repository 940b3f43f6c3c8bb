"""Proof that a request that crashes its engine crashes at most two engines.

In the naive version a caller retries at the engines directly, as it could through hosts
that keep no record of the upstreams lost by a request.
"""

import asyncio

from result import Ok

from waxwingbarrow.bench._at_most_once import PromiseResult
from waxwingbarrow.bench._client import ModelResult
from waxwingbarrow.bench._deployment import ACCOUNT_KEY, DaemonPlan, UpstreamPlan
from waxwingbarrow.bench._documents import MODEL, MODEL_SERVICE, make_model_document
from waxwingbarrow.bench._scenario import Scenario, Tally, open_scenario
from waxwingbarrow.platform import HttpSession
from waxwingbarrow.standins import expected_text

SEED = 19
ROUNDS = 2
CRASH_MARKER = "this prompt crashes engines"
CRASH_REQUEST_COUNT = 9
BYSTANDER_COUNT = 4  # harmless requests beside the crashing one
BYSTANDER_TOKENS = 500  # 1 s of output, still running when the engines crash
ENGINES = tuple(
    UpstreamPlan(f"engine-{n}", "engine", MODEL_SERVICE, "v1", "dc-a") for n in "123456"
)
DAEMONS = tuple(DaemonPlan(f"host-{n}", "dc-a") for n in "123")


def run_crash_proof(seed: int = SEED) -> PromiseResult:
    """Count requests that crashed too many engines, and bystanders not served."""
    tally = asyncio.run(_run(seed))
    return PromiseResult(
        tally.cases, tally.violations, tally.naive_violations, 0, tally.events
    )


async def _run(seed: int) -> Tally:
    tally = Tally()
    documents = {MODEL_SERVICE: make_model_document()}
    async with open_scenario(ENGINES, DAEMONS, documents) as scenario:
        for number in range(ROUNDS):
            await scenario.set_all_faults("engine", crash_marker=CRASH_MARKER)
            await _check_round(scenario, tally, seed + number, number)
            await _restart_exited_engines(scenario)
        await scenario.set_all_faults("engine", crash_marker=CRASH_MARKER)
        lost = await _retry_at_all_engines(scenario)
        tally.events["engines lost: naive"] = lost
        tally.check_naive("at most two engines lost", lost <= 2)
    return tally


async def _check_round(
    scenario: Scenario, tally: Tally, seed: int, number: int
) -> None:
    """Send a crashing request through all hosts in turn while bystanders run."""
    prompts = [f"round {number}, bystander {n}" for n in range(BYSTANDER_COUNT)]

    async def run_bystander(n: int) -> ModelResult:
        caller = scenario.make_caller(seed + n)
        return await caller.generate(
            MODEL_SERVICE, "answer", prompts[n], BYSTANDER_TOKENS
        )

    running = [asyncio.create_task(run_bystander(n)) for n in range(BYSTANDER_COUNT)]
    await asyncio.sleep(0.3)
    crash_prompt = f"{CRASH_MARKER}, round {number}"
    statuses = []
    for request_number in range(CRASH_REQUEST_COUNT):
        url = scenario.urls[request_number % len(scenario.urls)]
        statuses.append(await _send(url, crash_prompt))
    lost = len(_list_exited_engines(scenario))
    tally.events["engines lost"] += lost
    tally.events["sendings refused"] += statuses.count(503) + statuses.count(422)
    tally.check("at most two engines lost", lost <= 2)
    tally.check("the crash was caused", lost > 0)
    results = await asyncio.gather(*running)
    for prompt, result in zip(prompts, results, strict=True):
        tally.check("bystander complete", _is_complete(result, prompt))
        tally.events["bystanders refused for a while"] += result.refusal is not None
    again = await asyncio.gather(*(run_bystander(n) for n in range(BYSTANDER_COUNT)))
    for prompt, result in zip(prompts, again, strict=True):
        is_served = _is_complete(result, prompt) and result.refusal is None
        tally.check("bystander served again", is_served)
    status = await _send(scenario.urls[0], crash_prompt)
    tally.check("still refused", status != 200)
    tally.check("no further engine lost", len(_list_exited_engines(scenario)) == lost)


def _is_complete(result: ModelResult, prompt: str) -> bool:
    return result.complete and result.text == expected_text(
        MODEL, prompt, BYSTANDER_TOKENS
    )


async def _send(url: str, prompt: str) -> int:
    """Send a request without streaming; return the status, or 0 without a response."""
    answer = await HttpSession(keep_alive=False).request(
        "POST",
        f"{url}/v1/services/{MODEL_SERVICE}/routes/answer",
        payload={"prompt": prompt, "max_tokens": 10, "stream": False},
        headers={"Authorization": f"Bearer {ACCOUNT_KEY}"},
        timeout_ms=10_000,
    )
    return answer.ok_value.status if isinstance(answer, Ok) else 0


def _list_exited_engines(scenario: Scenario) -> list[str]:
    return [
        name
        for name, upstream in scenario.deployment.upstreams.items()
        if upstream.process.process.poll() is not None
    ]


async def _restart_exited_engines(scenario: Scenario) -> None:
    for name in _list_exited_engines(scenario):
        await scenario.deployment.start_upstream(
            scenario.deployment.upstreams[name].plan
        )
    await asyncio.sleep(0.5)


async def _retry_at_all_engines(scenario: Scenario) -> int:
    """Send the crashing request to every engine and return how many exited."""
    for upstream in scenario.deployment.upstreams.values():
        await HttpSession(keep_alive=False).request(
            "POST",
            f"http://{upstream.address}/v1/generate",
            payload={
                "request_id": "naive",
                "attempt_id": upstream.plan.name,
                "model": MODEL,
                "prompt": CRASH_MARKER,
                "max_tokens": 10,
            },
            timeout_ms=2_000,
        )
    await asyncio.sleep(0.2)
    return len(_list_exited_engines(scenario))
