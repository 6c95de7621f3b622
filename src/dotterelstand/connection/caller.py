"""One HTTP/1.1 connection from a caller."""

import h11
import trio
from returns.pipeline import is_successful

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.target import READ_BYTES
from dotterelstand.request.head import (
    RESULT_HEADER,
    RUN_HEADER,
    Headers,
    RequestHead,
    read_head,
)


class CallerConnection:
    """The h11 server side of one caller connection."""

    __slots__ = ("_h11", "_stream", "answer_started", "closing")

    def __init__(self, stream: trio.abc.Stream, max_head_bytes: int) -> None:
        self._stream = stream
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=max_head_bytes)
        self.answer_started = False
        self.closing = False

    async def next_request(self) -> RequestHead | ResultCode | None:
        """Next request head, the code of its refusal, or None if the caller is gone."""
        self.answer_started = False
        try:
            event = await self._next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == 431:
                return ResultCode.HEAD_TOO_LARGE
            return ResultCode.BAD_REQUEST
        if not isinstance(event, h11.Request):
            return None
        head = read_head(event)
        return head.unwrap() if is_successful(head) else head.failure()

    async def next_body(self) -> bytes | None:
        """Next piece of the request body, or None at its end.

        Raises `h11.RemoteProtocolError` if the body is malformed or cut off.
        """
        if self._h11.they_are_waiting_for_100_continue:
            await self._send(h11.InformationalResponse(status_code=100, headers=[]))
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise h11.RemoteProtocolError("connection closed inside a request body")

    async def send_head(self, status: int, headers: Headers, code: ResultCode) -> None:
        """Send the head of an answer with its result code."""
        self.answer_started = True
        headers = [
            *headers,
            (RESULT_HEADER, b"%d" % code),
            (RUN_HEADER, code.run.value.encode()),
        ]
        if self.closing:
            headers.append((b"connection", b"close"))
        await self._send(h11.Response(status_code=status, headers=headers))

    async def send_body(self, data: bytes) -> None:
        """Send one piece of the answer's body."""
        await self._send(h11.Data(data=data))

    async def finish_answer(self) -> None:
        """Mark the answer as complete."""
        await self._send(h11.EndOfMessage())

    async def refuse(self, code: ResultCode) -> None:
        """Answer a request that dotterelstand itself ends."""
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = f"{code:d} {code.name.lower()}\n".encode()
        headers: Headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", b"%d" % len(body)),
        ]
        if code.retry_after_s is not None:
            headers.append((b"retry-after", b"%d" % code.retry_after_s))
        if self._h11.their_state is not h11.DONE:
            self.closing = True
        await self.send_head(code.http_status, headers, code)
        await self.send_body(body)
        await self.finish_answer()

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; False if the connection must be closed."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return not self.closing

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(bytes(await self._stream.receive_some(READ_BYTES)))

    async def _send(self, event: h11.Event) -> None:
        data = self._h11.send(event)
        if data:
            await self._stream.send_all(data)
