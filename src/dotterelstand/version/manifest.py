"""Manifest of the document: the number of a version and the digest of each section."""

import json
import re
from collections.abc import Mapping
from typing import Any

import xxhash
from returns.result import Failure, Result, Success

from dotterelstand.version.fields import NAME_PATTERN

MAX_VERSION_NUMBER = 2**53
_DIGEST = re.compile(r"[0-9a-f]{32}")


class SectionEntry:
    """Entry of a section in a manifest; `number` is the version that last changed the section."""

    __slots__ = ("author", "digest", "number", "owner", "time")

    def __init__(self, digest: str, number: int, owner: str, author: str, time: str) -> None:
        self.digest = digest
        self.number = number
        self.owner = owner
        self.author = author
        self.time = time

    def as_dict(self) -> dict[str, object]:
        """Return the stored form."""
        return {name: getattr(self, name) for name in self.__slots__}


class ManifestRecord:
    """Parsed manifest; immutable.

    `update_id` identifies the update that stored the manifest.
    """

    __slots__ = ("_body", "_digest", "entries", "number", "update_id")

    def __init__(self, number: int, update_id: str, entries: Mapping[str, SectionEntry]) -> None:
        self.number = number
        self.update_id = update_id
        self.entries = entries
        self._body: bytes | None = None
        self._digest = ""

    @property
    def body(self) -> bytes:
        """Canonical stored form, in JSON."""
        if self._body is None:
            sections = {name: entry.as_dict() for name, entry in self.entries.items()}
            table = {"number": self.number, "write": self.update_id, "sections": sections}
            text = json.dumps(table, sort_keys=True, separators=(",", ":"))
            self._body = text.encode()
        return self._body

    @property
    def digest(self) -> str:
        """Digest of the canonical form."""
        self._digest = self._digest or xxhash.xxh3_128_hexdigest(self.body)
        return self._digest

    def digests(self) -> dict[str, str]:
        """Return the digest of each section by name."""
        return {name: entry.digest for name, entry in self.entries.items()}

    def changes_since(self, number: int) -> "ManifestRecord":
        """Return a manifest that contains only the entries changed after a version."""
        changed = {name: item for name, item in self.entries.items() if item.number > number}
        return ManifestRecord(self.number, self.update_id, changed)

    def with_changes(self, changes: "ManifestRecord") -> "ManifestRecord":
        """Return this manifest with changes applied.

        `changes` does not list removed sections, so they stay in the result. Its digest then
        differs from that of the current manifest.
        """
        return ManifestRecord(
            changes.number, changes.update_id, {**self.entries, **changes.entries}
        )


EMPTY_MANIFEST = ManifestRecord(0, "", {})


def parse_manifest(body: bytes) -> Result[ManifestRecord, str]:
    """Parse a stored manifest; fails with a description of the first malformed part."""
    try:
        table = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Failure(f"not JSON: {error}")
    if not isinstance(table, dict) or not isinstance(table.get("sections"), dict):
        return Failure("no table of sections")
    number, update_id = table.get("number"), table.get("write", "")
    if (
        type(number) is not int
        or not 1 <= number < MAX_VERSION_NUMBER
        or not isinstance(update_id, str)
    ):
        return Failure(f"number {str(number)[:40]} or write identifier is not allowed")
    entries = {}
    for name, value in table["sections"].items():
        entry = _parse_entry(value, number)
        if entry is None or not NAME_PATTERN.fullmatch(name):
            return Failure(f"malformed entry of section {name[:64]!r}")
        entries[name] = entry
    return Success(ManifestRecord(number, update_id, entries))


def _parse_entry(value: Any, number: int) -> SectionEntry | None:
    if not isinstance(value, dict):
        return None
    digest, changed = value.get("digest"), value.get("number", number)
    texts = [value.get(key, "") for key in ("owner", "author", "time")]
    if not isinstance(digest, str) or not _DIGEST.fullmatch(digest):
        return None
    if type(changed) is not int or not 1 <= changed <= number:
        return None
    if not all(isinstance(text, str) for text in texts):
        return None
    return SectionEntry(digest, changed, *texts)
