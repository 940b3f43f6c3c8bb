"""Guards against retries that outrun the news about crashed upstreams."""

import asyncio
import types

import pytest
from result import Err

from waxwingbarrow.core import CrashSuspected, Instant, PriorityClass
from waxwingbarrow.daemon import _answers
from waxwingbarrow.daemon._events import Failed, HandedOver, Prompt
from waxwingbarrow.daemon._requests import CallerRequest
from waxwingbarrow.document import Route

NOW = Instant(1_000_000, 0)


def make_answer(refusal, *, stopping):
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
        budget=types.SimpleNamespace(record_request=lambda _: None),
        pick_version=lambda *_: "v1",
        choose_fallback=lambda _, version, __: version,
        choose=lambda *_: Err(refusal),
    )
    event = asyncio.Event()
    if stopping:
        event.set()
    context = types.SimpleNamespace(
        dispatcher=dispatcher,
        clock=types.SimpleNamespace(now=lambda: NOW),
        stopping=event,
    )
    prompt = Prompt(text="p", max_tokens=4)
    return _answers.Answer(context, None, request, prompt)


async def collect(answer):
    return [event async for event in answer.walk()]


@pytest.mark.parametrize(
    ("last_failure", "pauses"),
    [("", []), ("The upstream was lost.", [_answers.CRASH_NEWS_S])],
)
def test_refusal_waits_for_the_news_of_a_loss_that_this_answer_caused(
    monkeypatch, last_failure, pauses
):
    # A caller that sent again at once lost a third upstream through another host.
    taken = []

    async def sleep(seconds):
        taken.append(seconds)

    monkeypatch.setattr(_answers.asyncio, "sleep", sleep)
    answer = make_answer(CrashSuspected(reason="two"), stopping=False)
    answer._last_failure = last_failure
    (event,) = asyncio.run(collect(answer))
    assert isinstance(event, Failed)
    assert taken == pauses


def test_answer_that_waits_for_an_upstream_is_handed_over():
    # It used to wait until the server cut the connection.
    answer = make_answer(_answers.NoUpstream(reason="none"), stopping=True)
    answer._token = "t"
    answer._was_reclaimed = True
    assert asyncio.run(collect(answer)) == [HandedOver("t", 0)]
