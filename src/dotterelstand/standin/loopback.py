"""Rewrites an example deployment for loopback addresses, so that it runs on one machine."""

import json
import re
import sys
import tomllib
from pathlib import Path
from typing import Any

import fire
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.exits import ExitCode

ADDRESS = "127.0.0.1"
# Ports relative to the base port: 0 for the store, then three per entry host, then one per target.
ENTRY_OFFSET = 10
TARGET_OFFSET = 100
MAX_BASE_PORT = 60000
# The examples have two availability zones in each region; each gets one entry host at most.
MAX_PER_REGION = 2

_TARGET = re.compile(
    r'\{ name = "(?P<name>[^"]+)", address = "[^"]+", port = \d+, '
    r'region = "(?P<region>[^"]+)", availability_zone = "(?P<zone>[^"]+)" \}'
)


class LoopbackTarget:
    """One target on a loopback port."""

    __slots__ = ("availability_zone", "name", "port", "service", "slots")

    def __init__(
        self, name: str, service: str, availability_zone: str, slots: int, port: int
    ) -> None:
        self.name = name
        self.service = service
        self.availability_zone = availability_zone
        self.slots = slots
        self.port = port


class LoopbackDeployment:
    """Writes the sections, settings files and target lists of one example."""

    __slots__ = ("_base_port", "_example", "_out", "_per_region", "targets")

    def __init__(self, example: Path, out: Path, base_port: int, per_region: int) -> None:
        self._example = example
        self._out = out
        self._base_port = base_port
        self._per_region = per_region
        self.targets: list[LoopbackTarget] = []

    def write(self) -> None:
        """Write all files to the output directory; raises `OSError` or `ValueError`."""
        (self._out / "document").mkdir(parents=True, exist_ok=True)
        for path in sorted((self._example / "document").glob("*.toml")):
            self._write_section(path)
        paths = sorted((self._example / "settings").glob("entry-*.toml"))
        entries = [(path, zone) for zone in range(1, self._per_region + 1) for path in paths]
        for index, (path, zone) in enumerate(entries):
            values = self._entry_settings(path, index, len(entries), zone)
            _write_settings(self._out / f"{values['host']['name']}.toml", values)
        values = tomllib.loads((self._example / "settings" / "tool.toml").read_text())
        values["store"]["url"] = f"http://{ADDRESS}:{self._base_port}"
        values["tool"]["hosts"] = self._addresses(len(entries), "control")
        _write_settings(self._out / "tool.toml", values)
        self._write_lists(len(entries))

    def _write_section(self, path: Path) -> None:
        text = path.read_text(encoding="utf-8")
        services = tomllib.loads(text).get("services", {})
        slots = {
            target["name"]: (name, int(service.get("slots", 2)))
            for name, service in services.items()
            for target in service["targets"]
        }

        def replace_address(match: re.Match[str]) -> str:
            name, region, zone = match["name"], match["region"], match["zone"]
            port = self._base_port + TARGET_OFFSET + len(self.targets)
            self.targets.append(LoopbackTarget(name, slots[name][0], zone, slots[name][1], port))
            return (
                f'{{ name = "{name}", address = "{ADDRESS}", port = {port}, '
                f'region = "{region}", availability_zone = "{zone}" }}'
            )

        target_count = len(self.targets)
        rewritten = _TARGET.sub(replace_address, text)
        if len(self.targets) - target_count != len(slots):
            raise ValueError(
                f"{path}: each target must be on a line of its own, as in the examples"
            )
        (self._out / "document" / path.name).write_text(rewritten, encoding="utf-8")

    def _entry_settings(self, path: Path, index: int, count: int, zone: int) -> dict[str, Any]:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
        # The example has settings for host 1 of each region; host n is placed in zone n.
        host = values["host"]
        host["name"] = f"entry-{host['region']}-{zone}"
        host["availability_zone"] = f"{host['region']}-{zone}"
        for section in ("listen", "peers", "control"):
            values[section]["address"] = ADDRESS
            values[section]["port"] = self._port(index, section)
        peers = self._addresses(count, "peers")
        values["peers"]["seeds"] = [peer for other, peer in enumerate(peers) if other != index]
        values["store"]["url"] = f"http://{ADDRESS}:{self._base_port}"
        return values

    def _write_lists(self, entries: int) -> None:
        groups: dict[str, list[dict[str, object]]] = {}
        for target in self.targets:
            instance = {"name": target.name, "port": target.port, "slots": target.slots}
            groups.setdefault(f"{target.service}@{target.availability_zone}", []).append(instance)
        (self._out / "targets.json").write_text(json.dumps(groups, indent=1))
        lists = {
            "entries": self._addresses(entries, "listen"),
            "control": self._addresses(entries, "control"),
            "targets": [f"{ADDRESS}:{target.port}" for target in self.targets],
        }
        for name, addresses in lists.items():
            (self._out / f"{name}.txt").write_text(",".join(addresses) + "\n")

    def _port(self, index: int, section: str) -> int:
        offset = ("listen", "peers", "control").index(section)
        return self._base_port + ENTRY_OFFSET + 3 * index + offset

    def _addresses(self, entries: int, section: str) -> list[str]:
        return [f"{ADDRESS}:{self._port(index, section)}" for index in range(entries)]


def _write_settings(path: Path, values: dict[str, Any]) -> None:
    lines = []
    for section, keys in values.items():
        lines.append(f"[{section}]")
        # Strings, numbers, booleans and lists of strings have the same syntax in JSON and TOML.
        lines.extend(f"{key} = {json.dumps(value)}" for key, value in keys.items())
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def write_loopback_example(
    example: Path, out: Path, base_port: int, per_region: int = 1
) -> Result[LoopbackDeployment, str]:
    """Write an example for loopback ports from `base_port` on; fails with an error message."""
    if not 1024 <= base_port <= MAX_BASE_PORT:
        return Failure(f"base_port: found {base_port}; 1024 to {MAX_BASE_PORT}")
    if not 1 <= per_region <= MAX_PER_REGION:
        return Failure(f"per_region: found {per_region}; 1 to {MAX_PER_REGION}")
    loopback = LoopbackDeployment(example, out, base_port, per_region)
    try:
        loopback.write()
    except (OSError, ValueError, KeyError) as error:
        return Failure(f"{example}: {error!r}")
    return Success(loopback)


def run_loopback(example: str, out: str, base_port: int, per_region: int = 1) -> None:
    """Write an example deployment for loopback ports.

    Args:
        example: directory of the example
        out: output directory
        base_port: first port; about 200 consecutive ports are used
        per_region: number of entry hosts in each region
    """
    result = write_loopback_example(Path(example), Path(out), base_port, per_region)
    if not is_successful(result):
        print(f"loopback: {result.failure()}", file=sys.stderr)
        sys.exit(ExitCode.FILE_UNREADABLE)
    print(f"{len(result.unwrap().targets)} targets")


if __name__ == "__main__":
    fire.Fire(run_loopback)
