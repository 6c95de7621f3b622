"""Connections that are new when a daemon closes its port."""

import socket

import pytest
import trio
import trio.testing
from platform_support import PlatformFleet, run_on_platform
from support import read_answer

from dotterelstand.connection.caller import CallerConnection, CallerLimits
from dotterelstand.connection.callerrequest import CallerRequest
from dotterelstand.connection.network import StreamHandler, TcpNetwork
from dotterelstand.process.frontend import FIRST_REQUEST_S
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.virtual import run_virtual
from dotterelstand.version.model import CallerBounds

# Time after the begin of a stop at which a daemon of `platform_support` closes its port.
GRACE_S = 1.0
# Less than a send buffer that the system allows without further settings.
SLOW_ANSWER_BYTES = 200_000
LIMITS = CallerLimits(CallerBounds(16384, 1024, 1.0, 1.0), 1.0, 1.0)
REQUEST = b"GET /a/1 HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.mark.parametrize("count", [1, 40])
def test_connections_that_wait_for_the_daemon_are_served_when_it_closes_its_port(
    count: int,
) -> None:
    """Guards against requests that are reset since the daemon had not yet taken their connection.

    The system completes connections by itself; a busy daemon takes them later.
    """
    received: list[bytes] = []

    async def serve(stream: trio.abc.Stream) -> None:
        received.append(bytes(await stream.receive_some(1000)))
        await stream.send_all(b"answer")

    async def main() -> None:
        listener = await TcpNetwork().listen("127.0.0.1", 0)
        port = listener.port
        async with trio.open_nursery() as nursery:
            accepting = trio.CancelScope()

            async def accept() -> None:
                with accepting:
                    await listener.serve(serve, nursery)

            nursery.start_soon(accept)
            await trio.testing.wait_all_tasks_blocked()
            callers = []
            for _ in range(count):
                caller = socket.create_connection(("127.0.0.1", port))
                caller.sendall(REQUEST)
                callers.append(caller)
            accepting.cancel()
        for caller in callers:
            with caller:
                assert caller.recv(1000) == b"answer"
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", port))

    trio.run(main)
    assert received == [REQUEST] * count


@pytest.mark.parametrize("idle_s", [0.0, 0.3])
def test_new_connection_is_kept_for_its_first_request_when_the_port_closes(idle_s: float) -> None:
    """Guards against closing a connection whose first request is still on its way.

    Process soak, fault `requests_cross_the_close`.
    """

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.daemon.stop()
        await trio.sleep(GRACE_S - idle_s / 2 - 0.002)
        stream = await fleet.stream()
        await trio.sleep(idle_s)
        await stream.send_all(fleet.request())
        answer = await read_answer(stream)
        assert (answer.status, answer.headers["connection"]) == (200, "close")

    run_on_platform(scenario)


def test_connection_without_a_request_does_not_hold_up_a_stop() -> None:
    """Guards against a daemon that waits for the first request of a new connection until a kill."""

    async def scenario(fleet: PlatformFleet) -> None:
        stream = await fleet.stream()
        fleet.daemon.stop()
        await trio.sleep(GRACE_S + FIRST_REQUEST_S + 0.1)
        assert fleet.daemon.frontend.open_connections == 0
        assert await stream.receive_some(1) == b""

    run_on_platform(scenario)


def run_with_request(serve: StreamHandler) -> None:
    """Serve one connection on which a request is sent at once, in virtual time."""

    async def main() -> None:
        network = FakeNetwork(lambda one, other: 0.0005)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(network.add_listener("10.0.0.1", 80).serve, serve, nursery)
            await trio.testing.wait_all_tasks_blocked()
            stream = await network.open_stream("10.0.0.2", "10.0.0.1", 80)
            await stream.send_all(REQUEST)
            await trio.sleep(2.0)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=1)


def test_request_that_has_arrived_is_served_before_its_connection_is_closed() -> None:
    """Guards against closing a connection whose request waits in the socket."""

    found: list[object] = []

    async def serve(stream: trio.abc.Stream) -> None:
        connection = CallerConnection(stream, LIMITS)
        # The request arrives before the connection is read.
        await trio.sleep(0.01)
        connection.close_when_idle()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.read_ahead)
            found.append(await connection.next_request())
            nursery.cancel_scope.cancel()

    run_with_request(serve)
    assert isinstance(found[0], CallerRequest)


def test_answer_that_is_read_slowly_outlasts_a_stopping_process() -> None:
    """Guards against an answer that is cut off since its caller reads it until the process ends.

    Process soak, fault `answers_last_at_a_stop`.
    """
    answer = bytes(SLOW_ANSWER_BYTES)

    async def main() -> None:
        listener = await trio.open_tcp_listeners(0, host="127.0.0.1")
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        caller.connect(listener[0].socket.getsockname())
        stream = await listener[0].accept()
        connection = CallerConnection(stream, LIMITS)
        connection.begin_stop()
        with trio.fail_after(1.0):
            await connection.send(answer)
        connection.close()
        with caller:
            received = 0
            while data := caller.recv(65536):
                received += len(data)
        assert received == len(answer)
        await listener[0].aclose()

    trio.run(main)


def test_request_that_arrives_at_the_idle_limit_is_served() -> None:
    """Guards against closing a connection as idle whose request waits in the socket.

    A process that was held up reads the request only after the time limit has passed.
    """
    found: list[object] = []

    async def serve(stream: trio.abc.Stream) -> None:
        connection = CallerConnection(stream, LIMITS)
        async with trio.open_nursery() as nursery:

            async def read_late() -> None:
                await trio.sleep(LIMITS.bounds.idle_timeout_s + 0.1)
                await connection.read_ahead()

            nursery.start_soon(read_late)
            found.append(await connection.next_request())
            nursery.cancel_scope.cancel()

    run_with_request(serve)
    assert isinstance(found[0], CallerRequest)
