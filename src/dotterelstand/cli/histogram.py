"""Latency histograms merged over hosts, as rows and as a plot."""

from pathlib import Path

from hdrh.histogram import HdrHistogram
from returns.result import Failure, Result, Success

from dotterelstand.cli.output import Row
from dotterelstand.exits import ExitCode, ToolError
from dotterelstand.process.telemetry.metrics import Series, SeriesKey, merge_series, new_histogram

QUANTILES = (50.0, 90.0, 99.0, 99.9)


def parse_series(page: object) -> list[Series]:
    """Parse the series of a host's `histograms` page; raises `ValueError` if it is malformed."""
    if not isinstance(page, list):
        raise ValueError("the histograms page is not a list")
    try:
        return [
            Series(item["service"], item["class"], item["tenant"], item["encoded"]) for item in page
        ]
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed series: {error!r}") from error


def merge_pages(
    pages: list[object], service: str, by_workspace: bool
) -> Result[dict[SeriesKey, HdrHistogram], ToolError]:
    """Merge histograms over all hosts, per service and class (and workspace), in microseconds."""
    try:
        merged = merge_series([parse_series(page) for page in pages])
    except ValueError as error:
        return Failure(ToolError(ExitCode.HOST_REFUSED, str(error)))
    chosen: dict[SeriesKey, HdrHistogram] = {}
    for (name, klass, workspace), histogram in sorted(merged.items()):
        if service and name != service:
            continue
        key = (name, klass, workspace if by_workspace else "all")
        chosen.setdefault(key, new_histogram()).add(histogram)
    return Success(chosen)


def histogram_rows(histograms: dict[SeriesKey, HdrHistogram]) -> list[Row]:
    """Return one row per series with its count and quantiles in milliseconds."""
    rows = []
    for (service, klass, workspace), histogram in histograms.items():
        row: Row = {"service": service, "class": klass, "tenant": workspace}
        row["requests"] = histogram.get_total_count()
        for quantile in QUANTILES:
            row[f"p{quantile:g}_ms"] = histogram.get_value_at_percentile(quantile) / 1000
        row["max_ms"] = histogram.get_max_value() / 1000
        rows.append(row)
    return rows


def plot_histograms(histograms: dict[SeriesKey, HdrHistogram], path: Path) -> None:
    """Write a PNG with one latency curve per series; raises `OSError`."""
    # Imported lazily, since loading matplotlib takes longer than running any other command.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 5))
    # The x axis is 1 / (1 - quantile) on a logarithmic scale, which stretches the tail as in HDR
    # plots.
    steps = [1 - 10 ** (-index / 20) for index in range(81)]
    for (service, klass, workspace), histogram in histograms.items():
        label = " / ".join(part for part in (service, klass, workspace) if part != "all")
        values = [histogram.get_value_at_percentile(100 * step) / 1000 for step in steps]
        axes.plot([1 / (1 - step) for step in steps], values, label=label)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xticks([1, 2, 10, 100, 1000, 10000], ["0", "50", "90", "99", "99.9", "99.99"])
    axes.set_xlabel("percentile of requests")
    axes.set_ylabel("latency in ms")
    axes.grid(True, which="major", alpha=0.3)
    if histograms:
        axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
