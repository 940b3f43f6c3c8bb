"""Client for model engines."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, TypeVar
from urllib.parse import quote

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import PriorityClass
from waxwingbarrow.platform import (
    EXCHANGE_ERRORS,
    HttpSession,
    HttpStream,
    classify_error,
)
from waxwingbarrow.upstreams._address import UpstreamAddress
from waxwingbarrow.upstreams._events import (
    EngineError,
    EngineEvent,
    EventParser,
    Finished,
    MalformedEventError,
    Opened,
    read_event,
)
from waxwingbarrow.upstreams._failures import (
    Broken,
    MaybeSent,
    UpstreamFailure,
    from_http,
    is_leaving,
    make_rejected,
)
from waxwingbarrow.upstreams._load import LoadReport, read_known, read_load_header

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class GenerateCall:
    """Request for text.

    Parameters
    ----------
    request_id, attempt_id : str
        Identity of the request and of this attempt.
    model, prompt : str
        Model and original prompt.
    max_tokens : int
        Tokens of the whole text, those before `first_index` included.
    priority : PriorityClass
        Priority in the engine.
    seed : int
        Seed of the sampling.
    continue_from : str
        Text that an earlier attempt has delivered.
    first_index : int
        Index of the first token to generate.
    """

    request_id: str
    attempt_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: PriorityClass = PriorityClass.STANDARD
    seed: int = 0
    continue_from: str = ""
    first_index: int = 0


@attrs.frozen
class StreamTimeouts:
    """Limits of an answer that arrives in parts.

    Parameters
    ----------
    first_byte_ms : int
        From the request to the headers, and from the headers to the first event.
    between_events_ms : int
        Between two events.
    """

    first_byte_ms: int = 30_000
    between_events_ms: int = 10_000


@attrs.frozen
class CacheEvent:
    """A prompt prefix was stored in or evicted from an engine's cache.

    Parameters
    ----------
    number : int
        Consecutive number; a missing one was lost.
    kind : str
        ``stored`` or ``evicted``.
    blocks : tuple of int
        Hashes of the prefix's blocks.
    """

    number: int
    kind: str
    blocks: tuple[int, ...]


@attrs.frozen
class CacheEventPage:
    """Cache events from a number on, and the number to go on with."""

    next: int
    events: tuple[CacheEvent, ...]


@attrs.frozen
class ImportedCache:
    """Number of tokens that an import added to the cache."""

    tokens: int


@attrs.frozen
class Order:
    """Order to an engine.

    Parameters
    ----------
    order_id : str
        Identity; an engine applies it once.
    fencing : int
        Offset of the lease under which the order is given.
    kind : str
        For example ``load_model``, ``load_adapter``, ``set_version`` or ``set_role``.
    argument : str
        What to load or set.
    """

    order_id: str
    fencing: int
    kind: str
    argument: str = ""


@attrs.frozen
class OrderAnswer:
    """Whether an order was applied now, or was known before."""

    applied: bool


@attrs.frozen
class _Exported:
    blob: str


class EngineClient:
    """Calls model engines.

    Parameters
    ----------
    session : HttpSession
        Connections to use.
    timeouts : StreamTimeouts
        Limits of answers that arrive in parts.
    timeout_ms : int
        Limit of the other calls.
    """

    def __init__(
        self,
        session: HttpSession,
        timeouts: StreamTimeouts | None = None,
        timeout_ms: int = 2_000,
    ) -> None:
        self._session = session
        self._timeouts = timeouts or StreamTimeouts()
        self._timeout_ms = timeout_ms

    def generate(
        self, target: UpstreamAddress, call: GenerateCall
    ) -> AsyncIterator[EngineEvent | UpstreamFailure]:
        """Generate text.

        The iterator ends after ``Finished``, ``EngineError`` or one failure. Closing it
        closes the connection; the engine keeps the stream for a while.
        """
        payload = attrs.asdict(call)
        return self._stream(target, "/v1/generate", payload)

    def resume(
        self, target: UpstreamAddress, stream_id: str, attempt_id: str, from_index: int
    ) -> AsyncIterator[EngineEvent | UpstreamFailure]:
        """Deliver a stream that the engine keeps, from a token on; see `generate`."""
        payload = {"attempt_id": attempt_id, "from_index": from_index}
        path = f"/v1/streams/{quote(stream_id, safe='')}/resume"
        return self._stream(target, path, payload)

    async def cancel(
        self, target: UpstreamAddress, stream_id: str
    ) -> Result[None, UpstreamFailure]:
        """Stop a stream and drop what the engine keeps of it."""
        path = f"/v1/streams/{quote(stream_id, safe='')}"
        match await self._call(target, "DELETE", path):
            case Ok(_):
                return Ok(None)
            case Err(failure):
                return Err(failure)

    async def load(
        self, target: UpstreamAddress
    ) -> Result[LoadReport, UpstreamFailure]:
        """Read the engine's load."""
        return await self._read(target, "GET", "/v1/load", LoadReport)

    async def read_cache_events(
        self, target: UpstreamAddress, from_number: int
    ) -> Result[CacheEventPage, UpstreamFailure]:
        """Read cache events; they are late and some are lost."""
        path = f"/v1/cache-events?from={from_number}"
        return await self._read(target, "GET", path, CacheEventPage)

    async def export_kv(
        self, target: UpstreamAddress, stream_id: str
    ) -> Result[str, UpstreamFailure]:
        """Export the KV cache of a stream."""
        answer = await self._read(
            target, "POST", "/v1/kv/export", _Exported, {"stream_id": stream_id}
        )
        return answer.map(lambda exported: exported.blob)

    async def import_kv(
        self, target: UpstreamAddress, blob: str
    ) -> Result[ImportedCache, UpstreamFailure]:
        """Import what another engine exported."""
        return await self._read(
            target, "POST", "/v1/kv/import", ImportedCache, {"blob": blob}
        )

    async def order(
        self, target: UpstreamAddress, order: Order
    ) -> Result[OrderAnswer, UpstreamFailure]:
        """Give an order; ``Rejected`` with status 409 means an old fencing number."""
        return await self._read(
            target, "POST", "/v1/orders", OrderAnswer, attrs.asdict(order)
        )

    async def _call(
        self, target: UpstreamAddress, method: str, path: str, payload: Any = None
    ) -> Result[Any, UpstreamFailure]:
        match await self._session.request(
            method, target.make_url(path), payload=payload, timeout_ms=self._timeout_ms
        ):
            case Ok(answer) if 200 <= answer.status < 300:
                return Ok(answer.read_object())
            case Ok(answer):
                return Err(
                    make_rejected(
                        answer.status,
                        answer.headers,
                        answer.body,
                        answer.read_retry_after_s(),
                    )
                )
            case Err(failure):
                return Err(from_http(failure))

    async def _read(
        self,
        target: UpstreamAddress,
        method: str,
        path: str,
        kind: type[T],
        payload: Any = None,
    ) -> Result[T, UpstreamFailure]:
        match await self._call(target, method, path, payload):
            case Ok(data):
                value = read_known(data, kind, path)
                return Err(Broken("malformed answer")) if value is None else Ok(value)
            case Err(failure):
                return Err(failure)

    async def _stream(
        self, target: UpstreamAddress, path: str, payload: Any
    ) -> AsyncIterator[EngineEvent | UpstreamFailure]:
        exchange = self._session.stream("POST", target.make_url(path), payload=payload)
        try:
            async with asyncio.timeout(self._timeouts.first_byte_ms / 1000):
                stream = await exchange.__aenter__()
        except EXCHANGE_ERRORS as error:
            yield from_http(classify_error(error, "POST"))
            return
        try:
            async for event in self._read_stream(stream):
                yield event
        finally:
            await exchange.__aexit__(None, None, None)

    async def _read_stream(
        self, stream: HttpStream
    ) -> AsyncIterator[EngineEvent | UpstreamFailure]:
        first_s = self._timeouts.first_byte_ms / 1000
        if stream.status != 200:
            yield await _read_rejection(stream, first_s)
            return
        yield Opened(is_leaving(stream.headers), read_load_header(stream.headers))
        chunks = stream.read_chunks()
        parser = EventParser()
        limit_s = first_s
        while True:
            try:
                async with asyncio.timeout(limit_s):
                    chunk = await anext(chunks)
                events = [read_event(*item) for item in parser.feed(chunk)]
            except StopAsyncIteration:
                yield Broken("the stream ended without its last event")
                return
            except TimeoutError:
                yield Broken(f"no event for {limit_s} s")
                return
            except MalformedEventError as error:
                yield Broken(str(error))
                return
            except EXCHANGE_ERRORS as error:
                yield Broken(classify_error(error, "POST").reason)
                return
            for event in events:
                if event is None:
                    continue
                limit_s = self._timeouts.between_events_ms / 1000
                yield event
                if isinstance(event, Finished | EngineError):
                    return


async def _read_rejection(stream: HttpStream, limit_s: float) -> UpstreamFailure:
    try:
        async with asyncio.timeout(limit_s):
            answer = await stream.read_answer()
    except EXCHANGE_ERRORS as error:
        return MaybeSent(classify_error(error, "POST").reason)
    return make_rejected(
        answer.status, answer.headers, answer.body, answer.read_retry_after_s()
    )
