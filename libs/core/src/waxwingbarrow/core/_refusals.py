"""Refusals of a request, and their RFC 9457 problem details."""

import enum
from typing import Any, ClassVar

import attrs

from waxwingbarrow.core._failures import Failure

PROBLEM_TYPE_PREFIX = "urn:waxwingbarrow:problem:"


class Outcome(enum.StrEnum):
    """What is known about whether a request was executed."""

    NOT_RUN = "not_run"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    COMPLETED = "completed"


@attrs.frozen(kw_only=True)
class Refusal(Failure):
    """Reason for which a caller gets a problem response instead of a result.

    Parameters
    ----------
    reason : str
        Sentence that explains this case; if it is empty, the title is shown.
    retry_after_s : float or None
        Seconds after which a retry may succeed; None if that is unknown.
    earlier_attempts_unknown : bool
        Whether an earlier attempt at the same non-repeatable request may have run
        without this host knowing. The outcome is then unknown instead of not run.

    Attributes
    ----------
    status : int
        HTTP status.
    title : str
        Title of the problem.
    slug : str
        Last part of the URI of the problem type.
    own_outcome : Outcome
        Outcome of the request if no earlier attempt can have run.
    """

    status: ClassVar[int] = 500
    title: ClassVar[str] = "The request was refused"
    slug: ClassVar[str] = "refused"
    own_outcome: ClassVar[Outcome] = Outcome.NOT_RUN

    reason: str = ""
    retry_after_s: float | None = None
    earlier_attempts_unknown: bool = False

    @property
    def outcome(self) -> Outcome:
        """What is known about the execution of the request, in all attempts."""
        if self.own_outcome is Outcome.NOT_RUN and self.earlier_attempts_unknown:
            return Outcome.UNKNOWN
        return self.own_outcome

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return self.reason or f"{self.title}."


class Unauthenticated(Refusal):
    """The bearer key is missing or unknown."""

    status = 401
    title = "The bearer key is missing or unknown"
    slug = "unauthenticated"


class ClassNotAllowed(Refusal):
    """The account may not use the requested priority class."""

    status = 403
    title = "The account may not use this priority class"
    slug = "class-not-allowed"


class UnknownService(Refusal):
    """No service of this name is configured."""

    status = 404
    title = "No such service"
    slug = "unknown-service"


class UnknownRoute(Refusal):
    """The service has no route of this name."""

    status = 404
    title = "No such route"
    slug = "unknown-route"


class InvalidRequest(Refusal):
    """A header or the body is malformed."""

    status = 400
    title = "The request is malformed"
    slug = "invalid-request"


class KeyMissing(Refusal):
    """A non-repeatable request has no idempotency key."""

    status = 400
    title = "The request needs an idempotency key"
    slug = "key-missing"


class KeyMalformed(Refusal):
    """The idempotency key is not a UUIDv7."""

    status = 400
    title = "The idempotency key is not a version 7 UUID"
    slug = "key-malformed"


class KeyTooOld(Refusal):
    """The key is older than the time for which claims are kept."""

    status = 410
    title = "The idempotency key is too old"
    slug = "key-too-old"


class KeyReused(Refusal):
    """The key was used before with another body."""

    status = 422
    title = "The idempotency key was used with another body"
    slug = "key-reused"


class RateLimited(Refusal):
    """The account has reached its rate limit."""

    status = 429
    title = "The account's rate limit is reached"
    slug = "rate-limited"


class Overloaded(Refusal):
    """The host has no capacity for the request."""

    status = 503
    title = "The service is overloaded"
    slug = "overloaded"


class DeadlineTooShort(Refusal):
    """The request cannot be completed before its deadline."""

    status = 503
    title = "The deadline cannot be met"
    slug = "deadline-too-short"


class NoUpstream(Refusal):
    """No upstream can take the request."""

    status = 503
    title = "No upstream is available"
    slug = "no-upstream"


class NotReady(Refusal):
    """The host has not yet read a configuration and the platform's host list."""

    status = 503
    title = "The host is not ready"
    slug = "not-ready"


class ShuttingDown(Refusal):
    """The host is stopping and accepts no new requests."""

    status = 503
    title = "The host is shutting down"
    slug = "shutting-down"


class LogUnavailable(Refusal):
    """The request needs the platform's log, which is unavailable."""

    status = 503
    title = "The platform's log is unavailable"
    slug = "log-unavailable"


class ClockSuspect(Refusal):
    """The host's wall clock was stepped, so the age of keys cannot be determined."""

    status = 503
    title = "The host's clock is suspect"
    slug = "clock-suspect"


class CrashSuspected(Refusal):
    """Upstreams were lost while they ran this request."""

    status = 422
    title = "The request is suspected to crash upstreams"
    slug = "crash-suspected"


class ResumeRejected(Refusal):
    """The resume token is malformed, forged or expired, or of another account."""

    status = 403
    title = "The resume token is not valid"
    slug = "resume-rejected"


class RequestInProgress(Refusal):
    """A host has claimed the request and has not recorded its outcome yet."""

    status = 409
    title = "The request is in progress"
    slug = "in-progress"
    own_outcome = Outcome.IN_PROGRESS


class OutcomeUnknown(Refusal):
    """The request may or may not have run."""

    status = 504
    title = "The outcome of the request is unknown"
    slug = "outcome-unknown"
    own_outcome = Outcome.UNKNOWN


class UpstreamFailed(Refusal):
    """The upstream failed after the request may have reached it."""

    status = 502
    title = "The upstream failed"
    slug = "upstream-failed"
    own_outcome = Outcome.UNKNOWN


def to_problem(refusal: Refusal, instance: str) -> dict[str, Any]:
    """Return the RFC 9457 problem details of a refusal.

    Parameters
    ----------
    refusal : Refusal
        The refusal to describe.
    instance : str
        URI reference of the refused request.

    Returns
    -------
    dict
        The members ``type``, ``title``, ``status``, ``detail``, ``instance`` and the
        extension ``outcome``.

    Examples
    --------
    >>> to_problem(NoUpstream(), "/requests/r1")["outcome"]
    'not_run'
    """
    return {
        "type": PROBLEM_TYPE_PREFIX + refusal.slug,
        "title": refusal.title,
        "status": refusal.status,
        "detail": refusal.detail,
        "instance": instance,
        "outcome": refusal.outcome.value,
    }
