"""Minimal HTTP/1.1 server shared by the stand-ins."""

from collections.abc import Awaitable, Callable

import h11
import trio

Headers = list[tuple[str, str]]


class HttpRequest:
    """A complete request with its body in memory."""

    __slots__ = ("body", "headers", "method", "path")

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


class HttpAnswer:
    """A complete answer with its body in memory."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, body: bytes = b"", headers: Headers | None = None) -> None:
        self.status = status
        self.body = body
        self.headers = headers or []


Handler = Callable[[HttpRequest], Awaitable[HttpAnswer | None]]


async def serve_http(stream: trio.abc.Stream, handler: Handler) -> None:
    """Serve one connection; it is closed without an answer if the handler returns None."""
    connection = h11.Connection(h11.SERVER)
    try:
        async with stream:
            while True:
                request = await _read_request(stream, connection)
                if request is None:
                    return
                answer = await handler(request)
                if answer is None:
                    return
                await _send_answer(stream, connection, answer)
                if connection.our_state is not h11.DONE:
                    return
                connection.start_next_cycle()
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
        pass


async def _read_request(stream: trio.abc.Stream, connection: h11.Connection) -> HttpRequest | None:
    head: h11.Request | None = None
    parts: list[bytes] = []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(bytes(await stream.receive_some(65536)))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
            method, path = head.method.decode(), head.target.decode()
            return HttpRequest(method, path, headers, b"".join(parts))
        else:
            return None


async def _send_answer(
    stream: trio.abc.Stream, connection: h11.Connection, answer: HttpAnswer
) -> None:
    headers = [("content-length", str(len(answer.body))), *answer.headers]
    data = connection.send(h11.Response(status_code=answer.status, headers=headers)) or b""
    data += connection.send(h11.Data(data=answer.body)) or b""
    await stream.send_all(data + (connection.send(h11.EndOfMessage()) or b""))
