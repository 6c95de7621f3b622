"""Instances crash under load, one after another, and their entries leave the store."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from client import new_id  # noqa: E402
from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Bench, Clients, run_case  # noqa: E402
from store import route  # noqa: E402

ZONES = {"ost-a": "ost", "ost-b": "ost"}
SERVICES = ("plan", "log", "list", "news")
# Instances of each service.
INSTANCES, SLOTS, QUEUE, WORK_S = 3, 4, 8, 0.22
# Clients of each service by zone: connections are spread unevenly.
CLIENTS = {"ost-a": 5, "ost-b": 7}
PAUSE_S = 0.1
CALM_S = 5.0
# In each round one instance of each service crashes, the one with the last name.
ROUNDS = 9
HEARTBEAT_S = 1.5
BACK_AFTER_S = 0.5
CALM_BETWEEN_S = 4.5
# RULES.md, LOST: "more than three times".
ALLOWED_CUTS = 3


def new_read(service):
    path = f"/{service}/{random.randrange(1000)}"
    return {"method": "GET", "path": path, "request_id": new_id(), "deadline_ms": 2500}


async def crash_and_return(bench, service):
    """The last instance crashes, its entry goes after three heartbeats, a new instance comes."""
    if not TROUBLE:
        await asyncio.sleep(3 * HEARTBEAT_S + BACK_AFTER_S + CALM_BETWEEN_S)
        return
    lost = [item for item in bench.instances if item.service == service][-1]
    bench.record(f"{lost.name} of {service} crashes")
    lost.crash()
    await asyncio.sleep(3 * HEARTBEAT_S)
    bench.record(f"the store removes {lost.name}")
    bench.store.remove("servers", lost.name)
    await asyncio.sleep(BACK_AFTER_S)
    await bench.add_instance(service, "ost-a", SLOTS, QUEUE, WORK_S)
    await asyncio.sleep(CALM_BETWEEN_S)


async def play(record, say, folder):
    bench = Bench(ZONES, record, folder)
    clients = Clients(record)
    try:
        for service in SERVICES:
            for _ in range(INSTANCES):
                await bench.add_instance(service, "ost-a", SLOTS, QUEUE, WORK_S)
        routes = [route(service, f"/{service}/", "safe") for service in SERVICES]
        await bench.start(routes, SERVICES)
        bench.keep_daemons_running()
        tasks = [
            asyncio.create_task(
                clients.loop(daemon.address, lambda name=service: new_read(name), PAUSE_S, PAUSE_S)
            )
            for daemon in bench.daemons
            for service in SERVICES
            for _ in range(CLIENTS[daemon.zone])
        ]
        await asyncio.sleep(CALM_S)
        for _ in range(ROUNDS):
            await asyncio.gather(*(crash_and_return(bench, service) for service in SERVICES))
        clients.stopping = True
        await asyncio.gather(*tasks)
    finally:
        await bench.end()
    sound = {run[0] for item in bench.instances if item.alive for run in item.runs}
    cut = [request_id for request_id in clients.cut if request_id in sound]
    say(f"answers: {dict(clients.counts)}")
    say(f"daemons that ended by themselves: {bench.exits}")
    say(f"requests at a sound instance that were closed without an answer: {len(cut)} {cut}")
    if clients.counts[200] < 200:
        return NOT_RUN
    return BROKEN if len(cut) > ALLOWED_CUTS else HELD


run_case(HERE, play)
