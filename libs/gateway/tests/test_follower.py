"""Guards against hosts that stay behind because a long poll is never answered."""

import asyncio
import contextlib

import attrs
import pytest
from result import Err, Ok

from waxwingbarrow.core import ManualClock, SystemClock
from waxwingbarrow.gateway.base._ports import (
    KeyedPage,
    KeyedRecord,
    StoreUnreachable,
    Topic,
)
from waxwingbarrow.gateway.peers._peers import OPERATOR_WAIT_MS
from waxwingbarrow.gateway.replication._follower import Follower, StoreHealth
from waxwingbarrow.gateway.replication._replica import Replica

# A version must be in force within 2 s; an unanswered long poll lasts for 11 s.
CONFIG_BOUND_S = 2.0


@attrs.define
class SilentStore:
    """Store that goes silent: calls that wait during an outage are never answered.

    With `loses_polls`, only the long polls that are sent meanwhile are not answered.
    """

    is_down: bool = False
    loses_polls: bool = False
    end: int = 1
    polls: int = 0
    waiting: int = 0

    async def read_newest(self, topic):
        return Ok(KeyedPage((), self.end))

    async def read_keyed(self, topic, offset, wait_ms):
        if topic != Topic.OPERATOR:
            await asyncio.sleep(0.01)
            if self.is_down:
                return Err(StoreUnreachable("timeout"))
            return Ok(KeyedPage((), offset))
        self.polls += 1
        self.waiting += 1
        try:
            if self.loses_polls:
                await asyncio.sleep(11)
            for _ in range(wait_ms // 10):
                await asyncio.sleep(0.01)
                if self.is_down:
                    await asyncio.sleep(11)
                if self.end > offset:
                    record = KeyedRecord(self.end - 1, "config", b"new")
                    return Ok(KeyedPage((record,), self.end))
            return Ok(KeyedPage((), offset))
        finally:
            self.waiting -= 1


@pytest.fixture
async def follower():
    store = SilentStore()
    clock = SystemClock()
    replicas = {topic: Replica() for topic in (Topic.OPERATOR, Topic.UPSTREAMS)}
    changes = []
    wait = {"ms": OPERATOR_WAIT_MS}
    health = StoreHealth(clock)
    follower = Follower(
        store,
        replicas,
        health,
        clock,
        lambda topic, change: changes.append((topic, change)),
        lambda: True,
        lambda: wait["ms"],
    )
    tasks = [
        asyncio.create_task(follower.follow_operator()),
        asyncio.create_task(follower.follow(Topic.UPSTREAMS, 0, 0.02)),
    ]
    yield store, replicas, wait
    for task in tasks:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    assert store.waiting == 0


async def test_a_version_published_after_an_outage_is_read_at_once(follower):
    store, replicas, _ = follower
    await asyncio.sleep(0.2)
    store.is_down = True
    await asyncio.sleep(0.5)
    store.is_down = False
    store.end = 2
    async with asyncio.timeout(CONFIG_BOUND_S):
        while replicas[Topic.OPERATOR].end < 2:
            await asyncio.sleep(0.01)


async def test_a_long_poll_is_not_repeated_while_the_store_answers(follower):
    store, _, _ = follower
    await asyncio.sleep(1.0)
    assert store.polls == 1


async def test_a_long_poll_is_replaced_when_nothing_vouches_for_the_copy(follower):
    # Guards against CONFIG of inc1 where no other call of the host fails: a version
    # stays unknown until the long poll, whose answer was lost, reaches its timeout.
    store, replicas, wait = follower
    store.loses_polls = True
    await asyncio.sleep(0.3)
    assert store.waiting == 1
    store.loses_polls = False
    store.end = 2
    wait["ms"] = 1_000
    async with asyncio.timeout(CONFIG_BOUND_S):
        while replicas[Topic.OPERATOR].end < 2:
            await asyncio.sleep(0.01)


async def test_a_return_during_the_work_after_another_one_is_not_missed():
    """What the second copy of the store lacked was not written again."""
    health = StoreHealth(ManualClock())
    for era in (1, 2):
        health.note_era(era)
    assert await health.wait_until_restored(0) == 2
    health.note_era(3)
    async with asyncio.timeout(1):
        assert await health.wait_until_restored(2) == 3


async def test_the_first_era_is_no_return():
    health = StoreHealth(ManualClock())
    health.note_era(4)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.01):
            await health.wait_until_restored(0)
