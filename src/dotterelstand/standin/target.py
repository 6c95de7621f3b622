"""Stand-in for a target with slots, service times, load and health endpoints, and faults."""

import json
import random
from collections import deque

import fire
import h11
import trio
import xxhash

from dotterelstand.connection.network import Network, TcpNetwork
from dotterelstand.connection.target import abort_now, close_now
from dotterelstand.standin.faults import ENDPOINT_PATHS, MAX_FAULTS_BYTES, Faults, matches_prefix

MAX_RUNS = 200_000
MAX_LOAD_HISTORY = 4000

Headers = list[tuple[str, str]]


class Run:
    """Record of one execution; `state` is "began", "done", "cancelled" or "crashed"."""

    __slots__ = ("body_bytes", "body_digest", "key", "method", "path", "state")

    def __init__(self, method: str, path: str, key: str, body: "BodyDigest") -> None:
        self.method = method
        self.path = path
        self.key = key
        self.body_bytes = body.length
        self.body_digest = body.hexdigest()
        self.state = "began"

    def as_dict(self) -> dict[str, object]:
        """Return all fields by name."""
        return {name: getattr(self, name) for name in self.__slots__}


class BodyDigest:
    """Length and digest of a body; only its first `MAX_FAULTS_BYTES` bytes are kept."""

    __slots__ = ("_hash", "first_bytes", "length")

    def __init__(self) -> None:
        self._hash = xxhash.xxh3_128()
        self.first_bytes = b""
        self.length = 0

    def add(self, data: bytes) -> None:
        """Add the next piece of the body."""
        self._hash.update(data)
        self.first_bytes += data[: MAX_FAULTS_BYTES - len(self.first_bytes)]
        self.length += len(data)

    def hexdigest(self) -> str:
        """Return the digest of the pieces added so far."""
        return self._hash.hexdigest()


class TargetServer:
    """Executes requests in a fixed number of slots and records the executions.

    Service times are 10 times as long during the first `cold_s` seconds after a start.
    """

    __slots__ = (
        "_accept_scope",
        "_cold_s",
        "_connections",
        "_fixed_service_s",
        "_in_flight",
        "_load_history",
        "_max_connections",
        "_max_waiting",
        "_mean_service_s",
        "_name",
        "_random",
        "_slots",
        "_started_at",
        "crashes",
        "deadlines_ms",
        "faults",
        "malformed",
        "port",
        "received",
        "runs",
        "truncated_requests",
    )

    def __init__(
        self,
        name: str,
        slots: int,
        mean_s: float,
        seed: int,
        max_connections: int = 240,
        cold_s: float = 0.0,
    ) -> None:
        self._name = name
        self._slots = trio.CapacityLimiter(slots)
        self._max_waiting = 64 * slots
        self._mean_service_s = mean_s
        self._random = random.Random(f"{seed}/{name}")
        self._max_connections = max_connections
        self._cold_s = cold_s
        self._started_at = 0.0
        self._fixed_service_s: float | None = None
        self._in_flight = 0
        self._load_history: deque[tuple[float, int]] = deque(maxlen=MAX_LOAD_HISTORY)
        self._connections: dict[trio.abc.Stream, trio.CancelScope] = {}
        self._accept_scope: trio.CancelScope | None = None
        self.faults = Faults()
        self.crashes = 0
        self.truncated_requests = 0
        self.malformed = 0
        self.received = 0
        self.deadlines_ms: deque[int] = deque(maxlen=1000)
        self.runs: deque[Run] = deque(maxlen=MAX_RUNS)
        self.port = 0

    @property
    def open_connections(self) -> int:
        """Number of connections being served."""
        return len(self._connections)

    async def serve(self, network: Network, address: str, port: int) -> None:
        """Serve on an address until cancelled; a crash closes the port for `faults.restart_s`."""
        async with trio.open_nursery() as nursery:
            while True:
                listener = await network.listen(address, port)
                port = self.port = listener.port
                self._started_at = trio.current_time()
                with trio.CancelScope() as self._accept_scope:
                    await listener.serve(self._serve_stream, nursery)
                await trio.sleep(self.faults.restart_s)

    def set_service_time(self, seconds: float) -> None:
        """Use a constant service time in seconds for all requests from now on."""
        self._fixed_service_s = seconds

    def crash(self) -> None:
        """Reset every connection and close the port, as the crash of a process does."""
        self.crashes += 1
        if self._accept_scope is not None:
            self._accept_scope.cancel()
        for stream, scope in list(self._connections.items()):
            abort_now(stream)
            scope.cancel()
        for run in self.runs:
            if run.state == "began":
                run.state = "crashed"

    async def _serve_stream(self, stream: trio.abc.Stream) -> None:
        if len(self._connections) >= self._max_connections:
            abort_now(stream)
            return
        with trio.CancelScope() as scope:
            self._connections[stream] = scope
            connection = TargetConnection(stream, self)
            try:
                while await connection.serve_next():
                    pass
            except h11.RemoteProtocolError:
                if connection.client_closed():
                    self.truncated_requests += 1
                else:
                    self.malformed += 1
            except (trio.BrokenResourceError, trio.ClosedResourceError, h11.LocalProtocolError):
                pass
            finally:
                del self._connections[stream]
                close_now(stream)

    def endpoint_answer(self, path: str) -> tuple[int, bytes] | None:
        """Return status and body of the target's own endpoints, or None for other paths."""
        if path == "/health":
            return (503 if self.faults.health_reports_draining() else 200), b""
        if path == "/load":
            return 200, json.dumps({"in_flight": self.reported_load()}).encode()
        if path == "/_runs":
            return 200, json.dumps([run.as_dict() for run in self.runs]).encode()
        return None

    def reported_load(self) -> int:
        """Return the number of requests in flight to report; faults can make it stale or wrong."""
        if self.faults.load_fixed >= 0:
            return self.faults.load_fixed
        latest = trio.current_time() - self.faults.load_lag_s
        return next((load for at, load in reversed(self._load_history) if at <= latest), 0)

    def should_refuse(self) -> bool:
        """Whether the next request is refused: the queue is full, or the `shed` fault applies."""
        waiting = self._slots.statistics().tasks_waiting
        return waiting >= self._max_waiting or self._random.random() < self.faults.shed

    def is_over_full(self) -> bool:
        """Whether so many requests wait that the `reset_beyond` fault applies to the next one."""
        return 0 <= self.faults.reset_beyond <= self._slots.statistics().tasks_waiting

    def resets(self) -> bool:
        """Whether the connection is reset in place of the next answer."""
        return self.faults.resets_answer(self._random)

    def count_load(self, delta: int) -> None:
        """Count the start (1) or the end (-1) of a request."""
        self._in_flight += delta
        self._load_history.append((trio.current_time(), self._in_flight))

    async def execute(self, run: Run) -> None:
        """Wait for a slot and execute a request for its service time."""
        async with self._slots:
            self.runs.append(run)
            await trio.sleep(self._service_time_s())
            run.state = "done"

    def answer_headers(self) -> Headers:
        """Return the headers with load, name and draining state of the target."""
        headers = [
            ("dotterelstand-load", str(self.reported_load())),
            ("target", self._name),
        ]
        if self.faults.draining:
            headers.append(("dotterelstand-draining", "1"))
        return headers

    def _service_time_s(self) -> float:
        is_cold = trio.current_time() - self._started_at < self._cold_s
        factor = self.faults.slow_factor * (10.0 if is_cold else 1.0)
        if self._fixed_service_s is not None:
            return self._fixed_service_s * factor
        return (
            self._random.expovariate(1 / self._mean_service_s) * factor
            if self._mean_service_s
            else 0.0
        )


class TargetConnection:
    """Server side of one connection to the stand-in."""

    __slots__ = ("_h11", "_method", "_server", "_stream")

    def __init__(self, stream: trio.abc.Stream, server: TargetServer) -> None:
        self._stream = stream
        self._server = server
        self._h11 = h11.Connection(h11.SERVER)
        self._method = ""

    def client_closed(self) -> bool:
        """Whether the client closed its side; a request that was arriving is then truncated."""
        return self._h11.trailing_data[1]

    async def serve_next(self) -> bool:
        """Serve one request; returns False if the connection cannot be used for another one."""
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            return False
        path = event.target.decode("latin-1")
        if path not in ENDPOINT_PATHS:
            self._server.received += 1
        headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
        if "dotterelstand-deadline-ms" in headers:
            self._server.deadlines_ms.append(int(headers["dotterelstand-deadline-ms"]))
        self._method = event.method.decode()
        await self._serve_request(self._method, path, headers)
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    async def _serve_request(self, method: str, path: str, headers: dict[str, str]) -> None:
        server = self._server
        faults = server.faults
        if faults.silent_accepted or matches_prefix(path, faults.silent_paths):
            await trio.sleep_forever()
        if matches_prefix(path, faults.early_paths):
            await self._answer(413, b"early", [])
            return
        body = await self._read_body(matches_prefix(path, faults.stall_body_paths))
        if path == "/_faults":
            await self._change_faults(body.first_bytes)
            return
        status = server.endpoint_answer(path)
        if faults.applies_resets(path) and (server.is_over_full() or (status and server.resets())):
            abort_now(self._stream)
        elif status is not None:
            await self._answer(*status, [("content-type", "application/json")])
        elif server.should_refuse():
            await self._answer(503, b"", [("dotterelstand-run", "not-run")])
        elif faults.fail_status:
            await self._answer(faults.fail_status, b"failing", server.answer_headers())
        else:
            run = Run(method, path, headers.get("idempotency-key", ""), body)
            await self._run(run, headers)

    async def _run(self, run: Run, headers: dict[str, str]) -> None:
        server = self._server
        server.count_load(1)
        try:
            if matches_prefix(run.path, server.faults.crash_paths):
                server.runs.append(run)
                server.crash()
                await trio.sleep_forever()
            if not await self._execute_or_cancel(run, headers):
                return
        finally:
            server.count_load(-1)
        text = json.dumps({"path": run.path, "bytes": run.body_bytes, "digest": run.body_digest})
        text = text.ljust(server.faults.answer_bytes)
        if server.resets():
            abort_now(self._stream)
        elif matches_prefix(run.path, server.faults.garbage_paths):
            await self._stream.send_all(b"HTTP/1.1 2x0 Broken\r\n\r\n")
        elif matches_prefix(run.path, server.faults.truncate_paths):
            await self._truncate(text.encode(), server.answer_headers())
        else:
            await self._answer(200, text.encode(), server.answer_headers())

    async def _execute_or_cancel(self, run: Run, headers: dict[str, str]) -> bool:
        """Execute a request; cancel it when its deadline passes or its connection is closed."""
        deadline_s = int(headers.get("dotterelstand-deadline-ms", 3_600_000)) / 1000
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_closed, nursery.cancel_scope)
            with trio.move_on_after(deadline_s):
                await self._server.execute(run)
            nursery.cancel_scope.cancel()
        if run.state != "done":
            run.state = "cancelled"
        return run.state == "done"

    async def _cancel_when_closed(self, scope: trio.CancelScope) -> None:
        try:
            while data := bytes(await self._stream.receive_some(4096)):
                self._h11.receive_data(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def _read_body(self, stall: bool) -> BodyDigest:
        body = BodyDigest()
        while isinstance(event := await self._next_event(), h11.Data):
            body.add(bytes(event.data))
            if stall:
                await trio.sleep_forever()
        if not isinstance(event, h11.EndOfMessage):
            raise h11.RemoteProtocolError("the request body is truncated")
        return body

    async def _change_faults(self, body: bytes) -> None:
        try:
            values = json.loads(body)
        except ValueError as error:
            values, problem = {}, f"not JSON: {error}"
        else:
            problem = self._server.faults.update(values) or ""
        status = 400 if problem else 200
        text = problem or json.dumps(self._server.faults.as_dict())
        await self._answer(status, text.encode(), [])

    async def _answer(self, status: int, body: bytes, headers: Headers) -> None:
        fields = [("content-length", str(len(body))), *headers]
        data = self._h11.send(h11.Response(status_code=status, headers=fields)) or b""
        if self._method != "HEAD":
            data += self._h11.send(h11.Data(data=body)) or b""
        await self._stream.send_all(data + (self._h11.send(h11.EndOfMessage()) or b""))

    async def _truncate(self, body: bytes, headers: Headers) -> None:
        fields = [("content-length", str(len(body))), *headers]
        data = self._h11.send(h11.Response(status_code=200, headers=fields)) or b""
        await self._stream.send_all(data + body[: len(body) // 2])
        raise trio.BrokenResourceError

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        while (event := self._h11.next_event()) is h11.NEED_DATA:
            self._h11.receive_data(bytes(await self._stream.receive_some(65536)))
        return event


def run_target(
    name: str,
    port: int,
    address: str = "127.0.0.1",
    slots: int = 2,
    mean_ms: float = 5.0,
    seed: int = 1,
    cold_ms: float = 0.0,
) -> None:
    """Run one target stand-in until SIGINT."""
    server = TargetServer(name, slots, mean_ms / 1000, seed, cold_s=cold_ms / 1000)
    trio.run(server.serve, TcpNetwork(), address, port)


def main() -> None:
    """Run a target stand-in from the command line."""
    fire.Fire(run_target)


if __name__ == "__main__":
    main()
