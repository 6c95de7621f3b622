"""Index of targets by occupancy; every operation takes constant time."""

import random
from collections.abc import Set as AbstractSet

# Number of levels from idle to fully occupied; divisible by 2, 3 and 4, so that equal shares of
# occupied slots give the same level.
OCCUPANCY_STEPS = 12
# Extra random draws to find a preferred target; a fixed number keeps the time constant.
PREFERENCE_DRAWS = 3
MAX_LEVEL = 8 * OCCUPANCY_STEPS
NO_TARGETS: frozenset[int] = frozenset()


class RandomSet:
    """Set of positions with constant-time insertion, removal and random choice."""

    __slots__ = ("_index_of", "_items")

    def __init__(self) -> None:
        self._items: list[int] = []
        self._index_of: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: int) -> bool:
        return item in self._index_of

    def add(self, item: int) -> None:
        """Insert an item that is not in the set."""
        assert item not in self._index_of
        self._index_of[item] = len(self._items)
        self._items.append(item)

    def remove(self, item: int) -> None:
        """Remove an item and move the last one to its index."""
        index = self._index_of.pop(item)
        last = self._items.pop()
        if last != item:
            self._items[index] = last
            self._index_of[last] = index

    def at(self, index: int) -> int:
        """Item at an index, modulo the size."""
        return self._items[index % len(self._items)]

    def pick(self, rng: random.Random, excluded: frozenset[int] = NO_TARGETS) -> int | None:
        """Random item that is not excluded, or None; checks at most `len(excluded) + 1` items."""
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
    """Index of open targets by share of occupied slots; a target below its limit is open."""

    __slots__ = ("_level_of", "_levels", "_nonempty_levels", "open_targets")

    def __init__(self) -> None:
        self._levels: dict[int, RandomSet] = {}
        self._nonempty_levels = 0
        self._level_of: dict[int, int] = {}
        self.open_targets = RandomSet()

    def update(
        self, item: int, in_flight: int, slots: int, limit: int, penalty: float = 0.0
    ) -> None:
        """Update a target's occupancy; remove a target at its limit from the index.

        A `penalty` raises the share of occupied slots by which the target is ranked.
        """
        old = self._level_of.get(item)
        new = None
        if in_flight < limit:
            new = min(
                MAX_LEVEL, in_flight * OCCUPANCY_STEPS // slots + int(penalty * OCCUPANCY_STEPS)
            )
        if old == new:
            return
        if old is not None:
            self._remove_from_level(item, old)
        if new is not None:
            self._insert(item, new)

    def remove(self, item: int) -> None:
        """Remove a target from the index."""
        old = self._level_of.get(item)
        if old is not None:
            self._remove_from_level(item, old)

    def least_occupied(
        self, rng: random.Random, excluded: frozenset[int], preferred: AbstractSet[int] = NO_TARGETS
    ) -> int | None:
        """Random target among the least occupied that are not excluded, or None.

        Draws again, up to `PREFERENCE_DRAWS` times, while the target is not in `preferred`.
        """
        mask = self._nonempty_levels
        while mask:
            lowest = mask & -mask
            members = self._levels[lowest.bit_length() - 1]
            item = members.pick(rng, excluded)
            if item is not None:
                return self._draw_preferred(item, members, rng, excluded, preferred)
            mask ^= lowest
        return None

    def _draw_preferred(
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

    def _insert(self, item: int, level: int) -> None:
        members = self._levels.get(level)
        if members is None:
            members = self._levels[level] = RandomSet()
        members.add(item)
        self._nonempty_levels |= 1 << level
        self._level_of[item] = level
        self.open_targets.add(item)

    def _remove_from_level(self, item: int, level: int) -> None:
        members = self._levels[level]
        members.remove(item)
        if not members:
            self._nonempty_levels ^= 1 << level
        del self._level_of[item]
        self.open_targets.remove(item)
