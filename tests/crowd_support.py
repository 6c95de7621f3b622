"""A daemon process on loopback with its store and instances, for crowds of callers."""

import itertools
import os
import re
import resource
import signal
import socket
import ssl
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import h11
import trio
from platform_standin import Instance, MetadataStore, configuration, route, server_entry, tenant
from soak.hosts import guarded_environment

from dotterelstand.connection.target import abort_now
from dotterelstand.events import Event
from dotterelstand.standin.httpd import serve_http

# Own addresses of this test process; the port of no connection is one of a daemon's there.
NETWORK = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}"
# Numbers of the daemons; each has an address of its own.
NUMBERS = itertools.count(1)
PORTS = {"listen": 8080, "readiness": 8542, "control": 8544, "metrics": 9464, "peers": 7540}
# Statuses that promise that a request has not run and will not run.
NOT_RUN = (408, 421, 429, 503)
SEND_BUFFER_BYTES = 32_768
SAMPLE_INTERVAL_S = 0.05
SOURCE_ADDRESSES = 100
# An ordinary caller gives up after this many attempts, and pauses between them.
ORDINARY_ATTEMPTS = 60
ORDINARY_PAUSE_S = 1.0
# Ends a test that hangs; nothing else depends on it.
TIMEOUT_S = 400.0
ID = "X-Dotterelstand-Request-Id"
SETTINGS = """
[host]
name = "{name}"
regions = ["local-1=local"]
memory_mb = {memory_mb}
[store]
protocol = "objects"
url = "http://127.0.0.1:{store}"
[requests]
held_body_bytes = 524288
[service_defaults]
max_queue_per_slot = 1000
[access]
strict_revocation = false
[listen]
stop_limit_s = 6.0
port = 8080
address = "{address}"
{listen}
[peers]
port = 7540
address = "{address}"
introduction_s = 0.1
"""
# A quick service, a slow one and one with many slots; a workspace of the crowd, and another one.
RESOURCES = (
    route("s", timeoutS=100, public=True),
    route("s", "/u/", "upload", timeoutS=100, public=True),
    route("w", "/w/", "upload", timeoutS=100, public=True),
    route("s", "/k/", "upload", timeoutS=100),
    route("m", "/m/", timeoutS=100, public=True),
    route("m", "/mu/", "upload", timeoutS=100, public=True),
    tenant("crowd", "key-of-the-crowd"),
    tenant("other", "key-of-the-others"),
)


SERVICES = ("s", "w", "m")


class CrowdInstance(Instance):
    """Instance whose answers are as long as their requests say.

    With `answers_early`, uploads are answered before their body, which is read afterwards.
    """

    async def _serve_next(self, stream: Any, connection: h11.Connection) -> bool:
        headers: dict[str, str] = {}
        path, answered = "", False
        while not isinstance(event := connection.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                connection.receive_data(bytes(await stream.receive_some(65536)))
            elif isinstance(event, h11.Request):
                headers = {name.decode(): value.decode() for name, value in event.headers}
                path = event.target.decode()
                if self.answers_early and event.method == b"POST":
                    answered = True
                    await self._answer(stream, headers)
            elif isinstance(event, h11.ConnectionClosed):
                return False
        if path == "/health":
            await stream.send_all(self.answer(headers))
        elif not answered:
            await self._answer(stream, headers)
        return True

    async def _answer(self, stream: Any, headers: dict[str, str]) -> None:
        self.runs.append(headers.get(ID.lower(), ""))
        await trio.sleep(self.service_time_s)
        await stream.send_all(self.answer(headers))

    def answer(self, headers: dict[str, str], body: bytes = b"", **changes: str) -> bytes:
        """Return an answer with as many bytes as the request's header says."""
        size = int(headers.get("x-answer-bytes", "10"))
        return super().answer(headers, body or b"b" * size, **changes)


class CrowdDaemon:
    """A running daemon, and the peaks of its memory and descriptors.

    `statuses` holds the statuses that callers got, by the id of their request.
    """

    def __init__(self, process: trio.Process, address: str, tls: ssl.SSLContext | None) -> None:
        self.process = process
        self.address = address
        self.statuses: dict[str, int] = {}
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self._tls = tls
        self._opened = 0

    async def open(self, port: str = "listen", handshake: bool = True) -> trio.abc.Stream:
        """Open a connection from one of many addresses, over TLS if callers use it."""
        connecting = trio.socket.socket()
        connecting.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._opened += 1
        await connecting.bind((f"127.0.0.{100 + self._opened % SOURCE_ADDRESSES}", 0))
        await connecting.connect((self.address, PORTS[port]))
        stream = trio.SocketStream(connecting)
        if self._tls is None or port != "listen" or not handshake:
            return stream
        return trio.SSLStream(stream, self._tls, server_hostname="x", https_compatible=True)

    async def read_status(self, stream: trio.abc.Stream, request_id: str) -> int:
        """Read the beginning of an answer and note its status; 0 if there is none."""
        data = bytes(await stream.receive_some(4096))
        status = int(data[9:12]) if data.startswith(b"HTTP/1.1 ") else 0
        if status >= 200:
            # Later answers are those to pipelined requests.
            self.statuses.setdefault(request_id, status)
        return status

    async def is_answered(self, request: bytes, name: str, port: str = "listen") -> bool:
        """Whether an ordinary caller, who comes back after each refusal, is answered."""
        for attempt in range(ORDINARY_ATTEMPTS):
            request_id = f"{name}.{attempt}"
            try:
                stream = await self.open(port)
                await stream.send_all(with_id(request, request_id))
                answered = await self.read_status(stream, request_id) == 200
                abort_now(stream)
                if answered:
                    return True
            except (OSError, trio.BrokenResourceError):
                pass
            await trio.sleep(ORDINARY_PAUSE_S)
        return False

    async def sample(self) -> None:
        """Note the peaks until cancelled."""
        folder = Path(f"/proc/{self.process.pid}")
        while self.process.poll() is None:
            status = (folder / "status").read_text(encoding="ascii")
            sizes = dict(re.findall(r"^(VmHWM|VmRSS):\s*(\d+)", status, re.M))
            if not sizes:
                # The process has ended and waits for its parent.
                return
            descriptors = _links(folder / "fd")
            unread = _unread_bytes(descriptors)
            resident, peak = (int(sizes[name]) * 1024 for name in ("VmRSS", "VmHWM"))
            self.peak_bytes = max(self.peak_bytes, peak, resident + unread)
            self.peak_descriptors = max(self.peak_descriptors, len(descriptors))
            await trio.sleep(SAMPLE_INTERVAL_S)


class CrowdFleet:
    """Store and instances, and the daemons that were started with them."""

    def __init__(self, folder: Path, nursery: trio.Nursery) -> None:
        self.folder = folder
        self.nursery = nursery
        self.store = MetadataStore()
        self.instances: dict[str, CrowdInstance] = {}
        self.store_port = 0

    async def start(self, *targets: str) -> None:
        """Start the store, and the instances; `targets` serve the quick service instead."""
        self.store.put("config", "main", configuration(1, *RESOURCES, services=SERVICES))
        for service, work_s, slots in (("s", 0.005, 2), ("w", 600.0, 2), ("m", 0.005, 1000)):
            name = f"i-{service}"
            instance = self.instances[name] = CrowdInstance(name)
            instance.service_time_s = work_s
            port = await self._serve(lambda stream, instance=instance: _serve(instance, stream))
            entry = server_entry(service, f"127.0.0.1:{port}")
            entry["info"]["slots"] = slots
            self.store.put("servers", name, entry)
        for target in targets:
            self.store.put("servers", "i-s", server_entry("s", target))
        self.store_port = await self._serve(lambda stream: serve_http(stream, self.store.handle))

    @asynccontextmanager
    async def daemon(
        self,
        memory_mb: int,
        settings: dict[str, str] | None = None,
        descriptors: int = 4100,
        tls: ssl.SSLContext | None = None,
        event: Event = Event.DAEMON_READY,
    ) -> AsyncIterator[CrowdDaemon]:
        """Run a daemon that has logged `event`; `settings` holds further lines of each section."""
        number = next(NUMBERS)
        address, name = f"{NETWORK}.{number}", f"entry-{number}"
        text = SETTINGS.format(
            name=name,
            memory_mb=memory_mb,
            store=self.store_port,
            address=address,
            listen=(settings or {}).get("listen", ""),
        )
        own = {"readiness": "enabled = true", "metrics": "served = true"}
        for section in ("readiness", "control", "metrics"):
            lines = own.get(section, ""), (settings or {}).get(section, "")
            text += f'[{section}]\nport = {PORTS[section]}\naddress = "{address}"\n'
            text += "\n".join([*lines, ""])
        if settings and "tls" in settings:
            text += f"[tls]\n{settings['tls']}\n"
        path = self.folder / f"{name}.toml"
        path.write_text(text)

        def limit() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "dotterelstand.process.main", str(path)],
            stdout=subprocess.PIPE,
            env=guarded_environment(),
            preexec_fn=limit,
        )
        try:
            assert process.stdout is not None
            await _wait_for(event, process.stdout)
            self.nursery.start_soon(_drain, process.stdout)
            daemon = CrowdDaemon(process, address, tls)
            self.nursery.start_soon(daemon.sample)
            yield daemon
        finally:
            process.kill()
            await process.wait()

    async def relay(self, address: str) -> "CrowdFleet":
        """Start another fleet, whose quick service is the daemon at an address."""
        relay = CrowdFleet(self.folder / "relay", self.nursery)
        relay.folder.mkdir()
        await relay.start(f"{address}:{PORTS['listen']}")
        return relay

    def broken_promises(self, daemon: CrowdDaemon) -> list[str]:
        """Ids of the requests that were refused as not run and that an instance ran."""
        runs = {run for instance in self.instances.values() for run in instance.runs}
        return [key for key, code in daemon.statuses.items() if code in NOT_RUN and key in runs]

    async def _serve(self, serve: Callable) -> int:  # type: ignore[type-arg]
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=1024)
        self.nursery.start_soon(trio.serve_listeners, serve, listeners)
        port: int = listeners[0].socket.getsockname()[1]
        return port


def run_crowd(main: Callable, folder: Path) -> None:  # type: ignore[type-arg]
    """Run `main` with a fleet that has not started; ends all that the test started."""

    async def limited() -> None:
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                await main(CrowdFleet(folder, nursery))
                nursery.cancel_scope.cancel()

    trio.run(limited)


def with_id(request: bytes, request_id: str) -> bytes:
    """Add the id to a request without one."""
    return request.replace(b"\r\n", f"\r\n{ID}: {request_id}\r\n".encode(), 1)


async def freeze(daemon: CrowdDaemon, seconds: float) -> None:
    """Stop the process for some time, in which the system receives what callers send."""
    daemon.process.send_signal(signal.SIGSTOP)
    await trio.sleep(seconds)
    daemon.process.send_signal(signal.SIGCONT)


def _unread_bytes(sockets: set[str]) -> int:
    """Bytes that the system has received for the connections among the links to sockets."""
    total = 0
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        # A listening socket (0A) shows the length of its queue of connections.
        if fields[3] != "0A" and f"socket:[{fields[9]}]" in sockets:
            total += int(fields[4][9:], 16)
    return total


def _links(folder: Path) -> set[str]:
    """What the descriptors of a process refer to."""
    found = set()
    for item in folder.iterdir():
        with suppress(OSError):
            # Closed meanwhile.
            found.add(os.readlink(item))
    return found


async def _serve(instance: CrowdInstance, stream: trio.SocketStream) -> None:
    # The stand-in closes its streams without waiting.
    stream.close = stream.socket.close  # type: ignore[attr-defined]
    stream.reset = stream.socket.close  # type: ignore[attr-defined]
    await instance.serve(stream)


async def _wait_for(event: Event, lines: trio.abc.ReceiveStream) -> None:
    buffered = b""
    while f'"event": {event:d},'.encode() not in buffered:
        data = await lines.receive_some()
        assert data, buffered
        buffered += data


async def _drain(lines: trio.abc.ReceiveStream) -> None:
    while await lines.receive_some():
        pass
