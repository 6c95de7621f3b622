"""Fleet of quota nodes in virtual time, without a network, and callers that load it."""

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterator

from dotterelstand.connection.codec import decode_messages, encode_message
from dotterelstand.connection.quotawire import QuotaReport
from dotterelstand.connection.wire import Message
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.peering.overlay import FULL_MESH_HOSTS, HUBS_PER_REGION
from dotterelstand.process.quota.node import QuotaNode
from dotterelstand.process.quota.uplink import STEP_S
from dotterelstand.version.model import Document
from dotterelstand.version.workspace import Workspace, WorkspaceIndex

REGIONS, ZONES, WINDOW_S = 3, 6, 5.0
SUSPECT_AFTER_S = 3.0


def make_document(*workspaces: Workspace) -> Document:
    """Return a document with these workspaces."""
    return Document(1, {}, {}, (), (), {}, access=WorkspaceIndex(workspaces))


class Load:
    """Arrivals of one workspace; `rate_at(now)` per second, at hosts of `zone_at(now)` or any."""

    def __init__(
        self,
        workspace: Workspace,
        rate_at: Callable[[float], float],
        zone_at: Callable[[float], int | None] = lambda now: None,
        retries: str = "obedient",
    ) -> None:
        self.workspace = workspace
        self.rate_at, self.zone_at, self.retries = rate_at, zone_at, retries
        self.admitted: list[float] = []
        self.rejected: list[float] = []

    def largest_excess(self) -> float:
        """Largest number of requests above the allowed one in any window, less than 0 if none."""
        item = self.workspace
        bound = (item.rate_per_s * WINDOW_S + item.burst) * 1.1 + 20
        window: deque[float] = deque()
        worst = -bound
        for at in self.admitted:
            window.append(at)
            while window[0] <= at - WINDOW_S:
                window.popleft()
            worst = max(worst, len(window) - bound)
        return worst


class QuotaFleet:
    """Hosts `h0`, `h1` and so on in three regions, the first four of each of which are hubs."""

    def __init__(self, hosts: int, loads: list[Load], seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.loads = loads
        self.document = make_document(*(load.workspace for load in loads))
        self.sent: dict[str, int] = {}
        self.bytes = 0
        # Part of the fleet that a host is in; messages pass within one part.
        self.parts: dict[str, int] = {}
        self.dead: dict[str, float] = {}
        self.parted_at = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        overlay = hosts > FULL_MESH_HOSTS
        self.all = tuple(
            Member(
                f"h{index}",
                f"r{index % REGIONS}",
                f"z{index % ZONES}",
                False,
                not overlay or index // REGIONS < HUBS_PER_REGION,
            )
            for index in range(hosts)
        )
        self._views: dict[tuple[str, int], tuple[Member, ...]] = {}
        self.nodes: dict[str, QuotaNode] = {}
        self.sizes = {f"r{n}": sum(m.region == f"r{n}" for m in self.all) for n in range(REGIONS)}
        for member in self.all:
            self.start(member)
        for load in loads:
            self._arrive(load)

    def start(self, member: Member) -> None:
        """Start a host, or start it again."""
        name = member.host
        self.dead.pop(name, None)
        node = self.nodes[name] = QuotaNode(
            name,
            member.region,
            lambda host, message: self._send(name, host, message),
            lambda: self._members(name),
            lambda: self.sizes,
            random.Random(self.rng.random()),
            self.now,
        )
        node.apply(self.document, self.now)
        self.at(self.rng.uniform(0, STEP_S), lambda: self._step(name, node))

    def kill(self, *names: str) -> None:
        """Stop hosts."""
        for name in names:
            self.dead[name] = self.now

    def cut(self, names: set[str]) -> None:
        """Cut these hosts off from the others; an empty set heals the fleet."""
        self.parted_at = self.now
        self.parts = dict.fromkeys(names, 1)

    def apply(self, document: Document) -> None:
        """Apply a document on all hosts within a second."""
        self.document = document
        for node in self.nodes.values():
            delay_s = self.rng.random()
            self.at(delay_s, lambda node=node: node.apply(document, self.now))  # type: ignore

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        self._number += 1
        heapq.heappush(self._events, (self.now + delay_s, self._number, action))

    def run(self, seconds: float) -> None:
        """Run for a time in seconds."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def coordinator(self) -> str:
        """Name of the coordinator that the first host alive follows."""
        return next(n.coordinator_name for name, n in self.nodes.items() if name not in self.dead)

    def _step(self, name: str, node: QuotaNode) -> None:
        if name not in self.dead and self.nodes[name] is node:
            node.step(self.now)
            self.at(STEP_S, lambda: self._step(name, node))

    def _members(self, name: str) -> tuple[Member, ...]:
        """Members seen by a host; lost ones and those of the other part for three seconds more."""
        noticed = frozenset(h for h, at in self.dead.items() if self.now - at > SUSPECT_AFTER_S)
        is_parted = bool(self.parts) and self.now - self.parted_at > SUSPECT_AFTER_S
        own = self.nodes[name]
        key = (own._region, hash((noticed, is_parted, self.parts.get(name))))
        if key not in self._views:
            self._views[key] = tuple(
                m
                for m in self._peers(own._region)
                if m.host not in noticed
                and (not is_parted or self.parts.get(m.host) == self.parts.get(name))
            )
        return self._views[key]

    def _peers(self, region: str) -> Iterator[Member]:
        return (m for m in self.all if m.hub or m.region == region)

    def _send(self, sender: str, host: str, message: Message) -> bool:
        if host not in self.nodes:
            return False
        kind = type(message).__name__
        data = encode_message(message)
        if host != sender:
            self.sent[kind] = self.sent.get(kind, 0) + 1
            self.bytes += len(data)
        delay_s = 0.0 if host == sender else self.rng.uniform(0.001, 0.015)

        def deliver() -> None:
            if {host, sender} & set(self.dead) or self.parts.get(host) != self.parts.get(sender):
                return
            node = self.nodes[host]
            (copy,) = decode_messages(data).unwrap()
            if isinstance(copy, QuotaReport):
                node.on_report(sender, copy, self.now)
            else:
                node.on_limits(sender, copy, self.now)  # type: ignore[arg-type]

        self.at(delay_s, deliver)
        return True

    def _arrive(self, load: Load) -> None:
        rate = load.rate_at(self.now - 1000.0)
        if rate:
            self._ask(load, 3)
        self.at(self.rng.expovariate(rate) if rate else 0.1, lambda: self._arrive(load))

    def _ask(self, load: Load, retries: int) -> None:
        zone = load.zone_at(self.now - 1000.0)
        hosts = [m.host for m in self.all if zone is None or m.availability_zone == f"z{zone}"]
        alive = [host for host in hosts if host not in self.dead]
        node = self.nodes[self.rng.choice(alive)]
        workspace = next(
            (w for w in node.limited.values() if w.name == load.workspace.name), load.workspace
        )
        retry_s = node.admit(workspace, self.now)
        if retry_s is None:
            load.admitted.append(self.now)
            return
        load.rejected.append(self.now)
        if retries:
            delay_s = retry_s if load.retries == "obedient" else 0.005
            self.at(delay_s, lambda: self._ask(load, retries - 1))
