"""Prometheus metrics of hedged requests."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from waxwingbarrow.gateway.base import REQUEST_BUCKETS_S


class HedgeMetrics:
    """Metrics of hedges; registered only where hedges are enabled.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the gateway's metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._attempts_ms = 0.0
        self._extra_ms = 0.0
        self._hedges = Counter(
            "waxwingbarrow_gateway_hedges_total",
            "Second attempts by event: sent, or won",
            ("route", "event"),
            registry=registry,
        )
        self._refusals = Counter(
            "waxwingbarrow_gateway_hedge_refusals_total",
            "Slow attempts for which no second one was sent",
            ("route", "reason"),
            registry=registry,
        )
        self._extra_work = Gauge(
            "waxwingbarrow_gateway_hedge_extra_work_ratio",
            "Time of the attempts beyond one per request, by the time of all attempts",
            registry=registry,
        )
        self._response_s = Histogram(
            "waxwingbarrow_gateway_hedged_response_seconds",
            "Time from arrival to the response, or to the first event of a stream",
            ("route", "hedged"),
            buckets=REQUEST_BUCKETS_S,
            registry=registry,
        )

    def count_sent(self, route: str) -> None:
        """Count a second attempt."""
        self._hedges.labels(route, "sent").inc()

    def count_won(self, route: str) -> None:
        """Count a second attempt whose response was used."""
        self._hedges.labels(route, "won").inc()

    def count_refusal(self, route: str, reason: str) -> None:
        """Count a slow attempt for which no second one was sent."""
        self._refusals.labels(route, reason).inc()

    def observe_attempt(self, elapsed_ms: float, is_extra: bool) -> None:
        """Add an attempt to the extra work, or to the work of all attempts only."""
        self._attempts_ms += elapsed_ms
        if is_extra:
            self._extra_ms += elapsed_ms
        self._extra_work.set(self._extra_ms / max(self._attempts_ms, 1.0))

    def observe_response(self, route: str, is_hedged: bool, elapsed_ms: float) -> None:
        """Record the response time of a request that may be hedged."""
        hedged = "yes" if is_hedged else "no"
        self._response_s.labels(route, hedged).observe(elapsed_ms / 1000)
