"""Unsafe requests for the path of a safe route's prefix without its last slash, and lost answers.

`/desk/` is unsafe, `/desk/quotes/` is safe. The longest prefix that begins `/desk/quotes` is
`/desk/`, so that `POST /desk/quotes` may run once at most. For `LOSS_S` seconds, half of the
instances lose the answers of 30 in 100 of the requests that they ran. With TROUBLE=0 none is lost.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import kit2  # noqa: E402

SERVICE = "order-desk"
LOSS_S = 6.0
LOST_SHARE = 0.3
PATHS = ("/desk/quotes", "/desk/orders")
SEED = 45


async def case(fleet: kit2.Fleet) -> int:
    """Send requests one after the other while answers get lost."""
    routes = [
        kit2.route(SERVICE, "/desk/", "unsafe", attempts=2),
        kit2.route(SERVICE, "/desk/quotes/", "safe", attempts=2),
    ]
    fleet.store.put("config", "main", kit2.configuration(1, routes, [SERVICE]))
    rng = random.Random(SEED)
    lossy_until = 0.0

    async def losing(instance, request, reader, writer) -> bool:  # type: ignore[no-untyped-def]
        await instance.read_body(request, reader)
        lost = time.monotonic() < lossy_until and rng.random() < LOST_SHARE
        if not lost:
            return await instance.run(request, writer)
        instance.runs.append(request.id)
        fleet.record.write(f"run {request.id} at {instance.name}, answer lost: {request.path}")
        await asyncio.sleep(instance.work_s)
        return False

    for number in range(4):
        handler = losing if number < 2 else None
        await fleet.add_instance(f"i-{number}", SERVICE, handler=handler)
    if not await fleet.start_daemons(1):
        return kit2.NOT_RUN
    sent: dict[str, str] = {}
    answered = 0
    until = time.monotonic() + LOSS_S
    lossy_until = until if fleet.trouble else 0.0
    while time.monotonic() < until:
        for path in PATHS:
            request_id = fleet.new_id()
            sent[request_id] = path
            async with kit2.Caller(fleet.daemons[0]) as caller:
                body = f"quote {request_id}".encode()
                await caller.send(caller.encode("POST", path, request_id, body))
                answer = await caller.answer()
            answered += answer is not None and answer.status == 200
            said = "no answer" if answer is None else str(answer.status)
            fleet.record.write(f"sent {request_id} POST {path}: {said}")
    await asyncio.sleep(1.0)
    runs = Counter(name for item in fleet.instances.values() for name in item.runs)
    twice = Counter(sent[name] for name, count in runs.items() if count > 1 and name in sent)
    for path in PATHS:
        total = sum(item == path for item in sent.values())
        fleet.record.write(f"POST {path}: {total} sent, {twice[path]} of them ran more than once")
    if not answered:
        return kit2.NOT_RUN
    return kit2.BROKEN if twice else kit2.HELD


kit2.main(case, __file__)
