"""Cases of the refusal proof: failing upstreams and requests to refuse."""

import asyncio
import contextlib
import json
import random
import socket
import struct
import time
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from typing import Any

import attrs
import uuid6

from waxwingbarrow.bench._documents import BOOKING_SERVICE

LOOPBACK_ADDRESS = "127.0.0.1"
ROUTE = "book-assignment"
BATCH_ACCOUNT_KEY = "proof-batch-key"
RATE_LIMITED_ACCOUNT_KEY = "proof-slow-key"
DAY_MS = 86_400_000
LARGE_BODY = json.dumps({"text": "x" * 600_000}).encode()


@attrs.frozen
class SendingCase:
    """An upstream that fails in one phase of sending.

    Parameters
    ----------
    phase : str
        ``connecting``, ``connected``, ``sending``, ``sent``, ``answering`` or
        ``answered``: how far the exchange gets before the failure.
    failure : str
        Description of the failure.
    read_bytes : int
        Bytes to read before the response; -1 for the whole request.
    response : bytes
        Bytes that the upstream sends.
    ending : str
        ``close``, ``reset`` or ``hang``: what the upstream does with the connection
        afterwards.
    """

    phase: str
    failure: str
    read_bytes: int = -1
    response: bytes = b""
    ending: str = "close"

    @property
    def may_have_sent(self) -> bool:
        """Whether the daemon may have sent a byte of the request."""
        return self.phase != "connecting"


def make_response(status: int, headers: str = "", body: bytes = b"{}") -> bytes:
    """Return a complete HTTP response."""
    head = f"HTTP/1.1 {status} S\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
SENDING_CASES = (
    SendingCase("connecting", "refused"),
    SendingCase("connecting", "timed out"),
    SendingCase("connected", "reset", 0, ending="reset"),
    SendingCase("connected", "closed", 0),
    SendingCase("connected", "hanging", 0, ending="hang"),
    SendingCase("sending", "reset after a byte", 1, ending="reset"),
    SendingCase("sending", "closed after a byte", 1),
    SendingCase("sending", "reset in the body", 2_000, ending="reset"),
    SendingCase("sending", "hanging in the body", 2_000, ending="hang"),
    SendingCase("sent", "reset", ending="reset"),
    SendingCase("sent", "closed"),
    SendingCase("sent", "hanging", ending="hang"),
    SendingCase("answering", "partial status line", response=b"HTTP/1."),
    SendingCase("answering", "malformed status line", response=b"nothing\r\n\r\n"),
    SendingCase("answering", "no length", response=STATUS_LINE + b"\r\n"),
    SendingCase("answering", "partial headers", response=STATUS_LINE + b"Content-Le"),
    SendingCase(
        "answering",
        "partial body",
        response=STATUS_LINE + b"Content-Length: 9\r\n\r\n{",
    ),
    SendingCase(
        "answering",
        "partial body and reset",
        response=STATUS_LINE + b"Content-Length: 9\r\n\r\n{",
        ending="reset",
    ),
    SendingCase(
        "answering",
        "partial chunk",
        response=STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n9\r\n{",
    ),
    SendingCase(
        "answering",
        "malformed chunk",
        response=STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n{",
    ),
    SendingCase("answering", "interim answer", response=b"HTTP/1.1 100 C\r\n\r\n"),
    SendingCase(
        "answering",
        "long header",
        response=STATUS_LINE
        + b"A: "
        + b"x" * 200_000
        + b"\r\nContent-Length: 0\r\n\r\n",
    ),
    *(
        SendingCase("answered", f"status {status}", response=make_response(status))
        for status in (301, 307, 408, 429, 500, 502, 503, 504)
    ),
    SendingCase(
        "answered",
        "status 503 with a retry time",
        response=make_response(503, "Retry-After: 0\r\n", b'{"in_effect": false}'),
    ),
)


@attrs.frozen
class RefusalCase:
    """A request that the daemon refuses before it sends anything upstream.

    Parameters
    ----------
    slug : str
        Problem type that a first attempt receives.
    failure : str
        Description of the cause.
    headers : Mapping
        Headers that differ from those of a valid request; None omits a header.
    faults : Mapping
        Faults to set in the platform stand-in.
    repeat : int
        Number of first attempts to send, each with its own key; only the last one is
        checked.
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
    """Return a UUIDv7 with a given creation time."""
    value = (created_ms << 80) | (7 << 76) | (2 << 62) | random.getrandbits(32)
    return str(uuid6.UUID(int=value))


def make_refusal_cases() -> tuple[RefusalCase, ...]:
    """Return the cases in which a daemon refuses a request before sending it."""
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
            {"Authorization": f"Bearer {BATCH_ACCOUNT_KEY}"},
        ),
        RefusalCase(
            "rate-limited",
            "share used up",
            {"Authorization": f"Bearer {RATE_LIMITED_ACCOUNT_KEY}"},
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
    """Upstream that fails as its case defines and counts requests by request id.

    Without a case it answers every request with status 200.
    """

    def __init__(self, case: SendingCase | None) -> None:
        self.case = case
        self.received: Counter[str] = Counter()
        self.connections = 0
        self._closing = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    @contextlib.asynccontextmanager
    async def listen(self) -> AsyncIterator[str]:
        """Accept, refuse or ignore connections as the case says; yield the address."""
        listener = socket.socket()
        listener.bind((LOOPBACK_ADDRESS, 0))
        address = f"{LOOPBACK_ADDRESS}:{listener.getsockname()[1]}"
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
        case = self.case or SendingCase("answered", "", response=b"")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            if case.read_bytes > 0:
                await reader.readexactly(case.read_bytes)
            elif case.read_bytes < 0:
                await self._read_request(reader)
            writer.write(case.response if self.case else make_response(200))
            await writer.drain()
            if case.ending == "hang":
                await self._closing.wait()
            if case.ending == "reset":
                connection = writer.get_extra_info("socket")
                # With a linger time of 0, closing the socket sends RST instead of FIN.
                connection.setsockopt(
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
