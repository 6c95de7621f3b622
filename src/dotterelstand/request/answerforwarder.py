"""Streaming of a target's answer to the caller."""

import math
from collections.abc import Callable

import h11
import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.callerrequest import CallerRequest
from dotterelstand.connection.network import CONNECTION_ERRORS
from dotterelstand.connection.target import MAX_EVENTS_WITHOUT_WAIT, AnswerEvent, TargetConnection
from dotterelstand.request.answerhead import AnswerHead
from dotterelstand.request.fields import HeaderFields
from dotterelstand.request.head import returned_headers
from dotterelstand.request.stopplan import StopPlan

# Encoded bytes are buffered and sent to the caller once there are at least this many.
SEND_BUFFER_BYTES = 65536
# Answers up to this length in bytes are buffered until they are complete, so that a request whose
# answer is truncated can still be retried.
MAX_BUFFERED_BYTES = 65536
# Seconds for which an answer without a Content-Length is buffered before it is streamed; longer
# while other requests of its connection are being served.
MAX_BUFFER_TIME_S = 0.25
# Seconds allowed for sending a complete answer, even past the deadline of the request.
DELIVERY_TIMEOUT_S = 2.0


class AnswerForwarder:
    """Transfer of one answer from a target to a caller.

    The caller receives the end of the message only after the target has sent it.
    """

    __slots__ = (
        "_caller",
        "_fields",
        "_max_recorded_bytes",
        "_on_progress",
        "_recorded_body",
        "_stop_plan",
        "_target",
        "complete",
    )

    def __init__(
        self,
        caller: CallerRequest,
        target: TargetConnection,
        max_recorded_bytes: int,
        on_progress: Callable[[], None],
        fields: HeaderFields,
        stop_plan: StopPlan,
    ) -> None:
        self._stop_plan = stop_plan
        self._fields = fields
        self._caller = caller
        self._target = target
        self._max_recorded_bytes = max_recorded_bytes
        self._on_progress = on_progress
        self._recorded_body: bytearray | None = bytearray() if max_recorded_bytes else None
        self.complete = False

    @property
    def recorded_body(self) -> bytes | None:
        """Body of the complete answer, or None if it exceeded `max_recorded_bytes`."""
        return (
            bytes(self._recorded_body)
            if self.complete and self._recorded_body is not None
            else None
        )

    async def run(self, head: AnswerHead) -> ResultCode:
        """Forward the answer and return the result code of the transfer."""
        try:
            body = await self._receive_buffered_part(head)
        except h11.RemoteProtocolError:
            return self._broken_answer_code()
        except CONNECTION_ERRORS:
            return ResultCode.ANSWER_TRUNCATED
        data = self._caller.encode_head(
            head.status, returned_headers(head.headers, self._fields), ResultCode.ANSWERED
        )
        # A stopping daemon gives an answer that has begun more time.
        self._on_progress()
        try:
            if body:
                data += self._caller.encode_body(body)
            if not self.complete:
                return await self._stream_answer(data, self._target.poll())
            # The deadline must not cut off an answer that is already complete.
            with trio.CancelScope(shield=True) as scope:
                limit = trio.current_time() + DELIVERY_TIMEOUT_S
                scope.deadline = min(limit, self._stop_plan.last_connection_s)
                await self._send(data + self._caller.encode_end())
                return ResultCode.ANSWERED
            return ResultCode.CALLER_LEFT
        except h11.RemoteProtocolError:
            return self._broken_answer_code()
        except CONNECTION_ERRORS:
            return ResultCode.CALLER_LEFT

    async def _receive_buffered_part(self, head: AnswerHead) -> bytes:
        """Receive a short body completely and set `complete`; receive only part of a longer one.

        Nothing has been sent to the caller yet, so after a truncated answer the request can still
        be retried or answered with an error. Without a Content-Length, waits at most
        `MAX_BUFFER_TIME_S`, but longer while other requests of the connection are being served:
        the reset that ends a truncated answer would discard their answers.
        """
        length = head.value(b"content-length")
        is_long = length is not None and int(length) > MAX_BUFFERED_BYTES
        if is_long and not self._caller.shares_connection:
            return b""
        body, held = bytearray(), 0
        while True:
            with trio.move_on_after(MAX_BUFFER_TIME_S if length is None else math.inf):
                await self._receive_short_body(body)
                return bytes(body)
            if not self._caller.shares_connection:
                return bytes(body)
            if len(body) > held:
                held = len(body)
                self._on_progress()

    async def _receive_short_body(self, body: bytearray) -> None:
        while isinstance(event := await self._target.receive(), h11.Data):
            body += event.data
            self._record(event.data)
            if len(body) > MAX_BUFFERED_BYTES:
                return
        if not isinstance(event, h11.EndOfMessage):
            raise h11.RemoteProtocolError("answer cut off")
        self.complete = True

    async def _stream_answer(self, data: bytes, event: AnswerEvent) -> ResultCode:
        polled = 0
        while True:
            if isinstance(event, h11.Data):
                self._record(event.data)
                data += self._caller.encode_body(event.data)
                if len(data) >= SEND_BUFFER_BYTES:
                    await self._send(data)
                    data = b""
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
                await self._send(data + self._caller.encode_end())
                return ResultCode.ANSWERED
            elif event is h11.NEED_DATA:
                await self._send(data)
                data = b""
                try:
                    event = await self._target.receive()
                except CONNECTION_ERRORS:
                    return ResultCode.ANSWER_TRUNCATED
                continue
            else:
                return ResultCode.ANSWER_TRUNCATED
            event = self._target.poll()
            polled += 1
            if polled % MAX_EVENTS_WITHOUT_WAIT == 0:
                await trio.lowlevel.checkpoint()

    async def _send(self, data: bytes) -> None:
        await self._caller.send(data)
        self._on_progress()

    def _record(self, data: bytes) -> None:
        if self._recorded_body is not None:
            self._recorded_body += data
            if len(self._recorded_body) > self._max_recorded_bytes:
                self._recorded_body = None

    def _broken_answer_code(self) -> ResultCode:
        return (
            ResultCode.ANSWER_TRUNCATED
            if self._target.closed_by_target()
            else ResultCode.BAD_ANSWER
        )
