"""Guards against calls that are reported as not sent although they ran."""

import asyncio
import socket

import attrs
import pytest

from waxwingbarrow.core import UpstreamId
from waxwingbarrow.standins import ServiceFaults, ServiceStandin, serve
from waxwingbarrow.upstreams import (
    MaybeSent,
    NotSent,
    PlainAnswer,
    PlainCall,
    Rejected,
    ServiceClient,
    UpstreamAddress,
)


@attrs.frozen
class CallCase:
    name: str
    faults: ServiceFaults
    expected: type
    runs: int


CASES = [
    CallCase("no fault", ServiceFaults(), PlainAnswer, 1),
    CallCase("leaving", ServiceFaults(leaving=True), PlainAnswer, 1),
    CallCase("crash before", ServiceFaults(crash_before_run=True), MaybeSent, 0),
    CallCase("crash after", ServiceFaults(crash_after_run=True), MaybeSent, 1),
    CallCase("answer lost", ServiceFaults(lose_answers=1), MaybeSent, 1),
    CallCase(
        "answer hangs",
        ServiceFaults(lose_answers=1, lose_by_hanging=True),
        MaybeSent,
        1,
    ),
    CallCase("slow", ServiceFaults(slow_ms=300), MaybeSent, 1),
    CallCase("late answer", ServiceFaults(late_ms=300), MaybeSent, 1),
    CallCase("failure", ServiceFaults(fail_status=500), Rejected, 0),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
async def test_call_that_may_have_run_is_never_reported_as_not_sent(case: CallCase):
    service = ServiceStandin(exit_process=lambda code: None)
    client = ServiceClient()
    async with serve(service.make_app()) as address:
        service.faults = case.faults
        target = UpstreamAddress(UpstreamId("u"), address)
        call = PlainCall(operation="book-assignment", request_id="q", attempt_id="1")
        answer = await client.call(target, call, 200)
        outcome = answer.ok() if answer.is_ok() else answer.err()
        assert isinstance(outcome, case.expected)
        if isinstance(outcome, PlainAnswer):
            assert outcome.leaving == case.faults.leaving
        await asyncio.sleep(0.2)
        assert service.runs["q"] == case.runs
    await client.close()


async def test_service_restart_between_calls_causes_no_maybe_sent():
    """A reused connection would make the first call after a restart MaybeSent."""
    client = ServiceClient()
    address = ""
    for number in range(3):
        service = ServiceStandin()
        port = int(address.split(":")[1]) if address else 0
        async with serve(service.make_app(), port) as address:
            target = UpstreamAddress(UpstreamId("u"), address)
            call = PlainCall(operation="read-rota", request_id="q", attempt_id="1")
            assert (await client.call(target, call, 1000)).is_ok(), number
    assert isinstance((await client.call(target, call, 1000)).err(), NotSent)
    await client.close()


async def test_refused_connection_is_not_sent():
    client = ServiceClient()
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        call = PlainCall(operation="post-listing", request_id="q", attempt_id="1")
        target = UpstreamAddress(UpstreamId("u"), address)
        assert isinstance((await client.call(target, call, 500)).err(), NotSent)
    await client.close()
