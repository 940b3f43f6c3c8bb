"""HTTP server whose shutdown the daemon controls."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator, Sequence

import uvicorn
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route as HttpRoute

from waxwingbarrow.daemon._metrics import Metrics


def make_app(
    routes: Sequence[HttpRoute], metrics: Metrics, is_ready: Callable[[], bool]
) -> Starlette:
    """Return the HTTP application: `routes`, health, readiness and metrics."""

    async def read_health(_: Request) -> Response:
        return PlainTextResponse("ok")

    async def read_readiness(_: Request) -> Response:
        if is_ready():
            return PlainTextResponse("ready")
        return PlainTextResponse("not ready", 503)

    async def read_metrics(_: Request) -> Response:
        text = generate_latest(metrics.registry)
        return Response(text, media_type=CONTENT_TYPE_LATEST)

    return Starlette(
        routes=[
            HttpRoute("/healthz", read_health),
            HttpRoute("/readyz", read_readiness),
            HttpRoute("/metrics", read_metrics),
            *routes,
        ]
    )


class _Server(uvicorn.Server):
    """Uvicorn server without signal handlers.

    The handlers of uvicorn close the listener at once, before the load balancer has
    seen that the readiness check fails.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """HTTP server for callers and operators.

    Parameters
    ----------
    app : Starlette
        Application to serve.
    address : str
        IP address and port, as ``host:port``.
    drain_timeout_ms : int
        Time for open responses to end after the listener has closed.
    """

    def __init__(self, app: Starlette, address: str, drain_timeout_ms: int) -> None:
        host, _, port = address.rpartition(":")
        self._server = _Server(
            uvicorn.Config(
                app,
                host=host,
                port=int(port),
                log_config=None,
                access_log=False,
                lifespan="off",
                timeout_keep_alive=30,
                timeout_graceful_shutdown=max(1, drain_timeout_ms // 1000),
            )
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the server; return when the listener is open.

        Raises
        ------
        OSError
            If the server cannot listen at the address.
        """
        self._task = asyncio.create_task(self._serve(), name="http-server")
        while not self._server.started:
            if self._task.done():
                await self._task
                raise OSError("The HTTP server ended before its listener was open.")
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Close the listener and wait for open responses up to the drain timeout."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    async def _serve(self) -> None:
        try:
            await self._server.serve()
        except SystemExit as error:
            raise OSError("The HTTP listener could not be opened.") from error
