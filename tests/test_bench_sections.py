"""The benchmark runs every registered section, and `only` names some of them."""

from pathlib import Path

import pytest

from dotterelstand.bench.__main__ import SECTIONS, run_bench, section_names
from dotterelstand.bench.fleet import region_latency_s

SMALL = ("confirmations", "spread", "at_most_once")


def test_without_only_every_section_runs() -> None:
    """Guards against benches that `make bench` leaves out."""
    assert section_names("") == list(SECTIONS)
    assert {"policy", "slopes", *SMALL} == set(SECTIONS)


@pytest.mark.parametrize("only", ["slopes,spread", ("slopes", "spread")])
def test_only_takes_text_and_tuple(only: str | tuple[str, ...]) -> None:
    """Guards against `--only a,b`, which fire hands over as a tuple, ending in an error."""
    assert section_names(only) == ["slopes", "spread"]


def test_an_unknown_section_is_refused() -> None:
    """Guards against a report that silently lacks a section with a misspelt name."""
    with pytest.raises(SystemExit, match="section spred: not one of policy"):
        section_names("spred")


@pytest.mark.parametrize("name", SMALL)
def test_a_section_writes_figures_seeds_and_plots(name: str, tmp_path: Path) -> None:
    """Guards against sections that cannot run, lose their plots or miss a bound when small."""
    run_bench(1, str(tmp_path), name, 0.01)
    text = (tmp_path / "report.md").read_text(encoding="utf-8")
    assert "Seed 1, scale 0.01" in text
    assert "MISSED" not in text
    plots = sorted(path.name for path in tmp_path.glob("*.png"))
    assert plots
    assert all(f"({plot})" in text for plot in plots)


def test_latencies_are_those_of_the_deployments() -> None:
    """Guards against journal figures for shorter paths than design 1.3 and 2.1 count."""
    assert region_latency_s("r0", "r0") == 0.0005
    assert 2 * region_latency_s("r0", "r1") == 0.024
