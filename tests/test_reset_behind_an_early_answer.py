"""An early answer without a length whose connection breaks while the upload is being written."""

import errno
import select

import h11
import pytest
import trio

from dotterelstand.connection.target import TargetConnection, abort_now
from dotterelstand.standin.virtual import run_virtual

PIECE = b"u" * 65536
PART = b"first part"
WAIT_MS = 5000
BY_CONNECTION = [b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.0 200 OK\r\n\r\n"]
FRAMED = [
    b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n64\r\n",
]
FRAMINGS = {
    "length": (b"content-length", b"100000000"),
    "chunked": (b"transfer-encoding", b"chunked"),
}


class OneErrorStream(trio.abc.Stream):
    """A broken socket: one call gets the error, later ones the end of the stream or `EPIPE`."""

    def __init__(self, received: bytes, error: int) -> None:
        self._received = [received, b""]
        self._error: int | None = None
        self._broken_by = error
        self._sent = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Take the head, then fail."""
        await trio.lowlevel.checkpoint()
        if not self._sent:
            self._sent = True
            self._error = self._broken_by
            return
        self._raise(self._error or errno.EPIPE)

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once."""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive what arrived before the connection broke."""
        await trio.lowlevel.checkpoint()
        data = self._received.pop(0) if self._received else b""
        if not data and self._error not in (None, errno.EPIPE):
            self._raise(self._error)
        return data

    async def aclose(self) -> None:
        """Do nothing."""

    def _raise(self, error: int | None) -> None:
        self._error = None
        raise trio.BrokenResourceError from OSError(error, "broken")


def wait_for(stream: trio.SocketStream, event: int) -> None:
    """Wait until the system reports an event of a stream."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), event)
    assert poll.poll(WAIT_MS)


async def _read_answer(connection: TargetConnection) -> bytes | None:
    """Body of the whole answer, or None if it did not end."""
    body = b""
    try:
        assert isinstance(await connection.receive(), h11.Response)
        while isinstance(event := await connection.receive(), h11.Data):
            body += event.data
    except (trio.BrokenResourceError, h11.RemoteProtocolError):
        return None
    return body if isinstance(event, h11.EndOfMessage) else None


@pytest.mark.parametrize("writes", [0, 1, 2])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("head", [*BY_CONNECTION, *FRAMED])
@pytest.mark.parametrize(
    ("error", "ends"),
    [
        (errno.ECONNRESET, False),
        (errno.ETIMEDOUT, False),
        (errno.EHOSTUNREACH, False),
        # The target had ended its output and closed the connection with the upload unread.
        (errno.EPIPE, True),
    ],
)
def test_end_of_a_broken_connection_ends_no_answer(
    error: int, ends: bool, head: bytes, framing: str, writes: int
) -> None:
    """Guards against a truncated answer that looks complete, as a write took the error (review/8).

    The error of a connection is given to the first call only, which may be the one that writes the
    upload. The task that reads the answer then gets the end of the stream.
    """

    async def main() -> bytes | None:
        connection = TargetConnection(OneErrorStream(head + PART, error), "t", 0.0, 8192)
        headers = [(b"host", b"x"), FRAMINGS[framing]]
        await connection.send_request("POST", "/u/1", headers, b"", False)
        for _ in range(writes):
            with pytest.raises(trio.BrokenResourceError):
                await connection.send_body(PIECE)
        return await _read_answer(connection)

    assert run_virtual(main, seed=1) == (PART if ends and head in BY_CONNECTION else None)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("writes", [0, 1, 2])
@pytest.mark.parametrize("resets", [True, False])
@pytest.mark.parametrize("head", BY_CONNECTION)
def test_end_of_a_reset_socket_ends_no_answer(
    head: bytes, resets: bool, writes: int, framing: str
) -> None:
    """Guards against a system that reports a reset in another way than the test above plays it."""

    async def main() -> bytes | None:
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        address, port = listener.socket.getsockname()
        stream = await trio.open_tcp_stream(address, port)
        target = await listener.accept()
        connection = TargetConnection(stream, "t", trio.current_time(), 8192)
        async with listener, target:
            headers = [(b"host", b"x"), FRAMINGS[framing]]
            await connection.send_request("POST", "/u/1", headers, b"", False)
            await connection.send_body(PIECE)
            await target.send_all(head + PART)
            if resets:
                abort_now(target)
            else:
                # The end of the answer comes first, then a reset because of the unread upload.
                await target.send_eof()
                await target.aclose()
            wait_for(stream, select.POLLERR)
            for _ in range(writes):
                with pytest.raises(trio.BrokenResourceError):
                    await connection.send_body(PIECE)
            with connection:
                return await _read_answer(connection)

    assert trio.run(main) == (None if resets else PART)
