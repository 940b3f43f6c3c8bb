"""Guards against messages that are too large for a datagram and never arrive.

The summaries for 75 hosts under load exceeded the size of datagram that links carry, so
every host lost its relay as soon as there was traffic.
"""

import os
import random
import zlib

import pytest

from waxwingbarrow.gateway.messages._fragments import HEADER, Fragmenter, Reassembler

LARGEST_DATAGRAM_BYTES = 1_400
PEER = "10.0.0.1"


@pytest.mark.parametrize("size", [0, 1, 599, 600, 1_200, 1_201, 30_000])
def test_a_message_of_any_size_fits_into_datagrams_that_links_carry(size):
    message = os.urandom(size)
    datagrams = Fragmenter().split(message)
    assert all(len(datagram) <= LARGEST_DATAGRAM_BYTES for datagram in datagrams)
    random.Random(size).shuffle(datagrams)
    reassembler = Reassembler()
    results = [reassembler.join(PEER, datagram).unwrap() for datagram in datagrams]
    assert results[-1] == message
    assert results[:-1] == [None] * (len(datagrams) - 1)


def test_fragments_with_the_same_number_from_two_peers_are_not_mixed():
    first, second = os.urandom(3_000), os.urandom(3_000)
    reassembler = Reassembler()
    pairs = zip(Fragmenter().split(first), Fragmenter().split(second), strict=True)
    results = []
    for one, other in pairs:
        results.append(reassembler.join("10.0.0.1", one).unwrap())
        results.append(reassembler.join("10.0.0.2", other).unwrap())
    assert results[-2:] == [first, second]


def test_lost_fragments_take_bounded_memory_and_do_not_block_later_messages():
    fragmenter, reassembler = Fragmenter(), Reassembler()
    for _ in range(2_000):
        reassembler.join(PEER, fragmenter.split(os.urandom(2_000))[0])
    assert len(reassembler._incomplete) <= 256
    message = os.urandom(2_000)
    results = [
        reassembler.join(PEER, part).unwrap() for part in fragmenter.split(message)
    ]
    assert results[-1] == message


@pytest.mark.parametrize(
    "datagram",
    [b"", b"abc", HEADER.pack(1, 3, 2, 0), HEADER.pack(1, 0, 1, 1) + b"not zlib"],
)
def test_a_datagram_that_is_not_a_fragment_is_an_error(datagram):
    assert Reassembler().join(PEER, datagram).is_err()


@pytest.mark.parametrize("size", [64 * 1_200 + 1_000, 300 * 1_200])
def test_a_message_that_needs_too_many_datagrams_is_not_sent(size):
    """Guards against an error that ends the loop which sends the heartbeats."""
    assert Fragmenter().split(os.urandom(size)) == []


def test_a_message_that_decompresses_to_more_than_the_limit_is_an_error():
    """Guards against a cut message that is taken for a whole one."""
    datagram = HEADER.pack(1, 0, 1, True) + zlib.compress(b"a" * 400_000)
    assert Reassembler().join(PEER, datagram).is_err()


def test_oversized_fragment_is_unreadable():
    """Guards against incomplete messages that take the memory of a host."""
    reassembler = Reassembler()
    for position in range(64):
        datagram = HEADER.pack(1, position, 64, 0) + b"x" * 60_000
        assert reassembler.join("10.0.0.1", datagram).is_err()
    assert reassembler._incomplete == {}
