"""Guards against requests sent to ineligible, overloaded or distant upstreams."""

import random

import attrs
import pytest
from result import Err, Ok

from waxwingbarrow.core import (
    AccountId,
    DataCentre,
    Instant,
    Outcome,
    RouteName,
    ServiceName,
    UpstreamId,
    VersionName,
    Zone,
)
from waxwingbarrow.routing import (
    HealthState,
    PrefixIndex,
    RouteRequest,
    RoutingPolicy,
    UpstreamView,
    choose_upstream,
    hash_prefix,
    select_subset,
)

NOW = Instant(1_000_000, 10_000)
POLICY = RoutingPolicy(data_centre=DataCentre("d1"), zone=Zone("z1"))
BASE = UpstreamView(
    upstream=UpstreamId("u0"),
    service=ServiceName("care"),
    version=VersionName("v1"),
    address="10.0.0.1:80",
    data_centre=DataCentre("d1"),
    zone=Zone("z1"),
    price_per_hour=1.0,
    prefill_tokens_per_s=8_000,
    decode_tokens_per_s=800,
    batch_limit=16,
)
REQUEST = RouteRequest(
    service=ServiceName("care"),
    route=RouteName("care-plan"),
    prefix_blocks=tuple(range(100, 140)),
    prompt_tokens=2_600,
    max_output_tokens=100,
    version=VersionName("v1"),
    account=AccountId("a1"),
)


def make_view(number, **changes):
    return attrs.evolve(BASE, upstream=UpstreamId(f"u{number}"), **changes)


def choose(views, index=None, request=REQUEST, seed=1, now=NOW):
    index = index or PrefixIndex()
    return choose_upstream(request, views, index, POLICY, now, random.Random(seed))


INELIGIBLE = [
    {"leaving": True},
    {"health_state": HealthState.LEAVING},
    {"service": ServiceName("rota")},
    {"version": VersionName("v2")},
]


@pytest.mark.parametrize("changes", INELIGIBLE, ids=str)
def test_ineligible_upstream_is_never_chosen_even_if_it_is_the_only_one(changes):
    result = choose([make_view(1, **changes)])
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.NOT_RUN
    overloaded = make_view(2, queued_tokens=10**6)
    assert choose([make_view(1, **changes), overloaded]).ok_value.view.upstream == "u2"


# Each case makes u1 worse than u2 in one respect, which must decide the choice.
DISADVANTAGES = [
    {"queued_tokens": 8_000},
    {"own_queued_tokens": 8_000},
    {"in_flight": 64},
    {"health_state": HealthState.SUSPECT},
    {"health_state": HealthState.EJECTED},
    {"health_state": HealthState.PROBING, "in_flight": 1},
    {"data_centre": DataCentre("d2")},
    {"zone": Zone("z2")},
    {"price_per_hour": 3.0},
    {"prefill_tokens_per_s": 1_000},
]


@pytest.mark.parametrize("changes", DISADVANTAGES, ids=str)
@pytest.mark.parametrize("seed", range(5))
def test_upstream_with_one_disadvantage_is_not_chosen(changes, seed):
    # A short prompt, so that no upstream is assumed to cache it.
    request = attrs.evolve(REQUEST, prefix_blocks=(seed,), prompt_tokens=100)
    no_ties_policy = attrs.evolve(POLICY, tie_margin_ms=0.1)
    result = choose_upstream(
        request,
        [make_view(1, **changes), make_view(2)],
        PrefixIndex(),
        no_ties_policy,
        NOW,
        random.Random(seed),
    )
    assert result.ok_value.view.upstream == "u2"


def test_ejected_upstreams_are_used_if_all_are_ejected():
    views = [make_view(n, health_state=HealthState.EJECTED) for n in range(3)]
    assert isinstance(choose(views), Ok)


def test_idle_probing_upstream_receives_a_request():
    views = [make_view(1, health_state=HealthState.PROBING), make_view(2, in_flight=40)]
    assert choose(views).ok_value.view.upstream == "u1"


def test_stale_load_report_does_not_keep_an_upstream_idle():
    stale_report = Instant(0, NOW.mono_ms - 2 * POLICY.load_stale_ms)
    views = [make_view(1, queued_tokens=10**6, load_reported_at=stale_report)]
    assert choose(views).ok_value.first_token_ms < 1_000


def test_cached_prefix_is_preferred_until_queueing_costs_more_than_prefill():
    index = PrefixIndex()
    index.record_prompt(UpstreamId("u1"), REQUEST.prefix_blocks, NOW)
    views = [make_view(n) for n in range(1, 6)]
    choice = choose(views, index).ok_value
    assert (choice.view.upstream, choice.matched_tokens) == ("u1", 40 * 64)
    views[0] = make_view(1, queued_tokens=8_000)
    assert choose(views, index).ok_value.view.upstream != "u1"


def test_hosts_with_empty_indexes_choose_the_same_upstream_for_a_growing_prefix():
    views = [make_view(n) for n in range(9)]
    grown_request = attrs.evolve(
        REQUEST, prefix_blocks=tuple(range(100, 180)), prompt_tokens=5_200
    )
    chosen = {
        choose(order, request=request, seed=seed).ok_value.view.upstream
        for request in (REQUEST, grown_request)
        for seed in range(5)
        for order in (views, views[::-1])
    }
    assert len(chosen) == 1


def test_requests_with_the_same_system_prompt_are_spread_over_upstreams():
    views = [make_view(n) for n in range(9)]
    system_prompt_blocks = tuple(range(POLICY.affinity_block))
    chosen = set()
    for number in range(30):
        blocks = (
            *system_prompt_blocks,
            *range(1_000 * number + 1_000, 1_000 * number + 1_010),
        )
        request = attrs.evolve(REQUEST, prefix_blocks=blocks, prompt_tokens=2_700)
        chosen.add(choose(views, request=request).ok_value.view.upstream)
    assert len(chosen) >= 7


def test_subset_is_bounded_mostly_local_and_stable_when_an_upstream_is_removed():
    views = [
        make_view(n, data_centre=DataCentre("d1" if n < 40 else "d2"))
        for n in range(60)
    ]
    subset = select_subset(REQUEST, views, POLICY)
    assert len(subset) == POLICY.subset_size
    assert [view.data_centre for view in subset] == ["d1"] * 12 + ["d2"] * 4
    remaining = [view for view in views if view != subset[0]]
    subset_after_removal = select_subset(REQUEST, remaining, POLICY)
    assert (subset_after_removal[:11], subset_after_removal[12:]) == (
        subset[1:12],
        subset[12:],
    )
    local = [view for view in views if view.data_centre == "d1"]
    assert len(select_subset(REQUEST, local, POLICY)) == POLICY.subset_size
    few_local = [
        view for view in views if view.upstream == "u1" or view.data_centre == "d2"
    ]
    subset = select_subset(REQUEST, few_local, POLICY)
    assert (subset[0].upstream, len(subset)) == ("u1", POLICY.subset_size)


def test_overloaded_data_centre_sends_requests_to_another_one():
    views = [make_view(n, queued_tokens=50_000) for n in range(40)]
    views += [make_view(n, data_centre=DataCentre("d2")) for n in range(40, 60)]
    assert choose(views).ok_value.view.data_centre == "d2"


def test_hosts_with_the_same_load_reports_choose_different_equivalent_upstreams():
    request = attrs.evolve(REQUEST, prefix_blocks=(), prompt_tokens=100)
    views = [make_view(n) for n in range(4)]
    chosen = {
        choose(views, request=request, seed=seed).ok_value.view.upstream
        for seed in range(30)
    }
    assert len(chosen) == 4


@pytest.mark.parametrize("text", ["", "abc", "abcd", "abcdefgh", "éééé" * 3])
def test_prefix_hashes_cover_only_complete_blocks(text):
    assert len(hash_prefix(text, 4)) == len(text) // 4
    assert hash_prefix(text + "zzzz", 4)[: len(text) // 4] == hash_prefix(text, 4)


def test_block_size_of_zero_is_rejected():
    with pytest.raises(ValueError, match="at least 1 character"):
        hash_prefix("abc", 0)
