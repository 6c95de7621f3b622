"""Data classes of the operators' document, all immutable once built."""

from collections.abc import Iterable, Iterator, Mapping

import xxhash

from dotterelstand.version.workspace import ANY_REGION, WorkspaceIndex

# Size of a target's index in bits; 32 bits take at most five bytes in a message.
INDEX_BITS = 32
# Routes with more path segments are rejected, which bounds the cost of a lookup.
MAX_PREFIX_SEGMENTS = 16
# Method key of a route that accepts every method.
ANY_METHOD = "*"


class DocumentError:
    """Error in the document: a key whose value is not allowed.

    `other_section` is the second section if two sections contradict each other, else empty.
    """

    __slots__ = ("allowed", "code", "found", "key", "other_section", "section")

    def __init__(
        self,
        code: int,
        section: str,
        key: str,
        found: object,
        allowed: str,
        other_section: str = "",
    ) -> None:
        self.code = code
        self.section = section
        self.key = key
        self.found = found
        self.allowed = allowed
        self.other_section = other_section

    def __str__(self) -> str:
        location = f"section {self.section}"
        if self.other_section:
            location = f"sections {self.section} and {self.other_section}"
        return (
            f"{self.code}: {location}: {self.key}: found {repr(self.found)[:120]}; {self.allowed}"
        )


class Target:
    """Server instance that runs requests of a service.

    `index` identifies the target within its service in messages. It is a hash of the name, so
    hosts with different versions of the document use the same index for a target. `incarnation`
    is different after each restart of a target under the same name; 0 if unknown. `warmup_s` is the
    remaining warm-up time in seconds that the target last announced.
    """

    __slots__ = (
        "address",
        "availability_zone",
        "incarnation",
        "index",
        "name",
        "port",
        "region",
        "slots",
        "warmup_s",
    )

    def __init__(
        self,
        name: str,
        address: str,
        port: int,
        region: str,
        availability_zone: str,
        slots: int,
        incarnation: int = 0,
        warmup_s: float = 0.0,
    ) -> None:
        self.warmup_s = warmup_s
        self.incarnation = incarnation
        self.name = name
        self.address = address
        self.port = port
        self.region = region
        self.availability_zone = availability_zone
        self.slots = slots
        self.index = xxhash.xxh32_intdigest(name.encode())


class Service:
    """Named group of targets with its limits; targets report their load at `health_path`.

    A target is cold for `warmup_s` seconds after its start and then tolerates at most
    `warmup_per_s` requests per second from all entry hosts together; 0 means no limit.
    """

    __slots__ = (
        "_positions",
        "connections",
        "health_path",
        "hedge",
        "max_queue_per_slot",
        "measuring_weight",
        "name",
        "retry_share",
        "silence_timeout_s",
        "targets",
        "warmup_per_s",
        "warmup_s",
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
        health_path: str = "/health",
        warmup_s: float = 0.0,
        warmup_per_s: float = 0.0,
    ) -> None:
        self.warmup_s = warmup_s
        self.warmup_per_s = warmup_per_s
        self.name = name
        self.targets = targets
        self.connections = connections
        self.hedge = hedge
        self.retry_share = retry_share
        self.max_queue_per_slot = max_queue_per_slot
        self.silence_timeout_s = silence_timeout_s
        self.measuring_weight = measuring_weight
        self.health_path = health_path
        self._positions = {target.index: position for position, target in enumerate(targets)}

    def position_of(self, index: int) -> int | None:
        """Return the position of the target with an index, or None if there is no such target."""
        return self._positions.get(index)


class Share:
    """Service that receives a share of a route's requests, in proportion to its weight."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route:
    """Rules for requests with one path prefix.

    `host` is empty for any host, and `methods` for any method. `key` says whether an idempotency
    key is "none", "optional" or "required". `deadline_s` limits the time without progress;
    `timeout_s`, unless None, limits the time to the end of the answer. `attempts` is the maximum
    number of attempts at targets per request; None uses the setting. `latency_objective_s` is the
    latency objective, or None. `split`, unless empty, divides the requests among services in place
    of `service`. Requests on a `public` route need no key of a workspace. Requests may only be
    sent to targets in `allowed_regions`, unless that is empty.
    """

    __slots__ = (
        "allowed_regions",
        "attempts",
        "deadline_s",
        "host",
        "idempotent",
        "key",
        "klass",
        "latency_objective_s",
        "methods",
        "prefix",
        "public",
        "service",
        "split",
        "timeout_s",
    )

    def __init__(
        self,
        prefix: str,
        methods: frozenset[str],
        service: str,
        idempotent: bool,
        key: str,
        klass: str,
        deadline_s: float,
        *,
        host: str = "",
        timeout_s: float | None = None,
        attempts: int | None = None,
        latency_objective_s: float | None = None,
        split: tuple[Share, ...] = (),
        public: bool = False,
        allowed_regions: frozenset[str] = ANY_REGION,
    ) -> None:
        self.public = public
        self.allowed_regions = allowed_regions
        self.host = route_host(host)
        self.timeout_s = timeout_s
        self.attempts = attempts
        self.latency_objective_s = latency_objective_s
        self.split = split
        self.prefix = prefix
        self.methods = methods
        self.service = service
        self.idempotent = idempotent
        self.key = key
        self.klass = klass
        self.deadline_s = deadline_s


class CallerBounds:
    """Limits of a document on callers: sizes in bytes, times in seconds."""

    __slots__ = ("head_timeout_s", "idle_timeout_s", "max_body_bytes", "max_head_bytes")

    def __init__(
        self,
        max_head_bytes: int,
        max_body_bytes: int,
        head_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s


class RouteIndex:
    """Routes by host, prefix and method; a lookup costs one step per path segment."""

    __slots__ = ("_depth", "_routes")

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._routes: dict[tuple[str, str], dict[str, Route]] = {}
        self._depth = 0
        for route in routes:
            self.add(route)

    def add(self, route: Route) -> None:
        """Add a route; not allowed once the document with this index is in use."""
        prefix = route.prefix.rstrip("/")
        methods = self._routes.setdefault((route.host, prefix), {})
        methods.update({method: route for method in route.methods or (ANY_METHOD,)})
        self._depth = max(self._depth, prefix.count("/") + 1)

    def find(self, path: str, method: str, host: str = "") -> Route | None:
        """Find the route with the longest prefix of whole segments that accepts the method.

        Routes of the host take precedence over routes of any host.
        """
        for methods in self._matches(path, host):
            route = methods.get(method) or methods.get(ANY_METHOD)
            if route is not None:
                return route
        return None

    def methods(self, path: str, host: str = "") -> frozenset[str]:
        """Return the methods of all routes that match a path; empty if none matches."""
        return frozenset(method for methods in self._matches(path, host) for method in methods)

    def _matches(self, path: str, host: str) -> Iterator[dict[str, Route]]:
        segments = path.partition("?")[0].split("/", self._depth)[: self._depth]
        for name in (host, "") if host else ("",):
            for length in range(len(segments), 0, -1):
                methods = self._routes.get((name, "/".join(segments[:length])))
                if methods is not None:
                    yield methods


class Document:
    """One accepted version of all sections; immutable.

    `sections` maps section names to digests and `owners` maps them to teams. `classes` is in order
    of priority, highest first. Requests of the `bulk_classes` are too large to be sent to another
    region. `caller_bounds`, unless None, overrides the limits in the settings. With `access`,
    requests need the key of a workspace unless their route is public. The targets in
    `evacuated_zones` get no requests. `regions` are the regions of the platform, sorted.
    """

    __slots__ = (
        "_index",
        "access",
        "bulk_classes",
        "caller_bounds",
        "classes",
        "evacuated_zones",
        "number",
        "owners",
        "regions",
        "routes",
        "sections",
        "services",
        "workspaces",
    )

    def __init__(
        self,
        number: int,
        sections: dict[str, str],
        services: dict[str, Service],
        routes: tuple[Route, ...],
        classes: tuple[str, ...],
        workspaces: Mapping[str, float],
        owners: Mapping[str, str] | None = None,
        index: RouteIndex | None = None,
        bulk_classes: frozenset[str] = frozenset(),
        caller_bounds: CallerBounds | None = None,
        access: WorkspaceIndex | None = None,
        evacuated_zones: frozenset[str] = frozenset(),
        regions: tuple[str, ...] = (),
    ) -> None:
        self.access = access
        self.evacuated_zones = evacuated_zones
        self.regions = regions
        self.bulk_classes = bulk_classes
        self.caller_bounds = caller_bounds
        self.number = number
        self.sections = sections
        self.services = services
        self.routes = routes
        self.classes = classes
        self.workspaces = workspaces
        self.owners = owners or {}
        self._index = index or RouteIndex(routes)

    def find_route(self, path: str, method: str, host: str = "") -> Route | None:
        """Return the most specific route for a host, path and method, or None."""
        return self._index.find(path, method, host)

    def allowed_methods(self, path: str, host: str = "") -> frozenset[str]:
        """Return the methods that routes allow for a path; empty if no route matches it."""
        return self._index.methods(path, host)


def route_host(value: str) -> str:
    """Normalize the host of a Host header or of a route: lower case, without a port."""
    return value.strip().lower().partition(":")[0]


def section_digest(body: str) -> str:
    """Return the digest of a section's text."""
    return xxhash.xxh3_128_hexdigest(body.encode())
