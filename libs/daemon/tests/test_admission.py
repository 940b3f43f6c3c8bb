"""Guards against requests that wait forever in the admission queue.

The queue loop blocks while no request waits. If a new request does not wake it, the
request is neither started nor refused at its deadline.
"""

import asyncio
import json

from waxwingbarrow.core import SystemClock
from waxwingbarrow.daemon._admission import Admissions
from waxwingbarrow.daemon._control import Configuration
from waxwingbarrow.daemon._requests import CallerRequest
from waxwingbarrow.document import read_document

DOCUMENT = {
    "schema_version": 1,
    "service": "rota",
    "kind": "plain",
    "accounts": [
        {
            "account": "depot",
            "key_hashes": ["sha256:" + "0" * 64],
            "requests_per_s": 1000,
        }
    ],
    "routes": [{"route": "read", "repeatable": True}],
    "versions": [{"version": "v1"}],
    "stable_version": "v1",
    "placements": [{"data_centre": "dc-a", "workers": 1}],
}


def make_request(clock, document, deadline_ms):
    now = clock.now()
    return CallerRequest(
        request_id="r",
        service=document.service,
        account=document.accounts[0].account,
        route=document.routes[0],
        priority_class=document.routes[0].priority_class,
        received=now,
        deadline_mono_ms=now.mono_ms + deadline_ms,
        key=None,
        first_attempt=True,
        body=b"{}",
    )


def test_request_that_waits_after_an_idle_time_is_refused_at_its_deadline():
    async def run():
        clock, document = SystemClock(), read_document(json.dumps(DOCUMENT)).unwrap()
        admissions = Admissions(clock, max_running=1)
        configuration = Configuration(1, "ann", document, "")
        admissions.update_shares(
            {document.service: configuration}, {}, {}, 1, clock.now()
        )
        loop = asyncio.create_task(admissions.run())
        running = await admissions.admit(make_request(clock, document, 10_000), 1)
        for _ in range(2):  # the loop must wake up more than once
            await asyncio.sleep(0.15)
            async with asyncio.timeout(5):
                waiting = await admissions.admit(make_request(clock, document, 300), 1)
            assert waiting.is_err()
        admissions.finish(document.service, running.unwrap(), 1)
        loop.cancel()

    asyncio.run(run())
