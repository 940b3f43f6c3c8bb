"""Model engine stand-in."""

import asyncio
import base64
import json
import os
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from waxwingbarrow.core import PriorityClass
from waxwingbarrow.standins._batch import Batch
from waxwingbarrow.standins._cache import PrefixCache
from waxwingbarrow.standins._options import EngineFaults, EngineSettings
from waxwingbarrow.standins._server import abort_connection, read_faults
from waxwingbarrow.standins._text import count_tokens, hash_blocks, make_token

CRASH_EXIT_CODE = 70


@attrs.define(eq=False)
class _Stream:
    """Generation that goes on without a reader, so that it can be resumed."""

    stream_id: str
    model: str
    prompt: str
    first_index: int
    max_tokens: int
    cached_tokens: int
    tokens: list[str] = attrs.field(factory=list)
    token_added: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    reader_count: int = 0
    unread_since_s: float = attrs.field(factory=time.monotonic)

    @property
    def next_index(self) -> int:
        return self.first_index + len(self.tokens)

    @property
    def full_text(self) -> str:
        return self.prompt + "".join(
            make_token(self.model, self.prompt, i) for i in range(self.next_index)
        )

    def notify_readers(self) -> None:
        self.token_added.set()
        self.token_added = asyncio.Event()


class EngineStandin:
    """State and HTTP handlers of one engine.

    Parameters
    ----------
    settings : EngineSettings
        Speed, capacity, reporting delays and retention.
    exit_process : callable
        Ends the process on a crash fault; in-process tests replace it.
    """

    def __init__(
        self,
        settings: EngineSettings | None = None,
        exit_process: Callable[[int], Any] = os._exit,
    ) -> None:
        self.settings = settings or EngineSettings()
        self.faults = EngineFaults()
        self.cache = PrefixCache(
            self.settings.cache_tokens,
            self.settings.cache_event_lag_s,
            self.settings.lose_cache_event_every,
        )
        self.streams: dict[str, _Stream] = {}
        self.orders: list[dict[str, Any]] = []
        # Prompt tokens that prefill processed because the cache did not hold them.
        self.recomputed_tokens = 0
        self._exit_process = exit_process
        self._batch = Batch(self.settings.batch_limit)
        self._queued_tokens = 0
        self._load_reports: list[tuple[float, dict[str, Any]]] = []
        self._highest_fencing = -1

    def make_app(self) -> Starlette:
        """Return the ASGI application."""
        stream_path = "/v1/streams/{stream_id}"
        return Starlette(
            routes=[
                Route("/v1/generate", self._generate, methods=["POST"]),
                Route(f"{stream_path}/resume", self._resume, methods=["POST"]),
                Route(stream_path, self._cancel, methods=["DELETE"]),
                Route("/v1/load", self._read_load),
                Route("/v1/cache-events", self._read_cache_events),
                Route("/v1/kv/export", self._export_cache, methods=["POST"]),
                Route("/v1/kv/import", self._import_cache, methods=["POST"]),
                Route("/v1/orders", self._receive_order, methods=["POST"]),
                Route("/standin/faults", self._set_faults, methods=["POST"]),
                Route("/standin/counters", self._read_counters),
            ]
        )

    def measure_load(self) -> dict[str, Any]:
        """Measure the load and return a report that is at least `load_lag_s` old.

        As long as no report is that old, the oldest one is returned.
        """
        now_s = time.monotonic()
        divisor = max(self.faults.slow_factor, 1e-9)
        load = {
            "in_flight": self._batch.in_flight,
            "queued_tokens": self._queued_tokens,
            "prefill_tokens_per_s": self.settings.prefill_tokens_per_s / divisor,
            "decode_tokens_per_s": self.settings.decode_tokens_per_s / divisor,
            "batch_limit": self.settings.batch_limit,
        }
        self._load_reports.append((now_s, load))
        visible_until_s = now_s - self.settings.load_lag_s
        while (
            len(self._load_reports) > 1 and self._load_reports[1][0] <= visible_until_s
        ):
            self._load_reports.pop(0)
        measured_s, visible_load = self._load_reports[0]
        return {**visible_load, "age_ms": int((now_s - measured_s) * 1000)}

    def _make_headers(self) -> dict[str, str]:
        headers = {"Upstream-Load": json.dumps(self.measure_load())}
        if self.faults.leaving:
            headers["Upstream-State"] = "leaving"
        return headers

    def _make_response(self, data: Any, status: int = 200) -> Response:
        return JSONResponse(data, status, self._make_headers())

    def _select_faults(self, prompt: str) -> EngineFaults:
        if self.faults.only_marker in prompt:
            return self.faults
        return EngineFaults(leaving=self.faults.leaving)

    async def _generate(self, request: Request) -> Response:
        call = await request.json()
        prompt: str = call["prompt"]
        marker = self.faults.crash_marker
        if marker and marker in prompt:
            self._exit_process(CRASH_EXIT_CODE)
            abort_connection(request)
            return Response()
        faults = self._select_faults(prompt)
        if faults.fail_status:
            return self._make_response({"detail": "Failed."}, faults.fail_status)
        self._drop_unread_streams()
        blocks = hash_blocks(call["model"], prompt + call.get("continue_from", ""))
        stream = _Stream(
            stream_id=f"{call['request_id']}.{call['attempt_id']}",
            model=call["model"],
            prompt=prompt,
            first_index=call.get("first_index", 0),
            max_tokens=call["max_tokens"],
            cached_tokens=self.cache.count_cached_tokens(blocks),
        )
        self.streams[stream.stream_id] = stream
        tokens = count_tokens(prompt + call.get("continue_from", ""))
        rank = PriorityClass(call.get("priority", "standard")).rank
        prefill_tokens = max(0, tokens - stream.cached_tokens)
        stream.task = asyncio.create_task(
            self._run_stream(stream, rank, prefill_tokens, blocks)
        )
        return self._make_stream_response(
            request, stream, call["attempt_id"], stream.first_index
        )

    async def _run_stream(
        self, stream: _Stream, rank: int, prefill_tokens: int, blocks: tuple[int, ...]
    ) -> None:
        self._queued_tokens += prefill_tokens
        try:
            await self._batch.acquire_slot(rank)
        finally:
            self._queued_tokens -= prefill_tokens
        try:
            slowdown = self._select_faults(stream.prompt).slow_factor
            await asyncio.sleep(
                prefill_tokens * slowdown / self.settings.prefill_tokens_per_s
            )
            self.recomputed_tokens += prefill_tokens
            self.cache.store(blocks)
            due_s = time.monotonic()
            while stream.next_index < stream.max_tokens:
                slowdown = self._select_faults(stream.prompt).slow_factor
                due_s += slowdown / self.settings.decode_tokens_per_s
                await asyncio.sleep(due_s - time.monotonic())
                token = make_token(stream.model, stream.prompt, stream.next_index)
                stream.tokens.append(token)
                stream.notify_readers()
        finally:
            self._batch.release_slot()

    async def _resume(self, request: Request) -> Response:
        call = await request.json()
        stream = self.streams.get(request.path_params["stream_id"])
        from_index = call["from_index"]
        if stream is None or from_index < stream.first_index:
            return self._make_response({"detail": "The stream is not kept."}, 404)
        overlap = self._select_faults(stream.prompt).overlap
        first_index = max(stream.first_index, from_index - overlap)
        return self._make_stream_response(
            request, stream, call["attempt_id"], first_index
        )

    def _make_stream_response(
        self,
        request: Request,
        stream: _Stream,
        attempt_id: str,
        first_index: int,
    ) -> Response:
        async def send_events() -> AsyncIterator[str]:
            stream.reader_count += 1
            try:
                async for event in self._make_events(
                    request, stream, attempt_id, first_index
                ):
                    yield event
            finally:
                stream.reader_count -= 1
                stream.unread_since_s = time.monotonic()

        return StreamingResponse(
            send_events(),
            media_type="text/event-stream",
            headers=self._make_headers(),
        )

    async def _make_events(
        self, request: Request, stream: _Stream, attempt_id: str, first_index: int
    ) -> AsyncIterator[str]:
        def make_token_event(index: int) -> str:
            text = stream.tokens[index - stream.first_index]
            data = {"attempt_id": attempt_id, "index": index, "text": text}
            return _make_event("token", data)

        yield _make_event(
            "start",
            {
                "stream_id": stream.stream_id,
                "attempt_id": attempt_id,
                "cached_tokens": stream.cached_tokens,
            },
        )
        delayed_event = ""
        for index in range(first_index, stream.max_tokens):
            while stream.next_index <= index:
                await stream.token_added.wait()
            faults = self._select_faults(stream.prompt)
            if index == faults.fail_at:
                data = {"attempt_id": attempt_id, "reason": "injected"}
                yield _make_event("error", data)
                return
            if index == faults.cut_at and faults.cut_count > 0:
                self.faults = attrs.evolve(self.faults, cut_count=faults.cut_count - 1)
                # Lets the transport send the earlier events first: the abort drops what
                # is still buffered, which would cut the stream before this index.
                await asyncio.sleep(0.005)
                abort_connection(request)
                return
            if index == faults.stall_at:
                await asyncio.Event().wait()
            event = make_token_event(index)
            if index == faults.reorder_at and index + 1 < stream.max_tokens:
                delayed_event = event
                continue
            yield event + delayed_event
            delayed_event = ""
            if index == faults.duplicate_at:
                yield event
        announced_count = (
            stream.max_tokens + self._select_faults(stream.prompt).wrong_length
        )
        load = self.measure_load()
        done = {"attempt_id": attempt_id, "count": announced_count, "load": load}
        yield _make_event("done", done)

    async def _cancel(self, request: Request) -> Response:
        stream = self.streams.pop(request.path_params["stream_id"], None)
        if stream is not None and stream.task is not None:
            stream.task.cancel()
        return Response(status_code=204, headers=self._make_headers())

    def _drop_unread_streams(self) -> None:
        oldest_s = time.monotonic() - self.settings.keep_s
        for stream in list(self.streams.values()):
            if not stream.reader_count and stream.unread_since_s < oldest_s:
                del self.streams[stream.stream_id]
                if stream.task is not None:
                    stream.task.cancel()

    async def _read_load(self, request: Request) -> Response:
        return self._make_response(self.measure_load())

    async def _read_cache_events(self, request: Request) -> Response:
        from_number = int(request.query_params.get("from", "0"))
        return self._make_response(self.cache.read_events(from_number))

    async def _export_cache(self, request: Request) -> Response:
        stream = self.streams.get((await request.json())["stream_id"])
        if self.faults.refuse_export:
            return self._make_response({"detail": "Exports are refused."}, 503)
        if stream is None:
            return self._make_response({"detail": "The stream is not kept."}, 404)
        data = {"model": stream.model, "text": stream.full_text}
        blob = base64.b64encode(json.dumps(data).encode()).decode()
        return self._make_response({"blob": blob})

    async def _import_cache(self, request: Request) -> Response:
        if self.faults.refuse_import:
            return self._make_response({"detail": "Imports are refused."}, 503)
        data = json.loads(base64.b64decode((await request.json())["blob"]))
        tokens = self.cache.store(hash_blocks(data["model"], data["text"]))
        return self._make_response({"tokens": tokens})

    async def _receive_order(self, request: Request) -> Response:
        order = await request.json()
        if self.settings.checks_fencing and order["fencing"] < self._highest_fencing:
            return self._make_response({"detail": "The fencing number is old."}, 409)
        self._highest_fencing = max(self._highest_fencing, order["fencing"])
        is_known = any(o["order_id"] == order["order_id"] for o in self.orders)
        if not is_known:
            self.orders.append(order)
        return self._make_response({"applied": not is_known})

    async def _set_faults(self, request: Request) -> Response:
        faults, answer = await read_faults(request, EngineFaults)
        self.faults = faults or self.faults
        return answer

    async def _read_counters(self, request: Request) -> Response:
        return self._make_response(
            {"recomputed_tokens": self.recomputed_tokens, "orders": self.orders}
        )


def _make_event(name: str, data: Any) -> str:
    return f"event: {name}\ndata: {json.dumps(data)}\n\n"
