"""Reports for operators: lines of at most 40 characters, data and exit code."""

import enum
import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from waxwingbarrow.cli._replies import (
    DrainState,
    HostStatus,
    Refused,
    RequestHistory,
    Unreachable,
)
from waxwingbarrow.core import (
    Failure,
    FieldInvalid,
    Instant,
    ServiceName,
    write_data,
)
from waxwingbarrow.document import (
    Added,
    Change,
    Changed,
    Removed,
    ServiceDocument,
    document_schema,
)
from waxwingbarrow.rollout import MoveState, describe_moves, format_time, wrap_line

ENDED_DRAINS = frozenset({"done", "drained", "left", "stopped", "gone"})
CONFLICT_STATUS = 409
UNAVAILABLE_STATUS = 500  # this status and all above


class ExitCode(enum.IntEnum):
    """Exit codes of the command line."""

    DONE = 0
    RUNNING = 1
    WITHDRAWN = 2  # also a conflict
    INVALID = 3
    UNREACHABLE = 4


@attrs.frozen
class Report:
    """What a command has to say."""

    exit_code: ExitCode
    lines: tuple[str, ...]
    data: Any


def format_report(report: Report, as_json: bool) -> str:
    """Return the text to print."""
    if as_json:
        return json.dumps(report.data)
    return "\n".join(report.lines)


def present_check(document: ServiceDocument) -> Report:
    """Report a valid document."""
    rollout = document.rollout
    lines = [f"VALID {document.service}", f"  {document.kind} service"]
    lines.append(f"  {len(document.accounts)} accounts, {len(document.routes)} routes")
    if rollout is not None:
        lines.append(f"  rollout {rollout.from_version} to {rollout.to_version}")
        lines.append(f"  ends {format_time(rollout.finish_by_ms)}")
    return _report(
        ExitCode.DONE, lines, {"valid": True, "document": write_data(document)}
    )


def present_publication(service: ServiceName, revision: int) -> Report:
    """Report an accepted document."""
    lines = [f"DONE published {service} r{revision}"]
    return _report(ExitCode.DONE, lines, {"service": service, "revision": revision})


def present_changes(
    service: ServiceName, revision: int, changes: Iterable[Change]
) -> Report:
    """Report what publishing a document would change; revision 0 is no document."""
    found = tuple(changes)
    if not revision:
        lines = [f"NEW {service}", "  no document is published"]
    elif not found:
        lines = [f"SAME {service} r{revision}"]
    else:
        lines = [f"CHANGES {service} r{revision}"]
        lines += [line for change in found for line in _describe_change(change)]
    data = {
        "service": service,
        "revision": revision,
        "changes": [
            {"change": type(change).__name__.lower(), **attrs.asdict(change)}
            for change in found
        ],
    }
    return _report(ExitCode.DONE, lines, data)


def present_status(status: HostStatus, now: Instant) -> Report:
    """Report a host's state, the moves first."""
    lines = [*describe_moves(status.moves, now)] or ["DONE no moves"]
    lines += [f"HOST {status.host}", f"  {status.data_centre}, {status.lifecycle}"]
    if status.control_offset is not None:
        lines.append(f"  log offset {status.control_offset}")
    if status.log_lag_s is not None:
        lines.append(f"  log lag {status.log_lag_s:.1f} s")
    lines.append(f"  {_count(status.peers)} peers")
    for service in status.services:
        lines.append(f"SERVICE {service.service} r{service.revision}")
        author = f"by {service.author}, " if service.author else ""
        lines.append(f"  {author}{_count(service.accounts)} accounts")
    for upstream in status.upstreams:
        lines.append(f"UPSTREAM {upstream.upstream}")
        lines.append(f"  {upstream.service} {upstream.version}")
        lines.append(f"  {upstream.state}, {upstream.in_flight} in flight")
    states = {move.state for move in status.moves}
    code = ExitCode.DONE
    if MoveState.WITHDRAWN in states:
        code = ExitCode.WITHDRAWN
    elif MoveState.RUNNING in states:
        code = ExitCode.RUNNING
    return _report(code, lines, write_data(status))


def present_drain(target: str, drain: DrainState) -> Report:
    """Report an accepted drain."""
    ended = drain.state in ENDED_DRAINS
    word = "DONE" if ended else "RUNNING"
    lines = [f"{word} drain {target}", f"  {drain.state}"]
    code = ExitCode.DONE if ended else ExitCode.RUNNING
    return _report(code, lines, {"target": target, "state": drain.state})


def present_history(history: RequestHistory) -> Report:
    """Report what happened to a request."""
    lines = [f"REQUEST {history.request_id}"]
    started_ms = history.events[0].at_ms if history.events else 0
    if history.events:
        lines.append(f"  from {format_time(started_ms)}")
    else:
        lines.append("  no events are known")
    for event in history.events:
        lines.append(f"+{event.at_ms - started_ms} ms {event.event}")
        if event.detail:
            lines.append(f"  {event.detail}")
    return _report(ExitCode.DONE, lines, write_data(history))


def present_schema() -> Report:
    """Report the fields of a document; the JSON form is the JSON Schema."""
    schema = document_schema()
    return _report(ExitCode.DONE, list(_outline(schema, "")), schema)


def present_failure(failure: Failure) -> Report:
    """Report why a command did not succeed."""
    match failure:
        case Unreachable():
            lines = ["UNREACHABLE", f"  {failure.host}", f"  {failure.reason}"]
            if failure.may_have_run:
                lines.append("  may be in force; see status or diff")
            code = ExitCode.UNREACHABLE
        case Refused(status=status) if status == CONFLICT_STATUS:
            lines = ["CONFLICT", f"  {failure.detail}"]
            if failure.winner_author:
                lines.append(f"  winner {failure.winner_author}")
            if failure.winner_offset is not None:
                lines.append(f"  winner r{failure.winner_offset}")
            code = ExitCode.WITHDRAWN
        case Refused(status=status):
            lines = [f"REFUSED {status}", f"  {failure.detail}"]
            unavailable = status >= UNAVAILABLE_STATUS
            code = ExitCode.UNREACHABLE if unavailable else ExitCode.INVALID
        case FieldInvalid():
            lines = [f"INVALID {failure.source}"]
            lines += [f"  field {failure.field}"] if failure.field else []
            lines += [f"  is {failure.value}", f"  allowed: {failure.allowed}"]
            code = ExitCode.INVALID
        case _:
            lines, code = ["INVALID", f"  {failure.detail}"], ExitCode.INVALID
    data = {
        "error": type(failure).__name__,
        "detail": failure.detail,
        **attrs.asdict(failure),
    }
    return _report(code, lines, data)


def present_usage(usage: Iterable[str], code: ExitCode) -> Report:
    """Report how the command line is used."""
    lines = list(usage)
    return _report(code, lines, {"usage": lines})


def _report(code: ExitCode, lines: Iterable[str], data: Any) -> Report:
    fitted = tuple(part for line in lines for part in wrap_line(line))
    return Report(code, fitted, data)


def _describe_change(change: Change) -> Iterator[str]:
    match change:
        case Added():
            yield f"+ {change.section} {change.name}"
        case Removed():
            yield f"- {change.section} {change.name}"
        case Changed(field=field, old=old, new=new):
            yield f"~ {change.section} {change.name}".rstrip()
            if field == "key_hashes":
                yield "  key_hashes: other keys"
            else:
                yield f"  {field}: {old} to {new}"


def _count(value: Any) -> int:
    if isinstance(value, list | tuple | dict):
        return len(value)
    return value if isinstance(value, int) else 0


def _outline(schema: dict[str, Any], indent: str) -> Iterator[str]:
    for name, described in schema["properties"].items():
        mark = " (required)" if name in schema["required"] else ""
        yield f"{indent}{name}{mark}"
        options = [described, described.get("items", {}), *described.get("anyOf", ())]
        for option in options:
            if "properties" in option:
                yield from _outline(option, indent + "  ")
