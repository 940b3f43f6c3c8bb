"""Guards against advice of another host that overrides what a host must not do."""

import asyncio
import random

import pytest
from peer_network import make_permits

from waxwingbarrow.core import (
    DataCentre,
    ManualClock,
    RequestId,
    RouteName,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.gateway.admission._placements import AttemptReporter
from waxwingbarrow.gateway.admission._quota_admission import (
    AdviceSource,
    QuotaAdmission,
)
from waxwingbarrow.gateway.admission._quota_keeper import QuotaKeeper
from waxwingbarrow.gateway.admission._quotas import Quotas
from waxwingbarrow.gateway.base._model import (
    Backend,
    Call,
    CallMetadata,
    Configuration,
    Engine,
    ResponseMetadata,
    Route,
    RouteKind,
    Service,
    UpstreamEntry,
)
from waxwingbarrow.gateway.messages._messages import (
    MESSAGE_FORMAT,
    AttemptOutcome,
    AttemptReport,
    PlacementAdvice,
    PlacementQuery,
    QuotaReply,
    QuotaRequest,
    decode_message,
    encode_message,
)
from waxwingbarrow.gateway.requests._planner import Planner
from waxwingbarrow.gateway.requests._plans import Plan, Refused, RequestTrace
from waxwingbarrow.gateway.requests._rollouts import Rollouts
from waxwingbarrow.gateway.requests._routes import RouteTable
from waxwingbarrow.gateway.requests._work_meter import WorkMeter
from waxwingbarrow.gateway.upstreams._crash_tracker import CrashTracker, Fingerprints
from waxwingbarrow.gateway.upstreams._fleet import Fleet
from waxwingbarrow.rollout import CanaryPolicy
from waxwingbarrow.routing import PlacementPolicy, PromptPart

POOL = ServiceName("pool")
ROUTE = Route(
    name=RouteName("r"),
    host="h",
    path_prefix="/",
    kind=RouteKind.STREAM,
    backends=(Backend(POOL, 1.0),),
    timeout_ms=10_000.0,
)
ENGINE = Engine(slots=8, memory_tokens=100_000)


def make_entry(name, **fields):
    return UpstreamEntry(
        upstream=UpstreamId(name),
        service=POOL,
        host="10.0.0.1",
        port=80,
        data_centre=DataCentre("a"),
        version=VersionName("v1"),
        **fields,
    )


class Host:
    """A host that is its own keeper, whose advice the test sets."""

    def __init__(self, advised, start_ms=5.0):
        self.clock = ManualClock()
        self.fleet = Fleet()
        self.queries = []
        self.advice = PlacementAdvice(advised, start_ms, 400, 3, 2)
        quotas = Quotas()
        self.planner = Planner(
            None,
            self.fleet,
            quotas,
            QuotaAdmission(
                quotas,
                QuotaKeeper(quotas),
                self.clock,
                lambda now: [""],
                None,
                self.advise,
            ),
            Rollouts(CanaryPolicy()),
            CrashTracker(),
            WorkMeter(),
            PlacementPolicy(data_centre=DataCentre("a")),
            random.Random(1),
            lambda now: None,
            make_permits(self.fleet, self.clock),
        )
        service = Service(name=POOL, engine=ENGINE)
        self.planner.table = RouteTable(
            Configuration(version=1, routes=(ROUTE,), services=(service,))
        )
        for name in ("u1", "u2"):
            self.fleet.put(make_entry(name), self.clock.now())

    def advise(self, query, key, now):
        self.queries.append(query)
        return self.advice

    def make_plan(self, has_token_counts=True):
        now = self.clock.now()
        metadata = CallMetadata(
            request_id=RequestId("q"),
            prompt_tokens=1_000,
            max_output_tokens=10,
            has_token_counts=has_token_counts,
            parts=(PromptPart(7, 400),),
        )
        call = Call(b"POST", b"/", [], b"", now.mono_ms)
        deadline = now.plus_ms(10_000)
        trace = RequestTrace(RequestId("q"))
        plan = Plan(
            call, metadata, ROUTE, None, 0.0, deadline, Fingerprints("f"), trace
        )
        assert asyncio.run(self.planner.admit(plan, now)) is None
        return plan

    def select(self, plan):
        return self.planner.select_upstream(plan, self.clock.now())


def note_response(host, metadata, status=200):
    """Let the first upstream answer this host."""
    process = host.fleet.upstreams["u1"].process
    host.fleet.notices.note_response(process, status, metadata, host.clock.now())


@pytest.mark.parametrize("advised", ["u1", "u2"])
def test_the_first_attempt_follows_the_advice(advised):
    host = Host(advised)
    plan = host.make_plan()
    upstream, placement = host.select(plan)
    assert upstream.entry.upstream == advised
    assert placement.view.cached_tokens == 400
    assert plan.advice_source == AdviceSource("", 1)


def test_a_retry_does_not_go_where_the_first_attempt_went():
    host = Host("u1")
    plan = host.make_plan()
    host.select(plan)
    plan.tried_upstreams.add(UpstreamId("u1"))
    upstream, _ = host.select(plan)
    assert upstream.entry.upstream == "u2"
    assert plan.advice_source is None


def test_an_upstream_that_is_leaving_is_not_used():
    """The keeper may not know yet that it leaves."""
    host = Host("u1")
    host.fleet.put(make_entry("u1", leaving=True, sequence=1), host.clock.now())
    plan = host.make_plan()
    upstream, _ = host.select(plan)
    assert upstream.entry.upstream == "u2"
    assert not plan.trace.is_advised


def test_an_upstream_that_said_that_it_leaves_is_not_used():
    # Guards against DRAIN: the keeper may not have heard of it yet.
    host = Host("u1")
    note_response(host, ResponseMetadata(request_id="r", not_run=False, leaving=True))
    plan = host.make_plan()
    upstream, _ = host.select(plan)
    assert upstream.entry.upstream == "u2"


def test_an_upstream_that_wants_no_requests_now_is_not_used():
    # Guards against BUDGET: the keeper does not know what it told this host.
    host = Host("u1")
    refusal = ResponseMetadata(request_id="r", not_run=True, retry_after_s=2.0)
    note_response(host, refusal, status=503)
    plan = host.make_plan()
    assert host.queries[0].avoided_upstreams == ["u1"]
    upstream, _ = host.select(plan)
    assert upstream.entry.upstream == "u2"
    host.clock.advance_ms(2_000)
    host.make_plan()
    assert host.queries[1].avoided_upstreams == []


def test_an_upstream_that_this_host_ejected_is_not_used():
    host = Host("u1")
    host.fleet.record_unreachable(host.fleet.upstreams["u1"], host.clock.now())
    plan = host.make_plan()
    assert host.queries[0].avoided_upstreams == ["u1"]
    upstream, _ = host.select(plan)
    assert upstream.entry.upstream == "u2"


def test_a_request_that_cannot_start_in_time_is_refused_at_once():
    host = Host("u1", start_ms=9_000.0)
    refused = host.select(host.make_plan())
    assert isinstance(refused, Refused)
    assert refused.status == 503
    assert refused.retry_after_s == pytest.approx(2.0)


def test_requests_to_plain_services_need_no_advice():
    host = Host("u1")
    host.make_plan(has_token_counts=False)
    assert host.queries == []


def test_an_attempt_is_reported_to_the_host_that_advised_it():
    """The keeper may have changed since; the new one does not know the request."""
    sent = []
    reporter = AttemptReporter(
        None, lambda now: ["10.0.0.2"], lambda report, to: sent.append((report, to))
    )
    host = Host("u1")
    upstream = host.fleet.upstreams["u1"]
    now = host.clock.now()
    source = AdviceSource("10.0.0.1", 5)
    reporter.report(upstream, source, AttemptOutcome.FIRST_EVENT, now)
    reporter.report(upstream, None, AttemptOutcome.FAILED, now)
    assert [(report.number, to) for report, to in sent] == [
        (5, "10.0.0.1"),
        (0, "10.0.0.2"),
    ]


QUERY = PlacementQuery("pool", "a", 1_000, 10, [(7, 400)], 5_000.0, "v1", ["v2"])


@pytest.mark.parametrize(
    "message",
    [
        QuotaRequest(MESSAGE_FORMAT, 1, "account", 50.0, QUERY),
        QuotaReply(
            MESSAGE_FORMAT, 1, True, True, placement=PlacementAdvice("u1", 5, 0, 3, 2)
        ),
        AttemptReport(MESSAGE_FORMAT, 1, "u1", 99, AttemptOutcome.UNREACHABLE),
    ],
    ids=["request", "reply", "report"],
)
def test_messages_are_read_as_they_were_sent(message):
    assert decode_message(encode_message(message)).ok() == message


def test_messages_of_hosts_of_the_version_before_are_read():
    """Hosts are restarted in turn, so both versions run for a while."""
    request = QuotaRequest(MESSAGE_FORMAT, 1, "account", 50.0)
    encoded = encode_message(request)
    # An array of one element less, without the query.
    assert encoded[0] == 0x96
    shortened = bytes([0x95]) + encoded[1:-1]
    assert decode_message(shortened).ok() == request
