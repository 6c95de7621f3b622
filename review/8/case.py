"""Long uploads whose instance answers at once without a length, then resets the connection.

Each answer breaks off behind `PART`, so no caller may get it as a complete answer. With TROUBLE=0
the instance sends the whole body and ends the connection in an orderly way.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import kit2  # noqa: E402

UPLOADS = 30
UPLOAD = b"u" * 400_000
PART = b"first part of the answer, "
REST = b"and the rest of it"


async def case(fleet: kit2.Fleet) -> int:
    """Send uploads one after the other."""
    routes = [kit2.route("artwork", "/art/", "upload", attempts=2)]
    fleet.store.put("config", "main", kit2.configuration(1, routes, ["artwork"]))

    async def early(instance, request, reader, writer) -> bool:  # type: ignore[no-untyped-def]
        fleet.record.write(f"run {request.id} at {instance.name}: answers before the body is read")
        instance.runs.append(request.id)
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
        await fleet.add_instance(f"i-{number}", "artwork", handler=early, receive_buffer=8192)
    if not await fleet.start_daemons(1):
        return kit2.NOT_RUN
    broken = answered = 0
    for _ in range(UPLOADS):
        request_id = fleet.new_id()
        async with kit2.Caller(fleet.daemons[0]) as caller:
            await caller.send(caller.encode("POST", "/art/1", request_id, UPLOAD))
            answer = await caller.answer()
        if answer is None:
            fleet.record.write(f"sent {request_id}: no answer")
            continue
        answered += answer.complete and answer.status == 200
        said = f"{answer.status}, {len(answer.body)} bytes, complete: {answer.complete}"
        fleet.record.write(f"sent {request_id}: {said}")
        if answer.status == 200 and answer.complete and answer.body != PART + REST:
            broken += 1
    runs = sum(len(instance.runs) for instance in fleet.instances.values())
    fleet.record.write(f"{UPLOADS} uploads, {runs} runs, {answered} complete 200, {broken} cut")
    if not runs or (not fleet.trouble and not answered):
        return kit2.NOT_RUN
    return kit2.BROKEN if broken else kit2.HELD


kit2.main(case, __file__)
