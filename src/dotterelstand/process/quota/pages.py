"""Control page, counters and readiness check of quotas."""

from dotterelstand.process.operation.control import ControlRegistry
from dotterelstand.process.quota.service import QuotaService
from dotterelstand.process.telemetry.counters import read_counters
from dotterelstand.process.telemetry.metrics import Metrics


def register_quota(registry: ControlRegistry, metrics: Metrics, quota: QuotaService) -> None:
    """Register page, counters and check; the check fails while the host knows no limits."""
    registry.provide("quotas", quota.page)
    registry.add_check("quota", quota.is_able)
    metrics.add_source(lambda: read_counters(quota.node.counters))
