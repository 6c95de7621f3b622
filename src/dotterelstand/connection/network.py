"""Interface to the network, which simulations replace, and its TCP implementation."""

import ipaddress
import os
import socket
from collections.abc import Awaitable, Callable
from functools import singledispatch
from typing import Protocol

import trio

from dotterelstand.events import Event, log

# A silent peer is detected after about 3 s, the time within which the platform expects a host to
# recover from a disruption.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Milliseconds after which unacknowledged bytes end a connection; allows two retransmissions.
TCP_USER_TIMEOUT_MS = 3000
# Size of an enlarged send buffer in bytes; the system may limit it to less.
LARGE_SEND_BUFFER_BYTES = 1_048_576

# Errors of a stream that was lost or closed.
CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]


class PortError(OSError):
    """A port that cannot be opened; other errors of the operating system have other causes."""


class Listener(Protocol):
    """An open listening port."""

    @property
    def port(self) -> int:
        """Port number that was bound."""

    async def serve(self, handler: StreamHandler, nursery: trio.Nursery) -> None:
        """Run `handler` in `nursery` for each new stream until cancelled, then close the port."""


class Network(Protocol):
    """Factory of streams and listeners by numeric address."""

    async def connect(self, address: str, port: int) -> trio.abc.Stream:
        """Open a stream; raises `OSError` if the address cannot be reached."""

    async def listen(self, address: str, port: int) -> Listener:
        """Open a listener; port 0 selects a free port; raises `OSError`."""


def enable_keepalive(stream: trio.SocketStream) -> None:
    """Let the kernel detect a peer that vanished without closing the connection.

    Without it, a connection on which only the peer sends would look idle forever.
    """
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def enlarge_send_buffer(stream: trio.abc.AsyncResource) -> None:
    """Let the system hold more unsent bytes, which it delivers even after the process has ended."""
    if isinstance(stream, trio.SSLStream):
        enlarge_send_buffer(stream.transport_stream)
    elif isinstance(stream, trio.SocketStream) and stream.socket.fileno() >= 0:
        if stream.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < LARGE_SEND_BUFFER_BYTES:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LARGE_SEND_BUFFER_BYTES)
        # `trio` sets it to 16 KB, beyond which a sender waits for the caller.
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, LARGE_SEND_BUFFER_BYTES)


class TcpListener:
    """A listener on a TCP port."""

    __slots__ = ("_listeners",)

    def __init__(self, listeners: list[trio.SocketListener]) -> None:
        self._listeners = listeners

    @property
    def listeners(self) -> list[trio.SocketListener]:
        """Listening sockets of the port, one for each of its addresses."""
        return self._listeners

    @property
    def port(self) -> int:
        """Port number that was bound."""
        return self._listeners[0].socket.getsockname()[1]

    async def serve(self, handler: StreamHandler, nursery: trio.Nursery) -> None:
        """Run `handler` in `nursery` for each new stream until cancelled, then close the port.

        Connections that the system has accepted by then are served as well: closing the port would
        reset them, although their first request may have been sent.
        """
        waiting = [_duplicate(listener) for listener in self._listeners]
        try:
            await trio.serve_listeners(handler, self._listeners, handler_nursery=nursery)
        finally:
            for duplicate in waiting:
                for stream in _accept_waiting(duplicate):
                    nursery.start_soon(_serve, handler, stream)
                duplicate.close()


@singledispatch
def limit_receive_buffers(listener: object, size: int) -> None:
    """Bound the bytes that the system receives for a new connection before it is read.

    Has an effect on listeners of the operating system only.
    """


@limit_receive_buffers.register
def _(listener: TcpListener, size: int) -> None:
    for item in listener.listeners:
        # Connections inherit it; after they are open, more may already have been received.
        item.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def _duplicate(listener: trio.SocketListener) -> socket.socket:
    """Second descriptor of a listening socket, which keeps it open."""
    duplicate = socket.socket(fileno=os.dup(listener.socket.fileno()))
    duplicate.setblocking(False)
    return duplicate


def _accept_waiting(listening: socket.socket) -> list[trio.SocketStream]:
    """Accept the connections that wait at a listening socket."""
    accepted: list[trio.SocketStream] = []
    while True:
        try:
            connection, _ = listening.accept()
        except ConnectionAbortedError:
            continue
        except BlockingIOError:
            return accepted
        except OSError as error:
            # The system may have no file descriptor left.
            log(Event.ACCEPT_FAILED, reason=str(error))
            return accepted
        accepted.append(trio.SocketStream(trio.socket.from_stdlib_socket(connection)))


async def _serve(handler: StreamHandler, stream: trio.SocketStream) -> None:
    try:
        await handler(stream)
    finally:
        await trio.aclose_forcefully(stream)


def _numeric_family(address: str) -> socket.AddressFamily | None:
    """Family of a numeric address; None for a name."""
    try:
        version = ipaddress.ip_address(address).version
    except ValueError:
        return None
    return socket.AF_INET if version == 4 else socket.AF_INET6


async def _open_numeric(family: socket.AddressFamily, address: str, port: int) -> trio.SocketStream:
    """Open a stream without a checkpoint after its connection has opened.

    At such a checkpoint, as in `trio.open_tcp_stream`, a passed time limit would close it.
    """
    connecting = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await connecting.connect((address, port))
    except BaseException:
        connecting.close()
        raise
    return trio.SocketStream(connecting)


class TcpNetwork:
    """TCP network of the operating system."""

    __slots__ = ()

    async def connect(self, address: str, port: int) -> trio.abc.Stream:
        """Open a TCP stream to a numeric address; raises `OSError`.

        A name is resolved first. If a connection is open when the caller's time limit is noticed,
        which may be late, it is returned.
        """
        try:
            family = _numeric_family(address)
            if family is None:
                stream = await trio.open_tcp_stream(address, port)
            else:
                stream = await _open_numeric(family, address, port)
        except (ValueError, OverflowError) as error:
            # Python cannot encode every address or port for the system.
            raise OSError(f"{address!r}:{port}: {error}") from error
        enable_keepalive(stream)
        return stream

    async def listen(self, address: str, port: int) -> TcpListener:
        """Open a TCP listener; port 0 selects a free port; raises `PortError`."""
        try:
            return TcpListener(await trio.open_tcp_listeners(port, host=address))
        except OSError as error:
            # The operating system's message does not name the port.
            raise PortError(error.errno, f"{address}:{port}: {error.strerror}") from error
