"""Message frames between entry hosts: encoding, and malformed frames."""

import cbor2
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful
from websockets.client import ClientProtocol
from websockets.uri import WebSocketURI

from dotterelstand.connection.codec import decode_messages, encode_message, join_messages
from dotterelstand.connection.peer import LINK_PATH
from dotterelstand.connection.wire import Acquire, Beat, Hello, Message
from dotterelstand.standin.entryfleet import PEER_PORT, Fleet
from dotterelstand.standin.virtual import run_virtual

KINDS = {kind.TYPE: kind for kind in Message.__subclasses__()}
VALUES = st.recursive(
    st.integers() | st.booleans() | st.none() | st.binary(max_size=8) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=2), inner),
    max_leaves=10,
)
FRAMES = st.binary(max_size=64) | VALUES.map(cbor2.dumps)
MESSAGES = st.sampled_from(sorted(KINDS)).flatmap(
    lambda kind: st.lists(VALUES, max_size=7).map(lambda fields: cbor2.dumps([[kind, *fields]]))
)
HELLO = encode_message(Hello("tema/x", "tema-1", 100, "stranger", 1, PEER_PORT, "tema"))


@settings(derandomize=True, max_examples=500, deadline=None)
@given(FRAMES | MESSAGES)
def test_any_frame_is_decoded_or_refused(data: bytes) -> None:
    """Guards against a frame that crashes a host or yields fields of a wrong type."""
    result = decode_messages(data)
    if is_successful(result):
        again = decode_messages(join_messages([encode_message(item) for item in result.unwrap()]))
        assert again.unwrap() == result.unwrap()


async def _send_to_fleet(raw: bytes, frames: list[bytes]) -> None:
    """Send raw bytes on one connection, and frames after a valid `Hello` on another."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 2, 1)
        await fleet.start_all()
        await trio.sleep(1)
        for handshake in (False, True):
            stream = await fleet.network.at("tema/x").connect(fleet.hosts["entry-00"], PEER_PORT)
            client = ClientProtocol(WebSocketURI(False, "x", 80, LINK_PATH, ""))
            if handshake:
                client.send_request(client.connect())
                await stream.send_all(b"".join(client.data_to_send()))
                client.receive_data(await stream.receive_some())
                for frame in (join_messages([HELLO]), *frames):
                    client.send_binary(frame)
            with trio.move_on_after(1):
                await stream.send_all(b"".join(client.data_to_send()) + raw)
            await trio.sleep(1)
        await trio.sleep(4)
        assert fleet.peers["entry-00"].linked() == ("entry-01",)
        assert all(len(view) == 2 for view in fleet.member_lists())
        nursery.cancel_scope.cancel()


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.binary(max_size=40), st.lists(FRAMES | MESSAGES, max_size=3))
def test_malformed_frames_close_only_their_link(raw: bytes, frames: list[bytes]) -> None:
    """Guards against a peer whose malformed frames stop a daemon or close its other links."""
    run_virtual(_send_to_fleet, raw, frames, seed=1)


def test_fields_keep_their_places_on_the_wire() -> None:
    """Guards against a change in the order of fields on the wire."""
    assert cbor2.loads(encode_message(Beat(True, 7))) == [2, True, 7]


@pytest.mark.parametrize(
    ("message", "wire"),
    [
        (Acquire(3, 1, 2, 40, 0), [7, 3, 1, 2, 40]),
        (Acquire(3, 1, 2, 0, 0), [7, 3, 1, 2]),
        (Acquire(3, 0, 0, 0, 0), [7, 3, 0]),
        (Acquire(0, 0, 0, 5, 0), [7, 0, 0, 0, 5]),
        (Acquire(0, 0, 0, 0, 6), [7, 0, 0, 0, 0, 6]),
    ],
)
def test_only_trailing_optional_fields_are_left_out(message: Message, wire: list[int]) -> None:
    """Guards against sending trailing zeros, and against fields decoded as other fields."""
    frame = join_messages([encode_message(message)])
    assert cbor2.loads(frame) == wire
    assert decode_messages(frame).unwrap() == [message]
    several = join_messages([encode_message(message)] * 2)
    assert decode_messages(several).unwrap() == [message, message]


@pytest.mark.parametrize("items", [[7, 3], [7, 3, 0, 0, 0, 0, 0], [2, True], [7]])
def test_a_field_that_is_not_optional_must_be_sent(items: list[object]) -> None:
    """Guards against decoding missing required fields as zero."""
    assert not is_successful(decode_messages(cbor2.dumps(items)))
