"""Measures how calls to the platform's store and bytes between hosts grow with the fleet."""

import random
from collections.abc import Sequence

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
# Interval between changes, each of one target.
CHANGE_INTERVAL_S = 2.0
# Encoded change as the store sends it; random, so that links cannot compress it.
CHANGE_BODY = random.Random(1).randbytes(400)
WATCH_WAIT_S = 30.0
WATCH_PAUSES_S = {Kind.TARGETS: 0.8, Kind.CONFIGURATION: 0.1}


class ChangingStore:
    """Store of the platform with changing targets; counts the calls of all hosts by kind."""

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
    """Implements `Platform` for one host and counts its calls in the store."""

    __slots__ = ("_store",)

    def __init__(self, store: ChangingStore) -> None:
        self._store = store

    async def list(self, kind: Kind) -> Result[Listing[Item], PlatformError]:
        """Return an empty list with the current revision."""
        self._store.calls["list"] += 1
        return Success(Listing([], self._store.revision))

    def merge_changes(
        self, encoded_list: bytes, changes: Sequence[bytes], revision: int
    ) -> Result[bytes, PlatformError]:
        """Return the list unchanged."""
        return Success(encoded_list)

    def diff_lists(self, old: bytes, new: bytes) -> Result[bytes, PlatformError]:
        """Return a body that stands for one change."""
        return Success(new)

    async def list_hosts(
        self, region: str, stale_ok: bool = False
    ) -> Result[Listing[Item], PlatformError]:
        """Return an empty list; the fleet maintains the host list."""
        return Success(Listing([], self._store.revision))

    def parse_list(self, kind: Kind, encoded: bytes) -> Result[Listing[Item], PlatformError]:
        """Return an empty list with the current revision."""
        return Success(Listing([], self._store.revision))

    async def watch(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Result[Listing[Item], PlatformError]:
        """Wait for a change of the targets and return all changes as one entry."""
        self._store.calls["watch"] += 1
        with trio.move_on_after(wait_s):
            while kind is not Kind.TARGETS or self._store.revision <= revision:
                await self._store.changed.wait()
        return self.parse_changes(kind, CHANGE_BODY)

    def parse_changes(self, kind: Kind, encoded: bytes) -> Result[Listing[Item], PlatformError]:
        """Return one entry for all changes up to the revision of the store."""
        entries: list[Entry[Item]] = [Entry("t", None)] if kind is Kind.TARGETS else []
        return Success(Listing(entries, self._store.revision, encoded))

    async def check(self) -> Result[None, PlatformError]:
        """Count the call, which always succeeds."""
        self._store.calls["check"] += 1
        return Success(None)

    async def register_host(self, host: ListedHost) -> Result[None, PlatformError]:
        """Do nothing; the fleet maintains the host list."""
        return Success(None)


class RelayCost:
    """Calls and sent bytes per second in one fleet.

    `calls` are those of the whole fleet, by kind. `hub_bytes_per_s` is for the busiest hub,
    `other_bytes_per_s` the average of the hosts that are not hubs.
    """

    __slots__ = ("calls", "hub_bytes_per_s", "other_bytes_per_s")

    def __init__(
        self, calls: dict[str, float], hub_bytes_per_s: float, other_bytes_per_s: float
    ) -> None:
        self.calls = calls
        self.hub_bytes_per_s = hub_bytes_per_s
        self.other_bytes_per_s = other_bytes_per_s


async def _watch_changes(relayed: RelayedPlatform, kind: Kind) -> None:
    revision = (await relayed.list(kind)).unwrap().revision
    while True:
        result = await relayed.watch(kind, revision, WATCH_WAIT_S)
        revision = result.unwrap().revision


async def _measure(seed: int, hosts: int) -> RelayCost:
    store = ChangingStore()
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, hosts, seed)
        await fleet.start_all()
        await trio.sleep(SETTLE_S)
        for name, peers in fleet.peers.items():
            rng = seeded_random(seed, f"shared/{name}")
            relayed = RelayedPlatform(
                CountedPlatform(store), peers, peers.metrics, WATCH_PAUSES_S, rng
            )
            nursery.start_soon(relayed.run)
            await relayed.list_hosts(peers.region)
            for kind in RELAYED_KINDS:
                nursery.start_soon(_watch_changes, relayed, kind)
        await trio.sleep(SETTLE_S)
        calls, bytes_before = dict(store.calls), _sent_bytes(fleet)
        for _ in range(int(MEASURED_S / CHANGE_INTERVAL_S)):
            store.change()
            await trio.sleep(CHANGE_INTERVAL_S)
        rates = {name: (store.calls[name] - calls[name]) / MEASURED_S for name in calls}
        after = _sent_bytes(fleet)
        bytes_per_s = {
            name: (after[name] - bytes_before[name]) / MEASURED_S for name in bytes_before
        }
        members = next(iter(fleet.peers.values())).members()
        hubs = [bytes_per_s[item.host] for item in members if item.hub]
        others = [bytes_per_s[item.host] for item in members if not item.hub] or hubs
        nursery.cancel_scope.cancel()
    return RelayCost(rates, max(hubs), sum(others) / len(others))


def _sent_bytes(fleet: Fleet) -> dict[str, float]:
    return {
        name: sum(
            peers.metrics.value(f"peers.sent_bytes.{region}") for region in ("local", "other")
        )
        for name, peers in fleet.peers.items()
    }


def run_relays(seed: int = 1) -> None:
    """Print the calls and bytes per second for fleets of several sizes in three regions."""
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
                f"{cost.hub_bytes_per_s:.0f}",
                f"{cost.other_bytes_per_s:.0f}",
            ]
        )
    columns = ["hosts", "watches and lists/s", "checks/s", "bytes/s, busiest hub", "others"]
    section.add_table(columns, rows)
    print(section.markdown())


if __name__ == "__main__":
    fire.Fire(run_relays)
