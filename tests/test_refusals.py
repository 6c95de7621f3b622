"""Orders and uploads that are refused as not run must not have run, nor run later."""

import pytest
import trio
from platform_standin import server_entry
from platform_support import PlatformFleet, run_on_platform


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("status", ["421 Misdirected", "503 Full"])
@pytest.mark.parametrize(
    ("method", "path", "body"),
    [("GET", "/a/1", b""), ("POST", "/b/1", b"order"), ("POST", "/u/1", bytes(200_000))],
    ids=["lookup", "order", "upload"],
)
def test_refusal_that_comes_again_does_not_answer_the_next_attempt(
    seed: int, status: str, method: str, path: str, body: bytes
) -> None:
    """Guards against an order that is refused as not run and runs at a reused address.

    An address is listed under two names, that of a target that has ended and that of its
    successor. The second attempt at it took the connection of the first, whose answer came late
    again and has the same request id.
    """

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put("servers", "i-former", server_entry("s", "10.1.0.0:80"))
        await trio.sleep(1.0)
        instance = fleet.instances[0]
        instance.repeats_answers = True

        def refuse(headers: dict[str, str]) -> bytes:
            changes = {"X_Dotterelstand_Not_Executed": "1"}
            return instance.answer(headers, b"", status=status, **changes)

        refuse.runs = False  # type: ignore[attr-defined]
        instance.answers = [refuse]
        result = await fleet.call(method, path, body)
        assert (result.status, result.body) == (200, b"whole body")
        names = {headers["x-dotterelstand-target-instance"] for headers in instance.requests}
        assert names == {"i-0", "i-former"}
        assert len(fleet.runs()) == 1

    run_on_platform(scenario, instances=1, seed=seed)


@pytest.mark.parametrize("connection", ["", "close"])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_refused_attempts_count_whatever_becomes_of_their_connections(
    method: str, connection: str
) -> None:
    """Guards against a request that is sent to more targets than its route's attempts allow.

    Whether an attempt was sent was asked of its connection, which forgets it once it is in the pool
    again, and says so again once another request uses it.
    """

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:

            def refuse(headers: dict[str, str], instance=instance) -> bytes:  # type: ignore[no-untyped-def]
                changes = {"X_Dotterelstand_Not_Executed": "1", "Connection": connection}
                return instance.answer(headers, b"", status="503 Full", **changes)

            refuse.runs = False  # type: ignore[attr-defined]
            instance.answers = [refuse] * 3
        result = await fleet.call(method, "/a/1" if method == "GET" else "/b/1")
        assert (result.status, fleet.runs()) == (503, [])
        assert sum(len(instance.requests) for instance in fleet.instances) == 2

    run_on_platform(scenario, instances=7)
