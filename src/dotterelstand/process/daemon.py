"""The entry daemon: wires the parts together and owns their tasks."""

import random

import trio

from dotterelstand.connection.network import Network
from dotterelstand.connection.pool import TargetPool
from dotterelstand.connection.tls import Certificates
from dotterelstand.events import Event, log
from dotterelstand.process.control import ControlPort, ControlRegistry
from dotterelstand.process.front import CallerFront
from dotterelstand.process.healthprobe import HealthProbes
from dotterelstand.process.hostlist import HostListReader
from dotterelstand.process.introduction import await_introduction
from dotterelstand.process.journalservice import JournalService, build_journal
from dotterelstand.process.limits import (
    caller_limits,
    pool_limits,
    quarantine_limits,
    request_limits,
)
from dotterelstand.process.metrics import Metrics, build_metrics
from dotterelstand.process.pages import DaemonState, register_pages
from dotterelstand.process.partpages import register_parts, target_states
from dotterelstand.process.peers import Peers
from dotterelstand.process.quarantine import QuarantineService, register_quarantine
from dotterelstand.process.slots import SlotBroker, make_broker
from dotterelstand.process.spread import DocumentSpread
from dotterelstand.process.store import StoreClient, build_store
from dotterelstand.process.targetlist import TargetList
from dotterelstand.request.context import RequestContext
from dotterelstand.settings import Settings
from dotterelstand.version.accept import Acceptor
from dotterelstand.version.document import Document


class Daemon:
    """All parts of one entry host; create it within `trio.run`."""

    __slots__ = (
        "_certificates",
        "_control",
        "_hosts",
        "_network",
        "_probes",
        "_registry",
        "_settings",
        "_state",
        "_stopping",
        "_store",
        "acceptor",
        "broker",
        "control_port",
        "front",
        "journal",
        "metrics",
        "peers",
        "pool",
        "port",
        "quarantine",
        "spread",
        "targets",
    )

    def __init__(
        self,
        settings: Settings,
        network: Network,
        rng: random.Random,
        certificates: Certificates | None = None,
    ) -> None:
        self._settings = settings
        self._network = network
        self._stopping = trio.Event()
        self.metrics: Metrics = build_metrics(settings)
        self._store: StoreClient = build_store(settings, network, rng)
        self._certificates = certificates or Certificates(None, None)
        peer_network = self._certificates.peer_network(network, self.metrics)
        self.peers = Peers(settings, peer_network, rng, self.metrics)
        self.broker: SlotBroker = make_broker(self.peers, settings, rng)
        self.targets = TargetList(
            self.broker, self.peers, settings.number("targets", "return_after_s"), trio.current_time
        )
        self._hosts = HostListReader(
            self._store,
            self.peers,
            settings.number("peers", "host_list_interval_s"),
            settings.integer("peers", "port"),
            rng,
            self.targets.read,
        )
        self.journal: JournalService = build_journal(settings, self._store, self.peers, rng)
        self.quarantine = QuarantineService(self.peers, quarantine_limits(settings), self.metrics)
        self.pool = TargetPool(network, pool_limits(settings))
        self.front = self._make_front(settings)
        self._probes = HealthProbes(
            self.peers,
            self.pool,
            self.broker.budget,
            self.targets,
            lambda: self.front.document,
            lambda service: self.broker.core.state_of(service) is not None,
            self.metrics,
            settings.number("targets", "health_interval_s"),
        )
        self.spread = DocumentSpread(settings, self._store, self.peers, rng, self._apply)
        self.acceptor = Acceptor(self._store, self.spread.cache, rng, lambda: self.spread.number)
        self._registry = ControlRegistry()
        self._state = DaemonState(lambda: self.front.document, self._stopping.is_set, self.stop)
        register_pages(
            self._registry,
            settings,
            self.metrics,
            self._state,
            lambda service: target_states(self.broker, service),
        )
        self._registry.check("peers", lambda: self.front.introduced)
        register_quarantine(self._registry, self.quarantine)
        register_parts(
            self._registry,
            self.metrics,
            settings,
            self._store,
            self.peers,
            self.broker,
            self.journal,
        )
        self._control = ControlPort(settings, self._registry, self.metrics)
        self.port = 0
        self.control_port = 0

    @property
    def document(self) -> Document | None:
        """Document in force."""
        return self.front.document

    @property
    def registry(self) -> ControlRegistry:
        """Pages and actions of the control port."""
        return self._registry

    def stop(self) -> None:
        """Begin a graceful stop."""
        if not self._stopping.is_set():
            log(Event.DAEMON_STOPPING)
            self._stopping.set()
            self.peers.leave()

    async def run(self) -> None:
        """Serve callers until `stop` is called and every request has ended."""
        caller_network = self._certificates.caller_network(self._network, self.metrics)
        listener = await caller_network.listen(
            self._settings.text("listen", "address"), self._settings.integer("listen", "port")
        )
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
                background.start_soon(self._hosts.run)
                background.start_soon(self._open_front)
                background.start_soon(self.broker.run)
                background.start_soon(self.journal.run)
                background.start_soon(self.spread.run)
                background.start_soon(self._certificates.run)
                background.start_soon(self._flush_metrics)
                background.start_soon(self.pool.sweep_forever)
                background.start_soon(self._probes.run)
                await self.front.serve_until_stopped(listener, self._stopping, grace_s)
                await self.journal.stop()
                await self.peers.say_goodbye()
                background.cancel_scope.cancel()
        self.metrics.flush()
        log(Event.DAEMON_STOPPED)

    def _make_front(self, settings: Settings) -> CallerFront:
        context = RequestContext(
            request_limits(settings),
            self.pool,
            self.broker,
            self.journal,
            self.quarantine,
            self.metrics,
            self.targets,
        )
        return CallerFront(
            context, caller_limits(settings), settings.integer("listen", "max_connections")
        )

    async def _flush_metrics(self) -> None:
        while True:
            await trio.sleep(self._settings.number("metrics", "flush_interval_s"))
            self.metrics.flush()

    async def _open_front(self) -> None:
        limit_s = self._settings.number("peers", "introduction_s")
        await await_introduction(self.peers, self._hosts, limit_s)
        self.front.introduced = True
        self._report_ready()

    def _report_ready(self) -> None:
        if self.front.is_ready:
            log(Event.DAEMON_READY, number=self.spread.number)

    def _apply(self, document: Document) -> None:
        was_ready = self.front.is_ready
        self.front.document = document
        self.metrics.keep_tenants(document.tenants)
        self.broker.apply(document)
        if not was_ready:
            self._report_ready()
