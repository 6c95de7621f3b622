"""Memory that a process may use, for hosts whose settings don't say it."""

import math
import re
import resource
from pathlib import Path

PROC = Path("/proc")
CONTROL_GROUPS = Path("/sys/fs/cgroup")
# Files with a group's limit, of both versions of control groups.
LIMIT_FILES = ("memory.max", "memory.limit_in_bytes")


def find_memory_bytes(proc: Path = PROC, control_groups: Path = CONTROL_GROUPS) -> float:
    """Bytes of memory that this process may use; infinite if the system doesn't say it.

    The least of the machine's memory, the limits of the process's control group and of the groups
    above, and the limits of its address space and its data.
    """
    found = [_machine_bytes(proc), *_group_limits(proc, control_groups)]
    for kind in (resource.RLIMIT_AS, resource.RLIMIT_DATA):
        limit, _ = resource.getrlimit(kind)
        if limit != resource.RLIM_INFINITY:
            found.append(limit)
    return min(found)


def _machine_bytes(proc: Path) -> float:
    match = re.search(r"^MemTotal:\s*(\d+) kB", _read(proc / "meminfo"), re.M)
    return math.inf if match is None else int(match[1]) * 1024


def _group_limits(proc: Path, control_groups: Path) -> list[float]:
    limits: list[float] = []
    for line in _read(proc / "self" / "cgroup").splitlines():
        # "0::/path" in version 2, "number:controllers:/path" in version 1.
        _, controllers, path = line.split(":", 2)
        if controllers and "memory" not in controllers.split(","):
            continue
        root = control_groups / "memory" if controllers else control_groups
        group = root / path.strip("/")
        for folder in (group, *group.parents):
            limits += [
                int(text) for name in LIMIT_FILES if (text := _read(folder / name)).isdigit()
            ]
            if folder == root:
                break
    return limits


def _read(path: Path) -> str:
    """Text of a file without its last line feed; empty if it can't be read."""
    try:
        return path.read_text(encoding="ascii", errors="replace").strip()
    except OSError:
        return ""
