"""Queues of a dispatcher's waiting calls, by the table of targets that they wait for."""

from dotterelstand.process.selection.queue import CallKey, CallQueue, WaitingCall
from dotterelstand.process.selection.targettables import TargetTables


class HomeQueues:
    """Queue of the calls that wait for targets of this region, and of those that must not use it.

    They are separate, so that a call which waits for full targets of other regions doesn't delay
    the calls for which this region has a free slot. Both are bounded.
    """

    __slots__ = ("away", "near")

    def __init__(self, classes: int) -> None:
        self.near = CallQueue(0, classes)
        self.away = CallQueue(0, classes)

    def __len__(self) -> int:
        return len(self.near) + len(self.away)

    def __contains__(self, key: CallKey) -> bool:
        return key in self.near or key in self.away

    def of(self, call: WaitingCall, tables: TargetTables) -> CallQueue:
        """Queue in which a call waits."""
        return self.near if tables.home(call.regions) is tables.local else self.away

    def resize(self, near_slots: int, tables: TargetTables, per_slot: int) -> None:
        """Bound each queue to a number of calls per slot that this region may use."""
        self.near.capacity = per_slot * near_slots
        self.away.capacity = per_slot * sum(target.slots for target in tables.remote.targets)

    def keys(self) -> list[CallKey]:
        """Keys of all calls."""
        return [*self.near.keys(), *self.away.keys()]

    def remove(self, key: CallKey) -> WaitingCall | None:
        """Remove and return a call; None if it does not wait."""
        return self.near.remove(key) or self.away.remove(key)

    def remove_host(self, host: str) -> None:
        """Remove every call of a lost host."""
        self.near.remove_host(host)
        self.away.remove_host(host)
