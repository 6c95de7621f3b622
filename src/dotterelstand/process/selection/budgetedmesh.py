"""Mesh for target selection that charges every message to the measuring budget."""

from dotterelstand.connection.codec import encode_message
from dotterelstand.connection.wire import Message
from dotterelstand.process.peering.mesh import Member, Mesh
from dotterelstand.process.selection.measure import MeasureBudget

# Bytes of WebSocket framing of a masked message below 126 bytes; unmasked frames are smaller.
FRAME_BYTES = 6


class BudgetedMesh:
    """Mesh that sends a message only if the measuring budget allows it."""

    __slots__ = ("_budget", "_member_of", "_members", "_mesh")

    def __init__(self, mesh: Mesh, budget: MeasureBudget) -> None:
        self._mesh = mesh
        self._budget = budget
        self._members: tuple[Member, ...] = ()
        self._member_of: dict[str, Member] = {}

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._mesh.host

    @property
    def region(self) -> str:
        """Region of this host."""
        return self._mesh.region

    @property
    def budget(self) -> MeasureBudget:
        """Budget to which messages are charged."""
        return self._budget

    @property
    def is_overlay(self) -> bool:
        """Whether some live hosts have no direct link, so that broadcasts must be relayed."""
        return self._mesh.is_overlay

    def members(self) -> tuple[Member, ...]:
        """Live entry hosts."""
        return self._mesh.members()

    def send(self, host: str, message: Message, now: float, *, opens_call: bool = False) -> bool:
        """Send one message; False if the budget is exhausted or the link rejects it."""
        assert host != self._mesh.host, "measuring message to the host itself"
        size = len(encode_message(message)) + FRAME_BYTES
        if not self._budget.spend(size, self._region(host), now, opens_call=opens_call):
            return False
        return self._mesh.send(host, message)

    def zone(self, host: str) -> str:
        """Availability zone of a host, empty if it is not a member."""
        member = self._member(host)
        return member.availability_zone if member else ""

    def _region(self, host: str) -> str:
        member = self._member(host)
        # Messages to hosts that are no longer members are charged to a region named "unknown".
        return member.region if member else "unknown"

    def _member(self, host: str) -> Member | None:
        members = self._mesh.members()
        if members is not self._members:
            self._members = members
            self._member_of = {member.host: member for member in members}
        return self._member_of.get(host)
