"""Client that resumes streams and retries bookings through several entry hosts."""

import asyncio
import json
import random
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any

import attrs
import uuid6
from result import Err

from waxwingbarrow.platform import (
    EXCHANGE_ERRORS,
    HttpResponse,
    HttpSession,
    HttpStream,
)

RETRY_DELAY_S = 0.2


@attrs.frozen
class ServerEvent:
    """One server-sent event."""

    name: str
    data: dict[str, Any]


@attrs.define
class ModelResult:
    """What a caller received for one model request.

    Parameters
    ----------
    text : str
        Text received, in order.
    token_count : int
        Number of tokens in `text`.
    complete : bool
        Whether the announced number of tokens arrived.
    refusal : dict or None
        Problem document of the last refusal.
    resumes : int
        Number of resume requests sent.
    token : str or None
        Latest resume token of the stream.
    """

    text: str = ""
    token_count: int = 0
    complete: bool = False
    refusal: dict[str, Any] | None = None
    resumes: int = 0
    token: str | None = None


@attrs.define
class BookingResult:
    """What a caller received for one non-repeatable request.

    Parameters
    ----------
    key : str
        Idempotency key, the same in all attempts.
    request_id : str
        Request id, the same in all attempts.
    answer : dict or None
        Body of the successful response.
    refusal : dict or None
        Problem document of the last refusal.
    attempts : int
        Number of requests sent.
    """

    key: str
    request_id: str
    answer: dict[str, Any] | None = None
    refusal: dict[str, Any] | None = None
    attempts: int = 0

    @property
    def outcome(self) -> str:
        """Outcome as far as the caller knows it."""
        if self.answer is not None:
            return "completed"
        return (self.refusal or {}).get("outcome", "unknown")


async def read_events(stream: HttpStream) -> AsyncIterator[ServerEvent]:
    """Yield the server-sent events of a response."""
    pending = b""
    async for chunk in stream.read_chunks():
        pending += chunk
        while b"\n\n" in pending:
            block, _, pending = pending.partition(b"\n\n")
            name, data = "message", "{}"
            for line in block.decode().splitlines():
                field, _, value = line.partition(": ")
                if field == "event":
                    name = value
                elif field == "data":
                    data = value
            yield ServerEvent(name, json.loads(data))


class Caller:
    """Client of the entry hosts, as one account.

    Parameters
    ----------
    hosts : Sequence[str]
        Base URLs of entry hosts; each request goes to a random one, as through a load
        balancer.
    key : str
        Bearer key of the account.
    rng : random.Random
        Chooses the entry host.
    deadline_s : float
        Time after which a request is not retried; also the timeout of one exchange.
    headers : Mapping or None
        Additional headers of every request.
    """

    def __init__(
        self,
        hosts: Sequence[str],
        key: str,
        rng: random.Random,
        deadline_s: float = 30.0,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        self._hosts = list(hosts)
        self._key = key
        self._rng = rng
        self._deadline_s = deadline_s
        self._extra_headers = dict(headers or {})
        # A new connection for each request: one that a killed host left half open must
        # not carry the next request.
        self._session = HttpSession(keep_alive=False)

    async def generate(
        self, service: str, route: str, prompt: str, max_tokens: int
    ) -> ModelResult:
        """Send a model request and resume its stream until it is complete."""
        result = ModelResult()
        loop = asyncio.get_running_loop()
        stop_at_s = loop.time() + self._deadline_s
        while not result.complete and loop.time() < stop_at_s:
            if result.token is None:
                path = f"/v1/services/{service}/routes/{route}"
                body: dict[str, Any] = {"prompt": prompt, "max_tokens": max_tokens}
                result.text, result.token_count = "", 0
            else:
                path = "/v1/streams/resume"
                body = {
                    "token": result.token,
                    "from_index": result.token_count,
                    "prompt": prompt,
                    "text": result.text,
                }
                result.resumes += 1
            try:
                await self._read_stream(path, body, result)
            except EXCHANGE_ERRORS:
                # The connection broke; a resume token continues on another host.
                await asyncio.sleep(RETRY_DELAY_S)
        return result

    async def _read_stream(
        self, path: str, body: dict[str, Any], result: ModelResult
    ) -> None:
        """Send one request and add what it streams to `result`."""
        exchange = self._session.stream(
            "POST", self._choose_host() + path, payload=body, headers=self._headers
        )
        async with asyncio.timeout(self._deadline_s), exchange as stream:
            if stream.status != 200:
                answer = await stream.read_response()
                result.refusal = answer.read_json_object()
                if stream.status == 403:
                    # The resume token was rejected: the whole request is sent again.
                    result.token = None
                await asyncio.sleep(RETRY_DELAY_S)
                return
            async for event in read_events(stream):
                if event.name in ("resume", "handover"):
                    result.token = event.data["token"]
                elif event.name == "token":
                    if event.data["index"] != result.token_count:
                        raise OSError("Token out of order: one is missing or repeated.")
                    result.text += event.data["text"]
                    result.token_count += 1
                elif event.name == "done":
                    result.complete = event.data["count"] == result.token_count
                    return
                elif event.name == "problem":
                    result.refusal = event.data
                    await asyncio.sleep(RETRY_DELAY_S)
                    return

    async def book(self, service: str, route: str, body: Any) -> BookingResult:
        """Send a non-repeatable request, with retries until its outcome is known."""
        key = str(uuid6.uuid7())
        result = BookingResult(key=key, request_id=key)
        loop = asyncio.get_running_loop()
        stop_at_s = loop.time() + self._deadline_s
        while loop.time() < stop_at_s:
            result.attempts += 1
            headers = {
                "Idempotency-Key": result.key,
                "Idempotency-Attempt": str(result.attempts),
                "Request-Id": result.request_id,
            }
            path = f"/v1/services/{service}/routes/{route}"
            response = await self._post(path, body, headers)
            answer = response.read_json_object() if response is not None else None
            if response is None or answer is None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if response.status == 200:
                result.answer, result.refusal = answer, None
                return result
            result.refusal = answer
            if answer.get("outcome") == "not_run":
                return result
            await asyncio.sleep(RETRY_DELAY_S)
        return result

    async def call(self, service: str, route: str, body: Any) -> HttpResponse | None:
        """Send one repeatable request to a plain service."""
        return await self._post(f"/v1/services/{service}/routes/{route}", body, {})

    @property
    def _headers(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._key}", **self._extra_headers}

    def _choose_host(self) -> str:
        return self._rng.choice(self._hosts)

    async def _post(
        self, path: str, body: Any, headers: dict[str, str]
    ) -> HttpResponse | None:
        """Return the answer, or None if the exchange failed."""
        response = await self._session.request(
            "POST",
            self._choose_host() + path,
            payload=body,
            headers={**self._headers, **headers},
            timeout_ms=int(self._deadline_s * 1000),
        )
        return None if isinstance(response, Err) else response.ok_value
