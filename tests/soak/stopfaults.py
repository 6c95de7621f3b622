"""Faults around the planned stop of hosts: callers, instances, signals and peers at that moment."""

import signal

import trio

from soak.faults import (
    FaultContext,
    FaultFunction,
    configurations,
    host_paused,
    host_stopped,
    settings_changed,
)
from soak.hosts import ProcessHost
from soak.keptjudge import MAX_CALLER_DELAY_S

# Time after SIGTERM at which a host closes its port and its idle connections (close_grace_s).
CLOSE_GRACE_S = 3.5
# Requests around that moment, and the seconds before and after it in which they are sent.
LATE_REQUESTS = 60
LATE_SPREAD_S = 0.15
ANSWER_BYTES = (0, 3_000, 60_000, 150_000, 400_000)


def choose_ready_hosts(context: FaultContext, count: int, region: int = -1) -> list[ProcessHost]:
    """Choose hosts that are ready and not stopping, of one region unless `region` is negative."""
    hosts = [
        host
        for host in context.fleet.live_hosts()
        if host.stop_began_at is None and not host.paused and region in (-1, host.region)
    ]
    return context.rng.sample(hosts, min(count, len(hosts)))


async def stop_and_replace(context: FaultContext, host: ProcessHost) -> None:
    """Stop a host gracefully and start it again."""
    host.stop()
    await context.fleet.replace_host(host)


async def requests_cross_the_close(context: FaultContext) -> None:
    """Send requests when a stopping host closes its port, over paths with delay and loss.

    Half of the connections are new then, and the others have been idle since before the stop.
    """
    assert context.kept_callers is not None
    for proxy in context.fleet.caller_proxies.values():
        proxy.delay_s, proxy.loss = context.rng.uniform(0.0, MAX_CALLER_DELAY_S), 0.05
    async with trio.open_nursery() as nursery:
        for host in choose_ready_hosts(context, context.rng.randint(1, 2)):
            close_at = trio.current_time() + CLOSE_GRACE_S + 0.2
            for number in range(LATE_REQUESTS):
                send_at = close_at + context.rng.uniform(-LATE_SPREAD_S, LATE_SPREAD_S)
                connect_at = send_at if number % 2 else trio.current_time()
                nursery.start_soon(context.kept_callers.send_late, host, connect_at, send_at)
            await trio.sleep(0.2)
            nursery.start_soon(stop_and_replace, context, host)
            await trio.sleep(context.rng.uniform(0.0, 1.5))
    for proxy in context.fleet.caller_proxies.values():
        proxy.delay_s = proxy.loss = 0.0


async def answers_last_at_a_stop(context: FaultContext) -> None:
    """Stop two hosts while answers pause in the middle or are read slowly."""
    instances = context.fleet.registered()
    pause_s = context.rng.choice([0.0, 0.1, 0.6, 2.5])
    for instance in instances:
        instance.answer_bytes, instance.chunks_answers = ANSWER_BYTES, True
        instance.answer_pause_s = pause_s
    context.fleet.read_rate = 0 if pause_s else context.rng.choice([100_000, 200_000, 800_000])
    await trio.sleep(1.0)
    async with trio.open_nursery() as nursery:
        for host in choose_ready_hosts(context, 2):
            nursery.start_soon(stop_and_replace, context, host)
            await trio.sleep(context.rng.uniform(0.0, 2.0))
    for instance in instances:
        instance.answer_bytes, instance.chunks_answers, instance.answer_pause_s = (), False, 0.0
    context.fleet.read_rate = 0


async def zone_stopped_during_changes(context: FaultContext) -> None:
    """Stop the hosts of one zone within a second, beside SIGHUP and changes of all kinds."""
    hosts = choose_ready_hosts(context, 3, context.rng.randrange(3))
    for instance in context.fleet.registered():
        instance.service_time_percent = 2000
    async with trio.open_nursery() as nursery:
        nursery.start_soon(configurations, context)
        nursery.start_soon(settings_changed, context)
        for host in hosts:
            for _ in range(context.rng.randint(0, 3)):
                host.signal(signal.SIGHUP)
                await trio.sleep(context.rng.uniform(0.0, 0.2))
            nursery.start_soon(stop_and_replace, context, host)
            nursery.start_soon(_repeat_signals, context, host)
            await trio.sleep(context.rng.uniform(0.0, 0.5))
        nursery.start_soon(configurations, context)
    for instance in context.fleet.registered():
        instance.service_time_percent = 100


async def _repeat_signals(context: FaultContext, host: ProcessHost) -> None:
    while not host.ended.is_set():
        host.signal(context.rng.choice([signal.SIGHUP, signal.SIGTERM]))
        await trio.sleep(context.rng.uniform(0.0, 0.6))


async def peer_lost_at_a_stop(context: FaultContext) -> None:
    """Pause or kill a host while another one stops and requests wait for targets."""
    for instance in context.fleet.registered():
        instance.service_time_percent = 3000
    async with trio.open_nursery() as nursery:
        nursery.start_soon(host_stopped, context)
        await trio.sleep(context.rng.uniform(0.0, 2.0))
        if context.rng.random() < 0.5:
            nursery.start_soon(host_paused, context)
        else:
            for host in choose_ready_hosts(context, 1):
                host.kill()
                nursery.start_soon(context.fleet.replace_host, host)
    for instance in context.fleet.registered():
        instance.service_time_percent = 100


FAULTS_BY_HAND: tuple[FaultFunction, ...] = (
    requests_cross_the_close,
    answers_last_at_a_stop,
    zone_stopped_during_changes,
    peer_lost_at_a_stop,
)
