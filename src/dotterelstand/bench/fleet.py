"""Simulated entry hosts that run the real journal code in virtual time, for runs with faults."""

import random
from collections.abc import Callable

import trio

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.idempotency.journalcall import (
    Go,
    Recorded,
    done,
    not_run_outcome,
    unknown_outcome,
)
from dotterelstand.process.idempotency.journalowner import OwnerSettings
from dotterelstand.process.idempotency.journalservice import JournalService
from dotterelstand.process.idempotency.journaltypes import JournalLimits
from dotterelstand.process.idempotency.lease import decode_lease
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.storage.callbudget import CallLimits
from dotterelstand.process.storage.store import StoreClient
from dotterelstand.standin.freeze import Freezer, set_current_host
from dotterelstand.standin.httpd import HttpAnswer, serve_http
from dotterelstand.standin.mesh import FakeMesh, FakeMeshNetwork
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.platform import ObjectStore

STORE_PORT = 8060
# One-way latencies of the deployments (design page, section 1.3). The design gives 24 ms as the
# round trip between regions, so 12 ms are one way.
SAME_REGION_S = 0.0005
CROSS_REGION_S = 0.012


class Reply:
    """Reply to a caller: result code and body."""

    __slots__ = ("body", "code")

    def __init__(self, code: ResultCode, body: bytes = b"") -> None:
        self.code = code
        self.body = body


class FakeTarget:
    """Executes requests and records each executed attempt by key, for the checks after a run.

    `refuse`, `fail` and `silent` are probabilities: of a refusal before execution, of a lost
    connection after execution, and of no answer after execution.
    """

    __slots__ = ("_nursery", "_random", "fail", "mean_service_s", "refuse", "runs", "silent")

    def __init__(self, nursery: trio.Nursery, rng: random.Random, mean_service_s: float) -> None:
        self._nursery = nursery
        self._random = rng
        self.mean_service_s = mean_service_s
        self.runs: dict[bytes, list[int]] = {}
        self.refuse = 0.0
        self.fail = 0.0
        self.silent = 0.0

    def start(self, key: bytes, attempt: int, on_answer: Callable[[Reply], None]) -> None:
        """Begin to execute a request; it runs even if the host that sent it is lost."""
        self._nursery.start_soon(self._execute, key, attempt, on_answer)

    async def _execute(self, key: bytes, attempt: int, on_answer: Callable[[Reply], None]) -> None:
        set_current_host("")
        await trio.sleep(SAME_REGION_S)
        if self._random.random() < self.refuse:
            on_answer(Reply(ResultCode.TARGET_REFUSED))
            return
        self.runs.setdefault(key, []).append(attempt)
        await trio.sleep(self._random.expovariate(1 / self.mean_service_s))
        if self._random.random() < self.fail:
            on_answer(Reply(ResultCode.CONNECTION_LOST))
        elif self._random.random() >= self.silent:
            on_answer(Reply(ResultCode.ANSWERED, b"%d" % attempt))


class EpochCheckingStore(ObjectStore):
    """Object store that checks the epochs of journal heads.

    `violations` lists updates that decrease an epoch or give one epoch a second owner.
    """

    __slots__ = ("_heads", "violations")

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._heads: dict[str, tuple[int, str]] = {}
        self.violations: list[str] = []

    def put(self, name: str, body: bytes, headers: dict[str, str]) -> HttpAnswer:
        """Write an object as `ObjectStore` does; check the epoch if it is a journal head."""
        answer = super().put(name, body, headers)
        if answer.status == 200 and name.endswith("/head"):
            record = decode_lease(body).unwrap()
            epoch, owner = self._heads.get(name, (0, ""))
            if record.epoch < epoch or (record.epoch == epoch and record.owner != owner):
                self.violations.append(f"{name}: epoch {record.epoch} written after {epoch}")
            self._heads[name] = (record.epoch, record.owner)
        return answer


class SimulatedHost:
    """One incarnation of an entry host: its journal service and the requests that it serves."""

    __slots__ = (
        "_nursery",
        "_request_limit_s",
        "_target",
        "incarnation_id",
        "lost",
        "mesh",
        "name",
        "service",
    )

    def __init__(
        self,
        name: str,
        context: str,
        mesh: FakeMesh,
        service: JournalService,
        target: FakeTarget,
        request_limit_s: float,
    ) -> None:
        self.name = name
        # Unique to this incarnation, so that freezing it does not freeze its replacement.
        self.incarnation_id = context
        self.mesh = mesh
        self.service = service
        self.lost = False
        self._target = target
        self._request_limit_s = request_limit_s
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run until the host is lost or has stopped."""
        set_current_host(self.incarnation_id)
        async with trio.open_nursery() as self._nursery:
            await self.service.run()
            # A stopped host answers requests with "not run" until it is lost.
            await trio.sleep_forever()

    def crash(self) -> None:
        """End all tasks of the host."""
        self.lost = True
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    def stop(self) -> None:
        """Begin a planned stop."""
        self.mesh.member.leaving = True
        if self._nursery is not None:
            self._nursery.start_soon(self.service.stop)

    def accept(
        self, key: bytes, body: bytes, attempt: int, on_reply: Callable[[Reply], None]
    ) -> None:
        """Begin to serve a request; a lost host ignores it."""
        if self._nursery is not None and not self.lost:
            self._nursery.start_soon(self.serve, key, body, attempt, on_reply)

    async def serve(
        self, key: bytes, body: bytes, attempt: int, on_reply: Callable[[Reply], None]
    ) -> None:
        """Serve one keyed request as the request path does; `on_reply` gets the reply."""
        set_current_host(self.incarnation_id)
        await trio.lowlevel.checkpoint()
        reply = Reply(ResultCode.DEADLINE_PASSED)
        with trio.move_on_after(self._request_limit_s):
            decision = await self.service.begin(key, body, "orders")
            if isinstance(decision, Recorded):
                reply = Reply(ResultCode.REPLAYED, decision.body)
            elif isinstance(decision, Go):
                reply = await self._forward(decision, key, attempt)
            else:
                reply = Reply(decision.code)
        await trio.lowlevel.checkpoint()
        if not self.lost:
            on_reply(reply)

    async def _forward(self, permission: Go, key: bytes, attempt: int) -> Reply:
        outcome = unknown_outcome(ResultCode.CONNECTION_LOST)
        reply = Reply(ResultCode.CONNECTION_LOST)
        sent = False
        try:
            await trio.sleep(SAME_REGION_S)
            reply = Reply(ResultCode.DEADLINE_PASSED)
            sent = True
            reply = await self._await_answer(key, attempt)
            if reply.code is ResultCode.ANSWERED:
                outcome = done(200, [(b"x-attempt", b"%d" % attempt)], reply.body)
            elif reply.code.run is Execution.NOT_RUN:
                outcome = not_run_outcome(reply.code)
            return reply
        finally:
            if not sent:
                outcome = not_run_outcome(ResultCode.CONNECT_FAILED)
            self.service.finish(permission, outcome)

    async def _await_answer(self, key: bytes, attempt: int) -> Reply:
        answered = trio.Event()
        replies: list[Reply] = []

        def on_answer(reply: Reply) -> None:
            replies.append(reply)
            answered.set()

        self._target.start(key, attempt, on_answer)
        await answered.wait()
        return replies[0]


class FleetConfig:
    """Size and timing of a simulated fleet; times are in seconds.

    `clock_spread` is the largest deviation of a host's clock rate from 1.
    """

    __slots__ = (
        "clock_spread",
        "hosts",
        "mean_service_s",
        "partitions",
        "regions",
        "request_limit_s",
    )

    def __init__(
        self,
        hosts: int = 5,
        regions: int = 2,
        partitions: int = 1,
        clock_spread: float = 0.05,
        request_limit_s: float = 2.0,
        mean_service_s: float = 0.01,
    ) -> None:
        self.hosts = hosts
        self.regions = regions
        self.partitions = partitions
        self.clock_spread = clock_spread
        self.request_limit_s = request_limit_s
        self.mean_service_s = mean_service_s


class Fleet:
    """Hosts, store, mesh and target of one run."""

    __slots__ = (
        "_incarnation",
        "_nursery",
        "_random",
        "config",
        "freezer",
        "hosts",
        "hub",
        "limits",
        "network",
        "owner_region",
        "store",
        "target",
    )

    def __init__(
        self, nursery: trio.Nursery, freezer: Freezer, config: FleetConfig, rng: random.Random
    ) -> None:
        self._nursery = nursery
        self._random = rng
        self.freezer = freezer
        self.config = config
        self.limits = JournalLimits(partitions=config.partitions, segment_bytes=6000)
        self.owner_region = ""
        self.network = FakeNetwork(self._address_latency_s)
        self.store = EpochCheckingStore(rng.getrandbits(32))
        self.hub = FakeMeshNetwork(region_latency_s)
        self.target = FakeTarget(nursery, random.Random(rng.getrandbits(32)), config.mean_service_s)
        self.hosts: dict[str, SimulatedHost] = {}
        self._incarnation = 0

    async def start(self) -> None:
        """Start the store, the mesh and the hosts."""
        listener = await self.network.at("r0/store").listen("r0/store", STORE_PORT)

        async def serve(stream: trio.abc.Stream) -> None:
            set_current_host("")
            await serve_http(stream, self.store.handle)

        self._nursery.start_soon(listener.serve, serve, self._nursery)
        self._nursery.start_soon(self.hub.run)
        await trio.lowlevel.checkpoint()
        for number in range(self.config.hosts):
            self.start_host(f"r{number % self.config.regions}/entry-{number}")

    def start_host(self, name: str) -> None:
        """Start a host, or the replacement of a lost one of the same name."""
        region = name.split("/")[0]
        mesh = self.hub.join(Member(name, region, f"{region}-1", False))
        # Scaling the times of a host by one factor simulates a clock that runs at another rate.
        clock_rate = 1.0 + self._random.uniform(-self.config.clock_spread, self.config.clock_spread)
        client = StoreClient(
            "r0/store",
            STORE_PORT,
            self.network.at(name),
            1.0 * clock_rate,
            CallLimits(read_burst=256),
            random.Random(self._random.getrandbits(32)),
        )
        service = JournalService(
            client,
            mesh,
            OwnerSettings(2.0 * clock_rate, 8.0 / clock_rate, 0.25 * clock_rate, self.owner_region),
            self.limits,
            random.Random(self._random.getrandbits(32)),
            1.0 * clock_rate,
        )
        self._incarnation += 1
        context = f"{name}#{self._incarnation}"
        host = SimulatedHost(name, context, mesh, service, self.target, self.config.request_limit_s)
        self.hosts[name] = host
        self._nursery.start_soon(host.run)

    def owner(self, partition: int = 0) -> str | None:
        """Name of a live host that owns the partition, or None."""
        for name, host in self.hosts.items():
            if not host.lost and host.service.partitions[partition].epoch:
                return name
        return None

    def lose_host(self, name: str) -> None:
        """Crash a host, which loses its memory."""
        self.hub.crash(name)
        self.network.crash(name)
        self.hosts[name].crash()

    def set_paused(self, name: str, paused: bool) -> None:
        """Freeze or thaw a host."""
        host = self.hosts[name]
        host.mesh.paused = paused
        if paused:
            self.freezer.freeze(host.incarnation_id)
        else:
            self.freezer.thaw(host.incarnation_id)
            self.hub.resume()

    def submit(
        self, name: str, key: bytes, body: bytes, attempt: int, on_reply: Callable[[Reply], None]
    ) -> None:
        """Send a request to a host; a lost host does not answer."""
        self.hosts[name].accept(key, body, attempt, on_reply)

    def _address_latency_s(self, source: str, destination: str) -> float:
        return region_latency_s(source.split("/")[0], destination.split("/")[0])


def region_latency_s(source: str, destination: str) -> float:
    """One-way latency between two regions, in seconds."""
    return SAME_REGION_S if source == destination else CROSS_REGION_S
