"""The load tool measures latency from the planned time and detects violations."""

import json
from collections.abc import Callable
from pathlib import Path

import pytest
import trio
from returns.pipeline import is_successful

from dotterelstand.standin.httpd import HttpAnswer, HttpRequest, serve_http
from dotterelstand.standin.load import LoadLimits, LoadRun, count_runs
from dotterelstand.standin.loadplan import LoadPlan, RequestKind, read_mix
from dotterelstand.standin.loadreport import LoadReport
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.virtual import run_virtual

EXAMPLES = Path(__file__).parent.parent / "examples"
LOOKUP = {"service": "lookup", "class": "fast", "method": "GET", "path": "/p", "share": 1}
ORDER = {**LOOKUP, "service": "orders", "method": "POST", "keyed": True, "body_bytes": [9, 200000]}


class Entry:
    """Fake entry host: `respond` produces the answers, one at a time, each after a delay."""

    def __init__(
        self, delay_s: float, respond: Callable[["Entry", HttpRequest], HttpAnswer]
    ) -> None:
        self._delay_s = delay_s
        self._respond = respond
        self._slot = trio.CapacityLimiter(1)
        self.runs: list[str] = []
        self.keys: list[str] = []

    async def handle(self, request: HttpRequest) -> HttpAnswer | None:
        """Answer one request."""
        if request.path == "/_runs":
            return HttpAnswer(200, json.dumps([{"path": run} for run in self.runs]).encode())
        self.keys.append(request.headers.get("idempotency-key", ""))
        async with self._slot:
            await trio.sleep(self._delay_s)
        return self._respond(self, request)


def _answer(request: HttpRequest, run: str, code: int, path: str = "") -> HttpAnswer:
    body = json.dumps({"path": path or request.path, "bytes": len(request.body)}).encode()
    headers = [("dotterelstand-result", str(code)), ("dotterelstand-run", run)]
    return HttpAnswer(200 if run == "ran" else 503, body, headers)


def ran(entry: Entry, request: HttpRequest) -> HttpAnswer:
    entry.runs.append(request.path)
    return _answer(request, "ran", 1000)


def ran_twice(entry: Entry, request: HttpRequest) -> HttpAnswer:
    entry.runs.append(request.path)
    return ran(entry, request)


def other_answer(entry: Entry, request: HttpRequest) -> HttpAnswer:
    entry.runs.append(request.path)
    return _answer(request, "ran", 1000, "/p?id=another")


def reported_not_run(entry: Entry, request: HttpRequest) -> HttpAnswer:
    entry.runs.append(request.path)
    return _answer(request, "not-run", 2002)


def recorded_without_body(entry: Entry, request: HttpRequest) -> HttpAnswer:
    entry.runs.append(request.path)
    answer = _answer(request, "ran", 1001)
    return HttpAnswer(200, b"", [*answer.headers, ("dotterelstand-body", "not-kept")])


def empty_answer(entry: Entry, request: HttpRequest) -> HttpAnswer:
    entry.runs.append(request.path)
    return HttpAnswer(200, b"", _answer(request, "ran", 1000).headers)


def not_run(entry: Entry, request: HttpRequest) -> HttpAnswer:
    return _answer(request, "not-run", 2002)


def _run_load(kind: dict, entries: list[Entry], rate: float, seconds: float) -> LoadReport:
    async def main() -> LoadReport:
        network = FakeNetwork(lambda source, destination: 0.001)
        caller = network.at("10.0.0.9")
        async with trio.open_nursery() as nursery:
            addresses = []
            for index, entry in enumerate(entries):
                listener = await network.at(f"10.0.0.{index}").listen(f"10.0.0.{index}", 80)

                async def serve(stream: trio.abc.Stream, entry: Entry = entry) -> None:
                    await serve_http(stream, entry.handle)

                nursery.start_soon(listener.serve, serve, nursery)
                addresses.append((f"10.0.0.{index}", 80))
            await trio.testing.wait_all_tasks_blocked()
            run = LoadRun(caller, addresses, LoadLimits(1000, 2, 100.0))
            plan = LoadPlan([RequestKind(kind)], rate, seconds, len(entries), 7)
            report = await run.run(plan)
            report.check_runs(await count_runs(caller, addresses))
            nursery.cancel_scope.cancel()
        return report

    return run_virtual(main, seed=7)


def test_latency_counts_from_planned_time() -> None:
    """Guards against coordinated omission: a slow host must not slow the sender down."""
    report = _run_load(LOOKUP, [Entry(0.1, ran)], rate=20, seconds=10)
    series = report.series["lookup", "fast"]
    assert series.requests == series.answered > 150
    # The load is twice the capacity for 10 s, so the last request waits for about 10 s of work.
    assert series.latency_us.get_value_at_percentile(99) > 5_000_000
    assert report.violations == {}


@pytest.mark.parametrize(
    ("respond", "kind", "names"),
    [
        (ran, ORDER, set()),
        (not_run, ORDER, set()),
        (recorded_without_body, ORDER, set()),
        (empty_answer, ORDER, {"wrong_answer"}),
        (ran_twice, LOOKUP, {"double_run"}),
        (ran_twice, ORDER, {"double_run"}),
        (other_answer, LOOKUP, {"wrong_answer"}),
        (reported_not_run, LOOKUP, {"not_run_but_ran"}),
        (reported_not_run, ORDER, {"not_run_but_ran", "double_run"}),
    ],
)
def test_violations_are_seen(
    respond: Callable[[Entry, HttpRequest], HttpAnswer], kind: dict, names: set[str]
) -> None:
    """Guards against a load run that reports success despite a violation."""
    report = _run_load(kind, [Entry(0.001, respond)], rate=20, seconds=2)
    assert set(report.violations) == names


def test_repeats_use_the_same_key_through_another_host() -> None:
    """Guards against repeats to one entry host, which do not test that hosts share the keys."""
    entries = [Entry(0.001, not_run), Entry(0.001, ran)]
    report = _run_load(ORDER, entries, rate=20, seconds=2)
    series = report.series["orders", "fast"]
    assert series.answered == series.requests
    assert series.repeats > 0
    assert set(entries[0].keys) <= set(entries[1].keys)


def test_closed_idle_connections_do_not_end_the_run() -> None:
    """Guards against a crash of the load tool when an entry host stops and closes connections."""

    class Closing(Entry):
        answered = 0

        async def handle(self, request: HttpRequest) -> HttpAnswer | None:
            self.answered += 1
            # The connection of every second request is closed without an answer.
            closes = self.answered % 2 == 0 and request.path != "/_runs"
            return None if closes else await super().handle(request)

    report = _run_load(LOOKUP, [Closing(0.001, ran)], rate=20, seconds=2)
    assert report.series["lookup", "fast"].requests > 20
    report = _run_load(ORDER, [Closing(0.001, ran), Entry(0.001, ran)], rate=20, seconds=2)
    assert report.series["orders", "fast"].repeats > 0


def test_host_that_is_gone_ran_nothing() -> None:
    """Guards against requests that are counted as unknown although they were never sent."""

    async def main() -> LoadReport:
        network = FakeNetwork(lambda source, destination: 0.001)
        run = LoadRun(network.at("10.0.0.9"), [("10.0.0.1", 80)], LoadLimits(100, 2, 10.0))
        return await run.run(LoadPlan([RequestKind(ORDER)], 10, 1, 1, 7))

    series = run_virtual(main, seed=7).series["orders", "fast"]
    assert series.refused == series.requests > 5
    assert series.runs == {"unsent": 3 * series.requests}


def test_second_attempt_that_is_not_sent_does_not_hide_the_first() -> None:
    """Guards against a lookup that ran and is reported as never sent.

    The host crashes before its answer, and the second attempt cannot connect.
    """

    async def main() -> LoadReport:
        network = FakeNetwork(lambda source, destination: 0.001)
        entry = Entry(0.001, ran)
        host = network.at("10.0.0.1")
        listener = await host.listen("10.0.0.1", 80)

        async def handle(request: HttpRequest) -> HttpAnswer | None:
            answer = await entry.handle(request)
            if len(entry.runs) > 5:
                network.crash("10.0.0.1")
            return answer

        async def serve(stream: trio.abc.Stream) -> None:
            await serve_http(stream, handle)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(listener.serve, serve, nursery)
            await trio.testing.wait_all_tasks_blocked()
            run = LoadRun(network.at("10.0.0.9"), [("10.0.0.1", 80)], LoadLimits(100, 2, 10.0))
            report = await run.run(LoadPlan([RequestKind(LOOKUP)], 10, 5, 1, 7))
            nursery.cancel_scope.cancel()
        report.check_runs(dict.fromkeys([path.split("id=")[1] for path in entry.runs], 1))
        return report

    report = run_virtual(main, seed=7)
    assert report.violations == {}
    assert report.series["lookup", "fast"].unknown == 1


def test_host_that_closes_idle_connections_loses_no_lookup() -> None:
    """Guards against the failure of a lookup on an idle connection that the host has closed."""

    async def main() -> LoadReport:
        network = FakeNetwork(lambda source, destination: 0.001)
        entry = Entry(0.001, ran)
        listener = await network.at("10.0.0.1").listen("10.0.0.1", 80)

        async def serve(stream: trio.abc.Stream) -> None:
            # The host's idle timeout is shorter than the time between two requests.
            with trio.move_on_after(0.01):
                await serve_http(stream, entry.handle)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(listener.serve, serve, nursery)
            await trio.testing.wait_all_tasks_blocked()
            run = LoadRun(network.at("10.0.0.9"), [("10.0.0.1", 80)], LoadLimits(100, 2, 10.0))
            report = await run.run(LoadPlan([RequestKind(LOOKUP)], 10, 5, 1, 7))
            nursery.cancel_scope.cancel()
        return report

    series = run_virtual(main, seed=7).series["lookup", "fast"]
    assert series.answered == series.requests > 30


@pytest.mark.parametrize("name", ["asante-boakye", "styrkeloft"])
def test_example_mixes_are_complete(name: str) -> None:
    """Guards against an example mix that the load tool rejects."""
    kinds = read_mix(EXAMPLES / name / "load.toml").unwrap()
    assert sum(kind.share for kind in kinds) == pytest.approx(1)
    assert any(kind.keyed for kind in kinds)
    assert any(kind.body_bytes[1] > 1_000_000 for kind in kinds)


@pytest.mark.parametrize("text", ["", "requests = 1", "[[requests]]\npath = '/'\n", "x ="])
def test_malformed_mixes_are_refused(tmp_path: Path, text: str) -> None:
    """Guards against a traceback instead of an error message with the name of the file."""
    path = tmp_path / "mix.toml"
    path.write_text(text)
    result = read_mix(path)
    assert not is_successful(result)
    assert str(path) in result.failure()
