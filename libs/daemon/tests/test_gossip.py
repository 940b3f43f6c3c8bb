"""Guards against gossip that is applied although it is malformed or misattributed."""

import pytest

from waxwingbarrow.core import Incarnation, Instant
from waxwingbarrow.daemon._gossip import (
    CRASHES_TOPIC,
    LEAVING_TOPIC,
    WITHDRAWALS_TOPIC,
    AccountDemand,
    Gossip,
    GossipListeners,
    HostDemand,
    UpstreamProcess,
)
from waxwingbarrow.membership import GossipItem, GossipMap
from waxwingbarrow.rollout import (
    EvidenceKey,
    OriginEvidence,
    Withdrawal,
    Withdrawals,
    encode_evidence,
)
from waxwingbarrow.routing import CrashSuspicion, UpstreamIncarnation

NOW = Instant(1_700_000_000_000, 0)
INCARNATION = Incarnation(1, 1)
OTHER_HOST = "host-2"


class RecordingListeners:
    """Listeners that record all items passed to them."""

    def __init__(self):
        self.items = []

    def make_listeners(self):
        record = self.items.append
        return GossipListeners(record, record, record, record)


@pytest.fixture
def broadcasts():
    return []


@pytest.fixture
def gossip(broadcasts):
    gossip_map = GossipMap("host-1", INCARNATION)
    return Gossip(gossip_map, lambda: broadcasts.append(1)), gossip_map


def item(topic, payload, origin=OTHER_HOST):
    return GossipItem(origin, INCARNATION, topic, 1, payload)


def find_payload(gossip_map, topic):
    return gossip_map.find("host-1", topic).item.payload


@pytest.mark.parametrize("topic", [LEAVING_TOPIC, CRASHES_TOPIC, WITHDRAWALS_TOPIC])
@pytest.mark.parametrize(
    "payload", [b"", b"\xff", b"[]", b'{"items": [{}]}', b'{"items": "x"}']
)
def test_malformed_item_reaches_no_listener(gossip, topic, payload):
    recorded = RecordingListeners()
    gossip[0].dispatch([item(topic, payload)], recorded.make_listeners())
    assert recorded.items == []


def test_unknown_topic_reaches_no_listener(gossip):
    recorded = RecordingListeners()
    gossip[0].dispatch([item("future", b"x")], recorded.make_listeners())
    assert recorded.items == []


def test_evidence_sent_under_another_origin_is_ignored(gossip):
    evidence = OriginEvidence(EvidenceKey("s", 1, OTHER_HOST, INCARNATION), 0, ())
    payload = encode_evidence(evidence)
    recorded = RecordingListeners()
    gossip[0].dispatch(
        [item("evidence/s", payload, "host-3")], recorded.make_listeners()
    )
    assert recorded.items == []
    gossip[0].dispatch([item("evidence/s", payload)], recorded.make_listeners())
    assert recorded.items == [evidence]


def test_crash_suspicions_arrive_as_they_were_sent(gossip):
    suspicion = CrashSuspicion(
        "f",
        frozenset({UpstreamIncarnation("u1", INCARNATION)}),
        frozenset({UpstreamIncarnation("u2", INCARNATION)}),
    )
    gossip[0].put_crashes([suspicion], NOW)
    recorded = RecordingListeners()
    payload = find_payload(gossip[1], CRASHES_TOPIC)
    gossip[0].dispatch([item(CRASHES_TOPIC, payload)], recorded.make_listeners())
    assert recorded.items == [(suspicion,)]


def test_urgent_items_are_broadcast_once_per_change(gossip, broadcasts):
    process = UpstreamProcess("u1", INCARNATION)
    gossip[0].put_leaving([process], NOW)
    gossip[0].put_leaving([process], NOW)
    assert len(broadcasts) == 1
    withdrawal = Withdrawal("s", 1, "v2", "failures on x", 1)
    gossip[0].put_withdrawals(Withdrawals((withdrawal,)), NOW)
    assert len(broadcasts) == 2


def test_missing_or_malformed_demand_is_omitted(gossip):
    demand = HostDemand((AccountDemand("s", "a", 1.0, 2.0),))
    gossip[0].put_demand(demand, NOW)
    payload = find_payload(gossip[1], "demand")
    gossip[1].merge([item("demand", payload), item("demand", b"x", "host-3")], NOW)
    assert gossip[0].list_demand([OTHER_HOST, "host-3", "host-4"]) == {
        OTHER_HOST: demand
    }
