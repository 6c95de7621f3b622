"""Entry hosts with peer links, host lists and documents on the in-memory network."""

import random
from functools import partial

import trio

from dotterelstand.connection.network import Network
from dotterelstand.connection.tls import Certificates
from dotterelstand.process.discovery.hostlist import HostListReader, parse_host_list
from dotterelstand.process.distribution.distributor import DocumentDistributor
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.process.peering.peers import Peers
from dotterelstand.process.storage.store import StoreClient
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.settings import Settings, default_settings
from dotterelstand.standin.httpd import serve_http
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.platform import ObjectStore
from dotterelstand.standin.virtual import seeded_random
from dotterelstand.version.accept import DocumentEditor, SectionEdit
from dotterelstand.version.model import Document

REGIONS = ("tema", "kumasi", "takoradi")
PEER_PORT = 8090
STORE_ADDRESS, STORE_PORT = "tema/store", 8060


def latency_s(source: str, destination: str) -> float:
    """Return the one-way latency: 12 ms between regions, 0.5 ms within one.

    Addresses have the form `<region>/<n>`.
    """
    return 0.0005 if source.split("/")[0] == destination.split("/")[0] else 0.012


def host_settings(name: str, address: str, **overrides: dict[str, object]) -> Settings:
    """Return the settings of one host; `overrides` are keys and values by section."""
    values = default_settings().as_dict()
    region = address.split("/")[0]
    values["host"] |= {"name": name, "region": region, "availability_zone": f"{region}-1"}
    values["peers"] |= {"address": address, "port": PEER_PORT}
    for section, keys in overrides.items():
        values[section] |= keys
    return Settings(values)


def host_addresses(count: int) -> dict[str, str]:
    """Return names and addresses of `count` hosts, distributed evenly over the regions."""
    return {f"entry-{n:02}": f"{REGIONS[n % 3]}/{n}" for n in range(count)}


def listed_hosts(hosts: dict[str, str]) -> list[ListedHost]:
    """Return the parsed host list in which every host is live."""
    return parse_host_list(host_list(hosts), PEER_PORT)


def host_list(hosts: dict[str, str]) -> list[dict[str, str]]:
    """Return a host list in the platform's JSON format in which every host is live."""
    return [
        {"host": name, "address": f"{address}:{PEER_PORT}", "role": "entry", "state": "live"}
        | {"region": address.split("/")[0]}
        for name, address in hosts.items()
    ]


def section_text(service: str, port: int = 9000, owner: str = "pricing") -> str:
    """Return a valid section with one route to one service that has one target."""
    return f"""owner = "{owner}"
[services.{service}]
[[services.{service}.targets]]
name = "{service}-1"
address = "10.0.0.1"
port = {port}
region = "tema"
availability_zone = "tema-1"
[[routes]]
prefix = "/{service}"
service = "{service}"
"""


def section_change(section: str, port: int = 9000, base: str | None = None) -> SectionEdit:
    """Return a valid change of a section; its service has the same name as the section."""
    return SectionEdit(section, section_text(section, port), "ama", "2026-12-04T07:00:00Z", base)


class Fleet:
    """Entry hosts with peer links and host lists; each host can be crashed and restarted."""

    __slots__ = (
        "applied",
        "certificates",
        "distributor_class",
        "distributors",
        "documents",
        "hosts",
        "network",
        "nursery",
        "peers",
        "scopes",
        "seed",
        "settings",
        "start_count",
        "store",
    )

    def __init__(
        self, nursery: trio.Nursery, count: int, seed: int, documents: bool = False
    ) -> None:
        self.documents = documents
        self.distributors: dict[str, DocumentDistributor] = {}
        self.distributor_class: type[DocumentDistributor] = DocumentDistributor
        self.applied: list[tuple[float, str, int]] = []
        self.certificates: dict[str, Certificates] = {}
        self.settings: dict[str, dict[str, object]] = {}
        self.network = FakeNetwork(latency_s)
        self.nursery = nursery
        self.hosts = host_addresses(count)
        self.peers: dict[str, Peers] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.seed = seed
        self.start_count = 0
        self.store = ObjectStore(seed)
        self.store.hosts = host_list(self.hosts)
        self.start_store()

    async def start_all(self) -> None:
        """Start all hosts."""
        for name in self.hosts:
            await self.start(name)

    async def start(self, name: str) -> Peers:
        """Start a host; each start is a new incarnation."""
        self.start_count += 1
        address = self.hosts[name]
        rng = seeded_random(self.seed, f"{name}/{self.start_count}")
        settings = host_settings(name, address, **self.settings)
        metrics = Metrics(512)
        network: Network = self.network.at(address)
        if name in self.certificates:
            network = self.certificates[name].peer_network(network, metrics)
        peers = Peers(settings, network, rng, metrics)
        self.peers[name] = peers
        if self.documents:
            self.distributors[name] = self.distributor_class(
                settings, self.store_client(name), peers, rng, partial(self._record_applied, name)
            )
        self.scopes[name] = trio.CancelScope()
        await self.nursery.start(self._run, name, peers, rng)
        return peers

    def store_client(self, name: str) -> StoreClient:
        """Return a new store client of a host."""
        rng = seeded_random(self.seed, f"store/{name}/{self.start_count}")
        network = self.network.at(self.hosts[name])
        return StoreClient(STORE_ADDRESS, STORE_PORT, network, 1.0, rng=rng)

    def start_store(self) -> None:
        """Serve the object store in the background; its objects survive a stop."""
        self.nursery.start_soon(self._serve_store)

    def stop_store(self) -> None:
        """Break the open connections to the store and refuse new ones."""
        self.network.crash(STORE_ADDRESS)

    def partition_region(self, region: str) -> None:
        """Drop all traffic between a region and the other regions, including the store."""
        for one, other in self._cross_region_pairs(region):
            self.network.partition(one, other)

    def heal_region(self, region: str) -> None:
        """Allow connections between a region and the other regions again."""
        for one, other in self._cross_region_pairs(region):
            self.network.heal(one, other)

    def _cross_region_pairs(self, region: str) -> list[tuple[str, str]]:
        addresses = [*self.hosts.values(), STORE_ADDRESS]
        inside = [address for address in addresses if address.startswith(region)]
        return [(one, other) for one in inside for other in addresses if other not in inside]

    async def _serve_store(self) -> None:
        async def handle(stream: trio.abc.Stream) -> None:
            await serve_http(stream, self.store.handle)

        listener = await self.network.at(STORE_ADDRESS).listen(STORE_ADDRESS, STORE_PORT)
        await listener.serve(handle, self.nursery)

    def crash(self, name: str) -> None:
        """End a host abruptly, without a message to its peers."""
        self.scopes[name].cancel()
        self.network.crash(self.hosts[name])
        del self.peers[name]
        self.distributors.pop(name, None)

    def applied_versions(self) -> dict[str, int]:
        """Return the document version that is applied on each running host."""
        return {name: distributor.number for name, distributor in self.distributors.items()}

    def document_editor(self, name: str, run: int = 0) -> DocumentEditor:
        """Return an editor of the document on a running host."""
        rng = seeded_random(self.seed, f"acceptor/{name}/{run}")
        distributor = self.distributors[name]
        return DocumentEditor(
            self.store_client(name), distributor.cache, rng, lambda: distributor.number
        )

    def _record_applied(self, name: str, document: Document) -> None:
        self.applied.append((trio.current_time(), name, document.number))

    def member_lists(self) -> list[list[str]]:
        """Return the names of the live members on each running host."""
        return [[member.host for member in peers.members()] for peers in self.peers.values()]

    async def _run(
        self, name: str, peers: Peers, rng: random.Random, task_status: trio.TaskStatus[None]
    ) -> None:
        with self.scopes[name]:
            async with trio.open_nursery() as nursery:
                await nursery.start(peers.run)
                reader = HostListReader(self.store_client(name), peers, 5.0, PEER_PORT, rng)
                nursery.start_soon(reader.run)
                if name in self.distributors:
                    nursery.start_soon(self.distributors[name].run)
                task_status.started()
