"""Adapter for the native platform protocol: sections in an object store, host list and journal."""

import random
from collections.abc import Callable

import trio

from dotterelstand.connection.network import Network
from dotterelstand.process.discovery.hostlist import HostListReader
from dotterelstand.process.distribution.distributor import DocumentDistributor
from dotterelstand.process.idempotency.journalservice import JournalService, build_journal
from dotterelstand.process.operation.control import ControlRegistry
from dotterelstand.process.operation.storepages import register_store_pages
from dotterelstand.process.peering.peers import Peers
from dotterelstand.process.storage.store import StoreClient, build_store
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.settings import Settings
from dotterelstand.version.accept import DocumentEditor
from dotterelstand.version.model import Document


class NativeAdapter:
    """Implements `PlatformAdapter` with the object store protocol of docs/design.md."""

    __slots__ = ("_distributor", "_hosts", "_journal", "_peers", "_settings", "_store", "editor")

    def __init__(
        self,
        settings: Settings,
        network: Network,
        peers: Peers,
        rng: random.Random,
        apply: Callable[[Document], None],
        update_hosts: Callable[[object], None],
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._store: StoreClient = build_store(settings, network, rng)
        self._hosts = HostListReader(
            self._store,
            peers,
            settings.number("peers", "host_list_interval_s"),
            settings.integer("peers", "port"),
            rng,
            update_hosts,
        )
        self._journal: JournalService = build_journal(settings, self._store, peers, rng)
        self._distributor = DocumentDistributor(settings, self._store, peers, rng, apply)
        self.editor = DocumentEditor(
            self._store, self._distributor.cache, rng, lambda: self._distributor.number
        )

    @property
    def number(self) -> int:
        """Number of the document in force."""
        return self._distributor.number

    @property
    def journal(self) -> JournalService:
        """Journal of keyed requests."""
        return self._journal

    @property
    def freshness(self) -> None:
        """None, since documents of this store have no keys."""
        return None

    @property
    def has_host_list(self) -> bool:
        """Whether an attempt to read the list of entry hosts has ended."""
        return self.host_list_attempted.is_set()

    @property
    def host_list_attempted(self) -> trio.Event:
        """Set after the first attempt to read the host list."""
        return self._hosts.first_attempt

    def register(self, registry: ControlRegistry, metrics: Metrics) -> None:
        """Register the control pages and counters of the store and the journal."""
        register_store_pages(
            registry, metrics, self._settings, self._store, self._peers, self._journal
        )

    def reload(self, settings: Settings, changed: list[str]) -> list[str]:
        """Apply nothing: every setting of this protocol takes effect at the next start."""
        return []

    async def run(self) -> None:
        """Read the host list, distribute the document and run the journal until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hosts.run)
            nursery.start_soon(self._journal.run)
            nursery.start_soon(self._distributor.run)

    async def stop(self) -> None:
        """Store the request outcomes that are not in the journal yet."""
        await self._journal.stop()
