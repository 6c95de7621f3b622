"""Decides whether and when a call to the store may be made."""

import random
from enum import Enum, IntEnum


class Priority(IntEnum):
    """Importance of a store call; a lower number goes first."""

    JOURNAL = 0
    LEASE = 1
    DOCUMENT = 2
    HOSTS = 3


class Kind(Enum):
    """What a store call is charged to."""

    READ = "read"
    WRITE = "write"


class Breaker(Enum):
    """State of the circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"


class Run:
    """The call may be made now."""

    __slots__ = ("probe",)

    def __init__(self, probe: bool) -> None:
        self.probe = probe


class Wait:
    """The call may be asked for again after `seconds`."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds


class Deny:
    """The call must not be made; `reason` is for the error text."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class CallLimits:
    """Limits on the store calls of one host; rates in calls a second, times in seconds."""

    __slots__ = (
        "breaker_failures",
        "breaker_pause_s",
        "max_waiting",
        "read_burst",
        "reads_per_s",
        "writes_per_s",
    )

    def __init__(
        self,
        reads_per_s: float = 100.0,
        writes_per_s: float = 25.0,
        breaker_failures: int = 3,
        breaker_pause_s: float = 0.4,
        max_waiting: int = 64,
        read_burst: float = 0.0,
    ) -> None:
        self.reads_per_s = reads_per_s
        self.writes_per_s = writes_per_s
        self.breaker_failures = breaker_failures
        self.breaker_pause_s = breaker_pause_s
        self.max_waiting = max_waiting
        self.read_burst = read_burst


class CallFigures:
    """Counts since the start, and the state of the breaker."""

    __slots__ = ("breaker", "calls", "coalesced", "failed", "opened", "refused", "waited")

    def __init__(self) -> None:
        self.calls: dict[tuple[Kind, Priority], int] = {}
        self.refused: dict[Priority, int] = {}
        self.coalesced = 0
        self.waited = 0
        self.failed = 0
        self.opened = 0
        self.breaker = Breaker.CLOSED

    def total(self, kind: Kind) -> int:
        """Calls of a kind that were made."""
        return sum(count for (called, _), count in self.calls.items() if called is kind)


# Part of the burst that each priority leaves for those before it.
_RESERVE = {
    Priority.JOURNAL: 0.0,
    Priority.LEASE: 0.1,
    Priority.DOCUMENT: 0.3,
    Priority.HOSTS: 0.5,
}

# A rounding error of the bucket must not give a wait that the clock cannot resolve.
_SHORTEST_WAIT_S = 0.001

# Shortest pause before a probe; it doubles up to the limit.
_FIRST_PAUSE_S = 0.05


class CallBudget:
    """Token rates with priorities, and a circuit breaker with jittered probes."""

    __slots__ = (
        "_burst",
        "_failures",
        "_filled_at",
        "_limits",
        "_pause_s",
        "_probe_at",
        "_random",
        "_tokens",
        "_waiting",
        "figures",
    )

    def __init__(self, limits: CallLimits, now: float, rng: random.Random) -> None:
        self._limits = limits
        self._random = rng
        rates = {Kind.READ: limits.reads_per_s, Kind.WRITE: limits.writes_per_s}
        # Half a second of calls, and at least four, may follow each other without a pause.
        self._burst = {kind: max(4.0, rate / 2) for kind, rate in rates.items()}
        # The takeover of a full journal reads some 200 segments, which must not take seconds.
        self._burst[Kind.READ] = max(limits.read_burst, self._burst[Kind.READ])
        self._tokens = dict(self._burst)
        self._filled_at = now
        self._failures = 0
        self._pause_s = _FIRST_PAUSE_S
        self._probe_at = now
        self._waiting = 0
        self.figures = CallFigures()

    @property
    def available(self) -> bool:
        """Whether the last calls reached the store."""
        return self.figures.breaker is Breaker.CLOSED and self._failures == 0

    def request(
        self, now: float, kind: Kind, priority: Priority, may_probe: bool = True
    ) -> Run | Wait | Deny:
        """Whether a call may be made at time `now` (monotonic seconds).

        While the breaker is open only single probes pass; they do not wait for each other, since
        one that the store swallowed would else delay the next by a whole timeout.
        """
        if self.figures.breaker is Breaker.OPEN:
            if now < self._probe_at or not may_probe:
                return self._deny(priority, "the store does not answer")
            self._schedule_probe(now)
            self._count(kind, priority)
            return Run(probe=True)
        self._fill(now)
        floor = _RESERVE[priority] * self._burst[kind]
        if self._tokens[kind] >= floor + 1.0:
            self._tokens[kind] -= 1.0
            self._count(kind, priority)
            return Run(probe=False)
        missing = floor + 1.0 - self._tokens[kind]
        rate = self._limits.reads_per_s if kind is Kind.READ else self._limits.writes_per_s
        return Wait(max(_SHORTEST_WAIT_S, missing / rate * self._random.uniform(1.0, 1.25)))

    def start_wait(self, priority: Priority) -> Deny | None:
        """Register a call that waits for its turn; denied if too many wait."""
        if self._waiting >= self._limits.max_waiting:
            return self._deny(priority, "too many calls wait for the store")
        self._waiting += 1
        self.figures.waited += 1
        return None

    def end_wait(self) -> None:
        """Take a call off the waiting ones."""
        self._waiting -= 1

    def refuse(self, priority: Priority, reason: str) -> Deny:
        """Count a call that gave up its wait."""
        return self._deny(priority, reason)

    def succeeded(self, now: float) -> bool:
        """Note an answer of the store; true if the breaker closes with it."""
        closes = self.figures.breaker is not Breaker.CLOSED
        if closes:
            # An empty bucket makes the calls of all hosts come back at their rate, not at once.
            self._tokens = {kind: min(1.0, burst) for kind, burst in self._burst.items()}
            self._filled_at = now
        self._failures = 0
        self._pause_s = _FIRST_PAUSE_S
        self.figures.breaker = Breaker.CLOSED
        return closes

    def failed(self, now: float, probe: bool) -> bool:
        """Note a call without an answer; true if the breaker opens with it."""
        self.figures.failed += 1
        self._failures += 1
        closed = self.figures.breaker is Breaker.CLOSED
        if closed and self._failures < self._limits.breaker_failures:
            return False
        if not closed and not probe:
            return False
        self._pause_s = min(self._pause_s * 2, self._limits.breaker_pause_s)
        if closed:
            self.figures.breaker = Breaker.OPEN
            self.figures.opened += 1
            self._schedule_probe(now)
        return closed

    def joined(self) -> None:
        """Count a read that shared the answer of an identical one."""
        self.figures.coalesced += 1

    def _schedule_probe(self, now: float) -> None:
        self._probe_at = now + self._pause_s * self._random.uniform(0.5, 1.0)

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = now
        for kind, rate in (
            (Kind.READ, self._limits.reads_per_s),
            (Kind.WRITE, self._limits.writes_per_s),
        ):
            self._tokens[kind] = min(self._burst[kind], self._tokens[kind] + elapsed * rate)

    def _count(self, kind: Kind, priority: Priority) -> None:
        key = (kind, priority)
        self.figures.calls[key] = self.figures.calls.get(key, 0) + 1

    def _deny(self, priority: Priority, reason: str) -> Deny:
        self.figures.refused[priority] = self.figures.refused.get(priority, 0) + 1
        return Deny(reason)
