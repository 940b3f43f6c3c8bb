"""Guards against wrong state of upstreams, topics, rollouts and crashing requests.

A host derives it from registrations, records and messages of peers, which may arrive
late, repeated or out of order.
"""

import attrs
import pytest

from waxwingbarrow.core import (
    DataCentre,
    Instant,
    RouteName,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.gateway import (
    KeyedPage,
    KeyedRecord,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    UpstreamEntry,
)
from waxwingbarrow.gateway.replication._replica import Replica
from waxwingbarrow.gateway.requests._rollouts import Rollouts
from waxwingbarrow.gateway.upstreams._fleet import Fleet
from waxwingbarrow.rollout import CanaryPolicy

POOL = ServiceName("pool")
ENTRY = UpstreamEntry(
    upstream=UpstreamId("u1"),
    service=POOL,
    host="10.0.0.1",
    port=80,
    data_centre=DataCentre("a"),
    version=VersionName("v1"),
    slots=4,
    process_started_ms=1_000,
    sequence=5,
)
OLD, NEW = VersionName("v1"), VersionName("v2")


def at(ms):
    return Instant(1_000_000 + ms, ms)


class TestFleet:
    def test_an_upstream_that_restarts_under_the_same_id_replaces_the_old_one(self):
        fleet = Fleet()
        fleet.put(ENTRY, at(0))
        first = fleet.upstreams[ENTRY.upstream]
        fleet.put(attrs.evolve(ENTRY, process_started_ms=9_000, sequence=1), at(1))
        assert first.gone
        assert fleet.upstreams[ENTRY.upstream] is not first

    @pytest.mark.parametrize(
        "late",
        [
            attrs.evolve(ENTRY, process_started_ms=500, sequence=90),
            attrs.evolve(ENTRY, sequence=4),
        ],
    )
    def test_a_late_registration_does_not_undo_leaving(self, late):
        fleet = Fleet()
        fleet.put(attrs.evolve(ENTRY, leaving=True), at(0))
        fleet.put(late, at(1))
        assert fleet.list_usable(POOL, None) == []

    def test_a_leaving_or_removed_upstream_is_not_usable(self):
        fleet = Fleet()
        fleet.put(ENTRY, at(0))
        assert len(fleet.list_usable(POOL, None)) == 1
        fleet.remove(ENTRY.upstream, at(0))
        assert fleet.list_usable(POOL, None) == []

    def test_an_unreachable_upstream_is_suspect_only_for_a_while(self):
        fleet = Fleet()
        fleet.put(ENTRY, at(0))
        upstream = fleet.upstreams[ENTRY.upstream]

        def is_suspect(ms):
            return fleet.view([upstream], (), None, at(ms))[0].is_suspect

        assert not is_suspect(0)
        fleet.record_unreachable(upstream, at(10))
        assert is_suspect(100)
        assert not is_suspect(1_500)

    def test_the_failure_rate_decays_without_requests(self):
        fleet = Fleet()
        fleet.put(ENTRY, at(0))
        upstream = fleet.upstreams[ENTRY.upstream]
        for _ in range(10):
            upstream.record(True, at(0))
        high = upstream.compute_failure_rate(at(0))
        assert high > 0.5
        assert upstream.compute_failure_rate(at(10_000)) < high / 10

    def test_the_hash_depends_on_the_upstreams_but_not_on_their_heartbeats(self):
        first, second = Fleet(), Fleet()
        other = attrs.evolve(ENTRY, upstream=UpstreamId("u2"))
        first.put(ENTRY, at(0))
        first.put(other, at(0))
        second.put(other, at(0))
        second.put(attrs.evolve(ENTRY, sequence=99), at(0))
        assert first.compute_hash() == second.compute_hash()
        second.put(attrs.evolve(ENTRY, sequence=100, leaving=True), at(0))
        assert first.compute_hash() != second.compute_hash()


def page(*records, end=None):
    made = tuple(KeyedRecord(*record) for record in records)
    return KeyedPage(made, made[-1].offset + 1 if end is None else end)


class TestReplica:
    def test_known_records_are_skipped_and_the_newest_of_a_key_is_kept(self):
        replica = Replica()
        replica.apply_listing(page((0, "a", b"1"), (1, "b", b"1")))
        change = replica.apply_records(
            page((1, "b", b"1"), (2, "a", b"2"), (3, "a", b"3"))
        )
        assert [(r.key, r.value) for r in change.changed] == [("a", b"3")]
        assert replica.end == 4

    def test_a_record_without_a_value_removes_its_key(self):
        replica = Replica()
        replica.apply_listing(page((0, "a", b"1")))
        assert replica.apply_records(page((1, "a", b""))).removed == ("a",)

    def test_a_new_listing_removes_keys_that_are_not_in_it(self):
        replica = Replica()
        replica.apply_listing(page((0, "a", b"1"), (1, "b", b"1")))
        change = replica.apply_listing(page((5, "b", b"2")))
        assert change.removed == ("a",)
        assert [record.key for record in change.changed] == ["b"]

    def test_an_older_listing_from_a_peer_changes_nothing(self):
        replica = Replica()
        replica.apply_listing(page((7, "a", b"new")))
        change = replica.apply_listing(page((3, "a", b"old")))
        assert change.changed == ()
        assert replica.records["a"].value == b"new"


ORDER = RolloutOrder(service=POOL, to_version=NEW, duration_s=12.0, offset=4)


def status(state):
    return RolloutStatus(service=POOL, to_version=NEW, state=state)


class TestRollouts:
    def make(self):
        rollouts = Rollouts(CanaryPolicy())
        rollouts.apply_order(ORDER, at(0))
        return rollouts

    def count_new(self, rollouts, known=frozenset({OLD, NEW})):
        rules = [rollouts.find_rule(POOL, f"r{n}", set(known)) for n in range(2_000)]
        return sum(rule.only == NEW for rule in rules) / len(rules)

    def test_the_new_version_gets_a_small_share_while_undecided(self):
        assert 0.04 < self.count_new(self.make()) < 0.1

    def test_all_requests_move_when_the_completion_is_recorded(self):
        rollouts = self.make()
        rollouts.apply_status(status(RolloutState.DONE))
        assert self.count_new(rollouts) == 1.0

    def test_a_withdrawn_version_gets_no_requests(self):
        rollouts = self.make()
        rollouts.apply_status(status(RolloutState.WITHDRAWN))
        rule = rollouts.find_rule(POOL, "r", {OLD, NEW})
        assert NEW in rule.excluded
        assert self.count_new(rollouts) == 0

    def test_failures_counted_by_several_hosts_withdraw_a_version(self):
        rollouts = self.make()
        route = RouteName("r")
        for _ in range(200):
            rollouts.record(POOL, OLD, route, False, 50)
        for _ in range(6):
            rollouts.record(POOL, NEW, route, False, 50)
        rollouts.decide(at(1_000))
        assert rollouts.list_withdrawn() == []
        for host in ("h2", "h3"):
            rollouts.update_from_peer((host, 1), (POOL, 4, True, "r", 6, 3, 12.0))
        rollouts.decide(at(1_200))
        assert rollouts.list_withdrawn() == [(POOL, 4)]
        assert self.count_new(rollouts) == 0

    def test_a_withdrawal_by_a_peer_is_applied_if_it_is_of_the_same_order(self):
        rollouts = self.make()
        rollouts.apply_withdrawals([(POOL, 3)])
        assert self.count_new(rollouts) > 0
        rollouts.apply_withdrawals([(POOL, 4)])
        assert self.count_new(rollouts) == 0

    def test_a_state_recorded_in_the_store_overrides_a_withdrawal(self):
        rollouts = self.make()
        rollouts.apply_withdrawals([(POOL, 4)])
        rollouts.apply_status(status(RolloutState.DONE))
        assert self.count_new(rollouts) == 1.0

    def test_an_order_that_is_read_again_does_not_restart_the_rollout(self):
        rollouts = self.make()
        rollouts.apply_status(status(RolloutState.WITHDRAWN))
        rollouts.apply_order(ORDER, at(9_000))
        assert self.count_new(rollouts) == 0
