"""Table of refusal paths: none says "not run" after a byte may have left.

A daemon sends bookings to upstreams that fail in a given phase of sending, and refuses
bookings before it sends them. The naive classification takes every failure without a
complete answer for "not sent"; the same upstreams must show it wrong.
"""

import asyncio
import contextlib
import json
import random
import socket
import struct
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

import attrs
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
from waxwingbarrow.bench._results import PromiseResult
from waxwingbarrow.core import UpstreamId
from waxwingbarrow.platform import HttpSession
from waxwingbarrow.upstreams import PlainCall, Rejected, ServiceClient, UpstreamAddress

HOST = "127.0.0.1"
ROUTE = "book-assignment"
BATCH_KEY = "proof-batch-key"
SLOW_KEY = "proof-slow-key"
CALL_TIMEOUT_MS = 400
LARGE_BODY = json.dumps({"text": "x" * 600_000}).encode()
SETTINGS = {
    "host_list_interval_ms": 100,
    "log_append_timeout_ms": 500,
    "call_timeout_ms": CALL_TIMEOUT_MS,
    "connect_timeout_ms": 200,
    "log_poll_ms": 300,
    "max_attempts": 1,
}
DAY_MS = 86_400_000

Behave = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@attrs.frozen
class SendingCase:
    """An upstream that fails in one phase of sending.

    Parameters
    ----------
    read : int
        Bytes to read before the answer; -1 for the whole request.
    answer : bytes
        What the upstream sends.
    end : str
        ``close``, ``reset`` or ``hang`` afterwards.
    """

    phase: str
    failure: str
    read: int = -1
    answer: bytes = b""
    end: str = "close"

    @property
    def may_have_left(self) -> bool:
        """Whether a byte of the request may have left the daemon."""
        return self.phase != "connecting"


def make_status(status: int, headers: str = "", body: bytes = b"{}") -> bytes:
    """Return an HTTP answer."""
    head = f"HTTP/1.1 {status} S\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


HEAD = b"HTTP/1.1 200 OK\r\n"
SENDING_CASES = (
    SendingCase("connecting", "refused"),
    SendingCase("connecting", "timed out"),
    SendingCase("connected", "reset", 0, end="reset"),
    SendingCase("connected", "closed", 0),
    SendingCase("connected", "hanging", 0, end="hang"),
    SendingCase("sending", "reset after a byte", 1, end="reset"),
    SendingCase("sending", "closed after a byte", 1),
    SendingCase("sending", "reset in the body", 2_000, end="reset"),
    SendingCase("sending", "hanging in the body", 2_000, end="hang"),
    SendingCase("sent", "reset", end="reset"),
    SendingCase("sent", "closed"),
    SendingCase("sent", "hanging", end="hang"),
    SendingCase("answering", "partial status line", answer=b"HTTP/1."),
    SendingCase("answering", "malformed status line", answer=b"nothing\r\n\r\n"),
    SendingCase("answering", "no length", answer=HEAD + b"\r\n"),
    SendingCase("answering", "partial headers", answer=HEAD + b"Content-Le"),
    SendingCase(
        "answering", "partial body", answer=HEAD + b"Content-Length: 9\r\n\r\n{"
    ),
    SendingCase(
        "answering",
        "partial body and reset",
        answer=HEAD + b"Content-Length: 9\r\n\r\n{",
        end="reset",
    ),
    SendingCase(
        "answering",
        "partial chunk",
        answer=HEAD + b"Transfer-Encoding: chunked\r\n\r\n9\r\n{",
    ),
    SendingCase(
        "answering",
        "malformed chunk",
        answer=HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n{",
    ),
    SendingCase("answering", "interim answer", answer=b"HTTP/1.1 100 C\r\n\r\n"),
    SendingCase(
        "answering",
        "long header",
        answer=HEAD + b"A: " + b"x" * 200_000 + b"\r\nContent-Length: 0\r\n\r\n",
    ),
    *(
        SendingCase("answered", f"status {status}", answer=make_status(status))
        for status in (301, 307, 408, 429, 500, 502, 503, 504)
    ),
    SendingCase(
        "answered",
        "status 503 with a retry time",
        answer=make_status(503, "Retry-After: 0\r\n", b'{"in_effect": false}'),
    ),
)


@attrs.frozen
class RefusalCase:
    """A request that the daemon refuses before it sends it.

    Parameters
    ----------
    slug : str
        Problem type that a first attempt gets.
    headers : Mapping
        Headers that differ from those of a correct request; None leaves one out.
    faults : Mapping
        Faults of the platform.
    repeat : int
        First attempts to send; the last one is judged.
    """

    slug: str
    failure: str
    headers: Mapping[str, str | None] = attrs.field(factory=dict)
    body: bytes = b"{}"
    service: str = BOOKING_SERVICE
    route: str = ROUTE
    faults: Mapping[str, Any] = attrs.field(factory=dict)
    repeat: int = 1


def make_key(created_ms: int) -> str:
    """Return a version 7 UUID of a given time."""
    value = (created_ms << 80) | (7 << 76) | (2 << 62) | random.getrandbits(32)
    return str(uuid6.UUID(int=value))


def list_refusal_cases() -> tuple[RefusalCase, ...]:
    """Return the refusals that precede sending."""
    now_ms = int(time.time() * 1000)
    append = {"operations": ["append"]}
    return (
        RefusalCase("unauthenticated", "other key", {"Authorization": "Bearer x"}),
        RefusalCase("unauthenticated", "no scheme", {"Authorization": "x"}),
        RefusalCase("unknown-service", "other service", service="none"),
        RefusalCase("unknown-route", "other route", route="none"),
        RefusalCase("invalid-request", "class", {"Priority-Class": "urgent"}),
        RefusalCase("invalid-request", "deadline", {"Deadline-Ms": "soon"}),
        RefusalCase("invalid-request", "request id", {"Request-Id": "x" * 300}),
        RefusalCase("invalid-request", "attempt", {"Idempotency-Attempt": "one"}),
        RefusalCase("invalid-request", "body", body=b"{"),
        RefusalCase("invalid-request", "large body", body=b" " * 1_100_000),
        RefusalCase(
            "class-not-allowed",
            "account without the class",
            {"Authorization": f"Bearer {BATCH_KEY}"},
        ),
        RefusalCase(
            "rate-limited",
            "share used up",
            {"Authorization": f"Bearer {SLOW_KEY}"},
            repeat=8,
        ),
        RefusalCase("key-missing", "no key", {"Idempotency-Key": None}),
        RefusalCase("key-malformed", "no UUID", {"Idempotency-Key": "x"}),
        RefusalCase(
            "key-malformed",
            "key from the future",
            {"Idempotency-Key": make_key(now_ms + DAY_MS)},
        ),
        RefusalCase(
            "key-too-old", "old key", {"Idempotency-Key": make_key(now_ms - DAY_MS)}
        ),
        RefusalCase("log-unavailable", "append refused", faults={"refuse": True}),
        RefusalCase(
            "log-unavailable",
            "append failed unclearly",
            faults={"fail_unclear": True, **append},
        ),
        RefusalCase(
            "log-unavailable",
            "append broken",
            faults={"break_before": True, **append},
        ),
        RefusalCase(
            "log-unavailable", "append too slow", faults={"slow_ms": 900, **append}
        ),
        RefusalCase(
            "log-unavailable", "host cut off", faults={"cut_callers": ["host-a1"]}
        ),
    )


class ScriptedUpstream:
    """Upstream that behaves as a case says and counts what it received."""

    def __init__(self, case: SendingCase | None) -> None:
        self.case = case
        self.received: Counter[str] = Counter()
        self.connections = 0
        self._closing = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    @contextlib.asynccontextmanager
    async def listen(self) -> AsyncIterator[str]:
        """Accept connections, or refuse or ignore them where the case says so."""
        listener = socket.socket()
        listener.bind((HOST, 0))
        address = f"{HOST}:{listener.getsockname()[1]}"
        if self.case is not None and self.case.phase == "connecting":
            fillers: list[socket.socket] = []
            if self.case.failure == "timed out":
                # A full backlog leaves further connections unanswered.
                listener.listen(0)
                for _ in range(3):
                    filler = socket.socket()
                    filler.setblocking(False)
                    filler.connect_ex(listener.getsockname())
                    fillers.append(filler)
            try:
                yield address
            finally:
                for item in (*fillers, listener):
                    item.close()
            return
        server = await asyncio.start_server(self._serve, sock=listener, limit=1 << 22)
        try:
            yield address
        finally:
            server.close()
            self._closing.set()
            for writer in self._writers:
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        case = self.case or SendingCase("answered", "", answer=b"")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            if case.read > 0:
                await reader.readexactly(case.read)
            elif case.read < 0:
                await self._read_request(reader)
            writer.write(case.answer if self.case else make_status(200))
            await writer.drain()
            if case.end == "hang":
                await self._closing.wait()
            if case.end == "reset":
                raw = writer.get_extra_info("socket")
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                writer.transport.abort()
        writer.close()

    async def _read_request(self, reader: asyncio.StreamReader) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        fields = dict(
            line.split(": ", 1) for line in head.splitlines()[1:] if ": " in line
        )
        await reader.readexactly(int(fields.get("content-length", "0")))
        self.received[fields.get("request-id", "")] += 1


class RefusalProof:
    """One daemon, the platform stand-in and scripted upstreams."""

    def __init__(self, directory: Path) -> None:
        self.deployment = Deployment(directory, SETTINGS)
        self.session = HttpSession(keep_alive=False)
        self.url = ""
        self.cases = 0
        self.violations: list[str] = []
        self.naive_false_refusals = 0
        self.events: Counter[str] = Counter()

    async def start(self) -> None:
        """Start the platform and the daemon and publish the document."""
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
                "key_hashes": [hash_key(BATCH_KEY)],
                "classes": ["batch"],
            },
            {
                **grant,
                "account": "slow",
                "key_hashes": [hash_key(SLOW_KEY)],
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
        """List one upstream and wait until the daemon uses it."""
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

    async def set_platform(self, faults: Mapping[str, Any]) -> None:
        """Replace the platform's faults."""
        url = f"{self.deployment.platform_url}/standin/faults"
        await self.deployment.post(url, dict(faults))

    async def post(
        self, case: RefusalCase, key: str, attempt: str | None
    ) -> tuple[str, str]:
        """Send a booking and return the problem type and the outcome."""
        headers = {
            "Authorization": f"Bearer {ACCOUNT_KEY}",
            "Content-Type": "application/json",
            "Idempotency-Key": key,
            "Request-Id": key,
            "Deadline-Ms": "2000",
        }
        if attempt is not None:
            headers["Idempotency-Attempt"] = attempt
        wanted = {**headers, **case.headers}
        sent = await self.session.request(
            "POST",
            f"{self.url}/v1/services/{case.service}/routes/{case.route}",
            body=case.body,
            headers={name: text for name, text in wanted.items() if text is not None},
            timeout_ms=5_000,
        )
        if isinstance(sent, Err):
            return "no-answer", "none"
        data = sent.ok_value.read_object() or {}
        if sent.ok_value.status < 300:
            return "", "completed"
        slug = str(data.get("type", "")).rpartition(":")[2]
        return slug, str(data.get("outcome", "none"))

    async def check_sending(self, number: int, case: SendingCase) -> None:
        """Send a first and a later attempt to an upstream that fails."""
        upstream = ScriptedUpstream(case)
        # A large body is still being sent when the upstream fails early.
        body = LARGE_BODY if case.phase == "sending" else b"{}"
        plain = RefusalCase("", case.failure, body=body)
        async with (
            upstream.listen() as address,
            self.list_upstream(f"u{number}", address),
        ):
            for attempt in ("1", "2"):
                slug, outcome = await self.post(plain, str(uuid6.uuid7()), attempt)
                self.cases += 1
                told_not_run = outcome == "not_run"
                false = told_not_run and (case.may_have_left or attempt == "2")
                missing = not case.may_have_left and attempt == "1" and not told_not_run
                if false or missing or slug == "no-answer":
                    self.violations.append(
                        f"{case.phase}: {case.failure}: {slug} {outcome}"
                    )
                self.events[f"{case.phase}: {outcome}"] += 1
            if case.may_have_left and not upstream.connections:
                self.violations.append(f"{case.phase}: {case.failure}: never reached")
            self.naive_false_refusals += await self._is_naive_wrong(
                case, upstream, address, body
            )

    async def _is_naive_wrong(
        self, case: SendingCase, upstream: ScriptedUpstream, address: str, body: bytes
    ) -> bool:
        """Return whether the naive classification says "not run" after sending."""
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
        return says_not_run and was_received and case.may_have_left

    async def check_refusal(self, case: RefusalCase) -> None:
        """Refuse a first attempt, and later attempts at a booking that has run."""
        upstream = ScriptedUpstream(None)
        name = f"r{self.cases}"
        async with upstream.listen() as address, self.list_upstream(name, address):
            plain = RefusalCase("", "")
            ran = str(uuid6.uuid7())
            _, outcome = await self.post(plain, ran, "1")
            assert outcome == "completed", outcome
            await self.set_platform(case.faults)
            for _ in range(case.repeat):
                fresh = str(uuid6.uuid7())
                slug, outcome = await self.post(case, fresh, "1")
            first = outcome
            self._judge(case, "first attempt", slug, first, upstream.received[fresh])
            declares = "Idempotency-Attempt" in case.headers
            if slug != case.slug or (outcome != "not_run" and not declares):
                self.violations.append(f"{case.failure}: {slug} {outcome}")
            for attempt in ("2", None):
                slug, outcome = await self.post(case, ran, attempt)
                self._judge(case, f"attempt {attempt}", slug, outcome, 1)
            await self.set_platform({})
            if case.faults:
                # A claim whose append was late is read back now; it must be released.
                await asyncio.sleep(1.0)
                self._judge(case, "later", slug, first, upstream.received[fresh])
            if max(upstream.received.values()) > 1:
                self.violations.append(f"{case.failure}: ran twice")

    def check(self, name: str, is_true: bool, slug: str, outcome: str) -> None:
        """Count a case that has to be as it is expected."""
        self.cases += 1
        self.events[f"refused: {outcome}"] += 1
        if not is_true:
            self.violations.append(f"{name}: {slug} {outcome}")

    async def check_other_body(self) -> None:
        """Send another body under a key that has run."""
        upstream = ScriptedUpstream(None)
        async with upstream.listen() as address, self.list_upstream("o1", address):
            key = str(uuid6.uuid7())
            await self.post(RefusalCase("", ""), key, "1")
            other = RefusalCase("", "", body=b"[]")
            for attempt in ("1", "2"):
                slug, outcome = await self.post(other, key, attempt)
                is_true = slug == "key-reused" and outcome == "unknown"
                self.check("other body", is_true, slug, outcome)
            if upstream.received[key] != 1:
                self.violations.append("other body: it ran as well")

    async def check_no_upstream(self) -> None:
        """Send a booking while every upstream is leaving."""
        for attempt, expected in (("1", "not_run"), ("2", "unknown")):
            told = await self.post(RefusalCase("", ""), str(uuid6.uuid7()), attempt)
            self.check("no upstream", told == ("no-upstream", expected), *told)

    async def check_second_host(self) -> None:
        """Send to a host that is not ready, and while another host runs the booking."""
        first_url = self.url
        await self.set_platform({"cut_callers": ["host-a2"]})
        peers = self.deployment.daemons.copy()
        self.deployment.daemons.clear()  # the second host knows no peer
        daemon = await self.deployment.start_daemon(DaemonPlan("host-a2", "dc-a"))
        self.deployment.daemons.update(peers)
        await self.deployment.wait_for(f"{daemon.url}/healthz")
        self.url = daemon.url
        plain = RefusalCase("", "")
        for attempt, expected in (("1", "not_run"), ("2", "unknown")):
            told = await self.post(plain, str(uuid6.uuid7()), attempt)
            self.check("not ready", told == ("not-ready", expected), *told)
        await self.set_platform({})
        await self.deployment.wait_ready()
        upstream = ScriptedUpstream(SendingCase("sent", "hanging", end="hang"))
        async with upstream.listen() as address:
            self.url = first_url
            async with self.list_upstream("h1", address):
                key = str(uuid6.uuid7())
                running = asyncio.create_task(self.post(plain, key, "1"))
                await asyncio.sleep(CALL_TIMEOUT_MS / 2000)
                self.url = daemon.url
                short = RefusalCase("", "", {"Deadline-Ms": "50"})
                told = await self.post(short, key, "2")
                self.check("in progress", told[1] == "in_progress", *told)
                await running
                told = await self.post(plain, key, "3")
                self.check("response lost", told[1] == "unknown", *told)
        self.url = first_url

    async def check_query(self) -> None:
        """Ask for a key whose claim is on its way to the log."""
        upstream = ScriptedUpstream(None)
        async with upstream.listen() as address, self.list_upstream("q1", address):
            await self.set_platform({"slow_ms": 300, "operations": ["append"]})
            key = str(uuid6.uuid7())
            booking = asyncio.create_task(self.post(RefusalCase("", ""), key, "1"))
            await asyncio.sleep(0.05)
            found = await self.deployment.get(
                f"{self.url}/v1/services/{BOOKING_SERVICE}/keys/{key}", ACCOUNT_KEY
            )
            await booking
            await self.set_platform({})
            outcome = str(found.get("outcome"))
            is_true = outcome == "unknown" and upstream.received[key] == 1
            self.check("query before the claim", is_true, "query", outcome)

    def _judge(
        self, case: RefusalCase, attempt: str, slug: str, outcome: str, runs: int
    ) -> None:
        self.cases += 1
        self.events[f"refused: {outcome}"] += 1
        if outcome == "not_run" and runs > 0:
            self.violations.append(f"{case.failure}, {attempt}: {slug} {outcome}")


async def run_in(directory: Path) -> RefusalProof:
    """Go through both tables with files in a directory."""
    proof = RefusalProof(directory)
    try:
        await proof.start()
        for number, case in enumerate(SENDING_CASES):
            await proof.check_sending(number, case)
        for refusal in list_refusal_cases():
            await proof.check_refusal(refusal)
        await proof.check_other_body()
        await proof.check_no_upstream()
        await proof.check_query()
        await proof.check_second_host()
        return proof
    finally:
        proof.deployment.stop()


def run_refusal_proof() -> PromiseResult:
    """Count refusals that say "not run" although a byte may have left.

    Returns
    -------
    PromiseResult
        Cases are requests. A case that a daemon does not refuse as the table says
        counts as a violation too.
    """
    with tempfile.TemporaryDirectory(prefix="waxwingbarrow-") as directory:
        proof = asyncio.run(run_in(Path(directory)))
    return PromiseResult(
        cases=proof.cases,
        violations=len(proof.violations),
        naive_false_refusals=proof.naive_false_refusals,
        events={**proof.events, **{f"violation: {v}": 1 for v in proof.violations}},
    )
