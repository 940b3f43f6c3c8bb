"""HTTP server of the stand-ins."""

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


class _AbortAccess:
    """Gives handlers a way to break the connection without an answer."""

    def __init__(self, app: ASGIApp) -> None:
        self._app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        # uvicorn passes a bound method of the object that holds the transport; ASGI
        # itself has no message for breaking a connection.
        owner = getattr(send, "__self__", None)
        scope["standin.abort"] = lambda: owner.transport.abort() if owner else None
        await self._app(scope, receive, send)


def abort_connection(request: Request) -> None:
    """Break the connection of a request; what is sent afterwards is dropped."""
    request.scope["standin.abort"]()


async def abort_answer(request: Request) -> Response:
    """Break the connection and return an answer that is never sent."""
    abort_connection(request)
    return Response()


async def wait_for_caller_to_leave(request: Request) -> Response:
    """Never answer; return when the caller has closed the connection."""
    await request.body()
    await request.receive()  # after the body, the next message is the disconnection
    return Response()


async def read_faults(
    request: Request, kind: type[FaultsT]
) -> tuple[FaultsT | None, Response]:
    """Read the body of ``POST /standin/faults`` and make the answer."""
    match read_data(await request.json(), kind, "faults"):
        case Ok(faults):
            assert attrs.has(kind)
            return faults, JSONResponse(write_data(faults))
        case Err(failure):
            return None, JSONResponse({"detail": failure.detail}, 400)


def make_config(app: Starlette, **settings: Any) -> uvicorn.Config:
    """Return the uvicorn configuration of a stand-in."""
    return uvicorn.Config(
        _AbortAccess(app),
        log_level="warning",
        access_log=False,
        lifespan="off",
        http="h11",
        ws="none",
        **settings,
    )


def run_forever(app: Starlette, port: int) -> None:
    """Serve on a port of the loopback interface until the process is signalled."""
    uvicorn.Server(make_config(app, host=HOST, port=port)).run()


class _EmbeddedServer(uvicorn.Server):
    """Server that leaves the signal handlers of the process alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Any:
        yield


@contextlib.asynccontextmanager
async def serve(app: Starlette, port: int = 0) -> AsyncIterator[str]:
    """Serve in the running event loop.

    Yields
    ------
    str
        Host and port.
    """
    # asyncio disables delayed sending only for sockets that name their protocol.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    server = _EmbeddedServer(make_config(app, timeout_graceful_shutdown=1))
    task = asyncio.create_task(server.serve(sockets=[listener]))
    # The kernel queues connections from here on; callers need not wait for the start.
    listener.listen()
    try:
        yield f"{HOST}:{listener.getsockname()[1]}"
    finally:
        server.should_exit = True
        # Open connections would keep the server waiting for its graceful time.
        for connection in list(server.server_state.connections):
            connection.transport.abort()  # type: ignore[union-attr]
        await task
        listener.close()
