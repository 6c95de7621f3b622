"""One websocket link between two entry hosts."""

import http
import logging
from collections import deque
from collections.abc import Callable
from types import TracebackType

import trio
from returns.pipeline import is_successful
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidHandshake, InvalidState
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import WebSocketURI

from dotterelstand.connection.codec import decode_messages, join_messages
from dotterelstand.connection.target import READ_BYTES, close_now
from dotterelstand.connection.wire import Hello, Message

LINK_PATH = "/peer"

# Silenced, since the library's log lines would duplicate the events about links.
_LIBRARY_LOG = logging.getLogger("dotterelstand.websockets")
_LIBRARY_LOG.setLevel(logging.CRITICAL + 1)

# Maximum size in bytes of the first frame from a dialling host, which is not yet known.
MAX_HELLO_BYTES = 4096
# Number of bytes that delimit the CBOR array of indefinite length in a frame.
FRAME_OVERHEAD_BYTES = 2
# Seconds for which a replaced link still receives messages in transit.
RETIRE_TIMEOUT_S = 1.0


class LinkError(Exception):
    """Failure of a link; the message is the reason."""


class LinkLimits:
    """Bounds of one link: bytes per frame, queued messages, queued bytes."""

    __slots__ = ("max_message_bytes", "max_queue", "max_queue_bytes")

    def __init__(self, max_message_bytes: int, max_queue: int, max_queue_bytes: int) -> None:
        self.max_message_bytes = max_message_bytes
        self.max_queue = max_queue
        self.max_queue_bytes = max_queue_bytes


class PeerLink:
    """Link that sends and receives frames of messages; owns its stream."""

    __slots__ = (
        "_inbox",
        "_limits",
        "_protocol",
        "_queue",
        "_queued_bytes",
        "_retiring",
        "_scope",
        "_stream",
        "_wake",
        "close_reason",
        "dialled",
        "hello",
        "last_received_s",
        "received_bytes",
        "sent_bytes",
    )

    def __init__(
        self,
        stream: trio.abc.Stream,
        protocol: ClientProtocol | ServerProtocol,
        limits: LinkLimits,
    ) -> None:
        self._stream = stream
        self._protocol = protocol
        self._limits = limits
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._inbox: list[Message] = []
        self._wake = trio.Event()
        self._scope = trio.CancelScope()
        self._retiring = False
        self.dialled = isinstance(protocol, ClientProtocol)
        self.hello: Hello | None = None
        self.last_received_s = trio.current_time()
        self.close_reason = ""
        self.sent_bytes = 0
        self.received_bytes = 0

    def __enter__(self) -> "PeerLink":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        close_now(self._stream)

    @property
    def peer(self) -> str:
        """Name of the host at the other end; available after its `Hello`."""
        assert self.hello is not None
        return self.hello.host

    def enqueue(self, data: bytes) -> bool:
        """Queue one encoded message; False if it would exceed a bound."""
        if len(data) + FRAME_OVERHEAD_BYTES > self._limits.max_message_bytes:
            return False
        if len(self._queue) >= self._limits.max_queue:
            return False
        if self._queued_bytes + len(data) > self._limits.max_queue_bytes:
            return False
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._wake.set()
        return True

    def take_queue(self) -> list[bytes]:
        """Remove and return the queued messages, for the link that replaces this one."""
        waiting = list(self._queue)
        self._queue.clear()
        self._queued_bytes = 0
        return waiting

    def close(self, reason: str) -> None:
        """Close the link; `run` returns and the stream is closed."""
        self.close_reason = self.close_reason or reason
        self._scope.cancel()

    def retire(self) -> None:
        """Send no more messages, and close the link after receiving messages in transit."""
        self.close_reason = self.close_reason or "replaced by another link"
        self._retiring = True
        self._scope.deadline = min(self._scope.deadline, trio.current_time() + RETIRE_TIMEOUT_S)
        self._wake.set()

    async def perform_handshake(self) -> None:
        """Perform the websocket handshake; raises `LinkError` or trio's stream errors."""
        if isinstance(self._protocol, ClientProtocol):
            self._protocol.send_request(self._protocol.connect())
            await self._flush()
        while True:
            for event in self._protocol.events_received():
                if isinstance(event, Request):
                    await self._answer_handshake(event)
                    return
                if isinstance(event, Response) and self._protocol.state is State.OPEN:
                    return
            await self._check_handshake()
            await self._receive()

    async def send_now(self, data: bytes) -> None:
        """Send one encoded message before `run` is called."""
        self._protocol.send_binary(join_messages([data]))
        await self._flush()

    async def receive_hello(self) -> Hello:
        """Receive the first message; raises `LinkError` if it is not a `Hello`."""
        while not self._inbox:
            self._parse_frames()
            if not self._inbox:
                await self._receive()
        message = self._inbox.pop(0)
        if not isinstance(message, Hello):
            raise LinkError(f"first message is {type(message).__name__}, not Hello")
        self.hello = message
        self._protocol.max_message_size = self._limits.max_message_bytes
        return message

    async def run(self, handle: Callable[[Message], None]) -> None:
        """Send queued messages and call `handle` for each received one until the link ends."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write_frames)
                    await self._read_frames(handle)
                    nursery.cancel_scope.cancel()
        except* LinkError as group:
            self.close_reason = self.close_reason or str(group.exceptions[0])
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            self.close_reason = self.close_reason or "connection lost"

    async def _read_frames(self, handle: Callable[[Message], None]) -> None:
        while True:
            self._parse_frames()
            while self._inbox:
                handle(self._inbox.pop(0))
            # Only the writer task sends, so wake it for replies such as pongs.
            self._wake.set()
            await self._receive()

    async def _write_frames(self) -> None:
        while True:
            await self._flush()
            self._wake = trio.Event()
            if self._protocol.state is not State.OPEN:
                # One end has closed the link. A writer that was woken before is not cancelled yet.
                return
            if self._retiring:
                self._protocol.send_close()
                continue
            if self._queue:
                self._protocol.send_binary(self._next_frame())
                continue
            await self._wake.wait()

    def _next_frame(self) -> bytes:
        parts: list[bytes] = []
        size = FRAME_OVERHEAD_BYTES
        while self._queue and size + len(self._queue[0]) <= self._limits.max_message_bytes:
            part = self._queue.popleft()
            size += len(part)
            parts.append(part)
        self._queued_bytes -= size - FRAME_OVERHEAD_BYTES
        assert parts, "a queued message is larger than a frame"
        return join_messages(parts)

    async def _answer_handshake(self, request: Request) -> None:
        assert isinstance(self._protocol, ServerProtocol)
        if request.path == LINK_PATH:
            self._protocol.send_response(self._protocol.accept(request))
        else:
            self._protocol.send_response(self._protocol.reject(http.HTTPStatus.NOT_FOUND, ""))
        await self._flush()
        await self._check_handshake()

    async def _check_handshake(self) -> None:
        error = self._protocol.handshake_exc
        if error is not None or self._protocol.state is State.CLOSED:
            raise LinkError(f"websocket handshake failed: {error}")

    def _parse_frames(self) -> None:
        for event in self._protocol.events_received():
            if not isinstance(event, Frame) or event.opcode in (Opcode.PING, Opcode.PONG):
                continue
            if event.opcode is Opcode.CLOSE:
                raise LinkError("closed by the other end")
            if event.opcode is not Opcode.BINARY or not event.fin:
                raise LinkError(f"malformed frame: {event.opcode.name} frame, fin={event.fin}")
            self._decode_messages(bytes(event.data))
        if self._protocol.parser_exc is not None:
            raise LinkError(f"malformed frame: {self._protocol.parser_exc}")

    def _decode_messages(self, data: bytes) -> None:
        messages = decode_messages(data)
        if not is_successful(messages):
            raise LinkError(f"malformed frame: {messages.failure()}")
        self._inbox.extend(messages.unwrap())

    async def _receive(self) -> None:
        data = bytes(await self._stream.receive_some(READ_BYTES))
        if not data:
            raise LinkError("closed by the other end")
        self.received_bytes += len(data)
        self.last_received_s = trio.current_time()
        self._protocol.receive_data(data)

    async def _flush(self) -> None:
        data = b"".join(self._protocol.data_to_send())
        if data:
            self.sent_bytes += len(data)
            await self._stream.send_all(data)


def dialling_link(stream: trio.abc.Stream, address: str, limits: LinkLimits) -> PeerLink:
    """Create the link for a stream that this host opened."""
    uri = WebSocketURI(False, address, 80, LINK_PATH, "")
    protocol = ClientProtocol(uri, max_size=limits.max_message_bytes, logger=_LIBRARY_LOG)
    return PeerLink(stream, protocol, limits)


def accepting_link(stream: trio.abc.Stream, limits: LinkLimits) -> PeerLink:
    """Create the link for a stream that another host opened."""
    protocol = ServerProtocol(
        max_size=min(MAX_HELLO_BYTES, limits.max_message_bytes), logger=_LIBRARY_LOG
    )
    return PeerLink(stream, protocol, limits)


def is_preferred(new: PeerLink, old: PeerLink, host: str) -> bool:
    """Whether a second link to a peer replaces the first; both ends reach the same decision.

    The link dialled by the host with the smaller name is preferred. Of two links dialled by the
    same host, and after a restart of the peer, the newer one is preferred.
    """
    assert new.hello is not None and old.hello is not None
    if new.hello.incarnation != old.hello.incarnation or new.dialled == old.dialled:
        return True
    return new.dialled == (host < new.peer)


# Exceptions raised while a link is opened, besides `OSError` from the network.
OPEN_ERRORS = (
    LinkError,
    InvalidHandshake,
    InvalidState,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
