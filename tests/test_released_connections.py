"""Memory of ended connections is freed at once, not by the garbage collector much later."""

import pytest
import trio
from platform_support import PlatformFleet, run_on_platform
from support import no_reference_cycles, read_answer

LARGE = b"Content-Length: 90000000000"


def _with(fleet: PlatformFleet, path: str, line: bytes, body: bytes = b"") -> bytes:
    head = fleet.request("POST", path)
    return head.replace(b"\r\n\r\n", b"\r\n" + line + b"\r\n\r\n") + body


@pytest.mark.parametrize(
    ("path", "line", "body", "is_answered"),
    [
        ("/a/1", b"A: b", b"", True),
        ("/u/1", b"Content-Length: 3", b"abc", True),
        ("/u/1", b"Content-Length: 1000", b"x" * 900, False),
        ("/u/1", b"Transfer-Encoding: chunked", b"384\r\n" + b"x" * 800, False),
        ("/u/1", b"Transfer-Encoding: chunked", b"no length\r\n", True),
        ("/u/1", b"not a header", b"", True),
        ("/none/1", b"A: b", b"", True),
        ("/u/1", LARGE, b"", True),
    ],
)
def test_an_ended_connection_leaves_no_reference_cycle(
    path: str, line: bytes, body: bytes, is_answered: bool
) -> None:
    """Guards against heads and bodies that stay in memory for thousands of connections."""

    async def call(fleet: PlatformFleet) -> None:
        stream = await fleet.stream()
        await stream.send_all(_with(fleet, path, line, body))
        if is_answered:
            await read_answer(stream, "POST")
        await trio.sleep(0.1)
        stream.close()

    async def scenario(fleet: PlatformFleet) -> None:
        # The first calls create what is kept for later ones.
        for _ in range(3):
            await call(fleet)
        await trio.sleep(2)
        with no_reference_cycles():
            await call(fleet)
            await trio.sleep(2)

    run_on_platform(scenario)
