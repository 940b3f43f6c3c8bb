"""Guards against weight loads that delay urgent ones, and early retries of starts."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingbarrow.capacity import (
    BackoffPolicy,
    HostOffer,
    LoadRequest,
    OfferKey,
    StartBackoff,
    plan_weight_loads,
)
from waxwingbarrow.core import Instant

NOW = Instant(1_700_000_000_000, 50_000)


def make_load(host, version="v1", size=1_000, due_ms=None, wait_ms=0, **other):
    return LoadRequest(
        host=host,
        service="care",
        version=version,
        model_bytes=size,
        must_serve_by=None if due_ms is None else NOW.plus_ms(due_ms),
        not_before=NOW.plus_ms(wait_ms) if wait_ms else None,
        **other,
    )


LOAD_CASES = [
    # (failure guarded against, loads, store rate in bytes/s, finish in ms by host in
    # planned order)
    (
        "loads that share the rate all end late",
        [make_load("h1"), make_load("h2")],
        1_000,
        {"h1": 1_000, "h2": 2_000},
    ),
    (
        "a spare loads before the only worker of a version",
        [
            make_load("h1", serving_workers=2, needed_workers=2, size=10),
            make_load("h2", "v2", needed_workers=1),
        ],
        1_000,
        {"h2": 1_000, "h1": 1_010},
    ),
    (
        "a rollout's version misses its start",
        [make_load("h1", size=10), make_load("h2", "v2", due_ms=1_500)],
        1_000,
        {"h2": 1_000, "h1": 1_010},
    ),
    (
        "second copies of one version precede the first of another",
        [
            make_load("h1", needed_workers=2),
            make_load("h2", needed_workers=2),
            make_load("h3", "v2", needed_workers=1, size=1_500),
        ],
        1_000,
        {"h1": 1_000, "h3": 2_500, "h2": 3_500},
    ),
    (
        "a partial load starts from the beginning",
        [make_load("h1", loaded_bytes=900)],
        1_000,
        {"h1": 100},
    ),
    (
        "the store's rate that a slow host cannot use is wasted",
        [make_load("h1", host_rate_bytes_per_s=400.0), make_load("h2", size=1_200)],
        1_000,
        {"h1": 2_500, "h2": 2_000},
    ),
    (
        "a host that was told to wait blocks the others",
        [make_load("h1", wait_ms=500), make_load("h2", size=2_000)],
        1_000,
        {"h1": 1_500, "h2": 3_000},
    ),
    ("an empty load waits", [make_load("h1", size=0)], 1_000, {"h1": 0}),
    (
        "a store rate of zero causes a division by zero",
        [make_load("h1")],
        0,
        {"h1": None},
    ),
]


@pytest.mark.parametrize(
    ("failure", "loads", "rate", "expected"), LOAD_CASES, ids=[c[0] for c in LOAD_CASES]
)
def test_load_order_and_finish_times(failure, loads, rate, expected):
    planned = plan_weight_loads(loads, rate, NOW)
    finish = {
        item.request.host: item.finish_at and item.finish_at.mono_ms - NOW.mono_ms
        for item in planned
    }
    assert list(finish.items()) == list(expected.items())


def test_late_load_is_reported():
    planned = plan_weight_loads([make_load("h1", due_ms=999)], 1_000, NOW)
    assert planned[0].late
    assert plan_weight_loads([make_load("h1", due_ms=999)], 0, NOW)[0].late


LOADS = st.lists(
    st.builds(
        make_load,
        host=st.uuids().map(str),
        version=st.sampled_from(["v1", "v2", "v3"]),
        size=st.integers(0, 10**6),
        due_ms=st.none() | st.integers(0, 10**6),
        wait_ms=st.integers(0, 5_000),
        needed_workers=st.integers(0, 3),
        host_rate_bytes_per_s=st.none() | st.floats(1, 1e6),
    ),
    max_size=8,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(LOADS, st.floats(1, 1e6))
def test_rate_limit_is_kept_and_no_rate_is_wasted(loads, rate):
    planned = plan_weight_loads(loads, rate, NOW)
    assert {item.request.host for item in planned} == {item.host for item in loads}
    total = sum(item.model_bytes for item in loads)
    ends = [item.finish_at.mono_ms - NOW.mono_ms for item in planned]
    assert max(ends, default=0) >= total / rate * 1_000 - 1
    slowest = sum(
        item.model_bytes / min(rate, item.host_rate_bytes_per_s or rate)
        for item in loads
    )
    assert max(ends, default=0) <= 5_000 + slowest * 1_000 + 1
    for item in planned:
        if item.request.not_before is not None:
            assert item.start_at.mono_ms >= item.request.not_before.mono_ms


KEY = OfferKey("north", "a", "m1", True)


def test_pause_doubles_up_to_its_limit_and_is_reset():
    # Guards against asking the cloud API every second for a host it does not have.
    policy = BackoffPolicy(initial_pause_ms=10, max_pause_ms=40, reset_after_ms=100)
    backoff, now, pauses = StartBackoff(policy), NOW, []
    for _ in range(4):
        backoff = backoff.note_refused(KEY, now)
        end = backoff.find_pause_end(KEY, now)
        pauses.append(end.mono_ms - now.mono_ms)
        now = end
    assert pauses == [10, 20, 40, 40]
    now = now.plus_ms(100)
    end = backoff.note_refused(KEY, now).find_pause_end(KEY, now)
    assert end.mono_ms - now.mono_ms == 10


def test_simultaneous_refusals_count_once_and_pause_no_other_offer():
    backoff = StartBackoff().note_refused(KEY, NOW).note_refused(KEY, NOW.plus_ms(1))
    offers = [
        HostOffer(
            machine_class="m1",
            zone=zone,
            data_centre="north",
            reclaimable=True,
            price_per_hour=1.0,
        )
        for zone in "ab"
    ]
    marked = backoff.mark_offers(offers, NOW.plus_ms(1))
    assert [offer.start_refused_until for offer in marked] == [
        NOW.plus_ms(15_000),
        None,
    ]
    assert backoff.note_started(KEY).mark_offers(offers, NOW)[0] == offers[0]
