"""Entry hosts that prove their configuration to each other, over the in-memory mesh."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

import trio
from returns.result import Failure, Result, Success

from dotterelstand.process.discovery.freshness import ProofLedger
from dotterelstand.process.discovery.proofs import HostProofs
from dotterelstand.process.discovery.proofsource import ProofSource
from dotterelstand.process.discovery.registry import (
    REFUSED,
    RELAYED_KINDS,
    Configuration,
    Entry,
    Item,
    Kind,
    Listing,
    PlatformError,
)
from dotterelstand.process.discovery.relayedplatform import RelayedPlatform
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.standin.mesh import FakeMeshNetwork
from dotterelstand.standin.virtual import seeded_random

INTERVAL_S = 1.5
LIMIT_S = 5.0
FULL_MESH_HOSTS = 24
HUBS_PER_REGION = 4


class FakeStore:
    """Configuration `number` at `revision`; refuses the hosts in `refused`."""

    def __init__(self) -> None:
        self.number = 7
        self.revision = 100
        self.refused: set[str] = set()
        # Number of list calls by host.
        self.lists: Counter[str] = Counter()
        self.changed = trio.Event()

    def change(self) -> None:
        """Accept the next configuration."""
        self.number += 1
        self.revision += 1
        self.changed.set()
        self.changed = trio.Event()


class FakePlatform:
    """Implements `Platform` for one host; changes are encoded as their number."""

    def __init__(self, store: FakeStore, host: str) -> None:
        self._store = store
        self._host = host

    async def _call(self) -> Result[None, PlatformError]:
        await trio.sleep(0.004)
        refused = self._host in self._store.refused
        return Failure(PlatformError(REFUSED, "refused")) if refused else Success(None)

    def _listing(self, number: int, revision: int) -> Listing[Item]:
        item = Configuration(number, (), {}, (), frozenset())
        return Listing([Entry("main", item)], revision, str(number).encode())

    async def list(self, kind: Kind) -> Result[Listing[Item], PlatformError]:
        self._store.lists[self._host] += 1
        called = await self._call()
        return called.map(lambda _: self._listing(self._store.number, self._store.revision))

    async def list_hosts(
        self, region: str, stale_ok: bool = False
    ) -> Result[Listing[Item], PlatformError]:
        return Success(Listing([], 5))

    async def watch(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Result[Listing[Item], PlatformError]:
        if wait_s > 1.0 and kind is Kind.TARGETS:
            await trio.sleep_forever()
        with trio.move_on_after(wait_s):
            while self._store.revision <= revision and self._host not in self._store.refused:
                await self._store.changed.wait()
        called = await self._call()
        if self._store.revision <= revision:
            return called.map(lambda _: Listing([], revision))
        return called.map(lambda _: self._listing(self._store.number, self._store.revision))

    async def check(self) -> Result[None, PlatformError]:
        return await self._call()

    async def register_host(self, host: ListedHost) -> Result[None, PlatformError]:
        return Success(None)

    def parse_changes(self, kind: Kind, encoded: bytes) -> Result[Listing[Item], PlatformError]:
        return Success(self._listing(int(encoded), 0))

    def parse_list(self, kind: Kind, encoded: bytes) -> Result[Listing[Item], PlatformError]:
        return Success(self._listing(int(encoded), 93 + int(encoded)))

    def merge_changes(
        self, encoded_list: bytes, changes: Sequence[bytes], revision: int
    ) -> Result[bytes, PlatformError]:
        return Success(changes[-1] if changes else encoded_list)

    def diff_lists(self, old: bytes, new: bytes) -> Result[bytes, PlatformError]:
        return Success(new)


class ProofHost:
    """One entry host; `suspended_s` is added to its clock."""

    def __init__(self, fleet: "ProofFleet", member: Member) -> None:
        self.suspended_s = 0.0
        self.metrics = Metrics(64)
        self.number = 0
        self.mesh = fleet.network.join(member)
        platform = FakePlatform(fleet.store, member.host)
        ledger = ProofLedger(LIMIT_S)
        rng = seeded_random(fleet.seed, member.host)
        self.source = ProofSource(platform, ledger, self.metrics, INTERVAL_S, self.clock)
        self.relayed = RelayedPlatform(
            platform,
            self.mesh,
            self.metrics,
            dict.fromkeys(RELAYED_KINDS, 0.0),
            rng,
            self.source,
        )
        self.proofs = HostProofs(
            self.mesh,
            self.metrics,
            ledger,
            self.relayed.prove,
            lambda: self.relayed.era,
            INTERVAL_S,
            self.clock,
            rng,
        )

    def clock(self) -> float:
        """Seconds of a clock that counts suspension."""
        return trio.current_time() + self.suspended_s

    async def follow(self) -> None:
        """Read the configuration, and apply its changes."""
        await self.relayed.list_hosts(self.mesh.region)
        while True:
            listing = await self.relayed.list(Kind.CONFIGURATION)
            while isinstance(listing, Success):
                for entry in listing.unwrap().entries:
                    assert isinstance(entry.item, Configuration)
                    self.source.keyed = True
                    self.number = max(self.number, entry.item.number)
                    self.proofs.apply(entry.item.number, True)
                revision = listing.unwrap().revision
                listing = await self.relayed.watch(Kind.CONFIGURATION, revision, 10.0)
            await trio.sleep(0.2)

    async def read_targets(self) -> None:
        """Read the targets once, since relays report only when they know both kinds."""
        await self.relayed.list(Kind.TARGETS)


class ProofFleet:
    """`hosts` entry hosts in three regions, with hubs if they are many."""

    def __init__(self, hosts: int, seed: int, latency_s: float = 0.006) -> None:
        self.seed = seed
        self.store = FakeStore()
        self.network = FakeMeshNetwork(lambda one, other: latency_s)
        self.hosts: dict[str, ProofHost] = {}
        for index in range(hosts):
            hub = hosts <= FULL_MESH_HOSTS or index // 3 < HUBS_PER_REGION
            member = Member(f"e{index}", f"r{index % 3}", f"r{index % 3}-1", False, hub)
            self.hosts[member.host] = ProofHost(self, member)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all hosts and wait until they run steadily."""
        nursery.start_soon(self.network.run)
        for host in self.hosts.values():
            for task in (host.relayed.run, host.proofs.run, host.follow, host.read_targets):
                nursery.start_soon(task)
        await trio.sleep(6.0)

    def unproven(self) -> list[str]:
        """Hosts that have no proof now."""
        return [
            name
            for name, host in self.hosts.items()
            if not host.proofs.is_proven() and not host.mesh.lost
        ]

    def total(self, counter: str) -> int:
        """Sum of a counter over all hosts."""
        return sum(host.metrics.value(counter) for host in self.hosts.values())

    def prover(self, region: str) -> str:
        """The host that proves the configuration to a region."""
        (name,) = [
            name
            for name, host in self.hosts.items()
            if host.mesh.region == region and host.relayed._role.proves
        ]
        return name


def counters(fleet: ProofFleet) -> dict[str, Any]:
    """Counters of messages and calls for proofs."""
    names = ("platform.proof_requests", "platform.proof_calls", "platform.checks")
    return {name: fleet.total(name) for name in names} | {"lists": fleet.store.lists.total()}
