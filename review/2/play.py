"""An entry of another writer, which cannot be read, in the list of workers."""

import asyncio
import time
from pathlib import Path

from lab import BROKEN, HELD, Client, Worker, make_configuration, run_case

OWN_ENDS = 3
PLAY_S = 60
DEPTH = 3_000
# A JSON document of 6 KB whose brackets nest too deep for a reader.
UNREADABLE = b'{"Service": "swap-desk", "Labels": ' + b"[" * DEPTH + b"]" * DEPTH + b"}"


async def send_periodically(lab, gateway, number, results):
    """Send a request every 100 ms on a kept channel."""
    client = Client(gateway.host, gateway.ports[0])
    count = 0
    while True:
        count += 1
        request_id = f"c{number}-{count}"
        lab.record.note("sent", id=request_id, to=gateway.name)
        try:
            answer = await client.send("GET", f"/read/{count}", request_id)
            status = answer.status if answer.is_complete else "cut"
        except (OSError, TimeoutError) as error:
            status = type(error).__name__
            client.close()
        lab.record.note("answered", id=request_id, status=status)
        results.append((time.monotonic(), status))
        await asyncio.sleep(0.1)


async def play(lab):
    """Serve 5 s, then let another writer put the entry."""

    def make_workers(store, record):
        return [
            Worker(f"i-{number}", "swap-desk", store, record) for number in range(3)
        ]

    await lab.start(2, make_configuration(), make_workers)
    results = []
    for number, gateway in enumerate(lab.gateways):
        lab.spawn(send_periodically(lab, gateway, number, results))
    await asyncio.sleep(5)
    written_s = time.monotonic()
    if lab.has_trouble:
        lab.store.put("keyed.servers", "i-of-another-writer", UNREADABLE)
        lab.record.note("unreadable-entry", bytes=len(UNREADABLE))
    end_s = written_s + PLAY_S
    while time.monotonic() < end_s:
        await asyncio.sleep(1)
        if all(len(gateway.own_ends) >= OWN_ENDS for gateway in lab.gateways):
            break
    for name, group in (
        ("before", [s for at, s in results if at < written_s]),
        ("after", [s for at, s in results if at >= written_s]),
    ):
        served = sum(status == 200 for status in group)
        lab.record.say(f"{name} the entry: {served} of {len(group)} requests served")
    for gateway in lab.gateways:
        ends = [status for status, _ in gateway.own_ends]
        lab.record.say(f"{gateway.name} ended by itself with status {ends}")
        for error in sorted(set(gateway.list_log_errors())):
            lab.record.say(f"  its log: {error[:150]}")
    ended = [gateway for gateway in lab.gateways if len(gateway.own_ends) >= OWN_ENDS]
    return BROKEN if len(ended) >= 2 else HELD


run_case(Path(__file__).parent, play)
