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
OLD, NEW = ResumeKey("k1", b"1" * 32), ResumeKey("k2", b"2" * 32)
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
SEALED = sign_token(TOKEN, ResumeKeys(OLD))

ROTATION_CASES = [
    (ResumeKeys(OLD), True),
    (ResumeKeys(OLD, (NEW,)), True),
    (ResumeKeys(NEW, (OLD,)), True),
    (ResumeKeys(NEW), False),
    (ResumeKeys(ResumeKey("k1", b"3" * 32)), False),  # same name, other secret
]


@pytest.mark.parametrize(("keys", "opens"), ROTATION_CASES)
def test_token_outlives_a_rotation_but_not_the_removal_of_its_key(keys, opens):
    result = verify_token(SEALED, ACCOUNT, keys, NOW)
    assert result == Ok(TOKEN) if opens else isinstance(result, Err)


def swap_part(position, part):
    parts = SEALED.split(".")
    parts[position] = part
    return ".".join(parts)


OTHER = sign_token(attrs.evolve(TOKEN, stream_id="s2"), ResumeKeys(OLD)).split(".")
REJECTED = {
    "empty": ("", ACCOUNT, NOW, "malformed"),
    "not a token": ("abc", ACCOUNT, NOW, "malformed"),
    "too long": (SEALED + "A" * 5_000, ACCOUNT, NOW, "malformed"),
    "other format": (swap_part(0, "r2"), ACCOUNT, NOW, "format"),
    "unknown key": (swap_part(1, "k9"), ACCOUNT, NOW, "not issued"),
    "other body": (swap_part(2, OTHER[2]), ACCOUNT, NOW, "not issued"),
    "other code": (swap_part(3, OTHER[3]), ACCOUNT, NOW, "not issued"),
    "no code": (swap_part(3, ""), ACCOUNT, NOW, "not issued"),
    "code that is not ASCII": (swap_part(3, "é\udc80"), ACCOUNT, NOW, "not issued"),
    "body that is not ASCII": (swap_part(2, "é\udc80"), ACCOUNT, NOW, "not issued"),
    "other account": (SEALED, AccountId("a2"), NOW, "another account"),
    "prefix of the account": (SEALED, AccountId("a"), NOW, "another account"),
    "expired": (SEALED, ACCOUNT, Instant(TOKEN.expires_ms, 0), "expired"),
}


@pytest.mark.parametrize("name", REJECTED)
def test_invalid_token_is_rejected_with_its_reason(name):
    text, account, now, reason = REJECTED[name]
    result = verify_token(text, account, ResumeKeys(OLD), now)
    assert isinstance(result, Err)
    assert reason in result.err_value.detail
    assert result.err_value.outcome is Outcome.NOT_RUN


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.integers(0, len(SEALED) - 1), st.characters())
def test_no_changed_character_is_accepted(position, character):
    changed = SEALED[:position] + character + SEALED[position + 1 :]
    result = verify_token(changed, ACCOUNT, ResumeKeys(OLD), NOW)
    assert isinstance(result, Ok) == (changed == SEALED)


def test_authentic_token_of_another_shape_is_rejected():
    @attrs.frozen
    class Other:
        account: str

    sealed = sign_token(Other("a1"), ResumeKeys(OLD))
    result = verify_token(sealed, ACCOUNT, ResumeKeys(OLD), NOW)
    assert "content is not valid" in result.err_value.detail


INVALID_KEYS = [("", b"1" * 32), ("a.b", b"1" * 32), ("k1", b"1" * 31)]


@pytest.mark.parametrize(("key_id", "secret"), INVALID_KEYS)
def test_unusable_key_is_an_error(key_id, secret):
    with pytest.raises(ValueError, match=r"A (key id|secret) has"):
        ResumeKey(key_id, secret)


def test_two_keys_of_one_name_are_an_error():
    with pytest.raises(ValueError, match="same key id"):
        ResumeKeys(OLD, (ResumeKey("k1", b"3" * 32),))


def test_secret_does_not_appear_in_texts():
    assert "1111" not in repr(OLD)
