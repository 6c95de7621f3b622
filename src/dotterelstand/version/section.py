"""Parsing of one section of the document, with the checks that need no other section."""

import ipaddress
import tomllib
from collections.abc import Mapping
from typing import Any

from returns.result import Failure, Result, Success

from dotterelstand.version.fields import (
    DUPLICATE,
    MISSING_KEY,
    OUT_OF_RANGE,
    SYNTAX,
    TOO_LARGE,
    UNKNOWN_KEY,
    WRONG_TYPE,
    Field,
    SectionErrors,
    check_name,
    in_range,
    one_of,
    read_table,
)
from dotterelstand.version.model import DocumentError, Service, Target
from dotterelstand.version.route import MAX_PREFIX_SEGMENTS, Route

# The store rejects larger values.
MAX_SECTION_BYTES = 1_000_000
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
MAX_CLASSES = 16
MAX_WORKSPACES = 1024
MAX_SLOTS = 1024

_SERVICE_FIELDS = (
    Field("slots", int, 2, check=in_range(1, MAX_SLOTS)),
    Field("connections", int, 240, check=in_range(1, 65535)),
    Field("retry_share", float, 0.1, check=in_range(0, 1)),
    Field("hedge", bool, False),
    Field("silence_timeout_s", float, 1.0, check=in_range(0.01, 3600)),
    Field("max_queue_per_slot", int, 4, check=in_range(0, 1024)),
    Field("measuring_weight", float, 1.0, check=in_range(0, 100)),
    Field("targets", list, ()),
)
_TARGET_FIELDS = (
    Field("name", str, required=True, check=check_name),
    Field("address", str, required=True),
    Field("port", int, required=True, check=in_range(1, 65535)),
    Field("region", str, required=True, check=check_name),
    Field("availability_zone", str, required=True, check=check_name),
    Field("slots", int, 0, check=in_range(1, MAX_SLOTS)),
)
_ROUTE_FIELDS = (
    Field("prefix", str, required=True),
    Field("methods", list, ("GET",)),
    Field("service", str, required=True),
    Field("idempotent", bool, False),
    Field("key", str, "optional", check=one_of("none", "optional", "required")),
    Field("class", str, ""),
    Field("deadline_ms", float, 10000.0, check=in_range(1, 3_600_000)),
)
_TOP_KEYS = ("owner", "classes", "services", "routes", "tenants")


class ParsedSection:
    """Parsed content of one section; `classes` is empty unless the section defines classes."""

    __slots__ = ("classes", "name", "owner", "routes", "services", "workspaces")

    def __init__(
        self,
        name: str,
        owner: str,
        services: dict[str, Service],
        routes: tuple[Route, ...],
        classes: tuple[str, ...],
        workspaces: dict[str, float],
    ) -> None:
        self.name = name
        self.owner = owner
        self.services = services
        self.routes = routes
        self.classes = classes
        self.workspaces = workspaces


def parse_section(
    name: str, body: str, strict: bool = False
) -> Result[ParsedSection, list[DocumentError]]:
    """Parse one section; fails with every error found in it.

    `strict` adds rules that apply only when a section is accepted: it names an owner and its
    addresses are IP addresses. Hosts parse without them, because an earlier release may have
    accepted the section.
    """
    errors = SectionErrors(name)
    if check_name(name) is not None:
        errors.add(OUT_OF_RANGE, "-", name, f"the section's name must be {check_name(name)}")
    if len(body.encode(errors="replace")) > MAX_SECTION_BYTES:
        errors.add(TOO_LARGE, "-", len(body), f"at most {MAX_SECTION_BYTES} bytes")
        return Failure(errors.found)
    try:
        table = tomllib.loads(body)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        errors.add(SYNTAX, "-", str(error), "TOML 1.0")
        return Failure(errors.found)
    for key in table.keys() - set(_TOP_KEYS):
        errors.add(UNKNOWN_KEY, key, table[key], "one of the keys " + ", ".join(_TOP_KEYS))
    section = ParsedSection(
        name,
        _read_owner(table, name, strict, errors),
        _read_services(table.get("services", {}), strict, errors),
        _read_routes(table.get("routes", []), errors),
        _read_classes(table, errors),
        _read_workspaces(table.get("tenants", {}), errors),
    )
    return Failure(errors.found) if errors.found else Success(section)


def _read_owner(table: dict[str, Any], name: str, strict: bool, errors: SectionErrors) -> str:
    owner = table.get("owner", "" if strict else name)
    if not isinstance(owner, str):
        errors.add(WRONG_TYPE, "owner", owner, "must be a string")
        return ""
    if not owner:
        errors.add(MISSING_KEY, "owner", None, "the team that owns the section is required")
    elif len(owner) > 64:
        errors.add(OUT_OF_RANGE, "owner", owner, "must have at most 64 characters")
    return owner


def _read_services(values: object, strict: bool, errors: SectionErrors) -> dict[str, Service]:
    if not isinstance(values, dict):
        errors.add(WRONG_TYPE, "services", values, "must be a table of services")
        return {}
    services = {}
    for name, table in values.items():
        table_key = f"services.{name}"
        if check_name(name) is not None:
            errors.add(OUT_OF_RANGE, table_key, name, f"must be {check_name(name)}")
        fields = read_table(table, _SERVICE_FIELDS, table_key, errors)
        if fields is not None:
            services[name] = _build_service(name, fields, table_key, strict, errors)
    return services


def _build_service(
    name: str, fields: Mapping[str, Any], table_key: str, strict: bool, errors: SectionErrors
) -> Service:
    targets: dict[str, Target] = {}
    names_by_index: dict[int, str] = {}
    addresses: dict[tuple[str, int], str] = {}
    for number, item in enumerate(fields["targets"]):
        target_key = f"{table_key}.targets[{number}]"
        values = read_table(item, _TARGET_FIELDS, target_key, errors)
        if values is None:
            continue
        if strict and not _is_ip_address(values["address"]):
            errors.add(
                OUT_OF_RANGE, f"{target_key}.address", values["address"], "must be an IP address"
            )
        target = _build_target(values, fields["slots"])
        name_with_index = names_by_index.setdefault(target.index, target.name)
        if target.name in targets:
            errors.add(DUPLICATE, f"{target_key}.name", target.name, "another target has this name")
        elif name_with_index != target.name:
            errors.add(
                DUPLICATE,
                f"{target_key}.name",
                target.name,
                f"its hash equals that of {name_with_index}; rename it",
            )
        address = (target.address, target.port)
        address_owner = addresses.setdefault(address, target.name)
        if address_owner != target.name:
            errors.add(
                DUPLICATE,
                f"{target_key}.address",
                address,
                f"target {address_owner} has this address",
            )
        targets[target.name] = target
    return Service(
        name,
        tuple(targets.values()),
        fields["connections"],
        fields["hedge"],
        fields["retry_share"],
        fields["max_queue_per_slot"],
        fields["silence_timeout_s"],
        fields["measuring_weight"],
    )


def _build_target(values: Mapping[str, Any], slots: int) -> Target:
    return Target(
        values["name"],
        values["address"],
        values["port"],
        values["region"],
        values["availability_zone"],
        values["slots"] or slots,
    )


def _read_routes(values: object, errors: SectionErrors) -> tuple[Route, ...]:
    if not isinstance(values, list):
        errors.add(WRONG_TYPE, "routes", values, "must be a list of tables")
        return ()
    routes = []
    for number, item in enumerate(values):
        table_key = f"routes[{number}]"
        fields = read_table(item, _ROUTE_FIELDS, table_key, errors)
        if fields is not None and _check_route(fields, table_key, errors):
            routes.append(_build_route(fields))
    return tuple(routes)


def _check_route(fields: Mapping[str, Any], table_key: str, errors: SectionErrors) -> bool:
    errors_before = len(errors.found)
    prefix = fields["prefix"]
    if not prefix.startswith("/") or "?" in prefix or "//" in prefix or len(prefix) > 1024:
        allowed = "must begin with / and have neither ? nor //, in at most 1024 characters"
        errors.add(OUT_OF_RANGE, f"{table_key}.prefix", prefix, allowed)
    elif prefix.rstrip("/").count("/") > MAX_PREFIX_SEGMENTS:
        allowed = f"must have at most {MAX_PREFIX_SEGMENTS} segments"
        errors.add(OUT_OF_RANGE, f"{table_key}.prefix", prefix, allowed)
    methods = fields["methods"]
    if not methods or not all(isinstance(item, str) and item in METHODS for item in methods):
        allowed = "must be a list of " + ", ".join(sorted(METHODS))
        errors.add(OUT_OF_RANGE, f"{table_key}.methods", methods, allowed)
    return len(errors.found) == errors_before


def _build_route(fields: Mapping[str, Any]) -> Route:
    # A slash at the end makes no difference, except that of the prefix of all paths.
    prefix = fields["prefix"].rstrip("/") or "/"
    return Route(
        prefix,
        frozenset(fields["methods"]),
        fields["service"],
        fields["idempotent"],
        fields["key"],
        fields["class"],
        fields["deadline_ms"] / 1000,
    )


def _read_classes(table: dict[str, Any], errors: SectionErrors) -> tuple[str, ...]:
    if "classes" not in table:
        return ()
    values = table["classes"]
    if not isinstance(values, list) or not all(isinstance(item, str) for item in values):
        errors.add(WRONG_TYPE, "classes", values, "must be a list of names")
        return ()
    if not 1 <= len(values) <= MAX_CLASSES or any(check_name(item) for item in values):
        errors.add(OUT_OF_RANGE, "classes", values, f"must be 1 to {MAX_CLASSES} names")
    if len(set(values)) != len(values):
        errors.add(DUPLICATE, "classes", values, "must name each class once")
    return tuple(values)


def _read_workspaces(values: object, errors: SectionErrors) -> dict[str, float]:
    if not isinstance(values, dict):
        errors.add(WRONG_TYPE, "tenants", values, "must be a table of names and weights")
        return {}
    if len(values) > MAX_WORKSPACES:
        errors.add(TOO_LARGE, "tenants", len(values), f"at most {MAX_WORKSPACES} workspaces")
        return {}
    workspaces = {}
    weight = Field("", float, check=in_range(0.01, 1000))
    for name, value in values.items():
        if not 1 <= len(name) <= 64:
            errors.add(OUT_OF_RANGE, "tenants", name, "names have 1 to 64 characters")
        # The characters are not checked: requests name their workspace in a header, which
        # carries only printable Latin characters.
        fields = read_table({name: value}, (_with_name(weight, name),), "tenants", errors)
        if fields is not None:
            workspaces[name] = fields[name]
    return workspaces


def _with_name(field: Field, name: str) -> Field:
    return Field(name, field.value_type, field.default, field.required, field.check)


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
