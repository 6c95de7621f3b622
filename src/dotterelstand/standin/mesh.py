"""In-memory mesh of entry hosts with latency and faults, for runs in virtual time."""

import heapq
from collections.abc import Callable

import trio

from dotterelstand.connection.codec import decode_messages, encode_message
from dotterelstand.connection.wire import Message
from dotterelstand.process.peering.mesh import M, Member

Handler = Callable[[str, Message], None]


class FakeMesh:
    """The mesh as seen by one host.

    A host with `lost` set has crashed and sends and receives nothing. Messages to a host with
    `paused` set are held until `FakeMeshNetwork.resume` is called.
    """

    __slots__ = ("_handlers", "_hub", "lost", "member", "paused")

    def __init__(self, hub: "FakeMeshNetwork", member: Member) -> None:
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
        """Always false: every host has a direct link to every other host."""
        return False

    def members(self) -> tuple[Member, ...]:
        """Return the members that this host considers live, including itself, sorted by name."""
        return self._hub.members_seen_by(self.host)

    def send(self, host: str, message: Message) -> bool:
        """Queue a message for a host; returns False if it is unknown or this host has crashed."""
        if host == self.host:
            self.deliver(host, message)
            return True
        return not self.lost and self._hub.enqueue(self, host, message)

    def broadcast(self, message: Message) -> int:
        """Queue a message for every other host; returns the number of messages."""
        others = [member.host for member in self.members() if member.host != self.host]
        return sum(self.send(host, message) for host in others)

    def subscribe(self, kind: type[M], handler: Callable[[str, M], None]) -> None:
        """Call `handler(sender, message)` for each received message of a type."""
        self._handlers.setdefault(kind, []).append(handler)  # type: ignore[arg-type]

    def deliver(self, sender: str, message: Message) -> None:
        """Pass a message to the handlers of its type."""
        for handler in self._handlers.get(type(message), []):
            handler(sender, message)


class FakeMeshNetwork:
    """Delivers messages between hosts in order, each after the latency between the two regions.

    `latency_s(from_region, to_region)` is in seconds. `filters` maps a message type to a function
    that is called once, with sender and receiver, before the next message of that type is
    delivered; the message is dropped if it returns False. A crashed host stays a member for
    `suspect_after_s` seconds, the time after which real hosts would notice the missing heartbeats.
    """

    __slots__ = (
        "_changed",
        "_held_for_paused",
        "_in_flight",
        "_latency_s",
        "_lost_at",
        "_partitioned",
        "_sequence",
        "_suspect_after_s",
        "filters",
        "meshes",
        "sent",
    )

    def __init__(
        self, latency_s: Callable[[str, str], float], suspect_after_s: float = 3.0
    ) -> None:
        self._latency_s = latency_s
        self._suspect_after_s = suspect_after_s
        self._in_flight: list[tuple[float, int, FakeMesh, str, bytes]] = []
        self._held_for_paused: list[tuple[float, int, FakeMesh, str, bytes]] = []
        self._lost_at: dict[str, float] = {}
        self._sequence = 0
        self._partitioned: set[frozenset[str]] = set()
        self._changed = trio.Event()
        self.meshes: dict[str, FakeMesh] = {}
        self.filters: dict[type[Message], Callable[[str, str], bool]] = {}
        self.sent = 0

    def join(self, member: Member) -> FakeMesh:
        """Add a host, or replace a crashed host of the same name."""
        mesh = self.meshes[member.host] = FakeMesh(self, member)
        self._lost_at.pop(member.host, None)
        return mesh

    def crash(self, host: str) -> None:
        """Stop delivering messages to and from a host."""
        self.meshes[host].lost = True
        self._lost_at[host] = trio.current_time()

    def resume(self) -> None:
        """Deliver the messages that were held while their receiver was paused."""
        for item in self._held_for_paused:
            heapq.heappush(self._in_flight, item)
        self._held_for_paused.clear()
        self._changed.set()

    def set_partitioned(self, one: str, other: str, partitioned: bool) -> None:
        """Start or stop dropping the messages between two hosts."""
        update = self._partitioned.add if partitioned else self._partitioned.discard
        update(frozenset((one, other)))

    def members_seen_by(self, host: str) -> tuple[Member, ...]:
        """Return the members that a host considers live, sorted by name."""
        now = trio.current_time()
        return tuple(
            self.meshes[name].member
            for name in sorted(self.meshes)
            if name not in self._lost_at or now - self._lost_at[name] < self._suspect_after_s
        )

    def enqueue(self, source: FakeMesh, host: str, message: Message) -> bool:
        """Encode and queue a message; returns False if the receiver is unknown."""
        target = self.meshes.get(host)
        if target is None:
            return False
        latency_s = self._latency_s(source.region, target.region)
        self._sequence += 1
        self.sent += 1
        item = (
            trio.current_time() + latency_s,
            self._sequence,
            target,
            source.host,
            encode_message(message),
        )
        heapq.heappush(self._in_flight, item)
        self._changed.set()
        return True

    async def run(self) -> None:
        """Deliver messages until cancelled."""
        while True:
            self._changed = trio.Event()
            while self._in_flight and self._in_flight[0][0] <= trio.current_time():
                item = heapq.heappop(self._in_flight)
                if item[2].paused:
                    self._held_for_paused.append(item)
                else:
                    self._deliver(item[2], item[3], item[4])
            until = self._in_flight[0][0] if self._in_flight else trio.current_time() + 3600
            with trio.move_on_at(until):
                await self._changed.wait()

    def _deliver(self, target: FakeMesh, sender: str, frame: bytes) -> None:
        partitioned = frozenset((target.host, sender)) in self._partitioned
        if target.lost or partitioned or self.meshes.get(target.host) is not target:
            return
        for message in decode_messages(frame).unwrap():
            allow = self.filters.pop(type(message), None)
            if allow is None or allow(sender, target.host):
                target.deliver(sender, message)
