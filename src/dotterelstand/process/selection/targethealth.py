"""Health and occupancy of one target as seen by one entry host."""

import math
from enum import Enum

# Slowdown from which a target counts as slow: work takes at least twice the usual time.
SLOW_THRESHOLD = 2.0


class HealthChange:
    """Ejection of a target for `seconds`; None for the end of an ejection."""

    __slots__ = ("seconds", "target")

    def __init__(self, target: str, seconds: float | None) -> None:
        self.target = target
        self.seconds = seconds


class TimerKind(Enum):
    """Kinds of timers of a target."""

    EJECTION_ENDS = 1
    HOLD_ENDS = 2
    SLOWNESS_ENDS = 3
    OTHERS_FORGOTTEN = 4


class TargetHealth:
    """State of one target; `allowance` is the number of its slots that may be used now.

    `slowdown` is the factor by which work takes longer than usual. A slow target counts as normal
    again at `slow_until`.
    """

    __slots__ = (
        "allowance",
        "duration_s",
        "ejected_until",
        "ejection_ended_at",
        "ejections",
        "excess_requests",
        "failure_rate",
        "in_flight",
        "incarnation",
        "leaving",
        "name",
        "other_requests",
        "probation",
        "reported_at",
        "slots",
        "slow_until",
        "slowdown",
        "successes",
    )

    def __init__(self, name: str, slots: int, incarnation: int = 0) -> None:
        self.incarnation = incarnation
        self.name = name
        self.slots = slots
        self.allowance = slots
        self.in_flight = 0
        self.failure_rate = 0.0
        self.duration_s = 0.0
        self.ejections = 0
        self.ejected_until: float | None = None
        self.ejection_ended_at = 0.0
        self.probation = False
        self.leaving = False
        self.successes = 0
        self.excess_requests = 0.0
        self.reported_at = 0.0
        # Last reported number of requests at the target that this host did not send.
        self.other_requests = 0
        self.slowdown = 1.0
        self.slow_until = -math.inf

    @property
    def slow(self) -> bool:
        """Whether work takes at least `SLOW_THRESHOLD` times as long as usual."""
        return self.slowdown >= SLOW_THRESHOLD

    @property
    def usable(self) -> bool:
        """Whether the target may receive new work."""
        return not self.leaving and self.ejected_until is None

    def make_cold(self) -> None:
        """Reduce the target to one slot; successes add slots again."""
        self.allowance = 1
        self.successes = 0
