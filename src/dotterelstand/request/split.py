"""Weighted traffic split of a route's requests between services."""

from collections import OrderedDict

from dotterelstand.version.route import Route, Share

# Maximum number of routes with round-robin state; the least recently used is evicted.
MAX_ROUTES = 4096


class _SplitCredits:
    """Round-robin credits of the services of one split."""

    __slots__ = ("credits", "split")

    def __init__(self, split: tuple[Share, ...]) -> None:
        self.split = split
        self.credits = [0.0] * len(split)

    def choose(self) -> str:
        """Choose a service by smooth weighted round robin.

        Each service gains its weight; the service with the most credit is chosen and loses the sum
        of the weights.
        """
        total = 0.0
        for index, share in enumerate(self.split):
            self.credits[index] += share.weight
            total += share.weight
        best = max(range(len(self.credits)), key=self.credits.__getitem__)
        self.credits[best] -= total
        return self.split[best].service


class TrafficSplits:
    """Round-robin state of the routes that have a traffic split."""

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        self._credits: OrderedDict[tuple[str, str], _SplitCredits] = OrderedDict()

    def choose(self, route: Route) -> str:
        """Choose the service for the next request; changed weights reset the credits."""
        if not route.split:
            return route.service
        key = (route.host, route.prefix)
        split_credits = self._credits.pop(key, None)
        if split_credits is None or not _has_same_weights(split_credits.split, route.split):
            split_credits = _SplitCredits(route.split)
            if len(self._credits) >= MAX_ROUTES:
                self._credits.popitem(last=False)
        self._credits[key] = split_credits
        return split_credits.choose()


def _has_same_weights(left: tuple[Share, ...], right: tuple[Share, ...]) -> bool:
    pairs = [[(share.service, share.weight) for share in split] for split in (left, right)]
    return pairs[0] == pairs[1]
