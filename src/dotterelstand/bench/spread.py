"""Cost of bringing a document version into force, for three ways and growing fleets.

Run `python -m dotterelstand.bench.spread --seed 1`. Everything runs in virtual time over the
in-memory network; bytes are those that cross from one region to another, the store's included.
"""

from collections.abc import Iterable
from pathlib import Path

import fire
import numpy
import trio

from dotterelstand.bench import report
from dotterelstand.bench.plots import plot_lines
from dotterelstand.connection.wire import Manifest, Section
from dotterelstand.process.distribution.spread import DocumentSpread
from dotterelstand.standin.entryfleet import STORE_ADDRESS, Fleet
from dotterelstand.standin.virtual import run_virtual
from dotterelstand.version.accept import HEAD, Change, section_object
from dotterelstand.version.manifest import ManifestRecord, SectionEntry, parse_manifest
from dotterelstand.version.model import section_digest

CHANGES = 8
SPACING_S = 4.0
# Bound at the two-year size, and that of today's deployments.
IN_FORCE_S = 14.0
IN_FORCE_TODAY_S = 3.0
IDLE_S = 30.0
# A fleet that starts at once reads 3,000 sections over the longest latency, one at a time.
COLD_START_S = 300.0
WAYS = ("announce", "push", "watch")
FLEET_SIZES = (8, 16, 24, 32, 64)
DOCUMENT_SIZES = (30, 100, 300, 1000, 3000)
# Without the large sizes, which take minutes.
SMALL_DOCUMENT_SIZES = (30, 100)
SMALL_FLEET_SIZES = (8, 16)
HEADS = (
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


class PushSpread(DocumentSpread):
    """Baseline: a watcher sends the whole document to every peer of its region."""

    __slots__ = ("_pushed",)

    def __init__(self, *parts: object) -> None:
        super().__init__(*parts)  # type: ignore[arg-type]
        self._pushed: ManifestRecord | None = None
        self._peers.subscribe(Manifest, self._take_manifest)
        self._peers.subscribe(Section, self._take_section)

    def _announce(self) -> None:
        for host in self._peers.linked():
            if self._peers.region_of(host) == self._peers.region:
                self._peers.send(host, Manifest(self._record.body, self._record.number))
                for digest in self._record.digests().values():
                    body = self._cache.body(digest)
                    assert body is not None
                    self._peers.send(host, Section(body.encode(), digest))

    def _take_manifest(self, host: str, message: Manifest) -> None:
        record = parse_manifest(message.body).unwrap()
        if record.number > self.number:
            self._pushed = record

    def _take_section(self, host: str, message: Section) -> None:
        self._cache.put(message.digest, message.body)
        record = self._pushed
        if record is not None and not self._cache.missing(record.digests().values()):
            self._pushed = None
            trio.lowlevel.spawn_system_task(self._put_in_force, record)


class Figures:
    """Result of one run; bytes and calls are per change, without those of idle time."""

    __slots__ = (
        "calls",
        "host_bytes",
        "idle_bytes_per_s",
        "in_force_s",
        "inner_bytes",
        "store_bytes",
    )

    def __init__(
        self,
        inner_bytes: float,
        host_bytes: float,
        store_bytes: float,
        calls: float,
        idle_bytes_per_s: float,
        in_force_s: float,
    ) -> None:
        self.inner_bytes = inner_bytes
        self.host_bytes = host_bytes
        self.store_bytes = store_bytes
        self.calls = calls
        self.idle_bytes_per_s = idle_bytes_per_s
        self.in_force_s = in_force_s


def body_of(section: int, port: int) -> str:
    """Section of about 1 KB: a service with nine targets and a route."""
    lines = [f'owner = "team-{section}"', f"[services.s{section}]", "slots = 4", "targets = ["]
    for place in range(9):
        name = f"s{section}-{place}"
        address = f"10.{section // 250}.{section % 250}.{place}"
        lines.append(
            f'{{ name = "{name}", address = "{address}", port = {port}, region = "r{place % 4}", '
            f'availability_zone = "r{place % 4}-1" }},'
        )
    lines += ["]", "[[routes]]", f'prefix = "/s{section}"', f'service = "s{section}"']
    return "\n".join(lines) + "\n"


def fill_store(fleet: Fleet, sections: int) -> None:
    """Put a first version with so many sections into the store."""
    entries = {}
    for number in range(sections):
        body = body_of(number, 9000)
        digest = section_digest(body)
        fleet.store.put(section_object(digest), body.encode(), {})
        entries[f"section-{number}"] = SectionEntry(
            digest, 1, f"team-{number}", "ama.mensah", "2026-12-04T07:00:00Z"
        )
    fleet.store.put(HEAD, ManifestRecord(1, "0" * 16, entries).body, {})


def _traffic(fleet: Fleet) -> tuple[int, int, int]:
    """Bytes so far: within regions, between regions among hosts, and there with the store."""
    inner = hosts = store = 0
    for (source, destination), amount in fleet.network.traffic.items():
        if source.split("/")[0] == destination.split("/")[0]:
            inner += amount
        elif STORE_ADDRESS in (source, destination):
            store += amount
        else:
            hosts += amount
    return inner, hosts, store


async def _measure(way: str, hosts: int, sections: int, seed: int) -> Figures:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, hosts, seed, documents=True)
        if way == "watch":
            fleet.settings = {"document": {"watchers_per_region": hosts}}
        elif way == "push":
            fleet.spread_class = PushSpread
        fill_store(fleet, sections)
        await fleet.start_all()
        while set(fleet.applied_versions().values()) != {1}:
            assert trio.current_time() < COLD_START_S, fleet.applied_versions()
            await trio.sleep(1)
        await trio.sleep(IDLE_S)
        idle = _traffic(fleet)
        calls = _calls(fleet)
        await trio.sleep(IDLE_S)
        idle_rates = [
            (now - then) / IDLE_S for now, then in zip(_traffic(fleet), idle, strict=True)
        ]
        idle_calls = (_calls(fleet) - calls) / IDLE_S
        began, before, calls = trio.current_time(), _traffic(fleet), _calls(fleet)
        delays = [await _change(fleet, number) for number in range(CHANGES)]
        elapsed = trio.current_time() - began
        after = _traffic(fleet)
        nursery.cancel_scope.cancel()
    extra = [
        (now - then - rate * elapsed) / CHANGES
        for now, then, rate in zip(after, before, idle_rates, strict=True)
    ]
    per_change = (_calls(fleet) - calls - idle_calls * elapsed) / CHANGES
    return Figures(
        extra[0], extra[1], extra[2], per_change, sum(idle_rates[1:]) / hosts, max(delays)
    )


async def _change(fleet: Fleet, number: int) -> float:
    """Accept one change; returns the seconds until the last host has it."""
    section = number % 3
    edited = Change(f"section-{section}", body_of(section, 9100 + number), "ama", "2026-12-04")
    version = (await fleet.acceptor("entry-00", number).submit(edited)).unwrap()
    accepted = trio.current_time()
    await trio.sleep(SPACING_S)
    while set(fleet.applied_versions().values()) != {version}:
        assert trio.current_time() < accepted + IN_FORCE_S, fleet.applied_versions()
        await trio.sleep(0.1)
    times = {name: at for at, name, applied in fleet.applied if applied == version}
    return max(times.values()) - accepted


def _calls(fleet: Fleet) -> int:
    return sum(fleet.store.counts.kinds.values())


def measure(way: str, hosts: int, sections: int, seed: int) -> Figures:
    """Figures of one way, fleet size and document size."""
    return run_virtual(_measure, way, hosts, sections, seed, seed=seed)


def _row(way: str, hosts: int, sections: int, found: Figures) -> list[str]:
    return [
        way,
        str(hosts),
        str(sections),
        f"{found.inner_bytes:.0f}",
        f"{found.host_bytes:.0f}",
        f"{found.store_bytes:.0f}",
        f"{found.calls:.1f}",
        f"{found.idle_bytes_per_s:.0f}",
        f"{found.in_force_s:.3f}",
    ]


def _print_rows(rows: Iterable[tuple[str, int, int]], seed: int) -> None:
    print("| " + " | ".join(HEADS) + " |")
    print("|" + " --- |" * len(HEADS))
    for way, hosts, sections in rows:
        found = measure(way, hosts, sections, seed)
        print("| " + " | ".join(_row(way, hosts, sections, found)) + " |", flush=True)


def run_section(seed: int, out: Path, scale: float) -> report.Section:
    """Section of the report; a scale below 1 leaves out the sizes that take minutes."""
    section = report.Section("Spread of the document")
    section.text.append(f"Seed {seed}, {CHANGES} changes each, virtual time.\n")
    fleet_sizes = FLEET_SIZES if scale >= 1 else SMALL_FLEET_SIZES
    document_sizes = DOCUMENT_SIZES if scale >= 1 else SMALL_DOCUMENT_SIZES
    by_way = [(way, 16, 30) for way in WAYS]
    by_fleet = [("announce", hosts, 30) for hosts in fleet_sizes]
    by_document = [("announce", 16, sections) for sections in document_sizes]
    # The smallest document at 16 hosts belongs to all three tables and is measured once.
    found = {key: measure(*key, seed) for key in dict.fromkeys(by_way + by_fleet + by_document)}
    for title, keys in (("Ways", by_way), ("Fleet", by_fleet), ("Document", by_document)):
        section.text.append(f"{title}:\n")
        section.add_table(list(HEADS), [_row(*key, found[key]) for key in keys])
    _add_growth(section, out, "host", fleet_sizes, [found[key] for key in by_fleet])
    _add_growth(section, out, "section", document_sizes, [found[key] for key in by_document])
    for sections in (document_sizes[0], document_sizes[-1]):
        bound = IN_FORCE_TODAY_S if sections < 1000 else IN_FORCE_S
        delay_s = found["announce", 16, sections].in_force_s
        section.figures.append(
            report.Figure(f"in force, 16 hosts, {sections} sections, s", delay_s, bound)
        )
    return section


def _add_growth(
    section: report.Section, out: Path, unit: str, sizes: tuple[int, ...], found: list[Figures]
) -> None:
    """Plot the bytes by size and add the slopes of bytes and calls."""
    curves = {
        "within regions": [figures.inner_bytes for figures in found],
        "between regions, hosts": [figures.host_bytes for figures in found],
        "between regions, store": [figures.store_bytes for figures in found],
    }
    for name, values in {**curves, "store calls": [figures.calls for figures in found]}.items():
        slope = float(numpy.polyfit(sizes, values, 1)[0])
        what = name if name == "store calls" else f"bytes {name}"
        section.figures.append(report.Figure(f"{what}, per change and {unit}", slope, None))
    file = f"spread-by-{unit}.png"
    in_kb = {name: [value / 1000 for value in values] for name, values in curves.items()}
    plot_lines(out / file, f"Bytes per change by {unit}s", [str(s) for s in sizes], in_kb, "KB")
    section.plots.append(file)


def run_spread(seed: int = 1, large: bool = True) -> None:
    """Print the tables; `large` adds the sizes that take minutes."""
    print(f"seed {seed}, {CHANGES} changes each\n")
    _print_rows(((way, 16, 30) for way in WAYS), seed)
    print("\nFleet size at 30 sections\n")
    _print_rows((("announce", hosts, 30) for hosts in FLEET_SIZES), seed)
    print("\nDocument size at 16 hosts\n")
    sizes = DOCUMENT_SIZES if large else SMALL_DOCUMENT_SIZES
    _print_rows((("announce", 16, sections) for sections in sizes), seed)


if __name__ == "__main__":
    fire.Fire(run_spread)
