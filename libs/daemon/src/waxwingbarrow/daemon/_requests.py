"""Validation of headers and bodies of callers' requests."""

import uuid
from collections.abc import Mapping
from typing import Any

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import (
    AccountId,
    ClassNotAllowed,
    FieldInvalid,
    Instant,
    InvalidRequest,
    PriorityClass,
    Refusal,
    RequestId,
    ServiceName,
    UnknownRoute,
    in_range,
    parse_json,
    read_json,
)
from waxwingbarrow.daemon._accounts import find_account
from waxwingbarrow.document import Route, ServiceDocument

MAX_REQUEST_ID_CHARS = 128
MAX_DEADLINE_MS = 3_600_000


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request whose headers are valid.

    Parameters
    ----------
    first_attempt : bool
        Whether the caller declares that it has not sent this request before.
    deadline_mono_ms : int
        Deadline for the answer, on this host's monotonic clock.
    key : str or None
        Value of the header ``Idempotency-Key``; None if the header is missing.
    """

    request_id: RequestId
    service: ServiceName
    account: AccountId
    route: Route
    priority_class: PriorityClass
    received: Instant
    deadline_mono_ms: int
    key: str | None
    first_attempt: bool
    body: bytes


@attrs.frozen(kw_only=True)
class PromptBody:
    """Body of a request to a model service.

    Parameters
    ----------
    max_tokens : int
        Largest number of tokens to generate; the limit of the route applies as well.
    stream : bool
        Whether the answer is an event stream; otherwise it is one JSON object.
    """

    prompt: str
    max_tokens: int = attrs.field(default=256, validator=in_range(1, 65_536, "tokens"))
    stream: bool = True


@attrs.frozen(kw_only=True)
class ResumeBody:
    """Body of a request to resume a stream.

    `prompt` and `text` are needed only if the engine no longer has the stream: the
    rest of the answer is then generated from them. The token contains all other data.

    Parameters
    ----------
    token : str
        Resume token of the stream.
    from_index : int
        Index of the first token that the caller has not received.
    text : str or None
        Text of the tokens that the caller has received.
    """

    token: str
    from_index: int = attrs.field(validator=in_range(0, 10_000_000))
    prompt: str | None = None
    text: str | None = None


def read_request(
    headers: Mapping[str, str],
    body: bytes,
    document: ServiceDocument,
    route_name: str,
    now: Instant,
) -> Result[CallerRequest, Refusal]:
    """Validate a request's headers against the service document."""
    account = find_account(document, headers.get("authorization"))
    if account.is_err():
        return Err(account.unwrap_err())
    grant = account.unwrap()
    route = next((item for item in document.routes if item.route == route_name), None)
    if route is None:
        return Err(UnknownRoute(reason=f"The service has no route {route_name!r}."))
    priority_class = _read_class(headers, route)
    if priority_class.is_err():
        return Err(priority_class.unwrap_err())
    if priority_class.unwrap() not in grant.classes:
        return Err(
            ClassNotAllowed(
                reason=f"The account may not use class {priority_class.unwrap()}."
            )
        )
    deadline_ms = _read_deadline_ms(headers, route)
    if deadline_ms.is_err():
        return Err(deadline_ms.unwrap_err())
    request_id = _read_request_id(headers)
    if request_id.is_err():
        return Err(request_id.unwrap_err())
    attempt = headers.get("idempotency-attempt")
    if attempt is not None and not attempt.isdecimal():
        return Err(_invalid_header("Idempotency-Attempt", attempt, "a whole number"))
    return Ok(
        CallerRequest(
            request_id=request_id.unwrap(),
            service=document.service,
            account=grant.account,
            route=route,
            priority_class=priority_class.unwrap(),
            received=now,
            deadline_mono_ms=now.mono_ms + deadline_ms.unwrap(),
            key=headers.get("idempotency-key"),
            first_attempt=attempt is not None and int(attempt) == 1,
            body=body,
        )
    )


def read_body(body: bytes, kind: type[Any]) -> Result[Any, InvalidRequest]:
    """Parse a JSON body into an instance of the attrs class `kind`."""
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return Err(InvalidRequest(reason="The body is not UTF-8 text."))

    def refuse(failure: FieldInvalid) -> InvalidRequest:
        return InvalidRequest(reason=failure.detail)

    return read_json(text, kind, "body").map_err(refuse)


def check_json(body: bytes) -> Result[None, InvalidRequest]:
    """Check that the body of a call to a plain service is JSON."""
    try:
        parse_json(body)
    except ValueError as error:
        return Err(InvalidRequest(reason=f"The body is not JSON: {error}."))
    return Ok(None)


def _read_class(
    headers: Mapping[str, str], route: Route
) -> Result[PriorityClass, InvalidRequest]:
    text = headers.get("priority-class")
    if text is None:
        return Ok(route.priority_class)
    try:
        return Ok(PriorityClass(text))
    except ValueError:
        names = ", ".join(PriorityClass)
        return Err(_invalid_header("Priority-Class", text, f"one of {names}"))


def _read_deadline_ms(
    headers: Mapping[str, str], route: Route
) -> Result[int, InvalidRequest]:
    text = headers.get("deadline-ms")
    if text is None:
        return Ok(route.deadline_ms)
    if not text.isdecimal() or not 1 <= int(text) <= MAX_DEADLINE_MS:
        return Err(_invalid_header("Deadline-Ms", text, f"1 to {MAX_DEADLINE_MS} ms"))
    return Ok(int(text))


def _read_request_id(
    headers: Mapping[str, str],
) -> Result[RequestId, InvalidRequest]:
    text = headers.get("request-id")
    if text is None:
        return Ok(RequestId(str(uuid.uuid4())))
    if not 1 <= len(text) <= MAX_REQUEST_ID_CHARS or not text.isprintable():
        allowed = f"1 to {MAX_REQUEST_ID_CHARS} printable characters"
        return Err(_invalid_header("Request-Id", text, allowed))
    return Ok(RequestId(text))


def _invalid_header(name: str, value: str, allowed: str) -> InvalidRequest:
    shown = value if len(value) <= 40 else value[:37] + "..."
    return InvalidRequest(
        reason=f"The header {name} is {shown!r}; allowed is {allowed}."
    )
