"""The packages of a daemon depend on each other in one direction."""

import re
from pathlib import Path

import pytest

PROCESS = Path(__file__).parent.parent / "src" / "dotterelstand" / "process"
SOURCES = sorted(PROCESS.parent.rglob("*.py"))
# Maximum number of lines of a source file.
MAX_LINES = 400
IMPORT = re.compile(r"^from dotterelstand\.process\.(\w+)", re.M)
# Each package may import those before it.
ORDER = (
    "telemetry",
    "peering",
    "storage",
    "distribution",
    "idempotency",
    "selection",
    "operation",
    "suspects",
    "quota",
    "discovery",
)


@pytest.mark.parametrize("package", ORDER)
def test_a_package_imports_only_those_before_it(package: str) -> None:
    """Guards against import cycles, which make each package depend on all others."""
    allowed = set(ORDER[: ORDER.index(package) + 1])
    for path in (PROCESS / package).glob("*.py"):
        found = set(IMPORT.findall(path.read_text(encoding="utf-8")))
        assert found <= allowed, f"{path.name} imports {sorted(found - allowed)}"


def test_the_order_contains_every_package() -> None:
    """Guards against a package that is missing from `ORDER`, so that its imports go unchecked."""
    packages = {path.parent.name for path in PROCESS.glob("*/__init__.py")}
    assert packages == set(ORDER)


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(PROCESS.parent)))
def test_no_file_exceeds_the_line_limit(path: Path) -> None:
    """Guards against files with several responsibilities."""
    assert len(path.read_text(encoding="utf-8").splitlines()) <= MAX_LINES
