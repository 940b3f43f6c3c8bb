"""Guards against lost, duplicated or reordered log records and wrong append results."""

import asyncio
import contextlib
import random
import socket
from collections.abc import AsyncIterator

import attrs
import pytest
from result import Err, Ok

from waxwingbarrow.core import SystemClock
from waxwingbarrow.platform import (
    AppenderPolicy,
    HttpLogClient,
    HttpSession,
    LogAppender,
    LogReader,
    LogRejected,
    NotSent,
    RawEntry,
    ReaderPolicy,
    Unsettled,
)
from waxwingbarrow.standins import (
    PlatformFaults,
    PlatformSettings,
    PlatformStandin,
    serve,
)

STREAM = "claims"
CLOCK = SystemClock()


def make_record(name: str) -> dict[str, str]:
    return {"record_id": name}


@attrs.define
class Rig:
    platform: PlatformStandin
    client: HttpLogClient
    reader: LogReader
    appender: LogAppender
    seen: list[RawEntry]
    expired: list[tuple[int, int]]

    @property
    def seen_ids(self) -> list[str]:
        return [entry.record["record_id"] for entry in self.seen]

    @property
    def stored_ids(self) -> list[str]:
        records = self.platform.get_stream(STREAM).records
        return [record["record_id"] for _, record in records]

    async def append(self, name: str, within_ms: int = 2_000):
        deadline_ms = CLOCK.now().mono_ms + within_ms
        return await self.appender.append(make_record(name), deadline_ms)

    async def read_to_tail(self, within_ms: int = 2_000):
        return await self.reader.read_to_tail(CLOCK.now().mono_ms + within_ms)


@contextlib.asynccontextmanager
async def open_rig(
    settings: PlatformSettings | None = None,
    timeout_ms: int = 300,
    policy: AppenderPolicy | None = None,
) -> AsyncIterator[Rig]:
    platform = PlatformStandin(settings)
    session = HttpSession(caller="host-1")
    rng = random.Random(1)
    async with serve(platform.make_app()) as address:
        client = HttpLogClient(session, address, timeout_ms)
        seen: list[RawEntry] = []
        expired: list[tuple[int, int]] = []
        reader = LogReader(
            client,
            STREAM,
            seen.extend,
            lambda lost, first: expired.append((lost, first)),
            CLOCK,
            rng,
            policy=ReaderPolicy(page_limit=7, wait_ms=200, retry_max_ms=100),
        )
        appender = LogAppender(client, STREAM, reader, CLOCK, rng, policy)
        tasks = [
            asyncio.create_task(reader.run()),
            asyncio.create_task(appender.run()),
        ]
        try:
            yield Rig(platform, client, reader, appender, seen, expired)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await session.close()


@attrs.frozen
class AppendCase:
    name: str
    faults: PlatformFaults
    expected: type
    stored: int


APPEND_CASES = [
    AppendCase("no fault", PlatformFaults(), int, 1),
    AppendCase("refused", PlatformFaults(refuse=True), NotSent, 0),
    AppendCase("unclear failure", PlatformFaults(fail_unclear=True), Unsettled, 0),
    AppendCase("broken before", PlatformFaults(break_before=True), Unsettled, 0),
    AppendCase("cut off", PlatformFaults(cut_callers=("host-1",)), Unsettled, 0),
    AppendCase("answer lost", PlatformFaults(lose_answers=1), Unsettled, 1),
    AppendCase(
        "answer hangs",
        PlatformFaults(lose_answers=1, lose_by_hanging=True),
        Unsettled,
        1,
    ),
    AppendCase("too slow", PlatformFaults(slow_ms=400), Unsettled, 1),
]


@pytest.mark.parametrize("case", APPEND_CASES, ids=lambda case: case.name)
async def test_client_never_reports_not_sent_for_an_append_that_took_effect(
    case: AppendCase,
):
    async with open_rig() as rig:
        rig.platform.set_faults(case.faults)
        answer = await rig.client.append(STREAM, [make_record("a")])
        assert isinstance(
            answer.ok() if answer.is_ok() else answer.err(), case.expected
        )
        await asyncio.sleep(0.2)
        assert len(rig.stored_ids) == case.stored


async def test_refused_connection_is_reported_as_not_sent():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        session = HttpSession()
        client = HttpLogClient(session, f"127.0.0.1:{unused.getsockname()[1]}")
        assert isinstance((await client.append(STREAM, [{}])).err(), NotSent)
        await session.close()


async def test_append_without_records_is_rejected():
    async with open_rig() as rig:
        answer = await rig.client.append(STREAM, [])
        assert isinstance(answer.err(), LogRejected)


SETTLED_FAULTS = {
    "none": PlatformFaults(),
    "answer lost": PlatformFaults(lose_answers=2),
    "answer hangs": PlatformFaults(lose_answers=1, lose_by_hanging=True),
    "slow": PlatformFaults(slow_ms=100),
    "late": PlatformFaults(slow_ms=500, operations=("append",)),
    "stored twice": PlatformFaults(append_twice=2),
    "stored twice and lost": PlatformFaults(append_twice=3, lose_answers=3),
    "reads repeat entries": PlatformFaults(replay_entries=3),
}


@pytest.mark.parametrize("name", SETTLED_FAULTS)
async def test_appender_resolves_lost_responses_without_a_second_append(name: str):
    async with open_rig() as rig:
        rig.platform.set_faults(SETTLED_FAULTS[name])
        names = [f"r{index}" for index in range(20)]
        answers = await asyncio.gather(*(rig.append(n) for n in names))
        assert all(answer.is_ok() for answer in answers)
        await rig.read_to_tail()
        assert rig.platform.append_calls <= 20
        for record_name, answer in zip(names, answers, strict=True):
            assert rig.stored_ids.index(record_name) == answer.unwrap()
        if "twice" not in name:
            assert sorted(rig.stored_ids) == sorted(names)
        assert [entry.offset for entry in rig.seen] == list(range(len(rig.stored_ids)))
        assert rig.seen_ids == rig.stored_ids


async def test_records_that_arrive_during_an_append_share_the_next_one():
    async with open_rig(timeout_ms=1_000) as rig:
        rig.platform.set_faults(PlatformFaults(slow_ms=50, operations=("append",)))
        await asyncio.gather(*(rig.append(f"r{index}") for index in range(50)))
        assert rig.platform.append_calls <= 2


# Each record of this test takes 19 bytes as JSON.
@pytest.mark.parametrize(
    ("policy", "calls"),
    [
        (AppenderPolicy(max_records=2), 5),
        (AppenderPolicy(max_records=9), 1),
        (AppenderPolicy(max_bytes=60), 3),
    ],
)
async def test_batches_respect_the_limits(policy: AppenderPolicy, calls: int):
    async with open_rig(policy=policy) as rig:
        answers = await asyncio.gather(*(rig.append(f"r{i}") for i in range(9)))
        assert answers == [Ok(index) for index in range(9)]
        assert rig.platform.append_calls == calls


async def test_record_above_the_byte_limit_is_rejected():
    async with open_rig(policy=AppenderPolicy(max_bytes=60)) as rig:
        assert isinstance((await rig.append("x" * 60)).err(), LogRejected)


async def test_append_is_retried_after_refusals_without_effect():
    async with open_rig() as rig:
        rig.platform.set_faults(PlatformFaults(refuse=True))
        task = asyncio.create_task(rig.append("a"))
        await asyncio.sleep(0.15)
        rig.platform.set_faults(PlatformFaults())
        assert (await task) == Ok(0)
        assert rig.stored_ids == ["a"]


DEADLINE_CASES = [
    ("outage", PlatformFaults(refuse=True), NotSent),
    ("cut off", PlatformFaults(cut_callers=("host-1",)), Unsettled),
    ("unclear failure", PlatformFaults(fail_unclear=True), Unsettled),
]


@pytest.mark.parametrize(("name", "faults", "expected"), DEADLINE_CASES)
async def test_append_ends_at_its_deadline_and_is_not_sent_later(
    name, faults, expected
):
    async with open_rig(timeout_ms=100) as rig:
        rig.platform.set_faults(faults)
        assert isinstance((await rig.append("a", 300)).err(), expected)
        rig.platform.set_faults(PlatformFaults())
        # Once the caller has a final result, a retry must not append the record.
        await asyncio.sleep(0.2)
        assert rig.stored_ids == []
        assert (await rig.append("b")).is_ok()


async def test_cancelled_append_is_withdrawn_while_it_is_queued():
    """Guards against a retry that appends a record whose caller has given up."""
    async with open_rig() as rig:
        rig.platform.set_faults(PlatformFaults(refuse=True))
        task = asyncio.create_task(rig.append("a"))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        rig.platform.set_faults(PlatformFaults())
        assert (await rig.append("b")).is_ok()
        assert rig.stored_ids == ["b"]


async def test_cancelled_append_in_flight_does_not_fail_its_batch():
    async with open_rig(timeout_ms=1_000) as rig:
        rig.platform.set_faults(PlatformFaults(slow_ms=100, operations=("append",)))
        tasks = [asyncio.create_task(rig.append(f"r{i}")) for i in range(3)]
        await asyncio.sleep(0.05)
        tasks[1].cancel()
        answers = await asyncio.gather(*tasks, return_exceptions=True)
        assert [answers[0], answers[2]] == [Ok(0), Ok(2)]
        assert rig.stored_ids == ["r0", "r1", "r2"]


async def test_rate_limited_appends_are_delayed_and_not_lost():
    async with open_rig(PlatformSettings(appends_per_s=20)) as rig:
        names = [f"r{index}" for index in range(60)]
        for start in range(0, 60, 2):
            pair = names[start : start + 2]
            answers = await asyncio.gather(*(rig.append(n) for n in pair))
            assert all(answer.is_ok() for answer in answers)
        assert rig.stored_ids == names


async def test_reader_skips_expired_entries_and_reports_the_gap():
    async with open_rig() as rig:
        await rig.append("a")
        await rig.read_to_tail()
        rig.platform.set_faults(PlatformFaults(cut_callers=("host-1",)))
        await asyncio.sleep(0.3)
        stream = rig.platform.get_stream(STREAM)
        stream.append([make_record(f"r{index}") for index in range(10)])
        rig.platform.set_faults(PlatformFaults(trim_to={STREAM: 8}))
        assert await rig.read_to_tail() == Ok(11)
        assert rig.expired == [(1, 8)]
        assert [entry.offset for entry in rig.seen] == [0, 8, 9, 10]
        assert rig.reader.first_offset == 8
        assert rig.reader.lag_entries == 0


async def test_reader_reports_entries_lost_to_retention_by_count():
    async with open_rig(PlatformSettings(max_records=5)) as rig:
        stream = rig.platform.get_stream(STREAM)
        stream.append([make_record(f"r{index}") for index in range(9)])
        await rig.read_to_tail()
        assert rig.expired == [(0, 4)]
        assert rig.seen_ids == [f"r{index}" for index in range(4, 9)]


async def test_reader_survives_every_outage_without_loss_or_repetition():
    faults = [
        PlatformFaults(refuse=True),
        PlatformFaults(break_before=True),
        PlatformFaults(fail_unclear=True),
        PlatformFaults(slow_ms=50, replay_entries=9),
        PlatformFaults(cut_callers=("host-1",)),
    ]
    async with open_rig() as rig:
        stream = rig.platform.get_stream(STREAM)
        for round_number, fault in enumerate(faults):
            rig.platform.set_faults(fault)
            for index in range(10):
                stream.append([make_record(f"r{round_number}-{index}")])
                await asyncio.sleep(0.01)
        rig.platform.set_faults(PlatformFaults())
        assert (await rig.read_to_tail()).is_ok()
        assert [entry.offset for entry in rig.seen] == list(range(50))
        assert rig.seen_ids == rig.stored_ids


async def test_reader_does_not_move_back_when_the_tail_does():
    """Guards against a second delivery after a lagging replica returned an old tail."""
    async with open_rig() as rig:
        stream = rig.platform.get_stream(STREAM)
        stream.append([make_record("a"), make_record("b")])
        await rig.read_to_tail()
        before = rig.reader.last_tail_read
        stream.records.pop()
        await asyncio.sleep(0.3)
        assert rig.reader.next_offset == 2
        assert rig.reader.last_tail_read is not None
        stream.append([make_record("b"), make_record("c")])
        await rig.read_to_tail()
        assert rig.seen_ids == ["a", "b", "c"]
        assert rig.reader.last_tail_read > before


async def test_tail_read_fails_when_the_log_is_unavailable():
    async with open_rig() as rig:
        rig.platform.set_faults(PlatformFaults(refuse=True))
        assert isinstance(await rig.read_to_tail(200), Err)


RANDOM_FAULTS = [
    PlatformFaults(),
    PlatformFaults(refuse=True),
    PlatformFaults(fail_unclear=True),
    PlatformFaults(break_before=True),
    PlatformFaults(slow_ms=30),
    PlatformFaults(slow_ms=150, operations=("append",)),
    PlatformFaults(lose_answers=3),
    PlatformFaults(lose_answers=1, lose_by_hanging=True),
    PlatformFaults(replay_entries=5, lose_answers=1),
    PlatformFaults(cut_callers=("host-1",)),
]


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_append_results_match_the_log_under_random_faults(seed: int):
    """Guards against a result that contradicts the records stored in the log.

    Faults change every 6 appends, and the deadlines of the callers are random.
    """
    rng = random.Random(seed)
    async with open_rig(timeout_ms=100) as rig:
        tasks = {}
        for number in range(120):
            if number % 6 == 0:
                rig.platform.set_faults(rng.choice(RANDOM_FAULTS))
            name = f"r{number}"
            within_ms = rng.choice([50, 300, 1_000])
            tasks[name] = asyncio.create_task(rig.append(name, within_ms))
            await asyncio.sleep(rng.uniform(0, 0.03))
        rig.platform.set_faults(PlatformFaults())
        answers = dict(zip(tasks, await asyncio.gather(*tasks.values()), strict=True))
        await asyncio.sleep(0.3)
        assert (await rig.read_to_tail()).is_ok()
        assert len(set(rig.stored_ids)) == len(rig.stored_ids)
        assert rig.seen_ids == rig.stored_ids
        assert [entry.offset for entry in rig.seen] == list(range(len(rig.seen)))
        outcome_types = set()
        for name, answer in answers.items():
            match answer:
                case Ok(offset):
                    assert rig.stored_ids[offset] == name
                case Err(NotSent()):
                    assert name not in rig.stored_ids
                case Err(failure):
                    assert isinstance(failure, Unsettled)
            outcome_types.add(type(answer.ok_value if answer.is_ok() else answer.err()))
        assert int in outcome_types
        assert len(outcome_types) >= 2
