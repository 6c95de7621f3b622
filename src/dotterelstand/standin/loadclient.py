"""HTTP/1.1 client of the load tool: reuses connections and streams request bodies."""

from contextlib import suppress

import h11
import trio

from dotterelstand.connection.network import Network
from dotterelstand.connection.target import close_now
from dotterelstand.process.idempotency.entry import BODY_HEADER, BODY_NOT_KEPT

BODY_CHUNK = b"\x5a" * 65536
MAX_ANSWER_BYTES = 1_048_576
CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
)


class LoadAnswer:
    """Answer of one attempt; `code` is the result code, 0 if no answer arrived.

    `run` is "ran", "not-run", "unknown", or "unsent" if the request was not sent.
    """

    __slots__ = ("body", "body_kept", "code", "retry_after_s", "run", "status")

    def __init__(self, status: int, code: int, run: str, retry_after_s: float, body: bytes) -> None:
        self.status = status
        self.code = code
        self.run = run
        self.retry_after_s = retry_after_s
        self.body = body
        # False for a replayed answer whose body was too large to be recorded.
        self.body_kept = True


# Without an answer it is unknown whether the request ran.
NO_ANSWER = LoadAnswer(0, 0, "unknown", 0.0, b"")


UNSENT = LoadAnswer(0, 0, "unsent", 0.0, b"")


class LoadRequest:
    """A request; its body is generated with the given size in bytes."""

    __slots__ = ("body_bytes", "headers", "method", "path")

    def __init__(
        self, method: str, path: str, headers: list[tuple[str, str]], body_bytes: int
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body_bytes = body_bytes


class LoadClient:
    """Connections to one entry host; idle ones are reused, most recently used first."""

    __slots__ = ("_address", "_idle", "_max_answer_bytes", "_max_idle", "_network", "_port")

    def __init__(
        self,
        network: Network,
        address: str,
        port: int,
        max_idle: int,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._network = network
        self._address = address
        self._port = port
        self._max_idle = max_idle
        self._max_answer_bytes = max_answer_bytes
        self._idle: list[tuple[trio.abc.Stream, h11.Connection]] = []

    def close(self) -> None:
        """Close all idle connections."""
        for stream, _ in self._idle:
            close_now(stream)
        self._idle.clear()

    async def send(self, request: LoadRequest) -> LoadAnswer:
        """Return the answer of one request, `NO_ANSWER`, or `UNSENT` if connecting failed.

        A GET or HEAD request that got no answer is sent once more if idle connections existed,
        since the host may have closed the reused one. RFC 9112 section 9.3.1 allows this for
        idempotent methods only.
        """
        reused = bool(self._idle)
        answer = await self._attempt(request)
        if answer is NO_ANSWER and reused and request.method in ("GET", "HEAD"):
            self.close()
            second_answer = await self._attempt(request)
            # The first attempt was sent, so the result is not `UNSENT` even if the second is.
            return answer if second_answer is UNSENT else second_answer
        return answer

    async def _attempt(self, request: LoadRequest) -> LoadAnswer:
        idle = self._take_idle()
        if idle is not None:
            stream, connection = idle
        else:
            try:
                stream = await self._network.connect(self._address, self._port)
            except OSError:
                return UNSENT
            connection = h11.Connection(h11.CLIENT)
        reusable = False
        try:
            answer = await _exchange(stream, connection, request, self._max_answer_bytes)
            reusable = self._keep_idle(stream, connection)
            return answer
        finally:
            if not reusable:
                close_now(stream)

    def _take_idle(self) -> tuple[trio.abc.Stream, h11.Connection] | None:
        while self._idle:
            stream, connection = self._idle.pop()
            # An idle connection that is readable was closed by the host.
            if isinstance(stream, trio.SocketStream) and stream.socket.is_readable():
                close_now(stream)
                continue
            return stream, connection
        return None

    def _keep_idle(self, stream: trio.abc.Stream, connection: h11.Connection) -> bool:
        done = connection.our_state is h11.DONE and connection.their_state is h11.DONE
        if not done or len(self._idle) >= self._max_idle:
            return False
        connection.start_next_cycle()
        self._idle.append((stream, connection))
        return True


async def _exchange(
    stream: trio.abc.Stream, connection: h11.Connection, request: LoadRequest, max_bytes: int
) -> LoadAnswer:
    answer = NO_ANSWER
    length = ("content-length", str(request.body_bytes))
    fields = [("host", "entry"), length, *request.headers]
    head = connection.send(h11.Request(method=request.method, target=request.path, headers=fields))
    async with trio.open_nursery() as nursery:
        # The answer is read while the body is sent, since a host may refuse the request before
        # it has received the whole body.
        nursery.start_soon(_send, stream, connection, head or b"", request.body_bytes)
        with suppress(*CONNECTION_ERRORS):
            answer = await _receive(stream, connection, max_bytes)
        nursery.cancel_scope.cancel()
    return answer


async def _send(
    stream: trio.abc.Stream, connection: h11.Connection, data: bytes, remaining: int
) -> None:
    # A failure to send is ignored: the host may stop reading and still send its answer.
    with suppress(*CONNECTION_ERRORS):
        while remaining > 0:
            piece = BODY_CHUNK[:remaining]
            remaining -= len(piece)
            await stream.send_all(data + (connection.send(h11.Data(data=piece)) or b""))
            data = b""
        await stream.send_all(data + (connection.send(h11.EndOfMessage()) or b""))


async def _receive(
    stream: trio.abc.Stream, connection: h11.Connection, max_bytes: int
) -> LoadAnswer:
    answer = LoadAnswer(0, 0, "unknown", 0.0, b"")
    parts: list[bytes] = []
    remaining = max_bytes
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(bytes(await stream.receive_some(65536)))
        elif isinstance(event, h11.Response):
            _read_head(answer, event)
        elif isinstance(event, h11.Data) and (remaining := remaining - len(event.data)) >= 0:
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and answer.status:
            answer.body = b"".join(parts)
            return answer
        elif not isinstance(event, h11.InformationalResponse):
            return NO_ANSWER


def _read_head(answer: LoadAnswer, head: h11.Response) -> None:
    fields = dict(head.headers)
    answer.status = head.status_code
    code = fields.get(b"dotterelstand-result", b"")
    answer.code = int(code) if code.isdigit() else 0
    answer.run = fields.get(b"dotterelstand-run", b"unknown").decode("latin-1")
    answer.body_kept = fields.get(BODY_HEADER) != BODY_NOT_KEPT
    retry_after = fields.get(b"retry-after", b"")
    answer.retry_after_s = float(retry_after) if retry_after.isdigit() else 0.0
