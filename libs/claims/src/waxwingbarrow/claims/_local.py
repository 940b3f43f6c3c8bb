"""Claims of one process, from the request to the recorded outcome."""

import attrs

from waxwingbarrow.claims._decisions import (
    ClaimDecision,
    MaySend,
    OwnClaim,
    ProcessEndedCheck,
    decide_claim,
    decide_existing,
    decide_unsettled,
    refuse_unclaimed,
)
from waxwingbarrow.claims._keys import ClaimIdentity, ClaimKey, ClaimPolicy
from waxwingbarrow.claims._ledger import (
    ClaimEvent,
    ClaimEventKind,
    ClaimLedger,
    ClaimState,
)
from waxwingbarrow.claims._lifecycle import APPENDING, UNSETTLED, ClaimLifecycle
from waxwingbarrow.claims._records import (
    Answer,
    make_claim_record,
    make_outcome_record,
    make_release_record,
    make_unknown_answer,
)
from waxwingbarrow.core import (
    Instant,
    KeyReused,
    LogUnavailable,
    OutcomeUnknown,
    Refusal,
)
from waxwingbarrow.state import LogEntry, Record, Writer


@attrs.define(eq=False)
class PendingClaim:
    """A claim of this process that needs a further step.

    Parameters
    ----------
    own : OwnClaim
        Contents of the claim.
    lifecycle : ClaimLifecycle
        State machine of the claim.
    answer : Answer or None
        Set once the response is complete.
    """

    own: OwnClaim
    lifecycle: ClaimLifecycle
    answer: Answer | None = None

    @property
    def state(self) -> str:
        """State of the lifecycle."""
        return self.lifecycle.state


@attrs.frozen
class Append:
    """The record must be appended; the claim is settled when it is read back."""

    claim: PendingClaim
    record: Record


@attrs.frozen
class Join:
    """The same request is in progress on this host and its response can be shared."""

    claim: PendingClaim


@attrs.frozen
class Settled:
    """A claim of this process was read back.

    Parameters
    ----------
    claim : PendingClaim
        The claim that was read back.
    decision : ClaimDecision
        How to proceed with the request.
    must_release : bool
        Whether the claim is in force although its request must not be sent.
    """

    claim: PendingClaim
    decision: ClaimDecision
    must_release: bool


@attrs.frozen
class AbandonedClaimWon:
    """An abandoned claim was read back and is in force; it must be released."""

    claim: PendingClaim


BeginDecision = Append | Join | ClaimDecision
ClaimProgress = Settled | AbandonedClaimWon


class LocalClaims:
    """Claims of one process and the ledger that settles them.

    The daemon calls `begin` for a request, appends the record, passes every entry of
    the stream to `apply`, and calls `abandon` at the deadline. After `MaySend` it calls
    `start_sending` before the first byte, then `complete`, `lose_response` or
    `mark_unsent`. A claim that is not sent is given up by `release`. The daemon
    appends the returned records.

    Parameters
    ----------
    ledger : ClaimLedger
        Ledger of the stream; changed only by `apply` and `trim` of this class.
    writer : Writer
        This process.
    policy : ClaimPolicy
        Limits to apply.
    has_ended : callable
        Returns whether a process run is known to have ended.
    """

    def __init__(
        self,
        ledger: ClaimLedger,
        writer: Writer,
        policy: ClaimPolicy,
        has_ended: ProcessEndedCheck,
    ) -> None:
        self.ledger = ledger
        self._writer = writer
        self._policy = policy
        self._has_ended = has_ended
        self._by_claim_id: dict[str, PendingClaim] = {}
        self._by_identity: dict[ClaimIdentity, PendingClaim] = {}

    @property
    def pending_count(self) -> int:
        """Number of claims of this process that need a further step."""
        return len(self._by_claim_id)

    def begin(
        self,
        identity: ClaimIdentity,
        key: ClaimKey,
        body_digest: str,
        first_attempt: bool,
        claim_id: str,
        now: Instant,
    ) -> BeginDecision:
        """Decide how to proceed with a request whose key was checked.

        Parameters
        ----------
        identity : ClaimIdentity
            Account, service and key of the request.
        key : ClaimKey
            Result of `check_key`.
        body_digest : str
            Digest of the request; see `compute_body_digest`.
        first_attempt : bool
            Whether the caller has declared this to be its first attempt.
        claim_id : str
            New unique id; also used as the record id.
        now : Instant
            Current time.

        Returns
        -------
        BeginDecision
            Append a record, share the response of a request in progress, or respond at
            once.
        """
        pending = self._by_identity.get(identity)
        if pending is not None:
            if pending.own.body_digest != body_digest:
                return KeyReused(earlier_attempts_unknown=True)
            return Join(pending)
        view = self.ledger.find(identity)
        if view is not None and view.state is not ClaimState.RELEASED:
            return decide_existing(view, body_digest, self._has_ended)
        own = OwnClaim(
            identity, key, claim_id, body_digest, self._writer, first_attempt
        )
        claim = PendingClaim(own, ClaimLifecycle())
        claim.lifecycle.append()
        self._by_claim_id[claim_id] = claim
        self._by_identity[identity] = claim
        record = make_claim_record(
            claim_id, identity, body_digest, claim_id, self._writer, now
        )
        return Append(claim, record)

    def apply(self, entry: LogEntry, now: Instant) -> ClaimProgress | None:
        """Apply one entry and settle the claim of this process to which it refers.

        Parameters
        ----------
        entry : LogEntry
            Next entry of the stream.
        now : Instant
            Time taken after the entry was read.

        Returns
        -------
        Settled, AbandonedClaimWon or None
            None if the entry settles no claim of this process.

        Raises
        ------
        ValueError
            If entries before this one are missing and were not skipped by `trim`.
        """
        event = self.ledger.apply(entry)
        if event.kind is ClaimEventKind.OUT_OF_ORDER:
            raise ValueError(
                f"Entry {entry.offset} was read before entry {self.ledger.next_offset}."
            )
        claim = self._by_claim_id.get(event.claim_id)
        if claim is None:
            return None
        match event.kind:
            case ClaimEventKind.WON | ClaimEventKind.LOST:
                return self._settle(claim, event, now)
            case ClaimEventKind.COMPLETED:
                self.forget(claim)
        return None

    def trim(self, first_offset: int) -> None:
        """Remove the claims that the log no longer retains; see `ClaimLedger.trim`."""
        self.ledger.trim(first_offset)

    def abandon(self, claim: PendingClaim) -> LogUnavailable | OutcomeUnknown:
        """Stop waiting for a claim to be read back and return the refusal.

        If the claim is read back later and is in force, `apply` returns
        `AbandonedClaimWon` and the claim must be released.
        """
        claim.lifecycle.abandon()
        self._free_identity(claim)
        return decide_unsettled(claim.own.first_attempt)

    def fail_append(self, claim: PendingClaim) -> Refusal:
        """Give up a claim whose append definitely did not take effect."""
        claim.lifecycle.fail()
        self.forget(claim)
        refusal = LogUnavailable(reason="The log did not accept the claim.")
        return refuse_unclaimed(refusal, claim.own.first_attempt)

    def start_sending(self, claim: PendingClaim) -> None:
        """Record, before the first byte is sent, that sending begins."""
        claim.lifecycle.send()

    def mark_unsent(self, claim: PendingClaim) -> None:
        """Record that sending definitely failed before the first byte.

        The request may then be sent again or the claim released.
        """
        claim.lifecycle.not_sent()

    def complete(
        self, claim: PendingClaim, answer: Answer, record_id: str, now: Instant
    ) -> Record:
        """Return the record of a complete response.

        Identical requests can join the claim until the record is read back.
        """
        claim.lifecycle.complete()
        claim.answer = answer
        return make_outcome_record(
            record_id, claim.own.claim_id, answer, self._writer, now
        )

    def lose_response(
        self, claim: PendingClaim, record_id: str, now: Instant
    ) -> Record:
        """Return the record of a request that may have run but lost its response."""
        claim.lifecycle.lose_response()
        self._free_identity(claim)
        answer = make_unknown_answer()
        return make_outcome_record(
            record_id, claim.own.claim_id, answer, self._writer, now
        )

    def release(self, claim: PendingClaim, record_id: str, now: Instant) -> Record:
        """Return the record that releases a claim whose request was not sent.

        The caller must be refused through `refuse_unclaimed`.
        """
        claim.lifecycle.release()
        self.forget(claim)
        return make_release_record(record_id, claim.own.claim_id, self._writer, now)

    def forget(self, claim: PendingClaim) -> None:
        """Remove a claim that needs no further step."""
        self._by_claim_id.pop(claim.own.claim_id, None)
        self._free_identity(claim)

    def forget_expired(self, now: Instant) -> None:
        """Remove abandoned claims whose keys are too old to be accepted by any host."""
        for claim in list(self._by_claim_id.values()):
            if claim.own.key.is_expired(now, self._policy) and claim.state == UNSETTLED:
                self.forget(claim)

    def _settle(
        self, claim: PendingClaim, event: ClaimEvent, now: Instant
    ) -> ClaimProgress | None:
        won = event.kind is ClaimEventKind.WON
        if claim.state == UNSETTLED:
            if won:
                return AbandonedClaimWon(claim)
            claim.lifecycle.lose()
            self.forget(claim)
            return None
        if claim.state != APPENDING:
            return None
        decision = decide_claim(
            event.view, claim.own, self._has_ended, self._policy, now
        )
        if won:
            claim.lifecycle.win()
            return Settled(claim, decision, must_release=decision != MaySend())
        claim.lifecycle.lose()
        self.forget(claim)
        return Settled(claim, decision, must_release=False)

    def _free_identity(self, claim: PendingClaim) -> None:
        if self._by_identity.get(claim.own.identity) is claim:
            del self._by_identity[claim.own.identity]
