"""Refusal of the requests that a planned stop might cut."""

from waxwingbarrow.core import Instant
from waxwingbarrow.gateway.requests._plans import Plan, Refused

# The load balancer removes a host after two failed probes one second apart. Until then
# it sends callers here, also those that another host has refused.
REMOVAL_MS = 2_000
# Requests of those callers are accepted if they get this much time.
MIN_RUN_MS = 5_000
# The load balancer sends a new connection to another host.
RETRY_AFTER_STOP_S = 0.05


class StopCheck:
    """Refuses the requests that a planned stop might cut.

    Until the load balancer has removed this host, requests are accepted if they get
    `MIN_RUN_MS`. After that, only the deadline of a request bounds how long it runs.
    Durations of earlier requests do not: a stream that takes longer than expected would
    be cut after its response has begun.

    Attributes
    ----------
    stopped_at, ends_at : Instant or None
        Time of the stop signal, and when the process ends; None before the signal.
    """

    def __init__(self) -> None:
        self.stopped_at: Instant | None = None
        self.ends_at: Instant | None = None

    def check(self, plan: Plan, now: Instant) -> Refused | None:
        """Refuse a request that might not end before the process does."""
        if self.stopped_at is None or self.ends_at is None:
            return None
        left_ms = self.ends_at.mono_ms - now.mono_ms
        allowed_ms = plan.deadline.mono_ms - now.mono_ms
        is_removed = now.mono_ms - self.stopped_at.mono_ms > REMOVAL_MS
        if allowed_ms <= left_ms or (not is_removed and left_ms >= MIN_RUN_MS):
            return None
        inputs: dict[str, object] = {"allowed_ms": allowed_ms, "left_ms": left_ms}
        return Refused(503, "shutting down", RETRY_AFTER_STOP_S, inputs)
