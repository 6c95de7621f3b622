"""Control pages and counters of the store client and the journal of the native protocol."""

from dotterelstand.process.idempotency.journalservice import JournalService
from dotterelstand.process.operation.control import ControlRegistry
from dotterelstand.process.peering.mesh import Mesh
from dotterelstand.process.peering.peers import Peers
from dotterelstand.process.storage.store import StoreClient
from dotterelstand.process.telemetry.counters import read_counters, sum_counters
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.settings import Settings


def register_store_pages(
    registry: ControlRegistry,
    metrics: Metrics,
    settings: Settings,
    store: StoreClient,
    peers: Peers,
    journal: JournalService,
) -> None:
    """Register the control pages and counters of the store client and the journal."""
    registry.provide("ownership", lambda: _ownership_rows(journal, peers))
    registry.provide("budgets.store", lambda: _store_budget(store, settings))
    metrics.add_source(lambda: read_counters(store.budget.figures))
    metrics.add_source(lambda: read_counters(journal.figures))
    metrics.add_source(lambda: read_counters(journal.outcome_figures))
    metrics.add_source(lambda: sum_counters([item.figures for item in journal.partitions]))
    metrics.add_source(lambda: sum_counters([item.record_figures for item in journal.partitions]))


def _ownership_rows(journal: JournalService, mesh: Mesh) -> list[dict[str, object]]:
    rows: list[dict[str, object]] = []
    for number, partition in enumerate(journal.partitions):
        owner, epoch = journal.owner_of(number) or (None, None)
        if partition.epoch:
            owner, epoch = mesh.host, partition.epoch
        records = None if partition.journal is None else partition.journal.record_count
        rows.append({"partition": number, "owner": owner, "epoch": epoch, "records": records})
    return rows


def _store_budget(store: StoreClient, settings: Settings) -> dict[str, object]:
    figures = store.budget.figures
    return {
        "breaker": figures.breaker.value,
        "available": store.budget.available,
        "reads_per_s_limit": settings.number("store", "reads_per_s"),
        "writes_per_s_limit": settings.number("store", "writes_per_s"),
        **read_counters(figures),
    }
