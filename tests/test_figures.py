"""Counter attributes of components are exported, and every control page can be read."""

import random

import trio

from dotterelstand.codes import Result
from dotterelstand.process.daemon import Daemon
from dotterelstand.process.idempotency.journalservice import JournalFigures
from dotterelstand.process.storage.callbudget import CallFigures, Kind, Priority
from dotterelstand.process.telemetry.counters import read_counters, sum_counters
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.settings import parse_settings
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.virtual import run_virtual


def test_mappings_and_attributes_become_counters() -> None:
    """Guards against counters that are missing from the metrics."""
    calls = CallFigures()
    calls.calls[Kind.READ, Priority.LEASE] = 3
    calls.failed = 2
    counters = read_counters(calls)
    assert counters["store.calls.read.lease"] == 3
    assert counters["store.failed"] == 2
    assert "store.breaker" not in counters
    one, other = JournalFigures(), JournalFigures()
    one.refused[Result.STORE_UNAVAILABLE] = other.refused[Result.STORE_UNAVAILABLE] = 1
    assert sum_counters([one, other])["journal.refused.2007"] == 2


def test_sources_are_counted_and_sent_once() -> None:
    """Guards against flushes that send a component's whole total to statsd, not its increase."""

    class Sink:
        sent: list[dict[str, int]] = []

        def send(self, increments: dict[str, int]) -> int:
            self.sent.append(increments)
            return 0

    totals = {"peers.sent": 5}
    metrics = Metrics(8, Sink())  # type: ignore[arg-type]
    metrics.add_source(lambda: dict(totals))
    metrics.flush()
    totals["peers.sent"] = 3
    metrics.flush()
    totals["peers.sent"] = 4
    metrics.flush()
    assert Sink.sent == [{"peers.sent": 5}, {}, {"peers.sent": 1}]
    assert metrics.snapshot().counters["peers.sent"] == 4


def test_every_page_of_a_daemon_can_be_read() -> None:
    """Guards against a control page that fails after a change to a component."""

    async def main() -> dict[str, object]:
        network = FakeNetwork(lambda source, destination: 0.001)
        settings = parse_settings("[listen]\nclose_grace_s = 0\n", "t").unwrap()
        daemon = Daemon(settings, network.at("127.0.0.1"), random.Random(1))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(daemon.run)
            await trio.sleep(1)
            registry = daemon.registry
            pages = {name: await registry.read(name) for name in registry.names()}
            daemon.stop()
        return pages

    pages = run_virtual(main, seed=1)
    expected = ["budgets", "counters", "document", "histograms", "members", "ownership"]
    assert sorted(pages) == [*expected, "quarantine", "settings", "status", "targets"]
    assert pages["members"] == [
        {
            "host": "entry-1",
            "region": "local",
            "availability_zone": "local-1",
            "leaving": False,
            "hub": True,
        }
    ]
    budgets = pages["budgets"]
    assert isinstance(budgets, dict)
    assert budgets["measure"]["links"][0]["peak_bytes_per_s"] == 0
    assert budgets["store"]["breaker"] == "open"
