"""Daemon processes keep their promises under faults from outside, and the judge sees when not."""

from pathlib import Path

import pytest
import trio
from soak import faults, run
from soak.faults import Fault, FaultContext
from soak.hosts import STABLE_S

from dotterelstand.process.discovery.relayedplatform import RELAY_KEY
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.peering.ranking import rank_hosts

MUTATED = str(Path(__file__).parent / "soak" / "mutated.py")
SECONDS = 12.0
MUTATION_S = 9.0
MUTATION_SEEDS = (1, 2, 3)
# Faults of a mutation's run end so early that nothing has to recover.
MUTATION_RECOVERY_S = 3.0

# Seeds that broke a promise once, with the cause.
FAILED_SEEDS = [
    3,  # a change of settings ended a daemon that was starting
    50,  # a host waited for a watch that the store had swallowed, while it was behind its relay
]


@pytest.mark.parametrize("seed", [1, *FAILED_SEEDS])
def test_processes_keep_their_promises(seed: int, tmp_path: Path) -> None:
    """Guards what docs/soak.md promises, with real processes, sockets and signals."""
    report = trio.run(run.run_soak, seed, SECONDS, tmp_path)
    assert [str(violation) for violation in report.violations] == []
    assert report.answered > report.requests * 0.8


async def order_instance_crashes(context: FaultContext) -> None:
    """An instance crashes while it runs a request."""
    with trio.move_on_after(5.0):
        while True:
            for instance in context.fleet.registered():
                if instance.runs and instance.runs[-1].state == "began":
                    if instance.service == "orders":
                        await faults.crash(context, instance)
                        return
            await trio.sleep(0.001)


async def relay_cut(context: FaultContext) -> None:
    """The host that reads the store for its region is cut off, and a version is accepted."""
    members = tuple(
        Member(host.name, "r0", "", False)
        for host in context.fleet.running_hosts()
        if host.region == 0
    )
    relay = context.fleet.hosts[rank_hosts(RELAY_KEY, members, "r0")[0]]
    await trio.sleep(STABLE_S)
    if context.fleet.is_calm(relay.name, trio.current_time(), trio.current_time()):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(faults.break_store_path, context, relay, "cut", 5.0)
            await trio.sleep(0.1)
            context.fleet.accept_configuration()


async def busy_host_stops(context: FaultContext) -> None:
    """A host is stopped while the requests at every instance take long."""
    for instance in context.fleet.registered():
        instance.pace = 1000
    await trio.sleep(0.5)
    await faults.host_stopped(context)


CRASHES = (order_instance_crashes,)


@pytest.mark.parametrize(
    ("mutation", "struck", "promise"),
    [
        ("retry_what_may_have_run", CRASHES, "at most once"),
        ("call_lost_not_run", CRASHES, "at most once"),
        ("cut_at_stop", (busy_host_stops,), "planned stop"),
        ("ignore_newer_versions", (faults.configurations,), "in force everywhere"),
        ("ignore_leaving_targets", (faults.instance_leaves,), "no work for leaving targets"),
        ("rely_on_lost_relays", (relay_cut,), "in force everywhere"),
    ],
)
def test_the_judge_catches_a_daemon_that_breaks_a_promise(
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
    mutation: str,
    struck: tuple[Fault, ...],
    promise: str,
) -> None:
    """A judge that misses a broken promise would make every run without violations worthless.

    Real time decides what a fault meets, so that one of a few seeds must show it.
    """
    monkeypatch.setattr(faults, "FAULTS", struck)
    monkeypatch.setattr(run, "RECOVERY_S", MUTATION_RECOVERY_S)
    monkeypatch.setattr(run, "CALM_REQUESTS", 0)
    found: set[str] = set()
    for seed in MUTATION_SEEDS:
        folder = tmp_path / str(seed)
        folder.mkdir()
        report = trio.run(run.run_soak, seed, MUTATION_S, folder, [MUTATED, mutation])
        found = {violation.guarantee for violation in report.violations}
        if promise in found:
            return
    assert promise in found
