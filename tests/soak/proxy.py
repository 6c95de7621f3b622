"""Loopback TCP proxy that can delay, reset, silence or cut its connections."""

import random

import trio

from dotterelstand.connection.target import abort_now

CHUNK_BYTES = 65536
# Time in seconds until lost bytes are sent again.
RESEND_S = 0.2
# Segment size of connections with a bounded receive buffer.
MAX_SEGMENT_BYTES = 1400


async def open_listeners(
    address: str, port: int, receive_buffer_bytes: int
) -> list[trio.SocketListener]:
    """Listen on an address; connections get the receive buffer, or the system's usual if 0."""
    listeners = await trio.open_tcp_listeners(port, host=address)
    for listener in listeners if receive_buffer_bytes else ():
        # Without a segment size as on a network, a sender's buffer holds megabytes on loopback.
        listener.socket.setsockopt(
            trio.socket.IPPROTO_TCP, trio.socket.TCP_MAXSEG, MAX_SEGMENT_BYTES
        )
        listener.socket.setsockopt(
            trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, receive_buffer_bytes
        )
    return listeners


class _ProxiedConnection:
    """One connection through the proxy."""

    __slots__ = ("client", "scope", "server", "silent")

    def __init__(self, client: trio.SocketStream, server: trio.SocketStream) -> None:
        self.client = client
        self.server = server
        self.scope = trio.CancelScope()
        self.silent = False


class LoopbackProxy:
    """Forwards TCP connections between two loopback addresses, with fault injection.

    `delay_s` delays each piece of data, and a share `loss` of them by `RESEND_S` more. `refuses`
    resets new connections. `cut` drops all data in both directions, `cut_answers` only data towards
    the client. A `receive_buffer_bytes` of 0 leaves the size of the buffers to the system.
    """

    def __init__(self, address: str, port: int, to_address: str, to_port: int) -> None:
        self.address = address
        self.port = port
        self._server_address = (to_address, to_port)
        self._connections: set[_ProxiedConnection] = set()
        self._random = random.Random(address)
        # Whether the connection to the server was opened, by the address of the client.
        self._connected: dict[object, bool] = {}
        self._connects = trio.lowlevel.ParkingLot()
        self.delay_s = 0.0
        self.loss = 0.0
        self.refuses = False
        self.cut = False
        self.cut_answers = False
        self.receive_buffer_bytes = 0

    async def wait_connected(self, client: object) -> bool:
        """Wait until the connection of a client has been passed on; False if that failed."""
        while client not in self._connected:
            await self._connects.park()
        return self._connected.pop(client)

    def reset(self) -> None:
        """Reset every open connection."""
        for connection in tuple(self._connections):
            connection.scope.cancel()

    def silence(self) -> None:
        """Drop all data of the open connections from now on; new connections work."""
        for connection in self._connections:
            connection.silent = True

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await open_listeners(self.address, self.port, self.receive_buffer_bytes)
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    async def _serve(self, client: trio.SocketStream) -> None:
        if self.refuses:
            self._note_connected(client, False)
            abort_now(client)
            return
        try:
            server = await trio.open_tcp_stream(*self._server_address)
        except OSError:
            self._note_connected(client, False)
            abort_now(client)
            return
        self._note_connected(client, True)
        connection = _ProxiedConnection(client, server)
        self._connections.add(connection)
        clean = False
        try:
            with connection.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._pump, connection, client, server, False)
                    nursery.start_soon(self._pump, connection, server, client, True)
                clean = True
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._connections.discard(connection)
            for stream in (client, server):
                if clean:
                    stream.socket.close()
                else:
                    abort_now(stream)

    def _note_connected(self, client: trio.SocketStream, connected: bool) -> None:
        try:
            self._connected[client.socket.getpeername()] = connected
        except OSError:
            # The client has left, and does not ask.
            return
        self._connects.unpark_all()

    async def _pump(
        self,
        connection: _ProxiedConnection,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        to_client: bool,
    ) -> None:
        while True:
            data = await source.receive_some(CHUNK_BYTES)
            if self.delay_s:
                await trio.sleep(self.delay_s)
            if self.loss and self._random.random() < self.loss:
                await trio.sleep(RESEND_S)
            if connection.silent or self.cut or (to_client and self.cut_answers):
                # TCP delivers no data after a gap, so all later data is dropped too.
                connection.silent = True
                await trio.sleep_forever()
            if not data:
                await sink.send_eof()
                return
            await sink.send_all(data)
