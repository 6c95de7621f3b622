"""Classes of the operators' document; all of them are immutable once built."""

from collections.abc import Iterable, Iterator, Mapping

import xxhash

# A target's index fits in this many bits, so that it takes at most five bytes in a message.
INDEX_BITS = 32
# Routes with more path segments than this are refused, which bounds the cost of a look-up.
MAX_PREFIX_SEGMENTS = 16


class DocumentError:
    """A place in the document with a value that is not allowed.

    `other` is the second section if two sections do not fit together, and otherwise empty.
    """

    __slots__ = ("allowed", "code", "found", "key", "other", "section")

    def __init__(
        self, code: int, section: str, key: str, found: object, allowed: str, other: str = ""
    ) -> None:
        self.code = code
        self.section = section
        self.key = key
        self.found = found
        self.allowed = allowed
        self.other = other

    def __str__(self) -> str:
        place = f"section {self.section}"
        if self.other:
            place = f"sections {self.section} and {self.other}"
        return f"{self.code}: {place}: {self.key}: found {repr(self.found)[:120]}; {self.allowed}"


class Target:
    """One server instance that runs requests of a service.

    `index` names it within its service in messages. It depends on the target's name alone, so
    two hosts with different versions of the document mean the same target by it.
    """

    __slots__ = ("address", "availability_zone", "index", "name", "port", "region", "slots")

    def __init__(
        self, name: str, address: str, port: int, region: str, availability_zone: str, slots: int
    ) -> None:
        self.name = name
        self.address = address
        self.port = port
        self.region = region
        self.availability_zone = availability_zone
        self.slots = slots
        self.index = xxhash.xxh32_intdigest(name.encode())


class Service:
    """A named group of targets with its limits."""

    __slots__ = (
        "_by_index",
        "connections",
        "hedge",
        "max_queue_per_slot",
        "measuring_weight",
        "name",
        "retry_share",
        "silence_timeout_s",
        "targets",
    )

    def __init__(
        self,
        name: str,
        targets: tuple[Target, ...],
        connections: int,
        hedge: bool,
        retry_share: float,
        max_queue_per_slot: int,
        silence_timeout_s: float,
        measuring_weight: float = 1.0,
    ) -> None:
        self.name = name
        self.targets = targets
        self.connections = connections
        self.hedge = hedge
        self.retry_share = retry_share
        self.max_queue_per_slot = max_queue_per_slot
        self.silence_timeout_s = silence_timeout_s
        self.measuring_weight = measuring_weight
        self._by_index = {target.index: target for target in targets}

    def target_at(self, index: int) -> Target | None:
        """Target with an index, or None if this version has no such target."""
        return self._by_index.get(index)


class Route:
    """Requests of one path prefix and the promises that hold for them."""

    __slots__ = ("deadline_s", "idempotent", "key", "klass", "methods", "prefix", "service")

    def __init__(
        self,
        prefix: str,
        methods: frozenset[str],
        service: str,
        idempotent: bool,
        key: str,
        klass: str,
        deadline_s: float,
    ) -> None:
        self.prefix = prefix
        self.methods = methods
        self.service = service
        self.idempotent = idempotent
        self.key = key
        self.klass = klass
        self.deadline_s = deadline_s


class RouteIndex:
    """Routes by prefix and method; a look-up costs one step per path segment."""

    __slots__ = ("_depth", "_routes")

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._routes: dict[str, dict[str, Route]] = {}
        self._depth = 0
        for route in routes:
            self.add(route)

    def add(self, route: Route) -> None:
        """Add a route; only before the document that has the index is in use."""
        prefix = route.prefix.rstrip("/")
        methods = self._routes.setdefault(prefix, {})
        methods.update({method: route for method in route.methods})
        self._depth = max(self._depth, prefix.count("/") + 1)

    def find(self, path: str, method: str) -> Route | None:
        """Route with the longest prefix, in whole segments, that has the method."""
        for methods in self._matches(path):
            if method in methods:
                return methods[method]
        return None

    def methods(self, path: str) -> frozenset[str]:
        """Methods of every route that matches a path; empty if there is none."""
        return frozenset(method for methods in self._matches(path) for method in methods)

    def _matches(self, path: str) -> Iterator[dict[str, Route]]:
        segments = path.partition("?")[0].split("/", self._depth)[: self._depth]
        for length in range(len(segments), 0, -1):
            methods = self._routes.get("/".join(segments[:length]))
            if methods is not None:
                yield methods


class Document:
    """One accepted version of all sections; immutable.

    `sections` maps names to digests, `owners` sections to teams, and `classes` is in order of
    priority, the highest first.
    """

    __slots__ = (
        "_index",
        "classes",
        "number",
        "owners",
        "routes",
        "sections",
        "services",
        "tenants",
    )

    def __init__(
        self,
        number: int,
        sections: dict[str, str],
        services: dict[str, Service],
        routes: tuple[Route, ...],
        classes: tuple[str, ...],
        tenants: Mapping[str, float],
        owners: Mapping[str, str] | None = None,
        index: RouteIndex | None = None,
    ) -> None:
        self.number = number
        self.sections = sections
        self.services = services
        self.routes = routes
        self.classes = classes
        self.tenants = tenants
        self.owners = owners or {}
        self._index = index or RouteIndex(routes)

    def find_route(self, path: str, method: str) -> Route | None:
        """Most specific route for a path and method, or None."""
        return self._index.find(path, method)

    def allowed_methods(self, path: str) -> frozenset[str]:
        """Methods that some route allows for a path; empty if no route matches it."""
        return self._index.methods(path)


def section_digest(body: str) -> str:
    """Content address of a section's text."""
    return xxhash.xxh3_128_hexdigest(body.encode())
