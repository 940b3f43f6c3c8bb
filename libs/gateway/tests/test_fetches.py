"""Guards against fetches that fill a relay's link."""

import json
import zlib

import pytest

from waxwingbarrow.gateway._fetches import (
    decode_known,
    decode_listing,
    encode_known,
    encode_listing,
)
from waxwingbarrow.gateway._ports import KeyedPage, KeyedRecord, Topic
from waxwingbarrow.gateway._replica import Replica


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


def test_a_topic_of_which_the_peer_knows_as_much_is_left_out():
    own = {Topic.OPERATOR: make_replica(3, 10), Topic.UPSTREAMS: make_replica(5, 40)}
    peer = {Topic.OPERATOR: make_replica(3, 10), Topic.UPSTREAMS: make_replica(4, 30)}
    known = decode_known(encode_known(peer))
    pages = decode_listing(encode_listing(own, known))
    assert list(pages) == [Topic.UPSTREAMS]
    assert len(pages[Topic.UPSTREAMS].records) == 5


def test_a_peer_that_has_loaded_nothing_gets_all_also_an_empty_topic():
    own = {Topic.OPERATOR: make_replica(3, 10), Topic.STATUS: make_replica(0, 0)}
    known = decode_known(encode_known({Topic.OPERATOR: Replica()}))
    assert set(decode_listing(encode_listing(own, known))) == set(own)


def test_a_listing_of_a_large_deployment_is_a_few_kilobytes():
    # 15 hosts that fetched an uncompressed copy of 40 KB each second filled a link of
    # 10 Mbit/s on plateau-rota-grown.
    own = {Topic.UPSTREAMS: make_replica(60, 60)}
    assert len(encode_listing(own, {})) < 3_000


@pytest.mark.parametrize("data", [b"", b"\xff\x00", zlib.compress(b"\xc1")])
def test_other_bytes_are_no_listing(data):
    with pytest.raises((zlib.error, ValueError)):
        decode_listing(data)


def test_a_query_from_elsewhere_is_read_as_far_as_it_is_one():
    assert decode_known(b"a=1&b=-2&c=%zz&=4&\xff") == {"a": 1, "": 4}
