"""Checks that the sections of the document are consistent with each other."""

from collections.abc import Generator, Mapping
from typing import TypeVar

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.version.fields import (
    DUPLICATE,
    MAX_ERRORS,
    NO_SUCH_NAME,
    TOO_LARGE,
    SectionErrors,
)
from dotterelstand.version.model import Document, DocumentError, Service, Target
from dotterelstand.version.route import Route, RouteIndex
from dotterelstand.version.section import ParsedSection, parse_section

# The fleet planned for two years ahead has 3,000 sections, 3,000 services and 26,000 targets. A
# manifest entry takes up to 240 bytes, so 4,000 sections stay below the store's limit of 1 MB.
MAX_SECTIONS = 4_000
MAX_TARGETS = 40_000
DEFAULT_CLASS = "default"
# Number of sections joined in one step. Joining a section with nine targets takes about 10 us, and
# the latency that a step adds to other tasks must stay below 1.6 ms.
SECTIONS_PER_STEP = 32

T = TypeVar("T")


class _JoinState:
    """Content of the sections joined so far, with the section that defines each name."""

    __slots__ = (
        "classes",
        "classes_section",
        "errors",
        "index",
        "route_sections",
        "routes",
        "services",
        "targets",
        "workspaces",
    )

    def __init__(self) -> None:
        self.services: dict[str, tuple[str, Service]] = {}
        self.route_sections: dict[tuple[str, str], str] = {}
        self.workspaces: dict[str, tuple[str, float]] = {}
        self.targets: dict[str, tuple[str, Target]] = {}
        self.classes: tuple[str, ...] = ()
        self.classes_section = ""
        self.routes: list[Route] = []
        self.index = RouteIndex()
        self.errors: list[DocumentError] = []

    def add_errors(self, errors: SectionErrors) -> None:
        """Add the errors of one section, up to `MAX_ERRORS` in all."""
        self.errors.extend(errors.found[: MAX_ERRORS - len(self.errors)])


def join_sections(
    number: int,
    sections: Mapping[str, ParsedSection],
    digests: Mapping[str, str],
    current_sections: Mapping[str, ParsedSection] | None = None,
) -> Result[Document, list[DocumentError]]:
    """Join parsed sections into a document; fails with every inconsistency between them.

    `current_sections` are the sections of the version in force, or None if unknown. With them, an
    error about a removed service also names the section that defined it.
    """
    return run_steps(join_in_steps(number, sections, digests, current_sections))


def run_steps(steps: Generator[None, None, T]) -> T:
    """Run a generator to its end and return its result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


def join_in_steps(
    number: int,
    sections: Mapping[str, ParsedSection],
    digests: Mapping[str, str],
    current_sections: Mapping[str, ParsedSection] | None = None,
) -> Generator[None, None, Result[Document, list[DocumentError]]]:
    """Join sections like `join_sections`, in steps below 1 ms between which other tasks run."""
    state = _JoinState()
    if len(sections) > MAX_SECTIONS:
        errors = SectionErrors("-")
        errors.add(TOO_LARGE, "-", len(sections), f"at most {MAX_SECTIONS} sections")
        return Failure(errors.found)
    for position, section in enumerate(sections.values()):
        _join_section(state, section)
        if position % SECTIONS_PER_STEP == 0:
            yield
    state.classes = state.classes or (DEFAULT_CLASS,)
    for position, section in enumerate(sections.values()):
        _resolve_routes(state, section, current_sections)
        if position % SECTIONS_PER_STEP == 0:
            yield
    if len(state.targets) > MAX_TARGETS:
        errors = SectionErrors("-")
        errors.add(TOO_LARGE, "-", len(state.targets), f"at most {MAX_TARGETS} targets")
        state.add_errors(errors)
    if state.errors:
        return Failure(state.errors)
    yield
    return Success(_build(number, sections, digests, state))


def check_bodies(bodies: Mapping[str, str]) -> list[DocumentError]:
    """Return every error of a document, given each section's text; empty if it is valid."""
    sections, errors = parse_bodies(bodies, True)
    if errors:
        return errors
    joined = join_sections(0, sections, dict.fromkeys(sections, ""))
    return [] if is_successful(joined) else joined.failure()


def parse_bodies(
    bodies: Mapping[str, str], strict: bool
) -> tuple[dict[str, ParsedSection], list[DocumentError]]:
    """Parse sections; returns the valid ones and the errors of the others."""
    sections: dict[str, ParsedSection] = {}
    errors: list[DocumentError] = []
    for name, body in bodies.items():
        result = parse_section(name, body, strict)
        if is_successful(result):
            sections[name] = result.unwrap()
        else:
            errors.extend(result.failure()[: MAX_ERRORS - len(errors)])
    return sections, errors


def _join_section(state: _JoinState, section: ParsedSection) -> None:
    errors = SectionErrors(section.name)
    _join_classes(state, section, errors)
    _join_services(state, section, errors)
    _join_routes(state, section, errors)
    _join_workspaces(state, section, errors)
    state.add_errors(errors)


def _resolve_routes(
    state: _JoinState, section: ParsedSection, current_sections: Mapping[str, ParsedSection] | None
) -> None:
    errors = SectionErrors(section.name)
    for position, route in enumerate(section.routes):
        _check_references(state, route, f"routes[{position}]", current_sections, errors)
        route = _with_class(route, state.classes)
        state.routes.append(route)
        state.index.add(route)
    state.add_errors(errors)


def _join_classes(state: _JoinState, section: ParsedSection, errors: SectionErrors) -> None:
    if not section.classes:
        return
    if state.classes_section:
        allowed = "only one section may define the classes"
        errors.add(DUPLICATE, "classes", section.classes, allowed, state.classes_section)
    state.classes_section = section.name
    state.classes = section.classes


def _join_services(state: _JoinState, section: ParsedSection, errors: SectionErrors) -> None:
    for name, service in section.services.items():
        other_section, _ = state.services.setdefault(name, (section.name, service))
        if other_section != section.name:
            allowed = "only one section may define a service"
            errors.add(DUPLICATE, f"services.{name}", name, allowed, other_section)
        for target in service.targets:
            _join_target(state, section.name, name, target, errors)


def _join_target(
    state: _JoinState, section: str, service: str, target: Target, errors: SectionErrors
) -> None:
    other_section, first = state.targets.setdefault(target.name, (section, target))
    if (first.address, first.port) != (target.address, target.port):
        key = f"services.{service}.targets.{target.name}"
        allowed = f"a target of this name has {first.address}:{first.port} as its address"
        found = f"{target.address}:{target.port}"
        errors.add(
            DUPLICATE, key, found, allowed, other_section if other_section != section else ""
        )


def _join_routes(state: _JoinState, section: ParsedSection, errors: SectionErrors) -> None:
    for position, route in enumerate(section.routes):
        for method in sorted(route.methods):
            key = (route.prefix, method)
            if key in state.route_sections:
                other_section = state.route_sections[key]
                found = f"{method} {route.prefix}"
                allowed = "another route has this prefix and method"
                other_section = other_section if other_section != section.name else ""
                errors.add(DUPLICATE, f"routes[{position}].prefix", found, allowed, other_section)
            state.route_sections[key] = section.name


def _join_workspaces(state: _JoinState, section: ParsedSection, errors: SectionErrors) -> None:
    for name, weight in section.workspaces.items():
        other_section, _ = state.workspaces.setdefault(name, (section.name, weight))
        if other_section != section.name:
            allowed = "only one section may give a workspace's weight"
            errors.add(DUPLICATE, f"tenants.{name}", weight, allowed, other_section)


def _check_references(
    state: _JoinState,
    route: Route,
    route_key: str,
    current_sections: Mapping[str, ParsedSection] | None,
    errors: SectionErrors,
) -> None:
    if route.service not in state.services:
        defined_in = [
            name
            for name, item in (current_sections or {}).items()
            if route.service in item.services
        ]
        other_section = defined_in[0] if defined_in and defined_in[0] != errors.section else ""
        allowed = "must be a service that a section defines"
        if defined_in:
            allowed = f"section {defined_in[0]} no longer defines this service"
        errors.add(NO_SUCH_NAME, f"{route_key}.service", route.service, allowed, other_section)
    if route.klass and route.klass not in state.classes:
        allowed = "one of the classes " + ", ".join(state.classes)
        other_section = state.classes_section if state.classes_section != errors.section else ""
        errors.add(NO_SUCH_NAME, f"{route_key}.class", route.klass, allowed, other_section)


def _with_class(route: Route, classes: tuple[str, ...]) -> Route:
    """Return the route with a class; the default is the lowest, since higher ones are opt-in."""
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
    state: _JoinState,
) -> Document:
    state.routes.sort(key=lambda route: (-len(route.prefix), route.prefix))
    return Document(
        number,
        dict(digests),
        {name: service for name, (_, service) in state.services.items()},
        tuple(state.routes),
        state.classes,
        {name: weight for name, (_, weight) in state.workspaces.items()},
        {name: section.owner for name, section in sections.items()},
        state.index,
    )
