"""Fuzzing with malformed bytes from callers and targets."""

import h11
import trio
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from support import Fleet, read_answer, run_fleet

FUZZ = settings(
    max_examples=120,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)

SMUGGLED = b"GET /lookup/smuggled HTTP/1.1\r\nhost: x\r\n\r\n"

HEADERS = [
    b"host: x",
    b"content-length: 5",
    b"content-length: 0",
    b"content-length: 5, 5",
    b"content-length : 5",
    b"content-length: -5",
    b"content-length: 0x5",
    b"Content-Length: 45",
    b"transfer-encoding: chunked",
    b"Transfer-Encoding: identity",
    b"transfer-encoding: chunked, chunked",
    b"transfer-encoding:\x0bchunked",
    b"x: y\n z: a",
    b" folded: line",
    b"x: y\rz",
    b"x: \x00",
    b"expect: 100-continue",
    b"connection: close",
    b"connection: dotterelstand-run, x",
    b"connection: content-length, host, transfer-encoding",
    b"upgrade: websocket",
    b"te: trailers",
    b"dotterelstand-deadline-ms: 50",
    b"dotterelstand-deadline-ms: x",
    b"idempotency-key: k",
    b": empty",
    b"",
]
LINES = [
    b"GET /lookup/1 HTTP/1.1",
    b"POST /lookup/2 HTTP/1.1",
    b"POST /order/3 HTTP/1.1",
    b"HEAD /lookup/4 HTTP/1.1",
    b"POST /order/5 HTTP/1.0",
    b"GET  /lookup/6 HTTP/1.1",
    b"GET http://x/lookup/7 HTTP/1.1",
    b"OPTIONS * HTTP/1.1",
    b"GET /lookup/8",
    b"GET /lookup/9 HTTP/2.0",
    b"PRI * HTTP/2.0",
]
BODIES = [
    b"",
    b"abcde",
    b"5\r\nabcde\r\n0\r\n\r\n",
    b"5\r\nabcde\r\n",
    b"5;ext=\nabcde\r\n0\r\n\r\n",
    b"zz\r\n",
    b"fffffffffffffffff\r\nx",
    b"0\r\n\r\n" + SMUGGLED,
    b"abcde" + SMUGGLED,
    SMUGGLED + b"\n",
    b"5\r\nabcdeXX0\r\n\r\n",
    b"5\r\nabcde\r\n0\r\n\n" + SMUGGLED,
    b"0\r\nx: y\n\n" + SMUGGLED,
]


@st.composite
def caller_bytes(draw: st.DrawFn) -> tuple[list[bytes], bool]:
    """Bytes of one to three requests in pieces, and whether the caller closes after them."""
    raw = b""
    for _ in range(draw(st.integers(1, 3))):
        headers = draw(st.lists(st.sampled_from(HEADERS), max_size=4))
        if draw(st.booleans()):
            headers.insert(0, b"host: x")
        end = draw(st.sampled_from([b"\r\n", b"\r\n", b"\r\n", b"\n"]))
        raw += end.join([draw(st.sampled_from(LINES)), *headers]) + end + end
        raw += draw(st.sampled_from(BODIES))
    cuts = sorted(draw(st.lists(st.integers(0, len(raw)), max_size=4)))
    pieces = [raw[a:b] for a, b in zip([0, *cuts], [*cuts, len(raw)], strict=True)]
    return pieces, draw(st.booleans())


NAMED_FRAMING = (
    b"POST /order/5 HTTP/1.1\r\nhost: x\r\nconnection: content-length, host\r\n"
    b"content-length: 5\r\n\r\nabcde"
)


AMBIGUOUS_END = (
    b"POST /lookup/2 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    b"5\r\nabcde\r\n0\r\n\n"
)


@FUZZ
@example(([NAMED_FRAMING], False))
@example(([AMBIGUOUS_END + SMUGGLED], False))
@example(([b"POST /order/5 HTTP/1.0\r\n\r\n"], False))
@example(([b"HEAD /lookup/4 HTTP/1.1\r\nhost: x\r\n\r\nabcde"], False))
@given(caller_bytes())
def test_caller_bytes(case: tuple[list[bytes], bool]) -> None:
    """Guards against request smuggling and against tasks that never end."""
    pieces, closes = case

    async def scenario(fleet: Fleet) -> None:
        stream = await fleet.stream()
        try:
            for piece in pieces:
                await stream.send_all(piece)
                await trio.sleep(0.001)
            if not closes:
                with trio.move_on_after(15):
                    while await stream.receive_some(65536):
                        pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        stream.close()
        await trio.sleep(3)
        await fleet.assert_settled()
        assert not any(target.malformed for target in fleet.targets)
        # After a complete request, the bytes of `SMUGGLED` are a legal pipelined request.
        legal = b"".join(pieces).count(b"\r\n\r\n" + SMUGGLED) + b"".join(pieces).count(
            b"abcde" + SMUGGLED
        )
        assert len(fleet.runs("/lookup/smuggled")) <= legal

    timeouts = "head_timeout_s = 2.0\nbody_idle_timeout_s = 2.0\nidle_timeout_s = 2.0\n"
    run_fleet(scenario, targets=1, settings="[listen]\n" + timeouts)


ANSWER_LINES = [b"HTTP/1.1 200 OK", b"HTTP/1.1 204 No", b"HTTP/1.0 200 OK", b"HTTP/1.1 2x0 ?"]
ANSWER_HEADERS = [
    b"content-length: 5",
    b"content-length: 6",
    b"content-length: 5",
    b"transfer-encoding: chunked",
    b"transfer-encoding: gzip",
    b"connection: close",
    b"dotterelstand-run: not-run",
    b"dotterelstand-result: 1000",
    b"dotterelstand-load: 999999999999",
    b"x: \x00",
    b"x y: z",
]
ANSWER_BODIES = [
    b"",
    b"abcde",
    b"5\r\nabcde\r\n0\r\n\r\n",
    b"5\r\nabc",
    b"5\r\nabcdeX\r\n0\r\n\r\n",
    b"abcdeHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nunasked",
]


@st.composite
def target_bytes(draw: st.DrawFn) -> tuple[bytes, int, bool]:
    """Bytes of an answer, the offset that splits them, and whether the target closes."""
    head = [draw(st.sampled_from(ANSWER_LINES))]
    head += draw(st.lists(st.sampled_from(ANSWER_HEADERS), max_size=3))
    informational = b"HTTP/1.1 103 Early\r\n\r\n" if draw(st.booleans()) else b""
    raw = informational + b"\r\n".join(head) + b"\r\n\r\n" + draw(st.sampled_from(ANSWER_BODIES))
    raw = raw[: draw(st.integers(len(raw) // 2, len(raw) + 20))]
    return raw, draw(st.integers(0, len(raw))), draw(st.booleans())


def complete_body(raw: bytes, closes: bool) -> bytes | None:
    """Body of the first answer in the bytes, or None if it is incomplete or ambiguous.

    An answer without a length is complete if the target closes the connection.
    """
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    connection.send(h11.EndOfMessage())
    connection.receive_data(raw)
    if closes:
        connection.receive_data(b"")
    body, framed = b"", False
    try:
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Response):
                names = [name for name, _ in event.headers]
                lengths = b"content-length" in names
                both = lengths and b"transfer-encoding" in names
                framed = event.status_code == 204 or not both
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return body if framed else None
            elif not isinstance(event, h11.InformationalResponse):
                return None
    except h11.RemoteProtocolError:
        return None


@FUZZ
@given(target_bytes())
def test_target_bytes(case: tuple[bytes, int, bool]) -> None:
    """Guards against wrong or truncated answers that look complete, and unsolicited answers."""
    raw, cut, closes = case

    async def scenario(fleet: Fleet) -> None:
        served = 0

        async def serve(stream: trio.abc.Stream) -> None:
            try:
                await answer(stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass

        async def answer(stream: trio.abc.Stream) -> None:
            nonlocal served
            while b"\r\n\r\n" in bytes(await stream.receive_some(65536)):
                served += 1
                if served > 1:
                    await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond")
                    continue
                await stream.send_all(raw[:cut])
                await trio.sleep(0.01)
                await stream.send_all(raw[cut:])
                if closes:
                    stream.close()
                    return

        async with trio.open_nursery() as nursery:
            fleet.replace_target(nursery, serve)
            # The request is not idempotent, so it is not retried.
            first = await fleet.call("POST", "/order/1")
            expected = complete_body(raw, closes)
            if first.complete and first.code == 1000:
                assert first.body == expected
            elif first.complete:
                assert first.run in ("unknown", "not-run")
            if expected is None:
                assert not (first.complete and first.code == 1000)
            await trio.sleep(3)
            second = await fleet.call("POST", "/order/2")
            assert (second.code, second.body) == (1000, b"second")
            await trio.sleep(3)
            await fleet.assert_settled()
            nursery.cancel_scope.cancel()

    run_fleet(scenario, targets=1)


def test_head_in_single_bytes() -> None:
    """Guards against refusing a head that is split between CR and LF."""

    async def scenario(fleet: Fleet) -> None:
        stream = await fleet.stream()
        for byte in b"GET /lookup/1 HTTP/1.1\r\nhost: x\r\n\r\n":
            await stream.send_all(bytes([byte]))
        assert (await read_answer(stream)).code == 1000

    run_fleet(scenario)
