"""Resume tokens: authenticated state of a stream that its caller stores."""

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

TOKEN_FORMAT = "r1"
MIN_SECRET_BYTES = 32  # the output size of SHA-256, as RFC 2104 recommends
MAX_TOKEN_CHARS = 4_096  # limits the work that a forged token causes
KEY_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,32}")


@attrs.frozen(kw_only=True)
class ResumeToken:
    """State from which any host that serves callers can resume a stream.

    `route`, `max_tokens` and `fingerprint` are those of the original request. A caller
    that resumes need not send them again, and cannot change them.

    Parameters
    ----------
    account : AccountId
        The only account that may use the token.
    max_tokens : int
        Maximum number of output tokens of the whole response.
    fingerprint : str
        Digest of the request, by which one that crashes upstreams is recognized.
    upstream, address : UpstreamId, str
        Upstream that runs the stream, and its network address.
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
    """A secret that is shared by all hosts that serve callers.

    Parameters
    ----------
    key_id : str
        Public identifier of the key: 1 to 32 letters, digits, hyphens or underscores.
    secret : bytes
        At least 32 random bytes.

    Raises
    ------
    ValueError
        If the key id is malformed or the secret is too short.
    """

    key_id: str = attrs.field()
    secret: bytes = attrs.field(repr=False)

    @key_id.validator
    def _check_key_id(self, _: object, value: str) -> None:
        if not KEY_ID_PATTERN.fullmatch(value):
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
    """The keys that sign and verify resume tokens.

    To rotate keys, first add the new key to `accepted` on every host, then make it
    `current`, and remove the old key when the last token signed with it has expired.

    Parameters
    ----------
    current : ResumeKey
        Key that signs new tokens.
    accepted : tuple of ResumeKey
        Further keys whose tokens are accepted.

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
        """Return the key with this id; None if it is not in use."""
        for key in (self.current, *self.accepted):
            if key.key_id == key_id:
                return key
        return None


def sign_token(token: ResumeToken, keys: ResumeKeys) -> str:
    """Return the text form of a token, signed with the current key.

    Returns
    -------
    str
        ``r1.<key id>.<body>.<MAC>``, where the MAC is the HMAC-SHA-256 of all before
        the last dot. Body and MAC are unpadded URL-safe base64. The content is
        authenticated, but not encrypted.
    """
    body = _encode_base64(write_json(token).encode())
    signed = f"{TOKEN_FORMAT}.{keys.current.key_id}.{body}"
    return f"{signed}.{_compute_mac(signed, keys.current)}"


def verify_token(
    text: str, account: AccountId, keys: ResumeKeys, now: Instant
) -> Result[ResumeToken, ResumeRejected]:
    """Verify a token and return its content.

    Parameters
    ----------
    text : str
        Token as the caller sent it.
    account : AccountId
        Account to which the caller's bearer key belongs.
    keys : ResumeKeys
        Keys whose tokens are accepted.
    now : Instant
        Current time; its wall time is compared with the token's expiry.

    Returns
    -------
    Result
        The token, or `ResumeRejected`. The content is not decoded before the MAC is
        verified, and the refusal does not tell an unknown key from a wrong MAC.
    """
    if len(text) > MAX_TOKEN_CHARS or text.count(".") != 3:
        return _reject("The resume token is malformed.")
    signed, _, mac = text.rpartition(".")
    token_format, key_id, body = signed.split(".")
    if token_format != TOKEN_FORMAT:
        return _reject("The resume token has an unknown format.")
    key = keys.find(key_id)
    # Compared as bytes, because `compare_digest` raises for text that is not ASCII.
    if key is None or not hmac.compare_digest(
        mac.encode("utf-8", "replace"), _compute_mac(signed, key).encode()
    ):
        return _reject("The resume token was not issued here or its key has expired.")
    token = _decode_body(body)
    if token is None:
        return _reject("The resume token's content is not valid.")
    if not hmac.compare_digest(token.account.encode(), account.encode()):
        return _reject("The resume token belongs to another account.")
    if now.wall_ms >= token.expires_ms:
        return _reject("The resume token has expired.")
    return Ok(token)


def _decode_body(body: str) -> ResumeToken | None:
    try:
        text = base64.urlsafe_b64decode(body + "=" * (-len(body) % 4)).decode()
    except (binascii.Error, UnicodeDecodeError):
        return None
    return read_json(text, ResumeToken, "resume token").ok()


def _reject(reason: str) -> Err[ResumeRejected]:
    return Err(ResumeRejected(reason=reason))


def _compute_mac(signed: str, key: ResumeKey) -> str:
    message = signed.encode("utf-8", "replace")
    return _encode_base64(hmac.new(key.secret, message, hashlib.sha256).digest())


def _encode_base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()
