"""Verdict on a rollout and traffic share of the new version."""

import attrs
import xxhash

from waxwingbarrow.core import Instant, RequestId, VersionName
from waxwingbarrow.document import Rollout, ServiceDocument
from waxwingbarrow.rollout._assessment import Assessment, assess_rollout
from waxwingbarrow.rollout._evidence import Evidence
from waxwingbarrow.rollout._schedule import (
    HOLD_PERCENT,
    compute_planned_percent,
    find_window,
    make_plan,
)
from waxwingbarrow.rollout._withdrawals import (
    DEADLINE_REASON,
    Withdrawal,
    Withdrawals,
)

HASH_STEPS = 10_000  # resolution of the share: 0.01 percent


@attrs.frozen
class Running:
    """The rollout is undecided; `reason` says what is still missing."""

    reason: str


@attrs.frozen
class Done:
    """All requests go to the new version, or there is no rollout."""


@attrs.frozen
class Withdrawn:
    """No requests go to the new version.

    Parameters
    ----------
    reason : str
        Fault and route, or `DEADLINE_REASON`.
    at_ms : int
        Wall time of the decision, in milliseconds since the Unix epoch.
    """

    reason: str
    at_ms: int


Verdict = Running | Done | Withdrawn


@attrs.frozen
class Share:
    """Percentage of requests that the new version gets.

    Parameters
    ----------
    percent : float
        Between 0 and 100.
    reason : str
        Why the share is not higher.
    """

    percent: float
    reason: str


@attrs.frozen
class Decision:
    """Share and verdict that follow from the same assessment of the evidence."""

    share: Share
    verdict: Verdict


def decide_rollout(
    document: ServiceDocument,
    revision: int,
    evidence: Evidence,
    verdict: Verdict | None,
    withdrawn: Withdrawals,
    now: Instant,
) -> Decision:
    """Return the verdict on a rollout and the resulting share of the new version.

    Parameters
    ----------
    verdict : Verdict or None
        Verdict recorded in the log; None if there is none.
    withdrawn : Withdrawals
        Withdrawals known to this host, including its own.
    """
    rollout = document.rollout
    if rollout is None:
        return Decision(Share(0.0, "no rollout"), Done())
    if isinstance(verdict, Withdrawn):
        return Decision(Share(0.0, verdict.reason), verdict)
    withdrawal = withdrawn.find(document.service, revision, rollout.to_version)
    # A host that was partitioned when the rollout completed withdraws the version at
    # the deadline; the recorded completion takes precedence over that withdrawal.
    if withdrawal is not None and not (
        withdrawal.by_deadline and isinstance(verdict, Done)
    ):
        withdrawn_verdict = Withdrawn(withdrawal.reason, withdrawal.at_ms)
        return Decision(Share(0.0, withdrawal.reason), withdrawn_verdict)
    if isinstance(verdict, Done):
        return Decision(Share(100.0, "done"), verdict)
    if now.wall_ms < rollout.start_ms:
        reason = "waits for its start"
        return Decision(Share(0.0, reason), Running(reason))
    assessment = assess_rollout(document, rollout, revision, evidence, now)
    decided = _decide_by_evidence(rollout, assessment, now)
    match decided:
        case Done():
            share = Share(100.0, "done")
        case Withdrawn(reason=reason):
            share = Share(0.0, reason)
        case Running(reason=reason):
            share = Share(_compute_running_percent(rollout, assessment, now), reason)
    return Decision(share, decided)


def decide_verdict(
    document: ServiceDocument, revision: int, evidence: Evidence, now: Instant
) -> Verdict:
    """Return the verdict from one host's merged evidence alone.

    It ignores the log and known withdrawals, which take precedence as soon as they
    decide the rollout.
    """
    no_withdrawals = Withdrawals()
    return decide_rollout(
        document, revision, evidence, None, no_withdrawals, now
    ).verdict


def compute_share(
    document: ServiceDocument,
    revision: int,
    evidence: Evidence,
    verdict: Verdict | None,
    withdrawn: Withdrawals,
    now: Instant,
) -> Share:
    """Return the share of the new version; see `decide_rollout`."""
    return decide_rollout(document, revision, evidence, verdict, withdrawn, now).share


def make_withdrawal(
    document: ServiceDocument, revision: int, verdict: Withdrawn
) -> Withdrawal | None:
    """Return the withdrawal that a host gossips; None if there is no rollout."""
    if document.rollout is None:
        return None
    version = document.rollout.to_version
    return Withdrawal(
        document.service, revision, version, verdict.reason, verdict.at_ms
    )


def pick_version(
    document: ServiceDocument, share: Share, request_id: RequestId
) -> VersionName:
    """Return the version that serves a request.

    All hosts with the same share choose the same version for a request id. A rising
    share moves requests only from the old version to the new one.
    """
    rollout = document.rollout
    if rollout is None:
        return document.stable_version
    # The hash includes the service; otherwise the same request ids would get the new
    # version in every service that is in a rollout.
    digest = xxhash.xxh64_intdigest(f"{document.service}/{request_id}".encode())
    if digest % HASH_STEPS < share.percent * HASH_STEPS / 100:
        return rollout.to_version
    return rollout.from_version


def _decide_by_evidence(
    rollout: Rollout, assessment: Assessment, now: Instant
) -> Verdict:
    for item in assessment.routes:
        if item.fault:
            return Withdrawn(f"{item.fault} on {item.route}", now.wall_ms)
    if now.wall_ms >= rollout.finish_by_ms:
        return Withdrawn(DEADLINE_REASON, now.wall_ms)
    for item in assessment.routes:
        if item.suspected:
            return Running(f"suspected fault on {item.route}")
    for item in assessment.routes:
        if item.requests < rollout.min_requests:
            progress = f"{item.requests} of {rollout.min_requests}"
            return Running(f"{item.route}: {progress} requests")
    if assessment.proven_window is None:
        return Running("rising")
    plan = make_plan(assessment.proven_window)
    # Some faults show under load only, so the version must have carried at least half
    # of the hold share before it gets all requests.
    has_carried_load = assessment.recent_percent >= HOLD_PERCENT / 2
    if has_carried_load and find_window(rollout, now.wall_ms) >= plan.done_from:
        return Done()
    return Running("rising")


def _compute_running_percent(
    rollout: Rollout, assessment: Assessment, now: Instant
) -> float:
    suspected = any(item.suspected for item in assessment.routes)
    if assessment.proven_window is None or suspected:
        return rollout.first_share_percent
    plan = make_plan(assessment.proven_window)
    return compute_planned_percent(rollout, plan, find_window(rollout, now.wall_ms))
