"""Proof that planned stops and reclaims cut no request.

The naive versions are a host that stops at once, a router that goes by the platform's
host list alone, and one that ignores reclaim notices.
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
LOAD_S = 3.0
BALANCER_CHECK_S = 0.2
SLOW_BOOKING_MS = 700
# The long ones, of 5 s, last longer than the drain.
TOKEN_COUNTS = (60, 60, 60, 400, 2_500)
LEAVE_LIMIT_S = 3.0
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
    """Count requests that a planned stop cut, and work sent to leaving upstreams."""
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
        await _check_leaving(scenario, tally, seed)
        await _check_shutdown(scenario, tally, seed)
        await _check_naive_shutdown(scenario, tally, seed)
    await check_reclaims(tally, seed)
    return tally


# Leaving upstreams.


async def _check_leaving(scenario: Scenario, tally: Tally, seed: int) -> None:
    """Report engines as leaving, each in another way, under load from all hosts."""
    deployment = scenario.deployment
    names = [plan.name for plan in ENGINES]
    by_notice, by_list, by_header, by_drain, contradicted, _ = names
    load = asyncio.create_task(_send_prompts(scenario, seed))
    try:
        await asyncio.sleep(1.5)
        worked = [await _read_work(scenario, name) for name in names]
        leave_by_ms = int((time.time() + 60) * 1000)
        for name in (by_notice, contradicted):
            await deployment.post(
                f"{deployment.platform_url}/standin/notices",
                {"host": name, "leave_by_ms": leave_by_ms},
            )
        await deployment.list_upstream(deployment.upstreams[by_list], "leaving")
        await scenario.set_faults(by_header, leaving=True)
        await deployment.client.post(
            f"{scenario.urls[0]}/v1/operator/upstreams/{by_drain}/drain",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        )
        await asyncio.sleep(LEAVE_LIMIT_S)
        hosts = (await deployment.get(f"{deployment.platform_url}/v1/hosts"))["hosts"]
        states = {host["host"]: host["state"] for host in hosts}
        at_limit = [await _read_work(scenario, name) for name in names]
        await asyncio.sleep(1.5)
        later = [await _read_work(scenario, name) for name in names]
    finally:
        load.cancel()
    sources = (
        "notice",
        "host list",
        "own header",
        "operator and gossip",
        "notice against the list",
    )
    for number, source in enumerate(sources):
        tally.check(f"had work before: {source}", worked[number] > 0)
        tally.check(f"no new work: {source}", later[number] == at_limit[number])
        tally.check_naive(f"no new work: {source}", states[names[number]] != "live")
    tally.check("the remaining engine works", later[-1] > at_limit[-1])


async def _send_prompts(scenario: Scenario, seed: int) -> None:
    """Send short requests to every host, one after another on each."""

    async def send(number: int, url: str) -> None:
        caller = scenario.make_caller(seed + number, [url])
        count = 0
        while True:
            prompt = f"prompt {number}.{count}"
            await caller.generate(MODEL_SERVICE, "answer", prompt, 10)
            count += 1

    # Several at a time, so that every engine is chosen.
    await asyncio.gather(
        *(send(number, url) for number, url in enumerate(scenario.urls * 4))
    )


async def _read_work(scenario: Scenario, name: str) -> int:
    """Return the prompt tokens that an engine has processed; each request adds some."""
    address = scenario.deployment.upstreams[name].address
    counters = await scenario.deployment.get(f"http://{address}/standin/counters")
    return int(counters["recomputed_tokens"])


# Shutdown of a host.


@attrs.define
class _Exchanges:
    """Exchanges with hosts and what the balancer saw.

    Parameters
    ----------
    cut : list of str
        Exchanges that ended without an answer.
    """

    cut: list[str] = attrs.field(factory=list)
    done: int = 0
    handed_over: int = 0
    refused: int = 0
    booked: list[str] = attrs.field(factory=list)


async def _check_shutdown(scenario: Scenario, tally: Tally, seed: int) -> None:
    """Stop a host under load with streams and bookings in flight."""
    await scenario.set_all_faults("service", slow_ms=SLOW_BOOKING_MS)
    stopped, other = DAEMONS[1].name, DAEMONS[2].name
    exchanges, watch, code = await _stop_under_load(scenario, stopped, other, seed)
    tally.events["streams done"] = exchanges.done
    tally.events["streams handed over"] = exchanges.handed_over
    tally.events["bookings done"] = len(exchanges.booked)
    tally.events["refused as not run"] = exchanges.refused
    for exchange in exchanges.cut:
        tally.events[exchange] += 1
    tally.cases += exchanges.done + exchanges.handed_over + len(exchanges.booked)
    tally.check("no exchange cut", not exchanges.cut)
    tally.check("some streams handed over", exchanges.handed_over > 0)
    tally.check("exit code 0", code == 0)
    tally.check("readiness fails before the listener closes", watch == ["unready"])
    runs = [
        await scenario.deployment.get(
            f"http://{scenario.deployment.upstreams[plan.name].address}/standin/runs"
        )
        for plan in SERVICES
    ]
    for key in exchanges.booked:
        tally.check("booked once", sum(run.get(key, 0) for run in runs) == 1)


async def _check_naive_shutdown(scenario: Scenario, tally: Tally, seed: int) -> None:
    """Stop a host at once under the same load."""
    exchanges, _, _ = await _stop_under_load(
        scenario, DAEMONS[0].name, DAEMONS[2].name, seed, at_once=True
    )
    tally.events["naive exchanges cut"] = len(exchanges.cut)
    tally.check_naive("no exchange cut", not exchanges.cut)


async def _stop_under_load(
    scenario: Scenario, stopped: str, other: str, seed: int, at_once: bool = False
) -> tuple[_Exchanges, list[str], int]:
    """Stop a host, with a balancer that checks readiness now and then."""
    urls = [scenario.deployment.daemons[name].url for name in (stopped, other)]
    ready = set(urls)
    exchanges = _Exchanges()
    watch: list[str] = []
    stop_at = time.monotonic() + LOAD_S

    async def balance() -> None:
        while True:
            for url in urls:
                state = await _read_readiness(url)
                if state == "ready":
                    ready.add(url)
                    continue
                ready.discard(url)
                if not watch:
                    watch.append(state)
            await asyncio.sleep(BALANCER_CHECK_S)

    async def load(number: int, send: Callable[..., Any]) -> None:
        rng = random.Random(seed + number)
        count = 0
        while time.monotonic() < stop_at:
            url = rng.choice(sorted(ready))
            await send(exchanges, url, urls[1], f"{stopped}-{number}.{count}", rng)
            count += 1

    balancer = asyncio.create_task(balance())
    loads = [
        asyncio.create_task(load(number, send))
        for number, send in enumerate([_stream] * 12 + [_book] * 6)
    ]
    await asyncio.sleep(1.0)
    process = scenario.deployment.daemons[stopped].process
    code = 0
    if at_once:
        process.kill()
    else:
        code = await asyncio.to_thread(process.terminate)
    await asyncio.gather(*loads)
    balancer.cancel()
    return exchanges, watch, code


async def _read_readiness(url: str) -> str:
    try:
        async with (
            asyncio.timeout(1.0),
            HttpSession(keep_alive=False).stream("GET", f"{url}/readyz") as stream,
        ):
            return "ready" if stream.status == 200 else "unready"
    except EXCHANGE_ERRORS:
        return "closed"


async def _stream(
    exchanges: _Exchanges, url: str, other: str, name: str, rng: random.Random
) -> None:
    """Follow one stream; one that is handed over continues on the other host."""
    count = rng.choice(TOKEN_COUNTS)
    path = f"/v1/services/{MODEL_SERVICE}/routes/answer"
    body: dict[str, Any] = {"prompt": name, "max_tokens": count}
    text = ""
    while True:
        end = ""
        try:
            async with HttpSession(keep_alive=False).stream(
                "POST",
                url + path,
                payload=body,
                headers={"Authorization": f"Bearer {ACCOUNT_KEY}"},
            ) as stream:
                if stream.status == 503:
                    answer = (await stream.read_response()).read_json_object() or {}
                    is_true = answer.get("outcome") == "not_run"
                    exchanges.refused += is_true
                    end = "" if is_true else f"cut: {answer.get('detail')}"
                    if is_true:
                        return
                async for event in read_events(stream):
                    if event.name == "token":
                        text += event.data["text"]
                    elif event.name in ("done", "handover", "problem"):
                        end = event.name
                        break
        except EXCHANGE_ERRORS as error:
            end = f"cut: {type(error).__name__}"
        if end == "done" and text == expected_text(MODEL, name, count):
            exchanges.done += 1
            return
        if end != "handover":
            exchanges.cut.append(end or "cut: no last event")
            return
        exchanges.handed_over += 1
        path, url = "/v1/streams/resume", other
        body = {
            "token": event.data["token"],
            "from_index": event.data["from_index"],
            "prompt": name,
            "text": text,
        }


async def _book(
    exchanges: _Exchanges, url: str, _: str, name: str, rng: random.Random
) -> None:
    """Send one booking; its only answer must be its outcome."""
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
                exchanges.booked.append(key)
            elif answer.get("outcome") == "not_run":
                exchanges.refused += 1
            else:
                exchanges.cut.append(f"booking: {answer.get('detail')}")
    except EXCHANGE_ERRORS as error:
        exchanges.cut.append(f"booking cut: {type(error).__name__}")
