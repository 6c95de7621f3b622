"""Divides the requests of a route among services by weight."""

from collections import OrderedDict

from dotterelstand.version.document import Route, Share

# Routes whose counts are kept; the one that was used least recently is dropped.
MAX_ROUTES = 4096


class _SplitCredits:
    """Credit of each service of one split."""

    __slots__ = ("credits", "split")

    def __init__(self, split: tuple[Share, ...]) -> None:
        self.split = split
        self.credits = [0.0] * len(split)

    def choose(self) -> str:
        """Smooth weighted round robin: the service with the most credit pays for all."""
        total = 0.0
        for index, share in enumerate(self.split):
            self.credits[index] += share.weight
            total += share.weight
        best = max(range(len(self.credits)), key=self.credits.__getitem__)
        self.credits[best] -= total
        return self.split[best].service


class TrafficSplits:
    """Requests that each route with a split sent to its services."""

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        self._credits: OrderedDict[tuple[str, str], _SplitCredits] = OrderedDict()

    def choose(self, route: Route) -> str:
        """Service for the next request of a route; counts begin anew when the weights change."""
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
