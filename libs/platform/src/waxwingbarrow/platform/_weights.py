"""Interface of the weight store and its HTTP client."""

from typing import Protocol
from urllib.parse import quote

import attrs
from result import Result

from waxwingbarrow.platform._answers import read_answer, read_known
from waxwingbarrow.platform._failures import ReadFailure
from waxwingbarrow.platform._http import HttpSession


@attrs.frozen
class Weights:
    """Size of a model's weights."""

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
        self._base = f"http://{address}/v1/weights"
        self._timeout_ms = timeout_ms

    async def read(self, model: str) -> Result[Weights, ReadFailure]:
        """Read the size of a model's weights.

        Returns
        -------
        Result
            The size, or ``Unavailable`` with ``retry_after_s`` if rate limited.
        """
        answer = await self._session.request(
            "GET", f"{self._base}/{quote(model, safe='')}", timeout_ms=self._timeout_ms
        )
        return read_answer(answer, lambda data: read_known(data, Weights, "weights"))
