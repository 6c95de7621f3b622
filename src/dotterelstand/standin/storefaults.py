"""Faults and call counts of the platform stand-in."""

import random
from typing import Any

from returns.result import Failure, Result, Success


class StoreFaults:
    """Active faults; times are in seconds, probabilities from 0 to 1, 0 or False disables a fault.

    down: connections are closed without an answer, and nothing takes effect.
    silent: calls are never answered, and nothing takes effect.
    slow_s, slow_spread: median and sigma of the log-normal delay of each answer.
    read_lag_s, watch_lag_s, hosts_lag_s: staleness of reads, watches and the host list.
    lose_answer: probability that a write takes effect and its answer is lost.
    lose_write: probability that a write is lost before it takes effect.
    late_write, late_write_s: probability that a write is delayed, and by how much; it takes effect
    even if the client has closed the connection by then.
    calls_per_s: rate above which calls are answered with 429; 0 means no limit.
    """

    __slots__ = (
        "calls_per_s",
        "down",
        "hosts_lag_s",
        "late_write",
        "late_write_s",
        "lose_answer",
        "lose_write",
        "read_lag_s",
        "silent",
        "slow_s",
        "slow_spread",
        "watch_lag_s",
    )

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Disable all faults."""
        self.down = False
        self.silent = False
        self.slow_s = self.slow_spread = 0.0
        self.read_lag_s = self.watch_lag_s = self.hosts_lag_s = 0.0
        self.lose_answer = self.lose_write = 0.0
        self.late_write = self.late_write_s = 0.0
        self.calls_per_s = 0.0

    def update(self, changes: dict[str, Any]) -> Result[None, str]:
        """Set faults by name; fails without a change if a name or value type is wrong."""
        for name, value in changes.items():
            if name not in self.__slots__:
                return Failure(f"{name}: not one of {', '.join(self.__slots__)}")
            is_flag = isinstance(getattr(self, name), bool)
            if is_flag != isinstance(value, bool) or not isinstance(value, bool | int | float):
                return Failure(
                    f"{name}: found {value!r}, needs a {'flag' if is_flag else 'number'}"
                )
        for name, value in changes.items():
            setattr(self, name, value)
        return Success(None)

    def as_dict(self) -> dict[str, Any]:
        """Return the values of all faults by name."""
        return {name: getattr(self, name) for name in self.__slots__}

    def delay_s(self, rng: random.Random) -> float:
        """Return a random delay of an answer in seconds, 0 if `slow_s` is 0."""
        if self.slow_s == 0:
            return 0.0
        return self.slow_s * rng.lognormvariate(0.0, self.slow_spread)


class CallCounts:
    """Number of calls by kind, bytes of values in and out, and the rate limit of calls.

    Each watch is counted as one call.
    """

    __slots__ = ("_refilled_at", "_tokens", "bytes_in", "bytes_out", "kinds", "limited")

    def __init__(self) -> None:
        self.kinds: dict[str, int] = {}
        self.limited = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self._tokens = 0.0
        self._refilled_at = 0.0

    def add(self, kind: str) -> None:
        """Count a call."""
        self.kinds[kind] = self.kinds.get(kind, 0) + 1

    def admit(self, now: float, calls_per_s: float) -> bool:
        """Whether the rate limit allows a call; a burst is `calls_per_s` / 10 calls, at least 1."""
        if calls_per_s <= 0:
            return True
        burst = max(1.0, calls_per_s / 10)
        self._tokens = min(burst, self._tokens + (now - self._refilled_at) * calls_per_s)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.limited += 1
            return False
        self._tokens -= 1.0
        return True

    def as_dict(self) -> dict[str, Any]:
        """Return all counts for JSON output."""
        return {
            "calls": dict(self.kinds),
            "limited": self.limited,
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
        }
