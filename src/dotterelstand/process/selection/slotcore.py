"""Slot requests of one entry host and its role as dispatcher; does no I/O and reads no clock."""

import math
import random
from collections.abc import Callable

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.wire import Acquire, Grant, Queued, Refuse, Release
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.selection.budgetedmesh import BudgetedMesh
from dotterelstand.process.selection.decisions import Decision, Granted
from dotterelstand.process.selection.grantserver import GrantServer
from dotterelstand.process.selection.measure import MeasureBudget
from dotterelstand.process.selection.outcome import AttemptOutcome, SlotCall, SlotOutcome
from dotterelstand.process.selection.queue import WaitingCall
from dotterelstand.process.selection.rendezvous import DispatcherMap
from dotterelstand.process.selection.servicestate import ServiceState
from dotterelstand.process.selection.servicestates import ServiceStates
from dotterelstand.process.selection.slotcodec import MAX_WORKSPACES, pack_result, refusal_code
from dotterelstand.process.selection.slotcounters import GrantServerCounters, SlotCounters
from dotterelstand.process.selection.targethealth import SLOW_THRESHOLD
from dotterelstand.process.selection.ticket import (
    Ticket,
    TicketState,
    TicketTable,
    make_acquire,
    make_grant,
    make_waiting_call,
)
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.process.selection.warmup import paces_cold_targets
from dotterelstand.request.fields import LoadReport
from dotterelstand.version.model import Document, Service, Target

# Seconds for which a `Queued` notice is valid; the dispatcher sends three of them in that time.
QUEUED_NOTICE_TTL_S = 0.25
# Seconds between two timer steps while calls are queued. A step refuses calls close to their
# deadline and grants slots that became free without a release.
QUEUE_TICK_S = 0.02


class SlotCore:
    """Gets a slot for each call, from the service's dispatcher or by a local choice.

    Times are passed in as `now` (seconds, monotonic). `Ticket.resolve` is called once per ticket,
    when it is granted or refused; it must not call back into the core.
    """

    __slots__ = (
        "_counters",
        "_dispatchers",
        "_grant_server",
        "_last_members",
        "_mesh",
        "_queued_notices_sent_at",
        "_service_numbers",
        "_states",
        "_tickets",
        "_tuning",
        "_waiting_states",
        "_workspaces",
    )

    def __init__(self, mesh: BudgetedMesh, tuning: SelectionTuning, rng: random.Random) -> None:
        self._mesh = mesh
        self._tuning = tuning
        self._states = ServiceStates(mesh.region, tuning, rng)
        self._grant_server = GrantServer(mesh, tuning)
        self._last_members: tuple[Member, ...] = ()
        self._tickets = TicketTable()
        self._dispatchers = DispatcherMap()
        self._service_numbers: dict[str, int] = {}
        self._workspaces: dict[str, int] = {}
        self._counters = SlotCounters()
        self._queued_notices_sent_at = 0.0
        # States of the services with queued calls, by name.
        self._waiting_states: dict[str, ServiceState] = {}

    @property
    def counters(self) -> SlotCounters:
        """Totals of this host's slot requests since the start."""
        return self._counters

    @property
    def grant_server_counters(self) -> GrantServerCounters:
        """Totals of the slots granted to other hosts."""
        return self._grant_server.counters

    @property
    def services(self) -> ServiceStates:
        """State of the services in use, and the leaving targets."""
        return self._states

    @property
    def budget(self) -> MeasureBudget:
        """Measuring budget to which messages are charged."""
        return self._mesh.budget

    def apply(self, document: Document, now: float) -> None:
        """Apply a new version of the document."""
        names = sorted(document.services)
        self._service_numbers = {name: index for index, name in enumerate(names)}
        self._workspaces = {
            name: number + 1 for number, name in enumerate(sorted(document.workspaces))
        }
        services = [document.services[name] for name in names]
        removed = self._states.apply(document, services, now)
        self._grant_server.apply(services, document.regions)
        for state in removed:
            # A decision on a call that waits here would come from a state that nobody advances.
            self._deliver(state, state.regional.refuse_all() + state.local.refuse_all(), now)
        self._waiting_states = {
            name: state
            for name, state in self._waiting_states.items()
            if self._states.find(name) is state
        }

    def open_ticket(
        self, service: Service, call: SlotCall, now: float, resolve: Callable[[Ticket], None]
    ) -> Ticket:
        """Request a slot; `resolve` is called at the decision, which may come before the return."""
        ticket = Ticket(-1, service, call, now, resolve)
        if len(self._tickets) >= self._tuning.max_calls:
            self._counters.table_full += 1
            return self._refuse(ticket, ResultCode.OVERLOADED)
        self._tickets.add(ticket)
        state = self._states.activate(service)
        dispatcher = self._dispatchers.host(service.name, self._mesh.members(), self._mesh.region)
        if dispatcher is None or dispatcher == self._mesh.host:
            self._counters.regional += 1
            ticket.state = TicketState.QUEUED_REGIONAL
            self._deliver(state, state.regional.submit(self._entry(ticket, now), now), now)
        elif state.answer_time.is_paused(now) or not self._request(ticket, dispatcher, state, now):
            self._choose_locally(ticket, state, now)
        return ticket

    def on_timeout(self, ticket: Ticket, now: float) -> None:
        """Handle a ticket's timeout: choose locally, or refuse if its deadline has passed."""
        if ticket.decided:
            return
        state = self._states.activate(ticket.service)
        if ticket.state is TicketState.ASKED and now < ticket.queue_confirmed_until:
            ticket.timeout_at = min(ticket.call.deadline, ticket.queue_confirmed_until)
            if now < ticket.call.deadline:
                return
        if ticket.state is TicketState.ASKED:
            self._counters.fallback_timeout += 1
            state.answer_time.record_timeout(now)
            self._send_release(ticket, AttemptOutcome.CANCELLED, 0.0, now)
            if now < ticket.call.deadline:
                self._choose_locally(ticket, state, now)
                return
        state.cancel_wait((self._mesh.host, ticket.number), now)
        self._tickets.end(ticket)
        self._refuse(ticket, ResultCode.DEADLINE_TOO_SHORT)

    def cancel(self, ticket: Ticket, now: float) -> None:
        """Cancel a ticket whose caller gave up, and release its slot if it has one."""
        if ticket.state is TicketState.ENDED:
            return
        if ticket.grant is not None:
            self.release(ticket, SlotOutcome(AttemptOutcome.CANCELLED, 0.0), now)
            return
        state = self._states.activate(ticket.service)
        if ticket.state is TicketState.ASKED:
            self._send_release(ticket, AttemptOutcome.CANCELLED, 0.0, now)
        state.cancel_wait((self._mesh.host, ticket.number), now)
        self._tickets.end(ticket)

    def release(self, ticket: Ticket, outcome: SlotOutcome, now: float) -> None:
        """Return a granted slot with the outcome of the attempt."""
        assert ticket.grant is not None and ticket.state is not TicketState.ENDED, ticket.number
        state = self._states.activate(ticket.service)
        granted = ticket.state
        self._tickets.end(ticket)
        if granted is TicketState.GRANTED_REMOTE:
            self._send_release(ticket, outcome.kind, outcome.duration_s, now)
        key = (self._mesh.host, ticket.number)
        kind, duration_s, load = outcome.kind, outcome.duration_s, outcome.load
        if granted is TicketState.GRANTED_REGIONAL:
            self._deliver(state, state.regional.finish(key, kind, duration_s, load, now), now)
        self._deliver(state, state.local.finish(key, kind, duration_s, load, now), now)

    def ticket(self, number: int) -> Ticket | None:
        """Open ticket with this number, or None."""
        return self._tickets.get(number)

    def on_grant(self, sender: str, message: Grant, now: float) -> None:
        """Handle a grant; ignore a late one, whose slot was released when the ticket timed out."""
        ticket = self._tickets.find_awaiting(sender, message.call)
        if ticket is None:
            return
        state = self._states.activate(ticket.service)
        self._record_answer_time(ticket, state, now)
        target = state.service.position_of(message.target)
        if target is None or self._is_unusable(ticket, target, state):
            self._counters.unusable += 1
            self._send_release(ticket, AttemptOutcome.CANCELLED, 0.0, now)
            self._choose_locally(ticket, state, now)
            return
        key = (self._mesh.host, ticket.number)
        # The dispatcher probes the targets; its view replaces older reports of this host.
        state.local.record_slowdown(target, message.target_slowdown / 100 or 1.0, now)
        state.local.record_grant(key, target, now)
        self._grant_ticket(ticket, state, target, TicketState.GRANTED_REMOTE, now)

    def on_refuse(self, sender: str, message: Refuse, now: float) -> None:
        """Handle a dispatcher's refusal of a call."""
        ticket = self._tickets.find_awaiting(sender, message.call)
        if ticket is None:
            return
        state = self._states.activate(ticket.service)
        self._record_answer_time(ticket, state, now)
        code = refusal_code(message.code)
        if code is None or code is ResultCode.NO_TARGET:
            self._choose_locally(ticket, state, now)
            return
        self._tickets.end(ticket)
        ticket.call.retry_after_s = message.retry_ms / 1000 or None
        self._refuse(ticket, code)

    def on_queued(self, sender: str, message: Queued, now: float) -> None:
        """Extend the wait of calls that the dispatcher still has in its queue."""
        for number in message.calls:
            ticket = self._tickets.find_awaiting(sender, number)
            if ticket is None:
                continue
            if not ticket.queue_confirmed_until:
                self._states.activate(ticket.service).answer_time.update(now - ticket.requested_at)
            ticket.queue_confirmed_until = now + QUEUED_NOTICE_TTL_S
            ticket.timeout_at = min(ticket.call.deadline, ticket.queue_confirmed_until)

    def record_load(self, service: str, target: Target, report: LoadReport, now: float) -> None:
        """Record a load report; notify the hosts with a call at a slow target.

        Other hosts learn of slow targets from the grants on them.
        """
        state, position = self._states.find_target(service, target.index)
        if state is None or position is None:
            return
        state.regional.record_load(position, report, now)
        state.local.record_load(position, report, now)
        if report.slowdown >= SLOW_THRESHOLD:
            self._tickets.notify_slow(target.index)
            self._grant_server.notify_holders(state, position, report.slowdown, now)
        self._deliver(state, state.regional.advance(now), now)

    def record_slowdown(self, service: int, index: int, slowdown: float, now: float) -> None:
        """Record a target's slowdown as reported by another host."""
        known = self._grant_server.service(service)
        state, position = self._states.find_target(known.name if known else "", index)
        if state is None or position is None:
            return
        state.regional.record_slowdown(position, slowdown, now)
        state.local.record_slowdown(position, slowdown, now)
        if slowdown >= SLOW_THRESHOLD:
            self._tickets.notify_slow(index)

    def advance(self, now: float) -> list[ServiceState]:
        """Process timers and lost hosts; returns the services used since the last call."""
        self._check_members(now)
        waiting = list(self._waiting_states.values())
        if waiting and now - self._queued_notices_sent_at >= QUEUED_NOTICE_TTL_S / 3:
            self._queued_notices_sent_at = now
            self._grant_server.send_queued_notices(waiting, now)
        for state in waiting:
            for dispatcher in (state.regional, state.local):
                if dispatcher.queued_calls:
                    self._deliver(state, dispatcher.advance(now), now)
        return self._states.pop_active()

    def next_step_at(self, now: float) -> float:
        """Time in seconds at which `advance` must run next; infinite if no call is queued."""
        return now + QUEUE_TICK_S if self._waiting_states else math.inf

    def on_acquire(self, sender: str, message: Acquire, now: float) -> None:
        """Handle another host's request for a slot."""
        service = self._grant_server.service(message.service)
        if service is None:
            return
        state = self._states.activate(service)
        previous = self._grant_server.find_state(sender, message.call)
        if previous is not None and previous is not state:
            # The release of an earlier call with this number, to another service, was lost.
            lost = self._grant_server.end_call(sender, message.call, now)
            self._deliver(previous, lost, now)
        self._deliver(state, self._grant_server.acquire(state, sender, message, now), now)

    def on_release(self, sender: str, message: Release, now: float) -> None:
        """Handle a release of a slot by another host."""
        state = self._grant_server.find_state(sender, message.call)
        if state is not None:
            self._deliver(state, self._grant_server.release(state, sender, message, now), now)

    def _deliver(self, state: ServiceState, decisions: list[Decision], now: float) -> None:
        """Deliver decisions to their calls; a grant that cannot be sent releases its slot."""
        pending = list(decisions)
        while pending:
            decision = pending.pop(0)
            host, number = decision.key
            if host != self._mesh.host:
                pending.extend(self._grant_server.send_decision(state, decision, now))
                continue
            ticket = self._tickets.get(number)
            assert ticket is not None and not ticket.decided, "decision for a call that has ended"
            self._decide(ticket, state, decision, now)
        if state.queued_calls:
            self._waiting_states[state.service.name] = state
        else:
            self._waiting_states.pop(state.service.name, None)

    def _decide(self, ticket: Ticket, state: ServiceState, decision: Decision, now: float) -> None:
        if not isinstance(decision, Granted):
            self._tickets.end(ticket)
            ticket.call.retry_after_s = decision.retry_after_s
            self._refuse(ticket, decision.code)
        elif ticket.state is TicketState.QUEUED_REGIONAL:
            state.local.record_grant(decision.key, decision.target, now)
            self._grant_ticket(ticket, state, decision.target, TicketState.GRANTED_REGIONAL, now)
        else:
            self._grant_ticket(ticket, state, decision.target, TicketState.GRANTED_LOCAL, now)

    def _request(self, ticket: Ticket, dispatcher: str, state: ServiceState, now: float) -> bool:
        """Send an `Acquire`; False if the service is not in the document, the budget is exhausted
        or the link rejects the message."""
        index = self._service_numbers.get(ticket.service.name)
        if index is None:
            return False
        workspace = self._workspace_number(ticket.call.workspace)
        regions, typical_s = self._grant_server.regions, state.local.table.typical_s
        acquire = make_acquire(ticket, index, workspace, regions, typical_s, now)
        if acquire is None or not self._mesh.send(dispatcher, acquire, now, opens_call=True):
            self._counters.ask_failed += 1
            return False
        self._counters.asked += 1
        ticket.dispatcher = dispatcher
        ticket.timeout_at = min(ticket.call.deadline, now + state.answer_time.timeout_s)
        return True

    def _choose_locally(self, ticket: Ticket, state: ServiceState, now: float) -> None:
        self._counters.local += 1
        ticket.state = TicketState.QUEUED_LOCAL
        ticket.timeout_at = ticket.call.deadline
        self._deliver(state, state.local.submit(self._entry(ticket, now), now), now)

    def _entry(self, ticket: Ticket, now: float) -> WaitingCall:
        """Queue entry for a ticket."""
        host = self._mesh.host
        workspace = self._workspace_number(ticket.call.workspace)
        return make_waiting_call(ticket, host, self._mesh.zone(host), workspace, now)

    def _grant_ticket(
        self, ticket: Ticket, state: ServiceState, target: int, granted: TicketState, now: float
    ) -> None:
        # Look `target` up in the version in force; the call's service may be of an older version.
        service = state.service
        ticket.state = granted
        snapshot = state.local.target_snapshot(target, now)
        ticket.grant = make_grant(ticket, service, target, self._mesh.host, snapshot)
        ticket.resolve(ticket)

    def _refuse(self, ticket: Ticket, code: ResultCode) -> Ticket:
        ticket.state = TicketState.ENDED
        ticket.refusal = code
        ticket.resolve(ticket)
        return ticket

    def _is_unusable(self, ticket: Ticket, target: int, state: ServiceState) -> bool:
        item = state.service.targets[target]
        return not ticket.call.accepts(item) or self._states.is_leaving(item)

    def _send_release(
        self, ticket: Ticket, outcome: AttemptOutcome, duration_s: float, now: float
    ) -> None:
        result = pack_result(outcome, duration_s)
        self._mesh.send(ticket.dispatcher, Release(ticket.number, result), now)

    def _record_answer_time(self, ticket: Ticket, state: ServiceState, now: float) -> None:
        """Update the dispatcher's answer time, unless a `Queued` notice did so already."""
        if not ticket.queue_confirmed_until:
            state.answer_time.update(now - ticket.requested_at)

    def _workspace_number(self, name: str) -> int:
        """Number of a workspace; workspaces that are not in the document share number 0."""
        return self._workspaces.get(name, 0) % MAX_WORKSPACES

    def _check_members(self, now: float) -> None:
        members = self._mesh.members()
        if members is self._last_members:
            return
        self._last_members = members
        live = {member.host for member in members}
        self._states.set_paces_cold(paces_cold_targets(members, self._mesh.host), now)
        for host in self._grant_server.hosts() - live:
            for state in self._states.all():
                self._deliver(state, state.regional.drop_host(host, now), now)
            self._grant_server.drop_host(host)
