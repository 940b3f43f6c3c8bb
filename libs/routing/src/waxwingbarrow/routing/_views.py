"""Inputs, policy and result of the choice of upstream."""

import enum

import attrs

from waxwingbarrow.core import (
    AccountId,
    DataCentre,
    Incarnation,
    Instant,
    PriorityClass,
    RouteName,
    ServiceName,
    UpstreamId,
    VersionName,
    Zone,
    in_range,
)


class HealthState(enum.StrEnum):
    """Health of one incarnation of an upstream, as observed by this host.

    A suspect upstream gets a penalty in the choice, and a probing one gets one request
    at a time. An ejected one gets none unless all are ejected, and a leaving one never
    gets a new request.
    """

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    PROBING = "probing"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class UpstreamView:
    """Information that this host has about one upstream.

    Parameters
    ----------
    price_per_hour : float
        Price of the upstream's host, in any currency that is the same for all.
    checks_fencing : bool
        Whether the upstream refuses orders with an old fencing number.
    leaving : bool
        Whether any source reported that this incarnation is leaving.
    in_flight : int
        Requests that run or wait there: the number in the last load report plus the
        requests that this host has sent since.
    queued_tokens : int
        Prompt tokens that waited for prefill at the last load report.
    own_queued_tokens : int
        Prompt tokens of requests that this host has sent since that report and that
        have not produced a first token yet.
    own_sent_order : int
        Sequence number, among all requests sent by this host, of the last one sent to
        this upstream; 0 before the first one.
    prefill_tokens_per_s : float
        Prompt tokens processed per second; 0 for a plain service.
    decode_tokens_per_s : float
        Tokens generated per second by all requests of a full batch together; 0 for a
        plain service.
    batch_limit : int
        Maximum number of requests that run concurrently.
    load_reported_at : Instant or None
        When the load figures were last reported; None before the first report.
    health_state : HealthState
        Health according to `UpstreamHealth`.
    """

    upstream: UpstreamId
    service: ServiceName
    version: VersionName
    address: str
    data_centre: DataCentre
    zone: Zone
    price_per_hour: float = 0.0
    checks_fencing: bool = False
    leaving: bool = False
    incarnation: Incarnation = Incarnation(0, 0)
    in_flight: int = 0
    queued_tokens: int = 0
    own_queued_tokens: int = 0
    own_sent_order: int = 0
    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0
    batch_limit: int = 1
    load_reported_at: Instant | None = None
    health_state: HealthState = HealthState.HEALTHY


@attrs.frozen(kw_only=True)
class RouteRequest:
    """A request for which an upstream is to be chosen.

    Parameters
    ----------
    prefix_blocks : tuple of int
        Result of `hash_prefix`; empty for a plain service.
    prompt_tokens : int
        Length of the prompt; 0 for a plain service.
    max_output_tokens : int
        Maximum number of tokens to generate; 0 for a plain service.
    version : VersionName or None
        Version that the rollout selected; None if any version may serve the request.
    fingerprint : str
        Digest of the body, by which `CrashSuspects` recognizes a repeated request.
    """

    service: ServiceName
    route: RouteName
    priority_class: PriorityClass = PriorityClass.STANDARD
    prefix_blocks: tuple[int, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    version: VersionName | None = None
    account: AccountId
    fingerprint: str = ""


@attrs.frozen(kw_only=True)
class RoutingPolicy:
    """Constants of the choice of upstream.

    Parameters
    ----------
    data_centre, zone : str
        Location of this host.
    other_data_centre_penalty_ms, other_zone_penalty_ms : float
        Penalty for an upstream in another data centre, or in another zone of the same
        data centre.
    price_penalty_ms : float
        Penalty for a price of twice the cheapest candidate's; proportional to the
        relative difference in price.
    suspect_penalty_ms : float
        Penalty for a suspect upstream.
    in_flight_penalty_ms : float
        Penalty per request in flight, because a fuller batch generates the tokens of
        each request more slowly.
    subset_size : int
        Maximum number of upstreams that are scored for one request.
    affinity_match_percent : float
        Percentage of the prefix that is assumed to be cached on its first upstream in
        rendezvous hash order unless the index reports more; halved for each further
        upstream. Hosts that have not seen each other's requests thus agree on where a
        prefix is cached.
    affinity_block : int
        Index of the block whose hash selects the subset. It must lie after the longest
        system prompt that many requests share; otherwise all these requests have the
        same first upstream. For shorter prompts no cached prefix is assumed: most are
        sent once, and preferring an upstream for them only unbalances the load.
    tie_margin_ms : float
        Candidates whose scores are within this distance of the best are equivalent and
        take turns, so that hosts with the same outdated load reports do not all choose
        the same upstream.
    reported_queue_percent : float
        Weight of the reported queue relative to this host's own queued tokens. A queue
        usually drains in less time than passes between reports, so a reported one is
        partly gone when it is used. At full weight, all hosts would avoid an upstream
        that is idle again.
    load_stale_ms : int
        Age of a load report from which its weight decreases linearly, to 0 at twice
        this age.
    """

    data_centre: DataCentre
    zone: Zone
    other_data_centre_penalty_ms: float = attrs.field(
        default=2.0, validator=in_range(0, 1e4)
    )
    other_zone_penalty_ms: float = attrs.field(default=0.5, validator=in_range(0, 1e4))
    price_penalty_ms: float = attrs.field(default=5.0, validator=in_range(0, 1e4))
    suspect_penalty_ms: float = attrs.field(default=500.0, validator=in_range(0, 1e6))
    in_flight_penalty_ms: float = attrs.field(default=2.0, validator=in_range(0, 1e4))
    subset_size: int = attrs.field(default=16, validator=in_range(1, 1024))
    affinity_match_percent: float = attrs.field(
        default=90.0, validator=in_range(0, 100)
    )
    affinity_block: int = attrs.field(default=32, validator=in_range(0, 10_000))
    tie_margin_ms: float = attrs.field(default=6.0, validator=in_range(0, 1e4))
    reported_queue_percent: float = attrs.field(
        default=50.0, validator=in_range(0, 100)
    )
    load_stale_ms: int = attrs.field(default=5_000, validator=in_range(1, 3_600_000))


@attrs.frozen(kw_only=True)
class UpstreamChoice:
    """The chosen upstream.

    Parameters
    ----------
    view : UpstreamView
        The upstream.
    first_token_ms : float
        Estimated time to the first token, without penalties.
    matched_tokens : int
        Prompt tokens that are cached there according to the prefix index.
    candidates : int
        Number of upstreams that were scored.
    """

    view: UpstreamView
    first_token_ms: float
    matched_tokens: int
    candidates: int
