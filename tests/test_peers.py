"""Links between entry hosts."""

import pytest
import trio

from dotterelstand.connection.wire import (
    Announce,
    Hello,
    Message,
    StrikeConfirmed,
    TargetLeaving,
)
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.process.peering.overlay import HUBS_PER_REGION, choose_hubs, choose_peers
from dotterelstand.standin.entryfleet import Fleet
from dotterelstand.standin.virtual import run_virtual


async def _full_mesh(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 16, seed)
        await fleet.start_all()
        await trio.sleep(2)
        for peers in fleet.peers.values():
            assert len(peers.linked()) == 15
            assert [member.host for member in peers.members()] == sorted(fleet.hosts)
        received: list[str] = []
        for name, peers in fleet.peers.items():
            peers.subscribe(TargetLeaving, lambda sender, _, name=name: received.append(name))
        assert fleet.peers["entry-00"].broadcast(TargetLeaving("t-1")) == 15
        await trio.sleep(0.1)
        assert sorted(received) == sorted(set(fleet.hosts) - {"entry-00"})
        counts = fleet.peers["entry-00"].metrics.snapshot().counters
        assert counts["peers.sent_bytes.local"] > 0 and counts["peers.sent_bytes.other"] > 0
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(5))
def test_hosts_that_dial_each_other_end_with_one_link_per_pair(seed: int) -> None:
    """Guards against two links or none between hosts that dialled each other simultaneously."""
    run_virtual(_full_mesh, seed, seed=seed)


async def _partition_pair(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 2, seed)
        one, other = [await fleet.start(name) for name in fleet.hosts]
        await trio.sleep(2)
        fleet.network.partition(*fleet.hosts.values())
        await trio.sleep(5)
        assert one.linked() == other.linked() == ()
        assert [member.host for member in one.members()] == ["entry-00"]
        fleet.network.heal(*fleet.hosts.values())
        await trio.sleep(6)
        assert one.linked() == ("entry-01",) and other.linked() == ("entry-00",)
        nursery.cancel_scope.cancel()


def test_silent_link_is_closed_and_opened_again() -> None:
    """Guards against a dead link that stays open for ever after a network partition."""
    run_virtual(_partition_pair, 1, seed=1)


async def _fill_queue(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 2, seed)
        one, other = [await fleet.start(name) for name in fleet.hosts]
        await trio.sleep(2)
        assert not one.send("entry-01", Announce("x" * 1_048_576, 1))
        sent = sum(one.send("entry-01", StrikeConfirmed(n)) for n in range(5000))
        assert sent == 1024
        received: list[int] = []
        other.subscribe(StrikeConfirmed, lambda _, message: received.append(message.number))
        await trio.sleep(1)
        assert received == list(range(1024))
        assert one.metrics.value("peers.dropped") == 5000 - 1024 + 1
        nursery.cancel_scope.cancel()


def test_queue_and_message_size_are_bounded() -> None:
    """Guards against unbounded memory use for a peer that does not read."""
    run_virtual(_fill_queue, 1, seed=1)


@pytest.mark.parametrize("count", [2, 24, 25, 60, 150, 400])
def test_overlay_is_symmetric_connected_and_sparse(count: int) -> None:
    """Guards against hosts that no announcement reaches, and against an unbounded link count."""
    regions = {f"h{n}": f"r{n % 4}" for n in range(count)}
    hubs = choose_hubs([ListedHost(host, "", 1, False, regions[host]) for host in regions])
    links = {host: choose_peers(host, regions, hubs) for host in regions}
    assert all(host in links[peer] for host in links for peer in links[host])
    reached, hops = {"h0"}, 0
    while len(reached) < count:
        next_reached = reached | {peer for host in reached for peer in links[host]}
        assert next_reached > reached
        reached, hops = next_reached, hops + 1
    assert hops <= (1 if count <= 24 else 3)
    if count > 24:
        sparse = [len(links[host]) for host in regions if host not in hubs]
        assert max(sparse, default=0) <= HUBS_PER_REGION
        for hub in hubs:
            region = {host for host in regions if regions[host] == regions[hub]}
            assert region - {hub} <= links[hub]


@pytest.mark.parametrize(
    ("count", "expected"),
    [(24, 24), (25, 2 * HUBS_PER_REGION), (120, 2 * HUBS_PER_REGION)],
)
def test_the_hosts_with_the_most_capacity_are_hubs(count: int, expected: int) -> None:
    """Guards against hosts of low capacity that must grant the slots of a whole region."""
    hosts = [
        ListedHost(f"h{n}", "", 1, False, f"r{n % 2}", capacity=2.0 if n < 8 else 0.4)
        for n in range(count)
    ]
    hubs = choose_hubs(hosts)
    assert len(hubs) == expected
    if count > 24:
        assert hubs == {f"h{n}" for n in range(8)}
    assert choose_hubs(hosts[::-1]) == hubs


async def _large_region(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 30, seed)
        await fleet.start_all()
        await trio.sleep(8)
        for name, peers in fleet.peers.items():
            hubs = [item for item in peers.members() if item.hub and item.region == peers.region]
            assert len(hubs) == HUBS_PER_REGION
            assert {item.host for item in hubs} - {name} <= set(peers.linked())
        nursery.cancel_scope.cancel()


def test_every_host_of_a_large_fleet_is_linked_with_the_hubs_of_its_region() -> None:
    """Guards against hosts that cannot request slots because no dispatcher is linked to them."""
    run_virtual(_large_region, 1, seed=1)


async def _lose_hubs(seed: int, lost: int, return_after_s: float | None) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 30, seed)
        await fleet.start_all()
        await trio.sleep(8)
        survivor = next(name for name, peers in fleet.peers.items() if not peers.is_hub)
        region = fleet.peers[survivor].region
        hubs = [
            item.host
            for item in fleet.peers[survivor].members()
            if item.hub and item.region == region
        ]
        for name in hubs[:lost]:
            fleet.crash(name)
        if return_after_s is not None:
            await trio.sleep(return_after_s)
            for name in hubs[:lost]:
                await fleet.start(name)
        await trio.sleep(12)
        for name, peers in fleet.peers.items():
            if peers.region != region:
                continue
            live = {item.host for item in peers.members() if item.hub and item.region == region}
            assert len(live) == HUBS_PER_REGION
            assert live <= set(fleet.peers)
            assert live - {name} <= set(peers.linked())
            if return_after_s is not None:
                assert live == set(hubs)
        links = [len(peers.linked()) for peers in fleet.peers.values() if not peers.is_hub]
        assert max(links) <= HUBS_PER_REGION
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("lost", "return_after_s"), [(1, None), (HUBS_PER_REGION, None), (2, 0.5), (2, 6.0)]
)
def test_lost_hubs_are_replaced(lost: int, return_after_s: float | None) -> None:
    """Guards against a region without dispatchers and relays because listed hosts are gone."""
    run_virtual(_lose_hubs, 1, lost, return_after_s, seed=1)


async def _lose_most_hosts(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 40, seed)
        await fleet.start_all()
        await trio.sleep(8)
        for name in sorted(fleet.hosts)[::2]:
            fleet.crash(name)
        await trio.sleep(12)
        assert len(fleet.peers) == 20
        assert any(not peers.is_hub for peers in fleet.peers.values())
        assert all(peers.is_overlay for peers in fleet.peers.values())
        nursery.cancel_scope.cancel()


def test_a_large_fleet_passes_announcements_on_after_it_lost_half_of_its_hosts() -> None:
    """Guards against strikes that reach the hubs only, since few hosts are live."""
    run_virtual(_lose_most_hosts, 1, seed=1)


class BrokenPart:
    """Raises an error for each message of a type that it receives while `broken` is set."""

    def __init__(self) -> None:
        self.broken = True
        self.received = 0

    def handle(self, sender: str, message: Message) -> None:
        """Count a message, or raise `KeyError`."""
        self.received += 1
        if self.broken:
            raise KeyError(sender)


async def _break_part(seed: int, kind: type[Message], message: Message | None) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 3, seed)
        part = BrokenPart()
        await fleet.start_all()
        await trio.sleep(2)
        broken, other = fleet.peers["entry-00"], fleet.peers["entry-01"]
        broken.subscribe(kind, part.handle)
        if message is None:
            fleet.crash("entry-01")
            other = await fleet.start("entry-01")
        else:
            other.send("entry-00", message)
        await trio.sleep(4)
        assert 1 <= part.received <= 8
        part.broken = False
        await trio.sleep(4)
        assert broken.linked() == ("entry-01", "entry-02")
        assert broken.metrics.value("peers.faults") >= 1
        received = part.received
        if message is not None:
            assert other.send("entry-00", message)
            await trio.sleep(0.1)
            assert part.received == received + 1
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("kind", "message"), [(TargetLeaving, TargetLeaving("t-1")), (Hello, None)]
)
def test_a_message_that_a_part_cannot_handle_ends_its_link_only(
    kind: type[Message], message: Message | None
) -> None:
    """Guards against a daemon that ends since one of its parts raises for a message of a peer."""
    run_virtual(_break_part, 1, kind, message, seed=1)
