"""Runs the benchmark sections and writes one report."""

import sys
from collections.abc import Sequence
from pathlib import Path

import fire

from dotterelstand.bench.report import SectionRunner, write_report

SECTIONS: dict[str, str] = {
    "policy": "dotterelstand.bench.policy:run_policy",
    "slopes": "dotterelstand.bench.slopes:run_slopes",
    "confirmations": "dotterelstand.bench.confirmations:run_section",
    "spread": "dotterelstand.bench.spread:run_section",
    "at_most_once": "dotterelstand.bench.at_most_once:run_section",
}


def _load(path: str) -> SectionRunner:
    from importlib import import_module

    module, name = path.split(":")
    runner: SectionRunner = getattr(import_module(module), name)
    return runner


def section_names(only: str | Sequence[str]) -> list[str]:
    """Sections to run, all if `only` is empty; fire parses `a,b` as a tuple."""
    names = only.split(",") if isinstance(only, str) else list(only)
    unknown = [name for name in names if name and name not in SECTIONS]
    if unknown:
        sys.exit(f"section {unknown[0]}: not one of {', '.join(SECTIONS)}")
    return [name for name in names if name] or list(SECTIONS)


def run_bench(
    seed: int = 1, out: str = "out/bench", only: str | Sequence[str] = "", scale: float = 1.0
) -> None:
    """Write `report.md` and its plots to a directory; `only` names sections, comma-separated."""
    names = section_names(only)
    directory = Path(out)
    directory.mkdir(parents=True, exist_ok=True)
    sections = []
    for name in names:
        section = _load(SECTIONS[name])(seed, directory, scale)
        sections.append(section)
        for figure in section.figures:
            print(f"{name}: {figure.name}: {figure.value:.4g} ({figure.verdict})", flush=True)
    write_report(directory / "report.md", seed, scale, sections)


if __name__ == "__main__":
    fire.Fire(run_bench)
