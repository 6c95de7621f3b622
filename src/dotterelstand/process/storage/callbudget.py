"""Rate limits with priorities and a circuit breaker for calls to the store."""

import random
from enum import Enum, IntEnum


class Priority(IntEnum):
    """Priority of a store call; a lower number takes precedence."""

    JOURNAL = 0
    LEASE = 1
    DOCUMENT = 2
    HOSTS = 3


class Kind(Enum):
    """Kind of a store call; each kind has its own rate limit."""

    READ = "read"
    WRITE = "write"


class Breaker(Enum):
    """State of the circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"


class Run:
    """Decision to make the call now; `probe` is true while the breaker is open."""

    __slots__ = ("probe",)

    def __init__(self, probe: bool) -> None:
        self.probe = probe


class Wait:
    """Decision to wait for `seconds` and request the call again."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds


class Deny:
    """Decision not to make the call; `reason` is text for the error message."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class CallLimits:
    """Limits on the store calls of one host; rates in calls per second, times in seconds."""

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
    """Counters of store calls since the start, and the state of the breaker."""

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
        """Number of calls of a kind."""
        return sum(count for (call_kind, _), count in self.calls.items() if call_kind is kind)


# Share of the token bucket that each priority leaves to higher priorities.
_RESERVED_SHARE = {
    Priority.JOURNAL: 0.0,
    Priority.LEASE: 0.1,
    Priority.DOCUMENT: 0.3,
    Priority.HOSTS: 0.5,
}

# Minimum wait, since a rounding error could give a wait below the resolution of the clock.
_MIN_WAIT_S = 0.001

# The pause before a probe doubles from this value up to `breaker_pause_s`.
_MIN_PAUSE_S = 0.05


class CallBudget:
    """Token buckets with priorities, and a circuit breaker with jittered probes."""

    __slots__ = (
        "_bucket_sizes",
        "_consecutive_failures",
        "_limits",
        "_next_probe_at",
        "_probe_pause_s",
        "_refilled_at",
        "_rng",
        "_tokens",
        "_waiting_count",
        "figures",
    )

    def __init__(self, limits: CallLimits, now: float, rng: random.Random) -> None:
        self._limits = limits
        self._rng = rng
        rates = {Kind.READ: limits.reads_per_s, Kind.WRITE: limits.writes_per_s}
        # A bucket holds the tokens of half a second, and at least four.
        self._bucket_sizes = {kind: max(4.0, rate / 2) for kind, rate in rates.items()}
        # The takeover of a full journal reads about 200 segments, which must not take seconds.
        self._bucket_sizes[Kind.READ] = max(limits.read_burst, self._bucket_sizes[Kind.READ])
        self._tokens = dict(self._bucket_sizes)
        self._refilled_at = now
        self._consecutive_failures = 0
        self._probe_pause_s = _MIN_PAUSE_S
        self._next_probe_at = now
        self._waiting_count = 0
        self.figures = CallFigures()

    @property
    def available(self) -> bool:
        """Whether the breaker is closed and the last completed call succeeded."""
        return self.figures.breaker is Breaker.CLOSED and self._consecutive_failures == 0

    def request(
        self, now: float, kind: Kind, priority: Priority, may_probe: bool = True
    ) -> Run | Wait | Deny:
        """Decide whether a call may be made at `now` (monotonic seconds).

        While the breaker is open, only probes pass, one after each pause. A probe does not wait
        for the end of the previous one, because a lost answer would delay it by a whole timeout.
        """
        if self.figures.breaker is Breaker.OPEN:
            if now < self._next_probe_at or not may_probe:
                return self._deny(priority, "the store does not answer")
            self._schedule_probe(now)
            self._count_call(kind, priority)
            return Run(probe=True)
        self._refill(now)
        reserved = _RESERVED_SHARE[priority] * self._bucket_sizes[kind]
        if self._tokens[kind] >= reserved + 1.0:
            self._tokens[kind] -= 1.0
            self._count_call(kind, priority)
            return Run(probe=False)
        missing = reserved + 1.0 - self._tokens[kind]
        rate = self._limits.reads_per_s if kind is Kind.READ else self._limits.writes_per_s
        return Wait(max(_MIN_WAIT_S, missing / rate * self._rng.uniform(1.0, 1.25)))

    def add_waiting(self, priority: Priority) -> Deny | None:
        """Register a waiting call; denied if too many calls wait."""
        if self._waiting_count >= self._limits.max_waiting:
            return self._deny(priority, "too many calls wait for the store")
        self._waiting_count += 1
        self.figures.waited += 1
        return None

    def remove_waiting(self) -> None:
        """Unregister a waiting call."""
        self._waiting_count -= 1

    def abandon_wait(self, priority: Priority, reason: str) -> Deny:
        """Refuse a call whose wait would exceed its deadline."""
        return self._deny(priority, reason)

    def succeeded(self, now: float) -> bool:
        """Record an answer of the store; true if the breaker closes."""
        was_open = self.figures.breaker is not Breaker.CLOSED
        if was_open:
            # The buckets restart nearly empty, so that the hosts do not resume in a burst.
            self._tokens = {kind: min(1.0, size) for kind, size in self._bucket_sizes.items()}
            self._refilled_at = now
        self._consecutive_failures = 0
        self._probe_pause_s = _MIN_PAUSE_S
        self.figures.breaker = Breaker.CLOSED
        return was_open

    def failed(self, now: float, probe: bool) -> bool:
        """Record a call without an answer; true if the breaker opens."""
        self.figures.failed += 1
        self._consecutive_failures += 1
        was_closed = self.figures.breaker is Breaker.CLOSED
        if was_closed and self._consecutive_failures < self._limits.breaker_failures:
            return False
        if not was_closed and not probe:
            return False
        self._probe_pause_s = min(self._probe_pause_s * 2, self._limits.breaker_pause_s)
        if was_closed:
            self.figures.breaker = Breaker.OPEN
            self.figures.opened += 1
            self._schedule_probe(now)
        return was_closed

    def count_coalesced(self) -> None:
        """Count a read that shared the answer of an identical read."""
        self.figures.coalesced += 1

    def _schedule_probe(self, now: float) -> None:
        self._next_probe_at = now + self._probe_pause_s * self._rng.uniform(0.5, 1.0)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        for kind, rate in (
            (Kind.READ, self._limits.reads_per_s),
            (Kind.WRITE, self._limits.writes_per_s),
        ):
            self._tokens[kind] = min(self._bucket_sizes[kind], self._tokens[kind] + elapsed * rate)

    def _count_call(self, kind: Kind, priority: Priority) -> None:
        key = (kind, priority)
        self.figures.calls[key] = self.figures.calls.get(key, 0) + 1

    def _deny(self, priority: Priority, reason: str) -> Deny:
        self.figures.refused[priority] = self.figures.refused.get(priority, 0) + 1
        return Deny(reason)
