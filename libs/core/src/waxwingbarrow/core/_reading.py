"""Strict conversion of JSON to attrs classes, with errors that name the field."""

import collections.abc
import enum
import json
import re
import typing
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs.errors import AttributeValidationNote, IterableValidationNote
from cattrs.gen import make_dict_structure_fn
from result import Err, Ok, Result

from waxwingbarrow.core._failures import Failure

T = TypeVar("T")
MAX_SHOWN_VALUE_CHARS = 60  # a rejected value may be a whole document


@attrs.frozen(kw_only=True)
class FieldInvalid(Failure):
    """A field of a JSON text has a value that is not allowed.

    Parameters
    ----------
    source : str
        File name or other origin of the text.
    field : str
        Path of the field, such as ``peers[2]``; empty for the whole text.
    value : str
        Rejected value as JSON, truncated; ``missing`` for a missing field.
    allowed : str
        Description of the allowed values.
    """

    source: str
    field: str
    value: str
    allowed: str

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        field = self.field or "the text"
        return f"{self.source}: {field} is {self.value}; allowed is {self.allowed}."


class ValueNotAllowedError(ValueError):
    """Raised by validators and structure hooks; a hook may not know the `field`."""

    def __init__(self, value: object, allowed: str, field: str = "") -> None:
        super().__init__(allowed)
        self.value = value
        self.allowed = allowed
        self.field = field


Validator = Callable[[Any, "attrs.Attribute[Any]", Any], None]


def in_range(low: float, high: float, unit: str = "") -> Validator:
    """Return a validator for a number from `low` to `high`, both included."""

    def validate(_: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
        if not low <= value <= high:
            allowed = f"{low} to {high} {unit}".rstrip()
            raise ValueNotAllowedError(value, allowed, attribute.name)

    return validate


def matches(pattern: str, allowed: str, *, is_secret: bool = False) -> Validator:
    """Return a validator for text that fully matches a regular expression.

    Parameters
    ----------
    pattern : str
        Regular expression.
    allowed : str
        Description of the allowed values, for the error.
    is_secret : bool
        Whether the value must not appear in the error.
    """
    compiled = re.compile(pattern)

    def validate(_: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
        if not compiled.fullmatch(value):
            shown = "(not shown)" if is_secret else value
            raise ValueNotAllowedError(shown, allowed, attribute.name)

    return validate


def not_empty(allowed: str) -> Validator:
    """Return a validator for a list with at least one item."""

    def validate(_: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
        if not value:
            raise ValueNotAllowedError([], allowed, attribute.name)

    return validate


def parse_json(text: str | bytes) -> Any:
    """Parse a JSON text of another process.

    Raises
    ------
    ValueError
        The text is not JSON, or nested too deep for the parser.

    Examples
    --------
    >>> parse_json("[1]")
    [1]
    >>> parse_json("[" * 100_000)
    Traceback (most recent call last):
    ValueError: nested too deep
    """
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError("nested too deep") from None


def read_json(text: str, kind: type[T], source: str) -> Result[T, FieldInvalid]:
    """Convert a JSON text to an object of an attrs class.

    Unknown fields, missing fields and values of another type are errors. A value is
    never coerced to another type, except a whole number to a float.

    Parameters
    ----------
    text : str
        JSON text.
    kind : type
        The attrs class.
    source : str
        File name or other origin, for error messages.

    Returns
    -------
    Result
        The object, or the first invalid field.
    """
    try:
        data = parse_json(text)
    except ValueError as error:
        allowed = f"valid JSON ({error})"
        value = _truncate(text)
        return Err(FieldInvalid(source=source, field="", value=value, allowed=allowed))
    return read_data(data, kind, source)


def read_data(data: Any, kind: type[T], source: str) -> Result[T, FieldInvalid]:
    """Convert parsed JSON to an object of an attrs class; see `read_json`."""
    try:
        return Ok(_CONVERTER.structure(data, kind))
    except Exception as error:
        return Err(_find_invalid_field(error, data, source, ""))


def write_data(value: Any) -> Any:
    """Convert an attrs object to parsed JSON."""
    return _CONVERTER.unstructure(value)


def write_json(value: Any) -> str:
    """Return an attrs object as compact JSON text with sorted keys."""
    return json.dumps(write_data(value), sort_keys=True, separators=(",", ":"))


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)

    def make_type_hook(kind: type, allowed: str) -> Callable[[Any, Any], Any]:
        def structure(value: Any, _: Any) -> Any:
            # In Python, bool is a subclass of int; in JSON, true is not a number.
            if not isinstance(value, kind) or (
                isinstance(value, bool) and kind is not bool
            ):
                raise ValueNotAllowedError(value, allowed)
            return value

        return structure

    def structure_float(value: Any, _: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueNotAllowedError(value, "a number")
        return float(value)

    def structure_enum(value: Any, kind: type[enum.Enum]) -> enum.Enum:
        values = [str(member.value) for member in kind]
        if not isinstance(value, str) or value not in values:
            raise ValueNotAllowedError(value, "one of " + ", ".join(values))
        return kind(value)

    structure_plain_text = make_type_hook(str, "text")

    def structure_text(value: Any, kind: Any) -> Any:
        # cattrs also calls the hook for str for subclasses of StrEnum.
        if isinstance(kind, type) and issubclass(kind, enum.Enum):
            return structure_enum(value, kind)
        return structure_plain_text(value, kind)

    converter.register_structure_hook(int, make_type_hook(int, "a whole number"))
    converter.register_structure_hook(str, structure_text)
    converter.register_structure_hook(bool, make_type_hook(bool, "true or false"))
    converter.register_structure_hook(float, structure_float)

    def make_object_hook(kind: type) -> Callable[[Any, Any], Any]:
        structure: Callable[[Any, Any], Any] = make_dict_structure_fn(
            kind, converter, _cattrs_forbid_extra_keys=True
        )

        containers: dict[str, tuple[type, str]] = {}

        def structure_checked(value: Any, target: Any) -> Any:
            if not isinstance(value, dict):
                raise ValueNotAllowedError(value, "an object")
            if not containers:
                containers.update(_find_container_types(kind))
            # cattrs accepts any iterable as a list, such as the characters of a text.
            for field, (container_type, allowed) in containers.items():
                if field in value and not isinstance(value[field], container_type):
                    raise ValueNotAllowedError(value[field], allowed, field)
            return structure(value, target)

        return structure_checked

    converter.register_structure_hook_factory(attrs.has, make_object_hook)
    return converter


def _find_container_types(kind: type) -> dict[str, tuple[type, str]]:
    """Return the fields of a class that must hold a JSON array or a JSON object.

    The entry for the empty name accepts any value. It makes the result non-empty, so
    that `make_object_hook` computes it only once.
    """
    container_types: dict[str, tuple[type, str]] = {"": (object, "")}
    for name, hint in typing.get_type_hints(kind).items():
        origin = typing.get_origin(hint)
        if origin in (tuple, list, set, frozenset, collections.abc.Sequence):
            container_types[name] = (list, "a list")
        elif origin in (dict, collections.abc.Mapping):
            container_types[name] = (dict, "an object")
    return container_types


def _format_value(value: Any) -> str:
    try:
        return _truncate(json.dumps(value))
    except RecursionError:
        return "a deeply nested value"


def _find_invalid_field(
    error: Exception, data: Any, source: str, path: str
) -> FieldInvalid:
    """Return the first invalid field of a cattrs error, which may be nested."""
    if isinstance(error, cattrs.BaseValidationError):
        nested_error = error.exceptions[0]
        step, child = _find_child(nested_error, data)
        separator = "." if path and step and not step.startswith("[") else ""
        return _find_invalid_field(nested_error, child, source, path + separator + step)
    field, value, allowed = path, data, "a value of another form"
    match error:
        case ValueNotAllowedError():
            separator = "." if path and error.field else ""
            field, value = path + separator + error.field, error.value
            allowed = error.allowed
        case cattrs.ForbiddenExtraKeysError():
            extra_field = sorted(error.extra_fields)[0]
            separator = "." if path else ""
            field, allowed = f"{path}{separator}{extra_field}", "no such field"
            value = data.get(extra_field) if isinstance(data, dict) else data
        case KeyError():
            separator = "." if path else ""
            field, value = f"{path}{separator}{error.args[0]}", None
            allowed = "a value (the field is required)"
    return FieldInvalid(
        source=source,
        field=field,
        value="missing" if isinstance(error, KeyError) else _format_value(value),
        allowed=allowed,
    )


def _find_child(error: BaseException, data: Any) -> tuple[str, Any]:
    """Return the path and the value of the item or field that caused a cattrs error.

    The path is empty and the value is `data` if the error concerns `data` itself.
    """
    for note in getattr(error, "__notes__", ()):
        match note:
            case IterableValidationNote(index=index):
                child: Any = data
                child = child[index] if isinstance(data, dict | list) else data
                return f"[{index}]", child
            case AttributeValidationNote(name=name):
                if isinstance(error, KeyError) and error.args == (name,):
                    return "", data
                return name, data.get(name) if isinstance(data, dict) else data
    return "", data


def _truncate(text: str) -> str:
    if len(text) <= MAX_SHOWN_VALUE_CHARS:
        return text
    return text[: MAX_SHOWN_VALUE_CHARS - 3] + "..."


_CONVERTER = _make_converter()
