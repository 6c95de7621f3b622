"""Idle caller connections are closed on real sockets without losing a request."""

import socket

import pytest
import trio
import trio.testing

from dotterelstand.connection.caller import CallerConnection
from dotterelstand.connection.callerlimits import CallerLimits
from dotterelstand.connection.callerrequest import CallerRequest
from dotterelstand.standin.virtual import run_virtual
from dotterelstand.version.model import CallerBounds

# The scheduler chooses the order of tasks by chance.
ROUNDS = 20
IDLE_TIMEOUT_S = 1.0
# Time for which a read holds bytes that it has taken from the socket, in virtual time.
HAND_OVER_S = 0.01
REQUEST = b"GET /a/1 HTTP/1.1\r\nHost: x\r\n\r\n"


class HoldingStream(trio.abc.Stream):
    """Takes a request at a time, and hands it over `HAND_OVER_S` later, as a busy process may."""

    def __init__(self, arrives_s: float) -> None:
        self.arrives_s = arrives_s
        self.closed = trio.Event()
        self._taken = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send nothing."""

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once."""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive the request; cancelled only while its bytes have not been taken."""
        if self._taken:
            await self.closed.wait()
            raise trio.ClosedResourceError
        await trio.sleep_until(self.arrives_s)
        self._taken = True
        with trio.CancelScope(shield=True):
            await trio.sleep(HAND_OVER_S)
        return REQUEST

    def has_input(self) -> bool:
        """Whether the request has arrived and has not been taken."""
        return not self._taken and trio.current_time() >= self.arrives_s

    def close(self) -> None:
        """Close at once."""
        self.closed.set()

    async def aclose(self) -> None:
        """Close."""
        self.close()


@pytest.mark.parametrize("early_s", [HAND_OVER_S * 2, HAND_OVER_S / 2, -HAND_OVER_S])
@pytest.mark.parametrize("stops", [True, False])
def test_request_that_is_read_when_its_connection_ends_is_served(
    stops: bool, early_s: float
) -> None:
    """Guards against a stop, or an idle time limit, that closes a connection within a read."""

    async def main() -> object:
        limit_s = 10.0 if stops else IDLE_TIMEOUT_S
        limits = CallerLimits(CallerBounds(1000, 1000, 1.0, limit_s), 1.0, 1.0)
        stream = HoldingStream(trio.current_time() + IDLE_TIMEOUT_S - early_s)
        connection = CallerConnection(stream, limits)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.read_ahead)
            if stops:
                nursery.start_soon(end_later, connection)
            request = await connection.next_request()
            assert not stream.closed.is_set()
            nursery.cancel_scope.cancel()
        return request

    async def end_later(connection: CallerConnection) -> None:
        await trio.sleep(IDLE_TIMEOUT_S)
        connection.close_when_idle()

    assert isinstance(run_virtual(main, seed=1), CallerRequest) == (early_s > 0)


@pytest.mark.parametrize("sent_first", [True, False])
@pytest.mark.parametrize("steps", range(8))
def test_connection_is_not_closed_while_its_request_is_being_read(
    steps: int, sent_first: bool
) -> None:
    """Guards against a stopping daemon that reads and runs a request on a connection it closed.

    The bytes of a request had been taken from the socket, and the task that reads had not passed
    them on yet. The end of the grace period took the connection for idle and closed it; the request
    was then served, and its caller got no answer.
    """

    async def play_round() -> None:
        ours, theirs = socket.socketpair()
        limits = CallerLimits(CallerBounds(1000, 1000, 1.0, 1.0), 1.0, 1.0)
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(ours))
        connection = CallerConnection(stream, limits)
        requests: list[object] = []

        async def serve() -> None:
            requests.append(await connection.next_request())

        with theirs, trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve)
                await trio.testing.wait_all_tasks_blocked()
                if sent_first:
                    theirs.send(REQUEST)
                nursery.start_soon(connection.read_ahead)
                if not sent_first:
                    await trio.testing.wait_all_tasks_blocked()
                    theirs.send(REQUEST)
                for _ in range(steps):
                    await trio.lowlevel.checkpoint()
                connection.close_when_idle()
                await trio.testing.wait_all_tasks_blocked(0.005)
                closed = stream.socket.fileno() < 0
                nursery.cancel_scope.cancel()
        assert [isinstance(request, CallerRequest) for request in requests] == [not closed]

    async def main() -> None:
        for _ in range(ROUNDS):
            await play_round()

    trio.run(main)
