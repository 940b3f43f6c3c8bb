"""Resume tokens: authenticated notes that callers keep about their streams."""

import base64
import binascii
import hashlib
import hmac
import re

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import (
    AccountId,
    Instant,
    RequestId,
    ResumeRejected,
    RouteName,
    ServiceName,
    UpstreamId,
    VersionName,
    read_json,
    write_json,
)

FORMAT = "r1"
MIN_SECRET_BYTES = 32  # the output size of SHA-256, as RFC 2104 recommends
MAX_TOKEN_CHARS = 4_096  # bounds the work for a forged token
KEY_ID = re.compile(r"[A-Za-z0-9_-]{1,32}")


@attrs.frozen(kw_only=True)
class ResumeToken:
    """What any entry host needs to continue a stream for its caller.

    The route, length and fingerprint are those of the original request. A resuming
    caller need not send them again, and cannot change them.

    Parameters
    ----------
    account : AccountId
        The only account that may use the token.
    address : str
        Address of the upstream.
    max_tokens : int
        Tokens of the whole answer.
    fingerprint : str
        Digest by which a request that crashes upstreams is recognized.
    expires_ms : int
        Wall time from which the token is refused, in milliseconds since the Unix
        epoch.
    """

    account: AccountId
    service: ServiceName
    route: RouteName
    max_tokens: int
    fingerprint: str
    upstream: UpstreamId
    address: str
    stream_id: str
    version: VersionName
    request_id: RequestId
    expires_ms: int


@attrs.frozen
class ResumeKey:
    """A secret that all entry hosts share.

    Parameters
    ----------
    key_id : str
        Public name of the key: 1 to 32 letters, digits, hyphens or underscores.
    secret : bytes
        At least 32 random bytes.

    Raises
    ------
    ValueError
        If the name or the length of the secret is not allowed.
    """

    key_id: str = attrs.field()
    secret: bytes = attrs.field(repr=False)

    @key_id.validator
    def _check_key_id(self, _: object, value: str) -> None:
        if not KEY_ID.fullmatch(value):
            raise ValueError(
                f"A key id has 1 to 32 letters, digits, hyphens or underscores, "
                f"not {value!r}."
            )

    @secret.validator
    def _check_secret(self, _: object, value: bytes) -> None:
        if len(value) < MIN_SECRET_BYTES:
            raise ValueError(
                f"A secret has at least {MIN_SECRET_BYTES} bytes, not {len(value)}."
            )


@attrs.frozen
class ResumeKeys:
    """The keys in use.

    A rotation first adds the new key to `accepted` on every host, then makes it
    `current`, and removes the old one when its last token has expired.

    Parameters
    ----------
    current : ResumeKey
        Seals new tokens.
    accepted : tuple of ResumeKey
        Further keys that open tokens.

    Raises
    ------
    ValueError
        If two keys have the same key id.
    """

    current: ResumeKey
    accepted: tuple[ResumeKey, ...] = ()

    def __attrs_post_init__(self) -> None:
        names = [self.current.key_id, *(key.key_id for key in self.accepted)]
        if len(set(names)) < len(names):
            raise ValueError("Two resume keys have the same key id.")

    def find(self, key_id: str) -> ResumeKey | None:
        """Return the key of this name, if it is in use."""
        for key in (self.current, *self.accepted):
            if key.key_id == key_id:
                return key
        return None


def sign_token(token: ResumeToken, keys: ResumeKeys) -> str:
    """Return the text form of a token, authenticated with the current key.

    Returns
    -------
    str
        ``r1.<key id>.<body>.<HMAC-SHA-256 of all before>``, with body and code in
        unpadded URL-safe base64. The content is authenticated, not secret.
    """
    body = _encode(write_json(token).encode())
    signed = f"{FORMAT}.{keys.current.key_id}.{body}"
    return f"{signed}.{_compute_code(signed, keys.current)}"


def verify_token(
    text: str, account: AccountId, keys: ResumeKeys, now: Instant
) -> Result[ResumeToken, ResumeRejected]:
    """Verify a token and return its content.

    Parameters
    ----------
    text : str
        What the caller sent.
    account : AccountId
        The account that the caller's bearer key belongs to.
    keys : ResumeKeys
        Keys in use.
    now : Instant
        Present time; its wall time is compared with the token's expiry.

    Returns
    -------
    Result
        The token, or `ResumeRejected`. Nothing of the content is read before the code
        was verified, and the refusal does not tell an unknown key from a wrong code.
    """
    if len(text) > MAX_TOKEN_CHARS or text.count(".") != 3:
        return _reject("The resume token is malformed.")
    signed, _, code = text.rpartition(".")
    form, key_id, body = signed.split(".")
    if form != FORMAT:
        return _reject("The resume token has an unknown format.")
    key = keys.find(key_id)
    # Compared as bytes, because compare_digest refuses text that is not ASCII.
    if key is None or not hmac.compare_digest(
        code.encode("utf-8", "replace"), _compute_code(signed, key).encode()
    ):
        return _reject("The resume token was not issued here or its key has expired.")
    token = _read_body(body)
    if token is None:
        return _reject("The resume token's content is not valid.")
    if not hmac.compare_digest(token.account.encode(), account.encode()):
        return _reject("The resume token belongs to another account.")
    if now.wall_ms >= token.expires_ms:
        return _reject("The resume token has expired.")
    return Ok(token)


def _read_body(body: str) -> ResumeToken | None:
    try:
        text = base64.urlsafe_b64decode(body + "=" * (-len(body) % 4)).decode()
    except (binascii.Error, UnicodeDecodeError):
        return None
    return read_json(text, ResumeToken, "resume token").ok()


def _reject(reason: str) -> Err[ResumeRejected]:
    return Err(ResumeRejected(reason=reason))


def _compute_code(signed: str, key: ResumeKey) -> str:
    message = signed.encode("utf-8", "replace")
    return _encode(hmac.new(key.secret, message, hashlib.sha256).digest())


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()
