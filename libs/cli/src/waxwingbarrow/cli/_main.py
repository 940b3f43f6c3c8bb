"""Entry point: parses the command line, runs the command and prints its report."""

import asyncio
import contextlib
import io
import os
import sys
from collections.abc import Sequence

import fire
from fire.core import FireExit
from fire.decorators import SetParseFn

from waxwingbarrow.cli import _commands as commands
from waxwingbarrow.cli._presentation import (
    ExitCode,
    Report,
    format_report,
    present_usage,
)
from waxwingbarrow.core import SystemClock

USAGE = (
    "waxwingbarrow COMMAND [--json]",
    "  check FILE",
    "  publish FILE --host URL",
    "    [--base-revision N] [--author A]",
    "  diff FILE --host URL",
    "  status --host URL",
    "  drain HOST_URL",
    "  drain UPSTREAM --host URL",
    "  explain REQUEST_ID --host URL",
    "  schema",
    "environment",
    "  WAXWINGBARROW_OPERATOR_KEY",
    "  WAXWINGBARROW_HOST for --host",
    "exit: 0 done, 1 running,",
    "  2 withdrawn or conflict,",
    "  3 invalid input, 4 unreachable",
)


class CommandLine:
    """Commands exposed by fire; each method returns a parsed command and runs nothing.

    fire calls the method before it rejects superfluous arguments. The command therefore
    runs only after the whole command line is parsed, so that no document is published
    by a command line that is reported as invalid.
    """

    @SetParseFn(str)
    def check(self, file: str) -> commands.Command:
        """Check a service document."""
        return commands.Check(file)

    @SetParseFn(str)
    def publish(
        self,
        file: str,
        host: str | None = None,
        base_revision: str | None = None,
        author: str | None = None,
    ) -> commands.Command:
        """Publish a service document."""
        return commands.Publish(file, host, base_revision, author)

    @SetParseFn(str)
    def diff(self, file: str, host: str | None = None) -> commands.Command:
        """Compare a service document with the one in force."""
        return commands.Diff(file, host)

    @SetParseFn(str)
    def status(self, host: str | None = None) -> commands.Command:
        """Show rollouts, services and upstreams."""
        return commands.Status(host)

    @SetParseFn(str)
    def drain(self, target: str, host: str | None = None) -> commands.Command:
        """Drain a host or an upstream."""
        return commands.Drain(target, host)

    @SetParseFn(str)
    def explain(self, request_id: str, host: str | None = None) -> commands.Command:
        """Show what happened to a request."""
        return commands.Explain(request_id, host)

    def schema(self) -> commands.Command:
        """Show the fields of a service document."""
        return commands.Schema()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line.

    Parameters
    ----------
    arguments : sequence of str or None
        Arguments without the program name; those of the process if None.

    Returns
    -------
    int
        Exit code, one of `ExitCode`.
    """
    given = list(sys.argv[1:] if arguments is None else arguments)
    as_json = "--json" in given
    command = _parse([argument for argument in given if argument != "--json"])
    if isinstance(command, Report):
        report = command
    else:
        run = commands.run_command(command, os.environ, SystemClock())
        report = asyncio.run(run)
    failed = report.exit_code in (ExitCode.INVALID, ExitCode.UNREACHABLE)
    stream = sys.stderr if failed and not as_json else sys.stdout
    print(format_report(report, as_json), file=stream)
    return int(report.exit_code)


def _parse(cli_arguments: list[str]) -> commands.Command | Report:
    """Return the command, or a usage report if the arguments are not a command."""
    if "-h" in cli_arguments or "--help" in cli_arguments:
        return present_usage(USAGE, ExitCode.DONE)
    # fire takes arguments after a bare -- as its own flags, and --interactive opens a
    # Python interpreter.
    if not cli_arguments or "--" in cli_arguments:
        return present_usage(USAGE, ExitCode.INVALID)
    # fire's own messages are discarded: their lines are too long for a phone screen.
    discarded_output = io.StringIO()
    try:
        with (
            contextlib.redirect_stdout(discarded_output),
            contextlib.redirect_stderr(discarded_output),
        ):
            found = fire.Fire(
                CommandLine(),
                command=cli_arguments,
                name="waxwingbarrow",
                serialize=repr,
            )
    except FireExit:
        return present_usage(USAGE, ExitCode.INVALID)
    if not isinstance(found, commands.Command):
        return present_usage(USAGE, ExitCode.INVALID)
    return found
