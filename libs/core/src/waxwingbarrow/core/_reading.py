"""Strict reading of JSON text into attrs classes, with errors that name the field."""

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
SHOWN_VALUE_CHARS = 60  # a rejected value may be a whole document


@attrs.frozen(kw_only=True)
class FieldInvalid(Failure):
    """A field of a JSON text does not hold an allowed value.

    Parameters
    ----------
    source : str
        File name or other origin of the text.
    field : str
        Path of the field, such as ``peers[2]``; empty for the whole text.
    value : str
        Shortened JSON form of the value that was found.
    allowed : str
        What the field may hold.
    """

    source: str
    field: str
    value: str
    allowed: str

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        field = self.field or "the text"
        return f"{self.source}: {field} is {self.value}; allowed is {self.allowed}."


class ValueNotAllowedError(ValueError):
    """Raised by a validator or a structure hook; `field` is set by validators."""

    def __init__(self, value: object, allowed: str, field: str = "") -> None:
        super().__init__(allowed)
        self.value = value
        self.allowed = allowed
        self.field = field


Validator = Callable[[Any, "attrs.Attribute[Any]", Any], None]


def in_range(low: float, high: float, unit: str = "") -> Validator:
    """Return a validator for a number between `low` and `high`, both included."""

    def validate(_: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
        if not low <= value <= high:
            allowed = f"{low} to {high} {unit}".rstrip()
            raise ValueNotAllowedError(value, allowed, attribute.name)

    return validate


def matches(pattern: str, allowed: str, *, is_secret: bool = False) -> Validator:
    """Return a validator for text that fully matches a regular expression.

    Parameters
    ----------
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
    """Return a validator for a list with at least one member."""

    def validate(_: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
        if not value:
            raise ValueNotAllowedError([], allowed, attribute.name)

    return validate


def read_json(text: str, kind: type[T], source: str) -> Result[T, FieldInvalid]:
    """Read a JSON text into an attrs class.

    Unknown fields, missing fields and values of another type are errors; nothing is
    converted silently.

    Parameters
    ----------
    text : str
        JSON text.
    kind : type
        The attrs class to build.
    source : str
        File name or other origin, for error messages.

    Returns
    -------
    Result
        The object, or the first invalid field.
    """
    try:
        data = json.loads(text)
    except (ValueError, RecursionError) as error:
        allowed = f"valid JSON ({error})"
        value = _shorten(text)
        return Err(FieldInvalid(source=source, field="", value=value, allowed=allowed))
    return read_data(data, kind, source)


def read_data(data: Any, kind: type[T], source: str) -> Result[T, FieldInvalid]:
    """Read parsed JSON into an attrs class; see `read_json`."""
    try:
        return Ok(_CONVERTER.structure(data, kind))
    except Exception as error:
        return Err(_locate(error, data, source, ""))


def write_data(value: Any) -> Any:
    """Return the parsed JSON form of an attrs object."""
    return _CONVERTER.unstructure(value)


def write_json(value: Any) -> str:
    """Return the JSON text of an attrs object, with sorted keys."""
    return json.dumps(write_data(value), sort_keys=True, separators=(",", ":"))


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)

    def exactly(kind: type, allowed: str) -> Callable[[Any, Any], Any]:
        def structure(value: Any, _: Any) -> Any:
            # bool is a subclass of int, but true is not a number in JSON.
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

    structure_plain_text = exactly(str, "text")

    def structure_text(value: Any, kind: Any) -> Any:
        # The hook for str is also called for enumerations of text.
        if isinstance(kind, type) and issubclass(kind, enum.Enum):
            return structure_enum(value, kind)
        return structure_plain_text(value, kind)

    converter.register_structure_hook(int, exactly(int, "a whole number"))
    converter.register_structure_hook(str, structure_text)
    converter.register_structure_hook(bool, exactly(bool, "true or false"))
    converter.register_structure_hook(float, structure_float)

    def structure_object(kind: type) -> Callable[[Any, Any], Any]:
        structure: Callable[[Any, Any], Any] = make_dict_structure_fn(
            kind, converter, _cattrs_forbid_extra_keys=True
        )

        containers: dict[str, tuple[type, str]] = {}

        def checked(value: Any, target: Any) -> Any:
            if not isinstance(value, dict):
                raise ValueNotAllowedError(value, "an object")
            if not containers:
                containers.update(_list_containers(kind))
            # cattrs takes any iterable as a list, such as the characters of a text.
            for field, (form, allowed) in containers.items():
                if field in value and not isinstance(value[field], form):
                    raise ValueNotAllowedError(value[field], allowed, field)
            return structure(value, target)

        return checked

    converter.register_structure_hook_factory(attrs.has, structure_object)
    return converter


def _list_containers(kind: type) -> dict[str, tuple[type, str]]:
    """Return the fields of a class that hold a list or an object of any keys."""
    found: dict[str, tuple[type, str]] = {"": (object, "")}
    for name, hint in typing.get_type_hints(kind).items():
        origin = typing.get_origin(hint)
        if origin in (tuple, list, set, frozenset, collections.abc.Sequence):
            found[name] = (list, "a list")
        elif origin in (dict, collections.abc.Mapping):
            found[name] = (dict, "an object")
    return found


def _show(value: Any) -> str:
    try:
        return _shorten(json.dumps(value))
    except RecursionError:
        return "a deeply nested value"


def _locate(error: Exception, data: Any, source: str, path: str) -> FieldInvalid:
    """Descend into nested cattrs errors to the first field that is wrong."""
    if isinstance(error, cattrs.BaseValidationError):
        inner = error.exceptions[0]
        step, child = _find_child(inner, data)
        joint = "." if path and step and not step.startswith("[") else ""
        return _locate(inner, child, source, path + joint + step)
    field, value, allowed = path, data, "a value of another form"
    match error:
        case ValueNotAllowedError():
            joint = "." if path and error.field else ""
            field, value = path + joint + error.field, error.value
            allowed = error.allowed
        case cattrs.ForbiddenExtraKeysError():
            extra = sorted(error.extra_fields)[0]
            joint = "." if path else ""
            field, allowed = f"{path}{joint}{extra}", "no such field"
            value = data.get(extra) if isinstance(data, dict) else data
        case KeyError():
            joint = "." if path else ""
            field, value = f"{path}{joint}{error.args[0]}", None
            allowed = "a value (the field is required)"
    return FieldInvalid(
        source=source,
        field=field,
        value="missing" if isinstance(error, KeyError) else _show(value),
        allowed=allowed,
    )


def _find_child(error: BaseException, data: Any) -> tuple[str, Any]:
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


def _shorten(text: str) -> str:
    if len(text) <= SHOWN_VALUE_CHARS:
        return text
    return text[: SHOWN_VALUE_CHARS - 3] + "..."


_CONVERTER = _make_converter()
