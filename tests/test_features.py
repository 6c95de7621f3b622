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


class Scenario:
    """Setup, actions and results of one scenario."""

    def __init__(self) -> None:
        self.targets = 3
        self.service = ""
        self.settings = ""
        self.entries = 1
        self.first_target_faults: dict = {}
        self.faults: dict = {}
        self.actions: list[Action] = []
        self.answers: list[tuple[str, Answer]] = []
        self.duration_s = 0.0
        self.path = ""
        self.sent: dict[str, bytes] = {}
        self.recorded: dict[str, Any] = {}
        self._fleet: Fleet | None = None

    def run(self) -> Fleet:
        """Run the scenario on the first call, and return its fleet."""
        if self._fleet is None:
            self._fleet = run_fleet(
                self._execute,
                self.targets,
                service=self.service,
                settings=self.settings,
                entries=self.entries,
            )
        return self._fleet

    @property
    def last(self) -> Answer:
        """Last answer that arrived."""
        self.run()
        return self.answers[-1][1]

    def count(self, name: str) -> int:
        """Value of a counter of the first daemon."""
        return self.run().daemon.metrics.value(name)

    async def call(self, fleet: Fleet, method: str, path: str, body: bytes = b"", **h: str) -> None:
        """Send a request and record its answer and duration."""
        began = trio.current_time()
        self.path, self.sent[path] = path, body
        answer = await fleet.call(method, path, body, **h)
        self.duration_s = trio.current_time() - began
        self.answers.append((path, answer))

    async def _execute(self, fleet: Fleet) -> Fleet:
        fleet.set_faults(**self.faults)
        if fleet.targets:
            fleet.targets[0].faults.update(self.first_target_faults)
        for action in self.actions:
            await action(fleet)
        await trio.sleep(0.5)
        return fleet


@pytest.fixture
def scenario() -> Scenario:
    """Scenario that the steps build up."""
    return Scenario()


def step(pattern: str) -> Any:
    """Step pattern with typed fields."""
    return parsers.parse(pattern)


@given(step("{count:d} targets"))
@given(step("{count:d} target"))
def _(scenario: Scenario, count: int) -> None:
    scenario.targets = count


@given(step("{entries:d} entry hosts and {count:d} targets with faults {faults}"))
def _(scenario: Scenario, entries: int, count: int, faults: str) -> None:
    scenario.entries, scenario.targets, scenario.faults = entries, count, json.loads(faults)


@given(step("{count:d} targets with hedging"))
def _(scenario: Scenario, count: int) -> None:
    scenario.targets, scenario.service = count, "hedge = true"


@given(step("{count:d} targets with faults {faults}"))
@given(step("{count:d} target with faults {faults}"))
def _(scenario: Scenario, count: int, faults: str) -> None:
    scenario.targets, scenario.faults = count, json.loads(faults)


@given(step("{count:d} targets, the first with faults {faults}"))
def _(scenario: Scenario, count: int, faults: str) -> None:
    scenario.targets, scenario.first_target_faults = count, json.loads(faults)


@given(step("the daemon settings [{section}] {setting}"))
def _(scenario: Scenario, section: str, setting: str) -> None:
    scenario.settings += f"[{section}]\n{setting}\n"


@when(step("a caller sends {method:w} {path:S}"))
def _(scenario: Scenario, method: str, path: str) -> None:
    scenario.actions.append(lambda fleet: scenario.call(fleet, method, path))


@when(step("a caller sends {method:w} {path:S} {times:d} times"))
def _(scenario: Scenario, method: str, path: str, times: int) -> None:
    for _ in range(times):
        scenario.actions.append(lambda fleet: scenario.call(fleet, method, path))


@when(step("a caller sends {method:w} {path:S} {times:d} times to one entry host after another"))
def _(scenario: Scenario, method: str, path: str, times: int) -> None:
    async def action(fleet: Fleet) -> None:
        for number in range(times):
            answer = await fleet.call(method, path, entry=number % scenario.entries)
            scenario.answers.append((path, answer))

    scenario.actions.append(action)


@when(step("a caller sends {method:w} {path:S} with a deadline of {limit:d} ms"))
def _(scenario: Scenario, method: str, path: str, limit: int) -> None:
    headers = {"dotterelstand_deadline_ms": str(limit)}
    scenario.actions.append(lambda fleet: scenario.call(fleet, method, path, **headers))


@when(step("a caller sends {method:w} {path:S} with {count:d} bytes"))
def _(scenario: Scenario, method: str, path: str, count: int) -> None:
    scenario.actions.append(lambda fleet: scenario.call(fleet, method, path, b"u" * count))


@when(step("a caller sends {method:w} {path:S} and disconnects"))
def _(scenario: Scenario, method: str, path: str) -> None:
    async def action(fleet: Fleet) -> None:
        with trio.move_on_after(0.2):
            await fleet.call(method, path)

    scenario.actions.append(action)


@when(step("a caller sends {method:w} {path:S} and waits for 100-continue"))
def _(scenario: Scenario, method: str, path: str) -> None:
    async def action(fleet: Fleet) -> None:
        stream = await fleet.stream()
        head = f"{method} {path} HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n"
        await stream.send_all(f"{head}content-length: 3\r\n\r\n".encode())
        assert (await stream.receive_some(100)).startswith(b"HTTP/1.1 100 ")
        await stream.send_all(b"abc")
        scenario.answers.append((path, await read_answer(stream)))

    scenario.actions.append(action)


@when(step("a caller sends the bytes {data}"))
def _(scenario: Scenario, data: str) -> None:
    raw = data.replace("{long}", "x" * 20000).encode().decode("unicode_escape").encode("latin-1")
    scenario.path = "/order/1"

    async def action(fleet: Fleet) -> None:
        stream = await fleet.stream()
        await stream.send_all(raw)
        scenario.answers.append(("", await read_answer(stream)))

    scenario.actions.append(action)


@when(step("a caller sends {count:d} lookups at once on one connection"))
def _(scenario: Scenario, count: int) -> None:
    async def action(fleet: Fleet) -> None:
        stream = await fleet.stream()
        heads = [f"GET /lookup/{i} HTTP/1.1\r\nhost: x\r\n\r\n" for i in range(count)]
        await stream.send_all("".join(heads).encode())
        for number in range(count):
            scenario.answers.append((f"/lookup/{number}", await read_answer(stream)))

    scenario.actions.append(action)


@when(step("{count:d} callers keep a connection open and another one sends {method:w} {path:S}"))
def _(scenario: Scenario, count: int, method: str, path: str) -> None:
    async def action(fleet: Fleet) -> None:
        streams = [await fleet.stream() for _ in range(count)]
        await trio.sleep(0.1)
        await scenario.call(fleet, method, path)
        for stream in streams:
            stream.close()

    scenario.actions.append(action)


def numbered_requests(
    count: int, method: str, prefix: str, body: bytes, concurrent: bool, scenario: Scenario
) -> Action:
    """Create an action that sends numbered requests concurrently or sequentially."""

    async def action(fleet: Fleet) -> None:
        base = len(scenario.answers)
        async with trio.open_nursery() as nursery:
            for number in range(base, base + count):
                if concurrent:
                    nursery.start_soon(scenario.call, fleet, method, f"{prefix}/{number}", body)
                else:
                    await scenario.call(fleet, method, f"{prefix}/{number}", body)

    return action


@when(step("{count:d} callers look up their own number at the same time"))
def _(scenario: Scenario, count: int) -> None:
    scenario.actions.append(numbered_requests(count, "GET", "/lookup", b"", True, scenario))


@when(step("{count:d} callers look up the same number at the same time"))
def _(scenario: Scenario, count: int) -> None:
    async def action(fleet: Fleet) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(scenario.call, fleet, "GET", "/lookup/popular")

    scenario.actions.append(action)


@when(step("{count:d} callers look up their own number one after the other"))
def _(scenario: Scenario, count: int) -> None:
    scenario.actions.append(numbered_requests(count, "GET", "/lookup", b"", False, scenario))


@when(step("{count:d} callers send their own order one after the other"))
def _(scenario: Scenario, count: int) -> None:
    scenario.actions.append(numbered_requests(count, "POST", "/order", b"", False, scenario))


@when(step("{count:d} callers upload {size:d} bytes to their own lookup one after the other"))
def _(scenario: Scenario, count: int, size: int) -> None:
    body = hashlib.shake_128(b"upload").digest(size)
    scenario.actions.append(numbered_requests(count, "POST", "/lookup", body, False, scenario))


@when(step("{count:d} callers look up the same number while targets crash one after the other"))
def _(scenario: Scenario, count: int) -> None:
    async def action(fleet: Fleet) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(scenario.call, fleet, "GET", "/lookup/popular")
                await trio.sleep(0.1)
                if number % 10 == 5:
                    nursery.start_soon(scenario.call, fleet, "GET", "/lookup/popular")
                    await trio.sleep(0.003)
                    fleet.targets[number // 10].crash()

    scenario.actions.append(action)


@when(step("{count:d} callers look up the same number while {lost:d} targets crash together"))
def _(scenario: Scenario, count: int, lost: int) -> None:
    async def action(fleet: Fleet) -> None:
        async with trio.open_nursery() as nursery:
            for target in fleet.targets:
                target.set_service_time(0.05)
            for _ in range(count // 2):
                nursery.start_soon(scenario.call, fleet, "GET", "/lookup/popular")
            await trio.sleep(0.02)
            for target in fleet.targets[:lost]:
                target.crash()
        for _ in range(count // 2):
            await scenario.call(fleet, "GET", "/lookup/popular")

    scenario.actions.append(action)


@when(step("the targets get the faults {faults}"))
def _(scenario: Scenario, faults: str) -> None:
    async def action(fleet: Fleet) -> None:
        fleet.set_faults(**json.loads(faults))

    scenario.actions.append(action)


@when(step("the first target gets the faults {faults}"))
def _(scenario: Scenario, faults: str) -> None:
    async def action(fleet: Fleet) -> None:
        assert fleet.targets[0].faults.update(json.loads(faults)) is None

    scenario.actions.append(action)


@when(step("a caller sends the keyed order {key:w} with body {body:w} {times:d} times"))
def _(scenario: Scenario, key: str, body: str, times: int) -> None:
    async def action(fleet: Fleet) -> None:
        for _ in range(times):
            await scenario.call(fleet, "POST", "/order/keyed", body.encode(), idempotency_key=key)
            # Outcomes are written in batches; before that, the key counts as running.
            await trio.sleep(1.0)

    scenario.actions.append(action)


@when(step("the host list shows the first target as {state:w}"))
def _(scenario: Scenario, state: str) -> None:
    async def action(fleet: Fleet) -> None:
        entry = {"host": "t0", "address": "10.1.0.0:80", "role": "target", "state": state}
        fleet.store.hosts.append(entry)

    scenario.actions.append(action)


@when("the number of runs at the first target is recorded")
def _(scenario: Scenario) -> None:
    async def action(fleet: Fleet) -> None:
        scenario.recorded["runs"] = len(fleet.targets[0].runs)

    scenario.actions.append(action)


@then("the first target ran no further requests")
def _(scenario: Scenario) -> None:
    assert len(scenario.run().targets[0].runs) == scenario.recorded["runs"]


@then("the first target ran further requests")
def _(scenario: Scenario) -> None:
    assert len(scenario.run().targets[0].runs) > scenario.recorded["runs"]


@then(step("at most {count:d} answer has status {status:d}"))
def _(scenario: Scenario, count: int, status: int) -> None:
    scenario.run()
    assert sum(answer.status == status for _, answer in scenario.answers) <= count


@when("every target crashes")
def _(scenario: Scenario) -> None:
    async def action(fleet: Fleet) -> None:
        for target in fleet.targets:
            target.crash()
        await trio.sleep(0.1)

    scenario.actions.append(action)


@when("every open connection to the targets goes silent")
def _(scenario: Scenario) -> None:
    async def action(fleet: Fleet) -> None:
        for index in range(len(fleet.targets)):
            for stream in fleet.network.streams(ENTRY, f"10.1.0.{index}"):
                stream.silence()

    scenario.actions.append(action)


@when(step("{seconds:d} seconds pass"))
def _(scenario: Scenario, seconds: int) -> None:
    async def action(fleet: Fleet) -> None:
        await trio.sleep(seconds)

    scenario.actions.append(action)


@when(step("a caller uploads {size:d} bytes slowly and the daemon is stopped meanwhile"))
def _(scenario: Scenario, size: int) -> None:
    async def action(fleet: Fleet) -> None:
        body = hashlib.shake_128(b"slow").digest(size)
        scenario.sent["/order/slow"] = body
        stream = await fleet.stream()
        head = f"POST /order/slow HTTP/1.1\r\nhost: x\r\ncontent-length: {size}\r\n\r\n"
        await stream.send_all(head.encode())
        for start in range(0, size, 50_000):
            await stream.send_all(body[start : start + 50_000])
            await trio.sleep(1.0)
            if start == 200_000:
                fleet.daemon.stop()
        scenario.answers.append(("/order/slow", await read_answer(stream)))
        scenario.recorded["answered_at"] = trio.current_time()
        await fleet.stopped.wait()
        scenario.recorded["stopped_at"] = trio.current_time()

    scenario.actions.append(action)


@when("a caller keeps an idle connection and the daemon is stopped")
def _(scenario: Scenario) -> None:
    async def action(fleet: Fleet) -> None:
        stream = await fleet.stream()
        await exchange(stream, "GET", "/lookup/1", b"", {})
        scenario.recorded["answered_at"] = trio.current_time()
        fleet.daemon.stop()
        await fleet.stopped.wait()
        scenario.recorded["stopped_at"] = trio.current_time()

    scenario.actions.append(action)


@when(step("the daemon is stopped while a lookup of {seconds:d} seconds runs"))
def _(scenario: Scenario, seconds: int) -> None:
    scenario.service = f"silence_timeout_s = {seconds + 1}"

    async def action(fleet: Fleet) -> None:
        for target in fleet.targets:
            target.set_service_time(float(seconds))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scenario.call, fleet, "GET", "/lookup/1")
            await trio.sleep(0.1)
            fleet.daemon.stop()
            await trio.sleep(seconds - 1.0)
            try:
                await fleet.network.open_stream(CALLER, ENTRY, fleet.daemon.port)
            except OSError:
                scenario.recorded["refused"] = True

    scenario.actions.append(action)


@then("every caller has the complete answer to its own request")
def _(scenario: Scenario) -> None:
    scenario.run()
    for path, answer in scenario.answers:
        assert (answer.code, answer.complete, answer.json()["path"]) == (1000, True, path)


@then("no complete answer arrives")
def _(scenario: Scenario) -> None:
    assert not scenario.last.complete


@then(step("the counter {name:S} is {value:d}"))
def _(scenario: Scenario, name: str, value: int) -> None:
    assert scenario.count(name) == value


@then(step("the counter {name:S} is at least {value:d}"))
def _(scenario: Scenario, name: str, value: int) -> None:
    assert scenario.count(name) >= value


@then(step("the counter {name:S} is at most {value:d}"))
def _(scenario: Scenario, name: str, value: int) -> None:
    assert scenario.count(name) <= value


@then(step("the last answer is {code:d}"))
def _(scenario: Scenario, code: int) -> None:
    assert scenario.last.code == code
    assert scenario.last.complete


@then(step("the last answer is {code:d} for path {path:S}"))
def _(scenario: Scenario, code: int, path: str) -> None:
    assert (scenario.last.code, scenario.last.json()["path"]) == (code, path)


@then(step("the last answer is {code:d} with status {status:d}"))
def _(scenario: Scenario, code: int, status: int) -> None:
    assert (scenario.last.code, scenario.last.status) == (code, status)


@then(step("the last answer is {code:d} with run state {run:S}"))
def _(scenario: Scenario, code: int, run: str) -> None:
    assert (scenario.last.code, scenario.last.run) == (code, run)
    assert scenario.last.complete


@then(step("the last answer took at most {limit:d} ms"))
def _(scenario: Scenario, limit: int) -> None:
    scenario.run()
    assert scenario.duration_s <= limit / 1000


@then("the last answer asks to close the connection")
def _(scenario: Scenario) -> None:
    assert scenario.last.headers["connection"] == "close"


@then(step("the last {count:d} answers are {code:d}"))
def _(scenario: Scenario, count: int, code: int) -> None:
    scenario.run()
    assert [answer.code for _, answer in scenario.answers[-count:]] == [code] * count


@then(step("every answer is {code:d}"))
def _(scenario: Scenario, code: int) -> None:
    scenario.run()
    assert {answer.code for _, answer in scenario.answers} == {code}


@then(step("every answer has status {status:d}"))
def _(scenario: Scenario, status: int) -> None:
    scenario.run()
    assert {answer.status for _, answer in scenario.answers} == {status}


@then(step("no answer is {code:d}"))
def _(scenario: Scenario, code: int) -> None:
    scenario.run()
    assert code not in {answer.code for _, answer in scenario.answers}


@then(step("no answer has the run state {run:S}"))
def _(scenario: Scenario, run: str) -> None:
    scenario.run()
    assert run not in {answer.run for _, answer in scenario.answers}


@then(step("the request ran {times:d} times"))
def _(scenario: Scenario, times: int) -> None:
    assert len(scenario.run().runs(scenario.path)) == times


@then("the request ran at most once")
def _(scenario: Scenario) -> None:
    assert len(scenario.run().runs(scenario.path)) <= 1


@then("every order ran exactly once")
def _(scenario: Scenario) -> None:
    fleet = scenario.run()
    for path, _ in scenario.answers:
        assert fleet.runs(path) == ["done"]


@then("every upload arrived byte for byte")
def _(scenario: Scenario) -> None:
    fleet = scenario.run()
    for path, answer in scenario.answers:
        digest = xxhash.xxh3_128_hexdigest(scenario.sent[path])
        assert answer.json()["digest"] == digest
        runs = [run for target in fleet.targets for run in target.runs if run.path == path]
        assert {run.body_digest for run in runs} == {digest}


@then("a target saw a request cancelled")
def _(scenario: Scenario) -> None:
    states = {run.state for target in scenario.run().targets for run in target.runs}
    assert "cancelled" in states


@then(step("targets received deadlines between {low:d} and {high:d} ms"))
def _(scenario: Scenario, low: int, high: int) -> None:
    given_ms = [ms for target in scenario.run().targets for ms in target.deadlines_ms]
    assert given_ms
    assert all(low <= ms <= high for ms in given_ms)


@then("no target received anything")
def _(scenario: Scenario) -> None:
    fleet = scenario.run()
    assert not any(target.received or target.malformed for target in fleet.targets)


@then(step("{count:d} answers arrive in order on that connection"))
def _(scenario: Scenario, count: int) -> None:
    scenario.run()
    assert [answer.json()["path"] for _, answer in scenario.answers] == [
        f"/lookup/{number}" for number in range(count)
    ]


@then(step("at most {count:d} targets crashed"))
def _(scenario: Scenario, count: int) -> None:
    assert sum(target.crashes for target in scenario.run().targets) <= count


@then("the daemon exited soon after the upload")
def _(scenario: Scenario) -> None:
    scenario.run()
    assert 0.0 <= scenario.recorded["stopped_at"] - scenario.recorded["answered_at"] <= 2.0


@then(step("the daemon exited within {seconds:d} seconds"))
def _(scenario: Scenario, seconds: int) -> None:
    scenario.run()
    assert scenario.recorded["stopped_at"] - scenario.recorded["answered_at"] <= seconds


@then("a new connection is refused")
def _(scenario: Scenario) -> None:
    scenario.run()
    assert scenario.recorded["refused"]
