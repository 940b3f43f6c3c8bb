"""Platform stand-in: log, host list, weight store and cloud API."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from waxwingbarrow.standins._log import LogStream, RateLimit
from waxwingbarrow.standins._server import (
    abort_without_response,
    read_faults,
    wait_for_disconnect,
)

Handler = Callable[[Request], Awaitable[Response]]


@attrs.frozen
class PlatformSettings:
    """Limits of the platform.

    Parameters
    ----------
    max_records : int
        Number of records that each log stream retains.
    max_age_s : float
        Age up to which a log stream retains a record.
    appends_per_s : float
        Rate limit of appends to all streams together; 0 for none.
    host_list_lag_s : float
        Age of the host list in responses.
    weight_reads_per_s : float
        Rate limit of the weight store; 0 for none.
    refuse_kinds : tuple of str
        Kinds of instance, such as ``reclaimable``, that the cloud API does not start.
    """

    max_records: int = 100_000
    max_age_s: float = 3600.0
    appends_per_s: float = 0.0
    host_list_lag_s: float = 0.0
    weight_reads_per_s: float = 0.0
    refuse_kinds: tuple[str, ...] = ()


@attrs.frozen
class PlatformFaults:
    """Faults in force.

    Parameters
    ----------
    refuse : bool
        Answer 503 with ``in_effect`` false; the operation has no effect.
    fail_unclear : bool
        Answer 500 without saying whether the operation took effect; it did not.
    break_before : bool
        Abort the connection before the operation takes effect.
    slow_ms : int
        Delay before the operation.
    operations : tuple of str
        Operations that `refuse`, `fail_unclear`, `break_before` and `slow_ms` apply to:
        ``append``, ``read``, ``hosts``, ``weights``, ``instances``, ``notices``; empty
        for all.
    cut_callers : tuple of str
        Values of the ``Caller`` header whose requests get no response and have no
        effect.
    lose_answers : int
        Number of appends that take effect without a response.
    lose_by_hanging : bool
        Whether a lost response leaves the connection open instead of aborting it.
    append_twice : int
        Number of appends whose records are stored twice.
    replay_entries : int
        Number of earlier entries that each read repeats.
    trim_to : dict
        Offset per stream below which records are dropped at once.
    """

    refuse: bool = False
    fail_unclear: bool = False
    break_before: bool = False
    slow_ms: int = 0
    operations: tuple[str, ...] = ()
    cut_callers: tuple[str, ...] = ()
    lose_answers: int = 0
    lose_by_hanging: bool = False
    append_twice: int = 0
    replay_entries: int = 0
    trim_to: dict[str, int] = attrs.field(factory=dict)


class PlatformStandin:
    """State and HTTP handlers of the platform."""

    def __init__(self, settings: PlatformSettings | None = None) -> None:
        self.settings = settings or PlatformSettings()
        self.faults = PlatformFaults()
        self.streams: dict[str, LogStream] = {}
        self.hosts: dict[str, dict[str, Any]] = {}
        self.weights: dict[str, int] = {}
        self.instances: dict[str, dict[str, Any]] = {}
        self.notices: list[dict[str, Any]] = []
        self.append_calls = 0
        self._append_rate_limit = RateLimit(self.settings.appends_per_s)
        self._weight_rate_limit = RateLimit(self.settings.weight_reads_per_s)
        self._host_list_snapshots: list[tuple[float, list[dict[str, Any]]]] = [
            (0.0, [])
        ]

    def make_app(self) -> Starlette:
        """Return the ASGI application."""
        with_faults = self._with_faults
        records = "/v1/streams/{stream}/records"
        instance_path = "/v1/instances/{instance}"
        return Starlette(
            routes=[
                Route(
                    records,
                    with_faults("append", self._append_records),
                    methods=["POST"],
                ),
                Route(records, with_faults("read", self._read_records)),
                Route("/v1/hosts", with_faults("hosts", self._list_hosts)),
                Route(
                    "/v1/weights/{model}", with_faults("weights", self._read_weights)
                ),
                Route(
                    "/v1/instances",
                    with_faults("instances", self._start_instance),
                    methods=["POST"],
                ),
                Route(
                    instance_path,
                    with_faults("instances", self._stop_instance),
                    methods=["DELETE"],
                ),
                Route("/v1/notices", with_faults("notices", self._read_notices)),
                Route("/standin/faults", self._set_faults, methods=["POST"]),
                Route("/standin/hosts", self._put_hosts, methods=["POST"]),
                Route("/standin/weights", self._put_weights, methods=["POST"]),
                Route("/standin/notices", self._put_notice, methods=["POST"]),
            ]
        )

    def get_stream(self, name: str) -> LogStream:
        """Return a log stream; the first use creates it."""
        if name not in self.streams:
            self.streams[name] = LogStream(
                self.settings.max_records, self.settings.max_age_s
            )
        return self.streams[name]

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults in force and apply their `trim_to`."""
        self.faults = faults
        for name, offset in faults.trim_to.items():
            self.get_stream(name).trim(offset)

    def put_host(self, host: dict[str, Any]) -> None:
        """Add or replace a host; it is listed after `host_list_lag_s`."""
        self.hosts[host["host"]] = host
        self._host_list_snapshots.append((time.monotonic(), list(self.hosts.values())))

    def put_notice(self, notice: dict[str, Any]) -> None:
        """Publish a reclaim notice."""
        self.notices.append({"number": len(self.notices), **notice})

    def _with_faults(self, operation: str, handler: Handler) -> Handler:
        async def handle(request: Request) -> Response:
            faults = self.faults
            # Reads the whole body first, so that a request that has arrived takes
            # effect even if its caller disconnects.
            await request.body()
            if request.headers.get("caller") in faults.cut_callers:
                return await wait_for_disconnect(request)
            if faults.operations and operation not in faults.operations:
                return await handler(request)
            if faults.slow_ms:
                await asyncio.sleep(faults.slow_ms / 1000)
            if faults.break_before:
                return await abort_without_response(request)
            if faults.refuse:
                return JSONResponse({"detail": "Refused.", "in_effect": False}, 503)
            if faults.fail_unclear:
                return JSONResponse({"detail": "Failed."}, 500)
            return await handler(request)

        return handle

    async def _append_records(self, request: Request) -> Response:
        data = await request.json()
        records = data.get("records") if isinstance(data, dict) else None
        if not records or not all(isinstance(r, dict) for r in records):
            return JSONResponse({"detail": "The records must be objects."}, 400)
        if not self._append_rate_limit.try_acquire():
            return JSONResponse({"detail": "Rate limit."}, 429, {"Retry-After": "0.1"})
        self.append_calls += 1
        stream = self.get_stream(request.path_params["stream"])
        offset = stream.append(records)
        faults = self.faults
        if faults.append_twice > 0:
            self.faults = attrs.evolve(faults, append_twice=faults.append_twice - 1)
            stream.append(records)
        if faults.lose_answers > 0:
            self.faults = attrs.evolve(
                self.faults, lose_answers=faults.lose_answers - 1
            )
            if faults.lose_by_hanging:
                return await wait_for_disconnect(request)
            return await abort_without_response(request)
        return JSONResponse({"offset": offset})

    async def _read_records(self, request: Request) -> Response:
        stream = self.get_stream(request.path_params["stream"])
        from_offset = int(request.query_params["from"])
        limit = int(request.query_params.get("limit", "100"))
        wait_ms = int(request.query_params.get("wait_ms", "0"))
        if from_offset >= stream.next_offset and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await stream.appended.wait()
            except TimeoutError:
                pass
        stream.apply_retention()
        if from_offset < stream.first_offset:
            return JSONResponse({"first_offset": stream.first_offset}, 410)
        start = max(stream.first_offset, from_offset - self.faults.replay_entries)
        return JSONResponse(
            {
                "first_offset": stream.first_offset,
                "next_offset": stream.next_offset,
                "records": stream.read(start, limit + from_offset - start),
            }
        )

    async def _list_hosts(self, request: Request) -> Response:
        visible_until_s = time.monotonic() - self.settings.host_list_lag_s
        hosts = [
            v
            for changed_s, v in self._host_list_snapshots
            if changed_s <= visible_until_s
        ][-1]
        as_of_ms = int((time.time() - self.settings.host_list_lag_s) * 1000)
        return JSONResponse({"as_of_ms": as_of_ms, "hosts": hosts})

    async def _read_weights(self, request: Request) -> Response:
        if not self._weight_rate_limit.try_acquire():
            return JSONResponse({"detail": "Rate limit."}, 429, {"Retry-After": "0.5"})
        model = request.path_params["model"]
        if model not in self.weights:
            return JSONResponse({"detail": f"There is no model {model}."}, 404)
        return JSONResponse({"bytes": self.weights[model]})

    async def _start_instance(self, request: Request) -> Response:
        data = await request.json()
        if data.get("kind") in self.settings.refuse_kinds:
            return JSONResponse({"detail": "No capacity of this kind."}, 409)
        # Starting is idempotent: a repeated request id returns the same instance.
        instance = f"i-{data['request_id']}"
        self.instances.setdefault(instance, {**data, "instance": instance})
        return JSONResponse({"instance": instance})

    async def _stop_instance(self, request: Request) -> Response:
        self.instances.pop(request.path_params["instance"], None)
        return Response(status_code=204)

    async def _read_notices(self, request: Request) -> Response:
        from_number = int(request.query_params.get("from", "0"))
        notices = self.notices[max(0, from_number) :]
        return JSONResponse({"next": len(self.notices), "notices": notices})

    async def _set_faults(self, request: Request) -> Response:
        faults, answer = await read_faults(request, PlatformFaults)
        if faults is not None:
            self.set_faults(faults)
        return answer

    async def _put_hosts(self, request: Request) -> Response:
        for host in await request.json():
            self.put_host(host)
        return Response(status_code=204)

    async def _put_weights(self, request: Request) -> Response:
        self.weights.update(await request.json())
        return Response(status_code=204)

    async def _put_notice(self, request: Request) -> Response:
        self.put_notice(await request.json())
        return Response(status_code=204)
