"""Random faults for simulated fleets: alone, in pairs and many at once."""

import random
from collections.abc import Awaitable, Callable

import trio

from dotterelstand.bench.fleet import Fleet, SimulatedHost

Fault = Callable[[Fleet, random.Random], Awaitable[None]]

# Longest number of task steps of a host before a fault that strikes at a step.
MAX_STEPS = 400


async def _pause(fleet: Fleet, name: str, seconds: float) -> None:
    host = fleet.hosts[name]
    if host.lost or fleet.freezer.is_frozen(host.context):
        return
    fleet.pause(name, True)
    await trio.sleep(seconds)
    if fleet.hosts[name] is host:
        fleet.pause(name, False)


async def _replace(fleet: Fleet, name: str, rng: random.Random) -> None:
    await trio.sleep(rng.uniform(0.1, 4.0))
    if fleet.hosts[name].lost:
        fleet.start_host(name)


def _any_host(fleet: Fleet, rng: random.Random) -> str:
    return rng.choice(sorted(fleet.hosts))


def _owner(fleet: Fleet, rng: random.Random) -> str:
    return fleet.owner() or _any_host(fleet, rng)


async def pause_owner(fleet: Fleet, rng: random.Random) -> None:
    """The owner is paused, often for longer than its lease."""
    await _pause(fleet, _owner(fleet, rng), rng.choice([0.3, 1.5, 2.5, 4.0, 6.0]))


async def pause_host(fleet: Fleet, rng: random.Random) -> None:
    """Any host is paused."""
    await _pause(fleet, _any_host(fleet, rng), rng.uniform(0.1, 5.0))


async def _freeze_at_step(fleet: Fleet, rng: random.Random, name: str) -> SimulatedHost:
    """Pause a host before one of its next steps; it takes none until it is thawed or lost."""
    host = fleet.hosts[name]
    frozen = trio.Event()

    def freeze() -> None:
        if not host.lost and fleet.hosts[name] is host:
            fleet.pause(name, True)
        frozen.set()

    fleet.freezer.call_after_steps(host.context, rng.randint(1, MAX_STEPS), freeze)
    with trio.move_on_after(5.0):
        await frozen.wait()
    return host


async def pause_owner_at_step(fleet: Fleet, rng: random.Random) -> None:
    """The owner is paused between two steps of its tasks."""
    name = _owner(fleet, rng)
    host = await _freeze_at_step(fleet, rng, name)
    await trio.sleep(rng.choice([1.2, 2.6, 4.0]))
    if fleet.hosts[name] is host:
        fleet.pause(name, False)


async def lose_owner_at_step(fleet: Fleet, rng: random.Random) -> None:
    """The owner is lost between two steps of its tasks and replaced later."""
    name = _owner(fleet, rng)
    host = await _freeze_at_step(fleet, rng, name)
    if fleet.hosts[name] is host and not host.lost:
        fleet.lose(name)
    await _replace(fleet, name, rng)


async def lose_host(fleet: Fleet, rng: random.Random) -> None:
    """Any host is lost and replaced later."""
    name = _any_host(fleet, rng)
    if not fleet.hosts[name].lost:
        fleet.lose(name)
    await _replace(fleet, name, rng)


async def lose_writes_then_owner(fleet: Fleet, rng: random.Random) -> None:
    """Writes are lost, and the owner is lost before it can repeat them."""
    name = _owner(fleet, rng)
    host = fleet.hosts[name]
    fleet.store.faults.lose_write = 1.0
    await trio.sleep(rng.uniform(0.05, 0.3))
    if fleet.hosts[name] is host and not host.lost:
        fleet.lose(name)
    fleet.store.faults.lose_write = 0.0
    await _replace(fleet, name, rng)


async def stop_host(fleet: Fleet, rng: random.Random) -> None:
    """The owner or another host is stopped as planned and replaced."""
    name = rng.choice([_owner, _any_host])(fleet, rng)
    host = fleet.hosts[name]
    if host.lost:
        return
    host.stop()
    await trio.sleep(rng.uniform(0.5, 5.0))
    if fleet.hosts[name] is host and not host.lost:
        fleet.lose(name)
    await _replace(fleet, name, rng)


async def part_hosts(fleet: Fleet, rng: random.Random) -> None:
    """Two hosts lose contact."""
    one, other = rng.sample(sorted(fleet.hosts), 2)
    fleet.hub.set_partitioned(one, other, True)
    await trio.sleep(rng.uniform(0.2, 5.0))
    fleet.hub.set_partitioned(one, other, False)


async def part_store(fleet: Fleet, rng: random.Random) -> None:
    """A host loses contact with the store."""
    name = rng.choice([_owner, _any_host])(fleet, rng)
    fleet.network.partition(name, "r0/store")
    await trio.sleep(rng.uniform(0.2, 5.0))
    fleet.network.heal(name, "r0/store")


async def isolate_owner(fleet: Fleet, rng: random.Random) -> None:
    """The owner loses contact with every host and with the store, and comes back."""
    name = _owner(fleet, rng)
    others = [other for other in sorted(fleet.hosts) if other != name]
    fleet.network.partition(name, "r0/store")
    for other in others:
        fleet.hub.set_partitioned(name, other, True)
    await trio.sleep(rng.uniform(1.0, 5.0))
    fleet.network.heal(name, "r0/store")
    await trio.sleep(rng.uniform(0.0, 3.0))
    for other in others:
        fleet.hub.set_partitioned(name, other, False)


def _store_fault(longest_s: float, **faults: float | bool) -> Fault:
    async def apply(fleet: Fleet, rng: random.Random) -> None:
        before = {name: getattr(fleet.store.faults, name) for name in faults}
        fleet.store.faults.update(faults).unwrap()
        await trio.sleep(rng.uniform(0.1, longest_s))
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


async def run_faults(fleet: Fleet, rng: random.Random, until: float) -> list[str]:
    """Let faults strike until a time (virtual seconds), then end all; returns their names."""
    struck: list[str] = []

    async def strike(name: str) -> None:
        await FAULTS[name](fleet, rng)

    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            for _ in range(rng.choice([1, 1, 2, 2, 5])):
                name = rng.choice(sorted(FAULTS))
                struck.append(name)
                nursery.start_soon(strike, name)
            await trio.sleep(rng.uniform(0.5, 4.0))
        nursery.cancel_scope.cancel()
    end_faults(fleet)
    return struck


def end_faults(fleet: Fleet) -> None:
    """Undo every fault at once; hosts that are lost or stopped are replaced."""
    fleet.freezer.cancel_callbacks()
    fleet.store.faults.clear()
    fleet.target.refuse = fleet.target.fail = fleet.target.silent = 0.0
    names = sorted(fleet.hosts)
    for number, name in enumerate(names):
        fleet.network.heal(name, "r0/store")
        for other in names[:number]:
            fleet.hub.set_partitioned(name, other, False)
        host = fleet.hosts[name]
        if host.mesh.member.leaving and not host.lost:
            fleet.lose(name)
        if host.lost:
            fleet.start_host(name)
        elif fleet.freezer.is_frozen(host.context):
            fleet.pause(name, False)
