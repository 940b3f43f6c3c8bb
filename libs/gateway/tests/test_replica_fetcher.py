"""Guards against replica fetches that saturate a relay's link or lose a topic.

Also against peers whose malformed data is taken for a listing or for offsets.
"""

import json
import zlib

import pytest

from waxwingbarrow.gateway.base import KeyedPage, KeyedRecord, Position, Topic
from waxwingbarrow.gateway.replication._replica import Replica
from waxwingbarrow.gateway.replication._replica_fetcher import (
    decode_listing,
    decode_positions,
    encode_listing,
    encode_positions,
)


def make_replica(count, end):
    records = []
    for number in range(count):
        value = {
            "Service": "pool",
            "Address": f"10.0.0.{number}:8000",
            "Zone": "a",
            "Version": "v1",
            "Slots": 24,
            "State": "ready",
            "Sequence": number,
        }
        records.append(KeyedRecord(number, f"i-{number}", json.dumps(value).encode()))
    replica = Replica()
    replica.apply_listing(KeyedPage(tuple(records), end))
    return replica


def test_topics_in_which_the_peer_is_not_behind_are_left_out():
    own = {Topic.OPERATOR: make_replica(3, 10), Topic.UPSTREAMS: make_replica(5, 40)}
    peer = {Topic.OPERATOR: make_replica(3, 10), Topic.UPSTREAMS: make_replica(4, 30)}
    known = decode_positions(encode_positions(peer))
    pages = decode_listing(encode_listing(own, known))
    assert list(pages) == [Topic.UPSTREAMS]
    assert len(pages[Topic.UPSTREAMS].records) == 5


def test_a_peer_that_has_loaded_nothing_gets_all_topics_even_empty_ones():
    own = {Topic.OPERATOR: make_replica(3, 10), Topic.STATUS: make_replica(0, 0)}
    known = decode_positions(encode_positions({Topic.OPERATOR: Replica()}))
    assert set(decode_listing(encode_listing(own, known))) == set(own)


def test_a_listing_of_a_large_deployment_is_a_few_kilobytes():
    # 15 hosts that each fetched an uncompressed copy of 40 KB every second saturated
    # their relay's link of 10 Mbit/s.
    own = {Topic.UPSTREAMS: make_replica(60, 60)}
    assert len(encode_listing(own, {})) < 3_000


@pytest.mark.parametrize("data", [b"", b"\xff\x00", zlib.compress(b"\xc1")])
def test_bytes_that_are_not_a_listing_raise_an_error(data):
    with pytest.raises((zlib.error, ValueError)):
        decode_listing(data)


def test_malformed_parts_of_a_query_are_ignored():
    assert decode_positions(b"a=1&b=-2&c=%zz&=4&\xff") == {
        "a": Position(0, 1),
        "": Position(0, 4),
    }
