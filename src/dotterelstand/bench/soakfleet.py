"""A fleet of real daemons with simulated targets and platform, in virtual time."""

import json
import random
from collections.abc import Callable

import trio

from dotterelstand.process.daemon import Daemon
from dotterelstand.settings import Settings, parse_settings
from dotterelstand.standin.freeze import Freezer, set_current_host
from dotterelstand.standin.httpd import serve_http
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.platform import ObjectStore
from dotterelstand.standin.target import TargetServer
from dotterelstand.standin.virtual import seeded_random
from dotterelstand.version.model import section_digest

REGIONS = ("tema", "kumasi", "takoradi")
STORE_ADDRESS = "10.0.9.1"
CALLER_PORT = 8080
PEER_PORT = 8090
STORE_PORT = 8060
TARGET_PORT = 8000

# One-way latencies of the deployments, in seconds.
SAME_REGION_S = 0.0005
CROSS_REGION_S = 0.012
CALLER_LATENCY_S = 0.003

# Number of targets of each service per region, a third of the number in a deployment.
TARGETS_PER_REGION = {"lookup": 3, "orders": 2, "artwork": 2}
SLOTS_PER_TARGET = 2
MEAN_SERVICE_S = 0.005

# Prefix of the paths of requests that crash each target that runs them.
CRASH_PATH_PREFIX = "/prices/crash-"

_ROUTES = """
classes = ["interactive", "orders", "bulk"]

[[routes]]
prefix = "/prices"
methods = ["GET"]
service = "lookup"
idempotent = true
class = "interactive"
deadline_ms = 2000

[[routes]]
prefix = "/orders"
methods = ["POST"]
service = "orders"
idempotent = false
key = "required"
class = "orders"
deadline_ms = 5000

[[routes]]
prefix = "/artwork"
methods = ["POST"]
service = "artwork"
idempotent = false
key = "none"
class = "bulk"
deadline_ms = 20000
"""


def latency_s(source: str, destination: str) -> float:
    """One-way latency in seconds between two addresses of the form 10.<region>.<kind>.<number>.

    Callers have kind 8.
    """
    source_parts, destination_parts = source.split("."), destination.split(".")
    if "8" in (source_parts[2], destination_parts[2]):
        return CALLER_LATENCY_S
    return SAME_REGION_S if source_parts[1] == destination_parts[1] else CROSS_REGION_S


class EntryHost:
    """One incarnation of an entry host."""

    __slots__ = (
        "address",
        "daemon",
        "ended",
        "incarnation_id",
        "lost",
        "name",
        "region",
        "scope",
        "started",
        "stop_began_at",
        "was_paused_or_lost",
    )

    def __init__(self, name: str, region: int, address: str, incarnation: int) -> None:
        self.name = name
        self.region = region
        self.address = address
        # Unique to this incarnation, so that freezing it does not freeze its replacement.
        self.incarnation_id = f"{name}/{incarnation}"
        self.daemon: Daemon | None = None
        self.scope = trio.CancelScope()
        self.started = trio.current_time()
        self.ended = trio.Event()
        self.lost = False
        # Whether the host was paused or lost. If so, its stop may leave requests without an answer.
        self.was_paused_or_lost = False
        self.stop_began_at: float | None = None

    def stop(self) -> None:
        """Begin a graceful stop."""
        if self.daemon is not None and self.stop_began_at is None:
            self.stop_began_at = trio.current_time()
            self.daemon.stop()


class SoakFleet:
    """Entry hosts, targets and platform of one run."""

    __slots__ = (
        "_incarnation_count",
        "_nursery",
        "_on_applied",
        "_seed",
        "daemon_errors",
        "document_number",
        "freezer",
        "hosts",
        "incarnations",
        "network",
        "store",
        "store_outages",
        "targets",
    )

    def __init__(self, seed: int, nursery: trio.Nursery, freezer: Freezer) -> None:
        self._seed = seed
        self._nursery = nursery
        self._incarnation_count = 0
        self._on_applied: Callable[[EntryHost, int], None] = lambda host, number: None
        self.freezer = freezer
        self.network = FakeNetwork(latency_s)
        self.store = ObjectStore(seed)
        # Start and end of each fault of the store, in seconds.
        self.store_outages: list[tuple[float, float]] = []
        self.hosts: dict[str, EntryHost] = {}
        self.targets: dict[str, TargetServer] = {}
        self.document_number = 0
        # All incarnations of entry hosts in the run, by `incarnation_id`.
        self.incarnations: dict[str, EntryHost] = {}
        # Context and exceptions of each daemon that ended with an error.
        self.daemon_errors: list[str] = []

    async def start(self, hosts_per_region: int) -> None:
        """Start the platform, the targets and the entry hosts."""
        store_network = self.network.at(STORE_ADDRESS)
        listener = await store_network.listen(STORE_ADDRESS, STORE_PORT)
        self._nursery.start_soon(listener.serve, self._serve_store, self._nursery)
        self._start_targets()
        self.accept_document()
        for region in range(len(REGIONS)):
            for number in range(hosts_per_region):
                self.start_host(f"entry-{region}-{number}", region, f"10.{region}.1.{number + 1}")
        self.list_hosts()

    def accept_document(self) -> int:
        """Write the next version of the document to the store, as the command-line tool does."""
        self.document_number += 1
        body = f"{_ROUTES}\n[tenants]\nversion-{self.document_number} = 1.0\n{self._services()}"
        digest = section_digest(body)
        entry = {"digest": digest, "author": "soak", "at": 0}
        manifest = {
            "number": self.document_number,
            "write": f"soak-{self.document_number}",
            "sections": {"all": entry},
        }
        self.store.put(f"document/sections/{digest}", body.encode(), {})
        self.store.put("document/head", json.dumps(manifest).encode(), {})
        return self.document_number

    def start_host(self, name: str, region: int, address: str) -> EntryHost:
        """Start an entry host, or the replacement of a lost one of the same name."""
        self._incarnation_count += 1
        host = EntryHost(name, region, address, self._incarnation_count)
        self.hosts[name] = host
        self.incarnations[host.incarnation_id] = host
        self._nursery.start_soon(self._run_host, host)
        return host

    def replace_host(self, host: EntryHost) -> None:
        """Start the replacement of a host that ended, unless another fault already did."""
        if self.hosts[host.name] is host:
            self.start_host(host.name, host.region, host.address)
            self.list_hosts()

    def list_hosts(self) -> None:
        """Update the platform's host list."""
        self.store.hosts = [
            {
                "host": host.name,
                "address": f"{host.address}:{PEER_PORT}",
                "role": "entry",
                "state": "live",
                "region": REGIONS[host.region],
                "availability_zone": f"{REGIONS[host.region]}-1",
            }
            for host in self.hosts.values()
            if not host.lost
        ]

    def lose_host(self, host: EntryHost) -> None:
        """End a host at once, as a machine failure would."""
        host.lost = host.was_paused_or_lost = True
        self.freezer.thaw(host.incarnation_id)
        host.scope.cancel()
        self.network.crash(host.address)

    def live_hosts(self) -> list[EntryHost]:
        """Hosts that are not lost, sorted by name."""
        return [host for _, host in sorted(self.hosts.items()) if not host.lost]

    def targets_of(self, service: str) -> list[TargetServer]:
        """Targets of a service, sorted by name."""
        return [self.targets[name] for name in sorted(self.targets) if name.startswith(service)]

    def _start_targets(self) -> None:
        for kind, (service, count) in enumerate(TARGETS_PER_REGION.items(), start=2):
            for region in range(len(REGIONS)):
                for number in range(count):
                    name = f"{service}-{region}-{number}"
                    address = f"10.{region}.{kind}.{number + 1}"
                    target = TargetServer(name, SLOTS_PER_TARGET, MEAN_SERVICE_S, self._seed)
                    target.faults.update({"crash_paths": [CRASH_PATH_PREFIX]})
                    self.targets[name] = target
                    self._nursery.start_soon(
                        target.serve, self.network.at(address), address, TARGET_PORT
                    )

    def _services(self) -> str:
        lines = []
        for kind, (service, count) in enumerate(TARGETS_PER_REGION.items(), start=2):
            hedge = str(service == "lookup").lower()
            lines.append(f"[services.{service}]\nslots = {SLOTS_PER_TARGET}\nhedge = {hedge}")
            lines.append("silence_timeout_s = 0.5" if service != "artwork" else "")
            for region, region_name in enumerate(REGIONS):
                for number in range(count):
                    lines.append(
                        f"[[services.{service}.targets]]\n"
                        f'name = "{service}-{region}-{number}"\n'
                        f'address = "10.{region}.{kind}.{number + 1}"\n'
                        f"port = {TARGET_PORT}\n"
                        f'region = "{region_name}"\navailability_zone = "{region_name}-1"'
                    )
        return "\n".join(lines) + "\n"

    async def _run_host(self, host: EntryHost) -> None:
        set_current_host(host.incarnation_id)
        rng: random.Random = seeded_random(self._seed, host.incarnation_id)
        with host.scope:
            host.daemon = Daemon(self._settings(host), self.network.at(host.address), rng)
            try:
                await host.daemon.run()
            except* Exception as group:
                self.daemon_errors.append(f"{host.incarnation_id}: {group.exceptions!r}")
                self.network.crash(host.address)
        host.lost = True
        host.ended.set()

    async def _serve_store(self, stream: trio.abc.Stream) -> None:
        await serve_http(stream, self.store.handle)

    def _settings(self, host: EntryHost) -> Settings:
        region = REGIONS[host.region]
        text = f"""
[host]
name = "{host.name}"
region = "{region}"
availability_zone = "{region}-1"
[listen]
address = "{host.address}"
port = {CALLER_PORT}
close_grace_s = 1.0
[peers]
address = "{host.address}"
port = {PEER_PORT}
host_list_interval_s = 2.0
[control]
address = "{host.address}"
[store]
url = "http://{STORE_ADDRESS}:{STORE_PORT}"
[journal]
region = "{REGIONS[0]}"
"""
        return parse_settings(text, host.name).unwrap()
