"""Parts of a prompt whose identifiers have 128 bits."""

import asyncio
import hashlib
import time
from pathlib import Path

from lab import BROKEN, HELD, Client, StreamWorker, make_configuration, run_case

OWN_ENDS = 3
PLAY_S = 95
ENGINE = {"Slots": 64, "KvTokens": 551359, "Stride": 6, "Models": [{"Name": "m"}]}


def make_headers(thing, hexadecimal_digits):
    """Return the headers of a model request: a shared part and one of its own."""
    parts = [
        hashlib.sha256(text.encode()).hexdigest()[:hexadecimal_digits]
        for text in (f"shared {thing % 3}", f"own {thing}")
    ]
    return [
        ("X-Model", "m"),
        ("X-Token-Counts", "900,120"),
        ("X-Prompt-Prefix", f"{parts[0]}:512,{parts[1]}:388"),
        ("X-Deadline-Ms", "15000"),
    ]


async def send_periodically(gateway, number, digits, lab, results):
    """Ask for one stream after the other on a kept channel."""
    client = Client(gateway.host, gateway.ports[0])
    count = 0
    while True:
        count += 1
        request_id = f"c{number}-{count}"
        headers = make_headers(count, digits)
        lab.record.note("sent", id=request_id, to=gateway.name, digits=digits)
        try:
            answer = await client.send("POST", "/plan/", request_id, headers, b"x")
            status = answer.status if answer.is_complete else "cut"
        except (OSError, TimeoutError) as error:
            status = type(error).__name__
            client.close()
        lab.record.note("answered", id=request_id, status=status)
        results[request_id] = status
        await asyncio.sleep(0.2)


async def play(lab):
    """Send streams until each gateway has ended often enough, or for PLAY_S."""

    def make_workers(store, record):
        # 48 events, 200 ms apart: 9.6 s, within pauses of 500 ms and a limit of 15 s.
        return [
            StreamWorker(
                *(f"i-{number}", "assistant-pool", store, record),
                events=48,
                interval_s=0.2,
                Slots=64,
            )
            for number in range(3)
        ]

    await lab.start(2, make_configuration(ENGINE), make_workers)
    results = {}
    for gateway in lab.gateways:
        for channel in ("long", "short"):
            number = f"-{channel}-{gateway.name[-1]}"
            digits = 32 if lab.has_trouble and channel == "long" else 8
            lab.spawn(send_periodically(gateway, number, digits, lab, results))
    end_s = time.monotonic() + PLAY_S
    while time.monotonic() < end_s:
        await asyncio.sleep(1)
        if all(len(gateway.own_ends) >= OWN_ENDS for gateway in lab.gateways):
            break
    served = sum(status == 200 for status in results.values())
    passed_on = {request for worker in lab.workers for request in worker.runs}
    cut = [
        request
        for request, status in results.items()
        if status == "cut" and request in passed_on
    ]
    short = sum("short" in request for request in cut)
    lab.record.say(f"{served} of {len(results)} streams were complete")
    lab.record.say(f"{len(cut)} were passed on to a worker and cut by the gateway")
    lab.record.say(f"  {short} of them of the clients with 8 digits in any case")
    for gateway in lab.gateways:
        ends = [status for status, _ in gateway.own_ends]
        lab.record.say(f"{gateway.name} ended by itself with status {ends}")
        for error in sorted(set(gateway.list_log_errors())):
            lab.record.say(f"  its log: {error[:150]}")
    ended = [gateway for gateway in lab.gateways if len(gateway.own_ends) >= OWN_ENDS]
    return BROKEN if len(ended) >= 2 else HELD


run_case(Path(__file__).parent, play)
