"""Stand-ins and helpers of the scripts in 6 to 10: store, cloud API, gateway, client.

Everything listens on loopback addresses. The stand-ins follow the pages of the
platform and need only the standard library.
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
KEY = "key-of-rota"
HOST = "rota.example"
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
# Bounds of a small deployment, in milliseconds; see RULES and the sheets of the sites.
CONTACT_MS = 3_000
CONFIG_APPLY_MS = 2_000
GRACE_S = 8.0
HEARTBEAT_S = 1.2


def find_port(address="127.0.0.1", kind=socket.SOCK_STREAM):
    """Return a free port of a loopback address."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Record:
    """Collects lines for `record.txt`, with the seconds since the start."""

    def __init__(self, path):
        self._start = time.monotonic()
        self._path = Path(path)
        self._path.write_text("")

    def now_s(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, text):
        """Write a line."""
        with self._path.open("a") as file:
            file.write(f"{self.now_s():9.3f}  {text}\n")


async def read_message(reader):
    """Read one HTTP message; return its first line, headers and body, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, headers = parse_head(head)
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def parse_head(head):
    """Split a head into its first line and its headers with lower-case names."""
    lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def write_response(status, headers=(), body=b"", reason="OK"):
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """HTTP server that keeps its connections; subclasses answer in `handle`."""

    def __init__(self, address="127.0.0.1"):
        self.host = address
        self.port = 0
        self._server = None
        self.writers = set()

    @property
    def address(self):
        """Return the address to connect to."""
        return f"{self.host}:{self.port}"

    async def start(self, port=0, **options):
        """Start it."""
        self._server = await asyncio.start_server(
            self._serve, self.host, port, **options
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def serve(self, reader, writer):
        """Answer the requests of one channel."""
        while (message := await read_message(reader)) is not None:
            reply = await self.handle(*message)
            if reply is None:
                return
            writer.write(reply)
            await writer.drain()

    async def handle(self, first, headers, body):
        """Return the response to a request; None closes the channel."""
        raise NotImplementedError

    def stop(self):
        """Stop what was started."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """Store of the platform: a log with keyed topics and one group."""

    def __init__(self, record, address="127.0.0.1"):
        super().__init__(address)
        self.record = record
        self.topics = {}
        self.epochs = {}
        self.sequences = {}
        self.replies = {}
        self.changed = asyncio.Event()
        self.generation = 0
        self.members = {}
        self.owner = None

    def put(self, topic, key, content):
        """Write a keyed record, as the operator or an upstream does."""
        name = key.encode()
        value = json.dumps(content).encode()
        self.append(topic, [bytes([len(name)]) + name + value])

    def remove(self, topic, key):
        """Remove a keyed record."""
        name = key.encode()
        self.append(topic, [bytes([len(name)]) + name])

    def append(self, topic, records):
        """Append records, and wake the reads that wait."""
        self.topics.setdefault(topic, []).extend(records)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, first, headers, body):
        """Return the response to a request; None closes the channel."""
        _, target, _ = first.split(" ")
        url = urlsplit(target)
        query = {name: items[0] for name, items in parse_qs(url.query).items()}
        topic = query.get("Topic", "")
        match url.path:
            case "/api/log-append":
                return self._append(topic, query, body)
            case "/api/log-read":
                return await self._read(topic, query)
            case "/api/log-newest":
                return self._list(topic)
            case "/api/log-join":
                return self._join(json.loads(body))
            case "/api/log-leave":
                self.members.pop(json.loads(body)["Member"], None)
                self._assign()
                return self._json(200, {})
            case _:
                return self._json(404, {})

    def _json(self, status, content):
        headers = [("Content-Type", "application/json")]
        return write_response(status, headers, json.dumps(content).encode())

    def _append(self, topic, query, body):
        records, position = [], 0
        while position + 4 <= len(body):
            (size,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        if "Producer" in query:
            epoch, number = int(query["epoch"]), int(query["Sequence"])
            known = self.epochs.get(topic, -1)
            if epoch < known:
                return self._json(409, {"Reason": "fenced"})
            if (topic, epoch, number) in self.replies:
                return self._json(200, self.replies[topic, epoch, number])
            last = self.sequences.get(topic, 0)
            if epoch == known and number != last + 1:
                return self._json(409, {"Reason": "seq", "Sequence": last + 1})
            self.epochs[topic], self.sequences[topic] = epoch, number
        offset = len(self.topics.get(topic, []))
        self.append(topic, records)
        reply = {"Offset": offset, "End": offset + len(records)}
        if "Producer" in query:
            self.replies[topic, epoch, number] = reply
        return self._json(200, reply)

    async def _read(self, topic, query):
        start = int(query["From"])
        if start > len(self.topics.get(topic, [])):
            return self._json(410, {"First": 0})
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("WaitMs", "0")) / 1000):
                while len(self.topics.get(topic, [])) <= start:
                    await self.changed.wait()
        records = self.topics.get(topic, [])
        data = struct.pack(">QQ", len(records), 0)
        for item in records[start:]:
            data += struct.pack(">I", len(item)) + item
        return write_response(200, body=data)

    def _list(self, topic):
        newest = {}
        for offset, item in enumerate(self.topics.get(topic, [])):
            key, value = item[1 : 1 + item[0]].decode(), item[1 + item[0] :]
            newest[key] = (offset, value)
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in newest.items()
            if value
        ]
        end = len(self.topics.get(topic, []))
        return self._json(200, {"Items": items, "Truncated": False, "End": end})

    def _join(self, body):
        now = time.monotonic()
        lapsed = [name for name, until in self.members.items() if until < now]
        for name in lapsed:
            del self.members[name]
        is_new = body["Member"] not in self.members
        self.members[body["Member"]] = now + body["TtlMs"] / 1000
        if is_new or lapsed:
            self._assign()
        rows = [["duty", 0, 0]] if self.owner == body["Member"] else []
        return self._json(200, {"Generation": self.generation, "parts": rows})

    def _assign(self):
        self.generation += 1
        if self.owner not in self.members:
            self.owner = next(iter(self.members), None)


class Cloud(Server):
    """Cloud API that accepts all calls and notes the usage reports."""

    def __init__(self, record, address="127.0.0.1"):
        super().__init__(address)
        self.record = record

    async def handle(self, first, headers, body):
        """Return the response to a request; None closes the channel."""
        self.record.write(
            f"cloud: {first.split(' ')[1]} token {headers.get('x-fencing-token')}"
            f" {body.decode()}"
        )
        return write_response(200, body=b"{}")


def make_route(name, kind, service, **fields):
    """Return a route; its prefix is its name."""
    route = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Type": kind,
        "Service": service,
        "TimeoutMs": 15_000,
        "SloMs": 1_200,
        "Priority": 1,
        "MaxAttempts": 1,
        "Public": False,
    }
    return route | fields


def make_configuration(routes, services, version=7, **fields):
    """Return a configuration with one tenant."""
    configuration = {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
        "Tenants": [{"Name": "rota", "ApiKeys": [KEY]}],
    }
    return configuration | fields


class Gateway:
    """A gateway, started with the command of the deploy file."""

    def __init__(self, record, folder, number, ports, store, cloud, seeds=(), **extra):
        self.record = record
        self.name = f"front-vom-{number}"
        self.host = f"127.0.{os.getpid() % 200 + 20}.{number}"
        self.ports = ports
        self.folder = Path(folder)
        self.process = None
        self.settings = {
            "host_id": self.name,
            "data_centre": "vom",
            "ip": self.host,
            "caller_address": f"{self.host}:{ports['caller']}",
            "ready_address": f"{self.host}:{ports['ready']}",
            "control_address": f"{self.host}:{ports['control']}",
            "peer_port": ports["peer"],
            "seeds": list(seeds),
            "is_first_start": True,
            "size": {
                "link_mbps": 1000.0,
                "core_share": 0.537,
                "core_speed": 2,
                "memory_mb": 300,
                "max_descriptors": 4200,
            },
            "store": {"address": store, "min_ttl_ms": 1000},
            "cloud": {"address": cloud, "duties": ["usage", "scale"]},
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
            **extra,
        }

    async def start(self):
        """Start it."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "WAXWINGBARROW_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.log_path = self.folder / f"{self.name}.log"
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "waxwingbarrow.bridge",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.write(f"{self.name}: started")

    def send_signal(self, number):
        """Send a signal to the process."""
        self.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        """Ask whether the gateway is ready, as the platform does."""
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                self.host, self.ports["ready"]
            )
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        return False

    async def wait_ready(self, timeout_s=20):
        """Wait until the gateway is ready."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)
        self.record.write(f"{self.name}: ready")

    async def kill(self):
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Answer:
    """What a client got: status, headers, body, and whether it is complete."""

    def __init__(self, status, headers, body, is_complete, end):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete
        self.end = end

    def describe(self):
        """Return a text for the record."""
        state = "complete" if self.is_complete else f"incomplete ({self.end})"
        return f"status {self.status}, {len(self.body)} bytes, {state}"


class Client:
    """A client's channel to a gateway, kept for several requests."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.reader = self.writer = None

    async def open(self):
        """Open the channel."""
        self.reader, self.writer = await asyncio.open_connection(
            self.gateway.host, self.gateway.ports["caller"]
        )
        return self

    def close(self):
        """Close the channel."""
        if self.writer is not None:
            self.writer.transport.abort()

    async def ask(self, method, path, request_id, body=b"", timeout_s=20, **headers):
        """Send a request and read its answer."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines.append(f"X-Request-Id: {request_id}")
        lines.append(f"Authorization: Bearer {KEY}")
        lines += [
            f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        status, fields, data = 0, {}, b""
        try:
            async with asyncio.timeout(timeout_s):
                head = await self.reader.readuntil(b"\r\n\r\n")
                first, fields = parse_head(head)
                status = int(first.split(" ")[1])
                if fields.get("transfer-encoding") == "chunked":
                    while True:
                        size = int(await self.reader.readuntil(b"\r\n"), 16)
                        part = await self.reader.readexactly(size + 2)
                        if not size:
                            break
                        data += part[:-2]
                else:
                    length = int(fields.get("content-length", "0"))
                    data = await self.reader.readexactly(length)
            return Answer(status, fields, data, True, "")
        except TimeoutError:
            return Answer(status, fields, data, False, "no end in time")
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            end = "reset" if isinstance(error, ConnectionError) else "closed"
            return Answer(status, fields, data, False, end)


class Platform:
    """Store, cloud API and gateways of a small deployment, in a temporary folder."""

    def __init__(self, record, gateway_count=1):
        self.record = record
        self._folder = tempfile.TemporaryDirectory()
        self.store = Store(record)
        self.cloud = Cloud(record)
        self.gateways = []
        self.servers = []
        self._count = gateway_count
        self._beats = None
        self.entries = {}

    async def start(self, configuration, store_address=None, cloud_address=None):
        """Start it."""
        await self.store.start()
        await self.cloud.start()
        self.store.put("keyed.op", "config", configuration)
        kinds = {"caller": 1, "ready": 1, "control": 1, "peer": 1}
        ports = {kind: find_port() for kind in kinds}
        for number in range(1, self._count + 1):
            gateway = Gateway(
                self.record,
                self._folder.name,
                number,
                ports,
                store_address or self.store.address,
                cloud_address or self.cloud.address,
            )
            self.gateways.append(gateway)
        self._beats = asyncio.create_task(self._beat())
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        # Hosts find each other and count as in touch.
        await asyncio.sleep(CONTACT_MS / 1000)

    def add_server(self, server, name, service, slots=8, **fields):
        """Register a server, as it does itself in its check-ins."""
        self.servers.append(server)
        self.entries[name] = {
            "Service": service,
            "Address": server.address,
            "Zone": "vom",
            "Version": "v1",
            "Slots": slots,
            "State": "ready",
            "ColdLeftMs": 0,
            "Sequence": 1,
            "born": int(time.time() * 1000),
            **fields,
        }
        self.store.put("keyed.servers", name, self.entries[name])

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name, entry in self.entries.items():
                entry["Sequence"] += 1
                self.store.put("keyed.servers", name, entry)

    async def stop(self):
        """Stop what was started."""
        if self._beats is not None:
            self._beats.cancel()
        for gateway in self.gateways:
            await gateway.kill()
        for server in (self.store, self.cloud, *self.servers):
            server.stop()
        self._folder.cleanup()


def is_disturbed():
    """Whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(main, folder):
    """Run a case; return its exit status: 0 held, 1 broken, 2 could not run."""
    record = Record(Path(folder) / "record.txt")
    record.write(f"disruption: {'yes' if is_disturbed() else 'no'}")
    try:
        is_broken = asyncio.run(main(record))
    except Exception as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
    record.write("the rule was broken" if is_broken else "the rule held")
    print("broken" if is_broken else "held")
    return 1 if is_broken else 0
