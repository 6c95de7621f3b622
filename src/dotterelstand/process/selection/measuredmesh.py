"""The mesh as target selection uses it: every message is charged to the measuring budget."""

from dotterelstand.connection.codec import encode_message
from dotterelstand.connection.wire import Message
from dotterelstand.process.peering.mesh import Member, Mesh
from dotterelstand.process.selection.measure import MeasureBudget

# Websocket framing of a message below 126 bytes with a mask, the larger of both directions.
FRAME_BYTES = 6


class MeasuredMesh:
    """Sends measuring messages as far as the budget allows."""

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
        """The budget that is charged."""
        return self._budget

    @property
    def is_overlay(self) -> bool:
        """Whether some live hosts have no link, so that news must be passed on."""
        return self._mesh.is_overlay

    def members(self) -> tuple[Member, ...]:
        """Live entry hosts."""
        return self._mesh.members()

    def send(self, host: str, message: Message, now: float, *, opens_call: bool = False) -> bool:
        """Send one message; False if the budget or the link refuses it."""
        assert host != self._mesh.host, "a message to the host itself measures nothing"
        size = len(encode_message(message)) + FRAME_BYTES
        if not self._budget.spend(size, self._region(host), now, opens_call=opens_call):
            return False
        return self._mesh.send(host, message)

    def zone(self, host: str) -> str:
        """Availability zone of a host, empty if it is no member."""
        member = self._member(host)
        return member.availability_zone if member else ""

    def _region(self, host: str) -> str:
        member = self._member(host)
        # A host that is no member any more is charged to its own, unknown region as well.
        return member.region if member else "unknown"

    def _member(self, host: str) -> Member | None:
        members = self._mesh.members()
        if members is not self._members:
            self._members = members
            self._member_of = {member.host: member for member in members}
        return self._member_of.get(host)
