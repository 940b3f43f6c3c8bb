"""State of all claims, built from the records of the log stream ``claims``."""

import collections
import enum

import attrs
from result import Err, Ok

from waxwingbarrow.claims._keys import ClaimIdentity
from waxwingbarrow.claims._records import (
    Answer,
    ClaimBody,
    OutcomeBody,
    ReleaseBody,
    read_claims_body,
)
from waxwingbarrow.core import HostId, Incarnation, Outcome
from waxwingbarrow.state import LogEntry, Writer

# Limits the memory of a host: at 100 claims a second and 16 KiB each, the answers of
# one hour would take 5.6 GiB.
MAX_TOTAL_ANSWER_BYTES = 32 * 1024 * 1024


class ClaimState(enum.StrEnum):
    """State of an identity according to the log."""

    CLAIMED = "claimed"
    RELEASED = "released"
    COMPLETED = "completed"


@attrs.frozen
class ClaimView:
    """The last winning claim of an identity.

    Parameters
    ----------
    state : ClaimState
        COMPLETED once any outcome is recorded, also UNKNOWN; see `answer.outcome`.
    claim_id : str
        Unique id of the claim.
    writer : HostId
        Host that holds the claim.
    incarnation : Incarnation
        Run of the host's process that holds the claim.
    offset : int
        Offset of the claim record in the log.
    body_digest : str
        Digest of the claimed request; see `compute_body_digest`.
    answer : Answer or None
        Recorded result; None until there is one.
    """

    state: ClaimState
    claim_id: str
    writer: HostId
    incarnation: Incarnation
    offset: int
    body_digest: str
    answer: Answer | None = None

    def is_held_by(self, writer: Writer) -> bool:
        """Return whether the given process run wrote this claim."""
        return Writer(self.writer, self.incarnation) == writer


class ClaimEventKind(enum.StrEnum):
    """Effect of a log entry on the ledger."""

    WON = "won"
    LOST = "lost"
    COMPLETED = "completed"
    RELEASED = "released"
    IGNORED = "ignored"
    MALFORMED = "malformed"
    OUT_OF_ORDER = "out_of_order"


@attrs.frozen
class ClaimEvent:
    """Effect of one log entry.

    Parameters
    ----------
    kind : ClaimEventKind
        Kind of the effect.
    claim_id : str
        Claim to which the entry refers; empty if it refers to none.
    view : ClaimView or None
        View of the identity after the entry.
    detail : str
        Reason why a record is malformed; empty for other kinds.
    """

    kind: ClaimEventKind
    claim_id: str = ""
    view: ClaimView | None = None
    detail: str = ""


class ClaimLedger:
    """All claims that the log still retains.

    A claim wins if its identity is unclaimed or released at the claim's own offset.
    Otherwise it loses permanently: it does not win when the winner is released, because
    its writer has already told its caller that another claim is in force.

    Parameters
    ----------
    first_offset : int
        First offset that the log still retains.
    max_total_answer_bytes : int
        Limit on the size of all answer bodies in memory, in bytes; the oldest bodies
        are dropped first.
    """

    def __init__(
        self,
        first_offset: int = 0,
        max_total_answer_bytes: int = MAX_TOTAL_ANSWER_BYTES,
    ) -> None:
        self._next_offset = first_offset
        self._views: dict[ClaimIdentity, ClaimView] = {}
        self._identities: dict[str, ClaimIdentity] = {}
        self._claims_by_offset: collections.deque[tuple[int, str]] = collections.deque()
        self._max_total_answer_bytes = max_total_answer_bytes
        self._total_answer_bytes = 0
        self._answer_bytes: collections.OrderedDict[ClaimIdentity, int] = (
            collections.OrderedDict()
        )

    @property
    def next_offset(self) -> int:
        """Offset of the entry to apply next."""
        return self._next_offset

    @property
    def identity_count(self) -> int:
        """Number of identities with a claim in memory."""
        return len(self._views)

    def find(self, identity: ClaimIdentity) -> ClaimView | None:
        """Return the view of an identity at `next_offset`; None if it is unclaimed."""
        return self._views.get(identity)

    def apply(self, entry: LogEntry) -> ClaimEvent:
        """Apply one entry of the stream.

        Parameters
        ----------
        entry : LogEntry
            The entry at `next_offset`. An entry with a lower offset was applied before
            and is ignored. An entry with a higher offset is not applied, because a
            missing entry in between may hold the winning claim.

        Returns
        -------
        ClaimEvent
            Effect of the entry.
        """
        if entry.offset < self._next_offset:
            return ClaimEvent(ClaimEventKind.IGNORED)
        if entry.offset > self._next_offset:
            return ClaimEvent(ClaimEventKind.OUT_OF_ORDER)
        self._next_offset += 1
        match read_claims_body(entry.record):
            case Ok(ClaimBody() as body):
                return self._apply_claim(entry, body)
            case Ok(OutcomeBody() as body):
                return self._apply_outcome(entry, body)
            case Ok(ReleaseBody() as body):
                return self._apply_release(entry, body)
            case Err(error):
                return ClaimEvent(ClaimEventKind.MALFORMED, detail=error.detail)
        return ClaimEvent(ClaimEventKind.IGNORED)

    def trim(self, first_offset: int) -> None:
        """Remove the claims that the log no longer retains.

        Parameters
        ----------
        first_offset : int
            First offset that the log still retains. If it is beyond `next_offset`, the
            entries in between are skipped; their keys are too old to be accepted.
        """
        self._next_offset = max(self._next_offset, first_offset)
        while self._claims_by_offset and self._claims_by_offset[0][0] < first_offset:
            _, claim_id = self._claims_by_offset.popleft()
            identity = self._identities.pop(claim_id)
            view = self._views.get(identity)
            if view is not None and view.claim_id == claim_id:
                del self._views[identity]
                self._total_answer_bytes -= self._answer_bytes.pop(identity, 0)

    def _apply_claim(self, entry: LogEntry, body: ClaimBody) -> ClaimEvent:
        view = self._views.get(body.identity)
        if body.claim_id in self._identities:
            # A duplicate append must not revive a claim that was released.
            return ClaimEvent(ClaimEventKind.IGNORED, body.claim_id, view)
        self._identities[body.claim_id] = body.identity
        self._claims_by_offset.append((entry.offset, body.claim_id))
        if view is not None and view.state is not ClaimState.RELEASED:
            return ClaimEvent(ClaimEventKind.LOST, body.claim_id, view)
        view = ClaimView(
            state=ClaimState.CLAIMED,
            claim_id=body.claim_id,
            writer=entry.record.writer,
            incarnation=entry.record.incarnation,
            offset=entry.offset,
            body_digest=body.body_digest,
        )
        self._views[body.identity] = view
        return ClaimEvent(ClaimEventKind.WON, body.claim_id, view)

    def _apply_outcome(self, entry: LogEntry, body: OutcomeBody) -> ClaimEvent:
        active = self._find_active_claim(entry, body.claim_id)
        if active is None:
            return ClaimEvent(ClaimEventKind.IGNORED, body.claim_id)
        if body.outcome not in (Outcome.COMPLETED, Outcome.UNKNOWN):
            detail = f"The outcome is {body.outcome}; expected completed or unknown."
            return ClaimEvent(ClaimEventKind.MALFORMED, body.claim_id, detail=detail)
        try:
            answer = body.to_answer()
        except ValueError:
            detail = "The response body in an outcome record is not valid base64."
            return ClaimEvent(ClaimEventKind.MALFORMED, body.claim_id, detail=detail)
        identity, view = active
        view = attrs.evolve(view, state=ClaimState.COMPLETED, answer=answer)
        self._views[identity] = view
        self._track_answer(identity, answer)
        return ClaimEvent(ClaimEventKind.COMPLETED, body.claim_id, view)

    def _apply_release(self, entry: LogEntry, body: ReleaseBody) -> ClaimEvent:
        active = self._find_active_claim(entry, body.claim_id)
        if active is None:
            return ClaimEvent(ClaimEventKind.IGNORED, body.claim_id)
        identity, view = active
        view = attrs.evolve(view, state=ClaimState.RELEASED)
        self._views[identity] = view
        return ClaimEvent(ClaimEventKind.RELEASED, body.claim_id, view)

    def _find_active_claim(
        self, entry: LogEntry, claim_id: str
    ) -> tuple[ClaimIdentity, ClaimView] | None:
        """Return the claim if it is in force and its holder wrote the entry."""
        identity = self._identities.get(claim_id)
        view = self._views.get(identity) if identity is not None else None
        if identity is None or view is None or view.claim_id != claim_id:
            return None
        writer = Writer(entry.record.writer, entry.record.incarnation)
        if view.state is not ClaimState.CLAIMED or not view.is_held_by(writer):
            return None
        return identity, view

    def _track_answer(self, identity: ClaimIdentity, answer: Answer) -> None:
        body_bytes = len(answer.body or b"")
        self._answer_bytes[identity] = body_bytes
        self._total_answer_bytes += body_bytes
        while self._total_answer_bytes > self._max_total_answer_bytes:
            oldest_identity, freed_bytes = self._answer_bytes.popitem(last=False)
            self._total_answer_bytes -= freed_bytes
            view = self._views[oldest_identity]
            if freed_bytes and view.answer is not None:
                answer_without_body = attrs.evolve(
                    view.answer, body=None, body_omitted=True
                )
                self._views[oldest_identity] = attrs.evolve(
                    view, answer=answer_without_body
                )
