"""Guards against stand-in programs that do not start or ignore options and faults."""

import asyncio
import contextlib
import json
import os
import socket
import sys
from collections.abc import AsyncIterator
from typing import Any

import pytest

from waxwingbarrow.platform import HttpSession


def find_free_port() -> int:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return int(listener.getsockname()[1])


@contextlib.asynccontextmanager
async def start_program(name: str, *options: str) -> AsyncIterator[Any]:
    port = find_free_port()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"waxwingbarrow.standins.{name}",
        f"--port={port}",
        *options,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    session = HttpSession()

    async def request(method: str, path: str, payload: Any = None) -> Any:
        return await session.request(
            method, f"http://127.0.0.1:{port}{path}", payload=payload, timeout_ms=2000
        )

    try:
        for _ in range(200):
            if (await request("GET", "/")).is_ok():
                break
            await asyncio.sleep(0.05)
        yield process, request
    finally:
        await session.close()
        if process.returncode is None:
            process.terminate()
        await asyncio.wait_for(process.wait(), 10)


async def test_platform_program_applies_options_and_faults():
    async with start_program("platform", "--max_records=2") as (_, request):
        path = "/v1/streams/s/records"
        records = [{"record_id": str(number)} for number in range(3)]
        assert (await request("POST", path, {"records": records})).is_ok()
        assert (await request("GET", f"{path}?from=0")).unwrap().status == 410
        await request("POST", "/standin/faults", {"refuse": True})
        assert (await request("GET", "/v1/hosts")).unwrap().status == 503
        rejected = await request("POST", "/standin/faults", {"refuse": 1})
        assert rejected.unwrap().status == 400


@pytest.mark.parametrize(("marker", "crashes"), [("ash", True), ("oak", False)])
async def test_engine_program_crashes_only_on_the_marked_prompt(
    marker: str, crashes: bool
):
    async with start_program("engine", "--batch_limit=2") as (process, request):
        await request("POST", "/standin/faults", {"crash_marker": "ash"})
        call = {
            "request_id": "q",
            "attempt_id": "1",
            "model": "m",
            "prompt": f"Prune the {marker}.",
            "max_tokens": 2,
        }
        answer = await request("POST", "/v1/generate", call)
        assert answer.is_err() == crashes
        if crashes:
            assert await asyncio.wait_for(process.wait(), 5) == 70
            assert not answer.unwrap_err().certainly_not_sent
        else:
            load = (await request("GET", "/v1/load")).unwrap()
            assert json.loads(load.body)["batch_limit"] == 2


async def test_service_program_counts_runs_and_crashes_on_request():
    async with start_program("service") as (process, request):
        await request("POST", "/v1/calls/post-listing", {})
        runs = (await request("GET", "/standin/runs")).unwrap()
        assert json.loads(runs.body) == {"": 1}
        await request("POST", "/standin/faults", {"crash_before_run": True})
        assert (await request("POST", "/v1/calls/read-rota", {})).is_err()
        assert await asyncio.wait_for(process.wait(), 5) == 70
