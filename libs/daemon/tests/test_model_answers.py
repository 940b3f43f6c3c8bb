"""Guards against answers that end too early or too late when upstreams are missing.

A caller that is refused before other hosts know of a crash can retry there and crash
another upstream. An answer that waits for an upstream must still be handed over when
the host stops.
"""

import asyncio
import types

import pytest
from result import Err

from waxwingbarrow.core import CrashSuspected, Instant, PriorityClass
from waxwingbarrow.daemon import _model_answers
from waxwingbarrow.daemon._generation import Failed, HandedOver, Prompt
from waxwingbarrow.daemon._requests import CallerRequest
from waxwingbarrow.document import Route

NOW = Instant(1_000_000, 0)


def make_answer(refusal, *, handover_started):
    route = Route(route="answer", repeatable=True)
    request = CallerRequest(
        request_id="r",
        service="care",
        account="depot",
        route=route,
        priority_class=PriorityClass.STANDARD,
        received=NOW,
        deadline_mono_ms=1_000,
        key=None,
        first_attempt=True,
        body=b"{}",
    )
    dispatcher = types.SimpleNamespace(
        retry_budget=types.SimpleNamespace(record_request=lambda _: None),
        pick_version=lambda *_: "v1",
        choose_fallback=lambda _, version, __: version,
        choose=lambda *_: Err(refusal),
    )
    event = asyncio.Event()
    if handover_started:
        event.set()
    context = types.SimpleNamespace(
        dispatcher=dispatcher,
        clock=types.SimpleNamespace(now=lambda: NOW),
        handover_started=event,
    )
    prompt = Prompt(text="p", max_tokens=4)
    return _model_answers.ModelAnswer(context, None, request, prompt)


async def collect(answer):
    return [event async for event in answer.generate_events()]


@pytest.mark.parametrize(
    ("last_failure", "expected_pauses"),
    [("", []), ("The upstream was lost.", [_model_answers.CRASH_GOSSIP_DELAY_S])],
)
def test_refusal_after_a_crash_is_delayed_until_other_hosts_know_of_it(
    monkeypatch, last_failure, expected_pauses
):
    # A caller that retried at once crashed a third upstream through another host.
    pauses = []

    async def sleep(seconds):
        pauses.append(seconds)

    monkeypatch.setattr(_model_answers.asyncio, "sleep", sleep)
    answer = make_answer(CrashSuspected(reason="two"), handover_started=False)
    answer._last_failure = last_failure
    (event,) = asyncio.run(collect(answer))
    assert isinstance(event, Failed)
    assert pauses == expected_pauses


def test_answer_that_waits_for_an_upstream_is_handed_over():
    # Otherwise it would wait until the server closed the connection, without a
    # handover event.
    answer = make_answer(
        _model_answers.NoUpstream(reason="none"), handover_started=True
    )
    answer._resume_token = "t"
    answer._was_reclaimed = True
    assert asyncio.run(collect(answer)) == [HandedOver("t", 0)]
