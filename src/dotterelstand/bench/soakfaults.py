"""Random faults of a soak run: alone, in pairs and many at once."""

import random
from collections.abc import Awaitable, Callable

import trio

from dotterelstand.bench.soakcallers import Callers
from dotterelstand.bench.soakfleet import CRASH_PATH, EntryHost, SoakFleet
from dotterelstand.standin.target import TargetServer


class FaultContext:
    """What a fault acts on."""

    __slots__ = ("callers", "fleet", "rng")

    def __init__(self, fleet: SoakFleet, callers: Callers, rng: random.Random) -> None:
        self.fleet = fleet
        self.callers = callers
        self.rng = rng

    def any_host(self) -> EntryHost | None:
        """A live host, or None."""
        hosts = self.fleet.live_hosts()
        return self.rng.choice(hosts) if hosts else None

    def any_target(self) -> TargetServer:
        """Any target."""
        return self.rng.choice([target for _, target in sorted(self.fleet.targets.items())])


Fault = Callable[[FaultContext], Awaitable[None]]


async def _store_fault(context: FaultContext, seconds: float, **values: float) -> None:
    context.fleet.store_outages.append((trio.current_time(), trio.current_time() + seconds))
    context.fleet.store.faults.update(values)
    await trio.sleep(seconds)
    context.fleet.store.faults.clear()


async def store_down(context: FaultContext) -> None:
    """The store closes every connection."""
    await _store_fault(context, context.rng.uniform(1, 20), down=True)


async def store_silent(context: FaultContext) -> None:
    """The store never answers."""
    await _store_fault(context, context.rng.uniform(1, 10), silent=True)


async def store_slow(context: FaultContext) -> None:
    """The store answers slowly and shows old values."""
    await _store_fault(context, context.rng.uniform(2, 15), slow_s=0.2, read_lag_s=1.0)


async def store_loses_answers(context: FaultContext) -> None:
    """Writes take effect but half of their answers are lost."""
    await _store_fault(context, context.rng.uniform(2, 10), lose_answer=0.5)


async def host_lost(context: FaultContext) -> None:
    """An entry host fails and is replaced under the same name."""
    host = context.any_host()
    if host is None:
        return
    context.fleet.lose_host(host)
    await trio.sleep(context.rng.uniform(0.5, 5))
    context.fleet.replace_host(host)


async def host_replaced(context: FaultContext) -> None:
    """An entry host is stopped gracefully and replaced."""
    host = context.any_host()
    if host is None or host.daemon is None:
        return
    host.stop()
    await host.ended.wait()
    context.fleet.replace_host(host)


async def host_paused(context: FaultContext) -> None:
    """An entry host is paused, often for longer than its leases."""
    host = context.any_host()
    if host is None or context.fleet.freezer.is_frozen(host.context):
        return
    host.disturbed = True
    context.fleet.freezer.freeze(host.context)
    await trio.sleep(context.rng.choice([0.3, 1.0, 2.5, 5.0]))
    context.fleet.freezer.thaw(host.context)


async def regions_parted(context: FaultContext) -> None:
    """The hosts of one region lose the others."""
    region = context.rng.randrange(3)
    hosts = context.fleet.live_hosts()
    pairs = [
        (one.address, other.address)
        for one in hosts
        for other in hosts
        if one.region == region and other.region != region
    ]
    for one, other in pairs:
        context.fleet.network.partition(one, other)
    await trio.sleep(context.rng.uniform(2, 20))
    for one, other in pairs:
        context.fleet.network.heal(one, other)


async def _target_fault(context: FaultContext, **values: object) -> None:
    target = context.any_target()
    before = {name: target.faults.as_dict()[name] for name in values}
    target.faults.update(values)
    await trio.sleep(context.rng.uniform(2, 15))
    target.faults.update(before)


async def target_slow(context: FaultContext) -> None:
    """A target becomes ten times slower."""
    await _target_fault(context, slow_factor=10.0)


async def target_fails_fast(context: FaultContext) -> None:
    """A target rejects everything at once."""
    await _target_fault(context, fail_status=500)


async def target_sheds(context: FaultContext) -> None:
    """A target refuses half of its requests in the agreed way."""
    await _target_fault(context, shed=0.5)


async def target_drains(context: FaultContext) -> None:
    """A target is leaving."""
    await _target_fault(context, draining=True)


async def target_misleads(context: FaultContext) -> None:
    """A target reports that it is idle."""
    await _target_fault(context, load_fixed=0)


async def target_crashes(context: FaultContext) -> None:
    """A target crashes and restarts."""
    context.any_target().crash()
    await trio.sleep(1.0)


async def crashing_request(context: FaultContext) -> None:
    """A request that crashes each target that runs it, sent again by its caller."""
    number = len(context.callers.requests)
    context.callers.send("prices", f"{CRASH_PATH}{number}")
    await trio.sleep(1.0)


async def connections_silent(context: FaultContext) -> None:
    """Open connections of one host go silent for good, new ones work."""
    host = context.any_host()
    if host is None:
        return
    for target_address in _target_addresses(context):
        for stream in context.fleet.network.streams(host.address, target_address):
            if context.rng.random() < 0.5:
                stream.silence()
    await trio.sleep(1.0)


async def document_accepted(context: FaultContext) -> None:
    """Operators accept several versions in quick succession."""
    for _ in range(context.rng.randint(1, 4)):
        context.fleet.accept_document()
        await trio.sleep(context.rng.uniform(0.0, 1.0))


def _target_addresses(context: FaultContext) -> list[str]:
    return [
        f"10.{region}.{kind}.{number}"
        for region in range(3)
        for kind in (2, 3, 4)
        for number in (1, 2, 3)
    ]


FAULTS: tuple[Fault, ...] = (
    store_down,
    store_silent,
    store_slow,
    store_loses_answers,
    host_lost,
    host_replaced,
    host_paused,
    regions_parted,
    target_slow,
    target_fails_fast,
    target_sheds,
    target_drains,
    target_misleads,
    target_crashes,
    crashing_request,
    connections_silent,
    document_accepted,
)


async def run_faults(context: FaultContext, nursery: trio.Nursery, seconds: float) -> None:
    """Start random faults for a time: one alone, two together, or up to six at once."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        count = min(len(FAULTS), context.rng.choice([1, 1, 2, 2, 6]))
        for fault in context.rng.sample(FAULTS, count):
            nursery.start_soon(fault, context)
        await trio.sleep(context.rng.uniform(3, 12))
