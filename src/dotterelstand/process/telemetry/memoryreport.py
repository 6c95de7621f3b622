"""Counts and logs the connections that are refused for lack of memory."""

import math
from collections.abc import Callable

from dotterelstand.connection.memorybudget import Stage
from dotterelstand.events import Event, log
from dotterelstand.request.interfaces import Counters

# Least time in seconds between two log lines.
LINE_INTERVAL_S = 1.0


class RefusalReport:
    """Receiver of refusals; the first one is logged at once, later ones together."""

    __slots__ = ("_clock", "_connections", "_counters", "_held_bytes", "_logged_s")

    def __init__(self, counters: Counters, clock: Callable[[], float]) -> None:
        self._counters = counters
        self._clock = clock
        self._connections = self._held_bytes = 0
        self._logged_s = -math.inf

    def __call__(self, stage: Stage, held_bytes: int) -> None:
        """Count one connection, its stage and the number of bytes that it held."""
        self._counters.count(f"callers.memory_refused.{stage.name.lower()}")
        self._connections += 1
        self._held_bytes += held_bytes
        now = self._clock()
        if now - self._logged_s >= LINE_INTERVAL_S:
            log(Event.MEMORY_FULL, connections=self._connections, held_bytes=self._held_bytes)
            self._connections = self._held_bytes = 0
            self._logged_s = now
