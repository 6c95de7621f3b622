"""Counters and histograms in the Prometheus text format."""

import pytest
from platform_support import PlatformFleet, run_on_platform
from prometheus_client.parser import text_string_to_metric_families

from dotterelstand.process.telemetry.exposition import BUCKETS_S, render_metrics
from dotterelstand.process.telemetry.metrics import Metrics


def _samples(text: str) -> dict[tuple[str, frozenset[tuple[str, str]]], float]:
    return {
        (sample.name, frozenset(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_counters_become_samples_with_labels() -> None:
    """Guards against missing counters, and values from `add_source` exported as type counter."""
    metrics = Metrics(64)
    metrics.count("requests.result.1000", 3)
    metrics.count("requests.result.2002")
    metrics.add_source(lambda: {"store.calls.read": 7})
    samples = _samples(render_metrics(metrics))
    name = "dotterelstand_requests_result_total"
    assert samples[name, frozenset({("code", "1000")})] == 3
    assert samples[name, frozenset({("code", "2002")})] == 1
    assert samples["dotterelstand_store_calls_read", frozenset()] == 7


@pytest.mark.parametrize(
    ("seconds", "below", "above"), [(0.004, 0.005, None), (0.26, 0.3, 0.2), (60.0, None, 10.0)]
)
def test_latencies_become_cumulative_buckets(
    seconds: float, below: float | None, above: float | None
) -> None:
    """Guards against buckets that make a scraper compute wrong quantiles."""
    metrics = Metrics(64)
    for _ in range(5):
        metrics.record_latency("quote", "interactive", "default", seconds)
    samples = _samples(render_metrics(metrics))
    labels = {("service", "quote"), ("route_class", "interactive"), ("tenant", "default")}
    name = "dotterelstand_request_duration_seconds"

    def count_up_to(bound: float | str) -> float:
        return samples[f"{name}_bucket", frozenset({*labels, ("le", str(bound))})]

    assert samples[f"{name}_count", frozenset(labels)] == count_up_to("+Inf") == 5
    assert samples[f"{name}_sum", frozenset(labels)] == pytest.approx(5 * seconds, rel=0.02)
    assert below is None or count_up_to(below) == 5
    assert above is None or count_up_to(above) == 0
    counts = [count_up_to(bound) for bound in BUCKETS_S]
    assert counts == sorted(counts)


def test_a_daemon_serves_its_metrics() -> None:
    """Guards against a metrics address that does not answer."""

    async def scenario(fleet: PlatformFleet) -> str:
        await fleet.call()
        stream = await fleet.network.open_stream("10.0.0.1", "10.0.0.3", 9464)
        await stream.send_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        data = b""
        while chunk := await stream.receive_some(65536):
            data += chunk
        return data.decode()

    head, _, body = run_on_platform(scenario).partition("\r\n\r\n")
    assert head.startswith("HTTP/1.1 200") and "text/plain" in head
    samples = _samples(body)
    assert samples["dotterelstand_requests_result_total", frozenset({("code", "1000")})] == 1
