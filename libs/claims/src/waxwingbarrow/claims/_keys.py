"""Idempotency keys and the limits that apply to them."""

import hashlib
import uuid

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import (
    AccountId,
    Instant,
    KeyMalformed,
    KeyTooOld,
    RouteName,
    ServiceName,
    ValueNotAllowedError,
)

KEY_UUID_VERSION = 7


@attrs.frozen
class ClaimPolicy:
    """Limits for idempotency keys and recorded responses.

    Parameters
    ----------
    key_max_age_s : int
        Largest age of a key that is accepted, in seconds.
    log_retention_s : int
        Time for which the log retains records, in seconds.
    max_clock_skew_ms : int
        Largest difference between the clocks of two hosts, in milliseconds.
    outcome_max_bytes : int
        Largest response body that is recorded in the log, in bytes.

    Raises
    ------
    ValueNotAllowedError
        If a claim could expire from the log while its key is still accepted. The check
        allows for the clock skew twice: once for a key from a fast clock and once for
        a host with a slow clock.
    """

    key_max_age_s: int = 3_000
    log_retention_s: int = 3_600
    max_clock_skew_ms: int = 2_000
    outcome_max_bytes: int = 16 * 1024

    def __attrs_post_init__(self) -> None:
        age_limit_ms = self.log_retention_s * 1000 - 2 * self.max_clock_skew_ms
        if not 0 < self.key_max_age_s * 1000 < age_limit_ms:
            raise ValueNotAllowedError(
                self.key_max_age_s,
                f"more than 0 and less than {age_limit_ms / 1000} s, the retention of "
                "the log minus twice the clock skew",
                "key_max_age_s",
            )


@attrs.frozen
class ClaimKey:
    """A well-formed idempotency key.

    Parameters
    ----------
    text : str
        The key in lower case, so that keys that differ only in case are the same key.
    created_ms : int
        Creation time encoded in the key, in milliseconds since the Unix epoch.
    """

    text: str
    created_ms: int

    def is_expired(self, now: Instant, policy: ClaimPolicy) -> bool:
        """Return whether claims for the key may have expired from the log."""
        return now.wall_ms - self.created_ms > policy.key_max_age_s * 1000


@attrs.frozen
class ClaimIdentity:
    """Identity for which at most one request may run.

    It includes the account, so that equal keys of two accounts don't conflict.
    """

    account: AccountId
    service: ServiceName
    key: str


def read_key(key: str, first_attempt: bool = False) -> Result[ClaimKey, KeyMalformed]:
    """Parse a key without checking its age, for a query for its outcome.

    Parameters
    ----------
    key : str
        Value of the caller's idempotency key header.
    first_attempt : bool
        Whether the caller has declared this to be its first attempt; if not, a refusal
        does not state that the request was not run.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = None
    # `uuid.UUID` also accepts braces, a URN prefix and missing hyphens.
    if (
        parsed is None
        or str(parsed) != key.lower()
        or parsed.version != KEY_UUID_VERSION
    ):
        return Err(
            KeyMalformed(
                reason="The idempotency key is not a version 7 UUID.",
                earlier_attempts_unknown=not first_attempt,
            )
        )
    return Ok(ClaimKey(str(parsed), parsed.int >> 80))


def check_key(
    key: str, now: Instant, policy: ClaimPolicy, first_attempt: bool = False
) -> Result[ClaimKey, KeyMalformed | KeyTooOld]:
    """Check the form and the age of an idempotency key.

    Parameters
    ----------
    key : str
        Value of the caller's idempotency key header.
    now : Instant
        Current time.
    policy : ClaimPolicy
        Limits to apply.
    first_attempt : bool
        Whether the caller has declared this to be its first attempt.

    Returns
    -------
    Result
        The key, or the refusal. A key with a future time is refused as malformed: it
        would be accepted for longer than the log retains its claim.
    """
    match read_key(key, first_attempt):
        case Err() as malformed:
            return malformed
        case Ok(read):
            if read.created_ms - now.wall_ms > policy.max_clock_skew_ms:
                return Err(
                    KeyMalformed(
                        reason="The time in the idempotency key is in the future.",
                        earlier_attempts_unknown=not first_attempt,
                    )
                )
            if read.is_expired(now, policy):
                return Err(make_key_too_old(policy, first_attempt))
            return Ok(read)
    raise AssertionError("A result is either Ok or Err.")


def make_key_too_old(policy: ClaimPolicy, first_attempt: bool) -> KeyTooOld:
    """Return the refusal of a key whose claims may have expired from the log."""
    return KeyTooOld(
        reason=f"The idempotency key is older than {policy.key_max_age_s} s.",
        earlier_attempts_unknown=not first_attempt,
    )


def compute_body_digest(route: RouteName, body: bytes) -> str:
    """Return the digest by which requests with the same key are compared.

    Parameters
    ----------
    route : RouteName
        Route of the request; the same body on another route is a different request.
    body : bytes
        Request body as received.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(route.encode() + b"\0" + body).hexdigest()
