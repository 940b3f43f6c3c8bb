"""What a gateway knows about routes, services, accounts and upstreams."""

import enum

import attrs

from waxwingbarrow.core import (
    AccountId,
    DataCentre,
    RequestId,
    RouteName,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.routing import Part


class RouteKind(enum.Enum):
    """How often a request of a route may run, and what its answer is."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at most once"
    STREAM = "stream"


@attrs.frozen
class Backend:
    """Part of a route's requests that goes to a service."""

    service: ServiceName
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """A route of the configuration.

    Parameters
    ----------
    path_prefix : str
        Begins and ends with a slash.
    resumable : bool
        Whether a stream may be continued by another upstream.
    timeout_ms : float
        Longest time for which a caller is kept waiting.
    objective_ms : float
        Time within which an answer, or the first event of a stream, has full worth.
    max_attempts : int
        Most upstreams to which one request is sent.
    priority : int
        Rank; 0 is the most urgent.
    public : bool
        Whether requests carry no key.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    backends: tuple[Backend, ...]
    resumable: bool = False
    timeout_ms: float = 30_000.0
    objective_ms: float = 1_000.0
    max_attempts: int = 1
    priority: int = 5
    public: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.REPEATABLE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@attrs.frozen(kw_only=True)
class Engine:
    """Properties shared by the model engines of a service.

    Parameters
    ----------
    slots : int
        Requests in one batch.
    memory_tokens : int
        Tokens that running requests and cached prompt parts share.
    can_move : bool
        Whether a run's memory can be copied to another engine.
    tokens_per_event : int
        Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    can_move: bool = False
    tokens_per_event: int = 1


@attrs.frozen(kw_only=True)
class Scaling:
    """Bounds and prices of the workers of a service.

    Parameters
    ----------
    min_workers, max_workers : int
        Per data centre, reclaimable ones included.
    boot_s : float
        Time from an order until the worker serves.
    reclaimable_price : float
        Price of a reclaimable worker as a part of a regular one's.
    prices : dict
        Price of one worker-second in each data centre.
    """

    min_workers: int
    max_workers: int
    boot_s: float
    reclaimable_price: float | None
    prices: dict[DataCentre, float]


@attrs.frozen(kw_only=True)
class Service:
    """A service of the configuration."""

    name: ServiceName
    engine: Engine | None = None
    scaling: Scaling | None = None


@attrs.frozen(kw_only=True)
class Account:
    """A client account.

    Parameters
    ----------
    priority : int or None
        Replaces the priority of the route.
    counts_tokens : bool
        Whether the limit is in tokens; otherwise it is in requests.
    plain_tokens : int
        Tokens that a request without token counts is charged.
    rate_per_s, burst : float
        Limit over all hosts; a rate of 0 means no limit.
    """

    name: AccountId
    keys: tuple[str, ...]
    priority: int | None = None
    counts_tokens: bool = False
    plain_tokens: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 30_000.0


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the whole configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    has_accounts: bool = False
    limits: CallerLimits = CallerLimits()


@attrs.frozen(kw_only=True)
class UpstreamEntry:
    """What an upstream registered about itself.

    Parameters
    ----------
    born_ms : int
        Wall time of the start of this incarnation, in milliseconds since the epoch; 0
        if it is not stated.
    sequence : int
        Counts what this incarnation registered.
    leaves_in_ms : int or None
        Time until it ends, at the time of the registration, if it is known.
    """

    upstream: UpstreamId
    service: ServiceName
    host: str
    port: int
    data_centre: DataCentre
    version: VersionName
    slots: int = 1
    leaving: bool = False
    born_ms: int = 0
    sequence: int = 0
    reclaimable: bool = False
    leaves_in_ms: int | None = None

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """An operator's request to move a service to another version.

    Parameters
    ----------
    offset : int
        Position of the order in the store; identifies the order.
    """

    service: ServiceName
    to_version: VersionName
    duration_s: float
    offset: int


class RolloutState(enum.StrEnum):
    """Recorded state of a rollout."""

    RUNNING = "running"
    DONE = "done"
    WITHDRAWN = "withdrawn"


@attrs.frozen(kw_only=True)
class RolloutStatus:
    """State of a rollout as recorded in the store."""

    service: ServiceName
    to_version: VersionName
    state: RolloutState


@attrs.frozen(kw_only=True)
class CallFacts:
    """What the headers of a request say.

    Parameters
    ----------
    deadline_ms : float or None
        How long the caller waits, from the arrival of the request.
    key : str or None
        Bearer key.
    after_event : int or None
        Last event that the caller already has, when it resumes a stream.
    """

    request_id: RequestId
    deadline_ms: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    has_token_counts: bool = False
    expected_output_tokens: int = 0
    parts: tuple[Part, ...] = ()
    after_event: int | None = None


Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class Call:
    """A request as read from a caller's connection."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_ms: int


@attrs.frozen(kw_only=True)
class Sending:
    """What is set on a request when it is sent to an upstream.

    Parameters
    ----------
    remaining_ms : float
        Time that the upstream may use.
    after_event : int or None
        Last event that was passed on, when a stream is resumed.
    memory_copy : str or None
        Copy of the memory of the run that goes on.
    """

    upstream: UpstreamId
    account: AccountId | None
    remaining_ms: float
    priority: int | None = None
    after_event: int | None = None
    memory_copy: str | None = None


@attrs.frozen
class AnswerHead:
    """Status line and headers of an upstream's answer."""

    status: int
    reason: bytes
    headers: Headers


@attrs.frozen(kw_only=True)
class AnswerFacts:
    """What the headers of an upstream's answer say.

    Parameters
    ----------
    request_id : str or None
        Request that the answer belongs to.
    not_run : bool
        Whether the upstream states that it did not run the request.
    closes : bool
        Whether the upstream closes the connection after the answer.
    idle_timeout_s : float or None
        Time after which the upstream closes an idle connection.
    """

    request_id: str | None
    not_run: bool
    closes: bool = False
    idle_timeout_s: float | None = None
