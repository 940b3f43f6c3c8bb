"""Guards against summaries that grow with the number of hosts or count wrongly.

Also against hosts that disagree on their relay or stay with one that has failed.
"""

import random

from waxwingbarrow.core import DataCentre, HostId, Instant
from waxwingbarrow.gateway.messages._messages import (
    MESSAGE_FORMAT,
    Heartbeat,
    RelaySummary,
    decode_message,
    encode_message,
)
from waxwingbarrow.gateway.peers._relays import (
    RelayAggregator,
    RelaySelector,
    rank_relays,
)

CENTRE = DataCentre("a")
NOW = Instant(0, 0)
ENDS = {"operator": 4}


def make_heartbeat(host, running=1, demand=10.0, fencing_token=0):
    return Heartbeat(
        MESSAGE_FORMAT,
        host,
        1,
        CENTRE,
        {},
        loads=[("u1", running, 100, 200)],
        demands=[("acc", demand)],
        work=[("pool", 5.0)],
        fencing_token=fencing_token,
    )


def make_summary(centre, hosts, now=NOW):
    aggregator = RelayAggregator(HostId(f"relay-{centre}"), DataCentre(centre), 1)
    for number in range(hosts):
        aggregator.add_heartbeat(make_heartbeat(f"{centre}{number}"), "10.0.0.1", now)
    return aggregator.summarize_own(7, ENDS, now)


def test_sums_are_over_all_data_centres():
    aggregator = RelayAggregator(HostId("r"), CENTRE, 1)
    for number in range(3):
        aggregator.add_heartbeat(make_heartbeat(f"a{number}"), "10.0.0.1", NOW)
    aggregator.add_summary(make_summary("b", 4), "10.1.0.1", NOW)
    total = aggregator.summarize_all(aggregator.summarize_own(7, ENDS, NOW), NOW)
    assert total.host_count == 7
    assert total.loads == [("u1", 7, 700, 1400)]
    assert total.demands == [("acc", 70.0)]
    assert sorted(total.members) == ["a0", "a1", "a2"]


def test_summaries_of_two_relays_of_one_data_centre_are_added():
    aggregator = RelayAggregator(HostId("r"), CENTRE, 1)
    aggregator.add_summary(make_summary("b", 2), "10.1.0.1", NOW)
    other = make_summary("b", 3)
    renamed = RelaySummary(*[getattr(other, name) for name in other.__struct_fields__])
    renamed = decode_message(encode_message(renamed)).unwrap()
    aggregator.add_summary(
        type(renamed)(
            **{
                name: ("second" if name == "relay" else getattr(renamed, name))
                for name in renamed.__struct_fields__
            }
        ),
        "10.1.0.2",
        NOW,
    )
    assert (
        aggregator.summarize_all(aggregator.summarize_own(7, ENDS, NOW), NOW).host_count
        == 5
    )


def test_silent_hosts_and_relays_are_left_out_of_the_sums():
    aggregator = RelayAggregator(HostId("r"), CENTRE, 1)
    aggregator.add_heartbeat(make_heartbeat("a0"), "10.0.0.1", NOW)
    aggregator.add_summary(make_summary("b", 4), "10.1.0.1", NOW)
    later = NOW.plus_ms(5_000)
    assert (
        aggregator.summarize_all(
            aggregator.summarize_own(7, ENDS, later), later
        ).host_count
        == 0
    )


def test_a_summary_grows_with_the_number_of_hosts_only_by_their_names():
    def measure(hosts):
        summary = make_summary("b", hosts)
        return len(encode_message(summary)) - sum(len(m) + 2 for m in summary.members)

    assert measure(200) <= measure(10) + 16


def test_a_summary_names_the_holder_with_the_highest_fencing_token():
    aggregator = RelayAggregator(HostId("r"), CENTRE, 1)
    aggregator.add_heartbeat(make_heartbeat("a0", fencing_token=3), "10.0.0.1", NOW)
    aggregator.add_heartbeat(make_heartbeat("a1", fencing_token=5), "10.0.0.2", NOW)
    assert aggregator.summarize_own(7, ENDS, NOW).holder == (5, "10.0.0.2")


def find_relay_mbps(host):
    return 10


HOSTS = [HostId(f"h{number}") for number in range(6)]


def test_all_hosts_choose_the_same_relay():
    chosen = set()
    for host in HOSTS:
        shuffled = HOSTS.copy()
        random.Random(host).shuffle(shuffled)
        chosen.add(RelaySelector(host, find_relay_mbps).choose(shuffled, NOW))
    assert len(chosen) == 1


def test_a_silent_relay_is_excluded_and_chosen_again_later():
    first, second = rank_relays(HOSTS, find_relay_mbps)[:2]
    own = rank_relays(HOSTS, find_relay_mbps)[-1]
    selector = RelaySelector(own, find_relay_mbps)
    assert selector.choose(HOSTS, NOW) == first
    assert selector.expire_silent(NOW.plus_ms(1_000)) is None
    later = NOW.plus_ms(2_000)
    assert selector.expire_silent(later) == first
    assert selector.choose(HOSTS, later) == second
    selector.record_heard(second, later.plus_ms(6_000))
    assert selector.choose(HOSTS, later.plus_ms(6_000)) == first


def test_a_host_that_hears_no_other_host_becomes_its_own_relay():
    own = rank_relays(HOSTS, find_relay_mbps)[-1]
    selector = RelaySelector(own, find_relay_mbps)
    now = NOW
    for _ in range(len(HOSTS)):
        selector.choose(HOSTS, now)
        now = now.plus_ms(700)
        selector.expire_silent(now)
        now = now.plus_ms(1_000)
        selector.expire_silent(now)
    for host in HOSTS:
        if host != own:
            selector._excluded_until_ms[host] = now.mono_ms + 1_000
    assert selector.choose(HOSTS, now) == own


def test_bytes_that_are_not_a_message_are_an_error():
    for data in (
        b"",
        b"\xff",
        encode_message(make_heartbeat("a"))[:-3],
        b"\x93\x01\x02\x03",
    ):
        assert decode_message(data).is_err()
