"""Strikes reach every entry host, and a suspect runs once at a time in the fleet."""

from collections.abc import Awaitable, Callable

import pytest
import trio

from dotterelstand.process.mesh import Member
from dotterelstand.process.metrics import Metrics
from dotterelstand.process.quarantine import Quarantine, QuarantineLimits, QuarantineService
from dotterelstand.standin.mesh import MeshHub
from dotterelstand.standin.virtual import run_virtual

FINGERPRINT = b"headhead" + b"bodybodybodybody"
LIMITS = QuarantineLimits()
Hosts = dict[str, QuarantineService]


def run_hosts(scenario: Callable[[Hosts, MeshHub], Awaitable[None]], count: int = 16) -> None:
    """Run a scenario with entry hosts in three regions."""

    async def main() -> None:
        hub = MeshHub(lambda one, other: 0.0005 if one == other else 0.012)
        hosts = {}
        for number in range(count):
            member = Member(f"e{number:02}", f"r{number % 3}", f"r{number % 3}-1", False)
            hosts[member.host] = QuarantineService(hub.join(member), LIMITS, Metrics(64))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hub.run)
            with trio.fail_after(300):
                await scenario(hosts, hub)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=1)


def test_two_targets_at_most_are_lost() -> None:
    """Guards against a caller that loses one target for each entry host that it tries."""

    async def scenario(hosts: Hosts, hub: MeshHub) -> None:
        lost: list[str] = []

        async def send(service: QuarantineService, number: int) -> None:
            admission = await service.admit(FINGERPRINT)
            if admission.allowed:
                await trio.sleep(0.02)
                lost.append(f"t{number}")
                await service.strike(FINGERPRINT, f"t{number}")
            service.leave(admission)

        await send(hosts["e00"], 0)
        # After the first strike every host receives the request several times at once.
        async with trio.open_nursery() as nursery:
            for number, service in enumerate([*hosts.values()] * 3, 1):
                nursery.start_soon(send, service, number)
        assert len(lost) == 2
        assert all(len(service.list_quarantined()) == 1 for service in hosts.values())
        assert hosts["e05"].lift(FINGERPRINT.hex())
        await trio.sleep(0.1)
        assert not any(service.list_quarantined() for service in hosts.values())

    run_hosts(scenario)


def test_strike_returns_when_peers_confirmed() -> None:
    """Guards against a failure answer that overtakes its strike, or waits without bound."""

    async def scenario(hosts: Hosts, hub: MeshHub) -> None:
        began = trio.current_time()
        await hosts["e00"].strike(FINGERPRINT, "t0")
        assert 0.024 <= trio.current_time() - began <= 0.05
        assert all(service.knows(FINGERPRINT[:8]) for service in hosts.values())
        hub.lose("e07")
        began = trio.current_time()
        await hosts["e00"].strike(FINGERPRINT, "t0")
        assert trio.current_time() - began == pytest.approx(LIMITS.confirm_timeout_s)

    run_hosts(scenario)


def test_lost_arbiter_only_delays() -> None:
    """Guards against suspects that never run again after their arbiter is lost."""

    async def scenario(hosts: Hosts, hub: MeshHub) -> None:
        own = hosts["e00"]
        fingerprints = [bytes([number]) * 24 for number in range(16)]
        fingerprint = next(key for key in fingerprints if own.arbiter(key) != "e00")
        await own.strike(fingerprint, "t0")
        for host in list(hosts)[1:]:
            hub.lose(host)
        refused = await own.admit(fingerprint)
        await trio.sleep(4)
        admitted = await own.admit(fingerprint)
        assert (refused.allowed, admitted.allowed) == (False, True)

    run_hosts(scenario, 3)


@pytest.mark.parametrize(
    ("strikes", "cleared_at", "asked_at", "quarantined"),
    [
        ([("t1", 0.0)], None, 1.0, False),
        ([("t1", 0.0), ("t1", 1.0)], None, 2.0, False),
        ([("t1", 0.0), ("t2", 1.0)], None, 2.0, True),
        ([("t1", 0.0), ("t2", 59.0)], None, 60.0, True),
        ([("t1", 0.0), ("t2", 61.0)], None, 62.0, False),
        ([("t1", 0.0), ("t2", 1.0)], None, 62.0, False),
        ([("t1", 0.0), ("t2", 10.0)], 5.0, 11.0, False),
    ],
)
def test_strike_rules(
    strikes: list[tuple[str, float]], cleared_at: float | None, asked_at: float, quarantined: bool
) -> None:
    """Guards against quarantine of ordinary crashes and against one that never ends."""
    table = Quarantine(LIMITS)
    for target, at in strikes:
        if cleared_at is not None and at > cleared_at:
            table.clear(FINGERPRINT)
        table.strike(FINGERPRINT, target, at)
    assert table.is_quarantined(FINGERPRINT, asked_at) is quarantined


def test_table_is_bounded() -> None:
    """Guards against growth by many crashing requests, and keeps quarantines over strikes."""
    table = Quarantine(QuarantineLimits(max_entries=16))
    table.strike(FINGERPRINT, "t1", 0.0)
    table.strike(FINGERPRINT, "t2", 0.0)
    for number in range(100):
        table.strike(number.to_bytes(24, "big"), "t1", 1.0)
    assert (len(table), table.overflows) == (16, 85)
    assert table.is_quarantined(FINGERPRINT, 2.0)
