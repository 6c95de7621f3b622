"""Checks the whole document: whether its sections fit together."""

from collections.abc import Generator, Mapping
from typing import TypeVar

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.version.fields import (
    DUPLICATE,
    MAX_ERRORS,
    NO_SUCH_NAME,
    TOO_LARGE,
    Errors,
)
from dotterelstand.version.model import (
    Document,
    DocumentError,
    Route,
    RouteIndex,
    Service,
    Target,
)
from dotterelstand.version.section import ParsedSection, parse_section

# The two-year fleet has 3,000 sections, 3,000 services and 26,000 targets. A manifest entry takes
# up to 240 bytes, so that 4,000 sections stay below the 1 MB that the store allows.
MAX_SECTIONS = 4_000
MAX_TARGETS = 40_000
DEFAULT_CLASS = "default"
# Joining a section with nine targets takes about 10 us; the bound on added latency is 1.6 ms.
SECTIONS_PER_STEP = 32

T = TypeVar("T")


class _Joining:
    """What has been joined so far, and the section that each name came from."""

    __slots__ = (
        "addresses",
        "classes",
        "classes_from",
        "errors",
        "index",
        "prefixes",
        "routes",
        "services",
        "tenants",
    )

    def __init__(self) -> None:
        self.services: dict[str, tuple[str, Service]] = {}
        self.prefixes: dict[tuple[str, str], str] = {}
        self.tenants: dict[str, tuple[str, float]] = {}
        self.addresses: dict[str, tuple[str, Target]] = {}
        self.classes: tuple[str, ...] = ()
        self.classes_from = ""
        self.routes: list[Route] = []
        self.index = RouteIndex()
        self.errors: list[DocumentError] = []

    def take(self, errors: Errors) -> None:
        """Keep the errors of one section, up to the bound."""
        self.errors.extend(errors.found[: MAX_ERRORS - len(self.errors)])


def join_sections(
    number: int,
    sections: Mapping[str, ParsedSection],
    digests: Mapping[str, str],
    former: Mapping[str, ParsedSection] | None = None,
) -> Result[Document, list[DocumentError]]:
    """Join parsed sections into a document; fails with every misfit between them.

    `former` holds the sections in force, so that a name that a change removes is reported with
    the section that had it.
    """
    return run_steps(join_in_steps(number, sections, digests, former))


def run_steps(steps: Generator[None, None, T]) -> T:
    """Run a computation to its end without a pause."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


def join_in_steps(
    number: int,
    sections: Mapping[str, ParsedSection],
    digests: Mapping[str, str],
    former: Mapping[str, ParsedSection] | None = None,
) -> Generator[None, None, Result[Document, list[DocumentError]]]:
    """The same in steps of less than a millisecond, so that calls are served in between."""
    joining = _Joining()
    if len(sections) > MAX_SECTIONS:
        errors = Errors("-")
        errors.add(TOO_LARGE, "-", len(sections), f"at most {MAX_SECTIONS} sections")
        return Failure(errors.found)
    for place, section in enumerate(sections.values()):
        _join_section(joining, section)
        if place % SECTIONS_PER_STEP == 0:
            yield
    joining.classes = joining.classes or (DEFAULT_CLASS,)
    for place, section in enumerate(sections.values()):
        _join_references(joining, section, former)
        if place % SECTIONS_PER_STEP == 0:
            yield
    if len(joining.addresses) > MAX_TARGETS:
        errors = Errors("-")
        errors.add(TOO_LARGE, "-", len(joining.addresses), f"at most {MAX_TARGETS} targets")
        joining.take(errors)
    if joining.errors:
        return Failure(joining.errors)
    yield
    return Success(_build(number, sections, digests, joining))


def check_bodies(bodies: Mapping[str, str]) -> list[DocumentError]:
    """Every error of a whole document, given the text of each section; empty if it is valid."""
    sections, errors = parse_bodies(bodies, True)
    if errors:
        return errors
    joined = join_sections(0, sections, dict.fromkeys(sections, ""))
    return [] if is_successful(joined) else joined.failure()


def parse_bodies(
    bodies: Mapping[str, str], strict: bool
) -> tuple[dict[str, ParsedSection], list[DocumentError]]:
    """Parsed sections, and the errors of those that could not be parsed."""
    sections: dict[str, ParsedSection] = {}
    errors: list[DocumentError] = []
    for name, body in bodies.items():
        result = parse_section(name, body, strict)
        if is_successful(result):
            sections[name] = result.unwrap()
        else:
            errors.extend(result.failure()[: MAX_ERRORS - len(errors)])
    return sections, errors


def _join_section(joining: _Joining, section: ParsedSection) -> None:
    errors = Errors(section.name)
    _join_classes(joining, section, errors)
    _join_services(joining, section, errors)
    _join_routes(joining, section, errors)
    _join_tenants(joining, section, errors)
    joining.take(errors)


def _join_references(
    joining: _Joining, section: ParsedSection, former: Mapping[str, ParsedSection] | None
) -> None:
    errors = Errors(section.name)
    for place, route in enumerate(section.routes):
        _check_references(joining, route, f"routes[{place}]", former, errors)
        route = _with_class(route, joining.classes)
        joining.routes.append(route)
        joining.index.add(route)
    joining.take(errors)


def _join_classes(joining: _Joining, section: ParsedSection, errors: Errors) -> None:
    if not section.classes:
        return
    if joining.classes_from:
        allowed = "only one section may define the classes"
        errors.add(DUPLICATE, "classes", section.classes, allowed, joining.classes_from)
    joining.classes_from = section.name
    joining.classes = section.classes


def _join_services(joining: _Joining, section: ParsedSection, errors: Errors) -> None:
    for name, service in section.services.items():
        other, _ = joining.services.setdefault(name, (section.name, service))
        if other != section.name:
            allowed = "only one section may define a service"
            errors.add(DUPLICATE, f"services.{name}", name, allowed, other)
        for target in service.targets:
            _join_target(joining, section.name, name, target, errors)


def _join_target(
    joining: _Joining, section: str, service: str, target: Target, errors: Errors
) -> None:
    other, former = joining.addresses.setdefault(target.name, (section, target))
    if (former.address, former.port) != (target.address, target.port):
        key = f"services.{service}.targets.{target.name}"
        allowed = f"the name stands for {former.address}:{former.port} elsewhere"
        found = f"{target.address}:{target.port}"
        errors.add(DUPLICATE, key, found, allowed, other if other != section else "")


def _join_routes(joining: _Joining, section: ParsedSection, errors: Errors) -> None:
    for place, route in enumerate(section.routes):
        for method in sorted(route.methods):
            key = (route.prefix.rstrip("/"), method)
            if key in joining.prefixes:
                other = joining.prefixes[key]
                found = f"{method} {route.prefix}"
                allowed = "another route has this prefix and method"
                other = other if other != section.name else ""
                errors.add(DUPLICATE, f"routes[{place}].prefix", found, allowed, other)
            joining.prefixes[key] = section.name


def _join_tenants(joining: _Joining, section: ParsedSection, errors: Errors) -> None:
    for name, weight in section.tenants.items():
        other, _ = joining.tenants.setdefault(name, (section.name, weight))
        if other != section.name:
            allowed = "only one section may give a tenant's weight"
            errors.add(DUPLICATE, f"tenants.{name}", weight, allowed, other)


def _check_references(
    joining: _Joining,
    route: Route,
    place: str,
    former: Mapping[str, ParsedSection] | None,
    errors: Errors,
) -> None:
    if route.service not in joining.services:
        was_in = [name for name, item in (former or {}).items() if route.service in item.services]
        other = was_in[0] if was_in and was_in[0] != errors.section else ""
        allowed = "a service of some section is required"
        if was_in:
            allowed = f"section {was_in[0]} no longer defines this service"
        errors.add(NO_SUCH_NAME, f"{place}.service", route.service, allowed, other)
    if route.klass and route.klass not in joining.classes:
        allowed = "one of the classes " + ", ".join(joining.classes)
        other = joining.classes_from if joining.classes_from != errors.section else ""
        errors.add(NO_SUCH_NAME, f"{place}.class", route.klass, allowed, other)


def _with_class(route: Route, classes: tuple[str, ...]) -> Route:
    """Give a route without a class the lowest priority; nobody gets a higher one unasked."""
    if route.klass:
        return route
    return Route(
        route.prefix,
        route.methods,
        route.service,
        route.idempotent,
        route.key,
        classes[-1],
        route.deadline_s,
    )


def _build(
    number: int,
    sections: Mapping[str, ParsedSection],
    digests: Mapping[str, str],
    joining: _Joining,
) -> Document:
    joining.routes.sort(key=lambda route: (-len(route.prefix), route.prefix))
    return Document(
        number,
        dict(digests),
        {name: service for name, (_, service) in joining.services.items()},
        tuple(joining.routes),
        joining.classes,
        {name: weight for name, (_, weight) in joining.tenants.items()},
        {name: section.owner for name, section in sections.items()},
        joining.index,
    )
