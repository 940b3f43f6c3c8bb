"""Guards against messages of other hosts that end a gateway, or silence it.

What a message says goes on into this host's own messages and sums.
"""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from peer_network import PORT, Network

from waxwingbarrow.gateway.messages._messages import (
    MESSAGE_FORMAT,
    AttemptReport,
    PermitReply,
    PermitRequest,
    PlacementAdvice,
    PlacementQuery,
    QuotaReply,
    QuotaRequest,
    RelaySummary,
    decode_message,
    encode_message,
)

HUGE = (2**64 - 1, 2**53, -(2**63), 1e308, float("inf"), float("nan"))
ADVICE = PlacementAdvice("i-1", 1.0, 1, 1, 1)
QUERY = PlacementQuery("pool", "dc0", 1, 1, [(2**64 - 1, 1)], 1.0)


def make_messages(network):
    """Return one message of each kind, with an entry in each list."""
    host = network.hosts["h0-1"]
    heartbeat = host.peer_sync.make_heartbeat(network.clock.now())
    lists = {
        "loads": [("i-1", 1, 1, 1)],
        "demands": [("a", 1.0)],
        "parts": [("i-1", [(2**64 - 1, 1)])],
        "suspects": [("f", [("i-1", 1)])],
        "work": [("pool", 1.0)],
        "withdrawn": [("pool", 1)],
        "part_losses": [("pool/1", 1, 1, [("i-1", 1)], [("i-2", 1)])],
        "notices": [("i-1", 1, 1.0, True, 1)],
        "speeds": [("pool", 1, 1, 55.0, 3.0, 0.1)],
    }
    heartbeat = msgspec.structs.replace(
        heartbeat,
        usage=[(1, "a", 1)],
        rollout_counts=[("pool", 1, True, "r", 1, 1, 1.0)],
        taken=[("a", 1.0)],
        operator_age_ms=1,
        **lists,
    )
    summary = RelaySummary(
        format=MESSAGE_FORMAT,
        relay="h0-1",
        started_ms=1,
        data_centre="dc0",
        is_total=True,
        host_count=2,
        members=["h0-0", "h0-1"],
        holder=(9, "10.0.0.1"),
        end_offsets={"operator": 1},
        fleet_hash=2**64 - 1,
        operator_age_ms=1,
        deputies=["10.0.0.1"],
        **lists,
    )
    return [
        heartbeat,
        summary,
        msgspec.structs.replace(summary, is_total=False),
        QuotaRequest(MESSAGE_FORMAT, 1, "a", 1.0, QUERY),
        QuotaReply(MESSAGE_FORMAT, 1, True, True, 1.0, 1.0, ADVICE),
        AttemptReport(MESSAGE_FORMAT, 1, "i-1", 1, 1),
        AttemptReport(MESSAGE_FORMAT, 1, "i-1", 1, 5, 3.0, 4.0),
        PermitRequest(MESSAGE_FORMAT, 1, ("i-1", 1, 1.0, True, 1)),
        PermitReply(MESSAGE_FORMAT, 1, True, False, 1),
    ]


def list_paths(value, path=()):
    """Return the position of each number and text in a message."""
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        return [path]
    return [found for key, item in items for found in list_paths(item, (*path, key))]


def replace_at(value, path, new):
    """Return a copy of a message with another value at a position."""
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replace_at(copy[path[0]], path[1:], new)
    return copy


def check_host(network):
    """Check that a host's messages can still be sent and read."""
    host = network.hosts["h0-0"]
    network.run_quarter()
    encoded = encode_message(host.peer_sync.make_heartbeat(network.clock.now()))
    assert decode_message(encoded).is_ok()
    host.peers.is_candidate(network.clock.now())


@pytest.mark.parametrize("per_centre", [2, 16])
@pytest.mark.parametrize("kind", range(9))
def test_huge_numbers_in_a_message_change_no_message_for_the_worse(per_centre, kind):
    """Guards against OverflowError in the task that sends heartbeats.

    The next messages of the host and of its relay must still be read by their peers.
    """
    network = Network(1, per_centre)
    network.run(4)
    message = make_messages(network)[kind]
    fields = msgspec.msgpack.decode(encode_message(message))
    source = (network.hosts["h0-1"].address, PORT)
    for path in list_paths(fields):
        for odd in (*HUGE, "999.1.1.1", "", None, [], [[]]):
            data = msgspec.msgpack.encode(replace_at(fields, path, odd))
            for target in ("h0-0", f"h0-{per_centre - 1}"):
                # An uncompressed message in one datagram.
                datagram = b"\0\0\0\1\0\1\0" + data
                network.hosts[target].peers.datagram_received(datagram, source)
    check_host(network)


@given(data=st.binary(max_size=300), is_framed=st.booleans())
@settings(derandomize=True, deadline=None, max_examples=300)
def test_any_datagram_is_handled(data, is_framed):
    network = Network(1, 2)
    prefix = b"\0\0\0\1\0\1\0" if is_framed else b""
    peers = network.hosts["h0-0"].peers
    peers.datagram_received(prefix + data, ("10.0.0.1", PORT))
    check_host(network)


def test_deeply_nested_message_is_unreadable():
    data = msgspec.msgpack.encode(["beat", MESSAGE_FORMAT]) + b""
    nested = data[:1] + data[1:] + b"\x91" * 100_000 + b"\xc0"
    assert decode_message(b"\xdc\x00\x20" + nested[1:]).is_err()


def test_sums_of_large_figures_are_read_by_peers():
    """Guards against a total that all hosts of a data centre find unreadable."""
    network = Network(1, 16)
    network.run(4)
    relay = next(host for host in network.hosts.values() if host.peers._is_relay)
    now = network.clock.now()
    for name, host in network.hosts.items():
        heartbeat = msgspec.structs.replace(
            host.peer_sync.make_heartbeat(now),
            loads=[("i-1", 2**53, 2**53, 2**53)],
            work=[("pool", 1e15)],
        )
        assert decode_message(encode_message(heartbeat)).is_ok(), name
        relay.peers._aggregator.add_heartbeat(heartbeat, host.address, now)
    own = relay.peers._aggregator.summarize_own(0, {}, now)
    total = relay.peers._aggregator.summarize_all(own, now)
    for summary in (own, total):
        assert summary.loads == [("i-1", 2**53, 2**53, 2**53)]
        assert decode_message(encode_message(summary)).is_ok()
