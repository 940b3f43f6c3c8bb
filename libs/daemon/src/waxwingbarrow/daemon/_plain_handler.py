"""Handling of requests to plain services."""

from result import Err, Ok
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from waxwingbarrow.claims import Answer
from waxwingbarrow.daemon._caller_context import CallerContext, RequestMetrics
from waxwingbarrow.daemon._control import Configuration
from waxwingbarrow.daemon._problems import make_problem_response
from waxwingbarrow.daemon._requests import CallerRequest, check_json
from waxwingbarrow.daemon._send_results import Completed, SendResult


class PlainServiceHandler:
    """Serves repeatable and non-repeatable requests to plain services."""

    def __init__(self, context: CallerContext) -> None:
        self._context = context

    async def serve(
        self, request: Request, configuration: Configuration, caller: CallerRequest
    ) -> Response:
        """Admit a request and return its response.

        A non-repeatable request is executed at most once.
        """
        checked = check_json(caller.body)
        if isinstance(checked, Err):
            return self._context.refuse(request, checked.err_value, caller)
        admitted = await self._context.admissions.admit(caller, 1)
        if isinstance(admitted, Err):
            return self._context.refuse(request, admitted.err_value, caller)
        request_metrics = RequestMetrics(self._context.metrics, caller)
        try:
            if caller.route.repeatable:
                response = await self._call(
                    request, configuration, caller, request_metrics
                )
            else:
                response = await self._execute_once(
                    request, configuration, caller, request_metrics
                )
        finally:
            self._context.admissions.finish(caller.service, admitted.ok_value, 1)
        return response

    async def _call(
        self,
        request: Request,
        configuration: Configuration,
        caller: CallerRequest,
        request_metrics: RequestMetrics,
    ) -> Response:
        called = await self._context.plain_sender.call(configuration, caller)
        now = self._context.clock.now()
        match called:
            case Ok(Completed() as done):
                request_metrics.record_end("complete", now)
                return Response(
                    done.body,
                    done.status,
                    media_type=done.content_type or None,
                    headers={"Request-Id": caller.request_id},
                )
            case Err(refusal):
                request_metrics.record_end(refusal.slug, now)
                return make_problem_response(refusal, request.url.path)
        raise AssertionError("A result is either Ok or Err.")

    async def _execute_once(
        self,
        request: Request,
        configuration: Configuration,
        caller: CallerRequest,
        request_metrics: RequestMetrics,
    ) -> Response:
        context = self._context

        async def send() -> SendResult:
            return await context.plain_sender.send_once(configuration, caller)

        executed = await context.claim_executor.execute(
            caller, send, context.is_clock_suspect()
        )
        now = context.clock.now()
        match executed:
            case Ok(answer):
                request_metrics.record_end("complete", now)
                context.metrics.claims.labels(caller.service, "complete").inc()
                context.trace.record(caller.request_id, "booked", caller.key or "", now)
                return make_claim_response(answer)
            case Err(refusal):
                request_metrics.record_end(refusal.slug, now)
                context.metrics.claims.labels(caller.service, refusal.slug).inc()
                context.trace.record(
                    caller.request_id, refusal.slug, refusal.detail, now
                )
                return make_problem_response(refusal, request.url.path)
        raise AssertionError("A result is either Ok or Err.")


def make_claim_response(answer: Answer) -> Response:
    """Return the answer of a claimed request, which may be read from the log."""
    if answer.body is None:
        return JSONResponse({"outcome": "completed", "body_omitted": True})
    return Response(answer.body, answer.status, media_type=answer.content_type or None)
