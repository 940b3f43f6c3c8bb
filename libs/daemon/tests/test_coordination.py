"""Guards against a log outage that delays the gossip about withdrawals."""

import asyncio
from types import SimpleNamespace

from waxwingbarrow.core import ManualClock
from waxwingbarrow.daemon._coordination import Coordination
from waxwingbarrow.state import VerdictBody, VerdictKind


class FakeRollouts:
    """Withdraws one more version each time a service is evaluated."""

    def __init__(self):
        self.withdrawals = ()

    def list_own_evidence(self):
        return ()

    def evaluate(self, configuration, agreed, now):
        self.withdrawals = (*self.withdrawals, configuration)
        return VerdictBody(configuration, 1, "v2", VerdictKind.WITHDRAWN, "failures")


class FakeControl:
    """Control plane whose log never answers."""

    def __init__(self):
        self.configurations = {"one": "one", "two": "two"}
        self.requested_services = []

    def find_agreed_verdict(self, configuration):
        return None

    async def record_verdict(self, due):
        self.requested_services.append(due.service)
        await asyncio.Event().wait()


async def test_withdrawals_spread_while_the_log_does_not_answer():
    published = []
    control = FakeControl()
    context = SimpleNamespace(
        settings=SimpleNamespace(
            rollout_interval_ms=1,
            evidence_interval_ms=1,
            data_centre="dc-a",
            host_id="host-1",
        ),
        clock=ManualClock(),
        control=control,
        rollouts=FakeRollouts(),
        gossip=SimpleNamespace(
            put_withdrawals=lambda found, _: published.append(found)
        ),
        peers=SimpleNamespace(roster=SimpleNamespace(list_live=lambda _: ())),
    )
    work = Coordination(context).list_coroutines()
    task = asyncio.create_task(work.pop("rollouts"))
    for coroutine in work.values():
        coroutine.close()
    async with asyncio.timeout(5):
        while len(published) < 6:
            await asyncio.sleep(0.001)
    task.cancel()
    assert published[1] == ("one", "two")
    # At most one record is in flight for each service, however often it is evaluated.
    assert sorted(control.requested_services) == ["one", "two"]
