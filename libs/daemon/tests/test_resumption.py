"""Guards against crashes of upstreams that are attributed to the wrong request.

A request to resume a stream has no prompt, so its fingerprint has to come from the
resume token. Otherwise all resumed streams have the same one and are refused together.
"""

import random

import pytest

from waxwingbarrow.core import Incarnation, Instant
from waxwingbarrow.daemon._dispatch import Dispatcher
from waxwingbarrow.daemon._fleet import Fleet, ListedUpstream
from waxwingbarrow.daemon._metrics import Metrics
from waxwingbarrow.daemon._trace import Trace
from waxwingbarrow.routing import HealthPolicy, RoutingPolicy
from waxwingbarrow.streams import ResumeToken

NOW = Instant(1_700_000_000_000, 1_000)


def make_listed(upstream):
    return ListedUpstream(
        upstream=upstream,
        incarnation=Incarnation(1, 1),
        service="care",
        version="v1",
        address=f"{upstream}:1",
        data_centre="dc-a",
        zone="z",
        price_per_hour=1.0,
        checks_fencing=True,
        leaving=False,
    )


def make_token(upstream, fingerprint):
    return ResumeToken(
        account="depot",
        service="care",
        route="answer",
        max_tokens=10,
        fingerprint=fingerprint,
        upstream=upstream,
        address=f"{upstream}:1",
        stream_id="s",
        version="v1",
        request_id="r",
        expires_ms=NOW.wall_ms + 1,
    )


@pytest.fixture
def dispatcher():
    fleet = Fleet(HealthPolicy())
    fleet.update_list([make_listed("u1"), make_listed("u2")], NOW)
    return Dispatcher(
        fleet,
        None,
        None,
        RoutingPolicy(data_centre="dc-a", zone="z"),
        256,
        Metrics(),
        Trace(),
        random.Random(1),
        lambda: None,
        lambda: None,
    )


@pytest.mark.parametrize(
    ("first", "second", "refused"),
    [("f1", "f2", []), ("f1", "f1", ["f1"])],
)
def test_losses_during_resumed_streams_count_per_original_request(
    dispatcher, first, second, refused
):
    # Two losses refuse a request; with a fingerprint of the empty body, losses of
    # different requests would add up.
    for upstream, fingerprint in (("u1", first), ("u2", second)):
        attempt = dispatcher.begin_resumed_attempt(
            make_token(upstream, fingerprint), NOW
        )
        dispatcher.record_upstream_loss(attempt, NOW)
    found = [
        f for f in ("f1", "f2") if dispatcher.crash_suspects.check(f, NOW).is_err()
    ]
    assert found == refused
