"""Grants the slots of one service's targets in one region."""

from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.selection.balancer import Chooser
from dotterelstand.process.selection.decisions import Decision, Granted, Refused
from dotterelstand.process.selection.grants import GrantTable, OpenGrant
from dotterelstand.process.selection.health import HealthTable
from dotterelstand.process.selection.homequeues import HomeQueues
from dotterelstand.process.selection.outcome import AttemptOutcome, TargetSnapshot
from dotterelstand.process.selection.queue import CallKey, CallQueue, WaitingCall
from dotterelstand.process.selection.returnschedule import ReturnSchedule
from dotterelstand.process.selection.slotcodec import MAX_CLASSES
from dotterelstand.process.selection.slotcounters import DispatcherCounters
from dotterelstand.process.selection.slotindex import NO_TARGETS
from dotterelstand.process.selection.targettables import TargetTables
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.request.fields import LoadReport
from dotterelstand.version.model import Service

# Weight of the newest sample in the moving average of slot hold times.
HOLD_WEIGHT = 0.02
# A queued call is refused when its remaining time is below this multiple of the typical duration,
# because a call that does not end before its deadline wastes its slot.
MIN_REMAINING_MULTIPLE = 1.5


# Maximum number of calls that are passed over in one step, since each is queued again, and taking a
# call from a queue takes time in proportion to its length.
MAX_SKIPPED = 16


class Dispatcher:
    """Grants slots of one service and queues calls; its state may be lost at any time."""

    __slots__ = (
        "_chooser",
        "_grants",
        "_hold_s",
        "_queues",
        "_region",
        "_returns",
        "_tables",
        "_tuning",
        "calls",
        "counters",
        "region_only_classes",
        "service",
    )

    def __init__(
        self, service: Service, region: str, tuning: SelectionTuning, chooser: Chooser
    ) -> None:
        self._region = region
        self._tuning = tuning
        self._chooser = chooser
        self._grants = GrantTable()
        self._hold_s = 0.0
        self._returns = ReturnSchedule()
        self._queues = HomeQueues(MAX_CLASSES)
        self.counters = DispatcherCounters()
        # Number of calls submitted so far.
        self.calls = 0
        # Numbers of the classes whose calls are never sent to another region.
        self.region_only_classes: frozenset[int] = frozenset()
        self._tables = self._make_tables(service)

    @property
    def queued_calls(self) -> int:
        """Number of calls in the queue."""
        return len(self._queues)

    @property
    def open_grants(self) -> int:
        """Number of grants that are not yet released."""
        return len(self._grants)

    @property
    def table(self) -> HealthTable:
        """Targets of this region, or all targets if the region has none."""
        return self._tables.local

    @property
    def tables(self) -> tuple[HealthTable, HealthTable]:
        """Targets of this region, and those of other regions."""
        return self._tables.local, self._tables.remote

    def replace_service(self, service: Service, now: float) -> None:
        """Apply a new version of the service; new targets start with one slot if so configured."""
        tables = self._make_tables(service)
        tables.copy_state(self._tables)
        self._tables = tables
        indexes = {target.name: index for index, target in enumerate(service.targets)}
        for grant in self._grants.all():
            index = indexes.get(grant.target)
            if index is None:
                self._grants.remove(grant.key)
                continue
            grant.table, grant.position = tables.at(index)
            grant.table.start(grant.position)

    def submit(self, call: WaitingCall, now: float) -> list[Decision]:
        """Grant the call a slot, queue it or refuse it; a full queue evicts and refuses a call."""
        self.calls += 1
        self._tables.local.warmup.begin_call(now)
        self._discard_stale(call.key, now)
        decisions = self.advance(now)
        impaired_position: int | None = None
        home, queue = self._tables.home(call.regions), self._queues.of(call, self._tables)
        # Calls that still wait for other regions after `advance` can't use a slot that is open now.
        if not len(queue) or queue is self._queues.away:
            position = self._choose_for(call, home, now)
            if position is not None:
                if not home.targets[position].impaired:
                    return [*decisions, self._grant(call.key, home, position, now)]
                impaired_position = position
        if call.no_wait:
            return [*decisions, Refused(call.key, ResultCode.OVERLOADED)]
        wait_s = self._expected_wait_s(call)
        remaining_s = call.deadline - now
        spilled = self._try_spillover(call, wait_s, remaining_s, now, impaired_position)
        if spilled is not None:
            return [*decisions, spilled]
        if impaired_position is not None and not self._should_wait_for_normal(call, now):
            return [*decisions, self._grant(call.key, home, impaired_position, now)]
        if not self._eligible_count(call):
            return [*decisions, Refused(call.key, ResultCode.NO_TARGET)]
        if remaining_s < wait_s + home.typical_s:
            self.counters.deadline_refused += 1
            return [*decisions, self._refuse(call, ResultCode.DEADLINE_TOO_SHORT, now)]
        self.counters.waited += 1
        evicted = queue.push(call)
        if evicted is None:
            return decisions
        self.counters.queue_refused += 1
        return [*decisions, self._refuse(evicted, ResultCode.OVERLOADED, now)]

    def record_grant(self, key: CallKey, target: int, now: float) -> None:
        """Record the grant of a target's slot by another dispatcher."""
        self._discard_stale(key, now)
        table, position = self._tables.at(target)
        self._grant(key, table, position, now)

    def finish(
        self,
        key: CallKey,
        outcome: AttemptOutcome,
        duration_s: float,
        load: LoadReport | None,
        now: float,
    ) -> list[Decision]:
        """End a call's grant or its wait in the queue; returns decisions on other waiting calls."""
        if self._queues.remove(key) is not None:
            return []
        grant = self._grants.remove(key)
        if grant is None:
            return []
        if outcome is AttemptOutcome.OK:
            held_s = now - grant.granted_at
            self._hold_s += HOLD_WEIGHT * (held_s - self._hold_s) if self._hold_s else held_s
        grant.table.finish(grant.position, outcome, duration_s, now)
        if load is not None:
            grant.table.record_load(grant.position, load, now)
        return self.advance(now)

    def advance(self, now: float) -> list[Decision]:
        """Process timers, refuse calls close to their deadline and serve the queue."""
        self.advance_health(now)
        decisions = self._serve(self._queues.near, self._tables.local, now)
        if len(self._queues.away):
            decisions += self._serve(self._queues.away, self._tables.remote, now)
        return decisions

    def _serve(self, queue: CallQueue, table: HealthTable, now: float) -> list[Decision]:
        """Serve a queue with the targets of a table."""
        decisions: list[Decision] = []
        for late in queue.pop_expiring(now + MIN_REMAINING_MULTIPLE * table.typical_s):
            # An early refusal leaves the caller time to retry elsewhere.
            self.counters.deadline_refused += 1
            decisions.append(self._refuse(late, ResultCode.DEADLINE_TOO_SHORT, now))
        skipped: list[WaitingCall] = []
        while len(queue) and len(skipped) < MAX_SKIPPED:
            if table.usable_count and self._chooser.choose(table, NO_TARGETS, now) is None:
                break
            call = queue.pop(now)
            assert call is not None
            # The service may have changed since the call was queued, and with it the call's table.
            home = self._tables.home(call.regions)
            position = self._choose_for(call, home, now)
            if position is not None and home.targets[position].impaired:
                if self._should_wait_for_normal(call, now):
                    skipped.append(call)
                    continue
            if position is None and self._eligible_count(call):
                # All open targets are excluded for this call, so it waits for another target.
                skipped.append(call)
            else:
                decisions.append(self._decide_queued(call, position, now))
        for call in skipped:
            evicted = self._queues.of(call, self._tables).push(call)
            if evicted is not None:
                # The queue's capacity was reduced while the calls waited.
                self.counters.queue_refused += 1
                decisions.append(self._refuse(evicted, ResultCode.OVERLOADED, now))
        return decisions

    def refuse_all(self) -> list[Decision]:
        """Refuse all calls in the queue, after the service has left the document."""
        decisions: list[Decision] = []
        for key in self._queues.keys():
            self._queues.remove(key)
            decisions.append(Refused(key, ResultCode.NO_TARGET))
        return decisions

    def advance_health(self, now: float) -> None:
        """Process the health timers and expire old grants."""
        self._tables.local.advance(now)
        self._tables.remote.advance(now)
        while (grant := self._grants.pop_expired(now - self._tuning.grant_life_s)) is not None:
            grant.table.finish(grant.position, AttemptOutcome.CANCELLED, 0.0, now)
            self.counters.expired += 1

    def drop_host(self, host: str, now: float) -> list[Decision]:
        """Release the grants of a lost host and remove its calls from the queue."""
        for key in self._grants.of_host(host):
            grant = self._grants.remove(key)
            assert grant is not None
            grant.table.finish(grant.position, AttemptOutcome.CANCELLED, 0.0, now)
        self._queues.remove_host(host)
        return self.advance(now)

    def mark_leaving(self, name: str, incarnation: int = 0) -> None:
        """Give a target no new work until `mark_returned`; 0 stands for each incarnation."""
        self._apply_to_target(
            name, lambda table, position: table.mark_leaving(position, incarnation)
        )

    def mark_returned(self, name: str) -> None:
        """Let a leaving target take new work again."""
        self._apply_to_target(name, HealthTable.mark_returned)

    def is_queued(self, key: CallKey) -> bool:
        """Whether a call is in the queue."""
        return key in self._queues

    def queued_keys(self) -> list[CallKey]:
        """Keys of the calls in the queue."""
        return self._queues.keys()

    def record_load(self, target: int, report: LoadReport, now: float) -> None:
        """Record a load report."""
        table, position = self._tables.at(target)
        table.record_load(position, report, now)

    def slowdown(self, target: int) -> float:
        """Slowdown of a target that is slow, otherwise 0."""
        table, position = self._tables.at(target)
        health = table.targets[position]
        return health.slowdown if health.slow else 0.0

    def take_holders_to_notify(self, target: int) -> set[str]:
        """Hosts with grants on a target that turned slow, each grant only once."""
        return self._grants.take_holders_to_notify(self.service.targets[target].name)

    def record_slowdown(self, target: int, slowdown: float, now: float) -> None:
        """Record a target's slowdown."""
        table, position = self._tables.at(target)
        table.record_slowdown(position, slowdown, now)

    def record_unreachable(self, target: int, now: float) -> None:
        """Count an unanswered health probe as a failure."""
        table, position = self._tables.at(target)
        table.record_unreachable(position, now)

    def target_snapshot(self, target: int, now: float) -> TargetSnapshot:
        """Current load of a target, stored with a grant to explain the choice."""
        table, position = self._tables.at(target)
        health = table.targets[position]
        age_s = now - health.reported_at if health.reported_at else None
        return TargetSnapshot(health.in_flight, health.slowdown, age_s)

    def is_usable(self, target: int) -> bool:
        """Whether a target may receive new work."""
        table, position = self._tables.at(target)
        return table.targets[position].usable

    def incarnation_of(self, name: str) -> int:
        """Incarnation of a target, 0 if it is unknown."""
        found = self._tables.find(name)
        return 0 if found is None else found[0].targets[found[1]].incarnation

    def _apply_to_target(self, name: str, change) -> None:  # type: ignore[no-untyped-def]
        found = self._tables.find(name)
        if found is not None:
            change(*found)

    def _make_tables(self, service: Service) -> TargetTables:
        self.service = service
        slots = sum(target.slots for target in service.targets if target.region == self._region)
        slots = slots or sum(target.slots for target in service.targets)
        tables = TargetTables(service, self._region, self._tuning)
        self._queues.resize(slots, tables, service.max_queue_per_slot)
        return tables

    def _choose_for(self, call: WaitingCall, table: HealthTable, now: float) -> int | None:
        excluded = self._tables.excluded_positions(call.excluded, table, call.regions)
        return self._chooser.choose(table, excluded, now, call.zone)

    def _eligible_count(self, call: WaitingCall) -> int:
        """Number of usable targets that the call waits for and does not exclude."""
        home = self._tables.home(call.regions)
        excluded = self._tables.excluded_positions(call.excluded, home, call.regions)
        return home.usable_count - sum(home.targets[position].usable for position in excluded)

    def _grant(self, key: CallKey, table: HealthTable, position: int, now: float) -> Granted:
        self._grants.add(OpenGrant(key, table, position, now))
        table.warmup.spend(position, now)
        table.start(position)
        self.counters.granted += 1
        return Granted(key, self._tables.index_of(table, position))

    def _decide_queued(self, call: WaitingCall, position: int | None, now: float) -> Decision:
        if position is None:
            return Refused(call.key, ResultCode.NO_TARGET)
        home = self._tables.home(call.regions)
        if call.deadline - now < home.typical_s:
            self.counters.deadline_refused += 1
            return self._refuse(call, ResultCode.DEADLINE_TOO_SHORT, now)
        return self._grant(call.key, home, position, now)

    def _refuse(self, call: WaitingCall, code: ResultCode, now: float) -> Refused:
        """Refuse a call for lack of slots, with a time at which one is expected to be free."""
        interval_s = self._slot_interval_s(call)
        wait_s = self._expected_wait_s(call)
        return Refused(call.key, code, self._returns.reserve(now, wait_s, interval_s))

    def _slot_interval_s(self, call: WaitingCall) -> float:
        """Mean time in seconds between two slots that become free while all are in use."""
        home = self._tables.home(call.regions)
        hold_s = self._hold_s or home.typical_s
        slots = home.total_allowance * self._tables.share(call.regions, home)
        if paced_per_s := home.warmup.paced_per_s:
            return 1 / (paced_per_s + slots / hold_s)
        return hold_s / max(1, slots)

    def _expected_wait_s(self, call: WaitingCall) -> float:
        ahead = self._queues.of(call, self._tables).count_ahead(call.klass)
        return (ahead + 1) * self._slot_interval_s(call)

    def _should_wait_for_normal(self, call: WaitingCall, now: float) -> bool:
        """Whether a call should wait for a normal target when only impaired ones are open."""
        home = self._tables.home(call.regions)
        if home.impaired_count >= home.usable_count:
            return False
        limit_s = min(home.typical_s, (call.deadline - now) / 4)
        if call.start_by is not None and home.rejecting_count:
            # An attempt that is rejected takes one of the request's few attempts.
            limit_s = max(limit_s, (call.start_by - call.arrived_at) / 2)
        return now - call.arrived_at < limit_s

    def _try_spillover(
        self,
        call: WaitingCall,
        wait_s: float,
        remaining_s: float,
        now: float,
        impaired_position: int | None,
    ) -> Granted | None:
        """Grant a slot in another region if that costs less than this region's best target."""
        if call.klass in self.region_only_classes:
            return None
        cross_region_cost_s = self._tuning.cross_region_cost_s
        is_full = len(self._queues.near) >= self._queues.near.capacity
        # A call that can wait in this region and still start on time is not sent to another region.
        allowed_s = cross_region_cost_s
        if call.start_by is not None:
            allowed_s = max(cross_region_cost_s, call.start_by - now)
        rejects = (
            impaired_position is not None
            and self._tables.local.targets[impaired_position].rejecting
        )
        if self._eligible_count(call) and wait_s <= allowed_s and not is_full and not rejects:
            return None
        if remaining_s < cross_region_cost_s + self._tables.local.typical_s:
            return None
        position = self._choose_for(call, self._tables.remote, now)
        if position is None or self._tables.remote.targets[position].impaired:
            return None
        self.counters.spilled += 1
        return self._grant(call.key, self._tables.remote, position, now)

    def _discard_stale(self, key: CallKey, now: float) -> None:
        """Discard an older call with the same key, whose release message was lost."""
        self._queues.remove(key)
        grant = self._grants.remove(key)
        if grant is not None:
            grant.table.finish(grant.position, AttemptOutcome.CANCELLED, 0.0, now)
