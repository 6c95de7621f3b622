"""Health probes of targets, which detect slow and draining targets early."""

import math
from collections.abc import Callable
from typing import Protocol

import h11
import trio

from dotterelstand.connection.network import CONNECTION_ERRORS
from dotterelstand.connection.pool import ConnectionLimitError, TargetPool
from dotterelstand.process.peering.mesh import Mesh
from dotterelstand.process.selection.measure import MeasureBudget
from dotterelstand.process.selection.probeschedule import ProbeSchedule
from dotterelstand.process.selection.rendezvous import DispatcherMap
from dotterelstand.process.telemetry.invariant import log_fault
from dotterelstand.request.fields import (
    HeaderFields,
    LoadReport,
    announces_draining,
    names_target,
    parse_load_report,
    parse_warmup,
)
from dotterelstand.request.interfaces import Counters, LeavingTargets
from dotterelstand.version.model import Document, Service, Target

# Bytes charged to the measuring budget per probe: request, answer and their framing.
PROBE_BYTES = 400
# Seconds to wait for an answer, which healthy targets send at once. Three probes without an answer
# eject a target.
PROBE_TIMEOUT_S = 0.25
# Number of services checked between two checkpoints; thousands at once would delay requests.
SERVICES_PER_CHECKPOINT = 100
# Seconds between two checks of which services this host dispatches.
ASSIGNMENT_CHECK_S = 0.5
# A health answer has a few bytes; a body of this size or more counts as a failed probe.
MAX_BODY_BYTES = 16384
# Probes may reuse connections that were idle for longer than requests allow, since losing a probe
# does no harm.
MAX_CONNECTION_IDLE_S = 60.0


class ProbeResultReceiver(Protocol):
    """Receiver of probe results."""

    def target_load(self, service: str, target: Target, report: LoadReport) -> None:
        """Record the load that a target reported."""

    def target_warmup(self, service: str, target: Target, remaining_s: float) -> None:
        """Record the remaining warm-up time that a target reported."""

    def target_unreachable(self, service: str, target: Target) -> None:
        """Record that a target did not answer."""


class ProbeTuning:
    """Parameters of health probes.

    Each target of a busy service is probed every `interval_s` seconds; 0 turns probes off. With
    `drains_on_503`, the status 503 means that the target takes no new work.
    """

    __slots__ = ("drains_on_503", "fields", "interval_s")

    def __init__(self, interval_s: float, drains_on_503: bool, fields: HeaderFields) -> None:
        self.interval_s = interval_s
        self.drains_on_503 = drains_on_503
        self.fields = fields


class _Assignment:
    """A service that this host dispatches, its targets of the region, and when to probe them."""

    __slots__ = ("schedule", "service", "targets")

    def __init__(self, service: Service, region: str, schedule: ProbeSchedule) -> None:
        self.service = service
        self.targets = [target for target in service.targets if target.region == region]
        self.schedule = schedule


class HealthProber:
    """Probes the targets of the services that this host dispatches, more often if they get calls.

    Only targets of this region are probed. Probes can only lower a target's rank: a draining target
    gets no new work, a missing answer counts as a failed attempt, and a slow target gets work only
    if there is no other.
    """

    __slots__ = (
        "_assignments",
        "_budget",
        "_calls",
        "_dispatchers",
        "_document",
        "_in_progress",
        "_leaving",
        "_mesh",
        "_metrics",
        "_pool",
        "_result_receiver",
        "_tuning",
    )

    def __init__(
        self,
        mesh: Mesh,
        pool: TargetPool,
        budget: MeasureBudget,
        leaving: LeavingTargets,
        result_receiver: ProbeResultReceiver,
        document: Callable[[], Document | None],
        calls: Callable[[str], int | None],
        metrics: Counters,
        tuning: ProbeTuning,
    ) -> None:
        self._mesh = mesh
        self._pool = pool
        self._budget = budget
        self._leaving = leaving
        self._result_receiver = result_receiver
        self._document = document
        # Number of calls of a service so far, or None if it is not in use.
        self._calls = calls
        self._metrics = metrics
        self._tuning = tuning
        self._dispatchers = DispatcherMap()
        self._assignments: dict[str, _Assignment] = {}
        # Names of the targets with a probe in progress.
        self._in_progress: set[str] = set()

    async def run(self) -> None:
        """Probe until cancelled; an interval of 0 turns probing off."""
        if not self._tuning.interval_s:
            return
        async with trio.open_nursery() as nursery:
            while True:
                members = self._mesh.members()
                await self._update_assignments()
                until = trio.current_time() + ASSIGNMENT_CHECK_S
                while trio.current_time() < until:
                    self._start_due_probes(nursery)
                    await trio.sleep_until(min(until, self._next_step_at()))
                    if self._mesh.members() is not members:
                        # This host may be the dispatcher of another service now.
                        break

    def _start_due_probes(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        for assignment in self._assignments.values():
            calls = self._calls(assignment.service.name) or 0
            for target in assignment.schedule.step(assignment.targets, calls, now):
                if target.name in self._in_progress:
                    continue
                if self._budget.spend(PROBE_BYTES, target.region, now, opens_call=True):
                    self._in_progress.add(target.name)
                    nursery.start_soon(self._probe, assignment.service, target)
                else:
                    self._metrics.count("health.probes_refused")

    def _next_step_at(self) -> float:
        now = trio.current_time()
        return min(
            (
                item.schedule.next_step_at(len(item.targets), now)
                for item in self._assignments.values()
            ),
            default=math.inf,
        )

    async def _update_assignments(self) -> None:
        """Find the services in use that this host dispatches, and their targets of this region."""
        document = self._document()
        region, host = self._mesh.region, self._mesh.host
        assignments: dict[str, _Assignment] = {}
        for number, service in enumerate(document.services.values() if document else ()):
            if number % SERVICES_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
            calls = self._calls(service.name)
            if calls is None:
                continue
            if self._dispatchers.host(service.name, self._mesh.members(), region) != host:
                continue
            previous = self._assignments.get(service.name)
            if previous is not None and previous.service is service:
                assignments[service.name] = previous
                continue
            if previous is not None:
                schedule = previous.schedule
            else:
                schedule = ProbeSchedule(self._tuning.interval_s, calls, trio.current_time())
                if service.warmup_per_s:
                    # Only the former dispatcher knew which targets turned cold again.
                    schedule.make_due()
            assignments[service.name] = _Assignment(service, region, schedule)
        self._assignments = assignments

    async def _probe(self, service: Service, target: Target) -> None:
        head: h11.Response | None = None
        try:
            with trio.move_on_after(PROBE_TIMEOUT_S):
                try:
                    head = await self._request_health(service, target)
                except (OSError, *CONNECTION_ERRORS):
                    pass
                except (ConnectionLimitError, h11.ProtocolError):
                    pass
                except Exception as error:
                    # To the dispatcher, such a probe is one without an answer.
                    log_fault("health probe", [error], target=target.name)
        finally:
            self._in_progress.discard(target.name)
        values = {bytes(name): bytes(value) for name, value in head.headers} if head else {}
        fields = self._tuning.fields
        if head is None or not names_target(values, fields, target.name):
            self._metrics.count("health.probes_failed")
            self._result_receiver.target_unreachable(service.name, target)
            return
        announced = announces_draining(values, fields)
        if announced or (self._tuning.drains_on_503 and head.status_code == 503):
            self._metrics.count("health.draining_seen")
            self._leaving.target_leaving(target.name, target.incarnation)
        remaining_s = parse_warmup(values.get(fields.warmup)) if fields.warmup else None
        if service.warmup_per_s and remaining_s is not None:
            if remaining_s:
                self._metrics.count("health.cold_seen")
            self._result_receiver.target_warmup(service.name, target, remaining_s)
        report = parse_load_report(values.get(fields.load))
        if report is not None:
            self._result_receiver.target_load(service.name, target, report)

    async def _request_health(self, service: Service, target: Target) -> h11.Response | None:
        """Request a target's health; None without a complete answer. Raises connection errors."""
        connection = await self._pool.acquire(target, service.connections, MAX_CONNECTION_IDLE_S)
        reusable = False
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
            reusable = True
        finally:
            if reusable:
                self._pool.release(connection)
            else:
                self._pool.discard(connection)
        return head if isinstance(head, h11.Response) else None
