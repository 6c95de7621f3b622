"""The operators' document: one immutable version of services, targets, routes and limits."""

from returns.result import Failure, Result

from dotterelstand.version.check import join_sections, parse_bodies
from dotterelstand.version.model import (
    CallerBounds,
    Document,
    DocumentError,
    Route,
    Service,
    Share,
    Target,
    route_host,
    section_digest,
)

__all__ = [
    "CallerBounds",
    "Document",
    "DocumentError",
    "Route",
    "Service",
    "Share",
    "Target",
    "build_document",
    "route_host",
    "section_digest",
]


def build_document(number: int, bodies: dict[str, str]) -> Result[Document, list[DocumentError]]:
    """Parse and join the sections of one version; fails with every error found."""
    sections, errors = parse_bodies(bodies, False)
    if errors:
        return Failure(errors)
    digests = {name: section_digest(body) for name, body in bodies.items()}
    return join_sections(number, sections, digests)
