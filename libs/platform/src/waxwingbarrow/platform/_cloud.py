"""Interface of the cloud API and its HTTP client."""

from typing import Any, Protocol
from urllib.parse import quote

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import DataCentre, HostId, Zone
from waxwingbarrow.platform._failures import (
    ChangeFailure,
    NotSent,
    ReadFailure,
    Refused,
    Unsettled,
)
from waxwingbarrow.platform._http import HttpResponse, HttpSession
from waxwingbarrow.platform._responses import parse_response, read_known_fields


@attrs.frozen(kw_only=True)
class InstanceRequest:
    """Request to start one host.

    Parameters
    ----------
    request_id : str
        Idempotency key: repeating a request never starts a second host.
    kind : str
        Kind of instance: ``reclaimable`` or ``on_demand``.
    data_centre, zone : str
        Location of the new host.
    """

    request_id: str
    kind: str
    data_centre: DataCentre
    zone: Zone


@attrs.frozen(kw_only=True)
class ReclaimNotice:
    """Notice that the cloud is about to reclaim a host.

    Parameters
    ----------
    number : int
        Sequence number of the notice.
    host : HostId
        Host to be reclaimed.
    leave_by_ms : int
        Wall-clock time by which the host is gone, in milliseconds since the Unix epoch.
    incarnation : str
        Incarnation of the host that is reclaimed; empty if not stated.
    """

    number: int
    host: HostId
    leave_by_ms: int
    incarnation: str = ""


@attrs.frozen
class ReclaimNoticePage:
    """Consecutive notices, and the number from which to read next."""

    next: int
    notices: tuple[ReclaimNotice, ...]


class CloudClient(Protocol):
    """Cloud API: starts and stops hosts and lists reclaim notices."""

    async def start(self, request: InstanceRequest) -> Result[str, ChangeFailure]:
        """Start a host and return the instance id."""
        ...

    async def stop(self, instance: str) -> Result[None, ChangeFailure]:
        """Stop a host; succeeds if the host no longer exists."""
        ...

    async def read_notices(
        self, from_number: int
    ) -> Result[ReclaimNoticePage, ReadFailure]:
        """Read the reclaim notices from number `from_number` on."""
        ...


class HttpCloudClient:
    """Cloud API client over HTTP.

    Parameters
    ----------
    session : HttpSession
        HTTP session with the connection pool.
    address : str
        Address of the platform as ``host:port``.
    timeout_ms : int
        Time limit of one exchange.
    """

    def __init__(
        self, session: HttpSession, address: str, timeout_ms: int = 2_000
    ) -> None:
        self._session = session
        self._base_url = f"http://{address}/v1"
        self._timeout_ms = timeout_ms

    async def start(self, request: InstanceRequest) -> Result[str, ChangeFailure]:
        """Start a host and return the instance id."""
        response = await self._request_change(
            "POST", "/instances", attrs.asdict(request)
        )
        match response:
            case Ok(HttpResponse() as success):
                instance = (success.read_json_object() or {}).get("instance")
                if isinstance(instance, str):
                    return Ok(instance)
                return Err(Unsettled(f"no instance id in {success.describe()}"))
            case Err(failure):
                return Err(failure)

    async def stop(self, instance: str) -> Result[None, ChangeFailure]:
        """Stop a host; succeeds if the host no longer exists."""
        path = f"/instances/{quote(instance, safe='')}"
        match await self._request_change("DELETE", path):
            case Err(Refused(status=status)) if status in (404, 410):
                return Ok(None)
            case Err(failure):
                return Err(failure)
            case _:
                return Ok(None)

    async def read_notices(
        self, from_number: int
    ) -> Result[ReclaimNoticePage, ReadFailure]:
        """Read the reclaim notices from number `from_number` on."""
        response = await self._session.request(
            "GET",
            f"{self._base_url}/notices?from={from_number}",
            timeout_ms=self._timeout_ms,
        )
        return parse_response(
            response, lambda data: read_known_fields(data, ReclaimNoticePage, "notices")
        )

    async def _request_change(
        self, method: str, path: str, payload: Any = None
    ) -> Result[HttpResponse, ChangeFailure]:
        match await self._session.request(
            method, self._base_url + path, payload=payload, timeout_ms=self._timeout_ms
        ):
            case Ok(response) if 200 <= response.status < 300:
                return Ok(response)
            case Ok(response):
                return Err(_classify_error_response(response))
            case Err(failure) if failure.certainly_not_sent:
                return Err(NotSent(failure.reason))
            case Err(failure):
                return Err(Unsettled(failure.reason))


def _classify_error_response(response: HttpResponse) -> ChangeFailure:
    data = response.read_json_object() or {}
    if response.status == 429 or data.get("in_effect") is False:
        return NotSent(response.describe(), response.read_retry_after_s())
    if 400 <= response.status < 500 and response.status != 408:
        return Refused(response.status, response.describe())
    return Unsettled(response.describe())
