"""Publishes service documents and waits until daemons apply them."""

import asyncio
import json
import time

from waxwingbarrow.bench._deployment import OPERATOR_KEY, Deployment


async def publish(
    deployment: Deployment, service: str, text: str, base_revision: int = 0
) -> float:
    """Publish a document at the first daemon and wait until every daemon has it.

    Returns
    -------
    float
        Time in seconds from the start of the publication until the last daemon reported
        it in force; each daemon is polled every 5 ms.
    """
    daemons = list(deployment.daemons.values())
    started_s = time.perf_counter()
    revision = await _put_document(
        deployment, daemons[0].url, service, text, base_revision
    )

    async def wait_until_in_force(url: str) -> None:
        while True:
            if await read_revision(deployment, url, service) >= revision:
                return
            await asyncio.sleep(0.005)

    await asyncio.gather(*(wait_until_in_force(daemon.url) for daemon in daemons))
    return time.perf_counter() - started_s


async def wait_for_first_record(deployment: Deployment) -> None:
    """Wait until the first record of the control stream is written.

    A publication that would get the reserved offset 0 is refused.
    """
    daemon = next(iter(deployment.daemons.values()))
    url = f"{daemon.url}/v1/operator/status"
    while True:
        if (await deployment.get(url, OPERATOR_KEY))["control_offset"] >= 1:
            return
        await asyncio.sleep(0.05)


async def read_revision(deployment: Deployment, url: str, service: str) -> int:
    """Return the revision that a daemon has in force; 0 if it has none."""
    status = await deployment.get(f"{url}/v1/operator/status", OPERATOR_KEY)
    for item in status["services"]:
        if item["service"] == service:
            return int(item["revision"])
    return 0


async def _put_document(
    deployment: Deployment, url: str, service: str, text: str, base_revision: int
) -> int:
    response = await deployment.client.put(
        f"{url}/v1/operator/documents/{service}?base_revision={base_revision}",
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        data=text,
    )
    body = await response.content()
    if response.status_code >= 300:
        raise RuntimeError(
            f"publication of {service} failed: status {response.status_code} "
            f"{body[:200]!r}"
        )
    return int(json.loads(body)["revision"])
