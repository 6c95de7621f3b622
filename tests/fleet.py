"""Entry hosts over the in-memory network, shared by the tests of links and documents."""

import trio

from dotterelstand.process.membership import ListedHost
from dotterelstand.process.peers import Peers
from dotterelstand.settings import Settings, default_settings
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.virtual import seeded_random

REGIONS = ("tema", "kumasi", "takoradi")
PEER_PORT = 8090


def latency_s(source: str, destination: str) -> float:
    """One-way latency: 12 ms between regions, 0.5 ms within one; addresses are <region>/<n>."""
    return 0.0005 if source.split("/")[0] == destination.split("/")[0] else 0.012


def host_settings(name: str, address: str, **overrides: dict[str, object]) -> Settings:
    """Settings of one host of the fleet."""
    values = default_settings().as_dict()
    region = address.split("/")[0]
    values["host"] = {"name": name, "region": region, "availability_zone": f"{region}-1"}
    values["peers"] |= {"address": address, "port": PEER_PORT}
    for section, keys in overrides.items():
        values[section] |= keys
    return Settings(values)


def addresses(count: int) -> dict[str, str]:
    """Names and addresses of `count` hosts, spread over the regions."""
    return {f"entry-{n:02}": f"{REGIONS[n % 3]}/{n}" for n in range(count)}


def listed(hosts: dict[str, str]) -> list[ListedHost]:
    """Host list that names every host as live."""
    return [
        ListedHost(name, address, PEER_PORT, False, address.split("/")[0])
        for name, address in hosts.items()
    ]


class PeerFleet:
    """Peers of several hosts, each cancelled and replaced on its own."""

    __slots__ = ("hosts", "network", "nursery", "peers", "scopes", "seed", "starts")

    def __init__(self, nursery: trio.Nursery, count: int, seed: int) -> None:
        self.network = FakeNetwork(latency_s)
        self.nursery = nursery
        self.hosts = addresses(count)
        self.peers: dict[str, Peers] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.seed = seed
        self.starts = 0

    async def start(self, name: str) -> Peers:
        """Start a host, as another incarnation each time."""
        self.starts += 1
        address = self.hosts[name]
        rng = seeded_random(self.seed, f"{name}/{self.starts}")
        peers = Peers(host_settings(name, address), self.network.at(address), rng)
        self.peers[name] = peers
        self.scopes[name] = trio.CancelScope()
        await self.nursery.start(self._run, name, peers)
        peers.read_host_list(listed(self.hosts))
        return peers

    def crash(self, name: str) -> None:
        """End a host without a goodbye."""
        self.scopes[name].cancel()
        self.network.crash(self.hosts[name])
        del self.peers[name]

    async def _run(self, name: str, peers: Peers, task_status: trio.TaskStatus[None]) -> None:
        with self.scopes[name]:
            await peers.run(task_status=task_status)
