"""Chooses a target from what one entry host knows by itself."""

import random

from dotterelstand.version.document import Service, Target


class LocalBalancer:
    """Two random choices, compared by own requests in flight and reported load."""

    __slots__ = ("_in_flight", "_random", "_reported")

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._in_flight: dict[str, int] = {}
        self._reported: dict[str, int] = {}

    def choose(self, service: Service, excluded: frozenset[str]) -> Target | None:
        """Less loaded of two random targets that are not excluded, or None."""
        usable = [target for target in service.targets if target.name not in excluded]
        if not usable:
            return None
        first, second = self._random.choice(usable), self._random.choice(usable)
        return first if self._load(first) <= self._load(second) else second

    def start(self, target: Target) -> None:
        """Count a request that is sent to a target."""
        self._in_flight[target.name] = self._in_flight.get(target.name, 0) + 1

    def finish(self, target: Target, reported: int | None) -> None:
        """Count the end of a request, with the load that the answer reported."""
        self._in_flight[target.name] -= 1
        if reported is not None:
            self._reported[target.name] = reported

    def _load(self, target: Target) -> float:
        own = self._in_flight.get(target.name, 0)
        return max(own, self._reported.get(target.name, 0)) / target.slots
