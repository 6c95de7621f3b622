"""Signals to a daemon process, also while it ends."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from dotterelstand.events import Event

SETTINGS = """
[listen]
address = "127.0.0.1"
port = 0
close_grace_s = 0.0
[peers]
port = 0
[control]
port = 0
"""

# Time in seconds within which a daemon that nobody uses ends after SIGTERM.
STOP_LIMIT_S = 20.0

# Handles signals until the task is cancelled, then gets one more.
PROGRAM = """
import os, signal, sys
import trio
from dotterelstand.process.run import _handle_signals

class Recorder:
    calls = []
    def stop(self):
        self.calls.append("stop")
    def request_reload(self):
        self.calls.append("reload")

async def handle(number):
    recorder = Recorder()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, recorder, recorder)
        await trio.sleep(0.05)
        for _ in range(2):
            os.kill(os.getpid(), number)
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()

number = int(sys.argv[1])
signal.signal(signal.SIGHUP, signal.SIG_IGN)
trio.run(handle, number)
os.kill(os.getpid(), number)
print(*Recorder.calls)
"""


@pytest.mark.parametrize(
    ("number", "calls"),
    [
        (signal.SIGTERM, "stop stop"),
        (signal.SIGINT, "stop stop"),
        (signal.SIGHUP, "reload reload"),
    ],
)
def test_signal_to_a_process_that_ends_is_ignored(number: signal.Signals, calls: str) -> None:
    """Guards against a daemon that a second SIGTERM kills after its stop was complete.

    Found by the soak with signals in series, seeds 201 and 203: exit status -15 instead of 0, and
    the last log lines could be missing.
    """
    command = [sys.executable, "-c", PROGRAM, str(int(number))]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    assert (result.returncode, result.stdout.strip()) == (0, calls), result.stderr


# Sets an action of SIGTERM, as some supervisors do, and becomes a daemon that reports its imports.
PARENT = """
import os, signal, sys
signal.signal(signal.SIGTERM, getattr(signal, sys.argv.pop(1)))
os.execv(sys.executable, [sys.executable, "-X", "importtime", *sys.argv[1:]])
"""


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("action", ["SIG_DFL", "SIG_IGN"])
@pytest.mark.parametrize("module", ["random", "trio", "dotterelstand.process.run"])
def test_stop_during_the_start_ends_the_daemon_with_a_line(
    number: signal.Signals, action: str, module: str, tmp_path: Path
) -> None:
    """Guards against a stop during the imports that is lost, or kills without a log line.

    Found by a user's runs and by the soak of processes: status -15 and an empty log, and with a
    parent that ignored SIGTERM (seed 3) a daemon that ran for ever.
    """
    settings = tmp_path / "settings.toml"
    settings.write_text(SETTINGS)
    arguments = ["-m", "dotterelstand.process.main", str(settings)]
    with subprocess.Popen(
        [sys.executable, "-c", PARENT, action, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            assert process.stdout is not None and process.stderr is not None
            for line in process.stderr:
                if line.rpartition("|")[2].strip() == module:
                    break
            process.send_signal(number)
            # Reads until the end, so that the daemon is not blocked by a full pipe.
            threading.Thread(target=process.stderr.read, daemon=True).start()
            assert process.wait(STOP_LIMIT_S) == 0
            events = [json.loads(line) for line in process.stdout.read().splitlines()]
        finally:
            process.kill()
    assert [line["event"] for line in events] == [Event.DAEMON_STOPPED_EARLY]
    assert events[0]["message"] == Event.DAEMON_STOPPED_EARLY.name.lower()
    assert events[0]["signal"] == number
    assert events[0].keys() == {"level", "host", "event", "message", "clock_s", "signal", "time"}


# Stops itself right before the receiver of signals opens, or right before the event loop starts.
STOPPED_BEFORE_RECEIVER = """
import os, signal, sys
import trio
from dotterelstand.process import main

owner, name = (trio, sys.argv.pop(1))
original = getattr(owner, name)

def stop_and_call(*arguments):
    os.kill(os.getpid(), signal.SIGTERM)
    return original(*arguments)

setattr(owner, name, stop_and_call)
main.main()
"""


@pytest.mark.parametrize(
    ("name", "last"),
    [("run", Event.DAEMON_STOPPED_EARLY), ("open_signal_receiver", Event.DAEMON_STOPPED)],
)
def test_stop_before_signals_are_received_ends_the_daemon(
    name: str, last: Event, tmp_path: Path
) -> None:
    """Guards against a stop that is lost between the start's handler and that of the event loop."""
    settings = tmp_path / "settings.toml"
    settings.write_text(SETTINGS)
    command = [sys.executable, "-c", STOPPED_BEFORE_RECEIVER, name, str(settings)]
    result = subprocess.run(
        command, capture_output=True, text=True, timeout=STOP_LIMIT_S, check=False
    )
    assert result.returncode == 0, result.stderr
    events = [json.loads(line)["event"] for line in result.stdout.splitlines()]
    assert (events[0], events[-1]) == (Event.DAEMON_STOPPED_EARLY, last)


@pytest.mark.parametrize("reader", ["gone", "standing still"])
def test_stop_during_the_start_does_not_wait_for_the_reader(reader: str, tmp_path: Path) -> None:
    """Guards against a starting daemon that its log's reader keeps from ending with status 0."""
    settings = tmp_path / "settings.toml"
    settings.write_text(SETTINGS)
    read_end, write_end = os.pipe()
    if reader == "gone":
        os.close(read_end)
    else:
        os.set_blocking(write_end, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(write_end, b" " * 4096)
        os.set_blocking(write_end, True)
    command = [sys.executable, "-c", STOPPED_BEFORE_RECEIVER, "run", str(settings)]
    process = subprocess.run(
        command, stdout=write_end, stderr=subprocess.PIPE, timeout=STOP_LIMIT_S, check=False
    )
    assert process.returncode == 0, process.stderr


def test_stopped_process_ends_by_itself_under_further_signals(tmp_path: Path) -> None:
    """Guards against a SIGTERM that kills a daemon while its interpreter exits."""
    settings = tmp_path / "settings.toml"
    settings.write_text(SETTINGS)
    command = [sys.executable, "-m", "dotterelstand.process.main", str(settings)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            assert process.stdout is not None
            for line in process.stdout:
                if line.startswith("{") and json.loads(line)["event"] == Event.DAEMON_STARTED:
                    break
            while process.poll() is None:
                process.send_signal(signal.SIGTERM)
                time.sleep(0.0005)
            assert process.returncode == 0
        finally:
            process.kill()
