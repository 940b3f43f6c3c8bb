"""Guards against plans that leave demand unserved, cost too much or oscillate."""

import random
from collections import Counter

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingbarrow.capacity import (
    CapacityPolicy,
    HostList,
    HostOffer,
    HostState,
    KeepReason,
    OfferList,
    RunningHost,
    ServiceNeed,
    ShortfallReason,
    StartReason,
    StopPhase,
    StopReason,
    ZoneLoss,
    compute_needed_workers,
    plan_capacity,
)
from waxwingbarrow.core import Instant

NOW = Instant(1_700_000_000_000, 10_000_000)
POLICY = CapacityPolicy(headroom_percent=0, scale_down_slack_percent=10)
SERVING, LEAVING = HostState.SERVING, HostState.LEAVING


def make_offer(zone="a", reclaimable=False, price=1.0, machine="m1", **other):
    return HostOffer(
        machine_class=machine,
        zone=zone,
        data_centre="north",
        reclaimable=reclaimable,
        price_per_hour=price,
        **other,
    )


def make_host(name, offer, state=SERVING, **other):
    fields = {"service": "care", "version": "v1", "state_since": NOW, **other}
    return RunningHost(host=name, offer=offer, state=state, **fields)


def make_need(demand=2.0, percent=100.0, workers=0, **other):
    return ServiceNeed(
        service="care",
        version=other.pop("version", "v1"),
        data_centre="north",
        workers=workers,
        max_reclaimable_percent=percent,
        demand_tokens_per_s=demand,
        **other,
    )


def plan(needs, offers, hosts=(), policy=POLICY, now=NOW, **other):
    offers_at = other.pop("offers_at", now)
    hosts_at = other.pop("hosts_at", now)
    return plan_capacity(
        needs,
        OfferList(offers=tuple(offers), read_at=offers_at, **other),
        HostList(hosts=tuple(hosts), read_at=hosts_at),
        policy,
        now,
    )


ZONES = [make_offer(zone) for zone in "abc"]


def carry_out(made, hosts, number, state=SERVING):
    """Return the hosts after a plan was carried out and the new ones serve."""
    stopped = {stop.host.host for stop in made.stops}
    started = [
        make_host(f"h{number}-{n:02}", start.offer, state)
        for n, start in enumerate(made.starts)
    ]
    return [host for host in hosts if host.host not in stopped] + started


def count_survivors(hosts, loss):
    lost = Counter(
        host.offer.zone
        for host in hosts
        if loss is ZoneLoss.EVERY_HOST or host.offer.reclaimable
    )
    return len(hosts) - max(lost.values(), default=0)


OFFERS = st.lists(
    st.builds(
        make_offer,
        zone=st.sampled_from("abc"),
        reclaimable=st.booleans(),
        price=st.integers(1, 40).map(lambda n: n / 10),
        machine=st.sampled_from(["m1", "m2"]),
    ),
    max_size=10,
)
PERCENTS = st.sampled_from([0.0, 25.0, 43.0, 50.0, 80.0, 100.0])
LOSSES = st.sampled_from(list(ZoneLoss))


def enumerate_numbers(cells, limit):
    if cells == 0:
        yield ()
        return
    for first in range(limit + 1):
        for rest in enumerate_numbers(cells - 1, limit - first):
            yield (first, *rest)


def enumerate_least_cost(offers, needed, workers, percent, loss):
    """Return the least cost by trying all numbers of hosts in all cells."""
    cells = {}
    for offer in offers:
        key = offer.zone, offer.reclaimable
        cells[key] = min(offer.price_per_hour, cells.get(key, 1e9))
    costs = []
    limit = 2 * max(needed, workers) + 2
    for numbers in enumerate_numbers(len(cells), limit):
        total, lost, reclaimable = sum(numbers), Counter(), 0
        for (zone, kind), number in zip(cells, numbers, strict=True):
            reclaimable += number * kind
            lost[zone] += number * (kind or loss is ZoneLoss.EVERY_HOST)
        if (
            total >= workers
            and total - max(lost.values(), default=0) >= needed
            and reclaimable * 100 <= percent * total + 1e-6
        ):
            priced = zip(cells.values(), numbers, strict=True)
            costs.append(sum(price * number for price, number in priced))
    return min(costs, default=None)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(OFFERS, st.integers(0, 2), st.integers(0, 2), PERCENTS, LOSSES, st.booleans())
def test_cost_is_that_of_an_exhaustive_search(
    offers, needed, workers, percent, loss, headroom
):
    # Guards against a search that misses the cheapest hosts or a feasible choice.
    policy = CapacityPolicy(
        zone_loss=loss, spread_price_percent=0, headroom_percent=100 * headroom
    )
    made = plan([make_need(needed, percent, workers)], offers, policy=policy)
    workers = max(workers, needed * (1 + headroom))
    least = enumerate_least_cost(offers, needed, workers, percent, loss)
    if least is None:
        assert made.shortfalls
    else:
        assert not made.shortfalls
        assert made.cost_per_hour == pytest.approx(least)


HOSTS = st.lists(
    st.tuples(OFFERS.filter(len).map(lambda o: o[0]), st.sampled_from(HostState)),
    max_size=8,
).map(lambda items: [make_host(f"h{n}", *item) for n, item in enumerate(items)])


@settings(derandomize=True, deadline=None, max_examples=300)
@given(OFFERS, HOSTS, st.integers(0, 9), PERCENTS, LOSSES)
def test_constraints_hold_and_stops_take_nothing_needed(
    offers, hosts, demand, percent, loss
):
    policy = CapacityPolicy(zone_loss=loss, max_concurrent_replacements=100)
    need = make_need(demand, percent)
    made = plan([need], offers, hosts, policy)
    named = [item.host.host for item in (*made.stops, *made.keeps)]
    assert sorted(named) == sorted(host.host for host in hosts)
    stopped = {stop.host.host for stop in made.stops}
    staying = [
        host for host in hosts if host.state is not LEAVING and host.host not in stopped
    ]
    serving = [host for host in hosts if host.state is SERVING]
    left = [host for host in serving if host.host not in stopped]
    if len(left) < len(serving):
        assert count_survivors(left, loss) >= demand
    if not made.shortfalls:
        new = [make_host(f"n{n}", start.offer) for n, start in enumerate(made.starts)]
        assert count_survivors(staying + new, loss) >= demand
    # The limit may be exceeded by what runs already, never by what is started.
    reclaimable = sum(start.offer.reclaimable for start in made.starts)
    kept = [k.host for k in made.keeps if k.reason is KeepReason.NEEDED]
    wanted = len(kept) + len(made.starts)
    reclaimable += sum(host.offer.reclaimable for host in kept)
    assert reclaimable <= percent / 100 * wanted + 1e-6


@settings(derandomize=True, deadline=None, max_examples=100)
@given(OFFERS, HOSTS, st.integers(0, 6), PERCENTS, LOSSES)
def test_plans_settle_and_serve_on_the_way(offers, hosts, demand, percent, loss):
    # Guards against replacements that never end and against a stop that precedes them.
    policy = CapacityPolicy(zone_loss=loss)
    need = make_need(demand, percent)
    hosts = [host for host in hosts if host.state is not LEAVING]
    served = False
    for number in range(30):
        made = plan([need], offers, hosts, policy)
        hosts = carry_out(made, hosts, number)
        serving = [host for host in hosts if host.state is SERVING]
        assert not served or count_survivors(serving, loss) >= demand
        served = count_survivors(serving, loss) >= demand
        if not made.starts and not made.stops:
            break
    else:
        pytest.fail("the plans did not settle")


@pytest.mark.parametrize("loss", ZoneLoss)
def test_small_price_changes_move_nothing(loss):
    # Guards against oscillation; replacing every host for the cheapest does oscillate.
    rng = random.Random(5)
    policy = CapacityPolicy(zone_loss=loss)
    need, hosts, moves, naive_moves = make_need(6.4, 50.0), [], 0, 0
    cheapest = None
    for number in range(300):
        offers = [
            make_offer(zone, kind, rng.uniform(0.94, 1.06) * (0.4 if kind else 1))
            for zone in "abc"
            for kind in (True, False)
        ]
        made = plan([need], offers, hosts, policy)
        moves += len(made.stops) + len(made.starts)
        hosts = carry_out(made, hosts, number)
        zone = min(offers, key=lambda offer: offer.price_per_hour).zone
        naive_moves += zone != cheapest
        cheapest = zone
    assert moves == len(hosts)
    assert naive_moves > 100


def test_large_price_change_moves_two_at_a_time_and_serves_throughout():
    hosts = [make_host(f"h{n}", make_offer("abcd"[n % 4], True, 1.0)) for n in range(8)]
    offers = [make_offer(zone, True, 0.5, machine="m2") for zone in "abcd"]
    need = make_need(6.0)
    made = plan([need], offers, hosts)
    assert [start.reason for start in made.starts] == [StartReason.CHEAPER] * 2
    assert not made.stops
    loading = carry_out(made, hosts, 0, HostState.LOADING)
    assert not plan([need], offers, loading).starts


def test_wave_is_answered_before_the_hosts_are_gone():
    hosts = [make_host(f"h{n}", make_offer("abc"[n % 3], True, 0.4)) for n in range(6)]
    need = make_need(4.0)
    offers = [make_offer(zone, True, 0.4) for zone in "abc"]
    assert not plan([need], offers, hosts).starts
    taken = [
        attrs.evolve(h, state=LEAVING, leave_by_ms=NOW.wall_ms + 30_000)
        if h.offer.zone == "a"
        else h
        for h in hosts
    ]
    made = plan([need], offers[1:], taken)
    assert len(made.starts) == 4  # 4 of 8 in each of two zones
    assert Counter(keep.reason for keep in made.keeps)[KeepReason.RECLAIMED] == 2
    assert not made.stops


def test_machine_classes_of_like_price_are_mixed():
    # Guards against one class's shortage taking all workers of a service.
    offers = [
        make_offer(zone, machine=machine, price=price)
        for zone in "abc"
        for machine, price in [("m1", 1.0), ("m2", 1.04), ("m3", 1.2)]
    ]
    made = plan([make_need(4.0)], offers)
    classes = Counter(start.offer.machine_class for start in made.starts)
    assert classes == {"m1": 3, "m2": 3}


def test_unsuitable_and_refused_offers_are_not_used():
    offers = [
        make_offer("a", price=0.1, start_refused_until=NOW.plus_ms(1)),
        make_offer("b", price=0.2, accelerators=1),
        attrs.evolve(make_offer("c", price=0.1), data_centre="south"),
        make_offer("d", price=0.9, accelerators=4),
        make_offer("e", price=0.9, accelerators=4),
    ]
    made = plan([make_need(1.0, accelerators=4)], offers)
    assert {start.offer.zone for start in made.starts} == {"d", "e"}
    later = plan([make_need(1.0)], offers, now=NOW.plus_ms(1))
    assert "a" in {start.offer.zone for start in later.starts}


def four_hosts(**changes):
    hosts = [make_host(f"h{n}", make_offer("ab"[n % 2])) for n in range(4)]
    hosts[3] = attrs.evolve(hosts[3], **changes)
    return hosts


OLD = Instant(0, NOW.mono_ms - POLICY.max_data_age_ms - 1)
LONG_AGO = Instant(0, 0)
DRAINED = {"state": LEAVING, "in_flight": 0}
STOP_CASES = [
    # (failure guarded against, change of host 3, information, demand, expected)
    ("cost of an unneeded host", {}, {}, 0.9, (StopPhase.DRAIN, StopReason.NOT_NEEDED)),
    ("cloud API down", {}, {"reachable": False}, 0.9, KeepReason.CLOUD_UNREACHABLE),
    ("old offers", {}, {"offers_at": OLD}, 0.9, KeepReason.STALE_DATA),
    ("offers never read", {}, {"offers_at": None}, 0.9, KeepReason.STALE_DATA),
    ("old host list", {}, {"hosts_at": OLD}, 0.9, KeepReason.STALE_DATA),
    ("loss of the spare", {}, {}, 2, KeepReason.NEEDED),
    ("demand around a limit", {}, {}, 0.95, KeepReason.NEEDED),
    ("return never ordered", DRAINED, {}, 1, (StopPhase.RETURN, StopReason.DRAINED)),
    (
        "return by old information",
        DRAINED,
        {"hosts_at": OLD},
        1,
        KeepReason.STALE_DATA,
    ),
    (
        "request cut short",
        {"state": LEAVING, "in_flight": 1},
        {},
        1,
        KeepReason.DRAINING,
    ),
    ("unknown requests cut short", {"state": LEAVING}, {}, 1, KeepReason.DRAINING),
    (
        "late drain cut short",
        {"state": LEAVING, "in_flight": 1, "state_since": LONG_AGO},
        {},
        1,
        KeepReason.DRAIN_OVERDUE,
    ),
    (
        "start that never ends",
        {"state": HostState.STARTING, "state_since": LONG_AGO},
        {},
        2,
        (StopPhase.RETURN, StopReason.START_OVERDUE),
    ),
    (
        "start that an old list shows as unfinished",
        {"state": HostState.STARTING, "state_since": LONG_AGO},
        {"hosts_at": OLD},
        2,
        KeepReason.NEEDED,
    ),
]


@pytest.mark.parametrize(
    ("guards", "changes", "information", "demand", "expected"),
    STOP_CASES,
    ids=[case[0] for case in STOP_CASES],
)
def test_fate_of_a_host(guards, changes, information, demand, expected):
    offers = [make_offer("a"), make_offer("b")]
    made = plan([make_need(demand)], offers, four_hosts(**changes), **information)
    fates = {stop.host.host: (stop.phase, stop.reason) for stop in made.stops}
    fates |= {keep.host.host: keep.reason for keep in made.keeps}
    assert fates["h3"] == expected


SHORTFALL_CASES = [
    # (offers, demand, percent, reason, starts)
    ([make_offer("a")], 2, 100, ShortfallReason.RECLAIMS_ONLY, 2),
    ([make_offer("a", True)], 2, 100, ShortfallReason.NO_SPARE, 2),
    ([make_offer("a", True)], 2, 43, ShortfallReason.DEMAND, 0),
    ([], 2, 100, ShortfallReason.DEMAND, 0),
]


@pytest.mark.parametrize(
    ("offers", "demand", "percent", "reason", "starts"), SHORTFALL_CASES
)
def test_unmet_constraint_is_reported_and_the_rest_is_kept(
    offers, demand, percent, reason, starts
):
    # Guards against a plan that does nothing because it cannot do everything.
    made = plan([make_need(demand, percent)], offers)
    assert [item.reason for item in made.shortfalls] == [reason]
    assert len(made.starts) == starts


def test_hosts_are_not_stopped_while_a_constraint_is_unmet():
    hosts = [make_host(f"h{n}", make_offer("a")) for n in range(4)]
    made = plan([make_need(2.0)], [], hosts)
    assert not made.stops
    assert KeepReason.SHORTFALL in {keep.reason for keep in made.keeps}


@pytest.mark.parametrize(("state", "stopped"), [(HostState.LOADING, 0), (SERVING, 2)])
def test_old_version_serves_until_the_new_one_does(state, stopped):
    # Guards against a rollout's end that removes the only workers that serve.
    hosts = [make_host(f"o{n}", offer) for n, offer in enumerate(ZONES[:2])]
    hosts += [
        make_host(f"n{n}", offer, state, version="v2")
        for n, offer in enumerate(ZONES[:2])
    ]
    made = plan([make_need(1.0, version="v2")], ZONES, hosts)
    assert len(made.stops) == stopped


def test_needs_without_workers_start_first():
    hosts = [make_host(f"h{n}", make_offer("abc"[n])) for n in range(2)]
    needs = [make_need(2.0), make_need(3.0, version="v0")]
    made = plan(needs, ZONES, hosts)
    assert made.starts[0].version == "v0"
    assert [start.reason for start in made.starts] == sorted(
        (start.reason for start in made.starts), key=list(StartReason).index
    )


def test_demand_below_a_worker_needs_one():
    assert compute_needed_workers(make_need(0.1)) == 1
    assert compute_needed_workers(make_need(3.0, tokens_per_s_per_worker=1.5)) == 2
    assert compute_needed_workers(make_need(0.0)) == 0


def test_large_need_is_planned_quickly():
    # Guards against a search that grows with the square of the hosts.
    offers = [
        make_offer(zone, kind, 0.4 + 0.01 * n if kind else 1 + 0.01 * n)
        for n, zone in enumerate("abcd")
        for kind in (True, False)
    ]
    made = plan([make_need(600.0, 43.0)], offers)
    assert len(made.starts) >= 800
