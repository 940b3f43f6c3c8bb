"""Guards against reclaim notices that are ignored or that stop the daemon."""

import random

import pytest

from waxwingbarrow.core import Incarnation, ManualClock, read_data
from waxwingbarrow.daemon._fleet import Fleet
from waxwingbarrow.daemon._observers import FleetObserver
from waxwingbarrow.daemon._settings import DEFAULTS, Settings
from waxwingbarrow.platform import Host, HostList, HostState, ReclaimNotice
from waxwingbarrow.routing import HealthPolicy

SETTINGS = {
    **DEFAULTS,
    "host_id": "h",
    "data_centre": "dc-a",
    "zone": "z",
    "caller_address": "127.0.0.1:1",
    "peer_address": "127.0.0.1:2",
    "platform": {"log_address": "127.0.0.1:3", "hosts_address": "127.0.0.1:3"},
    "token_keys": [{"key_id": "k", "secret": "s" * 32}],
}


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def observer(clock):
    settings = read_data(SETTINGS, Settings, "test").unwrap()
    return FleetObserver(
        settings,
        None,
        Fleet(HealthPolicy()),
        None,
        clock,
        random.Random(1),
        lambda: None,
        lambda _: True,
    )


def make_notice(leave_by_ms, incarnation):
    return ReclaimNotice(
        number=0, host="e1", leave_by_ms=leave_by_ms, incarnation=incarnation
    )


def make_list(incarnation="5-1"):
    host = Host(
        host="e1",
        address="127.0.0.1:9",
        data_centre="dc-a",
        zone="z",
        kind="model_engine",
        service="care",
        version="v1",
        state=HostState.LIVE,
        leave_by_ms=None,
        checks_fencing=True,
        price_per_hour=1.0,
        incarnation=incarnation,
    )
    return HostList(as_of_ms=0, hosts=(host,))


@pytest.mark.parametrize("named", ["", "5-1", "not-a-run", "5"])
@pytest.mark.parametrize("notice_first", [True, False])
def test_notice_is_applied_whether_or_not_the_upstream_is_listed_yet(
    observer, clock, named, notice_first
):
    # A notice that arrived before the upstream was listed was dropped, and a malformed
    # incarnation in a notice stopped the daemon.
    now = clock.now()
    notice = make_notice(now.wall_ms + 7_000, named)
    steps = [lambda: observer._apply_notice(notice)]
    steps.insert(
        0 if not notice_first else 1, lambda: observer._apply_host_list(make_list())
    )
    for step in steps:
        step()
    view = observer._fleet.find("e1", now)
    assert view.leaving
    assert view.incarnation == Incarnation(5, 1)
    assert observer._fleet.compute_time_left_ms(view, now) == 7_000


def test_notice_before_the_listing_does_not_apply_to_a_later_incarnation(
    observer, clock
):
    observer._apply_notice(make_notice(clock.now().wall_ms, ""))
    observer._apply_host_list(make_list("5-1"))
    observer._apply_host_list(make_list("6-1"))
    assert not observer._fleet.find("e1", clock.now()).leaving
