"""Asks targets for their health, so that one that drains without traffic is noticed."""

from collections.abc import Callable

import h11
import trio

from dotterelstand.connection.pool import ConnectionLimitError, TargetPool
from dotterelstand.process.measure import MeasureBudget
from dotterelstand.process.mesh import Mesh
from dotterelstand.process.rendezvous import DispatcherMap
from dotterelstand.process.targetlist import TargetList
from dotterelstand.request.head import DRAINING_HEADER
from dotterelstand.request.ports import Counters
from dotterelstand.version.document import Document, Service, Target

# Bytes charged to the measuring budget for one probe: request, answer and their framing.
PROBE_BYTES = 400
PROBE_TIMEOUT_S = 0.5
# Services that are looked at between two turns of other tasks; thousands would delay requests.
SERVICES_AT_ONCE = 100
# A health answer is a few bytes; a longer one is no health answer.
MAX_BODY_BYTES = 16384
# A connection for a probe may be older than one for a request, since a lost probe does no harm.
MAX_AGE_S = 60.0


class HealthProbes:
    """Asks each target of the region once per interval, from the dispatcher of its service.

    Health can only lower the trust in a target: a target that drains takes no new work, and a
    target that does not answer is left to the outcomes of requests.
    """

    __slots__ = (
        "_budget",
        "_dispatchers",
        "_document",
        "_in_use",
        "_interval_s",
        "_mesh",
        "_metrics",
        "_pool",
        "_targets",
    )

    def __init__(
        self,
        mesh: Mesh,
        pool: TargetPool,
        budget: MeasureBudget,
        targets: TargetList,
        document: Callable[[], Document | None],
        in_use: Callable[[str], bool],
        metrics: Counters,
        interval_s: float,
    ) -> None:
        self._mesh = mesh
        self._pool = pool
        self._budget = budget
        self._targets = targets
        self._document = document
        self._in_use = in_use
        self._metrics = metrics
        self._interval_s = interval_s
        self._dispatchers = DispatcherMap()

    async def run(self) -> None:
        """Probe until cancelled; an interval of 0 turns probing off."""
        if not self._interval_s:
            return
        while True:
            chosen = await self._own_targets()
            pause_s = self._interval_s / max(1, len(chosen))
            # At least one pause, so that a slow target delays but never stops the round.
            await trio.sleep(0.0 if chosen else self._interval_s)
            for service, target in chosen:
                await trio.sleep(pause_s)
                if not self._budget.spend(
                    PROBE_BYTES, target.region, trio.current_time(), opens_call=True
                ):
                    self._metrics.count("health.probes_refused")
                elif await self._drains(service, target):
                    self._metrics.count("health.draining_seen")
                    self._targets.target_leaving(target.name)

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

    async def _drains(self, service: Service, target: Target) -> bool:
        with trio.move_on_after(PROBE_TIMEOUT_S):
            try:
                return await self._ask(service, target)
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            except (ConnectionLimitError, h11.ProtocolError):
                pass
        self._metrics.count("health.probes_failed")
        return False

    async def _ask(self, service: Service, target: Target) -> bool:
        connection = await self._pool.acquire(target, service.connections, MAX_AGE_S)
        clean = False
        try:
            host = f"{target.address}:{target.port}".encode()
            await connection.send_request("GET", "/health", [(b"host", host)], b"", True)
            head = await connection.receive()
            received = 0
            while not isinstance(event := await connection.receive(), h11.EndOfMessage):
                received += len(event.data) if isinstance(event, h11.Data) else MAX_BODY_BYTES
                if received >= MAX_BODY_BYTES:
                    return False
            clean = True
        finally:
            if clean:
                self._pool.release(connection)
            else:
                self._pool.discard(connection)
        if not isinstance(head, h11.Response):
            return False
        return head.status_code == 503 or (DRAINING_HEADER, b"1") in list(head.headers)
