"""Guards against hosts and weight loads chosen worse than by simple rules."""

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


def find_rows(rows, decision, workload, baseline):
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
    (row,) = find_rows(rows, decision, model.COOPERATIVE.name, baseline)
    assert row.ours < math.inf
    assert row.ratio < 1


def test_hosts_that_are_all_reclaimable_leave_demand_unserved_after_a_wave(rows):
    late = find_rows(rows, "share late", model.COOPERATIVE.name, "all cheapest")
    assert len(late) == 2
    assert all(row.ours <= 0.002 < row.baseline for row in late)


def test_zone_failure_leaves_at_most_one_percent_of_the_demand_unserved(rows):
    late = find_rows(rows, "every-host: share late", model.WORKLOADS[3].name, "")
    assert all(row.ours <= 0.01 for row in late)


def test_events_depend_only_on_the_seed():
    load = model.WORKLOADS[1]
    scenarios = [model.make_scenario(load.demands[0], load, HOURS, 3) for _ in range(2)]
    assert scenarios[0] == scenarios[1]
    assert model.make_scenario(load.demands[0], load, HOURS, 4) != scenarios[0]


def test_weight_loads_serve_the_demand_sooner_than_the_baselines():
    assert all(row.ratio < 0.8 for row in bench.compare_weight_loads(runs=30))
