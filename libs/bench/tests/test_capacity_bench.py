"""Guards against a choice of hosts that fixed rules beat, and against slow loads."""

import math

import pytest

from waxwingbarrow.bench import _capacity as bench
from waxwingbarrow.bench import _hostmodel as model

HOURS = 2


@pytest.fixture(scope="module")
def rows():
    workloads = [
        model.COOPERATIVE,
        next(w for w in model.WORKLOADS if "Co-operative, reclaims, f" in w.name),
    ]
    return bench.compare_hosts(workloads, hours=HOURS)


def find(rows, decision, workload, baseline):
    return [
        row
        for row in rows
        if decision in row.decision
        and row.workload == workload
        and row.baseline_name.startswith(baseline)
    ]


@pytest.mark.parametrize("baseline", [item.name for item in bench.BASELINES])
def test_choice_for_reclaims_costs_less_than_rules_that_survive_waves(rows, baseline):
    decision = "reclaimable: cost per hour, target after waves"
    (row,) = find(rows, decision, model.COOPERATIVE.name, baseline)
    assert row.ours < math.inf
    assert row.ratio < 1


def test_hosts_that_all_may_be_reclaimed_leave_demand_unserved(rows):
    late = find(rows, "share late", model.COOPERATIVE.name, "all cheapest")
    assert len(late) == 2
    assert all(row.ours <= 0.002 < row.baseline for row in late)


def test_failed_zone_is_survived(rows):
    late = find(rows, "every-host: share late", model.WORKLOADS[3].name, "")
    assert all(row.ours <= 0.01 for row in late)


def test_events_are_the_same_for_every_decision():
    load = model.WORKLOADS[1]
    scenes = [model.make_scene(load.demands[0], load, HOURS, 3) for _ in range(2)]
    assert scenes[0] == scenes[1]
    assert model.make_scene(load.demands[0], load, HOURS, 4) != scenes[0]


def test_urgent_loads_are_served_sooner_than_by_equal_rates():
    assert all(row.ratio < 0.8 for row in bench.compare_loads(runs=30))
