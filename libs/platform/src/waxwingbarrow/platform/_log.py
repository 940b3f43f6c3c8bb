"""Interface of the platform's log and its HTTP client."""

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
    """One record as the log holds it, with its offset."""

    offset: int
    record: JsonRecord


@attrs.frozen
class LogPage:
    """Part of a stream.

    Parameters
    ----------
    first_offset : int
        Oldest offset that the log still holds.
    next_offset : int
        Offset that the next append gets; the tail of the stream.
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
        """Read entries; wait up to `wait_ms` for one if there is none."""
        ...


class HttpLogClient:
    """Log client over HTTP.

    Parameters
    ----------
    session : HttpSession
        Connections to use.
    address : str
        Host and port of the platform.
    timeout_ms : int
        Limit for one exchange, in addition to the wait of a long poll.
    """

    def __init__(
        self, session: HttpSession, address: str, timeout_ms: int = 2_000
    ) -> None:
        self._session = session
        self._base = f"http://{address}/v1/streams"
        self._timeout_ms = timeout_ms

    async def append(
        self, stream: str, records: Sequence[JsonRecord]
    ) -> Result[int, LogFailure]:
        """Append records in one operation and return the offset of the first."""
        match await self._session.request(
            "POST",
            f"{self._base}/{quote(stream, safe='')}/records",
            payload={"records": list(records)},
            timeout_ms=self._timeout_ms,
        ):
            case Ok(answer):
                return _read_append_answer(answer)
            case Err(failure) if failure.certainly_not_sent:
                return Err(NotSent(failure.reason))
            case Err(failure):
                return Err(Unsettled(failure.reason))

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int
    ) -> Result[LogPage, LogFailure]:
        """Read entries; wait up to `wait_ms` for one if there is none."""
        query = f"from={from_offset}&limit={limit}&wait_ms={wait_ms}"
        match await self._session.request(
            "GET",
            f"{self._base}/{quote(stream, safe='')}/records?{query}",
            timeout_ms=self._timeout_ms + wait_ms,
        ):
            case Ok(answer):
                return _read_page(answer)
            case Err(failure):
                return Err(NotSent(failure.reason))


def _read_append_answer(answer: HttpResponse) -> Result[int, LogFailure]:
    data = answer.read_json_object() or {}
    offset = data.get("offset")
    if answer.status == 200 and type(offset) is int:
        return Ok(offset)
    reason = answer.describe()
    # A status 429 and a 5xx answer with "in_effect": false are definite: nothing was
    # appended. Any other 5xx may come from a proxy that lost the log's answer.
    if answer.status == 429 or (
        answer.status >= 500 and data.get("in_effect") is False
    ):
        return Err(NotSent(reason, answer.read_retry_after_s()))
    if 400 <= answer.status < 500 and answer.status != 408:
        return Err(LogRejected(answer.status, reason))
    return Err(Unsettled(reason))


def _read_page(answer: HttpResponse) -> Result[LogPage, LogFailure]:
    data = answer.read_json_object() or {}
    first_offset = data.get("first_offset")
    if answer.status == 410 and type(first_offset) is int:
        return Err(Expired(first_offset))
    if answer.status == 200:
        page = _parse_page(data)
        return Ok(page) if page else Err(NotSent("The page is malformed"))
    if 400 <= answer.status < 500 and answer.status not in (408, 429):
        return Err(LogRejected(answer.status, answer.describe()))
    return Err(NotSent(answer.describe(), answer.read_retry_after_s()))


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
