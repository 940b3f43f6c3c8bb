"""Interface of the cloud API and its HTTP client."""

from typing import Any, Protocol
from urllib.parse import quote

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import DataCentre, HostId, Zone
from waxwingbarrow.platform._answers import read_answer, read_known
from waxwingbarrow.platform._failures import (
    ChangeFailure,
    NotSent,
    ReadFailure,
    Refused,
    Unsettled,
)
from waxwingbarrow.platform._http import HttpResponse, HttpSession


@attrs.frozen(kw_only=True)
class InstanceRequest:
    """Request for one host.

    Parameters
    ----------
    request_id : str
        Identity; the same id never starts a second host.
    kind : str
        ``reclaimable`` or ``on_demand``.
    data_centre, zone : str
        Where to start it.
    """

    request_id: str
    kind: str
    data_centre: DataCentre
    zone: Zone


@attrs.frozen(kw_only=True)
class ReclaimNotice:
    """Announcement that the cloud reclaims a host.

    Parameters
    ----------
    number : int
        Consecutive number.
    host : HostId
        The host.
    leave_by_ms : int
        Wall time by which the host is gone.
    incarnation : str
        Run of the host that is meant; empty if not stated.
    """

    number: int
    host: HostId
    leave_by_ms: int
    incarnation: str = ""


@attrs.frozen
class ReclaimNoticePage:
    """Notices from a number on, and the number to go on with."""

    next: int
    notices: tuple[ReclaimNotice, ...]


class CloudClient(Protocol):
    """Starts and stops hosts and announces reclaims."""

    async def start(self, request: InstanceRequest) -> Result[str, ChangeFailure]:
        """Start a host and return the instance id."""
        ...

    async def stop(self, instance: str) -> Result[None, ChangeFailure]:
        """Stop a host; stopping one that is gone succeeds."""
        ...

    async def read_notices(
        self, from_number: int
    ) -> Result[ReclaimNoticePage, ReadFailure]:
        """Read the reclaim notices from a number on."""
        ...


class HttpCloudClient:
    """Cloud API client over HTTP.

    Parameters
    ----------
    session : HttpSession
        Connections to use.
    address : str
        Host and port of the platform.
    timeout_ms : int
        Limit for one exchange.
    """

    def __init__(
        self, session: HttpSession, address: str, timeout_ms: int = 2_000
    ) -> None:
        self._session = session
        self._base = f"http://{address}/v1"
        self._timeout_ms = timeout_ms

    async def start(self, request: InstanceRequest) -> Result[str, ChangeFailure]:
        """Start a host and return the instance id."""
        answer = await self._change("POST", "/instances", attrs.asdict(request))
        match answer:
            case Ok(HttpResponse() as success):
                instance = (success.read_json_object() or {}).get("instance")
                if isinstance(instance, str):
                    return Ok(instance)
                return Err(Unsettled(f"no instance id in {success.describe()}"))
            case Err(failure):
                return Err(failure)

    async def stop(self, instance: str) -> Result[None, ChangeFailure]:
        """Stop a host; stopping one that is gone succeeds."""
        path = f"/instances/{quote(instance, safe='')}"
        match await self._change("DELETE", path):
            case Err(Refused(status=status)) if status in (404, 410):
                return Ok(None)
            case Err(failure):
                return Err(failure)
            case _:
                return Ok(None)

    async def read_notices(
        self, from_number: int
    ) -> Result[ReclaimNoticePage, ReadFailure]:
        """Read the reclaim notices from a number on."""
        answer = await self._session.request(
            "GET",
            f"{self._base}/notices?from={from_number}",
            timeout_ms=self._timeout_ms,
        )
        return read_answer(
            answer, lambda data: read_known(data, ReclaimNoticePage, "notices")
        )

    async def _change(
        self, method: str, path: str, payload: Any = None
    ) -> Result[HttpResponse, ChangeFailure]:
        match await self._session.request(
            method, self._base + path, payload=payload, timeout_ms=self._timeout_ms
        ):
            case Ok(answer) if 200 <= answer.status < 300:
                return Ok(answer)
            case Ok(answer):
                return Err(_classify(answer))
            case Err(failure) if failure.certainly_not_sent:
                return Err(NotSent(failure.reason))
            case Err(failure):
                return Err(Unsettled(failure.reason))


def _classify(answer: HttpResponse) -> ChangeFailure:
    data = answer.read_json_object() or {}
    if answer.status == 429 or data.get("in_effect") is False:
        return NotSent(answer.describe(), answer.read_retry_after_s())
    if 400 <= answer.status < 500 and answer.status != 408:
        return Refused(answer.status, answer.describe())
    return Unsettled(answer.describe())
