"""Slot requests of one entry host, and its work as dispatcher, without I/O or clock."""

import random
from collections.abc import Callable

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.wire import Acquire, Grant, Message, Queued, Refuse, Release
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.selection.dispatcher import Decision, Granted
from dotterelstand.process.selection.grantserver import GrantServer
from dotterelstand.process.selection.measure import MeasureBudget
from dotterelstand.process.selection.measuredmesh import MeasuredMesh
from dotterelstand.process.selection.outcome import AttemptOutcome, SlotCall, SlotGrant, SlotOutcome
from dotterelstand.process.selection.queue import WaitingCall
from dotterelstand.process.selection.rendezvous import DispatcherMap
from dotterelstand.process.selection.servicestate import ServiceState
from dotterelstand.process.selection.servicestates import ServiceStates
from dotterelstand.process.selection.slotcodec import (
    CLASSES,
    TENANTS,
    pack_need,
    pack_result,
    refusal_code,
)
from dotterelstand.process.selection.slotcounters import GrantServerCounters, SlotCounters
from dotterelstand.process.selection.targethealth import SLOW_PACE
from dotterelstand.process.selection.ticket import Ticket, TicketState, TicketTable
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.request.fields import LoadReport
from dotterelstand.version.document import Document, Service, Target

# A deadline closer than this many usual durations is sent along, else it cannot matter.
URGENT_MULTIPLE = 20.0
# Seconds for which a host believes that the dispatcher keeps its call, told three times as often.
QUEUED_LIFE_S = 0.25


class SlotCore:
    """Decides for each call between the service's dispatcher and local choice.

    Times are passed in as `now` (seconds, monotonic). `Ticket.resolve` is called once per ticket,
    when its grant or refusal is known; it must not call back into the core.
    """

    __slots__ = (
        "_checked_members",
        "_counters",
        "_dispatchers",
        "_grant_server",
        "_index_of",
        "_mesh",
        "_states",
        "_tenants",
        "_tickets",
        "_told_waiting_at",
        "_tuning",
    )

    def __init__(self, mesh: MeasuredMesh, tuning: SelectionTuning, rng: random.Random) -> None:
        self._mesh = mesh
        self._tuning = tuning
        self._states = ServiceStates(mesh.region, tuning, rng)
        self._grant_server = GrantServer(mesh, tuning)
        self._checked_members: tuple[Member, ...] = ()
        self._tickets = TicketTable()
        self._dispatchers = DispatcherMap()
        self._index_of: dict[str, int] = {}
        self._tenants: dict[str, int] = {}
        self._counters = SlotCounters()
        self._told_waiting_at = 0.0

    @property
    def counters(self) -> SlotCounters:
        """Totals since the start."""
        return self._counters

    @property
    def grant_server_counters(self) -> GrantServerCounters:
        """Totals of the slots served to other hosts."""
        return self._grant_server.counters

    @property
    def services(self) -> ServiceStates:
        """Services in use, and the targets that are leaving."""
        return self._states

    @property
    def budget(self) -> MeasureBudget:
        """The measuring budget that is charged."""
        return self._mesh.budget

    def apply(self, document: Document, now: float) -> None:
        """Follow a new version of the document."""
        names = sorted(document.services)
        self._index_of = {name: index for index, name in enumerate(names)}
        self._tenants = {name: number + 1 for number, name in enumerate(sorted(document.tenants))}
        services = [document.services[name] for name in names]
        self._states.apply(document, services, now)
        self._grant_server.apply(services)

    def open(
        self, service: Service, call: SlotCall, now: float, resolve: Callable[[Ticket], None]
    ) -> Ticket:
        """Ask for a slot; the ticket is decided at once or when `resolve` is called."""
        ticket = Ticket(-1, service, call, now, resolve)
        if len(self._tickets) >= self._tuning.max_calls:
            self._counters.table_full += 1
            return self._refuse(ticket, ResultCode.OVERLOADED)
        self._tickets.add(ticket)
        state = self._states.use(service)
        dispatcher = self._dispatchers.host(service.name, self._mesh.members(), self._mesh.region)
        if dispatcher is None or dispatcher == self._mesh.host:
            self._counters.regional += 1
            ticket.state = TicketState.QUEUED_REGIONAL
            self._settle(state, state.regional.submit(self._waiting(ticket, state, now), now), now)
        elif state.answer_time.is_silent(now) or not self._ask(ticket, dispatcher, state, now):
            self._choose_locally(ticket, state, now)
        return ticket

    def time_out(self, ticket: Ticket, now: float) -> None:
        """The ticket's `due` passed: choose locally, or refuse if its deadline passed."""
        if ticket.decided:
            return
        state = self._states.use(ticket.service)
        if ticket.state is TicketState.ASKED and now < ticket.queued_until:
            ticket.due = min(ticket.call.deadline, ticket.queued_until)
            if now < ticket.call.deadline:
                return
        if ticket.state is TicketState.ASKED:
            self._counters.fallback_timeout += 1
            state.answer_time.timed_out(now)
            self._send_release(ticket, AttemptOutcome.CANCELLED, 0.0, now)
            if now < ticket.call.deadline:
                self._choose_locally(ticket, state, now)
                return
        state.leave_queue((self._mesh.host, ticket.number), now)
        self._tickets.end(ticket)
        self._refuse(ticket, ResultCode.DEADLINE_TOO_SHORT)

    def withdraw(self, ticket: Ticket, now: float) -> None:
        """The caller gave up; frees the ticket and a slot that it may hold."""
        if ticket.state is TicketState.ENDED:
            return
        if ticket.grant is not None:
            self.release(ticket, SlotOutcome(AttemptOutcome.CANCELLED, 0.0), now)
            return
        state = self._states.use(ticket.service)
        if ticket.state is TicketState.ASKED:
            self._send_release(ticket, AttemptOutcome.CANCELLED, 0.0, now)
        state.leave_queue((self._mesh.host, ticket.number), now)
        self._tickets.end(ticket)

    def release(self, ticket: Ticket, outcome: SlotOutcome, now: float) -> None:
        """Return a granted slot with the outcome of the attempt."""
        assert ticket.grant is not None and ticket.state is not TicketState.ENDED, ticket.number
        state = self._states.use(ticket.service)
        granted = ticket.state
        self._tickets.end(ticket)
        if granted is TicketState.GRANTED_REMOTE:
            self._send_release(ticket, outcome.kind, outcome.duration_s, now)
        key = (self._mesh.host, ticket.number)
        kind, duration_s, load = outcome.kind, outcome.duration_s, outcome.load
        if granted is TicketState.GRANTED_REGIONAL:
            self._settle(state, state.regional.finish(key, kind, duration_s, load, now), now)
        self._settle(state, state.local.finish(key, kind, duration_s, load, now), now)

    def ticket(self, number: int) -> Ticket | None:
        """Open ticket with this number."""
        return self._tickets.get(number)

    def on_grant(self, sender: str, message: Grant, now: float) -> None:
        """The dispatcher granted a slot; a late grant was already given back."""
        ticket = self._tickets.asked(sender, message.call)
        if ticket is None:
            return
        state = self._states.use(ticket.service)
        self._note_answer(ticket, state, now)
        target = state.service.position_of(message.target)
        if target is None or self._is_unusable(ticket, target, state):
            self._counters.unusable += 1
            self._send_release(ticket, AttemptOutcome.CANCELLED, 0.0, now)
            self._choose_locally(ticket, state, now)
            return
        key = (self._mesh.host, ticket.number)
        state.local.adopt(key, target, now)
        self._give(ticket, state, target, TicketState.GRANTED_REMOTE, now)

    def on_refuse(self, sender: str, message: Refuse, now: float) -> None:
        """The dispatcher refused a call."""
        ticket = self._tickets.asked(sender, message.call)
        if ticket is None:
            return
        state = self._states.use(ticket.service)
        self._note_answer(ticket, state, now)
        code = refusal_code(message.code)
        if code is None or code is ResultCode.NO_TARGET:
            self._choose_locally(ticket, state, now)
            return
        self._tickets.end(ticket)
        self._refuse(ticket, code)

    def on_queued(self, sender: str, message: Queued, now: float) -> None:
        """The dispatcher keeps calls in its queue; each waits on while it hears so."""
        for number in message.calls:
            ticket = self._tickets.asked(sender, number)
            if ticket is None:
                continue
            if not ticket.queued_until:
                self._states.use(ticket.service).answer_time.answered(now - ticket.asked_at)
            ticket.queued_until = now + QUEUED_LIFE_S
            ticket.due = min(ticket.call.deadline, ticket.queued_until)

    def note_load(self, service: str, target: Target, report: LoadReport, now: float) -> bool:
        """Note a load report; True if the target turned slow or usual, which is news to others."""
        state, position = self._states.place_of(service, target.index)
        if state is None or position is None:
            return False
        changed = state.regional.report_load(position, report, now)
        state.local.report_load(position, report, now)
        self._settle(state, state.regional.advance(now), now)
        return self._after_pace(state, position, report.slowdown) or changed

    def note_pace(self, service: int, index: int, pace: float, now: float) -> None:
        """Another host says how long work takes at a target."""
        known = self._grant_server.service(service)
        state, position = self._states.place_of(known.name if known else "", index)
        if state is None or position is None:
            return
        state.regional.note_pace(position, pace, now)
        state.local.note_pace(position, pace, now)
        self._after_pace(state, position, pace)

    def tell_region(self, message: Message, now: float) -> None:
        """Send a message to the other live hosts of the region, as far as the budget allows."""
        for member in self._mesh.members():
            if member.region == self._mesh.region and member.host != self._mesh.host:
                self._mesh.send(member.host, message, now)

    def number_of(self, service: str) -> int | None:
        """Number of a service in messages, or None if the document lacks it."""
        return self._index_of.get(service)

    def advance(self, now: float) -> list[ServiceState]:
        """Apply what time changed; returns the services that were used since the last call."""
        self._check_members(now)
        active = self._states.take_active()
        if now - self._told_waiting_at >= QUEUED_LIFE_S / 3:
            self._told_waiting_at = now
            self._grant_server.tell_waiting(active, now)
        for state in active:
            for dispatcher in (state.regional, state.local):
                if dispatcher.waiting:
                    # Waiting calls need further steps of time even if no message arrives.
                    self._states.keep_active(state)
                    self._settle(state, dispatcher.advance(now), now)
        return active

    def on_acquire(self, sender: str, message: Acquire, now: float) -> None:
        """Another host asks for a slot of a service."""
        service = self._grant_server.service(message.service)
        if service is None:
            return
        state = self._states.use(service)
        self._settle(state, self._grant_server.acquire(state, sender, message, now), now)

    def on_release(self, sender: str, message: Release, now: float) -> None:
        """Another host ends a call."""
        state = self._grant_server.owner(sender, message.call)
        if state is not None:
            self._settle(state, self._grant_server.release(state, sender, message, now), now)

    def _settle(self, state: ServiceState, decisions: list[Decision], now: float) -> None:
        """Hand decisions to their calls; a grant that cannot be sent frees its slot again."""
        pending = list(decisions)
        while pending:
            decision = pending.pop(0)
            host, number = decision.key
            if host != self._mesh.host:
                pending.extend(self._grant_server.answer(state, decision, now))
                continue
            ticket = self._tickets.get(number)
            assert ticket is not None and not ticket.decided, "decision for a call that ended"
            self._decide(ticket, state, decision, now)

    def _decide(self, ticket: Ticket, state: ServiceState, decision: Decision, now: float) -> None:
        if not isinstance(decision, Granted):
            self._tickets.end(ticket)
            self._refuse(ticket, decision.code)
        elif ticket.state is TicketState.QUEUED_REGIONAL:
            state.local.adopt(decision.key, decision.target, now)
            self._give(ticket, state, decision.target, TicketState.GRANTED_REGIONAL, now)
        else:
            self._give(ticket, state, decision.target, TicketState.GRANTED_LOCAL, now)

    def _ask(self, ticket: Ticket, dispatcher: str, state: ServiceState, now: float) -> bool:
        """Send an acquire; False if the budget, the link or the document forbids it."""
        index = self._index_of.get(ticket.service.name)
        if index is None:
            return False
        remaining_s = ticket.call.deadline - now
        urgent = remaining_s < URGENT_MULTIPLE * state.local.table.usual_s
        need = pack_need(
            ticket.call.klass,
            self._tenant(ticket.call.tenant),
            remaining_s if urgent else None,
            ticket.call.spare,
        )
        prompt_until = ticket.call.prompt_until
        prompt_ms = 0 if prompt_until is None else max(1, int((prompt_until - now) * 1000))
        acquire = Acquire(ticket.number, need, index, prompt_ms)
        if not self._mesh.send(dispatcher, acquire, now, opens_call=True):
            self._counters.ask_failed += 1
            return False
        self._counters.asked += 1
        ticket.dispatcher = dispatcher
        ticket.due = min(ticket.call.deadline, now + state.answer_time.limit_s)
        return True

    def _choose_locally(self, ticket: Ticket, state: ServiceState, now: float) -> None:
        self._counters.local += 1
        ticket.state = TicketState.QUEUED_LOCAL
        ticket.due = ticket.call.deadline
        self._settle(state, state.local.submit(self._waiting(ticket, state, now), now), now)

    def _waiting(self, ticket: Ticket, state: ServiceState, now: float) -> WaitingCall:
        call = ticket.call
        excluded = frozenset[int]()
        if call.excluded:
            names = enumerate(state.service.targets)
            excluded = frozenset(i for i, target in names if target.name in call.excluded)
        key = (self._mesh.host, ticket.number)
        tenant = self._tenant(call.tenant)
        klass = min(call.klass, CLASSES - 1)
        zone = self._mesh.zone(self._mesh.host)
        waiting = WaitingCall(key, klass, tenant, now, call.deadline, excluded, zone, call.spare)
        waiting.prompt_until = call.prompt_until
        return waiting

    def _give(
        self, ticket: Ticket, state: ServiceState, target: int, granted: TicketState, now: float
    ) -> None:
        # The index belongs to the version in force, which may be newer than the call's.
        service = state.service
        ticket.state = granted
        by = {TicketState.GRANTED_REMOTE: ticket.dispatcher, TicketState.GRANTED_LOCAL: ""}
        ticket.grant = SlotGrant(
            service.name,
            service.targets[target],
            target,
            ticket.dispatcher,
            ticket.number,
            by.get(granted, self._mesh.host),
            state.local.inputs(target, now),
        )
        ticket.resolve(ticket)

    def _refuse(self, ticket: Ticket, code: ResultCode) -> Ticket:
        ticket.state = TicketState.ENDED
        ticket.refusal = code
        ticket.resolve(ticket)
        return ticket

    def _is_unusable(self, ticket: Ticket, target: int, state: ServiceState) -> bool:
        name = state.service.targets[target].name
        return name in ticket.call.excluded or self._states.is_leaving(name)

    def _send_release(
        self, ticket: Ticket, kind: AttemptOutcome, duration_s: float, now: float
    ) -> None:
        result = pack_result(kind, duration_s)
        self._mesh.send(ticket.dispatcher, Release(ticket.number, result), now)

    def _note_answer(self, ticket: Ticket, state: ServiceState, now: float) -> None:
        """Learn the dispatcher's answer time; the time in its queue is no part of it."""
        if not ticket.queued_until:
            state.answer_time.answered(now - ticket.asked_at)

    def _after_pace(self, state: ServiceState, position: int, pace: float) -> bool:
        """Tell open grants that their target is slow; True if there were any."""
        if pace < SLOW_PACE:
            return False
        return self._tickets.tell_slow(state.service.targets[position].index)

    def _tenant(self, name: str) -> int:
        """Number of a tenant; names that the document lacks share number 0."""
        return self._tenants.get(name, 0) % TENANTS

    def _check_members(self, now: float) -> None:
        members = self._mesh.members()
        if members is self._checked_members:
            return
        self._checked_members = members
        live = {member.host for member in members}
        for host in self._grant_server.hosts() - live:
            for state in self._states.all():
                self._settle(state, state.regional.drop_host(host, now), now)
            self._grant_server.forget(host)
