"""Rollouts on this host: evidence, traffic shares, withdrawals and verdicts."""

import attrs

from waxwingbarrow.core import (
    HostId,
    Incarnation,
    Instant,
    RequestId,
    RouteName,
    ServiceName,
    VersionName,
)
from waxwingbarrow.daemon._control import Configuration
from waxwingbarrow.daemon._logs import get_logger
from waxwingbarrow.document import Rollout
from waxwingbarrow.rollout import (
    Decision,
    Done,
    Evidence,
    EvidenceKey,
    EvidenceRecorder,
    Move,
    OriginEvidence,
    ResponseQuality,
    Running,
    Share,
    Verdict,
    Withdrawals,
    Withdrawn,
    decide_rollout,
    make_move,
    make_withdrawal,
    pick_version,
)
from waxwingbarrow.state import AgreedVerdict, VerdictBody, VerdictKind

DECISION_CACHE_LIFETIME_MS = 250

logger = get_logger("rollouts")


@attrs.frozen
class _CachedDecision:
    revision: int
    agreed: AgreedVerdict | None
    decided_mono_ms: int
    decision: Decision


class Rollouts:
    """State of all rollouts as this host sees them.

    Parameters
    ----------
    host_id : HostId
        This host.
    incarnation : Incarnation
        Incarnation of this process.
    """

    def __init__(self, host_id: HostId, incarnation: Incarnation) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        # By service, each with the revision whose evidence it records.
        self._recorders: dict[ServiceName, tuple[int, EvidenceRecorder]] = {}
        self._decisions: dict[ServiceName, _CachedDecision] = {}
        # Wall time at which this host first saw a withdrawal of a revision in the log.
        self._withdrawal_learned_ms: dict[tuple[ServiceName, int], int] = {}
        self._has_unmerged_evidence = False
        self.evidence = Evidence()
        self.withdrawals = Withdrawals()

    def learn_evidence(self, evidence: OriginEvidence) -> None:
        """Merge another host's evidence."""
        self.evidence = self.evidence.add(evidence)

    def learn_withdrawals(self, withdrawals: Withdrawals) -> bool:
        """Merge another host's withdrawals; return whether one was new."""
        merged = self.withdrawals.merge(withdrawals)
        is_new = merged != self.withdrawals
        self.withdrawals = merged
        if is_new:
            self._decisions.clear()
        return is_new

    def drop_outdated_revisions(self, revisions: dict[ServiceName, int]) -> None:
        """Drop evidence and withdrawals of replaced revisions."""
        self.evidence = self.evidence.keep_revisions(revisions)
        # Withdrawals of a newer revision are kept: it may already be in force on other
        # hosts.
        self.withdrawals = Withdrawals(
            tuple(
                item
                for item in self.withdrawals.items
                if item.revision >= revisions.get(item.service, 0)
            )
        )

    def decide(
        self, configuration: Configuration, agreed: AgreedVerdict | None, now: Instant
    ) -> Decision:
        """Return the current share and verdict of a rollout.

        The decision is cached for a short time, because assessing all evidence takes
        milliseconds and every request needs the result.
        """
        service, revision = configuration.document.service, configuration.revision
        known = self._decisions.get(service)
        if (
            known is not None
            and known.revision == revision
            and known.agreed == agreed
            and now.mono_ms - known.decided_mono_ms < DECISION_CACHE_LIFETIME_MS
        ):
            return known.decision
        self._merge_own_evidence()
        decision = decide_rollout(
            configuration.document,
            revision,
            self.evidence,
            self._to_verdict(configuration, agreed, now),
            self.withdrawals,
            now,
        )
        self._decisions[service] = _CachedDecision(
            revision, agreed, now.mono_ms, decision
        )
        return decision

    def select_version(
        self,
        configuration: Configuration,
        agreed: AgreedVerdict | None,
        request_id: RequestId,
        now: Instant,
    ) -> VersionName:
        """Return the version that serves a request."""
        document = configuration.document
        if document.rollout is None:
            return document.stable_version
        share = self.decide(configuration, agreed, now).share
        return pick_version(document, share, request_id)

    def record(
        self,
        configuration: Configuration,
        version: VersionName,
        route: RouteName,
        quality: ResponseQuality,
        latency_ms: float,
        now: Instant,
    ) -> None:
        """Count a request that has ended as evidence, if a rollout has started."""
        rollout = configuration.document.rollout
        if rollout is None or now.wall_ms < rollout.start_ms:
            return
        recorder = self._get_recorder(configuration, rollout)
        recorder.record(version, route, quality, latency_ms, now)
        self._has_unmerged_evidence = True

    def _merge_own_evidence(self) -> None:
        if self._has_unmerged_evidence:
            self._has_unmerged_evidence = False
            for evidence in self.list_own_evidence():
                self.evidence = self.evidence.add(evidence)

    def list_own_evidence(self) -> tuple[OriginEvidence, ...]:
        """Return this host's counters for gossip."""
        return tuple(recorder.snapshot() for _, recorder in self._recorders.values())

    def evaluate(
        self, configuration: Configuration, agreed: AgreedVerdict | None, now: Instant
    ) -> VerdictBody | None:
        """Evaluate a rollout; a withdrawal takes effect on this host at once.

        Returns
        -------
        VerdictBody or None
            The verdict to record in the log, if there is one that is not recorded yet.
        """
        document, revision = configuration.document, configuration.revision
        if document.rollout is None or agreed is not None:
            return None
        version = document.rollout.to_version
        match self.decide(configuration, agreed, now).verdict:
            case Withdrawn() as verdict:
                withdrawal = make_withdrawal(document, revision, verdict)
                assert withdrawal is not None
                if self.learn_withdrawals(Withdrawals((withdrawal,))):
                    logger.warning(
                        "Withdrew %s of %s: %s.",
                        version,
                        document.service,
                        verdict.reason,
                    )
                return VerdictBody(
                    document.service,
                    revision,
                    version,
                    VerdictKind.WITHDRAWN,
                    verdict.reason,
                    by_deadline=withdrawal.by_deadline,
                )
            case Done():
                return VerdictBody(
                    document.service, revision, version, VerdictKind.DONE, "proven"
                )
        return None

    def describe(
        self, configuration: Configuration, agreed: AgreedVerdict | None, now: Instant
    ) -> Move | None:
        """Return the rollout as operators see it.

        A completion is shown as done only once it is recorded in the log. Until then,
        a deadline or another host's evidence may still lead to a withdrawal.
        """
        decision = self.decide(configuration, agreed, now)
        share, verdict = decision.share, decision.verdict
        if agreed is None and isinstance(verdict, Done):
            share = Share(share.percent, "proven, waits to be recorded")
            verdict = Running(share.reason)
        return make_move(configuration.document, configuration.revision, share, verdict)

    def _get_recorder(
        self, configuration: Configuration, rollout: Rollout
    ) -> EvidenceRecorder:
        service, revision = configuration.document.service, configuration.revision
        known = self._recorders.get(service)
        if known is not None and known[0] == revision:
            return known[1]
        key = EvidenceKey(service, revision, self._host_id, self._incarnation)
        recorder = EvidenceRecorder(key, rollout)
        self._recorders[service] = (revision, recorder)
        return recorder

    def _to_verdict(
        self, configuration: Configuration, agreed: AgreedVerdict | None, now: Instant
    ) -> Verdict | None:
        if agreed is None:
            return None
        if agreed.verdict is VerdictKind.DONE:
            return Done()
        # A verdict in the log carries no time. The time of the withdrawal that the
        # deciding host gossiped is used, or else the time at which this host first saw
        # the verdict.
        document, revision = configuration.document, configuration.revision
        known = None
        if document.rollout is not None:
            known = self.withdrawals.find(
                document.service, revision, document.rollout.to_version
            )
        key = (document.service, revision)
        learned_ms = self._withdrawal_learned_ms.setdefault(key, now.wall_ms)
        return Withdrawn(agreed.reason, known.at_ms if known else learned_ms)
