"""Passes a target's answer on to the caller while it arrives."""

import math
from collections.abc import Callable

import h11
import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.callerrequest import CallerRequest
from dotterelstand.connection.target import AnswerEvent, TargetConnection
from dotterelstand.request.attempt import AnswerHead
from dotterelstand.request.fields import HeaderFields
from dotterelstand.request.head import returned_headers

# Encoded bytes that are collected before they are sent to the caller.
SEND_BYTES = 65536
# Answers up to this length are held until they are complete.
HOLD_BYTES = 65536
# Seconds for which an answer that does not state its length is held; a longer one is a stream.
HOLD_S = 0.25
# Seconds in which a caller takes a complete answer, however little time its request had left.
DELIVERY_S = 2.0


class Relay:
    """One answer on its way from a target to a caller.

    The end of the answer is encoded only when the target has sent its end.
    """

    __slots__ = ("_caller", "_fields", "_kept", "_max_kept", "_progress", "_target", "complete")

    def __init__(
        self,
        caller: CallerRequest,
        target: TargetConnection,
        max_kept: int,
        progress: Callable[[], None],
        fields: HeaderFields,
    ) -> None:
        self._fields = fields
        self._caller = caller
        self._target = target
        self._max_kept = max_kept
        self._progress = progress
        self._kept: bytearray | None = bytearray() if max_kept else None
        self.complete = False

    @property
    def kept(self) -> bytes | None:
        """Body of the complete answer, or None if it was longer than allowed."""
        return bytes(self._kept) if self.complete and self._kept is not None else None

    async def run(self, head: AnswerHead) -> ResultCode:
        """Pass the answer on; the code tells whether the caller has all of it."""
        try:
            body = await self._receive_first(head)
        except h11.RemoteProtocolError:
            return self._cut_code()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return ResultCode.ANSWER_TRUNCATED
        data = self._caller.encode_head(
            head.status, returned_headers(head.headers, self._fields), ResultCode.ANSWERED
        )
        try:
            if body:
                data += self._caller.encode_body(body)
            if not self.complete:
                return await self._pass_on(data, self._target.poll())
            # A deadline that passes now must not break off an answer that is ready.
            with trio.CancelScope(shield=True) as scope:
                scope.deadline = trio.current_time() + DELIVERY_S
                await self._send(data + self._caller.encode_end())
                return ResultCode.ANSWERED
            return ResultCode.CALLER_LEFT
        except h11.RemoteProtocolError:
            return self._cut_code()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return ResultCode.CALLER_LEFT

    async def _receive_first(self, head: AnswerHead) -> bytes:
        """First part of the body, the whole of a short one; `complete` tells which.

        Nothing has reached the caller yet, so a cut leaves room for another attempt or for an
        answer that says what happened. An answer without a length waits at most `HOLD_S`.
        """
        length = head.value(b"content-length")
        if length is not None and int(length) > HOLD_BYTES:
            return b""
        body = bytearray()
        with trio.move_on_after(HOLD_S if length is None else math.inf):
            while isinstance(event := await self._target.receive(), h11.Data):
                body += event.data
                self._keep(event.data)
                if len(body) > HOLD_BYTES:
                    return bytes(body)
            if not isinstance(event, h11.EndOfMessage):
                raise h11.RemoteProtocolError("answer cut off")
            self.complete = True
        return bytes(body)

    async def _pass_on(self, data: bytes, event: AnswerEvent) -> ResultCode:
        while True:
            if isinstance(event, h11.Data):
                self._keep(event.data)
                data += self._caller.encode_body(event.data)
                if len(data) >= SEND_BYTES:
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
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return ResultCode.ANSWER_TRUNCATED
                continue
            else:
                return ResultCode.ANSWER_TRUNCATED
            event = self._target.poll()

    async def _send(self, data: bytes) -> None:
        await self._caller.send(data)
        self._progress()

    def _keep(self, data: bytes) -> None:
        if self._kept is not None:
            self._kept += data
            if len(self._kept) > self._max_kept:
                self._kept = None

    def _cut_code(self) -> ResultCode:
        return ResultCode.ANSWER_TRUNCATED if self._target.lost() else ResultCode.BAD_ANSWER
