"""Decides when the targets of a service are probed; does no I/O and reads no clock."""

import math

from dotterelstand.version.model import Target

# Probes per call that a service may cause. Fewer calls need less knowledge of the targets.
PROBES_PER_CALL = 4.0
# Longest interval in seconds between two probes of a target, with and without calls. A report that
# a target is slow must not expire before the next probe while there are calls.
MAX_BUSY_INTERVAL_S = 0.4
MAX_IDLE_INTERVAL_S = 1.0
# Time constant in seconds of the average call rate.
RATE_WINDOW_S = 1.0
# Rate in calls per second below which a service counts as idle.
IDLE_RATE = 0.2
# Share of a probe by which rounding errors may delay it.
ROUNDING = 1e-6
# Shortest time in seconds between two steps, each of which starts all probes that are due.
STEP_S = 0.02


class ProbeSchedule:
    """Schedule of one service's probes, which visits the targets in turn.

    The interval between two probes of a target is at least `min_interval_s` seconds and grows as
    the service gets fewer calls.
    """

    __slots__ = ("_calls", "_credit", "_min_interval_s", "_next_target", "_rate", "_stepped_at")

    def __init__(self, min_interval_s: float, calls: int, now: float) -> None:
        self._min_interval_s = min_interval_s
        self._calls = calls
        self._rate = 0.0
        self._stepped_at = now
        # Number of probes that are due; each whole one is started in the next step.
        self._credit = 0.0
        self._next_target = 0

    def interval_s(self, targets: int) -> float:
        """Seconds between two probes of each of `targets` targets."""
        if self._rate < IDLE_RATE:
            return max(self._min_interval_s, MAX_IDLE_INTERVAL_S)
        enough_s = targets / (PROBES_PER_CALL * self._rate)
        return max(self._min_interval_s, min(MAX_BUSY_INTERVAL_S, enough_s))

    def make_due(self) -> None:
        """Let the next step start a probe of every target."""
        self._credit = math.inf

    def step(self, targets: list[Target], calls: int, now: float) -> list[Target]:
        """Targets to probe at `now`; `calls` is the number of the service's calls so far."""
        elapsed_s = now - self._stepped_at
        self._stepped_at = now
        # A service that is no longer in use starts again at 0 calls.
        arrived = max(0, calls - self._calls)
        self._calls = calls
        self._rate = self._rate * math.exp(-elapsed_s / RATE_WINDOW_S) + arrived / RATE_WINDOW_S
        if not targets:
            return []
        count = len(targets)
        self._credit = min(count, self._credit + elapsed_s * count / self.interval_s(count))
        due = int(self._credit + ROUNDING)
        self._credit = max(0.0, self._credit - due)
        start = self._next_target
        self._next_target = (start + due) % count
        return [targets[(start + offset) % count] for offset in range(due)]

    def next_step_at(self, targets: int, now: float) -> float:
        """Time in seconds of the next step, at which a probe is due; infinite without targets."""
        if not targets:
            return math.inf
        return now + max(STEP_S, (1 - self._credit) * self.interval_s(targets) / targets)
