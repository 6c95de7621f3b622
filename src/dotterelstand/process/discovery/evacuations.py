"""Availability zones that are evacuated, as seen by one entry host; does no I/O, reads no clock."""

from collections import deque
from collections.abc import Collection, Iterable
from enum import Enum

# Seconds for which an evacuation stays in force after the store was restored from a copy that lacks
# it, in which the operator repeats the write.
RESTORED_GRACE_S = 3.0
# Maximum number of zones kept that the settings do not name; further ones are ignored.
MAX_UNKNOWN_ZONES = 256
# Maximum number of changes that wait to be logged; beyond it, the oldest are dropped.
MAX_CHANGES = 64


class ZoneChange(Enum):
    """Kind of change of an availability zone."""

    EVACUATED = "evacuated"
    RETURNED = "returned"
    # An evacuation of a zone that the settings do not name; it has no effect.
    UNKNOWN = "unknown"


class Evacuations:
    """Evacuated zones, and those that have returned so recently that their targets may be cold.

    Times are in seconds. `read` tells whether the list of evacuations was read, or its first read
    failed; before that, it is not known which targets may be used.
    """

    __slots__ = (
        "_missing",
        "_restored_at",
        "_returned",
        "_unknown",
        "_zones",
        "changes",
        "read",
        "warmup_s",
    )

    def __init__(self) -> None:
        self._zones: set[str] = set()
        # Unknown zones that were logged, in the order in which they came.
        self._unknown: dict[str, None] = {}
        # Time at which each evacuation that a restored store lacks ends.
        self._missing: dict[str, float] = {}
        self._returned: dict[str, float] = {}
        self._restored_at = float("-inf")
        # Seconds for which the targets of a zone that returns may be cold.
        self.warmup_s = 0.0
        self.read = False
        self.changes: deque[tuple[ZoneChange, str]] = deque(maxlen=MAX_CHANGES)

    @property
    def zones(self) -> frozenset[str]:
        """Evacuated zones, some of which may be unknown."""
        return frozenset(self._zones)

    @property
    def returned(self) -> frozenset[str]:
        """Zones whose targets may be cold since the evacuation ended recently."""
        return frozenset(self._returned)

    def replace(self, zones: Collection[str], known: Collection[str], now: float) -> None:
        """Apply a complete list; `known` are the zones that the settings name."""
        self.read = True
        for zone in self._zones.difference(zones):
            self.end(zone, now)
        self.begin(zones, known)

    def begin(self, zones: Iterable[str], known: Collection[str]) -> None:
        """Begin evacuations, or confirm those that a restored store lacked."""
        for zone in zones:
            self._missing.pop(zone, None)
            if zone in self._zones:
                continue
            if zone in known:
                self.changes.append((ZoneChange.EVACUATED, zone))
            elif not self._add_unknown(zone):
                continue
            self._returned.pop(zone, None)
            self._zones.add(zone)

    def end(self, zone: str, now: float) -> None:
        """End an evacuation, after a grace period if the store has just been restored."""
        if zone not in self._zones:
            return
        ends_at = self._restored_at + RESTORED_GRACE_S
        if now < ends_at:
            self._missing[zone] = ends_at
            return
        self._missing.pop(zone, None)
        self._zones.remove(zone)
        if zone not in self._unknown:
            self.changes.append((ZoneChange.RETURNED, zone))
            if self.warmup_s > 0:
                self._returned[zone] = now + self.warmup_s

    def mark_store_restored(self, now: float) -> None:
        """Record that the store was restored from a copy, before its lists are applied."""
        self._restored_at = now

    def expire(self, now: float) -> bool:
        """End the grace and warm-up periods that are over; True if there were any."""
        ended = [zone for zone, ends_at in self._missing.items() if ends_at <= now]
        for zone in ended:
            self.end(zone, now)
        warm = [zone for zone, until in self._returned.items() if until <= now]
        for zone in warm:
            del self._returned[zone]
        return bool(ended or warm)

    def next_expiry(self) -> float | None:
        """Time at which the next grace or warm-up period ends, or None."""
        return min([*self._missing.values(), *self._returned.values()], default=None)

    def _add_unknown(self, zone: str) -> bool:
        """Keep an unknown zone; False if there are too many. Each is reported once."""
        if zone in self._unknown:
            return True
        if len(self._unknown) >= MAX_UNKNOWN_ZONES:
            return False
        self._unknown[zone] = None
        self.changes.append((ZoneChange.UNKNOWN, zone))
        return True
