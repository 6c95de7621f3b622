"""Balancing policies that choose a target for a call.

Dispatchers use `LeastOccupied`; a host that chooses without a dispatcher uses `TwoChoices`. The
others are baselines for comparison.
"""

import random
from typing import Protocol

from dotterelstand.process.selection.health import HealthTable


class Chooser(Protocol):
    """Policy that chooses an open target; times in seconds.

    A target is open while it may get another attempt (see `SlotIndex`). Targets in `excluded` are
    not chosen.
    """

    def choose(
        self, table: HealthTable, excluded: frozenset[int], now: float, zone: str = ""
    ) -> int | None:
        """Choose for a host in availability zone `zone`; returns a position in `table`, or None."""


class LeastOccupied:
    """Chooses a least occupied open target at random, preferably one in `zone`."""

    __slots__ = ("_random",)

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(
        self, table: HealthTable, excluded: frozenset[int], now: float, zone: str = ""
    ) -> int | None:
        """See `Chooser`."""
        return table.index.least_occupied(self._random, excluded, table.in_zone(zone))


class TwoChoices:
    """Power of two choices: chooses the less loaded (`HealthTable.load`) of two random targets."""

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
    """Baseline for comparison: chooses a random open target."""

    __slots__ = ("_random",)

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(
        self, table: HealthTable, excluded: frozenset[int], now: float, zone: str = ""
    ) -> int | None:
        """See `Chooser`."""
        return table.index.open_targets.pick(self._random, excluded)


class RoundRobin:
    """Baseline for comparison: chooses open targets round robin."""

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
