"""The entry daemon: wires the parts together and owns their tasks."""

import json
import random

import trio
from returns.pipeline import is_successful

from dotterelstand.connection.network import Network
from dotterelstand.connection.pool import TargetPool
from dotterelstand.events import Event, log
from dotterelstand.process.control import ControlPort, ControlRegistry
from dotterelstand.process.front import CallerFront
from dotterelstand.process.hostlist import HostListReader
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
from dotterelstand.process.quarantine import QuarantineService
from dotterelstand.process.slots import SlotBroker, make_broker
from dotterelstand.process.store import build_store
from dotterelstand.request.context import RequestContext
from dotterelstand.settings import Settings
from dotterelstand.version.document import Document, build_document


class Daemon:
    """All parts of one entry host; create it within `trio.run`."""

    __slots__ = (
        "_control",
        "_front",
        "_hosts",
        "_metrics",
        "_network",
        "_peers",
        "_pool",
        "_registry",
        "_settings",
        "_state",
        "_stopping",
        "_store",
        "control_port",
        "journal",
        "port",
        "quarantine",
        "slots",
    )

    def __init__(self, settings: Settings, network: Network, rng: random.Random) -> None:
        self._settings = settings
        self._network = network
        self._stopping = trio.Event()
        self._metrics = build_metrics(settings)
        self._store = build_store(settings, network, rng)
        self._peers = Peers(settings, network, rng)
        self._hosts = HostListReader(
            self._store,
            self._peers,
            settings.number("peers", "host_list_interval_s"),
            settings.integer("peers", "port"),
            rng,
        )
        self._pool = TargetPool(network, pool_limits(settings))
        self.slots: SlotBroker = make_broker(self._peers, settings, rng)
        self.journal: JournalService = build_journal(settings, self._store, self._peers, rng)
        self.quarantine = QuarantineService(
            self._peers, quarantine_limits(settings), self._metrics.count
        )
        context = RequestContext(
            request_limits(settings),
            self._pool,
            self.slots,
            self.journal,
            self.quarantine,
            self._metrics,
        )
        self._front = CallerFront(
            context, caller_limits(settings), settings.integer("listen", "max_connections")
        )
        self._registry = ControlRegistry()
        self._state = DaemonState(lambda: self._front.document, self._stopping.is_set, self.stop)
        register_pages(
            self._registry,
            settings,
            self._metrics,
            self._state,
            lambda service: target_states(self.slots, service),
        )
        register_parts(
            self._registry,
            self._metrics,
            settings,
            self._store,
            self._peers,
            self.slots,
            self.journal,
            self.quarantine,
        )
        self._control = ControlPort(settings, self._registry, self._metrics)
        self.port = 0
        self.control_port = 0

    @property
    def document(self) -> Document | None:
        """Document in force."""
        return self._front.document

    @property
    def peers(self) -> Peers:
        """Links to the other entry hosts."""
        return self._peers

    @property
    def registry(self) -> ControlRegistry:
        """Pages and actions of the control port."""
        return self._registry

    @property
    def metrics(self) -> Metrics:
        """Counters and histograms of this host."""
        return self._metrics

    def stop(self) -> None:
        """Begin a graceful stop."""
        if not self._stopping.is_set():
            log(Event.DAEMON_STOPPING)
        self._stopping.set()

    async def run(self) -> None:
        """Serve callers until `stop` is called and every request has ended."""
        listener = await self._network.listen(
            self._settings.text("listen", "address"), self._settings.integer("listen", "port")
        )
        self.port = listener.port
        log(Event.DAEMON_STARTED, port=self.port)
        control = await self._control.listen(self._network)
        self.control_port = control.port
        self._state.started_s = trio.current_time()
        grace_s = self._settings.number("listen", "close_grace_s")
        with self._pool:
            async with trio.open_nursery() as background:
                background.start_soon(self._control.serve, control)
                await background.start(self._peers.run)
                background.start_soon(self._hosts.run)
                background.start_soon(self._follow_document)
                background.start_soon(self.journal.run)
                background.start_soon(self.slots.run)
                background.start_soon(self._pool.sweep_forever)
                background.start_soon(self._flush_metrics)
                background.start_soon(self._announce_stop)
                await self._front.serve_until_stopped(listener, self._stopping, grace_s)
                await self.journal.stop()
                await self._peers.say_goodbye()
                background.cancel_scope.cancel()
        self._metrics.flush()
        log(Event.DAEMON_STOPPED)

    async def _announce_stop(self) -> None:
        await self._stopping.wait()
        self._peers.leave()

    async def _flush_metrics(self) -> None:
        while True:
            await trio.sleep(self._settings.number("metrics", "flush_interval_s"))
            self._metrics.flush()

    async def _follow_document(self) -> None:
        version = 0
        while True:
            result = await self._store.watch("document/head", version, 30.0)
            if is_successful(result):
                version = result.unwrap().version
                await self._apply_manifest(result.unwrap().body)
            else:
                await trio.sleep(0.2)

    async def _apply_manifest(self, body: bytes) -> None:
        manifest = json.loads(body)
        bodies = {}
        for name, entry in manifest["sections"].items():
            result = await self._store.read(f"document/sections/{entry['digest']}")
            if not is_successful(result):
                return
            bodies[name] = result.unwrap().body.decode()
        document = build_document(manifest["number"], bodies)
        if is_successful(document):
            self.apply(document.unwrap())
        else:
            errors = [str(error) for error in document.failure()]
            log(Event.DOCUMENT_REJECTED, number=manifest["number"], errors=errors)

    def apply(self, document: Document) -> None:
        """Put a version of the document in force."""
        self._front.document = document
        self.slots.apply(document)
        log(Event.DOCUMENT_APPLIED, number=document.number)
