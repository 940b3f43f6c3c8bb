"""Attribute definitions that carry their check, JSON Schema and description."""

import datetime
import functools
import re
from collections.abc import Iterator
from typing import Any

import attrs

from waxwingbarrow.core import ValueNotAllowedError, in_range, matches

SCHEMA = "schema"  # key of the JSON Schema members in an attribute's metadata
NAME_PATTERN = "[a-z0-9][a-z0-9-]{0,62}"
NAME_ALLOWED = "1 to 63 lower-case letters, digits and hyphens"
VERSION_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
VERSION_ALLOWED = "1 to 63 letters, digits, dots, hyphens and underscores"
MODEL_PATTERN = "[A-Za-z0-9][A-Za-z0-9._/-]{0,127}"
MODEL_ALLOWED = "1 to 128 letters, digits and the characters . _ / -"
KEY_HASH_PATTERN = "sha256:[0-9a-f]{64}"
KEY_HASH_ALLOWED = "sha256: followed by 64 lower-case hexadecimal digits"
INSTANT_PATTERN = (
    r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d{1,6})?(Z|[+-]\d\d:\d\d)"  # RFC 3339
)
INSTANT_ALLOWED = "an RFC 3339 time with an offset, such as 2027-03-01T08:00:00Z"


def text(pattern: str, allowed: str, help: str, **options: Any) -> Any:
    """Define a text attribute that fully matches a regular expression."""
    return attrs.field(
        validator=matches(pattern, allowed),
        metadata={SCHEMA: {"pattern": f"^({pattern})$", "description": help}},
        **options,
    )


def optional_text(pattern: str, allowed: str, help: str) -> Any:
    """Define a text attribute that may be absent."""
    return attrs.field(
        default=None,
        validator=attrs.validators.optional(matches(pattern, allowed)),
        metadata={SCHEMA: {"pattern": f"^({pattern})$", "description": help}},
    )


def number(low: float, high: float, unit: str, help: str, **options: Any) -> Any:
    """Define a numeric attribute within bounds, both included."""
    return attrs.field(
        validator=in_range(low, high, unit),
        metadata={SCHEMA: {"minimum": low, "maximum": high, "description": help}},
        **options,
    )


def described(help: str, **options: Any) -> Any:
    """Define an attribute whose type alone states what is allowed."""
    return attrs.field(metadata={SCHEMA: {"description": help}}, **options)


def listed(help: str, **options: Any) -> Any:
    """Define a list attribute with at least one item."""
    return attrs.field(
        validator=_check_not_empty,
        metadata={SCHEMA: {"minItems": 1, "description": help}},
        **options,
    )


def key_hashes(help: str) -> Any:
    """Define the list of key hashes of an account."""
    item = {"type": "string", "pattern": f"^({KEY_HASH_PATTERN})$"}
    return attrs.field(
        validator=[_check_not_empty, _check_key_hashes],
        metadata={SCHEMA: {"minItems": 1, "items": item, "description": help}},
    )


def instant(help: str) -> Any:
    """Define an RFC 3339 attribute."""
    return attrs.field(
        validator=_check_instant,
        metadata={SCHEMA: {"format": "date-time", "description": help}},
    )


@functools.lru_cache(maxsize=1024)  # a rollout's times are read for each decision
def parse_instant_ms(value: str) -> int:
    """Return the milliseconds since the Unix epoch of an RFC 3339 time.

    Raises
    ------
    ValueError
        If `value` is not an RFC 3339 time with an offset.

    Examples
    --------
    >>> parse_instant_ms("1970-01-01T01:00:01.5+01:00")
    1500
    """
    if not re.fullmatch(INSTANT_PATTERN, value, re.ASCII):
        raise ValueError(INSTANT_ALLOWED)
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


def _check_instant(_: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
    try:
        parse_instant_ms(value)
    except (ValueError, OverflowError) as error:
        raise ValueNotAllowedError(value, INSTANT_ALLOWED, attribute.name) from error
