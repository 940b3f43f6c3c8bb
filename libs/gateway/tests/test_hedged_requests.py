"""Guards against hedges that lose, duplicate or prolong requests, or exceed budgets."""

import asyncio
import types

import pytest

from waxwingbarrow.core import DataCentre, RouteName, ServiceName, UpstreamId
from waxwingbarrow.gateway.base import (
    BootClock,
    Bounds,
    Call,
    CallMetadata,
    HedgingSettings,
    Metrics,
    ResponseHead,
    Route,
    RouteKind,
)
from waxwingbarrow.gateway.requests._hedging import Hedger
from waxwingbarrow.gateway.requests._plans import Plan, Refused, RequestTrace
from waxwingbarrow.gateway.requests._retry_budgets import RetryBudgets
from waxwingbarrow.gateway.upstreams import (
    ConnectionLost,
    EventSplitter,
    NotRun,
    ResponseReceived,
    TimedOut,
)
from waxwingbarrow.routing import Placement, WorkerView

SERVICE = ServiceName("desk")
OK = ResponseReceived(ResponseHead(200, b"OK", []), b"")
ERROR = ResponseReceived(ResponseHead(500, b"", []), b"")


class FakeExchange:
    """Attempts that take as long, and end in the way, that a test says.

    Attributes
    ----------
    script : dict
        Delay in seconds and outcome of the attempt at each upstream.
    started, cancelled : list
        Upstreams at which attempts started, and of those that were cancelled.
    """

    def __init__(self):
        self.script = {}
        self.started = []
        self.cancelled = []
        self.forwarded = []
        self.open_attempts = []

    async def attempt(self, plan, upstream, cached, splitter=None, *stream):
        name = upstream.entry.upstream
        self.started.append(name)
        self.open_attempts.append(plan.open_attempts)
        delay_s, outcome = self.script[name]
        try:
            await asyncio.sleep(delay_s)
            if stream and outcome is OK:
                claim = stream[-1]
                if claim is not None:
                    claim()
                for number in (1, 2, 3):
                    self.forwarded.append(f"{name}/{number}")
                    splitter.feed(b"id: %d\ndata: a\n\n" % number)
                    await asyncio.sleep(0.03)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        plan.delivered_attempts += 1
        return outcome


class FakeRecorder:
    def __init__(self):
        self.cancelled = []

    def record_cancelled(self, plan, upstream, started, now):
        plan.delivered_attempts += 1
        self.cancelled.append(upstream.entry.upstream)


class Setup:
    def __init__(self, requests=1_000, limit_per_s=None, **settings):
        self.clock = BootClock()
        self.exchange = FakeExchange()
        self.recorder = FakeRecorder()
        self.metrics = Metrics()
        self.budgets = RetryBudgets(Bounds(budget_ratio=0.2, budget_slack=2.0))
        for _ in range(requests):
            self.budgets.record_request(SERVICE, self.clock.now())
        self.second = make_chosen("i-2")
        notices = types.SimpleNamespace(
            find_lowest_limit_per_s=lambda process, now: limit_per_s
        )
        settings = {"extra_share": 0.1} | settings
        self.hedger = Hedger(
            HedgingSettings(**settings),
            types.SimpleNamespace(
                select_upstream=lambda plan, now: self.second,
                pick_service=lambda plan: SERVICE,
            ),
            self.clock,
            types.SimpleNamespace(notices=notices),
            self.recorder,
            self.budgets,
            self.metrics,
            self.exchange,
            self.exchange,
        )
        for _ in range(20):
            self.hedger.record_time(make_plan(self.clock.now()), 1, 10.0)

    def script(self, first, second):
        self.exchange.script = {"i-1": first, "i-2": second}

    async def fetch(self, **fields):
        self.plan = make_plan(self.clock.now(), **fields)
        upstream, placement = make_chosen("i-1")
        return await self.hedger.attempt_buffered(self.plan, upstream, placement)

    async def stream(self, **fields):
        fields = {"kind": RouteKind.STREAM, "resumable": True} | fields
        self.plan = make_plan(self.clock.now(), **fields)
        upstream, placement = make_chosen("i-1")
        responder = types.SimpleNamespace(started=False)
        return await self.hedger.attempt_stream(
            self.plan, upstream, placement, EventSplitter(), responder
        )

    def count(self, name, **labels):
        name = f"waxwingbarrow_gateway_{name}"
        return self.metrics.registry.get_sample_value(name, {"route": "read"} | labels)


def make_chosen(name, running=0):
    entry = types.SimpleNamespace(upstream=UpstreamId(name))
    upstream = types.SimpleNamespace(entry=entry, process=(name, 1))
    view = WorkerView(
        upstream=entry.upstream,
        data_centre=DataCentre("vom"),
        slots=4,
        running=running,
    )
    return upstream, Placement(view=view, start_ms=0.0, candidates=2)


def make_plan(now, kind=RouteKind.REPEATABLE, max_attempts=2, **fields):
    route = Route(
        name=RouteName("read"),
        host="h",
        path_prefix="/",
        kind=kind,
        backends=(),
        max_attempts=max_attempts,
        **fields,
    )
    call = Call(b"GET", b"/", [], b"", now.mono_ms)
    metadata = CallMetadata(request_id="r1", key=None)
    return Plan(
        call, metadata, route, None, 1.0, now.plus_ms(3_000), None, RequestTrace("r1")
    )


async def test_a_fast_request_is_sent_once():
    setup = Setup()
    setup.script((0.001, OK), (0.0, OK))
    assert await setup.fetch() is OK
    assert setup.exchange.started == ["i-1"]


async def test_the_second_attempt_wins_and_the_first_is_cancelled_at_once():
    # A worker that is not told would go on working for a caller that has its response.
    setup = Setup()
    setup.script((5.0, OK), (0.01, OK))
    assert await setup.fetch() is OK
    await asyncio.sleep(0)
    assert setup.exchange.cancelled == ["i-1"]
    assert setup.recorder.cancelled == ["i-1"]
    assert setup.plan.delivered_attempts == 2
    assert setup.count("hedges_total", event="won") == 1
    hedged = setup.count("hedged_response_seconds_count", hedged="yes")
    assert hedged == 1
    extra = setup.metrics.registry.get_sample_value(
        "waxwingbarrow_gateway_hedge_extra_work_ratio"
    )
    assert 0.5 < extra < 1


async def test_the_first_attempt_wins_and_the_second_is_cancelled_at_once():
    setup = Setup()
    setup.script((0.2, OK), (5.0, OK))
    assert await setup.fetch() is OK
    await asyncio.sleep(0)
    assert setup.exchange.cancelled == ["i-2"]
    assert setup.count("hedges_total", event="sent") == 1
    assert setup.count("hedges_total", event="won") is None


@pytest.mark.parametrize("failure", [ERROR, ConnectionLost(""), NotRun(503, b"", None)])
async def test_a_failure_of_the_first_attempt_does_not_end_the_request(failure):
    setup = Setup()
    setup.script((0.2, failure), (0.3, OK))
    assert await setup.fetch() is OK
    assert setup.exchange.started == ["i-1", "i-2"]
    assert setup.exchange.cancelled == []


async def test_an_error_of_the_second_attempt_does_not_win():
    setup = Setup()
    setup.script((0.2, OK), (0.001, ERROR))
    assert await setup.fetch() is OK
    assert setup.exchange.cancelled == []


@pytest.mark.parametrize(
    ("first", "second", "result"),
    [
        (ERROR, TimedOut(), ERROR),
        (NotRun(503, b"", None), ConnectionLost("x"), ConnectionLost("x")),
    ],
)
async def test_if_both_fail_the_failure_that_may_have_run_decides(
    first, second, result
):
    # Otherwise the caller would be told that the request has not run.
    setup = Setup()
    setup.script((0.2, first), (0.2, second))
    assert await setup.fetch() == result
    assert setup.plan.delivered_attempts == 2


async def test_both_attempts_end_when_the_caller_disconnects():
    setup = Setup()
    setup.script((5.0, OK), (5.0, OK))
    task = asyncio.create_task(setup.fetch())
    await asyncio.sleep(0.2)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    await asyncio.sleep(0)
    assert sorted(setup.exchange.cancelled) == ["i-1", "i-2"]


async def test_no_hedge_is_sent_when_the_budget_is_exhausted():
    setup = Setup()
    while setup.budgets.try_spend(SERVICE, setup.clock.now()):
        pass
    setup.script((0.2, OK), (0.0, OK))
    assert await setup.fetch() is OK
    assert setup.exchange.started == ["i-1"]
    refused = setup.count("hedge_refusals_total", reason="retry reserve")
    assert refused == 1


async def test_no_hedge_is_sent_beyond_the_share_of_the_requests():
    setup = Setup(requests=100, extra_share=0.02)
    setup.script((0.15, OK), (0.0, OK))
    for _ in range(4):
        await setup.fetch()
    assert setup.exchange.started.count("i-2") == 2


@pytest.mark.parametrize("second", [make_chosen("i-2", running=4), Refused(503, "")])
async def test_no_hedge_is_sent_without_a_free_upstream(second):
    setup = Setup()
    setup.second = second
    setup.script((0.2, OK), (0.0, OK))
    assert await setup.fetch() is OK
    assert setup.exchange.started == ["i-1"]


async def test_no_hedge_takes_a_permit_of_a_limited_upstream():
    setup = Setup(limit_per_s=5.0)
    setup.script((0.2, OK), (0.0, OK))
    await setup.fetch()
    assert setup.exchange.started == ["i-1"]


@pytest.mark.parametrize(
    "fields",
    [
        {"kind": RouteKind.AT_MOST_ONCE, "max_attempts": 3},
        {"kind": RouteKind.STREAM, "max_attempts": 3},
        {"max_attempts": 1},
    ],
)
async def test_what_may_not_run_twice_is_never_hedged(fields):
    setup = Setup()
    setup.script((0.2, OK), (0.0, OK))
    if fields.get("kind") is RouteKind.STREAM:
        await setup.stream(resumable=False, max_attempts=3)
    else:
        await setup.fetch(**fields)
    assert setup.exchange.started == ["i-1"]


async def test_with_the_defaults_nothing_is_hedged_or_measured():
    setup = Setup(extra_share=0.0)
    setup.script((0.2, OK), (0.0, OK))
    before = asyncio.all_tasks()
    task = asyncio.create_task(setup.fetch())
    await asyncio.sleep(0.01)
    assert len(asyncio.all_tasks() - before) == 1
    await task
    assert setup.exchange.started == ["i-1"]
    assert setup.count("hedged_response_seconds_count", hedged="no") is None


async def test_the_hedge_is_not_counted_as_another_request():
    # The retry budget would grow with each hedge that it pays for.
    setup = Setup()
    setup.script((0.2, OK), (0.01, OK))
    await setup.fetch()
    assert setup.exchange.open_attempts == [0, 1]
    assert setup.plan.open_attempts == 0


@pytest.mark.parametrize(
    ("first_s", "second_s", "winner"), [(5.0, 0.01, "i-2"), (0.2, 1.0, "i-1")]
)
async def test_a_stream_is_forwarded_from_one_attempt_only(first_s, second_s, winner):
    # Events of two runs must not be mixed; each run generates another text.
    setup = Setup()
    setup.script((first_s, OK), (second_s, OK))
    outcome, splitter = await setup.stream()
    assert outcome is OK
    assert setup.exchange.forwarded == [f"{winner}/{n}" for n in (1, 2, 3)]
    assert (splitter.last_id, splitter.event_count) == (3, 3)
    assert len(setup.exchange.cancelled) == 1


async def test_a_stream_is_not_hedged_after_its_first_event():
    # It takes longer than the delay, but its caller has the first events already.
    setup = Setup()
    setup.script((0.005, OK), (0.0, OK))
    await setup.stream()
    assert setup.exchange.started == ["i-1"]


async def test_attempts_at_the_same_instant_have_one_winner():
    setup = Setup()
    for _ in range(5):
        setup.exchange.forwarded.clear()
        setup.script((0.05, OK), (0.02, OK))
        await setup.stream()
        assert len({item.split("/")[0] for item in setup.exchange.forwarded}) == 1
