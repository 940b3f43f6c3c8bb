"""Data model of the gateway: its configuration, upstreams, requests and responses."""

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
from waxwingbarrow.routing import PromptPart


class RouteKind(enum.Enum):
    """Whether a request of a route may run more than once, or is answered by a stream.

    Whether a request for a stream may run again depends on `Route.resumable`.
    """

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at most once"
    STREAM = "stream"


@attrs.frozen
class Backend:
    """A service that serves a route.

    Parameters
    ----------
    weight : float
        Part of the route's requests that it gets, relative to the sum of the weights of
        the route's backends.
    """

    service: ServiceName
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """A route of the configuration.

    Parameters
    ----------
    host : str
        Host name in the requests' Host header, without the port.
    path_prefix : str
        Prefix of the path; begins and ends with a slash.
    resumable : bool
        Whether a stream may be continued by another upstream.
    timeout_ms : float
        Longest time for which a caller is kept waiting.
    objective_ms : float
        Latency objective of a response, or of the first event of a stream.
    max_attempts : int
        Largest number of attempts to run one request, each at another upstream.
    priority : int
        Priority of requests; 0 is the most urgent.
    public : bool
        Whether requests need no key.
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
        Largest number of requests in one batch.
    memory_tokens : int
        Size in tokens of the key-value cache, which running requests and cached prompt
        parts share.
    can_move : bool
        Whether the memory of a running request can be copied to another engine.
    tokens_per_event : int
        Number of tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    can_move: bool = False
    tokens_per_event: int = 1


@attrs.frozen(kw_only=True)
class Scaling:
    """Bounds on the number of workers of a service, and their prices.

    Parameters
    ----------
    min_workers, max_workers : int
        Bounds on the workers in each data centre, reclaimable ones included.
    boot_s : float
        Time from the order of a worker until it serves requests.
    reclaimable_price : float or None
        Price of a reclaimable worker as a fraction of a regular one's; None if the
        service has no reclaimable workers.
    prices : dict
        Price of a regular worker for one second, by data centre.
    """

    min_workers: int
    max_workers: int
    boot_s: float
    reclaimable_price: float | None
    prices: dict[DataCentre, float]


@attrs.frozen(kw_only=True)
class Service:
    """A service of the configuration.

    Parameters
    ----------
    engine : Engine or None
        Properties of its model engines, if it has any.
    scaling : Scaling or None
        Bounds on its workers, if they are to be scaled.
    cold_start_s : float
        Time for which an upstream is cold after it starts during traffic.
    cold_limit_per_s : float
        Requests per second that a cold upstream tolerates from all hosts together; 0
        if upstreams are never cold.
    """

    name: ServiceName
    engine: Engine | None = None
    scaling: Scaling | None = None
    cold_start_s: float = 0.0
    cold_limit_per_s: float = 0.0

    @property
    def has_cold_phase(self) -> bool:
        """Whether upstreams may be cold."""
        return self.cold_start_s > 0 and self.cold_limit_per_s > 0


@attrs.frozen(kw_only=True)
class Account:
    """A client account.

    Parameters
    ----------
    keys : tuple of str
        Bearer keys of its requests.
    priority : int or None
        Priority that replaces the route's, if it is set.
    counts_tokens : bool
        Whether the limit is in tokens; otherwise it is in requests.
    plain_tokens : int
        Tokens charged for a request that does not state its token counts.
    rate_per_s, burst : float
        Limit over all hosts, in tokens or requests: rate and capacity of a token
        bucket. A rate of 0 means no limit.
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
    """Limits on the size of requests and on the time that callers may take.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest size of the head and of the body of a request.
    header_timeout_ms : float
        Time within which the head of a request must have arrived.
    idle_timeout_ms : float
        Time after which an idle connection is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 30_000.0


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the whole configuration.

    Parameters
    ----------
    has_accounts : bool
        Whether accounts are configured; otherwise no request needs a key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    has_accounts: bool = False
    limits: CallerLimits = CallerLimits()


@attrs.frozen(kw_only=True)
class UpstreamEntry:
    """A registration of an upstream.

    Parameters
    ----------
    host, port : str, int
        IP address and port at which it accepts connections.
    slots : int
        Largest number of requests that it runs at once.
    leaving : bool
        Whether it is about to end and takes no new requests.
    process_started_ms : int
        Wall time in ms at which its process started; 0 if it is not stated.
    sequence : int
        Number of this registration among those of the same process.
    reclaimable : bool
        Whether the platform may take the worker back at short notice.
    leaves_in_ms : int or None
        Time from the registration until the upstream ends, if it is known.
    cold_left_ms : int or None
        Time from the registration until the upstream is warm, if it is stated.
    """

    upstream: UpstreamId
    service: ServiceName
    host: str
    port: int
    data_centre: DataCentre
    version: VersionName
    slots: int = 1
    leaving: bool = False
    process_started_ms: int = 0
    sequence: int = 0
    reclaimable: bool = False
    leaves_in_ms: int | None = None
    cold_left_ms: int | None = None

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """An operator's request to move a service to another version.

    Parameters
    ----------
    duration_s : float
        Time within which the rollout is to be decided.
    offset : int
        Position of the order in the store, over all its eras; identifies the order. See
        `number_in_era`.
    """

    service: ServiceName
    to_version: VersionName
    duration_s: float
    offset: int


class RolloutState(enum.StrEnum):
    """State of a rollout as recorded in the store."""

    RUNNING = "running"
    DONE = "done"
    WITHDRAWN = "withdrawn"


@attrs.frozen(kw_only=True)
class RolloutStatus:
    """State of the newest rollout of a service, as recorded in the store."""

    service: ServiceName
    to_version: VersionName
    state: RolloutState


@attrs.frozen(kw_only=True)
class CallMetadata:
    """What the headers of a request state.

    Parameters
    ----------
    deadline_ms : float or None
        Time for which the caller waits, from the arrival of the request.
    key : str or None
        Bearer key, which identifies the account.
    has_token_counts : bool
        Whether the headers state the tokens of the prompt and of the output.
    expected_output_tokens : int
        Caller's estimate of the length of the output; 0 if it gives none.
    parts : tuple of PromptPart
        Identifiers and lengths of the parts of the prompt.
    after_event : int or None
        Number of the last event that the caller has received, when it resumes a stream.
    """

    request_id: RequestId
    deadline_ms: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    has_token_counts: bool = False
    expected_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    after_event: int | None = None


Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class Call:
    """A request as read from a caller's connection.

    Parameters
    ----------
    received_ms : int
        Monotonic time at which it arrived.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_ms: int


@attrs.frozen(kw_only=True)
class ForwardingMetadata:
    """Values for the headers of a request that is forwarded to an upstream.

    Parameters
    ----------
    upstream : UpstreamId
        Upstream that is expected to answer.
    remaining_ms : float
        Time that is left until the deadline of the request.
    after_event : int or None
        Number of the last event that the caller has received, when a stream is resumed.
    memory_copy : str or None
        Address and name of the copy of a run's memory from which a moved request
        continues.
    """

    upstream: UpstreamId
    account: AccountId | None
    remaining_ms: float
    priority: int | None = None
    after_event: int | None = None
    memory_copy: str | None = None


@attrs.frozen
class ResponseHead:
    """Status line and headers of an upstream's response."""

    status: int
    reason: bytes
    headers: Headers


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """What the headers of an upstream's response state.

    Parameters
    ----------
    request_id : str or None
        Request that the response belongs to; None if it is not stated.
    not_run : bool
        Whether the upstream states that it did not run the request.
    closes : bool
        Whether the upstream closes the connection after the response.
    idle_timeout_s : float or None
        Time after which the upstream closes an idle connection, if it is stated.
    request_limit_per_s : float or None
        Requests per second that the upstream accepts from all hosts together, if it
        limits them.
    leaving : bool
        Whether the upstream is about to end and takes no new requests.
    retry_after_s : float or None
        Time for which the upstream wants no requests from this host, if it is stated.
    cold_left_ms : int or None
        Time until the upstream is warm, if it is stated.
    """

    request_id: str | None
    not_run: bool
    closes: bool = False
    idle_timeout_s: float | None = None
    request_limit_per_s: float | None = None
    leaving: bool = False
    retry_after_s: float | None = None
    cold_left_ms: int | None = None
