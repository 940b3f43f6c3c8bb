"""Guards against the removal of live upstreams after an outage of the store.

Upstreams cannot renew their registrations during the outage, so these lapse.
"""

import random

import pytest
from peer_network import make_permits
from result import Ok

from waxwingbarrow.core import (
    DataCentre,
    HostId,
    ManualClock,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.gateway import KeyedRecord, StoreUnreachable, Topic, UpstreamEntry
from waxwingbarrow.gateway.admission._quota_admission import QuotaAdmission
from waxwingbarrow.gateway.admission._quota_keeper import QuotaKeeper
from waxwingbarrow.gateway.admission._quotas import Quotas
from waxwingbarrow.gateway.configuration._change_applier import ChangeApplier
from waxwingbarrow.gateway.peers._members import Members
from waxwingbarrow.gateway.replication._follower import StoreHealth
from waxwingbarrow.gateway.replication._replica import Change, Replica
from waxwingbarrow.gateway.requests._planner import Planner
from waxwingbarrow.gateway.requests._rollouts import Rollouts
from waxwingbarrow.gateway.requests._work_meter import WorkMeter
from waxwingbarrow.gateway.upstreams._crash_tracker import CrashTracker
from waxwingbarrow.gateway.upstreams._fleet import Fleet
from waxwingbarrow.rollout import CanaryPolicy
from waxwingbarrow.routing import PlacementPolicy

POOL = ServiceName("pool")


class FakeCodec:
    def read_upstream(self, key, value):
        return Ok(
            UpstreamEntry(
                upstream=UpstreamId(key),
                service=POOL,
                host="10.0.0.1",
                port=80,
                data_centre=DataCentre("a"),
                version=VersionName("v1"),
                sequence=int(value),
            )
        )


class Host:
    """A host that knows two registered upstreams, with a clock set by the test."""

    def __init__(self):
        self.clock = ManualClock()
        self.fleet = Fleet()
        self.store_health = StoreHealth(self.clock)
        codec, quotas, rollouts = FakeCodec(), Quotas(), Rollouts(CanaryPolicy())
        planner = Planner(
            codec,
            self.fleet,
            quotas,
            QuotaAdmission(
                quotas, QuotaKeeper(quotas), self.clock, lambda now: None, None
            ),
            rollouts,
            CrashTracker(),
            WorkMeter(),
            PlacementPolicy(data_centre=DataCentre("a")),
            random.Random(1),
            lambda now: None,
            make_permits(self.fleet, self.clock),
        )
        self.change_applier = ChangeApplier(
            codec,
            self.clock,
            {Topic.UPSTREAMS: Replica()},
            self.store_health,
            planner,
            self.fleet,
            quotas,
            rollouts,
            Members(HostId("h")),
            lambda now: 1,
        )
        self.register("u1", 1)
        self.register("u2", 1)

    def register(self, name, sequence):
        record = KeyedRecord(sequence, name, str(sequence).encode())
        self.change_applier.apply_change(Topic.UPSTREAMS, Change((record,), ()))

    def lapse(self, name):
        self.change_applier.apply_change(Topic.UPSTREAMS, Change((), (name,)))

    def lose_store(self):
        self.store_health.record_failure(Topic.UPSTREAMS, StoreUnreachable("away"))

    def wait(self, ms):
        self.clock.advance_ms(ms)
        self.change_applier.remove_lapsed(self.clock.now())

    def is_suspect(self, name):
        upstream = self.fleet.upstreams[UpstreamId(name)]
        views = self.fleet.view([upstream], (), None, self.clock.now())
        return views[0].is_suspect


def test_an_upstream_is_removed_if_its_registration_lapses_while_the_store_answers():
    host = Host()
    host.lapse("u1")
    assert set(host.fleet.upstreams) == {"u2"}


@pytest.mark.parametrize("store_returns_first", [True, False])
def test_a_lapsed_upstream_is_suspect_until_two_seconds_after_the_stores_return(
    store_returns_first,
):
    host = Host()
    host.lose_store()
    host.wait(1_000)
    if store_returns_first:
        host.store_health.record_success()
        host.lapse("u1")
    else:
        # The lapse became known from a peer that reaches the store.
        host.lapse("u1")
        host.wait(5_000)
        host.store_health.record_success()
    host.wait(1_900)
    assert host.is_suspect("u1")
    assert not host.is_suspect("u2")
    host.wait(200)
    assert set(host.fleet.upstreams) == {"u2"}


def test_an_upstream_that_registers_again_is_no_longer_suspect():
    host = Host()
    host.lose_store()
    host.lapse("u1")
    host.store_health.record_success()
    host.wait(1_000)
    host.register("u1", 2)
    host.wait(5_000)
    assert not host.is_suspect("u1")


def test_lapsed_upstreams_are_kept_while_the_store_is_unavailable():
    host = Host()
    host.lose_store()
    host.lapse("u1")
    host.wait(60_000)
    assert set(host.fleet.upstreams) == {"u1", "u2"}
