"""The entry daemon: wires the parts together and owns their tasks."""

import json
import random

import trio
from returns.pipeline import is_successful

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.caller import CallerConnection
from dotterelstand.connection.network import Listener, Network
from dotterelstand.connection.pool import TargetPool
from dotterelstand.connection.target import close_now
from dotterelstand.events import Event, log
from dotterelstand.process.balancer import LocalBalancer
from dotterelstand.process.journalservice import build_journal
from dotterelstand.process.mesh import Member, SingleHost
from dotterelstand.process.store import build_store
from dotterelstand.request.exchange import Exchange
from dotterelstand.settings import Settings
from dotterelstand.version.document import Document, build_document


class Daemon:
    """All parts of one entry host."""

    __slots__ = (
        "_balancer",
        "_document",
        "_network",
        "_pool",
        "_settings",
        "_stopping",
        "_store",
        "journal",
        "port",
    )

    def __init__(self, settings: Settings, network: Network, rng: random.Random) -> None:
        self._settings = settings
        self._network = network
        self._document: Document | None = None
        self._stopping = trio.Event()
        self._balancer = LocalBalancer(rng)
        self._pool = TargetPool(
            network,
            settings.integer("targets", "max_idle_connections"),
            settings.number("targets", "idle_timeout_s"),
            settings.integer("targets", "max_answer_head_bytes"),
        )
        self._store = build_store(settings, network, rng)
        self.journal = build_journal(settings, self._store, _single_host(settings), rng)
        self.port = 0

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
        async with trio.open_nursery() as background:
            background.start_soon(self._follow_document)
            background.start_soon(self.journal.run)
            async with trio.open_nursery() as callers:
                accepting = trio.CancelScope()
                callers.start_soon(self._accept, listener, callers, accepting)
                await self._stopping.wait()
                log(Event.DAEMON_STOPPING)
                await trio.sleep(self._settings.number("listen", "close_grace_s"))
                accepting.cancel()
            await self.journal.stop()
            background.cancel_scope.cancel()
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
            await connection.refuse(head)
            return False
        if self._document is None:
            await connection.refuse(ResultCode.NO_CONFIGURATION)
            return False
        exchange = Exchange(connection, head, self._document, self._pool, self._balancer)
        code = await exchange.run()
        log(Event.REQUEST_ENDED, code=code, path=head.path)
        return connection.start_next_cycle()

    async def _accept(
        self, listener: Listener, callers: trio.Nursery, accepting: trio.CancelScope
    ) -> None:
        with accepting:
            await listener.serve(self.serve_caller, callers)

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
            self._document = document.unwrap()
            log(Event.DOCUMENT_APPLIED, number=manifest["number"])
        else:
            errors = [str(error) for error in document.failure()]
            log(Event.DOCUMENT_REJECTED, number=manifest["number"], errors=errors)


def _single_host(settings: Settings) -> SingleHost:
    name, region, zone = (
        settings.text("host", key) for key in ("name", "region", "availability_zone")
    )
    return SingleHost(Member(name, region, zone, False))
