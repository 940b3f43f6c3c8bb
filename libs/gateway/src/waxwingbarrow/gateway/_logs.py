"""Log lines on the standard output that never hold up the event loop."""

import logging
import os
import sys
from collections import deque

from prometheus_client import Counter
from pythonjsonlogger.json import JsonFormatter

ROOT_LOGGER = "waxwingbarrow"
# Lines that may wait; more are left out and counted.
MAX_WAITING_LINES = 4_000
# Lines per second that may be added, so that an overload is not made worse.
MAX_LINES_PER_S = 400
MAX_WRITE_BYTES = 65_536


class BoundedHandler(logging.Handler):
    """Keeps lines in memory until `flush_lines` writes them without blocking.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    dropped : Counter
        Counts the lines that are left out.
    """

    def __init__(self, descriptor: int, dropped: Counter) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._dropped = dropped
        self._dropped_since = 0
        self._lines: deque[bytes] = deque()
        self._second = 0
        self._in_second = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a line, or count it as left out."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._in_second = 0
        self._in_second += 1
        is_bulk = record.levelno <= logging.INFO and self._in_second > MAX_LINES_PER_S
        if is_bulk or len(self._lines) >= MAX_WAITING_LINES:
            self._dropped.inc()
            self._dropped_since += 1
            return
        try:
            self._lines.append(self.format(record).encode() + b"\n")
        except Exception:
            self.handleError(record)

    def flush_lines(self) -> None:
        """Write as much as the reader takes now."""
        if self._dropped_since:
            count, self._dropped_since = self._dropped_since, 0
            logging.getLogger(ROOT_LOGGER).warning(
                "log lines were left out", extra={"count": count}
            )
        while self._rest or self._lines:
            while self._lines and len(self._rest) < MAX_WRITE_BYTES:
                self._rest += self._lines.popleft()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; there is nobody to tell.
                self._rest = b""
                self._lines.clear()
                return
            self._rest = self._rest[written:]


def configure_logs(
    level: str, host: str, dropped: Counter, descriptor: int | None = None
) -> BoundedHandler:
    """Send all log lines as JSON to the standard output, or elsewhere."""
    if descriptor is None:
        descriptor = sys.stdout.fileno()
    handler = BoundedHandler(descriptor, dropped)
    handler.setFormatter(
        JsonFormatter(
            "{created}{levelname}{name}{message}",
            style="{",
            rename_fields={"created": "time_s", "levelname": "level", "name": "part"},
            static_fields={"host": host},
        )
    )
    root = logging.getLogger(ROOT_LOGGER)
    root.handlers = [handler]
    root.setLevel(level.upper())
    root.propagate = False
    return handler
