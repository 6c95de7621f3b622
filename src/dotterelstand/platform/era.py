"""The era of the platform's store, which increases when the store is restored from a copy."""

from dotterelstand.events import Event, log
from dotterelstand.process.discovery.registry import ERA_SHIFT

ERA_HEADER = b"store-era"
# Larger values are malformed. Revisions with the era must fit into 63 bits in messages.
MAX_ERA_DIGITS = 6
MAX_LOGGED_BYTES = 40


class StoreEra:
    """The highest era that the store told; 0 before the first.

    A fault of the header is logged once, until a response has the right one again.
    """

    __slots__ = ("_current", "_fault_logged")

    def __init__(self) -> None:
        self._current = 0
        self._fault_logged = False

    @property
    def current(self) -> int:
        """The highest known era."""
        return self._current

    def observe(self, value: bytes | None, era_at_start: int) -> bool:
        """Record the header of a response; False if the response is of an earlier era.

        `era_at_start` is the era that was known when the call began. A lower era in the response
        to a later call, or none, is a fault of the header: the last known era is kept.
        """
        if value is not None and value.isdigit() and len(value) <= MAX_ERA_DIGITS:
            era = int(value)
            self.adopt(era)
            if era == self._current:
                self._fault_logged = False
                return True
            if era_at_start == self._current:
                self._log_fault(Event.STORE_ERA_LOWER, value)
        elif value is not None or self._current:
            self._log_fault(Event.STORE_ERA_UNREADABLE, value or b"")
        return era_at_start == self._current

    def adopt(self, era: int) -> None:
        """Record an era that the store told this host or another one."""
        if era > self._current:
            if self._current:
                log(Event.STORE_ERA_CHANGED, era=era, former=self._current)
            self._current = era

    def add_to(self, revision: int) -> int:
        """Add the current era to a revision in its high bits; raises `ValueError` if too large."""
        if not 0 <= revision < 1 << ERA_SHIFT:
            raise ValueError(f"revision {revision}")
        return self._current << ERA_SHIFT | revision

    def _log_fault(self, event: Event, value: bytes) -> None:
        if not self._fault_logged:
            self._fault_logged = True
            found = value[:MAX_LOGGED_BYTES].decode("latin-1")
            log(event, found=found, era=self._current)


def remove_era(revision: int) -> int:
    """Revision as the store assigned it."""
    return revision & ((1 << ERA_SHIFT) - 1)
