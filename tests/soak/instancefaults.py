"""Faults of all instances of a service: rejections, broken connections, addresses listed twice."""

import math

import trio

from soak.faults import FaultContext, FaultFunction


async def instances_repeat_rejections(context: FaultContext) -> None:
    """Let all instances of a service repeat answers, reject health checks and refuse in turns."""
    instances = context.choose_service()
    for instance in instances:
        instance.repeats_answers = instance.rejects_checks = True
        instance.service_time_percent = 300
    for _ in range(context.rng.randint(10, 20)):
        for instance in instances:
            instance.refuses = context.rng.random() < 0.3
        await trio.sleep(context.rng.uniform(0.05, 0.3))
    for instance in instances:
        instance.repeats_answers = instance.rejects_checks = instance.refuses = False
        instance.service_time_percent = 100


async def instances_break_off(context: FaultContext) -> None:
    """Let the instances of a service end connections within requests and soon after them."""
    instances = context.choose_service()
    for instance in instances:
        instance.breaks_off = True
        instance.idle_timeout_s = context.rng.uniform(0.005, 0.1)
    await trio.sleep(context.rng.uniform(0.5, 5))
    for instance in instances:
        instance.breaks_off = False
        instance.idle_timeout_s = math.inf


async def addresses_listed_twice(context: FaultContext) -> None:
    """List the addresses of a service's instances under a second name, as after a restart."""
    fleet, instances = context.fleet, context.choose_service()
    prefix = f"former-{context.rng.randrange(1_000_000)}-"
    for instance in instances:
        instance.repeats_answers = True
        fleet.store.put("servers", prefix + instance.name, fleet.entry(instance))
    await trio.sleep(context.rng.uniform(1.0, 4.0))
    for instance in instances:
        instance.repeats_answers = False
        fleet.store.remove("servers", prefix + instance.name)


async def unusable_entries(context: FaultContext) -> None:
    """List entries of another writer, whose names and values cannot be used."""
    fleet = context.fleet
    entry = fleet.entry(context.choose_service()[0])
    prefix = f"foreign-{context.rng.randrange(1_000_000)}"
    nested: list[object] = []
    for _ in range(900):
        nested = [nested]
    entries = {
        f"{prefix}\n": entry,
        f"{prefix}-slots": entry | {"info": entry["info"] | {"slots": 10**400}},
        f"{prefix}-warm": entry | {"status": entry["status"] | {"warmupLeftS": 1e308}},
        f"{prefix}-nested": entry | {"info": nested},
        f"{prefix}-text": "text",
    }
    for name, spec in entries.items():
        fleet.store.put("servers", name, spec)
        await trio.sleep(context.rng.uniform(0.0, 0.5))
    await trio.sleep(context.rng.uniform(0.5, 3.0))
    for name in entries:
        fleet.store.remove("servers", name)


# Services of which all targets refuse hide other faults.
FAULTS_BY_HAND: tuple[FaultFunction, ...] = (
    instances_repeat_rejections,
    instances_break_off,
    addresses_listed_twice,
    unusable_entries,
)
