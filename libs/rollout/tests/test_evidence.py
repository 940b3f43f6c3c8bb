"""Guards against evidence and withdrawals that depend on the order of messages."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingbarrow.core import HostId, Incarnation, Instant, ServiceName, VersionName
from waxwingbarrow.document import Rollout
from waxwingbarrow.rollout import (
    DEADLINE_REASON,
    Evidence,
    EvidenceKey,
    EvidenceRecorder,
    ResponseQuality,
    Withdrawal,
    Withdrawals,
    decode_evidence,
    decode_withdrawals,
    encode_evidence,
    encode_withdrawals,
)

ROLLOUT = Rollout(
    from_version="old",
    to_version="new",
    start="1970-01-01T00:00:00Z",
    finish_by="1970-01-01T01:00:00Z",
)
REQUEST = st.tuples(
    st.sampled_from(["old", "new"]),
    st.sampled_from(["one", "two"]),
    st.sampled_from(ResponseQuality),
    st.floats(0.1, 1e7),
    st.integers(-1000, 4_000_000),
)


def record_requests(key, requests):
    recorder = EvidenceRecorder(key, ROLLOUT)
    for version, route, quality, latency_ms, at_ms in requests:
        recorder.record(version, route, quality, latency_ms, Instant(at_ms, at_ms))
    return recorder.snapshot()


@st.composite
def draw_evidence(draw):
    """Draw the counters of three origins, each after a prefix of one fixed history."""
    evidence = Evidence()
    for origin in range(3):
        key = EvidenceKey("care", 5, HostId(f"h{origin}"), Incarnation(1, origin))
        history = [
            (("old", "new")[n % 2], "one", ResponseQuality.COMPLETE, 5.0 * n, 1000 * n)
            for n in range(9)
        ]
        count = draw(st.integers(0, 9))
        if count:
            evidence = evidence.add(record_requests(key, history[:count]))
    return evidence


WITHDRAWALS = st.lists(
    st.builds(
        Withdrawal,
        st.sampled_from([ServiceName("a"), ServiceName("b")]),
        st.integers(1, 2),
        st.sampled_from([VersionName("v1"), VersionName("v2")]),
        st.sampled_from(["failures on x", DEADLINE_REASON]),
        st.integers(0, 3),
    )
).map(lambda items: Withdrawals().merge(Withdrawals(tuple(items))))


@settings(derandomize=True, deadline=None)
@given(draw_evidence(), draw_evidence(), draw_evidence())
def test_merging_evidence_ignores_order_and_repetition(one, two, three):
    assert one.merge(two) == two.merge(one)
    assert one.merge(two).merge(three) == one.merge(two.merge(three))
    assert one.merge(two).merge(two) == one.merge(two)


@settings(derandomize=True, deadline=None)
@given(WITHDRAWALS, WITHDRAWALS, WITHDRAWALS)
def test_merging_withdrawals_ignores_order_and_loses_none(one, two, three):
    merged = one.merge(two)
    assert merged == two.merge(one)
    assert merged.merge(three) == one.merge(two.merge(three))
    assert merged.merge(two) == merged
    for item in (*one.items, *two.items):
        assert merged.find(item.service, item.revision, item.version) is not None
    assert decode_withdrawals(encode_withdrawals(merged)).unwrap() == merged


@settings(derandomize=True, deadline=None)
@given(st.lists(REQUEST))
def test_evidence_round_trips_and_counts_each_request_once(requests):
    key = EvidenceKey("care", 5, HostId("h"), Incarnation(1, 2))
    evidence = record_requests(key, requests)
    assert decode_evidence(encode_evidence(evidence)).unwrap() == evidence
    assert sum(item.requests for item in evidence.routes) == len(requests)


def test_an_older_snapshot_does_not_replace_a_newer_one():
    key = EvidenceKey("care", 5, HostId("h"), Incarnation(1, 2))
    request = ("new", "one", ResponseQuality.FAILED, 1.0, 0)
    older, newer = (record_requests(key, [request] * n) for n in (1, 2))
    assert Evidence().add(newer).add(older) == Evidence().add(newer)


def test_evidence_of_other_revisions_is_dropped():
    key = EvidenceKey("care", 5, HostId("h"), Incarnation(1, 2))
    evidence = Evidence().add(record_requests(key, []))
    assert evidence.keep_revisions({ServiceName("care"): 6}) == Evidence()
    assert evidence.keep_revisions({ServiceName("care"): 5}) == evidence


VALID_EVIDENCE = {
    "service": "care",
    "revision": 5,
    "origin": "h",
    "incarnation": {"started_ms": 1, "nonce": 2},
    "sequence": 2,
    "routes": [{"version": "new", "route": "one", "rows": [[0, 2, 1, 0, 30, 1]]}],
}


def make_payload_with_row(row):
    routes = [{"version": "new", "route": "one", "rows": [row]}]
    return json.dumps({**VALID_EVIDENCE, "routes": routes}).encode()


@pytest.mark.parametrize(
    ("payload", "field"),
    [
        (b"\xff", ""),
        (b"{}", "service"),
        (json.dumps({**VALID_EVIDENCE, "revision": "5"}).encode(), "revision"),
        # Rows in this order: too short, a bucket without its count, a window out of
        # range, more failures than requests, negative numbers, a bucket out of range, a
        # repeated bucket, counts that do not add up, not a list, not an integer.
        (make_payload_with_row([0, 1, 0]), "routes[0].rows[0]"),
        (make_payload_with_row([0, 1, 0, 0, 3]), "routes[0].rows[0]"),
        (make_payload_with_row([24, 0, 0, 0]), "routes[0].rows[0]"),
        (make_payload_with_row([0, 1, 2, 0]), "routes[0].rows[0]"),
        (make_payload_with_row([0, -1, -1, 0]), "routes[0].rows[0]"),
        (make_payload_with_row([0, 2, 0, 0, 61, 2]), "routes[0].rows[0]"),
        (make_payload_with_row([0, 2, 0, 0, 5, 1, 5, 1]), "routes[0].rows[0]"),
        (make_payload_with_row([0, 5, 0, 0, 5, 1]), "routes[0].rows[0]"),
        (make_payload_with_row({"a": 1}), "routes[0].rows[0]"),
        (make_payload_with_row([0, True, 1, 0]), "routes[0].rows[0]"),
        (json.dumps({**VALID_EVIDENCE, "routes": {"a": 1}}).encode(), "routes"),
        (make_payload_with_row([0, 10**13, 10**13, 0]), "routes[0].rows[0]"),
        (b"[" * 100_000, ""),
        (make_payload_with_row([0, "1", 0, 0]), "routes[0].rows[0]"),
    ],
)
def test_malformed_evidence_is_rejected_with_its_field(payload, field):
    assert decode_evidence(json.dumps(VALID_EVIDENCE).encode()).is_ok()
    assert decode_evidence(payload).unwrap_err().field == field


@pytest.mark.parametrize(
    "payload", [b"\xff", b"[" * 100_000, b'{"items": [{}]}', b'{"items": {"a": 1}}']
)
def test_malformed_withdrawals_are_rejected(payload):
    assert decode_withdrawals(payload).is_err()
