"""Reads the platform's objects into the product's types."""

from typing import Any

from returns.result import Failure, Result, Success

from dotterelstand.process.discovery.registry import (
    Configuration,
    RegisteredTarget,
    ServiceSpec,
)
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.version.document import CallerBounds, Route, Share

# Requests of these types may run more than once; of any other type, known or not, at most once.
REPEATABLE = "safe"
BULK = "upload"
STATES = ("ready", "draining")
VERSION_DIGITS = 8
# Seconds; a shorter time would end connections before a request can arrive.
SHORTEST_BOUND_S = 0.001


class FormatError(Exception):
    """A field that is missing or of another type than the platform's pages say."""


def read_target(name: str, spec: object) -> Result[RegisteredTarget, str]:
    """Target of an entry of kind `servers`."""
    try:
        entry = _table(spec, "spec")
        # An instance writes its whole registration, its status included, under `spec`.
        info = _table(entry.get("info"), "info")
        status = _table(entry.get("status"), "status")
        address, port = _address(_text(entry, "address"))
        state = _text(status, "state")
        if state not in STATES:
            raise FormatError(f"state {state!r}")
        # Counts the writes of one start; only its presence is checked.
        _integer(status, "sequence", 0)
        return Success(
            RegisteredTarget(
                name,
                _text(info, "service"),
                address,
                port,
                _text(info, "zone"),
                _integer(info, "slots", 1),
                state == "draining",
                _number(status, "warmupLeftS", 0.0),
                # Unix milliseconds of the start; older instances do not state it.
                _integer(entry, "born", 0) if "born" in entry else 0,
            )
        )
    except FormatError as error:
        return Failure(str(error))


def read_host(name: str, spec: object) -> Result[ListedHost, str]:
    """Entry host of an object that another entry host wrote."""
    try:
        entry = _table(spec, "spec")
        return Success(
            ListedHost(
                name,
                _text(entry, "address"),
                _integer(entry, "port", 1),
                False,
                _text(entry, "region"),
                _text(entry, "availability_zone"),
                _number(entry, "capacity", 0.0),
            )
        )
    except FormatError as error:
        return Failure(str(error))


def write_host(host: ListedHost) -> dict[str, object]:
    """Object that tells the other entry hosts of this one."""
    return {
        "address": host.address,
        "port": host.port,
        "region": host.region,
        "availability_zone": host.availability_zone,
        "capacity": host.capacity,
    }


def read_configuration(spec: object) -> Result[Configuration, str]:
    """Configuration in full; fails with the first thing that is wrong with it."""
    try:
        body = _table(spec, "spec")
        number = _version(_text(body, "version"))
        resources = body.get("resources")
        if not isinstance(resources, list):
            raise FormatError("resources: not a list")
        routes: list[Route] = []
        services: dict[str, ServiceSpec] = {}
        bounds: CallerBounds | None = None
        for resource in resources:
            item = _table(resource, "resources")
            kind = _text(item, "resourceType")
            name = _table(item.get("metadata", {}), "metadata").get("name", "")
            fields = _table(item.get("spec"), f"{kind} {name}")
            if kind == "routes":
                routes.append(_read_route(fields))
            elif kind == "services":
                services[str(name)] = _read_service(str(name), fields)
            elif kind == "limits":
                bounds = _read_bounds(fields)
        return Success(_join(number, routes, services, bounds))
    except FormatError as error:
        return Failure(str(error))


def _join(
    number: int,
    routes: list[Route],
    services: dict[str, ServiceSpec],
    bounds: CallerBounds | None,
) -> Configuration:
    for route in routes:
        for service in [share.service for share in route.split] or [route.service]:
            if service not in services:
                raise FormatError(f"{route.host}{route.prefix}: service {service!r} is missing")
    classes = tuple(sorted({route.klass for route in routes}))
    bulk = frozenset(name for name in classes if name.endswith(BULK))
    return Configuration(number, tuple(routes), services, classes, bulk, bounds)


def _read_route(fields: dict[str, Any]) -> Route:
    kind = _text(fields, "routeType")
    prefix = _text(fields, "pathPrefix")
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise FormatError(f"pathPrefix {prefix!r}")
    split = tuple(
        Share(_text(_table(part, "trafficSplit"), "service"), _number(part, "weight", 0.0))
        for part in fields.get("trafficSplit") or ()
    )
    timeout_s = _number(fields, "timeoutS", 0.0)
    if timeout_s <= 0:
        raise FormatError(f"timeoutS {timeout_s!r}")
    # Priority 0 is the highest; the name sorts in that order.
    klass = f"{_integer(fields, 'priority', 0):03d}-{kind}"
    return Route(
        prefix,
        frozenset(),
        split[0].service if split else _text(fields, "service"),
        kind == REPEATABLE,
        "none",
        klass,
        timeout_s,
        host=_text(fields, "host"),
        timeout_s=timeout_s,
        attempts=_integer(fields, "attempts", 1),
        latency_s=_number(fields, "targetLatencyS", 0.0) or None,
        split=split,
    )


def _read_service(name: str, fields: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(name, _text(fields, "healthPath"), _integer(fields, "maxConns", 1))


def _read_bounds(fields: dict[str, Any]) -> CallerBounds:
    return CallerBounds(
        _integer(fields, "maxHeaderBytes", 1),
        _integer(fields, "maxBodyBytes", 1),
        _number(fields, "headerTimeoutS", SHORTEST_BOUND_S),
        _number(fields, "idleTimeoutS", SHORTEST_BOUND_S),
    )


def _version(text: str) -> int:
    if len(text) != VERSION_DIGITS:
        raise FormatError(f"version {text!r}")
    try:
        return int(text, 16)
    except ValueError:
        raise FormatError(f"version {text!r}") from None


def _address(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit() or not 0 < int(port) < 65536:
        raise FormatError(f"address {text!r}")
    return address, int(port)


def _table(value: object, name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise FormatError(f"{name}: found {value!r:.80}, not a table")
    return value


def _text(table: dict[str, Any], name: str) -> str:
    value = table.get(name)
    if not isinstance(value, str) or not value:
        raise FormatError(f"{name}: found {value!r:.80}, not a text")
    return value


def _integer(table: dict[str, Any], name: str, least: int) -> int:
    value = table.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < least:
        raise FormatError(f"{name}: found {value!r:.80}, not an integer from {least}")
    return value


def _number(table: dict[str, Any], name: str, least: float) -> float:
    value = table.get(name)
    if not isinstance(value, int | float) or isinstance(value, bool) or not value >= least:
        raise FormatError(f"{name}: found {value!r:.80}, not a number from {least}")
    return float(value)
