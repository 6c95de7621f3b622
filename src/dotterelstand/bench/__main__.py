"""Runs the benchmark sections and writes one report."""

from pathlib import Path

import fire

from dotterelstand.bench.report import SectionRunner, write_report

SECTIONS: dict[str, str] = {
    "policy": "dotterelstand.bench.policy:run_policy",
    "slopes": "dotterelstand.bench.slopes:run_slopes",
}


def _load(path: str) -> SectionRunner:
    from importlib import import_module

    module, name = path.split(":")
    runner: SectionRunner = getattr(import_module(module), name)
    return runner


def run_bench(seed: int = 1, out: str = "out/bench", only: str = "", scale: float = 1.0) -> None:
    """Write `report.md` and its plots to a directory; `only` names sections, comma-separated."""
    directory = Path(out)
    directory.mkdir(parents=True, exist_ok=True)
    names = only.split(",") if only else list(SECTIONS)
    sections = []
    for name in names:
        section = _load(SECTIONS[name])(seed, directory, scale)
        sections.append(section)
        for figure in section.figures:
            print(f"{name}: {figure.name}: {figure.value:.4g} ({figure.verdict})", flush=True)
    write_report(directory / "report.md", seed, scale, sections)


if __name__ == "__main__":
    fire.Fire(run_bench)
