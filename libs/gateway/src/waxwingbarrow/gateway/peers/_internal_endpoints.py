"""HTTP endpoints for the readiness probe, for metrics and for peers."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, generate_latest

from waxwingbarrow.gateway.base import Call, get_reason_phrase
from waxwingbarrow.gateway.callers import Responder
from waxwingbarrow.gateway.replication import Replica, decode_positions, encode_listing


class InternalEndpoints:
    """Answers requests that do not come from callers.

    `/metrics` returns the metrics, `/replicas` the replicas for a peer, and any other
    path the result of the readiness probe.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        registry: CollectorRegistry,
        replicas: dict[str, Replica],
    ) -> None:
        self._is_ready = is_ready
        self._registry = registry
        self._replicas = replicas

    async def handle(self, call: Call, responder: Responder) -> None:
        """Answer one request."""
        path, _, query = call.target.partition(b"?")
        status, body = self._answer(path, query)
        responder.send(status, get_reason_phrase(status), [], body)

    def _answer(self, path: bytes, query: bytes) -> tuple[int, bytes]:
        match path:
            case b"/metrics":
                return 200, generate_latest(self._registry)
            case b"/replicas":
                return 200, encode_listing(self._replicas, decode_positions(query))
            case _:
                # The platform chooses the path of the readiness probe.
                return (200, b"ready\n") if self._is_ready() else (503, b"not ready\n")
