"""The entry daemon: wires the parts together and owns their tasks."""

import random
from urllib.parse import urlsplit

import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.caller import CallerConnection
from dotterelstand.connection.network import Listener, Network
from dotterelstand.connection.pool import TargetPool
from dotterelstand.connection.target import close_now
from dotterelstand.events import Event, log
from dotterelstand.process.balancer import LocalBalancer
from dotterelstand.process.control import ControlPort, ControlRegistry
from dotterelstand.process.hostlist import HostListReader
from dotterelstand.process.metrics import build_metrics
from dotterelstand.process.pages import DaemonState, register_pages
from dotterelstand.process.peers import Peers
from dotterelstand.process.spread import DocumentSpread
from dotterelstand.process.store import StoreClient
from dotterelstand.request.exchange import Exchange
from dotterelstand.request.head import RequestHead
from dotterelstand.settings import Settings
from dotterelstand.version.document import Document


class Daemon:
    """All parts of one entry host."""

    __slots__ = (
        "_balancer",
        "_control",
        "_document",
        "_hosts",
        "_metrics",
        "_network",
        "_peers",
        "_pool",
        "_registry",
        "_settings",
        "_spread",
        "_state",
        "_stopping",
        "_store",
        "control_port",
        "port",
    )

    def __init__(self, settings: Settings, network: Network, rng: random.Random) -> None:
        self._settings = settings
        self._network = network
        self._document: Document | None = None
        self._metrics = build_metrics(settings)
        self._stopping = trio.Event()
        self._balancer = LocalBalancer(rng)
        self._pool = TargetPool(
            network,
            settings.integer("targets", "max_idle_connections"),
            settings.number("targets", "idle_timeout_s"),
            settings.integer("targets", "max_answer_head_bytes"),
        )
        url = urlsplit(settings.text("store", "url"))
        self._store = StoreClient(
            url.hostname or "", url.port or 80, network, settings.number("store", "timeout_s")
        )
        self._peers = Peers(settings, network, rng, self._metrics)
        self._hosts = HostListReader(
            self._store,
            self._peers,
            settings.number("peers", "host_list_interval_s"),
            settings.integer("peers", "port"),
            rng,
        )
        self._spread = DocumentSpread(settings, self._store, self._peers, rng, self._apply)
        self.port = 0

        self._registry = ControlRegistry()
        self._state = DaemonState(lambda: self._document, self._stopping.is_set, self.stop)
        register_pages(self._registry, settings, self._metrics, self._state)
        self._control = ControlPort(settings, self._registry, self._metrics)
        self.port = 0
        self.control_port = 0

    @property
    def spread(self) -> DocumentSpread:
        """The document in force and how it arrives."""
        return self._spread

    @property
    def peers(self) -> Peers:
        """Links to the other entry hosts."""
        return self._peers

    def stop(self) -> None:
        """Begin a graceful stop."""
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
        async with trio.open_nursery() as background:
            await background.start(self._peers.run)
            background.start_soon(self._hosts.run)
            background.start_soon(self._spread.run)
            background.start_soon(self._control.serve, control)
            background.start_soon(self._flush_metrics)
            async with trio.open_nursery() as callers:
                accepting = trio.CancelScope()
                callers.start_soon(self._accept, listener, callers, accepting)
                await self._stopping.wait()
                log(Event.DAEMON_STOPPING)
                self._peers.leave()
                await trio.sleep(self._settings.number("listen", "close_grace_s"))
                accepting.cancel()
            await self._peers.say_goodbye()
            background.cancel_scope.cancel()
        self._metrics.flush()
        log(Event.DAEMON_STOPPED)

    async def serve_caller(self, stream: trio.abc.Stream) -> None:
        """Serve the requests of one caller connection."""
        connection = CallerConnection(stream, self._settings.integer("listen", "max_head_bytes"))
        try:
            while await self._serve_request(connection):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            close_now(stream)

    async def _serve_request(self, connection: CallerConnection) -> bool:
        head = None
        with trio.move_on_after(self._settings.number("listen", "idle_timeout_s")):
            head = await connection.next_request()
        connection.closing = connection.closing or self._stopping.is_set()
        if head is None:
            return False
        if isinstance(head, ResultCode):
            self._metrics.count(f"requests.result.{head:d}")
            await connection.refuse(head)
            return False
        if self._document is None:
            self._metrics.count(f"requests.result.{ResultCode.NO_CONFIGURATION:d}")
            await connection.refuse(ResultCode.NO_CONFIGURATION)
            return False
        started = trio.current_time()
        exchange = Exchange(connection, head, self._document, self._pool, self._balancer)
        code = await exchange.run()
        self._record_request(self._document, head, code, trio.current_time() - started)
        log(Event.REQUEST_ENDED, code=code, path=head.path)
        return connection.start_next_cycle()

    def _record_request(
        self, document: Document, head: RequestHead, code: ResultCode, seconds: float
    ) -> None:
        self._metrics.count(f"requests.result.{code:d}")
        route = document.find_route(head.path, head.method)
        if route is not None:
            self._metrics.record_latency(route.service, route.klass, head.tenant, seconds)

    async def _flush_metrics(self) -> None:
        while True:
            await trio.sleep(self._settings.number("metrics", "flush_interval_s"))
            self._metrics.flush()

    async def _accept(
        self, listener: Listener, callers: trio.Nursery, accepting: trio.CancelScope
    ) -> None:
        with accepting:
            await listener.serve(self.serve_caller, callers)

    def _apply(self, document: Document) -> None:
        self._document = document
