"""Log output: one JSON object per line, with limits, and without blocking."""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import trio
from platform_support import PlatformFleet, run_on_platform
from support import read_answer
from support_logs import EventCollector

from dotterelstand.events import Event
from dotterelstand.logoutput import LogOutput

LINE = "x" * 99 + "\n"


@pytest.mark.parametrize("lines", [1, 40, 1000])
def test_a_stalled_reader_does_not_block(lines: int) -> None:
    """Guards against a daemon that blocks on a log write, and against dropped lines not counted."""
    reader, writer = os.pipe()
    output = LogOutput(writer, 20_000, 100_000)
    for _ in range(3):
        for _ in range(lines):
            output.write(LINE)
        output.write_pending()
    received = b""
    while True:
        output.write_pending()
        os.set_blocking(reader, False)
        try:
            received += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    assert len(received) % len(LINE) == 0
    assert len(received) // len(LINE) + output.dropped == 3 * lines
    assert output.take_dropped() == 0 or lines == 1000
    os.close(reader)
    os.close(writer)


@pytest.mark.parametrize(
    ("max_bytes", "max_lines", "kept"), [(1000, 1000, 10), (100_000, 7, 7), (100_000, 1000, 20)]
)
def test_lines_beyond_a_bound_are_dropped_and_counted(
    max_bytes: int, max_lines: int, kept: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an unlimited buffer or an unlimited rate of log lines."""
    monkeypatch.setattr("dotterelstand.logoutput.time.monotonic", lambda: 5.0)
    reader, writer = os.pipe()
    output = LogOutput(writer, max_bytes, max_lines)
    for _ in range(20):
        output.write(LINE)
    assert output.dropped == 20 - kept
    output.write_pending()
    assert os.read(reader, 1 << 20) == LINE.encode() * kept
    os.close(reader)
    os.close(writer)


def test_a_closed_pipe_does_not_end_the_daemon() -> None:
    """Guards against a daemon that exits when its log reader closes the pipe."""
    reader, writer = os.pipe()
    output = LogOutput(writer, 1000, 1000)
    os.close(reader)
    output.write(LINE)
    output.write_pending()
    assert output.dropped >= 1
    os.close(writer)


_START = """
[listen]
port = 0
[peers]
port = 0
[control]
port = 0
[host]
name = "entry-7"
"""


def test_a_daemon_writes_json_lines_on_standard_output(tmp_path: Path) -> None:
    """Guards against lines that a log collector cannot parse or attribute to a host."""
    path = tmp_path / "entry.toml"
    path.write_text(_START)
    daemon = subprocess.Popen(
        [sys.executable, "-m", "dotterelstand.process.main", "--settings", str(path)],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert daemon.stdout is not None
    first = json.loads(daemon.stdout.readline())
    daemon.terminate()
    lines = [first, *map(json.loads, daemon.stdout)]
    assert daemon.wait(30) == 0
    assert {line["host"] for line in lines} == {"entry-7"}
    assert all({"time", "level", "clock_s", "message"} <= set(line) for line in lines)
    events = [line["event"] for line in lines]
    assert events[0] == Event.DAEMON_STARTED and events[-1] == Event.DAEMON_STOPPED


async def _reset_once(fleet: PlatformFleet) -> str:
    for instance in fleet.instances:
        instance.answers = [lambda headers: b""]
    assert (await fleet.call()).status == 502
    return "q1"


async def _refused_then_answered(fleet: PlatformFleet) -> str:
    first = fleet.instances[0]
    first.answers = [
        lambda headers: first.answer(
            headers, status="503 Service Unavailable", X_Dotterelstand_Not_Executed="1"
        )
    ]
    assert (await fleet.call()).status == 503
    return "q1"


async def _never_answered(fleet: PlatformFleet) -> str:
    fleet.instances[0].service_time_s = 30.0
    assert (await fleet.call("POST", "/b/1", b"order")).status == 504
    return "q1"


async def _answered(fleet: PlatformFleet) -> str:
    assert (await fleet.call()).status == 200
    return "q1"


@pytest.mark.parametrize(
    ("scenario", "events"),
    [
        (_reset_once, [204, 206, 207, 205, 200]),
        (_refused_then_answered, [204, 206, 207, 205, 200]),
        (_never_answered, [204, 206, 200]),
        (_answered, []),
    ],
)
def test_a_failed_request_leaves_its_decisions_in_the_log(scenario: Any, events: list[int]) -> None:
    """Guards against failures without logged decisions, and against lines for successes."""
    with EventCollector() as lines:
        request_id = run_on_platform(scenario, instances=1)
    assert lines.events_of(request_id) == events


@pytest.mark.parametrize("break_off", [False, True])
def test_long_ids_and_paths_of_callers_are_shortened_in_the_log(break_off: bool) -> None:
    """Guards against log lines of many kilobytes for a request that its caller made so long."""

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:
            instance.service_time_s = 5.0
        stream = await fleet.stream()
        request = fleet.request(path="/a/" + "p" * 3000)
        await stream.send_all(request.replace(b"q1", b"q" * 3000))
        await trio.sleep(0.5)
        if not break_off:
            await read_answer(stream, "GET")
        stream.close()
        await trio.sleep(0.5)

    with EventCollector() as lines:
        run_on_platform(scenario)
    written = [line for line in lines.events if "id" in line]
    ends = {Event.REQUEST_ENDED, Event.ANSWER_UNDELIVERED}
    assert ends & {line["event"] for line in written}
    assert {line["id"] for line in written} == {"q" * 64}
    assert {line["path"] for line in written if "path" in line} == {"/a/" + "p" * 197}


def test_an_answered_attempt_is_logged_as_sent() -> None:
    """Guards against logging `sent=False` for an answered attempt on a reusable connection."""

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:
            instance.service_time_s = 0.5
        assert (await fleet.call("POST", "/b/1", b"order")).status == 200

    with EventCollector() as lines:
        run_on_platform(scenario)
    (ended,) = [line for line in lines.events if line["event"] == Event.ATTEMPT_ENDED]
    assert ended["sent"] and ended["status"] == 200


def test_changes_of_targets_are_logged_with_their_inputs() -> None:
    """Guards against changes of targets that are not logged, or are logged twice."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.register(0, state="draining")
        fleet.store.remove("servers", "i-1")
        await trio.sleep(2.0)

    with EventCollector() as lines:
        run_on_platform(scenario)
    changes = [
        (line["target"], line["change"])
        for line in lines.events
        if line["event"] == Event.TARGET_CHANGED
    ]
    assert ("i-0", "draining") in changes and ("i-1", "gone") in changes
    assert changes.count(("i-2", "listed")) == 1


@pytest.mark.parametrize(
    ("answered_id", "count"), [("health-1", 1), ("", 1), ("health-1", 3), ("y" * 1000, 1)]
)
def test_answer_to_another_request_is_logged(answered_id: str, count: int) -> None:
    """Guards against an answer taken for that to an order, without a line that both ids are in.

    An order that was answered as not run, and ran, left no sign of a late answer to a health check.
    """

    async def scenario(fleet: PlatformFleet) -> int:
        instance = fleet.instances[0]
        other = instance.answer({}, X_Dotterelstand_Request_Id=answered_id)
        instance.answers = [lambda headers: other * count + instance.answer(headers)]
        assert (await fleet.call("POST", "/b/1", b"order")).status == 200
        return fleet.daemon.metrics.value("requests.skipped_answers")

    with EventCollector() as lines:
        assert run_on_platform(scenario, instances=1) == count
    skipped = lines.lines_of(Event.ANSWER_SKIPPED)
    assert [(line["id"], line["answered_id"], line["target"]) for line in skipped] == [
        ("q1", answered_id[:64], "i-0")
    ] * count
    (ended,) = lines.lines_of(Event.ATTEMPT_ENDED)
    assert ended["named"] and ended["whole"] and not ended["refused"]


@pytest.mark.parametrize("early", [True, False])
def test_answer_before_the_end_of_an_upload_is_counted(early: bool) -> None:
    """Guards against a target that reads on behind an early answer, without a sign of the answer.

    What follows on such a connection would be taken for the rest of the upload.
    """

    async def scenario(fleet: PlatformFleet) -> int:
        instance = fleet.instances[0]

        instance.answers_early = early
        stream = await fleet.stream()
        whole = fleet.request("POST", "/u/1", b"x" * 600_000)
        await stream.send_all(whole[:-50_000] if early else whole)
        assert (await read_answer(stream, "POST")).status == 200
        stream.close()
        await trio.sleep(0.5)
        return fleet.daemon.metrics.value("requests.early_answers")

    assert run_on_platform(scenario, instances=1) == early
