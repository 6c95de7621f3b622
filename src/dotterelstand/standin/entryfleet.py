"""Entry hosts with links, host lists and documents over the in-memory network."""

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
from dotterelstand.version.document import Document

REGIONS = ("tema", "kumasi", "takoradi")
PEER_PORT = 8090
STORE_ADDRESS, STORE_PORT = "tema/store", 8060


def latency_s(source: str, destination: str) -> float:
    """One-way latency: 12 ms between regions, 0.5 ms within one; addresses are <region>/<n>."""
    return 0.0005 if source.split("/")[0] == destination.split("/")[0] else 0.012


def host_settings(name: str, address: str, **overrides: dict[str, object]) -> Settings:
    """Settings of one host of the fleet."""
    values = default_settings().as_dict()
    region = address.split("/")[0]
    values["host"] |= {"name": name, "region": region, "availability_zone": f"{region}-1"}
    values["peers"] |= {"address": address, "port": PEER_PORT}
    for section, keys in overrides.items():
        values[section] |= keys
    return Settings(values)


def addresses(count: int) -> dict[str, str]:
    """Names and addresses of `count` hosts, spread over the regions."""
    return {f"entry-{n:02}": f"{REGIONS[n % 3]}/{n}" for n in range(count)}


def listed(hosts: dict[str, str]) -> list[ListedHost]:
    """Host list that names every host as live."""
    return parse_host_list(host_list(hosts), PEER_PORT)


def host_list(hosts: dict[str, str]) -> list[dict[str, str]]:
    """The same in the form in which the platform serves it."""
    return [
        {"host": name, "address": f"{address}:{PEER_PORT}", "role": "entry", "state": "live"}
        | {"region": address.split("/")[0]}
        for name, address in hosts.items()
    ]


def section_text(service: str, port: int = 9000, owner: str = "pricing") -> str:
    """A valid section with one service of one target and one route."""
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


def change(section: str, port: int = 9000, base: str | None = None) -> SectionEdit:
    """A valid edit of a section whose service has the section's name."""
    return SectionEdit(section, section_text(section, port), "ama", "2026-12-04T07:00:00Z", base)


class Fleet:
    """Entry hosts with links and host lists, each crashed and replaced on its own."""

    __slots__ = (
        "applied",
        "certificates",
        "documents",
        "hosts",
        "make_spread",
        "network",
        "nursery",
        "peers",
        "scopes",
        "seed",
        "settings",
        "spreads",
        "starts",
        "store",
    )

    def __init__(
        self, nursery: trio.Nursery, count: int, seed: int, documents: bool = False
    ) -> None:
        self.documents = documents
        self.spreads: dict[str, DocumentDistributor] = {}
        self.make_spread: type[DocumentDistributor] = DocumentDistributor
        self.applied: list[tuple[float, str, int]] = []
        self.certificates: dict[str, Certificates] = {}
        self.settings: dict[str, dict[str, object]] = {}
        self.network = FakeNetwork(latency_s)
        self.nursery = nursery
        self.hosts = addresses(count)
        self.peers: dict[str, Peers] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.seed = seed
        self.starts = 0
        self.store = ObjectStore(seed)
        self.store.hosts = host_list(self.hosts)
        self.start_store()

    async def start_all(self) -> None:
        """Start every host at once."""
        for name in self.hosts:
            await self.start(name)

    async def start(self, name: str) -> Peers:
        """Start a host, as another incarnation each time."""
        self.starts += 1
        address = self.hosts[name]
        rng = seeded_random(self.seed, f"{name}/{self.starts}")
        settings = host_settings(name, address, **self.settings)
        metrics = Metrics(512)
        network: Network = self.network.at(address)
        if name in self.certificates:
            network = self.certificates[name].peer_network(network, metrics)
        peers = Peers(settings, network, rng, metrics)
        self.peers[name] = peers
        if self.documents:
            self.spreads[name] = self.make_spread(
                settings, self.store_client(name), peers, rng, partial(self._note_applied, name)
            )
        self.scopes[name] = trio.CancelScope()
        await self.nursery.start(self._run, name, peers, rng)
        return peers

    def store_client(self, name: str) -> StoreClient:
        """Store client of a host."""
        rng = seeded_random(self.seed, f"store/{name}/{self.starts}")
        network = self.network.at(self.hosts[name])
        return StoreClient(STORE_ADDRESS, STORE_PORT, network, 1.0, rng=rng)

    def start_store(self) -> None:
        """Serve the store; what it held before is kept."""
        self.nursery.start_soon(self._serve_store)

    def stop_store(self) -> None:
        """Refuse every connection to the store, and break the open ones."""
        self.network.crash(STORE_ADDRESS)

    def part_region(self, region: str) -> None:
        """Silence all traffic between a region and the rest, the store included."""
        for one, other in self._across(region):
            self.network.part(one, other)

    def heal_region(self, region: str) -> None:
        """Allow connections between a region and the rest again."""
        for one, other in self._across(region):
            self.network.heal(one, other)

    def _across(self, region: str) -> list[tuple[str, str]]:
        places = [*self.hosts.values(), STORE_ADDRESS]
        inside = [place for place in places if place.startswith(region)]
        return [(one, other) for one in inside for other in places if other not in inside]

    async def _serve_store(self) -> None:
        async def handle(stream: trio.abc.Stream) -> None:
            await serve_http(stream, self.store.handle)

        listener = await self.network.at(STORE_ADDRESS).listen(STORE_ADDRESS, STORE_PORT)
        await listener.serve(handle, self.nursery)

    def crash(self, name: str) -> None:
        """End a host without a goodbye."""
        self.scopes[name].cancel()
        self.network.crash(self.hosts[name])
        del self.peers[name]
        self.spreads.pop(name, None)

    def numbers(self) -> dict[str, int]:
        """Version in force on each running host."""
        return {name: spread.number for name, spread in self.spreads.items()}

    def acceptor(self, name: str, run: int = 0) -> DocumentEditor:
        """Editor of the document on a running host."""
        rng = seeded_random(self.seed, f"acceptor/{name}/{run}")
        spread = self.spreads[name]
        return DocumentEditor(self.store_client(name), spread.cache, rng, lambda: spread.number)

    def _note_applied(self, name: str, document: Document) -> None:
        self.applied.append((trio.current_time(), name, document.number))

    def views(self) -> list[list[str]]:
        """Names of the live members as each running host sees them."""
        return [[member.host for member in peers.members()] for peers in self.peers.values()]

    async def _run(
        self, name: str, peers: Peers, rng: random.Random, task_status: trio.TaskStatus[None]
    ) -> None:
        with self.scopes[name]:
            async with trio.open_nursery() as nursery:
                await nursery.start(peers.run)
                reader = HostListReader(self.store_client(name), peers, 5.0, PEER_PORT, rng)
                nursery.start_soon(reader.run)
                if name in self.spreads:
                    nursery.start_soon(self.spreads[name].run)
                task_status.started()
