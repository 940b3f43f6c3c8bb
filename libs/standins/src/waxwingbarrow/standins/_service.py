"""Plain service stand-in: swap listings and plough bookings."""

import asyncio
import os
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from waxwingbarrow.standins._server import (
    abort_connection,
    abort_without_response,
    read_faults,
    wait_for_disconnect,
)

CRASH_EXIT_CODE = 70
BOOKING_OPERATIONS = ("post-listing", "book-assignment")
READ_OPERATIONS = ("read-listings", "read-rota")


@attrs.frozen
class ServiceFaults:
    """Faults in force.

    Parameters
    ----------
    crash_before_run, crash_after_run : bool
        The process exits before or after it runs the next request.
    crash_marker : str
        Limits crashes to requests whose body contains this text; empty for all.
    lose_answers : int
        Number of requests that run without a response.
    lose_by_hanging : bool
        Whether a lost response leaves the connection open instead of aborting it.
    fail_status : int
        HTTP status to answer with instead of running; 0 for none.
    slow_ms : int
        Delay before running.
    late_ms : int
        Delay between running and the response.
    leaving : bool
        Whether responses carry ``Upstream-State: leaving``.
    """

    crash_before_run: bool = False
    crash_after_run: bool = False
    crash_marker: str = ""
    lose_answers: int = 0
    lose_by_hanging: bool = False
    fail_status: int = 0
    slow_ms: int = 0
    late_ms: int = 0
    leaving: bool = False


class ServiceStandin:
    """State and HTTP handlers of one service process.

    Parameters
    ----------
    exit_process : callable
        Ends the process on a crash fault; in-process tests replace it.
    """

    def __init__(self, exit_process: Callable[[int], Any] = os._exit) -> None:
        self.faults = ServiceFaults()
        self.runs: Counter[str] = Counter()
        self.bookings: dict[str, list[dict[str, Any]]] = {
            operation: [] for operation in BOOKING_OPERATIONS
        }
        self._exit_process = exit_process

    def make_app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/calls/{operation}", self._handle_call, methods=["POST"]),
                Route("/standin/faults", self._set_faults, methods=["POST"]),
                Route("/standin/runs", self._read_runs),
            ]
        )

    async def _handle_call(self, request: Request) -> Response:
        operation = request.path_params["operation"]
        body = await request.body()
        faults = self.faults
        is_marked = faults.crash_marker.encode() in body
        if operation not in BOOKING_OPERATIONS + READ_OPERATIONS:
            return self._make_response({"detail": f"There is no {operation}."}, 404)
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / 1000)
        if faults.fail_status:
            return self._make_response({"detail": "Failed."}, faults.fail_status)
        if faults.crash_before_run and is_marked:
            return await self._crash(request)
        data = self._run_operation(
            operation, request.headers.get("request-id", ""), body
        )
        if faults.crash_after_run and is_marked:
            return await self._crash(request)
        if faults.lose_answers > 0:
            self.faults = attrs.evolve(faults, lose_answers=faults.lose_answers - 1)
            if faults.lose_by_hanging:
                return await wait_for_disconnect(request)
            return await abort_without_response(request)
        if faults.late_ms:
            await asyncio.sleep(faults.late_ms / 1000)
        return self._make_response(data)

    def _run_operation(self, operation: str, request_id: str, body: bytes) -> Any:
        self.runs[request_id] += 1
        match operation:
            case "read-listings":
                return {"listings": self.bookings["post-listing"]}
            case "read-rota":
                return {"assignments": self.bookings["book-assignment"]}
            case _:
                booked = self.bookings[operation]
                booked.append({"request_id": request_id, "body": body.decode()})
                return {"number": len(booked), "request_id": request_id}

    async def _crash(self, request: Request) -> Response:
        self._exit_process(CRASH_EXIT_CODE)
        abort_connection(request)
        return Response()

    def _make_response(self, data: Any, status: int = 200) -> Response:
        headers = {"Upstream-State": "leaving"} if self.faults.leaving else {}
        return JSONResponse(data, status, headers)

    async def _set_faults(self, request: Request) -> Response:
        faults, answer = await read_faults(request, ServiceFaults)
        self.faults = faults or self.faults
        return answer

    async def _read_runs(self, request: Request) -> Response:
        return JSONResponse(self.runs)
