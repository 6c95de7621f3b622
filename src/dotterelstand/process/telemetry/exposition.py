"""Serves counters and histograms in the Prometheus text format."""

import re
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

from dotterelstand.connection.control import ControlAnswer, ControlRequest, ControlServer
from dotterelstand.connection.network import Network
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.settings import Settings

METRICS_PATH = "/metrics"
# Maximum number of concurrent connections; further connections are closed.
MAX_CONNECTIONS = 4
MAX_BODY_BYTES = 1024
# Maximum duration of a scrape in seconds.
TIMEOUT_S = 5.0
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Upper bounds of the histogram buckets in seconds; they cover the latencies of known deployments.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.8, 1.0, 1.5, 2.5, 5.0, 10.0)
# Counters that are exported with a label: their name without the last component, and the label's
# name. The last component of the name is the label's value.
VALUE_LABELS = {"requests.result": "code", "requests.no_retry": "reason"}
_INVALID_NAME_CHARACTERS = re.compile("[^a-z0-9_]")


class MetricsPort:
    """Port that answers `GET /metrics` in the Prometheus text format."""

    __slots__ = ("_metrics", "_settings", "port")

    def __init__(self, settings: Settings, metrics: Metrics) -> None:
        self._settings = settings
        self._metrics = metrics
        self.port = 0

    async def run(self, network: Network) -> None:
        """Serve until cancelled, if enabled in the settings; raises `OSError`."""
        if not self._settings.flag("metrics", "served"):
            return
        listener = await network.listen(
            self._settings.text("metrics", "address"), self._settings.integer("metrics", "port")
        )
        self.port = listener.port
        server = ControlServer(self._answer, MAX_CONNECTIONS, MAX_BODY_BYTES, TIMEOUT_S)
        await server.serve(listener)

    async def _answer(self, request: ControlRequest) -> ControlAnswer:
        if request.path != METRICS_PATH or request.method not in ("GET", "HEAD"):
            return ControlAnswer(404, {"found": request.path})
        return ControlAnswer(200, render_metrics(self._metrics), TEXT_TYPE)


def render_metrics(metrics: Metrics) -> str:
    """All counters and histograms in the text format."""
    # Imported lazily, since the library takes 2.5 MB that hosts without scrapers don't need.
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))  # type: ignore[arg-type]
    return generate_latest(registry).decode()


class _Collector:
    """Adapts `Metrics`, whose counters need no declaration, to a Prometheus collector."""

    __slots__ = ("_metrics",)

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[object]:
        """Metric families of all counters and latency histograms."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        monotonic_counters = self._metrics.monotonic_counters()
        families: dict[str, CounterMetricFamily | GaugeMetricFamily] = {}
        for name, amount in sorted(self._metrics.counters().items()):
            base, label, value = _split_label(name)
            family = families.get(base)
            if family is None:
                kind = CounterMetricFamily if name in monotonic_counters else GaugeMetricFamily
                labels = [label] if label else []
                family = kind(_metric_name(base), f"{base}, see docs/counters.md", labels=labels)
                families[base] = family
            family.add_metric([value] if label else [], amount)
        yield from families.values()
        latencies = HistogramMetricFamily(
            "dotterelstand_request_duration_seconds",
            "Time from a request's head to the end of its answer.",
            labels=["service", "route_class", "tenant"],
        )
        for key, histogram in self._metrics.histograms():
            buckets, total = _buckets(histogram)
            latencies.add_metric(list(key), buckets, sum_value=total)
        yield latencies


def _split_label(name: str) -> tuple[str, str, str]:
    base, _, value = name.rpartition(".")
    return (base, VALUE_LABELS[base], value) if base in VALUE_LABELS else (name, "", "")


def _metric_name(name: str) -> str:
    return "dotterelstand_" + _INVALID_NAME_CHARACTERS.sub("_", name.lower())


def _buckets(histogram: HdrHistogram) -> tuple[list[tuple[str, float]], float]:
    """Cumulative count up to each bucket's bound, and the sum of all durations in seconds."""
    counts = [0] * (len(BUCKETS_S) + 1)
    total = 0.0
    for item in histogram.get_recorded_iterator():
        seconds = item.value_iterated_to / 1e6
        amount = item.count_added_in_this_iter_step
        total += seconds * amount
        index = next((i for i, bound in enumerate(BUCKETS_S) if seconds <= bound), len(BUCKETS_S))
        counts[index] += amount
    cumulative = 0
    buckets: list[tuple[str, float]] = []
    for bound, count in zip([*map(str, BUCKETS_S), "+Inf"], counts, strict=True):
        cumulative += count
        buckets.append((bound, cumulative))
    return buckets, total
