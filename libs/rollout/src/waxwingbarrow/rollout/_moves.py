"""Rollouts, drains and publications, formatted in lines that fit a phone screen."""

import datetime
import enum
import textwrap
from collections.abc import Iterable, Iterator

import attrs

from waxwingbarrow.core import Instant, ServiceName
from waxwingbarrow.document import ServiceDocument
from waxwingbarrow.rollout._decision import Done, Running, Share, Verdict, Withdrawn

MAX_LINE_CHARS = 40


class MoveState(enum.StrEnum):
    """State of a move, with which its description for operators starts."""

    DONE = "done"
    RUNNING = "running"
    WITHDRAWN = "withdrawn"


@attrs.frozen(kw_only=True)
class Move:
    """A rollout, drain or publication that is in progress or has ended.

    Parameters
    ----------
    kind : str
        ``rollout``, ``drain`` or ``publication``.
    revision : int
        Revision of the service document; 0 for a drain.
    reason : str
        Why the move is still in progress or was withdrawn; empty otherwise.
    share_percent : float or None
        Percentage of requests that the new version gets; None if the move is not a
        rollout.
    finish_by_ms : int or None
        Deadline as wall time, in milliseconds since the Unix epoch; None if there is
        none.
    changed_ms : int or None
        Wall time of completion or withdrawal, in milliseconds since the Unix epoch.
    """

    service: ServiceName
    revision: int
    kind: str
    state: MoveState
    reason: str = ""
    share_percent: float | None = None
    finish_by_ms: int | None = None
    changed_ms: int | None = None


def make_move(
    document: ServiceDocument, revision: int, share: Share, verdict: Verdict
) -> Move | None:
    """Return the rollout of a document as a move, or None if it has none."""
    rollout = document.rollout
    if rollout is None:
        return None
    match verdict:
        case Running():
            state, reason, changed_ms = MoveState.RUNNING, share.reason, None
        case Done():
            state, reason, changed_ms = MoveState.DONE, "", None
        case Withdrawn():
            state, reason = MoveState.WITHDRAWN, verdict.reason
            changed_ms = verdict.at_ms
    return Move(
        service=document.service,
        revision=revision,
        kind="rollout",
        state=state,
        reason=reason,
        share_percent=share.percent,
        finish_by_ms=rollout.finish_by_ms,
        changed_ms=changed_ms,
    )


def describe_moves(moves: Iterable[Move], now: Instant) -> tuple[str, ...]:
    """Return lines of at most `MAX_LINE_CHARS` that start with each move's state."""
    lines = (line for move in moves for line in _describe(move, now))
    return tuple(fitted for line in lines for fitted in wrap_line(line))


def wrap_line(line: str) -> tuple[str, ...]:
    """Wrap a line at `MAX_LINE_CHARS` and replace unprintable characters.

    Examples
    --------
    >>> wrap_line("a" * 41)
    ('aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa', '  a')
    """
    indent = line[: len(line) - len(line.lstrip())][: MAX_LINE_CHARS // 2]
    printable = "".join(c if c.isprintable() else "?" for c in line.strip())
    return tuple(
        textwrap.wrap(
            printable,
            MAX_LINE_CHARS,
            initial_indent=indent,
            subsequent_indent=indent + "  ",
            break_on_hyphens=False,
        )
    ) or ("",)


def format_time(wall_ms: int) -> str:
    """Return a time in UTC with a resolution of one minute.

    Examples
    --------
    >>> format_time(0)
    '1970-01-01 00:00Z'
    """
    try:
        moment = datetime.datetime.fromtimestamp(wall_ms / 1000, tz=datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return "unknown time"
    return moment.strftime("%Y-%m-%d %H:%MZ")


def _describe(move: Move, now: Instant) -> Iterator[str]:
    revision = f" r{move.revision}" if move.revision else ""
    yield f"{move.state.upper()} {move.kind} {move.service}{revision}"
    if move.changed_ms is not None:
        yield f"  at {format_time(move.changed_ms)}"
    if move.state is MoveState.RUNNING:
        if move.share_percent is not None:
            yield f"  new version gets {move.share_percent:.3g}%"
        if move.finish_by_ms is not None:
            remaining_min = max(move.finish_by_ms - now.wall_ms, 0) // 60_000
            yield f"  ends {format_time(move.finish_by_ms)}"
            yield f"  {remaining_min // 60} h {remaining_min % 60} min left"
    if move.reason:
        yield f"  {move.reason}"
