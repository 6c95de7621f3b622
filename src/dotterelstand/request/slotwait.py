"""Waits for a slot while the rest of the request body is read."""

import trio
from returns.result import Result

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.bodyerror import BodyError
from dotterelstand.process.selection.outcome import SlotCall, SlotGrant
from dotterelstand.request.body import RequestBody
from dotterelstand.request.interfaces import Slots
from dotterelstand.version.model import Service

# Seconds of waiting for a slot after which the rest of the body is read meanwhile.
READ_AFTER_WAIT_S = 0.02


async def acquire_while_reading(
    slots: Slots, service: Service, call: SlotCall, body: RequestBody
) -> Result[SlotGrant, ResultCode]:
    """Get a slot, and read the rest of the body while waiting for it.

    A caller that leaves is noticed only when what it has sent is read. Raises `BodyError`.
    """
    if body.complete:
        return await slots.acquire(service, call)
    grant: Result[SlotGrant, ResultCode] | None = None
    error: BodyError | None = None

    async def read(waiting: trio.CancelScope) -> None:
        nonlocal error
        await trio.sleep(READ_AFTER_WAIT_S)
        try:
            await body.fill()
        except BodyError as found:
            error = found
            waiting.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read, nursery.cancel_scope)
        grant = await slots.acquire(service, call)
        nursery.cancel_scope.cancel()
    if grant is None:
        assert error is not None, "the wait for a slot ended without a decision"
        raise error
    return grant
