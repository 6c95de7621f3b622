"""Bounds on callers take effect with a new configuration, also on open connections."""

from typing import Any

import pytest
import trio
from platform_standin import configuration, route
from platform_support import PlatformFleet, run_on_platform
from support import read_answer

ROUTES = (route("s"), route("s", "/b/", "unsafe"), route("s", "/u/", "upload"))


def _bounded(version: int, **limits: Any) -> dict[str, Any]:
    document = configuration(version, *ROUTES)
    document["resources"][-1]["spec"].update(limits)
    return document


@pytest.mark.parametrize(
    ("limits", "path", "body", "status"),
    [
        ({"maxBodyBytes": 1000}, "/u/1", b"x" * 1001, 413),
        ({"maxBodyBytes": 1000}, "/u/1", b"x" * 1000, 200),
        ({"maxHeaderBytes": 1024}, "/u/" + "x" * 1100, b"x", 431),
        ({"maxHeaderBytes": 4096}, "/u/" + "x" * 1100, b"x", 200),
    ],
)
def test_a_configuration_bounds_heads_and_bodies(
    limits: dict[str, int], path: str, body: bytes, status: int
) -> None:
    """Guards against ignoring the bounds of a configuration, and against refusals within them."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put("config", "main", _bounded(9, **limits))
        await trio.sleep(1.0)
        answer = await fleet.call("POST", path, body)
        assert answer.status == status
        assert len(fleet.runs()) == (status == 200)

    run_on_platform(scenario)


def test_a_chunked_body_beyond_the_bound_is_refused_unrun() -> None:
    """Guards against running a request whose chunked body exceeds `maxBodyBytes`."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put("config", "main", _bounded(9, maxBodyBytes=1000))
        await trio.sleep(1.0)
        stream = await fleet.stream()
        head = fleet.request("POST", "/u/1").replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked")
        piece = b"320\r\n" + b"x" * 800 + b"\r\n"
        await stream.send_all(head + b"\r\n\r\n" + 2 * piece + b"0\r\n\r\n")
        answer = await read_answer(stream, "POST")
        # The status is 400 if a part was already forwarded: the target then saw a truncated body.
        assert answer.status in (400, 413)
        assert fleet.runs() == []

    run_on_platform(scenario)


@pytest.mark.parametrize(
    ("limits", "sent", "seconds"),
    [({"headerTimeoutS": 1}, b"GET /a/1 HT", 1.0), ({"idleTimeoutS": 2}, b"", 2.0)],
)
def test_a_configuration_bounds_waits(
    limits: dict[str, float], sent: bytes, seconds: float
) -> None:
    """Guards against slow heads and idle connections that outlast the configured timeouts."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put("config", "main", _bounded(9, **limits))
        await trio.sleep(1.0)
        stream = await fleet.stream()
        began = trio.current_time()
        if sent:
            await stream.send_all(sent)
        while await stream.receive_some(4096):
            pass
        assert seconds - 0.01 < trio.current_time() - began < seconds + 1.5

    run_on_platform(scenario)


@pytest.mark.parametrize("limits", [{"maxBodyBytes": 0}, {"idleTimeoutS": "x"}])
def test_a_configuration_with_a_bound_that_cannot_be_read_is_not_used(limits: Any) -> None:
    """Guards against applying a configuration with an invalid bound."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put("config", "main", _bounded(9, **limits))
        await trio.sleep(1.0)
        assert fleet.daemon.document is not None and fleet.daemon.document.number == 7

    run_on_platform(scenario)
