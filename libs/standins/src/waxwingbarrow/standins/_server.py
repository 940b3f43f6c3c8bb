"""HTTP server and request handling that all stand-ins share."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from typing import Any, TypeVar

import attrs
import uvicorn
from result import Err, Ok
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.types import ASGIApp, Receive, Scope, Send

from waxwingbarrow.core import read_data, write_data

HOST = "127.0.0.1"
FaultsT = TypeVar("FaultsT")


class _AbortMiddleware:
    """Middleware that lets handlers abort the connection without a response."""

    def __init__(self, app: ASGIApp) -> None:
        self._app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        # ASGI has no message that aborts a connection. uvicorn's `send` is a bound
        # method of the object that holds the transport.
        owner = getattr(send, "__self__", None)
        scope["standin.abort"] = lambda: owner.transport.abort() if owner else None
        await self._app(scope, receive, send)


def abort_connection(request: Request) -> None:
    """Abort the connection of a request; anything sent afterwards is dropped."""
    request.scope["standin.abort"]()


async def abort_without_response(request: Request) -> Response:
    """Abort the connection; the returned response is never sent."""
    abort_connection(request)
    return Response()


async def wait_for_disconnect(request: Request) -> Response:
    """Send nothing; return when the caller has closed the connection."""
    await request.body()
    await request.receive()  # after the body, the next message is the disconnection
    return Response()


async def read_faults(
    request: Request, fault_class: type[FaultsT]
) -> tuple[FaultsT | None, Response]:
    """Parse the body of ``POST /standin/faults``.

    Returns
    -------
    tuple
        The faults, or None if the body is invalid, and the response to send.
    """
    match read_data(await request.json(), fault_class, "faults"):
        case Ok(faults):
            assert attrs.has(fault_class)
            return faults, JSONResponse(write_data(faults))
        case Err(failure):
            return None, JSONResponse({"detail": failure.detail}, 400)


def make_server_config(app: Starlette, **settings: Any) -> uvicorn.Config:
    """Return the uvicorn configuration of a stand-in's server."""
    return uvicorn.Config(
        _AbortMiddleware(app),
        log_level="warning",
        access_log=False,
        lifespan="off",
        http="h11",
        ws="none",
        **settings,
    )


def run_forever(app: Starlette, port: int) -> None:
    """Serve on a loopback port until SIGINT or SIGTERM stops the process."""
    uvicorn.Server(make_server_config(app, host=HOST, port=port)).run()


class _EmbeddedServer(uvicorn.Server):
    """Server that does not replace the signal handlers of the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Any:
        yield


@contextlib.asynccontextmanager
async def serve(app: Starlette, port: int = 0) -> AsyncIterator[str]:
    """Serve in the running event loop.

    Yields
    ------
    str
        Address as ``host:port``.
    """
    # asyncio sets TCP_NODELAY only on sockets whose protocol is IPPROTO_TCP, not 0.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    server = _EmbeddedServer(make_server_config(app, timeout_graceful_shutdown=1))
    task = asyncio.create_task(server.serve(sockets=[listener]))
    # From here on the kernel queues connections, so nobody has to wait for uvicorn.
    listener.listen()
    try:
        yield f"{HOST}:{listener.getsockname()[1]}"
    finally:
        server.should_exit = True
        # Open connections would delay the stop by the graceful shutdown timeout.
        for connection in list(server.server_state.connections):
            connection.transport.abort()  # type: ignore[union-attr]
        await task
        listener.close()
