"""Callers that leave while their request waits, wherever the wait is."""

import pytest
import trio
from platform_support import PlatformFleet, run_on_platform

from dotterelstand.codes import Result

# Seconds within which the place of a caller that left is given back.
GIVEN_BACK_S = 0.2
WAIT_S = 0.3
SERVICE_TIME_S = 0.8
# Method, path, number of bytes in the body, and whether their number is declared.
REQUESTS = [
    ("GET", "/a/1", 0, True),
    ("POST", "/b/1", 100, True),
    ("POST", "/u/1", 140_000, True),
    ("POST", "/u/1", 100, False),
    ("POST", "/u/1", 140_000, False),
    ("POST", "/u/1", 360_000, False),
]


async def _send_and_leave(
    fleet: PlatformFleet, request: tuple[str, str, int, bool], entry: int, leave: str
) -> None:
    """Send a request, and close or reset the connection after `WAIT_S`."""
    method, path, body_bytes, declared = request
    data = fleet.request(method, path, bytes(body_bytes), chunked=not declared)
    stream = await fleet.stream(entry)
    with trio.move_on_after(WAIT_S):
        await stream.send_all(data)
        await trio.sleep_forever()
    getattr(stream, leave)()


def _count(fleet: PlatformFleet, code: Result) -> int:
    name = f"requests.result.{code:d}"
    return sum(daemon.metrics.value(name) for daemon in fleet.daemons)


@pytest.mark.parametrize("request_", REQUESTS)
@pytest.mark.parametrize("entry", [0, 1])
@pytest.mark.parametrize("leave", ["close", "reset"])
def test_place_in_the_shared_queue_is_given_back_at_once(
    request_: tuple[str, str, int, bool], entry: int, leave: str
) -> None:
    """Guards against a request that runs although its caller left while it was queued.

    One of the two hosts is the dispatcher, so with one entry the place is on another host.
    """

    async def scenario(fleet: PlatformFleet) -> None:
        # Whether the target counts as added later, and so has one slot, depends on which of its
        # lists a starting host reads first.
        for daemon in fleet.daemons:
            state = daemon.broker.core.services.find("s")
            assert state is not None
            state.regional.table.mark_cold(0)
        fleet.instances[0].service_time_s = SERVICE_TIME_S
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(fleet.call)
            await trio.sleep(0.05)
            started = list(fleet.runs())
            assert len(started) == 1
            await _send_and_leave(fleet, request_, entry, leave)
            await trio.sleep(GIVEN_BACK_S)
            assert fleet.runs() == started
            assert _count(fleet, Result.CALLER_GONE) == 1
        fleet.instances[0].service_time_s = 0.05
        await trio.sleep(1.0)
        assert (await fleet.call(entry=entry)).status == 200
        assert set(fleet.runs()) <= {"q1", "q2", "q4"}
        assert _count(fleet, Result.CALLER_LEFT) == 0

    run_on_platform(scenario, instances=1, entries=2)
