"""Deployment of daemons and stand-ins as separate processes on loopback."""

import asyncio
import hashlib
import json
import os
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiosonic
import attrs
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig

from waxwingbarrow.bench._processes import (
    ProcessGroup,
    StartedProcess,
    find_free_port,
)

OPERATOR_KEY = "demo-operator-key"
ACCOUNT_KEY = "demo-account-key"
SMALL_ACCOUNT_KEY = "demo-small-account-key"
TOKEN_SECRET = "demo-resume-token-secret-of-32-chars"
READY_TIMEOUT_S = 20.0
LOG_TAIL_LINES = 12


def hash_key(key: str) -> str:
    """Return the form in which settings and documents hold a key."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


@attrs.frozen
class UpstreamPlan:
    """An upstream stand-in to start.

    Parameters
    ----------
    kind : str
        Module of the stand-in: ``engine`` or ``service``.
    arguments : tuple of str
        Additional command line arguments of the stand-in.
    checks_fencing : bool
        Whether the host list says that the upstream refuses old fencing tokens.
    """

    name: str
    kind: str
    service: str
    version: str
    data_centre: str
    arguments: tuple[str, ...] = ()
    checks_fencing: bool = True


@attrs.frozen
class DaemonPlan:
    """A daemon to start."""

    name: str
    data_centre: str


@attrs.define
class RunningUpstream:
    """A started upstream stand-in and its port."""

    plan: UpstreamPlan
    port: int
    process: StartedProcess

    @property
    def address(self) -> str:
        """Address in the host list, as ``host:port``."""
        return f"127.0.0.1:{self.port}"


@attrs.define
class RunningDaemon:
    """A started daemon, its ports and its settings file."""

    plan: DaemonPlan
    caller_port: int
    peer_port: int
    settings_path: Path
    process: StartedProcess

    @property
    def url(self) -> str:
        """Base URL for callers and operators."""
        return f"http://127.0.0.1:{self.caller_port}"


class Deployment:
    """Processes of one deployment.

    Parameters
    ----------
    directory : Path
        Directory for settings files and logs.
    overrides : dict
        Settings of all daemons that differ from the defaults.
    """

    def __init__(
        self, directory: Path, overrides: dict[str, Any] | None = None
    ) -> None:
        self.directory = directory
        self.overrides = overrides or {}
        self.group = ProcessGroup(directory)
        self.platform_port = find_free_port()
        self.upstreams: dict[str, RunningUpstream] = {}
        self.daemons: dict[str, RunningDaemon] = {}
        self._client: aiosonic.HTTPClient | None = None

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://127.0.0.1:{self.platform_port}"

    async def start_platform(self, *arguments: str) -> None:
        """Start the platform stand-in and wait until it answers."""
        self.group.start(
            "platform",
            "waxwingbarrow.standins.platform",
            "--port",
            str(self.platform_port),
            *arguments,
        )
        await self.wait_for(f"{self.platform_url}/v1/hosts")

    async def start_upstream(self, plan: UpstreamPlan) -> RunningUpstream:
        """Start an upstream stand-in and add it to the host list."""
        port = find_free_port()
        process = self.group.start(
            plan.name,
            f"waxwingbarrow.standins.{plan.kind}",
            "--port",
            str(port),
            *plan.arguments,
        )
        running = RunningUpstream(plan, port, process)
        self.upstreams[plan.name] = running
        path = "v1/load" if plan.kind == "engine" else "standin/runs"
        await self.wait_for(f"http://{running.address}/{path}")
        await self.set_listed_state(running, "live")
        return running

    async def set_listed_state(self, running: RunningUpstream, state: str) -> None:
        """Set the state of an upstream in the platform's host list."""
        plan = running.plan
        entry = {
            "host": plan.name,
            "address": running.address,
            "data_centre": plan.data_centre,
            "zone": f"{plan.data_centre}-1",
            "kind": "model_engine" if plan.kind == "engine" else "plain_service",
            "service": plan.service,
            "version": plan.version,
            "state": state,
            "leave_by_ms": None,
            "checks_fencing": plan.checks_fencing,
            "price_per_hour": 1.0,
            "incarnation": f"{int(time.time() * 1000)}-1",
        }
        await self.post(f"{self.platform_url}/standin/hosts", [entry])

    async def start_daemon(self, plan: DaemonPlan) -> RunningDaemon:
        """Start a daemon without waiting until it is ready; see `wait_ready`.

        Its peers are the daemons that were started before it.
        """
        caller_port, peer_port = find_free_port(), find_free_port()
        settings = {
            "host_id": plan.name,
            "data_centre": plan.data_centre,
            "zone": f"{plan.data_centre}-1",
            "caller_address": f"127.0.0.1:{caller_port}",
            "peer_address": f"127.0.0.1:{peer_port}",
            "peers": [
                f"127.0.0.1:{daemon.peer_port}" for daemon in self.daemons.values()
            ],
            "platform": {
                "log_address": f"127.0.0.1:{self.platform_port}",
                "hosts_address": f"127.0.0.1:{self.platform_port}",
                "cloud_address": f"127.0.0.1:{self.platform_port}",
            },
            "operator_key_hashes": [hash_key(OPERATOR_KEY)],
            "token_keys": [{"key_id": "demo", "secret": TOKEN_SECRET}],
            **self.overrides,
        }
        path = self.directory / f"{plan.name}.json"
        path.write_text(json.dumps(settings, indent=2))
        process = self.group.start(
            plan.name, "waxwingbarrow.daemon", "--settings", str(path)
        )
        running = RunningDaemon(plan, caller_port, peer_port, path, process)
        self.daemons[plan.name] = running
        return running

    async def wait_ready(self, names: Sequence[str] | None = None) -> None:
        """Wait until the named daemons, or all, report that they are ready."""
        for name in names or tuple(self.daemons):
            await self.wait_for(f"{self.daemons[name].url}/readyz")

    async def wait_for(self, url: str) -> None:
        """Wait until a URL answers with status 200.

        Raises
        ------
        TimeoutError
            If it does not within `READY_TIMEOUT_S`.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                response = await self.client.get(url)
                await response.content()
                if response.status_code == 200:
                    return
            except (OSError, aiosonic.exceptions.AiosonicError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{url} is not ready.\n{self.read_logs()}")

    @property
    def client(self) -> aiosonic.HTTPClient:
        """HTTP client for control paths, created in the running event loop."""
        if self._client is None:
            # A new connection for each request: servers close idle connections after
            # 5 s, so a kept one could fail on its next use.
            pools = {":default": PoolConfig(max_conn_requests=0)}
            self._client = aiosonic.HTTPClient(TCPConnector(pool_configs=pools))
        return self._client

    async def post(self, url: str, data: Any) -> Any:
        """Post JSON to a control path and return the parsed answer."""
        response = await self.client.post(
            url,
            headers={"Content-Type": "application/json"},
            data=json.dumps(data),
        )
        body = await response.content()
        if response.status_code >= 300:
            raise RuntimeError(f"{url}: status {response.status_code} {body[:200]!r}")
        return json.loads(body) if body else None

    async def get(self, url: str, key: str | None = None) -> Any:
        """Fetch a URL and return the parsed JSON, whatever the status.

        Parameters
        ----------
        key : str or None
            Bearer key to send.
        """
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        response = await self.client.get(url, headers=headers)
        return json.loads(await response.content())

    def make_cli_environment(self, operator_key: str) -> dict[str, str]:
        """Return the environment variables for the operator's command line."""
        return {**os.environ, "WAXWINGBARROW_OPERATOR_KEY": operator_key}

    def read_logs(self) -> str:
        """Return the last `LOG_TAIL_LINES` lines of each process's log."""
        parts = []
        for name, started in self.group.started.items():
            lines = started.log_path.read_text(errors="replace").splitlines()
            parts += [f"{name}: {line}" for line in lines[-LOG_TAIL_LINES:]]
        return "\n".join(parts)

    def stop(self) -> None:
        """Stop every process."""
        self.group.stop_all()
