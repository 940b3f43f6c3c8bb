"""Command line of the platform stand-in."""

from typing import Any

import fire

from waxwingbarrow.standins._platform import PlatformSettings, PlatformStandin
from waxwingbarrow.standins._server import run_forever


def main(port: int, **settings: Any) -> None:
    """Serve the platform; the options are the fields of ``PlatformSettings``."""
    run_forever(PlatformStandin(PlatformSettings(**settings)).make_app(), port)


if __name__ == "__main__":
    fire.Fire(main)
