"""Components shared by the request handlers of all kinds of services."""

from collections.abc import Callable

import attrs
from prometheus_client import Histogram
from starlette.requests import Request
from starlette.responses import Response

from waxwingbarrow.claims import refuse_unclaimed
from waxwingbarrow.core import Clock, Instant, Refusal
from waxwingbarrow.daemon._admission import Admissions
from waxwingbarrow.daemon._claim_executor import ClaimExecutor
from waxwingbarrow.daemon._control import ControlPlane
from waxwingbarrow.daemon._generation import GenerationContext
from waxwingbarrow.daemon._lifecycle import Lifecycle
from waxwingbarrow.daemon._metrics import Metrics
from waxwingbarrow.daemon._plain_sender import PlainServiceSender
from waxwingbarrow.daemon._problems import make_problem_response
from waxwingbarrow.daemon._requests import CallerRequest
from waxwingbarrow.daemon._trace import Trace


@attrs.frozen(kw_only=True)
class CallerContext:
    """Components of the host that serve callers.

    Parameters
    ----------
    is_clock_suspect : callable
        Returns whether the host's clock has jumped, so that the age of idempotency
        keys is unknown.
    """

    control: ControlPlane
    lifecycle: Lifecycle
    admissions: Admissions
    generation: GenerationContext
    plain_sender: PlainServiceSender
    claim_executor: ClaimExecutor
    metrics: Metrics
    trace: Trace
    clock: Clock
    is_clock_suspect: Callable[[], bool]
    max_body_bytes: int

    def refuse(
        self, request: Request, refusal: Refusal, caller: CallerRequest | None
    ) -> Response:
        """Return the response for a refusal that was made before any claim was read.

        A request with an idempotency key that is not declared as a first attempt may
        have run through another host, so its outcome is unknown to this host.
        """
        if request.headers.get("idempotency-key") is not None:
            first_attempt = request.headers.get("idempotency-attempt") == "1"
            refusal = refuse_unclaimed(refusal, first_attempt)
        if caller is not None:
            now = self.clock.now()
            self.trace.record(caller.request_id, refusal.slug, refusal.detail, now)
        return make_problem_response(refusal, request.url.path)


class RequestMetrics:
    """Records the metrics of one request by service, account and priority class."""

    def __init__(self, metrics: Metrics, request: CallerRequest) -> None:
        self._metrics = metrics
        self._labels = (request.service, request.account, request.priority_class.value)
        self._received_ms = request.received.mono_ms
        self._last_token_ms: int | None = None
        # Cached, because looking up a metric by its labels costs more than observing
        # a value.
        self._token_gap_s: Histogram | None = None

    def record_tokens(self, now: Instant) -> None:
        """Record that tokens are sent to the caller now."""
        if self._last_token_ms is None:
            seconds = (now.mono_ms - self._received_ms) / 1000
            self._metrics.time_to_first_token_s.labels(*self._labels).observe(seconds)
        else:
            seconds = (now.mono_ms - self._last_token_ms) / 1000
            if self._token_gap_s is None:
                self._token_gap_s = self._metrics.token_gap_s.labels(*self._labels)
            self._token_gap_s.observe(seconds)
        self._last_token_ms = now.mono_ms

    def record_end(self, result: str, now: Instant) -> None:
        """Record the result and the duration of the request."""
        seconds = (now.mono_ms - self._received_ms) / 1000
        self._metrics.requests.labels(*self._labels, result).inc()
        self._metrics.request_duration_s.labels(*self._labels).observe(seconds)
