"""Prints the measurements of a demo run and exits with code 12 if a check failed."""

import json
import sys
from pathlib import Path
from typing import Any

import fire

from dotterelstand.cli.output import Row, print_table
from dotterelstand.exits import ExitCode

# Substring of the log lines in which a daemon reports a broken invariant (docs/log-events.md).
INVARIANT_LINE = '"event": 190,'


def load_rows(report: dict[str, Any]) -> list[Row]:
    """Return one table row per service and class."""
    columns = ("service", "class", "requests", "p50_ms", "p99_ms", "p99.9_ms", "refused", "unknown")
    return [{column: series[column] for column in columns} for series in report["series"]]


def measure_rows(budgets: dict[str, Any]) -> list[Row]:
    """Return the highest measuring traffic and the lowest budget of all hosts, by kind of link."""
    links: dict[str, list[dict[str, Any]]] = {}
    for pages in budgets["hosts"].values():
        for link in pages["measure"]["links"]:
            kind = "within and between regions" if link["link"] == "all" else "to another region"
            links.setdefault(kind, []).append(link)
    return [
        {
            "measuring": kind,
            "peak_bytes_per_s": max(link["peak_bytes_per_s"] for link in group),
            "budget_bytes_per_s": min(link["budget_bytes_per_s"] for link in group),
        }
        for kind, group in links.items()
    ]


def count_lines(logs: list[Path], text: str) -> int:
    """Return the number of lines in the log files that contain a text."""
    return sum(
        text in line for path in logs for line in path.read_text(errors="replace").splitlines()
    )


def find_failures(report: dict[str, Any], rows: list[Row], logs: list[Path]) -> list[str]:
    """Describe each violation, broken invariant and exceeded budget, and a run without answers."""
    failures = [f"{name}: {count}" for name, count in report["violations"].items()]
    broken_lines = count_lines(logs, INVARIANT_LINE)
    if broken_lines:
        failures.append(f"{broken_lines} log lines report a broken invariant")
    if not any(series["answered"] for series in report["series"]):
        failures.append("no request was answered")
    for row in rows:
        if int(str(row["peak_bytes_per_s"])) > int(str(row["budget_bytes_per_s"])):
            failures.append(f"measuring budget exceeded: {row}")
    return failures


def print_report(load: str, budgets: str, logs: str) -> None:
    """Print the result tables of one deployment.

    Args:
        load: JSON report of the load tool
        budgets: output of `dotterelstand budgets --json`
        logs: directory with the logs of the daemons
    """
    report = json.loads(Path(load).read_text(encoding="utf-8"))
    rows = measure_rows(json.loads(Path(budgets).read_text(encoding="utf-8")))
    print_table(load_rows(report))
    print()
    print_table(rows, "no measuring budget is reported")
    if report["not_sent"]:
        print(f"{report['not_sent']} planned requests were not sent: too many in flight")
    failures = find_failures(report, rows, sorted(Path(logs).glob("entry-*.log")))
    for failure in failures:
        print(f"FAULT {failure}", file=sys.stderr)
    if failures:
        sys.exit(ExitCode.INVARIANT_BROKEN)


if __name__ == "__main__":
    fire.Fire(print_report)
