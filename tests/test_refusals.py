"""Orders and uploads that are refused as not run must not have run, nor run later."""

from collections.abc import Callable

import h11
import pytest
import trio
from platform_standin import Instance, configuration, route, server_entry
from platform_support import PlatformFleet, run_on_platform
from support import read_answer

from dotterelstand.standin.network import FakeStream

# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
STOP_LIMIT_S = 1.5
# More than a daemon holds of a body whose length is declared.
UPLOAD_BYTES, FIRST_PART_BYTES = 600_000, 200_000


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


class InterruptedUpload:
    """Upload of which only the first part was sent when something happens to it."""

    def __init__(self, fleet: PlatformFleet, stream: FakeStream) -> None:
        self.fleet = fleet
        self.stream = stream

    async def stall(self) -> None:
        """Send nothing more."""

    async def send_no_chunk(self) -> None:
        """Send bytes that are no chunk; to a body with a declared length they belong."""
        await self.stream.send_all(b"no chunk\r\n")

    async def send_whole_and_bound(self) -> None:
        """Exceed the body length that a new configuration allows."""
        routes = (route("s"), route("s", "/u/", "upload"))
        document = configuration(9, *routes)
        document["resources"][-1]["spec"]["maxBodyBytes"] = FIRST_PART_BYTES + 1000
        self.fleet.store.put("config", "main", document)
        await trio.sleep(0.5)
        await self.stream.send_all(b"2000\r\n" + b"x" * 0x2000 + b"\r\n")

    async def remove_route(self) -> None:
        """Remove the route."""
        self.fleet.store.put("config", "main", configuration(9, route("s")))

    async def remove_service(self) -> None:
        """Move all routes to another service."""
        document = configuration(9, route("t"), services=("t",))
        self.fleet.store.put("config", "main", document)

    async def remove_targets(self) -> None:
        """Remove all targets from the store."""
        for instance in self.fleet.instances:
            self.fleet.store.remove("servers", instance.name)

    async def drain_targets(self) -> None:
        """Let all targets drain."""
        for index in range(len(self.fleet.instances)):
            self.fleet.register(index, state="draining")

    async def crash_targets(self) -> None:
        """Crash all targets, and start them again at their addresses."""
        for index, instance in enumerate(self.fleet.instances):
            address = f"10.1.0.{index}"
            self.fleet.network.crash(address)
            listener = self.fleet.network.add_listener(address, 80)
            self.fleet.nursery.start_soon(listener.serve, instance.serve, self.fleet.nursery)

    async def stop_host(self) -> None:
        """Stop the daemon, whose process is ended soon after."""
        self.fleet.daemon.stop()


def _count_from_the_head(instance: Instance, begun: list[str], refuses: bool) -> None:
    """Let a target begin to run or refuse uploads before it has read their bodies."""

    async def serve(stream: FakeStream, connection: h11.Connection) -> bool:
        while not isinstance(event := connection.next_event(), h11.Request):
            if isinstance(event, h11.ConnectionClosed):
                return False
            connection.receive_data(bytes(await stream.receive_some(65536)))
        headers = {name.decode(): value.decode() for name, value in event.headers}
        if event.target != b"/health" and not refuses:
            begun.append(headers["x-dotterelstand-request-id"])
        elif event.target != b"/health":
            changes = {"X_Dotterelstand_Not_Executed": "1"}
            await stream.send_all(instance.answer(headers, b"", status="503 Full", **changes))
        while not isinstance(event := connection.next_event(), h11.EndOfMessage):
            connection.receive_data(bytes(await stream.receive_some(65536)))
        if not refuses:
            await stream.send_all(instance.answer(headers))
        return True

    instance._serve_next = serve  # type: ignore[method-assign,assignment]


INTERRUPTIONS = [
    InterruptedUpload.stall,
    InterruptedUpload.send_no_chunk,
    InterruptedUpload.send_whole_and_bound,
    InterruptedUpload.remove_route,
    InterruptedUpload.remove_service,
    InterruptedUpload.remove_targets,
    InterruptedUpload.drain_targets,
    InterruptedUpload.crash_targets,
    InterruptedUpload.stop_host,
]


@pytest.mark.parametrize("chunked", [True, False], ids=["chunked", "length"])
@pytest.mark.parametrize("refusing", [0, 1, 3], ids=["none-refuses", "one-refuses", "all-refuse"])
@pytest.mark.parametrize("interrupt", INTERRUPTIONS, ids=lambda item: str(item.__name__))
def test_upload_of_which_a_target_has_a_part_is_not_refused_as_not_run(
    interrupt: Callable[[InterruptedUpload], object], refusing: int, chunked: bool
) -> None:
    """Guards against an upload that is answered as not run after a target began to run it."""

    async def scenario(fleet: PlatformFleet) -> None:
        begun: list[str] = []
        for index, instance in enumerate(fleet.instances):
            _count_from_the_head(instance, begun, refuses=index < refusing)
        stream = await fleet.stream()
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {UPLOAD_BYTES}"
        head = fleet.request("POST", "/u/1", deadline_ms=10_000).removesuffix(b"\r\n")
        part = b"x" * FIRST_PART_BYTES
        if chunked:
            part = b"%x\r\n" % len(part) + part + b"\r\n"
        await stream.send_all(head + framing.encode() + b"\r\n\r\n" + part)
        await trio.sleep(0.1)
        await interrupt(InterruptedUpload(fleet, stream))  # type: ignore[misc]
        answer = await read_answer(stream, "POST")
        assert answer.status, "the upload was not answered"
        assert len(begun) <= 1
        assert bool(begun) == (refusing < 3)
        assert not (begun and answer.status in PROMISES), answer.body

    # A body in chunks is sent on once as much of it has arrived as is held for another attempt.
    held = FIRST_PART_BYTES if chunked else 524288
    run_on_platform(scenario, stop_limit_s=STOP_LIMIT_S, held_body_bytes=held)


@pytest.mark.parametrize("status", ["421 Misdirected Request", "503 Service Unavailable"])
def test_altered_refusal_proves_nothing(status: str) -> None:
    """Guards against a second run of a request whose refusal was altered on its way."""

    async def scenario(fleet: PlatformFleet) -> None:
        for item in fleet.instances:
            item.answers = [
                lambda headers, item=item: item.answer(
                    headers,
                    status=status,
                    Content_Encoding="gzip",
                    X_Dotterelstand_Not_Executed="1",
                )
                for _ in range(3)
            ]
        answer = await fleet.call("POST", "/b/1")
        assert (answer.status, len(fleet.runs())) == (502, 1)

    run_on_platform(scenario)
