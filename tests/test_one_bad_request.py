"""An error in one request ends no other request of its connection."""

from collections.abc import Callable
from typing import Any

import pytest
import trio
from platform_standin import server_entry
from platform_support import PlatformFleet, run_on_platform
from support import read_answer
from support_logs import EventCollector

from dotterelstand.events import Event
from dotterelstand.process.frontend import CallerFrontend
from dotterelstand.request.attempt import Attempt
from dotterelstand.request.exchange import Exchange

# Names that the header with the name of the target cannot carry as they are.
UNUSABLE_NAMES = {
    "line feed": "i-x\n",
    "carriage return": "i-x\r\nx: y",
    "tab": "i-x\t",
    "space behind": "i-x ",
    "space before": " i-x",
    "null": "i\0x",
    "not Latin-1": "i-\u5024",
    "too long": "i" * 300,
}


async def send_pipelined(fleet: PlatformFleet, paths: list[str]) -> list[int]:
    """Send lookups at once on one connection; returns the statuses of the whole answers."""
    stream = await fleet.stream()
    try:
        await stream.send_all(b"".join(fleet.request(path=path) for path in paths))
        answers = []
        for _ in paths:
            answers.append(await read_answer(stream))
        return [answer.status for answer in answers if answer.complete]
    finally:
        stream.close()


@pytest.mark.parametrize("case", UNUSABLE_NAMES)
def test_name_that_no_header_can_carry_is_left_out(case: str) -> None:
    """Guards against lookups that are lost beside one sent under such a name (review/10)."""

    async def scenario(fleet: PlatformFleet) -> None:
        address = f"10.1.0.{len(fleet.instances) - 1}:80"
        fleet.store.put("servers", UNUSABLE_NAMES[case], server_entry("s", address))
        await trio.sleep(1.0)
        for number in range(20):
            paths = [f"/a/{number}/{index}" for index in range(3)]
            assert await send_pipelined(fleet, paths) == [200, 200, 200]
        assert fleet.daemon.metrics.value("requests.retries") == 0

    with EventCollector() as lines:
        run_on_platform(scenario)
    assert lines.lines_of(Event.OBJECT_UNREADABLE)


def _fail_for(path: str, original: Callable[..., Any], path_of: Callable[..., str]) -> Any:
    """Replace an asynchronous method by one that raises an error for a path."""

    async def call(self: Any, *arguments: Any) -> Any:
        if path_of(self, *arguments) == path:
            raise ZeroDivisionError
        return await original(self, *arguments)

    return call


STEPS = {
    # Before the request is sent, after its answer has begun to arrive, and outside of both.
    "slot": (Exchange, "_acquire_slot", lambda self, *_: self._head.path, 503),
    "send": (Attempt, "_send_head", lambda self, *_: self._setup.head.path, 503),
    "answer": (Attempt, "_receive_head", lambda self: self._setup.head.path, 502),
    "route": (CallerFrontend, "_serve_routed", lambda self, request, *_: request.head.path, 502),
}


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize(("method", "position"), [("GET", 0), ("GET", 1), ("GET", 2), ("POST", 0)])
def test_unexpected_error_ends_one_request(
    step: str, method: str, position: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an error that ends the connection with all other requests on it."""
    owner, name, path_of, status = STEPS[step]
    paths = ["/a/0", "/a/1", "/a/2"]
    bad = paths[position] if method == "GET" else "/b/1"
    monkeypatch.setattr(owner, name, _fail_for(bad, getattr(owner, name), path_of))

    async def scenario(fleet: PlatformFleet) -> None:
        if method == "POST":
            answer = await fleet.call("POST", bad, b"order")
            assert (answer.status, answer.complete) == (status, True)
            assert len(fleet.runs()) == (step == "answer")
            # A request that has not run may be sent again at once.
            assert ("retry-after" in answer.headers) is (status == 503)
        else:
            expected = [status if path == bad else 200 for path in paths]
            assert await send_pipelined(fleet, paths) == expected
        assert await send_pipelined(fleet, ["/a/3", "/a/4"]) == [200, 200]

    run_on_platform(scenario, faults=1)
