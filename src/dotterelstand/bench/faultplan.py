"""Random faults for simulated fleets, injected alone, in pairs or several at once."""

import random
from collections.abc import Awaitable, Callable

import trio

from dotterelstand.bench.fleet import Fleet, SimulatedHost

Fault = Callable[[Fleet, random.Random], Awaitable[None]]

# A fault "at a step" strikes after a random number of steps of a host's tasks, at most this many.
MAX_STEPS_BEFORE_FAULT = 400


async def _pause_for(fleet: Fleet, name: str, seconds: float) -> None:
    host = fleet.hosts[name]
    if host.lost or fleet.freezer.is_frozen(host.incarnation_id):
        return
    fleet.set_paused(name, True)
    await trio.sleep(seconds)
    if fleet.hosts[name] is host:
        fleet.set_paused(name, False)


async def _replace_if_lost(fleet: Fleet, name: str, rng: random.Random) -> None:
    await trio.sleep(rng.uniform(0.1, 4.0))
    if fleet.hosts[name].lost:
        fleet.start_host(name)


def _random_host(fleet: Fleet, rng: random.Random) -> str:
    return rng.choice(sorted(fleet.hosts))


def _owner_or_random(fleet: Fleet, rng: random.Random) -> str:
    return fleet.owner() or _random_host(fleet, rng)


async def pause_owner(fleet: Fleet, rng: random.Random) -> None:
    """Pause the owner, often for longer than its lease."""
    await _pause_for(fleet, _owner_or_random(fleet, rng), rng.choice([0.3, 1.5, 2.5, 4.0, 6.0]))


async def pause_host(fleet: Fleet, rng: random.Random) -> None:
    """Pause a random host."""
    await _pause_for(fleet, _random_host(fleet, rng), rng.uniform(0.1, 5.0))


async def _freeze_at_step(fleet: Fleet, rng: random.Random, name: str) -> SimulatedHost:
    """Freeze a host just before one of the next steps of its tasks, chosen at random."""
    host = fleet.hosts[name]
    frozen = trio.Event()

    def freeze() -> None:
        if not host.lost and fleet.hosts[name] is host:
            fleet.set_paused(name, True)
        frozen.set()

    fleet.freezer.call_after_steps(
        host.incarnation_id, rng.randint(1, MAX_STEPS_BEFORE_FAULT), freeze
    )
    with trio.move_on_after(5.0):
        await frozen.wait()
    return host


async def pause_owner_at_step(fleet: Fleet, rng: random.Random) -> None:
    """Pause the owner between two steps of its tasks."""
    name = _owner_or_random(fleet, rng)
    host = await _freeze_at_step(fleet, rng, name)
    await trio.sleep(rng.choice([1.2, 2.6, 4.0]))
    if fleet.hosts[name] is host:
        fleet.set_paused(name, False)


async def lose_owner_at_step(fleet: Fleet, rng: random.Random) -> None:
    """Crash the owner between two steps of its tasks and replace it later."""
    name = _owner_or_random(fleet, rng)
    host = await _freeze_at_step(fleet, rng, name)
    if fleet.hosts[name] is host and not host.lost:
        fleet.lose_host(name)
    await _replace_if_lost(fleet, name, rng)


async def lose_host(fleet: Fleet, rng: random.Random) -> None:
    """Crash a random host and replace it later."""
    name = _random_host(fleet, rng)
    if not fleet.hosts[name].lost:
        fleet.lose_host(name)
    await _replace_if_lost(fleet, name, rng)


async def lose_writes_then_owner(fleet: Fleet, rng: random.Random) -> None:
    """Lose all writes to the store, and crash the owner before it can repeat its own."""
    name = _owner_or_random(fleet, rng)
    host = fleet.hosts[name]
    fleet.store.faults.lose_write = 1.0
    await trio.sleep(rng.uniform(0.05, 0.3))
    if fleet.hosts[name] is host and not host.lost:
        fleet.lose_host(name)
    fleet.store.faults.lose_write = 0.0
    await _replace_if_lost(fleet, name, rng)


async def stop_host(fleet: Fleet, rng: random.Random) -> None:
    """Stop the owner or a random host gracefully and replace it."""
    name = rng.choice([_owner_or_random, _random_host])(fleet, rng)
    host = fleet.hosts[name]
    if host.lost:
        return
    host.stop()
    await trio.sleep(rng.uniform(0.5, 5.0))
    if fleet.hosts[name] is host and not host.lost:
        fleet.lose_host(name)
    await _replace_if_lost(fleet, name, rng)


async def part_hosts(fleet: Fleet, rng: random.Random) -> None:
    """Partition two hosts from each other for a time."""
    first, second = rng.sample(sorted(fleet.hosts), 2)
    fleet.hub.set_partitioned(first, second, True)
    await trio.sleep(rng.uniform(0.2, 5.0))
    fleet.hub.set_partitioned(first, second, False)


async def part_store(fleet: Fleet, rng: random.Random) -> None:
    """Partition the owner or a random host from the store for a time."""
    name = rng.choice([_owner_or_random, _random_host])(fleet, rng)
    fleet.network.partition(name, "r0/store")
    await trio.sleep(rng.uniform(0.2, 5.0))
    fleet.network.heal(name, "r0/store")


async def isolate_owner(fleet: Fleet, rng: random.Random) -> None:
    """Partition the owner from all hosts and the store for a time."""
    name = _owner_or_random(fleet, rng)
    peers = [peer for peer in sorted(fleet.hosts) if peer != name]
    fleet.network.partition(name, "r0/store")
    for peer in peers:
        fleet.hub.set_partitioned(name, peer, True)
    await trio.sleep(rng.uniform(1.0, 5.0))
    fleet.network.heal(name, "r0/store")
    await trio.sleep(rng.uniform(0.0, 3.0))
    for peer in peers:
        fleet.hub.set_partitioned(name, peer, False)


def _store_fault(max_duration_s: float, **faults: float | bool) -> Fault:
    async def apply(fleet: Fleet, rng: random.Random) -> None:
        before = {name: getattr(fleet.store.faults, name) for name in faults}
        fleet.store.faults.update(faults).unwrap()
        await trio.sleep(rng.uniform(0.1, max_duration_s))
        fleet.store.faults.update({name: type(before[name])(0) for name in faults}).unwrap()

    return apply


def _target_fault(name: str, probability: float) -> Fault:
    async def apply(fleet: Fleet, rng: random.Random) -> None:
        setattr(fleet.target, name, probability)
        await trio.sleep(rng.uniform(0.1, 2.0))
        setattr(fleet.target, name, 0.0)

    return apply


FAULTS: dict[str, Fault] = {
    "pause_owner": pause_owner,
    "pause_host": pause_host,
    "pause_owner_at_step": pause_owner_at_step,
    "lose_owner_at_step": lose_owner_at_step,
    "lose_host": lose_host,
    "lose_writes_then_owner": lose_writes_then_owner,
    "stop_host": stop_host,
    "part_hosts": part_hosts,
    "isolate_owner": isolate_owner,
    "part_store": part_store,
    "store_down": _store_fault(6.0, down=True),
    "store_silent": _store_fault(4.0, silent=True),
    "store_slow": _store_fault(4.0, slow_s=0.2, slow_spread=1.0),
    "store_loses_answers": _store_fault(3.0, lose_answer=0.5),
    "store_loses_writes": _store_fault(3.0, lose_write=0.5),
    "store_writes_late": _store_fault(3.0, late_write=0.5, late_write_s=1.5),
    "store_reads_lag": _store_fault(4.0, read_lag_s=1.0),
    "store_limits_calls": _store_fault(3.0, calls_per_s=20.0),
    "target_refuses": _target_fault("refuse", 0.5),
    "target_fails": _target_fault("fail", 0.3),
    "target_silent": _target_fault("silent", 0.2),
}


async def run_faults(fleet: Fleet, rng: random.Random, end: float) -> list[str]:
    """Inject random faults until `end` (virtual seconds), then end all; returns their names."""
    started_faults: list[str] = []

    async def run_fault(name: str) -> None:
        await FAULTS[name](fleet, rng)

    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            for _ in range(rng.choice([1, 1, 2, 2, 5])):
                name = rng.choice(sorted(FAULTS))
                started_faults.append(name)
                nursery.start_soon(run_fault, name)
            await trio.sleep(rng.uniform(0.5, 4.0))
        nursery.cancel_scope.cancel()
    end_faults(fleet)
    return started_faults


def end_faults(fleet: Fleet) -> None:
    """End every fault at once; replace hosts that are lost or stopping."""
    fleet.freezer.cancel_callbacks()
    fleet.store.faults.clear()
    fleet.target.refuse = fleet.target.fail = fleet.target.silent = 0.0
    names = sorted(fleet.hosts)
    for number, name in enumerate(names):
        fleet.network.heal(name, "r0/store")
        for peer in names[:number]:
            fleet.hub.set_partitioned(name, peer, False)
        host = fleet.hosts[name]
        if host.mesh.member.leaving and not host.lost:
            fleet.lose_host(name)
        if host.lost:
            fleet.start_host(name)
        elif fleet.freezer.is_frozen(host.incarnation_id):
            fleet.set_paused(name, False)
