"""Decisions on claims that were read back, abandoned or queried."""

from collections.abc import Callable

import attrs

from waxwingbarrow.claims._keys import (
    ClaimIdentity,
    ClaimKey,
    ClaimPolicy,
    make_too_old,
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

# Tells whether a process run is known to have ended. A wrong "yes" is harmless: the
# caller is told that the outcome is unknown, and nothing is sent.
GoneCheck = Callable[[HostId, Incarnation], bool]


@attrs.frozen
class OwnClaim:
    """A claim that this process has asked the log to record.

    Parameters
    ----------
    identity : ClaimIdentity
        What the claim is for.
    key : ClaimKey
        The caller's key.
    claim_id : str
        Identifier of the claim.
    body_digest : str
        Digest of the request.
    writer : Writer
        This process.
    first_attempt : bool
        Whether the caller has declared its first attempt.
    """

    identity: ClaimIdentity
    key: ClaimKey
    claim_id: str
    body_digest: str
    writer: Writer
    first_attempt: bool = False


@attrs.frozen
class MaySend:
    """The claim is won; the request may be sent once."""


@attrs.frozen
class ReplayAnswer:
    """The request has run; its recorded answer is the response."""

    answer: Answer


@attrs.frozen
class InProgress:
    """Another claim is in force and its writer is running."""

    refusal: RequestInProgress


@attrs.frozen
class WriterGone:
    """Another claim is in force and its result will not become known."""

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
    """The ledger has not reached the tail; ask again when it has."""

    tail_offset: int | None


@attrs.frozen
class KeyUnknown:
    """The log, read up to a tail newer than the query, has no claim on the key."""


ClaimDecision = (
    MaySend | ReplayAnswer | InProgress | WriterGone | Released | KeyReused | Expired
)
QueryDecision = (
    ReplayAnswer
    | InProgress
    | WriterGone
    | Released
    | Expired
    | WaitForTail
    | KeyUnknown
)


def decide_claim(
    view_at_own_offset: ClaimView | None,
    own: OwnClaim,
    is_gone: GoneCheck,
    policy: ClaimPolicy,
    now: Instant,
) -> ClaimDecision:
    """Decide what follows once the entry of one's own claim was applied.

    Parameters
    ----------
    view_at_own_offset : ClaimView or None
        View in the ledger's event for the own claim, or a later one.
    own : OwnClaim
        The own claim.
    is_gone : callable
        Whether a process run has ended.
    policy : ClaimPolicy
        Limits to apply.
    now : Instant
        Time taken *after* the entry was read. An earlier one could accept a key of
        which the ledger has already forgotten a claim.

    Returns
    -------
    ClaimDecision
        Only `MaySend` permits sending. If the result is `Expired` and the own claim
        is in force, the writer releases it.
    """
    if view_at_own_offset is None:
        return Expired(make_too_old(policy, own.first_attempt))
    view = view_at_own_offset
    if view.claim_id != own.claim_id or not view.is_held_by(own.writer):
        return decide_existing(view, own.body_digest, is_gone)
    if view.state is not ClaimState.CLAIMED:
        return decide_existing(view, own.body_digest, is_gone)
    if own.key.is_expired(now, policy):
        return Expired(make_too_old(policy, own.first_attempt))
    return MaySend()


def decide_existing(
    view: ClaimView, body_digest: str, is_gone: GoneCheck
) -> ReplayAnswer | InProgress | WriterGone | Released | KeyReused:
    """Decide the response to a request whose key another claim holds.

    Parameters
    ----------
    view : ClaimView
        The other claim.
    body_digest : str
        Digest of this request.
    is_gone : callable
        Whether a process run has ended.

    Returns
    -------
    ReplayAnswer, InProgress, WriterGone, Released or KeyReused
        Never a refusal with the outcome "not run", as the other claim may run.
    """
    if view.body_digest != body_digest:
        # A caller that goes by its key must not conclude that nothing ran under it.
        return KeyReused(earlier_attempts_unknown=True)
    return _describe(view, is_gone)


def _describe(
    view: ClaimView, is_gone: GoneCheck
) -> ReplayAnswer | InProgress | WriterGone | Released:
    if view.answer is not None:
        if view.answer.outcome is Outcome.COMPLETED:
            return ReplayAnswer(view.answer)
        reason = f"Host {view.writer} lost the response after sending the request."
        return WriterGone(OutcomeUnknown(reason=reason))
    if view.state is ClaimState.RELEASED:
        reason = "The request was withdrawn before it was sent; it may be sent again."
        return Released(OutcomeUnknown(reason=reason, retry_after_s=RETRY_AFTER_S))
    if is_gone(view.writer, view.incarnation):
        reason = f"Host {view.writer} stopped while it held the request."
        return WriterGone(OutcomeUnknown(reason=reason))
    reason = f"Host {view.writer} holds the request."
    return InProgress(RequestInProgress(reason=reason, retry_after_s=RETRY_AFTER_S))


def decide_unsettled(first_attempt: bool) -> LogUnavailable | OutcomeUnknown:
    """Decide the response when the own claim was not read back by the deadline.

    Parameters
    ----------
    first_attempt : bool
        Whether the caller has declared its first attempt. No earlier attempt exists
        then, and this one is never sent, so that "not run" is true.

    Returns
    -------
    LogUnavailable or OutcomeUnknown
        The refusal.
    """
    if first_attempt:
        return LogUnavailable(reason="The log did not confirm the claim in time.")
    return OutcomeUnknown(
        reason="The log did not confirm the claim in time; an earlier attempt may "
        "have run."
    )


def refuse_unclaimed(refusal: Refusal, first_attempt: bool) -> Refusal:
    """Return a refusal of a non-repeatable request that says "not run" only if true.

    Parameters
    ----------
    refusal : Refusal
        Refusal given before the claim was read back, or after it was released.
    first_attempt : bool
        Whether this caller has declared its first attempt.

    Notes
    -----
    The rule also holds after a release. The append of an earlier attempt may still be
    on its way to the log through another host; it then wins the released identity and
    runs after the caller of the later attempt was answered.
    """
    if first_attempt:
        return refusal
    return attrs.evolve(refusal, earlier_attempts_unknown=True)


def decide_query(
    view: ClaimView | None,
    key: ClaimKey,
    next_offset: int,
    tail_offset: int | None,
    is_gone: GoneCheck,
    policy: ClaimPolicy,
    now: Instant,
) -> QueryDecision:
    """Decide the response to a query of a key's outcome.

    Parameters
    ----------
    view : ClaimView or None
        What the ledger knows about the identity.
    key : ClaimKey
        The queried key.
    next_offset : int
        Offset that the ledger applies next.
    tail_offset : int or None
        Offset after the log's last record, as read after the query arrived; None if it
        was not read yet.
    is_gone : callable
        Whether a process run has ended.
    policy : ClaimPolicy
        Limits to apply.
    now : Instant
        Time taken after the tail was read.

    Returns
    -------
    QueryDecision
        A recorded answer is final and is returned at once. Everything else may be
        outdated until the ledger has reached the tail.
    """
    if view is not None and view.answer is not None:
        return _describe(view, is_gone)
    if tail_offset is None or next_offset < tail_offset:
        return WaitForTail(tail_offset)
    if view is not None:
        return _describe(view, is_gone)
    if key.is_expired(now, policy):
        return Expired(make_too_old(policy, first_attempt=False))
    return KeyUnknown()


def find_refusal(decision: ClaimDecision | QueryDecision) -> Refusal | None:
    """Return the refusal to respond with; None if the decision is not a refusal."""
    match decision:
        case KeyReused():
            return decision
        case InProgress() | WriterGone() | Released() | Expired():
            return decision.refusal
    return None
