"""In-memory network with latency and faults, for runs in virtual time."""

import contextvars
import errno
from collections import Counter, deque
from collections.abc import Callable

import trio

from dotterelstand.connection.network import StreamHandler

# Unread bytes in one direction after which a sender blocks, like a full TCP window.
WINDOW_BYTES = 65536


class _Pipe:
    """One direction of a connection."""

    __slots__ = ("broken", "buffered", "chunks", "closed", "silent", "wake")

    def __init__(self) -> None:
        self.chunks: deque[tuple[float, bytes]] = deque()
        self.buffered = 0
        self.closed = False
        self.broken = False
        self.silent = False
        self.wake = trio.Event()

    def notify(self) -> None:
        self.wake.set()
        self.wake = trio.Event()


class FakeStream(trio.abc.Stream):
    """One end of a connection."""

    __slots__ = (
        "_incoming",
        "_latency_s",
        "_local_closed",
        "_outgoing",
        "local_address",
        "remote_address",
        "traffic",
    )

    def __init__(
        self, incoming: _Pipe, outgoing: _Pipe, latency_s: float, remote_address: str
    ) -> None:
        self._incoming = incoming
        self._outgoing = outgoing
        self._latency_s = latency_s
        self._local_closed = False
        self.remote_address = remote_address
        self.local_address = ""
        self.traffic: Counter[tuple[str, str]] | None = None

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes; a silent connection discards them."""
        await trio.lowlevel.checkpoint()
        pipe = self._outgoing
        while pipe.buffered >= WINDOW_BYTES and not (pipe.broken or pipe.closed or pipe.silent):
            await pipe.wake.wait()
        if self._local_closed:
            raise trio.ClosedResourceError
        if pipe.broken:
            raise trio.BrokenResourceError from ConnectionResetError(errno.ECONNRESET, "reset")
        if pipe.closed and not pipe.silent:
            raise trio.BrokenResourceError from BrokenPipeError(errno.EPIPE, "closed by the peer")
        if pipe.silent or not data:
            return
        pipe.chunks.append((trio.current_time() + self._latency_s, bytes(data)))
        pipe.buffered += len(data)
        if self.traffic is not None:
            self.traffic[self.local_address, self.remote_address] += len(data)
        pipe.notify()

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the window has room."""
        while self._outgoing.buffered >= WINDOW_BYTES and not self._outgoing.broken:
            await self._outgoing.wake.wait()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes; empty at the end of the stream."""
        await trio.lowlevel.checkpoint()
        pipe = self._incoming
        while True:
            if self._local_closed:
                raise trio.ClosedResourceError
            if pipe.broken:
                raise trio.BrokenResourceError
            if pipe.chunks and not pipe.silent:
                if pipe.chunks[0][0] <= trio.current_time():
                    return self._take(pipe, max_bytes)
                await trio.sleep_until(pipe.chunks[0][0])
            elif pipe.closed and not pipe.silent:
                return b""
            else:
                await pipe.wake.wait()

    def has_input(self) -> bool:
        """Whether bytes or the end of the stream can be read now."""
        pipe = self._incoming
        if pipe.broken or self._local_closed:
            return True
        if pipe.silent:
            return False
        return pipe.chunks[0][0] <= trio.current_time() if pipe.chunks else pipe.closed

    def has_hung_up(self) -> bool:
        """Whether the other end is closed, also if there are unread bytes.

        The end of the stream arrives only when all bytes before it fit into the window.
        """
        pipe = self._incoming
        if pipe.broken or self._local_closed:
            return True
        return pipe.closed and not pipe.silent and pipe.buffered < WINDOW_BYTES

    async def aclose(self) -> None:
        """Close this end."""
        self.close()
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Close this end at once; the other end reads the bytes in flight, then end of stream."""
        self._local_closed = True
        self._outgoing.closed = True
        self._incoming.closed = True
        self._outgoing.notify()
        self._incoming.notify()

    def reset(self) -> None:
        """Break the connection at both ends, as the crash of a process does."""
        for pipe in (self._incoming, self._outgoing):
            pipe.broken = True
            pipe.notify()

    def silence(self) -> None:
        """Drop all data in both directions from now on, without an error."""
        for pipe in (self._incoming, self._outgoing):
            pipe.silent = True
            pipe.notify()

    def _take(self, pipe: _Pipe, max_bytes: int | None) -> bytes:
        arrives_at, data = pipe.chunks.popleft()
        if max_bytes is not None and len(data) > max_bytes:
            pipe.chunks.appendleft((arrives_at, data[max_bytes:]))
            data = data[:max_bytes]
        pipe.buffered -= len(data)
        pipe.notify()
        return data


class FakeListener:
    """A listener in the in-memory network."""

    __slots__ = ("_address", "_network", "_port", "context", "handler", "nursery")

    def __init__(self, network: "FakeNetwork", address: str, port: int) -> None:
        self._network = network
        self._address = address
        self._port = port
        self.handler: StreamHandler | None = None
        self.nursery: trio.Nursery | None = None
        # Tasks that serve a stream run in a copy of the listener's context, which names its host.
        self.context = contextvars.Context()

    @property
    def port(self) -> int:
        """Bound port number."""
        return self._port

    async def serve(self, handler: StreamHandler, nursery: trio.Nursery) -> None:
        """Start `handler` for each new stream until cancelled, then close the port."""
        self.handler = handler
        self.nursery = nursery
        self.context = contextvars.copy_context()
        try:
            await trio.sleep_forever()
        finally:
            self._network.remove_listener(self._address, self._port)


class FakeNetwork:
    """Listeners and connections of all hosts, with latency and faults.

    `latency_s(from_address, to_address)` returns the one-way latency in seconds.
    """

    __slots__ = ("_latency_s", "_listeners", "_next_port", "_partitioned", "_streams", "traffic")

    def __init__(self, latency_s: Callable[[str, str], float]) -> None:
        self._latency_s = latency_s
        self._listeners: dict[tuple[str, int], FakeListener] = {}
        self._next_port = 20000
        self._partitioned: set[frozenset[str]] = set()
        self._streams: list[tuple[str, str, FakeStream]] = []
        # Total bytes sent, by source and destination address.
        self.traffic: Counter[tuple[str, str]] = Counter()

    def at(self, address: str) -> "FakeHostNetwork":
        """Return the network as seen by the host with this address."""
        return FakeHostNetwork(self, address)

    def partition(self, one: str, other: str) -> None:
        """Silence every connection between two hosts; new connections hang."""
        self._partitioned.add(frozenset((one, other)))
        for source, destination, stream in self._streams:
            if {source, destination} == {one, other}:
                stream.silence()

    def heal(self, one: str, other: str) -> None:
        """Allow new connections between two hosts again."""
        self._partitioned.discard(frozenset((one, other)))

    def streams(self, source: str, destination: str) -> list[FakeStream]:
        """Return the client ends of the open connections from one host to another."""
        return [
            stream
            for start, end, stream in self._streams
            if (start, end) == (source, destination) and not stream._local_closed
        ]

    def crash(self, address: str) -> None:
        """Break every connection of a host and close its listeners."""
        for source, destination, stream in self._streams:
            if address in (source, destination):
                stream.reset()
        for key in [key for key in self._listeners if key[0] == address]:
            del self._listeners[key]
        self._drop_closed()

    def remove_listener(self, address: str, port: int) -> None:
        """Close a listening port."""
        self._listeners.pop((address, port), None)

    def add_listener(self, address: str, port: int) -> FakeListener:
        """Open a listening port, or a free one for port 0; raises `OSError` if it is in use."""
        if port == 0:
            self._next_port += 1
            port = self._next_port
        if (address, port) in self._listeners:
            raise OSError(f"{address}:{port} is in use")
        listener = FakeListener(self, address, port)
        self._listeners[address, port] = listener
        return listener

    async def open_stream(self, source: str, address: str, port: int) -> FakeStream:
        """Open a connection after one round trip; raises `OSError` if the port is closed."""
        latency_s = self._latency_s(source, address)
        await trio.sleep(2 * latency_s)
        if frozenset((source, address)) in self._partitioned:
            await trio.sleep_forever()
        listener = self._listeners.get((address, port))
        if listener is None or listener.handler is None or listener.nursery is None:
            raise OSError(f"{address}:{port} refused the connection")
        one, other = _Pipe(), _Pipe()
        client_end = FakeStream(one, other, latency_s, address)
        server_end = FakeStream(other, one, latency_s, source)
        client_end.traffic = server_end.traffic = self.traffic
        client_end.local_address, server_end.local_address = source, address
        if len(self._streams) > 4096:
            self._drop_closed()
        self._streams.append((source, address, client_end))
        listener.context.copy().run(listener.nursery.start_soon, listener.handler, server_end)
        return client_end

    def _drop_closed(self) -> None:
        self._streams = [item for item in self._streams if not item[2]._local_closed]


class FakeHostNetwork:
    """The in-memory network as seen by one host."""

    __slots__ = ("_address", "_network")

    def __init__(self, network: FakeNetwork, address: str) -> None:
        self._network = network
        self._address = address

    async def connect(self, address: str, port: int) -> trio.abc.Stream:
        """Open a stream; raises `OSError` if the port is closed."""
        return await self._network.open_stream(self._address, address, port)

    async def listen(self, address: str, port: int) -> FakeListener:
        """Open a listener, on a free port for port 0; raises `OSError` if the port is in use."""
        return self._network.add_listener(address, port)
