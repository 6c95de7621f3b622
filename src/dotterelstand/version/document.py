"""Builds a version of the operators' document from its sections."""

from returns.result import Failure, Result

from dotterelstand.version.check import join_sections, parse_bodies
from dotterelstand.version.model import Document, DocumentError, section_digest


def build_document(number: int, bodies: dict[str, str]) -> Result[Document, list[DocumentError]]:
    """Parse and join the sections of one version; fails with every error found."""
    sections, errors = parse_bodies(bodies, False)
    if errors:
        return Failure(errors)
    digests = {name: section_digest(body) for name, body in bodies.items()}
    return join_sections(number, sections, digests)
