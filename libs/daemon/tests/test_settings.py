"""Guards against invalid settings that are accepted or not named in the error."""

import json
from pathlib import Path

import attrs
import pytest

from waxwingbarrow.daemon import DEFAULTS, Settings, describe_settings, read_settings

REQUIRED = {
    "host_id": "host-1",
    "data_centre": "dc-a",
    "zone": "dc-a-1",
    "caller_address": "127.0.0.1:8000",
    "peer_address": "127.0.0.1:9000",
    "platform": {"log_address": "127.0.0.1:1", "hosts_address": "127.0.0.1:1"},
    "token_keys": [{"key_id": "k1", "secret": "s" * 32}],
}


def read_with_changes(tmp_path, **changes):
    path = tmp_path / "settings.json"
    data = {**REQUIRED, **changes}
    path.write_text(json.dumps({k: v for k, v in data.items() if v is not None}))
    return read_settings(path)


def test_required_settings_are_enough(tmp_path):
    settings = read_with_changes(tmp_path).unwrap()
    assert settings.gossip_interval_ms == DEFAULTS["gossip_interval_ms"]


@pytest.mark.parametrize(
    ("changes", "field", "allowed"),
    [
        ({"host_id": None}, "host_id", "required"),
        ({"host_id": "Host 1"}, "host_id", "a-z"),
        ({"caller_address": "localhost:80"}, "caller_address", "an IPv4 address"),
        ({"peers": ["x"]}, "peers", "an IPv4 address"),
        ({"peers": "10.0.0.1:1"}, "peers", "a list"),
        ({"gossip_interval_ms": 5}, "gossip_interval_ms", "100 to 60000 ms"),
        ({"gossip_interval_ms": "1000"}, "gossip_interval_ms", "a whole number"),
        ({"platform": {"log_address": "127.0.0.1:1"}}, "hosts_address", "required"),
        ({"token_keys": []}, "token_keys", "at least one"),
        ({"token_keys": [{"key_id": "k", "secret": "short"}]}, "secret", "32"),
        ({"operator_key_hashes": ["plain"]}, "operator_key_hashes", "sha256"),
        ({"log_level": "loud"}, "log_level", "debug, info"),
        ({"unknown_setting": 1}, "unknown_setting", "no such field"),
        ({"key_max_age_s": 86_400}, "key_max_age_s", "less than log_retention_s"),
    ],
)
def test_error_names_file_field_and_allowed_values(tmp_path, changes, field, allowed):
    failure = read_with_changes(tmp_path, **changes).unwrap_err()
    assert field in failure.field
    assert allowed in failure.allowed
    assert "settings.json" in failure.detail


@pytest.mark.parametrize("text", ["", "{", "[]", "\x00"])
def test_unreadable_file_is_a_typed_error(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_text(text)
    assert read_settings(path).is_err()


def test_missing_file_is_a_typed_error(tmp_path):
    assert read_settings(tmp_path / "none.json").is_err()


def test_secret_is_never_shown(tmp_path):
    settings = read_with_changes(tmp_path).unwrap()
    assert "s" * 32 not in repr(settings)
    bad = read_with_changes(
        tmp_path, token_keys=[{"key_id": "k", "secret": "hidden-secret"}]
    )
    assert "hidden-secret" not in bad.unwrap_err().detail


def test_every_default_belongs_to_a_setting():
    assert set(DEFAULTS) <= {field.name for field in attrs.fields(Settings)}


def test_settings_page_is_current():
    page = Path(__file__).parents[3] / "docs" / "settings.md"
    assert page.read_text() == describe_settings()
