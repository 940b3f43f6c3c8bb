"""Fold of the stream ``claims``."""

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

# Bounds the memory of a host: at 100 claims a second and 16 KiB each, the answers of
# an hour would take 5.6 GiB.
MAX_ANSWER_BYTES = 32 * 1024 * 1024


class ClaimState(enum.StrEnum):
    """What the log says about an identity."""

    CLAIMED = "claimed"
    RELEASED = "released"
    COMPLETED = "completed"


@attrs.frozen
class ClaimView:
    """The last winning claim of an identity.

    Parameters
    ----------
    state : ClaimState
        COMPLETED once an outcome is recorded; `answer.outcome` tells which.
    claim_id : str
        Identifier of the claim.
    writer : HostId
        Host that holds the claim.
    incarnation : Incarnation
        Process run that holds the claim.
    offset : int
        Offset of the claim.
    body_digest : str
        Digest of the request.
    answer : Answer or None
        Recorded result.
    """

    state: ClaimState
    claim_id: str
    writer: HostId
    incarnation: Incarnation
    offset: int
    body_digest: str
    answer: Answer | None = None

    def is_held_by(self, writer: Writer) -> bool:
        """Return whether a process wrote this claim."""
        return Writer(self.writer, self.incarnation) == writer


class ClaimEventKind(enum.StrEnum):
    """What an entry did to the ledger."""

    WON = "won"
    LOST = "lost"
    COMPLETED = "completed"
    RELEASED = "released"
    IGNORED = "ignored"
    MALFORMED = "malformed"
    OUT_OF_ORDER = "out_of_order"


@attrs.frozen
class ClaimEvent:
    """Effect of one entry.

    Parameters
    ----------
    kind : ClaimEventKind
        What happened.
    claim_id : str
        Claim that the entry names; empty if it names none.
    view : ClaimView or None
        View of the identity right after the entry.
    detail : str
        What is wrong with a malformed record.
    """

    kind: ClaimEventKind
    claim_id: str = ""
    view: ClaimView | None = None
    detail: str = ""


class ClaimLedger:
    """All claims that the log still holds.

    A claim wins if its identity is unclaimed or released at the claim's own offset. A
    claim that loses there is void for good: it does not win when the winner releases,
    because its writer has already told its caller that another one holds the claim.

    Parameters
    ----------
    first_offset : int
        First offset that the log can supply.
    max_answer_bytes : int
        Most bytes of answers to keep; the oldest are omitted first.
    """

    def __init__(
        self, first_offset: int = 0, max_answer_bytes: int = MAX_ANSWER_BYTES
    ) -> None:
        self._next_offset = first_offset
        self._views: dict[ClaimIdentity, ClaimView] = {}
        self._identities: dict[str, ClaimIdentity] = {}
        self._order: collections.deque[tuple[int, str]] = collections.deque()
        self._max_answer_bytes = max_answer_bytes
        self._answer_bytes = 0
        self._answers: collections.OrderedDict[ClaimIdentity, int] = (
            collections.OrderedDict()
        )

    @property
    def next_offset(self) -> int:
        """Offset of the entry to apply next."""
        return self._next_offset

    @property
    def identity_count(self) -> int:
        """Number of identities in memory."""
        return len(self._views)

    def find(self, identity: ClaimIdentity) -> ClaimView | None:
        """Return what the log says about an identity, as far as it was read."""
        return self._views.get(identity)

    def apply(self, entry: LogEntry) -> ClaimEvent:
        """Apply one entry of the stream.

        Parameters
        ----------
        entry : LogEntry
            The entry at `next_offset`. An earlier one was applied before and is
            ignored. A later one is not applied: a claim in between may be the winner.

        Returns
        -------
        ClaimEvent
            What the entry did.
        """
        if entry.offset < self._next_offset:
            return ClaimEvent(ClaimEventKind.IGNORED)
        if entry.offset > self._next_offset:
            return ClaimEvent(ClaimEventKind.OUT_OF_ORDER)
        self._next_offset += 1
        match read_claims_body(entry.record):
            case Ok(ClaimBody() as body):
                return self._claim(entry, body)
            case Ok(OutcomeBody() as body):
                return self._complete(entry, body)
            case Ok(ReleaseBody() as body):
                return self._release(entry, body)
            case Err(failure):
                return ClaimEvent(ClaimEventKind.MALFORMED, detail=failure.detail)
        return ClaimEvent(ClaimEventKind.IGNORED)

    def trim(self, first_offset: int) -> None:
        """Forget the claims that the log no longer holds.

        Parameters
        ----------
        first_offset : int
            First offset that the log can supply. If it lies beyond `next_offset`, the
            entries in between are skipped; their keys are too old to be accepted.
        """
        self._next_offset = max(self._next_offset, first_offset)
        while self._order and self._order[0][0] < first_offset:
            _, claim_id = self._order.popleft()
            identity = self._identities.pop(claim_id)
            view = self._views.get(identity)
            if view is not None and view.claim_id == claim_id:
                del self._views[identity]
                self._answer_bytes -= self._answers.pop(identity, 0)

    def _claim(self, entry: LogEntry, body: ClaimBody) -> ClaimEvent:
        view = self._views.get(body.identity)
        if body.claim_id in self._identities:
            # A repeated append must not renew a claim that was released.
            return ClaimEvent(ClaimEventKind.IGNORED, body.claim_id, view)
        self._identities[body.claim_id] = body.identity
        self._order.append((entry.offset, body.claim_id))
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

    def _complete(self, entry: LogEntry, body: OutcomeBody) -> ClaimEvent:
        found = self._find_held(entry, body.claim_id)
        if found is None:
            return ClaimEvent(ClaimEventKind.IGNORED, body.claim_id)
        if body.outcome not in (Outcome.COMPLETED, Outcome.UNKNOWN):
            detail = f"An outcome cannot be {body.outcome}."
            return ClaimEvent(ClaimEventKind.MALFORMED, body.claim_id, detail=detail)
        try:
            answer = body.to_answer()
        except ValueError:
            detail = "The body of an outcome is not valid base64."
            return ClaimEvent(ClaimEventKind.MALFORMED, body.claim_id, detail=detail)
        identity, view = found
        view = attrs.evolve(view, state=ClaimState.COMPLETED, answer=answer)
        self._views[identity] = view
        self._keep_answer(identity, answer)
        return ClaimEvent(ClaimEventKind.COMPLETED, body.claim_id, view)

    def _release(self, entry: LogEntry, body: ReleaseBody) -> ClaimEvent:
        found = self._find_held(entry, body.claim_id)
        if found is None:
            return ClaimEvent(ClaimEventKind.IGNORED, body.claim_id)
        identity, view = found
        view = attrs.evolve(view, state=ClaimState.RELEASED)
        self._views[identity] = view
        return ClaimEvent(ClaimEventKind.RELEASED, body.claim_id, view)

    def _find_held(
        self, entry: LogEntry, claim_id: str
    ) -> tuple[ClaimIdentity, ClaimView] | None:
        """Return the claim if it is in force and the entry is by its writer."""
        identity = self._identities.get(claim_id)
        view = self._views.get(identity) if identity is not None else None
        if identity is None or view is None or view.claim_id != claim_id:
            return None
        writer = Writer(entry.record.writer, entry.record.incarnation)
        if view.state is not ClaimState.CLAIMED or not view.is_held_by(writer):
            return None
        return identity, view

    def _keep_answer(self, identity: ClaimIdentity, answer: Answer) -> None:
        size = len(answer.body or b"")
        self._answers[identity] = size
        self._answer_bytes += size
        while self._answer_bytes > self._max_answer_bytes:
            oldest, freed = self._answers.popitem(last=False)
            self._answer_bytes -= freed
            view = self._views[oldest]
            if freed and view.answer is not None:
                omitted = attrs.evolve(view.answer, body=None, body_omitted=True)
                self._views[oldest] = attrs.evolve(view, answer=omitted)
