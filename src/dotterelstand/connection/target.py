"""One HTTP/1.1 connection to a target."""

from types import TracebackType

import h11
import trio

from dotterelstand.request.head import Headers

READ_BYTES = 65536


class TargetConnection:
    """An h11 client connection that carries one request at a time."""

    __slots__ = ("_h11", "_stream", "address", "last_proof_s", "sent_bytes")

    def __init__(
        self, stream: trio.abc.Stream, address: str, now: float, max_head_bytes: int
    ) -> None:
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=max_head_bytes)
        self.address = address
        self.last_proof_s = now
        self.sent_bytes = 0

    def __enter__(self) -> "TargetConnection":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    async def send_head(self, method: str, path: str, headers: Headers) -> None:
        """Send the request head; raises `trio.BrokenResourceError` if the connection is lost."""
        await self._send(h11.Request(method=method, target=path, headers=headers))

    async def send_body(self, data: bytes) -> None:
        """Send one piece of the request body."""
        await self._send(h11.Data(data=data))

    async def finish_request(self) -> None:
        """Mark the request as complete."""
        await self._send(h11.EndOfMessage())

    async def receive(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Next event of the answer; raises `h11.RemoteProtocolError` if it is malformed."""
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(READ_BYTES)
                self._h11.receive_data(bytes(data))
                continue
            return event

    def recycle(self, now: float) -> bool:
        """Prepare for the next request; False if the connection must be closed."""
        clean = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if not clean or self._h11.trailing_data[0]:
            return False
        self._h11.start_next_cycle()
        self.last_proof_s = now
        self.sent_bytes = 0
        return True

    def close(self) -> None:
        """Close at once; the target sees it as cancellation."""
        close_now(self._stream)

    async def _send(self, event: h11.Event) -> None:
        data = self._h11.send(event)
        if data:
            self.sent_bytes += len(data)
            await self._stream.send_all(data)


def close_now(stream: trio.abc.AsyncResource) -> None:
    """Close a stream without waiting for its peer."""
    if isinstance(stream, trio.SocketStream):
        stream.socket.close()
    elif isinstance(stream, trio.SSLStream):
        close_now(stream.transport_stream)
    else:
        close = getattr(stream, "close", None)
        if close is not None:
            close()
