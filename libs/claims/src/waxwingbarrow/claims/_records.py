"""Records of the log stream ``claims``."""

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
    """Kinds of records in the log stream ``claims``."""

    CLAIM = "claim"
    OUTCOME = "outcome"
    RELEASE = "release"


@attrs.frozen
class Answer:
    """Recorded result of a request.

    Parameters
    ----------
    outcome : Outcome
        COMPLETED, or UNKNOWN if the writer lost the response after sending.
    status : int
        HTTP status.
    content_type : str
        Content type of the body.
    body : bytes or None
        The body; None if the response is unknown or the body was omitted.
    body_omitted : bool
        Whether the response had a body that was too large to record or was dropped
        from memory.
    """

    outcome: Outcome
    status: int
    content_type: str
    body: bytes | None
    body_omitted: bool = False


@attrs.frozen
class ClaimBody:
    """Body of a record that claims the right to send the request of a key."""

    account: AccountId
    service: ServiceName
    key: str
    body_digest: str
    claim_id: str

    @property
    def identity(self) -> ClaimIdentity:
        """Account, service and key that are claimed."""
        return ClaimIdentity(self.account, self.service, self.key)


@attrs.frozen
class OutcomeBody:
    """Body of a record with the result of a claimed request; `body` is in base64."""

    claim_id: str
    outcome: Outcome
    status: int
    content_type: str
    body: str | None
    body_omitted: bool

    def to_answer(self) -> Answer:
        """Return the answer with its body decoded.

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
    """Body of a record that releases a claim whose request was not sent."""

    claim_id: str


ClaimsBody = ClaimBody | OutcomeBody | ReleaseBody

_BODY_TYPES: dict[str, type[ClaimsBody]] = {
    ClaimRecordKind.CLAIM: ClaimBody,
    ClaimRecordKind.OUTCOME: OutcomeBody,
    ClaimRecordKind.RELEASE: ReleaseBody,
}


def read_claims_body(record: Record) -> Result[ClaimsBody | None, FieldInvalid]:
    """Return the typed body of a record; None for an unknown kind."""
    body_type = _BODY_TYPES.get(record.kind)
    if body_type is None:
        return Ok(None)
    return read_data(record.body, body_type, f"record {record.record_id}")


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
    """Return the record of the result of a claimed request."""
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
    """Return the record that releases a claim whose request was not sent."""
    return make_record(
        record_id, ClaimRecordKind.RELEASE, writer, now, ReleaseBody(claim_id)
    )


def make_answer(
    status: int, content_type: str, body: bytes, policy: ClaimPolicy
) -> Answer:
    """Return the answer to record for a complete response.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    content_type : str
        Content type of the body.
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
    """Return the answer to record if the response was lost after sending."""
    return Answer(Outcome.UNKNOWN, status=504, content_type="", body=None)
