"""Callers that resend bookings, and the naive entry host, for the booking proof."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

import attrs
import uuid6
from result import Ok

from waxwingbarrow.core import UpstreamId
from waxwingbarrow.upstreams import PlainCall, ServiceClient, UpstreamAddress

HOST_COUNT = 3
ROUTE = "book-assignment"
# The short timeout makes callers resend before the first host has answered.
ATTEMPT_TIMEOUTS_MS = (250, 1_500)
MAX_ATTEMPTS = 4
RESEND_PAUSE_S = 0.1
CALL_TIMEOUT_MS = 800

# Status and JSON body; None if there was no response.
Reply = tuple[int, dict[str, Any]] | None
# Sends one attempt: host index, key, attempt number, body and timeout in ms.
PostAttempt = Callable[[int, str, int, bytes, int], Awaitable[Reply]]


@attrs.define
class CallerHistory:
    """Outcomes that one caller received for its booking.

    Parameters
    ----------
    completed, not_run : int
        Number of responses with this outcome.
    outcomes : list of str
        Outcomes of all attempts; ``no answer`` for an attempt without a response.
    """

    key: str
    completed: int = 0
    not_run: int = 0
    outcomes: list[str] = attrs.field(factory=list)


async def send_booking(
    post: PostAttempt, hosts: Sequence[int], body: Mapping[str, str], rng: random.Random
) -> CallerHistory:
    """Send a booking repeatedly until a response says "completed" or "not run".

    Parameters
    ----------
    hosts : Sequence[int]
        Hosts of the first attempts; later ones go to random other hosts. About half
        of the bookings send each repeated attempt to two hosts at the same time.
    """
    history = CallerHistory(str(uuid6.uuid7()))
    data = json.dumps(dict(body)).encode()
    sends_duplicates = rng.random() < 0.5
    timeout_ms = rng.choice(ATTEMPT_TIMEOUTS_MS)
    last_host, attempts_sent = -1, 0
    while attempts_sent < MAX_ATTEMPTS:
        other_hosts = [host for host in range(HOST_COUNT) if host != last_host]
        rng.shuffle(other_hosts)
        chosen_hosts = (
            [hosts[attempts_sent]] if attempts_sent < len(hosts) else other_hosts[:1]
        )
        if attempts_sent > 0 and sends_duplicates:
            chosen_hosts = other_hosts[:2]
        attempt_numbers = range(
            attempts_sent + 1, attempts_sent + 1 + len(chosen_hosts)
        )
        answers = await asyncio.gather(
            *(
                post(host, history.key, attempt_number, data, timeout_ms)
                for host, attempt_number in zip(
                    chosen_hosts, attempt_numbers, strict=True
                )
            )
        )
        attempts_sent += len(chosen_hosts)
        last_host = chosen_hosts[-1]
        for answer in answers:
            note_reply(history, answer)
        if history.completed or history.not_run:
            break
        await asyncio.sleep(RESEND_PAUSE_S)
    return history


def note_reply(history: CallerHistory, answer: Reply) -> None:
    """Record the outcome of one attempt."""
    if answer is None:
        history.outcomes.append("no answer")
        return
    status, data = answer
    if status == 200 and data.get("request_id") == history.key:
        history.completed += 1
        history.outcomes.append("completed")
        return
    outcome = str(data.get("outcome", "none"))
    history.not_run += outcome == "not_run"
    history.outcomes.append(outcome)


class NaiveHost:
    """Entry host without claims; retries at a second upstream after any failure.

    It remembers responses by key in its own memory only.
    """

    def __init__(self, addresses: Sequence[str], rng: random.Random) -> None:
        self._addresses = addresses
        self._client = ServiceClient(connect_timeout_ms=200)
        self._rng = rng
        self._answers: dict[str, tuple[int, dict[str, Any]]] = {}

    async def serve(self, key: str, body: bytes) -> tuple[int, dict[str, Any]]:
        """Return the remembered response, or try two upstreams, then say "not run"."""
        if key in self._answers:
            return self._answers[key]
        for address in self._rng.sample(self._addresses, 2):
            call = PlainCall(operation=ROUTE, request_id=key, attempt_id="a", body=body)
            target = UpstreamAddress(UpstreamId(address), address)
            match await self._client.call(target, call, CALL_TIMEOUT_MS):
                case Ok(answer):
                    self._answers[key] = answer.status, json.loads(answer.body)
                    return self._answers[key]
        return 503, {"outcome": "not_run"}


def is_violation(history: CallerHistory, runs: int) -> bool:
    """Return whether a booking ran twice or its caller received a false outcome."""
    return (
        runs > 1
        or (history.not_run > 0 and runs > 0)
        or (history.completed > 0 and runs != 1)
    )
