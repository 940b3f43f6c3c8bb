"""Interface of the weight store and its HTTP client."""

from typing import Protocol
from urllib.parse import quote

import attrs
from result import Result

from waxwingbarrow.platform._failures import ReadFailure
from waxwingbarrow.platform._http import HttpSession
from waxwingbarrow.platform._responses import parse_response, read_known_fields


@attrs.frozen
class Weights:
    """Size of a model's weights, in bytes."""

    bytes: int


class WeightStoreClient(Protocol):
    """Rate-limited store of model weights."""

    async def read(self, model: str) -> Result[Weights, ReadFailure]:
        """Read the size of a model's weights."""
        ...


class HttpWeightStoreClient:
    """Weight store client over HTTP.

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
        self._base_url = f"http://{address}/v1/weights"
        self._timeout_ms = timeout_ms

    async def read(self, model: str) -> Result[Weights, ReadFailure]:
        """Read the size of a model's weights.

        Returns
        -------
        Result
            The size, or ``Unavailable``; with ``retry_after_s`` if the store limits
            the rate.
        """
        result = await self._session.request(
            "GET",
            f"{self._base_url}/{quote(model, safe='')}",
            timeout_ms=self._timeout_ms,
        )
        return parse_response(
            result, lambda data: read_known_fields(data, Weights, "weights")
        )
