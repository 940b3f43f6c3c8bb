"""Verdict on a rollout and the share of requests of its new version."""

import attrs
import xxhash

from waxwingbarrow.core import Instant, RequestId, VersionName
from waxwingbarrow.document import Rollout, ServiceDocument
from waxwingbarrow.rollout._assessment import Assessment, assess
from waxwingbarrow.rollout._evidence import Evidence
from waxwingbarrow.rollout._schedule import (
    HOLD_PERCENT,
    find_window,
    make_plan,
    plan_share,
)
from waxwingbarrow.rollout._withdrawals import (
    DEADLINE_REASON,
    Withdrawal,
    Withdrawals,
)

HASH_STEPS = 10_000  # the share is applied in steps of 0.01 percent


@attrs.frozen
class Running:
    """The rollout is undecided; `reason` says what it waits for."""

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
        Fault and route, or that the deadline has passed.
    at_ms : int
        Wall time of the decision, in milliseconds since the Unix epoch.
    """

    reason: str
    at_ms: int


Verdict = Running | Done | Withdrawn


@attrs.frozen
class Share:
    """Part of the requests that the new version gets.

    Parameters
    ----------
    percent : float
        0 to 100.
    reason : str
        Why it is not higher.
    """

    percent: float
    reason: str


@attrs.frozen
class Decision:
    """Share and verdict from one assessment of the evidence."""

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
    """Return the share of the new version and the verdict that it follows from.

    Parameters
    ----------
    verdict : Verdict or None
        Verdict recorded in the log, if any.
    withdrawn : Withdrawals
        Withdrawals that this host knows of, its own included.
    """
    rollout = document.rollout
    if rollout is None:
        return Decision(Share(0.0, "no rollout"), Done())
    if isinstance(verdict, Withdrawn):
        return Decision(Share(0.0, verdict.reason), verdict)
    known = withdrawn.find(document.service, revision, rollout.to_version)
    # A host that was cut off when the rollout was done sees a missed deadline only.
    if known is not None and not (known.by_deadline and isinstance(verdict, Done)):
        found = Withdrawn(known.reason, known.at_ms)
        return Decision(Share(0.0, known.reason), found)
    if isinstance(verdict, Done):
        return Decision(Share(100.0, "done"), verdict)
    if now.wall_ms < rollout.start_ms:
        reason = "waits for its start"
        return Decision(Share(0.0, reason), Running(reason))
    assessment = assess(document, rollout, revision, evidence, now)
    decided = _judge(rollout, assessment, now)
    match decided:
        case Done():
            share = Share(100.0, "done")
        case Withdrawn(reason=reason):
            share = Share(0.0, reason)
        case Running(reason=reason):
            share = Share(_limit_share(rollout, assessment, now), reason)
    return Decision(share, decided)


def decide_verdict(
    document: ServiceDocument, revision: int, evidence: Evidence, now: Instant
) -> Verdict:
    """Return the verdict that one host's merged evidence supports.

    A host calls it until the log or a withdrawal decides the rollout, and then follows
    that decision.
    """
    nothing = Withdrawals()
    return decide_rollout(document, revision, evidence, None, nothing, now).verdict


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
    """Return the entry with which a host spreads its verdict."""
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

    The same request gets the same version on every host with the same share, and a
    rising share moves requests in one direction only.
    """
    rollout = document.rollout
    if rollout is None:
        return document.stable_version
    # The service is hashed too; otherwise one caller's ids would meet the new versions
    # of all services together.
    digest = xxhash.xxh64_intdigest(f"{document.service}/{request_id}".encode())
    if digest % HASH_STEPS < share.percent * HASH_STEPS / 100:
        return rollout.to_version
    return rollout.from_version


def _judge(rollout: Rollout, assessment: Assessment, now: Instant) -> Verdict:
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
            counted = f"{item.requests} of {rollout.min_requests}"
            return Running(f"{item.route}: {counted} requests")
    if assessment.proven_window is None:
        return Running("rising")
    plan = make_plan(assessment.proven_window)
    # Some faults show under load only, so the version must have carried most of the
    # load before it gets all of it.
    loaded = assessment.recent_percent >= HOLD_PERCENT / 2
    if loaded and find_window(rollout, now.wall_ms) >= plan.done_from:
        return Done()
    return Running("rising")


def _limit_share(rollout: Rollout, assessment: Assessment, now: Instant) -> float:
    suspected = any(item.suspected for item in assessment.routes)
    if assessment.proven_window is None or suspected:
        return rollout.first_share_percent
    plan = make_plan(assessment.proven_window)
    return plan_share(rollout, plan, find_window(rollout, now.wall_ms))
