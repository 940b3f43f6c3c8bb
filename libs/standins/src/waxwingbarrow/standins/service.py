"""Command line of the plain service stand-in."""

import fire

from waxwingbarrow.standins._server import run_forever
from waxwingbarrow.standins._service import ServiceStandin


def main(port: int) -> None:
    """Serve the plain service."""
    run_forever(ServiceStandin().make_app(), port)


if __name__ == "__main__":
    fire.Fire(main)
