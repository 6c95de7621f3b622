"""The operators' document: one immutable version of services, targets, routes and limits."""

import tomllib
from typing import Any

import xxhash
from returns.result import Failure, Result, Success


class DocumentError:
    """A place in the document with a value that is not allowed."""

    __slots__ = ("allowed", "code", "found", "key", "section")

    def __init__(self, code: int, section: str, key: str, found: object, allowed: str) -> None:
        self.code = code
        self.section = section
        self.key = key
        self.found = found
        self.allowed = allowed

    def __str__(self) -> str:
        return (
            f"{self.code}: section {self.section}: {self.key}: found {self.found!r}; {self.allowed}"
        )


class Target:
    """One server instance that runs requests of a service."""

    __slots__ = ("address", "availability_zone", "name", "port", "region", "slots")

    def __init__(
        self, name: str, address: str, port: int, region: str, availability_zone: str, slots: int
    ) -> None:
        self.name = name
        self.address = address
        self.port = port
        self.region = region
        self.availability_zone = availability_zone
        self.slots = slots


class Service:
    """A named group of targets with its limits."""

    __slots__ = (
        "connections",
        "hedge",
        "max_queue_per_slot",
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
    ) -> None:
        self.name = name
        self.targets = targets
        self.connections = connections
        self.hedge = hedge
        self.retry_share = retry_share
        self.max_queue_per_slot = max_queue_per_slot
        self.silence_timeout_s = silence_timeout_s


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


class Document:
    """One accepted version of all sections; immutable."""

    __slots__ = ("classes", "number", "routes", "sections", "services", "tenants")

    def __init__(
        self,
        number: int,
        sections: dict[str, str],
        services: dict[str, Service],
        routes: tuple[Route, ...],
        classes: tuple[str, ...],
        tenants: frozenset[str],
    ) -> None:
        self.number = number
        self.sections = sections
        self.services = services
        self.routes = routes
        self.classes = classes
        self.tenants = tenants

    def find_route(self, path: str, method: str) -> Route | None:
        """Most specific route for a path and method, or None."""
        for route in self.routes:
            if path.startswith(route.prefix) and method in route.methods:
                return route
        return None


def section_digest(body: str) -> str:
    """Content address of a section's text."""
    return xxhash.xxh3_128_hexdigest(body.encode())


def build_document(number: int, bodies: dict[str, str]) -> Result[Document, list[DocumentError]]:
    """Parse and join the sections of one version; fails with every error found."""
    services: dict[str, Service] = {}
    routes: list[Route] = []
    classes: list[str] = []
    tenants: set[str] = set()
    errors: list[DocumentError] = []
    for name, body in bodies.items():
        try:
            table = tomllib.loads(body)
        except tomllib.TOMLDecodeError as error:
            errors.append(DocumentError(4101, name, "-", str(error), "TOML 1.0"))
            continue
        for service_name, values in table.get("services", {}).items():
            services[service_name] = _read_service(service_name, values)
        routes.extend(_read_route(values) for values in table.get("routes", []))
        classes.extend(table.get("classes", []))
        tenants.update(table.get("tenants", []))
    if errors:
        return Failure(errors)
    routes.sort(key=lambda route: -len(route.prefix))
    sections = {name: section_digest(body) for name, body in bodies.items()}
    return Success(
        Document(
            number,
            sections,
            services,
            tuple(routes),
            tuple(classes) or ("default",),
            frozenset(tenants),
        )
    )


def _read_service(name: str, values: dict[str, Any]) -> Service:
    slots = int(values.get("slots", 2))
    targets = tuple(
        Target(
            str(item["name"]),
            str(item["address"]),
            int(item["port"]),
            str(item["region"]),
            str(item["availability_zone"]),
            int(item.get("slots", slots)),
        )
        for item in values.get("targets", [])
    )
    return Service(
        name,
        targets,
        int(values.get("connections", 240)),
        bool(values.get("hedge", False)),
        float(values.get("retry_share", 0.1)),
        int(values.get("max_queue_per_slot", 4)),
        float(values.get("silence_timeout_s", 1.0)),
    )


def _read_route(values: dict[str, Any]) -> Route:
    return Route(
        str(values["prefix"]),
        frozenset(values.get("methods", ["GET"])),
        str(values["service"]),
        bool(values.get("idempotent", False)),
        str(values.get("key", "optional")),
        str(values.get("class", "default")),
        float(values.get("deadline_ms", 10000)) / 1000,
    )
