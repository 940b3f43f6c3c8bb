"""Command line of the engine stand-in."""

from typing import Any

import fire

from waxwingbarrow.standins._engine import EngineStandin
from waxwingbarrow.standins._options import EngineSettings
from waxwingbarrow.standins._server import run_forever


def main(port: int, **settings: Any) -> None:
    """Serve the engine; the options are the fields of ``EngineSettings``."""
    run_forever(EngineStandin(EngineSettings(**settings)).make_app(), port)


if __name__ == "__main__":
    fire.Fire(main)
