"""Replies of the operator interface, and the failures of a call to it."""

import typing
from typing import Any, TypeVar

import attrs
from result import Result

from waxwingbarrow.core import Failure, FieldInvalid, ServiceName, read_data
from waxwingbarrow.rollout import Move

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class ServiceLine:
    """A service in force on a host."""

    service: ServiceName
    revision: int
    author: str = ""
    accounts: Any = 0


@attrs.frozen(kw_only=True)
class UpstreamLine:
    """An upstream as a host sees it."""

    upstream: str
    service: str
    version: str
    state: str
    in_flight: int = 0


@attrs.frozen(kw_only=True)
class HostStatus:
    """Reply to ``GET /v1/operator/status``.

    `peers` and `accounts` are numbers or lists; only their count is shown.
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
    """Reply to the drain paths."""

    state: str


@attrs.frozen(kw_only=True)
class RequestEvent:
    """One step of a request."""

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
    """No usable answer came from the host.

    `may_have_run` is true if the call may have taken effect all the same.
    """

    host: str
    reason: str
    may_have_run: bool = False

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return f"{self.host}: {self.reason}."


@attrs.frozen(kw_only=True)
class Refused(Failure):
    """The host answered with a problem document."""

    status: int
    title: str = ""
    reason: str = ""
    winner_offset: int | None = None
    winner_author: str | None = None

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return self.reason or self.title or f"The host answered {self.status}."


CallFailure = Unreachable | Refused


def read_reply(data: Any, kind: type[T]) -> Result[T, FieldInvalid]:
    """Read a reply; fields of a newer host that are not known here are left out."""
    return read_data(_keep_known(data, kind), kind, "reply")


def _keep_known(data: Any, kind: Any) -> Any:
    if typing.get_origin(kind) is tuple and isinstance(data, list):
        item = typing.get_args(kind)[0]
        return [_keep_known(one, item) for one in data]
    if not (isinstance(kind, type) and attrs.has(kind) and isinstance(data, dict)):
        return data
    attrs.resolve_types(kind)
    known = {attribute.name: attribute.type for attribute in attrs.fields(kind)}
    return {
        name: _keep_known(value, known[name])
        for name, value in data.items()
        if name in known
    }
