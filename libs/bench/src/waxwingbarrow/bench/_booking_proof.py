"""Proof that bookings run at most once while the log, services and daemons fail.

Daemons, services and the platform stand-in are real processes. The same callers also
send bookings through naive entry hosts under some of the service faults. A naive host
remembers keys in its own memory only and reports a failure of the upstream as "not
run". It must violate the promise, which shows that the faults expose violations.
"""

import asyncio
import random
import tempfile
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from result import Err

from waxwingbarrow.bench._booking_callers import (
    CALL_TIMEOUT_MS,
    ROUTE,
    CallerHistory,
    NaiveHost,
    Reply,
    is_violation,
    send_booking,
)
from waxwingbarrow.bench._deployment import (
    ACCOUNT_KEY,
    OPERATOR_KEY,
    DaemonPlan,
    Deployment,
    RunningUpstream,
    UpstreamPlan,
)
from waxwingbarrow.bench._documents import BOOKING_SERVICE, make_booking_document
from waxwingbarrow.bench._results import PromiseResult
from waxwingbarrow.platform import HttpSession

CRASH_EXIT_CODE = 70
APPEND_TIMEOUT_MS = 1_000
# Longer than every timeout of the daemons, so that all of them have expired when a
# paused daemon resumes.
PAUSE_S = 3.0
# Lets late requests finish at the services before their runs are counted.
SETTLE_S = 2.0
SETTINGS = {
    "log_append_timeout_ms": APPEND_TIMEOUT_MS,
    "call_timeout_ms": CALL_TIMEOUT_MS,
    "connect_timeout_ms": 200,
    "log_poll_ms": 500,
    "readiness_grace_ms": 0,
}
DAEMONS = (
    DaemonPlan("host-a1", "dc-a"),
    DaemonPlan("host-a2", "dc-a"),
    DaemonPlan("host-b1", "dc-b"),
)
SERVICES = (("rota-a1", "dc-a"), ("rota-a2", "dc-a"), ("rota-b1", "dc-b"))
PLATFORM_FAULTS: Mapping[str, Mapping[str, Any]] = {
    "append refused": {"refuse": True, "operations": ["append"]},
    "append failed unclearly": {"fail_unclear": True, "operations": ["append"]},
    "append broken": {"break_before": True, "operations": ["append"]},
    "append slow": {"slow_ms": 400, "operations": ["append"]},
    "append later than its timeout": {"slow_ms": 1_300, "operations": ["append"]},
    "append answer lost": {"lose_answers": 4},
    "append answer hanging": {"lose_answers": 2, "lose_by_hanging": True},
    "append stored twice": {"append_twice": 20},
    "entries replayed": {"replay_entries": 20},
    "read refused": {"refuse": True, "operations": ["read"]},
    "host cut off": {"cut_callers": ["host-b1"]},
}
SERVICE_FAULTS: Mapping[str, Mapping[str, Any]] = {
    "answer lost": {"lose_answers": 2},
    "answer hanging": {"lose_answers": 2, "lose_by_hanging": True},
    "answer late": {"late_ms": CALL_TIMEOUT_MS + 400},
    "run late": {"slow_ms": CALL_TIMEOUT_MS + 400},
    "failed after all": {"fail_status": 503},
}
NAIVE_FAULTS = ("answer lost", "answer late")
KILL_DELAYS_S = (0.0, 0.02, 0.1, 0.25)
PAUSE_DELAYS_S = (0.0, 0.02, 0.1)


class BookingProof:
    """Deployment, callers, faults and counts of one proof run."""

    def __init__(self, directory: Path, rng: random.Random) -> None:
        self.deployment = Deployment(directory, SETTINGS)
        self.rng = rng
        self.session = HttpSession(keep_alive=False)
        self.history: list[CallerHistory] = []
        self.naive_history: list[CallerHistory] = []
        self.exited_runs: Counter[str] = Counter()
        self.events: Counter[str] = Counter()

    # Starting processes and setting their faults.

    async def start(self) -> None:
        """Start all processes and publish the service document."""
        await self.deployment.start_platform()
        for name, data_centre in SERVICES:
            await self.start_service(name, data_centre)
        for plan in DAEMONS:
            await self.deployment.start_daemon(plan)
        await self.deployment.wait_ready()
        url = self.deployment.daemons[DAEMONS[0].name].url
        published = await self.session.request(
            "PUT",
            f"{url}/v1/operator/documents/{BOOKING_SERVICE}",
            body=make_booking_document().encode(),
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            timeout_ms=5_000,
        )
        assert published.unwrap().status == 200, published
        await asyncio.sleep(1.0)

    async def start_service(self, name: str, data_centre: str) -> None:
        """Start a plain service and add it to the host list."""
        await self.deployment.start_upstream(
            UpstreamPlan(name, "service", BOOKING_SERVICE, "v1", data_centre)
        )

    async def restart_daemon(self, plan: DaemonPlan) -> None:
        """Start a killed daemon again, as a new process on new ports."""
        self.deployment.daemons.pop(plan.name)
        await self.deployment.start_daemon(plan)
        await self.deployment.wait_ready([plan.name])

    @property
    def services(self) -> list[RunningUpstream]:
        """Services whose processes have not exited."""
        return [
            running
            for running in self.deployment.upstreams.values()
            if running.process.process.poll() is None
        ]

    async def set_platform_faults(self, faults: Mapping[str, Any]) -> None:
        """Replace the faults of the platform stand-in."""
        await self.call_standin(
            f"{self.deployment.platform_url}/standin/faults", faults
        )

    async def set_service_faults(self, faults: Mapping[str, Any]) -> None:
        """Replace the faults of every running service."""
        for running in self.services:
            await self.call_standin(f"http://{running.address}/standin/faults", faults)

    async def call_standin(self, url: str, data: Mapping[str, Any] | None) -> Any:
        """Send data to a stand-in with POST; without data, read from it with GET."""
        method = "GET" if data is None else "POST"
        sent = await self.session.request(method, url, payload=data, timeout_ms=3_000)
        return sent.unwrap().read_json_object()

    async def read_runs(self, running: RunningUpstream) -> dict[str, int]:
        """Return how often each request id ran at one service."""
        runs: dict[str, int] = await self.call_standin(
            f"http://{running.address}/standin/runs", None
        )
        return runs

    async def count_runs(self) -> Counter[str]:
        """Return how often each request id ran, including at exited services."""
        runs = Counter(self.exited_runs)
        for running in self.services:
            runs.update(await self.read_runs(running))
        return runs

    # Sending bookings.

    async def post(
        self, host: int, key: str, number: int, body: bytes, timeout_ms: int
    ) -> Reply:
        """Send one attempt to a daemon."""
        daemon = self.deployment.daemons[DAEMONS[host].name]
        sent = await self.session.request(
            "POST",
            f"{daemon.url}/v1/services/{BOOKING_SERVICE}/routes/{ROUTE}",
            body=body,
            headers={
                "Authorization": f"Bearer {ACCOUNT_KEY}",
                "Content-Type": "application/json",
                "Idempotency-Key": key,
                "Idempotency-Attempt": str(number),
                "Request-Id": key,
                "Deadline-Ms": "2500",
            },
            timeout_ms=timeout_ms,
        )
        if isinstance(sent, Err):
            return None
        return sent.ok_value.status, sent.ok_value.read_json_object() or {}

    async def send_bookings(
        self, count: int, hosts: Sequence[int] = (), marker: str = ""
    ) -> None:
        """Send bookings concurrently and keep the outcomes that callers received."""
        body = {"driver": f"driver {marker}"}
        self.history += await asyncio.gather(
            *(send_booking(self.post, hosts, body, self.rng) for _ in range(count))
        )

    # Phases of the proof.

    async def run_platform_faults(self) -> None:
        """Send bookings under each log fault, removed while callers still resend."""
        for name, faults in PLATFORM_FAULTS.items():
            await self.set_platform_faults(faults)
            booking = asyncio.create_task(self.send_bookings(6))
            await asyncio.sleep(1.0)
            await self.set_platform_faults({})
            await booking
            self.events[name] += 1

    async def run_service_faults(self) -> None:
        """Send bookings under each service fault."""
        for name, faults in SERVICE_FAULTS.items():
            await self.set_service_faults(faults)
            await self.send_bookings(6)
            await self.set_service_faults({})
            self.events[name] += 1

    async def run_crashes(self) -> None:
        """Let every service that receives a marked booking exit before or after it ran.

        The runs of an exited process cannot be read, so they are read beforehand. A
        process that exits after the run adds one run of the marked booking.
        """
        for moment in ("crash_before_run", "crash_after_run"):
            await asyncio.sleep(CALL_TIMEOUT_MS / 1000)
            running_before = self.services
            runs_before = {
                running.plan.name: await self.read_runs(running)
                for running in running_before
            }
            await self.set_service_faults({moment: True, "crash_marker": moment})
            await self.send_bookings(1, marker=moment)
            await asyncio.sleep(0.2)
            for running in running_before:
                if running.process.process.poll() is None:
                    continue
                assert running.process.process.returncode == CRASH_EXIT_CODE
                self.events[moment] += 1
                self.exited_runs.update(runs_before[running.plan.name])
                self.exited_runs[self.history[-1].key] += moment == "crash_after_run"
                name = f"{running.plan.name}-{moment}"
                await self.start_service(name, running.plan.data_centre)
            await self.set_service_faults({})

    async def run_kills(self) -> None:
        """Kill a daemon at several delays after bookings start, then restart it."""
        for delay_s in KILL_DELAYS_S:
            await self.set_service_faults({"slow_ms": 100})
            booking = asyncio.create_task(self.send_bookings(6, hosts=(1,)))
            await asyncio.sleep(delay_s)
            self.deployment.daemons[DAEMONS[1].name].process.kill()
            self.events["daemon killed"] += 1
            await booking
            await self.restart_daemon(DAEMONS[1])
        await self.set_service_faults({})

    async def run_pauses(self) -> None:
        """Pause a daemon for `PAUSE_S` while callers resend to other hosts."""
        for delay_s in PAUSE_DELAYS_S:
            await self.set_service_faults({"slow_ms": 60})
            booking = asyncio.create_task(self.send_bookings(6, hosts=(0, 1, 2)))
            await asyncio.sleep(delay_s)
            process = self.deployment.daemons[DAEMONS[0].name].process
            process.pause()
            try:
                await asyncio.sleep(PAUSE_S)
            finally:
                process.resume()
            self.events["daemon paused"] += 1
            await booking
        await self.set_service_faults({})

    async def run_naive(self) -> None:
        """Send bookings through naive hosts under the faults in `NAIVE_FAULTS`."""
        addresses = [running.address for running in self.services]
        hosts = [NaiveHost(addresses, self.rng) for _ in DAEMONS]

        async def post(
            host: int, key: str, _: int, body: bytes, timeout_ms: int
        ) -> Reply:
            try:
                async with asyncio.timeout(timeout_ms / 1000):
                    return await hosts[host].serve(key, body)
            except TimeoutError:
                return None

        for name in NAIVE_FAULTS:
            await self.set_service_faults(SERVICE_FAULTS[name])
            self.naive_history += await asyncio.gather(
                *(
                    send_booking(post, (), {"driver": "naive"}, self.rng)
                    for _ in range(6)
                )
            )
        await self.set_service_faults({})

    async def evaluate(self) -> PromiseResult:
        """Compare the outcomes that callers received with the runs at the services."""
        await asyncio.sleep(SETTLE_S)
        runs = await self.count_runs()
        for history in self.history:
            self.events[f"ended {history.outcomes[-1]}"] += 1
            self.events["attempts"] += len(history.outcomes)
            self.events["runs"] += runs[history.key]
        naive_runs = [runs[history.key] for history in self.naive_history]
        naive_false_refused = [
            history.not_run > 0 and count > 0
            for history, count in zip(self.naive_history, naive_runs, strict=True)
        ]
        return PromiseResult(
            cases=len(self.history),
            violations=sum(is_violation(t, runs[t.key]) for t in self.history),
            naive_violations=sum(count > 1 for count in naive_runs),
            naive_false_refusals=sum(naive_false_refused),
            events=dict(self.events),
        )


async def run_in(directory: Path, seed: int) -> PromiseResult:
    """Run all phases; settings and output of the processes go to `directory`."""
    proof = BookingProof(directory, random.Random(seed))
    try:
        await proof.start()
        await proof.send_bookings(10)
        await proof.run_platform_faults()
        await proof.run_service_faults()
        await proof.run_crashes()
        await proof.run_kills()
        await proof.run_pauses()
        await proof.run_naive()
        return await proof.evaluate()
    finally:
        proof.deployment.stop()


def run_booking_proof(seed: int = 1) -> PromiseResult:
    """Count bookings that ran twice or whose caller received a false outcome.

    Parameters
    ----------
    seed : int
        Seed of the random choices of callers; process timing is not reproducible.

    Returns
    -------
    PromiseResult
        Cases are bookings.
    """
    with tempfile.TemporaryDirectory(prefix="waxwingbarrow-") as directory:
        return asyncio.run(run_in(Path(directory), seed))
