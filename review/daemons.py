"""Starts entry daemons as the deploy file does, with its template of the settings."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
READY_PATH = "/dotterelstand/ready"
FRONTEND_PORT, READINESS_PORT, CONTROL_PORT, METRICS_PORT = 8548, 8542, 8544, 9464
INTERNAL_PORTS = [7540, 7555]
BOUNDS = {"retrySlack": 62, "retryBudgetRatio": 0.2}
READY_TIMEOUT_S = 30.0


def free_prefix():
    """First three octets of loopback addresses on which all ports of a daemon are free."""
    while True:
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        ports = [FRONTEND_PORT, READINESS_PORT, *INTERNAL_PORTS, METRICS_PORT]
        sockets = [socket.socket() for _ in ports]
        try:
            for item, port in zip(sockets, ports):
                item.bind((f"{prefix}.1", port))
            return prefix
        except OSError:
            continue
        finally:
            for item in sockets:
                item.close()


def _lookup(fields, name):
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return None
    return value


def _text(value):
    if value is None:
        return ""
    return value if isinstance(value, str) else json.dumps(value)


def render(template, fields):
    """Fill in a template as DEPLOY.md describes it, as far as the project's template uses it."""

    def section(match):
        kind, name, inner = match.group(1), match.group(2), match.group(3)
        value = _lookup(fields, name)
        if kind == "^":
            return "" if value else inner
        if isinstance(value, dict):
            parts = [
                inner.replace("{{@}}", key).replace("{{.}}", _text(item))
                for key, item in value.items()
            ]
            joined = [part.replace("{{,}}", ",") for part in parts[:-1]]
            return "".join([*joined, *(part.replace("{{,}}", "") for part in parts[-1:])])
        return inner if value else ""

    text = re.sub(r"{{([#^])([\w.]+)}}(.*?){{/\2}}", section, template, flags=re.DOTALL)
    return re.sub(r"{{([\w.]+)}}", lambda match: _text(_lookup(fields, match.group(1))), text)


class Daemon:
    """One entry daemon; a restart makes a new process with the same settings."""

    def __init__(self, name, zone, ip, zones, store_address, folder, record):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.address = (ip, FRONTEND_PORT)
        self.process = None
        self._record = record
        self._log = open(folder / f"{name}.log", "ab")
        fields = {
            "nodeName": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": ip,
            "zone": zone,
            "region": zones[zone],
            "zones": zones,
            "listen": {
                "frontend": f"{ip}:{FRONTEND_PORT}",
                "readiness": f"{ip}:{READINESS_PORT}",
            },
            "internalPorts": INTERNAL_PORTS,
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpuShare": 0.86, "cores": 1, "memoryMb": 300, "maxFds": 4100},
            "heartbeatS": 1.5,
            "bounds": BOUNDS,
            "provider": {"address": store_address, "form": "objects"},
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        self._command = deploy["run"].split()
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(render((ROOT / deploy["template"]).read_text(), fields))
        self._variables = dict.fromkeys(deploy["env"], str(self._settings))

    async def start(self):
        """Start the process."""
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment = {**kept, "PYTHONPATH": str(ROOT / "target/deps"), **self._variables}
        self.process = await asyncio.create_subprocess_exec(
            *self._command,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self._record(f"{self.name} starts as process {self.process.pid}")

    async def wait_ready(self):
        """Wait until the readiness port answers 200."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)
        self._record(f"{self.name} is ready")

    async def is_ready(self):
        """Ask as the platform's balancer does."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, READINESS_PORT)
        except OSError:
            return False
        try:
            writer.write(f"GET {READY_PATH} HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 2)
            return line.split()[1:2] == [b"200"]
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    @property
    def ended(self):
        """Exit status of a process that ended, or None."""
        return None if self.process is None else self.process.returncode

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self._record(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def kill(self):
        """End the process, at the end of a run."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        self._log.close()
