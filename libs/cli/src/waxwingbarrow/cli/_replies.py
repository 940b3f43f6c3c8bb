"""Replies of the operator interface and failures of calls to it."""

import typing
from typing import Any, TypeVar

import attrs
from result import Result

from waxwingbarrow.core import Failure, FieldInvalid, ServiceName, read_data
from waxwingbarrow.rollout import Move

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class ServiceLine:
    """A service whose document is in force on a host."""

    service: ServiceName
    revision: int
    author: str = ""
    accounts: Any = 0


@attrs.frozen(kw_only=True)
class UpstreamLine:
    """State of an upstream according to a host."""

    upstream: str
    service: str
    version: str
    state: str
    in_flight: int = 0


@attrs.frozen(kw_only=True)
class HostStatus:
    """Reply to ``GET /v1/operator/status``.

    `peers`, and `accounts` of each service, are a number or a list; only the count is
    shown.
    """

    host: str
    data_centre: str
    lifecycle: str
    control_offset: int | None = None
    log_lag_s: float | None = None
    peers: Any = 0
    services: tuple[ServiceLine, ...] = ()
    moves: tuple[Move, ...] = ()
    upstreams: tuple[UpstreamLine, ...] = ()


@attrs.frozen(kw_only=True)
class PublishedDocument:
    """Reply to ``GET /v1/operator/documents/{service}``."""

    revision: int
    author: str
    document: Any


@attrs.frozen(kw_only=True)
class Publication:
    """Reply to ``PUT /v1/operator/documents/{service}``."""

    revision: int


@attrs.frozen(kw_only=True)
class DrainState:
    """Reply to a drain request for a host or an upstream."""

    state: str


@attrs.frozen(kw_only=True)
class RequestEvent:
    """One event in the history of a request.

    Parameters
    ----------
    at_ms : int
        Wall-clock time of the event, in milliseconds since the Unix epoch.
    event : str
        Kind of event.
    detail : str
        Description of this event; empty if there is none.
    """

    at_ms: int
    event: str
    detail: str = ""


@attrs.frozen(kw_only=True)
class RequestHistory:
    """Reply to ``GET /v1/operator/requests/{id}``."""

    request_id: str
    events: tuple[RequestEvent, ...]


@attrs.frozen(kw_only=True)
class Unreachable(Failure):
    """The host could not be reached or sent no valid response.

    `may_have_run` is true if the call may have taken effect nevertheless.
    """

    host: str
    reason: str
    may_have_run: bool = False

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"{self.host}: {self.reason}."


@attrs.frozen(kw_only=True)
class Refused(Failure):
    """The host responded with an error status, usually with a problem document.

    Parameters
    ----------
    status : int
        HTTP status.
    title, reason : str
        Title and detail of the problem document.
    winner_offset, winner_author : int or None, str or None
        Revision and author of the publication that came first, after a conflict.
    """

    status: int
    title: str = ""
    reason: str = ""
    winner_offset: int | None = None
    winner_author: str | None = None

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return self.reason or self.title or f"The host answered {self.status}."


CallFailure = Unreachable | Refused


def read_reply(data: Any, kind: type[T]) -> Result[T, FieldInvalid]:
    """Read a reply, ignoring unknown fields, which a newer host may send."""
    return read_data(_drop_unknown_fields(data, kind), kind, "reply")


def _drop_unknown_fields(data: Any, kind: Any) -> Any:
    if typing.get_origin(kind) is tuple and isinstance(data, list):
        item_type = typing.get_args(kind)[0]
        return [_drop_unknown_fields(item, item_type) for item in data]
    if not (isinstance(kind, type) and attrs.has(kind) and isinstance(data, dict)):
        return data
    attrs.resolve_types(kind)
    field_types = {attribute.name: attribute.type for attribute in attrs.fields(kind)}
    return {
        name: _drop_unknown_fields(value, field_types[name])
        for name, value in data.items()
        if name in field_types
    }
