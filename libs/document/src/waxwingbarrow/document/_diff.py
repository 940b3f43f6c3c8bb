"""Differences between two service documents."""

import enum
from collections.abc import Iterator, Sequence
from typing import Any

import attrs

from waxwingbarrow.core import write_json
from waxwingbarrow.document._document import ServiceDocument


class Section(enum.StrEnum):
    """Part of a document to which a change belongs."""

    SERVICE = "service"
    LATENCY = "latency"
    ACCOUNT = "account"
    ROUTE = "route"
    VERSION = "version"
    ROLLOUT = "rollout"
    PLACEMENT = "placement"


@attrs.frozen
class Change:
    """A difference between an old and a new document.

    Parameters
    ----------
    section : Section
        Changed part of the document.
    name : str
        Name of the account, route, version or data centre; the target version of a
        rollout; empty for the service and its latency.
    """

    section: Section
    name: str


@attrs.frozen
class Added(Change):
    """An item that only the new document has."""


@attrs.frozen
class Removed(Change):
    """An item that only the old document has."""


@attrs.frozen
class Changed(Change):
    """A field whose value differs; `old` and `new` are its values as JSON."""

    field: str
    old: str
    new: str


# Field, section, and the field of an item by which items are matched.
_LIST_FIELDS = (
    ("accounts", Section.ACCOUNT, "account"),
    ("routes", Section.ROUTE, "route"),
    ("versions", Section.VERSION, "version"),
    ("placements", Section.PLACEMENT, "data_centre"),
)
_SCALAR_FIELDS = ("schema_version", "service", "kind", "stable_version")


def diff_documents(old: ServiceDocument, new: ServiceDocument) -> tuple[Change, ...]:
    """Return the changes that turn `old` into `new`; the order of lists is ignored."""
    return tuple(_find_changes(old, new))


def _find_changes(old: ServiceDocument, new: ServiceDocument) -> Iterator[Change]:
    yield from _compare_fields(Section.SERVICE, "", old, new, _SCALAR_FIELDS)
    yield from _compare_fields(
        Section.LATENCY, "", old.latency, new.latency, _list_field_names(new.latency)
    )
    for field, section, key in _LIST_FIELDS:
        yield from _compare_lists(
            section, key, getattr(old, field), getattr(new, field)
        )
    before, after = old.rollout, new.rollout
    match before, after:
        case None, None:
            return
        case None, added if added is not None:
            yield Added(Section.ROLLOUT, added.to_version)
        case removed, None if removed is not None:
            yield Removed(Section.ROLLOUT, removed.to_version)
        case _ if before is not None and after is not None:
            yield from _compare_fields(
                Section.ROLLOUT,
                after.to_version,
                before,
                after,
                _list_field_names(after),
            )


def _compare_lists(
    section: Section, key: str, old: Sequence[Any], new: Sequence[Any]
) -> Iterator[Change]:
    before = {getattr(item, key): item for item in old}
    after = {getattr(item, key): item for item in new}
    for name in sorted(before.keys() - after.keys()):
        yield Removed(section, name)
    for name in sorted(after.keys() - before.keys()):
        yield Added(section, name)
    for name in sorted(before.keys() & after.keys()):
        item = after[name]
        yield from _compare_fields(
            section, name, before[name], item, _list_field_names(item)
        )


def _compare_fields(
    section: Section, name: str, old: Any, new: Any, fields: Sequence[str]
) -> Iterator[Change]:
    for field in fields:
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            yield Changed(section, name, field, write_json(before), write_json(after))


def _list_field_names(item: Any) -> tuple[str, ...]:
    return tuple(attribute.name for attribute in attrs.fields(type(item)))
