"""Proof that every caller gets its own, complete answer, whatever fails on the way.

The naive design concatenates the tokens of an engine's stream as they arrive, without
checks of their indexes, and its caller does not resume. Every kind of fault must break
it.
"""

import asyncio
import json
from typing import Any

import attrs

from waxwingbarrow.bench._at_most_once import PromiseResult
from waxwingbarrow.bench._client import ModelResult, read_events
from waxwingbarrow.bench._deployment import (
    ACCOUNT_KEY,
    SMALL_ACCOUNT_KEY,
    DaemonPlan,
    UpstreamPlan,
)
from waxwingbarrow.bench._documents import MODEL, MODEL_SERVICE, make_model_document
from waxwingbarrow.bench._scenario import Scenario, Tally, open_scenario
from waxwingbarrow.platform import EXCHANGE_ERRORS, HttpSession
from waxwingbarrow.standins import expected_text

SEED = 11
MAX_TOKENS = 40
# 0.6 s at the engine's rate: the streams still run when a process is killed at 0.3 s.
LONG_STREAM_TOKENS = 300
CONCURRENT_REQUESTS = 8
NAIVE_TIMEOUT_S = 2.0
ENGINES = tuple(
    UpstreamPlan(f"engine-{n}", "engine", MODEL_SERVICE, "v1", "dc-a") for n in "1234"
)
DAEMONS = tuple(DaemonPlan(f"host-{n}", "dc-a") for n in "123")


@attrs.frozen
class StreamFault:
    """Fault settings of engines.

    Parameters
    ----------
    name : str
        Label of the cases with this fault.
    faults : dict
        Fields of `EngineFaults`.
    """

    name: str
    faults: dict[str, Any]


STREAM_FAULTS = (
    *(
        StreamFault(f"cut before token {at}", {"cut_at": at, "cut_count": 2})
        for at in (0, 1, 17, MAX_TOKENS - 1)
    ),
    StreamFault(
        "overlap after a cut",
        {"cut_at": 20, "cut_count": 1, "overlap": 7, "duplicate_at": 15},
    ),
    StreamFault("duplicate", {"duplicate_at": 9}),
    StreamFault("reordered", {"reorder_at": 12}),
    StreamFault(
        "reordered, duplicate and cut",
        {"reorder_at": 5, "duplicate_at": 6, "cut_at": 8, "cut_count": 1},
    ),
)
# These faults hit every attempt at an engine, so two of the four engines stay healthy.
PARTIAL_FAULTS = (
    StreamFault("engine error", {"fail_at": 13}),
    StreamFault("stall", {"stall_at": 21}),
    StreamFault("announced count too high", {"wrong_length": 3}),
    StreamFault("announced count too low", {"wrong_length": -3}),
    StreamFault("refused with status 500", {"fail_status": 500}),
)


def run_answer_proof(seed: int = SEED) -> PromiseResult:
    """Count answers that differ in any byte from what the caller must receive."""
    tally = asyncio.run(_run(seed))
    return PromiseResult(
        tally.cases, tally.violations, tally.naive_violations, 0, tally.events
    )


async def _run(seed: int) -> Tally:
    tally = Tally()
    documents = {MODEL_SERVICE: make_model_document()}
    async with open_scenario(ENGINES, DAEMONS, documents) as scenario:
        for fault in STREAM_FAULTS:
            await _check_fault(scenario, tally, fault, ENGINES, seed)
        for fault in PARTIAL_FAULTS:
            await _check_fault(scenario, tally, fault, ENGINES[:2], seed)
        await scenario.set_all_faults("engine")
        await _check_same_prompt(scenario, tally, seed)
        await _check_resume_tokens(scenario, tally)
        await _check_killed_engine(scenario, tally, seed)
        await _check_killed_host(scenario, tally, DAEMONS[0].name, False)
        await _check_killed_host(scenario, tally, DAEMONS[1].name, True)
    return tally


def _is_complete_answer(result: ModelResult, prompt: str, count: int) -> bool:
    return result.complete and result.text == expected_text(MODEL, prompt, count)


async def _check_fault(
    scenario: Scenario,
    tally: Tally,
    fault: StreamFault,
    engines: tuple[UpstreamPlan, ...],
    seed: int,
) -> None:
    """Send requests through the hosts, and a naive one straight to a faulty engine."""
    caller = scenario.make_caller(seed)
    prompts = [
        f"{fault.name}, question {number}" for number in range(CONCURRENT_REQUESTS)
    ]

    async def set_faults() -> None:
        await scenario.set_all_faults("engine")
        for plan in engines:
            await scenario.set_faults(plan.name, **fault.faults)

    await set_faults()
    results = await asyncio.gather(
        *(caller.generate(MODEL_SERVICE, "answer", p, MAX_TOKENS) for p in prompts)
    )
    for prompt, result in zip(prompts, results, strict=True):
        tally.check(fault.name, _is_complete_answer(result, prompt, MAX_TOKENS))
    await set_faults()
    naive = await _generate_naively(scenario, engines[0].name, prompts[0])
    tally.check_naive(fault.name, _is_complete_answer(naive, prompts[0], MAX_TOKENS))


async def _generate_naively(
    scenario: Scenario, engine: str, prompt: str
) -> ModelResult:
    """Concatenate the tokens of one stream in the order of arrival."""
    result = ModelResult()
    base = f"http://{scenario.deployment.upstreams[engine].address}/v1"
    call: dict[str, Any] = {
        "request_id": "naive",
        "attempt_id": prompt,
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": MAX_TOKENS,
    }
    session = HttpSession(keep_alive=False)
    try:
        async with (
            asyncio.timeout(NAIVE_TIMEOUT_S),
            session.stream("POST", f"{base}/generate", payload=call) as stream,
        ):
            async for event in read_events(stream):
                if event.name == "token":
                    result.text += event.data["text"]
                    result.token_count += 1
                elif event.name == "done":
                    result.complete = event.data["count"] == result.token_count
    except EXCHANGE_ERRORS:
        pass
    return result


async def _check_same_prompt(scenario: Scenario, tally: Tally, seed: int) -> None:
    """Send the same prompt at once from two accounts, twice from one of them."""
    prompt = "the same prompt for two callers"
    callers = [
        scenario.make_caller(seed + number, key=key)
        for number, key in enumerate((ACCOUNT_KEY, SMALL_ACCOUNT_KEY, ACCOUNT_KEY))
    ]
    counts = (MAX_TOKENS, MAX_TOKENS // 2, MAX_TOKENS)
    results = await asyncio.gather(
        *(
            caller.generate(MODEL_SERVICE, "answer", prompt, count)
            for caller, count in zip(callers, counts, strict=True)
        )
    )
    for result, count in zip(results, counts, strict=True):
        tally.check("same prompt", _is_complete_answer(result, prompt, count))


async def _check_resume_tokens(scenario: Scenario, tally: Tally) -> None:
    """Resume with another account's key, an altered token, an unknown and the own key.

    Only the account that a resume token was issued to may read the stream with it.
    """
    prompt = "a stream whose token is passed on"
    session = HttpSession(keep_alive=False)
    url = f"{scenario.urls[0]}/v1/services/{MODEL_SERVICE}/routes/answer"
    body = {"prompt": prompt, "max_tokens": MAX_TOKENS}
    own = {"Authorization": f"Bearer {ACCOUNT_KEY}"}
    token = ""
    async with session.stream("POST", url, payload=body, headers=own) as stream:
        async for event in read_events(stream):
            if event.name == "resume":
                token = event.data["token"]
                break
    token_format, key_id, content, mac = token.split(".")
    altered = f"{token_format}.{key_id}.{content[:-4]}AAAA.{mac}"
    attempts = (
        ("another account's token", token, SMALL_ACCOUNT_KEY, 403),
        ("altered token", altered, ACCOUNT_KEY, 403),
        ("unknown key", token, "no-such-key", 403),
        ("own token on another host", token, ACCOUNT_KEY, 200),
    )
    for name, sent, key, status in attempts:
        headers = {"Authorization": f"Bearer {key}"}
        async with session.stream(
            "POST",
            f"{scenario.urls[1]}/v1/streams/resume",
            payload={"token": sent, "from_index": 0},
            headers=headers,
        ) as stream:
            text = ""
            if stream.status == 200:
                events = [event async for event in read_events(stream)]
                text = "".join(e.data["text"] for e in events if e.name == "token")
            else:
                text = json.dumps((await stream.read_response()).read_json_object())
            is_own_text = text == expected_text(MODEL, prompt, MAX_TOKENS)
            tally.check(
                name, stream.status == status and is_own_text == (status == 200)
            )


async def _check_killed_engine(scenario: Scenario, tally: Tally, seed: int) -> None:
    """Kill the engine that runs most of the streams."""
    caller = scenario.make_caller(seed)
    prompts = [
        f"engine killed, question {number}" for number in range(CONCURRENT_REQUESTS)
    ]
    sending = asyncio.gather(
        *(
            caller.generate(MODEL_SERVICE, "answer", p, LONG_STREAM_TOKENS)
            for p in prompts
        )
    )
    await asyncio.sleep(0.3)
    tally.events["streams on the killed engine"] += await _kill_busiest_engine(scenario)
    for prompt, result in zip(prompts, await sending, strict=True):
        tally.check(
            "engine killed", _is_complete_answer(result, prompt, LONG_STREAM_TOKENS)
        )


async def _kill_busiest_engine(scenario: Scenario) -> int:
    """Kill the engine with the most requests and return their number."""
    upstreams = list(scenario.deployment.upstreams.values())
    upstreams = [
        candidate for candidate in upstreams if candidate.process.process.poll() is None
    ]
    loads = [await scenario.read_in_flight(upstream) for upstream in upstreams]
    upstreams[loads.index(max(loads))].process.kill()
    return max(loads)


async def _check_killed_host(
    scenario: Scenario, tally: Tally, host: str, with_engine: bool
) -> None:
    """Kill an entry host, optionally with an engine, while streams run through it.

    Callers resume on another host; the naive one does not.
    """
    name = "host and engine killed" if with_engine else "host killed"
    killed = scenario.deployment.daemons[host]
    others = [url for url in scenario.urls if url != killed.url]
    # Every second caller also uses the host that is killed; all can resume elsewhere.
    callers = [
        scenario.make_caller(n, [killed.url if n % 2 else others[0], *others])
        for n in range(CONCURRENT_REQUESTS)
    ]
    prompts = [f"{name}, question {number}" for number in range(CONCURRENT_REQUESTS)]
    sending = asyncio.gather(
        *(
            caller.generate(MODEL_SERVICE, "answer", prompt, LONG_STREAM_TOKENS)
            for caller, prompt in zip(callers, prompts, strict=True)
        )
    )
    naive = asyncio.create_task(_read_without_resuming(killed.url, prompts[0]))
    await asyncio.sleep(0.3)
    killed.process.kill()
    if with_engine:
        tally.events["streams on the killed engine"] += await _kill_busiest_engine(
            scenario
        )
    for prompt, result in zip(prompts, await sending, strict=True):
        tally.check(name, _is_complete_answer(result, prompt, LONG_STREAM_TOKENS))
        tally.events["streams resumed by callers"] += result.resumes > 0
    tally.check_naive(
        name, _is_complete_answer(await naive, prompts[0], LONG_STREAM_TOKENS)
    )


async def _read_without_resuming(url: str, prompt: str) -> ModelResult:
    """Follow one stream of a host without resuming it."""
    result = ModelResult()
    session = HttpSession(keep_alive=False)
    try:
        async with (
            asyncio.timeout(NAIVE_TIMEOUT_S),
            session.stream(
                "POST",
                f"{url}/v1/services/{MODEL_SERVICE}/routes/answer",
                payload={"prompt": prompt, "max_tokens": LONG_STREAM_TOKENS},
                headers={"Authorization": f"Bearer {ACCOUNT_KEY}"},
            ) as stream,
        ):
            async for event in read_events(stream):
                if event.name == "token":
                    result.text += event.data["text"]
                elif event.name == "done":
                    result.complete = True
    except EXCHANGE_ERRORS:
        pass
    return result
