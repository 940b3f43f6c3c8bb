"""Runs a deployment for a proof, sets faults in it and counts the cases."""

import asyncio
import contextlib
import json
import random
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs

from waxwingbarrow.bench._client import Caller
from waxwingbarrow.bench._deployment import (
    ACCOUNT_KEY,
    OPERATOR_KEY,
    DaemonPlan,
    Deployment,
    RunningUpstream,
    UpstreamPlan,
)

RETRY_DELAY_S = 0.1
CALLER_DEADLINE_S = 20.0
PUBLISH_ATTEMPTS = 5
# Short intervals and timeouts, so that a proof covers many failures in a short time.
FAST_SETTINGS: Mapping[str, Any] = {
    "gossip_interval_ms": 200,
    "host_list_interval_ms": 200,
    "load_interval_ms": 500,
    "first_event_timeout_ms": 3_000,
    "event_gap_timeout_ms": 1_000,
    "readiness_grace_ms": 1_000,
    "drain_timeout_ms": 2_000,
}


@attrs.define
class Tally:
    """Counts of cases, violations and events while a proof runs."""

    cases: int = 0
    violations: int = 0
    naive_violations: int = 0
    events: Counter[str] = attrs.field(factory=Counter)

    def check(self, name: str, holds: bool) -> None:
        """Count one case of the system, and a violation unless it `holds`."""
        self.cases += 1
        self.events[name] += 1
        if not holds:
            self.violations += 1
            self.events[f"violated: {name}"] += 1

    def check_naive(self, name: str, holds: bool) -> None:
        """Count a violation of the naive design unless the case `holds`."""
        if not holds:
            self.naive_violations += 1
            self.events[f"naive violated: {name}"] += 1


class Scenario:
    """Operations on a running deployment that proofs share."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment

    @property
    def urls(self) -> list[str]:
        """Base URLs of the daemons."""
        return [daemon.url for daemon in self.deployment.daemons.values()]

    def make_caller(
        self, seed: int, urls: Sequence[str] | None = None, key: str = ACCOUNT_KEY
    ) -> Caller:
        """Return a caller that uses the hosts at `urls`, or all hosts."""
        return Caller(urls or self.urls, key, random.Random(seed), CALLER_DEADLINE_S)

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Replace the faults of one upstream."""
        address = self.deployment.upstreams[name].address
        await self.deployment.post(f"http://{address}/standin/faults", faults)

    async def set_all_faults(self, kind: str, **faults: Any) -> None:
        """Replace the faults of all running upstreams of a kind."""
        for name, upstream in self.deployment.upstreams.items():
            is_alive = upstream.process.process.poll() is None
            if upstream.plan.kind == kind and is_alive:
                await self.set_faults(name, **faults)

    async def read_in_flight(self, upstream: RunningUpstream) -> int:
        """Return the number of requests that an engine runs."""
        load = await self.deployment.get(f"http://{upstream.address}/v1/load")
        return int(load["in_flight"])

    async def publish(
        self, service: str, text: str, base_revision: int | None = None
    ) -> int:
        """Publish a document and wait until it is in force on every daemon.

        Returns
        -------
        int
            Revision of the published document.
        """
        url = f"{self.urls[0]}/v1/operator/documents/{service}"
        query = "" if base_revision is None else f"?base_revision={base_revision}"
        for _ in range(PUBLISH_ATTEMPTS):
            response = await self.deployment.client.put(
                url + query,
                headers={
                    "Authorization": f"Bearer {OPERATOR_KEY}",
                    "Content-Type": "application/json",
                },
                data=text,
            )
            answer = json.loads(await response.content())
            if response.status_code != 503:
                break
            # A publication that races with the first record of an empty log is refused
            # with status 503 and has no effect, so it can be repeated.
            await asyncio.sleep(RETRY_DELAY_S)
        if response.status_code >= 300:
            raise RuntimeError(f"publication of {service} failed: {answer}")
        revision = int(answer["revision"])

        async def is_in_force() -> bool:
            statuses = await asyncio.gather(*(self.read_status(u) for u in self.urls))
            return all(
                any(
                    one["service"] == service and one["revision"] >= revision
                    for one in status["services"]
                )
                for status in statuses
            )

        await wait_until(is_in_force)
        return revision

    async def read_status(self, url: str) -> dict[str, Any]:
        """Return a daemon's status."""
        status = await self.deployment.get(f"{url}/v1/operator/status", OPERATOR_KEY)
        return dict(status)

    async def wait_for_upstreams(self, count: int) -> None:
        """Wait until every daemon knows a number of upstreams."""

        async def are_known() -> bool:
            statuses = [await self.read_status(url) for url in self.urls]
            return all(len(status["upstreams"]) >= count for status in statuses)

        await wait_until(are_known)


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float = 15.0
) -> float:
    """Poll a condition until it holds and return the time that it took in seconds.

    Raises
    ------
    TimeoutError
        If the condition does not hold within `timeout_s`.
    """
    started_s = time.monotonic()
    while not await condition():
        if time.monotonic() - started_s > timeout_s:
            raise TimeoutError("The awaited condition did not hold before the timeout.")
        await asyncio.sleep(0.05)
    return time.monotonic() - started_s


@contextlib.asynccontextmanager
async def open_scenario(
    upstreams: Sequence[UpstreamPlan],
    daemons: Sequence[DaemonPlan],
    documents: Mapping[str, str],
    overrides: Mapping[str, Any] | None = None,
) -> AsyncIterator[Scenario]:
    """Start a deployment and publish documents; stop it on exit."""
    with tempfile.TemporaryDirectory(prefix="waxwingbarrow-") as directory:
        settings = {**FAST_SETTINGS, **(overrides or {})}
        deployment = Deployment(Path(directory), settings)
        scenario = Scenario(deployment)
        try:
            await deployment.start_platform()
            await asyncio.gather(*map(deployment.start_upstream, upstreams))
            for plan in daemons:
                await deployment.start_daemon(plan)
            await deployment.wait_ready()
            for service, text in documents.items():
                await scenario.publish(service, text)
            await scenario.wait_for_upstreams(len(upstreams))
            yield scenario
        finally:
            deployment.stop()
