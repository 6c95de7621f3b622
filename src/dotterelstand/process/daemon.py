"""The entry daemon: creates its components and runs their tasks."""

import random
from collections.abc import Callable

import trio

from dotterelstand.connection.network import Network, limit_receive_buffers
from dotterelstand.connection.pool import TargetPool
from dotterelstand.connection.tls import Certificates
from dotterelstand.events import Event, log
from dotterelstand.platform.build import build_platform, platform_fields
from dotterelstand.process.callerpages import register_callers
from dotterelstand.process.discovery.objectadapter import ObjectStoreAdapter
from dotterelstand.process.discovery.platformadapter import PlatformAdapter
from dotterelstand.process.discovery.proofs import elapsed_s
from dotterelstand.process.frontend import CallerFrontend
from dotterelstand.process.limits import (
    caller_limits,
    check_limits,
    make_quota_service,
    max_connections,
    pool_limits,
    quarantine_limits,
    receive_buffer_bytes,
    request_limits,
    retry_reserve,
)
from dotterelstand.process.operation.componentpages import register_component_pages, target_states
from dotterelstand.process.operation.control import ControlPort, ControlRegistry
from dotterelstand.process.operation.pages import DaemonState, register_pages
from dotterelstand.process.operation.readiness import ReadinessPort
from dotterelstand.process.peering.introduction import await_introduction
from dotterelstand.process.peering.peers import Peers
from dotterelstand.process.quota.pages import register_quota
from dotterelstand.process.quota.service import QuotaService
from dotterelstand.process.selection.healthprobe import HealthProber, ProbeTuning
from dotterelstand.process.selection.leavingtargets import LeavingTargetTracker
from dotterelstand.process.selection.slots import SlotBroker, make_broker
from dotterelstand.process.suspects.pages import register_quarantine
from dotterelstand.process.suspects.quarantine import QuarantineService
from dotterelstand.process.suspects.targetchecks import TargetChecks, make_departure
from dotterelstand.process.telemetry.exposition import MetricsPort
from dotterelstand.process.telemetry.metrics import Metrics, build_metrics
from dotterelstand.request.context import RequestContext
from dotterelstand.request.fields import DEFAULT_FIELDS, HeaderFields
from dotterelstand.request.stopplan import StopPlan
from dotterelstand.settings import Settings
from dotterelstand.version.model import Document

# Value of the setting store.protocol for a platform whose store holds the configuration and the
# target registrations.
OBJECT_PROTOCOL = "objects"


class Daemon:
    """All components of one entry host; must be created within `trio.run`."""

    __slots__ = (
        "_certificates",
        "_clock",
        "_control",
        "_metrics_port",
        "_network",
        "_probes",
        "_readiness",
        "_registry",
        "_settings",
        "_state",
        "_stopping",
        "broker",
        "control_port",
        "frontend",
        "leaving_targets",
        "metrics",
        "peers",
        "platform_adapter",
        "pool",
        "port",
        "quarantine",
        "quota",
    )

    def __init__(
        self,
        settings: Settings,
        network: Network,
        rng: random.Random,
        certificates: Certificates | None = None,
        clock: Callable[[], float] = elapsed_s,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._network = network
        self._stopping = trio.Event()
        self.metrics: Metrics = build_metrics(settings)
        self._certificates = certificates or Certificates(None, None)
        peer_network = self._certificates.peer_network(network, self.metrics)
        self.peers = Peers(settings, peer_network, rng, self.metrics)
        self.broker: SlotBroker = make_broker(self.peers, settings, rng)
        self.leaving_targets = LeavingTargetTracker(
            self.broker, self.peers, settings.number("targets", "return_after_s"), trio.current_time
        )
        self.platform_adapter: PlatformAdapter = self._make_platform_adapter(rng)
        self.pool = TargetPool(network, pool_limits(settings))
        fields = platform_fields() if self._uses_object_protocol else DEFAULT_FIELDS
        departure = make_departure(
            lambda: self.frontend.document, self.broker.core.services.is_leaving
        )
        checks = TargetChecks(network, check_limits(settings), fields, departure)
        self.quarantine = QuarantineService(
            self.peers, quarantine_limits(settings), self.metrics, checks
        )
        self.quota: QuotaService | None = make_quota_service(
            settings, self.peers, self.platform_adapter, rng
        )
        self.frontend = self._make_frontend(fields, rng)
        self._probes = HealthProber(
            self.peers,
            self.pool,
            self.broker.budget,
            self.leaving_targets,
            self.broker,
            lambda: self.frontend.document,
            self.broker.core.services.calls,
            self.metrics,
            ProbeTuning(
                settings.number("targets", "health_interval_s"),
                settings.flag("targets", "health_drains"),
                fields,
            ),
        )
        self._registry = ControlRegistry()
        self._state = DaemonState(lambda: self.frontend.document, self._stopping.is_set, self.stop)
        register_pages(
            self._registry,
            settings,
            self.metrics,
            self._state,
            lambda service: target_states(self.broker, service),
        )
        self._registry.add_check("peers", lambda: self.frontend.introduction_done)
        register_callers(self._registry, self.frontend)
        register_quarantine(self._registry, self.quarantine)
        register_component_pages(self._registry, self.metrics, settings, self.peers, self.broker)
        if self.quota is not None:
            register_quota(self._registry, self.metrics, self.quota)
        self.platform_adapter.register(self._registry, self.metrics)
        self._control = ControlPort(settings, self._registry, self.metrics)
        self._readiness = ReadinessPort(settings, self._registry)
        self._metrics_port = MetricsPort(settings, self.metrics)
        self.port = 0
        self.control_port = 0

    @property
    def document(self) -> Document | None:
        """Document in force."""
        return self.frontend.document

    @property
    def registry(self) -> ControlRegistry:
        """Pages and actions of the control port."""
        return self._registry

    def reload(self, settings: Settings, changed: list[str]) -> list[str]:
        """Apply new settings; returns the changed keys that took effect without a restart."""
        self._settings = settings
        return self.platform_adapter.reload(settings, changed)

    def stop(self) -> None:
        """Start a graceful stop."""
        if not self._stopping.is_set():
            log(
                Event.DAEMON_STOPPING,
                connections=self.frontend.open_connections,
                requests=self.frontend.requests_in_flight,
            )
            self._stopping.set()
            self.peers.leave()

    async def run(self) -> None:
        """Serve callers until `stop` is called and every request has ended."""
        caller_network = self._certificates.caller_network(
            self._network, self.metrics, self.frontend.memory
        )
        listener = await caller_network.listen(
            self._settings.text("listen", "address"), self._settings.integer("listen", "port")
        )
        size = receive_buffer_bytes(self._settings, self.frontend.max_connections)
        if size is not None:
            limit_receive_buffers(listener, size)
        self.port = listener.port
        log(Event.DAEMON_STARTED, port=self.port)
        control = await self._control.listen(self._network)
        self.control_port = control.port
        self._state.started_s = trio.current_time()
        grace_s = self._settings.number("listen", "close_grace_s")
        with self.pool:
            async with trio.open_nursery() as background:
                await background.start(self.peers.run)
                background.start_soon(self._control.serve, control)
                background.start_soon(self._readiness.run, self._network)
                background.start_soon(self._metrics_port.run, self._network)
                background.start_soon(self.platform_adapter.run)
                background.start_soon(self._start_serving)
                background.start_soon(self.broker.run)
                background.start_soon(self._certificates.run)
                background.start_soon(self._flush_metrics)
                background.start_soon(self.pool.sweep_forever)
                background.start_soon(self._probes.run)
                if self.quota is not None:
                    background.start_soon(self.quota.run)
                await self.frontend.serve_until_stopped(listener, self._stopping, grace_s)
                await self.platform_adapter.stop()
                await self.peers.send_goodbye()
                background.cancel_scope.cancel()
        self.metrics.flush()
        log(Event.DAEMON_STOPPED, undelivered=self.frontend.undelivered_in_stop)

    @property
    def _uses_object_protocol(self) -> bool:
        """Whether the platform's store holds the configuration and the target registrations."""
        return self._settings.text("store", "protocol") == OBJECT_PROTOCOL

    def _make_platform_adapter(self, rng: random.Random) -> PlatformAdapter:
        settings, network = self._settings, self._network
        if self._uses_object_protocol:
            platform = build_platform(settings, network)
            return ObjectStoreAdapter(settings, platform, self.peers, rng, self._apply, self._clock)
        # Journal and sections take 1.5 MB, which a daemon of the other protocol need not load.
        from dotterelstand.process.discovery.nativeadapter import NativeAdapter

        return NativeAdapter(
            settings, network, self.peers, rng, self._apply, self.leaving_targets.apply_host_list
        )

    def _make_frontend(self, fields: HeaderFields, rng: random.Random) -> CallerFrontend:
        settings = self._settings
        context = RequestContext(
            request_limits(settings),
            self.pool,
            self.broker,
            self.platform_adapter.journal,
            self.quarantine,
            self.metrics,
            self.leaving_targets,
            fields,
            retry_reserve(settings, self.peers, rng),
            StopPlan(settings.number("listen", "stop_limit_s")),
            freshness=self.platform_adapter.freshness,
            quota=self.quota,
        )
        limits = caller_limits(settings, self.metrics)
        return CallerFrontend(
            context,
            limits,
            max_connections(settings, limits.memory.limit_bytes),
            settings.integer("logs", "answered_sample"),
        )

    async def _flush_metrics(self) -> None:
        while True:
            await trio.sleep(self._settings.number("metrics", "flush_interval_s"))
            self.metrics.flush()

    async def _start_serving(self) -> None:
        limit_s = self._settings.number("peers", "introduction_s")
        await await_introduction(self.peers, self.platform_adapter.host_list_attempted, limit_s)
        self.frontend.introduction_done = True
        self._log_ready()

    def _log_ready(self) -> None:
        if self.frontend.is_ready:
            log(Event.DAEMON_READY, number=self.platform_adapter.number)

    def _apply(self, document: Document) -> None:
        was_ready = self.frontend.is_ready
        self.frontend.document = document
        self.metrics.limit_workspaces(document.workspaces)
        self.broker.apply(document)
        if self.quota is not None:
            self.quota.apply(document)
        if not was_ready:
            self._log_ready()
