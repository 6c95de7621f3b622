"""The relay of a region loses the store, and a little later the entries of instances are removed."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from client import new_id  # noqa: E402
from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Bench, Clients, run_case  # noqa: E402
from store import route  # noqa: E402

ZONES = {"ost-a": "ost", "ost-b": "ost"}
DAEMONS_PER_ZONE = 2
SERVICES = ("list", "video")
# Instances of each service, and clients of each service and daemon.
INSTANCES, SLOTS, QUEUE, WORK_S = 4, 4, 8, 0.1
CLIENTS = 3
CALM_S = 5.0
# core_cut: count 1, for 4 s.
ROUNDS, CUT_S = 4, 4.0
REMOVED_AFTER_S = 1.8
# The instance serves on for longer than `drainS`, then it exits.
DRAIN_S, SERVES_ON_S = 2.0, 4.5
CALM_BETWEEN_S = 6.0


def new_read(service, sender, senders):
    request_id = new_id()
    senders[request_id] = sender
    return {"method": "GET", "path": f"/{service}/1", "request_id": request_id, "deadline_ms": 2500}


async def play_round(bench, removed):
    """Cut the relay off, remove an entry, heal the cut; returns the daemon that was cut off."""
    relay = max(range(len(bench.daemons)), key=lambda number: bench.proxies[number].watched_at)
    name = bench.daemons[relay].name
    if TROUBLE:
        bench.record(f"{name} is cut off from the store")
        bench.proxies[relay].set_cut(True)
    await asyncio.sleep(REMOVED_AFTER_S)
    leaving = [
        next(item for item in bench.instances if item.service == service and not item.leaving)
        for service in SERVICES
    ]
    for instance in leaving:
        bench.store.remove("servers", instance.name)
        removed[instance.name] = time.monotonic()
        bench.record(f"the store removes {instance.name}, which never reported draining")
    await asyncio.sleep(CUT_S - REMOVED_AFTER_S)
    if TROUBLE:
        bench.record(f"{name} reaches the store again")
        bench.proxies[relay].set_cut(False)
    await asyncio.sleep(SERVES_ON_S - (CUT_S - REMOVED_AFTER_S))
    for instance in leaving:
        instance.leave()
        bench.record(f"{instance.name} exits")
        await bench.add_instance(instance.service, "ost-a", SLOTS, QUEUE, WORK_S)
    await asyncio.sleep(CALM_BETWEEN_S)
    return name


async def play(record, say, folder):
    bench = Bench(ZONES, record, folder)
    clients = Clients(record)
    senders, removed, cut_off = {}, {}, set()
    try:
        for service in SERVICES:
            for _ in range(INSTANCES):
                await bench.add_instance(service, "ost-a", SLOTS, QUEUE, WORK_S)
        routes = [route(service, f"/{service}/", "safe") for service in SERVICES]
        await bench.start(routes, SERVICES, DAEMONS_PER_ZONE, proxied=True)
        tasks = [
            asyncio.create_task(
                clients.loop(
                    daemon.address,
                    lambda kind=service, name=daemon.name: new_read(kind, name, senders),
                )
            )
            for daemon in bench.daemons
            for service in SERVICES
            for _ in range(CLIENTS)
        ]
        await asyncio.sleep(CALM_S)
        for _ in range(ROUNDS):
            cut_off.add(await play_round(bench, removed))
        clients.stopping = True
        await asyncio.gather(*tasks)
    finally:
        await bench.end()
    late = [
        (request_id, senders[request_id], round(at - removed[instance.name], 3))
        for instance in bench.instances
        for at, request_id in instance.arrivals
        if at - removed.get(instance.name, at) > DRAIN_S
    ]
    # Only daemons that were never cut off are surely in touch.
    counted = [item for item in late if item[1] not in (cut_off if TROUBLE else ())]
    say(f"answers: {dict(clients.counts)}; cut off: {sorted(cut_off) if TROUBLE else []}")
    say(f"requests over {DRAIN_S} s after the removal, from daemons never cut off: {len(counted)}")
    for request_id, sender, after_s in counted:
        record(f"{request_id} reached the instance {after_s} s after its removal, from {sender}")
    if clients.counts[200] < 500:
        return NOT_RUN
    return BROKEN if counted else HELD


run_case(HERE, play)
