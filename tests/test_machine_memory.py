"""The memory of a host whose settings don't say it is that which the system grants the process."""

import math
import resource
from pathlib import Path

import pytest

from dotterelstand.process import machinememory
from dotterelstand.process.limits import MEMORY_SHARE, OWN_BYTES, max_connections, memory_budget
from dotterelstand.process.machinememory import find_memory_bytes
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.settings import parse_settings

KB = 1024
NO_LIMIT = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)


@pytest.mark.parametrize(
    ("files", "limit", "expected"),
    [
        ({}, NO_LIMIT, math.inf),
        ({"meminfo": "MemTotal:  2048 kB\nMemFree:  1 kB\n"}, NO_LIMIT, 2048 * KB),
        ({"meminfo": "MemTotal:  2048 kB\n"}, (1000, 2000), 1000),
        ({"self/cgroup": "0::/a/b\n", "groups/a/b/memory.max": "700\n"}, NO_LIMIT, 700),
        ({"self/cgroup": "0::/a/b\n", "groups/a/memory.max": "600\n"}, NO_LIMIT, 600),
        ({"self/cgroup": "0::/a\n", "groups/a/memory.max": "max\n"}, NO_LIMIT, math.inf),
        (
            {
                "self/cgroup": "3:cpu:/c\n4:memory:/a\n",
                "groups/memory/a/memory.limit_in_bytes": "500\n",
                "groups/memory/c/memory.limit_in_bytes": "100\n",
            },
            NO_LIMIT,
            500,
        ),
    ],
)
def test_least_limit_applies(
    files: dict[str, str],
    limit: tuple[int, int],
    expected: float,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against hosts without any bound on what callers hold."""
    for name, text in files.items():
        (tmp_path / name).parent.mkdir(parents=True, exist_ok=True)
        (tmp_path / name).write_text(text)
    monkeypatch.setattr(machinememory.resource, "getrlimit", lambda kind: limit)
    assert find_memory_bytes(tmp_path, tmp_path / "groups") == expected


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "expected_bytes", "connections"),
    [
        (0, 4100, None, 2000),
        (1, 4100, 300_000, 9),
        (300, 4100, 79_500_000, 2000),
        (200, 4100, 49_500_000, 1510),
        (300, 1024, 79_500_000, 512),
        (300, resource.RLIM_INFINITY, 79_500_000, 2000),
    ],
)
def test_limits_of_a_host(
    memory_mb: int,
    descriptors: int,
    expected_bytes: float | None,
    connections: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against more connections than the memory and the descriptors of a host allow."""
    settings = parse_settings(f"[host]\nmemory_mb = {memory_mb}\n", "test").unwrap()
    budget = memory_budget(settings, Metrics(100))
    if expected_bytes is None:
        expected_bytes = (find_memory_bytes() - OWN_BYTES) * MEMORY_SHARE
    assert budget.limit_bytes == pytest.approx(expected_bytes)
    monkeypatch.setattr(resource, "getrlimit", lambda kind: (descriptors, descriptors))
    assert max_connections(settings, budget.limit_bytes) == connections
