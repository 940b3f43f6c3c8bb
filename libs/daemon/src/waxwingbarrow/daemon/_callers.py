"""HTTP interface for callers."""

from collections.abc import AsyncIterator, Callable
from typing import Protocol

import attrs
from prometheus_client import Histogram
from result import Err, Ok, Result
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route as HttpRoute

from waxwingbarrow.claims import Answer as BookedAnswer
from waxwingbarrow.claims import KeyUnknown, refuse_unclaimed
from waxwingbarrow.core import (
    Clock,
    Instant,
    InvalidRequest,
    NotReady,
    Refusal,
    ResumeRejected,
    RouteName,
    ServiceName,
    ShuttingDown,
    UnknownService,
    UpstreamFailed,
)
from waxwingbarrow.daemon._accounts import find_account
from waxwingbarrow.daemon._admission import Admissions
from waxwingbarrow.daemon._answers import Answer
from waxwingbarrow.daemon._bookings import Bookings, Completed, SendResult
from waxwingbarrow.daemon._calls import Calls
from waxwingbarrow.daemon._control import Configuration, ControlPlane
from waxwingbarrow.daemon._events import (
    Failed,
    Finished,
    GenerationContext,
    GenerationEvent,
    HandedOver,
    Prompt,
    ResumeOffer,
    Tokens,
)
from waxwingbarrow.daemon._lifecycle import Lifecycle
from waxwingbarrow.daemon._metrics import Metrics
from waxwingbarrow.daemon._problems import (
    make_event,
    make_problem_event,
    make_problem_response,
    make_token_event,
)
from waxwingbarrow.daemon._requests import (
    CallerRequest,
    PromptBody,
    ResumeBody,
    check_json,
    read_body,
    read_request,
)
from waxwingbarrow.daemon._trace import Trace
from waxwingbarrow.document import ServiceDocument, ServiceKind
from waxwingbarrow.limits import Admission
from waxwingbarrow.streams import ResumeToken, open_token

MEDIA_TYPE = "text/event-stream"
CHARS_PER_TOKEN = 4


class ClockCheck(Protocol):
    """Tells whether the host's clock has stepped."""

    def __call__(self) -> bool:
        """Return whether the age of keys cannot be judged."""
        ...


@attrs.frozen(kw_only=True)
class CallerContext:
    """Parts of the host that serve callers."""

    control: ControlPlane
    lifecycle: Lifecycle
    admissions: Admissions
    generation: GenerationContext
    calls: Calls
    bookings: Bookings
    metrics: Metrics
    trace: Trace
    clock: Clock
    is_clock_suspect: ClockCheck
    max_body_bytes: int


class _Meter:
    """Measures one request for the metrics of its account and class."""

    def __init__(self, metrics: Metrics, request: CallerRequest) -> None:
        self._metrics = metrics
        self._labels = (request.service, request.account, request.priority_class.value)
        self._received_ms = request.received.mono_ms
        self._last_token_ms: int | None = None
        # Kept after the first token, because finding a child by its labels costs more
        # than observing a value.
        self._token_gap_s: Histogram | None = None

    def note_tokens(self, now: Instant) -> None:
        """Note that tokens go out now."""
        if self._last_token_ms is None:
            seconds = (now.mono_ms - self._received_ms) / 1000
            self._metrics.first_token_s.labels(*self._labels).observe(seconds)
        else:
            seconds = (now.mono_ms - self._last_token_ms) / 1000
            if self._token_gap_s is None:
                self._token_gap_s = self._metrics.token_gap_s.labels(*self._labels)
            self._token_gap_s.observe(seconds)
        self._last_token_ms = now.mono_ms

    def end(self, result: str, now: Instant) -> None:
        """Note how the request ended."""
        seconds = (now.mono_ms - self._received_ms) / 1000
        self._metrics.requests.labels(*self._labels, result).inc()
        self._metrics.request_s.labels(*self._labels).observe(seconds)


class CallerEndpoints:
    """Requests of callers."""

    def __init__(self, context: CallerContext) -> None:
        self._context = context

    def list_routes(self) -> list[HttpRoute]:
        """Return the routes of the HTTP application."""
        return [
            HttpRoute(
                "/v1/services/{service}/routes/{route}",
                self.post_request,
                methods=["POST"],
            ),
            HttpRoute("/v1/streams/resume", self.post_resume, methods=["POST"]),
            HttpRoute("/v1/services/{service}/keys/{key}", self.read_key),
        ]

    async def post_request(self, request: Request) -> Response:
        """Serve one request of a caller."""
        now = self._context.clock.now()
        body = await self._read_body(request)
        if isinstance(body, Err):
            return self._refuse(request, body.err_value, None)
        checked = self._check_service(ServiceName(request.path_params["service"]))
        if isinstance(checked, Err):
            return self._refuse(request, checked.err_value, None)
        configuration = checked.ok_value
        read = read_request(
            request.headers,
            body.ok_value,
            configuration.document,
            request.path_params["route"],
            now,
        )
        if isinstance(read, Err):
            return self._refuse(request, read.err_value, None)
        caller = read.ok_value
        if configuration.document.kind is ServiceKind.MODEL:
            return await self._serve_model(request, configuration, caller)
        return await self._serve_plain(request, configuration, caller)

    async def post_resume(self, request: Request) -> Response:
        """Continue a stream with the caller's resume token."""
        context = self._context
        now = context.clock.now()
        raw = await self._read_body(request)
        read = raw.and_then(lambda body: read_body(body, ResumeBody))
        if isinstance(read, Err):
            return self._refuse(request, read.err_value, None)
        body: ResumeBody = read.ok_value
        opened = self._open_token(request, body.token, now)
        if isinstance(opened, Err):
            return self._refuse(request, opened.err_value, None)
        configuration, token, route_name = opened.ok_value
        headers = {**request.headers, "request-id": token.request_id}
        checked = read_request(
            headers,
            b"",
            configuration.document,
            body.route or route_name,
            now,
        )
        if isinstance(checked, Err):
            return self._refuse(request, checked.err_value, None)
        caller = checked.ok_value
        prompt = Prompt(
            text=body.prompt or "",
            max_tokens=body.max_tokens,
            delivered=body.text or "",
            first_index=body.from_index,
        )
        context.trace.record(caller.request_id, "resume", str(body.from_index), now)
        # A resumed stream was admitted by the host that began it.
        answer = Answer(context.generation, configuration, caller, prompt)
        meter = _Meter(context.metrics, caller)
        events = answer.walk_resumed(token)
        return await self._stream(request, caller, events, meter, lambda _: None)

    async def read_key(self, request: Request) -> Response:
        """Tell what is known about an idempotency key."""
        checked = self._check_service(ServiceName(request.path_params["service"]))
        if isinstance(checked, Err):
            return self._refuse(request, checked.err_value, None)
        document = checked.ok_value.document
        account = find_account(document, request.headers.get("authorization"))
        if isinstance(account, Err):
            return self._refuse(request, account.err_value, None)
        found = await self._context.bookings.query(
            account.ok_value.account, document.service, request.path_params["key"]
        )
        match found:
            case Ok(KeyUnknown()):
                # Not "not run": a claim that is being appended may still win.
                return JSONResponse({"outcome": "unknown", "claimed": False})
            case Ok(BookedAnswer() as answer):
                return _make_booked_response(answer)
            case Err(refusal):
                return make_problem_response(refusal, request.url.path)
        raise AssertionError("A result is either Ok or Err.")

    # Model services.

    async def _serve_model(
        self, request: Request, configuration: Configuration, caller: CallerRequest
    ) -> Response:
        read = read_body(caller.body, PromptBody)
        if isinstance(read, Err):
            return self._refuse(request, read.err_value, caller)
        body: PromptBody = read.ok_value
        max_tokens = min(body.max_tokens, caller.route.max_output_tokens)
        prompt_tokens = len(body.prompt) // CHARS_PER_TOKEN
        admitted = await self._context.admissions.admit(
            caller, max_tokens, prompt_tokens
        )
        if isinstance(admitted, Err):
            return self._refuse(request, admitted.err_value, caller)
        admission = admitted.ok_value

        def release(generated_tokens: int) -> None:
            # Counted like the estimate; otherwise the measured pace is that of
            # generated tokens alone and long prompts are refused as hopeless.
            used = prompt_tokens + generated_tokens if generated_tokens else 0
            self._context.admissions.finish(caller.service, admission, used)

        prompt = Prompt(text=body.prompt, max_tokens=max_tokens)
        answer = Answer(self._context.generation, configuration, caller, prompt)
        meter = _Meter(self._context.metrics, caller)
        if body.stream:
            return await self._stream(request, caller, answer.walk(), meter, release)
        return await self._collect(request, caller, answer.walk(), meter, release)

    async def _stream(
        self,
        request: Request,
        caller: CallerRequest,
        events: AsyncIterator[GenerationEvent],
        meter: _Meter,
        release: Callable[[int], None],
    ) -> Response:
        """Stream an answer; a refusal before its first event has its own status."""
        try:
            first = await anext(events)
        except BaseException:
            release(0)
            raise
        if isinstance(first, Failed):
            release(0)
            meter.end(first.refusal.slug, self._context.clock.now())
            return self._refuse(request, first.refusal, caller)

        async def write() -> AsyncIterator[bytes]:
            count, result = 0, "disconnected"
            try:
                event: GenerationEvent | None = first
                while event is not None:
                    if isinstance(event, Tokens):
                        count += len(event.tokens)
                        meter.note_tokens(self._context.clock.now())
                    yield _write_event(event, request.url.path)
                    result = _name_result(event)
                    event = await anext(events, None)
            finally:
                await events.aclose()  # type: ignore[attr-defined]
                release(count)
                meter.end(result, self._context.clock.now())

        headers = {"Request-Id": caller.request_id, "Cache-Control": "no-store"}
        return StreamingResponse(write(), media_type=MEDIA_TYPE, headers=headers)

    async def _collect(
        self,
        request: Request,
        caller: CallerRequest,
        events: AsyncIterator[GenerationEvent],
        meter: _Meter,
        release: Callable[[int], None],
    ) -> Response:
        """Return a whole answer as one JSON object."""
        parts: list[str] = []
        refusal: Refusal = UpstreamFailed(reason="The answer ended early.")
        count = 0
        try:
            async for event in events:
                match event:
                    case Tokens(tokens=tokens):
                        meter.note_tokens(self._context.clock.now())
                        parts.extend(token.text for token in tokens)
                        count += len(tokens)
                    case Finished(version=version):
                        meter.end("complete", self._context.clock.now())
                        return JSONResponse(
                            {
                                "request_id": caller.request_id,
                                "version": version,
                                "text": "".join(parts),
                                "count": count,
                            }
                        )
                    case Failed(refusal=refusal):
                        break
                    case HandedOver():
                        # A caller without a stream cannot resume; it sends again.
                        refusal = UpstreamFailed(
                            reason="The host is stopping.", retry_after_s=1
                        )
                        break
        finally:
            release(count)
        meter.end(refusal.slug, self._context.clock.now())
        return self._refuse(request, refusal, caller)

    # Plain services.

    async def _serve_plain(
        self, request: Request, configuration: Configuration, caller: CallerRequest
    ) -> Response:
        checked = check_json(caller.body)
        if isinstance(checked, Err):
            return self._refuse(request, checked.err_value, caller)
        admitted = await self._context.admissions.admit(caller, 1)
        if isinstance(admitted, Err):
            return self._refuse(request, admitted.err_value, caller)
        meter = _Meter(self._context.metrics, caller)
        try:
            if caller.route.repeatable:
                response = await self._call(request, configuration, caller, meter)
            else:
                response = await self._book(request, configuration, caller, meter)
        finally:
            self._finish_call(caller, admitted.ok_value)
        return response

    def _finish_call(self, caller: CallerRequest, admission: Admission) -> None:
        self._context.admissions.finish(caller.service, admission, 1)

    async def _call(
        self,
        request: Request,
        configuration: Configuration,
        caller: CallerRequest,
        meter: _Meter,
    ) -> Response:
        called = await self._context.calls.call(configuration, caller)
        now = self._context.clock.now()
        match called:
            case Ok(Completed() as done):
                meter.end("complete", now)
                return Response(
                    done.body,
                    done.status,
                    media_type=done.content_type or None,
                    headers={"Request-Id": caller.request_id},
                )
            case Err(refusal):
                meter.end(refusal.slug, now)
                return make_problem_response(refusal, request.url.path)
        raise AssertionError("A result is either Ok or Err.")

    async def _book(
        self,
        request: Request,
        configuration: Configuration,
        caller: CallerRequest,
        meter: _Meter,
    ) -> Response:
        context = self._context

        async def send() -> SendResult:
            return await context.calls.send_once(configuration, caller)

        booked = await context.bookings.execute(
            caller, send, context.is_clock_suspect()
        )
        now = context.clock.now()
        match booked:
            case Ok(answer):
                meter.end("complete", now)
                context.metrics.claims.labels(caller.service, "complete").inc()
                context.trace.record(caller.request_id, "booked", caller.key or "", now)
                return _make_booked_response(answer)
            case Err(refusal):
                meter.end(refusal.slug, now)
                context.metrics.claims.labels(caller.service, refusal.slug).inc()
                context.trace.record(
                    caller.request_id, refusal.slug, refusal.detail, now
                )
                return make_problem_response(refusal, request.url.path)
        raise AssertionError("A result is either Ok or Err.")

    # Checks.

    async def _read_body(self, request: Request) -> Result[bytes, InvalidRequest]:
        limit = self._context.max_body_bytes
        parts, size = [], 0
        try:
            async for part in request.stream():
                size += len(part)
                if size > limit:
                    reason = f"The body exceeds {limit} bytes."
                    return Err(InvalidRequest(reason=reason))
                parts.append(part)
        except ClientDisconnect:
            return Err(InvalidRequest(reason="The connection ended in the body."))
        return Ok(b"".join(parts))

    def _check_service(self, service: ServiceName) -> Result[Configuration, Refusal]:
        if not self._context.lifecycle.accepts_requests:
            if self._context.lifecycle.state == "stopped":
                return Err(ShuttingDown(retry_after_s=1))
            return Err(NotReady(retry_after_s=1))
        found = self._context.control.find(service)
        if found is None:
            return Err(UnknownService(reason="No such service is configured."))
        return Ok(found)

    def _open_token(
        self, request: Request, text: str, now: Instant
    ) -> Result[tuple[Configuration, ResumeToken, RouteName], Refusal]:
        """Find the account by its key, then open the token for that account."""
        configurations = self._context.control.configurations.values()
        header = request.headers.get("authorization")
        rejected: Refusal = ResumeRejected(reason="The bearer key is unknown.")
        for configuration in configurations:
            account = find_account(configuration.document, header)
            if isinstance(account, Err):
                continue
            keys = self._context.generation.keys
            opened = open_token(text, account.ok_value.account, keys, now)
            if isinstance(opened, Err):
                rejected = opened.err_value
            elif opened.ok_value.service == configuration.document.service:
                route = _find_first_route(configuration.document)
                return Ok((configuration, opened.ok_value, route))
        return Err(rejected)

    def _refuse(
        self, request: Request, refusal: Refusal, caller: CallerRequest | None
    ) -> Response:
        """Respond with a refusal that was given before any claim was read.

        A request with an idempotency key that is not declared as a first attempt may
        have run through another host, whatever this host refuses it for.
        """
        if request.headers.get("idempotency-key") is not None:
            first_attempt = request.headers.get("idempotency-attempt") == "1"
            refusal = refuse_unclaimed(refusal, first_attempt)
        if caller is not None:
            now = self._context.clock.now()
            self._context.trace.record(
                caller.request_id, refusal.slug, refusal.detail, now
            )
        return make_problem_response(refusal, request.url.path)


def _find_first_route(document: ServiceDocument) -> RouteName:
    return document.routes[0].route


def _name_result(event: GenerationEvent) -> str:
    match event:
        case Finished():
            return "complete"
        case Failed(refusal=refusal):
            return refusal.slug
        case HandedOver():
            return "handed-over"
        case _:
            return "disconnected"


def _write_event(event: GenerationEvent, instance: str) -> bytes:
    match event:
        case ResumeOffer(token=token):
            return make_event("resume", {"token": token})
        case Tokens(tokens=tokens):
            return b"".join(
                make_token_event(token.index, token.text) for token in tokens
            )
        case Finished(count=count, version=version):
            return make_event("done", {"count": count, "version": version})
        case HandedOver(token=token, from_index=from_index):
            return make_event("handover", {"token": token, "from_index": from_index})
        case Failed(refusal=refusal):
            return make_problem_event(refusal, instance)


def _make_booked_response(answer: BookedAnswer) -> Response:
    if answer.body is None:
        return JSONResponse({"outcome": "completed", "body_omitted": True})
    return Response(answer.body, answer.status, media_type=answer.content_type or None)
