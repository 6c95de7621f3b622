"""Divides the requests of a route among services by weight."""

from collections import OrderedDict

from dotterelstand.version.document import Route, Share

# Routes whose counts are kept; the one that was used least recently is dropped.
MAX_ROUTES = 4096


class _Counts:
    """Credit of each service of one split."""

    __slots__ = ("credits", "split")

    def __init__(self, split: tuple[Share, ...]) -> None:
        self.split = split
        self.credits = [0.0] * len(split)

    def choose(self) -> str:
        """Smooth weighted round robin: the service with the most credit pays for all."""
        total = 0.0
        for place, share in enumerate(self.split):
            self.credits[place] += share.weight
            total += share.weight
        best = max(range(len(self.credits)), key=self.credits.__getitem__)
        self.credits[best] -= total
        return self.split[best].service


class TrafficSplits:
    """Requests that each route with a split sent to its services."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: OrderedDict[tuple[str, str], _Counts] = OrderedDict()

    def choose(self, route: Route) -> str:
        """Service for the next request of a route; counts begin anew when the weights change."""
        if not route.split:
            return route.service
        key = (route.host, route.prefix)
        counts = self._counts.pop(key, None)
        if counts is None or not _same(counts.split, route.split):
            counts = _Counts(route.split)
            if len(self._counts) >= MAX_ROUTES:
                self._counts.popitem(last=False)
        self._counts[key] = counts
        return counts.choose()


def _same(one: tuple[Share, ...], other: tuple[Share, ...]) -> bool:
    pairs = [[(share.service, share.weight) for share in split] for split in (one, other)]
    return pairs[0] == pairs[1]
