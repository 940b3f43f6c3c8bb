"""HTTP client for plain services."""

from collections.abc import Mapping
from urllib.parse import quote

import attrs
from result import Err, Ok, Result

from waxwingbarrow.platform import HttpSession
from waxwingbarrow.upstreams._address import UpstreamAddress
from waxwingbarrow.upstreams._failures import (
    UpstreamFailure,
    from_http_failure,
    is_leaving,
    make_rejected,
)
from waxwingbarrow.upstreams._load import LoadReport, read_load_header


@attrs.frozen(kw_only=True)
class PlainCall:
    """One request to a plain service.

    Parameters
    ----------
    operation : str
        Name of the operation, the last part of the URL path.
    request_id, attempt_id : str
        Identities of the request and of this attempt.
    body : bytes
        Complete body.
    content_type : str
        Media type of the body.
    """

    operation: str
    request_id: str
    attempt_id: str
    body: bytes = b""
    content_type: str = "application/json"


@attrs.frozen(kw_only=True)
class PlainAnswer:
    """Successful answer of a plain service.

    Parameters
    ----------
    status : int
        HTTP status, 200 to 299.
    content_type : str
        Media type of the body.
    body : bytes
        Complete body.
    leaving : bool
        Whether the service reports that it is leaving.
    load : LoadReport or None
        Load report of the service, if present.
    """

    status: int
    content_type: str
    body: bytes
    leaving: bool
    load: LoadReport | None


class ServiceClient:
    """Calls the HTTP API of plain services.

    Each call uses a connection of its own. On a reused connection a request can
    coincide with the server's idle timeout, and it is then unknown whether it ran.

    Parameters
    ----------
    caller : str
        Value of the ``Caller`` header; if empty, the header is not sent.
    connect_timeout_ms : int
        Time limit for establishing a connection.
    max_connections : int
        Limit of concurrent calls.
    """

    def __init__(
        self,
        *,
        caller: str = "",
        connect_timeout_ms: int = 1_000,
        max_connections: int = 256,
    ) -> None:
        self._session = HttpSession(
            caller=caller,
            connect_timeout_ms=connect_timeout_ms,
            max_connections=max_connections,
            keep_alive=False,
        )

    async def call(
        self, target: UpstreamAddress, call: PlainCall, timeout_ms: int
    ) -> Result[PlainAnswer, UpstreamFailure]:
        """Send a request once, without retries.

        Returns
        -------
        Result
            The answer, or the failure. After ``Rejected`` the request may have run,
            because a service may fail after its work.
        """
        headers: Mapping[str, str] = {
            "Request-Id": call.request_id,
            "Attempt-Id": call.attempt_id,
            "Content-Type": call.content_type,
        }
        match await self._session.request(
            "POST",
            target.make_url(f"/v1/calls/{quote(call.operation, safe='')}"),
            body=call.body,
            headers=headers,
            timeout_ms=timeout_ms,
        ):
            case Ok(answer) if 200 <= answer.status < 300:
                return Ok(
                    PlainAnswer(
                        status=answer.status,
                        content_type=answer.headers.get("content-type", ""),
                        body=answer.body,
                        leaving=is_leaving(answer.headers),
                        load=read_load_header(answer.headers),
                    )
                )
            case Ok(answer):
                return Err(
                    make_rejected(
                        answer.status,
                        answer.headers,
                        answer.body,
                        answer.read_retry_after_s(),
                    )
                )
            case Err(failure):
                return Err(from_http_failure(failure))

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()
