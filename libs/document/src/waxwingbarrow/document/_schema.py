"""JSON Schema of a service document, generated from the attrs classes."""

import enum
import types
import typing
from typing import Any

import attrs

from waxwingbarrow.core import write_data
from waxwingbarrow.document._document import ServiceDocument
from waxwingbarrow.document._fields import SCHEMA_KEY, list_attributes

JSON_SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"


def document_schema() -> dict[str, Any]:
    """Return the JSON Schema (draft 2020-12) of a service document.

    It cannot express checks across fields, such as that `stable_version` is one of
    the versions; `read_document` makes them.
    """
    return {
        "$schema": JSON_SCHEMA_DIALECT,
        "$id": "urn:waxwingbarrow:service-document:1",
        "title": "Service document",
        **_describe_type(ServiceDocument),
    }


def _describe_type(kind: Any) -> dict[str, Any]:
    origin = typing.get_origin(kind)
    if origin in (types.UnionType, typing.Union):
        inner = next(
            option for option in typing.get_args(kind) if option is not type(None)
        )
        return {"anyOf": [_describe_type(inner), {"type": "null"}]}
    if origin is tuple:
        return {"type": "array", "items": _describe_type(typing.get_args(kind)[0])}
    kind = getattr(kind, "__supertype__", kind)
    if attrs.has(kind):
        return _describe_class(kind)
    if issubclass(kind, enum.Enum):
        return {"type": "string", "enum": [member.value for member in kind]}
    names = {str: "string", bool: "boolean", int: "integer", float: "number"}
    return {"type": names[kind]}


def _describe_class(kind: type) -> dict[str, Any]:
    properties = {}
    required = []
    for name, attribute in list_attributes(kind):
        schema = _describe_type(attribute.type) | attribute.metadata[SCHEMA_KEY]
        if "anyOf" in schema and "pattern" in schema:
            schema["anyOf"][0]["pattern"] = schema.pop("pattern")
        if attribute.default is attrs.NOTHING:
            required.append(name)
        else:
            schema["default"] = write_data(attribute.default)
        properties[name] = schema
    return {
        "type": "object",
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }
