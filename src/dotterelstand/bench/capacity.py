"""Measures how the cost of control grows with the number of services, hosts and calls.

Cost of control means memory, processor time and the traffic between hosts and to the store.
docs/CAPACITY.md extrapolates the slopes to the size that is expected in two years.
"""

import gc
import random
import sys
import time
import tracemalloc

import fire
import trio
from absl import logging

from dotterelstand.bench.soakcallers import Callers
from dotterelstand.bench.soakfleet import SoakFleet
from dotterelstand.process.daemon import Daemon
from dotterelstand.settings import default_settings
from dotterelstand.standin.freeze import Freezer
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.virtual import run_virtual, seeded_random
from dotterelstand.version.document import build_document

HOST_COUNTS = (3, 6, 12, 24)
SERVICE_COUNTS = (300, 750, 1500, 3000)
RATES_PER_S = (10, 20, 40, 80)
# 26,000 instances in 3,000 services are about nine for each.
TARGETS_PER_SERVICE = 9
SETTLE_S = 10.0
MEASURED_S = 30.0


class Row:
    """Values measured at one size (services, hosts or calls per second), by column title."""

    __slots__ = ("size", "values")

    def __init__(self, size: int, values: dict[str, float]) -> None:
        self.size = size
        self.values = values


def measure_document(services: int) -> Row:
    """Memory and processor time for building and applying a document with `services` services."""
    bodies = {f"team-{number}": _section(number) for number in range(services)}
    gc.collect()
    tracemalloc.start()
    document = build_document(1, bodies).unwrap()
    document_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    build_document(2, bodies).unwrap()
    build_s = time.process_time() - started
    apply_s = run_virtual(_apply, document, seed=1)
    return Row(
        services,
        {"document MB": document_bytes / 1e6, "build ms": build_s * 1e3, "apply ms": apply_s * 1e3},
    )


async def _apply(document: object) -> float:
    network = FakeNetwork(lambda source, destination: 0.0)
    daemon = Daemon(default_settings(), network.at("10.0.0.1"), random.Random(1))
    started = time.process_time()
    daemon.broker.apply(document)  # type: ignore[arg-type]
    return time.process_time() - started


def measure_fleet(hosts: int, rate_per_s: float, seed: int) -> Row:
    """Control traffic and processor time per host.

    `rate_per_s` is the load of the whole fleet in calls per second, 0 for an idle fleet.
    """
    values = run_virtual(_run_fleet, hosts, rate_per_s, seed, seed=seed)
    return Row(hosts if not rate_per_s else int(rate_per_s), values)


async def _run_fleet(hosts: int, rate_per_s: float, seed: int) -> dict[str, float]:
    with Freezer() as freezer:
        async with trio.open_nursery() as nursery:
            fleet = SoakFleet(seed, nursery, freezer)
            await fleet.start(hosts // 3)
            await trio.sleep(SETTLE_S)
            before = _counters(fleet)
            started = time.process_time()
            if rate_per_s:
                async with trio.open_nursery() as caller_nursery:
                    callers = Callers(fleet, caller_nursery, seeded_random(seed, "callers"))
                    caller_nursery.start_soon(callers.run, rate_per_s, MEASURED_S)
            else:
                await trio.sleep(MEASURED_S)
            processor_s = time.process_time() - started
            after = _counters(fleet)
            nursery.cancel_scope.cancel()
    per_host_s = hosts * MEASURED_S
    values = {name: (after[name] - before[name]) / per_host_s for name in after}
    values["core %"] = 100 * processor_s / per_host_s
    return values


def _counters(fleet: SoakFleet) -> dict[str, float]:
    sums = {"peer bytes/s": 0.0, "other-region bytes/s": 0.0, "measuring bytes/s": 0.0}
    for host in fleet.live_hosts():
        assert host.daemon is not None
        counters = host.daemon.metrics.counters()
        local = counters.get("peers.sent_bytes.local", 0)
        other = counters.get("peers.sent_bytes.other", 0)
        sums["peer bytes/s"] += local + other
        sums["other-region bytes/s"] += other
        sums["measuring bytes/s"] += counters.get("measure.sent_bytes", 0)
    sums["store calls/s"] = float(sum(fleet.store.counts.kinds.values()))
    return sums


def _section(number: int) -> str:
    targets = "".join(
        f'[[services.s{number}.targets]]\nname = "s{number}-{index}"\n'
        f'address = "10.{number // 250}.{number % 250}.{index + 1}"\nport = 8000\n'
        'region = "tema"\navailability_zone = "tema-1"\n'
        for index in range(TARGETS_PER_SERVICE)
    )
    route = f'[[routes]]\nprefix = "/s{number}"\nmethods = ["GET"]\nservice = "s{number}"\n'
    return f'owner = "team-{number}"\n[services.s{number}]\nslots = 2\n{targets}{route}'


def format_table(title: str, unit: str, rows: list[Row]) -> str:
    """Format a Markdown table with one line for each size."""
    names = list(rows[0].values)
    lines = [f"### {title}", "", "| " + " | ".join([unit, *names]) + " |"]
    lines.append("| --- " * (len(names) + 1) + "|")
    for row in rows:
        cells = [f"{row.values[name]:.3g}" for name in names]
        lines.append("| " + " | ".join([str(row.size), *cells]) + " |")
    return "\n".join([*lines, ""])


def capacity_report(seed: int) -> str:
    """Measure all slopes and format them as Markdown tables."""
    return "\n".join(
        [
            format_table(
                f"Document, {TARGETS_PER_SERVICE} targets a service",
                "services",
                [measure_document(count) for count in SERVICE_COUNTS],
            ),
            format_table(
                "Idle daemon in a full mesh, each host",
                "hosts",
                [measure_fleet(count, 0, seed) for count in HOST_COUNTS],
            ),
            format_table(
                "Six hosts under load, each host",
                "calls/s in all",
                [measure_fleet(6, rate, seed) for rate in RATES_PER_S],
            ),
        ]
    )


def print_capacity(seed: int = 1) -> None:
    """Print the slopes; processor times include the in-memory network and simulated targets."""
    logging.set_verbosity(logging.ERROR)
    sys.stdout.write(capacity_report(seed))


if __name__ == "__main__":
    fire.Fire(print_capacity)
