"""Guards against resume tokens that are forged, expired or of another account."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from waxwingbarrow.core import (
    AccountId,
    Instant,
    Outcome,
    RequestId,
    RouteName,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.streams import (
    ResumeKey,
    ResumeKeys,
    ResumeToken,
    sign_token,
    verify_token,
)

ACCOUNT = AccountId("a1")
NOW = Instant(1_000_000, 0)
OLD_KEY, NEW_KEY = ResumeKey("k1", b"1" * 32), ResumeKey("k2", b"2" * 32)
TOKEN = ResumeToken(
    account=ACCOUNT,
    route=RouteName("listing-text"),
    max_tokens=64,
    fingerprint="0123abcd",
    service=ServiceName("care"),
    upstream=UpstreamId("u1"),
    address="10.0.0.1:80",
    stream_id="s1",
    version=VersionName("v1"),
    request_id=RequestId("r1"),
    expires_ms=NOW.wall_ms + 1,
)
SIGNED = sign_token(TOKEN, ResumeKeys(OLD_KEY))

ROTATION_CASES = [
    (ResumeKeys(OLD_KEY), True),
    (ResumeKeys(OLD_KEY, (NEW_KEY,)), True),
    (ResumeKeys(NEW_KEY, (OLD_KEY,)), True),
    (ResumeKeys(NEW_KEY), False),
    (ResumeKeys(ResumeKey("k1", b"3" * 32)), False),  # same key id, other secret
]


@pytest.mark.parametrize(("keys", "is_accepted"), ROTATION_CASES)
def test_token_is_valid_after_a_rotation_until_its_key_is_removed(keys, is_accepted):
    result = verify_token(SIGNED, ACCOUNT, keys, NOW)
    assert result == Ok(TOKEN) if is_accepted else isinstance(result, Err)


def replace_part(position, part):
    parts = SIGNED.split(".")
    parts[position] = part
    return ".".join(parts)


OTHER_PARTS = sign_token(
    attrs.evolve(TOKEN, stream_id="s2"), ResumeKeys(OLD_KEY)
).split(".")
REJECTED_CASES = {
    "empty": ("", ACCOUNT, NOW, "malformed"),
    "not a token": ("abc", ACCOUNT, NOW, "malformed"),
    "too long": (SIGNED + "A" * 5_000, ACCOUNT, NOW, "malformed"),
    "other format": (replace_part(0, "r2"), ACCOUNT, NOW, "format"),
    "unknown key": (replace_part(1, "k9"), ACCOUNT, NOW, "not issued"),
    "other body": (replace_part(2, OTHER_PARTS[2]), ACCOUNT, NOW, "not issued"),
    "other MAC": (replace_part(3, OTHER_PARTS[3]), ACCOUNT, NOW, "not issued"),
    "no MAC": (replace_part(3, ""), ACCOUNT, NOW, "not issued"),
    "MAC that is not ASCII": (replace_part(3, "é\udc80"), ACCOUNT, NOW, "not issued"),
    "body that is not ASCII": (replace_part(2, "é\udc80"), ACCOUNT, NOW, "not issued"),
    "other account": (SIGNED, AccountId("a2"), NOW, "another account"),
    "prefix of the account": (SIGNED, AccountId("a"), NOW, "another account"),
    "expired": (SIGNED, ACCOUNT, Instant(TOKEN.expires_ms, 0), "expired"),
}


@pytest.mark.parametrize("name", REJECTED_CASES)
def test_invalid_token_is_rejected_with_its_reason(name):
    text, account, now, reason = REJECTED_CASES[name]
    result = verify_token(text, account, ResumeKeys(OLD_KEY), now)
    assert isinstance(result, Err)
    assert reason in result.err_value.detail
    assert result.err_value.outcome is Outcome.NOT_RUN


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.integers(0, len(SIGNED) - 1), st.characters())
def test_token_with_a_changed_character_is_rejected(position, character):
    changed = SIGNED[:position] + character + SIGNED[position + 1 :]
    result = verify_token(changed, ACCOUNT, ResumeKeys(OLD_KEY), NOW)
    assert isinstance(result, Ok) == (changed == SIGNED)


def test_authentic_token_with_other_fields_is_rejected():
    @attrs.frozen
    class Other:
        account: str

    signed = sign_token(Other("a1"), ResumeKeys(OLD_KEY))
    result = verify_token(signed, ACCOUNT, ResumeKeys(OLD_KEY), NOW)
    assert "content is not valid" in result.err_value.detail


INVALID_KEYS = [("", b"1" * 32), ("a.b", b"1" * 32), ("k1", b"1" * 31)]


@pytest.mark.parametrize(("key_id", "secret"), INVALID_KEYS)
def test_malformed_key_id_or_short_secret_is_an_error(key_id, secret):
    with pytest.raises(ValueError, match=r"A (key id|secret) has"):
        ResumeKey(key_id, secret)


def test_two_keys_with_the_same_id_are_an_error():
    with pytest.raises(ValueError, match="same key id"):
        ResumeKeys(OLD_KEY, (ResumeKey("k1", b"3" * 32),))


def test_secret_does_not_appear_in_the_repr_of_a_key():
    assert "1111" not in repr(OLD_KEY)
