"""HTTP server of the control port, for small requests that are answered as JSON or text."""

import json
from collections.abc import Awaitable, Callable

import h11
import trio

from dotterelstand.connection.network import Listener
from dotterelstand.connection.target import READ_BYTES, close_now
from dotterelstand.events import Event, log

JSON_TYPE = "application/json"


class ControlRequest:
    """Complete request to the control port."""

    __slots__ = ("body", "method", "path", "token")

    def __init__(self, method: str, path: str, token: str, body: bytes) -> None:
        self.method = method
        self.path = path
        self.token = token
        self.body = body


class ControlAnswer:
    """Answer with an HTTP status; `value` is sent as JSON, or as text for another content type."""

    __slots__ = ("content_type", "status", "value")

    def __init__(self, status: int, value: object, content_type: str = JSON_TYPE) -> None:
        self.status = status
        self.value = value
        self.content_type = content_type

    def body(self) -> bytes:
        """Encoded body."""
        if self.content_type == JSON_TYPE:
            return json.dumps(self.value).encode() + b"\n"
        return str(self.value).encode()


class _EncodedAnswer:
    """Answer whose body is known, so that nothing but the connection can fail any more."""

    __slots__ = ("body", "content_type", "status")

    def __init__(self, answer: ControlAnswer) -> None:
        self.status = answer.status
        self.content_type = answer.content_type
        self.body = answer.body()


ControlHandler = Callable[[ControlRequest], Awaitable[ControlAnswer]]


class ControlConnection:
    """Connection to the control port that is closed after one request."""

    __slots__ = ("_h11", "_max_body_bytes", "_stream", "is_read")

    def __init__(self, stream: trio.abc.Stream, max_body_bytes: int) -> None:
        self.is_read = False
        self._stream = stream
        self._max_body_bytes = max_body_bytes
        self._h11 = h11.Connection(h11.SERVER)

    async def serve(self, handler: ControlHandler, scope: trio.CancelScope) -> None:
        """Answer one request, then close the connection; `scope` limits the time.

        `is_read` is set as soon as the whole request has arrived.
        """
        try:
            with scope:
                request = await self._read()
                self.is_read = True
                if request is not None:
                    answer = await _answer(handler, request)
                    await self._send(answer, request.method != "HEAD")
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        finally:
            close_now(self._stream)

    async def _read(self) -> ControlRequest | None:
        head: h11.Request | None = None
        body = b""
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                if self._h11.they_are_waiting_for_100_continue:
                    return None
                self._h11.receive_data(bytes(await self._stream.receive_some(READ_BYTES)))
            elif isinstance(event, h11.Request):
                head = event
            elif (
                isinstance(event, h11.Data) and len(body) + len(event.data) <= self._max_body_bytes
            ):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _make_request(head, body)
            else:
                return None

    async def _send(self, answer: "_EncodedAnswer", with_body: bool) -> None:
        body = answer.body
        headers = [
            ("content-type", answer.content_type),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        data = self._h11.send(h11.Response(status_code=answer.status, headers=headers)) or b""
        if with_body:
            data += self._h11.send(h11.Data(data=body)) or b""
        await self._stream.send_all(data + (self._h11.send(h11.EndOfMessage()) or b""))


class ControlServer:
    """Server for one port with a bound on concurrent connections; times in seconds.

    Beyond it, the oldest connection without a whole request is closed, or the new one if there is
    none. `on_refused` is called for each of these.
    """

    __slots__ = (
        "_handler",
        "_max_body_bytes",
        "_max_connections",
        "_on_refused",
        "_open",
        "_timeout_s",
    )

    def __init__(
        self,
        handler: ControlHandler,
        max_connections: int,
        max_body_bytes: int,
        timeout_s: float,
        on_refused: Callable[[], None] = lambda: None,
    ) -> None:
        self._handler = handler
        self._max_connections = max_connections
        self._max_body_bytes = max_body_bytes
        self._timeout_s = timeout_s
        self._on_refused = on_refused
        # In the order in which they were opened.
        self._open: dict[ControlConnection, trio.CancelScope] = {}

    async def serve(self, listener: Listener) -> None:
        """Serve connections until cancelled."""
        async with trio.open_nursery() as nursery:
            await listener.serve(self._serve_stream, nursery)

    async def _serve_stream(self, stream: trio.abc.Stream) -> None:
        if len(self._open) >= self._max_connections:
            self._on_refused()
            if not self._close_oldest():
                await trio.aclose_forcefully(stream)
                return
        connection = ControlConnection(stream, self._max_body_bytes)
        scope = self._open[connection] = trio.CancelScope()
        scope.deadline = trio.current_time() + self._timeout_s
        try:
            await connection.serve(self._handler, scope)
        finally:
            self._open.pop(connection, None)

    def _close_oldest(self) -> bool:
        """Close the oldest connection without a whole request; False if there is none."""
        waiting = [item for item in self._open if not item.is_read]
        if waiting:
            self._open.pop(waiting[0]).cancel()
        return bool(waiting)


async def _answer(handler: ControlHandler, request: ControlRequest) -> _EncodedAnswer:
    """Call the handler; an error in it, as when no descriptor is left, is answered with 500."""
    try:
        return _EncodedAnswer(await handler(request))
    except Exception as error:
        # An error in one page must not end the daemon.
        log(Event.CONTROL_FAILED, name=request.path, error=repr(error))
        return _EncodedAnswer(ControlAnswer(500, {"error": repr(error)}))


def _make_request(head: h11.Request, body: bytes) -> ControlRequest:
    fields = {bytes(name): bytes(value) for name, value in head.headers}
    scheme, _, token = fields.get(b"authorization", b"").decode("latin-1").partition(" ")
    return ControlRequest(
        head.method.decode("ascii"),
        head.target.decode("latin-1").partition("?")[0],
        token if scheme.lower() == "bearer" else "",
        body,
    )
