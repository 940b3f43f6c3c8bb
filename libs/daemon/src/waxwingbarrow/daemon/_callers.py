"""HTTP endpoints for callers."""

from result import Err, Ok, Result
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route as HttpRoute

from waxwingbarrow.claims import Answer, KeyUnknown
from waxwingbarrow.core import (
    InvalidRequest,
    NotReady,
    Refusal,
    ServiceName,
    ShuttingDown,
    UnknownService,
)
from waxwingbarrow.daemon._accounts import find_account
from waxwingbarrow.daemon._caller_context import CallerContext
from waxwingbarrow.daemon._control import Configuration
from waxwingbarrow.daemon._model_handler import ModelServiceHandler
from waxwingbarrow.daemon._plain_handler import PlainServiceHandler, make_claim_response
from waxwingbarrow.daemon._problems import make_problem_response
from waxwingbarrow.daemon._requests import read_request
from waxwingbarrow.document import ServiceKind


class CallerEndpoints:
    """Endpoints for requests, resumed streams and idempotency keys."""

    def __init__(self, context: CallerContext) -> None:
        self._context = context
        self._models = ModelServiceHandler(context)
        self._plain = PlainServiceHandler(context)

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
            return self._context.refuse(request, body.err_value, None)
        checked = self._find_configuration(ServiceName(request.path_params["service"]))
        if isinstance(checked, Err):
            return self._context.refuse(request, checked.err_value, None)
        configuration = checked.ok_value
        read = read_request(
            request.headers,
            body.ok_value,
            configuration.document,
            request.path_params["route"],
            now,
        )
        if isinstance(read, Err):
            return self._context.refuse(request, read.err_value, None)
        caller = read.ok_value
        if configuration.document.kind is ServiceKind.MODEL:
            return await self._models.serve(request, configuration, caller)
        return await self._plain.serve(request, configuration, caller)

    async def post_resume(self, request: Request) -> Response:
        """Continue a stream with the caller's resume token."""
        now = self._context.clock.now()
        body = await self._read_body(request)
        if isinstance(body, Err):
            return self._context.refuse(request, body.err_value, None)
        return await self._models.resume(request, body.ok_value, now)

    async def read_key(self, request: Request) -> Response:
        """Return the recorded answer or the state of an idempotency key."""
        checked = self._find_configuration(ServiceName(request.path_params["service"]))
        if isinstance(checked, Err):
            return self._context.refuse(request, checked.err_value, None)
        document = checked.ok_value.document
        account = find_account(document, request.headers.get("authorization"))
        if isinstance(account, Err):
            return self._context.refuse(request, account.err_value, None)
        found = await self._context.claim_executor.query(
            account.ok_value.account, document.service, request.path_params["key"]
        )
        match found:
            case Ok(KeyUnknown()):
                # The outcome is not "not run", because a claim that is still being
                # appended may win.
                return JSONResponse({"outcome": "unknown", "claimed": False})
            case Ok(Answer() as answer):
                return make_claim_response(answer)
            case Err(refusal):
                return make_problem_response(refusal, request.url.path)
        raise AssertionError("A result is either Ok or Err.")

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

    def _find_configuration(
        self, service: ServiceName
    ) -> Result[Configuration, Refusal]:
        if not self._context.lifecycle.accepts_requests:
            if self._context.lifecycle.state == "stopped":
                return Err(ShuttingDown(retry_after_s=1))
            return Err(NotReady(retry_after_s=1))
        found = self._context.control.find(service)
        if found is None:
            return Err(UnknownService(reason="No such service is configured."))
        return Ok(found)
