"""Broker that gets target slots for the calls of one entry host."""

import math
import random
from collections.abc import Callable

import trio
from returns.result import Failure, Result, Success

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.wire import (
    Acquire,
    Grant,
    Paces,
    Queued,
    Refuse,
    Release,
    TargetLeaving,
)
from dotterelstand.events import Event, log
from dotterelstand.process.peering.mesh import M, Mesh
from dotterelstand.process.selection.budgetedmesh import BudgetedMesh
from dotterelstand.process.selection.measure import MeasureBudget, MeasureLimit
from dotterelstand.process.selection.outcome import AttemptOutcome, SlotCall, SlotGrant, SlotOutcome
from dotterelstand.process.selection.selectionlog import SelectionLog
from dotterelstand.process.selection.slotcore import SlotCore
from dotterelstand.process.selection.ticket import Ticket
from dotterelstand.process.selection.tuning import SelectionTuning, read_tuning
from dotterelstand.request.fields import LoadReport
from dotterelstand.settings import Settings
from dotterelstand.version.model import Document, Service, Target

__all__ = ["AttemptOutcome", "SlotBroker", "SlotCall", "SlotGrant", "SlotOutcome", "make_broker"]

# Seconds between timer steps while no call is queued, which detect lost hosts and log changes.
IDLE_STEP_S = 1.0


class _Waiter:
    """Wakes the task that awaits the decision on a ticket."""

    __slots__ = ("event",)

    def __init__(self) -> None:
        self.event = trio.Event()

    def resolve(self, ticket: Ticket) -> None:
        self.event.set()


class SlotBroker:
    """Gets a slot for each call, from the service's dispatcher or by a local choice."""

    __slots__ = (
        "_budget",
        "_core",
        "_mesh",
        "_next_step_at",
        "_step_due",
        "_tickets",
    )

    def __init__(self, mesh: Mesh, budget: MeasureBudget, core: SlotCore) -> None:
        self._mesh = mesh
        self._budget = budget
        self._core = core
        self._tickets: dict[int, Ticket] = {}
        # Time of the next timer step, and the event that makes `run` look at it again.
        self._next_step_at = -math.inf
        self._step_due = trio.Event()
        self._subscribe(Acquire, core.on_acquire)
        self._subscribe(Grant, core.on_grant)
        self._subscribe(Queued, core.on_queued)
        self._subscribe(Refuse, core.on_refuse)
        self._subscribe(Release, core.on_release)
        mesh.subscribe(TargetLeaving, self._on_leaving)
        mesh.subscribe(Paces, self._on_paces)

    @property
    def core(self) -> SlotCore:
        """State and counters, for the status pages."""
        return self._core

    @property
    def budget(self) -> MeasureBudget:
        """Measuring budget of this host."""
        return self._budget

    def apply(self, document: Document) -> None:
        """Apply a new version of the document."""
        self._core.apply(document, trio.current_time())

    async def acquire(self, service: Service, call: SlotCall) -> Result[SlotGrant, ResultCode]:
        """Get a slot for one attempt, freed on cancellation.

        Fails with `OVERLOADED`, `DEADLINE_TOO_SHORT` or `NO_TARGET`.
        """
        waiter = _Waiter()
        ticket = self._core.open_ticket(service, call, trio.current_time(), waiter.resolve)
        self._schedule_step()
        try:
            while not ticket.decided:
                with trio.move_on_at(ticket.timeout_at):
                    await waiter.event.wait()
                if not ticket.decided and trio.current_time() >= ticket.timeout_at:
                    self._core.on_timeout(ticket, trio.current_time())
                    self._schedule_step()
            if ticket.grant is None:
                assert ticket.refusal is not None
                return Failure(ticket.refusal)
        except BaseException:
            self._core.cancel(ticket, trio.current_time())
            raise
        self._tickets[ticket.number] = ticket
        return Success(ticket.grant)

    def release(self, grant: SlotGrant, outcome: SlotOutcome) -> None:
        """Release a slot; every grant must be released exactly once."""
        ticket = self._tickets.pop(grant.number)
        assert ticket.grant is grant, "released a grant that is not open"
        self._core.release(ticket, outcome, trio.current_time())

    def target_leaving(self, target: str, incarnation: int = 0) -> None:
        """Mark a target as leaving, after it or the host list reported so; notify other hosts.

        An incarnation of 0 stands for the one that this host knows.
        """
        if self._core.services.mark_leaving(target, incarnation):
            log(Event.TARGET_LEAVING, target=target, source=self._mesh.host)
            self._mesh.broadcast(TargetLeaving(target))

    def target_returned(self, target: str) -> None:
        """Let a leaving target take new work again after the host list shows it as live."""
        if self._core.services.mark_returned(target):
            log(Event.TARGET_RETURNED, target=target)

    def target_load(self, service: str, target: Target, report: LoadReport) -> None:
        """Record a reported load; notify the hosts with a call at a target that turned slow."""
        self._core.record_load(service, target, report, trio.current_time())

    def target_unreachable(self, service: str, target: Target) -> None:
        """Record that a target of the region did not answer a health probe."""
        self._core.services.record_unreachable(service, target, trio.current_time())

    def target_warmup(self, service: str, target: Target, remaining_s: float) -> None:
        """Record the remaining warm-up time that a target of the region reported."""
        now = trio.current_time()
        if self._core.services.record_warmup(service, target, remaining_s, now):
            event = Event.TARGET_COLD if remaining_s > 0 else Event.TARGET_WARM
            log(event, target=target.name, service=service, seconds=remaining_s)

    async def run(self) -> None:
        """Process timers and log changes, until cancelled."""
        selection_log = SelectionLog(self._core)
        while True:
            now = trio.current_time()
            selection_log.report(self._core.advance(now), now)
            self._step_due = trio.Event()
            self._next_step_at = min(self._core.next_step_at(now), now + IDLE_STEP_S)
            while trio.current_time() < self._next_step_at:
                with trio.move_on_at(self._next_step_at):
                    await self._step_due.wait()
                    self._step_due = trio.Event()

    def _subscribe(self, kind: type[M], handler: Callable[[str, M, float], None]) -> None:
        def handle(sender: str, message: M) -> None:
            handler(sender, message, trio.current_time())
            self._schedule_step()

        self._mesh.subscribe(kind, handle)

    def _schedule_step(self) -> None:
        """Bring the next timer step forward if a call has been queued."""
        at = self._core.next_step_at(trio.current_time())
        if at < self._next_step_at:
            self._next_step_at = at
            self._step_due.set()

    def _on_paces(self, sender: str, message: Paces) -> None:
        now = trio.current_time()
        for index, percent in zip(message.targets, message.percent, strict=False):
            self._core.record_slowdown(message.service, index, percent / 100, now)

    def _on_leaving(self, sender: str, message: TargetLeaving) -> None:
        if self._core.services.mark_leaving(message.target):
            log(Event.TARGET_LEAVING, target=message.target, source=sender)
            if self._mesh.is_overlay:
                self._mesh.broadcast(message)


def make_budget(settings: Settings, region: str, now: float) -> MeasureBudget:
    """Create the measuring budget from the settings section `measure`."""
    section = "measure"
    host = MeasureLimit(
        settings.integer(section, "bytes_per_s"), settings.integer(section, "calls_per_s")
    )
    other_region = MeasureLimit(
        settings.integer(section, "cross_region_bytes_per_s"),
        settings.integer(section, "cross_region_calls_per_s"),
    )
    return MeasureBudget(region, host, other_region, now)


def make_broker(mesh: Mesh, settings: Settings, rng: random.Random) -> SlotBroker:
    """Create the broker of one entry host; must be called within `trio.run`."""
    tuning: SelectionTuning = read_tuning(settings)
    budget = make_budget(settings, mesh.region, -math.inf)
    core = SlotCore(BudgetedMesh(mesh, budget), tuning, rng)
    return SlotBroker(mesh, budget, core)
