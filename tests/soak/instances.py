"""Service instances that record the requests they execute, with fault injection."""

import json
import random
import uuid

import h11
import trio

CRASH_PATH = "/prices/crash-"


class InstanceRun:
    """Record of one execution; `state` is "began", "done" or "crashed"."""

    __slots__ = ("began", "body_bytes", "path", "state")

    def __init__(self, path: str, began: float) -> None:
        self.path = path
        self.began = began
        self.body_bytes = 0
        self.state = "began"


class SoakInstance:
    """One instance on a loopback address with 2 slots and a queue of 4 requests.

    `service_time_percent` scales the service time, `refuses` answers 503, `fails` answers 500, and
    `health_fails` makes the health check answer 503.
    """

    def __init__(self, name: str, service: str, address: str, port: int, seed: int) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.port = port
        self.runs: list[InstanceRun] = []
        self.draining_since: float | None = None
        # Set while a fault stops this instance, so that no other fault chooses it.
        self.ending = False
        self.mean_service_s = 0.02
        self.service_time_percent = 100
        self.refuses = False
        self.fails = False
        self.health_fails = False
        self._random = random.Random(f"{seed}/{name}")
        self._slots = trio.CapacityLimiter(2)
        self._scopes: set[trio.CancelScope] = set()
        self._serving: trio.CancelScope | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until a crash or until cancelled."""
        with trio.CancelScope() as self._serving:
            await trio.serve_tcp(self._serve, self.port, host=self.address, task_status=task_status)

    def crash(self) -> None:
        """Cancel every connection and stop listening."""
        if self._serving is not None:
            self._serving.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            async with stream:
                while await self._serve_one(stream):
                    pass
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass

    async def _serve_one(self, stream: trio.SocketStream) -> bool:
        connection = h11.Connection(h11.SERVER)
        head: h11.Request | None = None
        received = 0
        while not isinstance(event := connection.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                connection.receive_data(bytes(await stream.receive_some(65536)))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                received += len(event.data)
            elif isinstance(event, h11.ConnectionClosed):
                return False
        assert head is not None
        headers = {name.decode(): value.decode() for name, value in head.headers}
        path = head.target.decode()
        if path == "/health":
            is_unhealthy = self.draining_since is not None or self.health_fails
            await stream.send_all(self._answer(503 if is_unhealthy else 200, headers, b""))
            return True
        if headers.get("x-dotterelstand-target-instance", self.name) != self.name:
            await stream.send_all(self._answer(421, headers, b""))
            return True
        if self.refuses or self._slots.statistics().tasks_waiting >= 4:
            await stream.send_all(self._answer(503, headers, b"", not_run=True))
            return True
        async with self._slots:
            return await self._execute(stream, path, headers, received)

    async def _execute(
        self, stream: trio.SocketStream, path: str, headers: dict[str, str], received: int
    ) -> bool:
        run = InstanceRun(path, trio.current_time())
        run.body_bytes = received
        self.runs.append(run)
        if path.startswith(CRASH_PATH):
            run.state = "crashed"
            self.crash()
            await trio.sleep_forever()
        await trio.sleep(
            self._random.expovariate(1 / self.mean_service_s) * self.service_time_percent / 100
        )
        if self.fails:
            await stream.send_all(self._answer(500, headers, b""))
            return True
        run.state = "done"
        body = json.dumps({"path": path, "bytes": received}).encode()
        await stream.send_all(self._answer(200, headers, body))
        return True

    def _answer(
        self, status: int, headers: dict[str, str], body: bytes, not_run: bool = False
    ) -> bytes:
        used = self._slots.borrowed_tokens
        fields = [
            ("content-length", str(len(body))),
            ("x-dotterelstand-request-id", headers.get("x-dotterelstand-request-id", "")),
            ("x-dotterelstand-server-signature", uuid.uuid5(uuid.NAMESPACE_OID, self.name).hex),
            ("x-dotterelstand-instance-id", self.name),
            ("x-dotterelstand-server-load", f"{used},0,2,{self.service_time_percent}"),
        ]
        if not_run:
            fields.append(("x-dotterelstand-not-executed", "1"))
        lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields)]
        return "\r\n".join([*lines, "", ""]).encode() + body
