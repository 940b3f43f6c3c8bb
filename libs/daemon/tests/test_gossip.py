"""Guards against malformed or misattributed gossip that is applied in part."""

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
from waxwingbarrow.routing import CrashSuspicion, LostUpstream

NOW = Instant(1_700_000_000_000, 0)
RUN = Incarnation(1, 1)
OTHER = "host-2"


class Heard:
    """Collects what the listeners get."""

    def __init__(self):
        self.items = []

    def listeners(self):
        take = self.items.append
        return GossipListeners(take, take, take, take)


@pytest.fixture
def sent():
    return []


@pytest.fixture
def gossip(sent):
    gossip_map = GossipMap("host-1", RUN)
    return Gossip(gossip_map, lambda: sent.append(1)), gossip_map


def item(topic, payload, origin=OTHER):
    return GossipItem(origin, RUN, topic, 1, payload)


def find_payload(gossip_map, topic):
    return gossip_map.find("host-1", topic).item.payload


@pytest.mark.parametrize("topic", [LEAVING_TOPIC, CRASHES_TOPIC, WITHDRAWALS_TOPIC])
@pytest.mark.parametrize(
    "payload", [b"", b"\xff", b"[]", b'{"items": [{}]}', b'{"items": "x"}']
)
def test_malformed_item_reaches_no_listener(gossip, topic, payload):
    heard = Heard()
    gossip[0].dispatch([item(topic, payload)], heard.listeners())
    assert heard.items == []


def test_unknown_topic_is_passed_over(gossip):
    heard = Heard()
    gossip[0].dispatch([item("future", b"x")], heard.listeners())
    assert heard.items == []


def test_evidence_of_another_origin_is_not_believed(gossip):
    evidence = OriginEvidence(EvidenceKey("s", 1, OTHER, RUN), 0, ())
    payload = encode_evidence(evidence)
    heard = Heard()
    gossip[0].dispatch([item("evidence/s", payload, "host-3")], heard.listeners())
    assert heard.items == []
    gossip[0].dispatch([item("evidence/s", payload)], heard.listeners())
    assert heard.items == [evidence]


def test_crash_suspicions_arrive_as_they_were_sent(gossip):
    suspicion = CrashSuspicion(
        "f", frozenset({LostUpstream("u1", RUN)}), frozenset({LostUpstream("u2", RUN)})
    )
    gossip[0].put_crashes([suspicion], NOW)
    heard = Heard()
    payload = find_payload(gossip[1], CRASHES_TOPIC)
    gossip[0].dispatch([item(CRASHES_TOPIC, payload)], heard.listeners())
    assert heard.items == [(suspicion,)]


def test_urgent_items_are_broadcast_once_per_change(gossip, sent):
    process = UpstreamProcess("u1", RUN)
    gossip[0].put_leaving([process], NOW)
    gossip[0].put_leaving([process], NOW)
    assert len(sent) == 1
    withdrawal = Withdrawal("s", 1, "v2", "failures on x", 1)
    gossip[0].put_withdrawals(Withdrawals((withdrawal,)), NOW)
    assert len(sent) == 2


def test_demand_of_silent_or_malformed_hosts_is_left_out(gossip):
    demand = HostDemand((AccountDemand("s", "a", 1.0, 2.0),))
    gossip[0].put_demand(demand, NOW)
    payload = find_payload(gossip[1], "demand")
    gossip[1].merge([item("demand", payload), item("demand", b"x", "host-3")], NOW)
    assert gossip[0].list_demand([OTHER, "host-3", "host-4"]) == {OTHER: demand}
