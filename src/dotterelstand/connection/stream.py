"""Operations on streams of TCP, TLS and the in-memory network."""

import os
import socket
import struct

import trio


async def send_bytes(stream: trio.abc.Stream, data: bytes) -> None:
    """Send bytes, without waiting if the socket takes them; raises `trio.BrokenResourceError`.

    A send by trio costs two passes of its scheduler even if the socket has room.
    """
    if not isinstance(stream, trio.SocketStream):
        await stream.send_all(data)
        return
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        raise trio.ClosedResourceError
    try:
        sent = os.write(descriptor, data)
    except BlockingIOError:
        sent = 0
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error
    if sent < len(data):
        await stream.send_all(data[sent:])


def has_input(stream: trio.abc.AsyncResource) -> bool:
    """Whether bytes or the end of the stream wait to be read."""
    if isinstance(stream, trio.SocketStream):
        return stream.socket.fileno() < 0 or stream.socket.is_readable()
    if isinstance(stream, trio.SSLStream):
        return has_input(stream.transport_stream)
    return bool(stream.has_input()) if hasattr(stream, "has_input") else False


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


def abort_now(stream: trio.abc.AsyncResource) -> None:
    """Reset a stream, so that its peer sees an error and not an end."""
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
