"""Guards against hosts that decide by wrong, old or different speeds of engines."""

import itertools
import logging
import random

import attrs
import pytest
from peer_network import Network, make_holder

from waxwingbarrow.core import DataCentre, Instant, ServiceName, UpstreamId, VersionName
from waxwingbarrow.gateway.admission._placements import AttemptReporter
from waxwingbarrow.gateway.base._model import CallMetadata, Engine, UpstreamEntry
from waxwingbarrow.gateway.messages._messages import AttemptOutcome
from waxwingbarrow.gateway.requests._engine_times import measure_prefill, prepare_job
from waxwingbarrow.gateway.requests._work_meter import (
    SHEET_SPEED,
    estimate_work_ms,
)
from waxwingbarrow.gateway.upstreams import (
    EngineEstimates,
    Fleet,
    Job,
    Load,
    StreamMeter,
)
from waxwingbarrow.routing import DecodingTime, EngineSpeed, PrefillTime

POOL = ServiceName("pool")
ENGINE = Engine(slots=4, memory_tokens=500_000)
FAST = EngineSpeed(prefill_tokens_per_ms=92.1, step_ms=2.8, step_ms_per_request=0.05)


def at(ms):
    return Instant(int(ms), int(ms))


def observe(estimates, rate, *, now_ms=0, count=80, is_alone=True):
    rng = random.Random(1)
    for number in range(count):
        tokens = rng.uniform(600, 9_000)
        time = PrefillTime(tokens=tokens, elapsed_ms=20 + tokens / rate, from_idle=True)
        engine = UpstreamId(f"u{number % 4}")
        estimates.record(POOL, engine, time, at(now_ms), is_alone=is_alone)


def make_estimates(is_enabled=True):
    estimates = EngineEstimates()
    estimates.is_enabled = is_enabled
    return estimates


def make_report(speed, token=1, sent_ms=1):
    return (POOL, token, sent_ms, *attrs.astuple(speed))


def find_rate(estimates, now_ms=0):
    return estimates.find_speed(POOL, at(now_ms)).prefill_tokens_per_ms


def test_nothing_changes_unless_enabled():
    estimates = make_estimates(is_enabled=False)
    observe(estimates, 92.1)
    estimates.update_from_peer([make_report(FAST)], at(0))
    assert estimates.find_speed(POOL, at(0)) == SHEET_SPEED
    assert estimates.find_planned_speed(POOL, at(99_000)) == SHEET_SPEED
    assert estimates.find_slowdown(POOL, UpstreamId("u1"), at(0)) == 1.0
    assert estimates.find_usual_slowdown(POOL, at(0)) is None
    assert estimates.list_reports(at(0)) == []


def test_the_work_by_the_sheet_is_as_without_estimates():
    """Guards against orders that change although the engines are as on the sheet."""
    metadata = CallMetadata(
        request_id="r", prompt_tokens=5_500, max_output_tokens=1_000
    )
    expected_ms = 5_000 / 55 + 600 * 0.101
    for slots in (0, 8):
        work_ms = estimate_work_ms(metadata, 500, slots=slots)
        assert work_ms == pytest.approx(expected_ms)


def test_long_answers_do_not_run_out_of_slots():
    """Engines whose steps hardly grow with the batch are limited by their slots."""
    metadata = CallMetadata(
        request_id="r",
        prompt_tokens=100,
        max_output_tokens=2_000,
        expected_output_tokens=2_000,
    )
    speed = attrs.evolve(FAST, step_ms=3.0, step_ms_per_request=0.0145)
    work_ms = estimate_work_ms(metadata, 0, speed, 32)
    # A worker with 450 ms of work in a second must have free slots.
    slot_s = 2_000 * (3.0 + 32 * 0.0145) / 1000
    assert 450 / work_ms * slot_s <= 0.75 * 32
    assert work_ms <= estimate_work_ms(metadata, 0)


def test_planned_speeds_change_gradually(caplog):
    """An estimate that is wrong for a moment must not return half of the workers."""
    estimates = make_estimates()
    with caplog.at_level(logging.INFO):
        assert estimates.find_planned_speed(POOL, at(0)) == SHEET_SPEED
        observe(estimates, 110.0, now_ms=1_000)
        rates = [
            estimates.find_planned_speed(POOL, at(1_000 * second)).prefill_tokens_per_ms
            for second in range(1, 40)
        ]
    assert all(later <= 1.04 * earlier for earlier, later in itertools.pairwise(rates))
    assert rates[-1] == pytest.approx(110.0, rel=0.02)
    assert "engine estimate in effect" in caplog.messages
    observe(estimates, 20.0, now_ms=40_000, count=400)
    slower = estimates.find_planned_speed(POOL, at(45_000)).prefill_tokens_per_ms
    assert slower < 0.65 * rates[-1]


def test_a_new_keeper_starts_from_the_speed_of_the_one_before():
    estimates = make_estimates()
    estimates.update_from_peer([make_report(FAST)], at(0))
    estimates.set_keeper(2)
    observe(estimates, 55.0, count=10)
    assert find_rate(estimates) == 92.1
    observe(estimates, 55.0, count=80)
    assert find_rate(estimates) == pytest.approx(55.0, rel=0.02)


def test_a_former_keeper_follows_the_next_one():
    estimates = make_estimates()
    estimates.set_keeper(1)
    observe(estimates, 55.0)
    estimates.set_keeper(0)
    estimates.update_from_peer([make_report(FAST, token=2)], at(0))
    assert find_rate(estimates) == 92.1


def test_reports_of_earlier_keepers_are_ignored():
    """While a partition heals, both sides of it have a keeper."""
    estimates = make_estimates()
    estimates.update_from_peer([make_report(FAST, token=2)], at(0))
    slow = attrs.evolve(FAST, prefill_tokens_per_ms=40.0)
    estimates.update_from_peer([make_report(slow, token=1, sent_ms=9)], at(0))
    assert find_rate(estimates) == 92.1
    estimates.update_from_peer([make_report(slow, token=2, sent_ms=2)], at(0))
    assert find_rate(estimates) == 40.0


@pytest.mark.parametrize("value", [0.0, -1.0, 1e300, float("inf"), float("nan")])
def test_invalid_reports_are_bounded(value):
    estimates = make_estimates()
    odd = EngineSpeed(
        prefill_tokens_per_ms=value, step_ms=value, step_ms_per_request=value
    )
    estimates.update_from_peer([make_report(odd)], at(0))
    speed = estimates.find_speed(POOL, at(0))
    assert 55 / 4 <= speed.prefill_tokens_per_ms <= 55 * 4
    assert 3 / 8 <= speed.step_ms <= 9
    assert 0.101 / 8 <= speed.step_ms_per_request <= 0.304


@pytest.mark.parametrize("per_centre", [5, 16])
def test_all_hosts_learn_the_speed_from_the_keeper(per_centre):
    network = Network(3, per_centre)
    for host in network.hosts.values():
        host.fleet.estimates.is_enabled = True
    network.run(8)
    holder = network.hosts[make_holder(network)]
    holder.fleet.estimates.set_keeper(9)
    observe(holder.fleet.estimates, 92.1, now_ms=network.clock.now().mono_ms)
    network.run(4)
    for host in network.hosts.values():
        speed = host.fleet.estimates.find_speed(POOL, network.clock.now())
        assert speed.prefill_tokens_per_ms == pytest.approx(92.1, rel=0.02)


def make_upstream():
    fleet = Fleet()
    entry = UpstreamEntry(
        upstream=UpstreamId("u"),
        service=POOL,
        host="10.0.0.1",
        port=80,
        data_centre=DataCentre("a"),
        version=VersionName("v1"),
    )
    fleet.put(entry, at(0))
    return fleet, fleet.upstreams[UpstreamId("u")]


@pytest.mark.parametrize(
    ("load", "is_measured"),
    [(Load(0, 0, 0), True), (Load(2, 3_000, 0), False), (Load(4, 0, 0), False)],
)
def test_waits_for_other_requests_are_not_taken_for_slow_engines(load, is_measured):
    _, upstream = make_upstream()
    upstream.peer_loads["h1"] = (load, 0)
    job = Job("r", None, 0, 5_000)
    prepare_job(job, upstream, ENGINE, at(0))
    assert (measure_prefill(job, at(100)) is not None) is is_measured


def test_hosts_without_a_keeper_use_what_they_observe():
    fleet, upstream = make_upstream()
    fleet.estimates.is_enabled = True
    reporter = AttemptReporter(
        None, lambda now: [], lambda report, address: None, fleet.estimates
    )
    for number in range(60):
        tokens = 1_000 + 100 * (37 * number % 60)
        time = PrefillTime(tokens=tokens, elapsed_ms=20 + tokens / 85.2, from_idle=True)
        outcome = AttemptOutcome.FIRST_EVENT
        reporter.report(upstream, None, outcome, at(50 * number), time)
    assert find_rate(fleet.estimates, 3_000) == pytest.approx(85.2, rel=0.03)
    (view,) = fleet.view([upstream], (), ENGINE, at(3_000))
    assert view.slowdown == pytest.approx(55 / 85.2, rel=0.05)


def test_steps_of_a_stream_are_reported_to_the_keeper():
    _, upstream = make_upstream()
    sent = []
    reporter = AttemptReporter(
        None, lambda now: ["10.0.0.7"], lambda *message: sent.append(message)
    )
    time = DecodingTime(step_ms=3.5, running=6.0)
    reporter.report(upstream, None, AttemptOutcome.ENDED, at(0), time)
    ((report, address),) = sent
    assert (report.step_ms, report.running, address) == (3.5, 6.0, "10.0.0.7")


def test_a_prompt_of_another_request_is_not_part_of_a_step():
    """Engines stop decoding while they prefill."""
    meter, now_ms = StreamMeter(), 0
    for number in range(200):
        now_ms += 4 if number % 25 else 90
        meter.add(1, 3, now_ms)
    assert meter.summarize().step_ms == pytest.approx(4.0, rel=0.1)


def test_short_streams_say_nothing():
    meter = StreamMeter()
    for number in range(30):
        meter.add(1, 3, 4 * number)
    assert meter.summarize() is None
