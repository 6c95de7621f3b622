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
