"""Upstreams and requests of the refusal proof."""

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

HOST = "127.0.0.1"
ROUTE = "book-assignment"
BATCH_KEY = "proof-batch-key"
SLOW_KEY = "proof-slow-key"
DAY_MS = 86_400_000
LARGE_BODY = json.dumps({"text": "x" * 600_000}).encode()


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
