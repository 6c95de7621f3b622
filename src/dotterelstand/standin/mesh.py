"""In-memory mesh between entry hosts, with latency and faults, for runs in virtual time."""

import heapq
from collections.abc import Callable

import trio

from dotterelstand.connection.codec import decode_messages, encode_message
from dotterelstand.connection.wire import Message
from dotterelstand.process.peering.mesh import M, Member

Handler = Callable[[str, Message], None]


class FakeMesh:
    """The mesh as seen from one host."""

    __slots__ = ("_handlers", "_hub", "lost", "member", "paused")

    def __init__(self, hub: "MeshHub", member: Member) -> None:
        self._hub = hub
        self._handlers: dict[type[Message], list[Handler]] = {}
        self.member = member
        self.lost = False
        self.paused = False

    @property
    def host(self) -> str:
        """Name of this host."""
        return self.member.host

    @property
    def region(self) -> str:
        """Region of this host."""
        return self.member.region

    @property
    def is_overlay(self) -> bool:
        """Every host is linked with every other."""
        return False

    def members(self) -> tuple[Member, ...]:
        """Hosts that this one believes to be live, itself included, sorted by name."""
        return self._hub.members_seen_by(self.host)

    def send(self, host: str, message: Message) -> bool:
        """Queue a message for a host; False if it is unknown."""
        if host == self.host:
            self.deliver(host, message)
            return True
        return not self.lost and self._hub.post(self, host, message)

    def broadcast(self, message: Message) -> int:
        """Queue a message for every other host; returns how many."""
        others = [member.host for member in self.members() if member.host != self.host]
        return sum(self.send(host, message) for host in others)

    def subscribe(self, kind: type[M], handler: Callable[[str, M], None]) -> None:
        """Call `handler(sender, message)` for each message of a type."""
        self._handlers.setdefault(kind, []).append(handler)  # type: ignore[arg-type]

    def deliver(self, sender: str, message: Message) -> None:
        """Hand a message to the subscribers."""
        for handler in self._handlers.get(type(message), []):
            handler(sender, message)


class MeshHub:
    """Carries messages between hosts in order, each after the latency of its link.

    `latency_s(from_region, to_region)` is in seconds. `filters` holds, by type, a function that is
    called once with sender and receiver before the next such message; false drops the message.
    A host that is lost stays a member for `suspect_after_s` seconds, as heartbeats would show it.
    """

    __slots__ = (
        "_due",
        "_held",
        "_latency_s",
        "_lost_at",
        "_number",
        "_partitioned",
        "_suspect_after_s",
        "_wake",
        "filters",
        "meshes",
        "sent",
    )

    def __init__(
        self, latency_s: Callable[[str, str], float], suspect_after_s: float = 3.0
    ) -> None:
        self._latency_s = latency_s
        self._suspect_after_s = suspect_after_s
        self._due: list[tuple[float, int, FakeMesh, str, bytes]] = []
        self._held: list[tuple[float, int, FakeMesh, str, bytes]] = []
        self._lost_at: dict[str, float] = {}
        self._number = 0
        self._partitioned: set[frozenset[str]] = set()
        self._wake = trio.Event()
        self.meshes: dict[str, FakeMesh] = {}
        self.filters: dict[type[Message], Callable[[str, str], bool]] = {}
        self.sent = 0

    def join(self, member: Member) -> FakeMesh:
        """Add a host, or replace a lost one of the same name."""
        mesh = self.meshes[member.host] = FakeMesh(self, member)
        self._lost_at.pop(member.host, None)
        return mesh

    def crash(self, host: str) -> None:
        """Deliver nothing more to or from a host."""
        self.meshes[host].lost = True
        self._lost_at[host] = trio.current_time()

    def resume(self) -> None:
        """Deliver the messages that were held for a host that is no longer paused."""
        for item in self._held:
            heapq.heappush(self._due, item)
        self._held.clear()
        self._wake.set()

    def set_partitioned(self, one: str, other: str, parted: bool) -> None:
        """Drop the messages between two hosts, or carry them again."""
        change = self._partitioned.add if parted else self._partitioned.discard
        change(frozenset((one, other)))

    def members_seen_by(self, host: str) -> tuple[Member, ...]:
        """Members that a host believes to be live, sorted by name."""
        now = trio.current_time()
        return tuple(
            self.meshes[name].member
            for name in sorted(self.meshes)
            if name not in self._lost_at or now - self._lost_at[name] < self._suspect_after_s
        )

    def post(self, source: FakeMesh, host: str, message: Message) -> bool:
        """Queue a message in its wire form."""
        target = self.meshes.get(host)
        if target is None:
            return False
        latency_s = self._latency_s(source.region, target.region)
        self._number += 1
        self.sent += 1
        item = (
            trio.current_time() + latency_s,
            self._number,
            target,
            source.host,
            encode_message(message),
        )
        heapq.heappush(self._due, item)
        self._wake.set()
        return True

    async def run(self) -> None:
        """Deliver messages until cancelled."""
        while True:
            self._wake = trio.Event()
            while self._due and self._due[0][0] <= trio.current_time():
                item = heapq.heappop(self._due)
                if item[2].paused:
                    self._held.append(item)
                else:
                    self._deliver(item[2], item[3], item[4])
            until = self._due[0][0] if self._due else trio.current_time() + 3600
            with trio.move_on_at(until):
                await self._wake.wait()

    def _deliver(self, target: FakeMesh, sender: str, frame: bytes) -> None:
        parted = frozenset((target.host, sender)) in self._partitioned
        if target.lost or parted or self.meshes.get(target.host) is not target:
            return
        for message in decode_messages(frame).unwrap():
            tap = self.filters.pop(type(message), None)
            if tap is None or tap(sender, target.host):
                target.deliver(sender, message)
