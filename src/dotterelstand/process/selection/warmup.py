"""Limits the rate of requests to targets that have just started; does no I/O, reads no clock."""

import heapq
from collections.abc import Callable

from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.selection.targethealth import TargetHealth
from dotterelstand.version.model import Service, Target

# Share of a service's `warmup_per_s` that one dispatcher uses. Two hosts may consider themselves
# the dispatcher for a while, and a target tolerates 1.5 times the rate.
PACED_SHARE = 0.75
# Number of requests that may be sent in immediate succession.
BURST = 2
# Seconds without a call after which a dispatcher starts again with empty buckets, because another
# host may have dispatched the service in the meantime.
IDLE_RESTART_S = 1.0


class WarmupLimit:
    """Treatment of the cold targets of one table.

    `paces` is None if the table's targets are never used while they are cold, otherwise whether
    this host is currently allowed to use them. `per_s` is `Service.warmup_per_s`.
    """

    __slots__ = ("paces", "per_s")

    def __init__(self, per_s: float = 0.0, paces: bool | None = None) -> None:
        self.per_s = per_s
        self.paces = paces


class _ColdTarget:
    """When a target is warm, and the time at which its bucket was or would have been empty."""

    __slots__ = ("empty_at", "until")

    def __init__(self, until: float, empty_at: float) -> None:
        self.until = until
        self.empty_at = empty_at


class Warmup:
    """Cold targets of one health table; times in seconds.

    A cold target is withheld, or gets requests at a limited rate while `limit.paces`. `update`
    applies a change to the target at a position. Without a rate limit no target is cold.
    """

    __slots__ = (
        "_called_at",
        "_cold",
        "_interval_s",
        "_listed_s",
        "_paces",
        "_positions",
        "_reported",
        "_targets",
        "_timers",
        "_undated",
        "_update",
    )

    def __init__(
        self,
        listed: list[Target],
        targets: list[TargetHealth],
        limit: WarmupLimit,
        update: Callable[[int, Callable[[TargetHealth], None]], None],
    ) -> None:
        self._targets = targets
        self._update = update
        self._paces = limit.paces
        # Seconds between two requests to a cold target, 0 if no target is cold.
        self._interval_s = 1 / (PACED_SHARE * limit.per_s) if limit.per_s > 0 else 0.0
        self._positions = {target.name: index for index, target in enumerate(targets)}
        self._listed_s = [target.warmup_s for target in listed]
        self._cold: dict[int, _ColdTarget] = {}
        # Remaining warm-up times that begin at the next `advance`, by position.
        self._undated: dict[int, float] = {}
        # Heap of the times at which a bucket gets a token or a target is warm, with the position.
        self._timers: list[tuple[float, int]] = []
        # Positions of the targets whose last report said that they are cold.
        self._reported: set[int] = set()
        self._called_at = float("-inf")
        for position, seconds in enumerate(self._listed_s):
            if seconds > 0 and self._interval_s:
                self._undated[position] = seconds
                self._pause(targets[position])

    @property
    def paced_per_s(self) -> float:
        """Requests per second that all usable cold targets may get together."""
        if not self._cold:
            return 0.0
        return sum(self._targets[position].usable for position in self._cold) / self._interval_s

    def advance(self, now: float) -> None:
        """Process the timers that are due at `now`."""
        while self._undated:
            position, seconds = self._undated.popitem()
            self._mark(position, now + seconds, now)
        while self._timers and self._timers[0][0] <= now:
            _, position = heapq.heappop(self._timers)
            cold = self._cold.get(position)
            if cold is None:
                continue
            if cold.until <= now:
                self._end(position)
            else:
                self._refresh(position, cold, now)

    def next_timer(self) -> float | None:
        """Time of the next timer in seconds, or None."""
        return self._timers[0][0] if self._timers else None

    def report(self, reporter: Target, remaining_s: float, now: float) -> bool:
        """Record a target's remaining warm-up time; True if its report turned cold or warm.

        A report of another incarnation than the one in use is ignored.
        """
        position = self._positions.get(reporter.name)
        if not self._interval_s or position is None:
            return False
        if self._targets[position].incarnation != reporter.incarnation:
            return False
        was_cold = position in self._cold or position in self._undated
        was_reported = position in self._reported
        self._undated.pop(position, None)
        if remaining_s > 0:
            self._reported.add(position)
            self._mark(position, now + remaining_s, now)
        else:
            self._reported.discard(position)
            if was_cold:
                self._end(position)
        return was_reported != (remaining_s > 0)

    def begin_call(self, now: float) -> None:
        """Empty the buckets if this host has not dispatched a call recently."""
        if now - self._called_at > IDLE_RESTART_S:
            self._empty_buckets(now)
        self._called_at = now

    def spend(self, position: int, now: float) -> None:
        """Take the token of a request to a target, if that is cold."""
        cold = self._cold.get(position)
        if cold is not None:
            full_at = now - BURST * self._interval_s
            cold.empty_at = max(cold.empty_at, full_at) + self._interval_s
            self._refresh(position, cold, now)

    def set_paces(self, paces: bool, now: float) -> None:
        """Set whether this host may use cold targets, unless the table never does."""
        if self._paces is not None and self._paces != paces:
            self._paces = paces
            self._empty_buckets(now)

    def copy_state(self, old: "Warmup") -> None:
        """Copy the state of targets with the same names and incarnations.

        A target whose listed warm-up time grew has turned cold again.
        """
        self._called_at = old._called_at
        if self._paces is not None and old._paces is not None:
            self._paces = old._paces
        for position, target in enumerate(self._targets):
            before = old._positions.get(target.name)
            if before is None or old._targets[before].incarnation != target.incarnation:
                continue
            if before in old._reported:
                self._reported.add(position)
            known = self._interval_s and old._interval_s
            if not known or self._listed_s[position] > old._listed_s[before]:
                continue
            self._undated.pop(position, None)
            if before in old._undated:
                self._undated[position] = old._undated[before]
            cold = old._cold.get(before)
            if cold is not None:
                self._cold[position] = cold
                # The first timer is due at once and schedules the next.
                heapq.heappush(self._timers, (cold.empty_at, position))
                heapq.heappush(self._timers, (cold.until, position))
            if cold is not None or position in self._undated:
                self._update(position, self._pause)
            elif target.cold:
                self._update(position, TargetHealth.set_warm)

    def _pause(self, target: TargetHealth) -> None:
        target.set_cold(not self._paces, True)

    def _mark(self, position: int, until: float, now: float) -> None:
        cold = self._cold.get(position)
        if cold is None:
            cold = self._cold[position] = _ColdTarget(until, now)
        cold.until = until
        heapq.heappush(self._timers, (until, position))
        self._refresh(position, cold, now)

    def _end(self, position: int) -> None:
        """Give a target that is warm now all requests again, beginning with one slot."""
        self._cold.pop(position, None)
        self._update(position, TargetHealth.return_warm)

    def _empty_buckets(self, now: float) -> None:
        for position, cold in self._cold.items():
            cold.empty_at = now
            self._refresh(position, cold, now)

    def _refresh(self, position: int, cold: _ColdTarget, now: float) -> None:
        """Update whether a cold target may get a request now, and schedule its next token."""
        target = self._targets[position]
        token_at = cold.empty_at + self._interval_s
        withheld, paused = not self._paces, now < token_at
        if (target.cold, target.withheld, target.paused) != (True, withheld, paused):
            self._update(position, lambda target: target.set_cold(withheld, paused))
        if paused and not withheld:
            heapq.heappush(self._timers, (token_at, position))


def paces_cold_targets(members: tuple[Member, ...], host: str) -> bool:
    """Whether a host may use cold targets as a dispatcher: a hub that has a link to another host.

    Hosts without any link all consider themselves the dispatcher, and together would exceed the
    rate that a cold target tolerates.
    """
    return len(members) > 1 and any(member.hub and member.host == host for member in members)


def limit_of(service: Service, paces: bool | None) -> WarmupLimit:
    """Limit for the targets of a service; `paces` as in `WarmupLimit`."""
    return WarmupLimit(service.warmup_per_s, paces)
