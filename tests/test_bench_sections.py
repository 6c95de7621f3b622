"""Selection of the benchmark's sections with `only`, and small runs of some of them."""

from pathlib import Path

import pytest

from dotterelstand.bench.__main__ import SECTIONS, run_bench, section_names
from dotterelstand.bench.fleet import region_latency_s

QUICK_SECTIONS = ("confirmations", "spread", "at_most_once")


def test_without_only_every_section_runs() -> None:
    """Guards against sections that `make bench` does not run."""
    assert section_names("") == list(SECTIONS)
    assert {"policy", "slopes", *QUICK_SECTIONS} == set(SECTIONS)


@pytest.mark.parametrize("only", ["slopes,spread", ("slopes", "spread")])
def test_only_takes_text_and_tuple(only: str | tuple[str, ...]) -> None:
    """Guards against an error for `--only a,b`, which fire parses as a tuple."""
    assert section_names(only) == ["slopes", "spread"]


def test_an_unknown_section_is_refused() -> None:
    """Guards against a report without a section because its name was misspelt."""
    with pytest.raises(SystemExit, match="section spred: not one of policy"):
        section_names("spred")


@pytest.mark.parametrize("name", QUICK_SECTIONS)
def test_a_section_writes_figures_seeds_and_plots(name: str, tmp_path: Path) -> None:
    """Guards against sections that fail, write no plots or miss a bound at a scale of 0.01."""
    run_bench(1, str(tmp_path), name, 0.01)
    text = (tmp_path / "report.md").read_text(encoding="utf-8")
    assert "Seed 1, scale 0.01" in text
    assert "MISSED" not in text
    plots = sorted(path.name for path in tmp_path.glob("*.png"))
    assert plots
    assert all(f"({plot})" in text for plot in plots)


def test_latencies_are_those_of_the_deployments() -> None:
    """Guards against journal benchmarks at latencies below those of design 1.3 and 2.1."""
    assert region_latency_s("r0", "r0") == 0.0005
    assert 2 * region_latency_s("r0", "r1") == 0.024
