"""Plots of the benchmark as PNG files."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt


def plot_latencies(
    path: Path, title: str, loads: tuple[float, ...], curves: dict[str, list[float]]
) -> None:
    """Plot the p99 in milliseconds by load, one line per policy."""
    figure, axes = plt.subplots(figsize=(8, 5))
    for name, values in curves.items():
        axes.plot([100 * load for load in loads], values, marker="o", label=name)
    axes.set_title(f"p99 by load: {title}")
    axes.set_xlabel("load, % of capacity")
    axes.set_ylabel("p99, ms")
    axes.set_yscale("log")
    axes.legend(fontsize=8)
    axes.grid(True, which="both", alpha=0.3)
    figure.savefig(path, dpi=100, bbox_inches="tight")
    plt.close(figure)


def plot_lines(
    path: Path, title: str, labels: list[str], curves: dict[str, list[float]], unit: str
) -> None:
    """Plot values by label, one line per entry of `curves`."""
    figure, axes = plt.subplots(figsize=(8, 5))
    for name, values in curves.items():
        axes.plot(labels, values, marker="o", label=name)
    axes.set_title(title)
    axes.set_ylabel(unit)
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=8)
    axes.grid(True, alpha=0.3)
    figure.savefig(path, dpi=100, bbox_inches="tight")
    plt.close(figure)
