"""Handling of requests to model services."""

from collections.abc import AsyncIterator, Callable

from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse

from waxwingbarrow.core import (
    Instant,
    Refusal,
    ResumeRejected,
    RouteName,
    UpstreamFailed,
)
from waxwingbarrow.daemon._accounts import find_account
from waxwingbarrow.daemon._caller_context import CallerContext, RequestMetrics
from waxwingbarrow.daemon._control import Configuration
from waxwingbarrow.daemon._generation import (
    Failed,
    Finished,
    GenerationEvent,
    HandedOver,
    Prompt,
    ResumeOffer,
    Tokens,
)
from waxwingbarrow.daemon._model_answers import ModelAnswer
from waxwingbarrow.daemon._problems import (
    make_problem_event,
    make_sse_event,
    make_token_event,
)
from waxwingbarrow.daemon._requests import (
    CallerRequest,
    PromptBody,
    ResumeBody,
    read_body,
    read_request,
)
from waxwingbarrow.document import ServiceDocument
from waxwingbarrow.streams import ResumeToken, verify_token

MEDIA_TYPE = "text/event-stream"
CHARS_PER_TOKEN = 4  # usual for English text


class ModelServiceHandler:
    """Serves requests to model services as event streams or as one JSON object."""

    def __init__(self, context: CallerContext) -> None:
        self._context = context

    async def serve(
        self, request: Request, configuration: Configuration, caller: CallerRequest
    ) -> Response:
        """Admit a request and return its answer."""
        read = read_body(caller.body, PromptBody)
        if isinstance(read, Err):
            return self._context.refuse(request, read.err_value, caller)
        body: PromptBody = read.ok_value
        max_tokens = min(body.max_tokens, caller.route.max_output_tokens)
        prompt_tokens = len(body.prompt) // CHARS_PER_TOKEN
        admitted = await self._context.admissions.admit(
            caller, max_tokens, prompt_tokens
        )
        if isinstance(admitted, Err):
            return self._context.refuse(request, admitted.err_value, caller)
        admission = admitted.ok_value

        def release(generated_tokens: int) -> None:
            # Prompt tokens are counted as at admission. Without them the measured rate
            # would cover generated tokens only, and long prompts would be refused for
            # their deadline.
            used = prompt_tokens + generated_tokens if generated_tokens else 0
            self._context.admissions.finish(caller.service, admission, used)

        prompt = Prompt(text=body.prompt, max_tokens=max_tokens)
        answer = ModelAnswer(self._context.generation, configuration, caller, prompt)
        request_metrics = RequestMetrics(self._context.metrics, caller)
        if body.stream:
            return await self._stream(
                request, caller, answer.generate_events(), request_metrics, release
            )
        return await self._collect(
            request, caller, answer.generate_events(), request_metrics, release
        )

    async def _stream(
        self,
        request: Request,
        caller: CallerRequest,
        events: AsyncIterator[GenerationEvent],
        request_metrics: RequestMetrics,
        release: Callable[[int], None],
    ) -> Response:
        """Return an event stream, or the refusal if there is one before any event."""
        try:
            first = await anext(events)
        except BaseException:
            release(0)
            raise
        if isinstance(first, Failed):
            release(0)
            request_metrics.record_end(first.refusal.slug, self._context.clock.now())
            return self._context.refuse(request, first.refusal, caller)

        async def write() -> AsyncIterator[bytes]:
            count, result = 0, "disconnected"
            try:
                event: GenerationEvent | None = first
                while event is not None:
                    if isinstance(event, Tokens):
                        count += len(event.tokens)
                        request_metrics.record_tokens(self._context.clock.now())
                    yield _encode_event(event, request.url.path)
                    result = _get_result_label(event)
                    event = await anext(events, None)
            finally:
                await events.aclose()  # type: ignore[attr-defined]
                release(count)
                request_metrics.record_end(result, self._context.clock.now())

        headers = {"Request-Id": caller.request_id, "Cache-Control": "no-store"}
        return StreamingResponse(write(), media_type=MEDIA_TYPE, headers=headers)

    async def _collect(
        self,
        request: Request,
        caller: CallerRequest,
        events: AsyncIterator[GenerationEvent],
        request_metrics: RequestMetrics,
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
                        request_metrics.record_tokens(self._context.clock.now())
                        parts.extend(token.text for token in tokens)
                        count += len(tokens)
                    case Finished(version=version):
                        request_metrics.record_end(
                            "complete", self._context.clock.now()
                        )
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
                        # A caller that does not stream has no resume token and has to
                        # send the request again.
                        refusal = UpstreamFailed(
                            reason="The host is stopping.", retry_after_s=1
                        )
                        break
        finally:
            release(count)
        request_metrics.record_end(refusal.slug, self._context.clock.now())
        return self._context.refuse(request, refusal, caller)

    async def resume(self, request: Request, raw_body: bytes, now: Instant) -> Response:
        """Continue a stream with the caller's resume token."""
        context = self._context
        read = read_body(raw_body, ResumeBody)
        if isinstance(read, Err):
            return context.refuse(request, read.err_value, None)
        body: ResumeBody = read.ok_value
        verified = self._authenticate_token(request, body.token, now)
        if isinstance(verified, Err):
            return context.refuse(request, verified.err_value, None)
        configuration, token = verified.ok_value
        document = configuration.document
        headers = {**request.headers, "request-id": token.request_id}
        route = _find_route_name(document, token.route)
        checked = read_request(headers, b"", document, route, now)
        if isinstance(checked, Err):
            return context.refuse(request, checked.err_value, None)
        caller = checked.ok_value
        prompt = Prompt(
            text=body.prompt or "",
            max_tokens=token.max_tokens,
            delivered=body.text or "",
            first_index=body.from_index,
        )
        context.trace.record(caller.request_id, "resume", str(body.from_index), now)
        # No admission: the host that started the stream has admitted it.
        answer = ModelAnswer(context.generation, configuration, caller, prompt)
        request_metrics = RequestMetrics(context.metrics, caller)
        events = answer.resume_events(token)
        return await self._stream(
            request, caller, events, request_metrics, lambda _: None
        )

    def _authenticate_token(
        self, request: Request, text: str, now: Instant
    ) -> Result[tuple[Configuration, ResumeToken], Refusal]:
        """Find the account by its bearer key, then verify the token for it."""
        configurations = self._context.control.configurations.values()
        header = request.headers.get("authorization")
        rejected: Refusal = ResumeRejected(reason="The bearer key is unknown.")
        for configuration in configurations:
            account = find_account(configuration.document, header)
            if isinstance(account, Err):
                continue
            keys = self._context.generation.keys
            verified = verify_token(text, account.ok_value.account, keys, now)
            if isinstance(verified, Err):
                rejected = verified.err_value
            elif verified.ok_value.service == configuration.document.service:
                return Ok((configuration, verified.ok_value))
        return Err(rejected)


def _find_route_name(document: ServiceDocument, name: RouteName) -> RouteName:
    """Return the route of a resumed stream, or the first one if it was removed.

    A new document without the route must not end a stream that has started.
    """
    route = document.find_route(name) or document.routes[0]
    return route.route


def _get_result_label(event: GenerationEvent) -> str:
    match event:
        case Finished():
            return "complete"
        case Failed(refusal=refusal):
            return refusal.slug
        case HandedOver():
            return "handed-over"
        case _:
            return "disconnected"


def _encode_event(event: GenerationEvent, instance: str) -> bytes:
    match event:
        case ResumeOffer(token=token):
            return make_sse_event("resume", {"token": token})
        case Tokens(tokens=tokens):
            return b"".join(
                make_token_event(token.index, token.text) for token in tokens
            )
        case Finished(count=count, version=version):
            return make_sse_event("done", {"count": count, "version": version})
        case HandedOver(token=token, from_index=from_index):
            return make_sse_event(
                "handover", {"token": token, "from_index": from_index}
            )
        case Failed(refusal=refusal):
            return make_problem_event(refusal, instance)
