"""Trust in the targets of one service, derived from the outcomes of requests."""

import heapq
import math
from collections import deque
from collections.abc import Set as AbstractSet

from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.selection.slotindex import NO_TARGETS, SlotIndex
from dotterelstand.process.selection.targethealth import Due, HealthChange, TargetHealth
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.request.fields import LoadReport
from dotterelstand.version.document import Target

# Weight of the newest outcome: three failures in a row exceed a failure bound of 0.5.
FAILURE_WEIGHT = 0.25
# Weight of the newest duration: ten times the usual is found after about ten answers, while an
# instance that a noisy neighbour slows three times for 20 ms stays below the slow factor.
DURATION_WEIGHT = 0.05
# Durations count up to this multiple of the usual one, so that one long call ejects nobody.
LONGEST_MULTIPLE = 20.0
USUAL_WEIGHT = 0.01
INITIAL_USUAL_S = 0.005
# Answers before durations eject anybody; with fewer the usual duration is too uncertain, and one
# short first answer led to the ejection of healthy targets.
LEARNING_ANSWERS = 100
# Seconds after which a reported load has lost half of its weight: about two lookups.
REPORT_HALF_LIFE_S = 0.01
FOREIGN_WEIGHT = 0.02
# Seconds after which a report of a slow target is no longer believed. Neighbours on the same
# machine come and go several times a second.
SLOW_LIFE_S = 0.5
# Seconds for which requests of others are believed to be at a target after it reported them.
OTHERS_LIFE_S = 0.3
# Time in use after which a target's ejections are forgotten, as a multiple of the last period.
FORGIVE_MULTIPLE = 10.0


# Changes that are kept until they are logged.
MAX_CHANGES = 64


class HealthTable:
    """Targets of one service in one region: occupancy, ejection and gentle start.

    Outcomes lower and restore trust; load reports and health endpoints only lower it. A `guest`
    table holds another region's targets, of which it uses no more than half the slots, because
    that region's own dispatcher does not see these calls.
    """

    __slots__ = (
        "_due",
        "_ejected",
        "_lookahead_per_slot",
        "_tuning",
        "_usual_foreign",
        "_usual_samples",
        "_zones",
        "allowances",
        "changes",
        "ejections",
        "index",
        "targets",
        "usable",
        "usual_s",
    )

    def __init__(
        self, targets: list[Target], tuning: SelectionTuning, *, guest: bool = False
    ) -> None:
        self._tuning = tuning
        self._lookahead_per_slot = 0.0 if guest else tuning.lookahead_per_slot
        self.targets = [
            TargetHealth(
                target.name,
                max(1, target.slots // 2) if guest else target.slots,
                target.incarnation,
            )
            for target in targets
        ]
        self.index = SlotIndex()
        self._zones: dict[str, set[int]] = {}
        for position, item in enumerate(targets):
            self._zones.setdefault(item.availability_zone, set()).add(position)
        # Changes that time brings, as (time, position, number of the kind of change).
        self._due: list[tuple[float, int, int]] = []
        self._ejected = 0
        self.usable = len(self.targets)
        self.allowances = sum(target.slots for target in self.targets)
        self.usual_s = INITIAL_USUAL_S
        self._usual_samples = 0
        self._usual_foreign = 0.0
        self.ejections = 0
        self.changes: deque[HealthChange] = deque(maxlen=MAX_CHANGES)
        for position in range(len(self.targets)):
            self._place(position)

    @property
    def slow(self) -> int:
        """Number of usable targets where work takes much longer than usual."""
        return sum(1 for target in self.targets if target.slow and target.usable)

    def in_zone(self, zone: str) -> AbstractSet[int]:
        """Positions of the targets in an availability zone."""
        return self._zones.get(zone, NO_TARGETS)

    def start(self, position: int) -> None:
        """Count an attempt that is sent to a target."""
        self.targets[position].in_flight += 1
        self._place(position)

    def finish(self, position: int, kind: AttemptOutcome, duration_s: float, now: float) -> None:
        """Count the end of an attempt and learn from it."""
        target = self.targets[position]
        if kind.is_failure and duration_s < self.usual_s and target.usable:
            # A fast failure keeps its slot for the usual time: rejecting is not being idle.
            heapq.heappush(
                self._due, (now + self.usual_s - duration_s, position, Due.HOLD_ENDS.value)
            )
        else:
            target.in_flight -= 1
        assert target.in_flight >= 0, "more attempts ended than started"
        if kind is AttemptOutcome.OK:
            self._learn_success(position, duration_s, now)
        elif kind.is_failure:
            self._learn_failure(position, now)
        self._place(position)

    def report_load(self, position: int, report: LoadReport, now: float) -> None:
        """Note a load report; the requests of others count as far as they exceed their mean.

        A target without a recent report is taken to have the mean, so that a report never raises
        trust and merely having answered lately does not lower it.
        """
        target = self.targets[position]
        foreign = max(0, report.requests - target.in_flight) / target.slots
        self._usual_foreign += FOREIGN_WEIGHT * (foreign - self._usual_foreign)
        target.reported = max(0.0, foreign - self._usual_foreign) * target.slots
        target.reported_at = now
        others = max(0, report.requests - target.in_flight)
        if others != target.others:
            target.others = others
            self._place(position)
        if others:
            due = now + OTHERS_LIFE_S
            heapq.heappush(self._due, (due, position, Due.OTHERS_FORGOTTEN.value))
        self.note_pace(position, report.slowdown, now)

    def note_pace(self, position: int, pace: float, now: float) -> bool:
        """Note how long work takes at a target; True if it turned slow or usual."""
        target = self.targets[position]
        was_slow = target.slow
        target.pace = pace
        if target.slow:
            target.slow_until = now + SLOW_LIFE_S
            heapq.heappush(self._due, (target.slow_until, position, Due.SLOWNESS_ENDS.value))
        if target.slow != was_slow:
            self._place(position)
        return target.slow != was_slow

    def note_unreachable(self, position: int, now: float) -> None:
        """Count a health request that was not answered as a failed attempt."""
        if self.targets[position].usable:
            self._learn_failure(position, now)
            self._place(position)

    def load(self, position: int, now: float) -> float:
        """Own requests plus what is left of the reported load of others, per slot."""
        target = self.targets[position]
        foreign = 0.0
        if target.reported:
            foreign = target.reported * 0.5 ** ((now - target.reported_at) / REPORT_HALF_LIFE_S)
        handicap = target.pace - 1 if target.slow else 0.0
        return (target.in_flight + foreign) / target.allowance + handicap

    def mark_leaving(self, position: int) -> None:
        """Give the target no new work until `mark_returned`."""
        if not self.targets[position].leaving:
            self._change_use(position, lambda target: setattr(target, "leaving", True))

    def mark_returned(self, position: int) -> None:
        """A target that was leaving is live again; it starts with one slot."""
        if self.targets[position].leaving:
            self._change_use(position, _return_cold)

    def mark_cold(self, position: int) -> None:
        """Start a new target with one slot."""
        self._change_use(position, TargetHealth.make_cold)

    def advance(self, now: float) -> None:
        """End the ejections and holds that are due."""
        while self._due and self._due[0][0] <= now:
            _, position, kind = heapq.heappop(self._due)
            target = self.targets[position]
            if kind == Due.HOLD_ENDS.value:
                target.in_flight -= 1
                self._place(position)
            elif kind == Due.OTHERS_FORGOTTEN.value:
                if target.others and target.reported_at + OTHERS_LIFE_S <= now:
                    target.others = 0
                    self._place(position)
            elif kind == Due.SLOWNESS_ENDS.value:
                if target.slow and target.slow_until <= now:
                    target.pace = 1.0
                    self._place(position)
            elif target.ejected_until is not None:
                self._change_use(position, lambda target: _end_ejection(target, now))
                self.changes.append(HealthChange(target.name, None))

    def next_due(self) -> float | None:
        """Time of the next change by `advance`, or None."""
        return self._due[0][0] if self._due else None

    def inherit(self, old: "HealthTable") -> None:
        """Take over what another table knows of targets with the same names."""
        known = {target.name: target for target in old.targets}
        self.usual_s, self._usual_samples = old.usual_s, old._usual_samples
        for position, target in enumerate(self.targets):
            before = known.get(target.name)
            if before is None or before.incarnation != target.incarnation:
                if self._tuning.new_targets_cold:
                    self.mark_cold(position)
                continue
            target.failures, target.duration_s = before.failures, before.duration_s
            target.ejections = before.ejections
            target.pace, target.slow_until = before.pace, before.slow_until
            if target.slow:
                heapq.heappush(self._due, (target.slow_until, position, Due.SLOWNESS_ENDS.value))
            if before.leaving:
                self.mark_leaving(position)
            if before.ejected_until is not None or before.allowance < before.slots:
                self.mark_cold(position)
            if before.ejected_until is not None:
                self._eject_until(position, before.ejected_until)
            self._place(position)

    def _learn_success(self, position: int, duration_s: float, now: float) -> None:
        target = self.targets[position]
        target.failures *= 1 - FAILURE_WEIGHT
        if target.probation and duration_s > self._tuning.slow_factor * self.usual_s:
            self._eject(position, now)
            return
        target.probation = False
        if self._learn_duration(target, duration_s):
            self._eject(position, now)
            return
        if target.allowance < target.slots:
            self._warm(position)
        self._forgive(target, now)

    def _learn_duration(self, target: TargetHealth, duration_s: float) -> bool:
        """Update the usual durations; True if the target is a straggler."""
        if self._usual_samples < LEARNING_ANSWERS:
            self._usual_samples += 1
            self.usual_s += (duration_s - self.usual_s) / self._usual_samples
            return False
        counted_s = min(duration_s, LONGEST_MULTIPLE * self.usual_s)
        # One call moves the service's usual duration by little, so that stragglers stay visible.
        self.usual_s += USUAL_WEIGHT * (min(duration_s, 4 * self.usual_s) - self.usual_s)
        if not target.duration_s:
            target.duration_s = self.usual_s
        target.duration_s += DURATION_WEIGHT * (counted_s - target.duration_s)
        return target.duration_s > self._tuning.slow_factor * self.usual_s

    def _learn_failure(self, position: int, now: float) -> None:
        target = self.targets[position]
        target.failures += FAILURE_WEIGHT * (1 - target.failures)
        if target.probation or target.failures > self._tuning.failure_bound:
            self._eject(position, now)

    def _warm(self, position: int) -> None:
        target = self.targets[position]
        target.successes += 1
        if target.successes >= self._tuning.successes_per_slot:
            target.successes = 0
            self._change_use(position, _add_slot)

    def _forgive(self, target: TargetHealth, now: float) -> None:
        if target.ejections:
            period_s = self._period_s(target.ejections)
            if now - target.returned_at > FORGIVE_MULTIPLE * period_s:
                target.ejections = 0

    def _eject(self, position: int, now: float) -> None:
        target = self.targets[position]
        if not target.usable:
            return
        if self._ejected + 1 > int(self._tuning.eject_share * len(self.targets)):
            # Too many are out already: the target stays in use with one slot.
            self._change_use(position, TargetHealth.make_cold)
            return
        target.ejections += 1
        self.ejections += 1
        period_s = self._period_s(target.ejections)
        until = now + period_s
        self.changes.append(HealthChange(target.name, period_s))
        self._eject_until(position, until)

    def _eject_until(self, position: int, until: float) -> None:
        """Take a target out of use, unless too many are out already."""
        if self._ejected + 1 > int(self._tuning.eject_share * len(self.targets)):
            return
        self._change_use(position, lambda target: setattr(target, "ejected_until", until))
        heapq.heappush(self._due, (until, position, Due.EJECTION_ENDS.value))

    def _period_s(self, ejections: int) -> float:
        longest_s = self._tuning.eject_longest_s
        return min(longest_s, self._tuning.eject_first_s * 2 ** min(20, ejections - 1))

    def _change_use(self, position: int, change) -> None:  # type: ignore[no-untyped-def]
        """Apply a change to a target and keep the totals and the index in step."""
        target = self.targets[position]
        self._count(target, -1)
        change(target)
        self._count(target, 1)
        limit = int(self._tuning.eject_share * len(self.targets))
        assert 0 <= self._ejected <= limit, "too many targets ejected"
        self._place(position)

    def _count(self, target: TargetHealth, sign: int) -> None:
        if target.usable:
            self.usable += sign
            self.allowances += sign * target.allowance
        if target.ejected_until is not None:
            self._ejected += sign

    def _place(self, position: int) -> None:
        target = self.targets[position]
        if not target.usable:
            self.index.withdraw(position)
            return
        limit = target.allowance
        if target.allowance == target.slots:
            limit = self._tuning.useful_slots(target.slots)
            limit += math.ceil(self._lookahead_per_slot * target.slots)
        handicap = target.pace - 1 if target.slow else 0.0
        occupied = target.in_flight + target.others
        self.index.place(position, occupied, target.allowance, limit, handicap)


def _return_cold(target: TargetHealth) -> None:
    target.leaving = False
    target.make_cold()


def _end_ejection(target: TargetHealth, now: float) -> None:
    target.ejected_until = None
    target.returned_at = now
    target.probation = True
    target.failures = 0.0
    target.duration_s = 0.0
    target.make_cold()


def _add_slot(target: TargetHealth) -> None:
    target.allowance += 1
