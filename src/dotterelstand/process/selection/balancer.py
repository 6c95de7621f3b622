"""Choosers of a target: the dispatcher's, the local two choices, and simple baselines."""

import random
from typing import Protocol

from dotterelstand.process.selection.health import HealthTable


class Chooser(Protocol):
    """Picks the position of an open target that is not excluded, or None."""

    def choose(
        self, table: HealthTable, excluded: frozenset[int], now: float, zone: str = ""
    ) -> int | None:
        """Position in the table; `now` in seconds, `zone` the availability zone of the caller."""


class LeastOccupied:
    """Least occupied of all open targets, rather in the zone, ties broken at random."""

    __slots__ = ("_random",)

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(
        self, table: HealthTable, excluded: frozenset[int], now: float, zone: str = ""
    ) -> int | None:
        """See `Chooser`."""
        return table.index.least_occupied(self._random, excluded, table.in_zone(zone))


class TwoChoices:
    """Less loaded of two random targets, by own requests and reported load."""

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
    """Baseline: any open target."""

    __slots__ = ("_random",)

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(
        self, table: HealthTable, excluded: frozenset[int], now: float, zone: str = ""
    ) -> int | None:
        """See `Chooser`."""
        return table.index.open_targets.pick(self._random, excluded)


class RoundRobin:
    """Baseline: open targets in turn."""

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
