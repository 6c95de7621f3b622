"""The parts of a daemon depend on each other in one direction."""

import re
from pathlib import Path

import pytest

PROCESS = Path(__file__).parent.parent / "src" / "dotterelstand" / "process"
SOURCES = sorted(PROCESS.parent.rglob("*.py"))
# Lines of a file, by the house style.
MAX_LINES = 400
IMPORT = re.compile(r"^from dotterelstand\.process\.(\w+)", re.M)
# Each part may import those before it.
ORDER = (
    "telemetry",
    "peering",
    "storage",
    "distribution",
    "idempotency",
    "selection",
    "operation",
    "suspects",
    "discovery",
)


@pytest.mark.parametrize("part", ORDER)
def test_a_part_imports_only_parts_below_it(part: str) -> None:
    """Guards against circles between parts, which make each of them depend on all."""
    allowed = set(ORDER[: ORDER.index(part) + 1])
    for path in (PROCESS / part).glob("*.py"):
        found = set(IMPORT.findall(path.read_text(encoding="utf-8")))
        assert found <= allowed, f"{path.name} imports {sorted(found - allowed)}"


def test_every_part_has_its_place() -> None:
    """Guards against a part that the order leaves out."""
    parts = {path.parent.name for path in PROCESS.glob("*/__init__.py")}
    assert parts == set(ORDER)


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(PROCESS.parent)))
def test_no_file_outgrows_the_limit(path: Path) -> None:
    """Guards against files that do several jobs."""
    assert len(path.read_text(encoding="utf-8").splitlines()) <= MAX_LINES
