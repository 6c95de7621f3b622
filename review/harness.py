"""What all scripts share: the record, the fleet of daemons and the exit status."""

import asyncio
import collections
import os
import random
import shutil
import signal
import tempfile
import time
from pathlib import Path

from client import Broken, Connection
from daemons import Daemon, free_prefix
from instance import Instance
from proxy import Proxy
from store import Store, configuration

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 116.0
RESTART_S = 1.0
MAX_TRACEBACK_LINES = 120


class Bench:
    """Store, instances and daemons of one run, on loopback addresses of its own."""

    def __init__(self, zones, record, folder):
        self.zones = zones
        self.record = record
        self.store = Store()
        self.instances = []
        self.daemons = []
        # Proxies between the daemons and the store, in the order of the daemons.
        self.proxies = []
        # Names and exit statuses of daemons that ended by themselves.
        self.exits = []
        self._folder = folder
        self._prefix = free_prefix()
        self._watchers = []

    async def start(self, routes, services, daemons_per_zone=1, proxied=False):
        """Start the store and the daemons, with configuration 7.

        With `proxied`, each daemon reaches the store through a proxy of its own.
        """
        address = f"{self._prefix}.250"
        store_port = await self.store.start(address)
        store_address = f"{address}:{store_port}"
        self.store.put("config", "main", configuration(7, routes, services))
        for zone in self.zones:
            for number in range(daemons_per_zone):
                ip = f"{self._prefix}.{len(self.daemons) + 1}"
                if proxied:
                    proxy = Proxy(address, store_port)
                    store_address = f"{address}:{await proxy.start(address)}"
                    self.proxies.append(proxy)
                self.daemons.append(
                    Daemon(
                        f"front-{zone}-{number + 1}",
                        zone,
                        ip,
                        self.zones,
                        store_address,
                        self._folder,
                        self.record,
                    )
                )
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()

    async def add_instance(self, service, zone, slots, queue, work_s, kind=Instance, **options):
        """Start an instance and register it."""
        name = f"i-{len(self.instances):02}c1"
        instance = kind(name, service, zone, slots, queue, work_s, self.record, **options)
        await instance.start(f"{self._prefix}.240")
        self.instances.append(instance)
        self.store.put("servers", name, instance.entry())
        return instance

    def keep_daemons_running(self):
        """From now on, start a daemon again after it ended, as the platform does."""
        self._watchers = [asyncio.create_task(self._watch(daemon)) for daemon in self.daemons]

    async def _watch(self, daemon):
        while True:
            status = await daemon.process.wait()
            self.record(f"{daemon.name} ended by itself with status {status}")
            self.exits.append((daemon.name, status))
            await asyncio.sleep(RESTART_S)
            await daemon.start()

    async def end(self):
        """End all processes."""
        for watcher in self._watchers:
            watcher.cancel()
        for daemon in self.daemons:
            await daemon.kill()

    def runs(self):
        """How often each request id was run, on all instances."""
        return collections.Counter(item[0] for instance in self.instances for item in instance.runs)


class Clients:
    """Clients that send one request after another; `answers` holds the status by request id."""

    def __init__(self, record):
        self.record = record
        self.counts = collections.Counter()
        self.answers = {}
        # Ids of requests from kept connections that ended without an answer.
        self.cut = []
        self.stopping = False

    async def loop(self, address, new_request, pause_s=0.0, refused_pause_s=0.3):
        """Send requests on a kept connection; `new_request` returns the arguments of one."""
        connection = Connection(address)
        while not self.stopping:
            if not connection.open:
                connection = Connection(address)
                try:
                    await connection.connect()
                except (OSError, asyncio.TimeoutError):
                    self.counts["not connected"] += 1
                    await asyncio.sleep(0.2)
                    continue
            kept = connection.answered > 0
            request = new_request()
            request_id = request["request_id"]
            self.record(f"client sends {request_id} {request['method']} {request['path']}")
            try:
                answer = await connection.request(**request)
            except Broken as error:
                self.counts["closed without an answer"] += 1
                self.record(f"client: {request_id} closed without an answer, kept={kept}: {error}")
                if kept and not self.stopping:
                    self.cut.append(request_id)
                continue
            self.counts[answer.status] += 1
            self.answers[request_id] = answer.status
            self.record(f"client: {request_id} answered {answer.status}")
            mean_s = pause_s if answer.status == 200 else refused_pause_s
            await asyncio.sleep(random.uniform(0, 2 * mean_s))
        connection.close()


def run_case(folder, play):
    """Run `play(record, temporary folder)`, which returns the exit status, and exit with it."""
    began = time.monotonic()
    with open(folder / "record.txt", "w") as output, tempfile.TemporaryDirectory() as temporary:

        def record(text):
            output.write(f"{time.monotonic() - began:9.4f} {text}\n")

        def say(text):
            print(text, flush=True)
            record(text)

        async def limited():
            task = asyncio.current_task()
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
            async with asyncio.timeout(TIME_LIMIT_S):
                return await play(record, say, Path(temporary))

        say(f"TROUBLE={int(TROUBLE)}")
        loop = asyncio.new_event_loop()
        try:
            status = loop.run_until_complete(limited())
        except (Exception, asyncio.CancelledError) as error:
            say(f"the case could not run: {error!r}")
            status = NOT_RUN
        for log in sorted(Path(temporary).glob("*.log")):
            lines = [line for line in log.read_text().splitlines() if not line.startswith("{")]
            if "LOGS" in os.environ:
                shutil.copy(log, os.environ["LOGS"])
            for line in lines[-MAX_TRACEBACK_LINES:]:
                output.write(f"{log.stem}: {line}\n")
        say(f"exit status {status}")
    # The daemons have ended; tasks of stand-ins may still wait.
    os._exit(status)
