"""Reloads the settings file when it changes or on a signal."""

from collections.abc import Callable
from pathlib import Path

import trio
from returns.pipeline import is_successful

from dotterelstand.events import Event, log
from dotterelstand.settings import Settings, load_settings

# Seconds between two checks of the file's modification time and size.
POLL_INTERVAL_S = 1.0

# Function that applies new settings; takes the changed keys, returns those that took effect.
ApplySettings = Callable[[Settings, list[str]], list[str]]


class SettingsFile:
    """The settings file of a running daemon; an invalid file is logged and ignored."""

    __slots__ = ("_file_state", "_path", "_reload_requested", "_settings")

    def __init__(self, path: Path, settings: Settings) -> None:
        self._path = path
        self._settings = settings
        self._file_state = self._read_file_state()
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
                self._file_state = file_state
                self._reload(apply)

    def _read_file_state(self) -> tuple[int, int] | None:
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
