"""Authentication of accounts and operators by bearer key."""

import hashlib
import hmac
from collections.abc import Iterable

from result import Err, Ok, Result

from waxwingbarrow.core import Unauthenticated
from waxwingbarrow.document import AccountGrant, ServiceDocument

BEARER_PREFIX = "Bearer "


def hash_key(key: str) -> str:
    """Return the hash of a bearer key in the form that documents and settings store.

    Examples
    --------
    >>> hash_key("k")[:15]
    'sha256:8254c329'
    """
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def read_bearer(header: str | None) -> Result[str, Unauthenticated]:
    """Return the hash of the key in an ``Authorization`` header."""
    if header is None:
        return Err(Unauthenticated(reason="The Authorization header is missing."))
    if not header.startswith(BEARER_PREFIX) or len(header) == len(BEARER_PREFIX):
        return Err(
            Unauthenticated(reason="The Authorization header is not a bearer key.")
        )
    return Ok(hash_key(header[len(BEARER_PREFIX) :]))


def is_known_key(key_hash: str, stored_hashes: Iterable[str]) -> bool:
    """Compare a key's hash with all stored ones, in constant time for each."""
    found = False
    for stored in stored_hashes:
        found |= hmac.compare_digest(key_hash, stored)
    return found


def find_account(
    document: ServiceDocument, header: str | None
) -> Result[AccountGrant, Unauthenticated]:
    """Return the account that a caller's bearer key belongs to.

    All accounts are compared even after a match, so that the response time does not
    reveal which one matches.
    """
    bearer = read_bearer(header)
    if bearer.is_err():
        return Err(bearer.unwrap_err())
    found: AccountGrant | None = None
    for grant in document.accounts:
        if is_known_key(bearer.unwrap(), grant.key_hashes):
            found = grant
    if found is None:
        return Err(Unauthenticated(reason="The bearer key is unknown."))
    return Ok(found)
