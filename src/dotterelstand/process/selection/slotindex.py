"""Index of targets by occupancy; every operation takes constant time."""

import random
from collections.abc import Set as AbstractSet

# Occupancy steps per slot count; divisible by 2, 3 and 4, so that equal shares compare equal.
STEPS = 12
# Further draws for a preferred target; a fixed number keeps the time constant.
PREFERENCE_DRAWS = 3
MAX_LEVEL = 8 * STEPS
NO_TARGETS: frozenset[int] = frozenset()


class RandomSet:
    """Positions with constant-time insertion, removal and random choice."""

    __slots__ = ("_items", "_place")

    def __init__(self) -> None:
        self._items: list[int] = []
        self._place: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: int) -> bool:
        return item in self._place

    def add(self, item: int) -> None:
        """Insert an item that is not in the set."""
        assert item not in self._place
        self._place[item] = len(self._items)
        self._items.append(item)

    def remove(self, item: int) -> None:
        """Remove an item by moving the last one into its place."""
        place = self._place.pop(item)
        last = self._items.pop()
        if last != item:
            self._items[place] = last
            self._place[last] = place

    def at(self, place: int) -> int:
        """Item at a place, counted modulo the size."""
        return self._items[place % len(self._items)]

    def pick(self, rng: random.Random, excluded: frozenset[int] = NO_TARGETS) -> int | None:
        """Random item that is not excluded; looks at no more than `len(excluded) + 1` items."""
        size = len(self._items)
        if not size:
            return None
        start = int(rng.random() * size)
        for step in range(min(size, len(excluded) + 1)):
            item = self._items[(start + step) % size]
            if item not in excluded:
                return item
        return None


class SlotIndex:
    """Open targets (below their limit) by share of occupied slots."""

    __slots__ = ("_level", "_levels", "_mask", "open")

    def __init__(self) -> None:
        self._levels: dict[int, RandomSet] = {}
        self._mask = 0
        self._level: dict[int, int] = {}
        self.open = RandomSet()

    def place(
        self, item: int, in_flight: int, slots: int, limit: int, handicap: float = 0.0
    ) -> None:
        """Record a target's occupancy; at its limit it leaves the index.

        A target with a handicap ranks as if so many times its slots were occupied besides.
        """
        old = self._level.get(item)
        new = None
        if in_flight < limit:
            new = min(MAX_LEVEL, in_flight * STEPS // slots + int(handicap * STEPS))
        if old == new:
            return
        if old is not None:
            self._take_out(item, old)
        if new is not None:
            self._put_in(item, new)

    def remove(self, item: int) -> None:
        """Take a target out of the index."""
        old = self._level.get(item)
        if old is not None:
            self._take_out(item, old)

    def least(
        self, rng: random.Random, excluded: frozenset[int], preferred: AbstractSet[int] = NO_TARGETS
    ) -> int | None:
        """Random target among the least occupied that are not excluded; rather a preferred one."""
        mask = self._mask
        while mask:
            lowest = mask & -mask
            members = self._levels[lowest.bit_length() - 1]
            item = members.pick(rng, excluded)
            if item is not None:
                return self._rather(item, members, rng, excluded, preferred)
            mask ^= lowest
        return None

    def _rather(
        self,
        item: int,
        members: RandomSet,
        rng: random.Random,
        excluded: frozenset[int],
        preferred: AbstractSet[int],
    ) -> int:
        for _ in range(PREFERENCE_DRAWS if preferred else 0):
            if item in preferred:
                break
            other = members.pick(rng, excluded)
            assert other is not None
            item = other
        return item

    def _put_in(self, item: int, level: int) -> None:
        members = self._levels.get(level)
        if members is None:
            members = self._levels[level] = RandomSet()
        members.add(item)
        self._mask |= 1 << level
        self._level[item] = level
        self.open.add(item)

    def _take_out(self, item: int, level: int) -> None:
        members = self._levels[level]
        members.remove(item)
        if not members:
            self._mask ^= 1 << level
        del self._level[item]
        self.open.remove(item)
