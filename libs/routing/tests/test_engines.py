"""Guards against workers chosen badly under typical loads, and wrong part indexes."""

import random

import pytest

from waxwingbarrow.core import DataCentre, UpstreamId
from waxwingbarrow.routing import (
    PartIndex,
    PlacementPolicy,
    PromptPart,
    RequestSize,
    WorkerView,
    choose_worker,
    estimate_start_ms,
)

LOCAL, REMOTE = DataCentre("local"), DataCentre("remote")
POLICY = PlacementPolicy(data_centre=LOCAL)
LONG_PROMPT = RequestSize(prompt_tokens=12_000, output_tokens=400)
SHORT_PROMPT = RequestSize(prompt_tokens=600, output_tokens=300)


def make_view(name, location=LOCAL, **known):
    return WorkerView(upstream=UpstreamId(name), data_centre=location, slots=8, **known)


def choose(request_size, *views, seed=1):
    return (
        choose_worker(request_size, views, POLICY, random.Random(seed))
        .ok()
        .view.upstream
    )


@pytest.mark.parametrize(
    ("pattern", "request_size", "views", "expected"),
    [
        (
            "a popular prefix goes to the worker that caches it",
            LONG_PROMPT,
            [make_view("u1", cached_tokens=10_000, running=4), make_view("u2")],
            "u1",
        ),
        (
            "a popular prefix does not wait behind a long prefill queue",
            LONG_PROMPT,
            [
                make_view("u1", cached_tokens=5_000, pending_prefill_tokens=40_000),
                make_view("u2"),
            ],
            "u2",
        ),
        (
            "a short prompt avoids a worker that prefills a long prompt",
            SHORT_PROMPT,
            [make_view("u1", pending_prefill_tokens=50_000), make_view("u2", REMOTE)],
            "u2",
        ),
        (
            "an idle remote worker is preferred to a full local one",
            SHORT_PROMPT,
            [make_view("u1", running=12), make_view("u2", REMOTE)],
            "u2",
        ),
        (
            "a local worker is preferred to an equal remote one",
            SHORT_PROMPT,
            [make_view("u1"), make_view("u2", REMOTE)],
            "u1",
        ),
        (
            "a worker that would have to preempt requests is avoided",
            LONG_PROMPT,
            [
                make_view("u1", memory_tokens=50_000, used_tokens=45_000),
                make_view("u2", REMOTE, memory_tokens=50_000, running=3),
            ],
            "u2",
        ),
        (
            "a worker at which requests fail is avoided",
            SHORT_PROMPT,
            [make_view("u1", failure_rate=0.4), make_view("u2", running=6)],
            "u2",
        ),
        (
            "a suspect worker is not used if there is another",
            SHORT_PROMPT,
            [make_view("u1", is_suspect=True), make_view("u2", running=30)],
            "u2",
        ),
    ],
)
def test_worker_is_chosen_for_load_pattern(pattern, request_size, views, expected):
    assert choose(request_size, *views) == expected, pattern


def test_suspect_workers_are_used_when_there_is_no_other():
    assert choose(SHORT_PROMPT, make_view("u1", is_suspect=True)) == "u1"


def test_hosts_with_the_same_views_do_not_all_choose_the_same_worker():
    views = [make_view(f"u{number}") for number in range(4)]
    chosen = {choose(SHORT_PROMPT, *views, seed=seed) for seed in range(40)}
    assert len(chosen) == 4


def test_no_worker_returns_an_error_and_does_not_raise():
    assert choose_worker(SHORT_PROMPT, [], POLICY, random.Random(1)).is_err()


def test_estimate_includes_the_wait_for_a_slot():
    with_free_slot = estimate_start_ms(make_view("u", running=7), SHORT_PROMPT, POLICY)
    without_free_slot = estimate_start_ms(
        make_view("u", running=12), SHORT_PROMPT, POLICY
    )
    assert without_free_slot > with_free_slot


def test_part_index_evicts_the_least_recently_used_part():
    index = PartIndex(capacity_tokens=1_000)
    worker = UpstreamId("u")
    index.record_prompt(worker, [PromptPart(1, 400)])
    index.record_prompt(worker, [PromptPart(2, 400)])
    index.record_prompt(worker, [PromptPart(1, 400)])
    index.record_prompt(worker, [PromptPart(3, 400)])
    assert index.count_cached(worker, [PromptPart(1, 400)]) == 400
    assert index.count_cached(worker, [PromptPart(2, 400)]) == 0


def test_cached_part_does_not_count_if_an_earlier_part_is_not_cached():
    index = PartIndex(capacity_tokens=1_000)
    worker = UpstreamId("u")
    index.record_prompt(worker, [PromptPart(2, 400)])
    assert index.count_cached(worker, [PromptPart(1, 10), PromptPart(2, 400)]) == 0


def test_removed_engine_has_no_cached_parts():
    index = PartIndex(capacity_tokens=1_000)
    worker = UpstreamId("u")
    index.record_prompt(worker, [PromptPart(1, 400)])
    index.forget(worker)
    assert index.count_cached(worker, [PromptPart(1, 400)]) == 0
