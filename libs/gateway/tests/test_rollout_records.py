"""Guards against a completed version that is withdrawn afterwards.

The platform stops the old workers when a rollout is completed. If hosts then exclude
the new version, or a later holder of the duties records a withdrawal, no worker serves.
"""

import attrs
import pytest
from result import Ok

from waxwingbarrow.core import Instant, RouteName, ServiceName, VersionName
from waxwingbarrow.gateway.base._model import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from waxwingbarrow.gateway.duties._duties import Lease
from waxwingbarrow.gateway.duties._duty_tasks import RolloutTask
from waxwingbarrow.gateway.requests._rollouts import Rollouts
from waxwingbarrow.rollout import CanaryPolicy

POOL, OLD, NEW = ServiceName("pool"), VersionName("v1"), VersionName("v2")
ROUTE = RouteName("r")
ORDER = RolloutOrder(service=POOL, to_version=NEW, duration_s=14.0, offset=4)


def at(ms):
    return Instant(ms, ms)


class Store:
    """Keeps the newest recorded state, and the whole history for the test."""

    def __init__(self):
        self.history = []

    async def write_keyed(self, topic, key, value, token):
        self.history.append(value)
        return Ok(None)


class Codec:
    def write_status(self, status):
        return "rollout", status


class Host:
    def __init__(self, store):
        self.store = store
        self.reads = 0
        self.rollouts = Rollouts(CanaryPolicy())
        self.rollouts.apply_order(ORDER, at(0))
        self.ready = {OLD: 30, NEW: 27}
        self.task = RolloutTask(
            self.rollouts,
            store,
            Codec(),
            Lease(3_000),
            self.read_states,
            self.count_ready,
        )

    def count_ready(self, service, version):
        return sum(self.ready.values()) if version is None else self.ready[version]

    async def read_states(self):
        self.reads += 1
        if self.store.history:
            self.rollouts.apply_status(self.store.history[-1])
        return True

    def count_requests(self):
        """Count good requests of both versions, as from all hosts."""
        for version in (OLD, NEW):
            for _ in range(60):
                self.rollouts.record(POOL, version, ROUTE, False, 50)

    def list_states(self):
        return [status.state for status in self.store.history]


@pytest.mark.parametrize("failures", [0, 1])
def test_a_host_without_the_counts_of_others_does_not_withdraw_at_the_deadline(
    failures,
):
    """With relays a host knows only its own requests: none, or one that failed."""
    host = Host(Store())
    for _ in range(60):
        host.rollouts.record(POOL, OLD, ROUTE, False, 50)
    for _ in range(failures):
        host.rollouts.record(POOL, NEW, ROUTE, True, 50)
    host.rollouts.decide(at(13_900))
    host.rollouts.decide(at(60_000))
    assert host.rollouts.list_withdrawn() == []


async def test_the_holder_withdraws_a_version_that_got_no_requests():
    host = Host(Store())
    await host.task.step(1, at(13_900))
    assert host.list_states() == [RolloutState.WITHDRAWN]


async def test_a_later_holder_does_not_replace_a_recorded_completion():
    store = Store()
    first, second = Host(store), Host(store)
    first.count_requests()
    await first.task.step(1, at(13_900))
    assert first.list_states() == [RolloutState.DONE]
    second.rollouts.apply_withdrawals([(POOL, ORDER.offset)])
    await second.task.step(2, at(24_000))
    assert second.list_states() == [RolloutState.DONE]
    rule = second.rollouts.find_rule(POOL, "q", {NEW})
    assert rule.only == NEW
    assert NEW not in rule.excluded


async def test_a_record_is_read_back_so_that_other_hosts_can_fetch_it():
    """Requests for the new version must not wait until the old workers lapse."""
    host = Host(Store())
    host.count_requests()
    await host.task.step(1, at(13_900))
    assert host.reads == 2


async def test_nothing_is_recorded_before_the_recorded_states_are_known():
    host = Host(Store())

    async def fail():
        return False

    host.task._read_states = fail
    host.count_requests()
    await host.task.step(1, at(13_900))
    assert host.list_states() == []


@pytest.mark.parametrize(("new", "state"), [(0, "withdrawn"), (5, "withdrawn")])
async def test_a_version_without_workers_to_take_over_is_withdrawn(new, state):
    """Guards against seconds without any worker: the old ones stop at once."""
    host = Host(Store())
    host.ready[NEW] = new
    host.count_requests()
    await host.task.step(1, at(13_900))
    assert [recorded.value for recorded in host.list_states()] == [state]


def make_status(state, version=NEW):
    return RolloutStatus(service=POOL, to_version=version, state=state)


def test_a_state_that_is_read_before_its_order_applies():
    """A host that started later took a completed rollout for a running one.

    As the next holder of the duties it replaced the completion by a withdrawal.
    """
    rollouts = Rollouts(CanaryPolicy())
    rollouts.apply_status(make_status(RolloutState.DONE))
    rollouts.apply_order(ORDER, at(0))
    (rollout,) = rollouts.list_rollouts()
    assert (rollout.state, rollout.recorded) == (RolloutState.DONE, RolloutState.DONE)


def test_an_order_that_is_repeated_is_not_ended_by_the_state_of_the_first_one():
    """Guards against an order that ends at once for an earlier withdrawal."""
    rollouts = Rollouts(CanaryPolicy())
    rollouts.apply_order(ORDER, at(0))
    rollouts.apply_status(make_status(RolloutState.WITHDRAWN))
    rollouts.apply_order(attrs.evolve(ORDER, offset=9), at(1_000))
    assert rollouts.is_running(POOL)


@pytest.mark.parametrize("state", [RolloutState.WITHDRAWN, RolloutState.RUNNING])
def test_final_state_is_not_replaced_by_that_of_an_older_copy(state):
    """A completion became a withdrawal that had been recorded for an earlier order."""
    rollouts = Rollouts(CanaryPolicy())
    rollouts.apply_order(ORDER, at(0))
    rollouts.apply_status(make_status(RolloutState.DONE))
    rollouts.forget_recorded()
    rollouts.apply_status(make_status(state), is_restored=True)
    (rollout,) = rollouts.list_rollouts()
    assert (rollout.state, rollout.recorded) == (RolloutState.DONE, None)
    rule = rollouts.find_rule(POOL, "q", {OLD, NEW})
    assert (rule.only, rule.excluded) == (NEW, frozenset())
