"""Names of the users' platform occur only in its adapter."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "src" / "dotterelstand"
SOURCES = sorted(path for path in ROOT.rglob("*.py") if path.parent.name != "platform")
# Names of fields, headers and object kinds that occur only in the platform's protocol.
NAMES = (
    "x-dotterelstand",
    "pathPrefix",
    "routeType",
    "trafficSplit",
    "timeoutS",
    "targetLatencyS",
    "resourceType",
    "healthPath",
    "maxConns",
    "warmupLeftS",
    "warmupPerS",
    "apiKeys",
    "store-era",
    "ratePerS",
    "allowedRegions",
    "currentRev",
    "waitMs",
    "hasMore",
    "staleOk",
    "/dotterelstand/objects",
)


@pytest.mark.parametrize("name", NAMES)
def test_no_name_of_the_platform_stands_outside_its_adapter(name: str) -> None:
    """Guards against code outside the adapter that depends on the platform's protocol."""
    flags = re.IGNORECASE if name.startswith("x-") else 0
    pattern = re.compile(rf"(?<![A-Za-z]){re.escape(name)}(?![A-Za-z])", flags)
    found = [str(path) for path in SOURCES if pattern.search(path.read_text(encoding="utf-8"))]
    assert not found


@pytest.mark.parametrize("name", NAMES)
def test_the_adapter_uses_each_name(name: str) -> None:
    """Guards against names in `NAMES` that the adapter no longer uses."""
    text = "".join(path.read_text(encoding="utf-8") for path in (ROOT / "platform").glob("*.py"))
    assert name.lower() in text.lower()
