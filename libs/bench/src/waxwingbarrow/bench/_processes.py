"""Processes that a measurement starts, watches and stops."""

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


# Below the range from which the system takes the ports of outgoing connections; a port
# from that range can be taken between its choice and the start of the process.
FIRST_PORT = 20_000
PORTS_PER_PROCESS = 250
PORT_RANGES = 48

_offsets = itertools.count()


def find_free_port() -> int:
    """Return a loopback port that is free at the moment.

    Each process looks in a range of its own, because two measurements that run at the
    same time would otherwise choose the same port.
    """
    base = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_PER_PROCESS
    for _ in range(PORTS_PER_PROCESS):
        port = base + next(_offsets) % PORTS_PER_PROCESS
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("No loopback port is free.")


@attrs.define
class StartedProcess:
    """A process that this program started."""

    name: str
    process: subprocess.Popen[bytes]
    log_path: Path

    def kill(self) -> None:
        """End the process without notice."""
        self.process.kill()
        self.process.wait()

    def terminate(self) -> int:
        """Ask the process to stop and wait for it.

        Returns
        -------
        int
            Its exit code; a process that does not stop in time is killed.
        """
        if self.process.poll() is None:
            self.process.terminate()
        try:
            return self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def pause(self) -> None:
        """Stop the process's execution."""
        os.kill(self.process.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the process's execution."""
        os.kill(self.process.pid, signal.SIGCONT)


class ProcessGroup:
    """All processes of one run; stops every one of them at the end."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.started: dict[str, StartedProcess] = {}

    def start(self, name: str, module: str, *arguments: str) -> StartedProcess:
        """Start a Python module as a process of its own."""
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
        """Stop every process that still runs."""
        running = [
            item for item in self.started.values() if item.process.poll() is None
        ]
        for item in running:
            item.process.terminate()
        give_up = time.monotonic() + 10
        for item in running:
            try:
                item.process.wait(max(0.1, give_up - time.monotonic()))
            except subprocess.TimeoutExpired:
                item.kill()
