"""Guards against requests that reach an evacuated data centre.

An operator evacuates one before it is switched off or repaired: whatever is sent there
is lost. No path that chooses an upstream may overlook the order.
"""

import attrs
import pytest
from evacuation_hosts import (
    ENGINE,
    POOL,
    OperatorHost,
    configure,
    make_entry,
    order,
    remove,
)

from waxwingbarrow.core import UpstreamId
from waxwingbarrow.gateway.base._model import Service
from waxwingbarrow.gateway.messages._messages import PlacementAdvice, PlacementQuery
from waxwingbarrow.gateway.requests._move_sources import MoveSources, may_continue
from waxwingbarrow.gateway.requests._plans import Plan, Refused
from waxwingbarrow.gateway.upstreams import Moved
from waxwingbarrow.gateway.upstreams._evacuations import MAX_MOVE_MS, MAX_SPREAD_MS
from waxwingbarrow.gateway.upstreams._upstreams import Job

QUERY = PlacementQuery(
    service=POOL,
    data_centre="a",
    prompt_tokens=100,
    output_tokens=10,
    parts=[],
    latest_start_ms=5_000.0,
    version="",
    excluded_versions=[],
    avoided_upstreams=[],
)
COLD_SERVICE = Service(name=POOL, engine=ENGINE, cold_start_s=6.0, cold_limit_per_s=4.0)


def make_host(**fields):
    host = OperatorHost(**fields)
    host.read(configure())
    return host


class TestOrders:
    @pytest.mark.parametrize("value", [b"{}", b"\xff\x00", b"no json", b"[", b"9"])
    def test_the_key_decides_whatever_the_value_is(self, value):
        # The value 9 would be a newer configuration, without any service.
        host = make_host()
        host.read(order(1, "b", value))
        assert host.list_chosen() == {"u-a", "u-c"}
        assert host.planner.table.configuration.version == 1

    def test_deleting_the_record_revokes_the_order(self):
        host = make_host()
        host.read(order(1, "b"))
        host.read(remove(2, "b"))
        assert host.list_chosen() == {"u-a", "u-b", "u-c"}

    def test_a_listing_without_the_record_revokes_the_order(self):
        # A host that was cut off may miss the record of the removal altogether.
        host = make_host()
        host.read(order(1, "b"))
        host.list(configure(), end=9)
        assert host.list_chosen() == {"u-a", "u-b", "u-c"}

    @pytest.mark.parametrize("in_one_page", [True, False])
    def test_the_newest_of_several_records_decides(self, in_one_page):
        host = make_host()
        records = [order(1, "b"), remove(2, "b"), order(3, "b"), remove(4, "b")]
        for count, chosen in [(3, {"u-a", "u-c"}), (1, {"u-a", "u-b", "u-c"})]:
            batch, records = records[:count], records[count:]
            if in_one_page:
                host.read(*batch)
            else:
                for record in batch:
                    host.read(record)
            assert host.list_chosen() == chosen

    def test_an_older_listing_of_a_peer_changes_nothing(self):
        host = make_host()
        host.read(order(1, "b"))
        host.list(configure(), end=1)
        assert host.list_chosen() == {"u-a", "u-c"}

    def test_a_host_that_restarts_knows_the_order_before_it_serves(self):
        host = OperatorHost()
        assert isinstance(host.plan(), Refused)
        host.list(configure(), order(1, "b"), end=2)
        assert isinstance(host.plan(), Plan)
        assert host.list_chosen() == {"u-a", "u-c"}

    def test_an_upstream_that_registers_after_the_order_gets_nothing(self):
        host = make_host()
        host.read(order(1, "b"))
        host.fleet.put(make_entry("u-b2", "b"), host.clock.now())
        assert host.list_chosen() == {"u-a", "u-c"}

    def test_a_record_that_cannot_be_applied_does_not_hide_an_order(self):
        host = make_host()
        host.read(configure(1, version=0), order(2, "b"))
        assert host.list_chosen() == {"u-a", "u-c"}


class TestChoices:
    def test_a_retry_does_not_go_to_an_evacuated_data_centre(self):
        host = make_host()
        plan = host.make_plan()
        host.planner.select_upstream(plan, host.clock.now())
        plan.tried_upstreams.add(UpstreamId("u-a"))
        host.read(order(1, "b"))
        assert host.list_chosen(plan) == {"u-c"}

    def test_the_keeper_advises_no_evacuated_data_centre(self):
        host = make_host()
        host.read(order(1, "b"))
        advised = {
            host.adviser.advise(QUERY, ("", number), host.clock.now()).upstream
            for number in range(60)
        }
        assert advised == {"u-a", "u-c"}

    def test_the_keeper_advises_nothing_if_all_are_evacuated(self):
        host = make_host()
        host.read(order(1, "a"), order(2, "b"), order(3, "c"))
        assert host.adviser.advise(QUERY, ("", 1), host.clock.now()) is None

    def test_advice_of_a_keeper_that_does_not_know_the_order_is_not_followed(self):
        host = make_host()
        host.read(order(1, "b"))
        plan = host.make_plan()
        plan.advice = PlacementAdvice("u-b", 1.0, 0, 0, 3, True)
        upstream, _ = host.planner.select_upstream(plan, host.clock.now())
        assert upstream.entry.upstream != "u-b"
        assert plan.advice_source is None

    def test_a_run_is_not_moved_to_an_evacuated_data_centre(self):
        host = make_host(centres="ab")
        source = host.fleet.upstreams["u-a"]
        host.read(order(1, "b"))
        host.fleet.put(make_entry("u-a", "a", leaving=True, sequence=1), _now(host))
        assert (
            host.planner.select_move_target(host.make_plan(), source, _now(host))
            is None
        )

    def test_a_request_without_another_data_centre_is_refused_at_once(self):
        host = make_host(centres="b")
        host.read(order(1, "b"))
        refused = host.plan()
        assert (refused.status, refused.reason) == (503, "all upstreams are evacuated")
        assert refused.retry_after_s > 0
        host.read(remove(2, "b"))
        assert isinstance(host.plan(), Plan)

    def test_a_service_without_any_upstream_is_refused_as_before(self):
        host = make_host(centres="b")
        host.fleet.remove(UpstreamId("u-b"), _now(host))
        host.read(order(1, "b"))
        assert isinstance(host.plan(), Plan)


def _now(host):
    return host.clock.now()


def start_job(host, name):
    host.fleet.upstreams[name].jobs.add(Job("q", None, 0, 0, 0))


class TestMoves:
    """A call that moves a run, and a run that goes on, reach the data centre."""

    def list_sources(self, host, sources):
        return {item.entry.upstream for item, _ in sources.list(_now(host))}

    def make_serving_host(self):
        host = make_host()
        start_job(host, "u-b")
        sources = MoveSources(host.fleet)
        for _ in range(40):
            assert self.list_sources(host, sources) == set()
            host.clock.advance_ms(250)
        return host, sources

    def test_runs_are_moved_only_shortly_after_the_order(self):
        host, sources = self.make_serving_host()
        host.read(order(1, "b"))
        moved_ms = []
        for ms in range(0, 10_000, 250):
            if self.list_sources(host, sources):
                moved_ms.append(ms)
            host.clock.advance_ms(250)
        assert moved_ms
        assert MAX_SPREAD_MS + max(moved_ms) + MAX_MOVE_MS < 5_000

    def test_a_leaving_upstream_of_an_evacuated_data_centre_is_no_longer_asked(self):
        host, sources = self.make_serving_host()
        leaving = make_entry("u-b", "b", leaving=True, sequence=1, leaves_in_ms=60_000)
        host.fleet.put(leaving, _now(host))
        assert self.list_sources(host, sources) == {"u-b"}
        host.read(order(1, "b"))
        for _ in range(8):
            host.clock.advance_ms(250)
            self.list_sources(host, sources)
        assert self.list_sources(host, sources) == set()

    def test_a_host_that_was_out_of_contact_moves_nothing(self):
        # It learns of the order late, when nothing may reach the data centre any more.
        host, sources = self.make_serving_host()
        host.fleet.evacuations.note_out_of_contact(_now(host))
        host.clock.advance_ms(250)
        host.read(order(1, "b"))
        assert self.list_sources(host, sources) == set()

    def test_a_host_that_was_frozen_moves_nothing(self):
        host, sources = self.make_serving_host()
        host.clock.advance_ms(8_000)
        assert self.list_sources(host, sources) == set()
        host.read(order(1, "b"))
        assert self.list_sources(host, sources) == set()

    @pytest.mark.parametrize(
        ("age_ms", "may"), [(0, True), (1_900, True), (2_000, False)]
    )
    def test_a_moved_run_goes_on_in_an_evacuated_data_centre_only_for_a_moment(
        self, age_ms, may
    ):
        host, _ = self.make_serving_host()
        moved = Moved(host.fleet.upstreams["u-b"], "x/y")
        assert may_continue(moved, host.fleet, _now(host))
        host.read(order(1, "b"))
        host.clock.advance_ms(age_ms)
        assert may_continue(moved, host.fleet, _now(host)) is may
        assert may_continue(
            attrs.evolve(moved, upstream=host.fleet.upstreams["u-a"]),
            host.fleet,
            _now(host),
        )


class TestReturn:
    """Upstreams may be cold when their data centre is used again."""

    def find_limit(self, host, name="u-b"):
        process = host.fleet.upstreams[name].process
        return host.fleet.notices.find_limit_per_s(process)

    def test_traffic_returns_at_the_rate_that_cold_upstreams_tolerate(self):
        host = make_host(service=COLD_SERVICE)
        host.read(order(1, "b"))
        host.clock.advance_ms(30_000)
        host.read(remove(2, "b"))
        assert self.find_limit(host) == 4.0
        assert self.find_limit(host, "u-a") is None
        host.clock.advance_ms(5_900)
        host.fleet.notices.return_limits.remove_expired(_now(host))
        assert self.find_limit(host) == 4.0
        host.clock.advance_ms(100)
        host.fleet.notices.return_limits.remove_expired(_now(host))
        assert self.find_limit(host) is None

    def test_a_service_without_a_cold_phase_is_used_fully_at_once(self):
        host = make_host()
        host.read(order(1, "b"))
        host.read(remove(2, "b"))
        assert self.find_limit(host) is None

    def test_the_lower_one_of_a_stated_limit_and_the_return_limit_applies(self):
        host = make_host(service=COLD_SERVICE)
        process = host.fleet.upstreams["u-b"].process
        host.read(order(1, "b"))
        host.read(remove(2, "b"))
        for stated, limit in [(1.5, 1.5), (9.0, 4.0)]:
            host.fleet.notices._set_limit(process, stated, 0, _now(host))
            assert self.find_limit(host) == limit

    async def test_a_response_without_a_limit_does_not_end_the_return_limit(self):
        # Upstreams that are not limited say nothing, also while they are cold.
        host = make_host(service=COLD_SERVICE)
        process = host.fleet.upstreams["u-b"].process
        host.read(order(1, "b"))
        host.read(remove(2, "b"))
        sent = 0
        for _ in range(60):
            host.clock.advance_ms(50)
            if host.fleet.notices.measure_deferral_ms(process, _now(host)):
                continue
            if await host.permits.acquire(process):
                sent += 1
        assert 8 <= sent <= 13

    def test_a_keeper_that_does_not_know_of_the_return_grants_next_to_nothing(self):
        # A host that has read the removal asks it before the keeper has read it.
        host = make_host(service=COLD_SERVICE)
        process = host.fleet.upstreams["u-b"].process
        host.read(order(1, "b"))
        keeper = host.permits.keeper
        granted = 0
        for _ in range(40):
            host.clock.advance_ms(50)
            granted += keeper.take(process, _now(host)).is_ok()
        assert granted <= 1

    def test_a_registration_that_lapsed_meanwhile_does_not_stay_closed(self):
        host = make_host(service=COLD_SERVICE)
        entry = host.fleet.upstreams["u-b"].entry
        host.read(order(1, "b"))
        host.fleet.remove(entry.upstream, _now(host))
        host.read(remove(2, "b"))
        host.fleet.put(entry, _now(host))
        assert self.find_limit(host) == 4.0
        host.clock.advance_ms(6_000)
        host.fleet.notices.return_limits.remove_expired(_now(host))
        assert self.find_limit(host) is None

    def test_peers_are_told_nothing_of_the_return_limit(self):
        # Each host derives it from the orders, and knows when it ends.
        host, other = make_host(service=COLD_SERVICE), make_host()
        process = host.fleet.upstreams["u-b"].process
        other.fleet.notices._set_limit(process, 2.0, 0, _now(other))
        for known in (host, other):
            known.clock.advance_ms(2_000)
        host.read(order(1, "b"))
        host.read(remove(2, "b"))
        host.fleet.notices.record_permit_wait(process, 50, _now(host))
        other.fleet.notices.update_from_peer(
            [
                host.fleet.notices.make_report(process, _now(host)),
                *host.fleet.notices.list_reports(_now(host)),
            ],
            _now(other),
        )
        assert self.find_limit(other) == 2.0
