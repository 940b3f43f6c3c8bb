"""Callers of the booking proof, and the naive entry host."""

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
# Some callers resend before the first host has answered.
ATTEMPT_TIMEOUTS_MS = (250, 1_500)
MAX_ATTEMPTS = 4
RESEND_PAUSE_S = 0.1
CALL_TIMEOUT_MS = 800

# Status and problem or answer; None if there was no answer.
Reply = tuple[int, dict[str, Any]] | None
# Sends one attempt: host, key, number of the attempt, body and time limit in ms.
Post = Callable[[int, str, int, bytes, int], Awaitable[Reply]]


@attrs.define
class Told:
    """Everything that one caller was told about its booking."""

    key: str
    completed: int = 0
    not_run: int = 0
    outcomes: list[str] = attrs.field(factory=list)


async def book(
    post: Post, hosts: Sequence[int], body: Mapping[str, str], rng: random.Random
) -> Told:
    """Send a booking to one host after another until its outcome is known.

    Parameters
    ----------
    hosts : Sequence[int]
        Hosts of the first attempts; later ones go to random other hosts. Every second
        booking sends its repeated attempts to two hosts at the same time.
    """
    told = Told(str(uuid6.uuid7()))
    data = json.dumps(dict(body)).encode()
    is_doubled = rng.random() < 0.5
    timeout_ms = rng.choice(ATTEMPT_TIMEOUTS_MS)
    last, number = -1, 0
    while number < MAX_ATTEMPTS:
        others = [host for host in range(HOST_COUNT) if host != last]
        rng.shuffle(others)
        chosen = [hosts[number]] if number < len(hosts) else others[:1]
        if number > 0 and is_doubled:
            chosen = others[:2]
        numbers = range(number + 1, number + 1 + len(chosen))
        answers = await asyncio.gather(
            *(
                post(host, told.key, n, data, timeout_ms)
                for host, n in zip(chosen, numbers, strict=True)
            )
        )
        number += len(chosen)
        last = chosen[-1]
        for answer in answers:
            note_answer(told, answer)
        if told.completed or told.not_run:
            break
        await asyncio.sleep(RESEND_PAUSE_S)
    return told


def note_answer(told: Told, answer: Reply) -> None:
    """Note what one attempt was told."""
    if answer is None:
        told.outcomes.append("no answer")
        return
    status, data = answer
    if status == 200 and data.get("request_id") == told.key:
        told.completed += 1
        told.outcomes.append("completed")
        return
    outcome = str(data.get("outcome", "none"))
    told.not_run += outcome == "not_run"
    told.outcomes.append(outcome)


class NaiveHost:
    """Entry host without claims: tries one upstream after another."""

    def __init__(self, addresses: Sequence[str], rng: random.Random) -> None:
        self._addresses = addresses
        self._client = ServiceClient(connect_timeout_ms=200)
        self._rng = rng
        self._answers: dict[str, tuple[int, dict[str, Any]]] = {}

    async def serve(self, key: str, body: bytes) -> tuple[int, dict[str, Any]]:
        """Answer from memory, or send the request until an upstream answers."""
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


def is_violation(told: Told, runs: int) -> bool:
    """Return whether a booking ran twice or its caller was told something false."""
    return (
        runs > 1
        or (told.not_run > 0 and runs > 0)
        or (told.completed > 0 and runs != 1)
    )
