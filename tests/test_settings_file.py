"""A running daemon reloads its settings file."""

import json
import os
import signal
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path

import pytest
import trio
import trio.testing
from returns.pipeline import is_successful

from dotterelstand.events import Event
from dotterelstand.exits import ExitCode
from dotterelstand.process.settingsfile import (
    SETTLE_S,
    WRITE_LIMIT_S,
    SettingsFile,
    read_at_start,
)
from dotterelstand.settings import Settings, load_settings

CHANGES = [
    ("[service_defaults]\nretry_share = 0.2\n", [["service_defaults.retry_share"]]),
    ("[service_defaults]\nretry_share = 7\n", []),
    ("not TOML", []),
]


@pytest.mark.parametrize("by_signal", [True, False])
@pytest.mark.parametrize(("text", "expected"), CHANGES)
def test_a_changed_file_is_applied_if_it_is_valid(
    tmp_path: Path, text: str, expected: list[list[str]], by_signal: bool
) -> None:
    """Guards against a change missed without a signal, and an invalid file partly applied."""
    path = tmp_path / "settings.toml"
    path.write_text("[service_defaults]\nretry_share = 0.1\n")
    applied: list[list[str]] = []

    def apply(settings: Settings, changed: list[str]) -> list[str]:
        applied.append(changed)
        return changed

    async def main() -> None:
        file = SettingsFile(path, load_settings(path).unwrap())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(file.follow, apply)
            await trio.testing.wait_all_tasks_blocked()
            path.write_text(text)
            os.utime(path, ns=(1, 1))
            if by_signal:
                file.request_reload()
            await trio.sleep(2.5)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))
    assert applied == expected


@pytest.mark.parametrize("by_variable", [True, False])
def test_the_settings_file_is_named_by_argument_or_variable(
    tmp_path: Path, by_variable: bool
) -> None:
    """Guards against a daemon without arguments that ignores the file which the variable names."""
    path = tmp_path / "missing.toml"
    variables = {**os.environ, "DOTTERELSTAND_SETTINGS": str(path)} if by_variable else None
    arguments = [] if by_variable else ["--settings", str(path)]
    command = [sys.executable, "-m", "dotterelstand.process.main", *arguments]
    ended = subprocess.run(command, capture_output=True, text=True, env=variables)
    assert ended.returncode == ExitCode.SETTINGS_INVALID
    assert str(path) in ended.stderr


def test_sighup_does_not_end_the_daemon(tmp_path: Path) -> None:
    """Guards against the default action of SIGHUP, which ends the process."""
    path = tmp_path / "settings.toml"
    sections = ("listen", "peers", "control")
    path.write_text("".join(f"[{section}]\nport = 0\n" for section in sections))
    command = [sys.executable, "-m", "dotterelstand.process.main", "--settings", str(path)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as daemon:
        assert daemon.stdout is not None
        for line in daemon.stdout:
            if "daemon_started" in line:
                break
        daemon.send_signal(signal.SIGHUP)
        for line in daemon.stdout:
            if "settings_reloaded" in line:
                break
        daemon.send_signal(signal.SIGTERM)
        daemon.stdout.read()
        assert daemon.wait() == 0


def test_sighup_during_startup_does_not_end_the_daemon(tmp_path: Path) -> None:
    """Guards against a settings reload that kills a daemon while it still imports its modules.

    Found by the soak of processes with seed 3.
    """
    path = tmp_path / "settings.toml"
    sections = ("listen", "peers", "control")
    path.write_text("".join(f"[{section}]\nport = 0\n" for section in sections))
    module = ["-m", "dotterelstand.process.main", "--settings", str(path)]
    # With this option the interpreter prints each imported module to standard error.
    command = [sys.executable, "-X", "importtime", *module]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    ) as daemon:
        assert daemon.stdout is not None and daemon.stderr is not None
        for line in daemon.stderr:
            if line.rstrip().endswith(" trio"):
                break
        daemon.send_signal(signal.SIGHUP)
        threading.Thread(target=daemon.stderr.read, daemon=True).start()
        started = any("daemon_started" in line for line in daemon.stdout)
        daemon.send_signal(signal.SIGTERM)
        assert daemon.wait() == 0
        assert started


SECTIONS = ("listen", "peers", "control")
WHOLE = "".join(f"[{section}]\nport = 0\n" for section in SECTIONS) + '[host]\nname = "whole"\n'


@pytest.mark.parametrize(
    "begin",
    [None, "", "[listen]\npor", '[listen]\nport = 0\n[host]\nname = "', "[listen]\nport = 99999\n"],
)
def test_a_file_that_is_written_during_the_start_is_read_again(
    tmp_path: Path, begin: str | None
) -> None:
    """Guards against a daemon that ends, or runs with defaults, because its file is incomplete."""
    path = tmp_path / "settings.toml"
    if begin is not None:
        path.write_text(begin)
    command = [sys.executable, "-m", "dotterelstand.process.main", "--settings", str(path)]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    ) as daemon:
        try:
            assert daemon.stdout is not None and daemon.stderr is not None
            # The daemon says why it waits; the program that writes the file is done soon after.
            refusal = daemon.stderr.readline()
            path.write_text(WHOLE)
            lines = [json.loads(next(daemon.stdout, "{}")) for _ in range(2)]
            daemon.send_signal(signal.SIGTERM)
            daemon.stdout.read()
            assert daemon.wait() == 0, refusal
        finally:
            daemon.kill()
    assert [line["event"] for line in lines] == [Event.SETTINGS_READ_AGAIN, Event.DAEMON_STARTED]
    assert lines[1]["host"] == "whole"
    assert lines[0]["reason"] in refusal


class Writer:
    """Clock of a start during which another program writes the file, step by step."""

    def __init__(self, path: Path, steps: list[str | None]) -> None:
        self.now = 0.0
        self._path = path
        self._steps = steps
        self.sleep(0.0)

    def sleep(self, seconds: float) -> None:
        """Advance the clock; the next step replaces the file, and its time is long ago."""
        self.now += seconds
        if self._steps:
            text = self._steps.pop(0)
            if text is None:
                self._path.unlink(missing_ok=True)
            else:
                self._path.write_text(text)
                os.utime(self._path, ns=(1, 1))


@pytest.mark.parametrize(
    ("steps", "valid", "seconds"),
    [
        ([WHOLE], True, 0.0),
        (["", WHOLE], True, SETTLE_S),
        ([None, "", "[listen", WHOLE], True, 3 * SETTLE_S),
        (["[listen"], False, WRITE_LIMIT_S),
        ([None], False, WRITE_LIMIT_S),
        # An operator may keep an empty file for a daemon that uses the defaults alone.
        ([""], True, WRITE_LIMIT_S),
    ],
)
def test_a_start_waits_for_a_complete_file_for_a_bounded_time(
    tmp_path: Path, steps: list[str | None], valid: bool, seconds: float
) -> None:
    """Guards against a start that gives up too early, or waits for ever for a wrong file."""
    path = tmp_path / "settings.toml"
    writer = Writer(path, steps)
    start = read_at_start(path, load_settings, writer.sleep, lambda: writer.now)
    assert is_successful(start.result) == valid
    assert bool(start.refusal) == (seconds > 0)
    assert seconds <= writer.now < seconds + 2 * SETTLE_S


def test_a_change_right_after_the_file_was_read_is_applied(tmp_path: Path) -> None:
    """Guards against settings that stay old because they changed during the start."""
    path = tmp_path / "settings.toml"
    path.write_text(WHOLE)
    os.utime(path, ns=(1, 1))
    start = read_at_start(path, load_settings)
    path.write_text(WHOLE + "[service_defaults]\nretry_share = 0.2\n")
    assert _follow(SettingsFile(path, start.result.unwrap(), start.state), lambda: None) == [
        ["service_defaults.retry_share"]
    ]


def test_a_file_that_is_written_in_two_steps_is_applied_once(tmp_path: Path) -> None:
    """Guards against defaults in force for a second, because a part of the file is valid."""
    path = tmp_path / "settings.toml"
    path.write_text(WHOLE)
    os.utime(path, ns=(1, 1))
    file = SettingsFile(path, load_settings(path).unwrap())

    def truncate() -> None:
        path.write_text("")
        file.request_reload()

    assert _follow(file, truncate, lambda: path.write_text(WHOLE)) == [[]]


def _follow(file: SettingsFile, *steps: Callable[[], object]) -> list[list[str]]:
    """Follow a file for 5 s with a step every 0.5 s; returns the changed keys of each reload."""
    applied: list[list[str]] = []

    def apply(settings: Settings, changed: list[str]) -> list[str]:
        applied.append(changed)
        return changed

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(file.follow, apply)
            for step in steps:
                step()
                await trio.sleep(0.5)
            await trio.sleep(5.0)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))
    return applied
