"""Health of upstreams, from request results and reports that an upstream leaves."""

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
        Consecutive failures after which an upstream becomes suspect, and after which
        it is ejected.
    eject_ms, max_eject_ms : int
        Duration of the first ejection, which doubles each time a probe fails, and its
        maximum.
    probe_successes : int
        Successful requests after which a probing upstream is healthy.
    """

    suspect_failures: int = attrs.field(default=2, validator=in_range(1, 1000))
    eject_failures: int = attrs.field(default=5, validator=in_range(1, 1000))
    eject_ms: int = attrs.field(default=5_000, validator=in_range(1, 3_600_000))
    max_eject_ms: int = attrs.field(default=60_000, validator=in_range(1, 3_600_000))
    probe_successes: int = attrs.field(default=2, validator=in_range(1, 1000))


class LeavingSource(enum.StrEnum):
    """Source of a report that an upstream is leaving."""

    NOTICE = "notice"
    HOST_LIST = "host_list"
    GOSSIP = "gossip"
    RESPONSE = "response"
    OPERATOR = "operator"


_NOT_LEAVING = [state for state in HealthState if state is not HealthState.LEAVING]
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
        ["leave", _NOT_LEAVING, HealthState.LEAVING],
    ],
)


class UpstreamHealth:
    """Health of one incarnation of one upstream.

    ``healthy -> suspect -> ejected -> probing -> healthy``. A suspect upstream is
    healthy again after one success, and a probing one is ejected again after one
    failure. Every state may change to `leaving`, which is final.

    Parameters
    ----------
    policy : HealthPolicy
        Thresholds.

    Attributes
    ----------
    state : HealthState
        The current state.
    """

    state: HealthState
    # Triggers that `transitions` adds to the model.
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
        """Record a request that the upstream completed."""
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
        """Record a request that failed because of the upstream."""
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
        """Change from ejected to probing once the ejection time is over."""
        if self.state is HealthState.EJECTED and now.mono_ms >= self._ejected_until_ms:
            self._successes = 0
            self.probe()

    def report_leaving(self, source: LeavingSource) -> None:
        """Record that the incarnation is leaving; repeated reports have no effect."""
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
    """Health of all upstreams, each at its highest known incarnation.

    Reports about a lower incarnation than the known one are ignored, so no report
    about a replaced process applies to its successor, and a report that a leaving
    incarnation is live has no effect.

    Parameters
    ----------
    policy : HealthPolicy
        Thresholds for all upstreams.
    max_departed : int
        Maximum number of departed upstreams that are remembered after `forget`.
    """

    def __init__(self, policy: HealthPolicy, max_departed: int = 16_384) -> None:
        self._policy = policy
        self._max_departed = max_departed
        self._departed: OrderedDict[UpstreamId, Incarnation] = OrderedDict()
        self._entries: dict[UpstreamId, tuple[Incarnation, UpstreamHealth]] = {}

    def find(
        self, upstream: UpstreamId, incarnation: Incarnation
    ) -> UpstreamHealth | None:
        """Return the health of an incarnation; None if it departed or was replaced."""
        known = self._entries.get(upstream)
        if known is not None and known[0] == incarnation:
            if upstream not in self._departed:
                return known[1]
        elif known is not None and known[0] > incarnation:
            return None
        departed = self._departed.get(upstream)
        if departed is not None and departed >= incarnation:
            return None
        if known is None or known[0] < incarnation:
            if known is not None:
                _MACHINE.remove_model(known[1])
            known = (incarnation, UpstreamHealth(self._policy))
            self._entries[upstream] = known
        return known[1]

    def get_state(
        self, upstream: UpstreamId, incarnation: Incarnation, now: Instant
    ) -> HealthState:
        """Return the current state, as passed to `UpstreamView.health_state`.

        A replaced or departed incarnation counts as leaving: it must receive no new
        requests.
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
        """Record the result of a request."""
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
        """Record that a source reports an incarnation as leaving."""
        health = self.find(upstream, incarnation)
        if health is not None:
            health.report_leaving(source)

    def forget(self, upstream: UpstreamId) -> None:
        """Remove an upstream that no source lists any more.

        If it was leaving, its incarnation is remembered as departed, because a lagging
        host list may report it as live again.
        """
        known = self._entries.pop(upstream, None)
        if known is None:
            return
        _MACHINE.remove_model(known[1])
        if known[1].state is HealthState.LEAVING:
            self._departed[upstream] = known[0]
            self._departed.move_to_end(upstream)
            while len(self._departed) > self._max_departed:
                self._departed.popitem(last=False)
