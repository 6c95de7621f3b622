"""Health of one service's targets, derived from the outcomes of requests and from load reports."""

import heapq
import math
from collections import deque
from collections.abc import Set as AbstractSet

from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.selection.slotindex import NO_TARGETS, SlotIndex
from dotterelstand.process.selection.targethealth import HealthChange, TargetHealth, TimerKind
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.process.selection.warmup import Warmup, WarmupLimit
from dotterelstand.request.fields import LoadReport
from dotterelstand.version.model import Target

# Weight of the newest outcome in the failure rate; three failures in a row exceed a bound of 0.5.
FAILURE_WEIGHT = 0.25
# Weight of the newest duration in a target's mean. A target ten times slower than typical is
# detected after about ten answers. A target that a noisy neighbour makes three times slower for
# 20 ms stays below the slow factor.
DURATION_WEIGHT = 0.05
# Durations are capped at this multiple of the typical duration, so that a single long call cannot
# eject its target.
MAX_DURATION_MULTIPLE = 20.0
TYPICAL_DURATION_WEIGHT = 0.01
INITIAL_TYPICAL_DURATION_S = 0.005
# Number of successful answers before slow targets are ejected. With fewer, the typical duration is
# too uncertain: one short first answer led to the ejection of healthy targets.
MIN_DURATION_SAMPLES = 100
# Half-life in seconds of a reported load, about twice the duration of a lookup request.
REPORT_HALF_LIFE_S = 0.01
OTHER_REQUESTS_WEIGHT = 0.02
# Seconds for which a report of a slow target is valid; the load of other processes on the target's
# host changes several times a second.
SLOW_REPORT_TTL_S = 0.5
# Seconds for which a target's reported number of requests from other hosts is valid.
OTHER_REQUESTS_TTL_S = 0.3
# A target's ejection count is reset when this multiple of its last ejection period has passed
# without another ejection.
EJECTION_RESET_MULTIPLE = 10.0


# Maximum number of health changes that wait to be logged; beyond it, the oldest are dropped.
MAX_CHANGES = 64


class HealthTable:
    """Tracks health and occupancy of one service's targets, with ejection and slow start.

    Outcomes of requests lower and raise a target's rank; load reports and health probes only
    lower it. A `remote` table holds targets of other regions and uses at most half of their slots,
    because those regions' dispatchers do not see these calls.
    """

    __slots__ = (
        "_duration_samples",
        "_ejected",
        "_lookahead_per_slot",
        "_mean_other_requests",
        "_timers",
        "_tuning",
        "_zones",
        "changes",
        "ejections",
        "index",
        "targets",
        "total_allowance",
        "typical_s",
        "usable_count",
        "warmup",
    )

    def __init__(
        self,
        targets: list[Target],
        tuning: SelectionTuning,
        *,
        remote: bool = False,
        limit: WarmupLimit | None = None,
    ) -> None:
        self._tuning = tuning
        self._lookahead_per_slot = 0.0 if remote else tuning.lookahead_per_slot
        self.targets = [
            TargetHealth(
                target.name,
                max(1, target.slots // 2) if remote else target.slots,
                target.incarnation,
            )
            for target in targets
        ]
        self.index = SlotIndex()
        self._zones: dict[str, set[int]] = {}
        for position, item in enumerate(targets):
            self._zones.setdefault(item.availability_zone, set()).add(position)
        # Heap of pending timers, as (time, position, value of the `TimerKind`).
        self._timers: list[tuple[float, int, int]] = []
        self._ejected = 0
        self.usable_count = self.total_allowance = 0
        self.typical_s = INITIAL_TYPICAL_DURATION_S
        self._duration_samples = 0
        self._mean_other_requests = 0.0
        self.ejections = 0
        self.changes: deque[HealthChange] = deque(maxlen=MAX_CHANGES)
        self.warmup = Warmup(targets, self.targets, limit or WarmupLimit(), self._update_target)
        for position, health in enumerate(self.targets):
            self._add_to_totals(health, 1)
            self._update_index(position)

    @property
    def impaired_count(self) -> int:
        """Number of usable targets that are slow or reject many requests."""
        return sum(1 for target in self.targets if target.impaired and target.usable)

    @property
    def rejecting_count(self) -> int:
        """Number of usable targets that reject many requests."""
        return sum(1 for target in self.targets if target.rejecting and target.usable)

    def in_zone(self, zone: str) -> AbstractSet[int]:
        """Positions of the targets in an availability zone."""
        return self._zones.get(zone, NO_TARGETS)

    def start(self, position: int) -> None:
        """Count an attempt as in flight at a target."""
        self.targets[position].in_flight += 1
        self._update_index(position)

    def finish(self, position: int, outcome: AttemptOutcome, duration_s: float, now: float) -> None:
        """Count the end of an attempt and update the target's health from its outcome."""
        target = self.targets[position]
        if (
            outcome.is_failure
            and duration_s < self.typical_s
            and target.usable
            and not target.rejecting
        ):
            # A fast failure occupies its slot for the typical duration, so that a target which
            # fails requests does not look idle. A target that is known to reject requests is ranked
            # last instead, and its free slots serve what the others have no room for.
            heapq.heappush(
                self._timers,
                (now + self.typical_s - duration_s, position, TimerKind.HOLD_ENDS.value),
            )
        else:
            target.in_flight -= 1
        assert target.in_flight >= 0, "more attempts ended than started"
        if outcome is AttemptOutcome.OK:
            target.record_rejection(False, now)
            self._record_success(position, duration_s, now)
        elif outcome is AttemptOutcome.REFUSED:
            # The target is alive and told at once that it did not run the request.
            target.record_rejection(True, now)
            timer = (target.rejecting_until, position, TimerKind.REJECTING_ENDS.value)
            heapq.heappush(self._timers, timer)
        elif outcome.is_failure:
            self._record_failure(position, now)
        self._update_index(position)

    def record_load(self, position: int, report: LoadReport, now: float) -> None:
        """Record a load report of a target.

        Requests from other hosts count as load only in excess of their mean per slot. A target
        without a recent report is assumed to be at the mean. So a report at or below the mean makes
        a target look neither less nor more loaded than one without a report.
        """
        target = self.targets[position]
        other_per_slot = max(0, report.requests - target.in_flight) / target.slots
        self._mean_other_requests += OTHER_REQUESTS_WEIGHT * (
            other_per_slot - self._mean_other_requests
        )
        target.excess_requests = max(0.0, other_per_slot - self._mean_other_requests) * target.slots
        target.reported_at = now
        other_requests = max(0, report.requests - target.in_flight)
        if other_requests != target.other_requests:
            target.other_requests = other_requests
            self._update_index(position)
        if other_requests:
            expires_at = now + OTHER_REQUESTS_TTL_S
            heapq.heappush(self._timers, (expires_at, position, TimerKind.OTHERS_FORGOTTEN.value))
        self.record_slowdown(position, report.slowdown, now)

    def record_slowdown(self, position: int, slowdown: float, now: float) -> bool:
        """Record a target's slowdown; True if the target turned from normal to slow or back."""
        target = self.targets[position]
        was_slow = target.slow
        target.slowdown = slowdown
        if target.slow:
            target.slow_until = now + SLOW_REPORT_TTL_S
            heapq.heappush(
                self._timers, (target.slow_until, position, TimerKind.SLOWNESS_ENDS.value)
            )
        if target.slow != was_slow:
            self._update_index(position)
        return target.slow != was_slow

    def record_unreachable(self, position: int, now: float) -> None:
        """Count an unanswered health probe as a failed attempt."""
        if self.targets[position].usable:
            self._record_failure(position, now)
            self._update_index(position)

    def load(self, position: int, now: float) -> float:
        """Load of a target per slot, plus a penalty if the target is slow.

        Counts the requests of this host and the decayed excess of requests from other hosts.
        """
        target = self.targets[position]
        excess = 0.0
        if target.excess_requests:
            excess = target.excess_requests * 0.5 ** (
                (now - target.reported_at) / REPORT_HALF_LIFE_S
            )
        return (target.in_flight + excess) / target.allowance + target.penalty

    def mark_leaving(self, position: int, incarnation: int = 0) -> None:
        """Give the target no new work until `mark_returned`; 0 stands for each incarnation."""
        target = self.targets[position]
        if not target.leaving and incarnation in (0, target.incarnation):
            self._update_target(position, lambda target: setattr(target, "leaving", True))

    def mark_returned(self, position: int) -> None:
        """Let a leaving target take new work again, starting with one slot."""
        if self.targets[position].leaving:
            self._update_target(position, TargetHealth.return_cold)

    def mark_cold(self, position: int) -> None:
        """Start a new target with one slot."""
        self._update_target(position, TargetHealth.make_cold)

    def advance(self, now: float) -> None:
        """Process the timers that are due at `now`."""
        self.warmup.advance(now)
        while self._timers and self._timers[0][0] <= now:
            _, position, kind = heapq.heappop(self._timers)
            target = self.targets[position]
            if kind == TimerKind.HOLD_ENDS.value:
                target.in_flight -= 1
                self._update_index(position)
            elif kind == TimerKind.OTHERS_FORGOTTEN.value:
                if target.other_requests and target.reported_at + OTHER_REQUESTS_TTL_S <= now:
                    target.other_requests = 0
                    self._update_index(position)
            elif kind == TimerKind.SLOWNESS_ENDS.value:
                if target.slow and target.slow_until <= now:
                    target.slowdown = 1.0
                    self._update_index(position)
            elif kind == TimerKind.REJECTING_ENDS.value:
                if target.rejecting and target.rejecting_until <= now:
                    target.end_rejecting()
                    self._update_index(position)
            elif target.ejected_until is not None:
                self._update_target(position, lambda target: target.end_ejection(now))
                self.changes.append(HealthChange(target.name, None))

    def copy_state(self, old: "HealthTable") -> None:
        """Copy the state of targets with the same names and incarnations from another table."""
        old_targets = {target.name: target for target in old.targets}
        self.typical_s, self._duration_samples = old.typical_s, old._duration_samples
        for position, target in enumerate(self.targets):
            previous = old_targets.get(target.name)
            if previous is None or previous.incarnation != target.incarnation:
                if self._tuning.new_targets_cold:
                    self.mark_cold(position)
                continue
            target.failure_rate, target.duration_s = previous.failure_rate, previous.duration_s
            target.ejections = previous.ejections
            target.slowdown, target.slow_until = previous.slowdown, previous.slow_until
            target.rejection_rate = previous.rejection_rate
            target.rejecting_until = previous.rejecting_until
            target.rejecting_s = previous.rejecting_s
            if target.rejection_rate:
                timer = (target.rejecting_until, position, TimerKind.REJECTING_ENDS.value)
                heapq.heappush(self._timers, timer)
            if target.slow:
                heapq.heappush(
                    self._timers, (target.slow_until, position, TimerKind.SLOWNESS_ENDS.value)
                )
            if previous.leaving:
                self.mark_leaving(position)
            if previous.ejected_until is not None or previous.allowance < previous.slots:
                self.mark_cold(position)
            if previous.ejected_until is not None:
                self._eject_until(position, previous.ejected_until)
            self._update_index(position)
        self.warmup.copy_state(old.warmup)

    def _record_success(self, position: int, duration_s: float, now: float) -> None:
        target = self.targets[position]
        target.failure_rate *= 1 - FAILURE_WEIGHT
        if target.cold:
            # Its durations are no measure of its health.
            return
        if target.probation and duration_s > self._tuning.slow_factor * self.typical_s:
            self._eject(position, now)
            return
        target.probation = False
        if self._record_duration(target, duration_s):
            self._eject(position, now)
            return
        if target.allowance < target.slots:
            self._warm_up(position)
        self._reset_ejections(target, now)

    def _record_duration(self, target: TargetHealth, duration_s: float) -> bool:
        """Update the typical duration and the target's mean; True if it must be ejected."""
        if self._duration_samples < MIN_DURATION_SAMPLES:
            self._duration_samples += 1
            self.typical_s += (duration_s - self.typical_s) / self._duration_samples
            return False
        counted_s = min(duration_s, MAX_DURATION_MULTIPLE * self.typical_s)
        # The low weight and the cap keep a single call from raising the service's typical duration
        # much. Otherwise slow targets could no longer be told from typical ones.
        self.typical_s += TYPICAL_DURATION_WEIGHT * (
            min(duration_s, 4 * self.typical_s) - self.typical_s
        )
        if not target.duration_s:
            target.duration_s = self.typical_s
        target.duration_s += DURATION_WEIGHT * (counted_s - target.duration_s)
        return target.duration_s > self._tuning.slow_factor * self.typical_s

    def _record_failure(self, position: int, now: float) -> None:
        target = self.targets[position]
        target.failure_rate += FAILURE_WEIGHT * (1 - target.failure_rate)
        if target.probation or target.failure_rate > self._tuning.failure_bound:
            self._eject(position, now)

    def _warm_up(self, position: int) -> None:
        target = self.targets[position]
        target.successes += 1
        if target.successes >= self._tuning.successes_per_slot:
            target.successes = 0
            self._update_target(position, TargetHealth.add_slot)

    def _reset_ejections(self, target: TargetHealth, now: float) -> None:
        if target.ejections:
            period_s = self._ejection_period_s(target.ejections)
            if now - target.ejection_ended_at > EJECTION_RESET_MULTIPLE * period_s:
                target.ejections = 0

    def _eject(self, position: int, now: float) -> None:
        target = self.targets[position]
        if not target.usable:
            return
        if self._ejected + 1 > int(self._tuning.eject_share * len(self.targets)):
            # The maximum share is ejected already: the target stays in use with one slot.
            self._update_target(position, TargetHealth.make_cold)
            return
        target.ejections += 1
        self.ejections += 1
        period_s = self._ejection_period_s(target.ejections)
        until = now + period_s
        self.changes.append(HealthChange(target.name, period_s))
        self._eject_until(position, until)

    def _eject_until(self, position: int, until: float) -> None:
        """Eject a target, unless the maximum share is ejected already."""
        if self._ejected + 1 > int(self._tuning.eject_share * len(self.targets)):
            return
        self._update_target(position, lambda target: setattr(target, "ejected_until", until))
        heapq.heappush(self._timers, (until, position, TimerKind.EJECTION_ENDS.value))

    def _ejection_period_s(self, ejections: int) -> float:
        longest_s = self._tuning.eject_longest_s
        return min(longest_s, self._tuning.eject_first_s * 2 ** min(20, ejections - 1))

    def _update_target(self, position: int, change) -> None:  # type: ignore[no-untyped-def]
        """Apply a change to a target and update the totals and `index`."""
        target = self.targets[position]
        self._add_to_totals(target, -1)
        change(target)
        self._add_to_totals(target, 1)
        limit = int(self._tuning.eject_share * len(self.targets))
        assert 0 <= self._ejected <= limit, "too many targets ejected"
        self._update_index(position)

    def _add_to_totals(self, target: TargetHealth, sign: int) -> None:
        if target.usable:
            self.usable_count += sign
            # The rate of requests to a cold target does not depend on its slots.
            self.total_allowance += 0 if target.cold else sign * target.allowance
        if target.ejected_until is not None:
            self._ejected += sign

    def _update_index(self, position: int) -> None:
        target = self.targets[position]
        if not target.usable or target.paused:
            self.index.remove(position)
            return
        limit = target.allowance
        if target.allowance == target.slots:
            limit = self._tuning.useful_slots(target.slots)
            limit += math.ceil(self._lookahead_per_slot * target.slots)
        occupied = target.in_flight + target.other_requests
        self.index.update(position, occupied, target.allowance, limit, target.penalty)
