"""Compact JSON forms of evidence and withdrawals, as gossip carries them."""

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
    BUCKETS,
    EvidenceKey,
    LatencyCount,
    OriginEvidence,
    RouteEvidence,
)
from waxwingbarrow.rollout._schedule import WINDOWS
from waxwingbarrow.rollout._withdrawals import Withdrawals

T = TypeVar("T")
MAX_COUNT = 10**12  # the statistic computes with floats, which a larger count overflows
ROW_HEAD = 4  # window, requests, failures, wrong lengths; then bucket and count pairs
ROW_ALLOWED = "window, requests, failures, wrong lengths, then pairs of bucket, count"


def _check_rows(_: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
    if not isinstance(value, list):
        raise ValueNotAllowedError(type(value).__name__, "a list", attribute.name)
    for index, row in enumerate(value):
        if not (isinstance(row, list) and _is_row(row)):
            field = f"{attribute.name}[{index}]"
            raise ValueNotAllowedError(row, ROW_ALLOWED, field)


def _is_row(row: list[Any]) -> bool:
    if len(row) < ROW_HEAD or len(row) % 2:
        return False
    if set(map(type, row)) != {int}:
        return False
    if min(row) < 0 or max(row) > MAX_COUNT:
        return False
    window, requests, failures, wrong_lengths = row[:ROW_HEAD]
    buckets, counts = row[ROW_HEAD::2], row[ROW_HEAD + 1 :: 2]
    return (
        window < WINDOWS
        and failures + wrong_lengths + sum(counts) == requests
        and buckets == sorted(set(buckets))
        and (not buckets or buckets[-1] < BUCKETS)
    )


@attrs.frozen
class _WireRoute:
    version: VersionName
    route: RouteName
    # Checked by hand: building rows through the converter takes several times as long,
    # and a host reads the payloads of all others.
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
    """Return the gossip payload of one origin's evidence."""
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
    """Read a gossip payload; a malformed one is an error and not used in part."""
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
    """Return the gossip payload of a set of withdrawals."""
    return write_json(withdrawals).encode()


def decode_withdrawals(payload: bytes) -> Result[Withdrawals, FieldInvalid]:
    """Read a gossip payload of withdrawals."""
    return _read_payload(payload, Withdrawals, "withdrawals")


def _read_payload(
    payload: bytes, kind: type[T], source: str
) -> Result[T, FieldInvalid]:
    try:
        return read_json(payload.decode(errors="replace"), kind, source)
    except (LookupError, RecursionError):
        # read_json raises a KeyError for an object in place of a list.
        allowed = "JSON of the described form"
        return Err(FieldInvalid(source=source, field="", value="...", allowed=allowed))


def _group_routes(routes: Iterable[RouteEvidence]) -> Iterable[_WireRoute]:
    ordered = sorted(routes, key=lambda item: (item.version, item.route, item.window))
    groups = groupby(ordered, key=lambda item: (item.version, item.route))
    for (version, route), items in groups:
        yield _WireRoute(version, route, [_write_row(item) for item in items])


def _write_row(item: RouteEvidence) -> list[int]:
    head = [item.window, item.requests, item.failures, item.wrong_lengths]
    pairs = ((one.bucket, one.count) for one in item.latency_buckets)
    return head + [number for pair in pairs for number in pair]


def _read_row(version: VersionName, route: RouteName, row: list[int]) -> RouteEvidence:
    window, requests, failures, wrong_lengths = row[:ROW_HEAD]
    pairs = zip(row[ROW_HEAD::2], row[ROW_HEAD + 1 :: 2], strict=True)
    counts = tuple(LatencyCount(bucket, count) for bucket, count in pairs)
    return RouteEvidence(
        version, route, window, requests, failures, wrong_lengths, counts
    )
