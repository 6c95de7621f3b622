"""Stand-ins for the cases of the second review: store, instances, callers and daemon processes.

Needs only the standard library. Everything listens on loopback addresses and free ports.
"""

import asyncio
import contextlib
import json
import os
import re
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = ROOT / "deploy" / "system.toml"
OBJECTS = "/dotterelstand/objects/"
PAGE_OBJECTS = 500
ZONES = {"tema-a": "tema", "tema-b": "tema"}
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Lines of `record.txt`, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


def free_ports(address: str, count: int) -> list[int]:
    """Ports that nothing listens on."""
    held = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((address, 0))
        held.append(probe)
    ports = [probe.getsockname()[1] for probe in held]
    for probe in held:
        probe.close()
    return ports


# Settings -----------------------------------------------------------------------------------------


def _lookup(name: str, scopes: list[Any]) -> Any:
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value: Any = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def _text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool | dict):
        return json.dumps(value)
    return ",".join(map(_text, value)) if isinstance(value, list) else str(value)


_SECTION = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([^}#^/]+)\}\}")


def render(template: str, scopes: list[Any]) -> str:
    """Fill in a template as `DEPLOY.md` describes it; sections of one name do not nest."""

    def section(match: re.Match[str]) -> str:
        value = _lookup(match[2], scopes)
        empty = value is None or value is False
        if match[1] == "^":
            return render(match[3], scopes) if empty else ""
        if empty:
            return ""
        if not isinstance(value, list | dict):
            return render(match[3], [*scopes, value] if value is not True else scopes)
        pairs = list(value.items() if isinstance(value, dict) else enumerate(value))
        done = []
        for number, (key, item) in enumerate(pairs):
            inner = match[3].replace("{{@}}", str(key))
            inner = inner.replace("{{,}}", "," if number + 1 < len(pairs) else "")
            done.append(render(inner, [*scopes, item]))
        return "".join(done)

    whole = _SECTION.sub(section, template)
    return _VALUE.sub(lambda match: _text(_lookup(match[1].strip(), scopes)), whole)


# Store --------------------------------------------------------------------------------------------


class Store:
    """The platform's metadata store as `PROTOCOL.md` describes it, as far as daemons use it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.address = "127.0.0.1"
        self.port = 0
        self.revision = 100
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.oldest = 100
        self.calls = 0
        self.down = False
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.address, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create an object or replace its spec; a change that changes nothing has no effect."""
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return
        self.revision += 1
        made = old["metadata"]["createRev"] if old else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "createRev": made,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._note(kind, item, False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            item = {**item, "metadata": {**item["metadata"], "revision": self.revision}}
            self._note(kind, item, True)

    def _note(self, kind: str, item: dict[str, Any], removed: bool) -> None:
        self.history.append((self.revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                self.calls += 1
                if self.down:
                    status, body = 503, b""
                else:
                    status, body = await self._answer(request)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer(self, request: "Request") -> tuple[int, bytes]:
        url = urlsplit(request.path)
        kind, _, name = url.path.removeprefix(OBJECTS).partition("/")
        kind, name = unquote(kind), unquote(name)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if request.method == "GET":
            if "watch" in query:
                return await self._watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000)
            if name:
                item = self.objects.get((kind, name))
                return (200, json.dumps(item).encode()) if item else (404, b"")
            names = sorted(key[1] for key in self.objects if key[0] == kind)
            names = [item for item in names if item > query.get("after", "")]
            items = [self.objects[kind, item] for item in names[:PAGE_OBJECTS]]
            more = len(names) > PAGE_OBJECTS
            page = {"items": items, "hasMore": more, "currentRev": self.revision}
            return 200, json.dumps(page).encode()
        body = json.loads(request.body or b"{}")
        name = name.removesuffix("/status") or body["metadata"]["name"]
        item = self.objects.get((kind, name))
        if request.method == "POST":
            if item is not None:
                return 409, json.dumps(item).encode()
            self.put(kind, name, body["spec"])
            return 201, json.dumps(self.objects[kind, name]).encode()
        if item is None:
            return 404, b""
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, b"{}"
        self.put(kind, name, body["spec"])
        return 200, json.dumps(self.objects[kind, name]).encode()

    async def _watch(self, kind: str, revision: int, wait_s: float) -> tuple[int, bytes]:
        until = time.monotonic() + wait_s
        while True:
            if revision < self.oldest or revision > self.revision:
                return 410, b""
            events = [
                {"object": item, "removed": removed}
                for at, of, item, removed in self.history
                if at > revision and of == kind
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                found = {"events": events, "currentRev": self.revision}
                return 200, json.dumps(found).encode()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


# Messages -----------------------------------------------------------------------------------------


class Request:
    """One request that was read."""

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        """Request id."""
        return self.headers.get("x-dotterelstand-request-id", "")


class Answer:
    """One answer that was read; `complete` if its end was seen as HTTP defines it."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, complete: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a head; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Read a chunked body; also whether it was complete."""
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if not size:
                await reader.readuntil(b"\r\n")
                return body, True
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request with its whole body; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, path, _ = head[0].split(" ", 2)
    headers = head[1]
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        body, _ = await read_chunks(reader)
    elif headers.get("content-length", "0") != "0":
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, path, headers, body)


async def read_answer(reader: asyncio.StreamReader) -> Answer | None:
    """Read one answer; None if the connection ends before its head is whole."""
    try:
        head = await read_head(reader)
    except ConnectionError:
        return None
    if head is None:
        return None
    status = int(head[0].split(" ")[1])
    headers = head[1]
    if "chunked" in headers.get("transfer-encoding", ""):
        return Answer(status, headers, *await read_chunks(reader))
    if "content-length" in headers:
        size = int(headers["content-length"])
        try:
            return Answer(status, headers, await reader.readexactly(size), True)
        except asyncio.IncompleteReadError as error:
            return Answer(status, headers, error.partial, False)
        except ConnectionError:
            return Answer(status, headers, b"", False)
    try:
        return Answer(status, headers, await reader.read(-1), True)
    except ConnectionError:
        return Answer(status, headers, b"", False)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    opened = writer.get_extra_info("socket")
    if opened is not None and opened.fileno() >= 0:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# Instances ----------------------------------------------------------------------------------------

Handler = Callable[["Instance", Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


class Instance:
    """A sound instance; `handler`, if set, takes over each request behind its head.

    The handler returns whether the connection can go on.
    """

    def __init__(self, name: str, service: str, record: Record, zone: str = "tema-a") -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.address = "127.0.0.1"
        self.port = 0
        self.born = int(time.time() * 1000)
        self.slots = 8
        self.sequence = 1
        self.state = "ready"
        self.work_s = 0.02
        self.leaving = False
        self.handler: Handler | None = None
        self.receive_buffer = 0
        self.runs: list[str] = []
        self.running = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        listening.bind((self.address, self.port))
        self._server = await asyncio.start_server(self._serve, sock=listening, limit=1 << 16)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the port and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def entry(self) -> dict[str, Any]:
        """Registration in the store."""
        return {
            "address": f"{self.address}:{self.port}",
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "warmupLeftS": 0},
            "born": self.born,
        }

    def head(self, request_id: str, status: str = "200 OK", **headers: str) -> bytes:
        """Head of an answer of this instance."""
        fields = {
            "X-Dotterelstand-Request-Id": request_id,
            "X-Dotterelstand-Server-Signature": SIGNATURE,
            "X-Dotterelstand-Server-Load": f"{self.running},0,{self.slots},100",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if self.leaving:
            fields["Server-Leaving"] = "1"
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
        return f"HTTP/1.1 {status}\r\n{lines}\r\n".encode()

    def whole(self, request_id: str, body: bytes, status: str = "200 OK", **headers: str) -> bytes:
        """A complete answer."""
        return self.head(request_id, status, Content_Length=str(len(body)), **headers) + body

    def health(self) -> bytes:
        """Answer to a health check."""
        status = "503 Service Unavailable" if self.leaving else "200 OK"
        return self.whole("", b"", status, X_Dotterelstand_Instance_Id=self.name)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, path, _ = head[0].split(" ", 2)
                request = Request(method, path, head[1], b"")
                if path == "/health":
                    writer.write(self.health())
                    await writer.drain()
                    continue
                if self.handler is not None:
                    if not await self.handler(self, request, reader, writer):
                        return
                    continue
                await self.read_body(request, reader)
                if not await self.run(request, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def read_body(self, request: Request, reader: asyncio.StreamReader) -> None:
        """Read the body behind the head."""
        if "chunked" in request.headers.get("transfer-encoding", ""):
            request.body, complete = await read_chunks(reader)
            if not complete:
                raise ConnectionResetError
        elif request.headers.get("content-length", "0") != "0":
            request.body = await reader.readexactly(int(request.headers["content-length"]))

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Run a request as a sound instance does."""
        expected = request.headers.get("x-dotterelstand-target-instance")
        if expected not in (None, self.name):
            identity = {"X_Dotterelstand_Instance_Id": self.name}
            writer.write(self.whole(request.id, b"", "421 Misdirected Request", **identity))
            return True
        self.runs.append(request.id)
        self.running += 1
        self.record.write(f"run {request.id} at {self.name} {request.method} {request.path}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        writer.write(self.whole(request.id, f"{self.name} {request.id}".encode()))
        await writer.drain()
        return True


# Configurations -----------------------------------------------------------------------------------


def route(service: str, prefix: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Resource of a route of the host `desk.example`."""
    spec = {
        "host": "desk.example",
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutS": 3,
        "targetLatencyS": 0.5,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **changes,
    }
    return {"resourceType": "routes", "metadata": {"name": f"r-{prefix.strip('/')}"}, "spec": spec}


def configuration(version: int, routes: list[dict[str, Any]], services: list[str]) -> Any:
    """A whole configuration."""
    spec = {"healthPath": "/health", "maxConns": 240, "protocol": "h1", "tls": False}
    described = [
        {"resourceType": "services", "metadata": {"name": name}, "spec": spec} for name in services
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    }
    bounds = {"resourceType": "limits", "metadata": {"name": "limits"}, "spec": limits}
    return {"version": f"{version:08x}", "resources": [*routes, *described, bounds]}


# Daemons ------------------------------------------------------------------------------------------


class Daemon:
    """One daemon process with the command, environment and template of the deploy file."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet = fleet
        self.name = f"front-{number}"
        self.address = f"127.{fleet.net}.1.{number}"
        front, ready = free_ports(self.address, 2)
        self.front = front
        self.ready_port = ready
        self.process: asyncio.subprocess.Process | None = None
        self.settings = fleet.folder / f"{self.name}.toml"
        self.output = fleet.folder / f"{self.name}.log"
        self.zone = sorted(ZONES)[(number - 1) % len(ZONES)]

    def write_settings(self, bootstrap: bool = True) -> None:
        """Fill in the template of the deploy file."""
        address = self.address
        boot = {
            "nodeName": self.name,
            "ip": address,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": {
                "frontend": f"{address}:{self.front}",
                "readiness": f"{address}:{self.ready_port}",
            },
            "internalPorts": self.fleet.internal,
            "bootstrap": bootstrap,
            "limits": {
                "cpuShare": 0.86,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "bounds": self.fleet.bounds,
            "provider": {"address": f"{self.fleet.store.address}:{self.fleet.store.port}"},
        }
        role = self.fleet.role
        text = render((ROOT / role["template"]).read_text(encoding="utf-8"), [boot])
        text = text.replace(f"{address}:9464", f"{address}:{self.fleet.metrics}")
        self.settings.write_text(text, encoding="utf-8")

    async def start(self, bootstrap: bool = True) -> None:
        """Start the process."""
        self.write_settings(bootstrap)
        role = self.fleet.role
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment |= {name: str(self.settings) for name in role["env"]}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.output.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self, limit_s: float = 15.0) -> bool:
        """Wait until the daemon says that it is ready."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.says_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def says_ready(self) -> bool:
        """Ask once whether the daemon is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.address, self.ready_port)
                writer.write(b"GET /dotterelstand/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await read_answer(reader)
                writer.close()
                return answer is not None and answer.status == 200
        except (OSError, TimeoutError):
            return False

    def events(self, *names: str) -> list[dict[str, Any]]:
        """Log lines with these messages."""
        found = []
        for line in self.output.read_text(errors="replace").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if entry.get("message") in names:
                found.append(entry)
        return found


class Fleet:
    """Store, instances and daemons of one run; ends all processes that it started."""

    def __init__(self, case: str) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(Path(case).resolve().parent / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.instances: dict[str, Instance] = {}
        self.daemons: list[Daemon] = []
        self.net = secrets.randbelow(200) + 20
        first = free_ports(f"127.{self.net}.1.1", 3)
        self.internal, self.metrics = first[:2], first[2]
        with DEPLOY.open("rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]
        self.bounds: dict[str, Any] = {
            "stableWindowS": 3,
            "ackS": 4,
            "drainS": 2,
            "graceS": 6,
            "configApplyS": 2,
            "retryBudgetRatio": 0.2,
            "retryWindowS": 10,
            "retrySlack": 60,
            "recoverS": 15,
        }

    async def __aenter__(self) -> "Fleet":
        await self.store.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
        for daemon in self.daemons:
            if daemon.process is not None:
                await daemon.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def add_instance(self, name: str, service: str, **fields: Any) -> Instance:
        """Start and register an instance."""
        instance = Instance(name, service, self.record)
        for field, value in fields.items():
            setattr(instance, field, value)
        await instance.start()
        self.instances[name] = instance
        self.register(instance)
        return instance

    def register(self, instance: Instance) -> None:
        """Write an instance's registration."""
        self.store.put("servers", instance.name, instance.entry())

    async def start_daemons(self, count: int) -> bool:
        """Start daemons together; whether all became ready."""
        self.daemons = [Daemon(self, number + 1) for number in range(count)]
        for daemon in self.daemons:
            await daemon.start()
        return all([await daemon.ready() for daemon in self.daemons])

    def new_id(self) -> str:
        """A new request id."""
        return secrets.token_hex(8)


class Caller:
    """One connection of a caller."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def __aenter__(self) -> "Caller":
        opening = asyncio.open_connection(self.daemon.address, self.daemon.front, limit=1 << 20)
        self.reader, self.writer = await asyncio.wait_for(opening, 1.0)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    @staticmethod
    def encode(
        method: str, path: str, request_id: str, body: bytes = b"", deadline_ms: int = 3000
    ) -> bytes:
        """Encode a request."""
        length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
        return (
            f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\n"
            f"X-Dotterelstand-Request-Id: {request_id}\r\n"
            f"X-Dotterelstand-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
        ).encode() + body

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        with contextlib.suppress(ConnectionError):
            await self.writer.drain()

    async def answer(self, limit_s: float = 5.0) -> Answer | None:
        """Read one answer; None if the connection ends before, or the time is over."""
        try:
            return await asyncio.wait_for(read_answer(self.reader), limit_s)
        except (TimeoutError, ConnectionError):
            return None


def main(case: Callable[["Fleet"], Awaitable[int]], file: str) -> None:
    """Run a case and exit with its verdict."""

    async def run() -> int:
        async with Fleet(file) as fleet:
            task = asyncio.current_task()
            assert task is not None
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, task.cancel)
            fleet.record.write(f"trouble: {fleet.trouble}")
            verdict = await case(fleet)
            fleet.record.write(f"verdict: {verdict}")
            return verdict

    try:
        code = asyncio.run(run())
    except asyncio.CancelledError:
        code = NOT_RUN
    except Exception as error:  # the case could not run
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
