"""Exports the counter attributes of components as named counters."""

from collections.abc import Mapping
from enum import Enum

# Name prefix of the counters of each class; docs/counters.md lists them.
PREFIXES = {
    "CallFigures": "store",
    "DispatcherCounters": "dispatcher",
    "GrantServerCounters": "grantserver",
    "JournalFigures": "journal",
    "MeasureCounters": "measure",
    "OutcomeFigures": "outcomes",
    "PartitionFigures": "partition",
    "QuotaCounters": "quota",
    "RecordFigures": "records",
    "SlotCounters": "selection",
}


def read_counters(counters_object: object) -> dict[str, int]:
    """Counters of an object, named `<prefix>.<attribute>`; a mapping has one counter per key."""
    prefix = PREFIXES[type(counters_object).__name__]
    counters: dict[str, int] = {}
    for name in type(counters_object).__slots__:  # type: ignore[attr-defined]
        value = getattr(counters_object, name)
        if isinstance(value, Mapping):
            for key, amount in value.items():
                counters[f"{prefix}.{name}.{_key_name(key)}"] = int(amount)
        elif isinstance(value, int):
            counters[f"{prefix}.{name}"] = value
    return counters


def sum_counters(counter_objects: list[object]) -> dict[str, int]:
    """Sums of the counters of several objects of one class."""
    total: dict[str, int] = {}
    for counters_object in counter_objects:
        for name, amount in read_counters(counters_object).items():
            total[name] = total.get(name, 0) + amount
    return total


def _key_name(key: object) -> str:
    if isinstance(key, tuple):
        return ".".join(map(_key_name, key))
    # Result codes are exported by number, other enum members by name.
    if isinstance(key, int) and isinstance(key, Enum) and key >= 1000:
        return str(int(key))
    return key.name.lower() if isinstance(key, Enum) else str(key)
