"""Mesh of a host that has no peers."""

from collections.abc import Callable

from dotterelstand.connection.wire import Message
from dotterelstand.process.mesh import M, Member


class LoneMesh:
    """Implements `process.mesh.Mesh` for one host alone."""

    __slots__ = ("_handlers", "_member")

    def __init__(self, host: str, region: str, availability_zone: str) -> None:
        self._member = (Member(host, region, availability_zone, False),)
        self._handlers: dict[type[Message], list[Callable[..., None]]] = {}

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._member[0].host

    @property
    def region(self) -> str:
        """Region of this host."""
        return self._member[0].region

    def members(self) -> tuple[Member, ...]:
        """This host."""
        return self._member

    def send(self, host: str, message: Message) -> bool:
        """Hand a message to this host itself; False for any other host."""
        if host != self.host:
            return False
        for handler in self._handlers.get(type(message), []):
            handler(host, message)
        return True

    def broadcast(self, message: Message) -> int:
        """There is nobody else."""
        return 0

    def subscribe(self, kind: type[M], handler: Callable[[str, M], None]) -> None:
        """See `Mesh`."""
        self._handlers.setdefault(kind, []).append(handler)
