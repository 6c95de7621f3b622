"""One call's way from its request for a slot to the slot's release."""

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
        "asked_at",
        "call",
        "dispatcher",
        "due",
        "grant",
        "number",
        "queued_until",
        "refusal",
        "resolve",
        "service",
        "state",
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
        self.asked_at = now
        self.resolve = resolve
        self.due = call.deadline
        # Until when the dispatcher is believed to keep the call queued; 0 if it never said so.
        self.queued_until = 0.0
        self.state = TicketState.ASKED
        self.dispatcher = ""
        self.grant: SlotGrant | None = None
        self.refusal: ResultCode | None = None

    @property
    def decided(self) -> bool:
        """Whether there is a grant or a refusal."""
        return self.grant is not None or self.refusal is not None
