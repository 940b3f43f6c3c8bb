"""Moves in progress, in lines that fit a phone."""

import datetime
import enum
import textwrap
from collections.abc import Iterable, Iterator

import attrs

from waxwingbarrow.core import Instant, ServiceName
from waxwingbarrow.document import ServiceDocument
from waxwingbarrow.rollout._decision import Done, Running, Share, Verdict, Withdrawn

LINE_CHARS = 40


class MoveState(enum.StrEnum):
    """What an operator needs to know first about a move."""

    DONE = "done"
    RUNNING = "running"
    WITHDRAWN = "withdrawn"


@attrs.frozen(kw_only=True)
class Move:
    """A change in progress or ended.

    Parameters
    ----------
    kind : str
        ``rollout``, ``drain`` or ``publication``.
    revision : int
        Revision of the service document; 0 for a drain.
    reason : str
        Why it runs still or was withdrawn; empty if there is nothing to say.
    changed_ms : int or None
        Wall time at which it was done or withdrawn.
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
    """Return lines of at most 40 characters, the state first."""
    lines = (line for move in moves for line in _describe(move, now))
    return tuple(fitted for line in lines for fitted in fit_line(line))


def fit_line(line: str) -> tuple[str, ...]:
    """Break a line into lines of at most 40 characters.

    Examples
    --------
    >>> fit_line("a" * 41)
    ('aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa', '  a')
    """
    indent = line[: len(line) - len(line.lstrip())][: LINE_CHARS // 2]
    printable = "".join(c if c.isprintable() else "?" for c in line.strip())
    return tuple(
        textwrap.wrap(
            printable,
            LINE_CHARS,
            initial_indent=indent,
            subsequent_indent=indent + "  ",
            break_on_hyphens=False,
        )
    ) or ("",)


def format_time(wall_ms: int) -> str:
    """Return a time in UTC to the minute.

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
            left_min = max(move.finish_by_ms - now.wall_ms, 0) // 60_000
            yield f"  ends {format_time(move.finish_by_ms)}"
            yield f"  {left_min // 60} h {left_min % 60} min left"
    if move.reason:
        yield f"  {move.reason}"
