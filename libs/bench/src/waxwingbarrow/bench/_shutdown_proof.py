"""Proof that planned stops of hosts and reclaims of upstreams interrupt no request.

The naive designs are a host that is killed instead of drained, a router that learns of
leaving upstreams only from the platform's host list, and one that ignores reclaim
notices.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import attrs
import uuid6

from waxwingbarrow.bench._at_most_once import PromiseResult
from waxwingbarrow.bench._client import read_events
from waxwingbarrow.bench._deployment import (
    ACCOUNT_KEY,
    OPERATOR_KEY,
    DaemonPlan,
    UpstreamPlan,
)
from waxwingbarrow.bench._documents import (
    BOOKING_SERVICE,
    MODEL,
    MODEL_SERVICE,
    make_booking_document,
    make_model_document,
)
from waxwingbarrow.bench._reclaim_cases import check_reclaims
from waxwingbarrow.bench._scenario import (
    Scenario,
    Tally,
    open_scenario,
)
from waxwingbarrow.platform import EXCHANGE_ERRORS, HttpSession
from waxwingbarrow.standins import expected_text

SEED = 13
LOAD_DURATION_S = 3.0
READINESS_CHECK_INTERVAL_S = 0.2
SLOW_BOOKING_MS = 700
# Streams of 2,500 tokens take 5 s, longer than the drain timeout of 2 s.
TOKEN_COUNTS = (60, 60, 60, 400, 2_500)
# An upstream must get no new work after this time since its report as leaving.
MAX_LEAVE_DELAY_S = 3.0
ENGINES = tuple(
    UpstreamPlan(f"engine-{n}", "engine", MODEL_SERVICE, "v1", "dc-a") for n in "123456"
)
SERVICES = tuple(
    UpstreamPlan(f"rota-{n}", "service", BOOKING_SERVICE, "v1", "dc-a") for n in "12"
)
DAEMONS = (
    DaemonPlan("host-1", "dc-a"),
    DaemonPlan("host-2", "dc-a"),
    DaemonPlan("host-3", "dc-b"),
)


def run_shutdown_proof(seed: int = SEED) -> PromiseResult:
    """Count requests that a planned stop interrupts, and work for leaving upstreams."""
    tally = asyncio.run(_run(seed))
    return PromiseResult(
        tally.cases, tally.violations, tally.naive_violations, 0, tally.events
    )


async def _run(seed: int) -> Tally:
    tally = Tally()
    documents = {
        MODEL_SERVICE: make_model_document(),
        BOOKING_SERVICE: make_booking_document(),
    }
    upstreams = (*ENGINES, *SERVICES)
    async with open_scenario(upstreams, DAEMONS, documents) as scenario:
        await _check_leaving_upstreams(scenario, tally, seed)
        await _check_shutdown(scenario, tally, seed)
        await _check_naive_shutdown(scenario, tally, seed)
    await check_reclaims(tally, seed)
    return tally


async def _check_leaving_upstreams(scenario: Scenario, tally: Tally, seed: int) -> None:
    """Report engines as leaving, each through another source, under load.

    The last engine is not reported and must keep working.
    """
    deployment = scenario.deployment
    names = [plan.name for plan in ENGINES]
    by_notice, by_list, by_header, by_drain, contradicted, _ = names
    load_generator = asyncio.create_task(_send_short_prompts(scenario, seed))
    try:
        await asyncio.sleep(1.5)
        work_before = [await _read_prefilled_tokens(scenario, name) for name in names]
        leave_by_ms = int((time.time() + 60) * 1000)
        for name in (by_notice, contradicted):
            await deployment.post(
                f"{deployment.platform_url}/standin/notices",
                {"host": name, "leave_by_ms": leave_by_ms},
            )
        await deployment.set_listed_state(deployment.upstreams[by_list], "leaving")
        await scenario.set_faults(by_header, leaving=True)
        await deployment.client.post(
            f"{scenario.urls[0]}/v1/operator/upstreams/{by_drain}/drain",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        )
        await asyncio.sleep(MAX_LEAVE_DELAY_S)
        hosts = (await deployment.get(f"{deployment.platform_url}/v1/hosts"))["hosts"]
        states = {host["host"]: host["state"] for host in hosts}
        work_at_limit = [await _read_prefilled_tokens(scenario, name) for name in names]
        await asyncio.sleep(1.5)
        work_later = [await _read_prefilled_tokens(scenario, name) for name in names]
    finally:
        load_generator.cancel()
    sources = (
        "notice",
        "host list",
        "own header",
        "operator and gossip",
        "notice against the list",
    )
    for number, source in enumerate(sources):
        tally.check(f"had work before: {source}", work_before[number] > 0)
        tally.check(
            f"no new work: {source}", work_later[number] == work_at_limit[number]
        )
        tally.check_naive(f"no new work: {source}", states[names[number]] != "live")
    tally.check("the remaining engine works", work_later[-1] > work_at_limit[-1])


async def _send_short_prompts(scenario: Scenario, seed: int) -> None:
    """Send short requests to every host, from four callers for each."""

    async def send(number: int, url: str) -> None:
        caller = scenario.make_caller(seed + number, [url])
        count = 0
        while True:
            prompt = f"prompt {number}.{count}"
            await caller.generate(MODEL_SERVICE, "answer", prompt, 10)
            count += 1

    # Several requests at a time, so that routing chooses every engine.
    await asyncio.gather(
        *(send(number, url) for number, url in enumerate(scenario.urls * 4))
    )


async def _read_prefilled_tokens(scenario: Scenario, name: str) -> int:
    """Return the number of prompt tokens that an engine has processed.

    Each request adds some, so an unchanged number means that the engine got no work.
    """
    address = scenario.deployment.upstreams[name].address
    counters = await scenario.deployment.get(f"http://{address}/standin/counters")
    return int(counters["recomputed_tokens"])


@attrs.define
class _LoadResult:
    """Results of the streams and bookings that were sent during a stop.

    Parameters
    ----------
    interruptions : list of str
        Causes of the exchanges that ended without a complete and correct answer.
    streams_completed : int
        Streams with the complete and correct text.
    streams_handed_over : int
        Handovers of streams to another host.
    refused : int
        Requests refused as not run.
    booked_keys : list of str
        Idempotency keys of the bookings that were answered as completed.
    """

    interruptions: list[str] = attrs.field(factory=list)
    streams_completed: int = 0
    streams_handed_over: int = 0
    refused: int = 0
    booked_keys: list[str] = attrs.field(factory=list)


async def _check_shutdown(scenario: Scenario, tally: Tally, seed: int) -> None:
    """Stop a host with SIGTERM while streams and bookings are in flight."""
    await scenario.set_all_faults("service", slow_ms=SLOW_BOOKING_MS)
    stopped, other = DAEMONS[1].name, DAEMONS[2].name
    load_result, first_failed_check, exit_code = await _stop_under_load(
        scenario, stopped, other, seed
    )
    tally.events["streams done"] = load_result.streams_completed
    tally.events["streams handed over"] = load_result.streams_handed_over
    tally.events["bookings done"] = len(load_result.booked_keys)
    tally.events["refused as not run"] = load_result.refused
    for interruption in load_result.interruptions:
        tally.events[interruption] += 1
    tally.cases += (
        load_result.streams_completed
        + load_result.streams_handed_over
        + len(load_result.booked_keys)
    )
    tally.check("no exchange cut", not load_result.interruptions)
    tally.check("some streams handed over", load_result.streams_handed_over > 0)
    tally.check("exit code 0", exit_code == 0)
    tally.check(
        "readiness fails before the listener closes", first_failed_check == ["unready"]
    )
    runs = [
        await scenario.deployment.get(
            f"http://{scenario.deployment.upstreams[plan.name].address}/standin/runs"
        )
        for plan in SERVICES
    ]
    for key in load_result.booked_keys:
        tally.check("booked once", sum(run.get(key, 0) for run in runs) == 1)


async def _check_naive_shutdown(scenario: Scenario, tally: Tally, seed: int) -> None:
    """Kill a host under the same load."""
    load_result, _, _ = await _stop_under_load(
        scenario, DAEMONS[0].name, DAEMONS[2].name, seed, by_kill=True
    )
    tally.events["naive exchanges cut"] = len(load_result.interruptions)
    tally.check_naive("no exchange cut", not load_result.interruptions)


async def _stop_under_load(
    scenario: Scenario, stopped: str, other: str, seed: int, by_kill: bool = False
) -> tuple[_LoadResult, list[str], int]:
    """Stop a host under load, behind a load balancer that polls readiness.

    Returns
    -------
    tuple
        Results of the load, the result of the first failed readiness check (empty if
        none failed), and the exit code of the host (0 if it was killed).
    """
    urls = [scenario.deployment.daemons[name].url for name in (stopped, other)]
    ready = set(urls)
    load_result = _LoadResult()
    first_failed_check: list[str] = []
    load_ends_s = time.monotonic() + LOAD_DURATION_S

    async def watch_readiness() -> None:
        while True:
            for url in urls:
                state = await _read_readiness(url)
                if state == "ready":
                    ready.add(url)
                    continue
                ready.discard(url)
                if not first_failed_check:
                    first_failed_check.append(state)
            await asyncio.sleep(READINESS_CHECK_INTERVAL_S)

    async def load_generator(number: int, send: Callable[..., Any]) -> None:
        rng = random.Random(seed + number)
        count = 0
        while time.monotonic() < load_ends_s:
            url = rng.choice(sorted(ready))
            await send(load_result, url, urls[1], f"{stopped}-{number}.{count}", rng)
            count += 1

    readiness_task = asyncio.create_task(watch_readiness())
    load_tasks = [
        asyncio.create_task(load_generator(number, send))
        for number, send in enumerate([_send_stream_request] * 12 + [_send_booking] * 6)
    ]
    await asyncio.sleep(1.0)
    process = scenario.deployment.daemons[stopped].process
    exit_code = 0
    if by_kill:
        process.kill()
    else:
        exit_code = await asyncio.to_thread(process.terminate)
    await asyncio.gather(*load_tasks)
    readiness_task.cancel()
    return load_result, first_failed_check, exit_code


async def _read_readiness(url: str) -> str:
    """Return ``ready``, ``unready``, or ``closed`` if there was no answer."""
    try:
        async with (
            asyncio.timeout(1.0),
            HttpSession(keep_alive=False).stream("GET", f"{url}/readyz") as stream,
        ):
            return "ready" if stream.status == 200 else "unready"
    except EXCHANGE_ERRORS:
        return "closed"


async def _send_stream_request(
    load_result: _LoadResult, url: str, other: str, name: str, rng: random.Random
) -> None:
    """Read one stream to its end; after a handover, resume it on the other host."""
    count = rng.choice(TOKEN_COUNTS)
    path = f"/v1/services/{MODEL_SERVICE}/routes/answer"
    body: dict[str, Any] = {"prompt": name, "max_tokens": count}
    text = ""
    while True:
        ending = ""
        try:
            async with HttpSession(keep_alive=False).stream(
                "POST",
                url + path,
                payload=body,
                headers={"Authorization": f"Bearer {ACCOUNT_KEY}"},
            ) as stream:
                if stream.status == 503:
                    answer = (await stream.read_response()).read_json_object() or {}
                    is_not_run = answer.get("outcome") == "not_run"
                    load_result.refused += is_not_run
                    ending = "" if is_not_run else f"cut: {answer.get('detail')}"
                    if is_not_run:
                        return
                async for event in read_events(stream):
                    if event.name == "token":
                        text += event.data["text"]
                    elif event.name in ("done", "handover", "problem"):
                        ending = event.name
                        break
        except EXCHANGE_ERRORS as error:
            ending = f"cut: {type(error).__name__}"
        if ending == "done" and text == expected_text(MODEL, name, count):
            load_result.streams_completed += 1
            return
        if ending != "handover":
            load_result.interruptions.append(ending or "cut: no last event")
            return
        load_result.streams_handed_over += 1
        path, url = "/v1/streams/resume", other
        body = {
            "token": event.data["token"],
            "from_index": event.data["from_index"],
            "prompt": name,
            "text": text,
        }


async def _send_booking(
    load_result: _LoadResult, url: str, _: str, name: str, rng: random.Random
) -> None:
    """Send one booking without retries; any answer must tell its outcome."""
    key = str(uuid6.uuid7())
    headers = {
        "Authorization": f"Bearer {ACCOUNT_KEY}",
        "Idempotency-Key": key,
        "Idempotency-Attempt": "1",
        "Request-Id": key,
    }
    try:
        async with HttpSession(keep_alive=False).stream(
            "POST",
            f"{url}/v1/services/{BOOKING_SERVICE}/routes/book-assignment",
            payload={"driver": name, "road": str(rng.random())},
            headers=headers,
        ) as stream:
            answer = (await stream.read_response()).read_json_object() or {}
            if stream.status == 200:
                load_result.booked_keys.append(key)
            elif answer.get("outcome") == "not_run":
                load_result.refused += 1
            else:
                load_result.interruptions.append(f"booking: {answer.get('detail')}")
    except EXCHANGE_ERRORS as error:
        load_result.interruptions.append(f"booking cut: {type(error).__name__}")
