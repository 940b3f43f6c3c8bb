"""Responses to requests whose claim was read back, abandoned or queried."""

from collections.abc import Callable

import attrs

from waxwingbarrow.claims._keys import (
    ClaimIdentity,
    ClaimKey,
    ClaimPolicy,
    make_key_too_old,
)
from waxwingbarrow.claims._ledger import ClaimState, ClaimView
from waxwingbarrow.claims._records import Answer
from waxwingbarrow.core import (
    HostId,
    Incarnation,
    Instant,
    KeyReused,
    KeyTooOld,
    LogUnavailable,
    Outcome,
    OutcomeUnknown,
    Refusal,
    RequestInProgress,
)
from waxwingbarrow.state import Writer

RETRY_AFTER_S = 1.0

# Returns whether a process run is known to have ended. False positives are safe: the
# caller is told that the outcome is unknown, and nothing is sent.
ProcessEndedCheck = Callable[[HostId, Incarnation], bool]


@attrs.frozen
class OwnClaim:
    """A claim that this process appends to the log.

    Parameters
    ----------
    identity : ClaimIdentity
        Account, service and key that are claimed.
    key : ClaimKey
        The caller's key.
    claim_id : str
        Unique id of the claim.
    body_digest : str
        Digest of the request; see `compute_body_digest`.
    writer : Writer
        This process.
    first_attempt : bool
        Whether the caller has declared this to be its first attempt.
    """

    identity: ClaimIdentity
    key: ClaimKey
    claim_id: str
    body_digest: str
    writer: Writer
    first_attempt: bool = False


@attrs.frozen
class MaySend:
    """The claim is in force; the request may be sent once."""


@attrs.frozen
class ReplayAnswer:
    """The request has completed; the recorded answer is the response."""

    answer: Answer


@attrs.frozen
class InProgress:
    """Another claim is in force and its writer is still running."""

    refusal: RequestInProgress


@attrs.frozen
class OutcomeLost:
    """The outcome of another claim is not expected to become known.

    Its writer ended without a recorded outcome, or lost the response.
    """

    refusal: OutcomeUnknown


@attrs.frozen
class Released:
    """The last claim was released; the request may be sent again."""

    refusal: OutcomeUnknown


@attrs.frozen
class Expired:
    """The key is too old; earlier claims may have expired from the log."""

    refusal: KeyTooOld


@attrs.frozen
class WaitForTail:
    """The ledger is behind the tail of the log; query again once it has caught up.

    Parameters
    ----------
    tail_offset : int or None
        Offset that the ledger has to reach; None if the tail was not read yet.
    """

    tail_offset: int | None


@attrs.frozen
class KeyUnknown:
    """The log has no claim for the key up to a tail that was read after the query."""


ClaimDecision = (
    MaySend | ReplayAnswer | InProgress | OutcomeLost | Released | KeyReused | Expired
)
QueryDecision = (
    ReplayAnswer
    | InProgress
    | OutcomeLost
    | Released
    | Expired
    | WaitForTail
    | KeyUnknown
)


def decide_claim(
    view_at_own_offset: ClaimView | None,
    own: OwnClaim,
    has_ended: ProcessEndedCheck,
    policy: ClaimPolicy,
    now: Instant,
) -> ClaimDecision:
    """Decide how to proceed after a claim of this process was read back.

    Parameters
    ----------
    view_at_own_offset : ClaimView or None
        View of the identity in the ledger's event for this claim, or a later view.
    own : OwnClaim
        Claim of this process.
    has_ended : callable
        Returns whether a process run is known to have ended.
    policy : ClaimPolicy
        Limits to apply.
    now : Instant
        Time taken *after* the entry was read. With an earlier time, a key could be
        accepted although the ledger has already removed an expired claim for it.

    Returns
    -------
    ClaimDecision
        Only `MaySend` permits sending. If the result is `Expired` and the claim is in
        force, the caller of this function must release it.
    """
    if view_at_own_offset is None:
        return Expired(make_key_too_old(policy, own.first_attempt))
    view = view_at_own_offset
    if view.claim_id != own.claim_id or not view.is_held_by(own.writer):
        return decide_existing(view, own.body_digest, has_ended)
    if view.state is not ClaimState.CLAIMED:
        return decide_existing(view, own.body_digest, has_ended)
    if own.key.is_expired(now, policy):
        return Expired(make_key_too_old(policy, own.first_attempt))
    return MaySend()


def decide_existing(
    view: ClaimView, body_digest: str, has_ended: ProcessEndedCheck
) -> ReplayAnswer | InProgress | OutcomeLost | Released | KeyReused:
    """Decide the response to a request whose key another claim holds.

    Parameters
    ----------
    view : ClaimView
        View of the other claim.
    body_digest : str
        Digest of this request; see `compute_body_digest`.
    has_ended : callable
        Returns whether a process run is known to have ended.

    Returns
    -------
    ReplayAnswer, InProgress, OutcomeLost, Released or KeyReused
        Never a refusal with the outcome "not run", because the request of the other
        claim may run.
    """
    if view.body_digest != body_digest:
        # The caller must not conclude that no request has run under its key.
        return KeyReused(earlier_attempts_unknown=True)
    return _decide_from_view(view, has_ended)


def _decide_from_view(
    view: ClaimView, has_ended: ProcessEndedCheck
) -> ReplayAnswer | InProgress | OutcomeLost | Released:
    if view.answer is not None:
        if view.answer.outcome is Outcome.COMPLETED:
            return ReplayAnswer(view.answer)
        reason = f"Host {view.writer} lost the response after sending the request."
        return OutcomeLost(OutcomeUnknown(reason=reason))
    if view.state is ClaimState.RELEASED:
        reason = "The request was withdrawn before it was sent; it may be sent again."
        return Released(OutcomeUnknown(reason=reason, retry_after_s=RETRY_AFTER_S))
    if has_ended(view.writer, view.incarnation):
        reason = f"Host {view.writer} stopped while it held the request."
        return OutcomeLost(OutcomeUnknown(reason=reason))
    reason = f"Host {view.writer} holds the request."
    return InProgress(RequestInProgress(reason=reason, retry_after_s=RETRY_AFTER_S))


def decide_unsettled(first_attempt: bool) -> LogUnavailable | OutcomeUnknown:
    """Return the refusal if a claim was not read back by the deadline.

    Parameters
    ----------
    first_attempt : bool
        Whether the caller has declared this to be its first attempt. Then no earlier
        attempt exists and this one is never sent, so that "not run" is correct.
    """
    if first_attempt:
        return LogUnavailable(reason="The log did not confirm the claim in time.")
    return OutcomeUnknown(
        reason="The log did not confirm the claim in time; an earlier attempt may "
        "have run."
    )


def refuse_unclaimed(refusal: Refusal, first_attempt: bool) -> Refusal:
    """Return a refusal that states the outcome "not run" only for a first attempt.

    Parameters
    ----------
    refusal : Refusal
        Refusal of a non-repeatable request before its claim was read back, or after it
        was released.
    first_attempt : bool
        Whether the caller has declared this to be its first attempt.

    Notes
    -----
    A refusal after a release needs this too. The append of an earlier attempt may still
    be on its way to the log through another host. It then wins the released identity
    and its request runs after the later attempt was refused.
    """
    if first_attempt:
        return refusal
    return attrs.evolve(refusal, earlier_attempts_unknown=True)


def decide_query(
    view: ClaimView | None,
    key: ClaimKey,
    next_offset: int,
    tail_offset: int | None,
    has_ended: ProcessEndedCheck,
    policy: ClaimPolicy,
    now: Instant,
) -> QueryDecision:
    """Decide the response to a query for the outcome of a key.

    Parameters
    ----------
    view : ClaimView or None
        View of the identity in the ledger; None if it is unclaimed.
    key : ClaimKey
        Key of the query.
    next_offset : int
        Offset of the entry that the ledger applies next.
    tail_offset : int or None
        Offset after the last record of the log, read after the query arrived; None if
        it was not read yet.
    has_ended : callable
        Returns whether a process run is known to have ended.
    policy : ClaimPolicy
        Limits to apply.
    now : Instant
        Time taken after the tail was read.

    Returns
    -------
    QueryDecision
        A recorded answer is final and is returned at once. Any other state of the
        ledger may be outdated until it has reached the tail.
    """
    if view is not None and view.answer is not None:
        return _decide_from_view(view, has_ended)
    if tail_offset is None or next_offset < tail_offset:
        return WaitForTail(tail_offset)
    if view is not None:
        return _decide_from_view(view, has_ended)
    if key.is_expired(now, policy):
        return Expired(make_key_too_old(policy, first_attempt=False))
    return KeyUnknown()


def find_refusal(decision: ClaimDecision | QueryDecision) -> Refusal | None:
    """Return the refusal in a decision; None if the decision is not a refusal."""
    match decision:
        case KeyReused():
            return decision
        case InProgress() | OutcomeLost() | Released() | Expired():
            return decision.refusal
    return None
