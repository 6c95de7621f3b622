"""Fleet of daemons on the platform's stand-in, over the in-memory network."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio
from platform_standin import Instance, MetadataStore, configuration, route, server_entry
from support import CALLER, PLATFORM, Answer, entry_address, read_answer

from dotterelstand.process.daemon import Daemon
from dotterelstand.settings import parse_settings
from dotterelstand.standin.httpd import serve_http
from dotterelstand.standin.network import FakeNetwork, FakeStream
from dotterelstand.standin.virtual import run_virtual, seeded_random

LATENCY_S = 0.0005
SETTINGS = """
[host]
name = "entry-{index}"
regions = ["local-1=local", "local-2=local"]
memory_mb = {memory_mb}
[listen]
address = "{address}"
stop_limit_s = {stop_limit_s}
[readiness]
enabled = true
address = "{address}"
path = "/dotterelstand/ready"
[peers]
address = "{address}"
introduction_s = 0.2
[control]
address = "{address}"
[store]
protocol = "objects"
url = "http://{platform}:80"
[targets]
health_interval_s = {health_interval_s}
health_drains = false
connect_timeout_s = 0.15
[requests]
retry_min_per_s = 5.0
held_body_bytes = {held_body_bytes}
[quota]
enabled = {quota}
[metrics]
served = true
address = "{address}"
"""


class PlatformFleet:
    """Daemons, the store, and the instances `i-0`, `i-1` and so on of service `s`."""

    def __init__(
        self,
        instances: int,
        seed: int,
        entries: int = 1,
        health_interval_s: float = 0.0,
        stop_limit_s: float = 0.0,
        settings: str = "",
        memory_mb: int = 0,
        quota: bool = False,
        held_body_bytes: int = 524288,
    ) -> None:
        # Further sections of the settings.
        self._settings = settings
        self.network = FakeNetwork(lambda one, other: LATENCY_S)
        self.store = MetadataStore()
        self.instances = [Instance(f"i-{index}") for index in range(instances)]
        self.daemons: list[Daemon] = []
        self._entries = entries
        self._seed = seed
        self._health_interval_s = health_interval_s
        self._stop_limit_s = stop_limit_s
        self._memory_mb = memory_mb
        self._quota = quota
        self._held_body_bytes = held_body_bytes
        self._requests = 0

    @property
    def daemon(self) -> Daemon:
        """The first daemon."""
        return self.daemons[0]

    async def start(self, nursery: trio.Nursery) -> None:
        """Start store, instances and daemons, and wait until the daemons serve requests."""
        self.nursery = nursery
        routes = (route("s"), route("s", "/b/", "unsafe"), route("s", "/u/", "upload"))
        self.store.put("config", "main", configuration(7, *routes))
        for index in range(len(self.instances)):
            self.register(index)
            listener = self.network.add_listener(f"10.1.0.{index}", 80)
            nursery.start_soon(listener.serve, self.instances[index].serve, nursery)
        listener = await self.network.at(PLATFORM).listen(PLATFORM, 80)
        nursery.start_soon(listener.serve, self._serve_store, nursery)
        for index in range(self._entries):
            self.start_daemon(index)
        await trio.sleep(2.0)

    def start_daemon(self, index: int) -> Daemon:
        """Start another entry host."""
        address = entry_address(index)
        text = SETTINGS.format(
            index=index,
            address=address,
            platform=PLATFORM,
            health_interval_s=self._health_interval_s,
            stop_limit_s=self._stop_limit_s,
            memory_mb=self._memory_mb,
            quota=str(self._quota).lower(),
            held_body_bytes=self._held_body_bytes,
        )
        daemon = Daemon(
            parse_settings(text + self._settings, "test").unwrap(),
            self.network.at(address),
            seeded_random(self._seed, f"daemon {index}"),
            clock=trio.current_time,
        )
        self.daemons.append(daemon)
        self.nursery.start_soon(daemon.run)
        return daemon

    def register(self, index: int, service: str = "s", **changes: Any) -> None:
        """Register an instance in the store; `changes` replace fields of its status."""
        entry = server_entry(service, f"10.1.0.{index}:80", **changes)
        self.store.put("servers", f"i-{index}", entry)

    async def stream(self, entry: int = 0) -> FakeStream:
        """Open a connection to a daemon."""
        return await self.network.open_stream(CALLER, entry_address(entry), 8080)

    def request(
        self,
        method: str = "GET",
        path: str = "/a/1",
        body: bytes = b"",
        deadline_ms: int = 1000,
        chunked: bool = False,
        key: str = "",
    ) -> bytes:
        """Return the bytes of a request with a new id; `chunked` sends the body as one chunk.

        `key` is the key of a workspace, if there is one.
        """
        self._requests += 1
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: x",
            f"X-Dotterelstand-Request-Id: q{self._requests}",
            f"X-Dotterelstand-Deadline-Ms: {deadline_ms}",
        ]
        if key:
            lines.append(f"Authorization: Token {key}")
        if body and chunked:
            lines.append("Transfer-Encoding: chunked")
            body = b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"
        elif body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def call(
        self,
        method: str = "GET",
        path: str = "/a/1",
        body: bytes = b"",
        entry: int = 0,
        deadline_ms: int = 1000,
        key: str = "",
    ) -> Answer:
        """Send one request over a new connection and read its answer."""
        stream = await self.stream(entry)
        try:
            await stream.send_all(self.request(method, path, body, deadline_ms, key=key))
            return await read_answer(stream, method)
        finally:
            stream.close()

    def runs(self) -> list[str]:
        """Return the ids of the requests that instances ran."""
        return [run for instance in self.instances for run in instance.runs]

    async def _serve_store(self, stream: trio.abc.Stream) -> None:
        await serve_http(stream, self.store.handle)


def run_on_platform(
    scenario: Callable[[PlatformFleet], Awaitable[Any]],
    instances: int = 3,
    seed: int = 1,
    faults: int = 0,
    **arguments: Any,
) -> Any:
    """Run a scenario in virtual time on a platform with an object store.

    `faults` is the number of requests that an unexpected error of the first daemon ends.
    """

    async def main() -> Any:
        fleet = PlatformFleet(instances, seed, **arguments)
        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                await fleet.start(nursery)
                result = await scenario(fleet)
                for index, daemon in enumerate(fleet.daemons):
                    found = daemon.metrics.value("requests.faults")
                    assert found == (0 if index else faults), "invariant broken"
                nursery.cancel_scope.cancel()
        return result

    return run_virtual(main, seed=seed)
