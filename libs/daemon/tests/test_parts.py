"""Guards against wrong decisions in the parts of the daemon that do no I/O."""

import json

import pytest

from waxwingbarrow.core import Incarnation, Instant, ManualClock, PriorityClass
from waxwingbarrow.daemon._accounts import find_account, hash_key
from waxwingbarrow.daemon._fleet import Fleet, ListedUpstream, LoadReport
from waxwingbarrow.daemon._gossip import UpstreamProcess
from waxwingbarrow.daemon._lifecycle import Lifecycle
from waxwingbarrow.daemon._requests import read_request
from waxwingbarrow.daemon._trace import MAX_REQUESTS, Trace
from waxwingbarrow.document import read_document
from waxwingbarrow.routing import HealthPolicy, HealthState, LeavingSource

NOW = Instant(1_700_000_000_000, 1_000)
KEY = "a-key"
DOCUMENT = {
    "schema_version": 1,
    "service": "rota",
    "kind": "plain",
    "accounts": [
        {
            "account": "depot",
            "key_hashes": [hash_key(KEY)],
            "requests_per_s": 5,
            "classes": ["standard"],
        }
    ],
    "routes": [{"route": "book", "repeatable": False}],
    "versions": [{"version": "v1"}],
    "stable_version": "v1",
    "placements": [{"data_centre": "dc-a", "workers": 1}],
}


@pytest.fixture
def document():
    return read_document(json.dumps(DOCUMENT)).unwrap()


def make_listed(**changes):
    fields = {
        "upstream": "u1",
        "incarnation": Incarnation(1, 1),
        "service": "rota",
        "version": "v1",
        "address": "127.0.0.1:1",
        "data_centre": "dc-a",
        "zone": "z",
        "price_per_hour": 1.0,
        "checks_fencing": True,
        "leaving": False,
    }
    return ListedUpstream(**{**fields, **changes})


@pytest.mark.parametrize(
    "header", [None, "", "Bearer", "Bearer ", "Basic a-key", "Bearer other", KEY]
)
def test_wrong_key_finds_no_account(document, header):
    assert find_account(document, header).is_err()


def test_key_finds_its_account(document):
    assert find_account(document, f"Bearer {KEY}").unwrap().account == "depot"


@pytest.mark.parametrize(
    ("headers", "slug"),
    [
        ({"priority-class": "urgent"}, "invalid-request"),
        ({"priority-class": "interactive"}, "class-not-allowed"),
        ({"deadline-ms": "soon"}, "invalid-request"),
        ({"deadline-ms": "0"}, "invalid-request"),
        ({"deadline-ms": "-1"}, "invalid-request"),
        ({"request-id": "x" * 200}, "invalid-request"),
        ({"request-id": "a\nb"}, "invalid-request"),
        ({"idempotency-attempt": "first"}, "invalid-request"),
        ({"authorization": "Bearer nobody"}, "unauthenticated"),
    ],
)
def test_malformed_header_is_refused_with_the_right_slug(document, headers, slug):
    sent = {"authorization": f"Bearer {KEY}", **headers}
    refusal = read_request(sent, b"{}", document, "book", NOW).unwrap_err()
    assert refusal.slug == slug


def test_only_attempt_number_one_declares_a_first_attempt(document):
    for attempt, expected in ((None, False), ("1", True), ("2", False), ("01", True)):
        headers = {"authorization": f"Bearer {KEY}"}
        if attempt is not None:
            headers["idempotency-attempt"] = attempt
        read = read_request(headers, b"{}", document, "book", NOW).unwrap()
        assert read.first_attempt is expected
        assert read.priority_class is PriorityClass.STANDARD


def test_unknown_route_is_refused(document):
    headers = {"authorization": f"Bearer {KEY}"}
    refusal = read_request(headers, b"", document, "none", NOW).unwrap_err()
    assert refusal.slug == "unknown-route"


def test_draining_host_never_becomes_ready_again():
    lifecycle = Lifecycle()
    lifecycle.update_readiness(True)
    assert lifecycle.reports_ready
    lifecycle.drain()
    lifecycle.update_readiness(True)
    assert not lifecycle.reports_ready
    # Requests still arrive until the load balancer has seen that readiness fails.
    assert lifecycle.accepts_requests


def test_lagging_list_does_not_bring_a_leaving_upstream_back():
    fleet = Fleet(HealthPolicy())
    fleet.update_list([make_listed()], NOW)
    fleet.report_leaving("u1", Incarnation(1, 1), LeavingSource.NOTICE)
    fleet.update_list([make_listed()], NOW.plus_ms(60_000))
    assert fleet.list_views("rota", NOW)[0].leaving


def test_replacement_under_the_same_name_is_not_leaving():
    fleet = Fleet(HealthPolicy())
    fleet.update_list([make_listed(leaving=True)], NOW)
    fleet.update_list([make_listed(incarnation=Incarnation(2, 1))], NOW)
    assert not fleet.list_views("rota", NOW)[0].leaving
    fleet.update_list([make_listed(leaving=True)], NOW)
    assert not fleet.list_views("rota", NOW)[0].leaving


def test_gossip_about_an_old_incarnation_does_not_affect_the_new_one():
    fleet = Fleet(HealthPolicy())
    fleet.update_list([make_listed(incarnation=Incarnation(2, 1))], NOW)
    fleet.learn_leaving([UpstreamProcess("u1", Incarnation(1, 1))])
    assert not fleet.list_views("rota", NOW)[0].leaving


def test_requests_sent_since_the_report_add_to_the_reported_load():
    fleet = Fleet(HealthPolicy())
    fleet.update_list([make_listed()], NOW)
    view = fleet.list_views("rota", NOW)[0]
    fleet.start(view, 100)
    fleet.report_load("u1", view.incarnation, LoadReport(5, 50, 1.0, 1.0, 8, NOW))
    fleet.start(view, 200)
    view = fleet.list_views("rota", NOW)[0]
    assert (view.in_flight, view.queued_tokens, view.own_queued_tokens) == (6, 50, 200)


def test_failures_make_an_upstream_suspect():
    fleet = Fleet(HealthPolicy())
    fleet.update_list([make_listed()], NOW)
    view = fleet.list_views("rota", NOW)[0]
    for _ in range(2):
        fleet.start(view, 0)
        fleet.finish(view, False, NOW)
    assert fleet.list_views("rota", NOW)[0].health_state is HealthState.SUSPECT


def test_trace_keeps_a_bounded_number_of_requests():
    trace, clock = Trace(), ManualClock()
    for number in range(MAX_REQUESTS + 10):
        trace.record(f"r{number}", "attempt", "", clock.now())
    assert trace.find("r0") == ()
    assert len(trace.find(f"r{MAX_REQUESTS}")) == 1
