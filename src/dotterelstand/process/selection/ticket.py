"""Tickets: one per call, from its slot request to the release of the slot."""

import heapq
from collections.abc import Callable
from enum import Enum

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.wire import Acquire
from dotterelstand.process.selection.outcome import SlotCall, SlotGrant, TargetSnapshot
from dotterelstand.process.selection.queue import WaitingCall
from dotterelstand.process.selection.slotcodec import MAX_CLASSES, pack_regions, pack_requirements
from dotterelstand.version.model import Service

# A slot request carries its deadline only if the remaining time is below this multiple of the
# typical duration; a later deadline has no effect.
URGENT_MULTIPLE = 20.0


class TicketState(Enum):
    """State of a slot request: where it is queued, or which dispatcher granted it."""

    ASKED = 1
    QUEUED_LOCAL = 2
    QUEUED_REGIONAL = 3
    GRANTED_REMOTE = 4
    GRANTED_LOCAL = 5
    GRANTED_REGIONAL = 6
    ENDED = 7


class Ticket:
    """Slot request of one call; it times out at `timeout_at` (seconds, monotonic)."""

    __slots__ = (
        "call",
        "dispatcher",
        "grant",
        "number",
        "queue_confirmed_until",
        "refusal",
        "requested_at",
        "resolve",
        "service",
        "state",
        "timeout_at",
    )

    def __init__(
        self,
        number: int,
        service: Service,
        call: SlotCall,
        now: float,
        resolve: Callable[["Ticket"], None],
    ) -> None:
        self.number = number
        self.service = service
        self.call = call
        self.requested_at = now
        self.resolve = resolve
        self.timeout_at = call.deadline
        # Expiry of the dispatcher's last `Queued` notice for the call; 0 without a notice.
        self.queue_confirmed_until = 0.0
        self.state = TicketState.ASKED
        self.dispatcher = ""
        self.grant: SlotGrant | None = None
        self.refusal: ResultCode | None = None

    @property
    def decided(self) -> bool:
        """Whether the ticket is granted or refused."""
        return self.grant is not None or self.refusal is not None


def make_acquire(
    ticket: Ticket,
    service: int,
    workspace: int,
    regions: tuple[str, ...],
    typical_s: float,
    now: float,
) -> Acquire | None:
    """Build the request for a ticket's slot; `service` and `workspace` are numbers in messages.

    `regions` are those of the document and `typical_s` is the typical duration of the service's
    calls in seconds. None if a message can name none of the call's regions.
    """
    call = ticket.call
    mask = pack_regions(call.regions, regions)
    if mask is None:
        return None
    remaining_s = call.deadline - now
    urgent = remaining_s < URGENT_MULTIPLE * typical_s
    need = pack_requirements(call.klass, workspace, remaining_s if urgent else None, call.no_wait)
    within_ms = 0 if call.start_by is None else max(1, int((call.start_by - now) * 1000))
    return Acquire(ticket.number, need, service, within_ms, mask)


def make_waiting_call(
    ticket: Ticket, host: str, zone: str, workspace: int, now: float
) -> WaitingCall:
    """Build the queue entry for a ticket of a host in an availability zone.

    `workspace` is the number of the workspace in messages.
    """
    call = ticket.call
    waiting = WaitingCall(
        (host, ticket.number),
        min(call.klass, MAX_CLASSES - 1),
        workspace,
        now,
        call.deadline,
        call.excluded,
        zone,
        call.no_wait,
    )
    waiting.start_by = call.start_by
    waiting.regions = call.regions
    return waiting


def make_grant(
    ticket: Ticket, service: Service, target: int, host: str, snapshot: TargetSnapshot
) -> SlotGrant:
    """Build the grant of a slot to a ticket whose state names the granter.

    `target` is an index into the targets of `service`, the version in force, and `host` this host.
    """
    granters = {TicketState.GRANTED_REMOTE: ticket.dispatcher, TicketState.GRANTED_LOCAL: ""}
    return SlotGrant(
        service.name,
        service.targets[target],
        target,
        ticket.dispatcher,
        ticket.number,
        granters.get(ticket.state, host),
        snapshot,
    )


class TicketTable:
    """Table of open tickets; reuses the lowest number, as CBOR encodes small ones in one byte."""

    __slots__ = ("_free", "_next_number", "_tickets")

    def __init__(self) -> None:
        self._tickets: dict[int, Ticket] = {}
        self._free: list[int] = []
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def add(self, ticket: Ticket) -> None:
        """Add a ticket and assign its number."""
        if self._free:
            ticket.number = heapq.heappop(self._free)
        else:
            ticket.number = self._next_number
            self._next_number += 1
        self._tickets[ticket.number] = ticket

    def get(self, number: int) -> Ticket | None:
        """Open ticket with this number, or None."""
        return self._tickets.get(number)

    def find_awaiting(self, sender: str, number: int) -> Ticket | None:
        """Ticket that awaits an answer from this dispatcher, or None."""
        ticket = self._tickets.get(number)
        if ticket is None or ticket.state is not TicketState.ASKED or ticket.dispatcher != sender:
            return None
        return ticket

    def end(self, ticket: Ticket) -> None:
        """Remove a ticket and free its number."""
        del self._tickets[ticket.number]
        heapq.heappush(self._free, ticket.number)
        ticket.state = TicketState.ENDED

    def notify_slow(self, target_index: int) -> None:
        """Call `on_slow` of the open grants on a target."""
        for ticket in self._tickets.values():
            grant = ticket.grant
            if grant is not None and grant.target.index == target_index and grant.on_slow:
                grant.on_slow()
