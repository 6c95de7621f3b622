"""Steps of the scenarios in features/; each scenario runs once, before its first `Then`."""

import hashlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
import xxhash
from pytest_bdd import given, parsers, scenarios, then, when
from support import CALLER, ENTRY, Answer, Fleet, exchange, read_answer, run_fleet

scenarios("features")

Action = Callable[["Fleet"], Awaitable[Any]]


class Story:
    """What a scenario arranges, does and observes."""

    def __init__(self) -> None:
        self.targets = 3
        self.service = ""
        self.settings = ""
        self.entries = 1
        self.first_faults: dict = {}
        self.faults: dict = {}
        self.actions: list[Action] = []
        self.answers: list[tuple[str, Answer]] = []
        self.took_s = 0.0
        self.path = ""
        self.sent: dict[str, bytes] = {}
        self.notes: dict[str, Any] = {}
        self._fleet: Fleet | None = None

    def run(self) -> Fleet:
        """Run the scenario unless it ran already."""
        if self._fleet is None:
            self._fleet = run_fleet(
                self._play,
                self.targets,
                service=self.service,
                settings=self.settings,
                entries=self.entries,
            )
        return self._fleet

    @property
    def last(self) -> Answer:
        """Answer that arrived last."""
        self.run()
        return self.answers[-1][1]

    def count(self, name: str) -> int:
        """Counter of the daemon."""
        return self.run().daemon.metrics.value(name)

    async def call(self, fleet: Fleet, method: str, path: str, body: bytes = b"", **h: str) -> None:
        """Send a request and note its answer and duration."""
        began = trio.current_time()
        self.path, self.sent[path] = path, body
        answer = await fleet.call(method, path, body, **h)
        self.took_s = trio.current_time() - began
        self.answers.append((path, answer))

    async def _play(self, fleet: Fleet) -> Fleet:
        fleet.set_faults(**self.faults)
        if fleet.targets:
            fleet.targets[0].faults.update(self.first_faults)
        for action in self.actions:
            await action(fleet)
        await trio.sleep(0.5)
        return fleet


@pytest.fixture
def story() -> Story:
    """The scenario being built."""
    return Story()


def text(pattern: str) -> Any:
    """Step text with typed fields."""
    return parsers.parse(pattern)


@given(text("{count:d} targets"))
@given(text("{count:d} target"))
def _(story: Story, count: int) -> None:
    story.targets = count


@given(text("{entries:d} entry hosts and {count:d} targets with faults {faults}"))
def _(story: Story, entries: int, count: int, faults: str) -> None:
    story.entries, story.targets, story.faults = entries, count, json.loads(faults)


@given(text("{count:d} targets with hedging"))
def _(story: Story, count: int) -> None:
    story.targets, story.service = count, "hedge = true"


@given(text("{count:d} targets with faults {faults}"))
@given(text("{count:d} target with faults {faults}"))
def _(story: Story, count: int, faults: str) -> None:
    story.targets, story.faults = count, json.loads(faults)


@given(text("{count:d} targets, the first with faults {faults}"))
def _(story: Story, count: int, faults: str) -> None:
    story.targets, story.first_faults = count, json.loads(faults)


@given(text("the daemon settings [{section}] {setting}"))
def _(story: Story, section: str, setting: str) -> None:
    story.settings = f"[{section}]\n{setting}\n"


@when(text("a caller sends {method:w} {path:S}"))
def _(story: Story, method: str, path: str) -> None:
    story.actions.append(lambda fleet: story.call(fleet, method, path))


@when(text("a caller sends {method:w} {path:S} {times:d} times"))
def _(story: Story, method: str, path: str, times: int) -> None:
    for _ in range(times):
        story.actions.append(lambda fleet: story.call(fleet, method, path))


@when(text("a caller sends {method:w} {path:S} {times:d} times to one entry host after another"))
def _(story: Story, method: str, path: str, times: int) -> None:
    async def action(fleet: Fleet) -> None:
        for number in range(times):
            answer = await fleet.call(method, path, entry=number % story.entries)
            story.answers.append((path, answer))

    story.actions.append(action)


@when(text("a caller sends {method:w} {path:S} with a deadline of {limit:d} ms"))
def _(story: Story, method: str, path: str, limit: int) -> None:
    headers = {"dotterelstand_deadline_ms": str(limit)}
    story.actions.append(lambda fleet: story.call(fleet, method, path, **headers))


@when(text("a caller sends {method:w} {path:S} with {count:d} bytes"))
def _(story: Story, method: str, path: str, count: int) -> None:
    story.actions.append(lambda fleet: story.call(fleet, method, path, b"u" * count))


@when(text("a caller sends {method:w} {path:S} and leaves"))
def _(story: Story, method: str, path: str) -> None:
    async def action(fleet: Fleet) -> None:
        with trio.move_on_after(0.2):
            await fleet.call(method, path)

    story.actions.append(action)


@when(text("a caller sends {method:w} {path:S} and waits for 100-continue"))
def _(story: Story, method: str, path: str) -> None:
    async def action(fleet: Fleet) -> None:
        stream = await fleet.stream()
        head = f"{method} {path} HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n"
        await stream.send_all(f"{head}content-length: 3\r\n\r\n".encode())
        assert (await stream.receive_some(100)).startswith(b"HTTP/1.1 100 ")
        await stream.send_all(b"abc")
        story.answers.append((path, await read_answer(stream)))

    story.actions.append(action)


@when(text("a caller sends the bytes {data}"))
def _(story: Story, data: str) -> None:
    raw = data.replace("{long}", "x" * 20000).encode().decode("unicode_escape").encode("latin-1")
    story.path = "/order/1"

    async def action(fleet: Fleet) -> None:
        stream = await fleet.stream()
        await stream.send_all(raw)
        story.answers.append(("", await read_answer(stream)))

    story.actions.append(action)


@when(text("a caller sends {count:d} lookups at once on one connection"))
def _(story: Story, count: int) -> None:
    async def action(fleet: Fleet) -> None:
        stream = await fleet.stream()
        heads = [f"GET /lookup/{i} HTTP/1.1\r\nhost: x\r\n\r\n" for i in range(count)]
        await stream.send_all("".join(heads).encode())
        for number in range(count):
            story.answers.append((f"/lookup/{number}", await read_answer(stream)))

    story.actions.append(action)


@when(text("{count:d} callers keep a connection open and another one sends {method:w} {path:S}"))
def _(story: Story, count: int, method: str, path: str) -> None:
    async def action(fleet: Fleet) -> None:
        streams = [await fleet.stream() for _ in range(count)]
        await trio.sleep(0.1)
        await story.call(fleet, method, path)
        for stream in streams:
            stream.close()

    story.actions.append(action)


def each(count: int, method: str, prefix: str, body: bytes, at_once: bool, story: Story) -> Action:
    """Action that sends numbered requests at the same time or one after the other."""

    async def action(fleet: Fleet) -> None:
        base = len(story.answers)
        async with trio.open_nursery() as nursery:
            for number in range(base, base + count):
                if at_once:
                    nursery.start_soon(story.call, fleet, method, f"{prefix}/{number}", body)
                else:
                    await story.call(fleet, method, f"{prefix}/{number}", body)

    return action


@when(text("{count:d} callers look up their own number at the same time"))
def _(story: Story, count: int) -> None:
    story.actions.append(each(count, "GET", "/lookup", b"", True, story))


@when(text("{count:d} callers look up their own number one after the other"))
def _(story: Story, count: int) -> None:
    story.actions.append(each(count, "GET", "/lookup", b"", False, story))


@when(text("{count:d} callers send their own order one after the other"))
def _(story: Story, count: int) -> None:
    story.actions.append(each(count, "POST", "/order", b"", False, story))


@when(text("{count:d} callers upload {size:d} bytes to their own lookup one after the other"))
def _(story: Story, count: int, size: int) -> None:
    body = hashlib.shake_128(b"upload").digest(size)
    story.actions.append(each(count, "POST", "/lookup", body, False, story))


@when(text("{count:d} callers look up the same number while targets crash one after the other"))
def _(story: Story, count: int) -> None:
    async def action(fleet: Fleet) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(story.call, fleet, "GET", "/lookup/popular")
                await trio.sleep(0.1)
                if number % 10 == 5:
                    nursery.start_soon(story.call, fleet, "GET", "/lookup/popular")
                    await trio.sleep(0.003)
                    fleet.targets[number // 10].crash()

    story.actions.append(action)


@when(text("{count:d} callers look up the same number while {lost:d} targets crash together"))
def _(story: Story, count: int, lost: int) -> None:
    async def action(fleet: Fleet) -> None:
        async with trio.open_nursery() as nursery:
            for target in fleet.targets:
                target.set_service_time(0.05)
            for _ in range(count // 2):
                nursery.start_soon(story.call, fleet, "GET", "/lookup/popular")
            await trio.sleep(0.02)
            for target in fleet.targets[:lost]:
                target.crash()
        for _ in range(count // 2):
            await story.call(fleet, "GET", "/lookup/popular")

    story.actions.append(action)


@when(text("the targets get the faults {faults}"))
def _(story: Story, faults: str) -> None:
    async def action(fleet: Fleet) -> None:
        fleet.set_faults(**json.loads(faults))

    story.actions.append(action)


@when(text("the first target gets the faults {faults}"))
def _(story: Story, faults: str) -> None:
    async def action(fleet: Fleet) -> None:
        assert fleet.targets[0].faults.update(json.loads(faults)) is None

    story.actions.append(action)


@when(text("a caller sends the keyed order {key:w} with body {body:w} {times:d} times"))
def _(story: Story, key: str, body: str, times: int) -> None:
    async def action(fleet: Fleet) -> None:
        for _ in range(times):
            await story.call(fleet, "POST", "/order/keyed", body.encode(), idempotency_key=key)
            # Outcomes are written in batches; until then a repeated key counts as running.
            await trio.sleep(1.0)

    story.actions.append(action)


@when(text("the host list shows the first target as {state:w}"))
def _(story: Story, state: str) -> None:
    async def action(fleet: Fleet) -> None:
        entry = {"host": "t0", "address": "10.1.0.0:80", "role": "target", "state": state}
        fleet.store.hosts.append(entry)

    story.actions.append(action)


@when("the runs of the first target are noted")
def _(story: Story) -> None:
    async def action(fleet: Fleet) -> None:
        story.notes["runs"] = len(fleet.targets[0].runs)

    story.actions.append(action)


@then("the first target ran nothing more")
def _(story: Story) -> None:
    assert len(story.run().targets[0].runs) == story.notes["runs"]


@then("the first target ran something more")
def _(story: Story) -> None:
    assert len(story.run().targets[0].runs) > story.notes["runs"]


@then(text("at most {count:d} answer has status {status:d}"))
def _(story: Story, count: int, status: int) -> None:
    story.run()
    assert sum(answer.status == status for _, answer in story.answers) <= count


@when("every target crashes")
def _(story: Story) -> None:
    async def action(fleet: Fleet) -> None:
        for target in fleet.targets:
            target.crash()
        await trio.sleep(0.1)

    story.actions.append(action)


@when("every open connection to the targets goes silent")
def _(story: Story) -> None:
    async def action(fleet: Fleet) -> None:
        for index in range(len(fleet.targets)):
            for stream in fleet.network.streams(ENTRY, f"10.1.0.{index}"):
                stream.silence()

    story.actions.append(action)


@when(text("{seconds:d} seconds pass"))
def _(story: Story, seconds: int) -> None:
    async def action(fleet: Fleet) -> None:
        await trio.sleep(seconds)

    story.actions.append(action)


@when(text("a caller uploads {size:d} bytes slowly and the daemon is stopped meanwhile"))
def _(story: Story, size: int) -> None:
    async def action(fleet: Fleet) -> None:
        body = hashlib.shake_128(b"slow").digest(size)
        story.sent["/order/slow"] = body
        stream = await fleet.stream()
        head = f"POST /order/slow HTTP/1.1\r\nhost: x\r\ncontent-length: {size}\r\n\r\n"
        await stream.send_all(head.encode())
        for start in range(0, size, 50_000):
            await stream.send_all(body[start : start + 50_000])
            await trio.sleep(1.0)
            if start == 200_000:
                fleet.daemon.stop()
        story.answers.append(("/order/slow", await read_answer(stream)))
        story.notes["answered_at"] = trio.current_time()
        await fleet.stopped.wait()
        story.notes["stopped_at"] = trio.current_time()

    story.actions.append(action)


@when("a caller keeps an idle connection and the daemon is stopped")
def _(story: Story) -> None:
    async def action(fleet: Fleet) -> None:
        stream = await fleet.stream()
        await exchange(stream, "GET", "/lookup/1", b"", {})
        story.notes["answered_at"] = trio.current_time()
        fleet.daemon.stop()
        await fleet.stopped.wait()
        story.notes["stopped_at"] = trio.current_time()

    story.actions.append(action)


@when(text("the daemon is stopped while a lookup of {seconds:d} seconds runs"))
def _(story: Story, seconds: int) -> None:
    story.service = f"silence_timeout_s = {seconds + 1}"

    async def action(fleet: Fleet) -> None:
        for target in fleet.targets:
            target.set_service_time(float(seconds))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(story.call, fleet, "GET", "/lookup/1")
            await trio.sleep(0.1)
            fleet.daemon.stop()
            await trio.sleep(seconds - 1.0)
            try:
                await fleet.network.open_stream(CALLER, ENTRY, fleet.daemon.port)
            except OSError:
                story.notes["refused"] = True

    story.actions.append(action)


@then("every caller has the complete answer to its own request")
def _(story: Story) -> None:
    story.run()
    for path, answer in story.answers:
        assert (answer.code, answer.complete, answer.json()["path"]) == (1000, True, path)


@then("no complete answer arrives")
def _(story: Story) -> None:
    assert not story.last.complete


@then(text("the counter {name:S} is {value:d}"))
def _(story: Story, name: str, value: int) -> None:
    assert story.count(name) == value


@then(text("the counter {name:S} is at least {value:d}"))
def _(story: Story, name: str, value: int) -> None:
    assert story.count(name) >= value


@then(text("the counter {name:S} is at most {value:d}"))
def _(story: Story, name: str, value: int) -> None:
    assert story.count(name) <= value


@then(text("the last answer is {code:d}"))
def _(story: Story, code: int) -> None:
    assert story.last.code == code
    assert story.last.complete


@then(text("the last answer is {code:d} and for {path:S}"))
def _(story: Story, code: int, path: str) -> None:
    assert (story.last.code, story.last.json()["path"]) == (code, path)


@then(text("the last answer is {code:d} with status {status:d}"))
def _(story: Story, code: int, status: int) -> None:
    assert (story.last.code, story.last.status) == (code, status)


@then(text("the last answer is {code:d} and says {run:S}"))
def _(story: Story, code: int, run: str) -> None:
    assert (story.last.code, story.last.run) == (code, run)
    assert story.last.complete


@then(text("the last answer took at most {limit:d} ms"))
def _(story: Story, limit: int) -> None:
    story.run()
    assert story.took_s <= limit / 1000


@then("the last answer asks to close the connection")
def _(story: Story) -> None:
    assert story.last.headers["connection"] == "close"


@then(text("the last {count:d} answers are {code:d}"))
def _(story: Story, count: int, code: int) -> None:
    story.run()
    assert [answer.code for _, answer in story.answers[-count:]] == [code] * count


@then(text("every answer is {code:d}"))
def _(story: Story, code: int) -> None:
    story.run()
    assert {answer.code for _, answer in story.answers} == {code}


@then(text("every answer has status {status:d}"))
def _(story: Story, status: int) -> None:
    story.run()
    assert {answer.status for _, answer in story.answers} == {status}


@then(text("no answer is {code:d}"))
def _(story: Story, code: int) -> None:
    story.run()
    assert code not in {answer.code for _, answer in story.answers}


@then(text("no answer has the run state {run:S}"))
def _(story: Story, run: str) -> None:
    story.run()
    assert run not in {answer.run for _, answer in story.answers}


@then(text("the request ran {times:d} times"))
def _(story: Story, times: int) -> None:
    assert len(story.run().runs(story.path)) == times


@then("the request ran at most 1 time")
def _(story: Story) -> None:
    assert len(story.run().runs(story.path)) <= 1


@then("every order ran exactly once")
def _(story: Story) -> None:
    fleet = story.run()
    for path, _ in story.answers:
        assert fleet.runs(path) == ["done"]


@then("every upload arrived byte for byte")
def _(story: Story) -> None:
    fleet = story.run()
    for path, answer in story.answers:
        digest = xxhash.xxh3_128_hexdigest(story.sent[path])
        assert answer.json()["digest"] == digest
        runs = [run for target in fleet.targets for run in target.runs if run.path == path]
        assert {run.body_digest for run in runs} == {digest}


@then("a target saw a request cancelled")
def _(story: Story) -> None:
    states = {run.state for target in story.run().targets for run in target.runs}
    assert "cancelled" in states


@then(text("targets were given deadlines between {low:d} and {high:d} ms"))
def _(story: Story, low: int, high: int) -> None:
    given_ms = [ms for target in story.run().targets for ms in target.deadlines_ms]
    assert given_ms
    assert all(low <= ms <= high for ms in given_ms)


@then("no target received anything")
def _(story: Story) -> None:
    fleet = story.run()
    assert not any(target.received or target.malformed for target in fleet.targets)


@then(text("{count:d} answers arrive in order on that connection"))
def _(story: Story, count: int) -> None:
    story.run()
    assert [answer.json()["path"] for _, answer in story.answers] == [
        f"/lookup/{number}" for number in range(count)
    ]


@then(text("at most {count:d} targets crashed"))
def _(story: Story, count: int) -> None:
    assert sum(target.crashes for target in story.run().targets) <= count


@then("the daemon exited after the upload")
def _(story: Story) -> None:
    story.run()
    assert 0.0 <= story.notes["stopped_at"] - story.notes["answered_at"] <= 2.0


@then(text("the daemon exited within {seconds:d} seconds"))
def _(story: Story, seconds: int) -> None:
    story.run()
    assert story.notes["stopped_at"] - story.notes["answered_at"] <= seconds


@then("a new connection is refused")
def _(story: Story) -> None:
    story.run()
    assert story.notes["refused"]
