"""Compact JSON encoding of evidence and withdrawals for gossip."""

from collections.abc import Iterable
from itertools import groupby
from typing import Any, TypeVar

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import (
    FieldInvalid,
    HostId,
    Incarnation,
    RouteName,
    ServiceName,
    ValueNotAllowedError,
    VersionName,
    read_json,
    write_json,
)
from waxwingbarrow.rollout._evidence import (
    BUCKET_COUNT,
    EvidenceKey,
    LatencyCount,
    OriginEvidence,
    RouteEvidence,
)
from waxwingbarrow.rollout._schedule import WINDOW_COUNT
from waxwingbarrow.rollout._withdrawals import Withdrawals

T = TypeVar("T")
MAX_COUNT = 10**12  # much larger counts overflow the floats of the sequential test
ROW_HEAD_LENGTH = 4  # window, requests, failures, wrong lengths
ROW_FORMAT = (
    "window, requests, failures, wrong lengths, then bucket and count pairs in order "
    "of the bucket; failures, wrong lengths and counts add up to requests"
)


def _check_rows(_: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
    if not isinstance(value, list):
        raise ValueNotAllowedError(type(value).__name__, "a list", attribute.name)
    for index, row in enumerate(value):
        if not (isinstance(row, list) and _is_valid_row(row)):
            field = f"{attribute.name}[{index}]"
            raise ValueNotAllowedError(row, ROW_FORMAT, field)


def _is_valid_row(row: list[Any]) -> bool:
    if len(row) < ROW_HEAD_LENGTH or len(row) % 2:
        return False
    if set(map(type, row)) != {int}:
        return False
    if min(row) < 0 or max(row) > MAX_COUNT:
        return False
    window, requests, failures, wrong_lengths = row[:ROW_HEAD_LENGTH]
    buckets, counts = row[ROW_HEAD_LENGTH::2], row[ROW_HEAD_LENGTH + 1 :: 2]
    return (
        window < WINDOW_COUNT
        and failures + wrong_lengths + sum(counts) == requests
        and buckets == sorted(set(buckets))
        and (not buckets or buckets[-1] < BUCKET_COUNT)
    )


@attrs.frozen
class _WireRoute:
    version: VersionName
    route: RouteName
    # Validated by `_check_rows` instead of the generic converter, which takes several
    # times as long; every host decodes the payloads of all other hosts.
    rows: Any = attrs.field(validator=_check_rows)


@attrs.frozen
class _WireEvidence:
    service: ServiceName
    revision: int
    origin: HostId
    incarnation: Incarnation
    sequence: int
    routes: tuple[_WireRoute, ...]


def encode_evidence(evidence: OriginEvidence) -> bytes:
    """Encode one origin's evidence as a gossip payload."""
    key = evidence.key
    wire = _WireEvidence(
        key.service,
        key.revision,
        key.origin,
        key.incarnation,
        evidence.sequence,
        tuple(_group_routes(evidence.routes)),
    )
    return write_json(wire).encode()


def decode_evidence(payload: bytes) -> Result[OriginEvidence, FieldInvalid]:
    """Decode a gossip payload; a malformed payload is rejected as a whole."""
    read = _read_payload(payload, _WireEvidence, "evidence")
    if isinstance(read, Err):
        return read
    wire = read.ok_value
    key = EvidenceKey(wire.service, wire.revision, wire.origin, wire.incarnation)
    routes = (
        _read_row(item.version, item.route, row)
        for item in wire.routes
        for row in item.rows
    )
    return Ok(OriginEvidence(key, wire.sequence, tuple(routes)))


def encode_withdrawals(withdrawals: Withdrawals) -> bytes:
    """Encode a set of withdrawals as a gossip payload."""
    return write_json(withdrawals).encode()


def decode_withdrawals(payload: bytes) -> Result[Withdrawals, FieldInvalid]:
    """Decode a gossip payload of withdrawals."""
    return _read_payload(payload, Withdrawals, "withdrawals")


def _read_payload(
    payload: bytes, kind: type[T], source: str
) -> Result[T, FieldInvalid]:
    try:
        return read_json(payload.decode(errors="replace"), kind, source)
    except (LookupError, RecursionError):
        # `read_json` raises KeyError for an object in place of a list, and
        # RecursionError for a deeply nested payload.
        allowed = "a JSON document with the documented fields"
        return Err(FieldInvalid(source=source, field="", value="...", allowed=allowed))


def _group_routes(routes: Iterable[RouteEvidence]) -> Iterable[_WireRoute]:
    ordered = sorted(routes, key=lambda item: (item.version, item.route, item.window))
    groups = groupby(ordered, key=lambda item: (item.version, item.route))
    for (version, route), items in groups:
        yield _WireRoute(version, route, [_write_row(item) for item in items])


def _write_row(item: RouteEvidence) -> list[int]:
    head = [item.window, item.requests, item.failures, item.wrong_lengths]
    pairs = ((latency.bucket, latency.count) for latency in item.latency_buckets)
    return head + [number for pair in pairs for number in pair]


def _read_row(version: VersionName, route: RouteName, row: list[int]) -> RouteEvidence:
    window, requests, failures, wrong_lengths = row[:ROW_HEAD_LENGTH]
    pairs = zip(row[ROW_HEAD_LENGTH::2], row[ROW_HEAD_LENGTH + 1 :: 2], strict=True)
    counts = tuple(LatencyCount(bucket, count) for bucket, count in pairs)
    return RouteEvidence(
        version, route, window, requests, failures, wrong_lengths, counts
    )
