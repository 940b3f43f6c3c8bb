"""Guards against a retry of an append that is in flight at the caller's deadline.

The outcome of such a retry is unknown, so a refusal that was certain before it would be
reported as uncertain.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Sequence

import attrs
import pytest
from result import Err, Ok

from waxwingbarrow.core import SystemClock
from waxwingbarrow.platform import (
    AppenderPolicy,
    LogAppender,
    LogReader,
    NotSent,
    Unsettled,
)

CLOCK = SystemClock()
APPENDS = 50
DEADLINE_MS = 300


@attrs.define
class SlowRefusingLog:
    """Log that refuses each append after a delay, without an effect."""

    answer_ms: int
    calls: int = 0

    async def append(self, stream: str, records: Sequence[dict[str, str]]):
        self.calls += 1
        await asyncio.sleep(self.answer_ms / 1000)
        return Err(NotSent("status 503"))

    async def read(self, stream: str, from_offset: int, limit: int, wait_ms: int):
        await asyncio.sleep(wait_ms / 1000)
        return Err(NotSent("status 503"))


@contextlib.asynccontextmanager
async def run_appender(log, seed: int = 1) -> AsyncIterator[LogAppender]:
    rng = random.Random(seed)
    reader = LogReader(
        log, "claims", lambda entries: None, lambda lost, first: None, CLOCK, rng
    )
    appender = LogAppender(log, "claims", reader, CLOCK, rng, AppenderPolicy())
    task = asyncio.create_task(appender.run())
    try:
        yield appender
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def append_once(answer_ms: int, seed: int):
    log = SlowRefusingLog(answer_ms)
    async with run_appender(log, seed) as appender:
        deadline_ms = CLOCK.now().mono_ms + DEADLINE_MS
        result = await appender.append({"record_id": "a"}, deadline_ms)
        return result.err(), log.calls


@pytest.mark.parametrize("answer_ms", [0, 40])
async def test_refused_append_is_reported_as_not_sent(answer_ms):
    results = await asyncio.gather(
        *(append_once(answer_ms, seed) for seed in range(APPENDS))
    )
    assert all(isinstance(failure, NotSent) for failure, _ in results)
    assert all(failure.reason == "status 503" for failure, _ in results)
    # The refused appends were tried again while there was time for an answer.
    assert min(calls for _, calls in results) > 1


async def test_append_in_flight_at_its_deadline_is_unsettled():
    failure, calls = await append_once(answer_ms=2 * DEADLINE_MS, seed=1)
    assert isinstance(failure, Unsettled)
    assert failure.reason == "the deadline passed before the answer"
    assert calls == 1


@attrs.define
class LogAfterTimeout:
    """Log that loses the answer of the first append and refuses the next one once."""

    calls: int = 0
    answer_lost_after_ms: int = 400

    async def append(self, stream: str, records: Sequence[dict[str, str]]):
        self.calls += 1
        if self.calls == 1:
            await asyncio.sleep(self.answer_lost_after_ms / 1000)
            return Err(Unsettled("timeout"))
        return Err(NotSent("status 503")) if self.calls == 2 else Ok(7)

    async def read(self, stream: str, from_offset: int, limit: int, wait_ms: int):
        await asyncio.sleep(wait_ms / 1000)
        return Err(NotSent("status 503"))


async def test_refused_append_is_tried_again_after_another_one_timed_out():
    """A lost answer says nothing about the time that answers take."""
    log = LogAfterTimeout()
    async with run_appender(log) as appender:
        first = appender.append({"record_id": "a"}, CLOCK.now().mono_ms + 200)
        assert isinstance((await first).err(), Unsettled)
        await asyncio.sleep(0.3)
        second = appender.append({"record_id": "b"}, CLOCK.now().mono_ms + 300)
        assert await second == Ok(7)
