"""Connections that break the rules, at every port of a daemon process."""

import json
import os
import random
import resource
import signal
import socket
import struct
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import ExitStack, closing, contextmanager, suppress
from pathlib import Path

import pytest

from dotterelstand.events import Event
from dotterelstand.exits import ExitCode

# Own address of this test process; no connection's own port can be one of the daemon's there.
ADDRESS = f"127.251.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
PORTS = {"listen": 8080, "readiness": 8542, "control": 8544, "metrics": 9464, "peers": 7540}
# File descriptors of a daemon that soon has none left.
FEW_DESCRIPTORS = 40
CONNECTIONS = 60
STOP_LIMIT_S = 20.0
TIMEOUT_S = 5.0
RESET = struct.pack("ii", 1, 0)
REQUESTS = {
    "listen": b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n",
    "readiness": b"GET /dotterelstand/ready HTTP/1.1\r\nHost: x\r\n\r\n",
    "control": b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n",
    "metrics": b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
    "peers": (
        b"GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
    ),
}


@contextmanager
def running_daemon(folder: Path, descriptors: int) -> Iterator[subprocess.Popen[str]]:
    """Start a daemon with every port open; ends it with SIGTERM and checks its exit status."""
    text = "".join(
        f'[{name}]\naddress = "{ADDRESS}"\nport = {port}\n' for name, port in PORTS.items()
    )
    text = text.replace("[readiness]\n", "[readiness]\nenabled = true\n")
    text = text.replace("[metrics]\n", "[metrics]\nserved = true\n")
    text = text.replace("[listen]\n", "[listen]\nclose_grace_s = 0.5\n")
    settings = folder / "settings.toml"
    settings.write_text(text)

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    command = [sys.executable, "-m", "dotterelstand.process.main", str(settings)]
    with (
        (folder / "errors").open("w") as errors,
        subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=errors, text=True, preexec_fn=limit
        ) as daemon,
    ):
        try:
            assert daemon.stdout is not None
            for line in daemon.stdout:
                if json.loads(line)["event"] == Event.DAEMON_STARTED:
                    break
            threading.Thread(target=daemon.stdout.read, daemon=True).start()
            yield daemon
            daemon.send_signal(signal.SIGTERM)
            assert daemon.wait(STOP_LIMIT_S) == 0, (folder / "errors").read_text()
        finally:
            daemon.kill()


def _reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def _send_some(connection: socket.socket, data: bytes) -> None:
    connection.settimeout(0.05)
    with suppress(OSError):
        connection.sendall(data)


def _garbage(connection: socket.socket, request: bytes) -> None:
    rng = random.Random(len(request))
    _send_some(connection, request[: rng.randrange(len(request))] + rng.randbytes(3000))


def _send_and_reset(connection: socket.socket, request: bytes) -> None:
    _send_some(connection, request)
    _reset(connection)


def _send_part(connection: socket.socket, request: bytes) -> None:
    _send_some(connection, request[:20])
    connection.shutdown(socket.SHUT_WR)


def _send_whole(connection: socket.socket, request: bytes) -> None:
    _send_some(connection, request)
    connection.shutdown(socket.SHUT_WR)


def _send_more(connection: socket.socket, request: bytes) -> None:
    _send_some(connection, request + bytes(range(256)) * 8)


def _send_endless_head(connection: socket.socket, request: bytes) -> None:
    _send_some(connection, request[:-2] + b"X: " + b"y" * 300_000)


def _send_huge_length(connection: socket.socket, request: bytes) -> None:
    _send_some(connection, request[:-2] + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n")


BEHAVIOURS: tuple[Callable[[socket.socket, bytes], None], ...] = (
    lambda connection, request: None,
    lambda connection, request: _reset(connection),
    _send_and_reset,
    _send_part,
    _send_whole,
    _garbage,
    _send_more,
    _send_endless_head,
    _send_huge_length,
)


def _connect_and_behave(
    port: int, behave: Callable[[socket.socket, bytes], None], request: bytes
) -> socket.socket:
    connection = socket.socket()
    connection.settimeout(0.5)
    with suppress(OSError):
        connection.connect((ADDRESS, port))
        behave(connection, request)
    return connection


def _is_alive(port: int) -> bool:
    """Whether the control port answers, perhaps after the daemon has found a descriptor."""
    for _ in range(20):
        with suppress(OSError), socket.create_connection((ADDRESS, port), 2.0) as connection:
            connection.sendall(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
            if b" 200 " in connection.recv(1000):
                return True
    return False


@pytest.mark.parametrize("descriptors", [FEW_DESCRIPTORS, 1024])
def test_hostile_connections_do_not_end_the_daemon(tmp_path: Path, descriptors: int) -> None:
    """Guards against an error of one connection that ends the process, in service or in a stop."""
    with ExitStack() as held, running_daemon(tmp_path, descriptors) as daemon:
        for behave in BEHAVIOURS:
            for name, port in PORTS.items():
                with ExitStack() as stack:
                    for _ in range(CONNECTIONS):
                        connection = _connect_and_behave(port, behave, REQUESTS[name])
                        stack.enter_context(closing(connection))
                assert daemon.poll() is None, (name, (tmp_path / "errors").read_text())
        assert _is_alive(PORTS["control"])
        # These stay open during the stop.
        for name, port in PORTS.items():
            for behave in BEHAVIOURS:
                held.enter_context(closing(_connect_and_behave(port, behave, REQUESTS[name])))


@pytest.mark.parametrize("descriptors", [FEW_DESCRIPTORS, 1024])
def test_hostile_connections_during_start_and_stop(tmp_path: Path, descriptors: int) -> None:
    """Guards against an error of one connection that ends a process which starts or stops."""
    ended = threading.Event()

    def connect_until_ended(seed: int) -> None:
        rng = random.Random(seed)
        while not ended.is_set():
            name = rng.choice(list(PORTS))
            _connect_and_behave(PORTS[name], rng.choice(BEHAVIOURS), REQUESTS[name]).close()

    threads = [threading.Thread(target=connect_until_ended, args=(seed,)) for seed in range(4)]
    for thread in threads:
        thread.start()
    try:
        for _ in range(2):
            with running_daemon(tmp_path, descriptors):
                pass
    finally:
        ended.set()
        for thread in threads:
            thread.join()


def test_scrape_without_free_descriptors_does_not_end_the_daemon(tmp_path: Path) -> None:
    """Guards against a scrape whose modules cannot be loaded, since no descriptor is left."""
    with running_daemon(tmp_path, FEW_DESCRIPTORS) as daemon, ExitStack() as stack:
        held = []
        # The last connection waits for a descriptor; the others have taken all.
        while not held or _is_answered(held[-1], REQUESTS["control"]):
            held.append(socket.create_connection((ADDRESS, PORTS["listen"]), TIMEOUT_S))
            stack.enter_context(held[-1])
        scrape = stack.enter_context(socket.create_connection((ADDRESS, PORTS["metrics"])))
        scrape.settimeout(TIMEOUT_S)
        scrape.sendall(REQUESTS["metrics"])
        # One descriptor for the connection that waits, one for the scrape, none for its modules.
        for connection in held[:2]:
            connection.close()
        with suppress(OSError):
            scrape.recv(1000)
        assert _is_alive(PORTS["control"]), (tmp_path / "errors").read_text()
        assert daemon.poll() is None


# A daemon one of whose tasks meets an error that nothing handles.
FAILING = """
import sys
from dotterelstand.process.daemon import Daemon
from dotterelstand.process.run import run_daemon

async def fail(self):
    raise OSError(5, "unexpected")

Daemon._start_serving = fail
run_daemon(sys.argv[1])
"""


def test_unexpected_error_is_not_reported_as_a_port(tmp_path: Path) -> None:
    """Guards against status 14 for errors that have nothing to do with a port."""
    settings = tmp_path / "settings.toml"
    settings.write_text("".join(f"[{name}]\nport = 0\n" for name in ("listen", "control", "peers")))
    command = [sys.executable, "-c", FAILING, str(settings)]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=STOP_LIMIT_S)
    assert ended.returncode == ExitCode.INTERNAL
    last = json.loads(ended.stdout.splitlines()[-1])
    assert (last["event"], last["detail"]) == (190, ["OSError(5, 'unexpected')"])
    assert "Traceback" in ended.stderr


def _is_answered(connection: socket.socket, request: bytes) -> bool:
    connection.settimeout(1.0)
    connection.sendall(request)
    with suppress(OSError):
        return bool(connection.recv(1000))
    return False
