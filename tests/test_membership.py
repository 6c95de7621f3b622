"""Membership while hosts are replaced or lost and the host list lags behind."""

import pytest
import trio

from dotterelstand.connection.wire import Hello
from dotterelstand.process.discovery.hostlist import parse_host_list
from dotterelstand.process.peering.membership import ListedHost, Membership
from dotterelstand.process.peering.mesh import Member
from dotterelstand.standin.entryfleet import Fleet, host_list
from dotterelstand.standin.virtual import run_virtual

SUSPECT_AFTER_S = 3.0
# Maximum time from a host's last heartbeat to its removal: the suspicion timeout and one heartbeat.
LOST_AFTER_S = SUSPECT_AFTER_S + 1.0


def _hello(incarnation: int) -> Hello:
    return Hello("10.0.0.2", "ost-1", 100, "b", incarnation, 8090, "ost")


def _membership() -> Membership:
    return Membership(Member("a", "ost", "ost-1", False), 1, SUSPECT_AFTER_S, 8)


def _live(membership: Membership, now: float) -> list[str]:
    return [member.host for member in membership.members(now)]


def test_heartbeats_of_a_replaced_incarnation_are_ignored() -> None:
    """Guards against a late frame of a lost host that revives it or removes its replacement."""
    membership = _membership()
    assert membership.admit(_hello(5), 0.0)
    assert membership.admit(_hello(6), 1.0)
    assert not membership.admit(_hello(5), 1.1)
    membership.record_heartbeat("b", 5, True, 3.9)
    assert not membership.members(1.2)[1].leaving
    membership.record_goodbye("b", 5)
    assert _live(membership, 3.9) == ["a", "b"]
    assert _live(membership, 4.1) == ["a"]
    membership.record_heartbeat("b", 6, False, 4.2)
    membership.record_goodbye("b", 6)
    assert _live(membership, 4.3) == ["a"]
    assert membership.admit(_hello(7), 4.4)
    assert _live(membership, 4.4) == ["a", "b"]


@pytest.mark.parametrize(
    ("monitored", "now", "live"),
    [(True, 2.9, True), (True, 3.1, False), (False, 100.0, True)],
)
def test_listed_host_is_live_until_it_is_suspected(monitored: bool, now: float, live: bool) -> None:
    """Guards against a dead host kept live by a stale list, and suspicion of unmonitored hosts."""
    membership = _membership()
    membership.update_host_list([ListedHost("b", "10.0.0.2", 8090, False, "ost")], 0.0)
    membership.set_monitored_hosts(frozenset({"b"} if monitored else ()), 0.0)
    assert _live(membership, now) == (["a", "b"] if live else ["a"])


def test_table_is_bounded_and_forgets() -> None:
    """Guards against a table that grows with every host that was ever a member."""
    membership = _membership()
    names = [ListedHost(f"h{n}", "10.0.0.2", 8090, False, "ost") for n in range(20)]
    membership.update_host_list(names, 0.0)
    assert len(membership.members(0.0)) == 9 and membership.overflows == 12
    membership.update_host_list([], 100.0)
    assert membership.dial_candidates() == []


@pytest.mark.parametrize(
    "entry",
    [
        1,
        {"role": "entry"},
        {"host": "a", "role": "entry"},
        {"host": "a", "role": "entry", "address": "x:99999"},
        {"host": "a", "role": "entry", "address": "x:y"},
        {"host": "a", "role": "entry", "address": ["x"]},
    ],
)
def test_malformed_list_entries_are_left_out(entry: object) -> None:
    """Guards against loss of the whole list because of one malformed entry."""
    good = {"host": "b", "role": "entry", "address": "10.0.0.2", "state": "leaving"}
    target = {"host": "t", "role": "target", "address": "10.0.0.9", "state": "live"}
    (host,) = parse_host_list([entry, good, target], 8090)
    assert (host.host, host.port, host.leaving) == ("b", 8090, True)


async def _replace_one_by_one(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 16, seed)
        await fleet.start_all()
        await trio.sleep(3)
        for name in fleet.hosts:
            linked_by_host = {host: peers.linked() for host, peers in fleet.peers.items()}
            assert all(len(linked) == 15 for linked in linked_by_host.values()), linked_by_host
            fleet.crash(name)
            await trio.sleep(LOST_AFTER_S)
            assert all(view == sorted(fleet.peers) for view in fleet.member_lists())
            await fleet.start(name)
            await trio.sleep(LOST_AFTER_S)
            assert all(view == sorted(fleet.hosts) for view in fleet.member_lists())
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(3))
def test_sixteen_hosts_are_replaced_one_by_one(seed: int) -> None:
    """Guards against a lost host kept live by a stale list, and an unrecognised replacement."""
    run_virtual(_replace_one_by_one, seed, seed=seed)


async def _lose_a_third(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 16, seed)
        await fleet.start_all()
        await trio.sleep(3)
        lost = sorted(fleet.hosts)[::3]
        for name in lost:
            fleet.crash(name)
        await trio.sleep(LOST_AFTER_S)
        assert all(view == sorted(fleet.peers) for view in fleet.member_lists())
        fleet.store.hosts = host_list({host: fleet.hosts[host] for host in fleet.peers})
        await trio.sleep(10)
        assert all(view == sorted(fleet.peers) for view in fleet.member_lists())
        fleet.store.hosts = host_list(fleet.hosts)
        for name in lost:
            await fleet.start(name)
        await trio.sleep(8)
        assert all(view == sorted(fleet.hosts) for view in fleet.member_lists())
        assert all(len(peers.linked()) == 15 for peers in fleet.peers.values())
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(3))
def test_a_third_of_the_hosts_is_lost_at_once_and_returns(seed: int) -> None:
    """Guards against survivors that disagree about which hosts are live."""
    run_virtual(_lose_a_third, seed, seed=seed)
