"""Demonstration: three daemons serve requests while a daemon and an engine are killed.

At the end, what the callers received is compared with what the upstreams ran.
"""

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
# Slow enough that streams are open when the daemon and the engine are killed.
DECODE_OPTIONS = ("--decode_tokens_per_s", "100")
CALLER_DEADLINE_S = 12.0
UPSTREAMS = (
    UpstreamPlan("engine-a1", "engine", MODEL_SERVICE, "v1", "dc-a", DECODE_OPTIONS),
    UpstreamPlan("engine-a2", "engine", MODEL_SERVICE, "v1", "dc-a", DECODE_OPTIONS),
    UpstreamPlan("engine-b1", "engine", MODEL_SERVICE, "v1", "dc-b", DECODE_OPTIONS),
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
class DemoResult:
    """Counts over all requests of the run.

    Parameters
    ----------
    complete : int
        Requests with a complete and correct answer.
    refused : int
        Bookings without an answer.
    unknown : int
        Refused bookings whose outcome the caller does not know.
    lost : int
        Model requests without the complete and correct text, and bookings that were
        answered as completed but never ran.
    doubled : int
        Bookings that ran more than once.
    false_refusals : int
        Refusals that said "not run" although the request ran.
    resumes : int
        Number of times that callers resumed a stream.
    reasons : Counter
        Bookings by the detail of their last refusal.
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
    def has_passed(self) -> bool:
        """Whether nothing was lost or ran twice and no refusal was false."""
        return not (self.lost or self.doubled or self.false_refusals)


async def run_demo(directory: Path) -> DemoResult:
    """Start all processes, send requests while two are killed, count the results."""
    deployment = Deployment(directory)
    try:
        await start_all(deployment)
        await publish_documents(deployment)
        prompts = make_prompts()
        answers, bookings = await send_all(deployment, prompts)
        runs = await count_runs(deployment)
        await show_status(deployment)
        return evaluate_results(prompts, answers, bookings, runs)
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
    """Publish both documents with the command line and wait for every daemon."""
    documents = {
        MODEL_SERVICE: make_model_document(),
        BOOKING_SERVICE: make_booking_document(),
    }
    for service, text in documents.items():
        path = deployment.directory / f"{service}.json"
        path.write_text(text)
        await run_cli(
            deployment, "publish", str(path), "--host", get_first_daemon_url(deployment)
        )
    for daemon in deployment.daemons.values():
        while True:
            status = await deployment.get(
                f"{daemon.url}/v1/operator/status", OPERATOR_KEY
            )
            if len(status["services"]) == len(documents):
                break
            await asyncio.sleep(0.05)


async def run_cli(deployment: Deployment, *arguments: str) -> int:
    """Run the operator's command line; its output goes to this process's output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "waxwingbarrow.cli",
        *arguments,
        env=deployment.make_cli_environment(OPERATOR_KEY),
    )
    return await process.wait()


def get_first_daemon_url(deployment: Deployment) -> str:
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

    model_requests = [ask(number, prompt) for number, prompt in enumerate(prompts)]
    booking = [book(number) for number in range(BOOKINGS)]
    kill_task = asyncio.create_task(kill_processes(deployment))
    results = await asyncio.gather(*model_requests, *booking)
    await kill_task
    answers = [item for item in results if isinstance(item, ModelResult)]
    bookings = [item for item in results if isinstance(item, BookingResult)]
    return answers, bookings


async def kill_processes(deployment: Deployment) -> None:
    """Kill one engine and one daemon while requests run."""
    await asyncio.sleep(1.0)
    print(f"demo: killing {KILLED_ENGINE}", flush=True)
    deployment.upstreams[KILLED_ENGINE].process.kill()
    await asyncio.sleep(0.7)
    print(f"demo: killing {KILLED_DAEMON}", flush=True)
    deployment.daemons[KILLED_DAEMON].process.kill()


async def count_runs(deployment: Deployment) -> dict[str, int]:
    """Return how often each booking ran, by its request id."""
    runs: dict[str, int] = {}
    for upstream in deployment.upstreams.values():
        if upstream.plan.kind == "service":
            upstream_runs = await deployment.get(
                f"http://{upstream.address}/standin/runs"
            )
            for key, count in upstream_runs.items():
                runs[key] = runs.get(key, 0) + count
    return runs


async def show_status(deployment: Deployment) -> None:
    """Print the status of the first daemon as operators see it."""
    await run_cli(deployment, "status", "--host", get_first_daemon_url(deployment))


def evaluate_results(
    prompts: list[str],
    answers: list[ModelResult],
    bookings: list[BookingResult],
    runs: dict[str, int],
) -> DemoResult:
    """Compare what callers received with how often each booking ran."""
    result = DemoResult(requests=len(answers) + len(bookings))
    for prompt, answer in zip(prompts, answers, strict=True):
        result.resumes += answer.resumes
        if answer.complete and answer.text == expected_text(MODEL, prompt, MAX_TOKENS):
            result.complete += 1
        else:
            result.lost += 1
    for booking in bookings:
        run_count = runs.get(booking.request_id, 0)
        result.doubled += run_count > 1
        if booking.refusal is not None:
            result.reasons[booking.refusal.get("detail", "")] += 1
        match booking.outcome:
            case "completed" if run_count == 0:
                result.lost += 1
            case "completed":
                result.complete += 1
            case "not_run":
                result.refused += 1
                result.false_refusals += run_count > 0
            case _:
                result.refused += 1
                result.unknown += 1
    return result


def main() -> None:
    """Run the demonstration; exit with 0 if `DemoResult.has_passed`, with 1 if not."""
    with tempfile.TemporaryDirectory(prefix="waxwingbarrow-") as directory:
        result = asyncio.run(run_demo(Path(directory)))
    print(
        f"demo: {result.resumes} streams resumed, {result.unknown} outcomes unknown, "
        f"{result.false_refusals} false refusals"
    )
    for reason, count in result.reasons.items():
        print(f"demo: {count} refused: {reason}")
    print(
        f"demo: {result.requests} requests, {result.complete} complete, "
        f"{result.refused} refused, {result.lost} lost, {result.doubled} doubled"
    )
    sys.exit(0 if result.has_passed else 1)
