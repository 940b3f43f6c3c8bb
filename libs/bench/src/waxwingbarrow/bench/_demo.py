"""Demonstration: three daemons, failures during the run, and a count of results."""

import asyncio
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path

import attrs

from waxwingbarrow.bench._client import BookingResult, Caller, ModelResult
from waxwingbarrow.bench._deployment import (
    ACCOUNT_KEY,
    OPERATOR_KEY,
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
from waxwingbarrow.standins import expected_text

SEED = 7
MODEL_REQUESTS = 60
BOOKINGS = 60
MAX_TOKENS = 100
# Slow enough that streams are open when a host or an engine is killed.
DECODE = ("--decode_tokens_per_s", "100")
CALLER_DEADLINE_S = 12.0
UPSTREAMS = (
    UpstreamPlan("engine-a1", "engine", MODEL_SERVICE, "v1", "dc-a", DECODE),
    UpstreamPlan("engine-a2", "engine", MODEL_SERVICE, "v1", "dc-a", DECODE),
    UpstreamPlan("engine-b1", "engine", MODEL_SERVICE, "v1", "dc-b", DECODE),
    UpstreamPlan("rota-a1", "service", BOOKING_SERVICE, "v1", "dc-a"),
    UpstreamPlan("rota-b1", "service", BOOKING_SERVICE, "v1", "dc-b"),
)
DAEMONS = (
    DaemonPlan("host-a1", "dc-a"),
    DaemonPlan("host-a2", "dc-a"),
    DaemonPlan("host-b1", "dc-b"),
)
KILLED_DAEMON = "host-a2"
KILLED_ENGINE = "engine-a2"


@attrs.define
class Tally:
    """Results of the run.

    Parameters
    ----------
    false_refusals : int
        Refusals that said "not run" although the request ran.
    """

    requests: int = 0
    complete: int = 0
    refused: int = 0
    unknown: int = 0
    lost: int = 0
    doubled: int = 0
    false_refusals: int = 0
    resumes: int = 0
    reasons: Counter[str] = attrs.field(factory=Counter)

    @property
    def is_good(self) -> bool:
        """Whether nothing was lost or doubled and every refusal was true."""
        return not (self.lost or self.doubled or self.false_refusals)


async def run_demo(directory: Path) -> Tally:
    """Start everything, send requests while parts fail, and count the results."""
    deployment = Deployment(directory)
    try:
        await start_all(deployment)
        await publish_documents(deployment)
        prompts = make_prompts()
        answers, bookings = await send_all(deployment, prompts)
        runs = await count_runs(deployment)
        await show_status(deployment)
        return judge(prompts, answers, bookings, runs)
    finally:
        deployment.stop()


async def start_all(deployment: Deployment) -> None:
    """Start the platform, the upstreams and the daemons."""
    print("demo: starting the platform, 5 upstreams and 3 daemons", flush=True)
    await deployment.start_platform()
    await asyncio.gather(*(deployment.start_upstream(plan) for plan in UPSTREAMS))
    for plan in DAEMONS:
        await deployment.start_daemon(plan)
    await deployment.wait_ready()


async def publish_documents(deployment: Deployment) -> None:
    """Publish both documents with the command line and wait until they are known."""
    documents = {
        MODEL_SERVICE: make_model_document(),
        BOOKING_SERVICE: make_booking_document(),
    }
    for service, text in documents.items():
        path = deployment.directory / f"{service}.json"
        path.write_text(text)
        await run_cli(deployment, "publish", str(path), "--host", first_url(deployment))
    for daemon in deployment.daemons.values():
        while True:
            status = await deployment.get(
                f"{daemon.url}/v1/operator/status", OPERATOR_KEY
            )
            if len(status["services"]) == len(documents):
                break
            await asyncio.sleep(0.05)


async def run_cli(deployment: Deployment, *arguments: str) -> int:
    """Run the operator's command line as a process and show its output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "waxwingbarrow.cli",
        *arguments,
        env=deployment.make_environment(OPERATOR_KEY),
    )
    return await process.wait()


def first_url(deployment: Deployment) -> str:
    """Return the URL of the first daemon."""
    return deployment.daemons[DAEMONS[0].name].url


def make_prompts() -> list[str]:
    """Return prompts that share long prefixes, as tank journals do."""
    rng = random.Random(SEED)
    journals = [f"journal {n}: " + "water test, " * 40 for n in range(6)]
    return [f"{rng.choice(journals)} question {n}" for n in range(MODEL_REQUESTS)]


async def send_all(
    deployment: Deployment, prompts: list[str]
) -> tuple[list[ModelResult], list[BookingResult]]:
    """Send model requests and bookings while a daemon and an engine are killed."""
    urls = [daemon.url for daemon in deployment.daemons.values()]
    caller = Caller(urls, ACCOUNT_KEY, random.Random(SEED), CALLER_DEADLINE_S)

    async def ask(number: int, prompt: str) -> ModelResult:
        await asyncio.sleep(number * 0.05)
        return await caller.generate(MODEL_SERVICE, "answer", prompt, MAX_TOKENS)

    async def book(number: int) -> BookingResult:
        await asyncio.sleep(number * 0.05)
        body = {"driver": f"driver-{number}", "road": f"road-{number}"}
        return await caller.book(BOOKING_SERVICE, "book-assignment", body)

    asking = [ask(number, prompt) for number, prompt in enumerate(prompts)]
    booking = [book(number) for number in range(BOOKINGS)]
    failing = asyncio.create_task(cause_failures(deployment))
    results = await asyncio.gather(*asking, *booking)
    await failing
    answers = [item for item in results if isinstance(item, ModelResult)]
    bookings = [item for item in results if isinstance(item, BookingResult)]
    return answers, bookings


async def cause_failures(deployment: Deployment) -> None:
    """Kill one daemon and one engine while requests run."""
    await asyncio.sleep(1.0)
    print(f"demo: killing {KILLED_ENGINE}", flush=True)
    deployment.upstreams[KILLED_ENGINE].process.kill()
    await asyncio.sleep(0.7)
    print(f"demo: killing {KILLED_DAEMON}", flush=True)
    deployment.daemons[KILLED_DAEMON].process.kill()


async def count_runs(deployment: Deployment) -> dict[str, int]:
    """Return how often each booking ran, by its content."""
    runs: dict[str, int] = {}
    for upstream in deployment.upstreams.values():
        if upstream.plan.kind == "service":
            counted = await deployment.get(f"http://{upstream.address}/standin/runs")
            for key, count in counted.items():
                runs[key] = runs.get(key, 0) + count
    return runs


async def show_status(deployment: Deployment) -> None:
    """Print what an operator sees."""
    await run_cli(deployment, "status", "--host", first_url(deployment))


def judge(
    prompts: list[str],
    answers: list[ModelResult],
    bookings: list[BookingResult],
    runs: dict[str, int],
) -> Tally:
    """Compare what callers got with what ran."""
    tally = Tally(requests=len(answers) + len(bookings))
    for prompt, answer in zip(prompts, answers, strict=True):
        tally.resumes += answer.resumes
        if answer.complete and answer.text == expected_text(MODEL, prompt, MAX_TOKENS):
            tally.complete += 1
        else:
            tally.lost += 1
    for booking in bookings:
        ran = runs.get(booking.request_id, 0)
        tally.doubled += ran > 1
        if booking.refusal is not None:
            tally.reasons[booking.refusal.get("detail", "")] += 1
        match booking.outcome:
            case "completed" if ran == 0:
                tally.lost += 1
            case "completed":
                tally.complete += 1
            case "not_run":
                tally.refused += 1
                tally.false_refusals += ran > 0
            case _:
                tally.refused += 1
                tally.unknown += 1
    return tally


def main() -> None:
    """Run the demonstration and exit with 0 if nothing was lost or doubled."""
    with tempfile.TemporaryDirectory(prefix="waxwingbarrow-") as directory:
        tally = asyncio.run(run_demo(Path(directory)))
    print(
        f"demo: {tally.resumes} streams resumed, {tally.unknown} outcomes unknown, "
        f"{tally.false_refusals} false refusals"
    )
    for reason, count in tally.reasons.items():
        print(f"demo: {count} refused: {reason}")
    print(
        f"demo: {tally.requests} requests, {tally.complete} complete, "
        f"{tally.refused} refused, {tally.lost} lost, {tally.doubled} doubled"
    )
    sys.exit(0 if tally.is_good else 1)
