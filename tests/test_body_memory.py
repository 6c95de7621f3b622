"""Many large uploads that stop just before their end, at a daemon process with little memory."""

import json
import re
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio
from platform_standin import Instance, MetadataStore, configuration, route, server_entry
from soak.hosts import guarded_environment

from dotterelstand.events import Event
from dotterelstand.standin.httpd import serve_http

CALLERS = 300
# Within the limit of a body that is held for retries, and far within that of the configuration.
BODY_BYTES = 500_000
CALLER_SEND_BUFFER_BYTES = 32_768
MEMORY_MB = 110
MAX_DESCRIPTORS = CALLERS + 64
TIMEOUT_S = 120.0
SETTINGS = """
[host]
name = "entry-1"
regions = ["local-1=local"]
memory_mb = {memory_mb}
[listen]
port = 0
max_connections = 1000
[control]
port = 0
[peers]
port = 0
introduction_s = 0.1
[store]
protocol = "objects"
url = "http://127.0.0.1:{store}"
[requests]
held_body_bytes = 524288
[service_defaults]
max_queue_per_slot = 1000
"""
ROUTES = (route("s", timeoutS=100), route("s", "/u/", "upload", timeoutS=100))


async def _serve(nursery: trio.Nursery, serve: Callable[[trio.SocketStream], Awaitable[None]]):  # type: ignore[no-untyped-def]
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    return listeners[0].socket.getsockname()[1]


async def _serve_target(stream: trio.SocketStream) -> None:
    connection = Instance("i-1")
    # The stand-in closes its streams without waiting.
    stream.close = stream.socket.close  # type: ignore[attr-defined]
    await connection.serve(stream)


async def _next_event(lines: trio.abc.ReceiveStream, event: Event) -> dict:
    buffered = b""
    while True:
        buffered += await lines.receive_some()
        for line in buffered.splitlines():
            if f'"event": {event:d},'.encode() in line and line.endswith(b"}"):
                return json.loads(line)


def _descriptors(pid: int) -> int:
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def _peak_bytes(pid: int) -> int:
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    found = re.search(r"^VmHWM:\s*(\d+) kB", status, re.M)
    assert found is not None
    return int(found[1]) * 1024


async def _open(port: int) -> trio.SocketStream:
    connecting = trio.socket.socket()
    connecting.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, CALLER_SEND_BUFFER_BYTES)
    await connecting.connect(("127.0.0.1", port))
    return trio.SocketStream(connecting)


async def _send_most(stream: trio.SocketStream, path: str, chunked: bool) -> None:
    """Send all of a request but its last bytes, as far as the daemon takes it."""
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {BODY_BYTES}"
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\n{framing}\r\n\r\n".encode()
    body = b"x" * BODY_BYTES
    if chunked:
        body = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in [body[:50_000]] * 10) + b"0\r\n\r\n"
    try:
        await stream.send_all(head + body[:-1])
    except trio.BrokenResourceError:
        # Refused and closed.
        return


async def _is_answered(port: int) -> bool:
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        await stream.send_all(
            b"POST /u/ordinary HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
            b"Connection: close\r\n\r\nabc"
        )
        return (await stream.receive_some(1000)).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize(
    ("path", "chunked"), [("/u/1", False), ("/u/1", True), ("/a/1", False), ("/a/1", True)]
)
def test_unfinished_uploads_stay_within_the_memory(
    path: str, chunked: bool, tmp_path: Path
) -> None:
    """Guards against bodies that together take more memory than the host has."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            store = MetadataStore()
            store.put("config", "main", configuration(1, *ROUTES))
            target = await _serve(nursery, _serve_target)
            store.put("servers", "i-1", server_entry("s", f"127.0.0.1:{target}"))
            port = await _serve(nursery, lambda stream: serve_http(stream, store.handle))
            settings = tmp_path / "settings.toml"
            settings.write_text(SETTINGS.format(store=port, memory_mb=MEMORY_MB))
            command = [sys.executable, "-m", "dotterelstand.process.main", str(settings)]
            daemon = await trio.lowlevel.open_process(
                command, stdout=subprocess.PIPE, env=guarded_environment()
            )
            try:
                assert daemon.stdout is not None
                listening = (await _next_event(daemon.stdout, Event.DAEMON_STARTED))["port"]
                await _next_event(daemon.stdout, Event.DAEMON_READY)
                nursery.start_soon(_drain, daemon.stdout)
                await _check(daemon, listening)
            finally:
                daemon.kill()
                await daemon.wait()
            nursery.cancel_scope.cancel()

    async def _drain(lines: trio.abc.ReceiveStream) -> None:
        while await lines.receive_some():
            pass

    async def _check(daemon: trio.Process, port: int) -> None:
        streams = [await _open(port) for _ in range(CALLERS)]
        async with trio.open_nursery() as callers:
            for stream in streams:
                callers.start_soon(_send_most, stream, path, chunked)
        answered = await _is_answered(port)
        peak, descriptors = _peak_bytes(daemon.pid), _descriptors(daemon.pid)
        print(f"peak {peak / 1e6:.1f} MB, {descriptors} descriptors, answered {answered}")
        assert daemon.poll() is None
        assert peak < MEMORY_MB * 1_000_000
        assert descriptors < MAX_DESCRIPTORS
        assert answered

    async def limited() -> None:
        with trio.fail_after(TIMEOUT_S):
            await main()

    trio.run(limited)
