"""Starts, signals and stops the processes of a measurement or a proof."""

import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import attrs

STOP_TIMEOUT_S = 40.0
# All ports lie below the ephemeral range (from 32,768 on Linux): an outgoing connection
# could take a port of that range before the process that it was chosen for binds it.
FIRST_PORT = 20_000
PORTS_PER_PROCESS = 250
PORT_RANGES = 48

_port_offsets = itertools.count()


def find_free_port() -> int:
    """Return a loopback port that is free at the moment.

    The process id selects the range that is searched, because two measurements that run
    at the same time would otherwise choose the same port.
    """
    base = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_PER_PROCESS
    for _ in range(PORTS_PER_PROCESS):
        port = base + next(_port_offsets) % PORTS_PER_PROCESS
        with socket.socket() as probe_socket:
            probe_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe_socket.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("No loopback port of this process's range is free.")


@attrs.define
class StartedProcess:
    """A child process and its log file."""

    name: str
    process: subprocess.Popen[bytes]
    log_path: Path

    def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self.process.kill()
        self.process.wait()

    def terminate(self) -> int:
        """Send SIGTERM and wait for the exit.

        Returns
        -------
        int
            Exit code; -9 for a process that was killed after `STOP_TIMEOUT_S`.
        """
        if self.process.poll() is None:
            self.process.terminate()
        try:
            return self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        os.kill(self.process.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the process with SIGCONT."""
        os.kill(self.process.pid, signal.SIGCONT)


class ProcessGroup:
    """Child processes of one run, with their log files in one directory."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.started: dict[str, StartedProcess] = {}

    def start(self, name: str, module: str, *arguments: str) -> StartedProcess:
        """Start a Python module as a process that logs to ``NAME.log``."""
        log_path = self.directory / f"{name}.log"
        with log_path.open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        started = StartedProcess(name, process, log_path)
        self.started[name] = started
        return started

    def stop_all(self) -> None:
        """Send SIGTERM to every process that still runs; kill those left after 10 s."""
        running = [
            item for item in self.started.values() if item.process.poll() is None
        ]
        for item in running:
            item.process.terminate()
        deadline_s = time.monotonic() + 10
        for item in running:
            try:
                item.process.wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                item.kill()
