"""Service documents: classes, schema, parsing and comparison."""

from waxwingbarrow.document._diff import (
    Added,
    Change,
    Changed,
    Removed,
    Section,
    diff_documents,
)
from waxwingbarrow.document._document import (
    AccountGrant,
    LatencyTarget,
    Placement,
    Rollout,
    Route,
    ServiceDocument,
    ServiceKind,
    Version,
)
from waxwingbarrow.document._fields import parse_timestamp_ms
from waxwingbarrow.document._reading import DocumentInvalid, read_document, to_json
from waxwingbarrow.document._schema import document_schema

__all__ = [
    "AccountGrant",
    "Added",
    "Change",
    "Changed",
    "DocumentInvalid",
    "LatencyTarget",
    "Placement",
    "Removed",
    "Rollout",
    "Route",
    "Section",
    "ServiceDocument",
    "ServiceKind",
    "Version",
    "diff_documents",
    "document_schema",
    "parse_timestamp_ms",
    "read_document",
    "to_json",
]
