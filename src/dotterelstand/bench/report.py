"""Report of the benchmark: figures with their bounds, tables and plots, in Markdown."""

from collections.abc import Callable
from pathlib import Path


class Figure:
    """One measured figure; `bound` is the largest allowed value, None if there is none."""

    __slots__ = ("bound", "name", "value")

    def __init__(self, name: str, value: float, bound: float | None) -> None:
        self.name = name
        self.value = value
        self.bound = bound

    @property
    def verdict(self) -> str:
        """Whether the figure meets its bound, as printed in the report."""
        if self.bound is None:
            return "no bound"
        return "met" if self.value <= self.bound else "MISSED"


class Section:
    """One part of the report: figures, Markdown text and file names of plots."""

    __slots__ = ("figures", "plots", "text", "title")

    def __init__(self, title: str) -> None:
        self.title = title
        self.text: list[str] = []
        self.figures: list[Figure] = []
        self.plots: list[str] = []

    def add_table(self, columns: list[str], rows: list[list[str]]) -> None:
        """Append a Markdown table."""
        lines = ["| " + " | ".join(columns) + " |", "|" + " --- |" * len(columns)]
        lines.extend("| " + " | ".join(row) + " |" for row in rows)
        self.text.extend([*lines, ""])

    def markdown(self) -> str:
        """Format the section as Markdown."""
        parts = [f"## {self.title}", "", *self.text]
        if self.figures:
            parts += ["| figure | measured | bound | verdict |", "| --- | --- | --- | --- |"]
            for figure in self.figures:
                bound = "" if figure.bound is None else f"<= {figure.bound:g}"
                parts.append(f"| {figure.name} | {figure.value:.4g} | {bound} | {figure.verdict} |")
            parts.append("")
        parts.extend(f"![{name}]({name})\n" for name in self.plots)
        return "\n".join(parts)


# Runs a section; takes a seed, a directory for plots and a scale of the run length (1 is full).
SectionRunner = Callable[[int, Path, float], Section]


def write_report(path: Path, seed: int, scale: float, sections: list[Section]) -> None:
    """Write all sections to one file."""
    parts = [f"# Benchmark report\n\nSeed {seed}, scale {scale:g}.\n"]
    parts.extend(section.markdown() for section in sections)
    path.write_text("\n".join(parts), encoding="utf-8")
