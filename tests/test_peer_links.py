"""Links between entry hosts that end while messages wait to be sent."""

import pytest
import trio
from trio.testing import memory_stream_pair

from dotterelstand.connection.codec import encode_message
from dotterelstand.connection.peer import LinkLimits, accepting_link, dialling_link
from dotterelstand.connection.wire import Beat, Hello
from dotterelstand.standin.entryfleet import Fleet
from dotterelstand.standin.virtual import run_virtual

LIMITS = LinkLimits(65536, 100, 65536)
MESSAGE = encode_message(Beat(1, False))


@pytest.mark.parametrize("waiting", [1, 20])
def test_writer_that_wakes_behind_the_close_of_a_link_sends_nothing(waiting: int) -> None:
    """Guards against a daemon that ends with `InvalidState` when the other end closes a link.

    A writer that has just sent a message runs once more after the reader has read the close, and
    before it is cancelled. Found by the soak of processes, seed 50.
    """

    async def main() -> None:
        dialling_stream, accepting_stream = memory_stream_pair()
        dialling = dialling_link(dialling_stream, "127.0.0.1:1", LIMITS)
        accepting = accepting_link(accepting_stream, LIMITS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(dialling.perform_handshake)
            nursery.start_soon(accepting.perform_handshake)
        dialling.retire()
        with dialling, trio.move_on_after(0.05):
            await dialling._write_frames()
        await accepting._receive()
        for _ in range(waiting):
            accepting.enqueue(MESSAGE)
        with accepting, trio.fail_after(1):
            await accepting._write_frames()
        assert len(accepting.take_queue()) == waiting

    trio.run(main)


async def _leave_behind_the_hello(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 2, seed)
        host = await fleet.start("entry-00")
        dialling_stream, accepting_stream = memory_stream_pair()
        nursery.start_soon(host._serve_stream, accepting_stream)
        link = dialling_link(dialling_stream, "127.0.0.1:1", LIMITS)
        await link.perform_handshake()
        await link.send_now(encode_message(Hello("", "z", 1, "entry-01", 1, 1, "kumasi")))
        dialling_stream.send_stream.close()
        dialling_stream.receive_stream.close()
        await trio.sleep(0.1)
        assert host.metrics.value("peers.open_failures") == 1
        assert host.linked() == ()
        # The host dials the address of the host list again, since it has no link.
        await fleet.start("entry-01")
        await trio.sleep(5)
        assert host.linked() == ("entry-01",)
        nursery.cancel_scope.cancel()


def test_a_peer_that_leaves_behind_its_hello_is_not_linked() -> None:
    """Guards against a dead link that takes all messages to a peer and is never closed.

    A connection may be reset between the hello of the host that dials and the answer to it.
    """
    run_virtual(_leave_behind_the_hello, 1, seed=1)
