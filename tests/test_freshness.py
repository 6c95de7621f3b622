"""A host uses the keys of its document only with a recent proof that the document is current."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
from proof_support import LIMIT_S, ProofFleet, counters

from dotterelstand.connection.proofwire import Proof as ProofMessage
from dotterelstand.process.discovery.freshness import (
    RESTORED_WAIT_S,
    Proof,
    ProofLedger,
    StartTrust,
)
from dotterelstand.process.discovery.proofs import elapsed_s
from dotterelstand.process.discovery.registry import FIRST_ERA
from dotterelstand.standin.virtual import run_virtual

MAX_AGE_S = 0.95 * LIMIT_S


@pytest.mark.parametrize(
    ("events", "now", "proven"),
    [
        ([], 0.0, False),
        ([("proof", 7, 0.0)], 0.0, False),
        ([("apply", 7)], 0.0, False),
        ([("apply", 7), ("proof", 7, 0.0)], MAX_AGE_S - 0.01, True),
        ([("apply", 7), ("proof", 7, 0.0)], MAX_AGE_S, False),
        ([("apply", 7), ("proof", 6, 0.0)], 1.0, True),
        ([("apply", 7), ("proof", 8, 0.0)], 1.0, False),
        ([("apply", 7), ("proof", 7, 0.0), ("proof", 8, 3.0)], MAX_AGE_S + 1, False),
        ([("apply", 7), ("proof", 8, 3.0), ("apply", 8)], MAX_AGE_S + 1, True),
        ([("proof", 9, 3.0), ("apply", 8)], 3.0, False),
        ([("apply", 7), ("proof", 7, 3.0), ("proof", 7, 1.0)], MAX_AGE_S + 2, True),
        ([("apply", 8), ("proof", 8, 1.0), ("apply", 7)], 2.0, True),
        ([("apply", 7), ("proof", 7, 100.0)], 20.0, False),
    ],
)
def test_a_proof_counts_for_a_document_that_is_new_enough(
    events: list[tuple[Any, ...]], now: float, proven: bool
) -> None:
    """Guards against keys of a document that was replaced, or proven too long ago."""
    ledger = ProofLedger(LIMIT_S)
    for event in events:
        if event[0] == "apply":
            ledger.apply(event[1])
        else:
            ledger.record(Proof(event[1], event[2]), 20.0)
    assert ledger.is_proven(now) is proven


@pytest.mark.parametrize(
    ("peers", "number", "restored", "after_s", "trusted"),
    [
        ([], 7, False, 0.0, True),
        ([], 7, True, RESTORED_WAIT_S - 0.1, False),
        ([], 7, True, RESTORED_WAIT_S, True),
        ([0], 7, True, 0.0, False),
        ([7], 7, True, 0.0, True),
        ([7, 8], 7, True, RESTORED_WAIT_S, False),
        ([7, 8], 8, True, 0.0, True),
        ([], 0, False, RESTORED_WAIT_S, False),
    ],
)
def test_a_starting_host_trusts_a_restored_store_late(
    peers: list[int], number: int, restored: bool, after_s: float, trusted: bool
) -> None:
    """Guards against a key whose removal the store lost while the host was not running."""
    trust = StartTrust(0.0)
    for peer in peers:
        trust.note_peer(peer)
    assert trust.allows(number, FIRST_ERA + restored, after_s) is trusted


def test_a_later_era_ends_the_trust_of_a_host_that_lags() -> None:
    """Guards against proofs of a restored store that lost a document which only a peer received."""
    trust = StartTrust(0.0)
    assert trust.allows(7, FIRST_ERA, 10.0)
    trust.note_peer(8)
    assert not trust.allows(7, FIRST_ERA + 1, 11.0)
    assert trust.allows(8, FIRST_ERA + 1, 12.0)


def test_a_proof_of_an_earlier_document_does_not_replace_that_of_a_later_one() -> None:
    """Guards against a restored store that proves the document before a lost one."""
    ledger = ProofLedger(5.0)
    ledger.apply(7)
    assert ledger.record(Proof(8, 3.0), 3.0)
    assert not ledger.record(Proof(7, 6.0), 6.0)
    assert not ledger.is_proven(6.1)


def test_the_clock_cannot_be_set(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against proofs that become younger since the wall clock was set back."""
    before = elapsed_s()
    monkeypatch.setattr(time, "time", lambda: -1e9)
    monkeypatch.setattr(time, "time_ns", lambda: -(10**18))
    assert 0.0 <= elapsed_s() - before < 60.0
    used: list[int] = []
    monkeypatch.setattr(time, "clock_gettime", lambda clock: used.append(clock) or 1.0)
    elapsed_s()
    assert used == [time.CLOCK_BOOTTIME]


def run_fleet(
    scenario: Callable[[ProofFleet], Awaitable[None]], hosts: int, latency_s: float = 0.006
) -> None:
    """Run a scenario in virtual time on a fleet whose hosts all have a proof."""

    async def main() -> None:
        fleet = ProofFleet(hosts, 1, latency_s)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            assert not fleet.unproven()
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=1)


async def _watch_for_loss(fleet: ProofFleet, seconds: float) -> set[str]:
    """Hosts that had no proof at some time within the next seconds."""
    found: set[str] = set()
    for _ in range(int(seconds / 0.1)):
        await trio.sleep(0.1)
        found |= set(fleet.unproven())
    return found


@pytest.mark.parametrize(
    ("hosts", "requests_per_s", "calls_per_s"), [(16, 11, 2.2), (137, 98, 2.2), (312, 225, 2.2)]
)
def test_messages_and_store_calls_of_a_fleet(
    hosts: int, requests_per_s: float, calls_per_s: float
) -> None:
    """Guards against costs that grow faster than the number of hosts, and calls by each host."""

    async def scenario(fleet: ProofFleet) -> None:
        before = counters(fleet)
        assert not await _watch_for_loss(fleet, 30.0)
        spent = {name: count - before[name] for name, count in counters(fleet).items()}
        assert spent["platform.proof_requests"] <= 30 * requests_per_s
        assert spent["platform.proof_calls"] <= 30 * calls_per_s
        assert spent["platform.checks"] <= 30 * 3 / 0.45
        assert not spent["lists"]

    run_fleet(scenario, hosts)


@pytest.mark.parametrize("fault", ["crash", "pause", "refuse"])
def test_proofs_outlast_the_loss_of_the_relay(fault: str) -> None:
    """Guards against refused keys in a region whose proving relay is lost, stalled or refused."""

    async def scenario(fleet: ProofFleet) -> None:
        lost = fleet.prover("r0")
        if fault == "crash":
            fleet.network.crash(lost)
        elif fault == "pause":
            fleet.network.meshes[lost].paused = True
        else:
            fleet.store.refused.add(lost)
        assert await _watch_for_loss(fleet, 12.0) <= ({lost} if fault == "pause" else set())

    run_fleet(scenario, 30)


@pytest.mark.parametrize(("hosts", "refused_region"), [(12, "r0"), (30, "r0")])
def test_hosts_that_the_store_refuses_use_the_proofs_of_others(
    hosts: int, refused_region: str
) -> None:
    """Guards against refused keys, and many store calls, in a region that the store refuses."""

    async def scenario(fleet: ProofFleet) -> None:
        names = {name for name, host in fleet.hosts.items() if host.mesh.region == refused_region}
        fleet.store.refused |= names
        assert not await _watch_for_loss(fleet, 12.0)

    run_fleet(scenario, hosts)


def test_no_host_has_a_proof_after_the_store_was_down() -> None:
    """Guards against hosts that prove an old document to each other without the store."""

    async def scenario(fleet: ProofFleet) -> None:
        fleet.store.refused |= set(fleet.hosts)
        fleet.store.change()
        before = counters(fleet)
        await trio.sleep(MAX_AGE_S)
        assert len(fleet.unproven()) == len(fleet.hosts)
        await trio.sleep(10.0)
        calls = counters(fleet)["platform.proof_calls"] - before["platform.proof_calls"]
        # Each host calls three times, and a relay once more before it knows that it is refused.
        assert calls <= 4 * len(fleet.hosts)
        fleet.store.refused.clear()
        await trio.sleep(4.0)
        assert not fleet.unproven()

    run_fleet(scenario, 12)


def test_a_suspended_host_has_no_proof_when_it_resumes() -> None:
    """Guards against requests on a key that was removed while the host was suspended."""

    async def scenario(fleet: ProofFleet) -> None:
        host = fleet.hosts["e1"]
        host.suspended_s = 60.0
        assert not host.proofs.is_proven()
        await trio.sleep(1.5)
        assert host.proofs.is_proven()

    run_fleet(scenario, 6)


def test_a_proof_is_dated_from_the_request() -> None:
    """Guards against a delayed answer that makes an old proof look young."""

    async def scenario(fleet: ProofFleet) -> None:
        host = fleet.hosts["e1"]
        fleet.store.refused |= set(fleet.hosts)
        mesh = host.mesh
        # The answers are held while the link to this host stalls.
        mesh.paused = True
        await trio.sleep(MAX_AGE_S)
        mesh.paused = False
        fleet.network.resume()
        await trio.sleep(0.01)
        assert not host.proofs.is_proven()

    run_fleet(scenario, 6)


@pytest.mark.parametrize(("age_ms", "call", "number"), [(0, 98, 9), (-5000, 99, 9), (0, 99, -1)])
def test_malformed_answers_are_refused(age_ms: int, call: int, number: int) -> None:
    """Guards against a proof that this host did not ask for, or one from the future."""

    async def scenario(fleet: ProofFleet) -> None:
        host = fleet.hosts["e2"]
        host.proofs._open_requests[99] = ("e1", trio.current_time())
        before = fleet.total("platform.proofs_refused")
        fleet.hosts["e1"].mesh.send("e2", ProofMessage(age_ms, call, number))
        await trio.sleep(0.1)
        assert fleet.total("platform.proofs_refused") == before + 1

    run_fleet(scenario, 6)
