"""Health and occupancy of one target as seen by one entry host."""

import math
from enum import Enum

# Weight of the newest outcome in the share of rejected requests; three rejections in a row make a
# target count as rejecting.
REJECTION_WEIGHT = 0.25
# Share of rejected requests from which a target counts as rejecting. A rejection costs a round trip
# and a retry, so such a target is used only while no other has a free slot.
REJECTING_THRESHOLD = 0.3
# Seconds after its last rejection after which a target gets requests again, which shows whether it
# still rejects them; twice as long each time that it does, up to the maximum.
REJECTING_MIN_S = 1.0
REJECTING_MAX_S = 4.0
# Share to which a target returns after that time. The next rejection exceeds the threshold again.
RETURN_REJECTION_RATE = 0.25
# Share below which the target is no longer known to have rejected requests.
FORGOTTEN_REJECTION_RATE = 0.05
# Share above which the rank does not get worse.
MAX_REJECTION_RATE = 0.9
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
    REJECTING_ENDS = 5


class TargetHealth:
    """State of one target; `allowance` is the number of its slots that may be used now.

    `slowdown` is the factor by which work takes longer than usual. A slow target counts as normal
    again at `slow_until`. `rejection_rate` is the recent share of requests that the target rejected
    without running them; it is reduced at `rejecting_until`, `rejecting_s` seconds after the last
    rejection. A `cold` target is `withheld` from this host, or `paused` until it may get its next
    request (see `Warmup`).
    """

    __slots__ = (
        "allowance",
        "cold",
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
        "paused",
        "probation",
        "rejecting_s",
        "rejecting_until",
        "rejection_rate",
        "reported_at",
        "slots",
        "slow_until",
        "slowdown",
        "successes",
        "withheld",
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
        self.rejection_rate = 0.0
        self.rejecting_s = 0.0
        self.rejecting_until = -math.inf
        self.cold = False
        self.withheld = False
        self.paused = False

    @property
    def slow(self) -> bool:
        """Whether work takes at least `SLOW_THRESHOLD` times as long as usual."""
        return self.slowdown >= SLOW_THRESHOLD

    @property
    def rejecting(self) -> bool:
        """Whether the target rejects a share of at least `REJECTING_THRESHOLD` of its requests."""
        return self.rejection_rate >= REJECTING_THRESHOLD

    @property
    def impaired(self) -> bool:
        """Whether another target serves a request better if one has a free slot."""
        return self.slow or self.rejecting

    @property
    def penalty(self) -> float:
        """Additional occupancy, as a share of all slots, with which the target is ranked."""
        penalty = self.slowdown - 1 if self.slow else 0.0
        if self.rejecting:
            # Expected number of further attempts of a request that is sent to this target.
            penalty += self.rejection_rate / (1 - min(self.rejection_rate, MAX_REJECTION_RATE))
        return penalty

    def record_rejection(self, rejected: bool, now: float) -> None:
        """Update the share of rejected requests with an outcome."""
        was_rejecting = self.rejecting
        self.rejection_rate += REJECTION_WEIGHT * (rejected - self.rejection_rate)
        if rejected:
            if self.rejecting and not was_rejecting:
                self.rejecting_s = min(REJECTING_MAX_S, 2 * self.rejecting_s) or REJECTING_MIN_S
            self.rejecting_until = now + (self.rejecting_s or REJECTING_MIN_S)
        elif self.rejection_rate < FORGOTTEN_REJECTION_RATE:
            self.rejection_rate = self.rejecting_s = 0.0

    def end_rejecting(self) -> None:
        """Let a target that rejected requests get some again."""
        self.rejection_rate = min(self.rejection_rate, RETURN_REJECTION_RATE)

    @property
    def usable(self) -> bool:
        """Whether the target may receive new work."""
        return not self.leaving and not self.withheld and self.ejected_until is None

    def make_cold(self) -> None:
        """Reduce the target to one slot; successes add slots again."""
        self.allowance = 1
        self.successes = 0

    def add_slot(self) -> None:
        """Let a cold target use one more slot."""
        self.allowance += 1

    def return_cold(self) -> None:
        """Let a leaving target take new work again, starting with one slot."""
        self.leaving = False
        self.make_cold()

    def set_cold(self, withheld: bool, paused: bool) -> None:
        """Mark the target as cold."""
        self.cold, self.withheld, self.paused = True, withheld, paused

    def set_warm(self) -> None:
        """Mark the target as warm."""
        self.cold = self.withheld = self.paused = False

    def return_warm(self) -> None:
        """Mark a cold target as warm, starting with one slot."""
        self.set_warm()
        self.make_cold()

    def end_ejection(self, now: float) -> None:
        """Put an ejected target back in use on probation, starting with one slot."""
        self.ejected_until = None
        self.ejection_ended_at = now
        self.probation = True
        self.failure_rate = 0.0
        self.duration_s = 0.0
        self.make_cold()
