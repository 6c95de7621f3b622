"""The load tool measures from the planned time and sees broken promises."""

import json
from collections.abc import Callable
from pathlib import Path

import pytest
import trio
from returns.pipeline import is_successful

from dotterelstand.standin.httpd import HttpAnswer, HttpRequest, serve_http
from dotterelstand.standin.load import LoadLimits, LoadRun, read_runs
from dotterelstand.standin.loadplan import LoadPlan, RequestKind, read_mix
from dotterelstand.standin.loadreport import LoadReport
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.virtual import run_virtual

EXAMPLES = Path(__file__).parent.parent / "examples"
LOOKUP = {"service": "lookup", "class": "fast", "method": "GET", "path": "/p", "share": 1}
ORDER = {**LOOKUP, "service": "orders", "method": "POST", "keyed": True, "body_bytes": [9, 200000]}


class Entry:
    """Entry host of a test: answers after a delay, in one slot, as `judge` says."""

    def __init__(self, delay_s: float, judge: Callable[["Entry", HttpRequest], HttpAnswer]) -> None:
        self._delay_s = delay_s
        self._judge = judge
        self._slot = trio.CapacityLimiter(1)
        self.runs: list[str] = []
        self.keys: list[str] = []

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answer one request."""
        if request.path == "/_runs":
            return HttpAnswer(200, json.dumps([{"path": run} for run in self.runs]).encode())
        self.keys.append(request.headers.get("idempotency-key", ""))
        async with self._slot:
            await trio.sleep(self._delay_s)
        return self._judge(self, request)


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


def lied(entry: Entry, request: HttpRequest) -> HttpAnswer:
    entry.runs.append(request.path)
    return _answer(request, "not-run", 2002)


def refused(entry: Entry, request: HttpRequest) -> HttpAnswer:
    return _answer(request, "not-run", 2002)


def _load(kind: dict, entries: list[Entry], rate: float, seconds: float) -> LoadReport:
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
            report.check_runs(await read_runs(caller, addresses))
            nursery.cancel_scope.cancel()
        return report

    return run_virtual(main, seed=7)


def test_latency_counts_from_planned_time() -> None:
    """Guards against coordinated omission: a slow host must not slow the sender down."""
    report = _load(LOOKUP, [Entry(0.1, ran)], rate=20, seconds=10)
    series = report.series["lookup", "fast"]
    assert series.requests == series.answered > 150
    # Twice the capacity for 10 s: the last request waits for about 10 s of work.
    assert series.latency_us.get_value_at_percentile(99) > 5_000_000
    assert report.violations == {}


@pytest.mark.parametrize(
    ("judge", "kind", "names"),
    [
        (ran, ORDER, set()),
        (refused, ORDER, set()),
        (ran_twice, LOOKUP, {"double_run"}),
        (ran_twice, ORDER, {"double_run"}),
        (other_answer, LOOKUP, {"wrong_answer"}),
        (lied, LOOKUP, {"not_run_but_ran"}),
        (lied, ORDER, {"not_run_but_ran", "double_run"}),
    ],
)
def test_violations_are_seen(
    judge: Callable[[Entry, HttpRequest], HttpAnswer], kind: dict, names: set[str]
) -> None:
    """Guards against a load run that reports success while a promise is broken."""
    report = _load(kind, [Entry(0.001, judge)], rate=20, seconds=2)
    assert set(report.violations) == names


def test_repeats_use_the_same_key_through_another_host() -> None:
    """Guards against repeats that never test the agreement between entry hosts."""
    entries = [Entry(0.001, refused), Entry(0.001, ran)]
    report = _load(ORDER, entries, rate=20, seconds=2)
    series = report.series["orders", "fast"]
    assert series.answered == series.requests
    assert series.repeats > 0
    assert set(entries[0].keys) <= set(entries[1].keys)


@pytest.mark.parametrize("name", ["asante-boakye", "styrkeloft"])
def test_example_mixes_are_complete(name: str) -> None:
    """Guards against an example mix that the load tool refuses."""
    kinds = read_mix(EXAMPLES / name / "load.toml").unwrap()
    assert sum(kind.share for kind in kinds) == pytest.approx(1)
    assert any(kind.keyed for kind in kinds)
    assert any(kind.body_bytes[1] > 1_000_000 for kind in kinds)


@pytest.mark.parametrize("text", ["", "requests = 1", "[[requests]]\npath = '/'\n", "x ="])
def test_malformed_mixes_are_refused(tmp_path: Path, text: str) -> None:
    """Guards against a traceback in place of the name of the file."""
    path = tmp_path / "mix.toml"
    path.write_text(text)
    result = read_mix(path)
    assert not is_successful(result)
    assert str(path) in result.failure()
