"""Prometheus metrics of the gateway.

Labels are bounded: routes and accounts come from the configuration, never from
callers' input.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from waxwingbarrow.gateway.base._speed_metrics import SpeedMetrics

REQUEST_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 15)
CAPACITY_WAIT_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2)
FIRST_EVENT_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.31, 0.5, 0.8, 1.2, 2, 5)


class Metrics:
    """Metrics of one gateway, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "waxwingbarrow_gateway_requests_total",
            "Accepted requests by result",
            ("route", "account", "result"),
            registry=self.registry,
        )
        self._refusals = Counter(
            "waxwingbarrow_gateway_refusals_total",
            "Answers of the gateway's own",
            ("status", "reason"),
            registry=self.registry,
        )
        self._request_s = Histogram(
            "waxwingbarrow_gateway_request_seconds",
            "Time to the end of the answer",
            ("route", "account"),
            buckets=REQUEST_BUCKETS_S,
            registry=self.registry,
        )
        self._first_event_s = Histogram(
            "waxwingbarrow_gateway_first_event_seconds",
            "Time from sending to the first event of a stream",
            ("route", "account"),
            buckets=FIRST_EVENT_BUCKETS_S,
            registry=self.registry,
        )
        self._caller_limits = Counter(
            "waxwingbarrow_gateway_caller_limits_total",
            "Limits on what callers occupy that took effect",
            ("endpoint", "limit"),
            registry=self.registry,
        )
        self.unexpected_failures = Counter(
            "waxwingbarrow_gateway_unexpected_failures_total",
            "Failures that no code expects, by the part that failed",
            ("part",),
            registry=self.registry,
        )
        self.engine_speeds = SpeedMetrics(self.registry)
        self.dropped_lines = Counter(
            "waxwingbarrow_gateway_dropped_log_lines_total",
            "Log lines that were left out to bound the volume",
            registry=self.registry,
        )
        self.evacuated_data_centres = Gauge(
            "waxwingbarrow_gateway_evacuated_data_centres",
            "Data centres whose upstreams get nothing by the operator's order",
            registry=self.registry,
        )

        self._admissions = Counter(
            "waxwingbarrow_gateway_urgency_total",
            "Requests to model engines by priority and what admission by urgency did",
            ("priority", "result"),
            registry=self.registry,
        )
        self._capacity_wait_s = Histogram(
            "waxwingbarrow_gateway_urgency_wait_seconds",
            "Time for which served requests waited for capacity at the engines",
            ("priority",),
            buckets=CAPACITY_WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self._cold_permits = Counter(
            "waxwingbarrow_gateway_cold_permits_total",
            "Requests of this host to cold upstreams, by whether a permit was granted",
            ("result",),
            registry=self.registry,
        )

    def observe_request(
        self, route: str, account: str, outcome: str, elapsed_ms: float
    ) -> None:
        """Record the result and duration of an accepted request.

        Parameters
        ----------
        outcome : str
            Result, optionally followed by a colon and details, which are left out.
        """
        result = outcome.split(":", 1)[0]
        self._requests.labels(route, account, result).inc()
        self._request_s.labels(route, account).observe(elapsed_ms / 1000)

    def observe_first_event(self, route: str, account: str, elapsed_ms: float) -> None:
        """Record the time to the first event of a stream."""
        self._first_event_s.labels(route, account).observe(elapsed_ms / 1000)

    def count_caller_limit(self, endpoint: str, limit: str) -> None:
        """Count that a limit on what callers occupy took effect.

        Parameters
        ----------
        endpoint : str
            "callers" or "internal".
        """
        self._caller_limits.labels(endpoint, limit).inc()

    def count_refusal(self, status: int, reason: str) -> None:
        """Count a refusal, a response that the gateway generated itself."""
        self._refusals.labels(str(status), reason).inc()

    def count_capacity_decision(
        self, priority: int, result: str, waited_ms: int
    ) -> None:
        """Count a decision of admission by urgency, and the wait before it if any."""
        self._admissions.labels(str(priority), result).inc()
        if waited_ms:
            self._capacity_wait_s.labels(str(priority)).observe(waited_ms / 1000)

    def count_cold_permit(self, is_granted: bool) -> None:
        """Count whether a request got a permit for a cold upstream."""
        self._cold_permits.labels("granted" if is_granted else "refused").inc()
