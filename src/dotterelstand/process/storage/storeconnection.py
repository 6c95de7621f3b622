"""Connections to the platform's object store."""

import h11
import trio

from dotterelstand.connection.network import Network
from dotterelstand.connection.target import close_now

# The store may close connections that are idle for longer.
MAX_IDLE_S = 5.0
READ_BYTES = 65536
# Timeout for opening a connection. TCP retransmits a lost SYN only after one second, so a new
# connection attempt is faster.
CONNECT_TIMEOUT_S = 0.5


class StoreAnswer:
    """Status, version, headers and body of an answer; version 0 if there is no `etag` header.

    The names of the headers are in lower case; of several with one name the last is kept.
    """

    __slots__ = ("body", "headers", "status", "version")

    def __init__(self, status: int, version: int, headers: dict[bytes, bytes], body: bytes) -> None:
        self.headers = headers
        self.status = status
        self.version = version
        self.body = body


class StoreConnection:
    """HTTP/1.1 client connection for one call at a time."""

    __slots__ = ("_h11", "_stream", "idle_since", "reused", "sent")

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0
        self.reused = False
        self.sent = False

    async def exchange(
        self, method: str, path: str, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> StoreAnswer:
        """Make one call; raises `trio.BrokenResourceError` or `h11.ProtocolError`."""
        fields = [(b"host", b"store"), (b"content-length", b"%d" % len(body)), *headers]
        data = self._h11.send(h11.Request(method=method, target=path, headers=fields)) or b""
        data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self.sent = True
        await self._stream.send_all(data)
        return await self._receive()

    async def _receive(self) -> StoreAnswer:
        status, version, chunks = 0, 0, []
        headers: dict[bytes, bytes] = {}
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._h11.receive_data(bytes(await self._stream.receive_some(READ_BYTES)))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = dict(event.headers)
                tag = headers.get(b"etag", b"0").strip(b'"')
                if not tag.isdigit():
                    raise h11.RemoteProtocolError("etag is not a number")
                version = int(tag)
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return StoreAnswer(status, version, headers, b"".join(chunks))
            elif not isinstance(event, h11.InformationalResponse):
                raise h11.RemoteProtocolError("connection closed before the end of the answer")

    def recycle(self, now: float) -> bool:
        """Prepare for the next call; false if the connection must be closed."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self.idle_since = now
        self.reused = True
        self.sent = False
        return True

    def close(self) -> None:
        """Close immediately."""
        close_now(self._stream)


class StoreConnections:
    """Pool of idle connections; the most recently used one is reused first."""

    __slots__ = ("_address", "_idle", "_max_idle", "_network", "_port", "opened")

    def __init__(self, address: str, port: int, network: Network, max_idle: int) -> None:
        self._address = address
        self._port = port
        self._network = network
        self._max_idle = max_idle
        self._idle: list[StoreConnection] = []
        self.opened = 0

    async def acquire(self, reuse: bool) -> StoreConnection:
        """Reuse or open a connection; raises `OSError` if the store cannot be reached."""
        now = trio.current_time()
        while reuse and self._idle:
            connection = self._idle.pop()
            if now - connection.idle_since <= MAX_IDLE_S:
                return connection
            connection.close()
        self.opened += 1
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            return StoreConnection(await self._network.connect(self._address, self._port))
        raise OSError(f"{self._address}:{self._port} did not accept a connection in time")

    def release(self, connection: StoreConnection) -> None:
        """Return a connection; closes it if the answer is incomplete or the pool is full."""
        if len(self._idle) < self._max_idle and connection.recycle(trio.current_time()):
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
