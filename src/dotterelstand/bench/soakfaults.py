"""Random faults of a soak run, injected alone, in pairs or several at once."""

import random
from collections.abc import Awaitable, Callable

import trio

from dotterelstand.bench.soakcallers import Callers
from dotterelstand.bench.soakfleet import CRASH_PATH_PREFIX, EntryHost, SoakFleet
from dotterelstand.standin.target import TargetServer


class FaultContext:
    """Fleet, callers and random source for a fault."""

    __slots__ = ("callers", "fleet", "rng")

    def __init__(self, fleet: SoakFleet, callers: Callers, rng: random.Random) -> None:
        self.fleet = fleet
        self.callers = callers
        self.rng = rng

    def random_host(self) -> EntryHost | None:
        """Random live host, or None if there is none."""
        hosts = self.fleet.live_hosts()
        return self.rng.choice(hosts) if hosts else None

    def random_target(self) -> TargetServer:
        """Random target."""
        return self.rng.choice([target for _, target in sorted(self.fleet.targets.items())])


Fault = Callable[[FaultContext], Awaitable[None]]


async def _store_fault(context: FaultContext, seconds: float, **values: float) -> None:
    context.fleet.store_outages.append((trio.current_time(), trio.current_time() + seconds))
    context.fleet.store.faults.update(values)
    await trio.sleep(seconds)
    context.fleet.store.faults.clear()


async def store_down(context: FaultContext) -> None:
    """Make the store close every connection."""
    await _store_fault(context, context.rng.uniform(1, 20), down=True)


async def store_silent(context: FaultContext) -> None:
    """Make the store not answer."""
    await _store_fault(context, context.rng.uniform(1, 10), silent=True)


async def store_slow(context: FaultContext) -> None:
    """Make the store answer slowly and return stale values."""
    await _store_fault(context, context.rng.uniform(2, 15), slow_s=0.2, read_lag_s=1.0)


async def store_loses_answers(context: FaultContext) -> None:
    """Lose half of the store's answers to writes that take effect."""
    await _store_fault(context, context.rng.uniform(2, 10), lose_answer=0.5)


async def host_lost(context: FaultContext) -> None:
    """Crash an entry host and replace it under the same name."""
    host = context.random_host()
    if host is None:
        return
    context.fleet.lose_host(host)
    await trio.sleep(context.rng.uniform(0.5, 5))
    context.fleet.replace_host(host)


async def host_replaced(context: FaultContext) -> None:
    """Stop an entry host gracefully and replace it."""
    host = context.random_host()
    if host is None or host.daemon is None:
        return
    host.stop()
    await host.ended.wait()
    context.fleet.replace_host(host)


async def host_paused(context: FaultContext) -> None:
    """Pause an entry host, often for longer than its leases."""
    host = context.random_host()
    if host is None or context.fleet.freezer.is_frozen(host.incarnation_id):
        return
    host.was_paused_or_lost = True
    context.fleet.freezer.freeze(host.incarnation_id)
    await trio.sleep(context.rng.choice([0.3, 1.0, 2.5, 5.0]))
    context.fleet.freezer.thaw(host.incarnation_id)


async def regions_parted(context: FaultContext) -> None:
    """Partition the hosts of one region from all others."""
    region = context.rng.randrange(3)
    hosts = context.fleet.live_hosts()
    pairs = [
        (source.address, destination.address)
        for source in hosts
        for destination in hosts
        if source.region == region and destination.region != region
    ]
    for source, destination in pairs:
        context.fleet.network.partition(source, destination)
    await trio.sleep(context.rng.uniform(2, 20))
    for source, destination in pairs:
        context.fleet.network.heal(source, destination)


async def _target_fault(context: FaultContext, **values: object) -> None:
    target = context.random_target()
    before = {name: target.faults.as_dict()[name] for name in values}
    target.faults.update(values)
    await trio.sleep(context.rng.uniform(2, 15))
    target.faults.update(before)


async def target_slow(context: FaultContext) -> None:
    """Slow a target down by a factor of ten."""
    await _target_fault(context, slow_factor=10.0)


async def target_fails_fast(context: FaultContext) -> None:
    """Make a target answer every request at once with status 500."""
    await _target_fault(context, fail_status=500)


async def target_sheds(context: FaultContext) -> None:
    """Make a target shed half of its requests, with the refusal that means "not executed"."""
    await _target_fault(context, shed=0.5)


async def target_drains(context: FaultContext) -> None:
    """Make a target report that it drains."""
    await _target_fault(context, draining=True)


async def target_misleads(context: FaultContext) -> None:
    """Make a target report a load of 0, whatever its load."""
    await _target_fault(context, load_fixed=0)


async def target_crashes(context: FaultContext) -> None:
    """Crash a target, which then restarts."""
    context.random_target().crash()
    await trio.sleep(1.0)


async def crashing_request(context: FaultContext) -> None:
    """Send a request that crashes each target that runs it; its caller repeats it."""
    number = len(context.callers.requests)
    context.callers.send("prices", f"{CRASH_PATH_PREFIX}{number}")
    await trio.sleep(1.0)


async def connections_silent(context: FaultContext) -> None:
    """Silence about half of a host's open connections to targets permanently; new ones work."""
    host = context.random_host()
    if host is None:
        return
    for target_address in _target_addresses(context):
        for stream in context.fleet.network.streams(host.address, target_address):
            if context.rng.random() < 0.5:
                stream.silence()
    await trio.sleep(1.0)


async def document_accepted(context: FaultContext) -> None:
    """Accept several versions of the document in quick succession."""
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
    """Start random faults for `seconds`: one, two or up to six at once."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        count = min(len(FAULTS), context.rng.choice([1, 1, 2, 2, 6]))
        for fault in context.rng.sample(FAULTS, count):
            nursery.start_soon(fault, context)
        await trio.sleep(context.rng.uniform(3, 12))
