"""Cost of distributing a document version, for three methods and growing fleets and documents.

Run `python -m dotterelstand.bench.spread --seed 1`. Everything runs in virtual time over the
in-memory network. Bytes are counted within regions and between them, including those to and from
the store.
"""

from collections.abc import Iterable
from pathlib import Path

import fire
import numpy
import trio

from dotterelstand.bench import report
from dotterelstand.bench.plots import plot_lines
from dotterelstand.connection.wire import Manifest, Section
from dotterelstand.process.distribution.distributor import DocumentDistributor
from dotterelstand.standin.entryfleet import STORE_ADDRESS, Fleet
from dotterelstand.standin.virtual import run_virtual
from dotterelstand.version.accept import MANIFEST_NAME, SectionEdit, section_object_name
from dotterelstand.version.manifest import ManifestRecord, SectionEntry, parse_manifest
from dotterelstand.version.model import section_digest

CHANGES = 8
CHANGE_SPACING_S = 4.0
# Bounds on the time until a version is in force, at the two-year size and in today's deployments.
IN_FORCE_BOUND_S = 14.0
IN_FORCE_BOUND_TODAY_S = 3.0
IDLE_PERIOD_S = 30.0
# Maximum time for hosts that start together to read 3,000 sections one after the other, at the
# longest latency.
COLD_START_TIMEOUT_S = 300.0
METHODS = ("announce", "push", "watch")
FLEET_SIZES = (8, 16, 24, 32, 64)
DOCUMENT_SIZES = (30, 100, 300, 1000, 3000)
# Sizes for quick runs; the larger sizes take minutes.
SMALL_DOCUMENT_SIZES = (30, 100)
SMALL_FLEET_SIZES = (8, 16)
COLUMNS = (
    "way",
    "hosts",
    "sections",
    "bytes per change: within regions",
    "between regions, hosts",
    "between regions, store",
    "calls per change",
    "idle bytes/s per host between regions",
    "in force after, s",
)


class PushDistributor(DocumentDistributor):
    """Baseline in which a watcher sends the whole document to every peer in its region."""

    __slots__ = ("_pushed_manifest",)

    def __init__(self, *parts: object) -> None:
        super().__init__(*parts)  # type: ignore[arg-type]
        self._pushed_manifest: ManifestRecord | None = None
        self._peers.subscribe(Manifest, self._receive_manifest)
        self._peers.subscribe(Section, self._receive_section)

    def _announce(self) -> None:
        for host in self._peers.linked():
            if self._peers.region_of(host) == self._peers.region:
                self._peers.send(host, Manifest(self._record.body, self._record.number))
                for digest in self._record.digests().values():
                    body = self._cache.body(digest)
                    assert body is not None
                    self._peers.send(host, Section(body.encode(), digest))

    def _receive_manifest(self, host: str, message: Manifest) -> None:
        record = parse_manifest(message.body).unwrap()
        if record.number > self.number:
            self._pushed_manifest = record

    def _receive_section(self, host: str, message: Section) -> None:
        self._cache.put(message.digest, message.body)
        record = self._pushed_manifest
        if record is not None and not self._cache.missing(record.digests().values()):
            self._pushed_manifest = None
            trio.lowlevel.spawn_system_task(self._apply_record, record)


class SpreadFigures:
    """Result of one run; bytes and calls are per change, less the traffic of an idle fleet."""

    __slots__ = (
        "calls",
        "cross_region_host_bytes",
        "cross_region_store_bytes",
        "idle_bytes_per_s",
        "in_force_s",
        "within_region_bytes",
    )

    def __init__(
        self,
        within_region_bytes: float,
        cross_region_host_bytes: float,
        cross_region_store_bytes: float,
        calls: float,
        idle_bytes_per_s: float,
        in_force_s: float,
    ) -> None:
        self.within_region_bytes = within_region_bytes
        self.cross_region_host_bytes = cross_region_host_bytes
        self.cross_region_store_bytes = cross_region_store_bytes
        self.calls = calls
        self.idle_bytes_per_s = idle_bytes_per_s
        self.in_force_s = in_force_s


def section_body(section: int, port: int) -> str:
    """Text of a section of about 1 KB: a service with nine targets and a route."""
    lines = [f'owner = "team-{section}"', f"[services.s{section}]", "slots = 4", "targets = ["]
    for index in range(9):
        name = f"s{section}-{index}"
        address = f"10.{section // 250}.{section % 250}.{index}"
        lines.append(
            f'{{ name = "{name}", address = "{address}", port = {port}, region = "r{index % 4}", '
            f'availability_zone = "r{index % 4}-1" }},'
        )
    lines += ["]", "[[routes]]", f'prefix = "/s{section}"', f'service = "s{section}"']
    return "\n".join(lines) + "\n"


def fill_store(fleet: Fleet, sections: int) -> None:
    """Write version 1 of the document, with the given number of sections, to the store."""
    entries = {}
    for number in range(sections):
        body = section_body(number, 9000)
        digest = section_digest(body)
        fleet.store.put(section_object_name(digest), body.encode(), {})
        entries[f"section-{number}"] = SectionEntry(
            digest, 1, f"team-{number}", "ama.mensah", "2026-12-04T07:00:00Z"
        )
    fleet.store.put(MANIFEST_NAME, ManifestRecord(1, "0" * 16, entries).body, {})


def _traffic(fleet: Fleet) -> tuple[int, int, int]:
    """Count the bytes sent so far.

    Returns three sums: within regions, between hosts of different regions, and between the store
    and hosts of other regions.
    """
    within_regions = hosts = store = 0
    for (source, destination), amount in fleet.network.traffic.items():
        if source.split("/")[0] == destination.split("/")[0]:
            within_regions += amount
        elif STORE_ADDRESS in (source, destination):
            store += amount
        else:
            hosts += amount
    return within_regions, hosts, store


async def _measure(method: str, hosts: int, sections: int, seed: int) -> SpreadFigures:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, hosts, seed, documents=True)
        if method == "watch":
            fleet.settings = {"document": {"watchers_per_region": hosts}}
        elif method == "push":
            fleet.distributor_class = PushDistributor
        fill_store(fleet, sections)
        await fleet.start_all()
        while set(fleet.applied_versions().values()) != {1}:
            assert trio.current_time() < COLD_START_TIMEOUT_S, fleet.applied_versions()
            await trio.sleep(1)
        await trio.sleep(IDLE_PERIOD_S)
        idle_traffic = _traffic(fleet)
        calls = _store_calls(fleet)
        await trio.sleep(IDLE_PERIOD_S)
        idle_rates = [
            (current - previous) / IDLE_PERIOD_S
            for current, previous in zip(_traffic(fleet), idle_traffic, strict=True)
        ]
        idle_calls = (_store_calls(fleet) - calls) / IDLE_PERIOD_S
        started, before, calls = trio.current_time(), _traffic(fleet), _store_calls(fleet)
        delays = [await _measure_change(fleet, number) for number in range(CHANGES)]
        elapsed = trio.current_time() - started
        after = _traffic(fleet)
        nursery.cancel_scope.cancel()
    bytes_per_change = [
        (current - previous - rate * elapsed) / CHANGES
        for current, previous, rate in zip(after, before, idle_rates, strict=True)
    ]
    calls_per_change = (_store_calls(fleet) - calls - idle_calls * elapsed) / CHANGES
    return SpreadFigures(
        bytes_per_change[0],
        bytes_per_change[1],
        bytes_per_change[2],
        calls_per_change,
        sum(idle_rates[1:]) / hosts,
        max(delays),
    )


async def _measure_change(fleet: Fleet, number: int) -> float:
    """Submit one change; returns the seconds from acceptance until it is in force on all hosts."""
    section = number % 3
    edited = SectionEdit(
        f"section-{section}", section_body(section, 9100 + number), "ama", "2026-12-04"
    )
    version = (await fleet.document_editor("entry-00", number).submit(edited)).unwrap()
    accepted = trio.current_time()
    await trio.sleep(CHANGE_SPACING_S)
    while set(fleet.applied_versions().values()) != {version}:
        assert trio.current_time() < accepted + IN_FORCE_BOUND_S, fleet.applied_versions()
        await trio.sleep(0.1)
    times = {name: at for at, name, applied in fleet.applied if applied == version}
    return max(times.values()) - accepted


def _store_calls(fleet: Fleet) -> int:
    return sum(fleet.store.counts.kinds.values())


def measure(method: str, hosts: int, sections: int, seed: int) -> SpreadFigures:
    """Measure one method with one fleet size and one document size."""
    return run_virtual(_measure, method, hosts, sections, seed, seed=seed)


def _row(method: str, hosts: int, sections: int, figures: SpreadFigures) -> list[str]:
    return [
        method,
        str(hosts),
        str(sections),
        f"{figures.within_region_bytes:.0f}",
        f"{figures.cross_region_host_bytes:.0f}",
        f"{figures.cross_region_store_bytes:.0f}",
        f"{figures.calls:.1f}",
        f"{figures.idle_bytes_per_s:.0f}",
        f"{figures.in_force_s:.3f}",
    ]


def _print_rows(rows: Iterable[tuple[str, int, int]], seed: int) -> None:
    print("| " + " | ".join(COLUMNS) + " |")
    print("|" + " --- |" * len(COLUMNS))
    for method, hosts, sections in rows:
        figures = measure(method, hosts, sections, seed)
        print("| " + " | ".join(_row(method, hosts, sections, figures)) + " |", flush=True)


def run_section(seed: int, out: Path, scale: float) -> report.Section:
    """Section of the report; a scale below 1 leaves out the sizes that take minutes."""
    section = report.Section("Spread of the document")
    section.text.append(f"Seed {seed}, {CHANGES} changes each, virtual time.\n")
    fleet_sizes = FLEET_SIZES if scale >= 1 else SMALL_FLEET_SIZES
    document_sizes = DOCUMENT_SIZES if scale >= 1 else SMALL_DOCUMENT_SIZES
    by_method = [(method, 16, 30) for method in METHODS]
    by_fleet = [("announce", hosts, 30) for hosts in fleet_sizes]
    by_document = [("announce", 16, sections) for sections in document_sizes]
    # The smallest document at 16 hosts belongs to all three tables and is measured once.
    results = {
        key: measure(*key, seed) for key in dict.fromkeys(by_method + by_fleet + by_document)
    }
    for title, keys in (("Ways", by_method), ("Fleet", by_fleet), ("Document", by_document)):
        section.text.append(f"{title}:\n")
        section.add_table(list(COLUMNS), [_row(*key, results[key]) for key in keys])
    _add_growth(section, out, "host", fleet_sizes, [results[key] for key in by_fleet])
    _add_growth(section, out, "section", document_sizes, [results[key] for key in by_document])
    for sections in (document_sizes[0], document_sizes[-1]):
        bound = IN_FORCE_BOUND_TODAY_S if sections < 1000 else IN_FORCE_BOUND_S
        delay_s = results["announce", 16, sections].in_force_s
        section.figures.append(
            report.Figure(f"in force, 16 hosts, {sections} sections, s", delay_s, bound)
        )
    return section


def _add_growth(
    section: report.Section,
    out: Path,
    unit: str,
    sizes: tuple[int, ...],
    results: list[SpreadFigures],
) -> None:
    """Plot the bytes by size and add the slopes of bytes and calls."""
    curves = {
        "within regions": [figures.within_region_bytes for figures in results],
        "between regions, hosts": [figures.cross_region_host_bytes for figures in results],
        "between regions, store": [figures.cross_region_store_bytes for figures in results],
    }
    for name, values in {**curves, "store calls": [figures.calls for figures in results]}.items():
        slope = float(numpy.polyfit(sizes, values, 1)[0])
        label = name if name == "store calls" else f"bytes {name}"
        section.figures.append(report.Figure(f"{label}, per change and {unit}", slope, None))
    file = f"spread-by-{unit}.png"
    in_kb = {name: [value / 1000 for value in values] for name, values in curves.items()}
    plot_lines(out / file, f"Bytes per change by {unit}s", [str(s) for s in sizes], in_kb, "KB")
    section.plots.append(file)


def run_spread(seed: int = 1, large: bool = True) -> None:
    """Print the tables; `large` adds the document sizes that take minutes."""
    print(f"seed {seed}, {CHANGES} changes each\n")
    _print_rows(((method, 16, 30) for method in METHODS), seed)
    print("\nFleet size at 30 sections\n")
    _print_rows((("announce", hosts, 30) for hosts in FLEET_SIZES), seed)
    print("\nDocument size at 16 hosts\n")
    sizes = DOCUMENT_SIZES if large else SMALL_DOCUMENT_SIZES
    _print_rows((("announce", 16, sections) for sections in sizes), seed)


if __name__ == "__main__":
    fire.Fire(run_spread)
