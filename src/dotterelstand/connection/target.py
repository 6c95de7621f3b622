"""One HTTP/1.1 connection to a target."""

import errno
import math
import re
import select
import socket
import struct
from types import TracebackType

import h11
import trio

from dotterelstand.request.head import Headers

READ_BYTES = 65536
# Number of events of an answer after which other tasks get a turn.
MAX_EVENTS_WITHOUT_WAIT = 64

_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d{1,6})")

AnswerEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class TargetConnection:
    """An h11 client connection that carries one request at a time."""

    __slots__ = (
        "_events_without_wait",
        "_h11",
        "_max_head_bytes",
        "_request",
        "_reset_seen",
        "_sending",
        "_stream",
        "address",
        "idle_since_s",
        "keep_alive_timeout_s",
        "reused",
    )

    def __init__(
        self, stream: trio.abc.Stream, address: str, now: float, max_head_bytes: int
    ) -> None:
        self._stream = stream
        self._max_head_bytes = max_head_bytes
        self._events_without_wait = 0
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=max_head_bytes)
        # Stand-in for the current request with the same method, for `skip_answer`. Idle connections
        # keep it, so it is without the headers of the request.
        self._request: h11.Request | None = None
        # Whether bytes of the request may not have been sent yet, or only in part.
        self._sending = False
        # Whether a write failed because the connection broke. The system reports that only once,
        # and later reads return the end of the stream as if the target had closed it.
        self._reset_seen = False
        self.address = address
        # Timeout from the target's Keep-Alive header, in seconds.
        self.keep_alive_timeout_s = math.inf
        self.idle_since_s = now
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
        """Send the head and the first bytes of the body in one call.

        Raises `trio.BrokenResourceError` if the connection is lost, and `h11.LocalProtocolError`
        like `encode_request`.
        """
        await self.send(self.encode_request(method, path, headers, body, complete))

    def encode_request(
        self, method: str, path: str, headers: Headers, body: bytes, complete: bool
    ) -> bytes:
        """Encode the head and the first bytes of the body, to be sent with `send`.

        Raises `h11.LocalProtocolError` if a head cannot carry one of the values.
        """
        data = self._h11.send(h11.Request(method=method, target=path, headers=headers)) or b""
        self._request = h11.Request(method=method, target="/", headers=[("host", "")])
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        if complete:
            data += self._h11.send(h11.EndOfMessage()) or b""
        return data

    async def send(self, data: bytes) -> None:
        """Send encoded bytes; raises `trio.BrokenResourceError` if the connection is lost."""
        # h11 takes a request for complete once its last bytes are encoded.
        self._sending = True
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError as error:
            self._reset_seen |= not is_broken_pipe(error)
            raise
        self._sending = False

    async def send_body(self, data: bytes) -> None:
        """Send one piece of the request body."""
        await self.send(self._h11.send(h11.Data(data=data)) or b"")

    async def finish_request(self) -> None:
        """Send the end of the request."""
        data = self._h11.send(h11.EndOfMessage())
        if data:
            await self.send(data)

    def poll(self) -> AnswerEvent:
        """Next event from data already received, or `h11.NEED_DATA`.

        Raises `h11.RemoteProtocolError` if the answer is malformed or truncated.
        """
        return self._h11.next_event()

    async def receive(self) -> AnswerEvent:
        """Wait for the next event; raises like `poll`, or `trio.BrokenResourceError`.

        The end of a connection that broke is an error, as it does not end an answer.
        """
        while (event := self._h11.next_event()) is h11.NEED_DATA:
            self._events_without_wait = 0
            data = bytes(await self._stream.receive_some(READ_BYTES))
            if not data and self._reset_seen:
                raise trio.BrokenResourceError
            self._h11.receive_data(data)
        self._events_without_wait += 1
        if self._events_without_wait >= MAX_EVENTS_WITHOUT_WAIT:
            # One read may hold thousands of short chunks.
            self._events_without_wait = 0
            await trio.lowlevel.checkpoint()
        if isinstance(event, h11.Response):
            self._note_keep_alive_timeout(event)
        return event

    async def skip_answer(self) -> None:
        """Discard an answer to an earlier request, to read the answer to the current one.

        Raises `h11.RemoteProtocolError` if the connection cannot carry another answer.
        """
        while isinstance(event := await self.receive(), h11.Data):
            pass
        if not isinstance(event, h11.EndOfMessage) or self._h11.our_state is not h11.DONE:
            raise h11.RemoteProtocolError("answer to another request closes the connection")
        rest = self._h11.trailing_data[0]
        assert self._request is not None, "an answer was read before a request was sent"
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=self._max_head_bytes)
        self._h11.send(self._request)
        self._h11.send(h11.EndOfMessage())
        if rest:
            self._h11.receive_data(bytes(rest))

    @property
    def is_request_sent(self) -> bool:
        """Whether the end of the current request was sent."""
        states = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        return self._h11.our_state in states and not self._sending

    def closed_by_target(self) -> bool:
        """Whether the target closed the connection."""
        return self._h11.trailing_data[1] or self._h11.their_state is h11.CLOSED

    def recycle(self, now: float) -> bool:
        """Prepare for the next request; False if the connection must be closed.

        That is so after an answer that came before the end of the request was sent: the target
        would take the next request for the rest of this one.
        """
        clean = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if self._sending or not clean or self._h11.trailing_data[0]:
            return False
        self._h11.start_next_cycle()
        self.idle_since_s = now
        self.reused = True
        return True

    def is_reusable(self) -> bool:
        """Whether an idle connection is still open and has no unexpected input."""
        return not has_input(self._stream)

    def close(self) -> None:
        """Close at once, which cancels the request at the target."""
        close_now(self._stream)

    def _note_keep_alive_timeout(self, answer: h11.Response) -> None:
        for name, value in answer.headers:
            match = _KEEP_ALIVE_TIMEOUT.search(value) if name == b"keep-alive" else None
            if match is not None:
                self.keep_alive_timeout_s = float(match.group(1))


def is_broken_pipe(error: trio.BrokenResourceError) -> bool:
    """Whether a write failed because the peer had ended its output before it stopped reading."""
    return isinstance(error.__cause__, OSError) and error.__cause__.errno == errno.EPIPE


def has_input(stream: trio.abc.AsyncResource) -> bool:
    """Whether bytes or the end of the stream can be read without waiting."""
    if isinstance(stream, trio.SocketStream):
        return stream.socket.fileno() < 0 or stream.socket.is_readable()
    if isinstance(stream, trio.SSLStream):
        return has_input(stream.transport_stream)
    return bool(stream.has_input()) if hasattr(stream, "has_input") else False


def has_hung_up(stream: trio.abc.AsyncResource) -> bool:
    """Whether the peer has closed its end, also if there is unread input before that."""
    if isinstance(stream, trio.SocketStream):
        if stream.socket.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(stream.socket.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))
    if isinstance(stream, trio.SSLStream):
        return has_hung_up(stream.transport_stream)
    return bool(stream.has_hung_up()) if hasattr(stream, "has_hung_up") else False


def close_now(stream: trio.abc.AsyncResource) -> None:
    """Close a stream at once, without a closing handshake."""
    if isinstance(stream, trio.SocketStream):
        stream.socket.close()
    elif isinstance(stream, trio.SSLStream):
        close_now(stream.transport_stream)
    else:
        close = getattr(stream, "close", None)
        if close is not None:
            close()


def abort_now(stream: trio.abc.AsyncResource) -> None:
    """Reset a stream, so that its peer sees an error and not an orderly end."""
    if isinstance(stream, trio.SocketStream):
        if stream.socket.fileno() >= 0:
            linger = struct.pack("ii", 1, 0)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.socket.close()
    elif isinstance(stream, trio.SSLStream):
        abort_now(stream.transport_stream)
    else:
        reset = getattr(stream, "reset", None)
        if reset is not None:
            reset()
