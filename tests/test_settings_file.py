"""A running daemon reloads its settings file."""

import os
import signal
import subprocess
import sys
import threading
from pathlib import Path

import pytest
import trio
import trio.testing

from dotterelstand.exits import ExitCode
from dotterelstand.process.settingsfile import SettingsFile
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
