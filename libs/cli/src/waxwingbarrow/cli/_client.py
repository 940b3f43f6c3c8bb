"""HTTP client of the operator interface."""

import json
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import aiosonic
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts
from result import Err, Ok, Result

from waxwingbarrow.cli._replies import (
    CallFailure,
    DrainState,
    HostStatus,
    Publication,
    PublishedDocument,
    Refused,
    RequestHistory,
    Unreachable,
    read_reply,
)
from waxwingbarrow.core import ServiceName

T = TypeVar("T")
CONNECT_TIMEOUT_S = 5.0
# A publication waits until its record is in the log, whose appends are batched and may
# be slow.
REQUEST_TIMEOUT_S = 20.0


class OperatorClient:
    """Calls the operator interface of one host.

    Parameters
    ----------
    host : str
        Base URL of the host, such as ``http://127.0.0.1:8080``.
    key : str
        Operator key, sent as a bearer token. No failure contains it.
    """

    def __init__(self, host: str, key: str) -> None:
        self._host = host.rstrip("/")
        self._headers = {"Authorization": f"Bearer {key}"}
        self._timeouts = Timeouts(
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=REQUEST_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
        )

    async def get_status(self) -> Result[HostStatus, CallFailure]:
        """Return the host's view of the deployment."""
        return await self._call("GET", "status", HostStatus)

    async def get_document(
        self, service: ServiceName
    ) -> Result[PublishedDocument, CallFailure]:
        """Return the document that is in force for a service."""
        path = f"documents/{quote(service, safe='')}"
        return await self._call("GET", path, PublishedDocument)

    async def put_document(
        self, service: ServiceName, text: str, base_revision: int, author: str
    ) -> Result[Publication, CallFailure]:
        """Publish a document that replaces revision `base_revision`."""
        query = urlencode({"base_revision": base_revision, "author": author})
        path = f"documents/{quote(service, safe='')}?{query}"
        return await self._call("PUT", path, Publication, text)

    async def drain_host(self) -> Result[DrainState, CallFailure]:
        """Ask the host to finish its requests and stop."""
        return await self._call("POST", "drain", DrainState)

    async def drain_upstream(self, upstream: str) -> Result[DrainState, CallFailure]:
        """Ask the host to send no new requests to an upstream."""
        path = f"upstreams/{quote(upstream, safe='')}/drain"
        return await self._call("POST", path, DrainState)

    async def get_request(self, request_id: str) -> Result[RequestHistory, CallFailure]:
        """Return the events of a request that the host has recorded."""
        path = f"requests/{quote(request_id, safe='')}"
        return await self._call("GET", path, RequestHistory)

    async def _call(
        self, method: str, path: str, reply_class: type[T], body: str = ""
    ) -> Result[T, CallFailure]:
        headers = dict(self._headers)
        if body:
            headers["Content-Type"] = "application/json"
        try:
            async with aiosonic.HTTPClient() as client:
                response = await client.request(
                    f"{self._host}/v1/operator/{path}",
                    method=method,
                    headers=headers,
                    data=body.encode() if body else None,
                    timeouts=self._timeouts,
                    follow=False,  # a redirect would send the key to another host
                )
                status = int(response.status_code)
                content = await response.content()
        except (TimeoutError, AiosonicError, OSError, ValueError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            may_have_taken_effect = method != "GET" and not refused
            return self._make_unreachable(_describe_error(error), may_have_taken_effect)
        try:
            data = json.loads(content)
        except (ValueError, RecursionError):
            data = None
        if not 200 <= status < 300:
            return Err(_parse_problem(status, data))
        parsed = read_reply(data, reply_class)
        if isinstance(parsed, Err):
            field = parsed.err_value.field or "the reply"
            reason = f"{field} is not {parsed.err_value.allowed}"
            return self._make_unreachable(reason, method != "GET")
        return Ok(parsed.ok_value)

    def _make_unreachable(self, reason: str, may_have_run: bool) -> Err[CallFailure]:
        return Err(
            Unreachable(host=self._host, reason=reason, may_have_run=may_have_run)
        )


def _describe_error(error: Exception) -> str:
    """Describe an error by its type; its message may contain the request's headers."""
    match error:
        case ConnectionRefusedError():
            return "connection refused"
        case AiosonicError() if "Timeout" in type(error).__name__:
            return "no answer in time"
        case TimeoutError():
            return "no answer in time"
        case _:
            return f"no connection ({type(error).__name__})"


def _parse_problem(status: int, data: Any) -> Refused:
    members = data if isinstance(data, dict) else {}

    def get_text(name: str) -> str:
        value = members.get(name)
        return value if isinstance(value, str) else ""

    offset = members.get("winner_offset")
    return Refused(
        status=status,
        title=get_text("title"),
        reason=get_text("detail"),
        winner_offset=offset if isinstance(offset, int) else None,
        winner_author=get_text("winner_author") or None,
    )
