"""A target gets what a caller has sent, and nothing else."""

from collections.abc import Awaitable, Callable

import h11
import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from support import Fleet, read_answer, run_fleet

CHUNKED = b"POST /lookup/1 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
HIDDEN = b"GET /lookup/hidden HTTP/1.1\r\nhost: x\r\n\r\n"

# Bytes between a chunked body and `HIDDEN`, where parsers disagree on whether the body has ended.
LENIENT_ENDS = [
    b"0\r\n\n",
    b"0\r\nx: y\n\n",
    b"0\r\nx: y\n\r\n",
    b"0\r\nx: y\r\n\n",
    b"0\n\n",
    b"0;a=\n\r\n\r\n",
    b"0;a=b\n\r\n",
    b"0\r\r\n\r\n",
]

# Query of a path and printable characters that a caller may send without encoding them.
PATH_CHARACTERS = "".join(map(chr, range(0x21, 0x7F)))
ODD_PATHS = [
    "/lookup/%00%0a%0d%20?x=%00",
    "/lookup/a%2Fb;p=1?q=a+b&q=%C3%A4&q",
    "/lookup//a///",
    "/lookup/%zz%",
    '/lookup/"<>|^`{}?"<>|^`{}\\',
    "/lookup/?/../x?y",
    "/lookup/%6Cookup/%2e%2f",
    "/lookup/" + "a" * 3000 + "?" + "b=%20&" * 600,
    "/lookup/a%2e%2e/..b",
]


class Received:
    """One request as a target received it; `complete` if its end was received."""

    __slots__ = ("body", "complete", "headers", "method", "path")

    def __init__(self, head: h11.Request) -> None:
        self.method = head.method
        self.path = head.target
        self.headers = dict(head.headers)
        self.body = b""
        self.complete = False


class Recorder:
    """Targets that record what they receive byte for byte.

    `fail` gets each request after each event and the connection, and returns whether the target
    closes the connection then.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.received: list[Received] = []
        self.malformed: list[str] = []
        self.fail: Callable[[Received, trio.abc.Stream], Awaitable[bool]] | None = None

    def start(self) -> None:
        """Replace all targets of the fleet."""
        for index in range(len(self._fleet.targets)):
            address = f"10.1.0.{index}"
            self._fleet.network.crash(address)
            listener = self._fleet.network.add_listener(address, 80)
            nursery = self._fleet.nursery
            nursery.start_soon(listener.serve, self._serve, nursery)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        state = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(stream, state):
                state.start_next_cycle()
        except h11.RemoteProtocolError as error:
            if "closed connection" not in str(error):
                self.malformed.append(str(error))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            stream.close()  # type: ignore[attr-defined]

    async def _serve_one(self, stream: trio.abc.Stream, state: h11.Connection) -> bool:
        request: Received | None = None
        while request is None or not request.complete:
            event = state.next_event()
            if event is h11.NEED_DATA:
                state.receive_data(bytes(await stream.receive_some(65536)))
            elif isinstance(event, h11.Request):
                request = Received(event)
                if request.path != b"/health":
                    self.received.append(request)
            elif isinstance(event, h11.Data) and request is not None:
                request.body += event.data
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                request.complete = True
            else:
                return False
            if request is not None and self.fail is not None:
                if await self.fail(request, stream):
                    return False
        answer = h11.Response(status_code=200, headers=[("content-length", "0")])
        data = state.send(answer) or b""
        await stream.send_all(data + (state.send(h11.EndOfMessage()) or b""))
        return True


def encode(method: str, path: str, body: bytes, piece_bytes: int) -> bytes:
    """A request; the body is chunked into pieces, or has a length if `piece_bytes` is 0."""
    state = h11.Connection(h11.CLIENT)
    framing = ("transfer-encoding", "chunked")
    if not piece_bytes:
        framing = ("content-length", str(len(body)))
    headers = [("host", "x"), framing]
    data = state.send(h11.Request(method=method, target=path, headers=headers)) or b""
    step = piece_bytes or max(1, len(body))
    for begin in range(0, len(body), step):
        data += state.send(h11.Data(data=body[begin : begin + step])) or b""
    return data + (state.send(h11.EndOfMessage()) or b"")


async def send_hidden(fleet: Fleet, end: bytes, together: bool) -> trio.abc.Stream:
    """Send a chunked body with an end and `HIDDEN` behind it, together or byte by byte."""
    stream = await fleet.stream()
    data = CHUNKED + b"5\r\nabcde\r\n" + end + HIDDEN
    pieces = [data] if together else [data[i : i + 1] for i in range(len(data))]
    for piece in pieces:
        await stream.send_all(piece)
        await trio.sleep(0.001)
    await trio.sleep(1)
    return stream


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("end", LENIENT_ENDS)
def test_request_behind_an_ambiguous_end_of_a_body_does_not_run(end: bytes, together: bool) -> None:
    """Guards against a request that is hidden in another one's body and reaches a target.

    A proxy in front that is strict takes the bytes behind such an end for a part of the body.
    """

    async def scenario(fleet: Fleet) -> None:
        stream = await send_hidden(fleet, end, together)
        assert fleet.runs("/lookup/hidden") == []
        assert fleet.runs("/lookup/1") == []
        stream.close()
        await trio.sleep(1)
        await fleet.assert_settled()

    run_fleet(scenario, targets=1)


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("end", [b"0\r\n\r\n", b"00;a=b\r\nx: y\r\nz: w\r\n\r\n"])
def test_request_behind_a_body_runs(end: bytes, together: bool) -> None:
    """Guards against a check of the end of bodies that refuses valid ones."""

    async def scenario(fleet: Fleet) -> None:
        stream = await send_hidden(fleet, end, together)
        assert fleet.runs("/lookup/1") == ["done"]
        assert fleet.runs("/lookup/hidden") == ["done"]
        stream.close()

    run_fleet(scenario, targets=1)


async def _compare(fleet: Fleet, method: str, path: str, body: bytes, piece_bytes: int) -> None:
    recorder = Recorder(fleet)
    recorder.start()
    stream = await fleet.stream()
    await stream.send_all(encode(method, path, body, piece_bytes))
    answer = await read_answer(stream, method)
    stream.close()
    assert recorder.malformed == []
    got = [(one.method.decode(), one.path.decode(), one.body) for one in recorder.received]
    # A path that a target could read differently is refused.
    assert got == ([] if answer.status == 400 else [(method, path, body)])
    assert all(one.complete for one in recorder.received)


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("path", ODD_PATHS)
def test_odd_paths_reach_the_target_unaltered(path: str, method: str) -> None:
    """Guards against a path that is normalized, decoded or cut on its way."""
    run_fleet(lambda fleet: _compare(fleet, method, path, b"", 0), targets=1)


@settings(max_examples=60, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    method=st.sampled_from(["GET", "HEAD", "POST"]),
    suffix=st.text(PATH_CHARACTERS, max_size=40),
    seed=st.integers(0, 255),
    length=st.sampled_from([0, 1, 16_384, 16_385, 65_536, 65_537, 200_000]),
    piece_bytes=st.sampled_from([0, 0, 700, 16_384, 65_536]),
)
def test_requests_reach_the_target_unaltered(
    method: str, suffix: str, seed: int, length: int, piece_bytes: int
) -> None:
    """Guards against a method, path, query or body that changes on its way."""
    body = bytes((seed + index * 7 + index // 251) % 256 for index in range(length))
    path = f"/lookup/{suffix}"
    run_fleet(lambda fleet: _compare(fleet, method, path, body, piece_bytes), targets=1)


@pytest.mark.parametrize("route", ["lookup", "order"])
@pytest.mark.parametrize("leave", ["close", "reset"])
@pytest.mark.parametrize("missing", [1, 3, 5, 7, 70_000])
@pytest.mark.parametrize(("length", "piece_bytes"), [(100, 60), (140_000, 900), (140_000, 0)])
def test_upload_that_is_broken_off_gets_no_end(
    length: int, piece_bytes: int, missing: int, leave: str, route: str
) -> None:
    """Guards against a part of an upload that a target takes for the whole."""

    async def scenario(fleet: Fleet) -> None:
        recorder = Recorder(fleet)
        recorder.start()
        body = bytes(index % 251 for index in range(length))
        data = encode("POST", f"/{route}/1", body, piece_bytes)
        stream = await fleet.stream()
        await stream.send_all(data[: max(80, len(data) - missing)])
        await trio.sleep(0.05)
        getattr(stream, leave)()
        await trio.sleep(2)
        assert recorder.malformed == []
        assert not any(one.complete for one in recorder.received)
        assert all(body.startswith(one.body) for one in recorder.received)

    run_fleet(scenario, targets=2)


@pytest.mark.parametrize("read_bytes", [0, 1, 20_000, 100_000])
@pytest.mark.parametrize("answers", [False, True])
@pytest.mark.parametrize(
    ("length", "piece_bytes"),
    [(16_000, 0), (60_000, 0), (60_000, 700), (65_536, 900), (150_000, 0)],
)
def test_later_attempts_send_the_same_bytes(
    length: int, piece_bytes: int, answers: bool, read_bytes: int
) -> None:
    """Guards against a second attempt with other bytes, or without those that the first one read.

    The first target closes the connection, or refuses, after it has read a part.
    """

    async def scenario(fleet: Fleet) -> None:
        recorder = Recorder(fleet)
        recorder.start()
        refusal = b"HTTP/1.1 503 X\r\ndotterelstand-run: not-run\r\ncontent-length: 0\r\n\r\n"

        async def fail(request: Received, stream: trio.abc.Stream) -> bool:
            if recorder.received[:1] != [request] or len(request.body) < read_bytes:
                return False
            if answers:
                await stream.send_all(refusal)
                await trio.sleep(0.05)
            return True

        recorder.fail = fail
        body = bytes(index % 251 for index in range(length))
        stream = await fleet.stream()
        await stream.send_all(encode("POST", "/lookup/1", body, piece_bytes))
        answer = await read_answer(stream, "POST")
        stream.close()
        await trio.sleep(1)
        assert recorder.malformed == []
        assert all(body.startswith(one.body) for one in recorder.received)
        assert all(one.body == body for one in recorder.received if one.complete)
        if answer.status == 200:
            assert recorder.received[-1].complete
        # Up to the length that is held for retries, the second target gets the request.
        assert answer.status == 200 or length > 65_536

    run_fleet(scenario, targets=3)
