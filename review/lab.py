"""Stand-ins and processes for the scripts of this review; standard library only.

The stand-ins run in the process of the script. The gateways are separate processes,
started with the command of the deploy file, each at its own loopback address.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
DEPS = ROOT / "target" / "deps"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.5
GRACE_S = 8
# Machines that run at the same time before they are replaced.
BATCH = 8
KEY = "key-of-keepers"
HOST = "forum.example"


class CannotRunError(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Request:
    """A request that a stand-in received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_headers(reader):
    """Read header lines up to the empty one; names are in lower case."""
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n"):
        if not line:
            raise ConnectionResetError("closed within the head")
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def read_request(reader):
    """Read one request; None if the connection was closed before it."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = await read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def write_reply(writer, status, body=b"", headers=()):
    """Write a complete response with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)


class Server:
    """HTTP/1.1 server of a stand-in; one request at a time on a connection."""

    def __init__(self, address="127.0.0.1"):
        self.host = address
        self.port = 0
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        """Host and port."""
        return f"{self.host}:{self.port}"

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await self.handle(request, writer)
                if writer.is_closing():
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, request, writer):
        """Answer one request."""
        raise NotImplementedError


def write_json(writer, status, content):
    """Write a response with a JSON body."""
    body = json.dumps(content).encode()
    write_reply(writer, status, body, [("Content-Type", "application/json")])


class Store(Server):
    """Metadata store: appends, reads with a wait, listings and one duty group.

    The first live member of the group holds all partitions.
    """

    def __init__(self):
        super().__init__()
        self.topics = {}
        self._epochs = {}
        self._replies = {}
        self._changed = asyncio.Event()
        self._members = {}
        self._holder = None
        self._generation = 0

    def put(self, topic, key, value):
        """Write a keyed record as the operator, a worker or another writer does."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        name = key.encode()
        self._append(topic, [bytes([len(name)]) + name + value])

    def _append(self, topic, records):
        self.topics.setdefault(topic, []).extend(records)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request, writer):
        """Answer one call."""
        url = urlsplit(request.target)
        query = {name: items[0] for name, items in parse_qs(url.query).items()}
        topic = query.get("Topic", "")
        match url.path:
            case "/api/log-append":
                self._handle_append(topic, query, request.body, writer)
            case "/api/log-read":
                await self._handle_read(topic, query, writer)
            case "/api/log-newest":
                self._handle_newest(topic, writer)
            case "/api/log-join":
                self._handle_join(json.loads(request.body), writer)
            case "/api/log-leave":
                self._members.pop(json.loads(request.body)["Member"], None)
                write_json(writer, 200, {})
            case _:
                write_json(writer, 404, {})

    def _handle_append(self, topic, query, body, writer):
        if topic in ("keyed.op", "keyed.servers"):
            write_json(writer, 403, {})
            return
        records, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        if "Producer" in query:
            epoch, number = int(query["epoch"]), int(query["Sequence"])
            newest, last = self._epochs.get(topic, (0, None))
            if epoch < newest:
                write_json(writer, 409, {"Reason": "fenced"})
                return
            known = self._replies.get((topic, epoch, number))
            if known is not None:
                write_json(writer, 200, known)
                return
            if epoch == newest and last is not None and number != last + 1:
                write_json(writer, 409, {"Reason": "seq", "Sequence": last + 1})
                return
            self._epochs[topic] = (epoch, number)
        offset = len(self.topics.get(topic, []))
        self._append(topic, records)
        reply = {"Offset": offset, "End": offset + len(records)}
        if "Producer" in query:
            self._replies[topic, epoch, number] = reply
        write_json(writer, 200, reply)

    async def _handle_read(self, topic, query, writer):
        start = int(query["From"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("WaitMs", 0)) / 1000):
                while len(self.topics.get(topic, [])) <= start:
                    await self._changed.wait()
        records = self.topics.get(topic, [])
        data = struct.pack(">QQ", len(records), 0)
        for record in records[start:]:
            data += struct.pack(">I", len(record)) + record
        write_reply(writer, 200, data)

    def _handle_newest(self, topic, writer):
        newest = {}
        records = self.topics.get(topic, [])
        for offset, record in enumerate(records):
            key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
            newest[key.decode()] = (value, offset)
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (value, offset) in newest.items()
            if value
        ]
        content = {"Items": items, "Truncated": False, "End": len(records)}
        write_json(writer, 200, content)

    def _handle_join(self, body, writer):
        now_s = time.monotonic()
        self._members = {m: at for m, at in self._members.items() if at > now_s}
        if body["Member"] not in self._members:
            self._generation += 1
        self._members[body["Member"]] = now_s + body["TtlMs"] / 1000
        if self._holder not in self._members:
            self._holder = body["Member"]
            self._generation += 1
        rows = []
        if self._holder == body["Member"]:
            rows = [["duty", part, 0] for part in range(8)]
        write_json(writer, 200, {"Generation": self._generation, "parts": rows})


class Cloud(Server):
    """Cloud API that checks fencing tokens and accepts the rest."""

    def __init__(self):
        super().__init__()
        self._token = 0

    async def handle(self, request, writer):
        """Answer one call."""
        token = int(request.headers.get("x-fencing-token", 0))
        if token < self._token:
            write_json(writer, 409, {"Error": "fenced"})
            return
        self._token = token
        write_json(writer, 200, {})


class Worker(Server):
    """Worker of one service.

    Attributes
    ----------
    runs : dict
        Request id, and status of the run: ``running``, ``done``, ``failed``, ``cut``
        or ``moved``.
    """

    def __init__(self, name, service, store, record, **fields):
        super().__init__()
        self.name = name
        self.runs = {}
        self.record = record
        self._store = store
        self._sequence = 0
        self._entry = {
            "Service": service,
            "Zone": "kolkata-a",
            "Version": "v1",
            "Slots": 6,
            "State": "ready",
            "ColdLeftMs": 0,
            "born": int(time.time() * 1000),
        } | fields

    async def start(self):
        """Listen and register."""
        await super().start()
        self.beat = asyncio.create_task(self._register_periodically())

    async def _register_periodically(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self, **changes):
        """Write the registration, with changed fields."""
        self._entry |= changes
        self._sequence += 1
        entry = {"Address": self.address, "Sequence": self._sequence} | self._entry
        self._store.put("keyed.servers", self.name, entry)

    def make_headers(self, request):
        """Return the headers that every response to a request has."""
        return [
            ("X-Request-Id", request.headers.get("x-request-id", "")),
            ("X-Server-Signature", f"signed.{self.name}"),
        ]

    async def handle(self, request, writer):
        """Answer one request."""
        if request.target == "/health":
            write_reply(writer, 200, b"", [("X-Instance-Id", self.name)])
            return
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            write_reply(writer, 421, b"", self.make_headers(request)[:1])
            return
        request_id = request.headers["x-request-id"]
        self.runs[request_id] = "running"
        try:
            await self.run(request, request_id, writer)
        except OSError:
            self.runs[request_id] = "cut"
            raise
        self.record.note("run", id=request_id, at=self.name, end=self.runs[request_id])

    async def run(self, request, request_id, writer):
        """Run a request and write its response."""
        await asyncio.sleep(0.02)
        body = f"done {request_id}\n".encode() * 20
        write_reply(writer, 200, body, self.make_headers(request))
        self.runs[request_id] = "done"


class StreamWorker(Worker):
    """Worker that answers with a stream of events."""

    def __init__(self, *args, events=10, interval_s=0.05, **fields):
        super().__init__(*args, **fields)
        self.events = events
        self.interval_s = interval_s

    async def run(self, request, request_id, writer):
        """Write a stream in chunks."""
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self.make_headers(request)]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.interval_s)
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if writer.is_closing():
                raise ConnectionResetError("the gateway closed the connection")
        writer.write(b"0\r\n\r\n")
        self.runs[request_id] = "done"


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, folder):
        self._path = Path(folder) / "record.txt"
        self._file = self._path.open("w")
        self._start_s = time.monotonic()

    def note(self, event, **fields):
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        elapsed_s = time.monotonic() - self._start_s
        self._file.write(f"{elapsed_s:8.3f} {event} {text}\n")
        self._file.flush()

    def say(self, text):
        """Write a line to the file and to standard output."""
        self._file.write(text + "\n")
        self._file.flush()
        print(text, flush=True)


def find_ports(address, count):
    """Return free ports of an address for TCP and UDP."""
    found = []
    while len(found) < count:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((address, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((address, port))
            except OSError:
                continue
            if port not in found:
                found.append(port)
    return found


class GatewayProcess:
    """A gateway that is started again after a short delay when it ends.

    Attributes
    ----------
    own_ends : list
        Exit status and time in seconds of each end without a signal of the script.
    """

    def __init__(self, number, folder, ports, lab):
        self.name = f"front-kolkata-a-{number}"
        self.host = lab.find_host(number)
        self.ports = ports
        self.own_ends = []
        self.starts = 0
        self._path = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"
        self._record = lab.record
        self._process = None
        self._is_ending = False
        caller, ready, control, peer = ports
        settings = {
            "host_id": self.name,
            "data_centre": "kolkata-a",
            "ip": self.host,
            "caller_address": f"{self.host}:{caller}",
            "ready_address": f"{self.host}:{ready}",
            "control_address": f"{self.host}:{control}",
            "peer_port": peer,
            "seeds": [f"{lab.find_host(seed)}:{control}" for seed in (1, 2, 3)],
            "is_first_start": True,
            "size": {"link_mbps": 1000.0, "core_share": 0.537, "core_speed": 2},
            "store": {"address": lab.store.address, "min_ttl_ms": 1000},
            "cloud": {"address": lab.cloud.address, "duties": ["usage", "scale"]},
            "bounds": {
                "drain_ms": 2000,
                "grace_s": GRACE_S,
                "budget_ratio": 0.2,
                "budget_window_s": 10,
                "budget_slack": 52,
                "quota_slack": 140000,
                "lease_ms": 3000,
                "usage_window_s": 5,
                "usage_late_s": 10,
                "max_exposure_share": 0.1,
                "exposure_slack": 50,
            },
            "metrics_port": 0,
        }
        self._path.write_text(json.dumps(settings))

    async def keep_running(self):
        """Run the process, and start it again when it ends, until cancelled."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(DEPS),
            "WAXWINGBARROW_BOOT": str(self._path),
        }
        while not self._is_ending:
            with self._log.open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    *("python3", "-m", "waxwingbarrow.bridge"),
                    cwd=ROOT,
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
            self.starts += 1
            self._record.note("start", process=self.name)
            status = await self._process.wait()
            if self._is_ending:
                return
            self.own_ends.append((status, time.monotonic()))
            self._record.note("own-end", process=self.name, status=status)
            await asyncio.sleep(RESTART_DELAY_S)

    def send_signal(self, number):
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def measure_resident_mb(self):
        """Return the private memory of the process in MiB; 0 if it does not run.

        Files that it has mapped are left out.
        """
        if self._process is None or self._process.returncode is not None:
            return 0
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0
        sizes = [line for line in status.splitlines() if line.startswith("RssAnon:")]
        return int(sizes[0].split()[1]) // 1024 if sizes else 0

    def end(self):
        """Kill the process for good."""
        self._is_ending = True
        self.send_signal(signal.SIGKILL)

    async def is_ready(self):
        """Ask the readiness address, as the platform does."""
        try:
            async with asyncio.timeout(1):
                client = Client(self.host, self.ports[1])
                answer = await client.send("GET", "/api/ready", "probe")
                client.close()
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    def list_log_errors(self):
        """Return the messages of the lines of level ERROR in the log."""
        found = []
        for line in self._log.read_text(errors="replace").splitlines():
            if '"ERROR"' in line:
                with contextlib.suppress(ValueError):
                    entry = json.loads(line)
                    error = str(entry.get("exc_info", "")).strip().split("\n")[-1]
                    found.append(f"{entry.get('message')}: {error}")
        return found


class Answer:
    """A response as the client received it."""

    def __init__(self, status, headers, body, is_complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete


class Client:
    """One channel of a client, kept for many requests."""

    def __init__(self, host, port):
        self._address = (host, port)
        self._reader = self._writer = None

    async def send(self, method, path, request_id, headers=(), body=b""):
        """Send a request and return the answer.

        Status 0 stands for a channel that was closed without an answer.
        """
        if self._writer is None:
            # Not wait_for, which may lose a cancellation.
            async with asyncio.timeout(1):
                opened = await asyncio.open_connection(*self._address)
            self._reader, self._writer = opened
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"X-Request-Id: {request_id}", f"Authorization: Bearer {KEY}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        try:
            self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await self._writer.drain()
            answer = await self._read_answer()
        except (OSError, asyncio.IncompleteReadError):
            answer = Answer(0, {}, b"", False)
        closes = answer.headers.get("connection", "").lower() == "close"
        if closes or not answer.is_complete:
            self.close()
        return answer

    async def _read_answer(self):
        line = await self._reader.readline()
        if not line:
            raise ConnectionResetError("closed")
        status = int(line.split()[1])
        headers = await read_headers(self._reader)
        body = b""
        try:
            if headers.get("transfer-encoding") == "chunked":
                while size := int(await self._reader.readuntil(b"\r\n"), 16):
                    body += (await self._reader.readexactly(size + 2))[:-2]
                await self._reader.readuntil(b"\r\n")
            else:
                size = int(headers.get("content-length", 0))
                body = await self._reader.readexactly(size)
        except (OSError, asyncio.IncompleteReadError):
            return Answer(status, headers, body, False)
        return Answer(status, headers, body, True)

    def close(self):
        """Close the channel; the next request opens another."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def make_route(prefix, kind, service, **fields):
    """Return a route of the configuration."""
    route = {
        "Name": prefix.strip("/"),
        "Host": HOST,
        "PathPrefix": prefix,
        "Type": kind,
        "Service": service,
        "TimeoutMs": 15000,
        "SloMs": 1000,
        "Priority": 1,
        "MaxAttempts": 1,
        "Public": False,
        "Resumable": False,
    }
    return route | fields


def make_configuration(engine=None):
    """Return a configuration with one route of each kind."""
    pool = {"Name": "assistant-pool", "HealthPath": "/health", "MaxConns": 360}
    if engine is not None:
        pool["Engine"] = engine
    desk = {"Name": "swap-desk", "HealthPath": "/health", "MaxConns": 96}
    return {
        "Version": 1,
        "Routes": [
            make_route("/plan/", "stream", "assistant-pool", Sticky=True),
            make_route("/register/", "non_idempotent", "swap-desk"),
            make_route("/read/", "idempotent", "swap-desk", MaxAttempts=2),
        ],
        "Services": [pool, desk],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "keepers", "ApiKeys": [KEY], "Unit": "tokens"}],
    }


class Lab:
    """A small deployment: store, cloud API, workers and gateways."""

    def __init__(self, case_folder):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(case_folder)
        self.store = Store()
        self.cloud = Cloud()
        self.gateways = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._tasks = []
        # Scripts that run at the same time use other loopback addresses.
        self._network = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}"

    def find_host(self, number):
        """Return the loopback address of a gateway."""
        return f"{self._network}.{number}"

    async def start(self, gateways, configuration, workers, replaced=0):
        """Start all parts and wait until the gateways are ready.

        Parameters
        ----------
        workers : callable
            Returns the workers, given the store and the record.
        replaced : int
            Number of machines that served before and were removed for good.
        """
        if not (DEPS / "waxwingbarrow").is_dir():
            raise CannotRunError("the build of the deploy file has not run")
        await self.store.start()
        await self.cloud.start()
        self.store.put("keyed.op", "config", configuration)
        self.workers = workers(self.store, self.record)
        for worker in self.workers:
            await worker.start()
        ports = find_ports(self.find_host(1), 4)
        await self._play_replaced(replaced, ports)
        for number in range(replaced + 1, replaced + gateways + 1):
            self._start_gateway(number, ports)
        deadline_s = time.monotonic() + 15
        while not all([await gateway.is_ready() for gateway in self.gateways]):
            if time.monotonic() > deadline_s:
                raise CannotRunError("the gateways did not become ready")
            await asyncio.sleep(0.2)
        # The gateways hear each other and one takes the duties.
        await asyncio.sleep(3)

    def _start_gateway(self, number, ports):
        process = GatewayProcess(number, Path(self._folder.name), ports, self)
        self.gateways.append(process)
        self.spawn(process.keep_running())

    async def _play_replaced(self, count, ports):
        """Run machines until they are registered, and remove them for good."""
        for first in range(1, count + 1, BATCH):
            last = min(first + BATCH - 1, count)
            for number in range(first, last + 1):
                self._start_gateway(number, ports)
            deadline_s = time.monotonic() + 15
            while len(self.store.topics.get("keyed.hosts", [])) < last:
                if time.monotonic() > deadline_s:
                    raise CannotRunError("the earlier machines did not register")
                await asyncio.sleep(0.1)
            for gateway in self.gateways:
                gateway.end()
            self.gateways.clear()
        self.record.note("replaced", machines=count)

    def spawn(self, work):
        """Run a coroutine beside the script; its failure ends the script."""
        task = asyncio.create_task(work)
        self._tasks.append(task)
        return task

    async def stop(self):
        """End all processes and tasks."""
        for gateway in self.gateways:
            gateway.end()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=3)
        self._folder.cleanup()


def run_case(case_folder, play, limit_s=115):
    """Play a case and exit with its result."""

    async def run():
        lab = Lab(case_folder)

        def give_up(number, frame):
            for gateway in lab.gateways:
                gateway.end()
            os._exit(NOT_RUN)

        for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, give_up)
        signal.alarm(limit_s + 4)
        try:
            async with asyncio.timeout(limit_s):
                result = await play(lab)
        except (CannotRunError, TimeoutError, OSError) as error:
            lab.record.say(f"the case could not run: {error!r}")
            result = NOT_RUN
        finally:
            await lab.stop()
        names = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}
        trouble = "with" if lab.has_trouble else "without"
        lab.record.say(f"result {trouble} the disruption: {names[result]}")
        return result

    result = asyncio.run(run())
    sys.stdout.flush()
    # Not sys.exit, which reports connections that are still open.
    os._exit(result)
