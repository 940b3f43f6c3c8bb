"""Guards against wrong text after faults and sent requests reported as not sent."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import attrs
import pytest
from result import Ok

from waxwingbarrow.core import PriorityClass, UpstreamId
from waxwingbarrow.platform import HttpSession
from waxwingbarrow.standins import (
    EngineFaults,
    EngineSettings,
    EngineStandin,
    expected_text,
    serve,
)
from waxwingbarrow.upstreams import (
    AnswerBroken,
    EngineClient,
    EngineError,
    Finished,
    GenerateCall,
    MaybeSent,
    NotSent,
    Opened,
    Order,
    OrderAnswer,
    Rejected,
    Started,
    StreamTimeouts,
    Token,
    UpstreamAddress,
)

TOKEN_COUNT = 8
PROMPT = "Plan the care of resident 7. " * 30
FULL_TEXT = expected_text("m", PROMPT, TOKEN_COUNT)


def make_call(**changes) -> GenerateCall:
    call = GenerateCall(
        request_id="q", attempt_id="1", model="m", prompt=PROMPT, max_tokens=TOKEN_COUNT
    )
    return attrs.evolve(call, **changes)


@attrs.define
class Rig:
    engine: EngineStandin
    client: EngineClient
    target: UpstreamAddress

    async def generate(self, **changes) -> list:
        return [
            e async for e in self.client.generate(self.target, make_call(**changes))
        ]

    async def resume(self, from_index: int) -> list:
        events = self.client.resume(self.target, "q.1", "2", from_index)
        return [event async for event in events]


@contextlib.asynccontextmanager
async def open_rig(settings: EngineSettings | None = None) -> AsyncIterator[Rig]:
    engine = EngineStandin(settings, exit_process=lambda code: None)
    session = HttpSession()
    async with serve(engine.make_app()) as address:
        client = EngineClient(session, StreamTimeouts(500, 200))
        yield Rig(engine, client, UpstreamAddress(UpstreamId("u"), address))
    await session.close()


def join_tokens(events: list) -> str:
    return "".join(event.text for event in events if isinstance(event, Token))


async def test_answer_without_faults_is_complete():
    async with open_rig() as rig:
        events = await rig.generate()
        assert isinstance(events[0], Opened)
        assert events[0].load is not None
        assert events[1] == Started("q.1", "1", 0)
        assert join_tokens(events) == FULL_TEXT
        assert events[-1].count == TOKEN_COUNT
        assert events[-1].load.batch_limit == 16


@pytest.mark.parametrize("cut_at", range(TOKEN_COUNT))
async def test_interrupted_answer_is_completed_by_resume_or_another_engine(cut_at: int):
    async with open_rig() as rig, open_rig() as other:
        rig.engine.faults = EngineFaults(cut_at=cut_at, cut_count=1)
        events = await rig.generate()
        text = join_tokens(events)
        assert isinstance(events[-1], AnswerBroken)
        assert text == expected_text("m", PROMPT, cut_at)
        resumed = await rig.resume(cut_at)
        continued = await other.generate(continue_from=text, first_index=cut_at)
        for rest in (resumed, continued):
            assert text + join_tokens(rest) == FULL_TEXT
            assert isinstance(rest[-1], Finished)
            assert rest[-1].count == TOKEN_COUNT


@attrs.frozen
class FaultCase:
    name: str
    faults: EngineFaults
    indexes: list[int]
    last_event_type: type


FAULT_CASES = [
    FaultCase("duplicate", EngineFaults(duplicate_at=1), [0, 1, 1, 2, 3], Finished),
    FaultCase("reorder", EngineFaults(reorder_at=1), [0, 2, 1, 3], Finished),
    FaultCase("error event", EngineFaults(fail_at=2), [0, 1], EngineError),
    FaultCase("stall", EngineFaults(stall_at=2), [0, 1], AnswerBroken),
    FaultCase("failure", EngineFaults(fail_status=500), [], Rejected),
    FaultCase("crash", EngineFaults(crash_marker="care"), [], MaybeSent),
    FaultCase("too slow", EngineFaults(slow_factor=1000), [], AnswerBroken),
    FaultCase("wrong length", EngineFaults(wrong_length=2), [0, 1, 2, 3], Finished),
    FaultCase(
        "other prompt", EngineFaults(cut_at=1, only_marker="?"), [0, 1, 2, 3], Finished
    ),
]


@pytest.mark.parametrize("case", FAULT_CASES, ids=lambda case: case.name)
async def test_engine_faults_reach_the_caller_unchanged(case: FaultCase):
    async with open_rig() as rig:
        rig.engine.faults = case.faults
        events = await rig.generate(max_tokens=4)
        assert [e.index for e in events if isinstance(e, Token)] == case.indexes
        assert isinstance(events[-1], case.last_event_type)
        if isinstance(events[-1], Finished):
            assert events[-1].count == 4 + case.faults.wrong_length


async def test_refused_connection_is_not_sent():
    session = HttpSession()
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        client = EngineClient(session)
        target = UpstreamAddress(UpstreamId("u"), address)
        events = [event async for event in client.generate(target, make_call())]
        assert len(events) == 1
        assert isinstance(events[0], NotSent)
        order = await client.order(target, Order("o", 1, "load_model"))
        assert isinstance(order.err(), NotSent)
        # aiosonic may repeat a DELETE, so an earlier attempt may have been sent.
        assert isinstance((await client.cancel(target, "s")).err(), MaybeSent)
    await session.close()


async def test_silent_engine_gives_maybe_sent():
    async def stay_silent(reader, writer):
        try:
            await reader.read()
        finally:
            writer.close()

    server = await asyncio.start_server(stay_silent, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    session = HttpSession()
    client = EngineClient(session, StreamTimeouts(50, 50))
    target = UpstreamAddress(UpstreamId("u"), f"127.0.0.1:{port}")
    events = [event async for event in client.generate(target, make_call())]
    assert [type(event) for event in events] == [MaybeSent]
    await session.close()
    server.close()


MALFORMED = {
    "not JSON": b"event: token\ndata: {\n\n",
    "missing field": b'event: token\ndata: {"attempt_id": "1"}\n\n',
    "wrong type": b'event: done\ndata: {"attempt_id": "1", "count": true}\n\n',
    "not an object": b"event: error\ndata: []\n\n",
    "not UTF-8": b"event: token\ndata: \xff\n\n",
    "no end": b"event: other\ndata: {}\n\n: comment\n\n",
}


@pytest.mark.parametrize("name", MALFORMED)
async def test_malformed_event_ends_the_stream_as_broken(name: str):
    async def send(reader, writer):
        try:
            await reader.readuntil(b"}")
            head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            body = MALFORMED[name]
            writer.write(head + b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n")
            await writer.drain()
        finally:
            writer.close()

    server = await asyncio.start_server(send, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    session = HttpSession()
    target = UpstreamAddress(UpstreamId("u"), f"127.0.0.1:{port}")
    events = [e async for e in EngineClient(session).generate(target, make_call())]
    assert [type(event) for event in events] == [Opened, AnswerBroken]
    await session.close()
    server.close()


async def test_stream_can_be_resumed_with_overlap_after_the_caller_disconnects():
    async with open_rig() as rig:
        events = rig.client.generate(rig.target, make_call())
        async for event in events:
            if isinstance(event, Token):
                break
        await events.aclose()
        rig.engine.faults = EngineFaults(overlap=2)
        indexes = [e.index for e in await rig.resume(5) if isinstance(e, Token)]
        assert indexes == [3, 4, 5, 6, 7]


async def test_cancelled_stream_cannot_be_resumed():
    async with open_rig(EngineSettings(decode_tokens_per_s=10)) as rig:
        events = rig.client.generate(rig.target, make_call())
        async for event in events:
            if isinstance(event, Started):
                break
        assert await rig.client.cancel(rig.target, "q.1") == Ok(None)
        await events.aclose()
        assert isinstance((await rig.resume(0))[-1], Rejected)
        assert (await rig.client.load(rig.target)).unwrap().in_flight == 0


async def test_leaving_is_reported_on_success_and_rejection():
    async with open_rig() as rig:
        rig.engine.faults = EngineFaults(leaving=True)
        assert (await rig.generate())[0].leaving
        rig.engine.faults = EngineFaults(leaving=True, fail_status=503)
        assert (await rig.generate())[0].leaving


async def test_prefix_cache_saves_tokens_and_its_events_have_gaps():
    settings = EngineSettings(cache_tokens=128, lose_cache_event_every=2)
    async with open_rig(settings) as rig:
        await rig.generate()
        assert (await rig.generate(attempt_id="2"))[1].cached_tokens == 128
        page = (await rig.client.read_cache_events(rig.target, 0)).unwrap()
        numbers = [event.number for event in page.events]
        assert numbers
        assert all(number % 2 == 0 for number in numbers)


async def test_kv_export_and_import_avoid_recomputation():
    async with open_rig() as rig, open_rig() as other:
        await rig.generate()
        blob = (await rig.client.export_kv(rig.target, "q.1")).unwrap()
        assert (await other.client.import_kv(other.target, blob)).unwrap().tokens > 0
        events = await other.generate(continue_from=FULL_TEXT[:28], first_index=4)
        assert events[1].cached_tokens > 0
        assert FULL_TEXT[:28] + join_tokens(events) == FULL_TEXT


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_orders_are_applied_once_and_fenced_where_checked(checks_fencing: bool):
    async with open_rig(EngineSettings(checks_fencing=checks_fencing)) as rig:
        order = rig.client.order
        new = Order("o1", 7, "set_role", "prefill")
        assert await order(rig.target, new) == Ok(OrderAnswer(True))
        assert await order(rig.target, new) == Ok(OrderAnswer(False))
        old = await order(rig.target, Order("o2", 6, "set_role", "decode"))
        assert old.is_err() == checks_fencing
        assert len(rig.engine.orders) == (1 if checks_fencing else 2)


async def test_interactive_requests_enter_the_batch_before_batch_requests():
    settings = EngineSettings(batch_limit=1, decode_tokens_per_s=100)
    async with open_rig(settings) as rig:
        rig.client = EngineClient(rig.client._session, StreamTimeouts(2000, 2000))
        order: list[str] = []

        async def run(name: str, priority: PriorityClass) -> None:
            await rig.generate(request_id=name, priority=priority)
            order.append(name)

        first = asyncio.create_task(run("first", PriorityClass.BATCH))
        await asyncio.sleep(0.03)
        batch = asyncio.create_task(run("batch", PriorityClass.BATCH))
        await asyncio.sleep(0.03)
        await run("urgent", PriorityClass.INTERACTIVE)
        await asyncio.gather(first, batch)
        assert order == ["first", "urgent", "batch"]


async def test_delayed_load_report_states_its_age():
    async with open_rig(EngineSettings(load_lag_s=0.1)) as rig:
        rig.engine.measure_load()
        await asyncio.sleep(0.15)
        report = (await rig.client.load(rig.target)).unwrap()
        assert report.age_ms >= 100
