"""HTTP interface for operators."""

from collections.abc import Sequence
from typing import Protocol

from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route as HttpRoute

from waxwingbarrow.core import (
    InvalidRequest,
    Refusal,
    RequestId,
    ServiceName,
    Unauthenticated,
    UnknownService,
    UpstreamId,
    to_problem,
    write_data,
)
from waxwingbarrow.daemon._accounts import is_known_key, read_bearer
from waxwingbarrow.daemon._control import (
    Configuration,
    PublicationConflict,
    RevisionConflict,
)
from waxwingbarrow.daemon._problems import PROBLEM_MEDIA_TYPE, make_problem_response
from waxwingbarrow.daemon._status import HostStatus
from waxwingbarrow.daemon._trace import TraceEvent

MAX_AUTHOR_CHARS = 64


class OperatedHost(Protocol):
    """Operations of a host that operators can call."""

    def read_status(self) -> HostStatus:
        """Return the status of the host."""
        ...

    def find_configuration(self, service: ServiceName) -> Configuration | None:
        """Return the document in force."""
        ...

    def find_trace(self, request_id: RequestId) -> tuple[TraceEvent, ...]:
        """Return the events of a request."""
        ...

    async def publish(
        self, service: ServiceName, text: str, base_revision: int | None, author: str
    ) -> Result[int, Refusal | RevisionConflict]:
        """Publish a service document."""
        ...

    def drain_upstream(self, upstream: UpstreamId) -> bool:
        """Send no new work to an upstream; return whether it is known."""
        ...

    def drain(self) -> None:
        """Begin a graceful shutdown of the host."""
        ...


class OperatorEndpoints:
    """HTTP endpoints for operators; each request needs an operator key.

    Parameters
    ----------
    host : OperatedHost
        Host that the endpoints operate on.
    key_hashes : Sequence[str]
        Hashes of the accepted operator keys.
    max_body_bytes : int
        Largest accepted document in bytes.
    """

    def __init__(
        self, host: OperatedHost, key_hashes: Sequence[str], max_body_bytes: int
    ) -> None:
        self._host = host
        self._key_hashes = key_hashes
        self._max_body_bytes = max_body_bytes

    def list_routes(self) -> list[HttpRoute]:
        """Return the routes of the HTTP application."""
        base = "/v1/operator"
        return [
            HttpRoute(f"{base}/status", self.read_status),
            HttpRoute(f"{base}/documents/{{service}}", self.read_document),
            HttpRoute(
                f"{base}/documents/{{service}}", self.put_document, methods=["PUT"]
            ),
            HttpRoute(f"{base}/requests/{{request_id}}", self.read_request),
            HttpRoute(f"{base}/drain", self.drain, methods=["POST"]),
            HttpRoute(
                f"{base}/upstreams/{{upstream}}/drain",
                self.drain_upstream,
                methods=["POST"],
            ),
        ]

    async def read_status(self, request: Request) -> Response:
        """Return the host's status."""
        refusal = self._check_key(request)
        if refusal is not None:
            return refusal
        return JSONResponse(write_data(self._host.read_status()))

    async def read_document(self, request: Request) -> Response:
        """Return the document in force for a service."""
        refusal = self._check_key(request)
        if refusal is not None:
            return refusal
        service = ServiceName(request.path_params["service"])
        found = self._host.find_configuration(service)
        if found is None:
            return _make_refusal_response(UnknownService(), request)
        return JSONResponse(
            {
                "revision": found.revision,
                "author": found.author,
                "document": write_data(found.document),
            }
        )

    async def put_document(self, request: Request) -> Response:
        """Publish a document if the revision that the operator edited is in force."""
        refusal = self._check_key(request)
        if refusal is not None:
            return refusal
        arguments = _read_publication_parameters(request)
        if isinstance(arguments, Err):
            return _make_refusal_response(arguments.err_value, request)
        base_revision, author = arguments.ok_value
        body = await request.body()
        if len(body) > self._max_body_bytes:
            reason = f"The document exceeds {self._max_body_bytes} bytes."
            return _make_refusal_response(InvalidRequest(reason=reason), request)
        service = ServiceName(request.path_params["service"])
        text = body.decode(errors="replace")
        published = await self._host.publish(service, text, base_revision, author)
        match published:
            case Ok(revision):
                return JSONResponse({"revision": revision})
            case Err(RevisionConflict() as conflict):
                return _make_conflict_response(conflict, request)
            case Err(InvalidRequest() as invalid):
                problem = to_problem(invalid, request.url.path) | {"status": 422}
                return JSONResponse(problem, 422, media_type=PROBLEM_MEDIA_TYPE)
            case Err(other):
                assert isinstance(other, Refusal)
                return _make_refusal_response(other, request)
        raise AssertionError("A result is either Ok or Err.")

    async def read_request(self, request: Request) -> Response:
        """Return the events of a request that this host served."""
        refusal = self._check_key(request)
        if refusal is not None:
            return refusal
        request_id = RequestId(request.path_params["request_id"])
        events = self._host.find_trace(request_id)
        if not events:
            problem = {
                "type": "urn:waxwingbarrow:problem:unknown-request",
                "title": "The host has no events of this request",
                "status": 404,
            }
            return JSONResponse(problem, 404, media_type=PROBLEM_MEDIA_TYPE)
        return JSONResponse(
            {"request_id": request_id, "events": [write_data(one) for one in events]}
        )

    async def drain(self, request: Request) -> Response:
        """Begin a graceful shutdown."""
        refusal = self._check_key(request)
        if refusal is not None:
            return refusal
        self._host.drain()
        return JSONResponse({"state": "draining"}, 202)

    async def drain_upstream(self, request: Request) -> Response:
        """Send no new work to an upstream."""
        refusal = self._check_key(request)
        if refusal is not None:
            return refusal
        upstream = UpstreamId(request.path_params["upstream"])
        if not self._host.drain_upstream(upstream):
            problem = {
                "type": "urn:waxwingbarrow:problem:unknown-upstream",
                "title": "No such upstream",
                "status": 404,
            }
            return JSONResponse(problem, 404, media_type=PROBLEM_MEDIA_TYPE)
        return JSONResponse({"state": "leaving"}, 202)

    def _check_key(self, request: Request) -> Response | None:
        bearer = read_bearer(request.headers.get("authorization"))
        if isinstance(bearer, Err):
            return _make_refusal_response(bearer.err_value, request)
        if not is_known_key(bearer.ok_value, self._key_hashes):
            reason = "The operator key is unknown."
            return _make_refusal_response(Unauthenticated(reason=reason), request)
        return None


def _read_publication_parameters(
    request: Request,
) -> Result[tuple[int | None, str], InvalidRequest]:
    base = request.query_params.get("base_revision")
    if base is not None and not base.isdecimal():
        reason = f"The parameter base_revision is {base[:40]!r}; allowed is a number."
        return Err(InvalidRequest(reason=reason))
    author = request.query_params.get("author", "operator")
    if not 1 <= len(author) <= MAX_AUTHOR_CHARS or not author.isprintable():
        reason = f"The parameter author allows 1 to {MAX_AUTHOR_CHARS} characters."
        return Err(InvalidRequest(reason=reason))
    return Ok((int(base) if base is not None else None, author))


def _make_refusal_response(refusal: Refusal, request: Request) -> Response:
    return make_problem_response(refusal, request.url.path)


def _make_conflict_response(conflict: RevisionConflict, request: Request) -> Response:
    reason = f"Offset {conflict.winner_offset} by {conflict.winner_author} came first."
    conflict_refusal = PublicationConflict(reason=reason)
    problem = to_problem(conflict_refusal, request.url.path) | {
        "winner_offset": conflict.winner_offset,
        "winner_author": conflict.winner_author,
    }
    return JSONResponse(problem, conflict_refusal.status, media_type=PROBLEM_MEDIA_TYPE)
