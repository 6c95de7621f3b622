"""The entry daemon: wires the parts together and owns their tasks."""

import json
import random
from urllib.parse import urlsplit

import trio
from returns.pipeline import is_successful

from dotterelstand.connection.caller import CallerLimits
from dotterelstand.connection.network import Network
from dotterelstand.connection.pool import PoolLimits, TargetPool
from dotterelstand.events import Event, log
from dotterelstand.process.front import CallerFront
from dotterelstand.process.mesh import Member
from dotterelstand.process.quarantine import QuarantineLimits, QuarantineService
from dotterelstand.process.store import StoreClient
from dotterelstand.request.context import RequestContext, RequestLimits
from dotterelstand.request.local import CounterTable, LocalSlots, NoJournal, SoloMesh
from dotterelstand.settings import Settings
from dotterelstand.version.document import build_document


class Daemon:
    """All parts of one entry host."""

    __slots__ = (
        "_front",
        "_network",
        "_pool",
        "_settings",
        "_stopping",
        "_store",
        "counters",
        "port",
        "quarantine",
    )

    def __init__(self, settings: Settings, network: Network, rng: random.Random) -> None:
        self._settings = settings
        self._network = network
        self._stopping = trio.Event()
        self._pool = TargetPool(network, _pool_limits(settings))
        self.counters = CounterTable()
        self.quarantine = QuarantineService(
            SoloMesh(_own_member(settings)), _quarantine_limits(settings), self.counters.count
        )
        context = RequestContext(
            _request_limits(settings),
            self._pool,
            LocalSlots(rng),
            NoJournal(),
            self.quarantine,
            self.counters,
        )
        self._front = CallerFront(
            context, _caller_limits(settings), settings.integer("listen", "max_connections")
        )
        url = urlsplit(settings.text("store", "url"))
        self._store = StoreClient(
            url.hostname or "", url.port or 80, network, settings.number("store", "timeout_s")
        )
        self.port = 0

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
        grace_s = self._settings.number("listen", "close_grace_s")
        with self._pool:
            async with trio.open_nursery() as background:
                background.start_soon(self._follow_document)
                background.start_soon(self._pool.sweep_forever)
                await self._front.serve_until_stopped(listener, self._stopping, grace_s)
                background.cancel_scope.cancel()
        log(Event.DAEMON_STOPPED)

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
            self._front.document = document.unwrap()
            log(Event.DOCUMENT_APPLIED, number=manifest["number"])
        else:
            errors = [str(error) for error in document.failure()]
            log(Event.DOCUMENT_REJECTED, number=manifest["number"], errors=errors)


def _own_member(settings: Settings) -> Member:
    return Member(
        settings.text("host", "name"),
        settings.text("host", "region"),
        settings.text("host", "availability_zone"),
        False,
    )


def _quarantine_limits(settings: Settings) -> QuarantineLimits:
    return QuarantineLimits(
        settings.number("quarantine", "window_s"),
        settings.number("quarantine", "quarantine_s"),
        settings.integer("quarantine", "max_entries"),
        settings.number("quarantine", "confirm_timeout_s"),
        settings.number("quarantine", "admit_wait_s"),
        settings.number("quarantine", "run_limit_s"),
    )


def _pool_limits(settings: Settings) -> PoolLimits:
    return PoolLimits(
        settings.integer("targets", "max_idle_connections"),
        settings.number("targets", "idle_timeout_s"),
        settings.integer("targets", "max_answer_head_bytes"),
        settings.number("targets", "connect_timeout_s"),
        max(1, settings.integer("targets", "sharing_hosts")),
    )


def _request_limits(settings: Settings) -> RequestLimits:
    return RequestLimits(
        settings.integer("requests", "max_attempts"),
        settings.number("requests", "retry_min_per_s"),
        settings.integer("requests", "held_body_bytes"),
        settings.integer("journal", "max_answer_bytes"),
    )


def _caller_limits(settings: Settings) -> CallerLimits:
    return CallerLimits(
        settings.integer("listen", "max_head_bytes"),
        settings.number("listen", "idle_timeout_s"),
        settings.number("listen", "head_timeout_s"),
        settings.number("listen", "body_idle_timeout_s"),
        settings.number("listen", "linger_s"),
    )
