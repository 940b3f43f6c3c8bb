"""Guards the quota keeper's decisions by urgency, and the messages that carry them."""

import random

import attrs
import pytest
from peer_network import make_permits

from waxwingbarrow.core import (
    DataCentre,
    ManualClock,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.gateway.admission import PlacementAdviser, ServiceAdmissions
from waxwingbarrow.gateway.base import AdmissionSettings, Engine, UpstreamEntry
from waxwingbarrow.gateway.messages import (
    MESSAGE_FORMAT,
    CapacityAnswer,
    CapacityDecision,
    CapacityQuery,
    PlacementAdvice,
    PlacementQuery,
    QuotaReply,
    QuotaRequest,
    decode_message,
    encode_message,
)
from waxwingbarrow.gateway.upstreams import Fleet
from waxwingbarrow.routing import PlacementPolicy

POOL = ServiceName("pool")
ENGINE = Engine(slots=32, memory_tokens=500_000)
SETTINGS = AdmissionSettings(by_urgency=True)
# Prefill tokens of 20 ms.
SMALL = 1_100


@attrs.frozen
class Kind:
    priority: int
    objective_ms: float


URGENT, LOW = Kind(0, 400.0), Kind(2, 2_000.0)
WAIT = CapacityAnswer(CapacityDecision.WAIT, 30.0, 7, True)


class Host:
    """The keeper, which knows two engines."""

    def __init__(self):
        self.clock = ManualClock()
        self.fleet = Fleet()
        for name in ("u1", "u2"):
            entry = UpstreamEntry(
                upstream=UpstreamId(name),
                service=POOL,
                host="10.0.0.1",
                port=80,
                data_centre=DataCentre("a"),
                version=VersionName("v1"),
            )
            self.fleet.put(entry, self.clock.now())


def make_adviser(host, admissions):
    return PlacementAdviser(
        host.fleet,
        PlacementPolicy(data_centre=DataCentre("a")),
        random.Random(1),
        lambda service: ENGINE,
        make_permits(host.fleet, host.clock).keeper,
        admissions,
    )


def make_query(route, **fields):
    admission = CapacityQuery(route.priority, "one", route.objective_ms, **fields)
    return PlacementQuery(POOL, "a", SMALL, 10, [], 7_000.0, admission=admission)


def ask(adviser, host, query, number):
    return adviser.advise(query, ("10.0.0.9", number), host.clock.now())


def test_a_request_that_waits_adds_nothing_to_the_backlog():
    """Low-priority work yields before it is placed."""
    host = Host()
    adviser = make_adviser(host, ServiceAdmissions(SETTINGS, random.Random(1)))
    ask(adviser, host, make_query(URGENT), 0)
    decisions = [
        ask(adviser, host, make_query(LOW), number).admission.decision
        for number in range(1, 200)
    ]
    served = decisions.count(CapacityDecision.SERVE)
    assert decisions[:served] == [CapacityDecision.SERVE] * served
    # Two engines with at most half of the urgent objective and one request each.
    assert served <= 2 * (220 / 20 + 1)
    urgent = ask(adviser, host, make_query(URGENT), 200)
    assert urgent.admission.decision is CapacityDecision.SERVE
    assert urgent.start_ms < URGENT.objective_ms


def test_a_keeper_without_the_setting_does_not_decide():
    host = Host()
    advice = ask(make_adviser(host, None), host, make_query(LOW), 1)
    assert advice.admission is None
    assert advice.is_permitted


def test_a_host_without_the_setting_is_advised_as_before():
    host = Host()
    adviser = make_adviser(host, ServiceAdmissions(SETTINGS, random.Random(1)))
    for number in range(100):
        query = PlacementQuery(POOL, "a", SMALL, 10, [], 7_000.0)
        advice = ask(adviser, host, query, number)
        assert advice.is_permitted
        assert advice.admission is None


def test_a_host_that_is_no_longer_the_keeper_forgets_its_promises():
    host = Host()
    admissions = ServiceAdmissions(SETTINGS, random.Random(1))
    adviser = make_adviser(host, admissions)
    for number in range(400):
        ask(adviser, host, make_query(LOW), number)
    assert admissions._admissions[POOL].promise_count > 0
    adviser.reset()
    assert not admissions._admissions


@pytest.mark.parametrize(
    "message",
    [
        QuotaRequest(
            MESSAGE_FORMAT, 1, "one", 5.0, make_query(LOW, request_hash=2**63)
        ),
        QuotaReply(
            MESSAGE_FORMAT,
            1,
            True,
            True,
            placement=PlacementAdvice("u1", 5, 0, 3, 2, False, WAIT),
        ),
    ],
    ids=["request", "reply"],
)
def test_messages_are_read_as_they_were_sent(message):
    assert decode_message(encode_message(message)).ok() == message


def test_queries_of_hosts_of_the_version_before_are_read():
    """Hosts are restarted in turn, so both versions run for a while."""
    query = PlacementQuery(POOL, "a", SMALL, 10, [], 7_000.0)
    encoded = encode_message(QuotaRequest(MESSAGE_FORMAT, 1, "one", 5.0, query))
    # An array of one element less, without what admission by urgency needs, which
    # takes one byte if that is off.
    at = encoded.index(b"\x9a\xa4pool")
    shortened = encoded[:at] + b"\x99" + encoded[at + 1 : -1]
    assert decode_message(shortened) == decode_message(encoded)
