"""Discrete-event scheduler with a virtual clock."""

import heapq
from collections.abc import Callable


class Engine:
    """Runs scheduled calls in order of time, and calls of the same time in order of scheduling."""

    __slots__ = ("_events", "_sequence", "now")

    def __init__(self) -> None:
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._sequence = 0
        self.now = 0.0

    def schedule_at(self, time: float, call: Callable[..., None], *args: object) -> None:
        """Schedule `call(*args)` at a virtual time, in seconds."""
        assert time >= self.now, "an event was scheduled in the past"
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, call, args))

    def schedule_after(self, delay_s: float, call: Callable[..., None], *args: object) -> None:
        """Schedule `call(*args)` after a delay in seconds."""
        self.schedule_at(self.now + delay_s, call, *args)

    def run(self, finished: Callable[[], bool]) -> None:
        """Run events until `finished()` or until none are left."""
        while self._events and not finished():
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
