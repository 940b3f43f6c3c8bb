"""HTTP client for model engines."""

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
    AnswerBroken,
    MaybeSent,
    UpstreamFailure,
    from_http_failure,
    is_leaving,
    make_rejected,
)
from waxwingbarrow.upstreams._load import LoadReport, read_known, read_load_header

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class GenerateCall:
    """Request to generate text.

    Parameters
    ----------
    request_id, attempt_id : str
        Identities of the request and of this attempt.
    model, prompt : str
        Name of the model, and prompt of the request without any generated text.
    max_tokens : int
        Length limit of the whole text, including the tokens before `first_index`.
    priority : PriorityClass
        Priority in the engine's queue.
    seed : int
        Seed of the sampling.
    continue_from : str
        Text that earlier attempts have delivered.
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
    """Time limits of a streamed answer.

    Parameters
    ----------
    first_byte_ms : int
        Limit from the request to the headers, and from the headers to the first event.
    between_events_ms : int
        Limit between two events.
    """

    first_byte_ms: int = 30_000
    between_events_ms: int = 10_000


@attrs.frozen
class CacheEvent:
    """Storage or eviction of a prompt prefix in an engine's cache.

    Parameters
    ----------
    number : int
        Sequence number; a gap means that events were lost.
    kind : str
        ``stored`` or ``evicted``.
    blocks : tuple of int
        Hashes of the blocks of the prefix.
    """

    number: int
    kind: str
    blocks: tuple[int, ...]


@attrs.frozen
class CacheEventPage:
    """Cache events in order of their numbers, and the number to read from next."""

    next: int
    events: tuple[CacheEvent, ...]


@attrs.frozen
class ImportedCache:
    """Result of a KV cache import: the number of tokens added to the cache."""

    tokens: int


@attrs.frozen
class Order:
    """Order to an engine to change what it serves.

    Parameters
    ----------
    order_id : str
        Identity of the order; an engine applies each identity once.
    fencing : int
        Log offset of the lease under which the order is given. Engines that check it
        reject an order whose offset is lower than that of an earlier order.
    kind : str
        For example ``load_model``, ``load_adapter``, ``set_version`` or ``set_role``.
    argument : str
        What to load, or the value to set.
    """

    order_id: str
    fencing: int
    kind: str
    argument: str = ""


@attrs.frozen
class OrderAnswer:
    """Whether the order was applied now; false if it had been applied before."""

    applied: bool


@attrs.frozen
class _Exported:
    blob: str


class EngineClient:
    """Calls the HTTP API of model engines.

    Parameters
    ----------
    session : HttpSession
        HTTP connections to use.
    timeouts : StreamTimeouts
        Time limits of streamed answers.
    timeout_ms : int
        Time limit of the other calls.
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
        """Generate text and yield the engine's events.

        The iterator ends after ``Finished``, ``EngineError`` or one failure. Closing it
        closes the connection; the engine keeps the stream for a while, so that `resume`
        can continue it.
        """
        payload = attrs.asdict(call)
        return self._stream_events(target, "/v1/generate", payload)

    def resume(
        self, target: UpstreamAddress, stream_id: str, attempt_id: str, from_index: int
    ) -> AsyncIterator[EngineEvent | UpstreamFailure]:
        """Read a stream that the engine keeps from `from_index` on; see `generate`."""
        payload = {"attempt_id": attempt_id, "from_index": from_index}
        path = f"/v1/streams/{quote(stream_id, safe='')}/resume"
        return self._stream_events(target, path, payload)

    async def cancel(
        self, target: UpstreamAddress, stream_id: str
    ) -> Result[None, UpstreamFailure]:
        """Stop a stream and make the engine discard what it keeps for `resume`."""
        path = f"/v1/streams/{quote(stream_id, safe='')}"
        match await self._call(target, "DELETE", path):
            case Ok(_):
                return Ok(None)
            case Err(failure):
                return Err(failure)

    async def load(
        self, target: UpstreamAddress
    ) -> Result[LoadReport, UpstreamFailure]:
        """Read the current load report of the engine."""
        return await self._call_and_read(target, "GET", "/v1/load", LoadReport)

    async def read_cache_events(
        self, target: UpstreamAddress, from_number: int
    ) -> Result[CacheEventPage, UpstreamFailure]:
        """Read cache events; the engine reports them late and may lose some."""
        path = f"/v1/cache-events?from={from_number}"
        return await self._call_and_read(target, "GET", path, CacheEventPage)

    async def export_kv(
        self, target: UpstreamAddress, stream_id: str
    ) -> Result[str, UpstreamFailure]:
        """Export the KV cache of a stream as an opaque text."""
        answer = await self._call_and_read(
            target, "POST", "/v1/kv/export", _Exported, {"stream_id": stream_id}
        )
        return answer.map(lambda exported: exported.blob)

    async def import_kv(
        self, target: UpstreamAddress, blob: str
    ) -> Result[ImportedCache, UpstreamFailure]:
        """Import a KV cache that another engine exported."""
        return await self._call_and_read(
            target, "POST", "/v1/kv/import", ImportedCache, {"blob": blob}
        )

    async def order(
        self, target: UpstreamAddress, order: Order
    ) -> Result[OrderAnswer, UpstreamFailure]:
        """Send an order; ``Rejected`` with status 409 means an outdated `fencing`."""
        return await self._call_and_read(
            target, "POST", "/v1/orders", OrderAnswer, attrs.asdict(order)
        )

    async def _call(
        self, target: UpstreamAddress, method: str, path: str, payload: Any = None
    ) -> Result[Any, UpstreamFailure]:
        match await self._session.request(
            method, target.make_url(path), payload=payload, timeout_ms=self._timeout_ms
        ):
            case Ok(answer) if 200 <= answer.status < 300:
                return Ok(answer.read_json_object())
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
                return Err(from_http_failure(failure))

    async def _call_and_read(
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
                return (
                    Err(AnswerBroken("malformed answer"))
                    if value is None
                    else Ok(value)
                )
            case Err(failure):
                return Err(failure)

    async def _stream_events(
        self, target: UpstreamAddress, path: str, payload: Any
    ) -> AsyncIterator[EngineEvent | UpstreamFailure]:
        exchange = self._session.stream("POST", target.make_url(path), payload=payload)
        try:
            async with asyncio.timeout(self._timeouts.first_byte_ms / 1000):
                stream = await exchange.__aenter__()
        except EXCHANGE_ERRORS as error:
            yield from_http_failure(classify_error(error, "POST"))
            return
        try:
            async for event in self._read_events(stream):
                yield event
        finally:
            await exchange.__aexit__(None, None, None)

    async def _read_events(
        self, stream: HttpStream
    ) -> AsyncIterator[EngineEvent | UpstreamFailure]:
        first_byte_s = self._timeouts.first_byte_ms / 1000
        if stream.status != 200:
            yield await _read_rejection(stream, first_byte_s)
            return
        yield Opened(is_leaving(stream.headers), read_load_header(stream.headers))
        chunks = stream.read_chunks()
        parser = EventParser()
        timeout_s = first_byte_s
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    chunk = await anext(chunks)
                events = [read_event(*item) for item in parser.feed(chunk)]
            except StopAsyncIteration:
                yield AnswerBroken("the stream ended without its last event")
                return
            except TimeoutError:
                yield AnswerBroken(f"no event for {timeout_s} s")
                return
            except MalformedEventError as error:
                yield AnswerBroken(str(error))
                return
            except EXCHANGE_ERRORS as error:
                yield AnswerBroken(classify_error(error, "POST").reason)
                return
            for event in events:
                if event is None:
                    continue
                timeout_s = self._timeouts.between_events_ms / 1000
                yield event
                if isinstance(event, Finished | EngineError):
                    return


async def _read_rejection(stream: HttpStream, timeout_s: float) -> UpstreamFailure:
    try:
        async with asyncio.timeout(timeout_s):
            answer = await stream.read_response()
    except EXCHANGE_ERRORS as error:
        return MaybeSent(classify_error(error, "POST").reason)
    return make_rejected(
        answer.status, answer.headers, answer.body, answer.read_retry_after_s()
    )
