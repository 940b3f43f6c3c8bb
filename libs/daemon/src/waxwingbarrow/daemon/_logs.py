"""JSON log lines with a fixed prefix for each component."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

from pythonjsonlogger.json import JsonFormatter

ROOT_LOGGER = "waxwingbarrow"


class ComponentLogger(logging.LoggerAdapter[logging.Logger]):
    """Logger that puts the name of its component before each message."""

    def process(
        self, msg: str, kwargs: MutableMapping[str, Any]
    ) -> tuple[str, MutableMapping[str, Any]]:
        """Add the prefix. Unlike in the base class, the `extra` of the call is kept."""
        prefix = self.extra["component"] if self.extra else ""
        return f"{prefix}: {msg}", kwargs


def get_logger(component: str) -> ComponentLogger:
    """Return the logger of a component, such as ``claims``."""
    logger = logging.getLogger(f"{ROOT_LOGGER}.{component}")
    return ComponentLogger(logger, {"component": component})


def configure_logs(level: str, host_id: str) -> None:
    """Write log lines as JSON to the standard error stream."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"host": host_id},
        )
    )
    root = logging.getLogger(ROOT_LOGGER)
    root.handlers = [handler]
    root.setLevel(level.upper())
    root.propagate = False
