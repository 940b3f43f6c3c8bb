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

ENDED_DRAIN_STATES = frozenset({"done", "drained", "left", "stopped", "gone"})
CONFLICT_STATUS = 409
MIN_UNAVAILABLE_STATUS = 500  # HTTP status; a higher one also means unavailable


class ExitCode(enum.IntEnum):
    """Exit codes of the command line."""

    DONE = 0
    RUNNING = 1
    WITHDRAWN = 2  # also a publication in conflict with a newer document
    INVALID = 3
    UNREACHABLE = 4


@attrs.frozen
class Report:
    """Outcome of a command, as lines for people and as data for JSON output."""

    exit_code: ExitCode
    lines: tuple[str, ...]
    data: Any


def format_report(report: Report, as_json: bool) -> str:
    """Return the report as text or as one line of JSON."""
    if as_json:
        return json.dumps(report.data)
    return "\n".join(report.lines)


def present_check(document: ServiceDocument) -> Report:
    """Report that a document is valid, with a summary of it."""
    rollout = document.rollout
    lines = [f"VALID {document.service}", f"  {document.kind} service"]
    lines.append(f"  {len(document.accounts)} accounts, {len(document.routes)} routes")
    if rollout is not None:
        lines.append(f"  rollout {rollout.from_version} to {rollout.to_version}")
        lines.append(f"  ends {format_time(rollout.finish_by_ms)}")
    return _make_report(
        ExitCode.DONE, lines, {"valid": True, "document": write_data(document)}
    )


def present_publication(service: ServiceName, revision: int) -> Report:
    """Report that a document was published."""
    lines = [f"DONE published {service} r{revision}"]
    return _make_report(
        ExitCode.DONE, lines, {"service": service, "revision": revision}
    )


def present_changes(
    service: ServiceName, revision: int, changes: Iterable[Change]
) -> Report:
    """Report what publishing a document would change.

    Revision 0 means that the service has no published document.
    """
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
    return _make_report(ExitCode.DONE, lines, data)


def present_status(status: HostStatus, now: Instant) -> Report:
    """Report the state of a host, beginning with the rollouts."""
    lines = [*describe_moves(status.moves, now)] or ["DONE no moves"]
    lines += [f"HOST {status.host}", f"  {status.data_centre}, {status.lifecycle}"]
    if status.control_offset is not None:
        lines.append(f"  log offset {status.control_offset}")
    if status.log_lag_s is not None:
        lines.append(f"  log lag {status.log_lag_s:.1f} s")
    lines.append(f"  {_count_items(status.peers)} peers")
    for service in status.services:
        lines.append(f"SERVICE {service.service} r{service.revision}")
        author = f"by {service.author}, " if service.author else ""
        lines.append(f"  {author}{_count_items(service.accounts)} accounts")
    for upstream in status.upstreams:
        lines.append(f"UPSTREAM {upstream.upstream}")
        lines.append(f"  {upstream.service} {upstream.version}")
        lines.append(f"  {upstream.state}, {upstream.in_flight} in flight")
    move_states = {move.state for move in status.moves}
    code = ExitCode.DONE
    if MoveState.WITHDRAWN in move_states:
        code = ExitCode.WITHDRAWN
    elif MoveState.RUNNING in move_states:
        code = ExitCode.RUNNING
    return _make_report(code, lines, write_data(status))


def present_drain(target: str, drain: DrainState) -> Report:
    """Report the state of a drain that a host accepted."""
    ended = drain.state in ENDED_DRAIN_STATES
    word = "DONE" if ended else "RUNNING"
    lines = [f"{word} drain {target}", f"  {drain.state}"]
    code = ExitCode.DONE if ended else ExitCode.RUNNING
    return _make_report(code, lines, {"target": target, "state": drain.state})


def present_history(history: RequestHistory) -> Report:
    """Report the events of a request, with times relative to the first."""
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
    return _make_report(ExitCode.DONE, lines, write_data(history))


def present_schema() -> Report:
    """Report the fields of a service document; as JSON, its JSON Schema."""
    schema = document_schema()
    return _make_report(ExitCode.DONE, list(_list_fields(schema, "")), schema)


def present_failure(failure: Failure) -> Report:
    """Report why a command failed."""
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
            unavailable = status >= MIN_UNAVAILABLE_STATUS
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
    return _make_report(code, lines, data)


def present_usage(usage: Iterable[str], code: ExitCode) -> Report:
    """Report the usage of the command line."""
    lines = list(usage)
    return _make_report(code, lines, {"usage": lines})


def _make_report(code: ExitCode, lines: Iterable[str], data: Any) -> Report:
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


def _count_items(value: Any) -> int:
    if isinstance(value, list | tuple | dict):
        return len(value)
    return value if isinstance(value, int) else 0


def _list_fields(schema: dict[str, Any], indent: str) -> Iterator[str]:
    for name, field_schema in schema["properties"].items():
        suffix = " (required)" if name in schema["required"] else ""
        yield f"{indent}{name}{suffix}"
        options = [
            field_schema,
            field_schema.get("items", {}),
            *field_schema.get("anyOf", ()),
        ]
        for option in options:
            if "properties" in option:
                yield from _list_fields(option, indent + "  ")
