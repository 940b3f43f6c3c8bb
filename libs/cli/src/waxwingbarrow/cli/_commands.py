"""Parsed commands and their execution."""

import json
from collections.abc import Mapping
from pathlib import Path
from urllib.parse import urlsplit

import attrs
from result import Err, Ok, Result

from waxwingbarrow.cli import _presentation as presentation
from waxwingbarrow.cli._client import OperatorClient
from waxwingbarrow.cli._presentation import Report
from waxwingbarrow.cli._replies import PublishedDocument, Refused
from waxwingbarrow.core import Clock, Failure, FieldInvalid
from waxwingbarrow.document import (
    Change,
    ServiceDocument,
    diff_documents,
    read_document,
    to_json,
)

KEY_VARIABLE = "WAXWINGBARROW_OPERATOR_KEY"
HOST_VARIABLE = "WAXWINGBARROW_HOST"
NOT_FOUND_STATUS = 404


@attrs.frozen
class Check:
    """Validate a document locally, without a host."""

    file: str


@attrs.frozen
class Publish:
    """Publish a document.

    Parameters
    ----------
    file : str
        Path of the document.
    host : str or None
        Base URL of the host; None for that in `HOST_VARIABLE`.
    base_revision : str or None
        Revision that the document replaces, not parsed yet; None for the one in force.
    author : str or None
        Name to record with the document; None for the user of the process.
    """

    file: str
    host: str | None
    base_revision: str | None
    author: str | None


@attrs.frozen
class Diff:
    """Compare a document with the one in force."""

    file: str
    host: str | None


@attrs.frozen
class Status:
    """Show a host's view of the deployment."""

    host: str | None


@attrs.frozen
class Drain:
    """Drain a host, given by its URL, or an upstream, given by its id."""

    target: str
    host: str | None


@attrs.frozen
class Explain:
    """Show the events of a request."""

    request_id: str
    host: str | None


@attrs.frozen
class Schema:
    """Show the fields of a document."""


Command = Check | Publish | Diff | Status | Drain | Explain | Schema


async def run_command(
    command: Command, environment: Mapping[str, str], clock: Clock
) -> Report:
    """Run a command and report its outcome."""
    match command:
        case Check(file=file):
            parsed = _read_file(file)
            if isinstance(parsed, Err):
                return presentation.present_failure(parsed.err_value)
            return presentation.present_check(parsed.ok_value)
        case Schema():
            return presentation.present_schema()
    argument = command.host
    if isinstance(command, Drain) and "://" in command.target:
        argument = command.target
    client = _make_client(argument, environment)
    if isinstance(client, Err):
        return presentation.present_failure(client.err_value)
    match command:
        case Publish():
            return await _publish(client.ok_value, command, environment)
        case Diff(file=file):
            return await _diff(client.ok_value, file)
        case Status():
            status = await client.ok_value.get_status()
            if isinstance(status, Err):
                return presentation.present_failure(status.err_value)
            return presentation.present_status(status.ok_value, clock.now())
        case Drain(target=target):
            return await _drain(client.ok_value, target)
        case Explain(request_id=request_id):
            history = await client.ok_value.get_request(request_id)
            if isinstance(history, Err):
                return presentation.present_failure(history.err_value)
            return presentation.present_history(history.ok_value)


async def _publish(
    client: OperatorClient, command: Publish, environment: Mapping[str, str]
) -> Report:
    parsed = _read_file(command.file)
    if isinstance(parsed, Err):
        return presentation.present_failure(parsed.err_value)
    document = parsed.ok_value
    base = await _resolve_base_revision(client, document, command.base_revision)
    if isinstance(base, Err):
        return presentation.present_failure(base.err_value)
    author = command.author or environment.get("USER") or "unknown"
    published = await client.put_document(
        document.service, to_json(document), base.ok_value, author
    )
    if isinstance(published, Err):
        return presentation.present_failure(published.err_value)
    revision = published.ok_value.revision
    return presentation.present_publication(document.service, revision)


async def _resolve_base_revision(
    client: OperatorClient, document: ServiceDocument, argument: str | None
) -> Result[int, Failure]:
    if argument is None:
        current = await _get_published(client, document)
        if isinstance(current, Err):
            return current
        return Ok(current.ok_value.revision if current.ok_value else 0)
    if not (argument.isascii() and argument.isdecimal()):
        return _make_field_invalid(
            "--base-revision", argument, "a revision, or 0 for none"
        )
    return Ok(int(argument))


async def _get_published(
    client: OperatorClient, document: ServiceDocument
) -> Result[PublishedDocument | None, Failure]:
    """Return the published document, or None if the service has none."""
    found = await client.get_document(document.service)
    match found:
        case Err(Refused(status=status)) if status == NOT_FOUND_STATUS:
            return Ok(None)
        case Err(failure):
            return Err(failure)
        case Ok(current):
            return Ok(current)
    raise AssertionError(found)


async def _diff(client: OperatorClient, file: str) -> Report:
    parsed = _read_file(file)
    if isinstance(parsed, Err):
        return presentation.present_failure(parsed.err_value)
    new = parsed.ok_value
    current = await _get_published(client, new)
    if isinstance(current, Err):
        return presentation.present_failure(current.err_value)
    if current.ok_value is None:
        return presentation.present_changes(new.service, 0, ())
    text = current.ok_value.document
    if not isinstance(text, str):
        text = json.dumps(text)
    old = read_document(text, "published document")
    if isinstance(old, Err):
        return presentation.present_failure(old.err_value)
    changes: tuple[Change, ...] = diff_documents(old.ok_value, new)
    return presentation.present_changes(new.service, current.ok_value.revision, changes)


async def _drain(client: OperatorClient, target: str) -> Report:
    is_host = "://" in target
    drained = await (client.drain_host() if is_host else client.drain_upstream(target))
    if isinstance(drained, Err):
        return presentation.present_failure(drained.err_value)
    return presentation.present_drain(target, drained.ok_value)


def _read_file(file: str) -> Result[ServiceDocument, FieldInvalid]:
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return _make_field_invalid(
            "FILE", type(error).__name__, "a readable UTF-8 file", file
        )
    parsed = read_document(text, file)
    if isinstance(parsed, Err):
        return Err(parsed.err_value)
    return Ok(parsed.ok_value)


def _make_client(
    argument: str | None, environment: Mapping[str, str]
) -> Result[OperatorClient, FieldInvalid]:
    host = argument or environment.get(HOST_VARIABLE, "")
    try:
        parts = urlsplit(host)
        valid = parts.scheme in ("http", "https") and bool(parts.hostname)
        valid = valid and parts.port != 0 and not parts.username
    except ValueError:
        valid = False
    if not valid:
        allowed = f"a URL such as http://127.0.0.1:8080, here or in {HOST_VARIABLE}"
        # A URL with credentials is invalid, and the report must not contain them.
        found = "hidden" if "@" in host else host
        return _make_field_invalid("--host", found or "missing", allowed)
    key = environment.get(KEY_VARIABLE, "")
    if not key or not key.isascii() or not key.isprintable() or " " in key:
        # The report omits the value, because it may be a real key with a typing error.
        state = "unusable" if key else "missing"
        return _make_field_invalid(
            KEY_VARIABLE, state, "the operator key", "environment"
        )
    return Ok(OperatorClient(host, key))


def _make_field_invalid(
    field: str, value: str, allowed: str, source: str = "command line"
) -> Err[FieldInvalid]:
    return Err(FieldInvalid(source=source, field=field, value=value, allowed=allowed))
