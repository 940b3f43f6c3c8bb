"""Records of the stream ``claims``."""

import base64
import enum

import attrs
from result import Ok, Result

from waxwingbarrow.claims._keys import ClaimIdentity, ClaimPolicy
from waxwingbarrow.core import (
    AccountId,
    FieldInvalid,
    Instant,
    Outcome,
    ServiceName,
    read_data,
)
from waxwingbarrow.state import Record, Writer, make_record


class ClaimRecordKind(enum.StrEnum):
    """Kinds of records in the stream ``claims``."""

    CLAIM = "claim"
    OUTCOME = "outcome"
    RELEASE = "release"


@attrs.frozen
class Answer:
    """Result of a request as the log keeps it.

    Parameters
    ----------
    outcome : Outcome
        COMPLETED, or UNKNOWN if the writer lost the response after sending.
    status : int
        HTTP status.
    content_type : str
        Type of the body.
    body : bytes or None
        The body; None if it was too large to keep.
    body_omitted : bool
        Whether there was a body that is not kept.
    """

    outcome: Outcome
    status: int
    content_type: str
    body: bytes | None
    body_omitted: bool = False


@attrs.frozen
class ClaimBody:
    """Claims the right to send the request of a key."""

    account: AccountId
    service: ServiceName
    key: str
    body_digest: str
    claim_id: str

    @property
    def identity(self) -> ClaimIdentity:
        """What the claim is for."""
        return ClaimIdentity(self.account, self.service, self.key)


@attrs.frozen
class OutcomeBody:
    """Records the result of a claimed request; the body is in base64."""

    claim_id: str
    outcome: Outcome
    status: int
    content_type: str
    body: str | None
    body_omitted: bool

    def to_answer(self) -> Answer:
        """Return the answer.

        Raises
        ------
        ValueError
            If the body is not valid base64.
        """
        body = None
        if self.body is not None:
            body = base64.b64decode(self.body, validate=True)
        return Answer(
            self.outcome, self.status, self.content_type, body, self.body_omitted
        )


@attrs.frozen
class ReleaseBody:
    """Gives up a claim of which nothing was sent."""

    claim_id: str


ClaimsBody = ClaimBody | OutcomeBody | ReleaseBody

_BODIES: dict[str, type[ClaimsBody]] = {
    ClaimRecordKind.CLAIM: ClaimBody,
    ClaimRecordKind.OUTCOME: OutcomeBody,
    ClaimRecordKind.RELEASE: ReleaseBody,
}


def read_claims_body(record: Record) -> Result[ClaimsBody | None, FieldInvalid]:
    """Return the typed body of a record; None for a kind that is not known."""
    form = _BODIES.get(record.kind)
    if form is None:
        return Ok(None)
    return read_data(record.body, form, f"record {record.record_id}")


def make_claim_record(
    record_id: str,
    identity: ClaimIdentity,
    body_digest: str,
    claim_id: str,
    writer: Writer,
    now: Instant,
) -> Record:
    """Return the record that claims an identity."""
    body = ClaimBody(
        account=identity.account,
        service=identity.service,
        key=identity.key,
        body_digest=body_digest,
        claim_id=claim_id,
    )
    return make_record(record_id, ClaimRecordKind.CLAIM, writer, now, body)


def make_outcome_record(
    record_id: str, claim_id: str, answer: Answer, writer: Writer, now: Instant
) -> Record:
    """Return the record that keeps the result of a claimed request."""
    body = OutcomeBody(
        claim_id=claim_id,
        outcome=answer.outcome,
        status=answer.status,
        content_type=answer.content_type,
        body=None if answer.body is None else base64.b64encode(answer.body).decode(),
        body_omitted=answer.body_omitted,
    )
    return make_record(record_id, ClaimRecordKind.OUTCOME, writer, now, body)


def make_release_record(
    record_id: str, claim_id: str, writer: Writer, now: Instant
) -> Record:
    """Return the record that gives up a claim of which nothing was sent."""
    return make_record(
        record_id, ClaimRecordKind.RELEASE, writer, now, ReleaseBody(claim_id)
    )


def make_answer(
    status: int, content_type: str, body: bytes, policy: ClaimPolicy
) -> Answer:
    """Return the answer to keep for a complete response.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    content_type : str
        Type of the body.
    body : bytes
        Complete body; it is omitted if it exceeds `policy.outcome_max_bytes`.
    policy : ClaimPolicy
        Limits to apply.
    """
    omitted = len(body) > policy.outcome_max_bytes
    return Answer(
        outcome=Outcome.COMPLETED,
        status=status,
        content_type=content_type,
        body=None if omitted else body,
        body_omitted=omitted,
    )


def make_unknown_answer() -> Answer:
    """Return the answer to keep when the response was lost after sending."""
    return Answer(Outcome.UNKNOWN, status=504, content_type="", body=None)
