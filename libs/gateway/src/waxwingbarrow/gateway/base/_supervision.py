"""Containment of failures that no code expects, so that the process goes on.

A host serves many callers, and what made one of its parts fail is still there after a
restart. So a part that fails is logged and counted, and the others run on.
"""

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

from prometheus_client import Counter

logger = logging.getLogger("waxwingbarrow.gateway")

# Delay before a task that failed is started again; it doubles with each failure.
FIRST_RESTART_DELAY_S = 0.25
MAX_RESTART_DELAY_S = 4.0
# A task that ran for this long starts again after the first delay.
STABLE_RUN_S = 30.0
# Interval of the log lines with a traceback for one part.
TRACEBACK_INTERVAL_S = 10.0

TaskStart = Callable[[], Coroutine[Any, Any, None]]


class Supervisor:
    """Runs background tasks, and contains unexpected failures.

    Parameters
    ----------
    failures : Counter
        Counts unexpected failures by part.
    now_s : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self, failures: Counter, now_s: Callable[[], float] = time.monotonic
    ) -> None:
        self._failures = failures
        self._now_s = now_s
        self._tasks: set[asyncio.Task[None]] = set()
        self._traceback_at_s: dict[str, float] = {}

    def spawn(self, name: str, start: TaskStart) -> None:
        """Run a background task until it ends without a failure or is cancelled.

        Parameters
        ----------
        start : callable
            Returns a new coroutine of the task for each start.
        """
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._run(name, start), name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel_all(self) -> None:
        """Cancel the background tasks."""
        for task in self._tasks:
            task.cancel()

    @contextmanager
    def contain(self, name: str) -> Iterator[None]:
        """Log and count an unexpected failure of a part, instead of raising it."""
        try:
            yield
        except Exception as error:
            self.note_failure(name, error)

    def note_failure(self, name: str, error: BaseException | None) -> None:
        """Count a failure, and log it unless the part has failed a moment ago."""
        self._failures.labels(name).inc()
        now_s = self._now_s()
        last_s = self._traceback_at_s.get(name)
        if last_s is None or now_s - last_s >= TRACEBACK_INTERVAL_S:
            self._traceback_at_s[name] = now_s
            logger.error("unexpected failure", extra={"task": name}, exc_info=error)

    def handle_loop_failure(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Handle a failure of a callback; for `set_exception_handler` of the loop."""
        self.note_failure("callback", context.get("exception"))

    async def _run(self, name: str, start: TaskStart) -> None:
        delay_s = FIRST_RESTART_DELAY_S
        while True:
            started_s = self._now_s()
            try:
                await start()
                return
            except Exception as error:
                self.note_failure(name, error)
            if self._now_s() - started_s >= STABLE_RUN_S:
                delay_s = FIRST_RESTART_DELAY_S
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)
