"""Guards against streams that are cut by an estimate after they have begun."""

from test_advice import Host

from waxwingbarrow.gateway.requests._plans import Refused

# Of a request that has 10 s left.
LATE_START_MS = 8_000.0


def test_begun_stream_is_not_refused_for_a_late_start():
    """A stream that lost its upstream under load was cut by the estimated start."""
    host = Host("u1", LATE_START_MS)
    plan = host.make_plan()
    plan.events_sent = 2
    upstream, placement = host.select(plan)
    assert upstream.entry.upstream == "u1"
    assert placement.start_ms == LATE_START_MS


def test_other_request_is_refused_at_once_if_it_cannot_start_in_time():
    host = Host("u1", LATE_START_MS)
    refused = host.select(host.make_plan())
    assert isinstance(refused, Refused)
    assert refused.reason == "cannot start in time"
