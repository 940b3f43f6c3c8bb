"""Prometheus metrics of the daemon.

The number of label values is bounded: accounts, services, versions and priority
classes come from service documents, never from the input of callers.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

# The bounds 0.31 and 0.068 are the defaults of `LatencyTarget`, so that the buckets
# show how many requests meet the target.
FIRST_TOKEN_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.31, 0.5, 1, 2, 5, 10)
TOKEN_GAP_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.068, 0.1, 0.2, 0.5, 1, 5)
REQUEST_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60, 120)
PER_ACCOUNT = ("service", "account", "priority_class")


class Metrics:
    """All metrics of one daemon, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "waxwingbarrow_requests_total",
            "Requests by result",
            (*PER_ACCOUNT, "result"),
            registry=self.registry,
        )
        self.request_duration_s = Histogram(
            "waxwingbarrow_request_seconds",
            "Time to the end of the answer",
            PER_ACCOUNT,
            buckets=REQUEST_BUCKETS_S,
            registry=self.registry,
        )
        self.time_to_first_token_s = Histogram(
            "waxwingbarrow_first_token_seconds",
            "Time to the first token",
            PER_ACCOUNT,
            buckets=FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self.token_gap_s = Histogram(
            "waxwingbarrow_token_gap_seconds",
            "Time between two tokens",
            PER_ACCOUNT,
            buckets=TOKEN_GAP_BUCKETS_S,
            registry=self.registry,
        )
        self.recomputed_tokens = Counter(
            "waxwingbarrow_recomputed_tokens_total",
            "Prompt tokens that the upstream did not find in its cache",
            ("service", "version"),
            registry=self.registry,
        )
        self.attempts = Counter(
            "waxwingbarrow_attempts_total",
            "Attempts at upstreams by result",
            ("service", "version", "result"),
            registry=self.registry,
        )
        self.claims = Counter(
            "waxwingbarrow_claims_total",
            "Claims of non-repeatable requests by result",
            ("service", "result"),
            registry=self.registry,
        )
        self.log_lag_s = Gauge(
            "waxwingbarrow_log_lag_seconds",
            "Time since the tail of a log stream was last read",
            ("stream",),
            registry=self.registry,
        )
        self.peers = Gauge(
            "waxwingbarrow_peers",
            "Peers with an open stream",
            registry=self.registry,
        )
        self.ready = Gauge(
            "waxwingbarrow_ready",
            "1 if the host accepts requests",
            registry=self.registry,
        )
