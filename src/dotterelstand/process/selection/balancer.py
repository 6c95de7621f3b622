"""Balancing policies: least occupied (dispatchers), power of two choices (local), and baselines."""

import random
from typing import Protocol

from dotterelstand.process.selection.health import HealthTable


class Chooser(Protocol):
    """Policy that chooses an open target (see `SlotIndex`) not in `excluded`; times in seconds."""

    def choose(
        self, table: HealthTable, excluded: frozenset[int], now: float, zone: str = ""
    ) -> int | None:
        """Position in the table, or None; `zone` is the requesting host's availability zone."""


class LeastOccupied:
    """Least occupied open target; ties are broken at random, with preference for `zone`."""

    __slots__ = ("_random",)

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(
        self, table: HealthTable, excluded: frozenset[int], now: float, zone: str = ""
    ) -> int | None:
        """See `Chooser`."""
        return table.index.least_occupied(self._random, excluded, table.in_zone(zone))


class TwoChoices:
    """Power of two choices: the less loaded of two random targets, by `HealthTable.load`."""

    __slots__ = ("_random",)

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(
        self, table: HealthTable, excluded: frozenset[int], now: float, zone: str = ""
    ) -> int | None:
        """See `Chooser`."""
        first = table.index.open_targets.pick(self._random, excluded)
        if first is None:
            return None
        second = table.index.open_targets.pick(self._random, excluded | {first})
        if second is None:
            return first
        return first if table.load(first, now) <= table.load(second, now) else second


class RandomChoice:
    """Baseline: a random open target."""

    __slots__ = ("_random",)

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(
        self, table: HealthTable, excluded: frozenset[int], now: float, zone: str = ""
    ) -> int | None:
        """See `Chooser`."""
        return table.index.open_targets.pick(self._random, excluded)


class RoundRobin:
    """Baseline: round robin over the open targets."""

    __slots__ = ("_next",)

    def __init__(self, rng: random.Random) -> None:
        self._next = rng.randrange(1 << 16)

    def choose(
        self, table: HealthTable, excluded: frozenset[int], now: float, zone: str = ""
    ) -> int | None:
        """See `Chooser`."""
        targets = table.index.open_targets
        for _ in range(min(len(targets), len(excluded) + 1)):
            self._next += 1
            position = targets.at(self._next)
            if position not in excluded:
                return position
        return None
