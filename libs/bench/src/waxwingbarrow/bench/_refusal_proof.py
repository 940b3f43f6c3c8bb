"""Proof that no refusal says "not run" once a byte may have been sent upstream.

A daemon sends bookings to upstreams that fail in a given phase of sending, and it
refuses invalid bookings before it sends them. The naive classification reports every
failure without a complete response as "not sent"; with the same upstreams it must
report requests as not sent that an upstream has received.
"""

import asyncio
import contextlib
import json
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from pathlib import Path
from typing import Any

import uuid6
from result import Err

from waxwingbarrow.bench._deployment import (
    ACCOUNT_KEY,
    OPERATOR_KEY,
    DaemonPlan,
    Deployment,
    hash_key,
)
from waxwingbarrow.bench._documents import BOOKING_SERVICE, make_booking_document
from waxwingbarrow.bench._refusal_cases import (
    BATCH_ACCOUNT_KEY,
    LARGE_BODY,
    RATE_LIMITED_ACCOUNT_KEY,
    ROUTE,
    SENDING_CASES,
    RefusalCase,
    ScriptedUpstream,
    SendingCase,
    make_refusal_cases,
)
from waxwingbarrow.bench._results import PromiseResult
from waxwingbarrow.core import UpstreamId
from waxwingbarrow.platform import HttpSession
from waxwingbarrow.upstreams import PlainCall, Rejected, ServiceClient, UpstreamAddress

CALL_TIMEOUT_MS = 400
SETTINGS = {
    "host_list_interval_ms": 100,
    "log_append_timeout_ms": 500,
    "call_timeout_ms": CALL_TIMEOUT_MS,
    "connect_timeout_ms": 200,
    "log_poll_ms": 300,
    "max_attempts": 1,
}


class RefusalProof:
    """One daemon, the platform stand-in and scripted upstreams, with the counts."""

    def __init__(self, directory: Path) -> None:
        self.deployment = Deployment(directory, SETTINGS)
        self.session = HttpSession(keep_alive=False)
        self.url = ""
        self.cases = 0
        self.violations: list[str] = []
        self.naive_false_refusals = 0
        self.events: Counter[str] = Counter()

    async def start(self) -> None:
        """Start the platform and the daemon, and publish the service document."""
        await self.deployment.start_platform()
        daemon = await self.deployment.start_daemon(DaemonPlan("host-a1", "dc-a"))
        self.url = daemon.url
        await self.deployment.wait_ready()
        document = json.loads(make_booking_document())
        grant = document["accounts"][0]
        document["accounts"] += [
            {
                **grant,
                "account": "batch",
                "key_hashes": [hash_key(BATCH_ACCOUNT_KEY)],
                "classes": ["batch"],
            },
            {
                **grant,
                "account": "slow",
                "key_hashes": [hash_key(RATE_LIMITED_ACCOUNT_KEY)],
                "requests_per_s": 1,
            },
        ]
        published = await self.session.request(
            "PUT",
            f"{self.url}/v1/operator/documents/{BOOKING_SERVICE}",
            payload=document,
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            timeout_ms=5_000,
        )
        assert published.unwrap().status == 200, published

    @contextlib.asynccontextmanager
    async def list_upstream(self, name: str, address: str) -> AsyncIterator[None]:
        """List an upstream as live while the context is open, then as leaving.

        Waits up to about 2 s until the daemon reports the upstream in its status.
        """
        entry = {
            "host": name,
            "address": address,
            "data_centre": "dc-a",
            "zone": "dc-a-1",
            "kind": "plain_service",
            "service": BOOKING_SERVICE,
            "version": "v1",
            "state": "live",
            "leave_by_ms": None,
            "checks_fencing": True,
            "price_per_hour": 1.0,
            "incarnation": f"{int(time.time() * 1000)}-1",
        }
        url = f"{self.deployment.platform_url}/standin/hosts"
        await self.deployment.post(url, [entry])
        for _ in range(100):
            status = await self.deployment.get(
                f"{self.url}/v1/operator/status", OPERATOR_KEY
            )
            if any(item["upstream"] == name for item in status["upstreams"]):
                break
            await asyncio.sleep(0.02)
        yield
        await self.deployment.post(url, [{**entry, "state": "leaving"}])

    async def set_platform_faults(self, faults: Mapping[str, Any]) -> None:
        """Replace the faults of the platform stand-in."""
        url = f"{self.deployment.platform_url}/standin/faults"
        await self.deployment.post(url, dict(faults))

    async def post(
        self, case: RefusalCase, key: str, attempt: str | None
    ) -> tuple[str, str]:
        """Send a booking and return the problem type and the outcome.

        The problem type is empty for a success and ``no-answer`` without a response.
        """
        headers = {
            "Authorization": f"Bearer {ACCOUNT_KEY}",
            "Content-Type": "application/json",
            "Idempotency-Key": key,
            "Request-Id": key,
            "Deadline-Ms": "2000",
        }
        if attempt is not None:
            headers["Idempotency-Attempt"] = attempt
        request_headers = {**headers, **case.headers}
        sent = await self.session.request(
            "POST",
            f"{self.url}/v1/services/{case.service}/routes/{case.route}",
            body=case.body,
            headers={
                name: text for name, text in request_headers.items() if text is not None
            },
            timeout_ms=5_000,
        )
        if isinstance(sent, Err):
            return "no-answer", "none"
        data = sent.ok_value.read_json_object() or {}
        if sent.ok_value.status < 300:
            return "", "completed"
        slug = str(data.get("type", "")).rpartition(":")[2]
        return slug, str(data.get("outcome", "none"))

    async def check_sending(self, number: int, case: SendingCase) -> None:
        """Send a first and a second attempt to an upstream that fails."""
        upstream = ScriptedUpstream(case)
        # A large body is still being sent when the upstream fails early.
        body = LARGE_BODY if case.phase == "sending" else b"{}"
        valid_request = RefusalCase("", case.failure, body=body)
        async with (
            upstream.listen() as address,
            self.list_upstream(f"u{number}", address),
        ):
            for attempt in ("1", "2"):
                slug, outcome = await self.post(
                    valid_request, str(uuid6.uuid7()), attempt
                )
                self.cases += 1
                reported_not_run = outcome == "not_run"
                is_false_refusal = reported_not_run and (
                    case.may_have_sent or attempt == "2"
                )
                lacks_refusal = (
                    not case.may_have_sent and attempt == "1" and not reported_not_run
                )
                if is_false_refusal or lacks_refusal or slug == "no-answer":
                    self.violations.append(
                        f"{case.phase}: {case.failure}: {slug} {outcome}"
                    )
                self.events[f"{case.phase}: {outcome}"] += 1
            if case.may_have_sent and not upstream.connections:
                self.violations.append(f"{case.phase}: {case.failure}: never reached")
            self.naive_false_refusals += await self._is_naive_wrong(
                case, upstream, address, body
            )

    async def _is_naive_wrong(
        self, case: SendingCase, upstream: ScriptedUpstream, address: str, body: bytes
    ) -> bool:
        """Return whether the naive design says "not run" of a received request."""
        before = upstream.received.total()
        call = PlainCall(
            operation=ROUTE, request_id="naive", attempt_id="naive", body=body
        )
        target = UpstreamAddress(UpstreamId("naive"), address)
        sent = await ServiceClient(connect_timeout_ms=200).call(
            target, call, CALL_TIMEOUT_MS
        )
        says_not_run = isinstance(sent, Err) and not isinstance(
            sent.err_value, Rejected
        )
        was_received = upstream.received.total() > before
        return says_not_run and was_received and case.may_have_sent

    async def check_refusal(self, case: RefusalCase) -> None:
        """Send the case as a first attempt, and as repeats of a booking that ran."""
        upstream = ScriptedUpstream(None)
        name = f"r{self.cases}"
        async with upstream.listen() as address, self.list_upstream(name, address):
            valid_request = RefusalCase("", "")
            completed_key = str(uuid6.uuid7())
            _, outcome = await self.post(valid_request, completed_key, "1")
            assert outcome == "completed", outcome
            await self.set_platform_faults(case.faults)
            for _ in range(case.repeat):
                new_key = str(uuid6.uuid7())
                slug, outcome = await self.post(case, new_key, "1")
            first_outcome = outcome
            self._count_outcome(
                case, "first attempt", slug, first_outcome, upstream.received[new_key]
            )
            declares_attempt = "Idempotency-Attempt" in case.headers
            if slug != case.slug or (outcome != "not_run" and not declares_attempt):
                self.violations.append(f"{case.failure}: {slug} {outcome}")
            for attempt in ("2", None):
                slug, outcome = await self.post(case, completed_key, attempt)
                self._count_outcome(case, f"attempt {attempt}", slug, outcome, 1)
            await self.set_platform_faults({})
            if case.faults:
                # Meanwhile the daemon reads back a claim whose append was late. It must
                # release the claim instead of sending the request.
                await asyncio.sleep(1.0)
                self._count_outcome(
                    case, "later", slug, first_outcome, upstream.received[new_key]
                )
            if max(upstream.received.values()) > 1:
                self.violations.append(f"{case.failure}: ran twice")

    def count_case(self, name: str, is_expected: bool, slug: str, outcome: str) -> None:
        """Count a case, and a violation unless the response was the expected one."""
        self.cases += 1
        self.events[f"refused: {outcome}"] += 1
        if not is_expected:
            self.violations.append(f"{name}: {slug} {outcome}")

    async def check_other_body(self) -> None:
        """Send another body under the key of a booking that has run."""
        upstream = ScriptedUpstream(None)
        async with upstream.listen() as address, self.list_upstream("o1", address):
            key = str(uuid6.uuid7())
            await self.post(RefusalCase("", ""), key, "1")
            other = RefusalCase("", "", body=b"[]")
            for attempt in ("1", "2"):
                slug, outcome = await self.post(other, key, attempt)
                is_expected = slug == "key-reused" and outcome == "unknown"
                self.count_case("other body", is_expected, slug, outcome)
            if upstream.received[key] != 1:
                self.violations.append("other body: it ran as well")

    async def check_no_upstream(self) -> None:
        """Send bookings while every upstream is leaving."""
        for attempt, expected in (("1", "not_run"), ("2", "unknown")):
            reply = await self.post(RefusalCase("", ""), str(uuid6.uuid7()), attempt)
            self.count_case("no upstream", reply == ("no-upstream", expected), *reply)

    async def check_second_host(self) -> None:
        """Send to a host that is not ready, and while another host runs the booking."""
        first_url = self.url
        await self.set_platform_faults({"cut_callers": ["host-a2"]})
        peers = self.deployment.daemons.copy()
        self.deployment.daemons.clear()  # starts the second host without peers
        daemon = await self.deployment.start_daemon(DaemonPlan("host-a2", "dc-a"))
        self.deployment.daemons.update(peers)
        await self.deployment.wait_for(f"{daemon.url}/healthz")
        self.url = daemon.url
        valid_request = RefusalCase("", "")
        for attempt, expected in (("1", "not_run"), ("2", "unknown")):
            reply = await self.post(valid_request, str(uuid6.uuid7()), attempt)
            self.count_case("not ready", reply == ("not-ready", expected), *reply)
        await self.set_platform_faults({})
        await self.deployment.wait_ready()
        upstream = ScriptedUpstream(SendingCase("sent", "hanging", ending="hang"))
        async with upstream.listen() as address:
            self.url = first_url
            async with self.list_upstream("h1", address):
                key = str(uuid6.uuid7())
                running = asyncio.create_task(self.post(valid_request, key, "1"))
                await asyncio.sleep(CALL_TIMEOUT_MS / 2000)
                self.url = daemon.url
                short = RefusalCase("", "", {"Deadline-Ms": "50"})
                reply = await self.post(short, key, "2")
                self.count_case("in progress", reply[1] == "in_progress", *reply)
                await running
                reply = await self.post(valid_request, key, "3")
                self.count_case("response lost", reply[1] == "unknown", *reply)
        self.url = first_url

    async def check_query(self) -> None:
        """Query a key while the append of its claim is in flight."""
        upstream = ScriptedUpstream(None)
        async with upstream.listen() as address, self.list_upstream("q1", address):
            await self.set_platform_faults({"slow_ms": 300, "operations": ["append"]})
            key = str(uuid6.uuid7())
            booking = asyncio.create_task(self.post(RefusalCase("", ""), key, "1"))
            await asyncio.sleep(0.05)
            found = await self.deployment.get(
                f"{self.url}/v1/services/{BOOKING_SERVICE}/keys/{key}", ACCOUNT_KEY
            )
            await booking
            await self.set_platform_faults({})
            outcome = str(found.get("outcome"))
            is_expected = outcome == "unknown" and upstream.received[key] == 1
            self.count_case("query before the claim", is_expected, "query", outcome)

    def _count_outcome(
        self, case: RefusalCase, attempt: str, slug: str, outcome: str, runs: int
    ) -> None:
        self.cases += 1
        self.events[f"refused: {outcome}"] += 1
        if outcome == "not_run" and runs > 0:
            self.violations.append(f"{case.failure}, {attempt}: {slug} {outcome}")


async def run_in(directory: Path) -> RefusalProof:
    """Run all cases; settings and output of the processes go to `directory`."""
    proof = RefusalProof(directory)
    try:
        await proof.start()
        for number, case in enumerate(SENDING_CASES):
            await proof.check_sending(number, case)
        for refusal in make_refusal_cases():
            await proof.check_refusal(refusal)
        await proof.check_other_body()
        await proof.check_no_upstream()
        await proof.check_query()
        await proof.check_second_host()
        return proof
    finally:
        proof.deployment.stop()


def run_refusal_proof() -> PromiseResult:
    """Count refusals that say "not run" although a byte may have been sent.

    Returns
    -------
    PromiseResult
        Cases are requests. A refusal that differs from the expected one counts as a
        violation too.
    """
    with tempfile.TemporaryDirectory(prefix="waxwingbarrow-") as directory:
        proof = asyncio.run(run_in(Path(directory)))
    return PromiseResult(
        cases=proof.cases,
        violations=len(proof.violations),
        naive_false_refusals=proof.naive_false_refusals,
        events={**proof.events, **{f"violation: {v}": 1 for v in proof.violations}},
    )
