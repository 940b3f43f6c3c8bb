"""Guards against wrong statistics and against slopes that measure nothing."""

import json

import attrs
import pytest

from waxwingbarrow.bench import _slopes
from waxwingbarrow.bench._bench import make_row
from waxwingbarrow.bench._measuring import (
    Spread,
    find_percentile,
    fit_slope,
    measure_spread,
)
from waxwingbarrow.bench._plots import draw_plots
from waxwingbarrow.claims import ClaimPolicy, check_key
from waxwingbarrow.core import SystemClock


def test_slope_is_fitted_in_each_repetition():
    slope = fit_slope("s", "ms per item", (1, 2, 4), [(5, 7, 11), (6, 9, 15)])
    assert slope.per_item == Spread(2.5, 2.0, 3.0, 2)
    assert slope.base == measure_spread([3.0, 3.0])
    assert slope.costs[2] == Spread(13, 11, 15, 2)


@pytest.mark.parametrize(
    ("percent", "expected"), [(0, 1), (50, 51), (95, 96), (99, 100), (100, 100)]
)
def test_percentile_stays_within_the_values(percent, expected):
    assert find_percentile(range(1, 101), percent) == expected


def test_keys_made_in_quick_succession_are_unique_and_not_in_the_future():
    policy = ClaimPolicy(key_max_age_s=10, log_retention_s=60)
    keys = [_slopes.make_key() for _ in range(5_000)]
    now = SystemClock().now()
    assert len(set(keys)) == len(keys)
    assert all(check_key(key, now, policy, True).is_ok() for key in keys)


@pytest.mark.parametrize(
    ("measure", "sizes"),
    [
        (_slopes.count_claim_bytes, (50, 100)),
        (_slopes.measure_claim_memory_bytes, (50, 100)),
        (_slopes.count_evidence_bytes, (2, 8)),
    ],
)
def test_cost_grows_with_the_size(measure, sizes):
    small, large = map(measure, sizes)
    assert 0 < small < large


def test_ratio_to_a_baseline_of_zero_is_infinite_or_one():
    assert make_row("d", "w", 0, "b", 0).ratio == 1.0
    assert make_row("d", "w", 2, "b", 0).ratio == float("inf")


def test_plots_are_drawn_from_the_json_alone(tmp_path):
    slope = attrs.asdict(fit_slope("a: b", "ms per item", (1, 2), [(1, 2), (1, 3)]))
    data = {
        "slopes": [slope],
        "overhead": {"stream_cpu": {**slope, "name": "stream"}},
        "fleet": {"slopes": []},
        "rows": [attrs.asdict(make_row("d", "w", 0, "b", 1))],
    }
    (tmp_path / "bench.json").write_text(json.dumps(data))
    draw_plots(tmp_path)
    names = {path.name for path in tmp_path.glob("*.png")}
    assert names == {"a-b.png", "stream.png", "ratios.png"}
