"""Shared helpers: a fleet of real daemons and target stand-ins over the in-memory network."""

import gc
import json
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import h11
import trio

from dotterelstand.connection.network import StreamHandler
from dotterelstand.process.daemon import Daemon
from dotterelstand.settings import parse_settings
from dotterelstand.standin.httpd import serve_http
from dotterelstand.standin.network import FakeNetwork, FakeStream
from dotterelstand.standin.platform import ObjectStore
from dotterelstand.standin.target import TargetServer
from dotterelstand.standin.virtual import run_virtual, seeded_random
from dotterelstand.version.model import section_digest

CALLER, PLATFORM, ENTRY = "10.0.0.1", "10.0.0.2", "10.0.0.3"
LATENCY_S = 0.0005

ROUTES = """
[[routes]]
prefix = "/lookup"
methods = ["GET", "HEAD", "POST"]
service = "main"
idempotent = true
deadline_ms = {deadline_ms}
[[routes]]
prefix = "/order"
methods = ["POST", "PUT"]
service = "main"
idempotent = false
deadline_ms = {deadline_ms}
"""


@contextmanager
def no_reference_cycles() -> Iterator[None]:
    """Check that what ends meanwhile is freed without the garbage collector."""
    gc.collect()
    gc.disable()
    try:
        yield
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        assert [type(item).__name__ for item in gc.garbage] == []
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()


class Answer:
    """Answer as a caller received it; `complete` is False if it was truncated."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False

    @property
    def code(self) -> int:
        """Result code, or 0 if the header is missing."""
        return int(self.headers.get("dotterelstand-result", 0))

    @property
    def run(self) -> str:
        """Value of the `dotterelstand-run` header, empty if it is missing."""
        return self.headers.get("dotterelstand-run", "")

    def json(self) -> Any:
        """Decoded body of a target stand-in's answer."""
        return json.loads(self.body)


class Fleet:
    """Daemons, platform and targets; `service` holds extra TOML lines of the service."""

    def __init__(
        self,
        targets: int,
        seed: int,
        service: str = "",
        settings: str = "",
        deadline_ms: int = 10000,
        entries: int = 1,
    ) -> None:
        self.network = FakeNetwork(lambda one, other: LATENCY_S)
        self.targets = [TargetServer(f"t{i}", 2, 0.005, seed) for i in range(targets)]
        self.store = ObjectStore()
        text = "".join(
            f'[[services.main.targets]]\nname = "t{i}"\naddress = "10.1.0.{i}"\nport = 80\n'
            'region = "local"\navailability_zone = "local-1"\n'
            for i in range(targets)
        )
        if "silence_timeout_s" not in service:
            service += "\nsilence_timeout_s = 0.5"
        text = f"[services.main]\n{service}\n{text}"
        self._body = text + ROUTES.format(deadline_ms=deadline_ms)
        self._settings = settings
        self._seed = seed
        self._starts = 0
        self._scopes = [trio.CancelScope() for _ in range(entries)]
        self.daemons = [self._make_daemon(index) for index in range(entries)]
        self.store.hosts = [
            {"host": f"entry-{index}", "address": entry_address(index)}
            | {"role": "entry", "state": "live", "region": "local"}
            for index in range(entries)
        ]
        self.stopped = trio.Event()

    @property
    def daemon(self) -> Daemon:
        """The first daemon."""
        return self.daemons[0]

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all parts and wait until the daemons serve."""
        self.nursery = nursery
        digest = section_digest(self._body)
        self.store.put(f"document/sections/{digest}", self._body.encode(), {})
        entry = {"digest": digest, "author": "test", "at": 0}
        manifest = {"number": 1, "write": "w", "sections": {"main": entry}}
        self.store.put("document/head", json.dumps(manifest).encode(), {})
        listener = await self.network.at(PLATFORM).listen(PLATFORM, 80)
        nursery.start_soon(listener.serve, self._serve_store, nursery)
        for index, target in enumerate(self.targets):
            address = f"10.1.0.{index}"
            nursery.start_soon(target.serve, self.network.at(address), address, 80)
        for index in range(len(self.daemons)):
            nursery.start_soon(self._run_daemon, index)
        await trio.sleep(1.0 if len(self.daemons) == 1 else 6.0)

    async def stream(self, entry: int = 0) -> FakeStream:
        """Open a connection to a daemon."""
        return await self.network.open_stream(CALLER, entry_address(entry), 8080)

    async def call(
        self, method: str, path: str, body: bytes = b"", entry: int = 0, **headers: str
    ) -> Answer:
        """Send one request over a new connection and read its answer."""
        stream = await self.stream(entry)
        try:
            return await exchange(stream, method, path, body, headers)
        finally:
            stream.close()

    def replace_target(self, nursery: trio.Nursery, handler: StreamHandler) -> None:
        """Crash the first target and serve its address with another handler."""
        self.network.crash("10.1.0.0")
        listener = self.network.add_listener("10.1.0.0", 80)
        nursery.start_soon(listener.serve, handler, nursery)

    async def assert_settled(self) -> None:
        """Fail if a caller connection, a slot or a target connection is still in use."""
        for daemon in self.daemons:
            # A health probe may still use a target connection; wait for it for up to 1 s.
            for _ in range(100):
                await trio.sleep(0.01 if daemon.pool.in_use() else 0.0)
            assert daemon.frontend.open_connections == 0, "a caller connection is stuck"
            assert daemon.pool.in_use() == 0, "a target connection is stuck"
            state = daemon.broker.core.services.find("main")
            if state is not None and state.regional is not None:
                # Expires the grants of lost entry hosts, which otherwise happens only with the
                # next call for a slot.
                state.regional.advance_health(trio.current_time())
                assert state.regional.open_grants == 0, "a slot is stuck"
            assert not daemon.metrics.value("requests.faults"), "an invariant was broken"

    async def replace_daemon(self, nursery: trio.Nursery, index: int, down_s: float) -> None:
        """Crash a daemon's host, and after `down_s` seconds start a new daemon in its place."""
        self._scopes[index].cancel()
        self.network.crash(entry_address(index))
        # Shielded from cancellation: if the host stayed down, its slots would stay in use and
        # look stuck.
        with trio.CancelScope(shield=True):
            await trio.sleep(down_s)
        self._scopes[index] = trio.CancelScope()
        self.daemons[index] = self._make_daemon(index)
        nursery.start_soon(self._run_daemon, index)

    def runs(self, path: str) -> list[str]:
        """Return the states of all executions of a path at all targets."""
        return [run.state for target in self.targets for run in target.runs if run.path == path]

    def set_faults(self, **values: object) -> None:
        """Set the same faults at every target."""
        for target in self.targets:
            assert target.faults.update(values) is None

    def _make_daemon(self, index: int) -> Daemon:
        address, settings = entry_address(index), self._settings
        self._starts += 1
        overrides = f'[store]\nurl = "http://{PLATFORM}:80"\n{settings}'
        overrides += "" if "[listen]" in settings else "[listen]\n"
        overrides = overrides.replace("[listen]", f'[listen]\naddress = "{address}"')
        overrides += f'\n[control]\naddress = "{address}"'
        overrides += f'\n[host]\nname = "entry-{index}"\n[peers]\naddress = "{address}"\n'
        return Daemon(
            parse_settings(overrides, "test").unwrap(),
            self.network.at(address),
            seeded_random(self._seed, f"daemon {index} {self._starts}"),
        )

    async def _run_daemon(self, index: int) -> None:
        with self._scopes[index]:
            await self.daemons[index].run()
            if index == 0:
                self.stopped.set()

    async def _serve_store(self, stream: trio.abc.Stream) -> None:
        await serve_http(stream, self.store.handle)


def entry_address(index: int) -> str:
    """Address of a daemon."""
    return ENTRY if index == 0 else f"10.0.1.{index}"


def run_fleet(
    scenario: Callable[[Fleet], Awaitable[Any]],
    targets: int = 3,
    seed: int = 1,
    limit_s: float = 600.0,
    **arguments: Any,
) -> Any:
    """Run a scenario in virtual time; fails if it takes longer than `limit_s` virtual seconds."""

    async def main() -> Any:
        fleet = Fleet(targets, seed, **arguments)
        with trio.fail_after(limit_s):
            async with trio.open_nursery() as nursery:
                await fleet.start(nursery)
                result = await scenario(fleet)
                assert not fleet.daemon.metrics.value("requests.faults"), "invariant broken"
                nursery.cancel_scope.cancel()
        return result

    return run_virtual(main, seed=seed)


async def exchange(
    stream: trio.abc.Stream, method: str, path: str, body: bytes, headers: dict[str, str]
) -> Answer:
    """Send a request with a declared length and read the answer."""
    fields = [f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items()]
    head = f"{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n"
    await stream.send_all(f"{head}{''.join(fields)}\r\n".encode() + body)
    return await read_answer(stream, method)


async def read_answer(stream: trio.abc.Stream, method: str = "GET") -> Answer:
    """Read one answer up to its end, or up to where the connection broke."""
    answer = Answer()
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method=method, target="/", headers=[("host", "x")]))
    connection.send(h11.EndOfMessage())
    try:
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(bytes(await stream.receive_some(65536)))
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {n.decode(): v.decode() for n, v in event.headers}
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.complete = True
                return answer
            elif not isinstance(event, h11.InformationalResponse):
                return answer
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
        return answer
