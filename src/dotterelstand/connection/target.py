"""One HTTP/1.1 connection to a target."""

from types import TracebackType

import h11
import trio

from dotterelstand.connection.stream import close_now, has_input, send_bytes
from dotterelstand.request.head import Headers

READ_BYTES = 65536

AnswerEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class TargetConnection:
    """An h11 client connection that carries one request at a time."""

    __slots__ = ("_h11", "_stream", "address", "handed", "last_proof_s", "reused")

    def __init__(
        self, stream: trio.abc.Stream, address: str, now: float, max_head_bytes: int
    ) -> None:
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=max_head_bytes)
        self.address = address
        self.last_proof_s = now
        self.handed = False
        self.reused = False

    def __enter__(self) -> "TargetConnection":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    async def send_request(
        self, method: str, path: str, headers: Headers, body: bytes, complete: bool
    ) -> None:
        """Send the head with the first bytes of the body in one call.

        Raises `trio.BrokenResourceError` if the connection is lost.
        """
        data = self._h11.send(h11.Request(method=method, target=path, headers=headers)) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        if complete:
            data += self._h11.send(h11.EndOfMessage()) or b""
        # Set before the call, since a failed call may have sent a part.
        self.handed = True
        await send_bytes(self._stream, data)

    async def send_body(self, data: bytes) -> None:
        """Send one piece of the request body."""
        await send_bytes(self._stream, self._h11.send(h11.Data(data=data)) or b"")

    async def finish_request(self) -> None:
        """Mark the request as complete."""
        data = self._h11.send(h11.EndOfMessage())
        if data:
            await send_bytes(self._stream, data)

    def poll(self) -> AnswerEvent:
        """Next event that is already here, or `h11.NEED_DATA`.

        Raises `h11.RemoteProtocolError` if the answer is malformed or cut off.
        """
        return self._h11.next_event()

    async def receive(self) -> AnswerEvent:
        """Next event of the answer; raises like `poll`, or `trio.BrokenResourceError`."""
        while (event := self._h11.next_event()) is h11.NEED_DATA:
            self._h11.receive_data(bytes(await self._stream.receive_some(READ_BYTES)))
        return event

    def lost(self) -> bool:
        """Whether the target closed the connection."""
        return self._h11.trailing_data[1] or self._h11.their_state is h11.CLOSED

    def recycle(self, now: float) -> bool:
        """Prepare for the next request; False if the connection must be closed."""
        clean = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if not clean or self._h11.trailing_data[0]:
            return False
        self._h11.start_next_cycle()
        self.last_proof_s = now
        self.handed = False
        self.reused = True
        return True

    def is_quiet(self) -> bool:
        """Whether an idle connection is open and has sent nothing unexpected."""
        return not has_input(self._stream)

    def close(self) -> None:
        """Close at once; the target sees it as cancellation."""
        close_now(self._stream)
