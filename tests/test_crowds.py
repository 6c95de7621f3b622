"""Crowds of callers that hold all they can, at daemon processes with little memory."""

import signal
import socket
import ssl
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio
import trustme
from crowd_support import CrowdDaemon, CrowdFleet, freeze, run_crowd, with_id

from dotterelstand.connection.target import abort_now
from dotterelstand.events import Event

# Descriptors of a daemon besides those of its callers: ports, store, instances and logs.
OWN_DESCRIPTORS = 64
MB = 1_000_000
FROZEN_S = 1.0
RETURNS = 30
RETURN_PAUSE_S = 0.01
LINES = 1500
# Limits of the configuration, and the memory of the smallest machine in use.
MAX_HEAD_BYTES, MAX_BODY_BYTES = 16_384, 67_108_864
SMALLEST_MB = 200
OWN_HEADER_BYTES = 512
PIECES = 4000
PROBE = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
LOOKUP = b"GET /a/ordinary HTTP/1.1\r\nHost: x\r\n\r\n"
KEYED = (
    b"POST /k/ordinary HTTP/1.1\r\nHost: x\r\nAuthorization: Token key-of-the-others\r\n"
    b"Content-Length: 5\r\n\r\nwhole"
)
UPLOAD = b"POST /u/ordinary HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\n" + b"x" * 20_000

Send = Callable[[CrowdDaemon, str, int], Awaitable[None]]


def _upload(size: int, lines: str = "", path: str = "/u/1") -> bytes:
    """Head of an upload with a length."""
    return f"POST {path} HTTP/1.1\r\nHost: x\r\n{lines}Content-Length: {size}\r\n\r\n".encode()


def _chunks(size: int, chunk: int, lines: str = "", path: str = "/u/1") -> bytes:
    """Upload in chunks, all but its last byte."""
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\n{lines}Transfer-Encoding: chunked\r\n\r\n".encode()
    piece = b"%x\r\n%b\r\n" % (chunk, b"x" * chunk)
    return head + piece * (size // chunk) + b"0\r\n\r"


def _lines(count: int) -> str:
    return "".join(f"{number:x}:{number % 97}\r\n" for number in range(count))


def _bytes(request: Callable[[int], bytes], reads: bool = True, port: str = "listen") -> Send:
    """Behaviour: send bytes of a request, then wait for an answer and keep the connection."""

    async def send(daemon: CrowdDaemon, name: str, size: int) -> None:
        stream = await daemon.open(port)
        await stream.send_all(with_id(request(size), name))
        while reads and await daemon.read_status(stream, name):
            pass
        await trio.sleep_forever()

    return send


async def _return(daemon: CrowdDaemon, name: str, size: int) -> None:
    """Come back at once after each refusal."""
    for turn in range(RETURNS):
        try:
            stream = await daemon.open()
            await stream.send_all(with_id(_upload(size), f"{name}.{turn}") + b"x" * (size - 1))
            await daemon.read_status(stream, f"{name}.{turn}")
            abort_now(stream)
        except trio.BrokenResourceError:
            pass
    await trio.sleep_forever()


def _returning(request: Callable[[int], bytes], port: str) -> Send:
    """Behaviour: send bytes of a request, and come back at once after the end of a connection."""

    async def send(daemon: CrowdDaemon, name: str, size: int) -> None:
        while True:
            stream = await daemon.open(port)
            try:
                await stream.send_all(request(size))
                await stream.receive_some(1)
            except trio.BrokenResourceError:
                pass
            abort_now(stream)
            await trio.sleep(RETURN_PAUSE_S)

    return send


async def _drip(daemon: CrowdDaemon, name: str, size: int) -> None:
    """Send single bytes behind a request that waits for its answer."""
    stream = await daemon.open()
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # type: ignore[attr-defined]
    await stream.send_all(with_id(_upload(3, path="/w/1"), name) + b"abc")
    for _ in range(size):
        await stream.send_all(b"x")
        await trio.lowlevel.checkpoint()
    await trio.sleep_forever()


async def _stall_handshake(daemon: CrowdDaemon, name: str, size: int) -> None:
    """Begin a TLS handshake again and again."""
    record = struct.pack("!BHH", 22, 0x301, size) + b"\x01" + b"x" * (size // 2)
    while True:
        stream = await daemon.open(handshake=False)
        try:
            await stream.send_all(record)
            await stream.receive_some(4096)
        except trio.BrokenResourceError:
            pass
        abort_now(stream)
        await trio.sleep(RETURN_PAUSE_S)


def _slow_reader(path: str) -> Send:
    """Behaviour: ask for a long answer and read nothing of it."""

    async def send(daemon: CrowdDaemon, name: str, size: int) -> None:
        stream = await daemon.open()
        request = f"GET {path} HTTP/1.1\r\nHost: x\r\nX-Answer-Bytes: {size}\r\n\r\n".encode()
        await stream.send_all(with_id(request, name))
        await trio.sleep_forever()

    return send


def _pipeline(size: int) -> bytes:
    return b"GET /a/1 HTTP/1.1\r\nHost: x\r\nX-Answer-Bytes: 60000\r\n\r\n" * size


def _frame(size: int) -> bytes:
    """Websocket handshake and most of a large frame."""
    head = (
        b"GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
    )
    return head + struct.pack("!BBQ", 0x82, 0xFF, size) + b"x" * (size - 1)


CROWDS: dict[str, Send] = {
    "length": _bytes(lambda size: _upload(size) + b"x" * (size - 1)),
    "chunks": _bytes(lambda size: _chunks(size, min(size, 50_000))),
    "length of lookups": _bytes(lambda size: _upload(size, path="/a/1") + b"x" * (size - 1)),
    "chunks of lookups": _bytes(lambda size: _chunks(size, 50_000, path="/a/1")),
    "tiny chunks": _bytes(lambda size: _chunks(size, 1)),
    "lines": _bytes(lambda size: _upload(size, _lines(LINES)) + b"x" * (size - 1)),
    "chunks with lines": _bytes(lambda size: _chunks(size, size, _lines(LINES))),
    "lookups with lines": _bytes(
        lambda size: 2 * f"GET /a/1 HTTP/1.1\r\n{_lines(LINES)}Host: x\r\n\r\n".encode()
    ),
    "endless head": _bytes(lambda size: b"GET /a/1 HTTP/1.1\r\nHost: x\r\nA: " + b"x" * size),
    "extension": _bytes(lambda size: _chunks(10, 10)[:-3] + b"0;" + b"x" * size),
    "trailers": _bytes(lambda size: _chunks(10, 10)[:-1] + b"a:b\r\n" * (size // 5)),
    "expect": _bytes(lambda size: _upload(size, "Expect: 100-continue\r\n")),
    "idle": _bytes(lambda size: b"G" * size),
    "idle again": _returning(lambda size: b"G" * size, "listen"),
    "pipelined": _bytes(_pipeline, reads=False),
    "slow readers": _slow_reader("/a/1"),
    "slow readers at many slots": _slow_reader("/m/1"),
    "many slots": _bytes(lambda size: _upload(size, path="/mu/1") + b"x" * (size - 1)),
    "returning": _return,
    "single bytes": _drip,
    "handshakes": _stall_handshake,
    "key": _bytes(
        lambda size: _upload(size, "Authorization: Token key-of-the-crowd\r\n", "/k/1")
        + b"x" * (size - 1)
    ),
    "unknown path": _bytes(lambda size: _upload(size, path="/none/1") + b"x" * (size - 1)),
    "unknown path again": _returning(
        lambda size: _upload(size, path="/none/1") + b"x" * (size - 1), "listen"
    ),
    "peers": _returning(_frame, "peers"),
    "control": _returning(lambda size: _upload(size) + b"x" * (size - 1), "control"),
    "readiness": _returning(lambda size: b"GET /" + b"x" * size, "readiness"),
    "metrics": _returning(lambda size: b"GET /" + b"x" * size, "metrics"),
}


class Case:
    """A crowd at a machine, and how the machine is treated meanwhile."""

    def __init__(
        self,
        crowd: str,
        callers: int,
        size: int,
        memory_mb: int,
        *,
        tls: bool = False,
        frozen: bool = False,
        relayed: bool = False,
        without_store: bool = False,
        starting: bool = False,
        early: bool = False,
        signals: tuple[signal.Signals, ...] = (),
        descriptors: int = 4100,
        max_connections: int = 2000,
    ) -> None:
        self.crowd = crowd
        self.callers = callers
        self.size = size
        self.memory_mb = memory_mb
        self.tls = tls
        self.frozen = frozen
        self.relayed = relayed
        self.without_store = without_store
        self.starting = starting
        self.early = early
        self.signals = signals
        self.descriptors = descriptors
        self.max_connections = max_connections

    def __repr__(self) -> str:
        """Name of the case in a report."""
        named = vars(self).items()
        flags = [name for name, value in named if value and not isinstance(value, int | str)]
        flags += [name for name, value in named if value is True]
        return "-".join([self.crowd, f"{self.callers}x{self.size}", f"{self.memory_mb}MB", *flags])


CASES = [
    Case("length", 300, 8 * MB, 200),
    Case("length", 300, 500_000, 80),
    Case("length", 300, 500_000, 110),
    Case("length of lookups", 300, 500_000, 110),
    Case("chunks", 300, 500_000, 110),
    Case("chunks of lookups", 300, 500_000, 110),
    Case("length", 300, 500_000, 110, frozen=True),
    Case("length", 300, 500_000, 110, relayed=True),
    Case("length", 300, 500_000, 110, early=True),
    Case("length", 300, 500_000, 110, without_store=True),
    Case("length", 300, 500_000, 110, signals=(signal.SIGHUP, signal.SIGHUP)),
    Case("length", 300, 500_000, 110, starting=True),
    Case("length", 300, 500_000, 110, signals=(signal.SIGHUP, signal.SIGTERM)),
    Case("length", 200, 500_000, 110, tls=True),
    Case("key", 300, 500_000, 110),
    Case("chunks", 300, 500_000, 80),
    Case("chunks", 300, 200_000, 200, frozen=True),
    Case("chunks", 300, 500_000, 110, relayed=True),
    Case("tiny chunks", 200, 60_000, 80),
    Case("lines", 400, 100, 80),
    Case("lines", 400, 100, 80, frozen=True),
    Case("lines", 1500, 100, 200),
    Case("lines", 200, 100, 110, tls=True),
    Case("chunks with lines", 400, 100, 80),
    Case("lookups with lines", 400, 0, 80, frozen=True),
    Case("endless head", 600, 16_000, 80),
    Case("extension", 300, 500_000, 80),
    Case("trailers", 300, 500_000, 80),
    Case("expect", 600, 8 * MB, 80),
    Case("idle", 900, 1, 80),
    Case("idle", 400, 1, 110, max_connections=300),
    Case("idle", 300, 1, 110, descriptors=200),
    Case("idle again", 400, 1, 110, max_connections=300),
    Case("idle again", 300, 1, 110, descriptors=200),
    Case("pipelined", 300, 60, 80),
    Case("slow readers", 300, 2 * MB, 80),
    Case("slow readers at many slots", 400, 2 * MB, 80),
    Case("slow readers at many slots", 1000, 2 * MB, 200),
    Case("many slots", 400, 2 * MB, 80),
    Case("slow readers", 200, 2 * MB, 110, tls=True),
    Case("returning", 200, 400_000, 100),
    Case("returning", 400, 400_000, 200),
    Case("returning", 60, 400_000, 100, tls=True),
    Case("unknown path", 400, 400_000, 110, max_connections=300),
    Case("unknown path again", 200, 400_000, 100),
    Case("single bytes", 40, PIECES, 80),
    Case("handshakes", 400, 16_000, 80, tls=True),
    Case("peers", 300, MB, 110),
    Case("control", 100, 60_000, 80),
    Case("readiness", 100, 14_000, 80),
    Case("metrics", 100, 14_000, 80),
]


def _tls(folder: Path) -> tuple[str, ssl.SSLContext]:
    """Settings and context of callers for a temporary certificate."""
    authority = trustme.CA()
    certificate = authority.issue_cert("x")
    for name, blob in (
        ("certificate", certificate.cert_chain_pems[0]),
        ("key", certificate.private_key_pem),
    ):
        blob.write_to_path(str(folder / f"{name}.pem"))
    context = ssl.create_default_context()
    authority.configure_trust(context)
    files = (f'caller_{name} = "{folder}/{name}.pem"' for name in ("certificate", "key"))
    return "\n".join(files), context


@pytest.mark.parametrize("case", CASES, ids=repr)
def test_a_crowd_stays_within_the_machine(case: Case, tmp_path: Path) -> None:
    """Guards against a process that ends, or that answers nobody, because of some callers."""

    async def main(fleet: CrowdFleet) -> None:
        settings = {"listen": f"max_connections = {case.max_connections}"}
        context = None
        if case.tls:
            settings["tls"], context = _tls(tmp_path)
        await fleet.start()
        fleet.store.silent = case.starting
        event = Event.DAEMON_STARTED if case.starting else Event.DAEMON_READY
        arguments = case.memory_mb, settings, case.descriptors, context, event
        async with fleet.daemon(*arguments) as daemon:
            if not case.relayed:
                await _check(fleet, daemon, [daemon], case)
                return
            relay = await fleet.relay(daemon.address)
            async with relay.daemon(case.memory_mb) as first:
                await _check(fleet, first, [first, daemon], case)

    run_crowd(main, tmp_path)


async def _check(
    fleet: CrowdFleet, daemon: CrowdDaemon, daemons: list[CrowdDaemon], case: Case
) -> None:
    async def behave(name: str) -> None:
        try:
            await CROWDS[case.crowd](daemon, name, case.size)
        except (OSError, trio.BrokenResourceError):
            # Refused and closed.
            return

    # A host that relays removes the key.
    ordinary = (LOOKUP, UPLOAD) if case.relayed else (LOOKUP, UPLOAD, KEYED)

    async def are_answered(name: str) -> list[bool]:
        found = [await daemon.is_answered(item, f"{name}{n}") for n, item in enumerate(ordinary)]
        return [*found, await daemon.is_answered(PROBE, name, "readiness")]

    if not case.starting:
        assert await daemon.is_answered(LOOKUP, "before")
        fleet.store.silent = case.without_store
    fleet.instances["i-s"].answers_early = case.early
    async with trio.open_nursery() as callers:
        for number in range(case.callers):
            callers.start_soon(behave, f"c{number}")
        if case.frozen:
            await freeze(daemon, FROZEN_S)
        for number in case.signals:
            daemon.process.send_signal(number)
            await trio.sleep(FROZEN_S / 2)
        await trio.sleep(FROZEN_S)
        if signal.SIGTERM in case.signals:
            # Without a hang, the process ends by itself.
            assert await daemon.process.wait() == 0
            assert daemon.peak_bytes < case.memory_mb * MB
            callers.cancel_scope.cancel()
            return
        fleet.store.silent = case.without_store
        beside = await are_answered("beside")
        callers.cancel_scope.cancel()
    after = await are_answered("after")
    for item in daemons:
        print(
            f"{case!r}: peak {item.peak_bytes / MB:.1f} MB, {item.peak_descriptors} descriptors, "
            f"answered {beside} {after}"
        )
    for item in daemons:
        assert item.process.poll() is None
        assert item.peak_bytes < case.memory_mb * MB
        assert item.peak_descriptors <= min(case.callers + OWN_DESCRIPTORS, case.descriptors)
    assert beside == after == [True] * len(beside)
    assert fleet.broken_promises(daemon) == []


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("lines", [0, LINES])
@pytest.mark.parametrize("relayed", [False, True])
def test_a_request_at_the_limits_is_served(
    chunked: bool, lines: int, relayed: bool, tmp_path: Path
) -> None:
    """Guards against limits that an ordinary caller meets on the smallest machine in use."""
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {MAX_BODY_BYTES}"
    many = "".join(f"{number:x}: {number % 97}\r\n" for number in range(lines))
    head = f"POST /u/1 HTTP/1.1\r\nHost: x\r\n{many}{framing}\r\nA: "
    # The first host adds headers of its own.
    longest = MAX_HEAD_BYTES - OWN_HEADER_BYTES * relayed
    padding = longest - len(with_id((head + "\r\n\r\n").encode(), "limits"))

    async def main(fleet: CrowdFleet) -> None:
        await fleet.start()
        async with fleet.daemon(SMALLEST_MB) as daemon:
            if not relayed:
                await check(daemon)
                return
            relay = await fleet.relay(daemon.address)
            async with relay.daemon(SMALLEST_MB) as first:
                await check(first)

    async def check(daemon: CrowdDaemon) -> None:
        stream = await daemon.open()
        piece = b"x" * (MAX_BODY_BYTES // 64)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                send, stream, b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece
            )
            assert await daemon.read_status(stream, "limits") == 200
        assert daemon.peak_bytes < SMALLEST_MB * MB

    async def send(stream: trio.abc.Stream, piece: bytes) -> None:
        await stream.send_all(with_id((head + "a" * padding + "\r\n\r\n").encode(), "limits"))
        for _ in range(64):
            await stream.send_all(piece)
        if chunked:
            await stream.send_all(b"0\r\n\r\n")

    run_crowd(main, tmp_path)
