"""Ends of requests: forwarded responses, the gateway's own refusals and log lines."""

import logging

from waxwingbarrow.core import Clock
from waxwingbarrow.gateway.base import Call, Codec, Metrics, get_reason_phrase
from waxwingbarrow.gateway.callers import Responder
from waxwingbarrow.gateway.requests._planner import RETRY_AFTER_BUSY_S, Planner
from waxwingbarrow.gateway.requests._plans import Plan, Refused
from waxwingbarrow.gateway.upstreams import (
    AttemptFailure,
    NotRun,
    NotSent,
    ResponseReceived,
    TimedOut,
    Upstream,
)
from waxwingbarrow.routing import Placement

logger = logging.getLogger("waxwingbarrow.gateway.requests")


class ResponseWriter:
    """Writes the responses that end requests, and the log line of each request."""

    def __init__(
        self, planner: Planner, codec: Codec, clock: Clock, metrics: Metrics
    ) -> None:
        self._planner = planner
        self._codec = codec
        self._clock = clock
        self._metrics = metrics

    def forward_response(
        self, received: ResponseReceived, responder: Responder
    ) -> None:
        """Write the response of an upstream."""
        head = received.head
        headers = self._codec.write_response(head)
        responder.send(head.status, head.reason, headers, received.body)

    def end_without_upstream(
        self,
        plan: Plan,
        chosen: tuple[Upstream, Placement] | Refused,
        error_response: ResponseReceived | None,
        responder: Responder,
    ) -> str:
        """End a request that has no upstream or no time left; return its outcome."""
        refused = chosen if isinstance(chosen, Refused) else None
        if error_response is not None and not responder.started:
            self.forward_response(error_response, responder)
            return f"answered {error_response.head.status}"
        if responder.started:
            responder.abort()
            return "broken off: no upstream to continue at"
        if plan.may_have_run:
            refused = Refused(502, "failed at the upstream")
        elif refused is None:
            refused = Refused(503, "no time left", RETRY_AFTER_BUSY_S)
        self.refuse(plan.call, refused, responder, plan)
        return f"refused {refused.status}: {refused.reason}"

    def end_failed(
        self,
        plan: Plan,
        outcome: ResponseReceived | AttemptFailure,
        error_response: ResponseReceived | None,
        responder: Responder,
    ) -> str:
        """End a request whose failed attempt is not retried; return its outcome."""
        if responder.started:
            responder.abort()
            return "broken off"
        if error_response is not None:
            self.forward_response(error_response, responder)
            return f"answered {error_response.head.status}"
        match outcome:
            case NotRun() | NotSent() if not plan.may_have_run:
                return_s = self._planner.plan_return_s(plan, self._clock.now())
                refused = Refused(503, "not run by the upstream", return_s)
            case TimedOut():
                refused = Refused(504, "timeout")
            case _:
                refused = Refused(502, "failed at the upstream")
        self.refuse(plan.call, refused, responder, plan)
        return f"refused {refused.status}: {refused.reason}"

    def refuse(
        self, call: Call, refused: Refused, responder: Responder, plan: Plan | None
    ) -> None:
        """Write an error response of the gateway itself."""
        metadata = self._codec.read_call(call).ok()
        request_id = metadata.request_id if metadata is not None else None
        headers = self._codec.write_refusal(request_id, refused.retry_after_s)
        body = f"{refused.reason}\n".encode()
        responder.send(refused.status, get_reason_phrase(refused.status), headers, body)
        self._metrics.count_refusal(refused.status, refused.reason)
        if plan is None:
            table = self._planner.table
            version = table.configuration.version if table else 0
            logger.info(
                "request refused",
                extra={
                    "request": request_id,
                    "status": refused.status,
                    "reason": refused.reason,
                    "retry_after_s": refused.retry_after_s,
                    "config_version": version,
                    **refused.inputs,
                },
            )

    def log_request(self, plan: Plan, outcome: str, responder: Responder) -> None:
        """Log a request that ended, and count it."""
        now = self._clock.now()
        trace = plan.trace
        if responder.is_stopped:
            outcome = "cut by the planned stop"
        stopped_at = self._planner.stop_check.stopped_at
        elapsed_ms = now.mono_ms - plan.call.received_ms
        self._metrics.observe_request(trace.route, trace.account, outcome, elapsed_ms)
        logger.info(
            "request ended",
            extra={
                "request": trace.request_id,
                "route": trace.route,
                "account": trace.account,
                "attempts": trace.attempts,
                "outcome": outcome,
                "elapsed_ms": elapsed_ms,
                "allowed_ms": plan.deadline.mono_ms - plan.call.received_ms,
                "config_version": trace.config_version,
                "start_ms": trace.start_ms,
                "cached_tokens": trace.cached_tokens,
                "running": trace.running,
                "candidates": trace.candidates,
                "upstreams_age_ms": trace.upstreams_age_ms,
                "is_advised": trace.is_advised,
                "first_event_ms": trace.first_event_ms,
                "capacity_decided_by": trace.capacity_decided_by,
                "capacity_wait_ms": trace.capacity_wait_ms,
                "events_sent": plan.events_sent,
                "after_stop_ms": (
                    plan.call.received_ms - stopped_at.mono_ms if stopped_at else None
                ),
            },
        )
