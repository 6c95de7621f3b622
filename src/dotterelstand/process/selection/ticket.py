"""One call's way from its request for a slot to the slot's release."""

import heapq
from collections.abc import Callable
from enum import Enum

from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.selection.outcome import SlotCall, SlotGrant
from dotterelstand.version.document import Service


class TicketState(Enum):
    """Where a call waits for its slot, or who granted it."""

    ASKED = 1
    QUEUED_LOCAL = 2
    QUEUED_REGIONAL = 3
    GRANTED_REMOTE = 4
    GRANTED_LOCAL = 5
    GRANTED_REGIONAL = 6
    ENDED = 7


class Ticket:
    """One call's way to a slot; `due` is the time in seconds until its answer is awaited."""

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
        # Until when the dispatcher is believed to keep the call queued; 0 if it never said so.
        self.queue_confirmed_until = 0.0
        self.state = TicketState.ASKED
        self.dispatcher = ""
        self.grant: SlotGrant | None = None
        self.refusal: ResultCode | None = None

    @property
    def decided(self) -> bool:
        """Whether there is a grant or a refusal."""
        return self.grant is not None or self.refusal is not None


class TicketTable:
    """Open tickets by number; the lowest free number is used, since small ones take one byte."""

    __slots__ = ("_free", "_next_number", "_tickets")

    def __init__(self) -> None:
        self._tickets: dict[int, Ticket] = {}
        self._free: list[int] = []
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def add(self, ticket: Ticket) -> None:
        """Give a ticket its number."""
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
        """Ticket that waits for this dispatcher's answer, or None."""
        ticket = self._tickets.get(number)
        if ticket is None or ticket.state is not TicketState.ASKED or ticket.dispatcher != sender:
            return None
        return ticket

    def end(self, ticket: Ticket) -> None:
        """Remove a ticket; its number is free again."""
        del self._tickets[ticket.number]
        heapq.heappush(self._free, ticket.number)
        ticket.state = TicketState.ENDED

    def notify_slow(self, target_index: int) -> bool:
        """Tell open grants that their target is slow; True if there were any."""
        notified = False
        for ticket in self._tickets.values():
            grant = ticket.grant
            if grant is not None and grant.target.index == target_index and grant.on_slow:
                grant.on_slow()
                notified = True
        return notified
