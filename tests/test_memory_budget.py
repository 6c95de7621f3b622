"""Whom a host refuses when the memory for callers is used up, and with which result."""

import pytest
import trio
import trio.testing
from platform_standin import EndlessAnswer, Instance
from platform_support import PlatformFleet, run_on_platform
from support import read_answer

from dotterelstand.codes import Result
from dotterelstand.connection.caller import CallerConnection
from dotterelstand.connection.callerhead import HeadReader, ParsedHead
from dotterelstand.connection.callerinput import CallerInput
from dotterelstand.connection.callerlimits import CallerLimits
from dotterelstand.connection.memorybudget import (
    CONNECTION_BYTES,
    MemoryBudget,
    Stage,
    choose_refused,
)
from dotterelstand.request.fields import DEFAULT_FIELDS
from dotterelstand.version.model import CallerBounds

KB = 1000
# Budget of a fleet with `memory_mb` 1: 300 KB.
MEMORY_MB = 1


class FakeHolder:
    """Connection whose stage began at a time in seconds."""

    def __init__(self, stage: Stage, since_s: float, received_bytes: int = 0) -> None:
        self.stage = stage
        self.since_s = since_s
        self.received_bytes = received_bytes
        self.refused = False

    def refuse_for_memory(self) -> None:
        """Record the refusal."""
        self.refused = True


@pytest.mark.parametrize(
    ("first", "others"),
    [
        # Stage, age in seconds, bytes received, bytes held besides the connection.
        ((Stage.IDLE, 9.0, 0, 0), [(Stage.IDLE, 6.0, 0, 0), (Stage.ARRIVING, 9.0, 1, 500 * KB)]),
        ((Stage.ARRIVING, 9.0, 90 * KB, 90 * KB), [(Stage.ARRIVING, 2.0, 90 * KB, 90 * KB)]),
        ((Stage.ARRIVING, 1.0, 90 * KB, 90 * KB), [(Stage.ARRIVING, 0.1, 500 * KB, 500 * KB)]),
        ((Stage.ARRIVING, 0.1, 90 * KB, 90 * KB), [(Stage.ARRIVING, 0.2, 500 * KB, 500 * KB)]),
        ((Stage.ARRIVING, 0.2, 90 * KB, 90 * KB), [(Stage.ARRIVING, 0.1, 9 * KB, 9 * KB)]),
        ((Stage.ARRIVING, 1.0, 90 * KB, 90 * KB), [(Stage.ARRIVING, 2.0, 1 * KB, 1 * KB)]),
        ((Stage.ARRIVING, 1.0, 9 * KB, 9 * KB), [(Stage.WAITING, 2.0, 0, 90 * KB)]),
        ((Stage.WAITING, 2.0, 0, 90 * KB), [(Stage.WAITING, 0.1, 0, 9 * KB)]),
        ((Stage.WAITING, 2.0, 0, 90 * KB), [(Stage.ARRIVING, 0.1, 9 * KB, 9 * KB)]),
        ((Stage.IDLE, 0.1, 0, 0), [(Stage.IDLE, 4.0, 0, 0), (Stage.BUSY, 9.0, 0, 500 * KB)]),
        ((Stage.BUSY, 0.1, 0, 90 * KB), [(Stage.ENDING, 9.0, 0, 500 * KB)]),
    ],
)
def test_order_of_refusals(
    first: tuple[Stage, float, int, int], others: list[tuple[Stage, float, int, int]]
) -> None:
    """Guards against refusing ordinary requests while idle or slow connections hold memory."""
    budget, now = MemoryBudget(), 100.0
    holders = []
    for stage, age_s, received, held in [*others, first]:
        holders.append(FakeHolder(stage, now - age_s, received))
        holding = budget.open(holders[-1])
        holding.hold(held, now)
    holdings = list(budget._holdings)
    assert [item.holder for item in choose_refused(holdings, now, 1.0)] == [holders[-1]]


@pytest.mark.parametrize(
    ("connections", "refused"),
    [
        # Stage, age in seconds, bytes received.
        ([(Stage.IDLE, 6.0, 0), (Stage.IDLE, 9.0, 0)], [False, True]),
        ([(Stage.ARRIVING, 1.0, 9 * KB), (Stage.ARRIVING, 1.0, 1)], [False, True]),
        ([(Stage.ARRIVING, 1.0, 1), (Stage.IDLE, 9.0, 0)], [False, True]),
        ([(Stage.IDLE, 1.0, 0), (Stage.ARRIVING, 0.1, 1), (Stage.BUSY, 9.0, 1)], [False] * 3),
        ([(Stage.WAITING, 9.0, 1), (Stage.ENDING, 9.0, 1)], [False] * 2),
    ],
)
def test_inactive_connections_give_way_to_new_ones(
    connections: list[tuple[Stage, float, int]], refused: list[bool]
) -> None:
    """Guards against callers that hold all connections without using them."""
    budget, now = MemoryBudget(), 100.0
    holders = [FakeHolder(stage, now - age_s, size) for stage, age_s, size in connections]
    for holder in holders:
        budget.open(holder)
    budget.refuse_inactive(now)
    assert [holder.refused for holder in holders] == refused
    assert budget.ending == sum(refused)


@pytest.mark.parametrize(
    ("lines", "grants", "expected"),
    [(10, True, True), (1000, True, True), (10, False, False), (1000, False, False)],
)
def test_a_head_is_parsed_when_its_memory_is_counted(
    lines: int, grants: bool, expected: bool
) -> None:
    """Guards against heads that become objects before there is memory for them."""

    async def main() -> None:
        budget = MemoryBudget()
        limits = CallerLimits(CallerBounds(65536, 10**6, 10.0, 60.0), 30.0, 1.0, budget)
        holding = budget.open(FakeHolder(Stage.ARRIVING, 0.0))
        reader = HeadReader(limits, DEFAULT_FIELDS, holding)
        reader.append(b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a:b\r\n" * lines + b"\r\n")
        before = holding.held_bytes

        async def wait_for_memory() -> bool:
            assert holding.held_bytes > before + lines * 193
            return grants

        found = await reader.read(trio.sleep_forever, wait_for_memory)
        assert isinstance(found, ParsedHead) == expected
        assert expected or holding.held_bytes == before

    trio.run(main)


@pytest.mark.parametrize("is_refused", [True, False])
def test_a_refused_idle_connection_does_not_wait_for_memory(is_refused: bool) -> None:
    """Guards against refused connections that wait for the memory that they hold themselves."""

    async def main() -> None:
        budget = MemoryBudget(2 * CONNECTION_BYTES)
        limits = CallerLimits(CallerBounds(16384, 10**6, 10.0, 60.0), 30.0, 1.0, budget)
        one, other = trio.socket.socketpair()
        connection = CallerConnection(trio.SocketStream(other), limits)
        found: list[object] = []
        ended = trio.Event()

        async def serve() -> None:
            found.append(await connection.next_request())
            ended.set()

        with trio.fail_after(30), one, other:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.read_ahead)
                nursery.start_soon(serve)
                await trio.testing.wait_all_tasks_blocked()
                if is_refused:
                    connection.memory.refused = True
                    connection.refuse_for_memory()
                await one.send(b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:b\r\n" * 200 + b"\r\n")
                await ended.wait()
                nursery.cancel_scope.cancel()
        assert found == [Result.HOST_MEMORY_FULL]

    trio.run(main)


@pytest.mark.parametrize(("size", "pieces"), [(1, 20_000), (100, 2000), (16_384, 8)])
def test_small_pieces_count_with_their_objects(size: int, pieces: int) -> None:
    """Guards against single bytes that take a hundred times their length."""

    async def main() -> None:
        holding = MemoryBudget().open(FakeHolder(Stage.ARRIVING, 0.0))
        (one, other), before = trio.socket.socketpair(), holding.held_bytes
        with one, other:
            received = CallerInput(trio.SocketStream(other), holding)
            count, scope = 0, trio.CancelScope()
            while count < pieces and not scope.cancelled_caught:
                received.append(b"x" * size, 0.0)
                count += 1
                with trio.move_on_after(0) as scope:
                    await received.wait_for_space()
            assert count < pieces
            # The objects of a piece take about 140 bytes.
            assert holding.held_bytes - before >= count * (size + 140)
            received.clear()
            assert holding.held_bytes == before

    trio.run(main)


def test_refusals_end_when_enough_will_be_released() -> None:
    """Guards against refusing everyone while the first ones that were refused still end."""
    budget = MemoryBudget(20 * CONNECTION_BYTES)
    holders = [FakeHolder(Stage.ARRIVING, 0.0, number) for number in range(10)]
    holdings = [budget.open(holder) for holder in holders]
    for holding in holdings:
        holding.hold(CONNECTION_BYTES + 1000, 10.0)
    refused = [holder.refused for holder in holders]
    assert refused == [True, True, *[False] * 8]
    assert not budget.has_room
    for holding in holdings:
        holding.close()
        holding.release(1000)
    assert budget.used_bytes == 0


FRAMINGS = [
    (b"Content-Length: 400001", b"x" * 400_000),
    (b"Transfer-Encoding: chunked", b"61a81\r\n" + b"x" * 400_000),
]


def _upload(fleet: PlatformFleet, path: str, framing: bytes) -> bytes:
    return fleet.request("POST", path).replace(b"\r\n\r\n", b"\r\n" + framing + b"\r\n\r\n")


@pytest.mark.parametrize(("framing", "begun"), FRAMINGS)
@pytest.mark.parametrize("path", ["/a/1", "/u/1"])
def test_refused_uploads_have_not_run(path: str, framing: bytes, begun: bytes) -> None:
    """Guards against an upload that takes a slot before its body has arrived."""

    async def scenario(fleet: PlatformFleet) -> None:
        stream = await fleet.stream()
        await stream.send_all(_upload(fleet, path, framing))
        with trio.move_on_after(0.4):
            await stream.send_all(begun)
        answer = await read_answer(stream, "POST")
        code = Result.HOST_MEMORY_FULL
        assert (answer.status, int(answer.headers["dotterelstand-result"])) == (503, code)
        assert answer.headers["connection"] == "close"
        assert fleet.runs() == []
        assert (await fleet.call("POST", path, b"x" * 10 * KB)).status == 200

    run_on_platform(scenario, memory_mb=MEMORY_MB)


@pytest.mark.parametrize(("framing", "begun"), FRAMINGS)
@pytest.mark.parametrize("path", ["/a/1", "/u/1"])
def test_refused_uploads_that_are_being_sent_on_may_have_run(
    path: str, framing: bytes, begun: bytes
) -> None:
    """Guards against `not run` for an upload of which a target got a part."""

    async def scenario(fleet: PlatformFleet) -> None:
        first = await fleet.stream()
        await first.send_all(_upload(fleet, path, framing) + begun[: 100 * KB])
        await trio.sleep(0.6)
        # Newer uploads, which need the memory that the first one holds.
        for _ in range(4):
            stream = await fleet.stream()
            await stream.send_all(_upload(fleet, path, framing) + begun[: 50 * KB])
        answer = await read_answer(first, "POST")
        code = Result.BODY_INCOMPLETE
        assert (answer.status, int(answer.headers["dotterelstand-result"])) == (400, code)
        assert answer.headers["connection"] == "close"
        assert fleet.runs() == []
        assert (await fleet.call("POST", path, b"x" * 10 * KB)).status == 200

    run_on_platform(scenario, memory_mb=MEMORY_MB, held_body_bytes=64 * KB)


def test_idle_connections_make_room_for_an_upload() -> None:
    """Guards against refusing a caller in favour of connections without a request."""

    async def scenario(fleet: PlatformFleet) -> None:
        idle = [await fleet.stream() for _ in range(8)]
        await trio.sleep(6.0)
        assert (await fleet.call("POST", "/u/1", b"x" * 150 * KB)).status == 200
        assert fleet.daemon.metrics.value("callers.memory_refused.idle") >= 4
        for stream in idle[:4]:
            assert await stream.receive_some(1) == b""

    run_on_platform(scenario, memory_mb=MEMORY_MB)


@pytest.mark.parametrize("begun", [b"", b"GET /a/1 HT"])
def test_inactive_connections_do_not_shut_out_a_caller(begun: bytes) -> None:
    """Guards against refusing callers while others hold connections without using them."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.daemon.frontend._max_connections = 4
        held = [await fleet.stream() for _ in range(4)]
        await trio.sleep(6.0 if not begun else 0)
        for stream in held:
            await stream.send_all(begun)
        await trio.sleep(1.0)
        assert (await fleet.call()).status == 200

    run_on_platform(scenario)


class LateAnswer(EndlessAnswer):
    """Answer that is sent after a pause."""

    async def send(self, stream) -> None:  # type: ignore[no-untyped-def]
        """Send the answer; its connection cannot be used again."""
        await trio.sleep(self.pause_s)
        await stream.send_all(self.beginning)
        await trio.sleep_forever()


def test_answers_that_wait_for_an_earlier_one_are_bounded() -> None:
    """Guards against answers without a bound behind a slow one, or cut unnoticed."""

    async def scenario(fleet: PlatformFleet) -> None:
        def answer(instance: Instance, headers: dict[str, str]) -> bytes | LateAnswer:
            data = instance.answer(headers, b"x" * 60 * KB)
            is_first = headers["x-dotterelstand-request-id"] == "q1"
            return LateAnswer(data, b"", 0.5) if is_first else data

        for item in fleet.instances:
            item.answers = [lambda headers, item=item: answer(item, headers) for _ in range(20)]
        stream = await fleet.stream()
        await stream.send_all(b"".join(fleet.request(deadline_ms=2000) for _ in range(8)))
        received = 0
        with pytest.raises(trio.BrokenResourceError):
            while data := await stream.receive_some(65536):
                received += len(data)
        assert received < 8 * 60 * KB
        assert fleet.daemon.metrics.value("callers.memory_refused.busy") == 1
        for item in fleet.instances:
            item.answers.clear()
        assert (await fleet.call()).status == 200

    run_on_platform(scenario, memory_mb=MEMORY_MB)


def test_connections_beyond_the_budget_make_room_for_each_other() -> None:
    """Guards against idle connections that block all callers because their input has no room.

    Each reader waited for room, and the connections that were chosen to end were never idle, since
    they had unread input; nobody was served and the loop was always busy.
    """
    limits = CallerLimits(
        CallerBounds(16384, 10**6, 10.0, 60.0), 30.0, 1.0, MemoryBudget(4 * CONNECTION_BYTES)
    )
    ended: list[object] = []

    async def serve(connection: CallerConnection, nursery: trio.Nursery) -> None:
        nursery.start_soon(connection.read_ahead)
        ended.append(await connection.next_request())
        connection.close()
        connection.release_memory()

    async def main() -> None:
        pairs = [trio.socket.socketpair() for _ in range(5)]
        callers = [trio.SocketStream(one) for one, _ in pairs]
        connections = [CallerConnection(trio.SocketStream(other), limits) for _, other in pairs]
        with trio.fail_after(30):
            for caller in callers:
                await caller.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            async with trio.open_nursery() as nursery:
                for connection in connections:
                    nursery.start_soon(serve, connection, nursery)
        assert len(ended) == len(connections)

    trio.run(main)
