"""Converts the platform's objects to the types of the load balancer."""

import re
from typing import Any

from returns.result import Failure, Result, Success

from dotterelstand.platform.redact import KEY_DIGESTS, KEYS
from dotterelstand.process.discovery.registry import (
    Configuration,
    RegisteredTarget,
    ServiceSpec,
)
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.version.model import CallerBounds
from dotterelstand.version.route import Route, Share
from dotterelstand.version.workspace import (
    KEY_DIGEST_BYTES,
    Workspace,
    WorkspaceIndex,
    class_rank,
    digest_key,
    join_class,
    split_class,
)

# Requests on routes of this type may run more than once. Requests on routes of any other type, even
# an unknown one, run at most once.
IDEMPOTENT_TYPE = "safe"
BULK_TYPE = "upload"
TARGET_STATES = ("ready", "draining")
VERSION_DIGITS = 8
PORT = re.compile("[0-9]{1,5}")
KEY_DIGEST = re.compile(f"[0-9a-f]{{{2 * KEY_DIGEST_BYTES}}}")
# What h11 sends as the value of a header field: no control characters, no space at either end.
_FIELD_VALUE = re.compile("[\x21-\x7e\x80-\xff]([\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?")
_PATH = re.compile("/[\x21-\x7e]*")
# Longer names and paths would make heads that no target accepts.
MAX_NAME_CHARS = 255
MAX_PATH_CHARS = 2048
# A shorter timeout would close connections before a request can arrive.
MIN_TIMEOUT_S = 0.001
# Larger integers are not interoperable in JSON (RFC 8259 section 6).
MAX_INTEGER = 2**53 - 1
# Bounds of other numbers, unless they are 0, so that no product or quotient of them is infinite.
MIN_NUMBER = 1e-9
MAX_NUMBER = 1e12
# A target runs one request at a time on a connection, and a port takes no more from one host.
MAX_SLOTS = 65_535
MAX_PORT = 65_535


class FormatError(Exception):
    """A field of an object is missing, or its type or value is not as documented."""


def parse_target(name: str, spec: object) -> Result[RegisteredTarget, str]:
    """Parse a target from the `spec` of an object of kind `servers`."""
    try:
        entry = _require_table(spec, "spec")
        # An instance writes its whole registration, including its status, under `spec`.
        info = _require_table(entry.get("info"), "info")
        status = _require_table(entry.get("status"), "status")
        address, port = _parse_address(_require_text(entry, "address"))
        state = _require_text(status, "state")
        if state not in TARGET_STATES:
            raise FormatError(f"state {state!r}")
        # The number of writes since the instance started has to be present, but is not used.
        _require_integer(status, "sequence", 0)
        return Success(
            RegisteredTarget(
                _check_field_value(name, "name"),
                _require_text(info, "service"),
                address,
                port,
                _require_text(info, "zone"),
                _require_integer(info, "slots", 1, MAX_SLOTS),
                state == "draining",
                _require_number(status, "warmupLeftS", 0.0),
                # Start time in Unix milliseconds; older instances do not report it.
                _require_integer(entry, "born", 0) if "born" in entry else 0,
            )
        )
    except FormatError as error:
        return Failure(str(error))


def parse_host(name: str, spec: object) -> Result[ListedHost, str]:
    """Parse an entry host from the `spec` of an object, as `encode_host` builds it."""
    try:
        entry = _require_table(spec, "spec")
        return Success(
            ListedHost(
                _check_name(name),
                _require_text(entry, "address"),
                _require_integer(entry, "port", 1, MAX_PORT),
                False,
                _require_text(entry, "region"),
                _require_text(entry, "availability_zone"),
                _require_number(entry, "capacity", 0.0),
            )
        )
    except FormatError as error:
        return Failure(str(error))


def encode_host(host: ListedHost) -> dict[str, object]:
    """Build the `spec` of the object that announces this entry host to the others."""
    return {
        "address": host.address,
        "port": host.port,
        "region": host.region,
        "availability_zone": host.availability_zone,
        "capacity": host.capacity,
    }


def parse_configuration(spec: object) -> Result[Configuration, str]:
    """Parse a whole configuration; fails with the first error in it."""
    try:
        body = _require_table(spec, "spec")
        number = _parse_version(_require_text(body, "version"))
        resources = body.get("resources")
        if not isinstance(resources, list):
            raise FormatError("resources: not a list")
        routes: list[Route] = []
        services: dict[str, ServiceSpec] = {}
        workspaces: list[Workspace] = []
        bounds: CallerBounds | None = None
        for resource in resources:
            item = _require_table(resource, "resources")
            kind = _require_text(item, "resourceType")
            name = _require_table(item.get("metadata", {}), "metadata").get("name", "")
            fields = _require_table(item.get("spec"), f"{kind} {name}")
            if kind == "routes":
                routes.append(_parse_route(fields))
            elif kind == "services":
                services[str(name)] = _parse_service(str(name), fields)
            elif kind == "tenants":
                workspaces.append(_parse_workspace(str(name), fields))
            elif kind == "limits":
                bounds = _parse_caller_bounds(fields)
        return Success(_build_configuration(number, routes, services, workspaces, bounds))
    except FormatError as error:
        return Failure(str(error))


def _build_configuration(
    number: int,
    routes: list[Route],
    services: dict[str, ServiceSpec],
    workspaces: list[Workspace],
    bounds: CallerBounds | None,
) -> Configuration:
    for route in routes:
        for service in [share.service for share in route.split] or [route.service]:
            if service not in services:
                raise FormatError(f"{route.host}{route.prefix}: service {service!r} is missing")
    names = {route.klass for route in routes}
    # Keyed requests are in the class of their workspace's priority and their route's type.
    types = {split_class(route.klass)[1] for route in routes if not route.public}
    names |= {
        join_class(workspace.priority, kind)
        for workspace in workspaces
        if workspace.priority is not None
        for kind in types
    }
    classes = tuple(sorted(names, key=class_rank))
    bulk_classes = frozenset(name for name in classes if name.endswith(BULK_TYPE))
    access = _index_workspaces(workspaces) if workspaces else None
    return Configuration(number, tuple(routes), services, classes, bulk_classes, bounds, access)


def _index_workspaces(workspaces: list[Workspace]) -> WorkspaceIndex:
    names: set[str] = set()
    digests: set[bytes] = set()
    for workspace in workspaces:
        if workspace.name in names:
            raise FormatError(f"tenants {workspace.name!r:.80}: two with this name")
        if not digests.isdisjoint(workspace.key_digests):
            raise FormatError(f"tenants {workspace.name!r:.80}: a key of another tenant")
        names.add(workspace.name)
        digests |= workspace.key_digests
    return WorkspaceIndex(workspaces)


def _parse_route(fields: dict[str, Any]) -> Route:
    kind = _require_text(fields, "routeType")
    prefix = _require_text(fields, "pathPrefix")
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise FormatError(f"pathPrefix {prefix!r}")
    parts = fields.get("trafficSplit") or []
    if not isinstance(parts, list):
        raise FormatError("trafficSplit: not a list")
    split = tuple(
        Share(
            _require_text(_require_table(part, "trafficSplit"), "service"),
            _require_number(part, "weight", 0.0),
        )
        for part in parts
    )
    timeout_s = _require_number(fields, "timeoutS", 0.0)
    if timeout_s <= 0:
        raise FormatError(f"timeoutS {timeout_s!r}")
    klass = join_class(_require_integer(fields, "priority", 0), kind)
    return Route(
        prefix,
        frozenset(),
        split[0].service if split else _require_text(fields, "service"),
        kind == IDEMPOTENT_TYPE,
        "none",
        klass,
        timeout_s,
        host=_require_text(fields, "host"),
        timeout_s=timeout_s,
        attempts=_require_integer(fields, "attempts", 1),
        latency_objective_s=_require_number(fields, "targetLatencyS", 0.0) or None,
        split=split,
        public=_optional_flag(fields, "public"),
        allowed_regions=_optional_texts(fields, "allowedRegions"),
    )


def _parse_workspace(name: str, fields: dict[str, Any]) -> Workspace:
    # The name is sent in UTF-8, in which bytes from 0x80 on stand for other characters.
    _check_field_value(_check_name(name).encode().decode("latin-1"), "tenants")
    priority = None
    if fields.get("priority") is not None:
        priority = _require_integer(fields, "priority", 0)
    return Workspace(
        name,
        _parse_key_digests(fields),
        priority,
        _optional_number(fields, "ratePerS"),
        _optional_number(fields, "burst"),
        _optional_texts(fields, "allowedRegions"),
    )


def _parse_key_digests(fields: dict[str, Any]) -> frozenset[bytes]:
    """Digests of a workspace's keys, from the store or as another host passed them on."""
    if KEY_DIGESTS not in fields:
        keys = _optional_texts(fields, KEYS)
        if not all(key.isascii() for key in keys):
            # The message must not contain the key.
            raise FormatError(f"{KEYS}: a key with a character that is not ASCII")
        return frozenset(digest_key(key.encode()) for key in keys)
    digests = fields[KEY_DIGESTS]
    if not isinstance(digests, list) or not all(
        isinstance(digest, str) and KEY_DIGEST.fullmatch(digest) for digest in digests
    ):
        raise FormatError(f"{KEY_DIGESTS}: not a list of digests")
    return frozenset(bytes.fromhex(digest) for digest in digests)


def _parse_service(name: str, fields: dict[str, Any]) -> ServiceSpec:
    path = _require_text(fields, "healthPath")
    if not _PATH.fullmatch(path) or len(path) > MAX_PATH_CHARS:
        raise FormatError(f"healthPath {path!r:.80}: not a path")
    return ServiceSpec(
        _check_name(name),
        path,
        _require_integer(fields, "maxConns", 1),
        _optional_number(fields, "warmupS"),
        _optional_number(fields, "warmupPerS"),
    )


def _parse_caller_bounds(fields: dict[str, Any]) -> CallerBounds:
    return CallerBounds(
        _require_integer(fields, "maxHeaderBytes", 1),
        _require_integer(fields, "maxBodyBytes", 1),
        _require_number(fields, "headerTimeoutS", MIN_TIMEOUT_S),
        _require_number(fields, "idleTimeoutS", MIN_TIMEOUT_S),
    )


def _parse_version(text: str) -> int:
    if len(text) != VERSION_DIGITS:
        raise FormatError(f"version {text!r}")
    try:
        return int(text, 16)
    except ValueError:
        raise FormatError(f"version {text!r}") from None


def _parse_address(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(":")
    # `int` refuses some digits, and more than 4,300 of them.
    if not address or not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise FormatError(f"address {text!r}")
    return address, int(port)


def _check_name(name: str) -> str:
    # JSON may escape half of a surrogate pair alone.
    if not name.isascii() and name != name.encode(errors="replace").decode():
        raise FormatError(f"name {name!r:.80}: not valid Unicode")
    return name


def _check_field_value(text: str, name: str) -> str:
    if not _FIELD_VALUE.fullmatch(text) or len(text) > MAX_NAME_CHARS:
        raise FormatError(f"{name} {text!r:.80}: not the value of a header field")
    return text


def _require_table(value: object, name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        # The value may contain keys, which must not be shown.
        raise FormatError(f"{name}: found a {type(value).__name__}, not a table")
    return value


def _require_text(table: dict[str, Any], name: str) -> str:
    value = table.get(name)
    if not isinstance(value, str) or not value:
        raise FormatError(f"{name}: found {value!r:.80}, not a non-empty string")
    return value


def _require_integer(
    table: dict[str, Any], name: str, minimum: int, maximum: int = MAX_INTEGER
) -> int:
    value = table.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
        allowed = f"not an integer from {minimum} to {maximum}"
        raise FormatError(f"{name}: found {value!r:.80}, {allowed}")
    return value


def _require_number(table: dict[str, Any], name: str, minimum: float) -> float:
    value = table.get(name)
    # JSON also has infinite numbers and integers of any length, which no `float` holds.
    if (
        not isinstance(value, int | float)
        or isinstance(value, bool)
        or not minimum <= value <= MAX_NUMBER
        or 0 < value < MIN_NUMBER
    ):
        allowed = f"not a number from {minimum} to {MAX_NUMBER:g}"
        raise FormatError(f"{name}: found {value!r:.80}, {allowed}")
    return float(value)


def _optional_number(table: dict[str, Any], name: str) -> float:
    return 0.0 if table.get(name) is None else _require_number(table, name, 0.0)


def _optional_flag(table: dict[str, Any], name: str) -> bool:
    value = table.get(name, False)
    if not isinstance(value, bool):
        raise FormatError(f"{name}: found {value!r:.80}, not true or false")
    return value


def _optional_texts(table: dict[str, Any], name: str) -> frozenset[str]:
    values = table.get(name) or ()
    if not isinstance(values, list | tuple) or not all(
        isinstance(value, str) and value for value in values
    ):
        # The values may be keys, which must not be shown.
        raise FormatError(f"{name}: not a list of non-empty strings")
    return frozenset(values)
