"""Rollouts as this host sees them, and the versions that requests may use."""

import logging
import math

import attrs
import xxhash

from waxwingbarrow.core import HostId, Instant, RouteName, ServiceName, VersionName
from waxwingbarrow.gateway.base import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    split_number,
)
from waxwingbarrow.rollout import (
    CanaryDecision,
    CanaryPolicy,
    RouteCounts,
    Withdraw,
    decide_canary,
)

logger = logging.getLogger("waxwingbarrow.gateway.rollouts")

# Number of buckets to which requests are assigned by a hash of their IDs. The first
# buckets, in number by the share in the policy, use the new version.
HASH_BUCKETS = 10_000

# Added to a latency and to its estimate before they are compared. It stands for what
# does not depend on the size of the request, and keeps small estimates from dominating.
FIXED_LATENCY_MS = 20.0

# A host and the wall time in ms at which its process started.
Origin = tuple[HostId, int]


@attrs.define
class _Counts:
    """Counts of finished requests.

    Parameters
    ----------
    log_ms_sum : float
        Sum of ln(latency in ms) of the successful requests, for model requests in
        multiples of the expected latency; see `Rollouts.record`.
    """

    requests: int = 0
    failures: int = 0
    log_ms_sum: float = 0.0


@attrs.define(eq=False)
class Rollout:
    """One rollout order and its progress.

    Parameters
    ----------
    started : Instant
        Time at which this host read the order.
    own_counts : dict
        Counts of this host, by whether the version is the new one, and by route.
    peer_counts : dict
        Counts as last reported by other hosts, by origin, whether the version is the
        new one, and route.
    state : RolloutState
        State by this host's decision, or as learned from the store or a peer.
    recorded : RolloutState or None
        State that the store is known to hold; None if none was read or recorded.
    reason : str
        Reason for the decision; empty while the rollout is undecided.
    """

    order: RolloutOrder
    started: Instant
    own_counts: dict[tuple[bool, RouteName], _Counts] = attrs.Factory(dict)
    peer_counts: dict[tuple[Origin, bool, RouteName], RouteCounts] = attrs.Factory(dict)
    state: RolloutState = RolloutState.RUNNING
    recorded: RolloutState | None = None
    reason: str = ""

    def is_contradicted(self, status: RolloutStatus) -> bool:
        """Whether a recorded state differs from the final one of this rollout."""
        return self.state is not RolloutState.RUNNING and (
            status.to_version != self.order.to_version or status.state is not self.state
        )

    def sum_counts(self, is_new: bool) -> list[RouteCounts]:
        """Return the counts of all hosts for the new or the old version."""
        totals: dict[RouteName, _Counts] = {}
        for (new, route), counts in self.own_counts.items():
            if new == is_new:
                _add(totals.setdefault(route, _Counts()), counts)
        for (_, new, route), peer_counts in self.peer_counts.items():
            if new == is_new:
                _add(totals.setdefault(route, _Counts()), peer_counts)
        return [
            RouteCounts(route, c.requests, c.failures, c.log_ms_sum)
            for route, c in totals.items()
        ]


@attrs.frozen
class VersionRule:
    """Versions that a request may use.

    Parameters
    ----------
    only : VersionName or None
        The one version to use, if there is one.
    excluded : frozenset of VersionName
        Versions that must not be used.
    """

    only: VersionName | None
    excluded: frozenset[VersionName]


class Rollouts:
    """All rollouts of the services.

    Parameters
    ----------
    policy : CanaryPolicy
        Share of the requests for a new version, and thresholds of the decision.
    """

    def __init__(self, policy: CanaryPolicy) -> None:
        self._policy = policy
        self._rollouts: dict[ServiceName, Rollout] = {}
        self._withdrawn_versions: dict[ServiceName, set[VersionName]] = {}
        self._completed_versions: dict[ServiceName, VersionName] = {}
        # State that the store holds for each service.
        self._statuses: dict[ServiceName, RolloutStatus] = {}

    def apply_order(self, order: RolloutOrder, now: Instant) -> None:
        """Apply an order that was read from the store, unless a later one is known.

        The first order of a new era of the store is the known one, if it says the same:
        it was in the older copy, or is written again.
        """
        known = self._rollouts.get(order.service)
        if known is not None:
            if known.order.offset >= order.offset:
                return
            era, known_era = (
                split_number(offset)[0] for offset in (order.offset, known.order.offset)
            )
            if era > known_era and known.order == attrs.evolve(
                order, offset=known.order.offset
            ):
                known.order = order
                return
        rollout = self._rollouts[order.service] = Rollout(order, now)
        self._withdrawn_versions.get(order.service, set()).discard(order.to_version)
        logger.info(
            "rollout ordered",
            extra={
                "service": order.service,
                "to_version": order.to_version,
                "duration_s": order.duration_s,
                "order_offset": order.offset,
            },
        )
        status = self._statuses.get(order.service)
        if known is None and status is not None:
            # This host has read the state before the order.
            self._apply_to_rollout(rollout, status)

    def forget_recorded(self) -> None:
        """Forget which states the store holds, as it came back from an older copy.

        The states stay in force, and are recorded again if the copy lacks them.
        """
        for rollout in self._rollouts.values():
            rollout.recorded = None

    def apply_status(self, status: RolloutStatus, is_restored: bool = False) -> None:
        """Apply a state that was recorded in the store.

        Parameters
        ----------
        is_restored : bool
            Whether it is from a store that came back from an older copy. It does not
            replace a final state that is known then: that one is recorded again.
        """
        known = self._rollouts.get(status.service)
        if is_restored and known is not None and known.is_contradicted(status):
            return
        self._statuses[status.service] = status
        rollout = self._rollouts.get(status.service)
        if rollout is not None:
            self._apply_to_rollout(rollout, status)
        match status.state:
            case RolloutState.DONE:
                self._completed_versions[status.service] = status.to_version
            case RolloutState.WITHDRAWN:
                withdrawn = self._withdrawn_versions.setdefault(status.service, set())
                withdrawn.add(status.to_version)

    def _apply_to_rollout(self, rollout: Rollout, status: RolloutStatus) -> None:
        """Apply a recorded state to the rollout that it belongs to."""
        if rollout.order.to_version != status.to_version:
            return
        if rollout.recorded is not status.state:
            logger.info(
                "rollout state recorded",
                extra={"service": status.service, "state": status.state.value},
            )
        rollout.recorded = status.state
        if status.state is not RolloutState.RUNNING:
            self._finish(rollout, status.state, "recorded in the store")

    def find_rule(
        self, service: ServiceName, request_id: str, known: set[VersionName]
    ) -> VersionRule:
        """Return the versions that a request may use.

        Parameters
        ----------
        known : set of VersionName
            Versions of the registered upstreams.
        """
        excluded = frozenset(self._withdrawn_versions.get(service, ()))
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state is not RolloutState.RUNNING:
            done = self._completed_versions.get(service)
            if done is not None and done in known:
                return VersionRule(done, excluded)
            return VersionRule(None, excluded)
        target = rollout.order.to_version
        # If only the new version is registered, all requests use it.
        if known == {target}:
            return VersionRule(target, frozenset())
        digest = xxhash.xxh64_intdigest(f"{service}/{request_id}".encode())
        share = self._policy.share_percent * HASH_BUCKETS / 100
        if target in known and digest % HASH_BUCKETS < share:
            return VersionRule(target, excluded)
        return VersionRule(None, excluded | {target})

    def record(
        self,
        service: ServiceName,
        version: VersionName,
        route: RouteName,
        failed: bool,
        latency_ms: float,
        expected_ms: float | None = None,
    ) -> None:
        """Count a finished request while a rollout is undecided.

        Parameters
        ----------
        latency_ms : float
            Time until the first event of a stream, or until the end of any other
            response; not used if the request failed.
        expected_ms : float or None
            Estimate of the latency by the size of the request and the load of the
            upstream. The versions are then compared by multiples of it, as the new one
            has less load and other requests. None for requests without an estimate.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state is not RolloutState.RUNNING:
            return
        key = (version == rollout.order.to_version, route)
        counts = rollout.own_counts.setdefault(key, _Counts())
        counts.requests += 1
        if failed:
            counts.failures += 1
        else:
            unit_ms = 1.0
            if expected_ms is not None:
                latency_ms += FIXED_LATENCY_MS
                unit_ms = expected_ms + FIXED_LATENCY_MS
            counts.log_ms_sum += math.log(max(latency_ms, 1.0) / unit_ms)

    def list_own(self) -> list[tuple[str, int, bool, str, int, int, float]]:
        """Return this host's counts of undecided rollouts, for its peers.

        Each item has the service, the offset of the order, whether the version is the
        new one, the route, the finished and the failed requests, and the sum of
        ln(latency) of the successful ones; see `record`.
        """
        return [
            (
                service,
                rollout.order.offset,
                is_new,
                route,
                counts.requests,
                counts.failures,
                round(counts.log_ms_sum, 2),
            )
            for service, rollout in self._rollouts.items()
            if rollout.state is RolloutState.RUNNING
            for (is_new, route), counts in rollout.own_counts.items()
        ]

    def update_from_peer(
        self, origin: Origin, item: tuple[str, int, bool, str, int, int, float]
    ) -> None:
        """Record counts that another host reported.

        Parameters
        ----------
        item : tuple
            As from `list_own`. Counts of other orders than the newest are ignored.
        """
        service, offset, is_new, route, requests, failures, log_ms_sum = item
        rollout = self._rollouts.get(ServiceName(service))
        if rollout is None or rollout.order.offset != offset:
            return
        if not 0 <= failures <= requests:
            logger.warning("impossible counts of a peer", extra={"host": origin[0]})
            return
        name = RouteName(route)
        counts = RouteCounts(name, requests, failures, log_ms_sum)
        rollout.peer_counts[origin, is_new, name] = counts

    def list_withdrawn(self) -> list[tuple[str, int]]:
        """Return service and offset of the withdrawn rollout orders, for peers."""
        return [
            (service, rollout.order.offset)
            for service, rollout in self._rollouts.items()
            if rollout.state is RolloutState.WITHDRAWN
        ]

    def apply_withdrawals(self, withdrawn: list[tuple[str, int]]) -> None:
        """Withdraw rollouts that a peer has withdrawn, if they are undecided here."""
        for service, offset in withdrawn:
            rollout = self._rollouts.get(ServiceName(service))
            if rollout is None or rollout.order.offset != offset:
                continue
            if rollout.state is RolloutState.RUNNING:
                self._finish(rollout, RolloutState.WITHDRAWN, "withdrawn by a peer")

    def decide(self, now: Instant) -> None:
        """Withdraw the versions whose merged counts show a fault.

        Only the holder of the duties has the counts of all hosts, so only it decides
        when the time is over.
        """
        for rollout in self._rollouts.values():
            if rollout.state is not RolloutState.RUNNING:
                continue
            decision = self.evaluate(rollout, now)
            if isinstance(decision, Withdraw) and not decision.is_final:
                self._finish(rollout, RolloutState.WITHDRAWN, decision.reason)

    def evaluate(self, rollout: Rollout, now: Instant) -> CanaryDecision:
        """Return the canary decision on a rollout from the counts of all hosts."""
        return decide_canary(
            rollout.sum_counts(False),
            rollout.sum_counts(True),
            rollout.started,
            rollout.order.duration_s,
            self._policy,
            now,
        )

    def is_running(self, service: ServiceName) -> bool:
        """Return whether a rollout of a service is undecided."""
        rollout = self._rollouts.get(service)
        return rollout is not None and rollout.state is RolloutState.RUNNING

    def may_be_stopped(self, service: ServiceName, version: VersionName) -> bool:
        """Return whether the platform may stop the upstreams of a version by now.

        It stops those of all other versions when a completion is recorded, which this
        host may learn later.
        """
        rollout = self._rollouts.get(service)
        if rollout is not None and rollout.state is RolloutState.RUNNING:
            return version != rollout.order.to_version
        return self.is_stopped(service, version)

    def is_stopped(self, service: ServiceName, version: VersionName) -> bool:
        """Return whether a completed rollout stops the upstreams of a version."""
        done = self._completed_versions.get(service)
        return done is not None and version != done and not self.is_running(service)

    def find_stopping_versions(
        self, service: ServiceName, known: set[VersionName]
    ) -> frozenset[VersionName]:
        """Return the known versions that the platform stops after the decisions so far.

        After a completion these are all others, after a withdrawal the new one.
        """
        if self.is_running(service):
            return frozenset()
        done = self._completed_versions.get(service)
        if done is not None and done in known:
            return frozenset(known - {done})
        stopping = frozenset(self._withdrawn_versions.get(service, set()) & known)
        return stopping if stopping < known else frozenset()

    def list_rollouts(self) -> list[Rollout]:
        """Return the newest rollout of each service."""
        return list(self._rollouts.values())

    def _finish(self, rollout: Rollout, state: RolloutState, reason: str) -> None:
        if rollout.state is state:
            return
        rollout.state = state
        rollout.reason = reason
        service, version = rollout.order.service, rollout.order.to_version
        if state is RolloutState.WITHDRAWN:
            self._withdrawn_versions.setdefault(service, set()).add(version)
        else:
            self._completed_versions[service] = version
            self._withdrawn_versions.get(service, set()).discard(version)
        logger.info(
            "rollout decided",
            extra={
                "service": service,
                "to_version": version,
                "state": state.value,
                "reason": reason,
            },
        )


def _add(total: _Counts, counts: _Counts | RouteCounts) -> None:
    total.requests += counts.requests
    total.failures += counts.failures
    total.log_ms_sum += counts.log_ms_sum
