"""Cache of section bodies and their parsed form, so that an edit parses only one section."""

from collections import OrderedDict
from collections.abc import Generator, Iterable, Mapping

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.version.check import join_in_steps, run_steps
from dotterelstand.version.fields import MAX_ERRORS
from dotterelstand.version.manifest import ManifestRecord
from dotterelstand.version.model import Document, DocumentError, section_digest
from dotterelstand.version.section import ParsedSection, parse_section


class SectionCache:
    """Bounded LRU cache of verified section bodies by digest."""

    __slots__ = ("_bodies", "_max_bytes", "_max_sections", "_parsed", "evictions", "size_bytes")

    def __init__(self, max_sections: int, max_bytes: int) -> None:
        self._bodies: OrderedDict[str, str] = OrderedDict()
        self._parsed: dict[tuple[str, str], ParsedSection] = {}
        self._max_sections = max_sections
        self._max_bytes = max_bytes
        self.size_bytes = 0
        self.evictions = 0

    def body(self, digest: str) -> str | None:
        """Return the text of a section, or None if it is not cached."""
        body = self._bodies.get(digest)
        if body is not None:
            self._bodies.move_to_end(digest)
        return body

    def put(self, digest: str, data: bytes) -> bool:
        """Cache a section; False if the data does not match the digest."""
        try:
            body = data.decode()
        except UnicodeDecodeError:
            return False
        if section_digest(body) != digest:
            return False
        if digest not in self._bodies:
            self._bodies[digest] = body
            self.size_bytes += len(data)
        return True

    def missing(self, digests: Iterable[str]) -> list[str]:
        """Return the digests that are not cached, without duplicates."""
        return [digest for digest in dict.fromkeys(digests) if digest not in self._bodies]

    def parse_sections(
        self, record: ManifestRecord
    ) -> Result[dict[str, ParsedSection], list[DocumentError]]:
        """Parse every section of a manifest, all of which must be cached."""
        return run_steps(self._parse_in_steps(record))

    def build_in_steps(
        self, record: ManifestRecord
    ) -> Generator[None, None, Result[Document, list[DocumentError]]]:
        """Build the document of a manifest, all of whose sections must be cached at the start."""
        sections = yield from self._parse_in_steps(record)
        if not is_successful(sections):
            return Failure(sections.failure())
        return (yield from join_in_steps(record.number, sections.unwrap(), record.digests()))

    def _parse_in_steps(
        self, record: ManifestRecord
    ) -> Generator[None, None, Result[dict[str, ParsedSection], list[DocumentError]]]:
        sections: dict[str, ParsedSection] = {}
        errors: list[DocumentError] = []
        bodies = {digest: self._bodies[digest] for digest in record.digests().values()}
        for name, entry in record.entries.items():
            section = self._parsed.get((name, entry.digest))
            if section is None:
                result = parse_section(name, bodies[entry.digest])
                yield
                if not is_successful(result):
                    errors.extend(result.failure()[: MAX_ERRORS - len(errors)])
                    continue
                section = self._parsed[name, entry.digest] = result.unwrap()
            sections[name] = section
        return Failure(errors) if errors else Success(sections)

    def evict_unused(self, digests: Mapping[str, str]) -> None:
        """Evict sections not in `digests`: parsed forms always, bodies only above the limits."""
        active_digests = set(digests.values())
        for key in [key for key in self._parsed if key[1] not in active_digests]:
            del self._parsed[key]
        for digest in list(self._bodies):
            if len(self._bodies) <= self._max_sections and self.size_bytes <= self._max_bytes:
                return
            if digest not in active_digests:
                self.size_bytes -= len(self._bodies.pop(digest).encode())
                self.evictions += 1
