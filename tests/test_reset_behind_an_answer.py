"""Answers behind one that breaks off or reaches its time limit, on the same caller connection."""

import contextlib
import math
from typing import Any

import pytest
import trio
from platform_standin import EndlessAnswer, Instance
from platform_support import PlatformFleet, run_on_platform
from support import Fleet, read_answer, run_fleet
from support_logs import EventCollector
from trio.testing import memory_stream_pair

from dotterelstand.codes import Result
from dotterelstand.connection.caller import CallerConnection
from dotterelstand.connection.callerlimits import CallerLimits
from dotterelstand.events import Event
from dotterelstand.standin.virtual import run_virtual
from dotterelstand.version.model import CallerBounds

CHUNKED = {"Transfer_Encoding": "chunked", "Content_Length": ""}
SHORT_CHUNK = b"6\r\nbroken\r\n"
# Longer than what is held until it is complete.
LONG_BYTES = 150_000
LONG_CHUNKS = 6 * (b"4000\r\n" + b"x" * 0x4000 + b"\r\n")
# Longer than an answer without a length is held on a connection with one request.
STALL_S = 0.4


class StalledAnswer(EndlessAnswer):
    """Answer that stalls after its beginning and then goes on with `piece`, or is broken off."""

    async def send(self, stream: Any) -> None:
        """Send the answer; its connection cannot be used again."""
        await stream.send_all(self.beginning)
        await trio.sleep(self.pause_s)
        await stream.send_all(self.piece)
        if self.piece:
            await trio.sleep_forever()
        stream.reset()
        raise trio.BrokenResourceError


def _stall(fleet: PlatformFleet, request_id: str, body: bytes, pause_s: float, rest: bytes) -> None:
    """Let the first attempt of a request get an answer that stalls after a part of its body."""
    pending = [request_id]

    def answer(instance: Instance, headers: dict[str, str]) -> bytes | StalledAnswer:
        if headers["x-dotterelstand-request-id"] not in pending:
            return instance.answer(headers)
        pending.clear()
        length = str(LONG_BYTES)
        changes = CHUNKED if body[:1] != b"x" else {"Content_Length": length}
        return StalledAnswer(instance.answer(headers, body, **changes), rest, pause_s)

    for item in fleet.instances:
        item.answers = [lambda headers, item=item: answer(item, headers) for _ in range(20)]


@pytest.mark.parametrize("stopping", [False, True])
@pytest.mark.parametrize(
    ("position", "body", "pause_s", "rest", "expected"),
    [
        # Broken off: the lookup runs again at another target.
        (1, SHORT_CHUNK, STALL_S, b"", Result.ANSWERED),
        (2, SHORT_CHUNK, STALL_S, b"", Result.ANSWERED),
        (1, SHORT_CHUNK, 30.0, b"", Result.DEADLINE_PASSED),
        (2, SHORT_CHUNK, 30.0, b"", Result.DEADLINE_PASSED),
        (1, SHORT_CHUNK, STALL_S, b"damaged\r\n", Result.ANSWERED),
        (1, SHORT_CHUNK, STALL_S, b"0\r\n\r\n", Result.ANSWERED),
        # Longer than what is held, and complete only after the limit of its own request.
        (1, LONG_CHUNKS, 1.3, b"0\r\n\r\n", Result.ANSWERED),
        (2, LONG_CHUNKS, 1.3, b"0\r\n\r\n", Result.ANSWERED),
    ],
)
def test_answer_that_breaks_off_leaves_the_answers_behind_it(
    position: int, body: bytes, pause_s: float, rest: bytes, expected: Result, stopping: bool
) -> None:
    """Guards against lookups that ran and whose connection was reset by an earlier answer.

    An answer without a length was begun after 0.25 s. When its target broke off, or its time limit
    passed, the reset discarded the answers of sound targets behind it.
    """

    async def scenario(fleet: PlatformFleet) -> None:
        _stall(fleet, f"q{position}", body, pause_s, rest)
        stream = await fleet.stream()
        if stopping:
            fleet.daemon.stop()
        deadlines_ms = [1000 if number == position else 2000 for number in (1, 2, 3)]
        await stream.send_all(b"".join(fleet.request(deadline_ms=item) for item in deadlines_ms))
        for number in (1, 2, 3):
            answer = await read_answer(stream)
            assert answer.complete
            code = expected if number == position else Result.ANSWERED
            assert (number, answer.code) == (number, code)
            closes = answer.headers.get("connection", "") == "close"
            assert closes == (stopping and number == 3)
        stream.close()

    run_on_platform(scenario)


@pytest.mark.parametrize("stopping", [False, True])
@pytest.mark.parametrize(
    ("body", "sent_after_s"),
    # The first is begun after 0.25 s without a request behind it, the others at once.
    [(SHORT_CHUNK, 0.3), (LONG_CHUNKS, 0.1), (b"x" * 100_000, 0.1)],
)
def test_lookup_behind_an_answer_that_has_begun_does_not_run_before_its_end(
    body: bytes, sent_after_s: float, stopping: bool
) -> None:
    """Guards against a lookup that runs although an earlier answer may reset its connection."""

    async def scenario(fleet: PlatformFleet) -> None:
        _stall(fleet, "q1", body, 0.6, b"")
        stream = await fleet.stream()
        await stream.send_all(fleet.request(deadline_ms=2000))
        await trio.sleep(sent_after_s)
        await stream.send_all(fleet.request(deadline_ms=2000))
        if stopping:
            fleet.daemon.stop()
        answer = await read_answer(stream)
        assert (answer.status, answer.complete) == (200, False)
        await trio.sleep(1.0)
        assert fleet.runs() == ["q1"]

    with EventCollector() as lines:
        run_on_platform(scenario)
    found = lines.lines_of(Event.ANSWER_UNDELIVERED)
    described = [(line["id"], line["cause"], line["state"], line["ended_by"]) for line in found]
    assert described == [("q1", "reset", "incomplete", "q1"), ("q2", "reset", "not_served", "q1")]


def test_lookup_behind_an_answer_that_has_begun_runs_after_its_end() -> None:
    """Guards against a lookup that waits behind a long answer and is forgotten."""

    async def scenario(fleet: PlatformFleet) -> None:
        _stall(fleet, "q1", LONG_CHUNKS, 0.5, b"0\r\n\r\n")
        stream = await fleet.stream()
        await stream.send_all(fleet.request(deadline_ms=2000))
        await trio.sleep(0.1)
        await stream.send_all(fleet.request(deadline_ms=2000) + fleet.request(deadline_ms=2000))
        for _ in range(3):
            answer = await read_answer(stream)
            assert (answer.status, answer.complete) == (200, True)
        assert sorted(fleet.runs()) == ["q1", "q2", "q3"]

    # A lookup that has waited may be hedged, if a free slot is found for that.
    run_on_platform(scenario, settings="[service_defaults]\nhedge = false\n")


def test_answer_on_a_connection_with_one_request_is_begun_before_its_end() -> None:
    """Guards against a stream that is held although nothing waits behind it."""

    async def scenario(fleet: PlatformFleet) -> None:
        _stall(fleet, "q2", SHORT_CHUNK, 1.0, b"0\r\n\r\n")
        stream = await fleet.stream()
        await stream.send_all(fleet.request() + fleet.request(deadline_ms=2000))
        assert (await read_answer(stream)).complete
        began = trio.current_time()
        assert await stream.receive_some(10)
        assert trio.current_time() - began < 0.6
        assert (await read_answer(stream)).status == 0

    run_on_platform(scenario)


def test_answer_that_is_held_may_last_while_it_goes_on() -> None:
    """Guards against a slow answer that is ended since it is held for the lookup behind it.

    The deadline of a route limits the time without progress, also of an answer not yet begun.
    """

    async def serve(stream: trio.abc.Stream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some(65536)
            await stream.send_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            for _ in range(5):
                await trio.sleep(0.6)
                await stream.send_all(SHORT_CHUNK)
            await stream.send_all(b"0\r\n\r\n")
            await trio.sleep_forever()

    async def scenario(fleet: Fleet) -> None:
        async with trio.open_nursery() as nursery:
            fleet.replace_target(nursery, serve)
            stream = await fleet.stream()
            await stream.send_all(2 * b"GET /lookup/1 HTTP/1.1\r\nhost: x\r\n\r\n")
            for _ in range(2):
                answer = await read_answer(stream)
                assert (answer.status, answer.body, answer.complete) == (200, b"broken" * 5, True)
            nursery.cancel_scope.cancel()

    run_fleet(scenario, targets=1, deadline_ms=1500)


@pytest.mark.parametrize(
    ("own_s", "route_s", "other_s", "expected_s"),
    [
        (0.5, 1.0, 0.8, 0.8),
        (0.5, 1.0, 10.0, 1.0),
        (0.5, 1.0, math.inf, 1.0),
        # A route without a time limit, and a limit beside it that has passed earlier.
        (0.5, -math.inf, 10.0, 0.5),
        (0.5, 1.0, 0.2, 0.5),
    ],
)
def test_answer_that_has_begun_lasts_no_longer_than_its_route_allows(
    own_s: float, route_s: float, other_s: float, expected_s: float
) -> None:
    """Guards against an answer that goes on for ever because of the requests behind it.

    Found by a review: with a request without a time limit behind it, an answer that came piece by
    piece never ended.
    """

    async def main() -> None:
        bounds = CallerBounds(1000, 1000, 1.0, 1.0)
        connection = CallerConnection(memory_stream_pair()[0], CallerLimits(bounds, 1.0, 1.0))
        first, second = connection.make_unread_request(), connection.make_unread_request()
        for request, limit_s in ((first, own_s), (second, other_s)):
            connection.begin(request)
            request.limit_s = limit_s
        first.last_limit_s = route_s
        assert first.answer_limit_s == own_s
        first.encode_head(200, [], Result.ANSWERED)
        assert first.answer_limit_s == expected_s

    run_virtual(main, seed=1)
