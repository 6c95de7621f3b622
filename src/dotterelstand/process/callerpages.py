"""Control page of what the connections of callers hold."""

from dotterelstand.process.frontend import CallerFrontend
from dotterelstand.process.operation.control import ControlRegistry


def register_callers(registry: ControlRegistry, frontend: CallerFrontend) -> None:
    """Register the page `budgets.callers`."""
    registry.provide("budgets.callers", lambda: _caller_budget(frontend))


def _caller_budget(frontend: CallerFrontend) -> dict[str, object]:
    memory = frontend.memory
    return {
        "held_bytes": memory.used_bytes,
        "limit_bytes": int(memory.limit_bytes) if memory.is_limited else "none",
        "connections": frontend.open_connections,
        "max_connections": frontend.max_connections,
        "ending": memory.ending,
    }
