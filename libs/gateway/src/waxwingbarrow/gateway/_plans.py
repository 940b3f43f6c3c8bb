"""State of a request while it is served, and the gateway's own refusals."""

import attrs

from waxwingbarrow.core import Instant, UpstreamId
from waxwingbarrow.gateway._model import Account, Call, CallMetadata, Route
from waxwingbarrow.gateway._quota_admission import Charge


@attrs.define(eq=False)
class RequestTrace:
    """What the log line of a request contains.

    Parameters
    ----------
    attempts : list of str
        Upstream and result of each attempt.
    start_ms : float or None
        Estimated time to the first token, or until the upstream has a free slot.
    cached_tokens : int or None
        Prompt tokens that the upstream was assumed to have cached.
    running : int or None
        Requests that ran at the upstream when it was chosen.
    candidates : int or None
        Upstreams that it was chosen from.
    upstreams_age_ms : int or None
        Age of the known registrations of upstreams.
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


@attrs.define(eq=False)
class Plan:
    """An accepted request and its progress.

    Parameters
    ----------
    cost : float
        What its account is charged, in the unit of the account's limit.
    deadline : Instant
        Deadline of the request.
    fingerprint : str
        Hash that is the same for equal requests of an account.
    charge : Charge
        Where it was charged.
    began : bool
        Whether an upstream began to run it; otherwise its charge is refunded.
    may_have_run : bool
        Whether an upstream may have run it, even in part.
    delivered_attempts : int
        Attempts that reached an upstream, moves included.
    moves : int
        Moves of its run to another upstream with its memory. A move continues the same
        run, so it does not count against the attempts allowed.
    tried_upstreams : set of UpstreamId
        Upstreams to which it was sent.
    """

    call: Call
    metadata: CallMetadata
    route: Route
    account: Account | None
    cost: float
    deadline: Instant
    fingerprint: str
    trace: RequestTrace
    charge: Charge = Charge.NOWHERE
    began: bool = False
    may_have_run: bool = False
    delivered_attempts: int = 0
    moves: int = 0
    tried_upstreams: set[UpstreamId] = attrs.Factory(set)

    @property
    def has_attempts_left(self) -> bool:
        """Whether the route allows one more attempt."""
        return self.delivered_attempts - self.moves < self.route.max_attempts


@attrs.frozen
class Refused:
    """An error that the gateway answers with instead of an upstream.

    Parameters
    ----------
    status : int
        HTTP status.
    inputs : dict
        Inputs of the decision, as fields for the log.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
    inputs: dict[str, object] = attrs.Factory(dict)
