"""Entry hosts as processes of their own, the store and the instances, on loopback addresses."""

import errno
import json
import re
import signal
import subprocess
import sys
from pathlib import Path
from types import TracebackType
from typing import Any

import trio
from platform_standin import MetadataStore, configuration, route, server_entry

from dotterelstand.connection.network import TcpNetwork
from dotterelstand.standin.httpd import HttpAnswer, HttpRequest, serve_http
from soak.instances import SoakInstance
from soak.proxy import LoopbackProxy

TEMPLATE = Path(__file__).parents[2] / "deploy" / "settings.toml"
REGIONS = ("r0", "r1", "r2")
SERVICES = {"lookup": 4, "orders": 3, "artwork": 3}
KINDS = {
    "prices": ("lookup", "safe"),
    "orders": ("orders", "unsafe"),
    "artwork": ("artwork", "upload"),
}
CALLER_PORT, READY_PORT, STORE_PORT, INSTANCE_PORT = 8080, 8542, 8541, 8000
PEER_PORTS = [7540, 7555]
# Time after a fault for which nothing is asked of a host that it struck.
STABLE_S = 3.0
BASES = range(10, 250)
READY_TIMEOUT_S = 60.0
READY_INTERVAL_S = 0.1


class ProcessHost:
    """One run of a daemon process."""

    def __init__(self, name: str, region: int, address: str, incarnation: int) -> None:
        self.name = name
        self.region = region
        self.address = address
        self.context = f"{name}/{incarnation}"
        self.process: trio.Process | None = None
        self.lost = False
        self.disturbed = False
        self.paused = False
        self.stopped: float | None = None
        self.ready = trio.Event()
        self.ended = trio.Event()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.disturbed = self.lost = True
        self.signal(signal.SIGKILL)

    def stop(self) -> None:
        """Begin a graceful stop; callers keep using the host until its process is gone."""
        if self.stopped is None:
            self.stopped = trio.current_time()
            self.signal(signal.SIGTERM)


class ProcessFleet:
    """Everything of one run; a context manager that ends the processes it started."""

    def __init__(self, seed: int, nursery: trio.Nursery, folder: Path) -> None:
        self.seed = seed
        self.folder = folder
        self.store = MetadataStore()
        self.hosts: dict[str, ProcessHost] = {}
        self.incarnations: dict[str, ProcessHost] = {}
        self.instances: dict[str, SoakInstance] = {}
        self.store_proxies: dict[str, LoopbackProxy] = {}
        self.instance_proxies: dict[str, LoopbackProxy] = {}
        # Arguments of the interpreter; the path of the settings file follows.
        self.program = ["-m", "dotterelstand.process.main"]
        self.faults: list[str] = []
        # Name of a host or "" for the store, with the begin and end of each fault.
        self.disturbances: list[tuple[str, float, float]] = []
        self.version = 0
        self.accepted_at = 0.0
        self._nursery = nursery
        # Second number of all addresses, so that runs beside each other do not meet.
        self._base = 0
        self._starts = 0
        self._created = 0

    def __enter__(self) -> "ProcessFleet":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for host in self.incarnations.values():
            host.signal(signal.SIGKILL)

    @property
    def targets(self) -> dict[str, SoakInstance]:
        """Instances by name, those that ended included."""
        return self.instances

    @property
    def network(self) -> "ProcessFleet":
        """The loopback network, from any address."""
        return self

    def at(self, address: str) -> TcpNetwork:
        """Network of a caller."""
        return TcpNetwork()

    async def start(self, hosts_per_region: int) -> None:
        """Start the store, the instances and the daemons, and wait until these are ready."""
        await self._take_addresses()
        self.accept_configuration()
        for service, count in SERVICES.items():
            for _ in range(count):
                await self.add_instance(service)
        for region in range(len(REGIONS)):
            for number in range(hosts_per_region):
                await self.start_host(f"entry-{region}-{number}", region)
        with trio.fail_after(READY_TIMEOUT_S):
            for host in self.running_hosts():
                await host.ready.wait()

    async def _take_addresses(self) -> None:
        """Take the first addresses whose store port is free, and serve the store there."""
        for base in BASES:
            self._base = base
            try:
                await self._nursery.start(self._serve_store, self._address(9, 0))
                return
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
        raise OSError("all loopback addresses of the soak are in use")

    def accept_configuration(self) -> None:
        """Accept the next version; only it has a route for its number."""
        self.version += 1
        routes = [
            route(service, f"/{kind}/", repeat, timeoutS=4, host="entry")
            for kind, (service, repeat) in KINDS.items()
        ]
        routes.append(route("lookup", f"/v{self.version}/", timeoutS=4, host="entry"))
        self.store.put(
            "config", "main", configuration(self.version, *routes, services=tuple(SERVICES))
        )
        self.accepted_at = trio.current_time()

    async def add_instance(self, service: str) -> SoakInstance:
        """Start an instance behind a proxy of its own, and register it."""
        self._created += 1
        number = self._created
        instance = SoakInstance(
            f"i-{number}", service, self._address(3, number), INSTANCE_PORT, self.seed
        )
        proxy = LoopbackProxy(
            self._address(4, number), INSTANCE_PORT, instance.address, INSTANCE_PORT
        )
        self.instances[instance.name] = instance
        self.instance_proxies[instance.name] = proxy
        await self._nursery.start(instance.run)
        await self._nursery.start(proxy.run)
        self.register(instance)
        return instance

    def register(self, instance: SoakInstance, **status: Any) -> None:
        """Write the registration of an instance."""
        proxy = self.instance_proxies[instance.name]
        entry = server_entry(instance.service, f"{proxy.address}:{proxy.port}", **status)
        number = int(instance.name.removeprefix("i-"))
        entry["info"]["zone"] = f"z{number % len(REGIONS)}"
        self.store.put("servers", instance.name, entry)

    async def restart_instance(self, instance: SoakInstance) -> None:
        """Start an instance again that crashed."""
        await self._nursery.start(instance.run)

    def registered(self) -> list[SoakInstance]:
        """Instances that are registered and not leaving, in order."""
        names = {name for kind, name in self.store.objects if kind == "servers"}
        return [
            instance
            for name, instance in self.instances.items()
            if name in names and not instance.ending
        ]

    async def start_host(self, name: str, region: int) -> ProcessHost:
        """Start a daemon, also in place of one that ended."""
        self._starts += 1
        index = region * 20 + int(name.rpartition("-")[2]) + 1
        address = self._address(1, index)
        host = ProcessHost(name, region, address, self._starts)
        if name not in self.store_proxies:
            proxy = LoopbackProxy(
                self._address(2, index), STORE_PORT, self._address(9, 0), STORE_PORT
            )
            self.store_proxies[name] = proxy
            await self._nursery.start(proxy.run)
        settings = self.folder / f"{name}.toml"
        settings.write_text(self.settings(host))
        host.process = await trio.lowlevel.open_process(
            [sys.executable, *self.program, str(settings)],
            stdout=(self.folder / f"{host.context.replace('/', '.')}.log").open("w"),
            stderr=subprocess.STDOUT,
        )
        self.hosts[name] = host
        self.incarnations[host.context] = host
        self.disturb(name, 0.0)
        self._nursery.start_soon(self._await_ready, host)
        self._nursery.start_soon(self._await_end, host)
        return host

    async def replace_host(self, host: ProcessHost) -> None:
        """Start a daemon in place of one that ended, unless another fault did so already."""
        await host.ended.wait()
        if self.hosts[host.name] is host:
            await self.start_host(host.name, host.region)

    def running_hosts(self) -> list[ProcessHost]:
        """Hosts whose process runs, in order of their names."""
        return [host for _, host in sorted(self.hosts.items()) if not host.lost]

    def live_hosts(self) -> list[ProcessHost]:
        """Running hosts that have been ready; the balancer keeps one that stops for a while."""
        return [host for host in self.running_hosts() if host.ready.is_set()]

    def settings(self, host: ProcessHost) -> str:
        """Settings of a host, from the template that the platform fills in."""
        proxy = self.store_proxies[host.name]
        fields = {
            "nodeName": host.name,
            "region": REGIONS[host.region],
            "zone": f"z{host.region}",
            "ip": host.address,
            "zones": {f"z{number}": region for number, region in enumerate(REGIONS)},
            "limits": {"cores": 1, "cpuShare": 0.86},
            "listen": {
                "frontend": f"{host.address}:{CALLER_PORT}",
                "readiness": f"{host.address}:{READY_PORT}",
            },
            "internalPorts": PEER_PORTS,
            "provider": {"address": f"{proxy.address}:{proxy.port}"},
            "bounds": {"retryBudgetRatio": 0.2},
        }
        return render(TEMPLATE.read_text(encoding="utf-8"), fields)

    def disturb(self, name: str, seconds: float) -> None:
        """Note a fault of a host, or of the store if the name is empty, that begins now."""
        now = trio.current_time()
        self.disturbances.append((name, now, now + seconds))

    def is_calm(self, name: str, since: float, until: float) -> bool:
        """Whether no fault of a host or of the store touches a time or the time before it."""
        return not any(
            struck in ("", name) and begin <= until and end + STABLE_S >= since
            for struck, begin, end in self.disturbances
        )

    async def _await_ready(self, host: ProcessHost) -> None:
        while not host.lost:
            if await self._is_ready(host):
                host.ready.set()
                return
            await trio.sleep(READY_INTERVAL_S)

    async def _is_ready(self, host: ProcessHost) -> bool:
        """Whether a host says that it takes callers."""
        try:
            stream = await trio.open_tcp_stream(host.address, READY_PORT)
            async with stream:
                await stream.send_all(b"GET /dotterelstand/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in await stream.receive_some(1000)
        except (OSError, trio.BrokenResourceError):
            return False

    def _address(self, kind: int, number: int) -> str:
        return f"127.{self._base}.{kind}.{number + 1}"

    async def _serve_store(self, address: str, task_status: trio.TaskStatus[None]) -> None:
        async def handle(request: HttpRequest) -> HttpAnswer | None:
            return await self.store.handle(request)

        await trio.serve_tcp(
            lambda stream: serve_http(stream, handle),
            STORE_PORT,
            host=address,
            task_status=task_status,
        )

    async def _await_end(self, host: ProcessHost) -> None:
        assert host.process is not None
        code = await host.process.wait()
        # A process that has not opened its port yet may end by the signal itself.
        starting = host.stopped is not None and not host.ready.is_set()
        if not host.disturbed and not starting and (host.stopped is None or code != 0):
            self.faults.append(f"{host.context}: ended with code {code}")
        host.lost = True
        host.ended.set()


def render(template: str, fields: dict[str, Any]) -> str:
    """The template with its placeholders filled in, as far as the project's own needs it."""

    def section(match: re.Match[str]) -> str:
        items = list(fields[match[1]].items())
        parts = [
            match[2]
            .replace("{{@}}", key)
            .replace("{{.}}", value)
            .replace("{{,}}", "," if number < len(items) - 1 else "")
            for number, (key, value) in enumerate(items)
        ]
        return "".join(parts)

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for name in match[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return found if isinstance(found, str) else json.dumps(found)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)
