"""Tracks leaving targets, reported by answers, health probes, the host list or other hosts."""

from collections.abc import Callable
from typing import Protocol

from dotterelstand.connection.wire import TargetLeaving
from dotterelstand.process.peering.mesh import Mesh

TARGET_ROLE = "target"
LEAVING_STATE = "leaving"
MAX_REPORTED_TARGETS = 3000


class LeavingTargetListener(Protocol):
    """Listener for targets that leave or return."""

    def target_leaving(self, target: str, incarnation: int = 0) -> None:
        """Give a target no new work and tell the other entry hosts; 0 is any incarnation."""

    def target_returned(self, target: str) -> None:
        """Let a leaving target take new work again."""


class LeavingTargetTracker:
    """Notifies target selection of leaving and returning targets.

    The host list lags behind. So a target that another source reported as leaving returns only when
    the list shows it as live at least `return_after_s` seconds after the last such report.
    """

    __slots__ = ("_leaving", "_now", "_reported", "_return_after_s", "_selection")

    def __init__(
        self,
        selection: LeavingTargetListener,
        mesh: Mesh,
        return_after_s: float,
        now: Callable[[], float],
    ) -> None:
        self._selection = selection
        self._return_after_s = return_after_s
        self._now = now
        self._leaving: frozenset[str] = frozenset()
        self._reported: dict[str, float] = {}
        mesh.subscribe(TargetLeaving, self._on_leaving)

    def target_leaving(self, target: str, incarnation: int = 0) -> None:
        """Record that a target reported itself as leaving in an answer or a health probe."""
        self._record_report(target)
        self._selection.target_leaving(target, incarnation)

    def apply_host_list(self, entries: object) -> None:
        """Apply a new host list; skips malformed entries.

        A target that is absent from the list keeps its state, because the list lags.
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
            self._mark_returned(name)
        self._leaving = frozenset((self._leaving | leaving) - live)
        limit = self._now() - self._return_after_s
        for name in [name for name, at in self._reported.items() if at <= limit and name in live]:
            self._mark_returned(name)

    def _on_leaving(self, sender: str, message: TargetLeaving) -> None:
        self._record_report(message.target)

    def _record_report(self, target: str) -> None:
        while len(self._reported) >= MAX_REPORTED_TARGETS:
            del self._reported[next(iter(self._reported))]
        self._reported[target] = self._now()

    def _mark_returned(self, target: str) -> None:
        self._reported.pop(target, None)
        self._selection.target_returned(target)
