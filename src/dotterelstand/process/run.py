"""Runs one entry daemon from its settings file until it is stopped."""

import gc
import random
import signal
import sys
from pathlib import Path
from typing import NoReturn

import trio
from returns.pipeline import is_successful
from returns.result import Result

from dotterelstand.connection.network import PortError, TcpNetwork
from dotterelstand.connection.tls import Certificates, load_certificates
from dotterelstand.events import Event, log
from dotterelstand.exits import ExitCode
from dotterelstand.logoutput import LogOutput, use_json_lines
from dotterelstand.process.daemon import Daemon
from dotterelstand.process.settingsfile import SettingsFile, read_at_start
from dotterelstand.process.telemetry.invariant import leaf_errors, log_fault
from dotterelstand.settings import Settings, SettingsError, load_settings

# Number of new objects after which the garbage collector collects the youngest generation.
GEN0_THRESHOLD = 10_000


# File descriptor that log lines are written to.
STDOUT_FD = 1
# Signals that stop a daemon gracefully.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_daemon(settings: str) -> None:
    """Run one entry daemon with a TOML settings file."""
    path = Path(settings)
    start = read_at_start(path, _load)
    if not is_successful(start.result):
        _exit_invalid_settings(start.result.failure())
    loaded, certificates = start.result.unwrap()
    output = LogOutput(
        STDOUT_FD,
        loaded.integer("logs", "max_buffered_bytes"),
        loaded.integer("logs", "max_lines_per_s"),
    )
    use_json_lines(output, loaded.text("host", "name"))
    if start.refusal:
        log(Event.SETTINGS_READ_AGAIN, reason=start.refusal)
    try:
        trio.run(_serve, SettingsFile(path, loaded, start.state), loaded, certificates, output)
    except* PortError as group:
        for error in leaf_errors(group):
            print(f"dotterelstandd: {error}", file=sys.stderr)
        sys.exit(ExitCode.PORT_UNAVAILABLE)
    except* Exception as group:
        log_fault("daemon", leaf_errors(group))
        raise
    finally:
        for number in STOP_SIGNALS:
            # The interpreter would restore the default action, which kills, before it exits.
            signal.signal(number, signal.SIG_IGN)
        output.write_pending()


def _load(path: Path) -> Result[tuple[Settings, Certificates], list[SettingsError]]:
    settings = load_settings(path)
    return settings.bind(
        lambda loaded: load_certificates(loaded).map(lambda certificates: (loaded, certificates))
    )


def _exit_invalid_settings(errors: list[SettingsError]) -> NoReturn:
    for error in errors:
        print(error, file=sys.stderr)
    sys.exit(ExitCode.SETTINGS_INVALID)


async def _serve(
    file: SettingsFile, settings: Settings, certificates: Certificates, output: LogOutput
) -> None:
    _tune_garbage_collector()
    daemon = Daemon(settings, TcpNetwork(), random.Random(), certificates)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(output.run)
        # Nothing is opened before signals are received; until then a stop ends the process at once.
        await nursery.start(_handle_signals, daemon, file)
        nursery.start_soon(file.follow, daemon.reload)
        await daemon.run()
        nursery.cancel_scope.cancel()


def _tune_garbage_collector() -> None:
    """Make full garbage collections rare, since they delay requests.

    Reference counting frees nearly all objects of a request; only a few are in
    reference cycles and need the collector.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GEN0_THRESHOLD, 20, 50)


async def _handle_signals(
    daemon: Daemon,
    file: SettingsFile,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Stop or reload the daemon on signals, until cancelled.

    Later ones, while the process ends, have no effect: their default action would end it before
    its last log lines are written, and with another exit status.
    """
    early: list[int] = []
    for number in STOP_SIGNALS:
        # The receiver restores this handler when it ends.
        signal.signal(number, lambda number, frame: early.append(number))
    with trio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
        if early:
            log(Event.DAEMON_STOPPED_EARLY, signal=early[0])
            daemon.stop()
        task_status.started()
        async for received in signals:
            if received == signal.SIGHUP:
                file.request_reload()
            else:
                daemon.stop()
