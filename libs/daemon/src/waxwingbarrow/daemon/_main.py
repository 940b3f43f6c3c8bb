"""Command line of the daemon."""

import asyncio
import sys
from pathlib import Path

import fire
from result import Err

from waxwingbarrow.daemon._host import Host
from waxwingbarrow.daemon._logs import configure_logs
from waxwingbarrow.daemon._settings import read_settings

EXIT_INVALID_SETTINGS = 3
EXIT_FAILED = 1


def serve(settings: str) -> None:
    """Run the daemon of one entry host until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : str
        Path of the JSON settings file.
    """
    read = read_settings(Path(settings))
    if isinstance(read, Err):
        print(read.err_value.detail, file=sys.stderr)
        raise SystemExit(EXIT_INVALID_SETTINGS)
    checked = read.ok_value
    configure_logs(checked.log_level, checked.host_id)

    async def run() -> None:
        await Host(checked).run()

    try:
        asyncio.run(run())
    except* OSError as group:
        for error in group.exceptions:
            print(error, file=sys.stderr)
        raise SystemExit(EXIT_FAILED) from None


def main() -> None:
    """Run ``waxwingbarrowd``."""
    fire.Fire(serve)
