"""Interface of the platform's log service and its HTTP client."""

from collections.abc import Sequence
from typing import Any, Protocol
from urllib.parse import quote

import attrs
from result import Err, Ok, Result

from waxwingbarrow.platform._failures import (
    Expired,
    LogFailure,
    LogRejected,
    NotSent,
    Unsettled,
)
from waxwingbarrow.platform._http import HttpResponse, HttpSession

JsonRecord = dict[str, Any]


@attrs.frozen
class RawEntry:
    """One record as stored in the log, with its offset."""

    offset: int
    record: JsonRecord


@attrs.frozen
class LogPage:
    """Consecutive entries of a stream, as returned by one read.

    Parameters
    ----------
    first_offset : int
        Oldest offset that the log still holds.
    next_offset : int
        Offset of the next entry to be appended; the tail of the stream.
    entries : tuple of RawEntry
        Consecutive entries from the requested offset on.
    """

    first_offset: int
    next_offset: int
    entries: tuple[RawEntry, ...]


class LogClient(Protocol):
    """Append-only log service."""

    async def append(
        self, stream: str, records: Sequence[JsonRecord]
    ) -> Result[int, LogFailure]:
        """Append records in one operation and return the offset of the first."""
        ...

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int
    ) -> Result[LogPage, LogFailure]:
        """Read entries; if there are none, wait up to `wait_ms` for the first."""
        ...


class HttpLogClient:
    """Log client over HTTP.

    Parameters
    ----------
    session : HttpSession
        HTTP session with the connection pool.
    address : str
        Address of the platform as ``host:port``.
    timeout_ms : int
        Time limit of one exchange; the wait of a long poll is added to it.
    """

    def __init__(
        self, session: HttpSession, address: str, timeout_ms: int = 2_000
    ) -> None:
        self._session = session
        self._base_url = f"http://{address}/v1/streams"
        self._timeout_ms = timeout_ms

    async def append(
        self, stream: str, records: Sequence[JsonRecord]
    ) -> Result[int, LogFailure]:
        """Append records in one operation and return the offset of the first."""
        match await self._session.request(
            "POST",
            f"{self._base_url}/{quote(stream, safe='')}/records",
            payload={"records": list(records)},
            timeout_ms=self._timeout_ms,
        ):
            case Ok(response):
                return _parse_append_response(response)
            case Err(failure) if failure.certainly_not_sent:
                return Err(NotSent(failure.reason))
            case Err(failure):
                return Err(Unsettled(failure.reason))

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int
    ) -> Result[LogPage, LogFailure]:
        """Read entries; if there are none, wait up to `wait_ms` for the first."""
        query = f"from={from_offset}&limit={limit}&wait_ms={wait_ms}"
        match await self._session.request(
            "GET",
            f"{self._base_url}/{quote(stream, safe='')}/records?{query}",
            timeout_ms=self._timeout_ms + wait_ms,
        ):
            case Ok(response):
                return _parse_page_response(response)
            case Err(failure):
                return Err(NotSent(failure.reason))


def _parse_append_response(response: HttpResponse) -> Result[int, LogFailure]:
    data = response.read_json_object() or {}
    offset = data.get("offset")
    if response.status == 200 and type(offset) is int:
        return Ok(offset)
    reason = response.describe()
    # With status 429, or with 5xx and "in_effect": false, nothing was appended. Any
    # other 5xx may come from a proxy that lost the log's response.
    if response.status == 429 or (
        response.status >= 500 and data.get("in_effect") is False
    ):
        return Err(NotSent(reason, response.read_retry_after_s()))
    if 400 <= response.status < 500 and response.status != 408:
        return Err(LogRejected(response.status, reason))
    return Err(Unsettled(reason))


def _parse_page_response(response: HttpResponse) -> Result[LogPage, LogFailure]:
    data = response.read_json_object() or {}
    first_offset = data.get("first_offset")
    if response.status == 410 and type(first_offset) is int:
        return Err(Expired(first_offset))
    if response.status == 200:
        page = _parse_page(data)
        return Ok(page) if page else Err(NotSent("The page is malformed"))
    if 400 <= response.status < 500 and response.status not in (408, 429):
        return Err(LogRejected(response.status, response.describe()))
    return Err(NotSent(response.describe(), response.read_retry_after_s()))


def _parse_page(data: dict[str, Any]) -> LogPage | None:
    try:
        entries = tuple(
            RawEntry(item["offset"], item["record"]) for item in data["records"]
        )
        page = LogPage(data["first_offset"], data["next_offset"], entries)
    except (KeyError, TypeError):
        return None
    offsets = [page.first_offset, page.next_offset, *(e.offset for e in entries)]
    if any(type(offset) is not int or offset < 0 for offset in offsets):
        return None
    return page if all(isinstance(e.record, dict) for e in entries) else None
