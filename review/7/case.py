"""One entry of another writer in the list of instances, with a number of slots beyond a float.

It names no instance to use, and the others hold. Each daemon that ends is started again 0.5 s
later, as the platform does. With TROUBLE=0 the other writer's entry has text as its number of slots.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import kit2  # noqa: E402

SERVICE = "order-desk"
SLOTS = 10**400
DAEMONS = 3
CALM_S = 3.0
RUNS_S = 20.0
RESTART_S = 0.5
# RULES.md, Fault: on a tenth of the machines (two at least), three ends each.
MOST_ENDS = 2
# Three heartbeat intervals, after which the entry of a writer that writes once would be removed.
LAPSES_S = 4.5


async def case(fleet: kit2.Fleet) -> int:
    """Send requests, and start daemons again that end by themselves."""
    routes = [kit2.route(SERVICE, "/desk/", "unsafe", attempts=2)]
    fleet.store.put("config", "main", kit2.configuration(1, routes, [SERVICE]))
    for number in range(4):
        await fleet.add_instance(f"i-{number}", SERVICE)
    if not await fleet.start_daemons(DAEMONS):
        return kit2.NOT_RUN
    ends = dict.fromkeys((daemon.name for daemon in fleet.daemons), 0)
    early = dict.fromkeys(ends, 0)
    forged_at = 0.0
    counts = {"calm": [0, 0], "afterwards": [0, 0]}
    phase = "calm"
    done = asyncio.Event()

    async def keep_running(daemon: kit2.Daemon) -> None:
        while True:
            assert daemon.process is not None
            status = await daemon.process.wait()
            if done.is_set():
                return
            ends[daemon.name] += 1
            early[daemon.name] += time.monotonic() < forged_at + LAPSES_S
            fleet.record.write(f"{daemon.name} ended by itself, status {status}")
            await asyncio.sleep(RESTART_S)
            await daemon.start(bootstrap=False)

    async def call(daemon: kit2.Daemon) -> None:
        while not done.is_set():
            request_id, of = fleet.new_id(), phase
            answer = None
            try:
                async with kit2.Caller(daemon) as caller:
                    await caller.send(caller.encode("POST", "/desk/1", request_id, b"order"))
                    answer = await caller.answer()
            except (OSError, TimeoutError):
                pass
            counts[of][0] += 1
            counts[of][1] += answer is not None and answer.status == 200
            said = "no answer" if answer is None else str(answer.status)
            fleet.record.write(f"sent {request_id} to {daemon.name}: {said}")
            await asyncio.sleep(0.2)

    keeping = [asyncio.create_task(keep_running(daemon)) for daemon in fleet.daemons]
    calls = [asyncio.create_task(call(daemon)) for daemon in fleet.daemons]
    await asyncio.sleep(CALM_S)
    forged = fleet.instances["i-3"].entry()
    forged["address"] = "127.0.0.1:9"
    forged["info"]["slots"] = SLOTS if fleet.trouble else "many"
    phase = "afterwards"
    forged_at = time.monotonic()
    fleet.store.put("servers", "i-x", forged)
    fleet.record.write("another writer's entry i-x")
    until = time.monotonic() + RUNS_S
    while time.monotonic() < until:
        await asyncio.sleep(0.1)
    done.set()
    await asyncio.gather(*calls)
    for task in keeping:
        task.cancel()
    for name, (sent, served) in counts.items():
        fleet.record.write(f"{name}: {sent} requests sent, {served} answered with 200")
    fleet.record.write(f"ends by themselves: {ends}, in the first {LAPSES_S} s: {early}")
    if not counts["calm"][1]:
        return kit2.NOT_RUN
    broken = sum(count > MOST_ENDS for count in ends.values())
    return kit2.BROKEN if broken >= 2 else kit2.HELD


kit2.main(case, __file__)
