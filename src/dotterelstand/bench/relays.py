"""How the calls to the platform's store and the bytes between entry hosts grow with the fleet."""

import random

import fire
import trio
from returns.result import Result, Success

from dotterelstand.bench.report import Section
from dotterelstand.process.discovery.registry import (
    RELAYED_KINDS,
    Entry,
    Item,
    Kind,
    Listing,
    PlatformError,
)
from dotterelstand.process.discovery.relayedplatform import RelayedPlatform
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.standin.entryfleet import Fleet
from dotterelstand.standin.virtual import run_virtual, seeded_random

HOST_COUNTS = (6, 16, 30, 100, 116)
SETTLE_S = 10.0
MEASURED_S = 30.0
# Targets change at this interval, one at a time.
CHANGE_INTERVAL_S = 2.0
# One change as the store sends it; random bytes, since links carry them compressed.
CHANGE = random.Random(1).randbytes(400)
WATCH_S = 30.0
PAUSES_S = {Kind.TARGETS: 0.8, Kind.CONFIGURATION: 0.1}


class ChangingStore:
    """A store whose targets change, and which counts the calls of all hosts."""

    __slots__ = ("calls", "changed", "revision")

    def __init__(self) -> None:
        self.revision = 1
        self.changed = trio.Event()
        self.calls = {"list": 0, "watch": 0, "check": 0}

    def change(self) -> None:
        """Change one target."""
        self.revision += 1
        self.changed.set()
        self.changed = trio.Event()


class CountedPlatform:
    """Implements `Platform` for one host."""

    __slots__ = ("_store",)

    def __init__(self, store: ChangingStore) -> None:
        self._store = store

    async def list(self, kind: Kind) -> Result[Listing[Item], PlatformError]:
        """Nothing but the revision."""
        self._store.calls["list"] += 1
        return Success(Listing([], self._store.revision))

    async def watch(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Result[Listing[Item], PlatformError]:
        """One entry for all changes of the targets."""
        self._store.calls["watch"] += 1
        with trio.move_on_after(wait_s):
            while kind is not Kind.TARGETS or self._store.revision <= revision:
                await self._store.changed.wait()
        return self.parse_changes(kind, CHANGE)

    def parse_changes(self, kind: Kind, encoded: bytes) -> Result[Listing[Item], PlatformError]:
        """Changes up to the revision of the store."""
        entries: list[Entry[Item]] = [Entry("t", None)] if kind is Kind.TARGETS else []
        return Success(Listing(entries, self._store.revision, encoded))

    async def check(self) -> Result[None, PlatformError]:
        """The store always answers."""
        self._store.calls["check"] += 1
        return Success(None)

    async def register_host(self, host: ListedHost) -> Result[None, PlatformError]:
        """Hosts are listed by the fleet."""
        return Success(None)


class RelayCost:
    """Calls of the whole fleet and bytes sent by one host, each a second."""

    __slots__ = ("bytes_hub", "bytes_other", "calls")

    def __init__(self, calls: dict[str, float], bytes_hub: float, bytes_other: float) -> None:
        self.calls = calls
        self.bytes_hub = bytes_hub
        self.bytes_other = bytes_other


async def _follow(relayed: RelayedPlatform, kind: Kind) -> None:
    revision = (await relayed.list(kind)).unwrap().revision
    while True:
        result = await relayed.watch(kind, revision, WATCH_S)
        revision = result.unwrap().revision


async def _measure(seed: int, hosts: int) -> RelayCost:
    store = ChangingStore()
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, hosts, seed)
        await fleet.start_all()
        await trio.sleep(SETTLE_S)
        for name, peers in fleet.peers.items():
            rng = seeded_random(seed, f"shared/{name}")
            relayed = RelayedPlatform(CountedPlatform(store), peers, peers.metrics, PAUSES_S, rng)
            nursery.start_soon(relayed.run)
            for kind in RELAYED_KINDS:
                nursery.start_soon(_follow, relayed, kind)
        await trio.sleep(SETTLE_S)
        calls, sent = dict(store.calls), _sent_bytes(fleet)
        for _ in range(int(MEASURED_S / CHANGE_INTERVAL_S)):
            store.change()
            await trio.sleep(CHANGE_INTERVAL_S)
        rates = {name: (store.calls[name] - calls[name]) / MEASURED_S for name in calls}
        after = _sent_bytes(fleet)
        spent = {name: (after[name] - sent[name]) / MEASURED_S for name in sent}
        members = next(iter(fleet.peers.values())).members()
        hubs = [spent[item.host] for item in members if item.hub]
        others = [spent[item.host] for item in members if not item.hub] or hubs
        nursery.cancel_scope.cancel()
    return RelayCost(rates, max(hubs), sum(others) / len(others))


def _sent_bytes(fleet: Fleet) -> dict[str, float]:
    return {
        name: sum(peers.metrics.value(f"peers.sent_bytes.{where}") for where in ("local", "other"))
        for name, peers in fleet.peers.items()
    }


def run_relays(seed: int = 1) -> None:
    """Print calls and bytes for each size of the fleet, in three regions."""
    section = Section("Calls to the platform's store, with a change each two seconds")
    rows = []
    for hosts in HOST_COUNTS:
        cost: RelayCost = run_virtual(_measure, seed, hosts, seed=seed)
        watches = cost.calls["watch"] + cost.calls["list"]
        rows.append(
            [
                str(hosts),
                f"{watches:.2f}",
                f"{cost.calls['check']:.2f}",
                f"{cost.bytes_hub:.0f}",
                f"{cost.bytes_other:.0f}",
            ]
        )
    columns = ["hosts", "watches and lists/s", "checks/s", "bytes/s, busiest hub", "others"]
    section.add_table(columns, rows)
    print(section.markdown())


if __name__ == "__main__":
    fire.Fire(run_relays)
