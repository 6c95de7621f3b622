"""Data classes of the operators' document, all immutable once built."""

from collections.abc import Mapping

import xxhash

from dotterelstand.version.route import Route, RouteIndex
from dotterelstand.version.workspace import WorkspaceIndex

# Size of a target's index in bits; 32 bits take at most five bytes in a message.
INDEX_BITS = 32


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


def section_digest(body: str) -> str:
    """Return the digest of a section's text."""
    return xxhash.xxh3_128_hexdigest(body.encode())
