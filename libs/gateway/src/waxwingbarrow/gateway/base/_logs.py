"""JSON logging to standard output that never blocks the event loop."""

import logging
import os
import sys
from collections import deque

from prometheus_client import Counter
from pythonjsonlogger.json import JsonFormatter

ROOT_LOGGER = "waxwingbarrow"
# Lines kept while the reader is slow; further ones are dropped and counted.
MAX_QUEUED_LINES = 4_000
# Lines per second after which those of INFO and below are dropped, so that logging does
# not make an overload worse.
MAX_LINES_PER_S = 400
# Lines are joined up to about this size for one write.
MAX_WRITE_BYTES = 65_536


class BoundedHandler(logging.Handler):
    """Keeps lines in memory until `flush_lines` writes them without blocking.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    dropped : Counter
        Counts the dropped lines.
    """

    def __init__(self, descriptor: int, dropped: Counter) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._dropped = dropped
        self._unreported_drops = 0
        self._lines: deque[bytes] = deque()
        self._current_second = 0
        self._lines_in_second = 0
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or drop and count it."""
        second = int(record.created)
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        is_over_rate = (
            record.levelno <= logging.INFO and self._lines_in_second > MAX_LINES_PER_S
        )
        if is_over_rate or len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped.inc()
            self._unreported_drops += 1
            return
        try:
            self._lines.append(self.format(record).encode() + b"\n")
        except Exception:
            self.handleError(record)

    def flush_lines(self) -> None:
        """Write the queued lines as far as the reader accepts them without blocking."""
        if self._unreported_drops:
            count, self._unreported_drops = self._unreported_drops, 0
            logging.getLogger(ROOT_LOGGER).warning(
                "log lines were left out", extra={"count": count}
            )
        while self._unwritten or self._lines:
            while self._lines and len(self._unwritten) < MAX_WRITE_BYTES:
                self._unwritten += self._lines.popleft()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader closed the pipe, so the failure cannot be logged either.
                self._unwritten = b""
                self._lines.clear()
                return
            self._unwritten = self._unwritten[written:]


def configure_logs(
    level: str, host: str, dropped: Counter, descriptor: int | None = None
) -> BoundedHandler:
    """Log as JSON to a file descriptor, by default to standard output.

    Parameters
    ----------
    host : str
        Name of this host, which is added to each line.
    dropped : Counter
        Counts the dropped lines.
    """
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
