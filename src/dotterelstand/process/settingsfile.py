"""Reads the settings file at the start, and again when it changes or on a signal."""

import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Generic, TypeVar

import trio
from returns.pipeline import is_successful
from returns.result import Result

from dotterelstand.events import Event, log
from dotterelstand.settings import Settings, SettingsError, load_settings

# Seconds between two checks of the file's modification time and size.
POLL_INTERVAL_S = 1.0
# Seconds for which a file may be incomplete, because another program writes it, before it counts as
# it is.
WRITE_LIMIT_S = 1.0
# Seconds for which a file must be unchanged before its content counts as complete.
SETTLE_S = 0.1

# Modification time in ns and size in bytes; None if the file cannot be read.
FileState = tuple[int, int] | None
T = TypeVar("T")

# Function that applies new settings; takes the changed keys, returns those that took effect.
ApplySettings = Callable[[Settings, list[str]], list[str]]


class StartFile(Generic[T]):
    """Content of a settings file that is read at the start, in the program's own form.

    `state` is that of the file before it was read, `refusal` says why it was read again.
    """

    __slots__ = ("refusal", "result", "state")

    def __init__(self, result: Result[T, list[SettingsError]], state: FileState, refusal: str):
        self.result = result
        self.state = state
        self.refusal = refusal


def read_at_start(
    path: Path,
    load: Callable[[Path], Result[T, list[SettingsError]]],
    sleep: Callable[[float], None] = time.sleep,
    clock: Callable[[], float] = time.monotonic,
) -> StartFile[T]:
    """Read a file with `load`, again for `WRITE_LIMIT_S` at most while it may be being written.

    An empty file is valid, but it is also what a program that writes the file leaves for a moment.
    """
    limit = clock() + WRITE_LIMIT_S
    refusal = ""
    while True:
        state = _read_state(path)
        result = load(path)
        reason = _reason_to_read_again(result, state)
        if not reason or clock() >= limit:
            return StartFile(result, state, refusal)
        if not refusal:
            print(f"dotterelstandd: {reason}; the file is read again", file=sys.stderr, flush=True)
            refusal = reason
        sleep(SETTLE_S)


def _reason_to_read_again(result: Result[T, list[SettingsError]], state: FileState) -> str:
    if not is_successful(result):
        return str(result.failure()[0])
    return _incompleteness(state)


def _incompleteness(state: FileState) -> str:
    """Why a file in this state may be incomplete; empty if nothing says so."""
    if state is None or state[1] == 0:
        return "the settings file is empty"
    # A clock that was set back leaves a time in the future, which says nothing.
    if 0 <= time.time() - state[0] / 1e9 < SETTLE_S:
        return "the settings file has just changed"
    return ""


def _read_state(path: Path) -> FileState:
    try:
        status = path.stat()
    except OSError:
        # The caller reads the file as well and reports the error.
        return None
    return status.st_mtime_ns, status.st_size


class SettingsFile:
    """The settings file of a running daemon; an invalid file is logged and ignored."""

    __slots__ = ("_file_state", "_path", "_reload_requested", "_settings")

    def __init__(self, path: Path, settings: Settings, state: FileState = None) -> None:
        """Follow a file from the state in which it was read, by default from the present one."""
        self._path = path
        self._settings = settings
        self._file_state = state or self._read_file_state()
        self._reload_requested = trio.Event()

    def request_reload(self) -> None:
        """Request a reload, even if the file's modification time and size are unchanged."""
        self._file_state = None
        self._reload_requested.set()

    async def follow(self, apply: ApplySettings) -> None:
        """Reload the file after each change until cancelled."""
        while True:
            with trio.move_on_after(POLL_INTERVAL_S):
                await self._reload_requested.wait()
            self._reload_requested = trio.Event()
            file_state = self._read_file_state()
            if file_state != self._file_state:
                await self._await_complete()
                self._file_state = _read_state(self._path)
                self._reload(apply)

    async def _await_complete(self) -> None:
        """Wait for a program that writes the file, since a part of it may be valid by itself."""
        for _ in range(round(WRITE_LIMIT_S / SETTLE_S)):
            if not _incompleteness(_read_state(self._path)):
                return
            await trio.sleep(SETTLE_S)

    def _read_file_state(self) -> FileState:
        try:
            status = self._path.stat()
        except OSError as error:
            log(Event.SETTINGS_INVALID, errors=1, reason=str(error))
            return None
        return status.st_mtime_ns, status.st_size

    def _reload(self, apply: ApplySettings) -> None:
        result = load_settings(self._path)
        if not is_successful(result):
            errors = result.failure()
            log(Event.SETTINGS_INVALID, errors=len(errors), reason=str(errors[0]))
            return
        new = result.unwrap()
        changed = _changed_keys(self._settings, new)
        applied = apply(new, changed)
        self._settings = new
        later = [key for key in changed if key not in applied]
        log(Event.SETTINGS_RELOADED, applied=applied, at_next_start=later)


def _changed_keys(old: Settings, new: Settings) -> list[str]:
    before, after = old.as_dict(), new.as_dict()
    return [
        f"{section}.{key}"
        for section, keys in after.items()
        for key, value in keys.items()
        if before[section][key] != value
    ]
