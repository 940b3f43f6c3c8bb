"""Guards against errors in JSON texts that do not name the invalid field."""

import json

import attrs
import pytest

from waxwingbarrow.core import (
    AccountId,
    PriorityClass,
    in_range,
    matches,
    read_json,
    write_json,
)


@attrs.frozen
class Inner:
    account: AccountId
    rate_per_s: float = attrs.field(default=1.0, validator=in_range(0, 10, "per s"))


@attrs.frozen
class Outer:
    name: str = attrs.field(validator=matches("[a-z]+", "lower-case letters"))
    inners: tuple[Inner, ...] = ()
    only: Inner | None = None
    priority_class: PriorityClass = PriorityClass.BATCH
    count: int = 0


CASES = [
    ("{", "", "valid JSON"),
    ("[]", "", "an object"),
    ('{"count": 1}', "name", "required"),
    ('{"name": "A"}', "name", "lower-case"),
    ('{"name": "a", "count": true}', "count", "a whole number"),
    ('{"name": "a", "count": "1"}', "count", "a whole number"),
    ('{"name": "a", "other": 1}', "other", "no such field"),
    ('{"name": "a", "priority_class": "x"}', "priority_class", "one of interactive"),
    ('{"name": "a", "inners": [{"account": 1}]}', "inners[0].account", "text"),
    ('{"name": "a", "inners": [{}]}', "inners[0].account", "required"),
    ('{"name": "a", "inners": [1]}', "inners[0]", "an object"),
    ('{"name": "a", "inners": {"0": {"account": "x"}}}', "inners", "a list"),
    ('{"name": "a", "inners": "xy"}', "inners", "a list"),
    ("[" * 5_000, "", "valid JSON"),
    ('{"name": ' + "[" * 900 + "]" * 900 + "}", "name", "text"),
    (
        '{"name": "a", "only": {"account": "x", "rate_per_s": 11}}',
        "only.rate_per_s",
        "0 to 10 per s",
    ),
]


@pytest.mark.parametrize(("text", "field", "allowed"), CASES)
def test_error_names_invalid_field_and_allowed_values(text, field, allowed):
    failure = read_json(text, Outer, "settings.json").unwrap_err()
    assert failure.field == field
    assert allowed in failure.allowed
    assert "settings.json" in failure.detail


def test_object_is_equal_after_writing_and_reading():
    outer = Outer("a", (Inner(AccountId("x"), 2.0),), Inner(AccountId("y")))
    text = write_json(outer)
    assert read_json(text, Outer, "x").unwrap() == outer
    assert json.loads(text)["priority_class"] == "batch"
