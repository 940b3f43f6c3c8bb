"""Health of upstreams, from the results of requests and reports of leaving."""

import enum
from collections import OrderedDict
from typing import Any

import attrs
from transitions import Machine

from waxwingbarrow.core import Incarnation, Instant, UpstreamId, in_range
from waxwingbarrow.routing._views import HealthState


@attrs.frozen(kw_only=True)
class HealthPolicy:
    """Constants of `UpstreamHealth`.

    Parameters
    ----------
    suspect_failures, eject_failures : int
        Consecutive failures after which an upstream is suspect, and ejected.
    eject_ms, max_eject_ms : int
        Duration of the first ejection, doubled each time a probe fails, up to the
        maximum.
    probe_successes : int
        Successes that end probing.
    """

    suspect_failures: int = attrs.field(default=2, validator=in_range(1, 1000))
    eject_failures: int = attrs.field(default=5, validator=in_range(1, 1000))
    eject_ms: int = attrs.field(default=5_000, validator=in_range(1, 3_600_000))
    max_eject_ms: int = attrs.field(default=60_000, validator=in_range(1, 3_600_000))
    probe_successes: int = attrs.field(default=2, validator=in_range(1, 1000))


class LeavingSource(enum.StrEnum):
    """Who reported that an upstream is leaving."""

    NOTICE = "notice"
    HOST_LIST = "host_list"
    GOSSIP = "gossip"
    RESPONSE = "response"
    OPERATOR = "operator"


_STAYING = [state for state in HealthState if state is not HealthState.LEAVING]
_MACHINE = Machine(
    model=None,
    states=HealthState,
    initial=HealthState.HEALTHY,
    auto_transitions=False,
    transitions=[
        ["suspect", HealthState.HEALTHY, HealthState.SUSPECT],
        ["eject", [HealthState.SUSPECT, HealthState.PROBING], HealthState.EJECTED],
        ["probe", HealthState.EJECTED, HealthState.PROBING],
        ["recover", [HealthState.SUSPECT, HealthState.PROBING], HealthState.HEALTHY],
        ["leave", _STAYING, HealthState.LEAVING],
    ],
)


class UpstreamHealth:
    """Health of one incarnation of one upstream.

    ``healthy -> suspect -> ejected -> probing -> healthy``; every state but `leaving`
    may pass to `leaving`, which has no way out.

    Parameters
    ----------
    policy : HealthPolicy
        Thresholds.

    Attributes
    ----------
    state : HealthState
        The present state.
    """

    state: HealthState
    # Added by the state machine.
    suspect: Any
    eject: Any
    probe: Any
    recover: Any
    leave: Any

    def __init__(self, policy: HealthPolicy) -> None:
        self._policy = policy
        self._failures = 0
        self._successes = 0
        self._ejections = 0
        self._ejected_until_ms = 0
        self.leaving_sources: frozenset[LeavingSource] = frozenset()
        _MACHINE.add_model(self)

    def record_success(self, now: Instant) -> None:
        """Note a request that the upstream completed."""
        self.advance(now)
        self._failures = 0
        match self.state:
            case HealthState.SUSPECT:
                self.recover()
            case HealthState.PROBING:
                self._successes += 1
                if self._successes >= self._policy.probe_successes:
                    self._ejections = 0
                    self.recover()

    def record_failure(self, now: Instant) -> None:
        """Note a request that failed through the upstream's fault."""
        self.advance(now)
        self._failures += 1
        if (
            self.state is HealthState.HEALTHY
            and self._failures >= self._policy.suspect_failures
        ):
            self.suspect()
        if self.state is HealthState.PROBING or (
            self.state is HealthState.SUSPECT
            and self._failures >= self._policy.eject_failures
        ):
            self._begin_ejection(now)

    def advance(self, now: Instant) -> None:
        """Begin probing when the ejection has lasted long enough."""
        if self.state is HealthState.EJECTED and now.mono_ms >= self._ejected_until_ms:
            self._successes = 0
            self.probe()

    def report_leaving(self, source: LeavingSource) -> None:
        """Note that the incarnation is leaving; repeated reports change nothing."""
        self.leaving_sources |= {source}
        if self.state is not HealthState.LEAVING:
            self.leave()

    def _begin_ejection(self, now: Instant) -> None:
        duration_ms = min(
            self._policy.eject_ms * 2 ** min(self._ejections, 20),
            self._policy.max_eject_ms,
        )
        self._ejections += 1
        self._ejected_until_ms = now.mono_ms + duration_ms
        self.eject()


class HealthRegistry:
    """Health of all upstreams, by their highest incarnation.

    Reports about a lower incarnation than the known one are ignored, so no report
    about a replaced process applies to its successor, and a report that a leaving
    incarnation is live has no effect.

    Parameters
    ----------
    policy : HealthPolicy
        Thresholds for all upstreams.
    max_left : int
        Most upstreams that are remembered as having left after `forget`.
    """

    def __init__(self, policy: HealthPolicy, max_left: int = 16_384) -> None:
        self._policy = policy
        self._max_left = max_left
        self._left: OrderedDict[UpstreamId, Incarnation] = OrderedDict()
        self._entries: dict[UpstreamId, tuple[Incarnation, UpstreamHealth]] = {}

    def find(
        self, upstream: UpstreamId, incarnation: Incarnation
    ) -> UpstreamHealth | None:
        """Return the health of an incarnation; None if it left or was replaced."""
        known = self._entries.get(upstream)
        if known is not None and known[0] > incarnation:
            return None
        left = self._left.get(upstream)
        if left is not None and left >= incarnation:
            return None
        if known is None or known[0] < incarnation:
            if known is not None:
                _MACHINE.remove_model(known[1])
            known = (incarnation, UpstreamHealth(self._policy))
            self._entries[upstream] = known
        return known[1]

    def judge(
        self, upstream: UpstreamId, incarnation: Incarnation, now: Instant
    ) -> HealthState:
        """Return the state that `UpstreamView.suspicion` carries.

        A replaced incarnation counts as leaving: it must receive no new work.
        """
        health = self.find(upstream, incarnation)
        if health is None:
            return HealthState.LEAVING
        health.advance(now)
        return health.state

    def record(
        self,
        upstream: UpstreamId,
        incarnation: Incarnation,
        succeeded: bool,
        now: Instant,
    ) -> None:
        """Note the result of a request."""
        health = self.find(upstream, incarnation)
        if health is None:
            return
        if succeeded:
            health.record_success(now)
        else:
            health.record_failure(now)

    def report_leaving(
        self, upstream: UpstreamId, incarnation: Incarnation, source: LeavingSource
    ) -> None:
        """Note from any source that an incarnation is leaving."""
        health = self.find(upstream, incarnation)
        if health is not None:
            health.report_leaving(source)

    def forget(self, upstream: UpstreamId) -> None:
        """Drop an upstream that no source lists any more.

        A leaving incarnation is still remembered as such, because a lagging host list
        may report it live again.
        """
        known = self._entries.pop(upstream, None)
        if known is None:
            return
        _MACHINE.remove_model(known[1])
        if known[1].state is HealthState.LEAVING:
            self._left[upstream] = known[0]
            self._left.move_to_end(upstream)
            while len(self._left) > self._max_left:
                self._left.popitem(last=False)
