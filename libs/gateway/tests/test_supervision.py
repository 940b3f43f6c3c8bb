"""Guards against a failure of one part that ends the process or stops other parts."""

import asyncio

import pytest

from waxwingbarrow.gateway.base import _supervision
from waxwingbarrow.gateway.base._metrics import Metrics
from waxwingbarrow.gateway.base._supervision import Supervisor


@pytest.fixture
def metrics():
    return Metrics()


@pytest.fixture
def supervisor(metrics, monkeypatch):
    monkeypatch.setattr(_supervision, "FIRST_RESTART_DELAY_S", 0.01)
    monkeypatch.setattr(_supervision, "MAX_RESTART_DELAY_S", 0.02)
    return Supervisor(metrics.unexpected_failures)


def count_failures(metrics, part):
    labels = {"part": part}
    name = "waxwingbarrow_gateway_unexpected_failures_total"
    return metrics.registry.get_sample_value(name, labels)


async def test_task_that_fails_starts_again_and_stops_no_other(supervisor, metrics):
    starts, steps = [], []

    async def fail():
        starts.append(None)
        raise RecursionError("nested too deep")

    async def go_on():
        while True:
            steps.append(None)
            await asyncio.sleep(0.005)

    supervisor.spawn("failing", fail)
    supervisor.spawn("sound", go_on)
    await asyncio.sleep(0.2)
    supervisor.cancel_all()
    assert len(starts) > 2
    assert len(steps) > 10
    assert count_failures(metrics, "failing") == len(starts)
    await asyncio.sleep(0.01)
    ended = len(steps)
    await asyncio.sleep(0.05)
    assert len(steps) == ended


async def test_group_of_tasks_that_fails_starts_again_as_a_whole(supervisor):
    """Guards against a lease that is no longer renewed after a failure of a duty."""
    starts = []

    async def fail():
        starts.append(None)
        raise OverflowError

    async def run_group():
        async with asyncio.TaskGroup() as group:
            group.create_task(fail())
            group.create_task(asyncio.sleep(10))

    supervisor.spawn("group", run_group)
    await asyncio.sleep(0.1)
    supervisor.cancel_all()
    assert len(starts) > 1


async def test_failures_of_one_part_are_logged_at_intervals(metrics, caplog):
    now_s = [0.0]
    supervisor = Supervisor(metrics.unexpected_failures, lambda: now_s[0])
    for _ in range(100):
        with supervisor.contain("messages"):
            raise ValueError
        now_s[0] += 0.25
    assert count_failures(metrics, "messages") == 100
    assert 2 <= len(caplog.records) <= 4


async def test_failure_of_a_callback_is_counted(supervisor, metrics):
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(supervisor.handle_loop_failure)
    loop.call_soon(lambda: 1 / 0)
    await asyncio.sleep(0.01)
    assert count_failures(metrics, "callback") == 1
