"""State of a request while it is served, and the gateway's own refusals."""

import attrs
import xxhash

from waxwingbarrow.core import Instant, ServiceName, UpstreamId
from waxwingbarrow.gateway.admission import AdviceSource, Charge
from waxwingbarrow.gateway.base import Account, Call, CallMetadata, Route
from waxwingbarrow.gateway.messages import PlacementAdvice
from waxwingbarrow.gateway.upstreams import Fingerprints


@attrs.define(eq=False)
class RequestTrace:
    """What the log line of a request contains.

    Parameters
    ----------
    attempts : list of str
        Upstream and result of each attempt.
    config_version : int
        Version of the configuration in force when the request arrived.
    start_ms : float or None
        Estimated time to the first token, or until the upstream has a free slot, when
        the upstream was chosen.
    cached_tokens : int or None
        Prompt tokens that the upstream was assumed to have cached.
    running : int or None
        Requests that ran at the upstream when it was chosen.
    candidates : int or None
        Number of upstreams that it was chosen from.
    upstreams_age_ms : int or None
        Age of the known registrations of upstreams.
    is_advised : bool
        Whether the quota keeper chose the upstream.
    first_event_ms : int or None
        Time from the last attempt to its first event, for a stream.
    capacity_decided_by : str
        Address of the keeper that decided whether the request is served while engines
        are scarce, "keeper" for this host as the keeper, "own share" for this host
        without one; empty if that is not decided.
    capacity_wait_ms : int
        Time for which the request waited for capacity.
    """

    request_id: str
    route: str = ""
    account: str = ""
    attempts: list[str] = attrs.Factory(list)
    config_version: int = 0
    start_ms: float | None = None
    cached_tokens: int | None = None
    running: int | None = None
    candidates: int | None = None
    upstreams_age_ms: int | None = None
    is_advised: bool = False
    first_event_ms: int | None = None
    capacity_decided_by: str = ""
    capacity_wait_ms: int = 0


@attrs.define(eq=False)
class Plan:
    """An accepted request and its progress.

    Parameters
    ----------
    cost : float
        What its account is charged, in tokens or requests.
    deadline : Instant
        When the response must be complete, by the caller's deadline and the route's
        timeout.
    fingerprints : Fingerprints
        By which requests that crash upstreams are recognised.
    expected_start_ms : float or None
        Estimated time to the first event of the first attempt at a model engine that
        works at its normal speed.
    charge : Charge
        Where the cost was charged.
    advice : PlacementAdvice or None
        Where the quota keeper advised to send the first attempt.
    advice_source : AdviceSource or None
        Where the advice that the current attempt follows comes from, if it follows one.
    permitted_upstream : UpstreamId or None
        Upstream for which the quota keeper has taken a permit for the first attempt.
    is_work_counted : bool
        Whether its work was counted in the work of its service.
    began : bool
        Whether an upstream began to run it; otherwise its charge is refunded.
    may_have_run : bool
        Whether an upstream may have run it, even in part.
    delivered_attempts : int
        Attempts that reached an upstream, moves included.
    moves : int
        Number of times that its run was moved to another upstream with its memory. A
        move continues the same run, so it does not count against the attempts allowed.
    tried_upstreams : set of UpstreamId
        Upstreams to which it was sent.
    has_capacity : bool
        Whether it was admitted while engines are scarce; see `CapacityGate`.
    promise : int
        Number of the promise with which it waits for capacity; 0 if it does not.
    open_attempts : int
        Attempts that still run and are not counted as delivered, while another one is
        started beside them.
    events_sent : int
        Events of a stream that were passed on to the caller.
    """

    call: Call
    metadata: CallMetadata
    route: Route
    account: Account | None
    cost: float
    deadline: Instant
    fingerprints: Fingerprints
    trace: RequestTrace
    expected_start_ms: float | None = None
    charge: Charge = Charge.NOWHERE
    advice: PlacementAdvice | None = None
    advice_source: AdviceSource | None = None
    permitted_upstream: UpstreamId | None = None
    is_work_counted: bool = False
    began: bool = False
    may_have_run: bool = False
    delivered_attempts: int = 0
    moves: int = 0
    tried_upstreams: set[UpstreamId] = attrs.Factory(set)
    has_capacity: bool = False
    promise: int = 0
    open_attempts: int = 0
    events_sent: int = 0

    @property
    def is_response_begun(self) -> bool:
        """Whether the caller has a part of the response."""
        return self.events_sent > 0

    @property
    def output_size(self) -> int:
        """Output tokens that the request allows; 1 for requests without tokens."""
        return max(self.metadata.max_output_tokens, 1)

    @property
    def priority(self) -> int:
        """Priority of the account if it has one, otherwise of the route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def has_attempts_left(self) -> bool:
        """Whether the route allows one more attempt."""
        return self.delivered_attempts - self.moves < self.route.max_attempts


@attrs.frozen
class Refused:
    """An error response that the gateway generates itself.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Body of the response, and value of a label in the metrics.
    retry_after_s : float or None
        Value of Retry-After; None leaves the header out.
    inputs : dict
        Inputs of the decision, as fields for the log.
    wait_ms : float or None
        Time after which to decide again instead of refusing, if the request may wait.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
    inputs: dict[str, object] = attrs.Factory(dict)
    wait_ms: float | None = None


def make_fingerprints(
    call: Call, account: str, service: ServiceName, metadata: CallMetadata
) -> Fingerprints:
    """Return what identifies a request among those that crash upstreams.

    The last part of a prompt belongs to the request or its session, so it is left out.
    """
    digest = xxhash.xxh3_64(call.body)
    digest.update(call.target)
    digest.update(account.encode())
    parts = tuple(f"{service}/{part.part:x}" for part in metadata.parts[:-1])
    return Fingerprints(digest.hexdigest(), parts)
