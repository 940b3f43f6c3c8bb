"""Classes of a service document."""

import enum

import attrs

from waxwingbarrow.core import (
    AccountId,
    DataCentre,
    PriorityClass,
    RouteName,
    ServiceName,
    VersionName,
)
from waxwingbarrow.document import _fields as fields

SCHEMA_VERSION = 1
MAX_RATE_PER_S = 100_000_000  # ten times the design token rate
MAX_DEADLINE_MS = 3_600_000
MAX_OUTPUT_TOKENS = 1_000_000
MAX_WORKERS = 100_000


class ServiceKind(enum.StrEnum):
    """Kind of upstreams that serve a service."""

    MODEL = "model"
    PLAIN = "plain"


@attrs.frozen(kw_only=True)
class AccountGrant:
    """Access of an account to a service, with its rate limits."""

    account: AccountId = fields.text(
        fields.NAME_PATTERN, fields.NAME_ALLOWED, "Name of the account."
    )
    key_hashes: tuple[str, ...] = fields.key_hashes(
        "SHA-256 hashes of the account's bearer keys."
    )
    requests_per_s: float = fields.number(
        0.001,
        MAX_RATE_PER_S,
        "requests per s",
        "Requests per second the account may start, over all hosts.",
    )
    tokens_per_s: float = fields.number(
        0,
        MAX_RATE_PER_S,
        "tokens per s",
        "Prompt and output tokens per second, over all hosts; 0 for a plain service.",
        default=0.0,
    )
    classes: tuple[PriorityClass, ...] = fields.non_empty_list(
        "Priority classes the account may request.",
        default=(PriorityClass.STANDARD, PriorityClass.BATCH),
    )


@attrs.frozen(kw_only=True)
class Route:
    """A named request type of a service."""

    route: RouteName = fields.text(
        fields.NAME_PATTERN, fields.NAME_ALLOWED, "Name of the route."
    )
    priority_class: PriorityClass = fields.typed(
        "Class of a request that names none.", default=PriorityClass.STANDARD
    )
    repeatable: bool = fields.typed(
        "Whether running a request twice is harmless. False requires an idempotency "
        "key and is for plain services only."
    )
    deadline_ms: int = fields.number(
        1,
        MAX_DEADLINE_MS,
        "ms",
        "Time for a complete response if the caller names none.",
        default=30_000,
    )
    max_output_tokens: int = fields.number(
        0,
        MAX_OUTPUT_TOKENS,
        "tokens",
        "Longest response of a model; 0 for a plain service.",
        default=0,
    )


@attrs.frozen(kw_only=True)
class Version:
    """A version of the service that upstreams can run."""

    version: VersionName = fields.text(
        fields.VERSION_PATTERN, fields.VERSION_ALLOWED, "Name of the version."
    )
    model: str | None = fields.optional_text(
        fields.MODEL_PATTERN,
        fields.MODEL_ALLOWED,
        "Model in the weight store; required for a model service only.",
    )


@attrs.frozen(kw_only=True)
class Rollout:
    """A gradual move of the traffic from one version to another."""

    from_version: VersionName = fields.text(
        fields.VERSION_PATTERN,
        fields.VERSION_ALLOWED,
        "Version to fall back to; equal to stable_version.",
    )
    to_version: VersionName = fields.text(
        fields.VERSION_PATTERN, fields.VERSION_ALLOWED, "Version to introduce."
    )
    start: str = fields.timestamp("Time from which the new version gets requests.")
    finish_by: str = fields.timestamp(
        "Time by which the rollout is done; otherwise it is withdrawn."
    )
    first_share_percent: float = fields.number(
        0.1,
        50,
        "percent",
        "Share of the new version until it is proven on every route.",
        default=5.0,
    )
    max_failure_percent: float = fields.number(
        0,
        100,
        "percent",
        "Percentage points by which the failure rate on a route may exceed that of "
        "the old version.",
        default=2.0,
    )
    max_slowdown_percent: float = fields.number(
        0,
        1000,
        "percent",
        "Percentage by which latencies on a route may exceed those of the old version.",
        default=50.0,
    )
    min_requests: int = fields.number(
        1,
        1_000_000,
        "requests",
        "Requests on each route before the new version counts as proven.",
        default=50,
    )

    @property
    def start_ms(self) -> int:
        """Start of the rollout, in milliseconds since the Unix epoch."""
        return fields.parse_timestamp_ms(self.start)

    @property
    def finish_by_ms(self) -> int:
        """Latest time of completion, in milliseconds since the Unix epoch."""
        return fields.parse_timestamp_ms(self.finish_by)


@attrs.frozen(kw_only=True)
class Placement:
    """Workers of a service in one data centre."""

    data_centre: DataCentre = fields.text(
        fields.NAME_PATTERN, fields.NAME_ALLOWED, "Name of the data centre."
    )
    workers: int = fields.number(
        0, MAX_WORKERS, "workers", "Upstreams to keep running there."
    )
    max_reclaimable_percent: float = fields.number(
        0,
        100,
        "percent",
        "Largest part of them on hosts that the cloud can reclaim.",
        default=50.0,
    )


@attrs.frozen(kw_only=True)
class LatencyTarget:
    """Latency that a model service is provisioned for."""

    first_token_ms: int = fields.number(
        1, MAX_DEADLINE_MS, "ms", "Time to the first token.", default=310
    )
    between_tokens_ms: int = fields.number(
        1, MAX_DEADLINE_MS, "ms", "Time between two tokens.", default=68
    )
    percentile: float = fields.number(
        1, 99.99, "percent", "Part of the requests that meet both times.", default=95.0
    )


@attrs.frozen(kw_only=True)
class ServiceDocument:
    """Desired state of one service."""

    schema_version: int = fields.number(
        SCHEMA_VERSION, SCHEMA_VERSION, "", "Version of this format."
    )
    service: ServiceName = fields.text(
        fields.NAME_PATTERN, fields.NAME_ALLOWED, "Name of the service."
    )
    kind: ServiceKind = fields.typed(
        "Whether model engines or plain services serve the requests."
    )
    latency: LatencyTarget = fields.typed(
        "Latency target of a model service.", default=LatencyTarget()
    )
    accounts: tuple[AccountGrant, ...] = fields.non_empty_list(
        "Accounts and their limits."
    )
    routes: tuple[Route, ...] = fields.non_empty_list("Request types.")
    versions: tuple[Version, ...] = fields.non_empty_list("Versions that may run.")
    stable_version: VersionName = fields.text(
        fields.VERSION_PATTERN,
        fields.VERSION_ALLOWED,
        "Version that serves all requests outside a rollout.",
    )
    rollout: Rollout | None = fields.typed(
        "Move to another version, or null.", default=None
    )
    placements: tuple[Placement, ...] = fields.non_empty_list(
        "Workers per data centre."
    )

    def find_route(self, name: RouteName) -> Route | None:
        """Return the route of this name, if there is one."""
        return next((route for route in self.routes if route.route == name), None)
