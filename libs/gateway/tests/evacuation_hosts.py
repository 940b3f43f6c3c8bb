"""Hosts that apply the operator's topic, for tests of evacuations."""

import random

from peer_network import make_permits
from result import Err, Ok

from waxwingbarrow.core import (
    DataCentre,
    HostId,
    ManualClock,
    RouteName,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.gateway.admission._permit_keeper import PermitKeeper
from waxwingbarrow.gateway.admission._placements import PlacementAdviser
from waxwingbarrow.gateway.admission._quota_admission import QuotaAdmission
from waxwingbarrow.gateway.admission._quota_keeper import QuotaKeeper
from waxwingbarrow.gateway.admission._quotas import Quotas
from waxwingbarrow.gateway.base._model import (
    Backend,
    Call,
    CallMetadata,
    Configuration,
    Engine,
    Route,
    RouteKind,
    Service,
    UpstreamEntry,
)
from waxwingbarrow.gateway.base._operator_keys import EvacuationKey
from waxwingbarrow.gateway.base._ports import KeyedPage, KeyedRecord, Topic, Unreadable
from waxwingbarrow.gateway.configuration._change_applier import ChangeApplier
from waxwingbarrow.gateway.peers._members import Members
from waxwingbarrow.gateway.replication._follower import StoreHealth
from waxwingbarrow.gateway.replication._replica import Replica
from waxwingbarrow.gateway.requests._planner import Planner
from waxwingbarrow.gateway.requests._plans import Plan, Refused, RequestTrace
from waxwingbarrow.gateway.requests._rollouts import Rollouts
from waxwingbarrow.gateway.requests._work_meter import WorkMeter
from waxwingbarrow.gateway.upstreams._crash_tracker import CrashTracker, Fingerprints
from waxwingbarrow.gateway.upstreams._fleet import Fleet
from waxwingbarrow.rollout import CanaryPolicy
from waxwingbarrow.routing import PlacementPolicy

POOL = ServiceName("pool")
ORDER_PREFIX = "order:"
ENGINE = Engine(slots=8, memory_tokens=100_000, can_move=True)
ROUTE = Route(
    name=RouteName("r"),
    host="h",
    path_prefix="/",
    kind=RouteKind.STREAM,
    backends=(Backend(POOL, 1.0),),
    resumable=True,
    max_attempts=3,
)
METADATA = CallMetadata(
    request_id="q", prompt_tokens=1_000, max_output_tokens=10, has_token_counts=True
)


class OperatorCodec:
    """Codec of records whose key begins with `ORDER_PREFIX`, or names a version."""

    def __init__(self, service=None):
        self.service = service or Service(name=POOL, engine=ENGINE)

    def read_operator_key(self, key):
        if key.startswith(ORDER_PREFIX):
            return EvacuationKey(DataCentre(key.removeprefix(ORDER_PREFIX)))
        return None

    def read_configuration(self, value):
        if not value.isdigit():
            return Err(Unreadable("not a number"))
        return Ok(
            Configuration(version=int(value), routes=(ROUTE,), services=(self.service,))
        )

    def read_call(self, call):
        return Ok(METADATA)


def make_entry(name, data_centre, **fields):
    fields = {"service": POOL, "version": VersionName("v1"), "port": 80} | fields
    return UpstreamEntry(
        upstream=UpstreamId(name),
        host="10.9.0.1",
        data_centre=DataCentre(data_centre),
        **fields,
    )


class OperatorHost:
    """A host that knows one upstream `u-X` in each data centre X.

    Parameters
    ----------
    fleet, replica, permits : Fleet, Replica and Permits, optional
        Those of a host of a simulated network.
    """

    def __init__(
        self,
        centres="abc",
        clock=None,
        service=None,
        fleet=None,
        replica=None,
        permits=None,
    ):
        self.clock = clock or ManualClock()
        self.fleet = Fleet() if fleet is None else fleet
        self.replica = Replica() if replica is None else replica
        self.permits = permits or make_permits(self.fleet, self.clock)
        self.codec = OperatorCodec(service)
        self.store_health = StoreHealth(self.clock)
        policy = PlacementPolicy(data_centre=DataCentre(centres[0]))
        rng = random.Random(1)
        quotas, rollouts = Quotas(), Rollouts(CanaryPolicy())
        self.planner = Planner(
            self.codec,
            self.fleet,
            quotas,
            QuotaAdmission(
                quotas, QuotaKeeper(quotas), self.clock, lambda now: [], None
            ),
            rollouts,
            CrashTracker(),
            WorkMeter(),
            policy,
            rng,
            lambda now: None,
            self.permits,
        )
        self.adviser = PlacementAdviser(
            self.fleet,
            policy,
            rng,
            self.planner.find_engine,
            PermitKeeper(self.fleet.notices, lambda now: 1.0),
        )
        self.change_applier = ChangeApplier(
            self.codec,
            self.clock,
            {Topic.OPERATOR: self.replica},
            self.store_health,
            self.planner,
            self.fleet,
            quotas,
            rollouts,
            Members(HostId("h")),
            lambda now: 1,
        )
        for centre in centres:
            self.fleet.put(make_entry(f"u-{centre}", centre), self.clock.now())

    def read(self, *records, end=None):
        """Apply records as the store returns them."""
        page = KeyedPage(records, end or records[-1].offset + 1)
        change = self.replica.apply_records(page)
        self.replica.is_loaded = True
        self.change_applier.apply_change(Topic.OPERATOR, change)

    def list(self, *records, end):
        """Apply a listing of all keys."""
        change = self.replica.apply_listing(KeyedPage(records, end))
        self.change_applier.apply_change(Topic.OPERATOR, change)

    def plan(self):
        now = self.clock.now()
        call = Call(b"POST", b"/", [(b"Host", b"h")], b"", now.mono_ms)
        return self.planner.plan(call, now)

    def make_plan(self):
        now = self.clock.now()
        call = Call(b"POST", b"/", [], b"", now.mono_ms)
        return Plan(
            call,
            METADATA,
            ROUTE,
            None,
            0.0,
            now.plus_ms(10_000),
            Fingerprints("f"),
            RequestTrace("q"),
        )

    def list_chosen(self, plan=None):
        """Return the names of the upstreams that a plan may choose, in any order."""
        chosen = set()
        plan = plan or self.make_plan()
        while True:
            selected = self.planner.select_upstream(plan, self.clock.now())
            if isinstance(selected, Refused):
                return chosen
            chosen.add(selected[0].entry.upstream)
            plan.tried_upstreams.add(selected[0].entry.upstream)


def configure(offset=0, version=1):
    return KeyedRecord(offset, "config", b"%d" % version)


def order(offset, centre, value=b"{}"):
    return KeyedRecord(offset, ORDER_PREFIX + centre, value)


def remove(offset, centre):
    return KeyedRecord(offset, ORDER_PREFIX + centre, b"")
