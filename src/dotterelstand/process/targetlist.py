"""Follows which targets the platform's host list shows as leaving."""

from typing import Protocol

TARGET_ROLE = "target"
LEAVING_STATE = "leaving"


class LeavingTargets(Protocol):
    """Takes note of targets that leave or return."""

    def target_leaving(self, target: str) -> None:
        """A target takes no new work from now on."""

    def target_returned(self, target: str) -> None:
        """A target that was leaving is live again."""


class TargetList:
    """Tells target selection about changes between two readings of the host list."""

    __slots__ = ("_leaving", "_selection")

    def __init__(self, selection: LeavingTargets) -> None:
        self._selection = selection
        self._leaving: frozenset[str] = frozenset()

    def read(self, entries: object) -> None:
        """Take a new host list; malformed entries are left out.

        A target that is in neither list is not touched, since the list lags.
        """
        leaving: set[str] = set()
        live: set[str] = set()
        for entry in entries if isinstance(entries, list) else []:
            if not isinstance(entry, dict) or entry.get("role") != TARGET_ROLE:
                continue
            name = entry.get("host")
            if isinstance(name, str) and name:
                (leaving if entry.get("state") == LEAVING_STATE else live).add(name)
        for name in sorted(leaving - self._leaving):
            self._selection.target_leaving(name)
        for name in sorted(self._leaving & live):
            self._selection.target_returned(name)
        self._leaving = frozenset((self._leaving | leaving) - live)
