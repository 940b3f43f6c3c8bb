"""Definitions of attrs attributes with validator, JSON Schema and description."""

import datetime
import functools
import re
from collections.abc import Iterator
from typing import Any

import attrs

from waxwingbarrow.core import ValueNotAllowedError, in_range, matches

SCHEMA_KEY = "schema"  # key of an attribute's JSON Schema keywords in its metadata
NAME_PATTERN = "[a-z0-9][a-z0-9-]{0,62}"
NAME_ALLOWED = "1 to 63 lower-case letters, digits and hyphens"
VERSION_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
VERSION_ALLOWED = "1 to 63 letters, digits, dots, hyphens and underscores"
MODEL_PATTERN = "[A-Za-z0-9][A-Za-z0-9._/-]{0,127}"
MODEL_ALLOWED = "1 to 128 letters, digits and the characters . _ / -"
KEY_HASH_PATTERN = "sha256:[0-9a-f]{64}"
KEY_HASH_ALLOWED = "sha256: followed by 64 lower-case hexadecimal digits"
TIMESTAMP_PATTERN = (
    r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d{1,6})?(Z|[+-]\d\d:\d\d)"  # RFC 3339
)
TIMESTAMP_ALLOWED = "an RFC 3339 time with an offset, such as 2027-03-01T08:00:00Z"


def text(pattern: str, allowed: str, description: str, **options: Any) -> Any:
    """Define a text attribute that must fully match a regular expression."""
    return attrs.field(
        validator=matches(pattern, allowed),
        metadata={
            SCHEMA_KEY: {"pattern": f"^({pattern})$", "description": description}
        },
        **options,
    )


def optional_text(pattern: str, allowed: str, description: str) -> Any:
    """Define an optional text attribute that must fully match a regular expression."""
    return attrs.field(
        default=None,
        validator=attrs.validators.optional(matches(pattern, allowed)),
        metadata={
            SCHEMA_KEY: {"pattern": f"^({pattern})$", "description": description}
        },
    )


def number(low: float, high: float, unit: str, description: str, **options: Any) -> Any:
    """Define a numeric attribute within bounds, both included."""
    return attrs.field(
        validator=in_range(low, high, unit),
        metadata={
            SCHEMA_KEY: {"minimum": low, "maximum": high, "description": description}
        },
        **options,
    )


def typed(description: str, **options: Any) -> Any:
    """Define an attribute that is validated by its type only."""
    return attrs.field(metadata={SCHEMA_KEY: {"description": description}}, **options)


def non_empty_list(description: str, **options: Any) -> Any:
    """Define a list attribute that must have at least one item."""
    return attrs.field(
        validator=_check_not_empty,
        metadata={SCHEMA_KEY: {"minItems": 1, "description": description}},
        **options,
    )


def key_hashes(description: str) -> Any:
    """Define the attribute for the key hashes of an account."""
    item = {"type": "string", "pattern": f"^({KEY_HASH_PATTERN})$"}
    return attrs.field(
        validator=[_check_not_empty, _check_key_hashes],
        metadata={
            SCHEMA_KEY: {"minItems": 1, "items": item, "description": description}
        },
    )


def timestamp(description: str) -> Any:
    """Define a text attribute that must be an RFC 3339 time with an offset."""
    return attrs.field(
        validator=_check_timestamp,
        metadata={SCHEMA_KEY: {"format": "date-time", "description": description}},
    )


@functools.lru_cache(maxsize=1024)  # each rollout decision parses the rollout's times
def parse_timestamp_ms(value: str) -> int:
    """Return the milliseconds since the Unix epoch of an RFC 3339 time.

    Raises
    ------
    ValueError
        If `value` is not an RFC 3339 time with an offset.

    Examples
    --------
    >>> parse_timestamp_ms("1970-01-01T01:00:01.5+01:00")
    1500
    """
    if not re.fullmatch(TIMESTAMP_PATTERN, value, re.ASCII):
        raise ValueError(TIMESTAMP_ALLOWED)
    parsed = datetime.datetime.fromisoformat(value)
    epoch = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
    return (parsed - epoch) // datetime.timedelta(milliseconds=1)


def list_attributes(kind: type) -> Iterator[tuple[str, "attrs.Attribute[Any]"]]:
    """Yield the name and definition of each attribute, with resolved types."""
    attrs.resolve_types(kind)
    for attribute in attrs.fields(kind):
        yield attribute.name, attribute


def _check_not_empty(_: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
    if not value:
        raise ValueNotAllowedError(list(value), "at least one item", attribute.name)


def _check_key_hashes(_: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
    for index, item in enumerate(value):
        if not re.fullmatch(KEY_HASH_PATTERN, item):
            # The rejected text may be a key that was entered in place of its hash.
            raise ValueNotAllowedError(
                "hidden", KEY_HASH_ALLOWED, f"{attribute.name}[{index}]"
            )


def _check_timestamp(_: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
    try:
        parse_timestamp_ms(value)
    except (ValueError, OverflowError) as error:
        raise ValueNotAllowedError(value, TIMESTAMP_ALLOWED, attribute.name) from error
