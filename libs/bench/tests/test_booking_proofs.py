"""Guards against proofs of bookings and refusals that overlook a violation."""

import asyncio

import pytest
from result import Err

from waxwingbarrow.bench._booking_callers import Told, is_violation, note_answer
from waxwingbarrow.bench._refusal_cases import (
    LARGE_BODY,
    SENDING_CASES,
    ScriptedUpstream,
)
from waxwingbarrow.upstreams import NotSent, PlainCall, ServiceClient, UpstreamAddress


@pytest.mark.parametrize(
    ("answers", "runs", "expected"),
    [
        ([(200, {"request_id": "k"})], 1, False),
        ([(200, {"request_id": "k"})], 0, True),
        ([(200, {"request_id": "other"})], 0, False),
        ([(503, {"outcome": "not_run"})], 0, False),
        ([(503, {"outcome": "not_run"})], 1, True),
        ([(504, {"outcome": "unknown"})], 1, False),
        ([None, (409, {"outcome": "in_progress"})], 2, True),
    ],
)
def test_false_answers_and_second_runs_are_violations(answers, runs, expected):
    told = Told("k")
    for answer in answers:
        note_answer(told, answer)
    assert is_violation(told, runs) is expected


@pytest.mark.parametrize("case", SENDING_CASES, ids=lambda c: f"{c.phase} {c.failure}")
def test_only_failures_to_connect_count_as_not_sent(case):
    # "Not sent" permits another attempt elsewhere and a refusal that says "not run".
    async def call():
        async with ScriptedUpstream(case).listen() as address:
            body = LARGE_BODY if case.phase == "sending" else b"{}"
            call = PlainCall(operation="o", request_id="r", attempt_id="a", body=body)
            client = ServiceClient(connect_timeout_ms=100)
            return await client.call(UpstreamAddress("u", address), call, 200)

    sent = asyncio.run(call())
    assert isinstance(sent, Err)
    assert isinstance(sent.err_value, NotSent) is not case.may_have_left
