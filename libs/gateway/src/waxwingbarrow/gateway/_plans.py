"""What becomes of a request before anything is sent."""

import attrs

from waxwingbarrow.core import Instant, UpstreamId
from waxwingbarrow.gateway._grants import Charge
from waxwingbarrow.gateway._model import Account, Call, CallFacts, Route


@attrs.define(eq=False)
class Trace:
    """What is logged of a request."""

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
    """What a request asks for, and what became of it so far.

    Parameters
    ----------
    cost : float
        What its account is charged.
    charge : Charge
        Where it was charged.
    arrivals, moves : int
        How often it reached an upstream, and how often its run then went on elsewhere
        from its memory, which is the same run.
    """

    call: Call
    facts: CallFacts
    route: Route
    account: Account | None
    cost: float
    until: Instant
    fingerprint: str
    trace: Trace
    charge: Charge = Charge.NOWHERE
    began: bool = False
    may_have_run: bool = False
    arrivals: int = 0
    moves: int = 0
    tried: set[UpstreamId] = attrs.Factory(set)

    @property
    def has_attempts_left(self) -> bool:
        """Whether it may run at one more upstream."""
        return self.arrivals - self.moves < self.route.max_attempts


@attrs.frozen
class Refused:
    """An answer of the gateway's own.

    Parameters
    ----------
    inputs : dict
        What decided it, for the log.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
    inputs: dict[str, object] = attrs.Factory(dict)
