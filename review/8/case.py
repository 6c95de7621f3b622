"""Long uploads, of which some get an early answer without a length that is then reset.

Half of the instances answer 5 in 100 of the uploads before they have read the body, without a
length, send `PART` of the answer and reset the connection. No caller may get that as a complete
answer. With TROUBLE=0 these answers come early and without a length as well, but are sent to their
end, and their connection ends in an orderly way.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import kit2  # noqa: E402

UPLOAD = b"u" * 400_000
PART = b"first part of the answer, "
REST = b"and the rest of it"
# Largest doses of the pages: for_s = 5.0 and x = 0.05 (unframed), share 0.5 (usual of the kind).
PHASES = 6
PHASE_S = 5.0
PAUSE_S = 1.0
SPOILT_SHARE = 0.05
CALLERS = 4
SEED = 45


async def case(fleet: kit2.Fleet) -> int:
    """Send uploads from a few callers, each on a new connection."""
    routes = [kit2.route("artwork", "/art/", "upload", attempts=2)]
    fleet.store.put("config", "main", kit2.configuration(1, routes, ["artwork"]))
    rng = random.Random(SEED)
    spoils_until = 0.0
    spoilt: set[str] = set()
    counts: Counter[str] = Counter()

    async def early(instance, request, reader, writer) -> bool:  # type: ignore[no-untyped-def]
        if time.monotonic() >= spoils_until or rng.random() >= SPOILT_SHARE:
            await instance.read_body(request, reader)
            return await instance.run(request, writer)
        fleet.record.write(f"run {request.id} at {instance.name}: answers before the body is read")
        spoilt.add(request.id)
        writer.write(instance.head(request.id, Connection="close") + PART)
        await writer.drain()
        if not fleet.trouble:
            await instance.read_body(request, reader)
            writer.write(REST)
            await writer.drain()
            return False
        await asyncio.sleep(0.1)
        kit2.reset(writer)
        return False

    for number in range(4):
        handler = early if number < 2 else None
        await fleet.add_instance(f"i-{number}", "artwork", handler=handler, receive_buffer=8192)
    if not await fleet.start_daemons(1):
        return kit2.NOT_RUN
    done = asyncio.Event()

    async def call() -> None:
        while not done.is_set():
            request_id = fleet.new_id()
            async with kit2.Caller(fleet.daemons[0]) as caller:
                await caller.send(caller.encode("POST", "/art/1", request_id, UPLOAD))
                answer = await caller.answer()
            counts["sent"] += 1
            if answer is None:
                fleet.record.write(f"sent {request_id}: no answer")
                continue
            said = f"{answer.status}, {len(answer.body)} bytes, complete: {answer.complete}"
            fleet.record.write(f"sent {request_id}: {said}")
            if answer.status != 200 or not answer.complete:
                continue
            counts["complete"] += 1
            if request_id in spoilt:
                counts["whole" if answer.body == PART + REST else "cut"] += 1

    calls = [asyncio.create_task(call()) for _ in range(CALLERS)]
    for _ in range(PHASES):
        spoils_until = time.monotonic() + PHASE_S
        await asyncio.sleep(PHASE_S + PAUSE_S)
    done.set()
    await asyncio.gather(*calls)
    fleet.record.write(
        f"{counts['sent']} uploads, {counts['complete']} complete 200, {len(spoilt)} answered early,"
        f" of which {counts['whole']} whole and {counts['cut']} cut short and complete"
    )
    if not spoilt or not counts["complete"] or not (fleet.trouble or counts["whole"]):
        return kit2.NOT_RUN
    return kit2.BROKEN if counts["cut"] else kit2.HELD


kit2.main(case, __file__)
