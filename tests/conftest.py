"""Marks the tests listed in KNOWN-RED.txt as expected failures and prints them."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def _known_red_tests() -> dict[str, str]:
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [line.split(" | ") for line in lines if line.startswith("tests/")]
    return {fields[0].strip(): " | ".join(fields[1:]) for fields in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; one that passes again fails the run."""
    known = _known_red_tests()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(strict=True, reason=known[item.nodeid]))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures at the end of the run."""
    for nodeid, note in _known_red_tests().items():
        terminalreporter.write_line(f"KNOWN RED: {nodeid} | {note}")
