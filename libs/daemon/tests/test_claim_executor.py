"""Guards against refusals that say "not run" although the request may have run.

This is certain only for a first attempt: an earlier attempt with the same key may have
reached an upstream through another host.
"""

import asyncio
import random

import pytest
import uuid6

from waxwingbarrow.claims import ClaimPolicy
from waxwingbarrow.core import (
    Incarnation,
    NoUpstream,
    Outcome,
    PriorityClass,
    SystemClock,
)
from waxwingbarrow.daemon._claim_executor import ClaimExecutor
from waxwingbarrow.daemon._requests import CallerRequest
from waxwingbarrow.daemon._send_results import NeverSent
from waxwingbarrow.document import Route
from waxwingbarrow.platform import HttpLogClient, HttpSession
from waxwingbarrow.standins import PlatformFaults, PlatformStandin, serve
from waxwingbarrow.state import Writer

CLOCK = SystemClock()


def make_request(key, first_attempt):
    now = CLOCK.now()
    return CallerRequest(
        request_id=key,
        service="rota",
        account="depot",
        route=Route(route="book", repeatable=False),
        priority_class=PriorityClass.STANDARD,
        received=now,
        deadline_mono_ms=now.mono_ms + 2_000,
        key=key,
        first_attempt=first_attempt,
        body=b"{}",
    )


def make_claim_executor(session, address):
    return ClaimExecutor(
        Writer("h1", Incarnation(1, 1)),
        HttpLogClient(session, address, 500),
        CLOCK,
        random.Random(1),
        ClaimPolicy(),
        lambda *_: False,
        poll_ms=100,
        append_timeout_ms=1_000,
    )


def run(scenario):
    async def run_with_platform():
        platform = PlatformStandin()
        async with serve(platform.make_app()) as address:
            session = HttpSession()
            claim_executor = make_claim_executor(session, address)
            running = asyncio.create_task(claim_executor.run())
            try:
                await scenario(claim_executor, platform)
            finally:
                running.cancel()
                await asyncio.gather(running, return_exceptions=True)
                await session.close()

    asyncio.run(run_with_platform())


async def refuse_to_connect():
    return NeverSent(NoUpstream())


@pytest.mark.parametrize(
    "faults", [PlatformFaults(), PlatformFaults(operations=("append",), slow_ms=1_500)]
)
def test_joined_later_attempt_is_not_told_that_the_request_did_not_run(faults):
    # A second attempt may still be in progress through another host.
    async def scenario(claim_executor, platform):
        platform.set_faults(faults)
        key = str(uuid6.uuid7())
        first, third = await asyncio.gather(
            claim_executor.execute(make_request(key, True), refuse_to_connect, False),
            claim_executor.execute(make_request(key, False), refuse_to_connect, False),
        )
        assert first.err_value.outcome is Outcome.NOT_RUN
        assert third.err_value.outcome is Outcome.UNKNOWN

    run(scenario)


@pytest.mark.parametrize("key", [None, "no-uuid", "clock"])
@pytest.mark.parametrize("first_attempt", [True, False])
def test_refusal_before_the_claim_says_not_run_for_a_first_attempt_only(
    key, first_attempt
):
    async def scenario(claim_executor, platform):
        is_clock_suspect = key == "clock"
        sent_key = str(uuid6.uuid7()) if is_clock_suspect else key
        refused = await claim_executor.execute(
            make_request(sent_key, first_attempt), refuse_to_connect, is_clock_suspect
        )
        expected = Outcome.NOT_RUN if first_attempt else Outcome.UNKNOWN
        assert refused.err_value.outcome is expected
        assert platform.get_stream("claims").next_offset == 0

    run(scenario)
