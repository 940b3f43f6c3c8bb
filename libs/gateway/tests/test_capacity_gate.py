"""Guards admission by urgency over the hosts: who decides, waits, pays and returns.

Load pattern: more requests to model engines than these can start within the objectives,
while callers leave, the keeper is lost, or it refuses what it has charged.
"""

import asyncio
import random

import attrs
import msgspec
import pytest
from peer_network import make_permits

from waxwingbarrow.core import (
    AccountId,
    DataCentre,
    ManualClock,
    RequestId,
    RouteName,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.gateway.admission import (
    Charge,
    QuotaAdmission,
    QuotaKeeper,
    Quotas,
    ServiceAdmissions,
)
from waxwingbarrow.gateway.base import (
    Account,
    AdmissionSettings,
    Backend,
    Call,
    CallMetadata,
    Configuration,
    Engine,
    Metrics,
    Route,
    RouteKind,
    Service,
    UpstreamEntry,
)
from waxwingbarrow.gateway.messages import (
    MESSAGE_FORMAT,
    CapacityAnswer,
    CapacityDecision,
    PlacementAdvice,
    QuotaReply,
)
from waxwingbarrow.gateway.requests import CapacityGate, Planner, Rollouts, WorkMeter
from waxwingbarrow.gateway.requests import _capacity_gate as capacity_gate_module
from waxwingbarrow.gateway.requests._plans import Plan, Refused, RequestTrace
from waxwingbarrow.gateway.requests._routes import RouteTable
from waxwingbarrow.gateway.upstreams import CrashTracker, Fingerprints, Fleet
from waxwingbarrow.gateway.upstreams._upstreams import Load
from waxwingbarrow.rollout import CanaryPolicy
from waxwingbarrow.routing import PlacementPolicy

POOL = ServiceName("pool")
ENGINE = Engine(slots=32, memory_tokens=500_000)
POLICY = PlacementPolicy(data_centre=DataCentre("a"))
SETTINGS = AdmissionSettings(by_urgency=True)
URGENT = Route(
    name=RouteName("urgent"),
    host="h",
    path_prefix="/",
    kind=RouteKind.STREAM,
    backends=(Backend(POOL, 1.0),),
    timeout_ms=10_000.0,
    objective_ms=400.0,
    priority=0,
)
LOW = attrs.evolve(URGENT, name=RouteName("low"), objective_ms=2_000.0, priority=2)
ACCOUNT = Account(name=AccountId("one"), keys=("k",), rate_per_s=100.0, burst=100.0)
# Prefill tokens of 20 ms and of 330 ms.
SMALL, BACKLOG = 1_100, 18_150
SERVE = CapacityAnswer(CapacityDecision.SERVE)
WAIT = CapacityAnswer(CapacityDecision.WAIT, 30.0, 7, True)
REFUSE = CapacityAnswer(CapacityDecision.REFUSE, 1_500.0, 0, True)


class Host:
    """A host with two engines, and a keeper whose answers the test sets."""

    def __init__(self, answers=(), is_enabled=True, keepers=("",)):
        self.clock = ManualClock()
        self.fleet = Fleet()
        self.queries = []
        self.answers = list(answers)
        self.keepers = list(keepers)
        self.quotas = Quotas(is_first_start=True)
        self.quotas.set_accounts([ACCOUNT], 1, self.clock.now())
        self.keeper = QuotaKeeper(self.quotas)
        self.quota_admission = QuotaAdmission(
            self.quotas,
            self.keeper,
            self.clock,
            lambda now: self.keepers,
            lambda request, address: None,
            self.advise,
        )
        self.work_meter = WorkMeter()
        self.metrics = Metrics()
        gate = CapacityGate(
            ServiceAdmissions(SETTINGS, random.Random(1)),
            self.quota_admission,
            self.work_meter,
            self.metrics,
            self.clock,
            lambda now: 1,
            POLICY,
            self.fleet.estimates.find_planned_speed,
        )
        self.planner = Planner(
            None,
            self.fleet,
            self.quotas,
            self.quota_admission,
            Rollouts(CanaryPolicy()),
            CrashTracker(),
            self.work_meter,
            POLICY,
            random.Random(1),
            lambda now: None,
            make_permits(self.fleet, self.clock),
            gate if is_enabled else None,
        )
        self.planner.table = RouteTable(
            Configuration(
                version=1,
                routes=(URGENT,),
                services=(Service(name=POOL, engine=ENGINE),),
            )
        )
        for name in ("u1", "u2"):
            self.fleet.put(make_entry(name), self.clock.now())

    def advise(self, query, key, now):
        self.queries.append(query)
        admission = self.answers.pop(0) if self.answers else None
        return PlacementAdvice("u1", 5.0, 0, 0, 2, True, admission)

    def fill(self, tokens=BACKLOG):
        """Let another host report a backlog at both engines."""
        now = self.clock.now()
        for upstream in self.fleet.upstreams.values():
            upstream.peer_loads["other"] = (Load(1, tokens, 0), now.mono_ms)

    def make_plan(self, route=URGENT, account=ACCOUNT, body=b"", **metadata):
        now = self.clock.now()
        values = {
            "prompt_tokens": SMALL,
            "max_output_tokens": 10,
            "has_token_counts": True,
            **metadata,
        }
        return Plan(
            Call(b"POST", b"/", [], body, now.mono_ms),
            CallMetadata(request_id=RequestId("q"), **values),
            route,
            account,
            1.0 if account is not None else 0.0,
            now.plus_ms(10_000),
            Fingerprints("f"),
            RequestTrace(RequestId("q")),
        )

    async def admit(self, plan):
        return await self.planner.admit(plan, self.clock.now())

    def select(self, plan):
        return self.planner.select_upstream(plan, self.clock.now())

    @property
    def left(self):
        return self.keeper.measure_left(ACCOUNT.name, self.clock.now())

    def count(self, result, priority=0):
        labels = {"priority": str(priority), "result": result}
        name = "waxwingbarrow_gateway_urgency_total"
        return self.metrics.registry.get_sample_value(name, labels) or 0


def make_entry(name):
    return UpstreamEntry(
        upstream=UpstreamId(name),
        service=POOL,
        host="10.0.0.1",
        port=80,
        data_centre=DataCentre("a"),
        version=VersionName("v1"),
    )


# Decisions of the keeper


async def test_a_request_waits_as_the_keeper_says_and_asks_with_its_promise():
    host = Host([WAIT, SERVE])
    plan = host.make_plan()
    assert await host.admit(plan) is None
    assert [query.admission.promise for query in host.queries] == [0, 7]
    assert plan.advice is not None
    assert plan.has_capacity
    assert host.left == 99


async def test_a_request_that_the_keeper_refuses_is_not_charged():
    host = Host([REFUSE])
    plan = host.make_plan()
    refused = await host.admit(plan)
    assert (refused.status, refused.retry_after_s) == (503, 1.5)
    assert plan.charge is Charge.NOWHERE
    assert host.left == 100
    assert dict(host.quotas.list_charges()) == {"one": 0.0}
    assert host.count("refused") == 1


async def test_a_request_that_is_refused_after_a_wait_is_not_charged():
    host = Host([WAIT, REFUSE])
    assert (await host.admit(host.make_plan())).status == 503
    assert host.left == 100


async def test_a_caller_that_leaves_ends_the_wait_and_the_charge():
    # Otherwise a host keeps the bodies of callers that are gone, and their accounts
    # are charged for requests that never ran.
    host = Host([msgspec.structs.replace(WAIT, after_ms=60_000.0)])
    plan = host.make_plan(body=b"x" * 100)
    task = asyncio.create_task(host.admit(plan))
    await asyncio.sleep(0.02)
    gate = host.planner.capacity_gate
    assert (gate._waiting, gate._waiting_bytes, host.left) == (1, 100, 99)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert (gate._waiting, gate._waiting_bytes, host.left) == (0, 0, 100)


@pytest.mark.parametrize("bound", ["MAX_WAITING", "MAX_WAITING_BYTES"])
async def test_a_full_host_refuses_and_names_the_time_of_the_promise(
    bound, monkeypatch
):
    monkeypatch.setattr(capacity_gate_module, bound, 0)
    host = Host([WAIT])
    refused = await host.admit(host.make_plan(body=b"x"))
    assert (refused.status, refused.retry_after_s) == (503, 0.03)
    assert host.left == 100
    assert host.count("refused, host full") == 1


async def test_the_keeper_is_lost_while_a_request_waits():
    """Its wait ends by its own timer, and this host decides alone."""
    host = Host([WAIT])
    plan = host.make_plan()
    task = asyncio.create_task(host.admit(plan))
    await asyncio.sleep(0)
    host.keepers = []
    assert await task is None
    assert not plan.has_capacity
    assert plan.charge is Charge.OWN_KEEPER
    upstream, _ = host.select(plan)
    assert upstream is not None
    assert plan.trace.capacity_decided_by == "own share"


async def test_held_requests_count_as_work_once():
    # Otherwise no workers would be ordered for what waits or is refused.
    host = Host([WAIT, REFUSE])
    await host.admit(host.make_plan())
    (work,) = host.work_meter.list_own(host.clock.now())
    alone = Host(is_enabled=False)
    plan = alone.make_plan()
    await alone.admit(plan)
    alone.select(plan)
    assert [work] == alone.work_meter.list_own(alone.clock.now())


async def test_a_stream_that_goes_on_is_not_held():
    # It has started already; its events are in the caller's hands.
    host = Host([REFUSE])
    plan = host.make_plan(after_event=3)
    host.answers.clear()
    assert await host.admit(plan) is None
    assert host.queries[0].admission is None
    host.fill(10 * BACKLOG)
    host.keepers = []
    plan.advice = None
    assert not isinstance(host.select(plan), Refused)


async def test_refusals_of_another_keeper_are_not_refunded_twice():
    host = Host(keepers=["10.0.0.9"])
    task = asyncio.create_task(host.admit(host.make_plan()))
    await asyncio.sleep(0)
    advice = PlacementAdvice("u1", 5.0, 0, 0, 2, False, REFUSE)
    reply = QuotaReply(MESSAGE_FORMAT, 1, True, False, placement=advice)
    host.quota_admission.handle_quota_reply(reply)
    assert (await task).status == 503
    assert dict(host.quotas.list_charges()) == {"one": 0.0}


async def test_a_refusal_that_comes_too_late_is_not_refunded():
    host = Host(keepers=["10.0.0.9"])
    plan = host.make_plan()
    assert await host.admit(plan) is None
    assert plan.charge is Charge.OWN_SHARE
    advice = PlacementAdvice("u1", 5.0, 0, 0, 2, False, REFUSE)
    reply = QuotaReply(MESSAGE_FORMAT, 1, True, False, placement=advice)
    host.quota_admission.handle_quota_reply(reply)
    assert dict(host.quotas.list_charges()) == {"one": 1.0}


# Decisions of a host without a keeper


async def test_a_host_without_a_keeper_holds_less_urgent_requests_only():
    host = Host(keepers=())
    for route in (URGENT, LOW):
        plan = host.make_plan(route)
        await host.admit(plan)
        assert not isinstance(host.select(plan), Refused)
    host.fill(13_200)
    low, urgent = host.make_plan(LOW), host.make_plan(URGENT)
    await host.admit(low)
    await host.admit(urgent)
    held = host.select(low)
    assert held.status == 503
    assert held.wait_ms is not None
    assert not isinstance(host.select(urgent), Refused)
    assert await host.planner.capacity_gate.wait(low, held)
    host.fill(0)
    assert not isinstance(host.select(low), Refused)


async def test_retries_are_not_held():
    host = Host(keepers=())
    host.fill(10 * BACKLOG)
    plan = host.make_plan()
    await host.admit(plan)
    plan.tried_upstreams.add(UpstreamId("u1"))
    assert not isinstance(host.select(plan), Refused)


async def test_without_the_setting_nothing_is_asked_or_held():
    host = Host([REFUSE], is_enabled=False)
    plan = host.make_plan()
    host.answers.clear()
    assert await host.admit(plan) is None
    assert host.queries[0].admission is None
    host.fill()
    assert not isinstance(host.select(plan), Refused)
    assert not plan.trace.capacity_decided_by
