"""Counters and latency histograms of one process, with bounded memory and statsd output."""

from collections.abc import Callable, Container, Iterator
from types import TracebackType

import statsd
from hdrh.histogram import HdrHistogram

from dotterelstand.settings import Settings

MAX_LATENCY_US = 120_000_000
# Significant digits; with two, a series takes about 22 kB and quantiles err by at most 1%.
LATENCY_DIGITS = 2
# Service, class and workspace of the series that collects the latencies of all further combinations
# once `metrics.max_series` is reached.
OVERFLOW = ("overflow", "overflow", "overflow")

# Workspace label of requests without a workspace, and of workspaces that are not in the document.
DEFAULT_WORKSPACE = "default"
OTHER_WORKSPACE = "other"

SeriesKey = tuple[str, str, str]


class Series:
    """Encoded latency histogram in microseconds of one service, class and workspace."""

    __slots__ = ("encoded", "klass", "service", "workspace")

    def __init__(self, service: str, klass: str, workspace: str, encoded: str) -> None:
        self.service = service
        self.klass = klass
        self.workspace = workspace
        self.encoded = encoded


class MetricsSnapshot:
    """Counters since the start of the process, and all latency series."""

    __slots__ = ("counters", "series")

    def __init__(self, counters: dict[str, int], series: list[Series]) -> None:
        self.counters = counters
        self.series = series


class StatsdSink:
    """Sends counter increments to statsd over UDP; drops datagrams that would block."""

    __slots__ = ("_client",)

    def __init__(self, address: str, port: int, prefix: str) -> None:
        self._client = _NonBlockingClient(address, port, prefix)

    def send(self, increments: dict[str, int]) -> int:
        """Send the increments in as few datagrams as possible; returns the number dropped."""
        dropped = self._client.dropped
        with self._client.pipeline() as pipeline:
            for name, amount in increments.items():
                pipeline.incr(name, amount)
        return self._client.dropped - dropped

    def close(self) -> None:
        """Close the socket."""
        self._client.close()


class _NonBlockingClient(statsd.StatsClient):
    def __init__(self, address: str, port: int, prefix: str) -> None:
        super().__init__(address, port, prefix, ipv6=":" in address)
        self._sock.setblocking(False)
        self.dropped = 0

    def _send(self, data: str) -> None:
        try:
            self._sock.sendto(data.encode("ascii", "replace"), self._addr)
        except OSError:
            self.dropped += 1


class Metrics:
    """Counters and latencies of one process; a context manager that closes the statsd socket."""

    __slots__ = (
        "_counters",
        "_flushed_counters",
        "_max_series",
        "_series",
        "_sink",
        "_sources",
        "_workspaces",
    )

    def __init__(self, max_series: int, sink: StatsdSink | None = None) -> None:
        self._max_series = max_series
        self._sink = sink
        # Created first, so that the limit on counters never excludes the overflow counter.
        self._counters: dict[str, int] = {"metrics.counters_overflowed": 0}
        self._flushed_counters: dict[str, int] = {}
        self._sources: list[Callable[[], dict[str, int]]] = []
        self._series: dict[SeriesKey, HdrHistogram] = {}
        self._workspaces: Container[str] | None = None

    def __enter__(self) -> "Metrics":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.flush()
        if self._sink is not None:
            self._sink.close()

    def add_source(self, read: Callable[[], dict[str, int]]) -> None:
        """Include counters that a component keeps itself; their names must be unique."""
        self._sources.append(read)

    def limit_workspaces(self, workspaces: Container[str]) -> None:
        """Keep separate series for these workspaces only; all other names share one series.

        Callers choose the names, so without this limit a caller that sends a new name with each
        request would use up the series of all workspaces.
        """
        self._workspaces = workspaces

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter; docs/counters.md lists the names."""
        assert amount >= 0, (name, amount)
        if name not in self._counters and len(self._counters) >= self._max_series:
            self.count("metrics.counters_overflowed", amount)
            return
        self._counters[name] = self._counters.get(name, 0) + amount

    def record_latency(self, service: str, klass: str, workspace: str, seconds: float) -> None:
        """Record the duration of one request."""
        if (
            self._workspaces is not None
            and workspace not in self._workspaces
            and workspace != DEFAULT_WORKSPACE
        ):
            workspace = OTHER_WORKSPACE
        key = (service, klass, workspace)
        histogram = self._series.get(key)
        if histogram is None:
            histogram = self._add_series(key)
        histogram.record_value(min(MAX_LATENCY_US, max(1, int(seconds * 1e6))))

    def value(self, name: str) -> int:
        """Value of a counter since the start of the process."""
        return self._counters.get(name, 0)

    def snapshot(self) -> MetricsSnapshot:
        """Copy of all counters and series, which can be merged with those of other hosts."""
        return MetricsSnapshot(self.counters(), list(self.series()))

    def series(self) -> Iterator[Series]:
        """Generate the latency series, encoding each on demand."""
        for key, histogram in list(self._series.items()):
            yield Series(*key, histogram.encode().decode("ascii"))

    def histograms(self) -> list[tuple[SeriesKey, HdrHistogram]]:
        """Latencies in microseconds by service, class and workspace."""
        return list(self._series.items())

    def monotonic_counters(self) -> dict[str, int]:
        """Counters that `count` increases; unlike those from `add_source`, they never decrease."""
        return dict(self._counters)

    def counters(self) -> dict[str, int]:
        """Copy of all counters, including those from `add_source`."""
        counters = dict(self._counters)
        for read in self._sources:
            counters.update(read())
        return counters

    def flush(self) -> None:
        """Send counter increments since the last flush to statsd, if it is enabled."""
        if self._sink is None:
            return
        counters = self.counters()
        # Counters of bytes on open links decrease when a link closes; statsd gets increases only.
        increments = {
            name: amount - self._flushed_counters.get(name, 0)
            for name, amount in counters.items()
            if amount > self._flushed_counters.get(name, 0)
        }
        self._flushed_counters = counters
        dropped = self._sink.send(increments)
        if dropped:
            self.count("metrics.datagrams_dropped", dropped)

    def _add_series(self, key: SeriesKey) -> HdrHistogram:
        # The overflow series counts towards `max_series`, so one place is left for it.
        if len(self._series) >= self._max_series - 1 and key != OVERFLOW:
            self.count("metrics.series_overflowed")
            key = OVERFLOW
        if key not in self._series:
            self._series[key] = new_histogram()
        return self._series[key]


def new_histogram() -> HdrHistogram:
    """Empty latency histogram in microseconds, mergeable with the others."""
    return HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)


def build_metrics(settings: Settings) -> Metrics:
    """Metrics with the limits and the statsd output of the settings."""
    sink = None
    if settings.flag("metrics", "enabled"):
        sink = StatsdSink(
            settings.text("metrics", "statsd_address"),
            settings.integer("metrics", "statsd_port"),
            settings.text("metrics", "prefix"),
        )
    return Metrics(settings.integer("metrics", "max_series"), sink)


def merge_series(snapshots: list[list[Series]]) -> dict[SeriesKey, HdrHistogram]:
    """Merged histogram of each series over several hosts.

    Raises `ValueError` if a series is not an encoded histogram.
    """
    merged: dict[SeriesKey, HdrHistogram] = {}
    for series in snapshots:
        for item in series:
            key = (item.service, item.klass, item.workspace)
            histogram = merged.setdefault(key, new_histogram())
            histogram.add(_decode(item.encoded))
    return merged


def _decode(encoded: str) -> HdrHistogram:
    try:
        return HdrHistogram.decode(encoded)
    except Exception as error:  # hdrh raises its own, unrelated exception types
        raise ValueError(f"not an encoded histogram: {error!r}") from error
