"""Asks targets for their health and load, so that a slow or draining one is noticed early."""

from collections.abc import Callable
from typing import Protocol

import h11
import trio

from dotterelstand.connection.pool import ConnectionLimitError, TargetPool
from dotterelstand.process.peering.mesh import Mesh
from dotterelstand.process.selection.measure import MeasureBudget
from dotterelstand.process.selection.rendezvous import DispatcherMap
from dotterelstand.request.fields import HeaderFields, LoadReport, parse_load_report
from dotterelstand.request.interfaces import Counters, LeavingTargets
from dotterelstand.version.document import Document, Service, Target

# Bytes charged to the measuring budget for one probe: request, answer and their framing.
PROBE_BYTES = 400
# Targets answer at once; three probes without an answer take a target out of use.
PROBE_TIMEOUT_S = 0.25
# Services that are looked at between two turns of other tasks; thousands would delay requests.
SERVICES_AT_ONCE = 100
# A health answer is a few bytes; a longer one is no health answer.
MAX_BODY_BYTES = 16384
# A connection for a probe may be older than one for a request, since a lost probe does no harm.
MAX_AGE_S = 60.0


class Observer(Protocol):
    """Learns what the probes found."""

    def target_load(self, service: str, target: Target, report: LoadReport) -> None:
        """A target told its load."""

    def target_unreachable(self, service: str, target: Target) -> None:
        """A target did not answer."""


class ProbeTuning:
    """How targets are asked.

    A target is asked each `interval_s` seconds, 0 for never. With `drains`, an answer 503 says that
    the target takes no new work.
    """

    __slots__ = ("drains", "fields", "interval_s")

    def __init__(self, interval_s: float, drains: bool, fields: HeaderFields) -> None:
        self.interval_s = interval_s
        self.drains = drains
        self.fields = fields


class HealthProbes:
    """Asks each target of the region once per interval, from the dispatcher of its service.

    Health can only lower the trust in a target: one that drains takes no new work, one that does
    not answer counts as failing, and one that is slow gets work when there is no other.
    """

    __slots__ = (
        "_asked",
        "_budget",
        "_dispatchers",
        "_document",
        "_in_use",
        "_leaving",
        "_mesh",
        "_metrics",
        "_observer",
        "_pool",
        "_tuning",
    )

    def __init__(
        self,
        mesh: Mesh,
        pool: TargetPool,
        budget: MeasureBudget,
        leaving: LeavingTargets,
        observer: Observer,
        document: Callable[[], Document | None],
        in_use: Callable[[str], bool],
        metrics: Counters,
        tuning: ProbeTuning,
    ) -> None:
        self._mesh = mesh
        self._pool = pool
        self._budget = budget
        self._leaving = leaving
        self._observer = observer
        self._document = document
        self._in_use = in_use
        self._metrics = metrics
        self._tuning = tuning
        self._dispatchers = DispatcherMap()
        # Targets whose answer is awaited.
        self._asked: set[str] = set()

    async def run(self) -> None:
        """Probe until cancelled; an interval of 0 turns probing off."""
        if not self._tuning.interval_s:
            return
        async with trio.open_nursery() as nursery:
            while True:
                chosen = await self._own_targets()
                pause_s = self._tuning.interval_s / max(1, len(chosen))
                if not chosen:
                    await trio.sleep(self._tuning.interval_s)
                for service, target in chosen:
                    await trio.sleep(pause_s)
                    if target.name in self._asked:
                        continue
                    if self._budget.spend(
                        PROBE_BYTES, target.region, trio.current_time(), opens_call=True
                    ):
                        self._asked.add(target.name)
                        nursery.start_soon(self._probe, service, target)
                    else:
                        self._metrics.count("health.probes_refused")

    async def _own_targets(self) -> list[tuple[Service, Target]]:
        """Targets of this region whose service is in use and dispatched by this host."""
        document = self._document()
        region, host = self._mesh.region, self._mesh.host
        chosen = []
        for number, service in enumerate(document.services.values() if document else ()):
            if number % SERVICES_AT_ONCE == 0:
                await trio.lowlevel.checkpoint()
            if not self._in_use(service.name):
                continue
            if self._dispatchers.host(service.name, self._mesh.members(), region) == host:
                chosen += [(service, item) for item in service.targets if item.region == region]
        return chosen

    async def _probe(self, service: Service, target: Target) -> None:
        head: h11.Response | None = None
        try:
            with trio.move_on_after(PROBE_TIMEOUT_S):
                try:
                    head = await self._ask(service, target)
                except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                    pass
                except (ConnectionLimitError, h11.ProtocolError):
                    pass
        finally:
            self._asked.discard(target.name)
        values = {bytes(name): bytes(value) for name, value in head.headers} if head else {}
        fields = self._tuning.fields
        # Another target may have the address by now.
        is_other = values.get(fields.identity, target.name.encode()) != target.name.encode()
        if head is None or is_other:
            self._metrics.count("health.probes_failed")
            self._observer.target_unreachable(service.name, target)
            return
        if (self._tuning.drains and head.status_code == 503) or values.get(fields.draining) == b"1":
            self._metrics.count("health.draining_seen")
            self._leaving.target_leaving(target.name)
        report = parse_load_report(values.get(fields.load))
        if report is not None:
            self._observer.target_load(service.name, target, report)

    async def _ask(self, service: Service, target: Target) -> h11.Response | None:
        """Head of a complete answer; raises what a connection raises."""
        connection = await self._pool.acquire(target, service.connections, MAX_AGE_S)
        clean = False
        try:
            host = f"{target.address}:{target.port}".encode()
            headers = [(b"host", host)]
            await connection.send_request("GET", service.health_path, headers, b"", True)
            head = await connection.receive()
            received = 0
            while not isinstance(event := await connection.receive(), h11.EndOfMessage):
                received += len(event.data) if isinstance(event, h11.Data) else MAX_BODY_BYTES
                if received >= MAX_BODY_BYTES:
                    return None
            clean = True
        finally:
            if clean:
                self._pool.release(connection)
            else:
                self._pool.discard(connection)
        return head if isinstance(head, h11.Response) else None
