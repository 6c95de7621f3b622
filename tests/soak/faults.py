"""Faults from outside the daemons: signals, proxies, instances, the store and configurations."""

import random
import signal
from collections.abc import Awaitable, Callable

import trio

from soak.hosts import ProcessFleet, ProcessHost
from soak.instances import SoakInstance


class FaultContext:
    """What a fault acts on."""

    def __init__(self, fleet: ProcessFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng

    def host(self) -> ProcessHost | None:
        """A host that runs and was not told to stop, or None."""
        hosts = [host for host in self.fleet.running_hosts() if host.stopped is None]
        return self.rng.choice(hosts) if hosts else None

    def instance(self) -> SoakInstance | None:
        """A registered instance, or None."""
        instances = self.fleet.registered()
        return self.rng.choice(instances) if instances else None


Fault = Callable[[FaultContext], Awaitable[None]]


async def host_killed(context: FaultContext) -> None:
    """A daemon is killed and started again."""
    host = context.host()
    if host is not None:
        host.kill()
        await trio.sleep(context.rng.uniform(0.0, 2.0))
        await context.fleet.replace_host(host)


async def host_stopped(context: FaultContext) -> None:
    """A daemon is stopped gracefully and started again."""
    host = context.host()
    if host is not None:
        host.stop()
        await context.fleet.replace_host(host)


async def hosts_stopped_in_turn(context: FaultContext) -> None:
    """Half of the daemons are stopped, each before the last one is back."""
    async with trio.open_nursery() as nursery:
        for _ in range(len(context.fleet.hosts) // 2):
            nursery.start_soon(host_stopped, context)
            await trio.sleep(context.rng.uniform(0.2, 1.5))


async def host_paused(context: FaultContext) -> None:
    """A daemon stands still, sometimes for longer than others trust it."""
    host = context.host()
    if host is None or host.paused:
        return
    seconds = context.rng.choice([0.2, 0.8, 2.0, 4.5])
    host.disturbed = host.paused = True
    context.fleet.disturb(host.name, seconds)
    host.signal(signal.SIGSTOP)
    await trio.sleep(seconds)
    host.signal(signal.SIGCONT)
    host.paused = False


async def settings_changed(context: FaultContext) -> None:
    """Settings files change in series, with a signal or without."""
    for _ in range(context.rng.randint(1, 4)):
        host = context.host()
        if host is None:
            return
        path = context.fleet.folder / f"{host.name}.toml"
        share = context.rng.choice(["0.2", "0.19", "0.18"])
        path.write_text(
            context.fleet.settings(host).replace("retry_share = 0.2", f"retry_share = {share}")
        )
        if context.rng.random() < 0.5:
            host.signal(signal.SIGHUP)
        await trio.sleep(context.rng.uniform(0.05, 0.6))


async def configurations(context: FaultContext) -> None:
    """Versions are accepted in quick succession."""
    for _ in range(context.rng.randint(1, 4)):
        context.fleet.accept_configuration()
        await trio.sleep(context.rng.uniform(0.05, 0.8))


async def _store_fault(context: FaultContext, seconds: float, name: str, value: object) -> None:
    context.fleet.disturb("", seconds)
    setattr(context.fleet.store, name, value)
    await trio.sleep(seconds)
    setattr(context.fleet.store, name, type(value)())


async def store_down(context: FaultContext) -> None:
    """The store answers every call with 503."""
    await _store_fault(context, context.rng.uniform(0.5, 6), "status", 503)


async def store_silent(context: FaultContext) -> None:
    """The store answers nothing."""
    await _store_fault(context, context.rng.uniform(0.5, 6), "silent", True)


async def store_loses_answers(context: FaultContext) -> None:
    """Writes take effect and are not answered."""
    await _store_fault(context, context.rng.uniform(1, 5), "lose_write_answers", True)


async def store_forgets(context: FaultContext) -> None:
    """The store drops its history."""
    context.fleet.disturb("", 0.0)
    context.fleet.store.forget_history()


async def store_slow(context: FaultContext) -> None:
    """Every answer of the store takes 0.2 to 0.8 s longer."""
    delay_s, seconds = context.rng.uniform(0.2, 0.8), context.rng.uniform(1, 5)
    context.fleet.disturb("", seconds)
    for proxy in context.fleet.store_proxies.values():
        proxy.delay_s = delay_s
    await trio.sleep(seconds)
    for proxy in context.fleet.store_proxies.values():
        proxy.delay_s = 0.0


async def break_store_path(
    context: FaultContext, host: ProcessHost, way: str, seconds: float
) -> None:
    """Break the path of one host to the store for a time."""
    proxy = context.fleet.store_proxies[host.name]
    context.fleet.disturb(host.name, seconds)
    if way == "silence":
        proxy.silence()
        return
    setattr(proxy, way, True)
    if way == "refuses":
        proxy.reset()
    await trio.sleep(seconds)
    setattr(proxy, way, False)
    # What the cut held back is lost, as when the sender gives up.
    proxy.reset()


async def store_path_broken(context: FaultContext) -> None:
    """One host loses its path to the store: refused, cut, cut one way or silenced."""
    host = context.host()
    if host is not None:
        way = context.rng.choice(["refuses", "cut", "cut_answers", "silence"])
        await break_store_path(context, host, way, context.rng.uniform(0.5, 6))


async def instance_path_broken(context: FaultContext) -> None:
    """The path to an instance breaks: reset, delayed, silenced or cut one way."""
    instance = context.instance()
    if instance is None:
        return
    proxy = context.fleet.instance_proxies[instance.name]
    way = context.rng.choice(["reset", "delay", "silence", "cut_answers"])
    if way == "reset":
        for _ in range(context.rng.randint(1, 4)):
            proxy.reset()
            await trio.sleep(context.rng.uniform(0.0, 0.5))
    elif way == "silence":
        proxy.silence()
    elif way == "delay":
        proxy.delay_s = context.rng.uniform(0.05, 0.5)
        await trio.sleep(context.rng.uniform(0.5, 4))
        proxy.delay_s = 0.0
    else:
        proxy.cut_answers = True
        await trio.sleep(context.rng.uniform(0.5, 3))
        proxy.cut_answers = False


async def instance_misbehaves(context: FaultContext) -> None:
    """An instance is slow, refuses, fails or answers its health check falsely."""
    instance = context.instance()
    if instance is None:
        return
    name, value, usual = context.rng.choice(
        [
            ("pace", 600, 100),
            ("refuses", True, False),
            ("fails", True, False),
            ("lying", True, False),
        ]
    )
    setattr(instance, name, value)
    await trio.sleep(context.rng.uniform(0.5, 5))
    setattr(instance, name, usual)


async def instance_crashes(context: FaultContext) -> None:
    """An instance crashes and comes back; its registration stays."""
    instance = context.instance()
    if instance is not None:
        await crash(context, instance)


async def crash(context: FaultContext, instance: SoakInstance) -> None:
    """Break off everything at an instance and start it again later."""
    instance.ending = True
    instance.crash()
    await trio.sleep(context.rng.uniform(0.3, 3))
    await context.fleet.restart_instance(instance)
    instance.ending = False


async def instance_leaves(context: FaultContext) -> None:
    """An instance reports that it drains and goes, and another one takes its place."""
    instance = context.instance()
    if instance is None:
        return
    instance.ending = True
    await context.fleet.add_instance(instance.service)
    context.fleet.register(instance, state="draining")
    instance.draining_since = trio.current_time()
    await trio.sleep(context.rng.uniform(4, 6))
    context.fleet.store.remove("servers", instance.name)
    await trio.sleep(1.0)
    instance.crash()


FAULTS: tuple[Fault, ...] = (
    host_killed,
    host_stopped,
    hosts_stopped_in_turn,
    host_paused,
    settings_changed,
    configurations,
    store_down,
    store_silent,
    store_loses_answers,
    store_forgets,
    store_slow,
    store_path_broken,
    instance_path_broken,
    instance_misbehaves,
    instance_crashes,
    instance_leaves,
)


async def run_faults(context: FaultContext, seconds: float) -> list[str]:
    """Let faults strike alone, in pairs and many at once; returns their names."""
    struck: list[str] = []
    end = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            for _ in range(context.rng.choice([1, 1, 2, 2, 4])):
                fault = context.rng.choice(FAULTS)
                struck.append(f"{trio.current_time():.1f} {fault.__name__}")
                nursery.start_soon(fault, context)
            await trio.sleep(context.rng.uniform(0.5, 3.0))
    return struck
