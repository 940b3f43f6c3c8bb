"""Guards against losing attempts that count as failures, and unreported upstreams."""

import json
import types

import pytest

from waxwingbarrow.core import Instant, UpstreamId
from waxwingbarrow.gateway.base import Bounds, HedgingSettings, read_settings
from waxwingbarrow.gateway.messages import AttemptOutcome
from waxwingbarrow.gateway.requests._connecting import ConnectPolicy
from waxwingbarrow.gateway.requests._outcomes import AttemptRecorder
from waxwingbarrow.gateway.requests._retry_budgets import RetryBudgets

NOW = Instant(0, 10_400)
STARTED = Instant(0, 10_000)


class Calls:
    """Object that records the calls of its methods."""

    def __init__(self):
        self.made = []

    def __getattr__(self, name):
        return lambda *arguments: self.made.append((name, *arguments))


def make_recorder(engine=None):
    calls = Calls()
    recorder = AttemptRecorder(
        types.SimpleNamespace(
            find_engine=lambda service: engine, pick_service=lambda plan: "desk"
        ),
        types.SimpleNamespace(now=lambda: NOW),
        calls,
        calls,
        calls,
        calls,
        calls,
        RetryBudgets(Bounds()),
        calls,
    )
    return recorder, calls


def make_upstream():
    entry = types.SimpleNamespace(
        upstream=UpstreamId("i-1"), service="desk", version="v2"
    )
    return types.SimpleNamespace(entry=entry)


def test_a_cancelled_attempt_counts_for_the_rollout_with_the_time_waited():
    # A slow version would look fast if its cancelled attempts were left out, and a
    # healthy upstream would be ejected if they were failures.
    recorder, calls = make_recorder()
    plan = types.SimpleNamespace(
        delivered_attempts=0,
        may_have_run=False,
        route=types.SimpleNamespace(name="read"),
        expected_start_ms=None,
        trace=types.SimpleNamespace(attempts=[]),
    )
    recorder.record_cancelled(plan, make_upstream(), STARTED, NOW)
    assert calls.made == [("record", "desk", "v2", "read", False, 400, None)]
    assert (plan.delivered_attempts, plan.may_have_run) == (1, True)
    assert plan.trace.attempts == ["i-1: cancelled (400 ms)"]


@pytest.mark.parametrize("engine", [None, object()])
def test_the_keeper_learns_of_unreachable_engines_only(engine):
    recorder, calls = make_recorder(engine)
    job = types.SimpleNamespace(advice_source=None)
    upstream = make_upstream()
    recorder.report_unreachable(upstream, job)
    report = ("report", upstream, None, AttemptOutcome.UNREACHABLE, NOW)
    assert calls.made == ([report] if engine else [])


@pytest.mark.parametrize(
    ("objective_ms", "timeout_s"), [(100, 0.1), (1_000, 0.25), (10_000, 0.6)]
)
def test_the_fast_connect_timeout_follows_the_objective(objective_ms, timeout_s):
    route = types.SimpleNamespace(objective_ms=objective_ms)
    assert ConnectPolicy(is_fast=True).choose_timeout_s(route) == timeout_s
    assert ConnectPolicy().choose_timeout_s(route) == 0.6


def read(tmp_path, **fields):
    settings = {
        "host_id": "h",
        "data_centre": "vom",
        "ip": "127.0.0.1",
        "caller_address": "127.0.0.1:1",
        "ready_address": "127.0.0.1:2",
        "control_address": "127.0.0.1:3",
        "peer_port": 4,
        "store": {"address": "127.0.0.1:5"},
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings | fields))
    return read_settings(path)


def test_hedging_is_off_by_default(tmp_path):
    assert read(tmp_path).unwrap().hedging == HedgingSettings(
        extra_share=0.0, delay_factor=3.0, fast_connect=False
    )
    hedging = {"extra_share": 0.05, "delay_factor": 2, "fast_connect": True}
    settings = read(tmp_path, hedging=hedging).unwrap()
    assert settings.hedging == HedgingSettings(**hedging)


@pytest.mark.parametrize(
    ("field", "value"), [("extra_share", 5), ("delay_factor", 0), ("share", 0.1)]
)
def test_wrong_hedging_settings_are_errors_that_name_the_field(tmp_path, field, value):
    # A share of 5 instead of 0.05 would double the load of every service.
    error = read(tmp_path, hedging={field: value}).unwrap_err()
    assert field in error.field
