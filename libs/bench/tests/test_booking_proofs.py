"""Guards against booking and refusal proofs that overlook a violation."""

import asyncio

import pytest
from result import Err

from waxwingbarrow.bench._booking_callers import CallerHistory, is_violation, note_reply
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
    history = CallerHistory("k")
    for answer in answers:
        note_reply(history, answer)
    assert is_violation(history, runs) is expected


@pytest.mark.parametrize("case", SENDING_CASES, ids=lambda c: f"{c.phase} {c.failure}")
def test_only_failures_to_connect_count_as_not_sent(case):
    # A wrong `NotSent` would permit a retry at another upstream, and with it a second
    # run, or a refusal that falsely says "not run".
    async def call():
        async with ScriptedUpstream(case).listen() as address:
            body = LARGE_BODY if case.phase == "sending" else b"{}"
            call = PlainCall(operation="o", request_id="r", attempt_id="a", body=body)
            client = ServiceClient(connect_timeout_ms=100)
            return await client.call(UpstreamAddress("u", address), call, 200)

    sent = asyncio.run(call())
    assert isinstance(sent, Err)
    assert isinstance(sent.err_value, NotSent) is not case.may_have_sent
