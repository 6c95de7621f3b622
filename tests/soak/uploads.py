"""Callers that send uploads, chunked or with a length, and break some of them off."""

import hashlib
import random
import uuid

import h11
import trio

from dotterelstand.bench.soakjudge import Violation
from dotterelstand.connection.target import abort_now
from soak.callers import DEADLINE_MS, NOT_RUN_STATUSES
from soak.hosts import CALLER_PORT, ProcessFleet, ProcessHost
from soak.instances import UPLOAD_QUERY, InstanceRun

ANSWER_TIMEOUT_S = 6.0
MAX_UPLOAD_BYTES = 300_000
# Lengths in bytes of uploads whose end waits at the daemon while an instance does not read: the
# buffers of a new connection to it hold about as much.
BLOCKED_BYTES = (16_000, 22_000)
PIECE_BYTES = (1_000, 16_000, 64_000)
# Longest time in seconds over which the sending of an upload is spread.
MAX_SEND_S = 0.5
# How a caller ends its connection in the middle of an upload; "" if it does not. An ambiguous end
# is one that not all parsers take for the end, with another request behind it.
AMBIGUOUS = "ambiguous end"
BREAKS = ("", "", "", "close", "half-close", "reset", AMBIGUOUS)
HIDDEN = (
    b"0\r\n\nGET /prices/hidden%b HTTP/1.1\r\nhost: entry\r\n"
    b"x-dotterelstand-request-id: %b\r\n\r\n"
)


class Upload:
    """One upload; `broken_off` tells how its caller ended it before its last byte, or is empty.

    A `status` of 0 means that no whole answer arrived.
    """

    __slots__ = (
        "body",
        "broken_off",
        "chunked",
        "id",
        "incarnation",
        "own_answer",
        "path",
        "status",
    )

    def __init__(self, body: bytes, chunked: bool, broken_off: str, host: ProcessHost) -> None:
        self.id = uuid.uuid4().hex
        self.path = f"/artwork/{self.id[:6]}{UPLOAD_QUERY}{self.id[6:9]}"
        self.body = body
        self.chunked = chunked or broken_off == AMBIGUOUS
        self.broken_off = broken_off
        self.incarnation = host.incarnation_id
        self.status = 0
        self.own_answer = True

    def encode(self, state: h11.Connection, piece_bytes: int) -> list[bytes]:
        """Pieces to send, the last of which are needed for a complete request."""
        framing = (
            ("transfer-encoding", "chunked")
            if self.chunked
            else ("content-length", str(len(self.body)))
        )
        headers = [
            ("host", "entry"),
            ("x-dotterelstand-request-id", self.id),
            ("x-dotterelstand-deadline-ms", str(DEADLINE_MS)),
            framing,
        ]
        head = h11.Request(method="POST", target=self.path, headers=headers)
        pieces = [state.send(head) or b""]
        for begin in range(0, len(self.body), piece_bytes):
            data = h11.Data(data=self.body[begin : begin + piece_bytes])
            pieces.append(state.send(data) or b"")
        end = state.send(h11.EndOfMessage()) or b""
        if self.broken_off == AMBIGUOUS:
            end = HIDDEN % (UPLOAD_QUERY.encode(), uuid.uuid4().hex.encode())
        return [*pieces, end]


class UploadCallers:
    """Callers that use a connection until it ends or they break off an upload."""

    def __init__(self, fleet: ProcessFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._random = rng
        self.uploads: list[Upload] = []

    async def run(self, callers: int, seconds: float) -> None:
        """Send uploads for a number of seconds."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                nursery.start_soon(self._call, end)

    async def _call(self, end: float) -> None:
        while trio.current_time() < end:
            hosts = self._fleet.live_hosts()
            host = self._random.choice(hosts) if hosts else None
            try:
                if host is not None:
                    async with await trio.open_tcp_stream(host.address, CALLER_PORT) as stream:
                        while trio.current_time() < end and await self._send(stream, host):
                            pass
            except (OSError, trio.BrokenResourceError, h11.ProtocolError):
                pass
            await trio.sleep(self._random.expovariate(20))

    async def _send(self, stream: trio.SocketStream, host: ProcessHost) -> bool:
        """Send one upload; returns whether the connection can carry another one."""
        least, most = self._random.choice([(1, MAX_UPLOAD_BYTES), BLOCKED_BYTES])
        body = self._random.randbytes(self._random.randint(least, most))
        chunked = self._random.random() < 0.7
        upload = Upload(body, chunked, self._random.choice(BREAKS), host)
        self.uploads.append(upload)
        state = h11.Connection(h11.CLIENT)
        pieces = upload.encode(state, self._random.choice(PIECE_BYTES))
        left = None
        if upload.broken_off:
            total = sum(map(len, pieces))
            left = total if upload.broken_off == AMBIGUOUS else self._random.randrange(total)
        pause_s = self._random.choice([0.0, 0.0, MAX_SEND_S]) / len(pieces)
        for piece in pieces:
            await stream.send_all(piece[:left])
            if left is not None:
                left -= len(piece)
                if left <= 0:
                    await self._break_off(stream, upload.broken_off)
                    return False
            if pause_s:
                await trio.sleep(self._random.uniform(0.0, pause_s))
        return await self._read(stream, state, upload)

    async def _break_off(self, stream: trio.SocketStream, how: str) -> None:
        if how == "reset":
            # Sent bytes that have not arrived are lost, too.
            abort_now(stream)
            return
        if how == "half-close":
            await stream.send_eof()
        if how != "close":
            with trio.move_on_after(1.0):
                while await stream.receive_some(65536):
                    pass

    async def _read(self, stream: trio.SocketStream, state: h11.Connection, upload: Upload) -> bool:
        """Read an answer; returns whether the connection can carry another request."""
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            while not isinstance(event := state.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    state.receive_data(bytes(await stream.receive_some(65536)))
                elif isinstance(event, h11.Response):
                    headers, status = dict(event.headers), event.status_code
                elif isinstance(event, h11.ConnectionClosed):
                    return False
            upload.status = status
            answered = headers.get(b"x-dotterelstand-request-id", b"").decode()
            upload.own_answer = status != 200 or answered == upload.id
            return headers.get(b"connection", b"").lower() != b"close"
        return False


def find_changed_uploads(fleet: ProcessFleet, uploads: list[Upload]) -> list[Violation]:
    """Compare the bytes that callers sent with those that instances received."""
    sent = {upload.id: upload for upload in uploads}
    found: list[Violation] = []
    runs: dict[str, int] = {}
    for instance in fleet.instances.values():
        for run in instance.runs:
            if UPLOAD_QUERY not in run.path:
                continue
            runs[run.id] = runs.get(run.id, 0) + 1
            upload = sent.get(run.id)
            if upload is None or not _asked(run, upload):
                found.append(Violation("unasked", _describe(instance.name, run, upload)))
    for upload in uploads:
        count = runs.get(upload.id, 0)
        detail = f"{upload.id} at {upload.incarnation}, status {upload.status}, ran {count}"
        if count > 1:
            found.append(Violation("at most once", detail))
        if count and upload.status in NOT_RUN_STATUSES:
            found.append(Violation("not run", detail))
        if not upload.own_answer:
            found.append(Violation("own answer", detail))
    return found


def _asked(run: InstanceRun, upload: Upload) -> bool:
    """Whether a run got the bytes of an upload, and its end only if the caller has sent that."""
    if run.path != upload.path or (run.digest and upload.broken_off):
        return False
    if run.digest and run.body_bytes != len(upload.body):
        return False
    expected = hashlib.sha256(upload.body[: run.body_bytes])
    return run.received.digest() == expected.digest()


def _describe(name: str, run: InstanceRun, upload: Upload | None) -> str:
    sent = "nothing" if upload is None else f"{len(upload.body)} bytes"
    if upload is not None and upload.broken_off:
        sent = f"a part ({upload.broken_off}) of {sent}"
    end = "with" if run.digest else "without"
    return f"{name} got {run.body_bytes} bytes {end} an end for {run.id} {run.path}, sent {sent}"
