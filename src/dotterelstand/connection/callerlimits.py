"""Bounds on the connections of callers."""

from dotterelstand.connection.memorybudget import MemoryBudget
from dotterelstand.version.model import CallerBounds

# Number of dropped bytes from which the ids of requests that were not served are read.
MAX_LEFT_OVER_BYTES = 4096


class CallerLimits:
    """Bounds on caller connections, and the memory that all of them may hold; times in seconds.

    All connections of a host share one instance, so that a new document applies to open ones, too.
    """

    __slots__ = ("_default_bounds", "body_idle_timeout_s", "bounds", "linger_s", "memory")

    def __init__(
        self,
        default_bounds: CallerBounds,
        body_idle_timeout_s: float,
        linger_s: float,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._default_bounds = default_bounds
        self.bounds = default_bounds
        self.body_idle_timeout_s = body_idle_timeout_s
        self.linger_s = linger_s
        self.memory = memory or MemoryBudget()

    def apply_bounds(self, bounds: CallerBounds | None) -> None:
        """Apply the bounds of a document, or those of the settings if it has none."""
        self.bounds = bounds or self._default_bounds
