"""HTTP client session that tells failures before the first byte from later ones."""

import asyncio
import contextlib
import json
import re
from collections.abc import AsyncIterator, Mapping
from typing import Any
from urllib.parse import ParseResult

import aiosonic
import attrs
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import AiosonicError, ConnectTimeout, HttpParsingError
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts
from result import Err, Ok, Result

from waxwingbarrow.core import Failure, parse_json

# Servers commonly close idle connections after 5 s (uvicorn's default); a request that
# is written while the server closes is lost without a response.
MAX_IDLE_MS = 2_000
MAX_DESCRIBED_BODY_BYTES = 200
# Three digits from 100 to 599.
STATUS = re.compile("[1-5][0-9]{2}")
# Raised by aiosonic and asyncio when a connection fails or a response is malformed.
# ValueError and EOFError come from a chunk header or a body that ends early.
EXCHANGE_ERRORS = (AiosonicError, OSError, EOFError, ValueError)


@attrs.frozen
class HttpFailure(Failure):
    """An exchange ended without a complete response.

    Parameters
    ----------
    reason : str
        Cause of the failure.
    certainly_not_sent : bool
        Whether the failure certainly came before the first byte of the request.
    """

    reason: str
    certainly_not_sent: bool = False

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return self.reason


@attrs.frozen
class HttpResponse:
    """Status, headers and complete body of a response."""

    status: int
    headers: Mapping[str, str]
    body: bytes = b""

    def read_json_object(self) -> dict[str, Any] | None:
        """Return the body parsed as a JSON object, or None if it is not one."""
        try:
            data = parse_json(self.body)
        except ValueError:
            return None
        return data if isinstance(data, dict) else None

    def read_retry_after_s(self) -> float | None:
        """Return the ``Retry-After`` header, or None if missing or not a number."""
        try:
            return max(0.0, float(self.headers["retry-after"]))
        except (KeyError, ValueError):
            return None

    def describe(self) -> str:
        """Return the status and the start of the body, for error messages."""
        text = self.body[:MAX_DESCRIBED_BODY_BYTES].decode(errors="replace")
        return f"status {self.status} {text}".rstrip()


class HttpStream:
    """Response whose body is read while it arrives."""

    def __init__(self, response: Any) -> None:
        self._response = response
        self.status: int = response.status_code
        self.headers: Mapping[str, str] = response.headers

    def read_chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives; raises one of ``EXCHANGE_ERRORS``."""
        chunks: AsyncIterator[bytes] = self._response.iter_bytes()
        return chunks

    async def read_response(self) -> HttpResponse:
        """Read the rest of the body; raises one of ``EXCHANGE_ERRORS``."""
        return HttpResponse(self.status, self.headers, await self._response.content())


# Time limits are set with asyncio.timeout instead: with any limit of its own aiosonic
# uses asyncio.wait_for, which in Python 3.11 loses a cancellation that arrives when the
# awaited step has just ended.
NO_TIMEOUTS = Timeouts(None, None, None, None)


class _CheckedConnection(Connection):  # type: ignore[misc]
    """Connection with a time limit for connecting and stricter rules for reuse.

    asyncio keeps a transport open for writing after the end of input, so aiosonic's own
    check would send the next request on a connection that the server has closed.
    aiosonic also reuses a connection whose request was cancelled before the response,
    so the next request would get that response. It takes the end of input for the end
    of the headers, so truncated headers would look like a complete response.
    """

    async def __aexit__(self, exc_type: Any, exc: Any, tb: Any) -> None:
        if exc_type is not None:
            self.keep = False
        await super().__aexit__(exc_type, exc, tb)

    def keep_alive(self) -> None:
        # aiosonic keeps a connection open that its request limit never lets it reuse.
        if self.pool.conf.max_conn_requests != 0:
            super().keep_alive()

    async def connect(self, *args: Any, **named: Any) -> None:
        async with asyncio.timeout(self.pool.timeouts.sock_connect):
            await super().connect(*args, **named)

    async def readline(self) -> bytes:
        line: bytes = await super().readline()
        if not line.endswith(b"\n"):
            self.keep = False
            raise HttpParsingError("the answer ended within its headers or a chunk")
        return line

    def reuse(self, urlparsed: ParseResult, verify: bool) -> bool:
        # asyncio offers no public way to see bytes that were received and not read. No
        # request waits for them, so they would be taken for the next one's response.
        reader: Any = self.reader
        if reader is not None and (reader.at_eof() or reader._buffer):
            return False
        reusable: bool = super().reuse(urlparsed, verify)
        return reusable


class HttpSession:
    """Connection pool for requests to any number of servers.

    Parameters
    ----------
    caller : str
        Value of the ``Caller`` header; the header is left out if empty.
    connect_timeout_ms : int
        Time limit for establishing a connection.
    max_connections : int
        Maximum number of connections in use at the same time.
    keep_alive : bool
        Whether connections are reused. Without reuse a request cannot be lost because
        the server closes its idle connection at the same moment.
    """

    def __init__(
        self,
        *,
        caller: str = "",
        connect_timeout_ms: int = 1_000,
        max_connections: int = 256,
        keep_alive: bool = True,
    ) -> None:
        self._headers = {"Caller": caller} if caller else {}
        connect_timeout_s = connect_timeout_ms / 1000
        # aiosonic counts the requests of a pool slot, not of a connection. Once a slot
        # has reached a limit above 0, its connections would never be reused again.
        config = PoolConfig(
            size=max_connections,
            max_conn_requests=None if keep_alive else 0,
            max_conn_idle_ms=MAX_IDLE_MS,
        )
        timeouts = Timeouts(connect_timeout_s, None, None, None)
        self._client = aiosonic.HTTPClient(
            TCPConnector(
                pool_configs={":default": config},
                timeouts=timeouts,
                connection_cls=_CheckedConnection,
            )
        )

    async def request(
        self,
        method: str,
        url: str,
        *,
        timeout_ms: int,
        payload: Any = None,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a request and read the complete response.

        Parameters
        ----------
        method, url : str
            HTTP method and absolute URL.
        timeout_ms : int
            Time limit of the whole exchange.
        payload : Any
            Data to send as JSON; if None, `body` is sent.
        body : bytes
            Request body.
        headers : Mapping
            Headers to add to those of the session.

        Returns
        -------
        Result
            The response, whatever its status, or the reason why there is none.
        """
        try:
            async with (
                asyncio.timeout(timeout_ms / 1000),
                self.stream(
                    method, url, payload=payload, body=body, headers=headers
                ) as stream,
            ):
                return Ok(await stream.read_response())
        except EXCHANGE_ERRORS as error:
            return Err(classify_error(error, method))

    @contextlib.asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        *,
        payload: Any = None,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> AsyncIterator[HttpStream]:
        """Send a request and yield its response once the headers have arrived.

        Raises
        ------
        Exception
            One of ``EXCHANGE_ERRORS``; see `classify_error`.
        """
        request_headers = {**self._headers, **(headers or {})}
        if payload is not None:
            body = json.dumps(payload, separators=(",", ":")).encode()
            request_headers["Content-Type"] = "application/json"
        response = await self._client.request(
            url,
            method,
            headers=request_headers,
            data=body or None,
            stream=True,
            timeouts=NO_TIMEOUTS,
        )
        try:
            _require_status(response)
            _require_stated_length(response)
            yield HttpStream(response)
        finally:
            await response.aclose()

    async def close(self) -> None:
        """Close idle connections now and the others on their release."""
        await self._client.aclose()


def _require_status(response: Any) -> None:
    """Reject a status that no response has; aiosonic reads any number of digits."""
    code = response.response_initial["code"]
    if not STATUS.fullmatch(code):
        raise HttpParsingError(f"no response has the status {code[:8]}")


def _require_stated_length(response: Any) -> None:
    """Reject truncated headers, which aiosonic takes for a response without a body."""
    named = response.chunked or "content-length" in response.headers
    if not named and response.status_code not in (204, 304):
        raise HttpParsingError("the answer does not state its length")


def classify_error(error: BaseException, method: str) -> HttpFailure:
    """Convert an error of `HttpSession.stream`; tell whether no byte was sent.

    Only a connection attempt for a POST that is refused or times out proves that
    nothing was sent. aiosonic repeats requests of other methods after a reused
    connection breaks, and a refused second attempt says nothing about the first.
    """
    not_sent = method == "POST" and isinstance(
        error,
        ConnectionRefusedError | ConnectTimeout,
    )
    text = str(error)
    name = type(error).__name__
    return HttpFailure(f"{name}: {text}" if text else name, not_sent)
