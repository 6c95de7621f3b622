"""Services, documents and an in-memory mesh for tests of target selection."""

from collections.abc import Callable

import trio

from dotterelstand.connection.wire import Message
from dotterelstand.process.peering.mesh import M, Member
from dotterelstand.version.model import Document, Service, Target


def make_service(
    targets: int, slots: int = 2, regions: tuple[str, ...] = ("r1",), name: str = "lookup"
) -> Service:
    """Service with targets t0, t1, ..., assigned to the regions in turn."""
    members = tuple(
        Target(f"t{i}", "10.0.0.1", 9000 + i, regions[i % len(regions)], "z1", slots)
        for i in range(targets)
    )
    return Service(name, members, 240, False, 0.1, 4, 1.0)


def make_document(*services: Service, workspaces: frozenset[str] = frozenset()) -> Document:
    """Document with these services and no routes."""
    return Document(1, {}, {s.name: s for s in services}, (), ("high", "low"), workspaces)


class FakeMeshes:
    """Meshes of several hosts; messages arrive after `latency_s` unless dropped."""

    def __init__(self, hosts: int, nursery: trio.Nursery, latency_s: float = 0.0005) -> None:
        self.latency_s = latency_s
        self.nursery = nursery
        self.members = tuple(Member(f"h{i}", "r1", "z1", False) for i in range(hosts))
        self.meshes = {member.host: FakeMesh(self, member.host) for member in self.members}
        self.drop: Callable[[str, str, Message], bool] = lambda sender, host, message: False
        self.sent: list[Message] = []
        # Members as seen by the hosts whose member list differs from `members`.
        self.views: dict[str, tuple[Member, ...]] = {}

    def remove_host(self, host: str) -> None:
        """Remove a host from the members and drop its messages."""
        self.members = tuple(member for member in self.members if member.host != host)
        self.drop = lambda sender, receiver, message: host in (sender, receiver)

    async def deliver(self, sender: str, host: str, message: Message) -> None:
        """Deliver one message after the latency."""
        await trio.sleep(self.latency_s)
        if not self.drop(sender, host, message):
            for handler in self.meshes[host].handlers.get(type(message), []):
                handler(sender, message)


class FakeMesh:
    """Implements `dotterelstand.process.peering.mesh.Mesh` for tests."""

    region = "r1"
    is_overlay = False

    def __init__(self, meshes: FakeMeshes, host: str) -> None:
        self.host = host
        self.meshes = meshes
        self.handlers: dict[type[Message], list[Callable[..., None]]] = {}

    def members(self) -> tuple[Member, ...]:
        return self.meshes.views.get(self.host, self.meshes.members)

    def send(self, host: str, message: Message) -> bool:
        self.meshes.sent.append(message)
        self.meshes.nursery.start_soon(self.meshes.deliver, self.host, host, message)
        return True

    def broadcast(self, message: Message) -> int:
        others = [member.host for member in self.meshes.members if member.host != self.host]
        return sum(self.send(host, message) for host in others)

    def subscribe(self, kind: type[M], handler: Callable[[str, M], None]) -> None:
        self.handlers.setdefault(kind, []).append(handler)
