"""Parsing, validation and serialization of service documents."""

import json
import typing
from collections.abc import Iterator
from typing import Any

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import FieldInvalid, read_data, write_data
from waxwingbarrow.document._document import ServiceDocument, ServiceKind
from waxwingbarrow.document._fields import list_attributes

MAX_DOCUMENT_BYTES = 1_048_576  # a document must fit into one log record


@attrs.frozen(kw_only=True)
class DocumentInvalid(FieldInvalid):
    """A service document with a field that is not valid."""


class _DuplicateFieldError(ValueError):
    """A JSON object has two fields of one name; the message is the name."""


def read_document(
    text: str, source: str = "document"
) -> Result[ServiceDocument, DocumentInvalid]:
    """Parse and validate a service document.

    Parameters
    ----------
    text : str
        JSON text.
    source : str
        File name or other origin, for error messages.

    Returns
    -------
    Result
        The document, or the first invalid field with its value and the allowed ones.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        return _reject(source, "", len(text), f"at most {MAX_DOCUMENT_BYTES} bytes")
    try:
        data = json.loads(text, object_pairs_hook=_reject_duplicates)
    except _DuplicateFieldError as error:
        return _reject(source, str(error), "given twice", "each field once")
    except RecursionError:
        return _reject(source, "", "too deeply nested", "the fields of a document")
    except ValueError as error:
        return _reject(source, "", text[:40], f"valid JSON ({error})")
    for field, value, allowed in _find_non_lists(data, ServiceDocument, ""):
        return _reject(source, field, value, allowed)
    read = read_data(data, ServiceDocument, source)
    if isinstance(read, Err):
        failure = read.err_value
        return Err(DocumentInvalid(**attrs.asdict(failure)))
    for field, value, allowed in _find_conflicts(read.ok_value):
        return _reject(source, field, value, allowed)
    return Ok(read.ok_value)


def to_json(document: ServiceDocument) -> str:
    """Return the document as indented JSON that `read_document` reads back."""
    return json.dumps(write_data(document), indent=2) + "\n"


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        names = [name for name, _ in pairs]
        raise _DuplicateFieldError(
            next(name for name in names if names.count(name) > 1)
        )
    return found


def _reject(
    source: str, field: str, value: object, allowed: str
) -> Err[DocumentInvalid]:
    shown = json.dumps(value)
    return Err(
        DocumentInvalid(source=source, field=field, value=shown, allowed=allowed)
    )


InvalidValue = tuple[str, object, str]  # path of the field, value, allowed values


def _find_non_lists(data: Any, kind: type, path: str) -> Iterator[InvalidValue]:
    """Find fields that must be a list, but hold another type.

    The converter accepts any iterable as a list, such as the characters of a text or
    the field names of an object. The error shows the type in place of the value, which
    may be a secret key.
    """
    if not isinstance(data, dict):
        return
    for name, attribute in list_attributes(kind):
        if name not in data or typing.get_origin(attribute.type) is not tuple:
            continue
        value, field = data[name], f"{path}{name}"
        if not isinstance(value, list):
            yield field, type(value).__name__, "a list"
            continue
        item_kind = typing.get_args(attribute.type)[0]
        if attrs.has(item_kind):
            for index, item in enumerate(value):
                yield from _find_non_lists(item, item_kind, f"{field}[{index}].")


def _find_conflicts(document: ServiceDocument) -> Iterator[InvalidValue]:
    """Find values that are valid on their own, but not with the other fields."""
    yield from _find_duplicates(document)
    yield from _find_kind_conflicts(document)
    yield from _find_version_conflicts(document)
    if not any(placement.workers for placement in document.placements):
        yield "placements", 0, "at least one worker in all data centres together"


def _find_duplicates(document: ServiceDocument) -> Iterator[InvalidValue]:
    names: tuple[tuple[str, str, list[str]], ...] = (
        ("accounts", "account", [grant.account for grant in document.accounts]),
        ("routes", "route", [route.route for route in document.routes]),
        ("versions", "version", [version.version for version in document.versions]),
        (
            "placements",
            "data_centre",
            [placement.data_centre for placement in document.placements],
        ),
    )
    for section, field, found in names:
        for index, name in enumerate(found):
            if name in found[:index]:
                yield f"{section}[{index}].{field}", name, "a name not used before"
    seen_hashes: set[str] = set()
    for index, grant in enumerate(document.accounts):
        if len(set(grant.classes)) < len(grant.classes):
            yield f"accounts[{index}].classes", grant.classes, "each class once"
        for position, key_hash in enumerate(grant.key_hashes):
            if key_hash in seen_hashes:
                # A key that two accounts share does not identify the caller.
                yield (
                    f"accounts[{index}].key_hashes[{position}]",
                    key_hash,
                    "a hash not used before",
                )
            seen_hashes.add(key_hash)


def _find_kind_conflicts(document: ServiceDocument) -> Iterator[InvalidValue]:
    is_model = document.kind is ServiceKind.MODEL
    for index, grant in enumerate(document.accounts):
        if is_model and grant.tokens_per_s <= 0:
            field = f"accounts[{index}].tokens_per_s"
            yield field, grant.tokens_per_s, "more than 0 for a model service"
        if not is_model and grant.tokens_per_s > 0:
            field = f"accounts[{index}].tokens_per_s"
            yield field, grant.tokens_per_s, "0 for a plain service"
    for index, route in enumerate(document.routes):
        if is_model and route.max_output_tokens < 1:
            field = f"routes[{index}].max_output_tokens"
            yield field, route.max_output_tokens, "at least 1 for a model service"
        if not is_model and route.max_output_tokens > 0:
            field = f"routes[{index}].max_output_tokens"
            yield field, route.max_output_tokens, "0 for a plain service"
        if is_model and not route.repeatable:
            # After the loss of its engine, a stream continues on another one, which
            # generates the response again.
            yield f"routes[{index}].repeatable", False, "true for a model service"
    for index, version in enumerate(document.versions):
        if is_model and version.model is None:
            yield f"versions[{index}].model", None, "a model for a model service"
        if not is_model and version.model is not None:
            yield f"versions[{index}].model", version.model, "null for a plain service"


def _find_version_conflicts(document: ServiceDocument) -> Iterator[InvalidValue]:
    names = [version.version for version in document.versions]
    allowed = "one of " + ", ".join(names)
    if document.stable_version not in names:
        yield "stable_version", document.stable_version, allowed
    rollout = document.rollout
    if rollout is None:
        return
    if rollout.to_version not in names:
        yield "rollout.to_version", rollout.to_version, allowed
    if rollout.from_version != document.stable_version:
        yield (
            "rollout.from_version",
            rollout.from_version,
            f"the stable version, {document.stable_version}",
        )
    if rollout.to_version == rollout.from_version:
        yield "rollout.to_version", rollout.to_version, "another than from_version"
    if rollout.finish_by_ms <= rollout.start_ms:
        yield "rollout.finish_by", rollout.finish_by, f"later than {rollout.start}"
